//! Measures the time, the number of allocations and the allocated bytes of one event in a
//! leader whose fleet is fully occupied. `cargo bench` prints the results. The counts are
//! the same on every host; the times are not.

#[path = "../tests/full_leader/mod.rs"]
mod full_leader;

use divan::{AllocProfiler, Bencher};
use full_leader::simulation::service;
use full_leader::Leader;
use lilacfork::messages::Request;
use lilacfork::reactor::Handler;
use std::cell::RefCell;

#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

/// Fleet sizes to measure. Each machine runs eight tasks.
const MACHINES: [usize; 2] = [20, 150];

fn main() {
    divan::main();
}

fn get(path: &str) -> Request {
    Request {
        method: "GET".into(),
        path: path.into(),
        body: Vec::new(),
    }
}

fn bench_requests(
    bencher: Bencher,
    machines: usize,
    mut next_request: impl FnMut(&mut Leader) -> Request,
) {
    let leader = RefCell::new(Leader::new(machines));
    bencher
        .with_inputs(|| next_request(&mut leader.borrow_mut()))
        .bench_local_values(|request| leader.borrow_mut().request(request));
}

/// Measures a heartbeat that reports no change.
#[divan::bench(args = MACHINES)]
fn heartbeat_unchanged(bencher: Bencher, machines: usize) {
    bench_requests(bencher, machines, Leader::next_heartbeat);
}

/// Measures a heartbeat whose first task alternates between pulling its image and running.
#[divan::bench(args = MACHINES)]
fn heartbeat_changed(bencher: Bencher, machines: usize) {
    bench_requests(bencher, machines, |leader| {
        let state = if leader.sequence.is_multiple_of(2) {
            "running"
        } else {
            "pulling"
        };
        leader.heartbeat["pieces"][0]["etat"] = state.into();
        leader.next_heartbeat()
    });
}

/// Measures a health probe.
#[divan::bench(args = MACHINES)]
fn probe(bencher: Bencher, machines: usize) {
    bench_requests(bencher, machines, |_| get("/ready"));
}

/// Measures a job query up to the point at which it waits for a poll of the job records.
#[divan::bench(args = MACHINES)]
fn query(bencher: Bencher, machines: usize) {
    bench_requests(bencher, machines, |_| get("/v2/runs/run-s1"));
}

/// Measures a submission up to the key-value store call that stores the job.
#[divan::bench(args = MACHINES)]
fn submission(bencher: Bencher, machines: usize) {
    let mut count = 0;
    bench_requests(bencher, machines, move |_| {
        count += 1;
        Request {
            method: "POST".into(),
            path: "/v2/runs".into(),
            body: service(&format!("run-n{count}"), 2)
                .to_string()
                .into_bytes(),
        }
    });
}

/// Measures a turn of the event loop in which a full scheduling round is due because a
/// heartbeat interval has passed.
#[divan::bench(args = MACHINES)]
fn full_round(bencher: Bencher, machines: usize) {
    let mut leader = Leader::new(machines);
    bencher.bench_local(|| {
        leader.now.ms += 1000;
        leader.now.wall_ms += 1000;
        let (now, mut effects) = (leader.now, Vec::new());
        leader.node.tick(now, &mut effects);
    });
}

/// Measures a turn of the event loop in which nothing is due.
#[divan::bench(args = MACHINES)]
fn idle_turn(bencher: Bencher, machines: usize) {
    let mut leader = Leader::new(machines);
    let (now, mut effects) = (leader.now, Vec::new());
    leader.node.tick(now, &mut effects);
    bencher.bench_local(|| {
        effects.clear();
        leader.node.tick(now, &mut effects);
    });
}

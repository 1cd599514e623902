//! What one event costs a leader of a full fleet: time, allocations and bytes.
//! `cargo bench` prints them; only the counts are the same everywhere.

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

/// Machines of the fleet; each runs eight tasks.
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

fn bench_requests(bencher: Bencher, machines: usize, mut next: impl FnMut(&mut Leader) -> Request) {
    let leader = RefCell::new(Leader::new(machines));
    bencher
        .with_inputs(|| next(&mut leader.borrow_mut()))
        .bench_local_values(|request| leader.borrow_mut().request(request));
}

/// A heartbeat with nothing new.
#[divan::bench(args = MACHINES)]
fn heartbeat_unchanged(bencher: Bencher, machines: usize) {
    bench_requests(bencher, machines, Leader::next_heartbeat);
}

/// A heartbeat whose first task goes from fetching its image to running and back.
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

/// A health probe.
#[divan::bench(args = MACHINES)]
fn probe(bencher: Bencher, machines: usize) {
    bench_requests(bencher, machines, |_| get("/ready"));
}

/// A query, up to where it waits for the poll that answers it.
#[divan::bench(args = MACHINES)]
fn query(bencher: Bencher, machines: usize) {
    bench_requests(bencher, machines, |_| get("/v2/runs/run-s1"));
}

/// A submission, up to the call that stores it.
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

/// A turn in which a full round is due: a heartbeat interval has passed.
#[divan::bench(args = MACHINES)]
fn full_round(bencher: Bencher, machines: usize) {
    let mut leader = Leader::new(machines);
    bencher.bench_local(|| {
        leader.now.ms += 1000;
        leader.now.wall += 1000;
        let (now, mut effects) = (leader.now, Vec::new());
        leader.node.tick(now, &mut effects);
    });
}

/// A turn in which nothing is due.
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

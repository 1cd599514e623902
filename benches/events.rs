//! What one event costs a leader of a full fleet: time, allocations and bytes.
//! `cargo bench` prints them; only the counts are the same everywhere.

#[path = "../tests/integration/simulation/mod.rs"]
mod simulation;

use divan::{AllocProfiler, Bencher};
use lilacfork::messages::{ConnectionId, Effect, Listener, Now, Request};
use lilacfork::node::Node;
use lilacfork::reactor::Handler;
use serde_json::Value;
use simulation::fixtures::full_fleet;
use simulation::service;
use std::cell::RefCell;

#[global_allocator]
static ALLOC: AllocProfiler = AllocProfiler::system();

/// Machines of the fleet; each runs eight tasks.
const MACHINES: [usize; 2] = [20, 150];

fn main() {
    divan::main();
}

/// A leader whose fleet is full, and a way to talk to it without the rest.
struct Leader {
    node: Node,
    now: Now,
    effects: Vec<Effect>,
    report: Value,
    seq: u64,
}

impl Leader {
    fn new(machines: usize) -> Leader {
        let mut w = full_fleet(machines);
        let leader = w.leader().expect("somebody leads");
        let report = w.worker_report("vm-0001");
        let now = Now {
            ms: w.now,
            wall: 1_000_000 + w.now,
        };
        let node = w.nodes[leader].take().expect("the leader is up");
        Leader {
            node,
            now,
            effects: Vec::new(),
            seq: report["numero"].as_u64().expect("a number"),
            report,
        }
    }

    fn request(&mut self, request: Request) {
        self.node.request(
            self.now,
            ConnectionId(1),
            Listener::Client,
            request,
            &mut self.effects,
        );
        self.effects.clear();
    }

    /// The next report of a machine, as bytes.
    fn next_report(&mut self) -> Request {
        self.seq += 1;
        self.report["numero"] = self.seq.into();
        Request {
            method: "POST".into(),
            path: "/agent/beat".into(),
            body: self.report.to_string().into_bytes(),
        }
    }
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

/// A report with nothing new.
#[divan::bench(args = MACHINES)]
fn report_unchanged(bencher: Bencher, machines: usize) {
    bench_requests(bencher, machines, Leader::next_report);
}

/// A report whose first task goes from fetching to running and back.
#[divan::bench(args = MACHINES)]
fn report_changed(bencher: Bencher, machines: usize) {
    bench_requests(bencher, machines, |leader| {
        let phase = if leader.seq % 2 == 0 {
            "running"
        } else {
            "pulling"
        };
        leader.report["pieces"][0]["etat"] = phase.into();
        leader.next_report()
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

/// A turn in which a full round is due: a report interval has passed.
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

//! What the message that comes most often allocates. A binary of its own: the
//! allocator counts for the whole process.

#[path = "integration/simulation/mod.rs"]
mod simulation;

use lilacfork::messages::{ConnectionId, Effect, Listener, Now, Request};
use lilacfork::reactor::Handler;
use simulation::fixtures::full_fleet;

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

/// Tasks of each machine.
const TASKS: usize = 8;
const REPORTS: u64 = 100;

/// Blocks that a leader of a full fleet allocates for one report with nothing new.
fn blocks_per_report(machines: usize) -> u64 {
    let mut w = full_fleet(machines);
    let now = Now {
        ms: w.now,
        wall: 1_000_000 + w.now,
    };
    let mut report = w.worker_report("vm-0001");
    let first = report["numero"].as_u64().unwrap();
    let requests: Vec<Request> = (1..=REPORTS)
        .map(|n| {
            report["numero"] = (first + n).into();
            Request {
                method: "POST".into(),
                path: "/agent/beat".into(),
                body: report.to_string().into_bytes(),
            }
        })
        .collect();
    let leader = w.leader().unwrap();
    let node = w.nodes[leader].as_mut().unwrap();
    let mut effects = Vec::new();
    let before = dhat::HeapStats::get().total_blocks;
    for request in requests {
        node.request(
            now,
            ConnectionId(1),
            Listener::Client,
            request,
            &mut effects,
        );
        assert!(matches!(&effects[..], [Effect::Reply(_, reply)] if reply.status == 200));
        effects.clear();
    }
    (dhat::HeapStats::get().total_blocks - before) / REPORTS
}

/// It was 41 blocks for eight tasks: names parsed up to three times, and copies
/// of what was known.
#[test]
fn a_report_with_nothing_new_allocates_little_whatever_the_fleet() {
    let _profiler = dhat::Profiler::builder().testing().build();
    let small = blocks_per_report(20);
    let large = blocks_per_report(100);
    assert!(small <= 3 * TASKS as u64, "blocks per report: {small}");
    assert!(large <= small + 1, "with five times the fleet: {large}");
}

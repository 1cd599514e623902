//! The cost of an event, counted and never timed: messages, allocations, entries
//! examined. Each bound leaves room for change and is exceeded once the cost grows with
//! the fleet.

use crate::simulation::{array, fixtures, Delivery, Simulation};
use lilacfork::messages::Destination;
use std::cell::RefCell;
use std::rc::Rc;

/// Two controllers in zone `a`, one of them the leader, and machines in zone `b` that
/// send heartbeats to the third controller, which forwards them.
fn machines_beside_a_follower(machines: usize) -> Simulation {
    let mut sim = fixtures::running_cluster(3);
    assert_ne!(sim.leader(), Some(1), "the follower of zone b doesn't lead");
    sim.capacity = 0;
    sim.task_duration_ms = 2500;
    for n in 0..machines {
        sim.add_machine(&format!("vm-q{n:03}"), "b", false, true);
        // Workers don't report in step.
        sim.run_for(37);
    }
    sim.run_for(5000);
    sim
}

/// Counts the calls that the follower makes to other controllers from now on.
fn count_peer_calls(sim: &mut Simulation) -> Rc<RefCell<usize>> {
    let calls = Rc::new(RefCell::new(0));
    let counter = calls.clone();
    sim.fault_injector = Box::new(move |_, node, call| {
        if node == 1 && matches!(call.destination, Destination::Peer(_)) {
            *counter.borrow_mut() += 1;
        }
        Delivery::Normal
    });
    calls
}

/// Heartbeats with nothing new were once forwarded every 50 ms: a fifth of what the
/// leader of 154 machines handled, and half of what that follower sent.
#[test]
fn heartbeats_with_nothing_new_are_forwarded_together() {
    let mut counts = Vec::new();
    for machines in [30, 90] {
        let mut sim = machines_beside_a_follower(machines);
        let calls = count_peer_calls(&mut sim);
        sim.run_for(10_000);
        counts.push(*calls.borrow());
    }
    // Two peers' heartbeats, and a message of reports per quarter of a second.
    assert!(counts[1] <= 100, "calls in ten seconds: {counts:?}");
    assert!(
        counts[1] <= counts[0] + 10,
        "they grow with the fleet: {counts:?}"
    );
}

/// Changes don't wait for the rest: capacity that becomes free in the follower's zone is
/// given to the next task within a fraction of the heartbeat interval.
#[test]
fn heartbeats_with_changes_are_forwarded_at_once() {
    let mut sim = machines_beside_a_follower(1);
    let mut spec = array("run-1", 24);
    spec["secteur"] = serde_json::json!("b");
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(leader, &spec), 201);
    sim.run_for(1000);
    assert_eq!(sim.start_log.len(), 16, "two machines of eight");
    let first_end_ms = sim
        .start_log
        .iter()
        .filter_map(|line| line.split(' ').next()?.parse::<u64>().ok())
        .min()
        .map(|started_ms| started_ms + sim.task_duration_ms)
        .unwrap();
    while sim.start_log.len() == 16 {
        sim.run_for(10);
    }
    // A worker reports again half a second after its last report at the earliest.
    let waited_ms = sim.now_ms - first_end_ms;
    assert!(
        waited_ms <= 600,
        "the next task starts after {waited_ms} ms"
    );
}

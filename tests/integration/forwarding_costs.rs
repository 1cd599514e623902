//! The cost and the delay of forwarding heartbeats, measured in messages and in virtual time
//! and never in processor time. The bound on messages tolerates small changes and is exceeded
//! if the cost grows with the fleet.

use crate::simulation::{array, fixtures, Delivery, Simulation};
use lilacfork::messages::Destination;
use std::cell::RefCell;
use std::rc::Rc;

/// Creates a cluster of two controllers in zone `a`, one of which is the leader, and a follower
/// in zone `b`. The machines in zone `b` send their heartbeats to the follower, which forwards
/// them to the leader.
fn cluster_with_forwarded_heartbeats(machines: usize) -> Simulation {
    let mut sim = fixtures::running_cluster(3);
    assert_ne!(
        sim.leader(),
        Some(1),
        "the controller in zone b is the leader"
    );
    sim.capacity = 0;
    sim.task_duration_ms = 2500;
    for n in 0..machines {
        sim.add_machine(&format!("vm-q{n:03}"), "b", false, true);
        // Spreads the workers' heartbeats over the heartbeat interval.
        sim.run_for(37);
    }
    sim.run_for(5000);
    sim
}

/// Starts counting the calls that the follower makes to its peers, and returns the counter.
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

/// In an earlier version, heartbeats without changes were forwarded every 50 ms. In a fleet of 154
/// machines these messages made up a fifth of the messages that the leader handled and half of the
/// messages that the follower sent.
#[test]
fn heartbeats_without_changes_are_forwarded_in_batches() {
    let mut counts = Vec::new();
    for machines in [30, 90] {
        let mut sim = cluster_with_forwarded_heartbeats(machines);
        let calls = count_peer_calls(&mut sim);
        sim.run_for(10_000);
        counts.push(*calls.borrow());
    }
    // The bound covers the heartbeats to two peers and one batch of forwarded worker heartbeats
    // per 250 ms.
    assert!(counts[1] <= 100, "calls in ten seconds: {counts:?}");
    assert!(
        counts[1] <= counts[0] + 10,
        "calls grow with the fleet: {counts:?}"
    );
}

/// Heartbeats with changes aren't delayed until the next batch: capacity that becomes free in
/// the follower's zone is assigned to the next task within a fraction of the heartbeat interval.
#[test]
fn heartbeats_with_changes_are_forwarded_immediately() {
    let mut sim = cluster_with_forwarded_heartbeats(1);
    let mut spec = array("run-1", 24);
    spec["secteur"] = serde_json::json!("b");
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(leader, &spec), 201);
    sim.run_for(1000);
    assert_eq!(
        sim.start_log.len(),
        16,
        "the two machines don't run eight tasks each"
    );
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
    // A worker sends its next heartbeat no earlier than 500 ms after its last one.
    let waited_ms = sim.now_ms - first_end_ms;
    assert!(
        waited_ms <= 600,
        "the next task started {waited_ms} ms after the first task had ended"
    );
}

//! Cancellations while some controllers can't learn of them. The tasks of a cancelled job must
//! end within `cancel_s` after the first confirmation to a user, whichever controllers know of
//! the cancellation. The observer checks this limit.

mod watermark;

use crate::simulation::fixtures::{heal, isolate_node, node_at, running_cluster};
use crate::simulation::{service, Delivery, Simulation, CANCEL_MS};
use lilacfork::messages::Destination;
use serde_json::json;

/// Creates a cluster that runs two services of eight tasks each on two machines.
fn cluster_with_two_services() -> Simulation {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
    assert_eq!(sim.submit(0, &service("run-2", 8)), 201);
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-"), 16);
    sim
}

/// Makes the key-value store reject all calls of one controller. If `lose_peer_calls`, calls
/// between this controller and its peers are lost too, in both directions.
fn reject_kv_calls(sim: &mut Simulation, node: usize, lose_peer_calls: bool) {
    isolate_node(sim, node, Delivery::Rejected, lose_peer_calls);
}

/// An additional fault in [`cancel_before_outage`].
#[derive(Clone, Copy, PartialEq, Debug)]
enum AdditionalFault {
    None,
    /// The controller that confirms the cancellation is killed right after it, and restarted
    /// during the outage.
    ConfirmingControllerRestarts,
    /// The leader changes twice before the cancellation.
    TwoLeaderChanges,
    /// The cancellation is stored, but the response to the write is lost. The third controller
    /// reports the cancellation to a user.
    ResponseLost,
}

/// Cancels `run-1` while the leader can't learn of it, and then makes the key-value store
/// unavailable to all controllers. Before the outage, for `rejected_ms` and during the
/// cancellation, the store rejects only the calls of the leader, and the leader is partitioned
/// from its peers. In an earlier version, the leader concluded from the outage that it had missed
/// no cancellation. Most schedulers that users know fail in this situation.
fn cancel_before_outage(fault: AdditionalFault, rejected_ms: u64) -> Simulation {
    let mut sim = cluster_with_two_services();
    sim.kv_store.watches_stalled = true;
    if fault == AdditionalFault::TwoLeaderChanges {
        for _ in 0..2 {
            let leader = sim.leader().unwrap();
            sim.kill(leader);
            sim.run_for(5000);
            sim.start(leader);
            sim.run_for(3000);
        }
    }
    let leader = sim.leader().unwrap();
    let other = (leader + 1) % 3;
    reject_kv_calls(&mut sim, leader, true);
    sim.run_for(rejected_ms);
    if fault == AdditionalFault::ResponseLost {
        sim.fault_injector = Box::new(move |_, node, call| match &call.destination {
            Destination::KvStore | Destination::KvWatch if node == leader => Delivery::Rejected,
            Destination::Peer(addr) if node == leader || node_at(addr) == leader => {
                Delivery::RequestLost
            }
            Destination::KvStore if call.path == "/txn" && node == other => Delivery::ResponseLost,
            _ => Delivery::Normal,
        });
        sim.request(other, "POST", "/v2/runs/run-1/abort", json!(null));
        sim.run_for(20);
        assert_eq!(sim.query((leader + 2) % 3, "run-1").1, "cancelled");
        // The reply above is the first confirmation to a user, from which the observer measures.
        reject_kv_calls(&mut sim, leader, true);
    } else {
        assert_eq!(sim.cancel(other, "run-1").1, "cancelled");
    }
    if fault == AdditionalFault::ConfirmingControllerRestarts {
        sim.kill(other);
    }
    sim.run_for(300);
    sim.kv_store.unavailable = true;
    heal(&mut sim);
    if fault == AdditionalFault::ConfirmingControllerRestarts {
        sim.run_for(4000);
        sim.start(other);
    }
    sim.run_for(CANCEL_MS + 15_000);
    assert_eq!(
        sim.on_machines("run-1"),
        0,
        "tasks of the cancelled job run, additional fault {fault:?}"
    );
    sim
}

/// Ends the outage and checks that `run-1` stays cancelled and that `run-2` runs.
fn end_outage_and_check_jobs(mut sim: Simulation) {
    sim.kv_store.watches_stalled = false;
    sim.end_kv_store_outage();
    sim.run_for(20_000);
    assert_eq!(sim.on_machines("run-1"), 0);
    assert_eq!(sim.on_machines("run-2"), 8);
    for node in 0..3 {
        assert_eq!(sim.query(node, "run-1").1, "cancelled");
        assert_eq!(sim.query(node, "run-2").1, "running");
    }
}

#[test]
fn cancellation_missed_by_leader_without_kv_access_stops_tasks_during_later_outage() {
    for rejected_ms in [100, 1000, 2000] {
        let sim = cancel_before_outage(AdditionalFault::None, rejected_ms);
        assert_eq!(
            sim.on_machines("run-2"),
            8,
            "tasks of the uncancelled job ended"
        );
        end_outage_and_check_jobs(sim);
    }
}

#[test]
fn missed_cancellation_stops_tasks_when_confirming_controller_restarts_during_outage() {
    end_outage_and_check_jobs(cancel_before_outage(
        AdditionalFault::ConfirmingControllerRestarts,
        1000,
    ));
}

#[test]
fn missed_cancellation_stops_tasks_after_two_leader_changes() {
    end_outage_and_check_jobs(cancel_before_outage(
        AdditionalFault::TwoLeaderChanges,
        1000,
    ));
}

#[test]
fn missed_cancellation_stops_tasks_when_response_to_its_write_is_lost() {
    end_outage_and_check_jobs(cancel_before_outage(AdditionalFault::ResponseLost, 1000));
}

/// A leader that only workers can reach can't learn of cancellations. The leader must stop
/// renewing leases, so that the tasks of cancelled jobs end in time.
#[test]
fn leader_reachable_only_by_workers_stops_renewing_leases() {
    for cloud_unavailable in [false, true] {
        let mut sim = cluster_with_two_services();
        sim.cloud_unavailable = cloud_unavailable;
        let leader = sim.leader().unwrap();
        reject_kv_calls(&mut sim, leader, true);
        sim.run_for(1000);
        assert_eq!(sim.cancel((leader + 1) % 3, "run-1").1, "cancelled");
        sim.run_for(300);
        sim.kv_store.unavailable = true;
        sim.run_for(CANCEL_MS + 15_000);
        assert_eq!(sim.on_machines("run-1"), 0);
        heal(&mut sim);
        sim.cloud_unavailable = false;
        sim.end_kv_store_outage();
        sim.run_for(30_000);
        assert_eq!(
            sim.on_machines("run-2"),
            8,
            "tasks of the uncancelled job did not start again"
        );
    }
}

/// A machine hangs during the cancellation and the outage. If the machine resumes within its
/// lease, the first heartbeat response stops the tasks; otherwise its lease expires.
#[test]
fn missed_cancellation_stops_tasks_on_machine_that_hangs_and_resumes() {
    for hang_ms in [4000, 9000, 14_000, 35_000] {
        let mut sim = cluster_with_two_services();
        let leader = sim.leader().unwrap();
        reject_kv_calls(&mut sim, leader, true);
        sim.run_for(1000);
        sim.workers.get_mut("vm-a").unwrap().unresponsive = true;
        assert_eq!(sim.cancel((leader + 1) % 3, "run-1").1, "cancelled");
        sim.run_for(300);
        sim.kv_store.unavailable = true;
        heal(&mut sim);
        sim.run_for(hang_ms);
        sim.workers.get_mut("vm-a").unwrap().unresponsive = false;
        sim.run_for(45_000 - hang_ms);
        assert_eq!(sim.on_machines("run-1"), 0);
        end_outage_and_check_jobs(sim);
    }
}

/// A leader that was elected just before an outage can't read the placement records until
/// the outage ends. In an earlier version, such a leader accepted heartbeats but did not stop the
/// tasks of cancelled jobs.
#[test]
fn leader_still_loading_during_outage_stops_known_cancelled_jobs() {
    let mut sim = cluster_with_two_services();
    let leader = sim.leader().unwrap();
    // The next leader can't read the placement records.
    sim.fault_injector = Box::new(move |_, _, call| match &call.destination {
        Destination::KvStore if call.path.contains("under=p/") => Delivery::Rejected,
        Destination::Worker(_) => Delivery::RequestLost,
        _ => Delivery::Normal,
    });
    sim.kill(leader);
    sim.run_for(4000);
    let next = sim.leader().unwrap();
    assert_eq!(sim.cancel(3 - leader - next, "run-1").1, "cancelled");
    sim.run_for(300);
    sim.kv_store.unavailable = true;
    sim.start(leader);
    sim.run_for(CANCEL_MS + 15_000);
    assert_eq!(
        sim.on_machines("run-1"),
        0,
        "tasks of the cancelled job run, former leader {leader}"
    );
    heal(&mut sim);
    end_outage_and_check_jobs(sim);
}

/// A leader retries a start command that had no effect. In an earlier version, a leader that
/// couldn't learn of cancellations retried the command long after the job was cancelled.
#[test]
fn leader_reachable_only_by_workers_does_not_retry_start_of_cancelled_job() {
    let mut sim = running_cluster(3);
    let leader = sim.leader().unwrap();
    for m in sim.workers.values_mut() {
        m.unresponsive = true;
    }
    assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
    sim.run_for(200);
    assert_eq!(
        sim.on_machines("run-1"),
        0,
        "an unresponsive machine executed the start command"
    );
    sim.kv_store.watches_stalled = true;
    reject_kv_calls(&mut sim, leader, true);
    assert_eq!(sim.cancel((leader + 1) % 3, "run-1").1, "cancelled");
    sim.kv_store.unavailable = true;
    sim.run_for(3000);
    for m in sim.workers.values_mut() {
        m.unresponsive = false;
        m.node = leader;
    }
    sim.run_for(15_000);
    let accepted = sim
        .heartbeat_responses
        .iter()
        .any(|(_, n, s)| (*n, *s) == (leader, 200));
    assert!(accepted, "the leader accepted no heartbeat");
    let late_starts = &sim.observer.starts_after_cancel;
    assert!(
        late_starts.is_empty(),
        "tasks started after the cancellation: {late_starts:?}"
    );
}

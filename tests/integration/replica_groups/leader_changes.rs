//! Leader changes at each step of a start, a repair and a migration.

use super::{longest_incomplete_ms, send_preemption_notice, GroupOperation, MAX_INCOMPLETE_MS};
use crate::simulation::replica_groups::{
    attempts_by_task, cluster_with_machines, first_placement_record, machines_by_task, running,
    start_service, whole_machine_service,
};
use crate::simulation::{Delivery, Simulation};
use lilacfork::messages::Destination;

/// The condition of the key-value store during the leader change.
#[derive(Clone, Copy, PartialEq, Debug)]
enum StoreCondition {
    Healthy,
    /// The store is unavailable for three seconds.
    Unavailable,
    /// Half of the store's responses are lost.
    LosingResponses,
}

/// Checks that a replica recovers completely if the leader fails `after_ms` after the beginning
/// of an operation.
fn check_leader_failure(operation: GroupOperation, store: StoreCondition, after_ms: u64) {
    let case = format!("{operation:?}, {store:?}, after {after_ms} ms");
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    sim.image_pull_ms = 400;
    sim.track_replicas("run-1", 2, 2);
    let leader = sim.leader().unwrap();
    if operation == GroupOperation::Start {
        assert_eq!(
            sim.submit((leader + 1) % 3, &whole_machine_service("run-1", 2)),
            201,
            "{case}"
        );
    } else {
        start_service(&mut sim, &whole_machine_service("run-1", 2));
        let machine = machines_by_task(&sim, "run-1")["run-1/1"].clone();
        let worker = sim.workers.get_mut(&machine).unwrap();
        if operation == GroupOperation::Repair {
            worker.unresponsive = true;
            // The machine is declared failed after eight seconds.
            sim.run_for(7500);
        } else {
            worker.preemption_notice_s = Some(60.0);
        }
    }
    if store == StoreCondition::LosingResponses {
        let mut rng = fastrand::Rng::with_seed(after_ms);
        sim.fault_injector = Box::new(move |now_ms, _, call| match call.destination {
            Destination::KvStore if now_ms < 40_000 && rng.bool() => Delivery::ResponseLost,
            _ => Delivery::Normal,
        });
    }
    sim.run_for(after_ms);
    if store == StoreCondition::Unavailable {
        sim.kv_store.unavailable = true;
    }
    sim.kill(leader);
    sim.run_for(1500);
    sim.start(leader);
    sim.run_for(1500);
    if store == StoreCondition::Unavailable {
        sim.end_kv_store_outage();
    }
    for _ in 0..45 {
        sim.run_for(1000);
        if sim.leader().is_some() {
            running(&mut sim, "run-1");
        }
    }
    assert_eq!(running(&mut sim, "run-1"), 2, "{case}: {:?}", sim.start_log);
    assert_eq!(sim.on_machines("run-1"), 2, "{case}");
    let attempts = attempts_by_task(&sim, "run-1");
    assert_eq!(attempts["run-1/0"], attempts["run-1/1"], "{case}");
    // Parts are stopped only while there is a leader. An election may take long while responses
    // are lost, which ends at 40 s of virtual time.
    let leaderless_ms = match store {
        StoreCondition::LosingResponses => 30_000,
        _ => 8000,
    };
    let max_ms = MAX_INCOMPLETE_MS + leaderless_ms;
    let incomplete_ms = longest_incomplete_ms(&sim);
    assert!(incomplete_ms < max_ms, "{case}: {:?}", sim.replicas);
}

#[test]
fn replica_recovers_when_leader_fails_at_any_step_of_a_start() {
    for after_ms in (0..1000).step_by(45) {
        for store in [
            StoreCondition::Healthy,
            StoreCondition::Unavailable,
            StoreCondition::LosingResponses,
        ] {
            check_leader_failure(GroupOperation::Start, store, after_ms);
        }
    }
}

#[test]
fn replica_recovers_when_leader_fails_at_any_step_of_a_repair() {
    for after_ms in (0..3500).step_by(130) {
        for store in [
            StoreCondition::Healthy,
            StoreCondition::Unavailable,
            StoreCondition::LosingResponses,
        ] {
            check_leader_failure(GroupOperation::Repair, store, after_ms);
        }
    }
}

#[test]
fn replica_recovers_when_leader_fails_at_any_step_of_a_migration() {
    for after_ms in (0..2600).step_by(90) {
        for store in [
            StoreCondition::Healthy,
            StoreCondition::Unavailable,
            StoreCondition::LosingResponses,
        ] {
            check_leader_failure(GroupOperation::Migration, store, after_ms);
        }
    }
}

/// A migration whose intent is stored, but whose first step wasn't taken, is carried out by the
/// next leader.
#[test]
fn new_leader_resumes_migration_with_only_its_intent_stored() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    start_service(&mut sim, &whole_machine_service("run-1", 2));
    send_preemption_notice(&mut sim);
    let intent = |sim: &Simulation| {
        let stored = first_placement_record(sim, "run-1").map(|record| record["g"][0]["m"].clone());
        stored.filter(|intent| intent.is_object())
    };
    let deadline_ms = sim.now_ms + 5000;
    while intent(&sim).is_none() {
        sim.run_for(1);
        assert!(sim.now_ms < deadline_ms, "no intent was stored");
    }
    let stored_intent = intent(&sim).unwrap();
    let leader = sim.leader().unwrap();
    sim.kill(leader);
    assert_eq!(
        sim.on_machines("run-1"),
        2,
        "a part was stopped before the leader failed"
    );
    sim.run_for(15_000);
    let machines = machines_by_task(&sim, "run-1");
    for target in stored_intent["t"].as_array().unwrap() {
        let task = format!("run-1/{}", target["p"]);
        assert_eq!(
            machines[&task],
            target["m"].as_str().unwrap(),
            "{stored_intent}"
        );
    }
    assert_eq!(running(&mut sim, "run-1"), 2);
}

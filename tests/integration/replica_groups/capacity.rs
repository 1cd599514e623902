//! Quotas, capacity and priorities of replica groups.

use crate::simulation::replica_groups::{
    cluster_with_machines, machines_by_task, running, start_service, whole_machine_service,
};
use crate::simulation::{array, Simulation};
use serde_json::json;
use std::collections::BTreeSet;

/// The quota of team `blue` allows the GPUs of two machines. A part on an unresponsive machine
/// counts toward the quota until the part is proven to have ended, and the next generation
/// doesn't start before that.
#[test]
fn unresponsive_part_counts_toward_its_teams_quota() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    let mut spec = whole_machine_service("run-1", 2);
    spec["equipe"] = json!("blue");
    start_service(&mut sim, &spec);
    let lost = machines_by_task(&sim, "run-1")["run-1/1"].clone();
    sim.cloud_unavailable = true;
    sim.workers.get_mut(&lost).unwrap().unresponsive = true;
    // The cloud API doesn't confirm the release, and the machine is unresponsive.
    sim.run_for(25_000);
    assert_eq!(
        sim.start_log.len(),
        2,
        "parts were started: {:?}",
        sim.start_log
    );
    assert_eq!(
        sim.on_machines("run-1"),
        0,
        "the surviving part was not stopped"
    );
    sim.cloud_unavailable = false;
    sim.run_for(8000);
    assert_eq!(running(&mut sim, "run-1"), 2);
}

#[test]
fn replicas_that_compete_for_capacity_do_not_deadlock() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c"]);
    sim.track_replicas("run-1", 2, 2);
    sim.track_replicas("run-2", 2, 2);
    let leader = sim.leader().unwrap();
    sim.request(
        leader,
        "POST",
        "/v2/runs",
        whole_machine_service("run-1", 2),
    );
    sim.request(
        leader,
        "POST",
        "/v2/runs",
        whole_machine_service("run-2", 2),
    );
    sim.run_for(5000);
    let counts = [sim.on_machines("run-1"), sim.on_machines("run-2")];
    assert!(counts == [2, 0] || counts == [0, 2], "{counts:?}");
    let (running_job, waiting_job) = if counts[0] == 2 {
        ("run-1", "run-2")
    } else {
        ("run-2", "run-1")
    };
    assert_eq!(sim.cancel(leader, running_job).0, 200);
    sim.run_for(5000);
    assert_eq!(sim.on_machines(waiting_job), 2);
}

#[test]
fn missing_machines_of_a_replica_are_provisioned_in_one_zone() {
    let mut sim = cluster_with_machines(3, &[]);
    sim.capacity = 2;
    sim.track_replicas("run-1", 2, 2);
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(leader, &whole_machine_service("run-1", 2)), 201);
    sim.run_for(15_000);
    assert_eq!(running(&mut sim, "run-1"), 2);
    let machines = machines_by_task(&sim, "run-1");
    let zones: BTreeSet<&str> = machines
        .values()
        .map(|machine| sim.workers[machine].zone.as_str())
        .collect();
    assert_eq!(zones.len(), 1, "{machines:?}");
    assert_eq!(
        sim.workers.len(),
        2,
        "more machines than needed were provisioned"
    );
}

#[test]
fn spread_replica_is_placed_in_two_zones() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-c"]);
    sim.add_machine("vm-b", "b", false, true);
    sim.run_for(2000);
    let mut spec = whole_machine_service("run-1", 2);
    spec["spread"] = json!(true);
    start_service(&mut sim, &spec);
}

/// The surviving part stays in its zone, so the replacement of the other part has to be placed
/// in the other zone.
#[test]
fn spread_replica_stays_in_two_zones_after_repair_and_migration() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-c"]);
    for name in ["vm-b", "vm-d", "vm-e"] {
        sim.add_machine(name, "b", false, true);
    }
    sim.run_for(2000);
    let mut spec = whole_machine_service("run-1", 2);
    spec["spread"] = json!(true);
    start_service(&mut sim, &spec);
    // Returns the machine of the part in zone `b`, and the machines of all parts by task name.
    let machine_in_zone_b = |sim: &Simulation| {
        let machines = machines_by_task(sim, "run-1");
        let found = machines
            .values()
            .find(|machine| sim.workers[*machine].zone == "b")
            .cloned();
        (found.expect("a part in zone b"), machines)
    };
    let (lost, before) = machine_in_zone_b(&sim);
    sim.workers.get_mut(&lost).unwrap().unresponsive = true;
    sim.run_for(16_000);
    assert_eq!(running(&mut sim, "run-1"), 2, "{:?}", sim.start_log);
    let (preempted, after) = machine_in_zone_b(&sim);
    assert_ne!(preempted, lost);
    let kept = before
        .values()
        .filter(|machine| after.values().any(|other| other == *machine));
    assert_eq!(kept.count(), 1, "not exactly one machine was kept");
    sim.workers.get_mut(&preempted).unwrap().preemption_notice_s = Some(60.0);
    sim.run_for(8000);
    assert_eq!(running(&mut sim, "run-1"), 2, "{:?}", sim.start_log);
    assert_ne!(machine_in_zone_b(&sim).0, preempted);
}

#[test]
fn lower_priority_tasks_are_preempted_only_for_complete_replicas() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b"]);
    sim.task_duration_ms = 600_000;
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(leader, &array("run-9", 16)), 201);
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-9"), 16);
    start_service(&mut sim, &whole_machine_service("run-1", 2));
    // A second replica needs two machines, and no machine has tasks that may be preempted.
    sim.track_replicas("run-2", 2, 2);
    assert_eq!(sim.submit(leader, &whole_machine_service("run-2", 2)), 201);
    sim.run_for(5000);
    assert_eq!(running(&mut sim, "run-1"), 2);
    assert_eq!(sim.on_machines("run-2"), 0);
}

#[test]
fn preempted_replica_stops_as_a_whole() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b"]);
    let mut low = whole_machine_service("run-1", 2);
    low["rang"] = json!("idle");
    start_service(&mut sim, &low);
    let leader = sim.leader().unwrap();
    let mut urgent = whole_machine_service("run-2", 1);
    urgent["gabarit"] = json!("help");
    urgent["rang"] = json!("critical");
    // Jobs of a class without a service-level objective wait instead of preempting.
    assert_eq!(sim.submit(leader, &urgent), 201);
    sim.run_for(4000);
    assert_eq!(sim.on_machines("run-1"), 2);
    assert_eq!(sim.on_machines("run-2"), 0);
    assert_eq!(sim.cancel(leader, "run-2").0, 200);
    let mut pair = whole_machine_service("run-3", 2);
    pair["rang"] = json!("critical");
    assert_eq!(sim.submit(leader, &pair), 201);
    sim.run_for(6000);
    assert_eq!(sim.on_machines("run-3"), 2);
    assert_eq!(
        sim.on_machines("run-1"),
        0,
        "a part of the preempted replica still runs"
    );
}

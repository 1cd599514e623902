//! Quotas, capacity and priorities of replica groups.

use crate::simulation::replica_groups::{
    cluster_with_machines, machines_by_task, running, start_service, whole_machine_service,
};
use crate::simulation::{array, Simulation};
use serde_json::json;
use std::collections::BTreeSet;

/// The limit of team `blue` allows the GPUs of two machines. A silent part counts until it
/// is proven gone, and the next generation waits for that.
#[test]
fn a_silent_part_counts_for_its_teams_limit() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    let mut spec = whole_machine_service("run-1", 2);
    spec["equipe"] = json!("blue");
    start_service(&mut sim, &spec);
    let lost = machines_by_task(&sim, "run-1")["run-1/1"].clone();
    sim.cloud_unavailable = true;
    sim.workers.get_mut(&lost).unwrap().unresponsive = true;
    // The cloud API doesn't confirm the release, and the machine is silent.
    sim.run_for(25_000);
    assert_eq!(
        sim.start_log.len(),
        2,
        "nothing started: {:?}",
        sim.start_log
    );
    assert_eq!(
        sim.on_machines("run-1"),
        0,
        "the survivor doesn't wait alone"
    );
    sim.cloud_unavailable = false;
    sim.run_for(8000);
    assert_eq!(running(&mut sim, "run-1"), 2);
}

#[test]
fn two_replicas_that_each_find_half_of_their_room_dont_block_each_other() {
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
    let first = [sim.on_machines("run-1"), sim.on_machines("run-2")];
    assert!(first == [2, 0] || first == [0, 2], "{first:?}");
    let (running, waits) = if first[0] == 2 {
        ("run-1", "run-2")
    } else {
        ("run-2", "run-1")
    };
    assert_eq!(sim.cancel(leader, running).0, 200);
    sim.run_for(5000);
    assert_eq!(sim.on_machines(waits), 2);
}

#[test]
fn a_replica_rents_all_that_it_lacks_in_one_zone() {
    let mut sim = cluster_with_machines(3, &[]);
    sim.capacity = 2;
    sim.track_replicas("run-1", 2, 2);
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(leader, &whole_machine_service("run-1", 2)), 201);
    sim.run_for(15_000);
    assert_eq!(running(&mut sim, "run-1"), 2);
    let at = machines_by_task(&sim, "run-1");
    let zones: BTreeSet<&str> = at.values().map(|m| sim.workers[m].zone.as_str()).collect();
    assert_eq!(zones.len(), 1, "{at:?}");
    assert_eq!(sim.workers.len(), 2, "no more than needed");
}

#[test]
fn a_replica_that_must_be_spread_stands_in_two_zones() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-c"]);
    sim.add_machine("vm-b", "b", false, true);
    sim.run_for(2000);
    let mut spec = whole_machine_service("run-1", 2);
    spec["spread"] = json!(true);
    start_service(&mut sim, &spec);
}

/// The part that survives is in one zone, so the other part has to be in the other zone.
#[test]
fn a_spread_replica_is_repaired_and_moved_in_both_zones() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-c"]);
    for name in ["vm-b", "vm-d", "vm-e"] {
        sim.add_machine(name, "b", false, true);
    }
    sim.run_for(2000);
    let mut spec = whole_machine_service("run-1", 2);
    spec["spread"] = json!(true);
    start_service(&mut sim, &spec);
    let beyond = |sim: &Simulation| {
        let at = machines_by_task(sim, "run-1");
        let found = at.values().find(|m| sim.workers[*m].zone == "b").cloned();
        (found.expect("a part in zone b"), at)
    };
    let (lost, before) = beyond(&sim);
    sim.workers.get_mut(&lost).unwrap().unresponsive = true;
    sim.run_for(16_000);
    assert_eq!(running(&mut sim, "run-1"), 2, "{:?}", sim.start_log);
    let (leaves, after) = beyond(&sim);
    assert_ne!(leaves, lost);
    let kept = before.values().filter(|m| after.values().any(|n| n == *m));
    assert_eq!(kept.count(), 1, "the survivor's machine");
    sim.workers.get_mut(&leaves).unwrap().preemption_notice_s = Some(60.0);
    sim.run_for(8000);
    assert_eq!(running(&mut sim, "run-1"), 2, "{:?}", sim.start_log);
    assert_ne!(beyond(&sim).0, leaves);
}

#[test]
fn less_important_work_makes_way_for_a_whole_replica_or_for_none() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b"]);
    sim.task_duration_ms = 600_000;
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(leader, &array("run-9", 16)), 201);
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-9"), 16);
    start_service(&mut sim, &whole_machine_service("run-1", 2));
    // Another replica would need two machines, and no machine has tasks to preempt.
    sim.track_replicas("run-2", 2, 2);
    assert_eq!(sim.submit(leader, &whole_machine_service("run-2", 2)), 201);
    sim.run_for(5000);
    assert_eq!(running(&mut sim, "run-1"), 2);
    assert_eq!(sim.on_machines("run-2"), 0);
}

#[test]
fn more_important_work_that_takes_one_part_takes_the_whole_replica() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b"]);
    let mut low = whole_machine_service("run-1", 2);
    low["rang"] = json!("idle");
    start_service(&mut sim, &low);
    let leader = sim.leader().unwrap();
    let mut urgent = whole_machine_service("run-2", 1);
    urgent["gabarit"] = json!("help");
    urgent["rang"] = json!("critical");
    // A class without a service-level objective doesn't preempt; it waits.
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
    assert_eq!(sim.on_machines("run-1"), 0, "no half is left");
}

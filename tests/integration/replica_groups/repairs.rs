//! Repairs of replica groups that lose machines, and recovery of unresponsive machines.

use super::{longest_incomplete_ms, MAX_INCOMPLETE_MS};
use crate::simulation::fixtures::{heal, isolate_zone, set_unresponsive};
use crate::simulation::replica_groups::{
    attempts_by_task, cluster_with_machines, machines_by_task, running, start_service,
    whole_machine_service,
};
use crate::simulation::Simulation;
use serde_json::json;

#[test]
fn replica_that_loses_a_machine_restarts_as_a_whole() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c"]);
    start_service(&mut sim, &whole_machine_service("run-1", 2));
    let before = machines_by_task(&sim, "run-1");
    let generation = attempts_by_task(&sim, "run-1")["run-1/0"];
    let lost = before["run-1/1"].clone();
    sim.workers.get_mut(&lost).unwrap().unresponsive = true;
    for _ in 0..20 {
        sim.run_for(1000);
        running(&mut sim, "run-1");
    }
    assert_eq!(running(&mut sim, "run-1"), 2);
    let after = machines_by_task(&sim, "run-1");
    assert_eq!(
        after["run-1/0"], before["run-1/0"],
        "the surviving part changed its machine"
    );
    assert_ne!(after["run-1/1"], lost);
    let attempts = attempts_by_task(&sim, "run-1");
    assert_eq!(attempts["run-1/0"], attempts["run-1/1"]);
    assert!(attempts["run-1/0"] > generation);
    assert_eq!(sim.start_log.len(), 4, "{:?}", sim.start_log);
    assert!(
        sim.replicas["run-1"].longest_incomplete_ms < 4000,
        "{:?}",
        sim.replicas
    );
}

/// Makes one machine of a replica unresponsive for `unresponsive_ms`. The cloud API is
/// unavailable from then on, so the machine can't be released. Unless its lease has expired,
/// the machine still has its tasks when it recovers.
fn recover_unresponsive_machine(unresponsive_ms: u64) -> Simulation {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    start_service(&mut sim, &whole_machine_service("run-1", 2));
    sim.cloud_unavailable = true;
    let lost = machines_by_task(&sim, "run-1")["run-1/1"].clone();
    let stale_heartbeat = sim.next_heartbeat(&lost);
    sim.workers.get_mut(&lost).unwrap().unresponsive = true;
    sim.run_for(unresponsive_ms);
    sim.workers.get_mut(&lost).unwrap().unresponsive = false;
    for n in 0..30 {
        sim.run_for(1000);
        running(&mut sim, "run-1");
        // Copies of an earlier heartbeat of the machine keep arriving.
        sim.deliver_heartbeat(n % 3, &stale_heartbeat);
    }
    assert_eq!(running(&mut sim, "run-1"), 2, "{:?}", sim.start_log);
    sim
}

#[test]
fn replica_continues_after_brief_unresponsiveness_of_a_machine() {
    let sim = recover_unresponsive_machine(5000);
    assert_eq!(
        sim.start_log.len(),
        2,
        "parts were restarted: {:?}",
        sim.start_log
    );
}

#[test]
fn old_part_is_stopped_on_machine_that_recovers_after_being_declared_failed() {
    let sim = recover_unresponsive_machine(9000);
    assert_eq!(sim.start_log.len(), 4, "{:?}", sim.start_log);
    assert_eq!(sim.on_machines("run-1"), 2);
}

#[test]
fn replica_is_repaired_when_machine_recovers_in_a_later_agent_epoch() {
    let sim = recover_unresponsive_machine(14_000);
    assert_eq!(sim.start_log.len(), 4, "{:?}", sim.start_log);
    assert_eq!(sim.on_machines("run-1"), 2);
}

/// A zone with a controller and all parts of a replica is isolated. The parts keep running, but
/// controllers don't report them as running to users, and no part is started a second time.
#[test]
fn replica_in_isolated_zone_keeps_running_and_is_not_restarted() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-c"]);
    for name in ["vm-x", "vm-y", "vm-z"] {
        sim.add_machine(name, "b", false, true);
    }
    sim.run_for(2000);
    let mut spec = whole_machine_service("run-1", 2);
    spec["secteur"] = json!("b");
    start_service(&mut sim, &spec);
    isolate_zone(&mut sim);
    for _ in 0..12 {
        sim.run_for(1000);
        if sim.leader().is_some_and(|leader| leader != 1) {
            running(&mut sim, "run-1");
        }
    }
    assert_eq!(
        running(&mut sim, "run-1"),
        0,
        "the isolated replica is reported as running"
    );
    assert_eq!(
        sim.on_machines("run-1"),
        2,
        "the isolated replica was stopped"
    );
    heal(&mut sim);
    sim.run_for(8000);
    assert_eq!(running(&mut sim, "run-1"), 2);
    assert_eq!(sim.start_log.len(), 2, "{:?}", sim.start_log);
}

#[test]
fn replica_recovers_when_its_second_machine_fails_during_the_repair() {
    for delay_ms in (0..12_000).step_by(700) {
        let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
        sim.image_pull_ms = 1500;
        start_service(&mut sim, &whole_machine_service("run-1", 2));
        let machines = machines_by_task(&sim, "run-1");
        sim.workers
            .get_mut(&machines["run-1/1"])
            .unwrap()
            .unresponsive = true;
        sim.run_for(delay_ms);
        sim.workers
            .get_mut(&machines["run-1/0"])
            .unwrap()
            .unresponsive = true;
        for _ in 0..35 {
            sim.run_for(1000);
            running(&mut sim, "run-1");
        }
        assert_eq!(
            running(&mut sim, "run-1"),
            2,
            "after {delay_ms} ms: {:?}",
            sim.start_log
        );
        assert!(
            longest_incomplete_ms(&sim) < MAX_INCOMPLETE_MS,
            "{:?}",
            sim.replicas
        );
    }
}

#[test]
fn rack_failure_restarts_only_the_affected_replicas() {
    let names: Vec<String> = (0..30).map(|n| format!("vm-{n:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut sim = cluster_with_machines(3, &names);
    start_service(&mut sim, &whole_machine_service("run-1", 20));
    let machines = machines_by_task(&sim, "run-1");
    // One part of each of eight replicas, and both parts of a ninth.
    let rack_machines: Vec<String> = (0..8)
        .map(|n| machines[&format!("run-1/{}", 2 * n)].clone())
        .chain([machines["run-1/16"].clone(), machines["run-1/17"].clone()])
        .collect();
    set_unresponsive(&mut sim, &rack_machines, true);
    for _ in 0..30 {
        sim.run_for(1000);
        running(&mut sim, "run-1");
    }
    assert_eq!(running(&mut sim, "run-1"), 20, "{:?}", sim.start_log.len());
    let after = machines_by_task(&sim, "run-1");
    assert_eq!(
        after["run-1/18"], machines["run-1/18"],
        "the tenth replica was restarted"
    );
    assert_eq!(sim.start_log.len(), 20 + 18);
    assert!(
        longest_incomplete_ms(&sim) < MAX_INCOMPLETE_MS,
        "{:?}",
        sim.replicas
    );
}

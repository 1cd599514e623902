//! Repairs of replica groups that lose machines, and machines that come back.

use super::{longest, REPAIR_MS};
use crate::simulation::fixtures::{heal, isolate_zone, set_unresponsive};
use crate::simulation::replica_groups::{
    attempts_by_task, cluster_with_machines, machines_by_task, running, start_service,
    whole_machine_service,
};
use crate::simulation::Simulation;
use serde_json::json;

#[test]
fn a_replica_that_loses_a_machine_starts_again_as_a_whole() {
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
        "the survivor's machine is kept"
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

/// One machine of a replica is silent for a while, during which the cloud API doesn't
/// answer. Then it comes back with the tasks that it had.
fn comes_back(silent_ms: u64) -> Simulation {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    start_service(&mut sim, &whole_machine_service("run-1", 2));
    sim.cloud_unavailable = true;
    let lost = machines_by_task(&sim, "run-1")["run-1/1"].clone();
    let old_report = sim.next_heartbeat(&lost);
    sim.workers.get_mut(&lost).unwrap().unresponsive = true;
    sim.run_for(silent_ms);
    sim.workers.get_mut(&lost).unwrap().unresponsive = false;
    for n in 0..30 {
        sim.run_for(1000);
        running(&mut sim, "run-1");
        // Copies of its earlier heartbeat keep arriving.
        sim.deliver_heartbeat(n % 3, &old_report);
    }
    assert_eq!(running(&mut sim, "run-1"), 2, "{:?}", sim.start_log);
    sim
}

#[test]
fn a_machine_that_comes_back_soon_is_only_an_interruption() {
    let sim = comes_back(5000);
    assert_eq!(
        sim.start_log.len(),
        2,
        "nothing was stopped: {:?}",
        sim.start_log
    );
}

#[test]
fn a_machine_that_comes_back_after_it_was_given_up_has_its_part_stopped() {
    let sim = comes_back(9000);
    assert_eq!(sim.start_log.len(), 4, "{:?}", sim.start_log);
    assert_eq!(sim.on_machines("run-1"), 2);
}

#[test]
fn a_machine_that_comes_back_in_a_later_session_has_lost_its_part() {
    let sim = comes_back(14_000);
    assert_eq!(sim.start_log.len(), 4, "{:?}", sim.start_log);
    assert_eq!(sim.on_machines("run-1"), 2);
}

/// A zone with a controller and all parts of a replica is partitioned from everything.
/// The parts keep running, but users aren't told that they serve, and nothing is started
/// twice.
#[test]
fn a_replica_beyond_a_cut_lives_on_and_is_only_interrupted() {
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
    assert_eq!(running(&mut sim, "run-1"), 0, "nobody is heard of it");
    assert_eq!(sim.on_machines("run-1"), 2, "it lives on");
    heal(&mut sim);
    sim.run_for(8000);
    assert_eq!(running(&mut sim, "run-1"), 2);
    assert_eq!(sim.start_log.len(), 2, "{:?}", sim.start_log);
}

#[test]
fn the_second_machine_fails_during_the_repair() {
    for delay_ms in (0..12_000).step_by(700) {
        let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
        sim.image_fetch_ms = 1500;
        start_service(&mut sim, &whole_machine_service("run-1", 2));
        let at = machines_by_task(&sim, "run-1");
        sim.workers.get_mut(&at["run-1/1"]).unwrap().unresponsive = true;
        sim.run_for(delay_ms);
        sim.workers.get_mut(&at["run-1/0"]).unwrap().unresponsive = true;
        for _ in 0..35 {
            sim.run_for(1000);
            running(&mut sim, "run-1");
        }
        assert_eq!(
            running(&mut sim, "run-1"),
            2,
            "after {delay_ms}: {:?}",
            sim.start_log
        );
        assert!(longest(&sim) < REPAIR_MS, "{:?}", sim.replicas);
    }
}

#[test]
fn a_rack_takes_parts_of_many_replicas_at_once() {
    let names: Vec<String> = (0..30).map(|n| format!("vm-{n:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut sim = cluster_with_machines(3, &names);
    start_service(&mut sim, &whole_machine_service("run-1", 20));
    let at = machines_by_task(&sim, "run-1");
    // One part of each of eight replicas, and both parts of a ninth.
    let rack: Vec<String> = (0..8)
        .map(|n| at[&format!("run-1/{}", 2 * n)].clone())
        .chain([at["run-1/16"].clone(), at["run-1/17"].clone()])
        .collect();
    set_unresponsive(&mut sim, &rack, true);
    for _ in 0..30 {
        sim.run_for(1000);
        running(&mut sim, "run-1");
    }
    assert_eq!(running(&mut sim, "run-1"), 20, "{:?}", sim.start_log.len());
    let after = machines_by_task(&sim, "run-1");
    assert_eq!(
        after["run-1/18"], at["run-1/18"],
        "the tenth wasn't touched"
    );
    assert_eq!(sim.start_log.len(), 20 + 18);
    assert!(longest(&sim) < REPAIR_MS, "{:?}", sim.replicas);
}

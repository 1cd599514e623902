//! Starts of replica groups, with and without machine failures.

use super::{longest_incomplete_ms, MAX_INCOMPLETE_MS};
use crate::simulation::replica_groups::{
    attempts_by_task, cluster_with_machines, first_placement_record, machines_by_task, running,
    start_service, whole_machine_service,
};
use crate::simulation::{Delivery, Simulation};
use lilacfork::messages::Destination;
use serde_json::json;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;

#[test]
fn parts_of_a_replica_start_on_different_machines_in_one_generation() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    let mut spec = whole_machine_service("run-1", 4);
    spec["gpus"] = json!(1.0);
    spec["cpus"] = json!(4.0);
    start_service(&mut sim, &spec);
    let (machines, attempts) = (
        machines_by_task(&sim, "run-1"),
        attempts_by_task(&sim, "run-1"),
    );
    for (first, second) in [("run-1/0", "run-1/1"), ("run-1/2", "run-1/3")] {
        assert_ne!(machines[first], machines[second], "{machines:?}");
        assert_eq!(
            attempts[first], attempts[second],
            "parts have different generations"
        );
    }
    assert_ne!(attempts["run-1/0"], attempts["run-1/2"]);
}

/// Submits a replica, makes the machine of its second part unresponsive as soon as
/// `should_fail` returns true, and checks that the replica starts on other machines. If no
/// placement is stored at that time, `vm-a` becomes unresponsive.
fn start_with_machine_failure(
    mut sim: Simulation,
    should_fail: impl Fn(&Simulation) -> bool,
) -> Simulation {
    sim.track_replicas("run-1", 2, 2);
    let leader = sim.leader().unwrap();
    sim.request(
        leader,
        "POST",
        "/v2/runs",
        whole_machine_service("run-1", 2),
    );
    let deadline_ms = sim.now_ms + 20_000;
    while !should_fail(&sim) {
        sim.run_for(1);
        assert!(
            sim.now_ms < deadline_ms,
            "the condition for the failure was not met"
        );
    }
    let placed_on = first_placement_record(&sim, "run-1")
        .and_then(|record| record["a"][1][2].as_str().map(str::to_string));
    let failed = placed_on.unwrap_or_else(|| "vm-a".into());
    sim.workers.get_mut(&failed).unwrap().unresponsive = true;
    let generations = |sim: &Simulation| {
        attempts_by_task(sim, "run-1")
            .into_values()
            .collect::<BTreeSet<_>>()
    };
    for _ in 0..30 {
        sim.run_for(1000);
        running(&mut sim, "run-1");
    }
    assert_eq!(running(&mut sim, "run-1"), 2, "{:?}", sim.start_log);
    assert_eq!(generations(&sim).len(), 1);
    assert!(!machines_by_task(&sim, "run-1")
        .values()
        .any(|machine| *machine == failed));
    assert!(
        longest_incomplete_ms(&sim) < MAX_INCOMPLETE_MS,
        "{:?}",
        sim.replicas
    );
    sim
}

#[test]
fn replica_starts_when_machine_fails_before_its_placement_is_stored() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c"]);
    // The first eight writes of the placement are rejected, which takes two seconds.
    let rejected_writes = Rc::new(Cell::new(0));
    let counter = rejected_writes.clone();
    sim.fault_injector = Box::new(move |_, _, call| {
        let writes_placement =
            call.path == "/txn" && call.body.windows(8).any(|b| b == b"p/run-1/");
        if writes_placement && counter.get() < 8 {
            counter.set(counter.get() + 1);
            return Delivery::Rejected;
        }
        Delivery::Normal
    });
    let rejected_so_far = rejected_writes.clone();
    let sim = start_with_machine_failure(sim, move |_| rejected_so_far.get() > 0);
    assert_eq!(rejected_writes.get(), 8);
    assert!(sim.start_log.len() <= 4, "{:?}", sim.start_log);
}

#[test]
fn replica_starts_when_machine_fails_between_placement_write_and_task_start() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c"]);
    // Commands are delayed by half a second, so that no part has started when the machine fails.
    sim.fault_injector = Box::new(|_, _, call| match &call.destination {
        Destination::Worker(_) => Delivery::RequestDelayed(500),
        _ => Delivery::Normal,
    });
    start_with_machine_failure(sim, |sim| {
        first_placement_record(sim, "run-1").is_some() && sim.start_log.is_empty()
    });
}

#[test]
fn replica_starts_when_machine_fails_during_image_pull() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c"]);
    sim.image_pull_ms = 4000;
    start_with_machine_failure(sim, |sim| sim.start_log.len() == 2);
}

#[test]
fn replica_starts_when_machine_fails_while_another_part_runs() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c"]);
    sim.image_pull_ms = 2000;
    for name in ["vm-a", "vm-b", "vm-c"] {
        sim.workers.get_mut(name).unwrap().image_pull_stuck = true;
    }
    sim.workers.get_mut("vm-a").unwrap().image_pull_stuck = false;
    sim.workers.get_mut("vm-c").unwrap().image_pull_stuck = false;
    let running_tasks = |sim: &Simulation| {
        let tasks = sim
            .workers
            .values()
            .flat_map(|worker| worker.tasks.values());
        tasks.filter(|task| task.state == "running").count()
    };
    let sim = start_with_machine_failure(sim, move |sim| running_tasks(sim) == 1);
    assert_eq!(tasks_on_machines(&sim), 2);
}

fn tasks_on_machines(sim: &Simulation) -> usize {
    sim.on_machines("run-1")
}

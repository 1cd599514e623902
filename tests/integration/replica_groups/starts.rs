//! Starts of replica groups, also while a machine fails.

use super::{longest, REPAIR_MS};
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
fn a_replica_starts_whole_on_different_machines_under_one_attempt() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    let mut spec = whole_machine_service("run-1", 4);
    spec["gpus"] = json!(1.0);
    spec["cpus"] = json!(4.0);
    start_service(&mut sim, &spec);
    let (at, attempt) = (
        machines_by_task(&sim, "run-1"),
        attempts_by_task(&sim, "run-1"),
    );
    for (one, other) in [("run-1/0", "run-1/1"), ("run-1/2", "run-1/3")] {
        assert_ne!(at[one], at[other], "{at:?}");
        assert_eq!(attempt[one], attempt[other], "one generation");
    }
    assert_ne!(attempt["run-1/0"], attempt["run-1/2"]);
}

/// A replica that has just been submitted. Its second machine fails as soon as `fails`
/// returns true.
fn fails_while_starting(mut sim: Simulation, fails: impl Fn(&Simulation) -> bool) -> Simulation {
    sim.track_replicas("run-1", 2, 2);
    let leader = sim.leader().unwrap();
    sim.request(
        leader,
        "POST",
        "/v2/runs",
        whole_machine_service("run-1", 2),
    );
    let until = sim.now_ms + 20_000;
    while !fails(&sim) {
        sim.run_for(1);
        assert!(sim.now_ms < until, "the moment never comes");
    }
    let bound = first_placement_record(&sim, "run-1")
        .and_then(|p| p["a"][1][2].as_str().map(str::to_string));
    let dies = bound.unwrap_or_else(|| "vm-a".into());
    sim.workers.get_mut(&dies).unwrap().unresponsive = true;
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
    assert!(!machines_by_task(&sim, "run-1").values().any(|m| *m == dies));
    assert!(longest(&sim) < REPAIR_MS, "{:?}", sim.replicas);
    sim
}

#[test]
fn a_machine_fails_before_the_binding_is_written() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c"]);
    // The first write of the placement is rejected for two seconds.
    let refused = Rc::new(Cell::new(0));
    let seen = refused.clone();
    sim.fault_injector = Box::new(move |_, _, call| {
        let placement = call.path == "/txn" && call.body.windows(8).any(|b| b == b"p/run-1/");
        if placement && seen.get() < 8 {
            seen.set(seen.get() + 1);
            return Delivery::Rejected;
        }
        Delivery::Normal
    });
    let at_first = refused.clone();
    let sim = fails_while_starting(sim, move |_| at_first.get() > 0);
    assert_eq!(refused.get(), 8);
    assert!(sim.start_log.len() <= 4, "{:?}", sim.start_log);
}

#[test]
fn a_machine_fails_between_write_and_start() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c"]);
    // Commands are delayed by half a second, so that nothing has started yet.
    sim.fault_injector = Box::new(|_, _, call| match &call.destination {
        Destination::Worker(_) => Delivery::RequestDelayed(500),
        _ => Delivery::Normal,
    });
    fails_while_starting(sim, |sim| {
        first_placement_record(sim, "run-1").is_some() && sim.start_log.is_empty()
    });
}

#[test]
fn a_machine_fails_while_it_fetches() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c"]);
    sim.image_fetch_ms = 4000;
    fails_while_starting(sim, |sim| sim.start_log.len() == 2);
}

#[test]
fn a_machine_fails_while_another_part_runs_already() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c"]);
    sim.image_fetch_ms = 2000;
    for name in ["vm-a", "vm-b", "vm-c"] {
        sim.workers.get_mut(name).unwrap().image_fetch_stuck = true;
    }
    sim.workers.get_mut("vm-a").unwrap().image_fetch_stuck = false;
    sim.workers.get_mut("vm-c").unwrap().image_fetch_stuck = false;
    let running = |sim: &Simulation| {
        let tasks = sim
            .workers
            .values()
            .flat_map(|worker| worker.tasks.values());
        tasks.filter(|task| task.state == "running").count()
    };
    let sim = fails_while_starting(sim, move |sim| running(sim) == 1);
    assert_eq!(shown_state(&sim), 2);
}

fn shown_state(sim: &Simulation) -> usize {
    sim.on_machines("run-1")
}

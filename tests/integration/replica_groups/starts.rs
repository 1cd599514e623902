//! Starts of replica groups, also while a machine fails.

use super::{longest, REPAIR_MS};
use crate::simulation::replica_groups::{
    attempts, machines, placement, places, shown, started, wide,
};
use crate::simulation::{Fate, Simulation};
use lilacfork::messages::Destination;
use serde_json::json;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;

#[test]
fn a_replica_starts_whole_on_different_machines_under_one_attempt() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    let mut spec = wide("run-1", 4);
    spec["gpus"] = json!(1.0);
    spec["cpus"] = json!(4.0);
    started(&mut w, &spec);
    let (at, attempt) = (places(&w, "run-1"), attempts(&w, "run-1"));
    for (one, other) in [("run-1/0", "run-1/1"), ("run-1/2", "run-1/3")] {
        assert_ne!(at[one], at[other], "{at:?}");
        assert_eq!(attempt[one], attempt[other], "one generation");
    }
    assert_ne!(attempt["run-1/0"], attempt["run-1/2"]);
}

/// A replica that has just been submitted. Its second machine fails as soon as `fails`
/// returns true.
fn fails_while_starting(mut w: Simulation, fails: impl Fn(&Simulation) -> bool) -> Simulation {
    w.watch_replicas("run-1", 2, 2);
    let leader = w.leader().unwrap();
    w.ask(leader, "POST", "/v2/runs", wide("run-1", 2));
    let until = w.now + 20_000;
    while !fails(&w) {
        w.run_for(1);
        assert!(w.now < until, "the moment never comes");
    }
    let bound = placement(&w, "run-1").and_then(|p| p["a"][1][2].as_str().map(str::to_string));
    let dies = bound.unwrap_or_else(|| "vm-a".into());
    w.workers.get_mut(&dies).unwrap().silent = true;
    let generations = |w: &Simulation| attempts(w, "run-1").into_values().collect::<BTreeSet<_>>();
    for _ in 0..30 {
        w.run_for(1000);
        shown(&mut w, "run-1");
    }
    assert_eq!(shown(&mut w, "run-1"), 2, "{:?}", w.trace);
    assert_eq!(generations(&w).len(), 1);
    assert!(!places(&w, "run-1").values().any(|m| *m == dies));
    assert!(longest(&w) < REPAIR_MS, "{:?}", w.watched);
    w
}

#[test]
fn a_machine_fails_before_the_binding_is_written() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
    // The first write of the placement is rejected for two seconds.
    let refused = Rc::new(Cell::new(0));
    let seen = refused.clone();
    w.hook = Box::new(move |_, _, call| {
        let placement = call.path == "/txn" && call.body.windows(8).any(|b| b == b"p/run-1/");
        if placement && seen.get() < 8 {
            seen.set(seen.get() + 1);
            return Fate::Refuse;
        }
        Fate::Pass
    });
    let at_first = refused.clone();
    let w = fails_while_starting(w, move |_| at_first.get() > 0);
    assert_eq!(refused.get(), 8);
    assert!(w.trace.len() <= 4, "{:?}", w.trace);
}

#[test]
fn a_machine_fails_between_write_and_start() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
    // Commands are delayed by half a second, so that nothing has started yet.
    w.hook = Box::new(|_, _, call| match &call.destination {
        Destination::Worker(_) => Fate::Late(500),
        _ => Fate::Pass,
    });
    fails_while_starting(w, |w| placement(w, "run-1").is_some() && w.trace.is_empty());
}

#[test]
fn a_machine_fails_while_it_fetches() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
    w.fetch_ms = 4000;
    fails_while_starting(w, |w| w.trace.len() == 2);
}

#[test]
fn a_machine_fails_while_another_part_runs_already() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
    w.fetch_ms = 2000;
    for name in ["vm-a", "vm-b", "vm-c"] {
        w.workers.get_mut(name).unwrap().stuck = true;
    }
    w.workers.get_mut("vm-a").unwrap().stuck = false;
    w.workers.get_mut("vm-c").unwrap().stuck = false;
    let running = |w: &Simulation| {
        let tasks = w.workers.values().flat_map(|worker| worker.tasks.values());
        tasks.filter(|task| task.state == "running").count()
    };
    let w = fails_while_starting(w, move |w| running(w) == 1);
    assert_eq!(shown_state(&w), 2);
}

fn shown_state(w: &Simulation) -> usize {
    w.on_machines("run-1")
}

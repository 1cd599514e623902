//! Repairs of replica groups that lose machines, and machines that come back.

use super::{longest, REPAIR_MS};
use crate::simulation::fixtures::{cut_zone_from_everything, heal, set_silent};
use crate::simulation::replica_groups::{attempts, machines, places, shown, started, wide};
use crate::simulation::Simulation;
use serde_json::json;

#[test]
fn a_replica_that_loses_a_machine_starts_again_as_a_whole() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
    started(&mut w, &wide("run-1", 2));
    let before = places(&w, "run-1");
    let generation = attempts(&w, "run-1")["run-1/0"];
    let lost = before["run-1/1"].clone();
    w.workers.get_mut(&lost).unwrap().silent = true;
    for _ in 0..20 {
        w.run_for(1000);
        shown(&mut w, "run-1");
    }
    assert_eq!(shown(&mut w, "run-1"), 2);
    let after = places(&w, "run-1");
    assert_eq!(
        after["run-1/0"], before["run-1/0"],
        "the survivor's machine is kept"
    );
    assert_ne!(after["run-1/1"], lost);
    let attempts = attempts(&w, "run-1");
    assert_eq!(attempts["run-1/0"], attempts["run-1/1"]);
    assert!(attempts["run-1/0"] > generation);
    assert_eq!(w.trace.len(), 4, "{:?}", w.trace);
    assert!(
        w.watched["run-1"].longest_incomplete_ms < 4000,
        "{:?}",
        w.watched
    );
}

/// One machine of a replica is silent for a while, during which the cloud API doesn't
/// answer. Then it comes back with the tasks that it had.
fn comes_back(silent_ms: u64) -> Simulation {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    started(&mut w, &wide("run-1", 2));
    w.cloud_away = true;
    let lost = places(&w, "run-1")["run-1/1"].clone();
    let old_report = w.worker_report(&lost);
    w.workers.get_mut(&lost).unwrap().silent = true;
    w.run_for(silent_ms);
    w.workers.get_mut(&lost).unwrap().silent = false;
    for n in 0..30 {
        w.run_for(1000);
        shown(&mut w, "run-1");
        // Copies of its earlier heartbeat keep arriving.
        w.deliver_report(n % 3, &old_report);
    }
    assert_eq!(shown(&mut w, "run-1"), 2, "{:?}", w.trace);
    w
}

#[test]
fn a_machine_that_comes_back_soon_is_only_an_interruption() {
    let w = comes_back(5000);
    assert_eq!(w.trace.len(), 2, "nothing was stopped: {:?}", w.trace);
}

#[test]
fn a_machine_that_comes_back_after_it_was_given_up_has_its_part_stopped() {
    let w = comes_back(9000);
    assert_eq!(w.trace.len(), 4, "{:?}", w.trace);
    assert_eq!(w.on_machines("run-1"), 2);
}

#[test]
fn a_machine_that_comes_back_in_a_later_session_has_lost_its_part() {
    let w = comes_back(14_000);
    assert_eq!(w.trace.len(), 4, "{:?}", w.trace);
    assert_eq!(w.on_machines("run-1"), 2);
}

/// A zone with a controller and all parts of a replica is partitioned from everything.
/// The parts keep running, but users aren't told that they serve, and nothing is started
/// twice.
#[test]
fn a_replica_beyond_a_cut_lives_on_and_is_only_interrupted() {
    let mut w = machines(3, &["vm-a", "vm-c"]);
    for name in ["vm-x", "vm-y", "vm-z"] {
        w.add_machine(name, "b", false, true);
    }
    w.run_for(2000);
    let mut spec = wide("run-1", 2);
    spec["secteur"] = json!("b");
    started(&mut w, &spec);
    cut_zone_from_everything(&mut w);
    for _ in 0..12 {
        w.run_for(1000);
        if w.leader().is_some_and(|leader| leader != 1) {
            shown(&mut w, "run-1");
        }
    }
    assert_eq!(shown(&mut w, "run-1"), 0, "nobody is heard of it");
    assert_eq!(w.on_machines("run-1"), 2, "it lives on");
    heal(&mut w);
    w.run_for(8000);
    assert_eq!(shown(&mut w, "run-1"), 2);
    assert_eq!(w.trace.len(), 2, "{:?}", w.trace);
}

#[test]
fn the_second_machine_fails_during_the_repair() {
    for delay_ms in (0..12_000).step_by(700) {
        let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
        w.fetch_ms = 1500;
        started(&mut w, &wide("run-1", 2));
        let at = places(&w, "run-1");
        w.workers.get_mut(&at["run-1/1"]).unwrap().silent = true;
        w.run_for(delay_ms);
        w.workers.get_mut(&at["run-1/0"]).unwrap().silent = true;
        for _ in 0..35 {
            w.run_for(1000);
            shown(&mut w, "run-1");
        }
        assert_eq!(shown(&mut w, "run-1"), 2, "after {delay_ms}: {:?}", w.trace);
        assert!(longest(&w) < REPAIR_MS, "{:?}", w.watched);
    }
}

#[test]
fn a_rack_takes_parts_of_many_replicas_at_once() {
    let names: Vec<String> = (0..30).map(|n| format!("vm-{n:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut w = machines(3, &names);
    started(&mut w, &wide("run-1", 20));
    let at = places(&w, "run-1");
    // One part of each of eight replicas, and both parts of a ninth.
    let rack: Vec<String> = (0..8)
        .map(|n| at[&format!("run-1/{}", 2 * n)].clone())
        .chain([at["run-1/16"].clone(), at["run-1/17"].clone()])
        .collect();
    set_silent(&mut w, &rack, true);
    for _ in 0..30 {
        w.run_for(1000);
        shown(&mut w, "run-1");
    }
    assert_eq!(shown(&mut w, "run-1"), 20, "{:?}", w.trace.len());
    let after = places(&w, "run-1");
    assert_eq!(
        after["run-1/18"], at["run-1/18"],
        "the tenth wasn't touched"
    );
    assert_eq!(w.trace.len(), 20 + 18);
    assert!(longest(&w) < REPAIR_MS, "{:?}", w.watched);
}

//! Machines that controllers reach late, in one direction only or not at all.

use crate::simulation::fixtures::{
    full_zone, heal, partition_zones, released, running_cluster, set_silent,
};
use crate::simulation::{array, service, Fate, LEASE_MS};
use lilacfork::messages::Destination;
use serde_json::json;

/// A machine that reaches no controller, while direct commands reach it, once counted as
/// responsive by its responses to these: it was assigned its tasks again whenever its
/// lease had expired.
#[test]
fn a_mute_machine_is_given_up_though_direct_commands_reach_it() {
    let mut w = running_cluster(3);
    w.capacity = 2;
    let name = "vm-a";
    for (id, zone, tasks) in [("run-1", "a", 4), ("run-2", "b", 8)] {
        let mut spec = service(id, tasks);
        spec["secteur"] = json!(zone);
        assert_eq!(w.submit(0, &spec), 201);
    }
    w.run_for(3000);
    let on = w.workers[name].tasks.len();
    assert_eq!(on, 4);
    w.workers.get_mut(name).unwrap().mute = true;
    let started = w.trace.len();
    // Commands go there all the while, and are answered.
    for n in 0..50 {
        let id = format!("run-{}", 100 + n);
        let mut spec = service(&id, 2);
        spec["secteur"] = json!("a");
        assert_eq!(w.submit(0, &spec), 201);
        w.run_for(500);
        assert_eq!(w.cancel(0, &id).1, "cancelled");
        w.run_for(200);
    }
    assert!(w.workers[name].gone, "its lease can't be renewed");
    assert_eq!(w.on_machines("run-1/"), 4);
    let moved = w.trace[started..].iter().filter(|t| t.contains("run-1/"));
    let moved: Vec<_> = moved.collect();
    assert!(moved.iter().all(|t| !t.contains(name)), "{moved:?}");
    assert_eq!(moved.len(), on, "each moved once: {moved:?}");
}

/// A machine that reaches no controller has tasks of a cancelled job: the direct command
/// stops them.
#[test]
fn a_mute_machine_stops_what_is_cancelled_at_once() {
    let mut w = running_cluster(3);
    assert_eq!(w.submit(0, &service("run-1", 16)), 201);
    w.run_for(3000);
    w.workers.get_mut("vm-a").unwrap().mute = true;
    w.run_for(1000);
    assert_eq!(w.cancel(1, "run-1").1, "cancelled");
    w.run_for(500);
    assert_eq!(w.on_machines("run-1"), 0);
}

/// A zone with workers and a controller is partitioned from the other for longer than a
/// lease, while a job there is cancelled and another is submitted.
#[test]
fn a_zone_cut_off_for_longer_than_a_lease() {
    let (mut w, names) = full_zone(3);
    partition_zones(&mut w);
    w.run_for(2000);
    let near = w.leader().unwrap();
    assert_eq!(w.submit(near, &service("run-2", 4)), 201);
    w.run_for(LEASE_MS + 3000);
    assert_eq!(w.on_machines("run-1"), 56);
    assert_eq!(w.cancel(near, "run-1").1, "cancelled");
    w.run_for(6000);
    assert_eq!(w.on_machines("run-1"), 0, "its own controller stops them");
    heal(&mut w);
    w.run_for(8000);
    assert_eq!(w.on_machines("run-2"), 4);
    assert!(released(&w, &names).is_empty());
}

/// A command is delayed for seconds; its machine hangs and resumes after the job was
/// cancelled or the task moved elsewhere.
#[test]
fn a_command_held_up_for_seconds_starts_nothing_that_is_over() {
    for held_ms in [2000, 5000, 8000, 12_000] {
        for cancel in [true, false] {
            let mut w = running_cluster(3);
            w.hook = Box::new(move |_, _, call| match call.destination {
                Destination::Worker(_) => Fate::Late(held_ms),
                _ => Fate::Pass,
            });
            assert_eq!(w.submit(0, &service("run-1", 8)), 201);
            w.run_for(30);
            let names = ["vm-a".to_string(), "vm-b".to_string()];
            set_silent(&mut w, &names, true);
            w.run_for(1500);
            if cancel {
                assert_eq!(w.cancel(1, "run-1").1, "cancelled");
            }
            set_silent(&mut w, &names, false);
            w.run_for(25_000);
            w.hook = Box::new(|_, _, _| Fate::Pass);
            w.run_for(15_000);
            let expected = if cancel { 0 } else { 8 };
            assert_eq!(w.on_machines("run-1"), expected, "{held_ms}");
        }
    }
}

/// Jobs bound to one zone, arrays too, lose machines while the other zone has free
/// capacity: that capacity counts for nothing, and machines are provisioned in their
/// zone.
#[test]
fn jobs_bound_to_a_zone_that_loses_its_machines_are_served_there() {
    let mut w = running_cluster(3);
    w.run_ms = 20_000;
    let mut names = Vec::new();
    for n in 0..3 {
        names.push(format!("vm-z{n}"));
        w.add_machine(&names[n], "b", false, true);
    }
    w.run_for(1500);
    for (id, mut spec) in [
        ("run-1", array("run-1", 20)),
        ("run-2", service("run-2", 6)),
    ] {
        spec["secteur"] = json!("b");
        assert_eq!(w.submit(0, &spec), 201, "{id}");
    }
    w.run_for(3000);
    assert_eq!(w.on_machines("run-"), 26);
    names.push("vm-b".into());
    set_silent(&mut w, &names, true);
    w.run_for(75_000);
    assert_eq!(w.on_machines("run-2/"), 6, "{:?}", w.trace);
    assert_eq!(w.poll(0, "run-1").1, "done", "{:?}", w.trace);
}

//! Machines that controllers reach late, in one direction only or not at all.

use crate::simulation::fixtures::{
    full_zone, heal, partition_zones, released, running_cluster, set_unresponsive,
};
use crate::simulation::{array, service, Delivery, LEASE_MS};
use lilacfork::messages::Destination;
use serde_json::json;

/// A machine that reaches no controller, while direct commands reach it, once counted as
/// responsive by its responses to these: it was assigned its tasks again whenever its
/// lease had expired.
#[test]
fn a_mute_machine_is_given_up_though_direct_commands_reach_it() {
    let mut sim = running_cluster(3);
    sim.capacity = 2;
    let name = "vm-a";
    for (id, zone, tasks) in [("run-1", "a", 4), ("run-2", "b", 8)] {
        let mut spec = service(id, tasks);
        spec["secteur"] = json!(zone);
        assert_eq!(sim.submit(0, &spec), 201);
    }
    sim.run_for(3000);
    let on = sim.workers[name].tasks.len();
    assert_eq!(on, 4);
    sim.workers.get_mut(name).unwrap().outbound_blocked = true;
    let started = sim.start_log.len();
    // Commands go there all the while, and are answered.
    for n in 0..50 {
        let id = format!("run-{}", 100 + n);
        let mut spec = service(&id, 2);
        spec["secteur"] = json!("a");
        assert_eq!(sim.submit(0, &spec), 201);
        sim.run_for(500);
        assert_eq!(sim.cancel(0, &id).1, "cancelled");
        sim.run_for(200);
    }
    assert!(sim.workers[name].released, "its lease can't be renewed");
    assert_eq!(sim.on_machines("run-1/"), 4);
    let moved = sim.start_log[started..]
        .iter()
        .filter(|t| t.contains("run-1/"));
    let moved: Vec<_> = moved.collect();
    assert!(moved.iter().all(|t| !t.contains(name)), "{moved:?}");
    assert_eq!(moved.len(), on, "each moved once: {moved:?}");
}

/// A machine that reaches no controller has tasks of a cancelled job: the direct command
/// stops them.
#[test]
fn a_mute_machine_stops_what_is_cancelled_at_once() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 16)), 201);
    sim.run_for(3000);
    sim.workers.get_mut("vm-a").unwrap().outbound_blocked = true;
    sim.run_for(1000);
    assert_eq!(sim.cancel(1, "run-1").1, "cancelled");
    sim.run_for(500);
    assert_eq!(sim.on_machines("run-1"), 0);
}

/// A zone with workers and a controller is partitioned from the other for longer than a
/// lease, while a job there is cancelled and another is submitted.
#[test]
fn a_zone_cut_off_for_longer_than_a_lease() {
    let (mut sim, names) = full_zone(3);
    partition_zones(&mut sim);
    sim.run_for(2000);
    let near = sim.leader().unwrap();
    assert_eq!(sim.submit(near, &service("run-2", 4)), 201);
    sim.run_for(LEASE_MS + 3000);
    assert_eq!(sim.on_machines("run-1"), 56);
    assert_eq!(sim.cancel(near, "run-1").1, "cancelled");
    sim.run_for(6000);
    assert_eq!(sim.on_machines("run-1"), 0, "its own controller stops them");
    heal(&mut sim);
    sim.run_for(8000);
    assert_eq!(sim.on_machines("run-2"), 4);
    assert!(released(&sim, &names).is_empty());
}

/// A command is delayed for seconds; its machine hangs and resumes after the job was
/// cancelled or the task moved elsewhere.
#[test]
fn a_command_held_up_for_seconds_starts_nothing_that_is_over() {
    for held_ms in [2000, 5000, 8000, 12_000] {
        for cancel in [true, false] {
            let mut sim = running_cluster(3);
            sim.fault_injector = Box::new(move |_, _, call| match call.destination {
                Destination::Worker(_) => Delivery::RequestDelayed(held_ms),
                _ => Delivery::Normal,
            });
            assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
            sim.run_for(30);
            let names = ["vm-a".to_string(), "vm-b".to_string()];
            set_unresponsive(&mut sim, &names, true);
            sim.run_for(1500);
            if cancel {
                assert_eq!(sim.cancel(1, "run-1").1, "cancelled");
            }
            set_unresponsive(&mut sim, &names, false);
            sim.run_for(25_000);
            sim.fault_injector = Box::new(|_, _, _| Delivery::Normal);
            sim.run_for(15_000);
            let expected = if cancel { 0 } else { 8 };
            assert_eq!(sim.on_machines("run-1"), expected, "{held_ms}");
        }
    }
}

/// Jobs bound to one zone, arrays too, lose machines while the other zone has free
/// capacity: that capacity counts for nothing, and machines are provisioned in their
/// zone.
#[test]
fn jobs_bound_to_a_zone_that_loses_its_machines_are_served_there() {
    let mut sim = running_cluster(3);
    sim.task_duration_ms = 20_000;
    let mut names = Vec::new();
    for n in 0..3 {
        names.push(format!("vm-z{n}"));
        sim.add_machine(&names[n], "b", false, true);
    }
    sim.run_for(1500);
    for (id, mut spec) in [
        ("run-1", array("run-1", 20)),
        ("run-2", service("run-2", 6)),
    ] {
        spec["secteur"] = json!("b");
        assert_eq!(sim.submit(0, &spec), 201, "{id}");
    }
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-"), 26);
    names.push("vm-b".into());
    set_unresponsive(&mut sim, &names, true);
    sim.run_for(75_000);
    assert_eq!(sim.on_machines("run-2/"), 6, "{:?}", sim.start_log);
    assert_eq!(sim.poll(0, "run-1").1, "done", "{:?}", sim.start_log);
}

//! Machines that are reachable only with delay, in one direction or not at all.

use crate::simulation::fixtures::{
    full_zone, heal, partition_zones, released, running_cluster, set_unresponsive,
};
use crate::simulation::{array, service, Delivery, LEASE_MS};
use lilacfork::messages::Destination;
use serde_json::json;

/// The heartbeats of a machine are lost while direct commands reach it. In an earlier version,
/// such a machine counted as responsive because it responded to commands. The machine was not
/// declared failed, and was assigned its tasks again whenever its lease had expired.
#[test]
fn machine_without_heartbeats_is_declared_failed_although_direct_commands_reach_it() {
    let mut sim = running_cluster(3);
    sim.capacity = 2;
    let name = "vm-a";
    for (id, zone, tasks) in [("run-1", "a", 4), ("run-2", "b", 8)] {
        let mut spec = service(id, tasks);
        spec["secteur"] = json!(zone);
        assert_eq!(sim.submit(0, &spec), 201);
    }
    sim.run_for(3000);
    let tasks = sim.workers[name].tasks.len();
    assert_eq!(tasks, 4);
    sim.workers.get_mut(name).unwrap().outbound_blocked = true;
    let starts_before = sim.start_log.len();
    // The machine receives commands throughout and responds to them.
    for n in 0..50 {
        let id = format!("run-{}", 100 + n);
        let mut spec = service(&id, 2);
        spec["secteur"] = json!("a");
        assert_eq!(sim.submit(0, &spec), 201);
        sim.run_for(500);
        assert_eq!(sim.cancel(0, &id).1, "cancelled");
        sim.run_for(200);
    }
    assert!(
        sim.workers[name].released,
        "the machine was not declared failed"
    );
    assert_eq!(sim.on_machines("run-1/"), 4);
    let restarts = sim.start_log[starts_before..]
        .iter()
        .filter(|start| start.contains("run-1/"));
    let restarts: Vec<_> = restarts.collect();
    assert!(
        restarts.iter().all(|start| !start.contains(name)),
        "tasks restarted on the machine without heartbeats: {restarts:?}"
    );
    assert_eq!(
        restarts.len(),
        tasks,
        "not every task restarted exactly once: {restarts:?}"
    );
}

/// A machine whose heartbeats are lost runs tasks of a cancelled job. The direct stop commands
/// must end these tasks.
#[test]
fn direct_command_stops_cancelled_job_on_machine_without_heartbeats() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 16)), 201);
    sim.run_for(3000);
    sim.workers.get_mut("vm-a").unwrap().outbound_blocked = true;
    sim.run_for(1000);
    assert_eq!(sim.cancel(1, "run-1").1, "cancelled");
    sim.run_for(500);
    assert_eq!(sim.on_machines("run-1"), 0);
}

/// The zones are partitioned from each other. The leader accepts a new job, and after longer than
/// a lease cancels a job in zone `b`.
#[test]
fn zone_partition_longer_than_lease_preserves_tasks_until_cancellation() {
    let (mut sim, names) = full_zone(3);
    partition_zones(&mut sim);
    sim.run_for(2000);
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(leader, &service("run-2", 4)), 201);
    sim.run_for(LEASE_MS + 3000);
    assert_eq!(sim.on_machines("run-1"), 56);
    assert_eq!(sim.cancel(leader, "run-1").1, "cancelled");
    sim.run_for(6000);
    assert_eq!(
        sim.on_machines("run-1"),
        0,
        "tasks of the cancelled job run in zone b"
    );
    heal(&mut sim);
    sim.run_for(8000);
    assert_eq!(sim.on_machines("run-2"), 4);
    assert!(released(&sim, &names).is_empty());
}

/// Start commands are delayed by 2 to 12 s. Meanwhile their machines hang for 1.5 s, during which
/// the job may be cancelled. A late command must start neither a task of the cancelled job nor a
/// task that was started elsewhere.
#[test]
fn delayed_command_starts_no_task_of_cancelled_or_moved_job() {
    for delay_ms in [2000, 5000, 8000, 12_000] {
        for cancel in [true, false] {
            let mut sim = running_cluster(3);
            sim.fault_injector = Box::new(move |_, _, call| match call.destination {
                Destination::Worker(_) => Delivery::RequestDelayed(delay_ms),
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
            assert_eq!(
                sim.on_machines("run-1"),
                expected,
                "tasks on machines, commands delayed by {delay_ms} ms"
            );
        }
    }
}

/// Jobs that are restricted to one zone, an array among them, lose their machines while the
/// other zone has free capacity. The jobs can't use that capacity, so machines must be
/// provisioned in their own zone.
#[test]
fn jobs_restricted_to_zone_are_served_there_after_its_machines_fail() {
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
        assert_eq!(sim.submit(0, &spec), 201, "{id} was not accepted");
    }
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-"), 26);
    names.push("vm-b".into());
    set_unresponsive(&mut sim, &names, true);
    sim.run_for(75_000);
    assert_eq!(
        sim.on_machines("run-2/"),
        6,
        "the service is incomplete: {:?}",
        sim.start_log
    );
    assert_eq!(
        sim.query(0, "run-1").1,
        "done",
        "the array is incomplete: {:?}",
        sim.start_log
    );
}

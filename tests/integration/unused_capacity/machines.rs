//! Machines that are booting, silent, deaf, about to leave or being released.

use super::{tasks_on, time_until};
use crate::simulation::fixtures::running_cluster;
use crate::simulation::{array, service, Simulation, LEASE_MS};
use serde_json::json;

/// Time from the kill of a leader until the next one leads and has heard from the workers.
const ELECTION_MS: u64 = 8000;

fn worker<'a>(sim: &'a mut Simulation, name: &str) -> &'a mut crate::simulation::Worker {
    sim.workers.get_mut(name).unwrap()
}

/// Creates a cluster of two machines, one of which runs a replica that also fits the other.
/// Nothing else can be provisioned.
fn cluster_with_replica(nodes: usize) -> Simulation {
    let mut sim = running_cluster(nodes);
    sim.capacity = 2;
    let leader = sim.leader().unwrap();
    let mut filler = service("run-2", 8);
    filler["secteur"] = json!("b");
    assert_eq!(sim.submit(leader, &filler), 201);
    sim.run_for(1500);
    assert_eq!(sim.submit(leader, &service("run-1", 1)), 201);
    sim.run_for(1500);
    assert_eq!(tasks_on(&sim, "vm-a", "run-1"), 1);
    assert_eq!(sim.cancel(leader, "run-2").1, "cancelled");
    sim.run_for(1500);
    sim
}

/// A new leader has received no heartbeat of a deaf machine with a token of its own term. It
/// ignored that the machine's lease had ended, and its tasks stayed assigned to it for good.
#[test]
fn deaf_machine_of_a_new_leader_holds_no_tasks() {
    let mut sim = cluster_with_replica(3);
    worker(&mut sim, "vm-a").inbound_blocked = true;
    sim.kill(sim.leader().unwrap());
    let limit_ms = ELECTION_MS + LEASE_MS + 4000;
    time_until(&mut sim, limit_ms, "the replica runs elsewhere", |sim| {
        tasks_on(sim, "vm-b", "run-1") == 1
    });
    sim.run_for(30_000);
    assert_eq!(sim.on_machines("run-1"), 1);
}

/// A new machine that is deaf counted as capacity to come for as long as it sent heartbeats, so
/// that nothing was provisioned in its place.
#[test]
fn deaf_new_machine_does_not_keep_others_from_being_provisioned() {
    let mut sim = Simulation::new(1);
    sim.add_machine("vm-a", "a", false, true);
    worker(&mut sim, "vm-a").inbound_blocked = true;
    sim.run_until(3000);
    assert_eq!(sim.submit(0, &array("run-1", 4)), 201);
    let limit_ms = LEASE_MS / 2 + sim.boot_ms + 3000;
    time_until(&mut sim, limit_ms, "the array runs elsewhere", |sim| {
        sim.on_machines("run-1") == 4
    });
}

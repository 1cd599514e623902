//! Machines that are booting, silent, deaf, about to leave or being released.

use super::{end_hang, lose_machine, tasks_on, time_until, Loss, REPLACED_MS};
use crate::simulation::fixtures::running_cluster;
use crate::simulation::{array, service, Simulation, Worker, WorkerTask, LEASE_MS};
use serde_json::json;

/// Time from the kill of a leader until the next one leads and has heard from the workers.
const ELECTION_MS: u64 = 8000;

fn worker<'a>(sim: &'a mut Simulation, name: &str) -> &'a mut Worker {
    sim.workers.get_mut(name).unwrap()
}

fn kill_leader(sim: &mut Simulation) {
    sim.kill(sim.leader().unwrap());
}

/// Creates a cluster of two machines, of which `vm-a` runs a replica that also fits the other and
/// saves for `save_s` when it is stopped. Nothing else can be provisioned.
fn cluster_with_replica(nodes: usize, save_s: f64) -> Simulation {
    let mut sim = running_cluster(nodes);
    sim.capacity = 2;
    let leader = sim.leader().unwrap();
    let mut filler = service("run-2", 8);
    filler["secteur"] = json!("b");
    assert_eq!(sim.submit(leader, &filler), 201);
    sim.run_for(1500);
    let mut replica = service("run-1", 1);
    replica["jalonS"] = json!(save_s);
    replica["sauvegardeS"] = json!(save_s);
    assert_eq!(sim.submit(leader, &replica), 201);
    sim.run_for(1500);
    assert_eq!(tasks_on(&sim, "vm-a", "run-1"), 1);
    assert_eq!(sim.cancel(leader, "run-2").1, "cancelled");
    sim.run_for(1500);
    sim
}

#[track_caller]
fn assert_replica_moves(sim: &mut Simulation, limit_ms: u64) {
    time_until(sim, limit_ms, "the replica runs elsewhere", |sim| {
        tasks_on(sim, "vm-b", "run-1") == 1
    });
}

/// Submits work that only the machine in zone `a` fits, and returns after how many milliseconds
/// it runs there.
#[track_caller]
fn time_until_used(sim: &mut Simulation, limit_ms: u64) -> u64 {
    // Nothing is kept for other work from a job with an objective on starts.
    let mut work = service("run-5", 2);
    work["secteur"] = json!("a");
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(leader, &work), 201);
    time_until(sim, limit_ms, "the machine is used", |sim| {
        tasks_on(sim, "vm-a", "run-5") == 2
    })
}

#[test]
fn booting_machine_that_never_comes_up_is_replaced() {
    for leader_fails in [false, true] {
        let mut sim = Simulation::new(3);
        sim.run_until(3000);
        let leader = sim.leader().unwrap();
        let boot_ms = std::mem::replace(&mut sim.boot_ms, 10_000_000);
        assert_eq!(sim.submit(leader, &array("run-1", 4)), 201);
        sim.run_for(3000);
        assert_eq!(sim.workers.len(), 1, "one machine boots");
        sim.boot_ms = boot_ms;
        if leader_fails {
            kill_leader(&mut sim);
        }
        // The catalog's boot time is 5 s.
        let released = |sim: &Simulation| sim.workers["vm-000000"].released;
        time_until(&mut sim, 25_000, "the machine is given up", released);
        time_until(&mut sim, 10_000, "the array ran", |sim| {
            sim.start_log.len() == 4
        });
    }
}

/// Up, or about to leave with a task that saves; under the same leader or a new one.
#[test]
fn silent_machine_is_replaced_in_every_phase() {
    for loss in Loss::ALL {
        for has_notice in [false, true] {
            for leader_fails in [false, true] {
                let mut sim = cluster_with_replica(3, 6.0);
                if has_notice {
                    worker(&mut sim, "vm-a").preemption_notice_s = Some(30.0);
                    sim.run_for(1500);
                    assert_eq!(sim.workers["vm-a"].tasks["run-1/0"].state, "flushing");
                }
                lose_machine(&mut sim, "vm-a", loss);
                let mut limit_ms = REPLACED_MS;
                if leader_fails {
                    kill_leader(&mut sim);
                    limit_ms += ELECTION_MS;
                }
                assert_replica_moves(&mut sim, limit_ms);
                sim.run_for(LEASE_MS);
                end_hang(&mut sim, "vm-a", loss);
                sim.run_for(LEASE_MS);
                assert_eq!(sim.on_machines("run-1"), 1, "{loss:?}");
            }
        }
    }
}

/// A new leader has received no heartbeat of a deaf machine with a token of its own term. It
/// ignored that the machine's lease had ended, and its tasks stayed assigned to it for good.
#[test]
fn deaf_machine_of_a_new_leader_holds_no_tasks() {
    let mut sim = cluster_with_replica(3, 0.0);
    worker(&mut sim, "vm-a").inbound_blocked = true;
    kill_leader(&mut sim);
    assert_replica_moves(&mut sim, ELECTION_MS + LEASE_MS + 4000);
    sim.run_for(30_000);
    assert_eq!(sim.on_machines("run-1"), 1);
    worker(&mut sim, "vm-a").inbound_blocked = false;
    time_until_used(&mut sim, 5000);
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

/// The machine has a task that no controller assigned to it. It gets no other work until it has
/// stopped that task, or its lease has ended.
#[test]
fn machine_with_an_unassigned_task_is_used_again() {
    for is_deaf in [false, true] {
        for leader_fails in [false, true] {
            let mut sim = cluster_with_replica(3, 0.0);
            let unassigned = WorkerTask {
                attempt: 9,
                state: "running",
                end_reason: None,
                fails: false,
            };
            let vm_a = worker(&mut sim, "vm-a");
            vm_a.tasks.insert("run-99/0".into(), unassigned);
            vm_a.inbound_blocked = is_deaf;
            if leader_fails {
                kill_leader(&mut sim);
                sim.run_for(ELECTION_MS);
            }
            sim.run_for(3000 + if is_deaf { LEASE_MS } else { 0 });
            assert_eq!(tasks_on(&sim, "vm-a", "run-99"), 0);
            worker(&mut sim, "vm-a").inbound_blocked = false;
            time_until_used(&mut sim, 5000);
            time_until(&mut sim, 5000, "the replica runs", |sim| {
                sim.on_machines("run-1") == 1
            });
        }
    }
}

/// A machine sends heartbeats and receives nothing, so that its starts have no effect. Before it
/// was declared failed, its lease ended, the starts were forgotten with the assignments, and the
/// same work was assigned to it again, for as long as it was deaf.
#[test]
fn machine_that_ignores_starts_is_replaced() {
    for leader_fails in [false, true] {
        let mut sim = running_cluster(3);
        let leader = sim.leader().unwrap();
        worker(&mut sim, "vm-a").inbound_blocked = true;
        let mut work = array("run-1", 4);
        work["secteur"] = json!("a");
        assert_eq!(sim.submit(leader, &work), 201);
        sim.run_for(2000);
        let mut limit_ms = 5000 + LEASE_MS + sim.boot_ms + 3000;
        if leader_fails {
            kill_leader(&mut sim);
            limit_ms += ELECTION_MS;
        }
        time_until(&mut sim, limit_ms, "the array runs elsewhere", |sim| {
            sim.on_machines("run-1") == 4
        });
    }
}

#[test]
fn machine_with_a_notice_is_replaced_or_used_again() {
    for leader_fails in [false, true] {
        let mut sim = cluster_with_replica(3, 0.0);
        worker(&mut sim, "vm-a").preemption_notice_s = Some(30.0);
        let mut limit_ms = 3000;
        if leader_fails {
            kill_leader(&mut sim);
            limit_ms += ELECTION_MS;
        }
        assert_replica_moves(&mut sim, limit_ms);
        // The notice is withdrawn.
        worker(&mut sim, "vm-a").preemption_notice_s = None;
        time_until_used(&mut sim, 3000);
    }
}

/// The cloud's interface is down while a machine is to be released, which is the proof that its
/// tasks need.
#[test]
fn release_is_repeated_until_the_cloud_confirms_it() {
    for leader_fails in [false, true] {
        let mut sim = cluster_with_replica(3, 0.0);
        sim.cloud_unavailable = true;
        sim.take_machine("vm-a");
        sim.run_for(30_000);
        assert_eq!(sim.on_machines("run-1"), 0, "silence is no proof");
        if leader_fails {
            kill_leader(&mut sim);
            sim.run_for(ELECTION_MS + REPLACED_MS);
            assert_eq!(sim.on_machines("run-1"), 0, "silence is no proof");
        }
        sim.cloud_unavailable = false;
        assert_replica_moves(&mut sim, 5000);
    }
}

/// A machine that was deaf for a while is used again, whether or not its lease has ended.
#[test]
fn machine_that_was_deaf_for_a_while_is_used_again() {
    for deaf_ms in [7000, 9000, 12_000] {
        let mut sim = running_cluster(1);
        sim.capacity = 2;
        worker(&mut sim, "vm-a").inbound_blocked = true;
        let mut work = array("run-1", 4);
        work["secteur"] = json!("a");
        assert_eq!(sim.submit(0, &work), 201);
        sim.run_for(deaf_ms);
        worker(&mut sim, "vm-a").inbound_blocked = false;
        time_until_used(&mut sim, 6000);
        time_until(&mut sim, 6000, "the array ran", |sim| {
            sim.start_log.len() >= 6
        });
        assert!(!sim.workers["vm-a"].released);
    }
}

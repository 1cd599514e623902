//! Machines that compaction drains.

use super::{end_hang, lose_machine, tasks_on, time_until, Loss, REPLACED_MS};
use crate::simulation::fixtures::{full_zone, heal, partition_zones, released, running_cluster};
use crate::simulation::{array, service, Simulation, CANCEL_MS, LEASE_MS};
use serde_json::json;

/// The machine that is drained, and the one to which its replica migrates.
pub(super) const DRAINED: &str = "vm-b";
pub(super) const TARGET: &str = "vm-a";

/// Creates a cluster of two machines of which `DRAINED` runs a single replica that has been
/// stopped and saves for `save_s`: an array on the other machine was cancelled, so that
/// compaction migrates the replica there. Nothing can be provisioned.
pub(super) fn draining_cluster(nodes: usize, save_s: f64) -> Simulation {
    let mut sim = compactable_cluster(nodes, save_s);
    sim.cancel(0, "run-2");
    if save_s > 0.0 {
        time_until(&mut sim, 5000, "the replica is stopped", |sim| {
            sim.workers[DRAINED].tasks["run-1/0"].state == "flushing"
        });
    }
    sim
}

/// Creates the cluster of [`draining_cluster`] before the array is cancelled.
fn compactable_cluster(nodes: usize, save_s: f64) -> Simulation {
    let mut sim = running_cluster(nodes);
    sim.capacity = 2;
    sim.task_duration_ms = 600_000;
    let mut replica = service("run-1", 1);
    replica["jalonS"] = json!(if save_s > 0.0 { 1.0 } else { 0.0 });
    replica["sauvegardeS"] = json!(save_s);
    for (id, tasks) in [("run-2", 6), ("run-3", 2)] {
        let mut work = array(id, tasks);
        work["secteur"] = json!("a");
        assert_eq!(sim.submit(0, &work), 201);
    }
    sim.run_for(3000);
    assert_eq!(sim.submit(0, &replica), 201);
    sim.run_for(40_000);
    assert_eq!(tasks_on(&sim, TARGET, "run-"), 8);
    assert_eq!(tasks_on(&sim, DRAINED, "run-1"), 1);
    sim
}

/// A machine that disappears while it drains was never declared failed, and its replica never
/// ran again (review/4).
#[test]
fn machine_that_disappears_while_it_drains_is_replaced() {
    for loss in Loss::ALL {
        for save_s in [0.0, 6.0] {
            let mut sim = if save_s > 0.0 {
                draining_cluster(1, save_s)
            } else {
                compactable_cluster(1, save_s)
            };
            lose_machine(&mut sim, DRAINED, loss);
            if save_s == 0.0 {
                // The machine is drained although it is gone: its last heartbeat is recent.
                sim.cancel(0, "run-2");
            }
            let lost_ms = sim.now_ms;
            time_until(&mut sim, REPLACED_MS, "the replica runs elsewhere", |sim| {
                tasks_on(sim, TARGET, "run-1") == 1
            });
            sim.run_until(lost_ms + LEASE_MS + 5000);
            end_hang(&mut sim, DRAINED, loss);
            sim.run_for(LEASE_MS);
            assert_eq!(sim.on_machines("run-1"), 1, "{loss:?}: {:?}", sim.start_log);
            assert!(sim.workers[DRAINED].released, "{loss:?}");
        }
    }
}

/// The cancelled task of a machine that disappears while it drains was never proven to have
/// ended, so that it counted against its team's limit for good.
#[test]
fn cancelled_task_on_a_silent_draining_machine_ends() {
    for loss in Loss::ALL {
        let mut sim = compactable_cluster(1, 0.0);
        lose_machine(&mut sim, DRAINED, loss);
        sim.cancel(0, "run-2");
        sim.run_for(2000);
        assert_eq!(sim.cancel(0, "run-1").1, "cancelled");
        let released = |sim: &Simulation| sim.workers[DRAINED].released;
        time_until(&mut sim, CANCEL_MS, "the machine is released", released);
    }
}

/// Machines that drain count when it is judged whether most of a zone is silent, and a renewal of
/// their lease by a follower counts as for any other machine.
#[test]
fn draining_machines_of_a_cut_zone_are_not_given_up_sooner() {
    let (mut sim, names) = full_zone(3);
    sim.capacity = 0;
    sim.add_machine("vm-drained", "b", true, true);
    sim.add_machine("vm-target", "b", true, true);
    sim.run_for(2000);
    let leader = sim.leader().unwrap();
    let mut replica = service("run-2", 1);
    replica["occasion"] = json!(true);
    replica["secteur"] = json!("b");
    let mut filler = array("run-3", 2);
    filler["secteur"] = json!("b");
    let mut blocker = array("run-4", 6);
    blocker["secteur"] = json!("b");
    assert_eq!(sim.submit(leader, &filler), 201);
    assert_eq!(sim.submit(leader, &blocker), 201);
    sim.run_for(2000);
    assert_eq!(sim.submit(leader, &replica), 201);
    sim.run_for(40_000);
    let drained = if tasks_on(&sim, "vm-drained", "run-2") == 1 {
        "vm-drained"
    } else {
        "vm-target"
    };
    assert_eq!(tasks_on(&sim, drained, "run-"), 1, "{:?}", sim.start_log);
    let starts = sim.start_log.len();
    partition_zones(&mut sim);
    sim.cancel(leader, "run-4");
    sim.run_for(LEASE_MS + 3000);
    let all: Vec<String> = names.iter().cloned().chain([drained.into()]).collect();
    assert!(
        released(&sim, &all).is_empty(),
        "{:?}",
        released(&sim, &all)
    );
    assert_eq!(tasks_on(&sim, drained, "run-2"), 1, "the replica goes on");
    heal(&mut sim);
    sim.run_for(LEASE_MS);
    assert!(released(&sim, &names).is_empty());
    assert_eq!(sim.on_machines("run-2"), 1);
    assert!(sim.start_log.len() <= starts + 1, "{:?}", sim.start_log);
}

/// The only machine of a zone drains while the zone is cut off. A follower there renews its lease
/// and stores that it does.
#[test]
fn draining_machine_whose_lease_a_follower_renews_is_kept() {
    let mut sim = draining_cluster(3, 28.0);
    assert_ne!(sim.leader(), Some(1), "the leader is in the other zone");
    partition_zones(&mut sim);
    sim.run_for(LEASE_MS + 5000);
    assert!(!sim.workers[DRAINED].released);
    assert_eq!(sim.workers[DRAINED].tasks["run-1/0"].state, "flushing");
    heal(&mut sim);
    time_until(&mut sim, 20_000, "the replica runs elsewhere", |sim| {
        tasks_on(sim, TARGET, "run-1") == 1
    });
}

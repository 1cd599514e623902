//! Gangs, each of which forms one replica group.

use super::gang;
use crate::simulation::replica_groups::{
    attempts_by_task, cluster_with_machines, machines_by_task,
};
use std::collections::BTreeSet;

#[test]
fn gang_that_loses_a_machine_restarts_as_a_whole_and_completes() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    sim.task_duration_ms = 25_000;
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(leader, &gang("run-1", 3)), 201);
    sim.run_for(5000);
    assert_eq!(sim.on_machines("run-1"), 3);
    let lost = machines_by_task(&sim, "run-1")["run-1/2"].clone();
    sim.workers.get_mut(&lost).unwrap().unresponsive = true;
    sim.run_for(15_000);
    let attempts = attempts_by_task(&sim, "run-1");
    let generations: BTreeSet<u64> = attempts.values().copied().collect();
    assert_eq!((attempts.len(), generations.len()), (3, 1), "{attempts:?}");
    sim.run_for(30_000);
    assert_eq!(sim.query(0, "run-1").1, "done");
}

/// One part completes before the machine of the other part fails. Only the part on the failed
/// machine is restarted.
#[test]
fn completed_parts_of_a_gang_are_not_restarted() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c"]);
    sim.task_duration_ms = 4000;
    sim.workers.get_mut("vm-b").unwrap().slowdown_factor = 5;
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(leader, &gang("run-1", 2)), 201);
    sim.run_for(7500);
    let remaining = machines_by_task(&sim, "run-1");
    assert_eq!(
        remaining.len(),
        1,
        "not exactly one part remains: {remaining:?}"
    );
    sim.workers.get_mut("vm-b").unwrap().unresponsive = true;
    sim.run_for(25_000);
    assert_eq!(sim.query(0, "run-1").1, "done");
    assert_eq!(sim.start_log.len(), 3, "{:?}", sim.start_log);
}

//! Machines that are cordoned because tasks failed on them.

use super::{lose_machine, tasks_on, time_until, Loss, REPLACED_MS};
use crate::simulation::fixtures::{running_cluster, service_without_objective, task_starts};
use crate::simulation::replica_groups::{cluster_with_machines, whole_machine_service};
use crate::simulation::{array, service, Simulation};
use lilacfork::waiting::MAX_WAIT_MS;
use serde_json::{json, Value};

/// The aim for a machine that is well again: the time until it takes work.
const WELL_AGAIN_MS: u64 = 30_000;
/// The longest time for which a machine fails every task in an operator's site.
const SICK_MS: u64 = 105_000;
/// Starts that a machine may get in that time after it was cordoned.
const MAX_PROBES: usize = 10;

/// The machine that is sick for a while.
const SICK: &str = "vm-a";

/// Returns an array whose tasks may only run in zone `a`.
fn array_in_zone_a(id: &str, tasks: u32) -> Value {
    let mut spec = array(id, tasks);
    spec["secteur"] = json!("a");
    spec
}

/// Creates a cluster of one machine in each zone with one replica each, of which the one in
/// zone `a` fails every task that it starts. Nothing can be provisioned.
fn sick_cluster(nodes: usize) -> Simulation {
    let mut sim = running_cluster(nodes);
    sim.capacity = 2;
    for (id, zone) in [("run-1", "a"), ("run-10", "b")] {
        let mut replica = service(id, 1);
        replica["secteur"] = json!(zone);
        assert_eq!(sim.submit(0, &replica), 201);
    }
    sim.run_for(2000);
    assert_eq!(tasks_on(&sim, SICK, "run-1/"), 1);
    set_sick(&mut sim, true);
    sim
}

fn set_sick(sim: &mut Simulation, sick: bool) {
    sim.workers.get_mut(SICK).unwrap().faulty = sick;
}

/// Returns how many task attempts of a job were started on the sick machine.
fn starts_on_sick(sim: &Simulation, job: &str) -> usize {
    let start = format!(" {SICK} {job}/");
    let starts = sim.start_log.iter();
    starts.filter(|line| line.contains(&start)).count()
}

/// A machine that failed two tasks and runs a service was neither used again nor replaced
/// (review/5).
#[test]
fn cordoned_machine_with_a_service_is_used_again_when_it_is_well() {
    for sick_ms in [2000, 10_000, 30_000, SICK_MS] {
        let mut sim = sick_cluster(1);
        sim.task_duration_ms = 10_000;
        assert_eq!(sim.submit(0, &array_in_zone_a("run-2", 3)), 201);
        sim.run_for(sick_ms);
        set_sick(&mut sim, false);
        let before = starts_on_sick(&sim, "run-2");
        time_until(&mut sim, WELL_AGAIN_MS, "work is tried again", |sim| {
            starts_on_sick(sim, "run-2") > before
        });
        time_until(&mut sim, WELL_AGAIN_MS, "the whole array runs", |sim| {
            starts_on_sick(sim, "run-2") >= before + 3
        });
        sim.run_for(20_000);
        assert_eq!(sim.query(0, "run-2").1, "done", "sick for {sick_ms} ms");
        assert_eq!(task_starts(&sim, "run-1"), 1, "the replica is untouched");
        assert_eq!(sim.on_machines("run-1/"), 1);
    }
}

/// A sick machine was opened by every task that had started before and was done, and failed the
/// next ones.
#[test]
fn machine_that_stays_sick_gets_few_starts() {
    for tasks_before in [0, 3] {
        let mut sim = sick_cluster(1);
        sim.task_duration_ms = 20_000;
        sim.stagger_ms = 25_000;
        if tasks_before > 0 {
            set_sick(&mut sim, false);
            let spec = array_in_zone_a("run-3", tasks_before);
            assert_eq!(sim.submit(0, &spec), 201);
            sim.run_for(2000);
            assert_eq!(tasks_on(&sim, SICK, "run-3"), 3);
            set_sick(&mut sim, true);
        }
        let mut waiting = array_in_zone_a("run-2", 40);
        waiting["prevuS"] = json!(20.0);
        assert_eq!(sim.submit(0, &waiting), 201);
        sim.run_for(3000);
        let first = starts_on_sick(&sim, "run-2");
        assert!(first <= 8, "{first} starts before the cordon");
        sim.run_for(SICK_MS - 3000);
        let probes = starts_on_sick(&sim, "run-2") - first;
        assert!(
            (1..=MAX_PROBES).contains(&probes),
            "{probes} probes: {:?}",
            sim.start_log
        );
        set_sick(&mut sim, false);
        let before = starts_on_sick(&sim, "run-2");
        time_until(&mut sim, WELL_AGAIN_MS, "the machine is full", |sim| {
            starts_on_sick(sim, "run-2") >= before + 7
        });
    }
}

/// A job with a mistake failed twice on each of two machines, which then were closed to all other
/// jobs until its user cancelled it.
#[test]
fn job_with_a_mistake_closes_no_fleet_of_two() {
    for (wait_ms, other) in [
        (0, array("run-2", 12)),
        (3000, array("run-2", 12)),
        (40_000, array("run-2", 12)),
        (3000, service("run-2", 12)),
        (40_000, service("run-2", 12)),
    ] {
        let mut sim = running_cluster(1);
        sim.capacity = 2;
        sim.task_duration_ms = 30_000;
        sim.failing_jobs.insert("run-1".into());
        // No capacity is reserved for the expected demand of its class.
        let mistaken = service_without_objective("run-1");
        assert_eq!(sim.submit(0, &mistaken), 201);
        sim.run_for(wait_ms);
        assert_eq!(sim.submit(0, &other), 201);
        time_until(&mut sim, WELL_AGAIN_MS, "the other job runs", |sim| {
            sim.on_machines("run-2") == 12
        });
        let starts = task_starts(&sim, "run-1");
        sim.run_for(30_000);
        let more = task_starts(&sim, "run-1") - starts;
        assert!(more <= 8, "{more} more starts of the job with a mistake");
    }
}

/// A cordoned machine is watched like any other.
#[test]
fn cordoned_machine_that_disappears_is_replaced() {
    for loss in Loss::ALL {
        let mut sim = running_cluster(1);
        sim.capacity = 2;
        assert_eq!(sim.submit(0, &service("run-1", 2)), 201);
        sim.run_for(2000);
        set_sick(&mut sim, true);
        assert_eq!(sim.submit(0, &array_in_zone_a("run-2", 3)), 201);
        sim.run_for(3000);
        lose_machine(&mut sim, SICK, loss);
        time_until(&mut sim, REPLACED_MS, "both replicas run", |sim| {
            tasks_on(sim, "vm-b", "run-1") == 2
        });
    }
}

/// A new leader knows nothing of failures before its election and tries the machine at once.
#[test]
fn new_leader_tries_a_cordoned_machine_at_once() {
    let mut sim = sick_cluster(3);
    sim.task_duration_ms = 10_000;
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(leader, &array_in_zone_a("run-2", 3)), 201);
    sim.run_for(60_000);
    set_sick(&mut sim, false);
    let before = starts_on_sick(&sim, "run-2");
    sim.kill(leader);
    time_until(&mut sim, WELL_AGAIN_MS, "the whole array runs", |sim| {
        starts_on_sick(sim, "run-2") >= before + 3
    });
    assert_eq!(sim.on_machines("run-1/"), 1);
}

/// A gang can't send one task ahead as a probe. It was never tried again on a machine that it had
/// cordoned itself.
#[test]
fn well_machine_is_probed_by_a_gang() {
    let mut sim = sick_cluster(1);
    sim.task_duration_ms = 20_000;
    let mut gang = array_in_zone_a("run-2", 2);
    gang["genre"] = json!("group");
    gang["gpus"] = json!(3.0);
    assert_eq!(sim.submit(0, &gang), 201);
    sim.run_for(10_000);
    let first = starts_on_sick(&sim, "run-2");
    assert_eq!(first, 2, "two tasks failed");
    set_sick(&mut sim, false);
    time_until(&mut sim, MAX_WAIT_MS, "the gang runs", |sim| {
        starts_on_sick(sim, "run-2") == first + 2
    });
    sim.run_for(25_000);
    assert_eq!(sim.query(0, "run-2").1, "done");
}

/// The same for a replica that spans machines.
#[test]
fn well_machine_is_probed_by_a_replica_group() {
    let mut sim = cluster_with_machines(1, &["vm-a", "vm-b"]);
    sim.capacity = 2;
    let mut replicas = service_without_objective("run-1");
    replicas["pieces"] = json!(2);
    replicas["gpus"] = json!(5.0);
    assert_eq!(sim.submit(0, &replicas), 201);
    sim.run_for(1500);
    assert_eq!(tasks_on(&sim, SICK, "run-1"), 1);
    set_sick(&mut sim, true);
    let mut replica = whole_machine_service("run-2", 2);
    replica["gpus"] = json!(3.0);
    replica["cpus"] = json!(30.0);
    assert_eq!(sim.submit(0, &replica), 201);
    sim.run_for(10_000);
    assert!(starts_on_sick(&sim, "run-2") >= 2);
    set_sick(&mut sim, false);
    time_until(&mut sim, MAX_WAIT_MS, "the replica runs", |sim| {
        sim.on_machines("run-2") == 2
    });
    sim.run_for(20_000);
    assert_eq!(sim.on_machines("run-2"), 2, "{:?}", sim.start_log);
}

/// Two jobs have failed on a machine while it was sick, one of them because of a mistake of its
/// own. That one was always the first to probe the machine (seed 362 of the random troubles).
#[test]
fn job_that_failed_is_tried_again_beside_one_with_a_mistake() {
    let mut sim = sick_cluster(1);
    sim.failing_jobs.insert("run-2".into());
    let mut mistaken = array_in_zone_a("run-2", 4);
    mistaken["rang"] = json!("high");
    assert_eq!(sim.submit(0, &mistaken), 201);
    assert_eq!(sim.submit(0, &array_in_zone_a("run-3", 3)), 201);
    sim.run_for(30_000);
    assert!(starts_on_sick(&sim, "run-2") > 0 && starts_on_sick(&sim, "run-3") > 0);
    set_sick(&mut sim, false);
    time_until(&mut sim, MAX_WAIT_MS, "the other job runs", |sim| {
        sim.on_machines("run-3") > 0
    });
    sim.run_for(30_000);
    assert_eq!(sim.query(0, "run-3").1, "done");
}

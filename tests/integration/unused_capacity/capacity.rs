//! Free capacity that is kept for something else.

use super::draining::{draining_cluster, DRAINED, TARGET};
use super::{lose_machine, tasks_on, time_until, Loss, REPLACED_MS};
use crate::simulation::replica_groups::{cluster_with_machines, whole_machine_service};
use crate::simulation::{array, service, Simulation, LEASE_MS};
use lilacfork::waiting::MAX_WAIT_MS;
use serde_json::{json, Value};

/// Time between two arrivals of urgent jobs, each of which is cancelled after a second.
const ARRIVAL_INTERVAL_MS: u64 = 8000;

/// The longest boot that tests wait for.
const MAX_BOOT_MS: u64 = 4000;

/// Creates a cluster of one machine at which urgent jobs have arrived for a while, so that all
/// its capacity is kept for the next ones. Nothing can be provisioned.
fn expecting_cluster(nodes: usize) -> Simulation {
    let mut sim = Simulation::new(nodes);
    sim.add_machine("vm-a", "a", false, true);
    sim.run_until(5000);
    expect_urgent_work(sim)
}

fn expect_urgent_work(mut sim: Simulation) -> Simulation {
    sim.capacity = 0;
    sim.task_duration_ms = 600_000;
    for _ in 0..4 {
        urgent_job_comes_and_goes(&mut sim);
    }
    sim
}

/// Submits a job with an objective on starts, cancels it, and runs until the next one.
fn urgent_job_comes_and_goes(sim: &mut Simulation) {
    let id = format!("run-9{}", sim.now_ms);
    let Some(leader) = sim.leader() else {
        sim.run_for(ARRIVAL_INTERVAL_MS);
        return;
    };
    assert_eq!(sim.submit(leader, &service(&id, 8)), 201);
    sim.run_for(1000);
    sim.cancel(leader, &id);
    sim.run_for(ARRIVAL_INTERVAL_MS - 1000);
}

/// Returns the time at which the first task of a job was started.
fn first_start_ms(sim: &Simulation, id: &str) -> Option<u64> {
    let mark = format!(" {id}/");
    let start = sim.start_log.iter().find(|start| start.contains(&mark))?;
    start.split(' ').next()?.parse().ok()
}

/// Fails the test unless a job is started that was submitted at `submitted_ms`, while urgent jobs
/// come and go, and after capacity was kept from it for a while.
#[track_caller]
fn assert_started_in_time(sim: &mut Simulation, id: &str, submitted_ms: u64) {
    while sim.now_ms < submitted_ms + MAX_WAIT_MS {
        urgent_job_comes_and_goes(sim);
    }
    let started_ms = first_start_ms(sim, id);
    let waited_ms = started_ms.map(|started_ms| started_ms - submitted_ms);
    assert!(
        waited_ms.is_some_and(|waited_ms| (30_000..MAX_WAIT_MS).contains(&waited_ms)),
        "{id} waited for {waited_ms:?} ms"
    );
}

fn submit(sim: &mut Simulation, spec: &Value) -> u64 {
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(leader, spec), 201);
    sim.now_ms
}

/// Batch work waited beside capacity that was kept for expected urgent work, for as long as such
/// work was expected.
#[test]
fn waiting_job_takes_capacity_kept_for_expected_work() {
    for tasks in [1, 4, 8] {
        let mut sim = expecting_cluster(1);
        let submitted_ms = submit(&mut sim, &array("run-1", tasks));
        assert_started_in_time(&mut sim, "run-1", submitted_ms);
    }
}

/// The same for tasks that can only start together.
#[test]
fn waiting_gang_takes_capacity_kept_for_expected_work() {
    for tasks in [2, 8] {
        let mut sim = expecting_cluster(1);
        let mut gang = array("run-1", tasks);
        gang["genre"] = json!("group");
        let submitted_ms = submit(&mut sim, &gang);
        assert_started_in_time(&mut sim, "run-1", submitted_ms);
    }
}

/// The same for a gang that forms a replica group.
#[test]
fn waiting_replica_group_takes_capacity_kept_for_expected_work() {
    let sim = cluster_with_machines(1, &["vm-a", "vm-b"]);
    let mut sim = expect_urgent_work(sim);
    let mut gang = whole_machine_service("run-1", 2);
    gang["genre"] = json!("group");
    gang["gabarit"] = json!("batch");
    gang["rang"] = json!("standard");
    gang["prevuS"] = json!(3.0);
    let submitted_ms = submit(&mut sim, &gang);
    assert_started_in_time(&mut sim, "run-1", submitted_ms);
}

/// A job that was never tried has waited since its submission, whichever leader saw it.
#[test]
fn new_leader_remembers_how_long_a_job_has_waited() {
    let mut sim = expecting_cluster(3);
    let mut large_task = array("run-1", 1);
    large_task["gpus"] = json!(8.0);
    large_task["occasion"] = json!(false);
    let submitted_ms = submit(&mut sim, &large_task);
    sim.add_machine("vm-b", "b", true, true);
    for n in 0..3 {
        // A new leader learns from these jobs that urgent work is to be expected.
        let mut urgent = service(&format!("run-80{n}"), 2);
        urgent["occasion"] = json!(true);
        urgent["secteur"] = json!("b");
        submit(&mut sim, &urgent);
        urgent_job_comes_and_goes(&mut sim);
    }
    sim.kill(sim.leader().unwrap());
    assert_started_in_time(&mut sim, "run-1", submitted_ms);
}

/// A service waits for the capacity of tasks that were preempted for it, on a machine that doesn't
/// receive the stops.
#[test]
fn capacity_of_a_stopping_task_is_used_after_its_machine_is_deaf() {
    let mut sim = Simulation::new(1);
    sim.add_machine("vm-a", "a", false, true);
    sim.run_until(5000);
    sim.task_duration_ms = 600_000;
    submit(&mut sim, &array("run-1", 8));
    sim.run_for(2000);
    assert_eq!(sim.on_machines("run-1"), 8);
    sim.workers.get_mut("vm-a").unwrap().inbound_blocked = true;
    submit(&mut sim, &service("run-2", 1));
    let limit_ms = LEASE_MS + sim.boot_ms + 5000;
    time_until(&mut sim, limit_ms, "the service runs", |sim| {
        sim.on_machines("run-2") == 1
    });
}

/// The machine to which a replica migrates disappears while the replica saves. Where nothing can
/// be provisioned, the only machine left is the one that was drained for the migration.
#[test]
fn migration_target_that_disappears_is_given_up() {
    for can_provision in [false, true] {
        for loss in [Loss::Silent, Loss::Taken] {
            let mut sim = draining_cluster(1, 6.0);
            lose_machine(&mut sim, TARGET, loss);
            if !can_provision {
                sim.boot_ms = 10_000_000;
            }
            let limit_ms = 6000 + REPLACED_MS + sim.boot_ms.min(MAX_BOOT_MS);
            time_until(&mut sim, limit_ms, "the replica runs", |sim| {
                let machines = sim.workers.iter().filter(|(name, _)| *name != TARGET);
                machines
                    .filter_map(|(_, worker)| worker.tasks.get("run-1/0"))
                    .any(|task| task.state == "running")
            });
            if !can_provision {
                assert_eq!(tasks_on(&sim, DRAINED, "run-1"), 1);
            }
        }
    }
}

/// A replica that spans two machines has lost one, and no other can be had. The one that is kept
/// for its next generation is free again in time.
#[test]
fn reservation_of_a_group_that_cannot_start_expires() {
    let mut sim = cluster_with_machines(1, &["vm-a", "vm-b"]);
    sim.task_duration_ms = 600_000;
    let mut gang = array("run-1", 2);
    gang["genre"] = json!("group");
    gang["gpus"] = json!(8.0);
    submit(&mut sim, &gang);
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-1"), 2);
    sim.take_machine("vm-b");
    submit(&mut sim, &array("run-2", 4));
    // Failure detection, and a reservation of two leases.
    let limit_ms = REPLACED_MS + 2 * LEASE_MS + 3000;
    time_until(&mut sim, limit_ms, "the array runs", |sim| {
        sim.on_machines("run-2") == 4
    });
}

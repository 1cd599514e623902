//! Tasks and jobs that aren't placed or started for the time being.

use super::draining::{draining_cluster, DRAINED, TARGET};
use super::{tasks_on, time_until};
use crate::simulation::fixtures::running_cluster;
use crate::simulation::{array, service, Simulation, LEASE_MS};
use lilacfork::faults::CircuitBreaker;
use lilacfork::ids::MachineId;
use lilacfork::waiting::MAX_WAIT_MS;

/// The start of a task is sent only once its assignment is stored.
#[test]
fn assigned_task_starts_when_the_store_is_back() {
    let mut sim = running_cluster(3);
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(leader, &array("run-1", 4)), 201);
    sim.kv_store.unavailable = true;
    sim.run_for(20_000);
    sim.end_kv_store_outage();
    time_until(&mut sim, 10_000, "the array was started", |sim| {
        sim.start_log.len() == 4
    });
}

/// A task on a draining machine saves for longer than a lease.
#[test]
fn task_that_saves_is_not_given_up_while_its_machine_reports() {
    let mut sim = draining_cluster(1, 25.0);
    sim.run_for(LEASE_MS * 2);
    assert_eq!(sim.workers[DRAINED].tasks["run-1/0"].state, "flushing");
    assert!(!sim.workers[DRAINED].released);
    time_until(&mut sim, 8000, "the replica runs elsewhere", |sim| {
        tasks_on(sim, TARGET, "run-1") == 1
    });
}

/// With heartbeats of 2.5 s, probes of an open breaker were up to 160 s apart.
#[test]
fn probes_of_an_open_breaker_are_never_further_apart_than_the_limit() {
    for heartbeat_interval_ms in [500, 1000, 2500, 10_000] {
        let mut breaker = CircuitBreaker::default();
        let mut now_ms = 0;
        for n in 0..20 {
            let machine = MachineId::new(&format!("vm-{n}"));
            breaker.record_failure(now_ms, &machine, true, heartbeat_interval_ms);
            let pause_ms = (0..=MAX_WAIT_MS)
                .step_by(100)
                .find(|pause_ms| breaker.allows_attempt(now_ms + pause_ms));
            assert!(
                pause_ms.is_some_and(|pause_ms| pause_ms <= MAX_WAIT_MS * 3 / 4),
                "{pause_ms:?} ms after {n} failures with heartbeats of {heartbeat_interval_ms} ms"
            );
            now_ms += pause_ms.unwrap();
        }
    }
}

/// The breaker of a job without a mistake is open because it failed on three machines that are
/// sick at the same time.
#[test]
fn job_that_was_hit_by_three_sick_machines_runs_when_they_are_well() {
    for leader_fails in [false, true] {
        let mut sim = running_cluster(3);
        sim.capacity = 3;
        sim.add_machine("vm-c", "a", false, true);
        sim.run_for(2000);
        // Replicas keep the machines from being released as idle.
        let leader = sim.leader().unwrap();
        assert_eq!(sim.submit(leader, &service("run-1", 3)), 201);
        sim.run_for(2000);
        set_all_sick(&mut sim, true);
        assert_eq!(sim.submit(leader, &array("run-2", 12)), 201);
        sim.run_for(60_000);
        assert_eq!(sim.on_machines("run-2"), 0);
        set_all_sick(&mut sim, false);
        if leader_fails {
            sim.kill(leader);
        }
        time_until(&mut sim, MAX_WAIT_MS, "the array runs", |sim| {
            sim.on_machines("run-2") > 0
        });
        sim.run_for(20_000);
        let leader = sim.leader().unwrap();
        assert_eq!(sim.query(leader, "run-2").1, "done");
    }
}

fn set_all_sick(sim: &mut Simulation, sick: bool) {
    for worker in sim.workers.values_mut() {
        worker.faulty = sick;
    }
}

/// The worker says that it has too few resources.
#[test]
fn rejected_start_is_tried_again() {
    let mut sim = running_cluster(1);
    assert_eq!(sim.submit(0, &service("run-1", 1)), 201);
    let started = |sim: &Simulation| !sim.start_log.is_empty();
    time_until(&mut sim, 2000, "the task is started", started);
    for worker in sim.workers.values_mut() {
        if let Some(task) = worker.tasks.get_mut("run-1/0") {
            task.state = "ended";
            task.end_reason = Some("full");
        }
    }
    time_until(&mut sim, 3000, "the task is started again", |sim| {
        sim.on_machines("run-1") == 1
    });
    assert_eq!(sim.start_log.len(), 2, "{:?}", sim.start_log);
}

//! Tasks that fail: by their job's fault, by their machine's, or both at once.

use crate::simulation::fixtures::{released, running_cluster, task_starts};
use crate::simulation::{array, service, Simulation};
use lilacfork::faults::{CircuitBreaker, MachineFaults};
use lilacfork::ids::{JobId, MachineId};

const REPORT_MS: u64 = 1000;

fn machine(n: u32) -> MachineId {
    MachineId::new(&format!("vm-{n}"))
}

#[test]
fn a_machine_is_faulty_by_two_jobs_or_by_one_that_succeeds_elsewhere() {
    let (one, other) = (JobId::new("run-1"), JobId::new("run-2"));
    let mut evidence = MachineFaults::default();
    evidence.record_failure(&one, false);
    assert!(!evidence.is_suspect());
    evidence.record_failure(&one, false);
    assert!(
        evidence.is_suspect() && !evidence.is_faulty(),
        "it may be the job"
    );
    evidence.record_success_elsewhere(&other);
    assert!(!evidence.is_faulty(), "that job never failed here");
    let mut by_success = evidence.clone();
    by_success.record_success_elsewhere(&one);
    assert!(by_success.is_faulty());
    let mut by_two = evidence.clone();
    by_two.record_failure(&other, false);
    assert!(by_two.is_faulty());
    by_two.discard_failures_of(&one);
    assert!(!by_two.is_suspect());
    by_success.record_success();
    assert!(!by_success.is_suspect());
}

#[test]
fn a_breaker_opens_after_three_machines_and_closes_by_a_success() {
    let mut history = CircuitBreaker::default();
    for n in [1, 1, 1, 2, 2] {
        history.record_failure(0, &machine(n), true, REPORT_MS);
    }
    assert!(!history.is_open(), "two machines may both be faulty");
    history.record_failure(0, &machine(3), false, REPORT_MS);
    assert!(history.is_open() && history.allows_attempt(0));
    let pauses: Vec<u64> = (0..9)
        .map(|_| {
            history.record_failure(0, &machine(4), true, REPORT_MS);
            (0..).find(|ms| history.allows_attempt(*ms)).unwrap_or(0)
        })
        .collect();
    assert_eq!(
        pauses,
        [500, 1000, 2000, 4000, 8000, 16_000, 32_000, 64_000, 64_000]
    );
    let mut inherited = CircuitBreaker::default();
    inherited.restore(history.to_record());
    assert!(inherited.is_open() && inherited.allows_attempt(0));
    assert!(inherited.record_success(), "the first");
    assert!(!inherited.is_open());
    assert!(!inherited.record_success(), "the second");
    assert_eq!(CircuitBreaker::default().to_record(), 0);
}

/// Six machines, and a job of forty tasks that fail everywhere.
fn with_a_mistake(nodes: usize) -> (Simulation, Vec<String>) {
    let mut sim = running_cluster(nodes);
    let names: Vec<String> = (1..5).map(|n| format!("vm-c{n}")).collect();
    for name in &names {
        sim.add_machine(name, "a", false, true);
    }
    sim.run_for(2000);
    sim.failing_jobs.insert("run-1".into());
    (sim, names)
}

/// All its tasks once started again after every backoff, on up to 35 machines, and
/// machines were provisioned for them (inc-c0eb, inc-683a).
#[test]
fn a_job_with_a_mistake_is_probed_by_one_task_at_a_time() {
    let (mut sim, names) = with_a_mistake(1);
    let machines = sim.workers.len();
    assert_eq!(sim.submit(0, &array("run-1", 40)), 201);
    sim.run_for(4000);
    let first = task_starts(&sim, "run-1");
    sim.run_for(45_000);
    let probes = task_starts(&sim, "run-1") - first;
    assert!(
        (3..=7).contains(&probes),
        "{first} at first, {probes} since"
    );
    assert_eq!(sim.workers.len(), machines, "nothing is rented for it");
    assert!(released(&sim, &names).is_empty());
    assert_eq!(sim.cancel(0, "run-1").0, 200);
}

/// A machine without tasks but those of such a job was once released at once.
#[test]
fn a_job_with_a_mistake_costs_no_empty_machine() {
    let (mut sim, names) = with_a_mistake(1);
    assert_eq!(sim.submit(0, &array("run-1", 2)), 201);
    sim.run_for(10_000);
    assert!(
        released(&sim, &names).is_empty(),
        "{:?}",
        released(&sim, &names)
    );
    assert!(!sim.workers["vm-a"].released && !sim.workers["vm-b"].released);
    // And it is of use at once.
    assert_eq!(sim.submit(0, &service("run-2", 12)), 201);
    sim.run_for(2000);
    assert_eq!(sim.on_machines("run-2"), 12);
}

/// A faulty machine and a failing job at once, also with a failover in between.
#[test]
fn a_faulty_machine_is_found_among_jobs_with_a_mistake() {
    for leader_ends in [false, true] {
        let (mut sim, names) = with_a_mistake(3);
        sim.failing_jobs.insert("run-3".into());
        sim.workers.get_mut("vm-c2").unwrap().faulty = true;
        for (n, id) in ["run-1", "run-2", "run-3"].iter().enumerate() {
            assert_eq!(sim.submit(n, &array(id, 14)), 201);
        }
        if leader_ends {
            sim.run_for(600);
            sim.kill(sim.leader().unwrap());
        }
        sim.run_for(30_000);
        let alive = sim.leader().unwrap();
        assert_eq!(sim.poll(alive, "run-2").1, "done");
        assert_eq!(
            released(&sim, &names),
            ["vm-c2"],
            "leader ends: {leader_ends}"
        );
    }
}

/// A new leader once knew nothing of the failures and started all tasks again.
#[test]
fn a_new_leader_knows_which_jobs_fail_everywhere() {
    let (mut sim, _) = with_a_mistake(3);
    assert_eq!(sim.submit(0, &array("run-1", 40)), 201);
    sim.run_for(10_000);
    let first = task_starts(&sim, "run-1");
    sim.kill(sim.leader().unwrap());
    sim.run_for(20_000);
    assert!(sim.leader().is_some());
    let since = task_starts(&sim, "run-1") - first;
    assert!((1..=6).contains(&since), "{first} at first, {since} since");
}

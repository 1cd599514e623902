//! Tests of the attribution of task failures to jobs, to machines, or to both at once.

use crate::simulation::fixtures::{released, running_cluster, task_starts};
use crate::simulation::{array, service, Simulation};
use lilacfork::faults::{CircuitBreaker, FailureKind, MachineFaults, TaskFailure};
use lilacfork::ids::{JobId, MachineId};

const HEARTBEAT_INTERVAL_MS: u64 = 1000;

fn machine(n: u32) -> MachineId {
    MachineId::new(&format!("vm-{n}"))
}

/// Returns the failure of a task whose job is not known to succeed.
fn failure_of(job: &JobId) -> TaskFailure<'_> {
    TaskFailure {
        kind: FailureKind::Failed,
        job,
        job_succeeds: false,
        started_ms: Some(0),
        now_ms: 1000,
        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
    }
}

#[test]
fn machine_is_faulty_after_failures_of_two_jobs_or_of_one_that_succeeds_elsewhere() {
    let (first, second) = (JobId::new("run-1"), JobId::new("run-2"));
    let mut evidence = MachineFaults::default();
    evidence.record_failure(failure_of(&first));
    assert!(!evidence.is_suspect());
    evidence.record_failure(failure_of(&first));
    assert!(
        evidence.is_suspect() && !evidence.is_faulty(),
        "the machine must be suspect but not faulty: the failures may be the fault of the one job"
    );
    evidence.record_success_elsewhere(&second);
    assert!(
        !evidence.is_faulty(),
        "a success elsewhere must not count if the job never failed on the machine"
    );
    let mut confirmed_by_success = evidence.clone();
    confirmed_by_success.record_success_elsewhere(&first);
    assert!(confirmed_by_success.is_faulty());
    let mut failed_by_two_jobs = evidence.clone();
    failed_by_two_jobs.record_failure(failure_of(&second));
    assert!(failed_by_two_jobs.is_faulty());
    failed_by_two_jobs.discard_failures_of(&first);
    assert!(!failed_by_two_jobs.is_suspect());
    confirmed_by_success.record_success();
    assert!(!confirmed_by_success.is_suspect());
}

#[test]
fn circuit_breaker_opens_after_failures_on_three_machines_and_closes_on_success() {
    let mut breaker = CircuitBreaker::default();
    for n in [1, 1, 1, 2, 2] {
        breaker.record_failure(0, &machine(n), true, HEARTBEAT_INTERVAL_MS);
    }
    assert!(
        !breaker.is_open(),
        "failures on two machines must not open the breaker: both may be faulty"
    );
    breaker.record_failure(0, &machine(3), false, HEARTBEAT_INTERVAL_MS);
    assert!(breaker.is_open() && breaker.allows_attempt(0));
    let pauses_ms: Vec<u64> = (0..9)
        .map(|_| {
            breaker.record_failure(0, &machine(4), true, HEARTBEAT_INTERVAL_MS);
            (0..).find(|ms| breaker.allows_attempt(*ms)).unwrap_or(0)
        })
        .collect();
    assert_eq!(
        pauses_ms,
        [500, 1000, 2000, 4000, 8000, 16_000, 32_000, 64_000, 64_000]
    );
    let mut restored = CircuitBreaker::default();
    restored.restore(breaker.to_record());
    assert!(restored.is_open() && restored.allows_attempt(0));
    assert!(
        restored.record_success(),
        "the first success must be reported as the first"
    );
    assert!(!restored.is_open());
    assert!(
        !restored.record_success(),
        "the second success must not be reported as the first"
    );
    assert_eq!(CircuitBreaker::default().to_record(), 0);
}

/// Creates a cluster of six machines in which all tasks of `run-1` fail. Returns the names of
/// the four machines in addition to those of [`running_cluster`].
fn cluster_with_failing_job(nodes: usize) -> (Simulation, Vec<String>) {
    let mut sim = running_cluster(nodes);
    let names: Vec<String> = (1..5).map(|n| format!("vm-c{n}")).collect();
    for name in &names {
        sim.add_machine(name, "a", false, true);
    }
    sim.run_for(2000);
    sim.failing_jobs.insert("run-1".into());
    (sim, names)
}

/// In an earlier version, all tasks of a failing job were restarted after every backoff, on up
/// to 35 machines, and machines were provisioned for them (incidents inc-c0eb and inc-683a).
#[test]
fn failing_job_is_probed_with_one_task_at_a_time() {
    let (mut sim, names) = cluster_with_failing_job(1);
    let machines_before = sim.workers.len();
    assert_eq!(sim.submit(0, &array("run-1", 40)), 201);
    sim.run_for(4000);
    let initial_starts = task_starts(&sim, "run-1");
    sim.run_for(45_000);
    let probes = task_starts(&sim, "run-1") - initial_starts;
    assert!(
        (3..=7).contains(&probes),
        "{initial_starts} initial starts, then {probes} probes"
    );
    assert_eq!(
        sim.workers.len(),
        machines_before,
        "no machine must be provisioned for the failing job"
    );
    assert!(released(&sim, &names).is_empty());
    assert_eq!(sim.cancel(0, "run-1").0, 200);
}

/// In an earlier version, a machine was released immediately if its only tasks belonged to a
/// failing job.
#[test]
fn failing_job_does_not_cause_release_of_empty_machines() {
    let (mut sim, names) = cluster_with_failing_job(1);
    assert_eq!(sim.submit(0, &array("run-1", 2)), 201);
    sim.run_for(10_000);
    assert!(
        released(&sim, &names).is_empty(),
        "{:?}",
        released(&sim, &names)
    );
    assert!(!sim.workers["vm-a"].released && !sim.workers["vm-b"].released);
    // The machines accept tasks of other jobs immediately.
    assert_eq!(sim.submit(0, &service("run-2", 12)), 201);
    sim.run_for(2000);
    assert_eq!(sim.on_machines("run-2"), 12);
}

/// A faulty machine and failing jobs occur at the same time, with and without a leader
/// failover.
#[test]
fn faulty_machine_is_detected_among_failing_jobs() {
    for leader_fails in [false, true] {
        let (mut sim, names) = cluster_with_failing_job(3);
        sim.failing_jobs.insert("run-3".into());
        sim.workers.get_mut("vm-c2").unwrap().faulty = true;
        for (n, id) in ["run-1", "run-2", "run-3"].iter().enumerate() {
            assert_eq!(sim.submit(n, &array(id, 14)), 201);
        }
        if leader_fails {
            sim.run_for(600);
            sim.kill(sim.leader().unwrap());
        }
        sim.run_for(30_000);
        let leader = sim.leader().unwrap();
        assert_eq!(sim.query(leader, "run-2").1, "done");
        assert_eq!(
            released(&sim, &names),
            ["vm-c2"],
            "leader fails: {leader_fails}"
        );
    }
}

/// In an earlier version, a new leader had no record of earlier failures and restarted all tasks
/// of the job.
#[test]
fn new_leader_restores_open_circuit_breaker_of_failing_job() {
    let (mut sim, _) = cluster_with_failing_job(3);
    assert_eq!(sim.submit(0, &array("run-1", 40)), 201);
    sim.run_for(10_000);
    let initial_starts = task_starts(&sim, "run-1");
    sim.kill(sim.leader().unwrap());
    sim.run_for(20_000);
    assert!(sim.leader().is_some());
    let restarts = task_starts(&sim, "run-1") - initial_starts;
    assert!(
        (1..=6).contains(&restarts),
        "{initial_starts} initial starts, then {restarts} restarts"
    );
}

/// A machine that was cordoned because tasks ran too slowly would be opened by the next slow one
/// as soon as it had been running for a while.
#[test]
fn running_task_contradicts_failures_but_not_slow_tasks() {
    let job = JobId::new("run-1");
    let failure = failure_of(&job);
    let (before, after) = (Some(failure.now_ms), Some(failure.now_ms + 1));
    let mut failed = MachineFaults::default();
    failed.record_failure(failure);
    assert!(!failed.is_contradicted_by_running(None));
    assert!(!failed.is_contradicted_by_running(before));
    assert!(failed.is_contradicted_by_running(after));
    let mut slow = MachineFaults::default();
    slow.record_failure(TaskFailure {
        kind: FailureKind::Slow,
        ..failure
    });
    assert!(!slow.is_contradicted_by_running(after));
    assert!(
        slow.is_contradicted_by_completion(before) && slow.is_contradicted_by_completion(after),
        "a task that is done in time shows that the machine isn't slow, whenever it was started"
    );
    slow.record_failure(failure);
    assert!(!slow.is_contradicted_by_completion(before));
    assert!(slow.is_contradicted_by_completion(after));
    assert!(!MachineFaults::default().is_contradicted_by_completion(after));
}

/// The pauses between probes grow, and go on from where they were after a probe that ran.
#[test]
fn pauses_between_probes_grow_to_a_sixth_of_the_limit() {
    let job = JobId::new("run-1");
    let mut faults = MachineFaults::default();
    let mut now_ms = 1000;
    let fail = |faults: &mut MachineFaults, now_ms: u64| {
        faults.record_failure(TaskFailure {
            started_ms: Some(now_ms - 1),
            now_ms,
            ..failure_of(&job)
        })
    };
    assert!(!fail(&mut faults, now_ms));
    assert!(fail(&mut faults, now_ms), "the second failure cordons it");
    let mut pauses_ms = Vec::new();
    for _ in 0..5 {
        let due_ms = (now_ms..)
            .find(|ms| faults.allows_probe(&job, *ms))
            .unwrap();
        pauses_ms.push(due_ms - now_ms);
        faults.record_probe(due_ms, HEARTBEAT_INTERVAL_MS);
        assert!(
            !faults.allows_probe(&job, due_ms + 1),
            "one probe for each pause"
        );
        now_ms = due_ms + 100;
        assert!(!fail(&mut faults, now_ms));
    }
    assert_eq!(pauses_ms, [2000, 4000, 8000, 15_000, 15_000]);
    faults.record_running_probe();
    assert!(!faults.is_suspect());
    fail(&mut faults, now_ms);
    fail(&mut faults, now_ms);
    assert!(
        !faults.allows_probe(&job, now_ms + 14_999) && faults.allows_probe(&job, now_ms + 15_000)
    );
    faults.record_success();
    fail(&mut faults, now_ms);
    fail(&mut faults, now_ms);
    assert!(
        faults.allows_probe(&job, now_ms + 2000),
        "a completed task resets them"
    );
}

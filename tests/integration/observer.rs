//! Tests of the simulation's observer: for each rule, a history that violates the rule. The
//! simulations can't reveal a violation that the observer misses.

use crate::simulation::array;
use crate::simulation::observer::{
    MachineWithRoom, Observer, PlacedTask, RequestKind, Room, UserRequest, Verdict,
};
use serde_json::{json, Value};

fn new_observer() -> Observer {
    Observer::new(30_000, &[("blue", 2.0)])
}

fn request(kind: RequestKind, job: &str, sent_ms: u64) -> UserRequest {
    UserRequest {
        kind,
        job: job.into(),
        sent_ms,
    }
}

fn task_on<'a>(task: &'a str, machine: &'a str, zone: &'a str) -> PlacedTask<'a> {
    PlacedTask {
        task,
        machine,
        zone,
        spot: false,
    }
}

/// Returns an observer of a job that was submitted at 0 ms and accepted at 10 ms.
fn observer_of_accepted_job(spec: Value) -> Observer {
    let mut observer = new_observer();
    observer.record_submission(&spec);
    let submission = request(RequestKind::Submit, spec["id"].as_str().unwrap(), 0);
    observer
        .check_response(10, &submission, 201, "pending")
        .unwrap();
    observer
}

#[track_caller]
fn assert_violation(rule: &str, verdict: Verdict) {
    let violation = verdict.expect_err(rule);
    assert!(
        violation.to_string().starts_with(rule),
        "expected a violation of {rule}, got: {violation}"
    );
}

/// Returns an observer of `run-1`, an accepted job of two tasks whose cancellation was confirmed
/// at `confirmed_ms`.
fn observer_of_cancelled_job(confirmed_ms: u64) -> Observer {
    let mut observer = observer_of_accepted_job(array("run-1", 2));
    observer.record_cancellation_request("run-1");
    let cancellation = request(RequestKind::Cancel, "run-1", confirmed_ms - 5);
    observer
        .check_response(confirmed_ms, &cancellation, 200, "cancelled")
        .unwrap();
    observer
}

#[test]
fn task_starting_on_second_machine_violates_ran_twice() {
    let mut observer = observer_of_accepted_job(array("run-1", 2));
    let others = [task_on("run-1/0", "vm-a", "a")];
    let start = |task| task_on(task, "vm-b", "b");
    assert!(observer
        .check_start(20, start("run-1/1"), others.into_iter())
        .is_ok());
    assert_violation(
        "ran_twice",
        observer.check_start(20, start("run-1/0"), others.into_iter()),
    );
}

#[test]
fn team_exceeding_gpu_limit_violates_quota() {
    let mut spec = array("run-1", 3);
    spec["equipe"] = json!("blue");
    let mut observer = observer_of_accepted_job(spec);
    let two = [
        task_on("run-1/0", "vm-a", "a"),
        task_on("run-1/1", "vm-a", "a"),
    ];
    let third = task_on("run-1/2", "vm-b", "b");
    assert!(observer
        .check_start(20, third, two.into_iter().take(1))
        .is_ok());
    assert_violation("quota", observer.check_start(20, third, two.into_iter()));
}

#[test]
fn start_outside_placement_constraints_violates_wrong_place() {
    let mut spec = array("run-1", 4);
    spec["secteur"] = json!("a");
    spec["occasion"] = json!(false);
    let mut observer = observer_of_accepted_job(spec);
    let start = task_on("run-1/0", "vm-b", "b");
    assert_violation(
        "wrong_place",
        observer.check_start(20, start, [].into_iter()),
    );
    let spot = PlacedTask {
        spot: true,
        ..task_on("run-1/0", "vm-a", "a")
    };
    assert_violation(
        "wrong_place",
        observer.check_start(20, spot, [].into_iter()),
    );

    let mut spec = array("run-1", 4);
    spec["samePlace"] = json!(true);
    let mut observer = observer_of_accepted_job(spec);
    let others = [task_on("run-1/1", "vm-a", "a")];
    assert_violation(
        "wrong_place",
        observer.check_start(20, start, others.into_iter()),
    );

    let mut spec = array("run-1", 3);
    spec["spread"] = json!(true);
    let mut observer = observer_of_accepted_job(spec);
    let others = [
        task_on("run-1/1", "vm-b", "b"),
        task_on("run-1/2", "vm-c", "b"),
    ];
    assert!(observer
        .check_start(20, start, others.into_iter().take(1))
        .is_ok());
    assert_violation(
        "wrong_place",
        observer.check_start(20, start, others.into_iter()),
    );
}

#[test]
fn task_on_machine_after_cancellation_period_violates_ran_cancelled() {
    let mut observer = observer_of_cancelled_job(1000);
    let task = task_on("run-1/0", "vm-a", "a");
    assert!(observer
        .check_placed_tasks(31_000, [task].into_iter())
        .is_ok());
    assert_violation(
        "ran_cancelled",
        observer.check_placed_tasks(31_001, [task].into_iter()),
    );
    assert!(observer.check_start(2000, task, [].into_iter()).is_ok());
    assert_eq!(
        observer.starts_after_cancel.len(),
        1,
        "a start within the cancellation period was not recorded"
    );
    assert_violation(
        "ran_cancelled",
        observer.check_start(31_001, task, [].into_iter()),
    );
}

#[test]
fn accepted_job_reported_unknown_violates_forgotten() {
    let mut observer = observer_of_accepted_job(array("run-1", 2));
    let query = request(RequestKind::Query, "run-1", 20);
    assert_violation("forgotten", observer.check_response(30, &query, 404, ""));
    let repeated = request(RequestKind::Submit, "run-1", 20);
    assert_violation("forgotten", observer.check_response(30, &repeated, 422, ""));
    let earlier = request(RequestKind::Query, "run-1", 5);
    assert!(
        observer.check_response(30, &earlier, 404, "").is_ok(),
        "a query sent before the job was accepted violates a rule"
    );
}

#[test]
fn reported_job_without_submission_violates_invented() {
    let mut observer = new_observer();
    let query = request(RequestKind::Query, "run-9", 20);
    assert!(observer.check_response(30, &query, 404, "").is_ok());
    assert_violation(
        "invented",
        observer.check_response(30, &query, 200, "pending"),
    );
}

#[test]
fn job_reported_done_with_incomplete_tasks_violates_not_done() {
    let mut observer = observer_of_accepted_job(array("run-1", 2));
    observer.record_completion("run-1/0");
    let query = request(RequestKind::Query, "run-1", 20);
    assert_violation("not_done", observer.check_response(30, &query, 200, "done"));
    observer.record_completion("run-1/1");
    assert!(observer.check_response(40, &query, 200, "done").is_ok());
}

#[test]
fn changed_final_state_violates_went_back() {
    let mut observer = observer_of_cancelled_job(1000);
    let query = request(RequestKind::Query, "run-1", 1001);
    assert_violation(
        "went_back",
        observer.check_response(1010, &query, 200, "running"),
    );
    let earlier = request(RequestKind::Query, "run-1", 999);
    assert!(observer
        .check_response(1010, &earlier, 200, "running")
        .is_ok());
    let mut observer = observer_of_accepted_job(array("run-1", 2));
    let query = request(RequestKind::Query, "run-1", 20);
    assert_violation(
        "went_back",
        observer.check_response(30, &query, 200, "cancelled"),
    );
}

/// Returns an observer of three accepted jobs: `run-2` depends on `run-1`, and `run-3`
/// depends on `run-2`.
fn observer_of_dependency_chain() -> Observer {
    let mut observer = observer_of_accepted_job(array("run-1", 2));
    for (id, dependency) in [("run-2", "run-1"), ("run-3", "run-2")] {
        let mut spec = array(id, 1);
        spec["attend"] = json!([dependency]);
        observer.record_submission(&spec);
        observer
            .check_response(20, &request(RequestKind::Submit, id, 15), 201, "pending")
            .unwrap();
    }
    observer
}

#[test]
fn task_starting_before_dependency_is_done_violates_too_early() {
    let mut observer = observer_of_dependency_chain();
    let start = task_on("run-2/0", "vm-a", "a");
    observer.record_completion("run-1/0");
    assert_violation("too_early", observer.check_start(30, start, [].into_iter()));
    observer.record_completion("run-1/1");
    assert!(observer.check_start(30, start, [].into_iter()).is_ok());
    let next = task_on("run-3/0", "vm-a", "a");
    assert_violation("too_early", observer.check_start(30, next, [].into_iter()));
}

#[test]
fn job_outliving_cancelled_dependency_violates_orphaned() {
    for job in ["run-2", "run-3"] {
        let mut observer = observer_of_dependency_chain();
        let query = request(RequestKind::Query, job, 31_500);
        assert_violation(
            "went_back",
            observer.check_response(900, &query, 200, "cancelled"),
        );
        observer.record_cancellation_request("run-1");
        let cancel = request(RequestKind::Cancel, "run-1", 995);
        observer
            .check_response(1000, &cancel, 200, "cancelled")
            .unwrap();
        assert!(observer
            .check_response(31_000, &query, 200, "pending")
            .is_ok());
        assert_violation(
            "orphaned",
            observer.check_response(31_001, &query, 200, "pending"),
        );
        assert!(observer
            .check_response(31_002, &query, 200, "cancelled")
            .is_ok());
        let repeated = request(RequestKind::Query, job, 31_600);
        assert_violation(
            "went_back",
            observer.check_response(31_700, &repeated, 200, "pending"),
        );
    }
}

#[test]
fn dependent_cancelled_after_dependency_reported_done_violates_went_back() {
    let mut observer = observer_of_dependency_chain();
    observer.record_cancellation_request("run-1");
    observer.record_completion("run-1/0");
    observer.record_completion("run-1/1");
    let cancel = request(RequestKind::Cancel, "run-1", 995);
    observer.check_response(1000, &cancel, 200, "done").unwrap();
    let query = request(RequestKind::Query, "run-2", 1100);
    assert_violation(
        "went_back",
        observer.check_response(1200, &query, 200, "cancelled"),
    );
}

/// Returns a machine that fits one task of [`array`] if `gpus` is at least 1.
fn machine_with_room(machine: &str, gpus: f64) -> MachineWithRoom<'_> {
    MachineWithRoom {
        machine,
        zone: "a",
        spot: false,
        free: Room {
            cpus: 96.0,
            gpus,
            memory_gb: 768.0,
        },
    }
}

/// Checks every second from `from_ms` until `until_ms` which jobs wait beside these machines.
fn watch_waiting_jobs(
    observer: &mut Observer,
    from_ms: u64,
    until_ms: u64,
    placed: &[PlacedTask],
    machines: &[MachineWithRoom],
) -> Verdict {
    for now_ms in (from_ms..=until_ms).step_by(1000) {
        observer.check_waiting_jobs(now_ms, placed.iter().copied(), machines)?;
    }
    Ok(())
}

#[test]
fn job_waiting_beside_room_violates_left_waiting() {
    let machines = [machine_with_room("vm-a", 1.0)];
    let mut observer = observer_of_accepted_job(array("run-1", 1));
    let just_in_time = watch_waiting_jobs(&mut observer, 1000, 90_000, &[], &machines);
    assert!(just_in_time.is_ok());
    let too_late = watch_waiting_jobs(&mut observer, 91_000, 91_000, &[], &machines);
    assert_violation("left_waiting", too_late);

    // Some of its tasks run, and one waits.
    let placed = [task_on("run-1/0", "vm-b", "b")];
    let mut observer = observer_of_accepted_job(array("run-1", 2));
    let verdict = watch_waiting_jobs(&mut observer, 1000, 91_000, &placed, &machines);
    assert_violation("left_waiting", verdict);

    // The tasks of a gang start together, each on its own machine.
    let mut gang = array("run-1", 2);
    gang["genre"] = json!("group");
    let mut observer = observer_of_accepted_job(gang);
    let verdict = watch_waiting_jobs(&mut observer, 1000, 200_000, &[], &machines);
    assert!(verdict.is_ok());
    let two = [machines[0], machine_with_room("vm-b", 1.0)];
    let verdict = watch_waiting_jobs(&mut observer, 201_000, 300_000, &[], &two);
    assert_violation("left_waiting", verdict);
}

#[test]
fn job_without_room_or_during_troubles_is_not_left_waiting() {
    let fits = [machine_with_room("vm-a", 1.0)];
    let placed = [
        task_on("run-1/0", "vm-b", "b"),
        task_on("run-1/1", "vm-b", "b"),
    ];
    let mut zone_b = array("run-1", 1);
    zone_b["secteur"] = json!("b");
    let mut of_limited_team = array("run-1", 3);
    of_limited_team["equipe"] = json!("blue");
    let without_room = [
        (
            array("run-1", 1),
            &placed[..0],
            [machine_with_room("vm-a", 0.5)],
        ),
        (zone_b, &placed[..0], fits),
        (of_limited_team, &placed[..], fits),
        (array("run-1", 2), &placed[..], fits),
    ];
    for (spec, placed, machines) in without_room {
        let mut observer = observer_of_accepted_job(spec.clone());
        let verdict = watch_waiting_jobs(&mut observer, 1000, 200_000, placed, &machines);
        assert!(verdict.is_ok(), "{spec}: {verdict:?}");
    }

    // Troubles, and the start of a task, begin the time anew.
    let mut observer = observer_of_accepted_job(array("run-1", 2));
    assert!(watch_waiting_jobs(&mut observer, 1000, 80_000, &[], &fits).is_ok());
    observer.record_trouble();
    assert!(watch_waiting_jobs(&mut observer, 81_000, 170_000, &[], &fits).is_ok());
    let start = task_on("run-1/0", "vm-a", "a");
    observer
        .check_start(170_500, start, [].into_iter())
        .unwrap();
    assert!(watch_waiting_jobs(&mut observer, 171_000, 260_000, &[start], &fits).is_ok());

    // Nobody waits for a job that was called off.
    let mut observer = observer_of_cancelled_job(1000);
    assert!(watch_waiting_jobs(&mut observer, 1000, 200_000, &[], &fits).is_ok());
}

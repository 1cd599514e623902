//! The observer of the simulation, tested with a history that breaks it for each rule: no
//! simulation checks what it misses.

use crate::simulation::array;
use crate::simulation::observer::{Observer, RunningTask, UserRequest, Verb, Verdict};
use serde_json::{json, Value};

fn observer() -> Observer {
    Observer::new(30_000, &[("blue", 2.0)])
}

fn ask(verb: Verb, job: &str, asked_ms: u64) -> UserRequest {
    UserRequest {
        verb,
        job: job.into(),
        asked_ms,
    }
}

fn on<'a>(task: &'a str, machine: &'a str, zone: &'a str) -> RunningTask<'a> {
    RunningTask {
        task,
        machine,
        zone,
        spot: false,
    }
}

fn accepted(spec: Value) -> Observer {
    let mut o = observer();
    o.submitted(&spec);
    let question = ask(Verb::Submit, spec["id"].as_str().unwrap(), 0);
    o.answered(10, &question, 201, "pending").unwrap();
    o
}

#[track_caller]
fn breaks(rule: &str, verdict: Verdict) {
    let said = verdict.expect_err(rule);
    assert!(
        said.to_string().starts_with(rule),
        "{rule} expected: {said}"
    );
}

fn cancelled(at_ms: u64) -> Observer {
    let mut o = accepted(array("run-1", 2));
    o.cancel_asked("run-1");
    let question = ask(Verb::Cancel, "run-1", at_ms - 5);
    o.answered(at_ms, &question, 200, "cancelled").unwrap();
    o
}

#[test]
fn a_task_in_two_places_is_seen() {
    let mut o = accepted(array("run-1", 2));
    let there = [on("run-1/0", "vm-a", "a")];
    let start = |task| on(task, "vm-b", "b");
    assert!(o.starts(20, start("run-1/1"), there.into_iter()).is_ok());
    breaks(
        "ran_twice",
        o.starts(20, start("run-1/0"), there.into_iter()),
    );
}

#[test]
fn a_team_over_its_limit_is_seen() {
    let mut spec = array("run-1", 3);
    spec["equipe"] = json!("blue");
    let mut o = accepted(spec);
    let two = [on("run-1/0", "vm-a", "a"), on("run-1/1", "vm-a", "a")];
    let third = on("run-1/2", "vm-b", "b");
    assert!(o.starts(20, third, two.into_iter().take(1)).is_ok());
    breaks("quota", o.starts(20, third, two.into_iter()));
}

#[test]
fn a_wrong_place_is_seen() {
    let mut spec = array("run-1", 4);
    spec["secteur"] = json!("a");
    spec["occasion"] = json!(false);
    let mut o = accepted(spec);
    let start = on("run-1/0", "vm-b", "b");
    breaks("wrong_place", o.starts(20, start, [].into_iter()));
    let spot = RunningTask {
        spot: true,
        ..on("run-1/0", "vm-a", "a")
    };
    breaks("wrong_place", o.starts(20, spot, [].into_iter()));

    let mut spec = array("run-1", 4);
    spec["samePlace"] = json!(true);
    let mut o = accepted(spec);
    let there = [on("run-1/1", "vm-a", "a")];
    breaks("wrong_place", o.starts(20, start, there.into_iter()));

    let mut spec = array("run-1", 3);
    spec["spread"] = json!(true);
    let mut o = accepted(spec);
    let there = [on("run-1/1", "vm-b", "b"), on("run-1/2", "vm-c", "b")];
    assert!(o.starts(20, start, there.into_iter().take(1)).is_ok());
    breaks("wrong_place", o.starts(20, start, there.into_iter()));
}

#[test]
fn a_cancelled_task_that_stays_or_starts_too_late_is_seen() {
    let mut o = cancelled(1000);
    let task = on("run-1/0", "vm-a", "a");
    assert!(o.present(31_000, [task].into_iter()).is_ok());
    breaks("ran_cancelled", o.present(31_001, [task].into_iter()));
    assert!(o.starts(2000, task, [].into_iter()).is_ok());
    assert_eq!(o.starts_after_cancel.len(), 1, "allowed, but counted");
    breaks("ran_cancelled", o.starts(31_001, task, [].into_iter()));
}

#[test]
fn a_forgotten_job_is_seen() {
    let mut o = accepted(array("run-1", 2));
    let show = ask(Verb::Show, "run-1", 20);
    breaks("forgotten", o.answered(30, &show, 404, ""));
    let again = ask(Verb::Submit, "run-1", 20);
    breaks("forgotten", o.answered(30, &again, 422, ""));
    let before = ask(Verb::Show, "run-1", 5);
    assert!(o.answered(30, &before, 404, "").is_ok(), "asked before");
}

#[test]
fn an_invented_job_is_seen() {
    let mut o = observer();
    let show = ask(Verb::Show, "run-9", 20);
    assert!(o.answered(30, &show, 404, "").is_ok());
    breaks("invented", o.answered(30, &show, 200, "pending"));
}

#[test]
fn a_job_called_done_too_early_is_seen() {
    let mut o = accepted(array("run-1", 2));
    o.finished("run-1/0");
    let show = ask(Verb::Show, "run-1", 20);
    breaks("not_done", o.answered(30, &show, 200, "done"));
    o.finished("run-1/1");
    assert!(o.answered(40, &show, 200, "done").is_ok());
}

#[test]
fn a_final_state_that_changes_is_seen() {
    let mut o = cancelled(1000);
    let show = ask(Verb::Show, "run-1", 1001);
    breaks("went_back", o.answered(1010, &show, 200, "running"));
    let early = ask(Verb::Show, "run-1", 999);
    assert!(o.answered(1010, &early, 200, "running").is_ok());
    let mut o = accepted(array("run-1", 2));
    let show = ask(Verb::Show, "run-1", 20);
    breaks("went_back", o.answered(30, &show, 200, "cancelled"));
}

/// `run-2` depends on `run-1`, `run-3` on `run-2`.
fn chain() -> Observer {
    let mut o = accepted(array("run-1", 2));
    for (id, need) in [("run-2", "run-1"), ("run-3", "run-2")] {
        let mut spec = array(id, 1);
        spec["attend"] = json!([need]);
        o.submitted(&spec);
        o.answered(20, &ask(Verb::Submit, id, 15), 201, "pending")
            .unwrap();
    }
    o
}

#[test]
fn a_task_that_starts_before_a_needed_job_is_done_is_seen() {
    let mut o = chain();
    let start = on("run-2/0", "vm-a", "a");
    o.finished("run-1/0");
    breaks("too_early", o.starts(30, start, [].into_iter()));
    o.finished("run-1/1");
    assert!(o.starts(30, start, [].into_iter()).is_ok());
    let next = on("run-3/0", "vm-a", "a");
    breaks("too_early", o.starts(30, next, [].into_iter()));
}

#[test]
fn a_job_that_outlives_the_cancellation_of_one_it_needs_is_seen() {
    for job in ["run-2", "run-3"] {
        let mut o = chain();
        let show = ask(Verb::Show, job, 31_500);
        breaks("went_back", o.answered(900, &show, 200, "cancelled"));
        o.cancel_asked("run-1");
        let cancel = ask(Verb::Cancel, "run-1", 995);
        o.answered(1000, &cancel, 200, "cancelled").unwrap();
        assert!(o.answered(31_000, &show, 200, "pending").is_ok());
        breaks("orphaned", o.answered(31_001, &show, 200, "pending"));
        assert!(o.answered(31_002, &show, 200, "cancelled").is_ok());
        let again = ask(Verb::Show, job, 31_600);
        breaks("went_back", o.answered(31_700, &again, 200, "pending"));
    }
}

#[test]
fn a_job_cancelled_with_one_that_was_called_done_is_seen() {
    let mut o = chain();
    o.cancel_asked("run-1");
    o.finished("run-1/0");
    o.finished("run-1/1");
    let cancel = ask(Verb::Cancel, "run-1", 995);
    o.answered(1000, &cancel, 200, "done").unwrap();
    let show = ask(Verb::Show, "run-2", 1100);
    breaks("went_back", o.answered(1200, &show, 200, "cancelled"));
}

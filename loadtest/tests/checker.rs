//! The checker can fail: one broken history for each rule, and a sound one.

use lilacfork_loadtest::checker::{Checker, Rule};
use lilacfork_loadtest::history::{Entry, Event, UserRequest};
use lilacfork_loadtest::scenario::{MachineRange, Scenario};

fn scenario() -> Scenario {
    let mut scenario =
        Scenario::parse(include_str!("../scenarios/planned.toml")).expect("the shipped scenario");
    // Two tasks of two GPUs fit, a third doesn't; all jobs are one team's.
    scenario.teams = 1;
    scenario.team_gpus_max = 4.0;
    scenario.classes[0].tasks = vec![3];
    scenario.classes[2].tasks = vec![2];
    scenario
}

/// A service of class 0, and an array of class 2.
const SERVICE: &str = "run-0x1";
const ARRAY: &str = "run-2x1";

fn history(events: Vec<(u64, Event)>) -> Vec<Entry> {
    let entry = |(second, event)| Entry {
        at_us: second * 1_000_000,
        event,
    };
    events.into_iter().map(entry).collect()
}

fn submitted(job: &str) -> Event {
    Event::Submitted { job: job.into() }
}

fn answered(job: &str, request: UserRequest, status: u16, state: &str) -> Event {
    Event::Answered {
        job: job.into(),
        request,
        status,
        state: state.into(),
        running: None,
    }
}

fn accepted(job: &str) -> Event {
    answered(job, UserRequest::Submit, 201, "pending")
}

fn started(job: &str, task: u32, machine: u32) -> Event {
    Event::Started {
        task: format!("{job}/{task}"),
        machine,
    }
}

fn finished(job: &str, task: u32) -> Event {
    Event::Finished {
        task: format!("{job}/{task}"),
    }
}

fn left(job: &str, task: u32, machine: u32) -> Event {
    Event::Left {
        task: format!("{job}/{task}"),
        machine,
    }
}

fn rules(events: Vec<(u64, Event)>) -> Vec<Rule> {
    let (broken, _) = Checker::judge(&scenario(), &history(events));
    broken.into_iter().map(|b| b.rule).collect()
}

#[test]
fn a_sound_history_breaks_nothing() {
    let events = vec![
        (0, submitted(ARRAY)),
        (0, accepted(ARRAY)),
        (1, started(ARRAY, 0, 7)),
        (1, started(ARRAY, 1, 8)),
        (2, answered(ARRAY, UserRequest::Query, 200, "running")),
        (
            3,
            Event::Lost {
                machines: MachineRange { first: 8, last: 8 },
            },
        ),
        (4, started(ARRAY, 1, 9)),
        (5, finished(ARRAY, 0)),
        (5, left(ARRAY, 0, 7)),
        (6, finished(ARRAY, 1)),
        (6, left(ARRAY, 1, 9)),
        (7, answered(ARRAY, UserRequest::Query, 200, "done")),
        (8, answered("run-2x77-never", UserRequest::Query, 404, "")),
    ];
    assert_eq!(rules(events), []);
}

#[test]
fn a_task_on_two_machines_is_seen() {
    let events = vec![
        (0, submitted(ARRAY)),
        (1, started(ARRAY, 0, 7)),
        (2, started(ARRAY, 0, 8)),
    ];
    assert_eq!(rules(events), [Rule::RanTwice]);
}

#[test]
fn a_team_over_its_limit_is_seen() {
    let on_zones_0_1_2 = |task| (1, started(SERVICE, task, task));
    let events = vec![
        (0, submitted(SERVICE)),
        on_zones_0_1_2(0),
        on_zones_0_1_2(1),
        on_zones_0_1_2(2),
    ];
    assert_eq!(rules(events), [Rule::Quota]);
}

#[test]
fn replicas_that_should_be_spread_are_seen_in_one_zone() {
    // Six zones: machines 0, 6 and 12 are in the first one.
    let mut events = vec![(0, submitted(SERVICE))];
    events.extend([0, 1].map(|task| (1, started(SERVICE, task, task * 6))));
    events.push((2, left(SERVICE, 0, 0)));
    events.push((3, started(SERVICE, 0, 18)));
    assert_eq!(rules(events.clone()), []);
    events.push((4, left(SERVICE, 0, 18)));
    events.push((5, started(SERVICE, 2, 12)));
    events.push((6, left(SERVICE, 1, 6)));
    events.push((6, started(SERVICE, 1, 24)));
    events.push((7, left(SERVICE, 2, 12)));
    assert_eq!(rules(events.clone()), []);
    let mut roomy = scenario();
    roomy.team_gpus_max = 8.0;
    events.push((8, started(SERVICE, 0, 30)));
    events.push((9, started(SERVICE, 2, 36)));
    let (broken, _) = Checker::judge(&roomy, &history(events));
    let found: Vec<Rule> = broken.into_iter().map(|b| b.rule).collect();
    assert_eq!(found, [Rule::WrongPlace]);
}

#[test]
fn a_task_too_long_after_its_cancellation_is_seen() {
    let cancelled = |last: u64| {
        vec![
            (0, submitted(SERVICE)),
            (0, accepted(SERVICE)),
            (1, started(SERVICE, 0, 7)),
            (
                2,
                Event::CancelAsked {
                    job: SERVICE.into(),
                },
            ),
            (2, answered(SERVICE, UserRequest::Cancel, 200, "cancelled")),
            (last, left(SERVICE, 0, 7)),
        ]
    };
    assert_eq!(rules(cancelled(42)), []);
    assert_eq!(rules(cancelled(43)), [Rule::RanCancelled]);
    // One that never leaves counts, too.
    let mut stays = cancelled(42);
    stays.pop();
    stays.push((60, submitted(ARRAY)));
    assert_eq!(rules(stays), [Rule::RanCancelled]);
}

#[test]
fn an_accepted_job_that_isnt_known_is_seen() {
    let asked = |request, status| {
        let answer = answered(ARRAY, request, status, "");
        vec![(0, submitted(ARRAY)), (0, accepted(ARRAY)), (1, answer)]
    };
    assert_eq!(rules(asked(UserRequest::Query, 404)), [Rule::Forgotten]);
    assert_eq!(rules(asked(UserRequest::Submit, 400)), [Rule::Forgotten]);
    assert_eq!(rules(asked(UserRequest::Submit, 422)), [Rule::Forgotten]);
    assert_eq!(rules(asked(UserRequest::Query, 503)), []);
    let mut unanswered = asked(UserRequest::Query, 503);
    unanswered.push((92, answered(ARRAY, UserRequest::Query, 0, "")));
    assert_eq!(rules(unanswered), [Rule::Forgotten]);
}

#[test]
fn a_job_that_nobody_submitted_is_seen() {
    let events = vec![(
        0,
        answered("run-2x5-never", UserRequest::Query, 200, "pending"),
    )];
    assert_eq!(rules(events), [Rule::Invented]);
}

#[test]
fn a_job_called_done_too_early_is_seen() {
    let events = vec![
        (0, submitted(ARRAY)),
        (0, accepted(ARRAY)),
        (1, finished(ARRAY, 0)),
        (2, answered(ARRAY, UserRequest::Query, 200, "done")),
    ];
    assert_eq!(rules(events), [Rule::NotDone]);
}

#[test]
fn an_end_that_is_taken_back_is_seen() {
    let base = vec![
        (0, submitted(ARRAY)),
        (0, accepted(ARRAY)),
        (1, finished(ARRAY, 0)),
        (1, finished(ARRAY, 1)),
        (2, answered(ARRAY, UserRequest::Query, 200, "done")),
    ];
    let mut running = base.clone();
    running.push((3, answered(ARRAY, UserRequest::Query, 200, "running")));
    assert_eq!(rules(running), [Rule::WentBack]);
    // A job that its user didn't cancel is called cancelled.
    let events = vec![
        (0, submitted(SERVICE)),
        (0, accepted(SERVICE)),
        (1, answered(SERVICE, UserRequest::Query, 200, "cancelled")),
    ];
    assert_eq!(rules(events), [Rule::WentBack]);
}

/// A service whose two tasks are one replica.
fn pairs() -> Scenario {
    let mut scenario = scenario();
    scenario.team_gpus_max = 8.0;
    scenario.classes[0].tasks = vec![2];
    scenario.classes[0].tasks_per_replica = 2;
    scenario
}

fn said(second: u64, running: u32) -> (u64, Event) {
    let event = Event::Answered {
        job: SERVICE.into(),
        request: UserRequest::Query,
        status: 200,
        state: if running > 0 { "running" } else { "pending" }.into(),
        running: Some(running),
    };
    (second, event)
}

fn replica_rules(scenario: &Scenario, events: Vec<(u64, Event)>) -> Vec<Rule> {
    let (broken, _) = Checker::judge(scenario, &history(events));
    broken.into_iter().map(|b| b.rule).collect()
}

/// A replica that is complete at 2 s and loses its second machine at 20 s.
fn loses_a_part() -> Vec<(u64, Event)> {
    vec![
        (0, submitted(SERVICE)),
        (0, accepted(SERVICE)),
        (1, started(SERVICE, 0, 0)),
        said(1, 0),
        (2, started(SERVICE, 1, 7)),
        said(3, 2),
        (
            20,
            Event::Lost {
                machines: MachineRange { first: 7, last: 7 },
            },
        ),
    ]
}

#[test]
fn an_incomplete_replica_that_is_said_to_run_is_seen() {
    let pairs = pairs();
    let mut events = loses_a_part();
    // Reports are so old at most.
    events.push(said(32, 2));
    events.push((32, left(SERVICE, 0, 0)));
    assert_eq!(replica_rules(&pairs, events.clone()), []);
    let mut late = events.clone();
    late.push(said(33, 2));
    assert_eq!(replica_rules(&pairs, late), [Rule::IncompleteServes]);
    let mut half = events.clone();
    half.push(said(33, 1));
    assert_eq!(
        replica_rules(&pairs, half.clone()),
        [Rule::IncompleteServes]
    );
    let mut early = loses_a_part();
    early[3] = said(1, 2);
    assert_eq!(
        replica_rules(&pairs, early)[..1],
        [Rule::IncompleteServes],
        "before it was ever complete"
    );
    let mut alone = pairs.clone();
    alone.ungrouped_replicas = true;
    assert_eq!(replica_rules(&alone, half), [], "not judged");
}

#[test]
fn what_is_left_alone_for_too_long_is_seen() {
    let pairs = pairs();
    let ends = |second: u64| {
        let mut events = loses_a_part();
        events.push((second, left(SERVICE, 0, 0)));
        events.push((second + 3, started(SERVICE, 0, 1)));
        events.push((second + 5, started(SERVICE, 1, 8)));
        events
    };
    assert_eq!(replica_rules(&pairs, ends(60)), []);
    assert_eq!(replica_rules(&pairs, ends(61)), [Rule::LeftAlone]);
    // One that stays to the end counts, too.
    let mut stays = loses_a_part();
    stays.push((70, submitted(ARRAY)));
    assert_eq!(replica_rules(&pairs, stays), [Rule::LeftAlone]);
    // What its user cancels is no loss.
    let mut cancelled = loses_a_part();
    cancelled.insert(
        6,
        (
            19,
            Event::CancelAsked {
                job: SERVICE.into(),
            },
        ),
    );
    cancelled.push((70, left(SERVICE, 0, 0)));
    assert_eq!(replica_rules(&pairs, cancelled), []);
}

#[test]
fn repairs_and_time_left_alone_are_counted() {
    let mut events = loses_a_part();
    events.push((34, left(SERVICE, 0, 0)));
    events.push((37, started(SERVICE, 0, 1)));
    events.push((40, started(SERVICE, 1, 8)));
    let (_, figures) = Checker::judge(&pairs(), &history(events));
    let figures = figures.expect("there are replicas");
    assert_eq!(
        (figures.seen, figures.repaired, figures.incomplete_at_end),
        (1, 1, 0)
    );
    assert!((figures.repair_max_s - 20.0).abs() < 0.1, "{figures:?}");
    // One part of two GPUs for 14 s.
    assert!((figures.incomplete_gpu_s - 28.0).abs() < 0.1, "{figures:?}");
    assert!((figures.incomplete_max_s - 14.0).abs() < 0.1, "{figures:?}");
}

/// Jobs of one pipeline: the second needs the first, the third the second.
fn pipeline() -> Scenario {
    let mut scenario = scenario();
    for (name, after) in [("one", None), ("two", Some("one")), ("three", Some("two"))] {
        let mut class = scenario.classes[2].clone();
        class.name = name.into();
        class.after = after.into_iter().map(String::from).collect();
        scenario.classes.push(class);
    }
    scenario
}

#[test]
fn pipelines_are_judged() {
    let first = pipeline().classes.len() - 3;
    let [one, two, three] = [0, 1, 2].map(|n| Scenario::job_name(first + n, 7));
    let judge = |later: Vec<(u64, Event)>| {
        let all = [&one, &two, &three].map(|job| (1, submitted(job)));
        let taken = [&one, &two, &three].map(|job| (2, accepted(job)));
        let events = all.into_iter().chain(taken).chain(later).collect();
        let (broken, _) = Checker::judge(&pipeline(), &history(events));
        broken.into_iter().map(|b| b.rule).collect::<Vec<_>>()
    };
    let run = |job: &str, at| {
        (0..2)
            .flat_map(move |task| {
                let job = job.to_string();
                [
                    (at, started(&job, task, 0)),
                    (at + 1, finished(&job, task)),
                    (at + 1, left(&job, task, 0)),
                ]
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(
        judge([run(&one, 3), run(&two, 6), run(&three, 9)].concat()),
        []
    );
    let half = vec![
        (3, started(&one, 0, 0)),
        (4, finished(&one, 0)),
        (5, started(&two, 0, 0)),
    ];
    assert_eq!(judge(half), [Rule::TooEarly]);
    let cancel = vec![
        (3, Event::CancelAsked { job: one.clone() }),
        (4, answered(&one, UserRequest::Cancel, 200, "cancelled")),
    ];
    let said = |at, state| vec![(at, answered(&three, UserRequest::Query, 200, state))];
    assert_eq!(
        judge([cancel.clone(), said(40, "pending"), said(41, "cancelled")].concat()),
        []
    );
    assert_eq!(
        judge([cancel, said(50, "pending")].concat()),
        [Rule::Orphaned]
    );
    assert_eq!(judge(said(5, "cancelled")), [Rule::WentBack]);
}

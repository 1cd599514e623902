//! Tests that the checker reports a violation of each rule, and none in a valid history.

use lilacfork_loadtest::checker::{Checker, Rule};
use lilacfork_loadtest::history::{Entry, Event, UserRequest};
use lilacfork_loadtest::scenario::{MachineRange, Scenario};

fn scenario() -> Scenario {
    let mut scenario =
        Scenario::parse(include_str!("../scenarios/planned.toml")).expect("the shipped scenario");
    // All jobs belong to one team, whose limit allows two tasks of two GPUs.
    scenario.teams = 1;
    scenario.team_gpus_max = 4.0;
    scenario.classes[0].tasks = vec![3];
    scenario.classes[2].tasks = vec![2];
    scenario
}

/// A service of class 0.
const SERVICE: &str = "run-0x1";
/// An array of class 2.
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

fn responded(job: &str, request: UserRequest, status: u16, state: &str) -> Event {
    Event::RequestCompleted {
        job: job.into(),
        request,
        status,
        state: state.into(),
        running: None,
    }
}

fn accepted(job: &str) -> Event {
    responded(job, UserRequest::Submit, 201, "pending")
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
    let (violations, _) = Checker::check_history(&scenario(), &history(events));
    violations
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn valid_history_has_no_violations() {
    let events = vec![
        (0, submitted(ARRAY)),
        (0, accepted(ARRAY)),
        (1, started(ARRAY, 0, 7)),
        (1, started(ARRAY, 1, 8)),
        (2, responded(ARRAY, UserRequest::Query, 200, "running")),
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
        (7, responded(ARRAY, UserRequest::Query, 200, "done")),
        (8, responded("run-2x77-never", UserRequest::Query, 404, "")),
    ];
    assert_eq!(rules(events), []);
}

#[test]
fn task_started_on_second_machine_is_reported() {
    let events = vec![
        (0, submitted(ARRAY)),
        (1, started(ARRAY, 0, 7)),
        (2, started(ARRAY, 0, 8)),
    ];
    assert_eq!(rules(events), [Rule::RanTwice]);
}

#[test]
fn team_above_gpu_limit_is_reported() {
    // Machines 0, 1 and 2 are in different zones.
    let start_in_own_zone = |task| (1, started(SERVICE, task, task));
    let events = vec![
        (0, submitted(SERVICE)),
        start_in_own_zone(0),
        start_in_own_zone(1),
        start_in_own_zone(2),
    ];
    assert_eq!(rules(events), [Rule::Quota]);
}

#[test]
fn spread_service_with_too_many_tasks_in_one_zone_is_reported() {
    // There are six zones; machines 0, 6, 12 and so on are in the first one.
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
    let mut higher_limit = scenario();
    higher_limit.team_gpus_max = 8.0;
    events.push((8, started(SERVICE, 0, 30)));
    events.push((9, started(SERVICE, 2, 36)));
    let (violations, _) = Checker::check_history(&higher_limit, &history(events));
    let found: Vec<Rule> = violations
        .into_iter()
        .map(|violation| violation.rule)
        .collect();
    assert_eq!(found, [Rule::WrongPlace]);
}

#[test]
fn task_running_past_cancellation_deadline_is_reported() {
    let cancelled = |last: u64| {
        vec![
            (0, submitted(SERVICE)),
            (0, accepted(SERVICE)),
            (1, started(SERVICE, 0, 7)),
            (
                2,
                Event::CancelRequested {
                    job: SERVICE.into(),
                },
            ),
            (2, responded(SERVICE, UserRequest::Cancel, 200, "cancelled")),
            (last, left(SERVICE, 0, 7)),
        ]
    };
    assert_eq!(rules(cancelled(42)), []);
    assert_eq!(rules(cancelled(43)), [Rule::RanCancelled]);
    // A task that is still on its machine when the history ends is reported as well.
    let mut stays = cancelled(42);
    stays.pop();
    stays.push((60, submitted(ARRAY)));
    assert_eq!(rules(stays), [Rule::RanCancelled]);
}

#[test]
fn accepted_job_that_becomes_unknown_is_reported() {
    let events_with = |request, status| {
        let response = responded(ARRAY, request, status, "");
        vec![(0, submitted(ARRAY)), (0, accepted(ARRAY)), (1, response)]
    };
    assert_eq!(
        rules(events_with(UserRequest::Query, 404)),
        [Rule::Forgotten]
    );
    assert_eq!(
        rules(events_with(UserRequest::Submit, 400)),
        [Rule::Forgotten]
    );
    assert_eq!(
        rules(events_with(UserRequest::Submit, 422)),
        [Rule::Forgotten]
    );
    assert_eq!(rules(events_with(UserRequest::Query, 503)), []);
    let mut failing = events_with(UserRequest::Query, 503);
    failing.push((92, responded(ARRAY, UserRequest::Query, 0, "")));
    assert_eq!(rules(failing), [Rule::Forgotten]);
}

#[test]
fn state_of_unsubmitted_job_is_reported() {
    let events = vec![(
        0,
        responded("run-2x5-never", UserRequest::Query, 200, "pending"),
    )];
    assert_eq!(rules(events), [Rule::Invented]);
}

#[test]
fn job_reported_done_before_last_task_is_reported() {
    let events = vec![
        (0, submitted(ARRAY)),
        (0, accepted(ARRAY)),
        (1, finished(ARRAY, 0)),
        (2, responded(ARRAY, UserRequest::Query, 200, "done")),
    ];
    assert_eq!(rules(events), [Rule::NotDone]);
}

#[test]
fn changed_final_state_and_unrequested_cancellation_are_reported() {
    let base = vec![
        (0, submitted(ARRAY)),
        (0, accepted(ARRAY)),
        (1, finished(ARRAY, 0)),
        (1, finished(ARRAY, 1)),
        (2, responded(ARRAY, UserRequest::Query, 200, "done")),
    ];
    let mut running = base.clone();
    running.push((3, responded(ARRAY, UserRequest::Query, 200, "running")));
    assert_eq!(rules(running), [Rule::WentBack]);
    // A job is reported as cancelled although no user requested its cancellation.
    let events = vec![
        (0, submitted(SERVICE)),
        (0, accepted(SERVICE)),
        (1, responded(SERVICE, UserRequest::Query, 200, "cancelled")),
    ];
    assert_eq!(rules(events), [Rule::WentBack]);
}

/// A scenario in which the two tasks of a service form one multi-host replica.
fn two_task_replicas() -> Scenario {
    let mut scenario = scenario();
    scenario.team_gpus_max = 8.0;
    scenario.classes[0].tasks = vec![2];
    scenario.classes[0].tasks_per_replica = 2;
    scenario
}

/// A response that reports this number of running tasks of the service.
fn reported_running(second: u64, running: u32) -> (u64, Event) {
    let event = Event::RequestCompleted {
        job: SERVICE.into(),
        request: UserRequest::Query,
        status: 200,
        state: if running > 0 { "running" } else { "pending" }.into(),
        running: Some(running),
    };
    (second, event)
}

fn replica_rules(scenario: &Scenario, events: Vec<(u64, Event)>) -> Vec<Rule> {
    let (violations, _) = Checker::check_history(scenario, &history(events));
    violations
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

/// A replica that is complete at 2 s and loses the machine of its second task at 20 s.
fn replica_loses_one_task() -> Vec<(u64, Event)> {
    vec![
        (0, submitted(SERVICE)),
        (0, accepted(SERVICE)),
        (1, started(SERVICE, 0, 0)),
        reported_running(1, 0),
        (2, started(SERVICE, 1, 7)),
        reported_running(3, 2),
        (
            20,
            Event::Lost {
                machines: MachineRange { first: 7, last: 7 },
            },
        ),
    ]
}

#[test]
fn incomplete_replica_reported_as_running_is_a_violation() {
    let scenario = two_task_replicas();
    let mut events = replica_loses_one_task();
    // At 32 s, the report has the maximum age that is allowed.
    events.push(reported_running(32, 2));
    events.push((32, left(SERVICE, 0, 0)));
    assert_eq!(replica_rules(&scenario, events.clone()), []);
    let mut late = events.clone();
    late.push(reported_running(33, 2));
    assert_eq!(replica_rules(&scenario, late), [Rule::IncompleteServes]);
    let mut half = events.clone();
    half.push(reported_running(33, 1));
    assert_eq!(
        replica_rules(&scenario, half.clone()),
        [Rule::IncompleteServes]
    );
    let mut early = replica_loses_one_task();
    early[3] = reported_running(1, 2);
    assert_eq!(
        replica_rules(&scenario, early)[..1],
        [Rule::IncompleteServes],
        "before it was ever complete"
    );
    let mut ungrouped = scenario.clone();
    ungrouped.ungrouped_replicas = true;
    assert_eq!(
        replica_rules(&ungrouped, half),
        [],
        "rules on replicas do not apply"
    );
}

#[test]
fn incomplete_replica_kept_past_deadline_is_reported() {
    let scenario = two_task_replicas();
    let ends = |second: u64| {
        let mut events = replica_loses_one_task();
        events.push((second, left(SERVICE, 0, 0)));
        events.push((second + 3, started(SERVICE, 0, 1)));
        events.push((second + 5, started(SERVICE, 1, 8)));
        events
    };
    assert_eq!(replica_rules(&scenario, ends(60)), []);
    assert_eq!(replica_rules(&scenario, ends(61)), [Rule::LeftAlone]);
    // A task that is still on its machine when the history ends is reported as well.
    let mut stays = replica_loses_one_task();
    stays.push((70, submitted(ARRAY)));
    assert_eq!(replica_rules(&scenario, stays), [Rule::LeftAlone]);
    // After a user's cancellation request, a lost task is not a violation.
    let mut cancelled = replica_loses_one_task();
    cancelled.insert(
        6,
        (
            19,
            Event::CancelRequested {
                job: SERVICE.into(),
            },
        ),
    );
    cancelled.push((70, left(SERVICE, 0, 0)));
    assert_eq!(replica_rules(&scenario, cancelled), []);
}

#[test]
fn repaired_replica_yields_repair_time_and_incomplete_time() {
    let mut events = replica_loses_one_task();
    events.push((34, left(SERVICE, 0, 0)));
    events.push((37, started(SERVICE, 0, 1)));
    events.push((40, started(SERVICE, 1, 8)));
    let (_, figures) = Checker::check_history(&two_task_replicas(), &history(events));
    let figures = figures.expect("there are replicas");
    assert_eq!(
        (figures.seen, figures.repaired, figures.incomplete_at_end),
        (1, 1, 0)
    );
    assert!((figures.repair_max_s - 20.0).abs() < 0.1, "{figures:?}");
    // The remaining task uses two GPUs for 14 s.
    assert!((figures.incomplete_gpu_s - 28.0).abs() < 0.1, "{figures:?}");
    assert!((figures.incomplete_max_s - 14.0).abs() < 0.1, "{figures:?}");
}

/// A scenario with a pipeline of three jobs: the second depends on the first, and the
/// third on the second.
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
fn dependency_violations_in_pipelines_are_reported() {
    let first = pipeline().classes.len() - 3;
    let [one, two, three] = [0, 1, 2].map(|n| Scenario::job_name(first + n, 7));
    let rules_of = |later: Vec<(u64, Event)>| {
        let all = [&one, &two, &three].map(|job| (1, submitted(job)));
        let responses = [&one, &two, &three].map(|job| (2, accepted(job)));
        let events = all.into_iter().chain(responses).chain(later).collect();
        let (violations, _) = Checker::check_history(&pipeline(), &history(events));
        violations
            .into_iter()
            .map(|violation| violation.rule)
            .collect::<Vec<_>>()
    };
    let run = |job: &str, second| {
        (0..2)
            .flat_map(move |task| {
                let job = job.to_string();
                [
                    (second, started(&job, task, 0)),
                    (second + 1, finished(&job, task)),
                    (second + 1, left(&job, task, 0)),
                ]
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(
        rules_of([run(&one, 3), run(&two, 6), run(&three, 9)].concat()),
        []
    );
    let half = vec![
        (3, started(&one, 0, 0)),
        (4, finished(&one, 0)),
        (5, started(&two, 0, 0)),
    ];
    assert_eq!(rules_of(half), [Rule::TooEarly]);
    let cancel = vec![
        (3, Event::CancelRequested { job: one.clone() }),
        (4, responded(&one, UserRequest::Cancel, 200, "cancelled")),
    ];
    let query = |second, state| vec![(second, responded(&three, UserRequest::Query, 200, state))];
    assert_eq!(
        rules_of([cancel.clone(), query(40, "pending"), query(41, "cancelled")].concat()),
        []
    );
    assert_eq!(
        rules_of([cancel, query(50, "pending")].concat()),
        [Rule::Orphaned]
    );
    assert_eq!(rules_of(query(5, "cancelled")), [Rule::WentBack]);
}

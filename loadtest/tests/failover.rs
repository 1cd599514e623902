//! Tests that failover times are computed correctly from logs and histories.

use lilacfork_loadtest::failover::{
    elected_terms, failovers, parse_logged_step, LeaderLoss, LeadershipStep, LoggedStep, LossCause,
};
use lilacfork_loadtest::history::{Entry, Event};

/// 2026-01-01T00:00:00Z.
const START_US: u64 = 1_767_225_600_000_000;

fn at_us(second: u64) -> u64 {
    START_US + second * 1_000_000
}

fn line(message: &str) -> String {
    format!("[2026-01-01T00:00:05.250Z INFO  lilacfork::scheduler] {message}")
}

fn parse_message(message: &str) -> Option<LoggedStep> {
    parse_logged_step(&line(message))
}

#[test]
fn leadership_steps_are_parsed_with_millisecond_times() {
    let at_us = START_US + 5_250_000;
    let logged = |step| Some(LoggedStep { at_us, step });
    assert_eq!(
        parse_message("leader elected term=7"),
        logged(LeadershipStep::Elected)
    );
    assert_eq!(
        parse_message("leader active term=7 jobs=3 machines=4 after_ms=12"),
        logged(LeadershipStep::Active)
    );
    assert_eq!(parse_message("leader deposed term=7"), None);
    assert_eq!(parse_message("leader hands over reason=\"x\""), None);
    assert_eq!(parse_message("leader elected"), None);
    assert_eq!(parse_message("job leader elected term=7"), None);
    assert_eq!(parse_logged_step("leader elected term=7"), None);
    assert_eq!(
        parse_logged_step("[soon INFO x] leader elected term=7"),
        None
    );
}

#[test]
fn leadership_steps_in_former_log_format_are_parsed() {
    let at_us = START_US + 5_250_000;
    let logged = |step| Some(LoggedStep { at_us, step });
    assert_eq!(
        parse_message("leader term=7 elected, loading"),
        logged(LeadershipStep::Elected)
    );
    assert_eq!(
        parse_message("leader term=7 active, jobs=3 machines=4 after_ms=12"),
        logged(LeadershipStep::Active)
    );
    assert_eq!(parse_message("leader term=7 ends"), None);
    assert_eq!(parse_message("job leader term=7 x"), None);
    assert_eq!(parse_logged_step("leader term=7 elected, loading"), None);
    assert_eq!(
        parse_logged_step("[soon INFO x] leader term=7 elected, loading"),
        None
    );
}

#[test]
fn elected_terms_are_parsed_from_current_and_former_log_formats() {
    let messages = [
        "leader term=7 elected, loading",
        "leader term=7 active, jobs=3 machines=4 after_ms=12",
        "leader elected term=19",
        "leader active term=19 jobs=3 machines=4 after_ms=12",
        "leader elected term=x",
        "leader term=20 ends",
    ];
    let log: String = messages.map(|text| line(text) + "\n").concat();
    let terms: Vec<u64> = elected_terms(&log).collect();
    assert_eq!(terms, [7, 19]);
}

#[test]
fn failover_counts_only_starts_commanded_by_new_leader() {
    let entry = |second, event| Entry {
        at_us: at_us(second),
        event,
    };
    let submitted = |second, job: &str| entry(second, Event::Submitted { job: job.into() });
    let started = |second, task: &str| {
        let task = task.into();
        entry(second, Event::Started { task, machine: 1 })
    };
    let history = [
        submitted(1, "run-0x1"),
        started(11, "run-0x1/0"),
        submitted(12, "run-0x2"),
        // A start before the next election was commanded by the old leader.
        started(13, "run-0x2/1"),
        started(16, "run-0x2/0"),
        submitted(31, "run-0x3"),
    ];
    let losses = [
        LeaderLoss {
            at_us: at_us(10),
            cause: LossCause::Killed,
        },
        LeaderLoss {
            at_us: at_us(30),
            cause: LossCause::Paused,
        },
    ];
    let logged = [
        (2, LeadershipStep::Elected),
        (3, LeadershipStep::Active),
        (14, LeadershipStep::Elected),
        (15, LeadershipStep::Active),
    ]
    .map(|(second, step)| LoggedStep {
        at_us: at_us(second),
        step,
    });
    let found = failovers(&losses, &logged, &history);
    assert_eq!(found[0].cause, LossCause::Killed);
    assert_eq!(
        (
            found[0].elected_s,
            found[0].active_s,
            found[0].first_start_s
        ),
        (Some(4.0), Some(5.0), Some(6.0))
    );
    assert_eq!(
        (
            found[1].elected_s,
            found[1].active_s,
            found[1].first_start_s
        ),
        (None, None, None)
    );
}

//! Failovers are read from logs and histories as they happened.

use lilacfork_loadtest::failover::{
    elected_terms, failovers, logged_step, LeaderLoss, LeadershipStep, LoggedStep, LossCause,
};
use lilacfork_loadtest::history::{Entry, Event};

/// 2026-01-01T00:00:00Z.
const BEGAN_US: u64 = 1_767_225_600_000_000;

fn at(second: u64) -> u64 {
    BEGAN_US + second * 1_000_000
}

fn line(message: &str) -> String {
    format!("[2026-01-01T00:00:05.250Z INFO  lilacfork::scheduler] {message}")
}

fn step(message: &str) -> Option<LoggedStep> {
    logged_step(&line(message))
}

#[test]
fn a_log_tells_of_elections_to_the_millisecond() {
    let at_us = BEGAN_US + 5_250_000;
    let logged = |step| Some(LoggedStep { at_us, step });
    assert_eq!(
        step("leader elected term=7"),
        logged(LeadershipStep::Elected)
    );
    assert_eq!(
        step("leader active term=7 jobs=3 machines=4 after_ms=12"),
        logged(LeadershipStep::Active)
    );
    assert_eq!(step("leader deposed term=7"), None);
    assert_eq!(step("leader hands over reason=\"x\""), None);
    assert_eq!(step("leader elected"), None);
    assert_eq!(step("job leader elected term=7"), None);
    assert_eq!(logged_step("leader elected term=7"), None);
    assert_eq!(logged_step("[soon INFO x] leader elected term=7"), None);
}

#[test]
fn the_former_lines_are_read_as_well() {
    let at_us = BEGAN_US + 5_250_000;
    let logged = |step| Some(LoggedStep { at_us, step });
    assert_eq!(
        step("leader term=7 elected, loading"),
        logged(LeadershipStep::Elected)
    );
    assert_eq!(
        step("leader term=7 active, jobs=3 machines=4 after_ms=12"),
        logged(LeadershipStep::Active)
    );
    assert_eq!(step("leader term=7 ends"), None);
    assert_eq!(step("job leader term=7 x"), None);
    assert_eq!(logged_step("leader term=7 elected, loading"), None);
    assert_eq!(
        logged_step("[soon INFO x] leader term=7 elected, loading"),
        None
    );
}

#[test]
fn elected_terms_are_read_from_both_versions() {
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
fn only_a_start_that_the_old_leader_cannot_have_ordered_counts() {
    let entry = |second, event| Entry {
        at_us: at(second),
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
        // Before the next leader is elected it can only be the old one's.
        started(13, "run-0x2/1"),
        started(16, "run-0x2/0"),
        submitted(31, "run-0x3"),
    ];
    let ends = [
        LeaderLoss {
            at_us: at(10),
            cause: LossCause::Killed,
        },
        LeaderLoss {
            at_us: at(30),
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
        at_us: at(second),
        step,
    });
    let found = failovers(&ends, &logged, &history);
    assert_eq!(found[0].cause, LossCause::Killed);
    assert_eq!(
        (found[0].elected_s, found[0].active_s, found[0].decision_s),
        (Some(4.0), Some(5.0), Some(6.0))
    );
    assert_eq!(
        (found[1].elected_s, found[1].active_s, found[1].decision_s),
        (None, None, None)
    );
}

//! Changes of leader are read from logs and histories as they happened.

use lilacfork_loadtest::failover::{logged_step, takeovers, How, LeaderEnd, Step};
use lilacfork_loadtest::history::{Entry, Event};

/// 2026-01-01T00:00:00Z.
const BEGAN_US: u64 = 1_767_225_600_000_000;

fn at(second: u64) -> u64 {
    BEGAN_US + second * 1_000_000
}

#[test]
fn a_log_tells_of_elections_to_the_millisecond() {
    let line = |rest: &str| format!("[2026-01-01T00:00:05.250Z INFO  lilacfork::scheduler] {rest}");
    let step = |rest: &str| logged_step(&line(rest));
    let us = BEGAN_US + 5_250_000;
    assert_eq!(
        step("leader term=7 elected, loading"),
        Some((us, Step::Elected))
    );
    assert_eq!(
        step("leader term=7 active, jobs=3 machines=4 after_ms=12"),
        Some((us, Step::Active))
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
        LeaderEnd {
            at_us: at(10),
            how: How::Killed,
        },
        LeaderEnd {
            at_us: at(30),
            how: How::Paused,
        },
    ];
    let logged = [
        (at(2), Step::Elected),
        (at(3), Step::Active),
        (at(14), Step::Elected),
        (at(15), Step::Active),
    ];
    let found = takeovers(&ends, &logged, &history);
    assert_eq!(found[0].how, How::Killed);
    assert_eq!(
        (found[0].elected_s, found[0].active_s, found[0].decision_s),
        (Some(4.0), Some(5.0), Some(6.0))
    );
    assert_eq!(
        (found[1].elected_s, found[1].active_s, found[1].decision_s),
        (None, None, None)
    );
}

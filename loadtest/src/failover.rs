//! Measures how long failovers take. The time runs from the moment at which a fault kills
//! or pauses the leader to the election of the next leader, to the moment at which that
//! leader is active, and to the first task start that only that leader can have commanded.

use crate::history::{Entry, Event};
use jiff::Timestamp;
use lilacfork::ids::TaskRef;
use serde::Serialize;
use std::collections::HashMap;
use std::fmt;
use std::path::Path;

/// The fault by which a leader was lost.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossCause {
    /// The leader's process was killed.
    Killed,
    /// The leader's process was paused.
    Paused,
}

/// The loss of a leader by an injected fault.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeaderLoss {
    /// The time of the fault, in microseconds since 1970.
    pub at_us: u64,
    /// The kind of fault.
    pub cause: LossCause,
}

/// A step of leadership that a controller logs.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum LeadershipStep {
    /// The controller was elected leader.
    Elected,
    /// The new leader has loaded all stored records.
    Active,
}

/// A step of leadership with the time at which a controller logged it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct LoggedStep {
    /// The time of the log line, in microseconds since 1970.
    pub at_us: u64,
    /// The step that the line reports.
    pub step: LeadershipStep,
}

/// The times of one failover, in seconds since the loss of the old leader. `None`: the
/// step was not reached before the next loss, or before the end of the load test.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Failover {
    /// The fault by which the old leader was lost.
    #[serde(rename = "how")]
    pub cause: LossCause,
    /// When the next leader was elected.
    pub elected_s: Option<f64>,
    /// When the next leader was active.
    pub active_s: Option<f64>,
    /// When the first task started whose job was submitted after the loss. Only starts
    /// after the next election count, because the old leader may run for a moment after
    /// the time recorded for the fault.
    #[serde(rename = "decision_s")]
    pub first_start_s: Option<f64>,
}

impl fmt::Display for Failover {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cause = match self.cause {
            LossCause::Killed => "killed",
            LossCause::Paused => "paused",
        };
        let after = |seconds: Option<f64>| match seconds {
            Some(seconds) => format!("{seconds:.2} s"),
            None => "never".to_string(),
        };
        write!(
            f,
            "leader {cause}: next elected after {}, active after {}, first new start after {}",
            after(self.elected_s),
            after(self.active_s),
            after(self.first_start_s)
        )
    }
}

/// Returns the message of a log line, without time, level and module.
fn message_of(line: &str) -> Option<&str> {
    line.strip_prefix('[')?
        .split_once("] ")
        .map(|(_, text)| text)
}

/// Returns the step of leadership that a log message reports, and its term.
///
/// The current form is `leader elected term=N` and `leader active term=N jobs=...`. The
/// former one, `leader term=N elected, loading` and `leader term=N active, jobs=...`, is
/// parsed as well, because the load test also runs the version that is in production.
fn parse_leadership(message: &str) -> Option<(LeadershipStep, u64)> {
    let rest = message.strip_prefix("leader ")?;
    let (step, term) = if let Some(rest) = rest.strip_prefix("elected term=") {
        (LeadershipStep::Elected, rest)
    } else if let Some(rest) = rest.strip_prefix("active term=") {
        (LeadershipStep::Active, rest.split_once(" jobs=")?.0)
    } else {
        let (term, text) = rest.strip_prefix("term=")?.split_once(' ')?;
        match text {
            "elected, loading" => (LeadershipStep::Elected, term),
            _ if text.starts_with("active, jobs=") => (LeadershipStep::Active, term),
            _ => return None,
        }
    };
    Some((step, term.parse().ok()?))
}

/// Returns the step of leadership that a line of a controller's log reports; `None`: the
/// line reports none.
pub fn parse_logged_step(line: &str) -> Option<LoggedStep> {
    let (step, _) = parse_leadership(message_of(line)?)?;
    let (time, _) = line.strip_prefix('[')?.split_once(' ')?;
    let time: Timestamp = time.parse().ok()?;
    Some(LoggedStep {
        at_us: u64::try_from(time.as_microsecond()).ok()?,
        step,
    })
}

/// Returns the terms for which a controller was elected leader, from the text of its log.
pub fn elected_terms(log: &str) -> impl Iterator<Item = u64> + '_ {
    log.lines().filter_map(|line| {
        let (step, term) = parse_leadership(message_of(line)?)?;
        (step == LeadershipStep::Elected).then_some(term)
    })
}

/// Reads the steps of leadership from the log files of all controllers, and sorts them by
/// time. A file that can't be read counts as empty.
pub fn read_logged_steps<'a>(logs: impl Iterator<Item = &'a Path>) -> Vec<LoggedStep> {
    let mut steps: Vec<LoggedStep> = Vec::new();
    for log in logs {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        steps.extend(text.lines().filter_map(parse_logged_step));
    }
    steps.sort_unstable();
    steps
}

/// Reads the terms for which a controller was elected leader from its log file. A file
/// that can't be read counts as empty.
pub fn read_elected_terms(log: &Path) -> Vec<u64> {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    elected_terms(&text).collect()
}

/// Returns the time of each job's first submission, in microseconds since 1970.
fn submission_times(history: &[Entry]) -> HashMap<&str, u64> {
    let mut submitted = HashMap::new();
    for entry in history {
        if let Event::Submitted { job } = &entry.event {
            submitted.entry(job.as_str()).or_insert(entry.at_us);
        }
    }
    submitted
}

/// Returns the failovers that these losses caused, one for each loss. The losses, logged
/// steps and events have to be in the order of time.
pub fn failovers(losses: &[LeaderLoss], logged: &[LoggedStep], history: &[Entry]) -> Vec<Failover> {
    let submitted = submission_times(history);
    let next_losses = losses.iter().skip(1).map(|loss| loss.at_us);
    let ends = next_losses.chain(std::iter::once(u64::MAX));
    let failover = |(loss, until_us): (&LeaderLoss, u64)| {
        let is_within = |at_us: u64| at_us > loss.at_us && at_us < until_us;
        let seconds_since = |at_us: u64| (at_us - loss.at_us) as f64 / 1e6;
        let first_us = |step: LeadershipStep| {
            logged
                .iter()
                .find(|logged| is_within(logged.at_us) && logged.step == step)
                .map(|logged| logged.at_us)
        };
        let elected_us = first_us(LeadershipStep::Elected);
        let is_new_start = |entry: &&Entry| {
            let Event::Started { task, .. } = &entry.event else {
                return false;
            };
            let submitted_us =
                TaskRef::parse(task).and_then(|task| submitted.get(task.job.as_str()).copied());
            is_within(entry.at_us)
                && elected_us.is_some_and(|elected_us| entry.at_us > elected_us)
                && submitted_us.is_some_and(|submitted_us| submitted_us > loss.at_us)
        };
        let first_start = history.iter().find(is_new_start);
        Failover {
            cause: loss.cause,
            elected_s: elected_us.map(seconds_since),
            active_s: first_us(LeadershipStep::Active).map(seconds_since),
            first_start_s: first_start.map(|entry| seconds_since(entry.at_us)),
        }
    };
    losses.iter().zip(ends).map(failover).collect()
}

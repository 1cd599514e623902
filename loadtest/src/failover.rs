//! How long the fleet was without a leader: from the moment at which one ended or
//! stood still to the next one's election, to its being active, and to the first
//! start that only the new one can have ordered.

use crate::history::{Entry, Event};
use jiff::Timestamp;
use lilacfork::ids::TaskRef;
use serde::Serialize;
use std::collections::HashMap;
use std::fmt;
use std::path::Path;

/// What became of a leader.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// Its process was ended.
    Killed,
    /// Its process stood still.
    Paused,
}

/// A leader that a fault took away.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeaderEnd {
    /// When, in microseconds since 1970.
    pub at_us: u64,
    /// How.
    pub how: How,
}

/// What a controller's log says of its leadership.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Step {
    /// It was elected.
    Elected,
    /// It has read everything that is stored.
    Active,
}

/// A line of a log, with its time in microseconds since 1970.
pub type LoggedStep = (u64, Step);

/// One change of leader; times in seconds from the end of the old one. `None`: it
/// didn't come before the next end, or the run's.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Takeover {
    /// How the old leader ended.
    pub how: How,
    /// Until the next was elected.
    pub elected_s: Option<f64>,
    /// Until it was active.
    pub active_s: Option<f64>,
    /// Until a task started whose job was submitted after the end, under the next
    /// leader: the old one may last a moment longer than the fault says.
    pub decision_s: Option<f64>,
}

impl fmt::Display for Takeover {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let how = match self.how {
            How::Killed => "killed",
            How::Paused => "paused",
        };
        let after = |seconds: Option<f64>| match seconds {
            Some(seconds) => format!("{seconds:.2} s"),
            None => "never".to_string(),
        };
        write!(
            f,
            "leader {how}: next elected after {}, active after {}, first new start after {}",
            after(self.elected_s),
            after(self.active_s),
            after(self.decision_s)
        )
    }
}

/// The step that a line of a controller's log tells of.
pub fn logged_step(line: &str) -> Option<LoggedStep> {
    let (time, rest) = line.strip_prefix('[')?.split_once(' ')?;
    let step = if rest.contains("] leader term=") && rest.ends_with(" elected, loading") {
        Step::Elected
    } else if rest.contains("] leader term=") && rest.contains(" active, jobs=") {
        Step::Active
    } else {
        return None;
    };
    let time: Timestamp = time.parse().ok()?;
    Some((u64::try_from(time.as_microsecond()).ok()?, step))
}

/// The steps in all controllers' logs, in the order of time.
pub fn read_logs<'a>(logs: impl Iterator<Item = &'a Path>) -> Vec<LoggedStep> {
    let mut steps: Vec<LoggedStep> = Vec::new();
    for log in logs {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        steps.extend(text.lines().filter_map(logged_step));
    }
    steps.sort_unstable();
    steps
}

/// The changes of leader that these ends caused.
pub fn takeovers(ends: &[LeaderEnd], logged: &[LoggedStep], history: &[Entry]) -> Vec<Takeover> {
    let mut submitted: HashMap<&str, u64> = HashMap::new();
    for entry in history {
        if let Event::Submitted { job } = &entry.event {
            submitted.entry(job).or_insert(entry.at_us);
        }
    }
    let followed = ends.iter().skip(1).map(|end| end.at_us);
    let until = followed.chain(std::iter::once(u64::MAX));
    let takeover = |(end, until_us): (&LeaderEnd, u64)| {
        let within = |at_us: u64| at_us > end.at_us && at_us < until_us;
        let since = |at_us: u64| (at_us - end.at_us) as f64 / 1e6;
        let step = |wanted: Step| {
            let first = logged
                .iter()
                .find(|(at, step)| within(*at) && *step == wanted);
            first.map(|(at, _)| *at)
        };
        let elected_us = step(Step::Elected);
        let new = |entry: &&Entry| match &entry.event {
            Event::Started { task, .. } => {
                let job = TaskRef::parse(task).map(|task| task.job);
                let came = job.and_then(|job| submitted.get(job.as_str()).copied());
                let elected = elected_us.is_some_and(|elected| entry.at_us > elected);
                within(entry.at_us) && elected && came.is_some_and(|came| came > end.at_us)
            }
            _ => false,
        };
        Takeover {
            how: end.how,
            elected_s: elected_us.map(since),
            active_s: step(Step::Active).map(since),
            decision_s: history.iter().find(new).map(|entry| since(entry.at_us)),
        }
    };
    ends.iter().zip(until).map(takeover).collect()
}

//! Counters of the leader's work for logs, metrics and tests.

use crate::ids::JobId;
use crate::messages::TaskProgress;
use crate::scheduler::rounds::round::Round;
use crate::scheduler::Scheduler;
use std::fmt;

/// Scanning this many task indexes or candidates costs as much as examining one entry.
const SCANNED_PER_ENTRY: u64 = 16;

/// Counters of the leader's periodic work since the process started.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct ActivityCounters {
    /// Scheduling rounds that have begun.
    pub rounds: u64,
    /// Checks of all machines and of all stops that are due.
    pub checks: u64,
    /// Attempts to build a transaction from the unwritten changes of the jobs.
    pub commits: u64,
}

/// The cost of scheduling rounds, as logged.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct RoundStats {
    /// Scheduling rounds that have begun.
    pub rounds: u64,
    /// Entries that these rounds have examined.
    pub examined: u64,
    /// The maximum number of entries that one slice has examined since the process
    /// started; 0 in the snapshot that the scheduler keeps.
    pub longest_slice: u64,
}

impl fmt::Display for RoundStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RoundStats {
            rounds,
            examined,
            longest_slice,
        } = self;
        write!(
            f,
            "begun={rounds} examined={examined} longest_slice={longest_slice}"
        )
    }
}

/// The cost of dependencies between jobs to a leader in its present term.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct DependencyStats {
    /// Jobs and edges between jobs that were examined: when jobs were added, cancelled or
    /// ended, and in the propagation of urgency.
    pub examined: u64,
    /// The maximum number of them that one slice of the propagation has examined.
    pub longest_slice: u64,
}

impl fmt::Display for DependencyStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let DependencyStats {
            examined,
            longest_slice,
        } = self;
        write!(f, "examined={examined} longest_slice={longest_slice}")
    }
}

impl Scheduler {
    /// Adds the cost of scanning this many task indexes or candidates to the examined
    /// entries.
    pub(in crate::scheduler) fn count_scanned(&mut self, scanned: usize) {
        self.pacing.examined += (scanned as u64).div_ceil(SCANNED_PER_ENTRY);
    }

    /// Returns the counters of the leader's periodic work.
    pub fn activity(&self) -> ActivityCounters {
        self.pacing.activity
    }

    /// Returns the number of entries that rounds have examined since the process started.
    pub fn examined_entries(&self) -> u64 {
        self.pacing.examined + self.capacity.examined()
    }

    /// Returns the maximum number of entries that one slice of a round has examined.
    pub fn longest_slice(&self) -> u64 {
        self.pacing.longest_slice
    }

    /// Returns the number of machines in the fleet.
    pub fn machine_count(&self) -> usize {
        self.fleet.len()
    }

    /// Returns the number of queue entries that the current round has not served yet.
    pub fn queued_in_round(&self) -> usize {
        self.round.as_ref().map_or(0, Round::queued)
    }

    /// Returns the number of rounds and of examined entries since the previous call, for
    /// the log.
    pub fn take_round_stats(&mut self) -> RoundStats {
        let now = RoundStats {
            rounds: self.pacing.activity.rounds,
            examined: self.examined_entries(),
            longest_slice: 0,
        };
        let before = std::mem::replace(&mut self.pacing.logged_stats, now);
        RoundStats {
            rounds: now.rounds - before.rounds,
            examined: now.examined - before.examined,
            longest_slice: self.pacing.longest_slice,
        }
    }

    /// Returns the task counts of each unfinished job that status queries report.
    pub fn job_progress(&self) -> impl Iterator<Item = (&JobId, TaskProgress)> {
        self.jobs.iter().map(|(id, job)| {
            let counts = TaskProgress {
                done: job.done.len() as u32,
                running: self.running_for_display(id, job),
                multi_host: job.shape.is_some(),
            };
            (id, counts)
        })
    }
}

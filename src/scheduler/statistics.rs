//! Counters of the leader's work, for logs, metrics and tests.

use crate::ids::JobId;
use crate::messages::TaskProgress;
use crate::scheduler::rounds::round::Round;
use crate::scheduler::Scheduler;
use std::fmt;

/// This many numbers that are only scanned count as one examined entry.
const SCANNED_PER_ENTRY: u64 = 16;

/// The leader's regular work, counted since the process began.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct ActivityCounters {
    /// Scheduling rounds.
    pub rounds: u64,
    /// Checks of every machine.
    pub checks: u64,
    /// Walks over all jobs for what there is to write.
    pub commits: u64,
}

/// What rounds have cost, for the log.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct RoundStats {
    /// Scheduling rounds.
    pub rounds: u64,
    /// Entries that they examined.
    pub examined: u64,
    /// The most that one slice has examined since the process began.
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

impl Scheduler {
    /// Counts numbers that are only scanned.
    pub(in crate::scheduler) fn count_scanned(&mut self, numbers: usize) {
        self.pacing.examined += (numbers as u64).div_ceil(SCANNED_PER_ENTRY);
    }

    /// How much of its regular work it has done so far.
    pub fn activity(&self) -> ActivityCounters {
        self.pacing.activity
    }

    /// Entries that rounds have examined since the process began.
    pub fn examined(&self) -> u64 {
        self.pacing.examined + self.capacity.examined()
    }

    /// The most entries that one slice of a round has examined.
    pub fn longest_slice(&self) -> u64 {
        self.pacing.longest_slice
    }

    /// How many machines it knows.
    pub fn machines(&self) -> usize {
        self.fleet.len()
    }

    /// How many items are queued in the current round.
    pub fn queued_in_round(&self) -> usize {
        self.round.as_ref().map_or(0, Round::queued)
    }

    /// Rounds, and what they examined, since the last call: for the log.
    pub fn take_round_stats(&mut self) -> RoundStats {
        let now = RoundStats {
            rounds: self.pacing.activity.rounds,
            examined: self.examined(),
            longest_slice: 0,
        };
        let before = std::mem::replace(&mut self.pacing.logged_stats, now);
        RoundStats {
            rounds: now.rounds - before.rounds,
            examined: now.examined - before.examined,
            longest_slice: self.pacing.longest_slice,
        }
    }

    /// The progress of each job, for display.
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

//! What the gateway remembers of jobs: facts that can't change any more, and the
//! progress that the leader reports, for display.

use crate::bounded_map::BoundedMap;
use crate::ids::{JobId, Term};
use crate::messages::{Now, TaskProgress};
use crate::records::jobs::FinalState;

/// How many jobs are remembered, at least, and for each MB that the process may use.
/// For any other job the key-value store is read as if the job were new.
const MIN_REMEMBERED_JOBS: usize = 20_000;
const REMEMBERED_JOBS_PER_MB: f64 = 500.0;

/// A fact that can't change any more, so that it may be used without a read.
#[derive(Clone, Copy, Debug)]
pub(super) enum ImmutableFact {
    /// The job is stored: its submission need not be tried again.
    Accepted,
    /// The job is over.
    Ended { state: FinalState, tasks: u32 },
}

/// What a leader reported of a job.
#[derive(Clone, Copy, Debug)]
struct ReportedProgress {
    progress: TaskProgress,
    term: Term,
}

/// The leader that was last heard.
#[derive(Clone, Copy, Debug)]
struct ConfirmedLeader {
    term: Term,
    confirmed_ms: u64,
}

/// What is remembered of jobs.
pub(super) struct JobMemory {
    facts: BoundedMap<JobId, ImmutableFact>,
    /// Hints from the leader, for display.
    progress: BoundedMap<JobId, ReportedProgress>,
    leader: Option<ConfirmedLeader>,
    /// A leader that hasn't been heard for so long may no longer lead.
    leader_timeout_ms: u64,
}

impl JobMemory {
    /// Remembers nothing yet; `ram_mb` is the memory that the process may use.
    pub(super) fn new(ram_mb: f64, leader_timeout_ms: u64) -> Self {
        let capacity = MIN_REMEMBERED_JOBS.max((ram_mb * REMEMBERED_JOBS_PER_MB) as usize);
        JobMemory {
            facts: BoundedMap::new(capacity),
            progress: BoundedMap::new(capacity),
            leader: None,
            leader_timeout_ms,
        }
    }

    /// What is known of a job for good.
    pub(super) fn fact(&self, id: &JobId) -> Option<ImmutableFact> {
        self.facts.get(id).copied()
    }

    /// How a job ended, if it is known to be over.
    pub(super) fn final_state(&self, id: &JobId) -> Option<FinalState> {
        match self.facts.get(id)? {
            ImmutableFact::Ended { state, .. } => Some(*state),
            ImmutableFact::Accepted => None,
        }
    }

    /// The job is stored.
    pub(super) fn set_accepted(&mut self, id: &JobId) {
        if self.facts.get(id).is_none() {
            self.facts.insert(id.clone(), ImmutableFact::Accepted);
        }
    }

    /// The job is over.
    pub(super) fn set_ended(&mut self, id: &JobId, state: FinalState, tasks: u32) {
        self.progress.remove(id);
        self.facts
            .insert(id.clone(), ImmutableFact::Ended { state, tasks });
    }

    /// The leader of this term is heard, and stands by what it has reported.
    pub(super) fn confirm_leader(&mut self, now: Now, term: Term) {
        self.leader = Some(ConfirmedLeader {
            term,
            confirmed_ms: now.ms,
        });
    }

    /// The progress of a job as the leader of this term reports it.
    pub(super) fn record_progress(&mut self, id: &JobId, term: Term, progress: TaskProgress) {
        if self.final_state(id).is_none() {
            self.progress
                .insert(id.clone(), ReportedProgress { progress, term });
        }
    }

    /// The progress of a job to be shown to users now. That a replica which spans
    /// machines is running is shown only as long as the leader that reported it leads.
    pub(super) fn displayed_progress(&self, now: Now, id: &JobId) -> TaskProgress {
        let Some(reported) = self.progress.get(id) else {
            return TaskProgress::default();
        };
        let mut progress = reported.progress;
        if progress.multi_host && !self.is_leading(now, reported.term) {
            progress.running = 0;
        }
        progress
    }

    fn is_leading(&self, now: Now, term: Term) -> bool {
        self.leader.is_some_and(|leader| {
            leader.term == term && now.ms < leader.confirmed_ms + self.leader_timeout_ms
        })
    }
}

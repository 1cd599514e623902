//! The gateway's in-memory cache of jobs: facts that can't change any more, and the
//! progress that the leader reports, which is shown to users.

use crate::bounded_map::BoundedMap;
use crate::ids::{JobId, Term};
use crate::messages::{Now, TaskProgress};
use crate::records::jobs::FinalState;

/// The cache holds `REMEMBERED_JOBS_PER_MB` jobs for each MB that the process may use, but
/// at least this many. For any other job the gateway reads the key-value store.
const MIN_REMEMBERED_JOBS: usize = 20_000;
const REMEMBERED_JOBS_PER_MB: f64 = 500.0;

/// A fact about a job that can't change any more, so that the gateway may use it without
/// reading the key-value store.
#[derive(Clone, Copy, Debug)]
pub(super) enum ImmutableFact {
    /// The job is stored: a repeated submission needs no write.
    Accepted,
    /// The job has ended.
    Ended { state: FinalState, tasks: u32 },
}

/// A job's progress and the term of the leader that reported it.
#[derive(Clone, Copy, Debug)]
struct ReportedProgress {
    progress: TaskProgress,
    term: Term,
}

/// The leader that was last confirmed to lead, and when.
#[derive(Clone, Copy, Debug)]
struct ConfirmedLeader {
    term: Term,
    confirmed_ms: u64,
}

/// The cache of facts about jobs and of their progress.
pub(super) struct JobMemory {
    facts: BoundedMap<JobId, ImmutableFact>,
    /// The progress that the leader reported, which is only shown to users.
    progress: BoundedMap<JobId, ReportedProgress>,
    leader: Option<ConfirmedLeader>,
    /// The time after its last confirmation after which a leader may no longer lead.
    leader_timeout_ms: u64,
}

impl JobMemory {
    /// Creates an empty cache. `ram_mb` is the memory that the process may use.
    pub(super) fn new(ram_mb: f64, leader_timeout_ms: u64) -> Self {
        let capacity = MIN_REMEMBERED_JOBS.max((ram_mb * REMEMBERED_JOBS_PER_MB) as usize);
        JobMemory {
            facts: BoundedMap::new(capacity),
            progress: BoundedMap::new(capacity),
            leader: None,
            leader_timeout_ms,
        }
    }

    /// Returns the immutable fact that is known about a job, if any.
    pub(super) fn fact(&self, id: &JobId) -> Option<ImmutableFact> {
        self.facts.get(id).copied()
    }

    /// Returns how a job ended; `None` if the job isn't known to have ended.
    pub(super) fn final_state(&self, id: &JobId) -> Option<FinalState> {
        match self.facts.get(id)? {
            ImmutableFact::Ended { state, .. } => Some(*state),
            ImmutableFact::Accepted => None,
        }
    }

    /// Records that the job is stored.
    pub(super) fn set_accepted(&mut self, id: &JobId) {
        if self.facts.get(id).is_none() {
            self.facts.insert(id.clone(), ImmutableFact::Accepted);
        }
    }

    /// Records that the job has ended, and discards its progress.
    pub(super) fn set_ended(&mut self, id: &JobId, state: FinalState, tasks: u32) {
        self.progress.remove(id);
        self.facts
            .insert(id.clone(), ImmutableFact::Ended { state, tasks });
    }

    /// Records that the leader of this term still leads, so that the progress it has
    /// reported remains valid.
    pub(super) fn confirm_leader(&mut self, now: Now, term: Term) {
        self.leader = Some(ConfirmedLeader {
            term,
            confirmed_ms: now.ms,
        });
    }

    /// Records the progress of a job that the leader of this term reports.
    pub(super) fn record_progress(&mut self, id: &JobId, term: Term, progress: TaskProgress) {
        if self.final_state(id).is_none() {
            self.progress
                .insert(id.clone(), ReportedProgress { progress, term });
        }
    }

    /// Returns the progress of a job to show to users. The running tasks of replicas that
    /// span machines are shown only while the leader that reported them is known to lead.
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

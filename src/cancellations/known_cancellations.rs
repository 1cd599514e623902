//! The set of jobs that are known to be cancelled.

use crate::ids::JobId;
use crate::messages::Now;
use std::collections::{HashMap, HashSet};

/// A job that a peer confirmed as cancelled and that no record shows is kept
/// for so many times `cancel_s`: by then none of its tasks can be left.
const RETENTION_CANCEL_TIMES: u64 = 4;

#[derive(Clone, Copy, Debug)]
struct KnownCancellation {
    learned_ms: u64,
    /// The job's record says so; the entry is removed along with the record.
    stored: bool,
}

/// Where a cancellation was learned from.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum CancellationSource {
    /// The job's record.
    Record,
    /// A controller that confirmed it to a user: this one or a peer.
    Confirmation,
}

/// The jobs that are known to be cancelled.
#[derive(Debug)]
pub(super) struct KnownCancellations {
    cancel_ms: u64,
    jobs: HashMap<JobId, KnownCancellation>,
    purge_due_ms: u64,
}

impl KnownCancellations {
    /// An empty set; `cancel_ms` is the time within which a cancelled job's tasks are
    /// gone.
    pub(super) fn new(cancel_ms: u64) -> Self {
        KnownCancellations {
            cancel_ms,
            jobs: HashMap::new(),
            purge_due_ms: 0,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    pub(super) fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// Whether the job's record says that it is cancelled.
    pub(super) fn is_stored(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|known| known.stored)
    }

    /// Adds a job and says whether it is new to the set.
    pub(super) fn insert(&mut self, now: Now, id: &JobId, source: CancellationSource) -> bool {
        let stored = source == CancellationSource::Record;
        if let Some(known) = self.jobs.get_mut(id) {
            known.stored |= stored;
            return false;
        }
        let learned_ms = now.ms;
        self.jobs
            .insert(id.clone(), KnownCancellation { learned_ms, stored });
        true
    }

    /// The job is over: none of its tasks is on a machine.
    pub(super) fn remove(&mut self, id: &JobId) {
        self.jobs.remove(id);
    }

    /// Removes the jobs known by their records, except those whose records still say so.
    pub(super) fn retain_stored(&mut self, cancelled: &HashSet<JobId>) {
        self.jobs
            .retain(|id, known| !known.stored || cancelled.contains(id));
    }

    /// Removes jobs that no record has shown for long, once per `cancel_s`.
    pub(super) fn purge(&mut self, now: Now) {
        if now.ms < self.purge_due_ms {
            return;
        }
        self.purge_due_ms = now.ms + self.cancel_ms;
        let retention_ms = self.cancel_ms * RETENTION_CANCEL_TIMES;
        self.jobs
            .retain(|_, known| known.stored || now.ms < known.learned_ms + retention_ms);
    }
}

//! The set of jobs that this controller knows to be cancelled.

use crate::ids::JobId;
use crate::messages::Now;
use std::collections::{HashMap, HashSet};

/// How long a job is retained whose cancellation was confirmed but is in no record that
/// was read, as a multiple of `cancel_s`. After that time none of its tasks can be left.
const RETENTION_CANCEL_TIMES: u64 = 4;

#[derive(Clone, Copy, Debug)]
struct KnownCancellation {
    learned_ms: u64,
    /// Whether the job's record shows the cancellation. Such an entry is removed along
    /// with the record.
    stored: bool,
}

/// The source from which a cancellation was learned.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum CancellationSource {
    /// The job's record in the key-value store.
    Record,
    /// A controller that confirmed the cancellation to a user: this controller or a peer.
    Confirmation,
}

/// The jobs that this controller knows to be cancelled, each with its source.
#[derive(Debug)]
pub(super) struct KnownCancellations {
    cancel_ms: u64,
    jobs: HashMap<JobId, KnownCancellation>,
    purge_due_ms: u64,
}

impl KnownCancellations {
    /// Creates an empty set. `cancel_ms` is the time within which all tasks of a cancelled
    /// job must have stopped.
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

    /// Returns whether the job's record shows the cancellation.
    pub(super) fn is_stored(&self, id: &JobId) -> bool {
        self.jobs.get(id).is_some_and(|known| known.stored)
    }

    /// Adds a job. Returns whether the job is new to the set.
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

    /// Removes a job that has ended: none of its tasks is on a machine.
    pub(super) fn remove(&mut self, id: &JobId) {
        self.jobs.remove(id);
    }

    /// Removes the jobs that were learned from records and aren't in `cancelled`, the set
    /// of jobs whose records still show the cancellation.
    pub(super) fn retain_stored(&mut self, cancelled: &HashSet<JobId>) {
        self.jobs
            .retain(|id, known| !known.stored || cancelled.contains(id));
    }

    /// Removes the jobs that have been in no record for the retention time. Runs once per
    /// `cancel_s`.
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

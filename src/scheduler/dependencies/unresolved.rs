//! The dependencies whose final records the leader has to read, and when it reads them.

use crate::ids::JobId;
use crate::messages::Now;
use crate::scheduler::{CALL_TIMEOUT_MS, RETRY_MS};
use std::collections::{BTreeSet, HashMap, HashSet};

/// The maximum number of reads in flight. Further reads wait, so that they don't expire in
/// the queue of the key-value store's client and don't delay other calls.
const MAX_READS_IN_FLIGHT: usize = 32;

/// Dependencies that are not among the leader's jobs.
#[derive(Debug, Default)]
pub(super) struct UnresolvedDependencies {
    /// The time in milliseconds at which the final record is read next.
    due_ms: HashMap<JobId, u64>,
    by_due_time: BTreeSet<(u64, JobId)>,
    in_flight: HashSet<JobId>,
}

impl UnresolvedDependencies {
    /// Adds a dependency, whose record is read at once.
    pub(super) fn insert(&mut self, id: &JobId, now: Now) {
        if !self.due_ms.contains_key(id) {
            self.set_due(id, now.ms);
        }
    }

    /// Removes a dependency that is resolved.
    pub(super) fn remove(&mut self, id: &JobId) {
        self.in_flight.remove(id);
        if let Some((id, due_ms)) = self.due_ms.remove_entry(id) {
            self.by_due_time.remove(&(due_ms, id));
        }
    }

    /// Schedules the next read after a response. Returns whether the dependency is still
    /// unresolved.
    pub(super) fn on_response(&mut self, id: &JobId, now: Now) -> bool {
        if !self.due_ms.contains_key(id) {
            return false;
        }
        self.in_flight.remove(id);
        self.set_due(id, now.ms + RETRY_MS);
        true
    }

    /// Returns the dependencies whose records are to be read now.
    pub(super) fn take_due(&mut self, now: Now) -> Vec<JobId> {
        let mut due = Vec::new();
        while let Some(id) = self.first_due(now) {
            // A read that is due again while in flight is given up.
            self.in_flight.remove(&id);
            if self.in_flight.len() >= MAX_READS_IN_FLIGHT {
                break;
            }
            // The call completes or times out before the next read.
            self.set_due(&id, now.ms + CALL_TIMEOUT_MS * 2);
            self.in_flight.insert(id.clone());
            due.push(id);
        }
        due
    }

    fn first_due(&self, now: Now) -> Option<JobId> {
        let (due_ms, id) = self.by_due_time.first()?;
        (*due_ms <= now.ms).then(|| id.clone())
    }

    fn set_due(&mut self, id: &JobId, due_ms: u64) {
        if let Some(previous_ms) = self.due_ms.insert(id.clone(), due_ms) {
            self.by_due_time.remove(&(previous_ms, id.clone()));
        }
        self.by_due_time.insert((due_ms, id.clone()));
    }
}

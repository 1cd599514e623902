//! Deletion of obsolete records: the placement records of finished jobs.

use crate::kv_client::{CallPriority, KvResponse};
use crate::limits::RequestSize;
use crate::messages::Now;
use crate::records::leadership::LEADER_KEY;
use crate::scheduler::{Scheduler, SchedulerEffects, SchedulerKvCall, RETRY_MS};
use crate::wire::kv::Txn;

/// With this many obsolete records, which is one page of a new leader's reads, their
/// deletion no longer waits for other writes.
const MAX_DEFERRED_DELETIONS: usize = 500;

/// The obsolete records that the leader has yet to delete.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct RecordCleanup {
    /// The keys of the records, in the order in which they are deleted.
    pub(super) obsolete_keys: Vec<String>,
    in_flight: bool,
    due_ms: u64,
}

impl RecordCleanup {
    /// Discards all pending deletions after the leader was deposed.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.obsolete_keys.clear();
        self.in_flight = false;
    }
}

impl Scheduler {
    /// Deletes obsolete records when there is nothing more urgent to write.
    pub(in crate::scheduler) fn clean_up(&mut self, now: Now, effects: &mut SchedulerEffects) {
        // Deletion waits while a transaction is in flight. It also waits while there is more
        // to write than the write budget allows, unless too many records are obsolete.
        let busy = self.commits.transaction.is_some()
            || (self.commits.has_changes
                && self.cleanup.obsolete_keys.len() < MAX_DEFERRED_DELETIONS);
        let too_soon = now.ms < self.cleanup.due_ms;
        if self.cleanup.obsolete_keys.is_empty() || self.cleanup.in_flight || busy || too_soon {
            return;
        }
        let count = self.limits.txn_ops.min(self.cleanup.obsolete_keys.len());
        let keys: Vec<String> = self.cleanup.obsolete_keys.drain(..count).collect();
        let mut txn = Txn::default().compare(LEADER_KEY, self.leader_key_revision);
        for key in &keys {
            txn = txn.delete(key.clone());
        }
        self.cleanup.in_flight = true;
        let tag = SchedulerKvCall::Cleanup(keys);
        self.call_kv_txn(now, CallPriority::Background, &txn, tag, effects);
    }

    /// Handles the response to a deletion, and schedules a retry if it failed.
    pub(in crate::scheduler) fn on_cleanup_response(
        &mut self,
        now: Now,
        keys: Vec<String>,
        response: &KvResponse,
        effects: &mut SchedulerEffects,
    ) {
        self.cleanup.in_flight = false;
        if response.status() == Some(400) {
            effects.rejected_request = Some(RequestSize {
                write_ops: keys.len(),
                largest_value_bytes: 0,
            });
        }
        if response.status() != Some(200) {
            self.cleanup.obsolete_keys.extend(keys);
            self.cleanup.due_ms = now.ms + RETRY_MS;
        }
    }
}

//! Removal of obsolete records: placements of jobs that are over.

use crate::kv_client::{CallPriority, KvResponse};
use crate::limits::RequestSize;
use crate::messages::Now;
use crate::records::leadership::LEADER_KEY;
use crate::scheduler::{Scheduler, SchedulerEffects, SchedulerKvCall, RETRY_MS};
use crate::wire::kv::Txn;

/// The most records that are removed lazily: as many as a new leader reads in one
/// call. From there on removal doesn't wait for other writes.
const MAX_OBSOLETE_KEYS: usize = 500;

/// Records that are to be removed.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct RecordCleanup {
    /// Their keys, oldest first.
    pub(super) keys: Vec<String>,
    in_flight: bool,
    due_ms: u64,
}

impl RecordCleanup {
    /// The leader was deposed.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.keys.clear();
        self.in_flight = false;
    }
}

impl Scheduler {
    /// Removes obsolete records while there is nothing more urgent to write.
    pub(in crate::scheduler) fn clean_up(&mut self, now: Now, effects: &mut SchedulerEffects) {
        // Removal waits while there is more to write than the store accepts.
        let busy = self.commits.transaction.is_some()
            || (self.commits.has_changes && self.cleanup.keys.len() < MAX_OBSOLETE_KEYS);
        let too_soon = now.ms < self.cleanup.due_ms;
        if self.cleanup.keys.is_empty() || self.cleanup.in_flight || busy || too_soon {
            return;
        }
        let count = self.limits.txn_ops.min(self.cleanup.keys.len());
        let keys: Vec<String> = self.cleanup.keys.drain(..count).collect();
        let mut txn = Txn::default().compare(LEADER_KEY, self.leader_key_revision);
        for key in &keys {
            txn = txn.delete(key.clone());
        }
        self.cleanup.in_flight = true;
        let tag = SchedulerKvCall::Cleanup(keys);
        self.call_kv_txn(now, CallPriority::Background, &txn, tag, effects);
    }

    /// The response to a removal: what failed is tried again.
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
            self.cleanup.keys.extend(keys);
            self.cleanup.due_ms = now.ms + RETRY_MS;
        }
    }
}

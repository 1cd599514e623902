//! Which limits of the key-value store apply: the signs from which this controller
//! learns it, and who is informed.

use super::kv_responses::KvCallOwner;
use super::{Node, VERSION};
use crate::kv_client::{CallPriority, KvCall, KvResponse};
use crate::limits::{EffectiveLimits, LimitEvidence, RequestSize, StoreLimits};
use crate::messages::Now;
use crate::settings::KvStoreLimits;
use serde::Serialize;

/// Time between attempts to store that the announced limits apply.
const WRITE_INTERVAL_MS: u64 = 1000;

/// Which limits of the key-value store apply, and when that is stored.
#[derive(Debug)]
pub(super) struct LimitsTracker {
    effective: EffectiveLimits,
    /// When it may next be stored that the announced limits apply.
    next_write_ms: u64,
}

impl LimitsTracker {
    pub(super) fn new(settings: &KvStoreLimits) -> LimitsTracker {
        LimitsTracker {
            effective: EffectiveLimits::new(settings),
            next_write_ms: 0,
        }
    }

    /// Whether the announced limits apply, as far as this controller knows.
    pub(super) fn announced_apply(&self) -> bool {
        self.effective.announced_apply()
    }

    /// The size of a value that the store will always take.
    pub(super) fn guaranteed_value_bytes(&self) -> usize {
        self.effective.guaranteed().value_bytes
    }

    fn current(&self) -> StoreLimits {
        self.effective.current()
    }

    /// What operators may read of a controller that is ready.
    pub(super) fn node_info(&self) -> NodeInfo {
        NodeInfo {
            ready: true,
            version: VERSION,
            limits: if self.announced_apply() {
                "announced"
            } else {
                "present"
            },
        }
    }
}

/// What operators may read of a controller.
#[derive(Debug, Serialize)]
pub(super) struct NodeInfo {
    /// It takes requests.
    ready: bool,
    /// The program's version.
    version: &'static str,
    /// The store's limits as far as it knows: the present or the announced ones.
    limits: &'static str,
}

impl Node {
    /// There is evidence that the announced limits apply.
    pub(super) fn learn_limits(&mut self, now: Now, evidence: LimitEvidence) {
        if self.limits.effective.apply_announced(evidence) {
            self.apply_limits(now);
        }
    }

    fn apply_limits(&mut self, now: Now) {
        let limits = self.limits.current();
        self.kv.set_limits(&limits);
        self.scheduler.set_limits(limits);
        self.set_rate_share(now);
    }

    /// The store responded 400 to a transaction of the leader's.
    pub(super) fn on_transaction_rejected(&mut self, now: Now, size: RequestSize) {
        if self.limits.effective.on_rejection(size) {
            self.apply_limits(now);
        } else {
            self.scheduler.split_rejected_transaction(now);
        }
    }

    /// The store responded 400 to a user's write.
    pub(super) fn on_submission_rejected(&mut self, now: Now, size: RequestSize) {
        if self.limits.effective.on_rejection(size) {
            self.apply_limits(now);
        } else {
            log::error!(
                "user's write rejected reason=\"announced limits don't explain it\" \
                 write_ops={} largest_value_bytes={}",
                size.write_ops,
                size.largest_value_bytes
            );
        }
    }

    /// Learns from what leaders have stored, and stores as leader that the announced
    /// limits apply, so that the next leader needs no rejected transaction to learn it.
    pub(super) fn maintain_limits(&mut self, now: Now) {
        if self.election.limits_lowered() {
            self.learn_limits(now, LimitEvidence::Stored);
            return;
        }
        if !self.limits.announced_apply() || now.ms < self.limits.next_write_ms {
            return;
        }
        let Some(txn) = self.election.limits_lowered_txn() else {
            return;
        };
        self.limits.next_write_ms = now.ms + WRITE_INTERVAL_MS;
        self.kv.submit(KvCall::transaction(
            now,
            CallPriority::Leadership,
            &txn,
            WRITE_INTERVAL_MS,
            KvCallOwner::WriteLimits,
        ));
    }

    /// The response to that write.
    pub(super) fn on_limits_written(&mut self, response: &KvResponse) {
        if response.committed_revision().is_some() {
            self.election.on_limits_lowered_stored();
        }
    }
}

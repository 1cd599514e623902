//! Which limits of the state service hold: what shows it, and who is told.

use super::{KvCallOwner, Node, VERSION};
use crate::kv_client::{self, CallPriority, KvCall, KvResponse};
use crate::limits::{EffectiveLimits, LimitEvidence, RequestSize};
use crate::messages::Now;
use serde::Serialize;

/// Which limits of the key-value store apply, and whether that is stored.
#[derive(Debug)]
pub(super) struct LimitsTracker {
    pub(super) effective: EffectiveLimits,
    /// When it may next be stored that the announced limits apply.
    store_due_ms: u64,
}

impl LimitsTracker {
    pub(super) fn new(effective: EffectiveLimits) -> LimitsTracker {
        LimitsTracker {
            effective,
            store_due_ms: 0,
        }
    }
}

/// It is tried so often to store that the announced limits are in force.
const STORE_EVERY_MS: u64 = 1000;

/// What operators may ask a controller about itself.
#[derive(Debug, Serialize)]
pub(super) struct NodeInfo {
    /// It takes requests.
    ready: bool,
    /// The program's version.
    version: &'static str,
    /// The state service's limits as far as it knows: the present ones, or those
    /// that were announced.
    limits: &'static str,
}

impl Node {
    /// What is told of a controller that takes requests.
    pub(super) fn described(&self) -> NodeInfo {
        NodeInfo {
            ready: true,
            version: VERSION,
            limits: if self.limits_tracker.effective.announced_apply() {
                "announced"
            } else {
                "present"
            },
        }
    }

    /// There is a sign that the announced limits are in force.
    pub(super) fn learn_limits(&mut self, now: Now, evidence: LimitEvidence) {
        if self.limits_tracker.effective.apply_announced(evidence) {
            self.apply_limits(now);
        }
    }

    fn apply_limits(&mut self, now: Now) {
        let limits = self.limits_tracker.effective.current();
        self.kv.set_limits(&limits);
        self.scheduler.set_limits(limits);
        self.set_share(now, self.election.is_leader());
    }

    /// The state service answered 400 to a transaction of the leader's.
    pub(super) fn transaction_refused(&mut self, now: Now, size: RequestSize) {
        if self.limits_tracker.effective.refused(size) {
            self.apply_limits(now);
        } else {
            self.scheduler.refused_without_cause(now);
        }
    }

    /// The state service answered 400 to a user's write.
    pub(super) fn submission_refused(&mut self, now: Now, size: RequestSize) {
        if self.limits_tracker.effective.refused(size) {
            self.apply_limits(now);
        } else {
            log::error!("the state service refuses a user's write: {size:?}");
        }
    }

    /// Learns what leaders have stored; stores it as leader, so that the next one
    /// needs no refused transaction of its own.
    pub(super) fn maintain_limits(&mut self, now: Now) {
        if self.election.limits_lowered() {
            self.learn_limits(now, LimitEvidence::Stored);
            return;
        }
        if !self.limits_tracker.effective.announced_apply()
            || now.ms < self.limits_tracker.store_due_ms
        {
            return;
        }
        let Some(txn) = self.election.limits_lowered_txn() else {
            return;
        };
        self.limits_tracker.store_due_ms = now.ms + STORE_EVERY_MS;
        let (call, writes) = kv_client::txn(&txn, STORE_EVERY_MS);
        self.kv.submit(KvCall {
            priority: CallPriority::Leadership,
            call,
            writes,
            expires_ms: now.ms + STORE_EVERY_MS,
            tag: KvCallOwner::WriteLimits,
        });
    }

    pub(super) fn limits_written(&mut self, answer: &KvResponse) {
        if answer.committed().is_some() {
            self.election.on_limits_lowered_stored();
        }
    }
}

//! Tracks which limits of the key-value store apply, the initial or the announced ones:
//! collects the evidence, applies the limits to the actors, and stores the result for
//! later leaders.

use super::kv_responses::KvCallOwner;
use super::{Node, VERSION};
use crate::kv_client::{CallPriority, KvCall, KvResponse};
use crate::limits::{EffectiveLimits, LimitEvidence, RequestSize, StoreLimits};
use crate::messages::Now;
use crate::settings::KvStoreLimits;
use serde::Serialize;

/// Interval between attempts to store that the announced limits apply, and timeout of
/// each attempt.
const WRITE_INTERVAL_MS: u64 = 1000;

/// The limits of the key-value store that apply, and the schedule for storing them.
#[derive(Debug)]
pub(super) struct LimitsTracker {
    effective: EffectiveLimits,
    /// Earliest time of the next attempt to store that the announced limits apply.
    next_write_ms: u64,
}

impl LimitsTracker {
    pub(super) fn new(settings: &KvStoreLimits) -> LimitsTracker {
        LimitsTracker {
            effective: EffectiveLimits::new(settings),
            next_write_ms: 0,
        }
    }

    /// Returns whether this controller knows that the announced limits apply.
    pub(super) fn announced_apply(&self) -> bool {
        self.effective.announced_apply()
    }

    /// Returns the largest value size that the key-value store accepts under both the
    /// initial and the announced limits.
    pub(super) fn guaranteed_value_bytes(&self) -> usize {
        self.effective.guaranteed().value_bytes
    }

    fn current(&self) -> StoreLimits {
        self.effective.current()
    }

    /// Returns the body of the readiness response of a controller that is ready.
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

/// The body of the readiness response, for operators.
#[derive(Debug, Serialize)]
pub(super) struct NodeInfo {
    /// Whether the controller accepts requests.
    ready: bool,
    version: &'static str,
    /// Limits of the key-value store that the controller applies: `present` for the initial
    /// limits, or `announced`.
    limits: &'static str,
}

impl Node {
    /// Applies the announced limits because of this evidence, unless they apply already.
    pub(super) fn apply_limit_evidence(&mut self, now: Now, evidence: LimitEvidence) {
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

    /// Handles a 400 response of the key-value store to one of the leader's transactions:
    /// applies the announced limits if they explain the rejection, and otherwise splits
    /// the transaction.
    pub(super) fn on_transaction_rejected(&mut self, now: Now, size: RequestSize) {
        if self.limits.effective.on_rejection(size) {
            self.apply_limits(now);
        } else {
            self.scheduler.split_rejected_transaction(now);
        }
    }

    /// Handles a 400 response of the key-value store to the write of a user's request:
    /// applies the announced limits if they explain the rejection.
    pub(super) fn on_user_write_rejected(&mut self, now: Now, size: RequestSize) {
        if self.limits.effective.on_rejection(size) {
            self.apply_limits(now);
        } else {
            log::error!(
                "user's write rejected reason=\"request exceeds no announced limit\" \
                 write_ops={} largest_value_bytes={}",
                size.write_ops,
                size.largest_value_bytes
            );
        }
    }

    /// Applies the announced limits if a leader has stored that they apply. As leader,
    /// stores that they apply, so that the next leader detects it without a rejected
    /// transaction.
    pub(super) fn maintain_limits(&mut self, now: Now) {
        if self.election.limits_lowered() {
            self.apply_limit_evidence(now, LimitEvidence::Stored);
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

    /// Handles the response to the write which records that the announced limits apply.
    pub(super) fn on_limits_written(&mut self, response: &KvResponse) {
        if response.committed_revision().is_some() {
            self.election.on_limits_lowered_stored();
        }
    }
}

//! The key-value store's limits: the present ones of the settings, those announced
//! for later, and which of the two apply. That the announced limits apply is learned
//! from a rejection that the present ones can't explain, from a record that a leader
//! stored, or from a peer's report. Once learned it stays, since limits that were
//! lowered aren't raised again.
//!
//! A wrong belief costs time and nothing else: under the present limits a request
//! sized by the lower ones is accepted all the same, and under the lower ones a
//! request that is too large is rejected as a whole and written again in smaller ones.

use crate::settings::StateLimits;
use crate::wire::kv::{Txn, WriteOp};
use std::fmt;

/// What the key-value store accepts.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct StoreLimits {
    /// Requests per second, from all controllers together.
    pub rps: f64,
    /// Writes per second, from all controllers together.
    pub write_rps: f64,
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Writes in a transaction.
    pub txn_ops: usize,
}

impl StoreLimits {
    /// The lower one of each limit.
    fn min(self, other: StoreLimits) -> StoreLimits {
        StoreLimits {
            rps: self.rps.min(other.rps),
            write_rps: self.write_rps.min(other.write_rps),
            value_bytes: self.value_bytes.min(other.value_bytes),
            txn_ops: self.txn_ops.min(other.txn_ops),
        }
    }
}

impl fmt::Display for StoreLimits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StoreLimits {
            rps,
            write_rps,
            value_bytes,
            txn_ops,
        } = self;
        write!(
            f,
            "rps={rps} write_rps={write_rps} value_bytes={value_bytes} txn_ops={txn_ops}"
        )
    }
}

/// What shows that the announced limits apply.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LimitEvidence {
    /// The store responded 400 to a request that the present limits allow and the
    /// announced ones don't.
    Rejection,
    /// A leader has stored that they apply.
    Stored,
    /// A peer reported it.
    Peer,
}

impl fmt::Display for LimitEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LimitEvidence::Rejection => "a request was rejected",
            LimitEvidence::Stored => "stored by a leader",
            LimitEvidence::Peer => "reported by a peer",
        })
    }
}

/// The sizes of a request that the store limits.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct RequestSize {
    /// Writes of the transaction.
    pub write_ops: usize,
    /// Bytes of the largest value.
    pub largest_value_bytes: usize,
}

impl RequestSize {
    /// The size of a transaction.
    pub fn of(txn: &Txn) -> RequestSize {
        let value_bytes = |write: &WriteOp| match write {
            WriteOp::Put { value, .. } => serde_json::to_vec(value).map_or(0, |json| json.len()),
            WriteOp::Delete { .. } => 0,
        };
        RequestSize {
            write_ops: txn.writes.len(),
            largest_value_bytes: txn.writes.iter().map(value_bytes).max().unwrap_or(0),
        }
    }
}

/// The limits that apply, as far as this controller knows.
#[derive(Clone, Debug)]
pub struct EffectiveLimits {
    present: StoreLimits,
    announced: Option<StoreLimits>,
    /// It is known that the announced limits apply.
    announced_apply: bool,
}

impl EffectiveLimits {
    /// The limits of the settings. The present ones apply until there is evidence
    /// that the announced ones do.
    pub fn new(settings: &StateLimits) -> EffectiveLimits {
        let present = StoreLimits {
            rps: settings.rps,
            write_rps: settings.write_rps,
            value_bytes: kb_to_bytes(settings.value_kb),
            txn_ops: settings.txn_ops,
        };
        let announced = settings.next.as_ref().map(|next| StoreLimits {
            rps: next.rps.unwrap_or(present.rps),
            write_rps: next.write_rps.unwrap_or(present.write_rps),
            value_bytes: next.value_kb.map_or(present.value_bytes, kb_to_bytes),
            txn_ops: next.txn_ops.unwrap_or(present.txn_ops),
        });
        EffectiveLimits {
            present,
            announced,
            announced_apply: false,
        }
    }

    /// The limits for requests that are sent now.
    pub fn current(&self) -> StoreLimits {
        self.announced
            .filter(|_| self.announced_apply)
            .unwrap_or(self.present)
    }

    /// The limits that hold now and later: a record that can't be split must not be
    /// larger.
    pub fn guaranteed(&self) -> StoreLimits {
        self.announced
            .map_or(self.present, |announced| self.present.min(announced))
    }

    /// Whether the announced limits apply, as far as this controller knows.
    pub fn announced_apply(&self) -> bool {
        self.announced_apply
    }

    /// Takes in evidence that the announced limits apply. Returns whether that is new.
    pub fn apply_announced(&mut self, evidence: LimitEvidence) -> bool {
        if self.announced.is_none() || self.announced_apply {
            return false;
        }
        self.announced_apply = true;
        log::warn!(
            "store limits lowered {} reason=\"{evidence}\"",
            self.current()
        );
        true
    }

    /// The store responded 400 to a request of this size. Returns whether the announced
    /// limits explain that, so that smaller requests will be accepted.
    pub fn on_rejection(&mut self, size: RequestSize) -> bool {
        let Some(announced) = self.announced else {
            return false;
        };
        let exceeds =
            size.write_ops > announced.txn_ops || size.largest_value_bytes > announced.value_bytes;
        if exceeds {
            self.apply_announced(LimitEvidence::Rejection);
        }
        exceeds
    }
}

fn kb_to_bytes(kb: f64) -> usize {
    (kb * 1024.0) as usize
}

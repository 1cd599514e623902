//! The limits of the key-value store. The settings give the initial limits and may
//! announce lower ones, which apply from an unknown time on. A controller learns that
//! the announced limits apply from a rejection that the initial limits don't explain,
//! from a record that a leader stored, or from a peer's report. This knowledge is
//! permanent, because lowered limits aren't raised again.
//!
//! A wrong assumption delays requests but loses none. While the initial limits apply,
//! the store accepts requests sized for the announced limits too. Once the announced
//! limits apply, the store rejects a request that is too large as a whole, and the
//! controller writes its content again in smaller requests.

use crate::settings::KvStoreLimits;
use crate::wire::kv::{Txn, WriteOp};
use std::fmt;

/// Rates and sizes up to which the key-value store accepts requests.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct StoreLimits {
    /// Requests per second, from all controllers together.
    pub rps: f64,
    /// Writes per second, from all controllers together.
    pub write_rps: f64,
    /// Largest value, in bytes.
    pub value_bytes: usize,
    /// Most write operations in a transaction.
    pub txn_ops: usize,
}

impl StoreLimits {
    /// Returns the lower of the two values of each limit.
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

/// The evidence that the announced limits apply.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LimitEvidence {
    /// The store responded 400 to a request that is within the initial limits and exceeds
    /// the announced ones.
    Rejection,
    /// A leader has stored a record that the announced limits apply.
    Stored,
    /// A peer reported that the announced limits apply.
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

/// The sizes of a request to which the store's limits apply.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct RequestSize {
    /// Write operations of the transaction.
    pub write_ops: usize,
    /// Size of the largest value that the transaction puts, in bytes.
    pub largest_value_bytes: usize,
}

impl RequestSize {
    /// Returns the size of a transaction.
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

/// The initial and the announced limits, and which of the two apply as far as this
/// controller knows.
#[derive(Clone, Debug)]
pub struct EffectiveLimits {
    initial: StoreLimits,
    announced: Option<StoreLimits>,
    announced_apply: bool,
}

impl EffectiveLimits {
    /// Creates the limits that the settings give. The initial limits apply until there is
    /// evidence that the announced ones do.
    pub fn new(settings: &KvStoreLimits) -> EffectiveLimits {
        let initial = StoreLimits {
            rps: settings.rps,
            write_rps: settings.write_rps,
            value_bytes: kb_to_bytes(settings.value_kb),
            txn_ops: settings.txn_ops,
        };
        let announced = settings.announced.as_ref().map(|announced| StoreLimits {
            rps: announced.rps.unwrap_or(initial.rps),
            write_rps: announced.write_rps.unwrap_or(initial.write_rps),
            value_bytes: announced.value_kb.map_or(initial.value_bytes, kb_to_bytes),
            txn_ops: announced.txn_ops.unwrap_or(initial.txn_ops),
        });
        EffectiveLimits {
            initial,
            announced,
            announced_apply: false,
        }
    }

    /// Returns the limits for requests that are sent now.
    pub fn current(&self) -> StoreLimits {
        self.announced
            .filter(|_| self.announced_apply)
            .unwrap_or(self.initial)
    }

    /// Returns the limits that hold before and after the announced limits apply. A record
    /// that can't be split must not exceed them.
    pub fn guaranteed(&self) -> StoreLimits {
        self.announced
            .map_or(self.initial, |announced| self.initial.min(announced))
    }

    /// Returns whether this controller knows that the announced limits apply.
    pub fn announced_apply(&self) -> bool {
        self.announced_apply
    }

    /// Makes the announced limits the current ones. Returns false if no limits are
    /// announced or if they apply already.
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

    /// Handles a 400 response to a request of this size. If the request exceeds the
    /// announced limits, applies them and returns true, so that the caller retries with
    /// smaller requests.
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

//! The state service's limits: those in the settings, those announced for later,
//! and which of the two hold. That is learned from answers that the present ones
//! can't explain, from a record that a leader left, or from a peer's word; once
//! learned it stays, since limits that were lowered aren't raised again.
//!
//! A wrong belief costs time and nothing else: under the present limits what is
//! written by the lower ones is taken all the same, and under the lower ones what
//! is too large is refused as a whole and written again in smaller pieces.

use crate::settings::StateLimits;
use crate::wire::kv::{Txn, WriteOp};
use std::fmt;

/// What the state service takes.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct StoreLimits {
    /// Requests per second, from all controllers together.
    pub rps: f64,
    /// Changes per second, from all controllers together.
    pub write_rps: f64,
    /// Bytes of a value.
    pub value_bytes: usize,
    /// Changes in a transaction.
    pub txn_ops: usize,
}

impl StoreLimits {
    /// Whichever of each is lower.
    fn lower_of(self, other: StoreLimits) -> StoreLimits {
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

/// What shows that the announced limits hold.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LimitEvidence {
    /// The state service answered 400 to what the present limits allow and the
    /// announced ones don't.
    Refused,
    /// A leader has stored that they hold.
    Stored,
    /// Another controller says so.
    Peer,
}

/// How large the parts of a request to the state service were.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct RequestSize {
    /// The changes of the transaction.
    pub write_ops: usize,
    /// Bytes of the largest value.
    pub largest_value_bytes: usize,
}

impl RequestSize {
    /// The size of a transaction.
    pub fn of(txn: &Txn) -> RequestSize {
        let bytes = |write: &WriteOp| match write {
            WriteOp::Put { value, .. } => serde_json::to_vec(value).map_or(0, |text| text.len()),
            WriteOp::Delete { .. } => 0,
        };
        RequestSize {
            write_ops: txn.writes.len(),
            largest_value_bytes: txn.writes.iter().map(bytes).max().unwrap_or(0),
        }
    }
}

/// The limits that hold, as far as this controller knows.
#[derive(Clone, Debug)]
pub struct EffectiveLimits {
    present: StoreLimits,
    announced: Option<StoreLimits>,
    lowered: Option<LimitEvidence>,
}

impl EffectiveLimits {
    /// Those of the settings; until it learns better, the present ones hold.
    pub fn new(settings: &StateLimits) -> EffectiveLimits {
        let present = StoreLimits {
            rps: settings.rps,
            write_rps: settings.write_rps,
            value_bytes: bytes(settings.value_kb),
            txn_ops: settings.txn_ops,
        };
        let announced = settings.next.as_ref().map(|next| StoreLimits {
            rps: next.rps.unwrap_or(present.rps),
            write_rps: next.write_rps.unwrap_or(present.write_rps),
            value_bytes: next.value_kb.map_or(present.value_bytes, bytes),
            txn_ops: next.txn_ops.unwrap_or(present.txn_ops),
        });
        EffectiveLimits {
            present,
            announced,
            lowered: None,
        }
    }

    /// What may be sent now.
    pub fn current(&self) -> StoreLimits {
        match (self.lowered, self.announced) {
            (Some(_), Some(announced)) => announced,
            _ => self.present,
        }
    }

    /// What will always be taken: a record that has to be written whole, now or
    /// later, must not be larger.
    pub fn guaranteed(&self) -> StoreLimits {
        match self.announced {
            Some(announced) => self.present.lower_of(announced),
            None => self.present,
        }
    }

    /// Whether the announced limits hold.
    pub fn announced_apply(&self) -> bool {
        self.lowered.is_some()
    }

    /// Takes a sign that the announced limits hold. Says whether that is new.
    pub fn apply_announced(&mut self, evidence: LimitEvidence) -> bool {
        if self.announced.is_none() || self.lowered.is_some() {
            return false;
        }
        self.lowered = Some(evidence);
        log::warn!(
            "the state service's limits are lower: {} ({evidence:?})",
            self.current()
        );
        true
    }

    /// The state service answered 400 to a request of this size. Says whether the
    /// announced limits explain that, so that smaller ones will be taken.
    pub fn refused(&mut self, size: RequestSize) -> bool {
        let Some(announced) = self.announced else {
            return false;
        };
        let over =
            size.write_ops > announced.txn_ops || size.largest_value_bytes > announced.value_bytes;
        if over {
            self.apply_announced(LimitEvidence::Refused);
        }
        over
    }
}

fn bytes(kb: f64) -> usize {
    (kb * 1024.0) as usize
}

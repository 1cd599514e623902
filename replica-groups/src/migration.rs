//! A group's migration: capacity is found and reserved, the intent is stored, the
//! group is stopped, and its next generation starts on the reserved machines.

use crate::record::MigrationIntent;

/// How far a migration has got.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MigrationStage {
    /// Planned; its intent isn't known to be stored yet.
    Planned,
    /// Its intent is stored. As far as is known, nothing has been stopped yet.
    Stored,
    /// The parts are being stopped, or have stopped.
    Stopping,
}

/// A migration under way.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Migration {
    /// Its stored intent.
    pub intent: MigrationIntent,
    /// How far it has got.
    pub stage: MigrationStage,
    /// An earlier leader planned it.
    pub(crate) inherited: bool,
    /// When the reservation of its capacity ends.
    pub(crate) reserved_until_ms: u64,
}

/// Why a migration was abandoned.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AbandonReason {
    /// The capacity on its targets isn't available any more.
    NoCapacity,
    /// A part was lost before the first step.
    PartLost,
    /// Its reservation expired before it was complete.
    TimedOut,
}

impl AbandonReason {
    /// The reason in logs.
    pub fn reason(self) -> &'static str {
        match self {
            AbandonReason::NoCapacity => "target capacity gone",
            AbandonReason::PartLost => "part lost before the first step",
            AbandonReason::TimedOut => "reservation expired",
        }
    }
}

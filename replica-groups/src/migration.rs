//! A group's move: room is found and held, the intent is stored, the group is
//! stopped, and its next generation starts where it was meant to.

use crate::record::MigrationIntent;

/// How far a move has got.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MigrationStage {
    /// Decided; not known to be stored yet.
    Planned,
    /// Stored. Nothing was stopped yet, as far as is known.
    Stored,
    /// The parts are being stopped, or are gone already.
    Stopping,
}

/// A move under way.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Migration {
    /// What is stored of it.
    pub intent: MigrationIntent,
    /// How far it has got.
    pub stage: MigrationStage,
    /// An earlier leader decided it.
    pub inherited: bool,
    /// Until when its room is held.
    pub until_ms: u64,
}

/// Why a move was given up.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AbandonReason {
    /// The room that it was to have isn't there any more.
    NoRoom,
    /// A part was lost before the move began.
    PartLost,
    /// It took longer than its room is held.
    TooLate,
}

impl AbandonReason {
    /// For the log.
    pub fn why(self) -> &'static str {
        match self {
            AbandonReason::NoRoom => "its room isn't there any more",
            AbandonReason::PartLost => "a part was lost before it began",
            AbandonReason::TooLate => "it took longer than its room is held",
        }
    }
}

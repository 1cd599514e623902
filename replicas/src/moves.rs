//! A group's move: room is found and held, the intent is stored, the group is
//! stopped, and its next generation starts where it was meant to.

use crate::record::MoveIntent;

/// How far a move has got.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MoveStage {
    /// Decided; not known to be stored yet.
    Planned,
    /// Stored. Nothing was stopped yet, as far as is known.
    Stored,
    /// The parts are being stopped, or are gone already.
    Stopping,
}

/// A move under way.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Move {
    /// What is stored of it.
    pub intent: MoveIntent,
    /// How far it has got.
    pub stage: MoveStage,
    /// An earlier leader decided it.
    pub inherited: bool,
    /// Until when its room is held.
    pub until_ms: u64,
}

/// Why a move was given up.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Abandoned {
    /// The room that it was to have isn't there any more.
    NoRoom,
    /// A part was lost before the move began.
    PartLost,
    /// It took longer than its room is held.
    TooLate,
}

impl Abandoned {
    /// For the log.
    pub fn why(self) -> &'static str {
        match self {
            Abandoned::NoRoom => "its room isn't there any more",
            Abandoned::PartLost => "a part was lost before it began",
            Abandoned::TooLate => "it took longer than its room is held",
        }
    }
}

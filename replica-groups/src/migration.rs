//! Migration of a group to other machines. A migration has four steps: capacity is found
//! and reserved, the intent is stored, the group is stopped, and the group's next
//! generation starts on the reserved machines.

use crate::record::MigrationIntent;

/// The stage that a migration has reached.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MigrationStage {
    /// The targets are chosen, but the write of the intent isn't confirmed.
    Planned,
    /// The intent is stored. This leader has not stopped any part yet.
    Stored,
    /// The parts are being stopped or have stopped.
    Stopping,
}

/// A migration in progress.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Migration {
    /// The planned targets, as they are written to the placement record.
    pub intent: MigrationIntent,
    /// The stage that the migration has reached.
    pub stage: MigrationStage,
    /// Whether an earlier leader planned the migration and this leader hasn't resumed it
    /// yet.
    pub(crate) inherited: bool,
    /// Time at which the reservation of the target capacity expires.
    pub(crate) reserved_until_ms: u64,
}

/// The reason that a migration was abandoned.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AbandonReason {
    /// A target machine doesn't accept tasks any more.
    TargetUnavailable,
    /// The generation broke before any part was stopped for the migration.
    PartLost,
    /// The reservation of the target capacity expired before the migration was complete, or
    /// the group has a different generation than the intent.
    ReservationExpired,
}

impl AbandonReason {
    /// Returns the `reason` value for log lines.
    pub fn reason(self) -> &'static str {
        match self {
            AbandonReason::TargetUnavailable => "target machine unavailable",
            AbandonReason::PartLost => "part lost before migration started",
            AbandonReason::ReservationExpired => "reservation expired",
        }
    }
}

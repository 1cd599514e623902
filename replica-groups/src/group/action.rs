//! What an evaluation of a group asks the scheduler to do.

use crate::migration::AbandonReason;

/// Why parts are stopped.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StopCause {
    /// Another part is lost.
    PartLost,
    /// Another part is being stopped.
    PartStopped,
    /// A machine is going to be taken away, and there is no capacity to migrate to.
    MachineLeaving,
    /// The group migrates.
    Migration,
}

impl StopCause {
    /// The reason in logs.
    pub fn reason(self) -> &'static str {
        match self {
            StopCause::PartLost => "part lost",
            StopCause::PartStopped => "part stopped",
            StopCause::MachineLeaving => "machine leaving",
            StopCause::Migration => "migration",
        }
    }
}

/// An event in a group's life, for logs and metrics.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum GroupEvent {
    /// It serves again with a new generation after it had lost a part.
    Repaired {
        /// Time from the loss to serving again, in milliseconds.
        took_ms: u64,
    },
    /// A silent part reports again; nothing was stopped.
    Interrupted,
    /// A migration that an earlier leader began is continued.
    MigrationResumed,
    /// A migration was abandoned.
    MigrationAbandoned(AbandonReason),
    /// A migration has reached its targets.
    Migrated,
}

/// What a group asks the scheduler to do.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum GroupAction {
    /// Stop these parts.
    Stop {
        /// Their tasks.
        parts: Vec<u32>,
        /// Why.
        cause: StopCause,
    },
    /// Find capacity for all parts where the group can migrate to, and answer with
    /// [`ReplicaGroup::begin_migration`](super::ReplicaGroup::begin_migration) or
    /// [`ReplicaGroup::migration_infeasible`](super::ReplicaGroup::migration_infeasible).
    PlanMigration,
    /// Store the group's record: it has changed.
    Persist,
    /// Count the group as a success: it has served for long enough.
    RecordSuccess,
    /// Log and count this event.
    Emit(GroupEvent),
}

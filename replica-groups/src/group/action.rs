//! The actions that the evaluation of a group returns to the scheduler.

use crate::migration::AbandonReason;

/// The reason that parts of a group are stopped.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StopCause {
    /// Another part is lost or isn't bound, or the bound parts belong to different
    /// generations.
    PartLost,
    /// Another part is being stopped by a different operation, such as a preemption.
    PartStopped,
    /// A machine is draining or has a preemption notice, and there is no capacity to
    /// migrate to.
    MachineLeaving,
    /// The group migrates to other machines.
    Migration,
}

impl StopCause {
    /// Returns the `reason` value for log lines.
    pub fn reason(self) -> &'static str {
        match self {
            StopCause::PartLost => "part lost",
            StopCause::PartStopped => "part stopped",
            StopCause::MachineLeaving => "machine leaving",
            StopCause::Migration => "migration",
        }
    }
}

/// A life-cycle event of a group, for logs and metrics.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum GroupEvent {
    /// The group serves with a new generation after the previous one lost a part.
    Repaired {
        /// Time from the start of the outage until the group serves again, in milliseconds.
        took_ms: u64,
    },
    /// The group serves again with the same generation, for example because an unresponsive
    /// machine resumed its heartbeats before it was declared failed.
    InterruptionEnded,
    /// A migration that an earlier leader planned is resumed.
    MigrationResumed,
    /// A migration was abandoned.
    MigrationAbandoned(AbandonReason),
    /// All parts are bound again after a migration.
    Migrated,
}

/// An action that the scheduler performs for a group.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum GroupAction {
    /// Stop some parts of the group.
    Stop {
        /// Task indices of the parts.
        parts: Vec<u32>,
        /// The reason, for logs.
        cause: StopCause,
    },
    /// Find capacity that all parts can migrate to, and report the result with
    /// [`ReplicaGroup::begin_migration`](super::ReplicaGroup::begin_migration) or
    /// [`ReplicaGroup::mark_migration_infeasible`](super::ReplicaGroup::mark_migration_infeasible).
    PlanMigration,
    /// Store the group's record, which has changed.
    Persist,
    /// Count the generation as a success: it has served without interruption for more than
    /// [`GroupTiming::success_after_ms`](super::GroupTiming::success_after_ms).
    RecordSuccess,
    /// Log the event. [`ReplicaGroups`](crate::registry::ReplicaGroups) has counted it
    /// already.
    Emit(GroupEvent),
}

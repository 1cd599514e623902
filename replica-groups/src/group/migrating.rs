//! The steps of a group's migration, each taken by an evaluation of the group.

use super::evaluation::{unstopped_parts, Evaluation};
use super::{GroupAction, GroupEvent, MigrationTargets, ReplicaGroup, StopCause};
use crate::migration::{AbandonReason, MigrationStage};

impl ReplicaGroup {
    /// The next step of a migration whose group has no part on a machine.
    pub(super) fn continue_unbound_migration(&mut self, evaluation: &mut Evaluation) {
        let Some(migration) = &mut self.migration else {
            return;
        };
        if evaluation.now_ms >= migration.reserved_until_ms {
            self.abandon_migration(AbandonReason::TimedOut, evaluation);
        } else if migration.stage != MigrationStage::Stopping {
            migration.stage = MigrationStage::Stopping;
            if std::mem::take(&mut migration.inherited) {
                evaluation.emit(GroupEvent::MigrationResumed);
            }
        }
    }

    /// The group can't become whole again while it migrates.
    pub(super) fn interrupt_migration(&mut self, evaluation: &mut Evaluation) {
        let Some(migration) = &mut self.migration else {
            return;
        };
        if migration.stage == MigrationStage::Stopping {
            return;
        }
        // Unless a part was lost, the previous leader had begun to stop the group for
        // its migration.
        let already_begun = migration.inherited && evaluation.summary.lost == 0;
        if already_begun {
            migration.stage = MigrationStage::Stopping;
            migration.inherited = false;
            evaluation.emit(GroupEvent::MigrationResumed);
        } else {
            self.abandon_migration(AbandonReason::PartLost, evaluation);
        }
    }

    /// The next step of a migration whose group is still whole.
    pub(super) fn advance_migration(&mut self, evaluation: &mut Evaluation) {
        let Some(migration) = &mut self.migration else {
            return;
        };
        let is_outdated = evaluation.summary.generation != Some(migration.intent.generation);
        if is_outdated || evaluation.now_ms >= migration.reserved_until_ms {
            self.abandon_migration(AbandonReason::TimedOut, evaluation);
            return;
        }
        if migration.stage != MigrationStage::Stored {
            return;
        }
        if evaluation.targets == MigrationTargets::Closed {
            // A new leader may not have had heartbeats of those machines yet.
            if !migration.inherited {
                self.abandon_migration(AbandonReason::NoCapacity, evaluation);
            }
            return;
        }
        if !evaluation.summary.is_complete() {
            return;
        }
        migration.stage = MigrationStage::Stopping;
        if std::mem::take(&mut migration.inherited) {
            evaluation.emit(GroupEvent::MigrationResumed);
        }
        evaluation.actions.push(GroupAction::Stop {
            parts: unstopped_parts(evaluation.parts),
            cause: StopCause::Migration,
        });
    }

    fn abandon_migration(&mut self, reason: AbandonReason, evaluation: &mut Evaluation) {
        self.migration = None;
        evaluation.emit(GroupEvent::MigrationAbandoned(reason));
        evaluation.actions.push(GroupAction::Persist);
    }
}

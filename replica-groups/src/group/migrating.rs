//! The steps of a group's migration. Each evaluation of the group takes at most one step.

use super::evaluation::{unstopped_parts, Evaluation};
use super::{GroupAction, GroupEvent, MigrationTargets, ReplicaGroup, StopCause};
use crate::migration::{AbandonReason, MigrationStage};

impl ReplicaGroup {
    /// Takes the next step of the migration of a group without bound parts.
    pub(super) fn continue_unbound_migration(&mut self, evaluation: &mut Evaluation) {
        let Some(migration) = &mut self.migration else {
            return;
        };
        if evaluation.now_ms >= migration.reserved_until_ms {
            self.abandon_migration(AbandonReason::ReservationExpired, evaluation);
        } else if migration.stage != MigrationStage::Stopping {
            migration.stage = MigrationStage::Stopping;
            if std::mem::take(&mut migration.inherited) {
                evaluation.emit(GroupEvent::MigrationResumed);
            }
        }
    }

    /// Resumes or abandons the migration of a group whose generation has broken.
    pub(super) fn interrupt_migration(&mut self, evaluation: &mut Evaluation) {
        let Some(migration) = &mut self.migration else {
            return;
        };
        if migration.stage == MigrationStage::Stopping {
            return;
        }
        // If no part was lost, the generation is broken because the previous leader had
        // already started to stop the group for this migration.
        let already_begun = migration.inherited && evaluation.summary.lost == 0;
        if already_begun {
            migration.stage = MigrationStage::Stopping;
            migration.inherited = false;
            evaluation.emit(GroupEvent::MigrationResumed);
        } else {
            self.abandon_migration(AbandonReason::PartLost, evaluation);
        }
    }

    /// Takes the next step of the migration of a group whose generation isn't broken.
    pub(super) fn advance_migration(&mut self, evaluation: &mut Evaluation) {
        let Some(migration) = &mut self.migration else {
            return;
        };
        let is_outdated = evaluation.summary.generation != Some(migration.intent.generation);
        if is_outdated || evaluation.now_ms >= migration.reserved_until_ms {
            self.abandon_migration(AbandonReason::ReservationExpired, evaluation);
            return;
        }
        if migration.stage != MigrationStage::Stored {
            return;
        }
        if evaluation.targets == MigrationTargets::Unavailable {
            // A new leader may not have received heartbeats from the target machines yet.
            if !migration.inherited {
                self.abandon_migration(AbandonReason::TargetUnavailable, evaluation);
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

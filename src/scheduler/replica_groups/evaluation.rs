//! Evaluation of replica groups, and execution of the resulting actions.

use crate::ids::TaskRef;
use crate::messages::Now;
use crate::scheduler::Scheduler;
use lilacfork_replica_groups::group::{GroupAction, GroupEvent, GroupState, StopCause};
use lilacfork_replica_groups::registry::GroupId;

/// The urgency with which a group's record is written.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum WriteUrgency {
    /// Written with the next write of the placement record, which happens at the latest after
    /// the delay for changes that aren't urgent.
    Lazy,
    /// Written with the next transaction.
    Immediate,
}

impl Scheduler {
    /// Evaluates all groups whose evaluation has been requested. Actions may request further
    /// evaluations, so this repeats until no request is left.
    pub(in crate::scheduler) fn evaluate_groups(&mut self, now: Now) {
        loop {
            let requested = self.groups.take_requested_evaluations();
            if requested.is_empty() {
                return;
            }
            for id in requested {
                self.evaluate_group(now, &id);
            }
        }
    }

    fn evaluate_group(&mut self, now: Now, id: &GroupId) {
        let parts = self.parts_of(now, id);
        let targets = self.migration_targets(now, id);
        let before = self.groups.group(id).map(|group| group.state());
        let actions = self.groups.evaluate(now.ms, id, &parts, targets);
        let after = self.groups.group(id).map(|group| group.state());
        if let (Some(before), Some(after)) = (before, after) {
            if before != after {
                self.handle_state_change(id, before, after);
            }
        }
        for action in actions {
            self.perform(now, id, action);
        }
    }

    fn handle_state_change(&mut self, id: &GroupId, before: GroupState, after: GroupState) {
        let (state, previous) = (after.name(), before.name());
        log::info!("replica group state changed group={id} state={state} previous={previous}");
        // Request a placement round, so that a pending group gets capacity soon.
        self.pacing.requested |= after == GroupState::Pending;
    }

    fn perform(&mut self, now: Now, id: &GroupId, action: GroupAction) {
        match action {
            GroupAction::Stop { parts, cause } => self.stop_parts(now, id, &parts, cause),
            GroupAction::PlanMigration => self.plan_migration(now, id),
            GroupAction::Persist => self.schedule_group_write(now, id, WriteUrgency::Lazy),
            GroupAction::RecordSuccess => self.record_job_success(&id.job),
            GroupAction::Emit(event) => log_event(id, event),
        }
    }

    fn stop_parts(&mut self, now: Now, id: &GroupId, parts: &[u32], cause: StopCause) {
        let (count, reason) = (parts.len(), cause.reason());
        log::info!("replica group stops group={id} parts={count} reason=\"{reason}\"");
        for index in parts {
            let task = TaskRef {
                job: id.job.clone(),
                index: *index,
            };
            self.stop_task(now, &task, true);
        }
    }

    /// Schedules a write of the placement record that holds the group.
    pub(super) fn schedule_group_write(&mut self, now: Now, id: &GroupId, urgency: WriteUrgency) {
        if let Some(job) = self.jobs.get_mut(&id.job) {
            let first = job.shape.map(|shape| shape.tasks_of(id.replica).start);
            let is_urgent = urgency == WriteUrgency::Immediate;
            job.mark_dirty(first.unwrap_or_default(), now.ms, is_urgent);
        }
        self.commits.has_changes = true;
    }
}

/// Logs a life-cycle event of a group.
pub(super) fn log_event(id: &GroupId, event: GroupEvent) {
    match event {
        GroupEvent::Repaired { took_ms } => {
            log::info!("replica group repaired group={id} took_ms={took_ms}");
        }
        GroupEvent::InterruptionEnded => log::info!("replica group interruption ended group={id}"),
        GroupEvent::MigrationResumed => log::info!("replica group migration resumed group={id}"),
        GroupEvent::MigrationAbandoned(reason) => {
            let reason = reason.reason();
            log::info!("replica group migration abandoned group={id} reason=\"{reason}\"");
        }
        GroupEvent::Migrated => log::info!("replica group migrated group={id}"),
    }
}

//! Derivation of the observed state of replica groups' parts from the scheduler's state.

use crate::fleet::{Machine, MachinePhase};
use crate::ids::MachineId;
use crate::messages::Now;
use crate::scheduler::{Assignment, Scheduler};
use crate::wire::workers::TaskPhase;
use lilacfork_replica_groups::group::MigrationTargets;
use lilacfork_replica_groups::observation::{
    Binding, MachineHealth, Part, PartActivity, PartState,
};
use lilacfork_replica_groups::registry::GroupId;

impl Scheduler {
    /// Returns the parts of a group with their current state. Empty if the job is unknown.
    pub(super) fn parts_of(&self, now: Now, id: &GroupId) -> Vec<Part> {
        let Some(job) = self.jobs.get(&id.job) else {
            return Vec::new();
        };
        let tasks = job.shape.map(|shape| shape.tasks_of(id.replica));
        let part = |task: u32| {
            let state = match job.assignments.get(&task) {
                Some(assignment) => PartState::Bound(self.binding_of(now, assignment)),
                None if job.done.contains(&task) => PartState::Completed,
                None => PartState::Waiting,
            };
            Part { task, state }
        };
        tasks.into_iter().flatten().map(part).collect()
    }

    fn binding_of(&self, now: Now, assignment: &Assignment) -> Binding {
        let machine = self.fleet.get(&assignment.machine);
        // Only heartbeats of the machine's current agent epoch and of this term are valid.
        let is_current = machine.is_some_and(|machine| {
            machine.token_acknowledged && machine.agent_epoch == assignment.agent_epoch
        });
        let activity = match assignment.phase.filter(|_| is_current) {
            Some(TaskPhase::Running | TaskPhase::Checkpointing) => PartActivity::Running,
            Some(_) => PartActivity::Starting,
            None => PartActivity::NotReported,
        };
        Binding {
            generation: assignment.attempt,
            machine: assignment.machine.clone(),
            activity,
            health: machine.map_or(MachineHealth::Lost, |machine| self.health_of(now, machine)),
            stopping: assignment.stop.is_some(),
        }
    }

    fn health_of(&self, now: Now, machine: &Machine) -> MachineHealth {
        let unresponsive = now.ms >= machine.last_heartbeat_ms + self.max_heartbeat_age_ms();
        if machine.phase == MachinePhase::Releasing {
            MachineHealth::Lost
        } else if unresponsive || machine.ignored_starts.is_some() {
            MachineHealth::Unresponsive
        } else if machine.reclaim_at_ms.is_some() || machine.phase == MachinePhase::Draining {
            MachineHealth::Leaving
        } else {
            MachineHealth::Reporting
        }
    }

    /// Returns whether all target machines of a group's migration accept tasks.
    pub(super) fn migration_targets(&self, now: Now, id: &GroupId) -> MigrationTargets {
        let group = self.groups.group(id);
        let Some(migration) = group.and_then(|group| group.migration()) else {
            return MigrationTargets::Unavailable;
        };
        let mut targets = migration.intent.targets.iter();
        if targets.all(|target| self.accepts_parts(now, &target.machine)) {
            MigrationTargets::Available
        } else {
            MigrationTargets::Unavailable
        }
    }

    /// Returns whether a machine accepts tasks. An unknown machine doesn't.
    pub(super) fn accepts_parts(&self, now: Now, machine: &MachineId) -> bool {
        let machine = self.fleet.get(machine);
        machine.is_some_and(|machine| machine.accepts_tasks(now.ms, self.max_heartbeat_age_ms()))
    }
}

//! The scheduler's side of replica groups: passes the observed state of the parts to the
//! groups' state machines, and performs the actions that they return.

mod evaluation;
mod migration;
mod observation;
mod placement;
mod provisioning;
mod reservations;
mod search;

use crate::faults::{FailureKind, TaskFailure};
use crate::ids::{JobId, MachineId, TaskRef};
use crate::messages::Now;
use crate::scheduler::displacement::migration::success_after_ms;
use crate::scheduler::{Assignment, InvariantViolation, Job, Scheduler};
use crate::settings::Settings;
use crate::tuning::Tuning;
use lilacfork_replica_groups::group::GroupTiming;
use lilacfork_replica_groups::metrics::{GroupMetrics, StateCounts};
use lilacfork_replica_groups::record::GroupRecord;
use lilacfork_replica_groups::registry::GroupId;
use lilacfork_replica_groups::shape::ReplicaIndex;
use std::fmt;

/// Derives the timeouts of groups from the platform's and the operators' settings.
pub(in crate::scheduler) fn timing(settings: &Settings, tuning: &Tuning) -> GroupTiming {
    let workers = &settings.site.workers;
    GroupTiming {
        reservation_ms: (workers.lease_s * tuning.hold_leases * 1000.0) as u64,
        success_after_ms: success_after_ms(settings),
        heartbeat_ms: (workers.heartbeat_s * 1000.0) as u64,
    }
}

/// The number of groups in each state and their event counts, for the periodic log line.
pub struct ReplicaGroupStats<'a> {
    counts: StateCounts,
    metrics: &'a GroupMetrics,
}

impl fmt::Display for ReplicaGroupStats<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.counts, self.metrics)
    }
}

impl Scheduler {
    /// Returns the statistics of replica groups. `None` if there are no groups.
    pub fn replica_group_stats(&self) -> Option<ReplicaGroupStats<'_>> {
        self.groups.iter().next()?;
        Some(ReplicaGroupStats {
            counts: self.groups.counts(),
            metrics: self.groups.metrics(),
        })
    }

    /// Returns how many of the job's tasks are reported to its user as running. The parts of a
    /// group that isn't serving aren't included.
    pub(in crate::scheduler) fn running_for_display(&self, id: &JobId, job: &Job) -> u32 {
        let Some(groups) = self.groups.get(id) else {
            return job.running();
        };
        let is_serving = |task: &&u32| groups.is_task_serving(**task);
        job.assignments.keys().filter(is_serving).count() as u32
    }

    /// Restores a job's groups from the records that an earlier leader stored.
    pub(in crate::scheduler) fn restore_groups(
        &mut self,
        now: Now,
        job: &JobId,
        records: Vec<GroupRecord>,
    ) {
        let timing = self.groups.timing();
        for record in records {
            let id = GroupId::new(job, ReplicaIndex(record.replica));
            if let Some(intent) = &record.intent {
                let parts = intent.targets.len();
                log::info!("replica group migration loaded group={id} parts={parts}");
            }
            if let Some(group) = self.groups.group_mut(&id) {
                group.restore(now.ms, &timing, record);
            }
        }
        self.groups.request_job_evaluation(job);
    }

    /// Records that the write of these group records has completed.
    pub(in crate::scheduler) fn mark_group_records_stored(
        &mut self,
        job: &JobId,
        records: &[GroupRecord],
    ) {
        for record in records {
            let id = GroupId::new(job, ReplicaIndex(record.replica));
            let group = self.groups.group_mut(&id);
            if let (Some(group), Some(intent)) = (group, &record.intent) {
                group.mark_intent_stored(intent);
                self.groups.request_evaluation(&id);
            }
        }
    }

    /// Records that a part failed on its own. The failure counts against the part's machine
    /// unless the group's circuit breaker is open. It never counts against the machines of the
    /// other parts. While the circuit breaker is open, the job's failures are removed from the
    /// fault records of the machines on which the group's parts failed.
    pub(in crate::scheduler) fn record_part_failure(
        &mut self,
        now: Now,
        machine: &MachineId,
        task: &TaskRef,
        assignment: &Assignment,
    ) {
        let timing = self.groups.timing();
        let groups = self.groups.get_mut(&task.job);
        let Some(group) = groups.and_then(|groups| groups.for_task_mut(task.index)) else {
            return;
        };
        if group.record_part_failure(now.ms, assignment.attempt, machine, &timing) {
            let id = GroupId::new(&task.job, group.replica());
            log::info!("replica group circuit breaker opened group={id} task={task}");
        }
        let breaker = group.circuit_breaker();
        if breaker.is_open() {
            for id in breaker.failed_machines() {
                if let Some(machine) = self.fleet.get_mut(id) {
                    machine.faults.discard_failures_of(&task.job);
                }
            }
        } else {
            let failure = TaskFailure {
                kind: FailureKind::Failed,
                job: &task.job,
                job_succeeds: breaker.has_succeeded(),
                started_ms: assignment.first_sent_ms,
                now_ms: now.ms,
                heartbeat_interval_ms: timing.heartbeat_ms,
            };
            self.record_machine_failure(machine, failure);
        }
    }

    /// Records that another job succeeds on a machine that the failures of a job's groups had
    /// cordoned.
    pub(in crate::scheduler) fn record_group_contradiction(
        &mut self,
        machine: &MachineId,
        job: &JobId,
    ) {
        let opened = self
            .groups
            .get_mut(job)
            .is_some_and(|groups| groups.record_contradiction(machine));
        if opened {
            log::info!("replica group circuit breaker opened job={job} machine={machine}");
            self.discard_machine_faults(job);
        }
    }

    /// Postpones the next placement of a task's group until `at_ms`, because a machine rejected
    /// the start of the task.
    pub(in crate::scheduler) fn defer_group(&mut self, task: &TaskRef, at_ms: u64) {
        let groups = self.groups.get_mut(&task.job);
        if let Some(group) = groups.and_then(|groups| groups.for_task_mut(task.index)) {
            group.defer_until(at_ms);
        }
    }

    /// Checks the states of all groups against the assignments of their parts, and returns the
    /// first violation. For tests.
    pub(in crate::scheduler) fn check_groups(&self) -> Result<(), InvariantViolation> {
        for (id, groups) in self.groups.iter() {
            let Some(job) = self.jobs.get(id) else {
                return Err(InvariantViolation::GroupsOfFinishedJob(id.clone()));
            };
            for group in groups.iter().filter(|group| group.is_serving()) {
                let tasks = groups.shape().tasks_of(group.replica());
                let live = tasks.filter(|task| !job.done.contains(task));
                let parts: Vec<Option<&Assignment>> =
                    live.map(|task| job.assignments.get(&task)).collect();
                let generation = parts.first().and_then(|part| Some(part.as_ref()?.attempt));
                let same_generation = parts
                    .iter()
                    .all(|part| part.map(|assign| assign.attempt) == generation);
                let group = GroupId::new(id, group.replica());
                // If the parts have changed since the last evaluation, the group must be
                // evaluated again before its state is reported.
                if (generation.is_none() || !same_generation)
                    && !self.groups.needs_evaluation(&group)
                {
                    return Err(InvariantViolation::IncompleteGroup(group));
                }
            }
        }
        Ok(())
    }
}

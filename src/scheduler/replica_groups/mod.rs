//! Replica groups, seen from the scheduler: the observed state of their parts goes to
//! the groups' state machines, and the actions that these ask for are carried out.

mod evaluation;
mod migration;
mod observation;
mod placement;
mod provisioning;
mod reservations;
mod search;

use crate::ids::{Attempt, JobId, MachineId, TaskRef};
use crate::messages::Now;
use crate::scheduler::displacement::migration::settled_ms;
use crate::scheduler::{Assignment, InvariantViolation, Job, Scheduler};
use crate::settings::Settings;
use crate::tuning::Tuning;
use lilacfork_replica_groups::group::GroupTiming;
use lilacfork_replica_groups::metrics::{GroupMetrics, StateCounts};
use lilacfork_replica_groups::record::GroupRecord;
use lilacfork_replica_groups::registry::GroupId;
use lilacfork_replica_groups::shape::ReplicaIndex;
use std::fmt;

/// The timeouts of groups.
pub(in crate::scheduler) fn timing(settings: &Settings, tuning: &Tuning) -> GroupTiming {
    let workers = &settings.site.workers;
    GroupTiming {
        reservation_ms: (workers.lease_s * tuning.hold_leases * 1000.0) as u64,
        settled_ms: settled_ms(settings),
        heartbeat_ms: (workers.heartbeat_s * 1000.0) as u64,
    }
}

/// How many groups are in each state and what has happened to them, for the log.
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
    /// Statistics of replica groups. `None`: there are no groups.
    pub fn replica_group_stats(&self) -> Option<ReplicaGroupStats<'_>> {
        self.groups.iter().next()?;
        Some(ReplicaGroupStats {
            counts: self.groups.counts(),
            metrics: self.groups.metrics(),
        })
    }

    /// How many of the job's tasks are shown to its user as running. A part of a group
    /// that doesn't serve isn't.
    pub(in crate::scheduler) fn running_for_display(&self, id: &JobId, job: &Job) -> u32 {
        let Some(groups) = self.groups.get(id) else {
            return job.running();
        };
        let serves = |task: &&u32| groups.serves(**task);
        job.assignments.keys().filter(serves).count() as u32
    }

    /// Takes over what an earlier leader stored of a job's groups.
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
        self.groups.touch(job);
    }

    /// These records of a job's groups are stored.
    pub(in crate::scheduler) fn group_records_stored(
        &mut self,
        job: &JobId,
        records: &[GroupRecord],
    ) {
        for record in records {
            let id = GroupId::new(job, ReplicaIndex(record.replica));
            let group = self.groups.group_mut(&id);
            if let (Some(group), Some(intent)) = (group, &record.intent) {
                group.intent_stored(intent);
                self.groups.touch_group(&id);
            }
        }
    }

    /// A part failed by itself. The group's own circuit breaker decides whether that
    /// is the machine's fault. The machines of the other parts aren't blamed.
    pub(in crate::scheduler) fn part_failed(
        &mut self,
        now: Now,
        machine: &MachineId,
        task: &TaskRef,
        generation: Attempt,
    ) {
        let timing = self.groups.timing();
        let groups = self.groups.get_mut(&task.job);
        let Some(group) = groups.and_then(|groups| groups.for_task_mut(task.index)) else {
            return;
        };
        if group.part_failed(now.ms, generation, machine, &timing) {
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
        } else if let Some(machine) = self.fleet.get_mut(machine) {
            machine
                .faults
                .record_failure(&task.job, breaker.has_succeeded());
        }
    }

    /// The start of a part was rejected: its group isn't placed before then.
    pub(in crate::scheduler) fn defer_group(&mut self, task: &TaskRef, at_ms: u64) {
        let groups = self.groups.get_mut(&task.job);
        if let Some(group) = groups.and_then(|groups| groups.for_task_mut(task.index)) {
            group.defer_until(at_ms);
        }
    }

    /// Compares what groups say with where their parts are; the error names what is
    /// wrong. For tests.
    pub(in crate::scheduler) fn check_groups(&self) -> Result<(), InvariantViolation> {
        for (id, groups) in self.groups.iter() {
            let Some(job) = self.jobs.get(id) else {
                return Err(InvariantViolation::GroupsOfFinishedJob(id.clone()));
            };
            for group in groups.iter().filter(|group| group.serves()) {
                let tasks = groups.shape().tasks_of(group.replica());
                let live = tasks.filter(|task| !job.done.contains(task));
                let parts: Vec<Option<&Assignment>> =
                    live.map(|task| job.assignments.get(&task)).collect();
                let generation = parts.first().and_then(|part| Some(part.as_ref()?.attempt));
                let whole = parts
                    .iter()
                    .all(|part| part.map(|assign| assign.attempt) == generation);
                let group = GroupId::new(id, group.replica());
                // Its parts may have changed since it was looked at, in which case it
                // is to be looked at before anybody is told.
                if (generation.is_none() || !whole) && !self.groups.is_touched(&group) {
                    return Err(InvariantViolation::IncompleteGroup(group));
                }
            }
        }
        Ok(())
    }
}

//! Replicas that span machines, seen from the scheduler: their parts go to the
//! groups' own state machine as they are, and what it wants is carried out.

pub(in crate::scheduler) mod migration;
pub(in crate::scheduler) mod placement;
pub(in crate::scheduler) mod provisioning;
pub(in crate::scheduler) mod reservations;
pub(in crate::scheduler) mod search;

use crate::fleet::{Machine, MachinePhase};
use crate::ids::{Attempt, JobId, MachineId, TaskRef};
use crate::messages::Now;
use crate::scheduler::displacement::migration::settled_ms;
use crate::scheduler::{Assignment, InvariantViolation, Job, Scheduler};
use crate::settings::Settings;
use crate::tuning::Tuning;
use crate::wire::workers::TaskPhase;
use lilacfork_replica_groups::group::{
    GroupAction, GroupEvent, GroupState, GroupTiming, StopCause,
};
use lilacfork_replica_groups::metrics::{GroupMetrics, StateCounts};
use lilacfork_replica_groups::observation::{
    Binding, MachineHealth, ObservedPart, Part, PartState,
};
use lilacfork_replica_groups::record::{GroupRecord, MigrationIntent};
use lilacfork_replica_groups::registry::GroupId;
use lilacfork_replica_groups::shape::Replica;
use std::fmt;

/// The times that decide over groups.
pub(in crate::scheduler) fn timing(settings: &Settings, options: &Tuning) -> GroupTiming {
    let workers = &settings.site.workers;
    GroupTiming {
        hold_ms: (workers.lease_s * options.hold_leases * 1000.0) as u64,
        settled_ms: settled_ms(settings),
        report_ms: (workers.heartbeat_s * 1000.0) as u64,
    }
}

/// Groups by state and what has happened to them, for the log.
pub struct ReplicaGroupStats<'a> {
    counts: StateCounts,
    figures: &'a GroupMetrics,
}

impl fmt::Display for ReplicaGroupStats<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.counts, self.figures)
    }
}

impl Scheduler {
    /// Groups by state; `None`: there are none.
    pub fn replica_figures(&self) -> Option<ReplicaGroupStats<'_>> {
        self.groups.iter().next()?;
        Some(ReplicaGroupStats {
            counts: self.groups.counts(),
            figures: self.groups.figures(),
        })
    }

    /// How many of the job's tasks its user is told to be running. A part of a
    /// replica that doesn't serve isn't.
    pub(in crate::scheduler) fn running_for_display(&self, id: &JobId, job: &Job) -> u32 {
        let Some(groups) = self.groups.get(id) else {
            return job.running();
        };
        let serves = |task: &&u32| groups.serves(**task);
        job.assignments.keys().filter(serves).count() as u32
    }

    // ---- what groups are told ----

    /// Takes over what an earlier leader stored of a job's groups.
    pub(in crate::scheduler) fn restore_groups(
        &mut self,
        now: Now,
        job: &JobId,
        records: Vec<GroupRecord>,
    ) {
        let timing = self.groups.timing();
        for record in records {
            let id = GroupId::new(job, Replica(record.replica));
            if let Some(intent) = &record.intent {
                let parts = intent.targets.len();
                log::info!("replica {id} was to move, parts={parts}: looking at it");
            }
            if let Some(group) = self.groups.group_mut(&id) {
                group.restore(now.ms, &timing, record);
            }
        }
        self.groups.touch(job);
    }

    /// These rows of a job's groups are stored.
    pub(in crate::scheduler) fn group_records_stored(
        &mut self,
        job: &JobId,
        records: &[GroupRecord],
    ) {
        for record in records {
            let id = GroupId::new(job, Replica(record.replica));
            let group = self.groups.group_mut(&id);
            if let (Some(group), Some(intent)) = (group, &record.intent) {
                group.stored(intent);
                self.groups.touch_group(&id);
            }
        }
    }

    /// A part failed by itself. The group's own breaker judges whether that is the
    /// machine's fault: the other parts' machines have nothing to do with it.
    pub(in crate::scheduler) fn part_failed(
        &mut self,
        now: Now,
        machine: &MachineId,
        task: &TaskRef,
        generation: Attempt,
    ) {
        let timing = self.groups.timing();
        let groups = self.groups.get_mut(&task.job);
        let Some(group) = groups.and_then(|groups| groups.of_task(task.index)) else {
            return;
        };
        if group.part_failed(now.ms, generation, machine, &timing) {
            log::info!("replica of {task} fails wherever it runs");
        }
        if group.failures().is_open() {
            for id in group.failures().machines() {
                if let Some(machine) = self.fleet.get_mut(id) {
                    machine.faults.exonerate(&task.job);
                }
            }
            return;
        }
        let succeeds = group.failures().has_succeeded();
        if let Some(machine) = self.fleet.get_mut(machine) {
            machine.faults.add(&task.job, succeeds);
        }
    }

    /// A part's start was refused: its group waits until then.
    pub(in crate::scheduler) fn delay_group(&mut self, task: &TaskRef, at_ms: u64) {
        let groups = self.groups.get_mut(&task.job);
        if let Some(group) = groups.and_then(|groups| groups.of_task(task.index)) {
            group.delay_until(at_ms);
        }
    }

    // ---- the look at groups ----

    /// Judges the groups of which something may have changed. What is done by that
    /// may concern others, or the same again.
    pub(in crate::scheduler) fn observe_groups(&mut self, now: Now) {
        loop {
            let touched = self.groups.take_touched();
            if touched.is_empty() {
                return;
            }
            for id in touched {
                self.observe_group(now, &id);
            }
        }
    }

    fn observe_group(&mut self, now: Now, id: &GroupId) {
        let parts = self.parts_of(now, id);
        let targets_open = self.targets_open(now, id);
        let before = self.groups.group(id).map(|group| group.state());
        let actions = self.groups.observe(now.ms, id, &parts, targets_open);
        let after = self.groups.group(id).map(|group| group.state());
        if let (Some(before), Some(after)) = (before, after) {
            if before != after {
                self.changed_state(id, before, after);
            }
        }
        for action in actions {
            self.act_on(now, id, action);
        }
    }

    fn changed_state(&mut self, id: &GroupId, before: GroupState, after: GroupState) {
        log::info!("replica {id} {} after {}", after.name(), before.name());
        // One that waits for a place should get it soon.
        self.pacing.requested |= after == GroupState::Pending;
    }

    fn act_on(&mut self, now: Now, id: &GroupId, action: GroupAction) {
        match action {
            GroupAction::Stop { parts, cause } => self.stop_parts(now, id, &parts, cause),
            GroupAction::PlanMove => self.plan_move(now, id),
            GroupAction::Store => self.store_group(now, id, false),
            GroupAction::Settled => self.succeeded(&id.job),
            GroupAction::Note(note) => log_note(id, note),
        }
    }

    fn stop_parts(&mut self, now: Now, id: &GroupId, parts: &[u32], cause: StopCause) {
        log::info!("replica {id} stops, parts={}: {}", parts.len(), cause.why());
        for index in parts {
            let task = TaskRef {
                job: id.job.clone(),
                index: *index,
            };
            self.stop_task(now, &task, true);
        }
    }

    /// The record that holds the group has to be written.
    pub(in crate::scheduler) fn store_group(&mut self, now: Now, id: &GroupId, urgent: bool) {
        if let Some(job) = self.jobs.get_mut(&id.job) {
            let first = job.shape.map(|shape| shape.tasks_of(id.replica).start);
            job.touch(first.unwrap_or_default(), now.ms, urgent);
        }
        self.commits.has_changes = true;
    }

    /// A group's parts as they are.
    pub(in crate::scheduler) fn parts_of(&self, now: Now, id: &GroupId) -> Vec<Part> {
        let Some(job) = self.jobs.get(&id.job) else {
            return Vec::new();
        };
        let tasks = job.shape.map(|shape| shape.tasks_of(id.replica));
        let part = |task: u32| {
            let state = match job.assignments.get(&task) {
                Some(assign) => PartState::Bound(self.binding_of(now, assign)),
                None if job.done.contains(&task) => PartState::Done,
                None => PartState::Waiting,
            };
            Part { task, state }
        };
        tasks.into_iter().flatten().map(part).collect()
    }

    fn binding_of(&self, now: Now, assign: &Assignment) -> Binding {
        let machine = self.fleet.get(&assign.machine);
        // Only the machine's current session counts, and only this term's word.
        let current = machine.is_some_and(|m| m.fenced && m.agent_epoch == assign.agent_epoch);
        let seen = match assign.phase.filter(|_| current) {
            Some(TaskPhase::Running | TaskPhase::Checkpointing) => ObservedPart::Running,
            Some(_) => ObservedPart::Starting,
            None => ObservedPart::Not,
        };
        Binding {
            generation: assign.attempt,
            machine: assign.machine.clone(),
            seen,
            health: machine.map_or(MachineHealth::Lost, |m| self.health_of(now, m)),
            stopping: assign.stop.is_some(),
        }
    }

    fn health_of(&self, now: Now, machine: &Machine) -> MachineHealth {
        let silent = now.ms >= machine.last_heartbeat_ms + self.fresh_ms();
        if machine.phase == MachinePhase::Releasing {
            MachineHealth::Lost
        } else if silent || machine.unresponsive_since_ms.is_some() {
            MachineHealth::Silent
        } else if machine.reclaim_at_ms.is_some() || machine.phase == MachinePhase::Draining {
            MachineHealth::Leaving
        } else {
            MachineHealth::Heard
        }
    }

    /// Whether the machines that a group's move goes to still take it.
    fn targets_open(&self, now: Now, id: &GroupId) -> bool {
        let Some(moving) = self.groups.group(id).and_then(|group| group.moving()) else {
            return false;
        };
        let MigrationIntent { targets, .. } = &moving.intent;
        targets.iter().all(|target| {
            let machine = self.fleet.get(&target.machine);
            machine.is_some_and(|m| m.accepts_tasks(now.ms, self.fresh_ms()))
        })
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

fn log_note(id: &GroupId, note: GroupEvent) {
    match note {
        GroupEvent::Repaired { took_ms } => {
            log::info!("replica {id} serves again after_ms={took_ms}");
        }
        GroupEvent::Interrupted => log::info!("replica {id} is heard again, nothing was stopped"),
        GroupEvent::MoveResumed => log::info!("replica {id} move of an earlier leader resumed"),
        GroupEvent::MoveAbandoned(why) => {
            log::info!("replica {id} move abandoned: {}", why.why());
        }
        GroupEvent::Moved => log::info!("replica {id} has moved"),
    }
}

//! Replicas that span machines, seen from the scheduler: their parts go to the
//! groups' own state machine as they are, and what it wants is carried out.

use super::moves::settled_ms;
use super::{Assign, Job, Scheduler};
use crate::fleet::{Machine, Phase};
use crate::ids::{Attempt, JobId, MachineId, TaskRef};
use crate::msg::Now;
use crate::options::Options;
use crate::settings::Settings;
use crate::wire::TaskPhase;
use lilacfork_replicas::figures::{Figures, StateCounts};
use lilacfork_replicas::group::{Action, GroupState, Note, StopCause, Timing};
use lilacfork_replicas::groups::GroupId;
use lilacfork_replicas::record::{GroupRecord, MoveIntent};
use lilacfork_replicas::shape::Replica;
use lilacfork_replicas::view::{Binding, MachineHealth, Part, PartState, Seen};
use std::fmt;

/// The times that decide over groups.
pub(super) fn timing(settings: &Settings, options: &Options) -> Timing {
    let workers = &settings.site.workers;
    Timing {
        hold_ms: (workers.lease_s * options.hold_leases * 1000.0) as u64,
        settled_ms: settled_ms(settings),
        report_ms: (workers.report_s * 1000.0) as u64,
    }
}

/// Groups by state and what has happened to them, for the log.
pub struct ReplicaFigures<'a> {
    counts: StateCounts,
    figures: &'a Figures,
}

impl fmt::Display for ReplicaFigures<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.counts, self.figures)
    }
}

impl Scheduler {
    /// Groups by state; `None`: there are none.
    pub fn replica_figures(&self) -> Option<ReplicaFigures<'_>> {
        self.groups.iter().next()?;
        Some(ReplicaFigures {
            counts: self.groups.counts(),
            figures: self.groups.figures(),
        })
    }

    /// How many of the job's tasks its user is told to be running. A part of a
    /// replica that doesn't serve isn't.
    pub(super) fn running_for_display(&self, id: &JobId, job: &Job) -> u32 {
        let Some(groups) = self.groups.get(id) else {
            return job.running();
        };
        let serves = |task: &&u32| groups.serves(**task);
        job.assigns.keys().filter(serves).count() as u32
    }

    // ---- what groups are told ----

    /// Takes over what an earlier leader stored of a job's groups.
    pub(super) fn restore_groups(&mut self, now: Now, job: &JobId, records: Vec<GroupRecord>) {
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
    pub(super) fn group_records_stored(&mut self, job: &JobId, records: &[GroupRecord]) {
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
    pub(super) fn part_failed(
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
                    machine.faults.forgive(&task.job);
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
    pub(super) fn delay_group(&mut self, task: &TaskRef, at_ms: u64) {
        let groups = self.groups.get_mut(&task.job);
        if let Some(group) = groups.and_then(|groups| groups.of_task(task.index)) {
            group.delay_until(at_ms);
        }
    }

    // ---- the look at groups ----

    /// Judges the groups of which something may have changed. What is done by that
    /// may concern others, or the same again.
    pub(super) fn observe_groups(&mut self, now: Now) {
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
        self.round_wanted |= after == GroupState::Pending;
    }

    fn act_on(&mut self, now: Now, id: &GroupId, action: Action) {
        match action {
            Action::Stop { parts, cause } => self.stop_parts(now, id, &parts, cause),
            Action::PlanMove => self.plan_move(now, id),
            Action::Store => self.store_group(now, id, false),
            Action::Settled => self.succeeded(&id.job),
            Action::Note(note) => log_note(id, note),
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
    pub(super) fn store_group(&mut self, now: Now, id: &GroupId, urgent: bool) {
        if let Some(job) = self.jobs.get_mut(&id.job) {
            let first = job.shape.map(|shape| shape.tasks_of(id.replica).start);
            job.touch(first.unwrap_or_default(), now.ms, urgent);
        }
        self.changed = true;
    }

    /// A group's parts as they are.
    pub(super) fn parts_of(&self, now: Now, id: &GroupId) -> Vec<Part> {
        let Some(job) = self.jobs.get(&id.job) else {
            return Vec::new();
        };
        let tasks = job.shape.map(|shape| shape.tasks_of(id.replica));
        let part = |task: u32| {
            let state = match job.assigns.get(&task) {
                Some(assign) => PartState::Bound(self.binding_of(now, assign)),
                None if job.done.contains(&task) => PartState::Done,
                None => PartState::Waiting,
            };
            Part { task, state }
        };
        tasks.into_iter().flatten().map(part).collect()
    }

    fn binding_of(&self, now: Now, assign: &Assign) -> Binding {
        let machine = self.fleet.get(&assign.machine);
        // Only the machine's current session counts, and only this term's word.
        let current = machine.is_some_and(|m| m.evidence && m.session == assign.session);
        let seen = match assign.phase.filter(|_| current) {
            Some(TaskPhase::Running | TaskPhase::Saving) => Seen::Running,
            Some(_) => Seen::Starting,
            None => Seen::Not,
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
        let silent = now.ms >= machine.heard_ms + self.fresh_ms();
        if machine.phase == Phase::Releasing {
            MachineHealth::Lost
        } else if silent || machine.unresponsive_since_ms.is_some() {
            MachineHealth::Silent
        } else if machine.notice_until_ms.is_some() || machine.phase == Phase::Draining {
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
        let MoveIntent { targets, .. } = &moving.intent;
        targets.iter().all(|target| {
            let machine = self.fleet.get(&target.machine);
            machine.is_some_and(|m| m.takes_work(now.ms, self.fresh_ms()))
        })
    }

    /// Compares what groups say with where their parts are; the error names what is
    /// wrong. For tests.
    pub(super) fn check_groups(&self) -> Result<(), String> {
        for (id, groups) in self.groups.iter() {
            let Some(job) = self.jobs.get(id) else {
                return Err(format!("{id} has groups and is over"));
            };
            for group in groups.iter().filter(|group| group.serves()) {
                let tasks = groups.shape().tasks_of(group.replica());
                let live = tasks.filter(|task| !job.done.contains(task));
                let parts: Vec<Option<&Assign>> = live.map(|task| job.assigns.get(&task)).collect();
                let generation = parts.first().and_then(|part| Some(part.as_ref()?.attempt));
                let whole = parts
                    .iter()
                    .all(|part| part.map(|assign| assign.attempt) == generation);
                let group = GroupId::new(id, group.replica());
                // Its parts may have changed since it was looked at, in which case it
                // is to be looked at before anybody is told.
                if (generation.is_none() || !whole) && !self.groups.is_touched(&group) {
                    return Err(format!("{group} serves incomplete"));
                }
            }
        }
        Ok(())
    }
}

fn log_note(id: &GroupId, note: Note) {
    match note {
        Note::Repaired { took_ms } => {
            log::info!("replica {id} serves again after_ms={took_ms}");
        }
        Note::Interrupted => log::info!("replica {id} is heard again, nothing was stopped"),
        Note::MoveResumed => log::info!("replica {id} move of an earlier leader resumed"),
        Note::MoveAbandoned(why) => {
            log::info!("replica {id} move abandoned: {}", why.why());
        }
        Note::Moved => log::info!("replica {id} has moved"),
    }
}

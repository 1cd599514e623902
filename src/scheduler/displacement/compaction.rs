//! Compaction: migrates the replicas of the least used machines to unreserved free
//! capacity so that those machines can be released. Compaction drains only a few
//! machines at a time, and only machines whose replicas have a short outage.

use crate::capacity_index::{MachineCapacity, OccupiedCursor, Slot};
use crate::fleet::MachinePhase;
use crate::ids::{MachineId, TaskRef};
use crate::messages::Now;
use crate::placement::placement_allowed;
use crate::scheduler::displacement::image_displacement::PlannedUse;
use crate::scheduler::rounds::round::{Progress, Round, Unplaced};
use crate::scheduler::{Job, Scheduler};
use crate::wire::users::JobKind;

/// One machine may be drained at a time for each group of this many schedulable
/// machines.
const MACHINES_PER_CONCURRENT_DRAIN: usize = 16;
/// Machines with a higher used share than this are not drained.
const MAX_USED_SHARE: f64 = 0.6;
/// The maximum number of machines that one round examines. The next round continues
/// after the last of them.
const MAX_EXAMINED_PER_ROUND: usize = 256;

/// The progress of compaction within a round.
#[derive(Debug)]
pub(in crate::scheduler) struct Compaction {
    /// The number of further machines that may be drained.
    drains_left: usize,
    /// The number of further machines that may be examined.
    examinations_left: usize,
    /// The last machine that was examined; `None` before the first one.
    cursor: Option<OccupiedCursor>,
}

/// A planned migration of one replica.
struct TaskMigration {
    task: TaskRef,
    target: Slot,
    target_machine: MachineId,
}

impl Scheduler {
    /// Begins compaction after the machine at which the previous round stopped. Machines
    /// that are still draining count against the limit.
    pub(in crate::scheduler) fn begin_compaction(&mut self) -> Compaction {
        let unschedulable = self
            .capacity
            .unschedulable()
            .filter_map(|id| self.fleet.get(id));
        let (mut unschedulable_count, mut draining) = (0, 0);
        for machine in unschedulable {
            unschedulable_count += 1;
            let is_draining = machine.phase == MachinePhase::Draining && !machine.tasks.is_empty();
            draining += usize::from(is_draining);
        }
        self.pacing.examined += unschedulable_count as u64;
        let schedulable = self.fleet.len() - unschedulable_count;
        let max_drained = (schedulable / MACHINES_PER_CONCURRENT_DRAIN).max(1);
        Compaction {
            drains_left: max_drained.saturating_sub(draining),
            examinations_left: MAX_EXAMINED_PER_ROUND,
            cursor: self.migrations.compaction_cursor.take(),
        }
    }

    /// Examines the next machine. Compaction finishes when no machine is left to examine
    /// or when the round has reached its limit of drained or examined machines.
    pub(in crate::scheduler) fn compact_next(
        &mut self,
        now: Now,
        compaction: &mut Compaction,
    ) -> Progress {
        if compaction.drains_left == 0 {
            return Progress::Finished;
        }
        let Some(next) = self.capacity.occupied(compaction.cursor).next() else {
            return Progress::Finished;
        };
        if next.used_share > MAX_USED_SHARE {
            return Progress::Finished;
        }
        compaction.cursor = Some(next);
        if self.compact_machine(now, next.slot) {
            compaction.drains_left -= 1;
        }
        compaction.examinations_left -= 1;
        if compaction.examinations_left > 0 {
            return Progress::Unfinished;
        }
        self.migrations.compaction_cursor = compaction.cursor;
        Progress::Finished
    }

    /// Cancels the drain of machines that unplaced work fits. The work may be a replica whose
    /// migration target has disappeared, and no other capacity may be left.
    pub(in crate::scheduler) fn cancel_drains(&mut self, now: Now, round: &mut Round) {
        if round.unplaced.is_empty() {
            return;
        }
        let max_heartbeat_age_ms = self.max_heartbeat_age_ms();
        let drained: Vec<MachineId> = self
            .capacity
            .unschedulable()
            .filter(|id| {
                let machine = self.fleet.get(id);
                machine.is_some_and(|m| m.can_cancel_drain(now.ms, max_heartbeat_age_ms))
            })
            .cloned()
            .collect();
        for id in drained {
            self.cancel_drain_for(&id, &mut round.unplaced);
        }
    }

    /// Cancels the drain of a machine if it fits any of the unplaced work, which the next round
    /// then places there.
    fn cancel_drain_for(&mut self, id: &MachineId, unplaced: &mut [Unplaced]) {
        let Some(machine) = self.fleet.get_mut(id) else {
            return;
        };
        self.pacing.examined += unplaced.len() as u64;
        let free = machine.free();
        let fitting = unplaced.iter_mut().find(|work| {
            work.count > 0
                && !work.is_forecast
                && free.covers(&work.spec.task_request())
                && placement_allowed(&work.spec, &work.zones, &machine.offer)
        });
        let Some(work) = fitting else {
            return;
        };
        log::info!("machine drain cancelled machine={id} job={}", work.spec.id);
        machine.phase = MachinePhase::Up;
        // What the machine fits needs no other machine. The parts of a replica or a gang may need
        // several.
        if work.group.is_none() && work.spec.kind != JobKind::Gang {
            let fit = free.fit_count(&work.spec.task_request());
            work.count -= fit.min(work.count);
        }
        self.pacing.requested = true;
    }

    /// Drains a machine if all its replicas may migrate and have a target. Returns whether
    /// the machine was drained.
    fn compact_machine(&mut self, now: Now, from: Slot) -> bool {
        // A reserved machine may be the target of replicas from a machine that was
        // drained earlier.
        let Some(machine) = self.capacity.get(from).filter(|m| !m.is_retained()) else {
            return false;
        };
        let id = machine.id.clone();
        let Some(migrations) = self.plan_compaction(now, from) else {
            return false;
        };
        for TaskMigration {
            task,
            target,
            target_machine,
        } in migrations
        {
            // Keeps the round from placing any other task on the target.
            self.capacity.reserve_all_free(target);
            self.migrations.targets.insert(task, target_machine);
        }
        log::info!("machine draining machine={id} reason=\"compaction\"");
        if let Some(machine) = self.fleet.get_mut(&id) {
            machine.phase = MachinePhase::Draining;
        }
        self.drain_machine(now, &id);
        self.refresh(now);
        true
    }

    /// Returns the migrations of all tasks of a machine, or `None` if a task may not
    /// migrate or has no target.
    fn plan_compaction(&self, now: Now, from: Slot) -> Option<Vec<TaskMigration>> {
        let capacity = self.capacity.get(from)?;
        let machine = self.fleet.get(&capacity.id)?;
        let mut planned = PlannedUse::default();
        let mut migrations: Vec<TaskMigration> = Vec::new();
        for task in &machine.tasks {
            let job = self.jobs.get(&task.job)?;
            let assignment = job.assignments.get(&task.index)?;
            if !self.may_migrate(now, job, assignment) || !job.is_service() {
                return None;
            }
            let target =
                self.compaction_target(job, &assignment.zone, from, &planned, &migrations)?;
            planned.add(target, job.task_request);
            migrations.push(TaskMigration {
                task: task.clone(),
                target,
                target_machine: self.capacity.get(target)?.id.clone(),
            });
        }
        Some(migrations)
    }

    /// Returns a target for a replica in `zone` that has capacity in addition to the
    /// planned migrations. The target is at least as full as the source, is a spot
    /// instance only if the source is one, and has the image or can pull it with a short
    /// outage.
    fn compaction_target(
        &self,
        job: &Job,
        zone: &str,
        from: Slot,
        planned: &PlannedUse,
        migrations: &[TaskMigration],
    ) -> Option<Slot> {
        let source = self.capacity.get(from)?;
        let (source_share, source_spot) = (source.used_share(), source.state.offer.spot);
        let planned_moves = migrations.iter().map(|m| (&m.task, &m.target_machine));
        let mut zones = self.zones_after_migrations(job, planned_moves);
        zones.remove(zone);
        let (spec, need) = (&job.spec, &job.task_request);
        let accept = |slot: Slot, target: &MachineCapacity| {
            let fuller = target.state.occupied && target.used_share() >= source_share;
            slot != from
                && fuller
                && target.state.offer.spot <= source_spot
                && planned.leaves_capacity(slot, target, need)
        };
        let with_image = self.capacity.first_with_image(spec, need, &zones, accept);
        with_image.or_else(|| {
            let mut targets = self
                .capacity
                .first_of_each_group(spec, need, &zones, accept);
            targets.find(|slot| {
                let target = self.capacity.get(*slot);
                target.is_some_and(|target| self.has_image_soon(&target.id, spec))
            })
        })
    }
}

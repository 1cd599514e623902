//! Scaling in: replicas of the emptiest machines move into free room that nobody
//! expects to need, so that those machines can be returned. Only a few machines
//! at a time, and only where a replica is hardly missed.

use crate::capacity_index::{MachineCapacity, Slot};
use crate::fleet::MachinePhase;
use crate::ids::{MachineId, TaskRef};
use crate::messages::Now;
use crate::scheduler::displacement::image_displacement::PlannedUse;
use crate::scheduler::Scheduler;

/// One of so many machines at a time is emptied.
const CONSOLIDATED_OF: usize = 16;
/// A machine with more than this share in use isn't emptied.
const MOST_MOVED: f64 = 0.6;
/// So many machines are tried in one round; the next goes on after them.
const MOST_TRIED: usize = 256;

/// How far the emptying of machines has got in a round.
#[derive(Debug)]
pub(in crate::scheduler) struct Compaction {
    /// So many more machines may be emptied, and tried.
    left: usize,
    tries: usize,
    /// The last machine that was tried, by its share in use.
    after: Option<(f64, Slot)>,
}

/// A replica that moves.
struct TaskMigration {
    task: TaskRef,
    to: Slot,
    machine: MachineId,
}

impl Scheduler {
    pub(in crate::scheduler) fn begin_compaction(&mut self) -> Compaction {
        let closed = self
            .capacity
            .unschedulable()
            .filter_map(|id| self.fleet.get(id));
        let (mut taking_none, mut moving) = (0, 0);
        for machine in closed {
            taking_none += 1;
            moving +=
                usize::from(machine.phase == MachinePhase::Draining && !machine.tasks.is_empty());
        }
        self.pacing.examined += taking_none as u64;
        let most = ((self.fleet.len() - taking_none) / CONSOLIDATED_OF).max(1);
        Compaction {
            left: most.saturating_sub(moving),
            tries: MOST_TRIED,
            after: self.migrations.compaction_cursor.take(),
        }
    }

    /// Tries the next machine. `false`: that was the last one.
    pub(in crate::scheduler) fn compact_next(
        &mut self,
        now: Now,
        progress: &mut Compaction,
    ) -> bool {
        if progress.left == 0 {
            return false;
        }
        let next = self.capacity.occupied(progress.after).next();
        let Some((share, slot)) = next.map(|(share, slot, _)| (share, slot)) else {
            return false;
        };
        if share > MOST_MOVED {
            return false;
        }
        progress.after = Some((share, slot));
        if self.empty(now, slot) {
            progress.left -= 1;
        }
        progress.tries -= 1;
        if progress.tries == 0 {
            self.migrations.compaction_cursor = progress.after;
        }
        progress.tries > 0
    }

    /// Moves all replicas of a machine away, if they may and find room.
    fn empty(&mut self, now: Now, from: Slot) -> bool {
        // Replicas of one that was emptied just now may be on their way here.
        let open = self.capacity.get(from).filter(|room| !room.is_reserved());
        let Some(id) = open.map(|room| room.id.clone()) else {
            return false;
        };
        let Some(moves) = self.can_empty(now, from) else {
            return false;
        };
        for TaskMigration { task, to, machine } in moves {
            // Room that is promised is nobody else's.
            self.capacity.reserve_all_free(to);
            self.migrations.targets.insert(task, machine);
        }
        log::info!("machine {id} emptied, its replicas move");
        if let Some(machine) = self.fleet.get_mut(&id) {
            machine.phase = MachinePhase::Draining;
        }
        self.drain(now, &id);
        self.refresh(now);
        true
    }

    /// Where all tasks of a machine may move to, if they may and find room.
    fn can_empty(&self, now: Now, from: Slot) -> Option<Vec<TaskMigration>> {
        let room = self.capacity.get(from)?;
        let machine = self.fleet.get(&room.id)?;
        let share = room.used_share();
        let spot = room.state.offer.spot;
        let mut taken = PlannedUse::default();
        let mut moves: Vec<TaskMigration> = Vec::new();
        for task in &machine.tasks {
            let job = self.jobs.get(&task.job)?;
            let assign = job.assignments.get(&task.index)?;
            if !self.may_move(now, job, assign) || !job.is_service() {
                return None;
            }
            let planned = moves.iter().map(|m| (&m.task, &m.machine));
            let mut zones = self.zones_ahead(job, planned);
            zones.remove(&assign.zone);
            let accept = |slot: Slot, r: &MachineCapacity| {
                let fuller = r.state.occupied && r.used_share() >= share;
                slot != from
                    && fuller
                    && r.state.offer.spot <= spot
                    && taken.leaves(slot, r, &job.task_request)
            };
            let (spec, need) = (&job.spec, &job.task_request);
            let warm = self.capacity.first_with_image(spec, need, &zones, accept);
            let to = warm.or_else(|| {
                let mut rooms = self.capacity.first_of_groups(spec, need, &zones, accept);
                rooms.find(|slot| {
                    self.capacity
                        .get(*slot)
                        .is_some_and(|r| self.soon_there(&r.id, spec))
                })
            })?;
            taken.add(to, job.task_request);
            moves.push(TaskMigration {
                task: task.clone(),
                to,
                machine: self.capacity.get(to)?.id.clone(),
            });
        }
        Some(moves)
    }
}

//! Tasks on the move: stopped for more important work, gathered so that
//! machines can be returned, or spread so that images are at hand.

use super::rounds::{Cold, Room, Unplaced};
use super::{Assign, Job, Scheduler};
use crate::fleet::{Machine, Phase};
use crate::ids::{MachineId, TaskRef};
use crate::msg::Now;
use crate::placement::{allows_offer, may_stand, Resources, ZoneUse};
use crate::settings::Settings;
use crate::wire::JobSpec;
use std::collections::{BTreeMap, HashMap};

/// One of so many machines at a time is emptied.
const CONSOLIDATED_OF: usize = 16;
/// A machine with more than this share in use isn't emptied.
const MOST_MOVED: f64 = 0.6;
/// A start counts for the users once it has lasted for this long (PROTOCOL,
/// "How aims are counted"); moving a replica before would make it late.
const START_COUNTS_S: f64 = 30.0;
/// Between a worker's start and our word of it, in report intervals.
const SEEN_REPORTS: f64 = 2.0;
/// A fetch that takes so many report intervals is hardly missed.
const QUICK_FETCH_REPORTS: f64 = 2.5;
/// A replica moves to spread an image at most once in so many fetch times.
const PREPLACEMENT_FETCHES: f64 = 10.0;

/// A task that runs or may run on a machine.
struct Stoppable<'a> {
    job: &'a Job,
    assign: &'a Assign,
    index: u32,
}

impl Scheduler {
    /// Stops tasks of less important jobs where that gives room to work with
    /// a wait objective sooner than a rental would. What is stopped saves
    /// first, if it can, and waits again in the queue.
    pub(super) fn preempt(&mut self, now: Now, unplaced: &mut Vec<Unplaced>, rooms: &[Room]) {
        let has_aim = |r: &Unplaced, settings: &Settings| {
            !r.forecast && settings.start_aim_ms(&r.spec).is_some()
        };
        if !unplaced.iter().any(|r| has_aim(r, &self.settings)) {
            return;
        }
        let mut free: Vec<Resources> = rooms.iter().map(Room::soon_free).collect();
        let mut chosen: BTreeMap<TaskRef, bool> = BTreeMap::new();
        let mut examined = 0;
        {
            let stoppable = self.stoppable(rooms);
            for waiting in unplaced.iter_mut().filter(|r| has_aim(r, &self.settings)) {
                let need = Resources::of_task(&waiting.spec);
                let slack_s = (waiting.deadline as f64 - now.wall as f64) / 1000.0;
                let offer = |i: usize, free: &Resources, chosen: &BTreeMap<TaskRef, bool>| {
                    let tasks = &stoppable[i];
                    let any = |s: &Stoppable| s.job.spec.priority > waiting.spec.priority;
                    if !free.holds(&need) && !tasks.iter().any(any) {
                        return None;
                    }
                    let fetch_s = self.missed_s(&rooms[i], &waiting.spec)?;
                    let patience_s = slack_s - fetch_s;
                    let (cost, victims) =
                        self.victims(now, tasks, &waiting.spec, *free, patience_s, chosen)?;
                    Some((cost + fetch_s, victims))
                };
                // What each room would cost; only the one that was chosen has
                // to be examined again for the next task of the job.
                let mut offers: Vec<_> = (0..rooms.len())
                    .map(|i| {
                        allows_offer(&waiting.spec, &rooms[i].offer)
                            .then(|| offer(i, &free[i], &chosen))
                            .flatten()
                    })
                    .collect();
                examined += stoppable.len() as u64 * 2;
                while waiting.count > 0 {
                    examined += offers.len() as u64;
                    let best = (0..rooms.len())
                        .filter(|i| waiting.zones.allows(&waiting.spec, &rooms[*i].offer.zone))
                        .filter_map(|i| Some((offers[i].as_ref()?.0, i)))
                        .min_by(|a, b| a.0.total_cmp(&b.0));
                    let Some((_, index)) = best else {
                        break;
                    };
                    for (task, saves) in offers[index].take().into_iter().flat_map(|o| o.1) {
                        if let Some(job) = self.jobs.get(&task.job) {
                            free[index].add(&job.need);
                        }
                        log::info!("task {task} gives way to {} saves={saves}", waiting.spec.id);
                        chosen.insert(task, saves);
                    }
                    free[index].take(&need);
                    offers[index] = offer(index, &free[index], &chosen);
                    waiting.zones.add(&rooms[index].offer.zone);
                    waiting.count -= 1;
                }
            }
        }
        self.examined += examined;
        unplaced.retain(|r| r.count > 0);
        for (task, saves) in chosen {
            self.stop_task(now, &task, saves);
        }
    }

    /// What tasks that are being stopped will give back, by machine.
    pub(super) fn freeing(&self) -> HashMap<MachineId, Resources> {
        let mut freeing: HashMap<MachineId, Resources> = HashMap::new();
        for job in self.jobs.values() {
            for assign in job.assigns.values().filter(|a| a.stop.is_some()) {
                freeing
                    .entry(assign.machine.clone())
                    .or_default()
                    .add(&job.need);
            }
        }
        freeing
    }

    /// The tasks of each room that aren't being stopped yet.
    fn stoppable(&self, rooms: &[Room]) -> Vec<Vec<Stoppable<'_>>> {
        let index: HashMap<&MachineId, usize> =
            rooms.iter().enumerate().map(|(i, r)| (&r.id, i)).collect();
        let mut all: Vec<Vec<Stoppable>> = rooms.iter().map(|_| Vec::new()).collect();
        for job in self.jobs.values() {
            for (task, assign) in job.assigns.iter().filter(|(_, a)| a.stop.is_none()) {
                if let Some(i) = index.get(&assign.machine) {
                    all[*i].push(Stoppable {
                        job,
                        assign,
                        index: *task,
                    });
                }
            }
        }
        all
    }

    /// Keeps room that is about to be free for work with a wait objective.
    /// Without this, what was stopped for it starts again in the first gap
    /// that is too small for it, and is stopped again, over and over.
    pub(super) fn hold_room(
        &self,
        spec: &JobSpec,
        count: u32,
        zones: &mut ZoneUse,
        rooms: &mut [Room],
    ) -> u32 {
        if self.settings.start_aim_ms(spec).is_none() {
            return count;
        }
        let need = Resources::of_task(spec);
        for n in 0..count {
            let room = rooms
                .iter_mut()
                .find(|r| r.soon_free().holds(&need) && may_stand(spec, zones, &r.offer));
            let Some(room) = room else {
                return count - n;
            };
            room.free.take(&need);
            zones.add(&room.offer.zone);
        }
        0
    }

    /// The tasks of less important jobs whose stop costs least and makes room
    /// on this machine, with that cost in seconds, and whether each may save
    /// first. Where saving would cost the waiting work its aim and stopping at
    /// once would not, tasks go back to their last checkpoint instead.
    fn victims(
        &self,
        now: Now,
        tasks: &[Stoppable],
        spec: &JobSpec,
        mut free: Resources,
        patience_s: f64,
        chosen: &BTreeMap<TaskRef, bool>,
    ) -> Option<(f64, Vec<(TaskRef, bool)>)> {
        let settled_ms = self.settled_ms();
        let handover_s = self.handover_s();
        let need = Resources::of_task(spec);
        let mut candidates: Vec<(f64, TaskRef, bool, Resources)> = Vec::new();
        for Stoppable { job, assign, index } in tasks {
            if job.spec.priority <= spec.priority {
                continue;
            }
            let task = job.task(*index);
            if chosen.contains_key(&task) {
                continue;
            }
            let ran_ms = assign.running_since_ms.map_or(0, |at| now.ms - at);
            let ran_s = ran_ms as f64 / 1000.0;
            let checkpoint_s = job.spec.checkpoint_s;
            let in_time = handover_s + job.spec.save_s <= patience_s;
            let saves = checkpoint_s > 0.0 && (in_time || patience_s < handover_s);
            // Lost work in seconds; a start that was just made counts twice.
            let lost_s = match (saves, checkpoint_s > 0.0) {
                (true, _) => job.spec.save_s,
                (false, true) => ran_s % checkpoint_s,
                (false, false) => ran_s,
            };
            let fresh = assign.running_since_ms.is_some() && ran_ms < settled_ms;
            let cost = if fresh {
                lost_s * 2.0 + 1.0
            } else {
                lost_s + 1.0
            };
            candidates.push((cost, task, saves, job.need));
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut cost, mut victims) = (0.0, Vec::new());
        for (lost, task, saves, room) in candidates {
            if free.holds(&need) {
                break;
            }
            free.add(&room);
            cost += lost;
            victims.push((task, saves));
        }
        free.holds(&need).then_some((cost, victims))
    }

    /// Scaling in: moves the replicas of the emptiest machine into free room
    /// that nobody expects to need, so that the machine can be returned. One
    /// machine at a time, and only where a replica is hardly missed.
    pub(super) fn consolidate(&mut self, now: Now, rooms: &mut [Room]) {
        let up = |m: &&Machine| matches!(m.phase, Phase::Up | Phase::Draining);
        let machines = self.fleet.machines.values().filter(up);
        let moving = self
            .fleet
            .machines
            .values()
            .filter(|m| m.phase == Phase::Draining && !m.tasks.is_empty())
            .count();
        let most = (machines.count() / CONSOLIDATED_OF).max(1);
        let mut order: Vec<(f64, usize)> = rooms
            .iter()
            .enumerate()
            .filter(|(_, r)| !r.reserved)
            .filter_map(|(i, r)| {
                let machine = self.fleet.get(&r.id)?;
                let share = machine.used.share_of(&machine.room);
                (!machine.tasks.is_empty() && share <= MOST_MOVED).then_some((share, i))
            })
            .collect();
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut left = most.saturating_sub(moving);
        for (share, index) in order {
            if left == 0 {
                return;
            }
            // Replicas of one that was emptied just now may be on their way here.
            if rooms[index].reserved {
                continue;
            }
            if let Some(moves) = self.can_empty(now, index, share, rooms) {
                left -= 1;
                for (_, to) in &moves {
                    // Room that is promised is nobody else's.
                    if let Some(room) = rooms.iter_mut().find(|r| r.id == *to) {
                        room.free = Resources::default();
                        room.reserved = true;
                    }
                }
                self.migration_targets.extend(moves);
                let id = rooms[index].id.clone();
                log::info!("machine {id} emptied, its replicas move");
                if let Some(machine) = self.fleet.get_mut(&id) {
                    machine.phase = Phase::Draining;
                }
                rooms[index].free = Resources::default();
                self.drain(now, &id);
            }
        }
    }

    /// Where all tasks of a machine may move to, if they may and find room.
    fn can_empty(
        &self,
        now: Now,
        index: usize,
        share: f64,
        rooms: &[Room],
    ) -> Option<Vec<(TaskRef, MachineId)>> {
        let machine = self.fleet.get(&rooms[index].id)?;
        let mut free: Vec<(usize, Resources)> = rooms
            .iter()
            .enumerate()
            .filter(|(i, r)| {
                let fuller = self
                    .fleet
                    .get(&r.id)
                    .is_some_and(|m| m.used.share_of(&m.room) >= share && !m.tasks.is_empty());
                *i != index && fuller && r.offer.spot <= rooms[index].offer.spot
            })
            .map(|(i, r)| (i, r.free))
            .collect();
        let mut moves = Vec::new();
        for task in &machine.tasks {
            let job = self.jobs.get(&task.job)?;
            let assign = job.assigns.get(&task.index)?;
            if !self.may_move(now, job, assign) || !job.is_service() {
                return None;
            }
            let mut zones = self.zones_ahead(job, moves.iter().map(|(t, to)| (t, to)));
            zones.remove(&assign.zone);
            let has_image = |i: usize| {
                let machine = self.fleet.get(&rooms[i].id);
                machine.is_some_and(|m| m.has_image(&job.spec.image))
            };
            let (to, free) = free
                .iter_mut()
                .filter(|(i, free)| {
                    let room = &rooms[*i];
                    free.holds(&job.need)
                        && may_stand(&job.spec, &zones, &room.offer)
                        && self.soon_there(&room.id, &job.spec)
                })
                .min_by_key(|(i, _)| !has_image(*i))?;
            free.take(&job.need);
            moves.push((task.clone(), rooms[*to].id.clone()));
        }
        Some(moves)
    }

    /// Where a job's tasks will be once all that moves, or is planned to, has
    /// arrived. Replicas that move together may each fit where only one does.
    pub(super) fn zones_ahead<'a>(
        &self,
        job: &Job,
        planned: impl Iterator<Item = (&'a TaskRef, &'a MachineId)>,
    ) -> ZoneUse {
        let mut zones = job.zone_use();
        if !job.spec.spread && !job.spec.one_zone {
            return zones;
        }
        let mut arrive = |task: &TaskRef, to: &MachineId| {
            let assign = job
                .assigns
                .get(&task.index)
                .filter(|_| task.job == job.spec.id);
            if let (Some(assign), Some(machine)) = (assign, self.fleet.get(to)) {
                zones.remove(&assign.zone);
                zones.add(&machine.offer.zone);
            }
        };
        for index in job.assigns.keys() {
            let task = job.task(*index);
            if let Some(to) = self.migration_targets.get(&task) {
                arrive(&task, to);
            }
        }
        for (task, to) in planned {
            arrive(task, to);
        }
        zones
    }

    /// How long a task has to run for its start to count for its users.
    pub(super) fn settled_ms(&self) -> u64 {
        let seen_s = self.settings.site.workers.report_s * SEEN_REPORTS;
        ((START_COUNTS_S + seen_s) * 1000.0) as u64
    }

    /// Whether a task may be moved: it has run long enough that its start
    /// counts anyway, or started so late that it doesn't.
    pub(super) fn may_move(&self, now: Now, job: &Job, assign: &Assign) -> bool {
        let settled_ms = self.settled_ms();
        let settled = |since_ms: u64| now.ms > since_ms + settled_ms;
        // A new leader can't know better than by the job's age.
        let old = assign.inherited && now.wall > job.submitted + settled_ms;
        assign.stop.is_none()
            && assign
                .running_since_ms
                .is_some_and(|at| old || assign.late || settled(at))
    }

    /// Whether a replica that fetches for so long is hardly missed.
    pub(super) fn hardly_missed(&self, fetch_s: f64) -> bool {
        fetch_s <= self.settings.site.workers.report_s * QUICK_FETCH_REPORTS
    }

    /// Whether a machine has the image, or fetches it within a few reports.
    fn soon_there(&self, id: &MachineId, spec: &JobSpec) -> bool {
        let machine = self.fleet.get(id);
        machine.is_some_and(|m| m.has_image(&spec.image))
            || self
                .fetch_s(id, spec)
                .is_some_and(|fetch_s| self.hardly_missed(fetch_s))
    }

    /// Expected work that would have to fetch its image for most of the time
    /// that its class may wait: a settled replica with that image moves to
    /// where it is missing, and leaves warm room behind. Seldom, so that the
    /// gaps stay far below what the aims allow.
    pub(super) fn preplace_images(&mut self, now: Now, cold: Vec<Cold>) {
        for Cold { spec, machine } in cold {
            let due_ms = self.preplacement_due_ms.get(&spec.class).copied();
            if due_ms.is_some_and(|due| now.ms < due) {
                continue;
            }
            let (Some(fetch_s), Some(objective_ms)) = (
                self.fetch_s(&machine, &spec),
                self.settings.start_aim_ms(&spec),
            ) else {
                continue;
            };
            // Where the fetch is short beside the aim it may happen later;
            // where it is long the replica would be missed for too long.
            if fetch_s * 2000.0 < objective_ms as f64 || !self.hardly_missed(fetch_s) {
                continue;
            }
            let Some(task) = self.mover(now, &spec, &machine) else {
                continue;
            };
            log::info!("task {task} moves to {machine}, to leave warm room behind");
            let due_ms = now.ms + (fetch_s * 1000.0 * PREPLACEMENT_FETCHES) as u64;
            self.preplacement_due_ms.insert(spec.class.clone(), due_ms);
            self.stop_task(now, &task, true);
            self.migration_targets.insert(task, machine);
        }
    }

    pub(super) fn fetch_s(&self, machine: &MachineId, spec: &JobSpec) -> Option<f64> {
        let machine_type = &self.fleet.get(machine)?.offer.machine_type;
        if spec.image_gb <= 0.0 {
            return Some(0.0);
        }
        let rate = self.catalog.as_ref()?.find(machine_type)?.fetch_gb_per_s;
        (rate > 0.0).then(|| spec.image_gb / rate)
    }

    /// A settled replica with this image that may go to `to`.
    fn mover(&self, now: Now, spec: &JobSpec, to: &MachineId) -> Option<TaskRef> {
        let zone = &self.fleet.get(to)?.offer.zone;
        let like = |j: &&Job| {
            j.is_service()
                && j.cancelled.is_none()
                && j.spec.class == spec.class
                && j.spec.image == spec.image
        };
        for job in self.jobs.values().filter(like) {
            for (index, assign) in &job.assigns {
                let up = self
                    .fleet
                    .get(&assign.machine)
                    .is_some_and(|m| m.phase == Phase::Up && m.notice_until_ms.is_none());
                let mut zones = self.zones_ahead(job, std::iter::empty());
                zones.remove(&assign.zone);
                if self.may_move(now, job, assign)
                    && up
                    && assign.machine != *to
                    && zones.allows(&job.spec, zone)
                {
                    return Some(job.task(*index));
                }
            }
        }
        None
    }
}

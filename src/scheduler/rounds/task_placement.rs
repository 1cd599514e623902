//! Places of a job's waiting tasks: into free room, or into room that is being
//! made for them.

use crate::capacity_index::{BestFit, MachineCapacity, SearchConstraint, Slot, TaskDemand};
use crate::ids::{Attempt, JobId, MachineId, TaskRef};
use crate::messages::Now;
use crate::placement::{placement_allowed, Resources, ZoneCounts};
use crate::scheduler::rounds::round::{Round, Unplaced};
use crate::scheduler::state::quotas::within_quota;
use crate::scheduler::{Assignment, Job, Scheduler};
use crate::wire::users::{JobKind, JobSpec};
use std::collections::BTreeMap;
use std::rc::Rc;

/// So many tasks of one job are examined in one round.
pub(in crate::scheduler) const ROUND_TASKS: usize = 512;

/// What the tasks of one job ask of a room, while they are placed.
pub(in crate::scheduler) struct PlacementRequest {
    pub(in crate::scheduler) spec: Rc<JobSpec>,
    pub(in crate::scheduler) need: Resources,
    /// Where the job's tasks are, those of this round included.
    pub(in crate::scheduler) zones: ZoneCounts,
    pub(in crate::scheduler) deadline: u64,
    /// The job's breaker is open.
    probing: bool,
    /// How many of a service's replicas are on each machine.
    pub(in crate::scheduler) siblings: BTreeMap<MachineId, u32>,
    /// The room of the task before.
    last: Option<BestFit>,
    /// No machine could make place for the task before.
    exchange_failed: bool,
}

/// Where a task goes.
enum PlacementChoice {
    /// Into this room, at once.
    Free(Slot),
    /// Into this room, once it is made; that much of it is held.
    Promised(Slot),
    Nothing,
}

/// How a job's tasks fared in a round.
#[derive(Default)]
struct PlacementTally {
    placed: usize,
    promised: usize,
    /// Tasks that their team's limit keeps waiting.
    blocked: usize,
}

impl PlacementRequest {
    pub(in crate::scheduler) fn new(job: &Job, deadline: u64) -> PlacementRequest {
        let mut siblings = BTreeMap::new();
        if job.is_service() {
            for assign in job.assignments.values() {
                *siblings.entry(assign.machine.clone()).or_insert(0) += 1;
            }
        }
        let zones_matter = job.is_service() || job.spec.spread || job.spec.same_zone;
        PlacementRequest {
            spec: job.spec.clone(),
            need: job.task_request,
            zones: if zones_matter {
                job.zone_use()
            } else {
                ZoneCounts::default()
            },
            deadline,
            probing: job.failures.is_open(),
            siblings,
            last: None,
            exchange_failed: false,
        }
    }

    /// Asks for the same, and stands nowhere yet.
    pub(in crate::scheduler) fn like(other: &PlacementRequest) -> PlacementRequest {
        PlacementRequest {
            spec: other.spec.clone(),
            need: other.need,
            zones: ZoneCounts::default(),
            deadline: other.deadline,
            probing: other.probing,
            siblings: BTreeMap::new(),
            last: None,
            exchange_failed: false,
        }
    }

    fn unplaced(self, count: usize) -> Unplaced {
        Unplaced {
            spec: self.spec,
            count: count as u32,
            deadline: self.deadline,
            zones: self.zones,
            forecast: false,
            group: None,
        }
    }
}

impl Scheduler {
    /// Places the tasks of a job that wait; says what found no room.
    pub(in crate::scheduler) fn place_job(
        &mut self,
        now: Now,
        id: &JobId,
        deadline: u64,
        round: &mut Round,
    ) -> Option<Unplaced> {
        let job = self.jobs.get(id)?;
        let mut wanted = PlacementRequest::new(job, deadline);
        let assigned = job.assignments.len();
        if wanted.probing && assigned > 0 {
            return None;
        }
        // A gang is seen whole; of a huge array a round's worth will do.
        let most = match wanted.spec.kind {
            JobKind::Gang => usize::MAX,
            _ if wanted.probing => 1,
            _ => ROUND_TASKS,
        };
        let tasks: Vec<u32> = job.pending.iter().copied().take(most).collect();
        self.count_scanned(assigned + tasks.len());
        if wanted.spec.kind == JobKind::Gang && !self.whole_fits(&wanted, tasks.len(), round) {
            // A gang starts whole, as one round, or waits.
            return (!wanted.probing).then(|| wanted.unplaced(tasks.len()));
        }
        let done = self.place_tasks(now, id, &tasks, &mut wanted, round);
        if wanted.probing {
            // Nothing is kept, rented or stopped for it.
            return None;
        }
        let left = tasks.len() - done.placed - done.promised - done.blocked;
        let left = self.hold_room(&mut wanted, left);
        (left > 0).then(|| wanted.unplaced(left))
    }

    fn place_tasks(
        &mut self,
        now: Now,
        id: &JobId,
        tasks: &[u32],
        wanted: &mut PlacementRequest,
        round: &mut Round,
    ) -> PlacementTally {
        let mut done = PlacementTally::default();
        // The tasks of a gang know each other by their common attempt.
        let shared = match wanted.spec.kind {
            JobKind::Gang => self
                .jobs
                .get_mut(id)
                .map(|job| job.placements.common_attempt()),
            _ => None,
        };
        let team = wanted.spec.team.clone();
        let mut used = self.used_in(&team, round);
        for index in tasks {
            if !within_quota(&self.settings, &team, &used, &wanted.need) {
                // Renting wouldn't help it: its team has to give room back.
                done.blocked = tasks.len() - done.placed - done.promised;
                log::debug!("job {id} waits for quota of {team} tasks={}", done.blocked);
                break;
            }
            let task = TaskRef {
                job: id.clone(),
                index: *index,
            };
            let slot = match self.choose_room(now, wanted, &task) {
                PlacementChoice::Promised(slot) => {
                    if let Some(room) = self.capacity.get(slot) {
                        self.migrations.targets.insert(task, room.id.clone());
                    }
                    round
                        .promised
                        .entry(team.clone())
                        .or_default()
                        .add(&wanted.need);
                    done.promised += 1;
                    slot
                }
                PlacementChoice::Free(slot) => {
                    if self.bind(now, &task, shared, slot, wanted).is_none() {
                        break;
                    }
                    done.placed += 1;
                    slot
                }
                PlacementChoice::Nothing => break,
            };
            if let Some(room) = self.capacity.get(slot) {
                wanted.zones.add(&room.state.offer.zone);
            }
            used.add(&wanted.need);
        }
        done
    }

    /// What a team's tasks may be using, with what it was promised in this round.
    pub(in crate::scheduler) fn used_in(&self, team: &str, round: &Round) -> Resources {
        let mut used = self.jobs.used(team);
        if let Some(promised) = round.promised.get(team) {
            used.add(promised);
        }
        used
    }

    /// Where one more task of a job goes. Promised room is held already.
    fn choose_room(
        &mut self,
        now: Now,
        wanted: &mut PlacementRequest,
        task: &TaskRef,
    ) -> PlacementChoice {
        let target = self.migrations.targets.remove(task);
        if let Some(slot) = target.and_then(|to| self.capacity.slot(&to)) {
            if let Some(choice) = self.choose_target(now, wanted, slot) {
                return choice;
            }
        }
        let best = self.best_room(&task.job, wanted);
        if let Some(warm) = self.exchange_for(now, wanted, best) {
            return PlacementChoice::Promised(warm);
        }
        if let Some(slot) = best {
            return PlacementChoice::Free(slot);
        }
        if wanted.probing || self.settings.start_slo_ms(&wanted.spec).is_none() {
            return PlacementChoice::Nothing;
        }
        // What waits now goes before what is only expected.
        match self.room_kept_for_others(wanted) {
            Some(slot) => {
                self.capacity.release_forecast(slot);
                PlacementChoice::Free(slot)
            }
            None => PlacementChoice::Nothing,
        }
    }

    /// A task on the move goes where it was meant to, if it still can.
    fn choose_target(
        &mut self,
        now: Now,
        wanted: &PlacementRequest,
        slot: Slot,
    ) -> Option<PlacementChoice> {
        let room = self.capacity.get(slot)?;
        let machine = self.fleet.get(&room.id)?;
        let stands = placement_allowed(&wanted.spec, &wanted.zones, &room.state.offer);
        if !stands || !machine.accepts_tasks(now.ms, self.fresh_ms()) {
            return None;
        }
        if room.free().covers(&wanted.need) {
            return Some(PlacementChoice::Free(slot));
        }
        // Room that is being made for it is worth waiting for while its
        // aim can still be met.
        if now.wall < wanted.deadline && room.free_after_stops().covers(&wanted.need) {
            self.capacity.hold(slot, &wanted.need);
            return Some(PlacementChoice::Promised(slot));
        }
        None
    }

    /// The best free room for one more task. Tasks that end soon fill a machine
    /// up: a room that was the best for one is so for the next, while it lasts.
    fn best_room(&mut self, id: &JobId, wanted: &mut PlacementRequest) -> Option<Slot> {
        let job = self.jobs.get(id)?;
        let failed_on = |machine: &MachineId| job.failures.failed_on(machine);
        let demand = TaskDemand {
            spec: &wanted.spec,
            need: &wanted.need,
            zones: &wanted.zones,
            siblings: &wanted.siblings,
            failed_on: &failed_on,
            constraint: SearchConstraint::default(),
        };
        let again = wanted.last.filter(|_| !job.is_service()).and_then(|last| {
            self.pacing.examined += 1;
            let rank = self.capacity.rank(last.slot, &demand)?;
            (rank <= last.rank).then_some(BestFit { rank, ..last })
        });
        wanted.last = again.or_else(|| self.capacity.best(&demand));
        wanted.last.map(|best| best.slot)
    }

    /// Room that another machine makes, if the task would have to fetch its image
    /// for too long in the best free one.
    fn exchange_for(
        &mut self,
        now: Now,
        wanted: &mut PlacementRequest,
        best: Option<Slot>,
    ) -> Option<Slot> {
        let has_image = |room: &MachineCapacity| room.has_image(&wanted.spec.image);
        let cold = best
            .filter(|slot| !wanted.probing && !self.capacity.get(*slot).is_some_and(has_image))?;
        if wanted.exchange_failed {
            // What couldn't be done for one replica can't be for the next.
            return None;
        }
        let warm = self.displace_for_image(now, wanted, cold);
        wanted.exchange_failed = warm.is_none();
        warm
    }

    /// A machine that holds the task if what is kept there is given up.
    fn room_kept_for_others(&self, wanted: &PlacementRequest) -> Option<Slot> {
        let fits = |room: &MachineCapacity| {
            let mut all = room.free();
            all.add(&room.forecast_reserved());
            all.covers(&wanted.need)
                && placement_allowed(&wanted.spec, &wanted.zones, &room.state.offer)
        };
        let mut kept = self.capacity.with_forecast_reservation();
        kept.find(|(_, room)| fits(room)).map(|(slot, _)| slot)
    }

    /// Binds a waiting task to a room; `None`: that can't be done. It starts
    /// once that is stored.
    pub(in crate::scheduler) fn bind(
        &mut self,
        now: Now,
        task: &TaskRef,
        shared: Option<Attempt>,
        slot: Slot,
        wanted: &mut PlacementRequest,
    ) -> Option<()> {
        let room = self.capacity.get(slot)?;
        let id = room.id.clone();
        let fresh_ms = self.fresh_ms();
        let job = self.jobs.get_mut(&task.job)?;
        let machine = self.fleet.get_mut(&id)?;
        // Whatever the index says: this is what is written.
        let sound = job.pending.contains(&task.index)
            && !job.dependencies_open
            && machine.accepts_tasks(now.ms, fresh_ms)
            && machine.free().covers(&job.task_request);
        if !sound {
            log::error!("task {task} doesn't fit on {id} after all");
            return None;
        }
        let attempt = shared.or_else(|| job.next_attempt(task.index))?;
        let image = &job.spec.image;
        log::debug!(
            "place {task} attempt={attempt} on {id} zone={} free_gpus={} cached={}",
            machine.offer.zone,
            machine.free().gpus,
            machine.has_image(image)
        );
        if !machine.has_image(image) && !machine.pulling_images.contains_key(image) {
            machine.pulling_images.insert(image.clone(), 1);
        }
        let assign = Assignment::new(
            attempt,
            id.clone(),
            machine.agent_epoch,
            machine.offer.zone.clone(),
        );
        job.pending.remove(&task.index);
        job.assignments.insert(task.index, assign);
        job.touch(task.index, now.ms, true);
        machine.assign(task.clone(), &job.task_request);
        if job.is_service() {
            *wanted.siblings.entry(id.clone()).or_insert(0) += 1;
        }
        // The machine is noted as changed: the next task sees it as it is now.
        self.refresh_rooms();
        Some(())
    }

    /// Whether all these tasks of a gang find room at once.
    fn whole_fits(&self, wanted: &PlacementRequest, tasks: usize, round: &Round) -> bool {
        let PlacementRequest { spec, need, .. } = wanted;
        let mut used = self.used_in(&spec.team, round);
        let mut zones = wanted.zones.clone();
        let mut free: Vec<(Slot, Rc<str>, Resources)> = self
            .capacity
            .holding(spec, need)
            .map(|(slot, room)| (slot, room.state.offer.zone.clone(), room.free()))
            .collect();
        free.sort_by_key(|(slot, ..)| *slot);
        (0..tasks).all(|_| {
            let fits = within_quota(&self.settings, &spec.team, &used, need);
            let room = free
                .iter_mut()
                .find(|(_, zone, free)| free.covers(need) && zones.allows(spec, zone));
            match room {
                Some((_, zone, free)) if fits => {
                    free.subtract(need);
                    zones.add(zone);
                    used.add(need);
                    true
                }
                _ => false,
            }
        })
    }

    /// Keeps room that is about to be free for work with a wait objective.
    /// Without this, what was stopped for it starts again in the first gap
    /// that is too small for it, and is stopped again, over and over. Says for
    /// how many tasks there is none.
    fn hold_room(&mut self, wanted: &mut PlacementRequest, count: usize) -> usize {
        if self.settings.start_slo_ms(&wanted.spec).is_none() {
            return count;
        }
        for n in 0..count {
            let fits = |room: &MachineCapacity| {
                let stands = placement_allowed(&wanted.spec, &wanted.zones, &room.state.offer);
                stands && room.free_after_stops().covers(&wanted.need)
            };
            let found = self.capacity.stopping_tasks().find(|(_, room)| fits(room));
            let Some((slot, zone)) =
                found.map(|(slot, room)| (slot, room.state.offer.zone.clone()))
            else {
                return count - n;
            };
            self.capacity.hold(slot, &wanted.need);
            wanted.zones.add(&zone);
        }
        0
    }
}

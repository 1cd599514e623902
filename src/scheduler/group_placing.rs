//! Room for replicas that span machines: all parts of one, on different machines,
//! or none. In one zone, unless its job has to be spread further than that.

use super::placing::{Wanted, ROUND_TASKS};
use super::rounds::{GroupDemand, Round, Unplaced};
use super::teams::quota_allows;
use super::Scheduler;
use crate::ids::{Attempt, JobId, MachineId, TaskRef};
use crate::msg::Now;
use crate::placement::{may_stand, Resources, ZoneUse};
use crate::rooms::{Apart, Demand, Room, Slot};
use lilacfork_replicas::group::Note;
use lilacfork_replicas::groups::GroupId;
use lilacfork_replicas::record::{MoveIntent, Target};
use lilacfork_replicas::shape::Replica;
use lilacfork_replicas::view::{Binding, MachineHealth, PartState};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Which room a part may have.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum Reach {
    /// What is free.
    Free,
    /// That, and what is set aside for expected work.
    Kept,
    /// What is free, and what is about to be.
    Freeing,
}

/// A machine for a part.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartRoom {
    pub(super) slot: Slot,
    pub(super) rank: f64,
    /// What is kept there for expected work has to be given up.
    kept: bool,
}

/// What the parts of one group ask for.
pub(super) struct Search<'a> {
    pub(super) id: &'a GroupId,
    pub(super) wanted: &'a Wanted,
    /// How many machines.
    pub(super) count: usize,
    /// Only in this zone.
    pub(super) zone: Option<&'a str>,
    /// Machines of its other parts.
    pub(super) taken: &'a [Slot],
}

/// Where a group goes, part by part.
struct Plan {
    rooms: Vec<(u32, PartRoom)>,
}

impl Scheduler {
    /// Places the groups of a job that wait, in order; what finds no room is added
    /// to the round's list.
    pub(super) fn place_groups(
        &mut self,
        now: Now,
        job_id: &JobId,
        deadline: u64,
        round: &mut Round,
    ) {
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        let mut wanted = Wanted::new(job, deadline);
        wanted.zones = job.zone_use();
        for replica in self.waiting_groups(now, job_id) {
            let id = GroupId {
                job: job_id.clone(),
                replica,
            };
            if !self.place_group(now, &id, &mut wanted, round) {
                return;
            }
        }
    }

    /// Groups that wait for a place and may have one now, a round's worth.
    fn waiting_groups(&self, now: Now, job_id: &JobId) -> Vec<Replica> {
        let Some(groups) = self.groups.get(job_id) else {
            return Vec::new();
        };
        let most = (ROUND_TASKS / groups.shape().parts() as usize).max(1);
        let waiting = groups.iter().filter(|group| group.wants_place(now.ms));
        waiting.map(|group| group.replica()).take(most).collect()
    }

    /// Places one group, or says what it lacks. `false`: its team's limit keeps it
    /// and what comes after it waiting.
    fn place_group(
        &mut self,
        now: Now,
        id: &GroupId,
        wanted: &mut Wanted,
        round: &mut Round,
    ) -> bool {
        let Some(tasks) = self.waiting_parts(id) else {
            return true;
        };
        self.count_scanned(tasks.len());
        let probing = self
            .groups
            .group(id)
            .is_some_and(|group| group.failures().is_open());
        let mut used = self.used_in(&wanted.spec.team, round);
        used.add(&wanted.need.scaled(tasks.len() as f64 - 1.0));
        if !quota_allows(&self.settings, &wanted.spec.team, &used, &wanted.need) {
            log::debug!("replica {id} waits for quota of {}", wanted.spec.team);
            return false;
        }
        self.release_held(id);
        let plan = self.plan_group(now, id, &tasks, wanted, probing);
        if let Some(plan) = plan {
            self.bind_group(now, id, plan, wanted);
            return true;
        }
        self.hold_for(now, id);
        if !probing {
            let left = self.group_left(now, id, &tasks, wanted);
            round.unplaced.extend(left);
        }
        true
    }

    /// The parts that have to be placed; `None`: some are on machines still.
    fn waiting_parts(&self, id: &GroupId) -> Option<Vec<u32>> {
        let job = self.jobs.get(&id.job)?;
        let tasks = job.shape?.tasks_of(id.replica);
        let live: Vec<u32> = tasks.filter(|task| !job.done.contains(task)).collect();
        let all_wait = live.iter().all(|task| job.pending.contains(task));
        (all_wait && !live.is_empty()).then_some(live)
    }

    /// Room for all parts: first on the machines that are held for them.
    fn plan_group(
        &mut self,
        now: Now,
        id: &GroupId,
        tasks: &[u32],
        wanted: &Wanted,
        probing: bool,
    ) -> Option<Plan> {
        let held = self.usable_held(now, id, tasks, wanted);
        if !held.is_empty() {
            if let Some(plan) = self.plan_around(id, tasks, wanted, held) {
                return Some(plan);
            }
        }
        let urgent = !probing && self.settings.start_aim_ms(&wanted.spec).is_some();
        let reaches: &[Reach] = if urgent {
            // What waits now goes before what is only expected.
            &[Reach::Free, Reach::Kept]
        } else {
            &[Reach::Free]
        };
        let search = Search {
            id,
            wanted,
            count: tasks.len(),
            zone: None,
            taken: &[],
        };
        let rooms = reaches.iter().find_map(|r| self.find_rooms(&search, *r))?;
        Some(Plan {
            rooms: tasks.iter().copied().zip(rooms).collect(),
        })
    }

    /// The machines that were held for these parts and still take them.
    fn usable_held(
        &self,
        now: Now,
        id: &GroupId,
        tasks: &[u32],
        wanted: &Wanted,
    ) -> Vec<(u32, PartRoom)> {
        let Some(group) = self.groups.group(id) else {
            return Vec::new();
        };
        let mut zones = wanted.zones.clone();
        let mut rooms: Vec<(u32, PartRoom)> = Vec::new();
        for target in group.held(now.ms) {
            let Some(slot) = self.rooms.slot(&target.machine) else {
                continue;
            };
            let Some(room) = self.rooms.get(slot) else {
                continue;
            };
            let open = self
                .fleet
                .get(&target.machine)
                .is_some_and(|m| m.takes_work(now.ms, self.fresh_ms()));
            let stands = may_stand(&wanted.spec, &zones, &room.state.offer);
            let fits = open && stands && room.free().holds(&wanted.need);
            if fits && tasks.contains(&target.task) {
                zones.add(&room.state.offer.zone);
                let room = PartRoom {
                    slot,
                    rank: 0.0,
                    kept: false,
                };
                rooms.push((target.task, room));
            }
        }
        rooms
    }

    /// A place for the parts that have none beside those that have.
    fn plan_around(
        &self,
        id: &GroupId,
        tasks: &[u32],
        wanted: &Wanted,
        held: Vec<(u32, PartRoom)>,
    ) -> Option<Plan> {
        let placed: BTreeSet<u32> = held.iter().map(|(task, _)| *task).collect();
        let rest: Vec<u32> = tasks
            .iter()
            .copied()
            .filter(|task| !placed.contains(task))
            .collect();
        let taken: Vec<Slot> = held.iter().map(|(_, room)| room.slot).collect();
        let mut around = Wanted::like(wanted);
        around.zones = wanted.zones.clone();
        let mut zone: Option<Rc<str>> = None;
        for slot in &taken {
            let there = &self.rooms.get(*slot)?.state.offer.zone;
            around.zones.add(there);
            zone = Some(there.clone());
        }
        let search = Search {
            id,
            wanted: &around,
            count: rest.len(),
            zone: zone.as_deref(),
            taken: &taken,
        };
        let found = self.find_rooms(&search, Reach::Free)?;
        let mut rooms = held;
        rooms.extend(rest.into_iter().zip(found));
        Some(Plan { rooms })
    }

    // ---- the search for rooms ----

    /// So many different machines in one zone; those that rank best together.
    fn find_rooms(&self, search: &Search, reach: Reach) -> Option<Vec<PartRoom>> {
        let spec = &search.wanted.spec;
        let mut best: Option<(f64, Vec<PartRoom>)> = None;
        for zone in self.group_zones(search) {
            let Some(rooms) = self.rooms_in(search, Some(&zone), reach) else {
                continue;
            };
            let rank: f64 = rooms.iter().map(|room| room.rank).sum();
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                best = Some((rank, rooms));
            }
        }
        if let Some((_, rooms)) = best {
            return Some(rooms);
        }
        // No single zone may hold it: then it is spread.
        let one_zone_allowed = !self.group_zones(search).is_empty();
        if spec.spread && !one_zone_allowed {
            return self.rooms_in(search, None, reach);
        }
        None
    }

    /// The zones that may hold all of it.
    pub(super) fn group_zones(&self, search: &Search) -> Vec<Rc<str>> {
        let spec = &search.wanted.spec;
        let all = self.settings.site.zones.iter();
        let named = all.filter(|zone| search.zone.is_none_or(|only| only == zone.as_str()));
        let zones = named.map(|zone| Rc::from(zone.as_str()));
        let holds_all = |zone: &Rc<str>| {
            let mut zones = search.wanted.zones.clone();
            (0..search.count).all(|_| {
                let allowed = zones.allows(spec, zone);
                zones.add(zone);
                allowed
            })
        };
        zones.filter(holds_all).collect()
    }

    fn rooms_in(
        &self,
        search: &Search,
        zone: Option<&Rc<str>>,
        reach: Reach,
    ) -> Option<Vec<PartRoom>> {
        let mut taken = search.taken.to_vec();
        let mut zones = search.wanted.zones.clone();
        let mut rooms = Vec::new();
        for _ in 0..search.count {
            let room = self.part_room(search, zone.map(|z| &**z), &taken, &zones, reach)?;
            taken.push(room.slot);
            zones.add(&self.rooms.get(room.slot)?.state.offer.zone);
            rooms.push(room);
        }
        Some(rooms)
    }

    /// The best machine for one more part.
    pub(super) fn part_room(
        &self,
        search: &Search,
        zone: Option<&str>,
        taken: &[Slot],
        zones: &ZoneUse,
        reach: Reach,
    ) -> Option<PartRoom> {
        let Wanted { spec, need, .. } = search.wanted;
        let group = self.groups.group(search.id)?;
        let failed_on = |machine: &MachineId| group.failures().failed_on(machine);
        let demand = Demand {
            spec,
            need,
            zones,
            siblings: &search.wanted.siblings,
            failed_on: &failed_on,
            apart: Apart { zone, taken },
        };
        if let Some(best) = self.rooms.best(&demand) {
            return Some(PartRoom {
                slot: best.slot,
                rank: best.rank,
                kept: false,
            });
        }
        let in_zone = |room: &Room| zone.is_none_or(|only| *room.state.offer.zone == *only);
        let stands = |slot: Slot, room: &Room| {
            !taken.contains(&slot) && in_zone(room) && may_stand(spec, zones, &room.state.offer)
        };
        let with_kept = |room: &Room| {
            let mut all = room.free();
            all.add(&room.kept());
            all
        };
        let found = match reach {
            Reach::Free => None,
            Reach::Kept => self
                .rooms
                .kept()
                .find(|(slot, room)| stands(*slot, room) && with_kept(room).holds(need)),
            Reach::Freeing => self
                .rooms
                .freeing()
                .find(|(slot, room)| stands(*slot, room) && room.soon_free().holds(need)),
        };
        found.map(|(slot, _)| PartRoom {
            slot,
            rank: 0.0,
            kept: reach == Reach::Kept,
        })
    }

    // ---- binding ----

    /// Binds all parts, in one turn and so by one write.
    fn bind_group(&mut self, now: Now, id: &GroupId, plan: Plan, wanted: &mut Wanted) {
        for (_, room) in plan.rooms.iter().filter(|(_, room)| room.kept) {
            self.rooms.release_kept(room.slot);
        }
        if !self.plan_is_sound(now, &plan, &wanted.need) {
            log::error!("replica {id} doesn't fit where it should after all");
            return;
        }
        let Some(generation) = self.next_generation(id) else {
            return;
        };
        for (index, room) in &plan.rooms {
            let task = TaskRef {
                job: id.job.clone(),
                index: *index,
            };
            self.bind(now, &task, Some(generation), room.slot, wanted);
            if let Some(room) = self.rooms.get(room.slot) {
                wanted.zones.add(&room.state.offer.zone);
            }
        }
        log::info!(
            "replica {id} bound, generation={generation} parts={}",
            plan.rooms.len()
        );
        if self.groups.placed(id) == Some(Note::Moved) {
            log::info!("replica {id} has moved");
        }
    }

    fn plan_is_sound(&self, now: Now, plan: &Plan, need: &Resources) -> bool {
        let mut machines = BTreeSet::new();
        plan.rooms.iter().all(|(_, part)| {
            let machine = self.rooms.get(part.slot).map(|room| &room.id);
            let machine = machine.and_then(|id| self.fleet.get(id));
            machines.insert(part.slot)
                && machine
                    .is_some_and(|m| m.takes_work(now.ms, self.fresh_ms()) && m.free().holds(need))
        })
    }

    /// The attempt that all parts of the next generation share.
    fn next_generation(&mut self, id: &GroupId) -> Option<Attempt> {
        let job = self.jobs.get_mut(&id.job)?;
        let first = job.shape?.tasks_of(id.replica).start;
        job.next_attempt(first)
    }

    // ---- room that is held ----

    /// Holds room for the next generations of groups that had it: once a round
    /// has begun nothing is promised otherwise.
    pub(super) fn hold_for_groups(&mut self, now: Now) {
        self.group_holds.clear();
        for id in self.groups.holding(now.ms) {
            self.hold_for(now, &id);
        }
    }

    /// The machines on which room is held for a group, but for those that its own
    /// parts use.
    fn held_slots(&self, now: Now, id: &GroupId) -> Vec<Slot> {
        let (Some(group), Some(job)) = (self.groups.group(id), self.jobs.get(&id.job)) else {
            return Vec::new();
        };
        if job.cancelled.is_some() {
            return Vec::new();
        }
        let uses = |target: &&Target| {
            let assign = job.assigns.get(&target.task);
            assign.is_some_and(|a| a.machine == target.machine && a.stop.is_none())
        };
        let targets = group.held(now.ms).iter().filter(|target| !uses(target));
        targets
            .filter_map(|target| self.rooms.slot(&target.machine))
            .collect()
    }

    pub(super) fn hold_for(&mut self, now: Now, id: &GroupId) {
        if self.group_holds.contains_key(id) {
            return;
        }
        let Some(need) = self.jobs.get(&id.job).map(|job| job.need) else {
            return;
        };
        let mut machines = Vec::new();
        for slot in self.held_slots(now, id) {
            machines.extend(self.rooms.get(slot).map(|room| room.id.clone()));
            self.rooms.reserve(slot, &need);
        }
        self.group_holds.insert(id.clone(), machines);
    }

    /// A group that is being placed may use what is held for it.
    fn release_held(&mut self, id: &GroupId) {
        let Some(need) = self.jobs.get(&id.job).map(|job| job.need) else {
            return;
        };
        for machine in self.group_holds.remove(id).into_iter().flatten() {
            // One that has gone took what was held along.
            if let Some(slot) = self.rooms.slot(&machine) {
                self.rooms.release(slot, &need);
            }
        }
    }

    /// What a group lacks, after room that is about to be free was held for it, all
    /// of it or none.
    fn group_left(
        &mut self,
        now: Now,
        id: &GroupId,
        tasks: &[u32],
        wanted: &Wanted,
    ) -> Option<Unplaced> {
        let held: Vec<(u32, PartRoom)> = self.held_and_sound(now, id);
        let zone = held
            .first()
            .and_then(|(_, part)| Some(self.rooms.get(part.slot)?.state.offer.zone.clone()));
        let taken: Vec<Slot> = held.iter().map(|(_, part)| part.slot).collect();
        let count = tasks.len().saturating_sub(held.len());
        let search = Search {
            id,
            wanted,
            count,
            zone: zone.as_deref(),
            taken: &taken,
        };
        if self.settings.start_aim_ms(&wanted.spec).is_some() {
            if let Some(rooms) = self.find_rooms(&search, Reach::Freeing) {
                for room in rooms {
                    self.rooms.hold(room.slot, &wanted.need);
                }
                return None;
            }
        }
        Some(Unplaced {
            spec: wanted.spec.clone(),
            count: count as u32,
            deadline: wanted.deadline,
            zones: wanted.zones.clone(),
            forecast: false,
            group: Some(GroupDemand {
                id: id.clone(),
                zone,
            }),
        })
    }

    /// Machines on which room is held and that go on taking work.
    pub(super) fn held_and_sound(&self, now: Now, id: &GroupId) -> Vec<(u32, PartRoom)> {
        let Some(group) = self.groups.group(id) else {
            return Vec::new();
        };
        let fresh_ms = self.fresh_ms();
        let sound = group.held(now.ms).iter().filter(|target| {
            let machine = self.fleet.get(&target.machine);
            machine.is_some_and(|m| m.takes_work(now.ms, fresh_ms))
        });
        let rooms = sound.filter_map(|target| {
            let room = PartRoom {
                slot: self.rooms.slot(&target.machine)?,
                rank: 0.0,
                kept: false,
            };
            Some((target.task, room))
        });
        rooms.collect()
    }

    // ---- moves ----

    /// Finds room for a group of which a machine is taken away. Its other parts
    /// stay where they are, if there is room for the rest in their zone.
    pub(super) fn plan_move(&mut self, now: Now, id: &GroupId) {
        self.refresh(now);
        match self.move_intent(now, id) {
            Some(intent) => {
                log::info!("replica {id} is to move, generation={}", intent.generation);
                self.give_up_kept(&intent, &id.job);
                self.groups.begin_move(now.ms, id, intent);
                self.hold_for(now, id);
                self.store_group(now, id, true);
            }
            None => {
                log::info!("replica {id} finds no room to move to");
                if let Some(group) = self.groups.group_mut(id) {
                    group.cannot_move();
                }
            }
        }
        self.groups.touch(&id.job);
    }

    /// What is expected gives way to what moves now.
    fn give_up_kept(&mut self, intent: &MoveIntent, job: &JobId) {
        let Some(need) = self.jobs.get(job).map(|job| job.need) else {
            return;
        };
        for target in &intent.targets {
            let slot = self.rooms.slot(&target.machine);
            let room = slot.and_then(|slot| Some((slot, self.rooms.get(slot)?)));
            if let Some((slot, room)) = room {
                if !room.free().holds(&need) && room.kept() != Resources::default() {
                    self.rooms.release_kept(slot);
                }
            }
        }
    }

    fn move_intent(&self, now: Now, id: &GroupId) -> Option<MoveIntent> {
        let job = self.jobs.get(&id.job)?;
        let bound: Vec<(u32, Binding)> = self
            .parts_of(now, id)
            .into_iter()
            .filter_map(|part| match part.state {
                PartState::Bound(binding) => Some((part.task, binding)),
                _ => None,
            })
            .collect();
        let generation = bound.first()?.1.generation;
        let mut wanted = Wanted::new(job, now.wall);
        wanted.zones = job.zone_use();
        for (task, _) in &bound {
            wanted.zones.remove(&job.assigns.get(task)?.zone);
        }
        let (staying, leaving): (Vec<_>, Vec<_>) = bound
            .into_iter()
            .partition(|(_, binding)| binding.health == MachineHealth::Heard);
        let slot_of = |(_, binding): &(u32, Binding)| self.rooms.slot(&binding.machine);
        let all: Vec<Slot> = staying.iter().chain(&leaving).filter_map(slot_of).collect();
        let partly = self.move_some(id, &wanted, &staying, &leaving, &all);
        let targets = partly.or_else(|| {
            let tasks: Vec<u32> = staying.iter().chain(&leaving).map(|(t, _)| *t).collect();
            let search = Search {
                id,
                wanted: &wanted,
                count: tasks.len(),
                zone: None,
                taken: &all,
            };
            let rooms = self.find_rooms(&search, Reach::Kept)?;
            self.targets(&tasks, &rooms)
        })?;
        Some(MoveIntent {
            generation,
            targets,
        })
    }

    /// The parts on sound machines start again there, the others beside them.
    fn move_some(
        &self,
        id: &GroupId,
        wanted: &Wanted,
        staying: &[(u32, Binding)],
        leaving: &[(u32, Binding)],
        taken: &[Slot],
    ) -> Option<Vec<Target>> {
        let first = self.fleet.get(&staying.first()?.1.machine)?;
        let zone = first.offer.zone.clone();
        let mut around = Wanted::like(wanted);
        around.zones = wanted.zones.clone();
        for (_, binding) in staying {
            around
                .zones
                .add(&self.fleet.get(&binding.machine)?.offer.zone);
        }
        let search = Search {
            id,
            wanted: &around,
            count: leaving.len(),
            zone: Some(&zone),
            taken,
        };
        let rooms = self.find_rooms(&search, Reach::Kept)?;
        let tasks: Vec<u32> = leaving.iter().map(|(task, _)| *task).collect();
        let mut targets = self.targets(&tasks, &rooms)?;
        targets.extend(staying.iter().map(|(task, binding)| Target {
            task: *task,
            machine: binding.machine.clone(),
        }));
        Some(targets)
    }

    fn targets(&self, tasks: &[u32], rooms: &[PartRoom]) -> Option<Vec<Target>> {
        let targets = tasks.iter().zip(rooms).map(|(task, part)| {
            Some(Target {
                task: *task,
                machine: self.rooms.get(part.slot)?.id.clone(),
            })
        });
        targets.collect()
    }
}

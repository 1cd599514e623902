//! Room for replicas that span machines: all parts of one, on different machines,
//! or none. In one zone, unless its job has to be spread further than that.

use crate::capacity_index::Slot;
use crate::ids::{Attempt, JobId, TaskRef};
use crate::messages::Now;
use crate::placement::{placement_allowed, Resources};
use crate::scheduler::replica_groups::search::{GroupSearch, PartMachine, SearchScope};
use crate::scheduler::rounds::round::Round;
use crate::scheduler::rounds::task_placement::{PlacementRequest, ROUND_TASKS};
use crate::scheduler::state::quotas::within_quota;
use crate::scheduler::Scheduler;
use lilacfork_replica_groups::group::GroupEvent;
use lilacfork_replica_groups::registry::GroupId;
use lilacfork_replica_groups::shape::Replica;
use std::collections::BTreeSet;

/// Where a group goes, part by part.
struct GroupPlacement {
    rooms: Vec<(u32, PartMachine)>,
}

impl Scheduler {
    /// Places the groups of a job that wait, in order; what finds no room is added
    /// to the round's list.
    pub(in crate::scheduler) fn place_groups(
        &mut self,
        now: Now,
        job_id: &JobId,
        deadline: u64,
        round: &mut Round,
    ) {
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        let mut wanted = PlacementRequest::new(job, deadline);
        wanted.zones = job.zone_use();
        for replica in self.waiting_groups(now, job_id) {
            let id = GroupId::new(job_id, replica);
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
        wanted: &mut PlacementRequest,
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
        if !within_quota(&self.settings, &wanted.spec.team, &used, &wanted.need) {
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
        wanted: &PlacementRequest,
        probing: bool,
    ) -> Option<GroupPlacement> {
        let held = self.usable_held(now, id, tasks, wanted);
        if !held.is_empty() {
            if let Some(plan) = self.plan_around(id, tasks, wanted, held) {
                return Some(plan);
            }
        }
        let urgent = !probing && self.settings.start_slo_ms(&wanted.spec).is_some();
        let reaches: &[SearchScope] = if urgent {
            // What waits now goes before what is only expected.
            &[SearchScope::Free, SearchScope::Kept]
        } else {
            &[SearchScope::Free]
        };
        let search = GroupSearch {
            id,
            wanted,
            count: tasks.len(),
            zone: None,
            taken: &[],
        };
        let rooms = reaches.iter().find_map(|r| self.find_rooms(&search, *r))?;
        Some(GroupPlacement {
            rooms: tasks.iter().copied().zip(rooms).collect(),
        })
    }

    /// The machines that were held for these parts and still take them.
    fn usable_held(
        &self,
        now: Now,
        id: &GroupId,
        tasks: &[u32],
        wanted: &PlacementRequest,
    ) -> Vec<(u32, PartMachine)> {
        let Some(group) = self.groups.group(id) else {
            return Vec::new();
        };
        let mut zones = wanted.zones.clone();
        let mut rooms: Vec<(u32, PartMachine)> = Vec::new();
        for target in group.held(now.ms) {
            let Some(slot) = self.capacity.slot(&target.machine) else {
                continue;
            };
            let Some(room) = self.capacity.get(slot) else {
                continue;
            };
            let open = self
                .fleet
                .get(&target.machine)
                .is_some_and(|m| m.accepts_tasks(now.ms, self.fresh_ms()));
            let stands = placement_allowed(&wanted.spec, &zones, &room.state.offer);
            let fits = open && stands && room.free().covers(&wanted.need);
            if fits && tasks.contains(&target.task) {
                zones.add(&room.state.offer.zone);
                let room = PartMachine {
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
        wanted: &PlacementRequest,
        held: Vec<(u32, PartMachine)>,
    ) -> Option<GroupPlacement> {
        let placed: BTreeSet<u32> = held.iter().map(|(task, _)| *task).collect();
        let rest: Vec<u32> = tasks
            .iter()
            .copied()
            .filter(|task| !placed.contains(task))
            .collect();
        let taken: Vec<Slot> = held.iter().map(|(_, room)| room.slot).collect();
        let mut around = PlacementRequest::like(wanted);
        around.zones = wanted.zones.clone();
        for slot in &taken {
            around
                .zones
                .add(&self.capacity.get(*slot)?.state.offer.zone);
        }
        let zone = self.common_zone(&wanted.spec, &taken);
        let search = GroupSearch {
            id,
            wanted: &around,
            count: rest.len(),
            zone: zone.as_deref(),
            taken: &taken,
        };
        let found = self.find_rooms(&search, SearchScope::Free)?;
        let mut rooms = held;
        rooms.extend(rest.into_iter().zip(found));
        Some(GroupPlacement { rooms })
    }

    // ---- binding ----

    /// Binds all parts, in one turn and so by one write.
    fn bind_group(
        &mut self,
        now: Now,
        id: &GroupId,
        plan: GroupPlacement,
        wanted: &mut PlacementRequest,
    ) {
        for (_, room) in plan.rooms.iter().filter(|(_, room)| room.kept) {
            self.capacity.release_forecast(room.slot);
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
            if let Some(room) = self.capacity.get(room.slot) {
                wanted.zones.add(&room.state.offer.zone);
            }
        }
        log::info!(
            "replica {id} bound, generation={generation} parts={}",
            plan.rooms.len()
        );
        if self.groups.placed(id) == Some(GroupEvent::Moved) {
            log::info!("replica {id} has moved");
        }
    }

    fn plan_is_sound(&self, now: Now, plan: &GroupPlacement, need: &Resources) -> bool {
        let mut machines = BTreeSet::new();
        plan.rooms.iter().all(|(_, part)| {
            let machine = self.capacity.get(part.slot).map(|room| &room.id);
            let machine = machine.and_then(|id| self.fleet.get(id));
            machines.insert(part.slot)
                && machine.is_some_and(|m| {
                    m.accepts_tasks(now.ms, self.fresh_ms()) && m.free().covers(need)
                })
        })
    }

    /// The attempt that all parts of the next generation share.
    fn next_generation(&mut self, id: &GroupId) -> Option<Attempt> {
        let job = self.jobs.get_mut(&id.job)?;
        let first = job.shape?.tasks_of(id.replica).start;
        job.next_attempt(first)
    }
}

//! Room that is held for the next generation of a replica that spans machines.

use crate::capacity_index::Slot;
use crate::messages::Now;
use crate::scheduler::replica_groups::search::{GroupSearch, PartMachine, SearchScope};
use crate::scheduler::rounds::round::{GroupDemand, Unplaced};
use crate::scheduler::rounds::task_placement::PlacementRequest;
use crate::scheduler::Scheduler;
use lilacfork_replica_groups::record::PartTarget;
use lilacfork_replica_groups::registry::GroupId;

impl Scheduler {
    /// Holds room for the next generations of groups that had it: once a round
    /// has begun nothing is promised otherwise.
    pub(in crate::scheduler) fn hold_for_groups(&mut self, now: Now) {
        self.group_reservations.clear();
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
        let uses = |target: &&PartTarget| {
            let assign = job.assignments.get(&target.task);
            assign.is_some_and(|a| a.machine == target.machine && a.stop.is_none())
        };
        let targets = group.held(now.ms).iter().filter(|target| !uses(target));
        targets
            .filter_map(|target| self.capacity.slot(&target.machine))
            .collect()
    }

    pub(in crate::scheduler) fn hold_for(&mut self, now: Now, id: &GroupId) {
        if self.group_reservations.contains_key(id) {
            return;
        }
        let Some(need) = self.jobs.get(&id.job).map(|job| job.task_request) else {
            return;
        };
        let mut machines = Vec::new();
        for slot in self.held_slots(now, id) {
            machines.extend(self.capacity.get(slot).map(|room| room.id.clone()));
            self.capacity.reserve_for_incoming(slot, &need);
        }
        self.group_reservations.insert(id.clone(), machines);
    }

    /// A group that is being placed may use what is held for it.
    pub(in crate::scheduler) fn release_held(&mut self, id: &GroupId) {
        let Some(need) = self.jobs.get(&id.job).map(|job| job.task_request) else {
            return;
        };
        for machine in self.group_reservations.remove(id).into_iter().flatten() {
            // One that has gone took what was held along.
            if let Some(slot) = self.capacity.slot(&machine) {
                self.capacity.release(slot, &need);
            }
        }
    }

    /// What a group lacks, after room that is about to be free was held for it, all
    /// of it or none.
    pub(in crate::scheduler) fn group_left(
        &mut self,
        now: Now,
        id: &GroupId,
        tasks: &[u32],
        wanted: &PlacementRequest,
    ) -> Option<Unplaced> {
        let held: Vec<(u32, PartMachine)> = self.held_and_sound(now, id);
        let taken: Vec<Slot> = held.iter().map(|(_, part)| part.slot).collect();
        let zone = self.common_zone(&wanted.spec, &taken);
        let count = tasks.len().saturating_sub(held.len());
        let search = GroupSearch {
            id,
            wanted,
            count,
            zone: zone.as_deref(),
            taken: &taken,
        };
        if self.settings.start_slo_ms(&wanted.spec).is_some() {
            if let Some(rooms) = self.find_rooms(&search, SearchScope::Freeing) {
                for room in rooms {
                    self.capacity.hold(room.slot, &wanted.need);
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
    pub(in crate::scheduler) fn held_and_sound(
        &self,
        now: Now,
        id: &GroupId,
    ) -> Vec<(u32, PartMachine)> {
        let Some(group) = self.groups.group(id) else {
            return Vec::new();
        };
        let fresh_ms = self.fresh_ms();
        let sound = group.held(now.ms).iter().filter(|target| {
            let machine = self.fleet.get(&target.machine);
            machine.is_some_and(|m| m.accepts_tasks(now.ms, fresh_ms))
        });
        let rooms = sound.filter_map(|target| {
            let room = PartMachine {
                slot: self.capacity.slot(&target.machine)?,
                rank: 0.0,
                kept: false,
            };
            Some((target.task, room))
        });
        rooms.collect()
    }
}

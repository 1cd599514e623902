//! Room that is held for the next generation of a replica that spans machines.

use super::group_search::{PartRoom, Reach, Search};
use super::placing::Wanted;
use super::rounds::{GroupDemand, Unplaced};
use super::Scheduler;
use crate::msg::Now;
use crate::rooms::Slot;
use lilacfork_replicas::groups::GroupId;
use lilacfork_replicas::record::Target;

impl Scheduler {
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
    pub(super) fn release_held(&mut self, id: &GroupId) {
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
    pub(super) fn group_left(
        &mut self,
        now: Now,
        id: &GroupId,
        tasks: &[u32],
        wanted: &Wanted,
    ) -> Option<Unplaced> {
        let held: Vec<(u32, PartRoom)> = self.held_and_sound(now, id);
        let taken: Vec<Slot> = held.iter().map(|(_, part)| part.slot).collect();
        let zone = self.common_zone(&wanted.spec, &taken);
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
}

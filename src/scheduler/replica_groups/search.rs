//! The search for machines that hold all parts of a replica that spans machines.

use crate::capacity_index::{MachineCapacity, SearchConstraint, Slot, TaskDemand};
use crate::ids::MachineId;
use crate::placement::{placement_allowed, ZoneCounts};
use crate::scheduler::rounds::task_placement::PlacementRequest;
use crate::scheduler::Scheduler;
use crate::wire::users::JobSpec;
use lilacfork_replica_groups::registry::GroupId;
use std::rc::Rc;

/// Which room a part may have.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(in crate::scheduler) enum SearchScope {
    /// What is free.
    Free,
    /// That, and what is set aside for expected work.
    Kept,
    /// What is free, and what is about to be.
    Freeing,
}

/// A machine for a part.
#[derive(Clone, Copy, Debug)]
pub(in crate::scheduler) struct PartMachine {
    pub(in crate::scheduler) slot: Slot,
    pub(in crate::scheduler) rank: f64,
    /// What is kept there for expected work has to be given up.
    pub(in crate::scheduler) kept: bool,
}

/// What the parts of one group ask for.
pub(in crate::scheduler) struct GroupSearch<'a> {
    pub(in crate::scheduler) id: &'a GroupId,
    pub(in crate::scheduler) wanted: &'a PlacementRequest,
    /// How many machines.
    pub(in crate::scheduler) count: usize,
    /// Only in this zone.
    pub(in crate::scheduler) zone: Option<&'a str>,
    /// Machines of its other parts.
    pub(in crate::scheduler) taken: &'a [Slot],
}

impl Scheduler {
    /// So many different machines in one zone; those that rank best together.
    pub(in crate::scheduler) fn find_rooms(
        &self,
        search: &GroupSearch,
        reach: SearchScope,
    ) -> Option<Vec<PartMachine>> {
        let spec = &search.wanted.spec;
        let mut best: Option<(f64, Vec<PartMachine>)> = None;
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

    /// The zone in which the rest of a replica belongs that has these machines;
    /// `None`: any will do, since it is spread.
    pub(in crate::scheduler) fn common_zone(
        &self,
        spec: &JobSpec,
        slots: &[Slot],
    ) -> Option<Rc<str>> {
        let zone = &self.capacity.get(*slots.first()?)?.state.offer.zone;
        let there = |slot: &Slot| {
            let room = self.capacity.get(*slot);
            room.is_some_and(|room| room.state.offer.zone == *zone)
        };
        (!spec.spread && slots.iter().all(there)).then(|| zone.clone())
    }

    /// The zones that may hold all of it.
    pub(in crate::scheduler) fn group_zones(&self, search: &GroupSearch) -> Vec<Rc<str>> {
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
        search: &GroupSearch,
        zone: Option<&Rc<str>>,
        reach: SearchScope,
    ) -> Option<Vec<PartMachine>> {
        let mut taken = search.taken.to_vec();
        let mut zones = search.wanted.zones.clone();
        let mut rooms = Vec::new();
        for _ in 0..search.count {
            let room = self.part_room(search, zone.map(|z| &**z), &taken, &zones, reach)?;
            taken.push(room.slot);
            zones.add(&self.capacity.get(room.slot)?.state.offer.zone);
            rooms.push(room);
        }
        Some(rooms)
    }

    /// The best machine for one more part.
    pub(in crate::scheduler) fn part_room(
        &self,
        search: &GroupSearch,
        zone: Option<&str>,
        taken: &[Slot],
        zones: &ZoneCounts,
        reach: SearchScope,
    ) -> Option<PartMachine> {
        let PlacementRequest { spec, need, .. } = search.wanted;
        let group = self.groups.group(search.id)?;
        let failed_on = |machine: &MachineId| group.failures().failed_on(machine);
        let demand = TaskDemand {
            spec,
            need,
            zones,
            siblings: &search.wanted.siblings,
            failed_on: &failed_on,
            constraint: SearchConstraint {
                zone,
                excluded: taken,
            },
        };
        if let Some(best) = self.capacity.best(&demand) {
            return Some(PartMachine {
                slot: best.slot,
                rank: best.rank,
                kept: false,
            });
        }
        let in_zone =
            |room: &MachineCapacity| zone.is_none_or(|only| *room.state.offer.zone == *only);
        let stands = |slot: Slot, room: &MachineCapacity| {
            !taken.contains(&slot)
                && in_zone(room)
                && placement_allowed(spec, zones, &room.state.offer)
        };
        let with_kept = |room: &MachineCapacity| {
            let mut all = room.free();
            all.add(&room.forecast_reserved());
            all
        };
        let found = match reach {
            SearchScope::Free => None,
            SearchScope::Kept => self
                .capacity
                .with_forecast_reservation()
                .find(|(slot, room)| stands(*slot, room) && with_kept(room).covers(need)),
            SearchScope::Freeing => self
                .capacity
                .stopping_tasks()
                .find(|(slot, room)| stands(*slot, room) && room.free_after_stops().covers(need)),
        };
        found.map(|(slot, _)| PartMachine {
            slot,
            rank: 0.0,
            kept: reach == SearchScope::Kept,
        })
    }
}

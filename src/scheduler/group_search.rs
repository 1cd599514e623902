//! The search for machines that hold all parts of a replica that spans machines.

use super::placing::Wanted;
use super::Scheduler;
use crate::ids::MachineId;
use crate::placement::{may_stand, ZoneUse};
use crate::rooms::{Apart, Demand, Room, Slot};
use crate::wire::JobSpec;
use lilacfork_replicas::groups::GroupId;
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
    pub(super) kept: bool,
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

impl Scheduler {
    /// So many different machines in one zone; those that rank best together.
    pub(super) fn find_rooms(&self, search: &Search, reach: Reach) -> Option<Vec<PartRoom>> {
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

    /// The zone in which the rest of a replica belongs that has these machines;
    /// `None`: any will do, since it is spread.
    pub(super) fn common_zone(&self, spec: &JobSpec, slots: &[Slot]) -> Option<Rc<str>> {
        let zone = &self.rooms.get(*slots.first()?)?.state.offer.zone;
        let there = |slot: &Slot| {
            let room = self.rooms.get(*slot);
            room.is_some_and(|room| room.state.offer.zone == *zone)
        };
        (!spec.spread && slots.iter().all(there)).then(|| zone.clone())
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
}

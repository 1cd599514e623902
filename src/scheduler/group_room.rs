//! Room that is made or rented for a replica that spans machines: for all that it
//! lacks, as one round, or not at all.

use super::group_search::{PartRoom, Reach, Search};
use super::placing::Wanted;
use super::preempt::Candidate;
use super::renting::Rentals;
use super::rounds::{GroupDemand, Unplaced};
use super::Scheduler;
use crate::msg::Now;
use crate::placement::Resources;
use crate::rooms::Slot;
use crate::slackfit::Rung;
use std::rc::Rc;

/// What a zone gives a replica that other work makes way for.
struct MadeRoom {
    cost_s: f64,
    free: Vec<PartRoom>,
    candidates: Vec<Candidate>,
}

impl Scheduler {
    /// The zones that may hold all that a replica lacks.
    fn zones_for_group(&self, unplaced: &Unplaced, demand: &GroupDemand) -> Vec<Rc<str>> {
        let Some(wanted) = self.wanted_by(unplaced) else {
            return Vec::new();
        };
        self.group_zones(&Search {
            id: &demand.id,
            wanted: &wanted,
            count: unplaced.count as usize,
            zone: demand.zone.as_deref(),
            taken: &[],
        })
    }

    fn wanted_by(&self, unplaced: &Unplaced) -> Option<Wanted> {
        let job = self.jobs.get(&unplaced.spec.id)?;
        let mut wanted = Wanted::new(job, unplaced.deadline);
        wanted.zones = unplaced.zones.clone();
        Some(wanted)
    }

    /// Covers what a replica lacks by machines that are coming to one zone and, for
    /// the rest, by one rung. `false`: no single zone may hold it.
    pub(super) fn cover_group(
        &mut self,
        now: Now,
        unplaced: &Unplaced,
        demand: &GroupDemand,
        rentals: &mut Rentals,
    ) -> bool {
        let spec = &unplaced.spec;
        let need = spec.need();
        let zones = self.zones_for_group(unplaced, demand);
        if zones.is_empty() {
            return false;
        }
        self.count_scanned(rentals.coming.len() * zones.len());
        let covered = zones
            .iter()
            .find(|zone| rentals.coming.fitting(spec, &need, zone) >= unplaced.count);
        if let Some(zone) = covered {
            rentals.coming.take_apart(spec, &need, zone, unplaced.count);
            return true;
        }
        let rungs: Vec<Rung> = self
            .rungs(now, spec, &rentals.catalog)
            .into_iter()
            .filter(|rung| zones.contains(&rung.offer.zone))
            .collect();
        let rung = self.choose_rung(now, unplaced, &unplaced.zones, &rungs, &rentals.crowd);
        if let Some(rung) = rung {
            rent_group(&rung, unplaced, &need, rentals);
        }
        true
    }

    /// Stops less important work where that gives a replica all that it lacks in one
    /// zone; anything less is of no use to it.
    pub(super) fn preempt_for_group(
        &mut self,
        now: Now,
        waiting: &mut Unplaced,
        demand: &GroupDemand,
    ) {
        let Some(wanted) = self.wanted_by(waiting) else {
            return;
        };
        let held = self.held_and_sound(now, &demand.id);
        let taken: Vec<Slot> = held.iter().map(|(_, room)| room.slot).collect();
        let mut candidates = self.preemption_candidates(now, waiting);
        let mut best: Option<MadeRoom> = None;
        for zone in self.zones_for_group(waiting, demand) {
            let search = Search {
                id: &demand.id,
                wanted: &wanted,
                count: waiting.count as usize,
                zone: Some(&zone),
                taken: &taken,
            };
            let Some(made) = self.make_room_in(&search, &zone, &mut candidates) else {
                continue;
            };
            match &mut best {
                Some(least) if least.cost_s <= made.cost_s => candidates.extend(made.candidates),
                _ => {
                    let before = best.replace(made);
                    candidates.extend(before.into_iter().flat_map(|made| made.candidates));
                }
            }
        }
        let Some(made) = best else {
            return;
        };
        for room in made.free {
            self.rooms.hold(room.slot, &wanted.need);
        }
        for candidate in made.candidates {
            self.make_way(now, candidate.slot, candidate.offer, &waiting.spec);
        }
        self.refresh(now);
        waiting.count = 0;
    }

    /// Free rooms of a zone, and the cheapest machines that can make some. They are
    /// taken from the candidates.
    fn make_room_in(
        &self,
        search: &Search,
        zone: &Rc<str>,
        candidates: &mut Vec<Candidate>,
    ) -> Option<MadeRoom> {
        let mut taken = search.taken.to_vec();
        let mut free: Vec<PartRoom> = Vec::new();
        while free.len() < search.count {
            let zones = &search.wanted.zones;
            let Some(room) = self.part_room(search, Some(zone), &taken, zones, Reach::Free) else {
                break;
            };
            taken.push(room.slot);
            free.push(room);
        }
        let missing = search.count - free.len();
        let is_there = |candidate: &Candidate| {
            let room = self.rooms.get(candidate.slot);
            !taken.contains(&candidate.slot) && room.is_some_and(|r| r.state.offer.zone == *zone)
        };
        let cost = |candidate: &Candidate| candidate.offer.as_ref().map_or(0.0, |o| o.cost_s);
        let (mut here, elsewhere): (Vec<_>, Vec<_>) =
            std::mem::take(candidates).into_iter().partition(is_there);
        *candidates = elsewhere;
        if here.len() < missing {
            candidates.extend(here);
            return None;
        }
        here.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
        candidates.extend(here.split_off(missing));
        Some(MadeRoom {
            cost_s: here.iter().map(cost).sum(),
            free,
            candidates: here,
        })
    }
}

/// Orders what isn't coming to the rung's zone yet.
fn rent_group(rung: &Rung, unplaced: &Unplaced, need: &Resources, rentals: &mut Rentals) {
    let zone = rung.offer.zone.clone();
    let there = rentals
        .coming
        .take_apart(&unplaced.spec, need, &zone, unplaced.count);
    let rented = unplaced.count - there;
    let machine_type = rentals.catalog.find(&rung.offer.machine_type);
    let mut free = machine_type.map_or(Resources::default(), |t| t.room());
    free.take(need);
    rentals.coming.add(&rung.offer, free, rented);
    *rentals.crowd.entry(zone).or_insert(0) += rented;
    *rentals.wanted.entry(rung.offer.clone()).or_insert(0) += rented;
}

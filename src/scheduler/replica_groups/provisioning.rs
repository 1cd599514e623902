//! Room that is made or rented for a replica that spans machines: for all that it
//! lacks, as one round, or not at all.

use crate::capacity_index::Slot;
use crate::messages::Now;
use crate::placement::Resources;
use crate::scheduler::displacement::preemption::PreemptionCandidate;
use crate::scheduler::provisioning::scaling::ProvisionPlan;
use crate::scheduler::replica_groups::search::{GroupSearch, PartMachine, SearchScope};
use crate::scheduler::rounds::round::{GroupDemand, Unplaced};
use crate::scheduler::rounds::task_placement::PlacementRequest;
use crate::scheduler::Scheduler;
use crate::slackfit::Rung;
use std::rc::Rc;

/// What a zone gives a replica that other work makes way for.
struct ReclaimedCapacity {
    cost_s: f64,
    free: Vec<PartMachine>,
    candidates: Vec<PreemptionCandidate>,
}

impl Scheduler {
    /// The zones that may hold all that a replica lacks.
    fn zones_for_group(&self, unplaced: &Unplaced, demand: &GroupDemand) -> Vec<Rc<str>> {
        let Some(wanted) = self.wanted_by(unplaced) else {
            return Vec::new();
        };
        self.group_zones(&GroupSearch {
            id: &demand.id,
            wanted: &wanted,
            count: unplaced.count as usize,
            zone: demand.zone.as_deref(),
            taken: &[],
        })
    }

    fn wanted_by(&self, unplaced: &Unplaced) -> Option<PlacementRequest> {
        let job = self.jobs.get(&unplaced.spec.id)?;
        let mut wanted = PlacementRequest::new(job, unplaced.deadline);
        wanted.zones = unplaced.zones.clone();
        Some(wanted)
    }

    /// Covers what a replica lacks by machines that are coming to one zone and, for
    /// the rest, by one rung. `false`: no single zone may hold it.
    pub(in crate::scheduler) fn cover_group(
        &mut self,
        now: Now,
        unplaced: &Unplaced,
        demand: &GroupDemand,
        rentals: &mut ProvisionPlan,
    ) -> bool {
        let spec = &unplaced.spec;
        let need = spec.task_request();
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
    pub(in crate::scheduler) fn preempt_for_group(
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
        let mut best: Option<ReclaimedCapacity> = None;
        for zone in self.zones_for_group(waiting, demand) {
            let search = GroupSearch {
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
            self.capacity.hold(room.slot, &wanted.need);
        }
        for candidate in made.candidates {
            self.carry_out_preemption(now, candidate.slot, candidate.offer, &waiting.spec);
        }
        self.refresh(now);
        waiting.count = 0;
    }

    /// Free rooms of a zone, and the cheapest machines that can make some. They are
    /// taken from the candidates.
    fn make_room_in(
        &self,
        search: &GroupSearch,
        zone: &Rc<str>,
        candidates: &mut Vec<PreemptionCandidate>,
    ) -> Option<ReclaimedCapacity> {
        let mut taken = search.taken.to_vec();
        let mut free: Vec<PartMachine> = Vec::new();
        while free.len() < search.count {
            let zones = &search.wanted.zones;
            let Some(room) = self.part_room(search, Some(zone), &taken, zones, SearchScope::Free)
            else {
                break;
            };
            taken.push(room.slot);
            free.push(room);
        }
        let missing = search.count - free.len();
        let is_there = |candidate: &PreemptionCandidate| {
            let room = self.capacity.get(candidate.slot);
            !taken.contains(&candidate.slot) && room.is_some_and(|r| r.state.offer.zone == *zone)
        };
        let cost =
            |candidate: &PreemptionCandidate| candidate.offer.as_ref().map_or(0.0, |o| o.cost_s);
        let (mut here, elsewhere): (Vec<_>, Vec<_>) =
            std::mem::take(candidates).into_iter().partition(is_there);
        *candidates = elsewhere;
        if here.len() < missing {
            candidates.extend(here);
            return None;
        }
        here.sort_by(|a, b| cost(a).total_cmp(&cost(b)));
        candidates.extend(here.split_off(missing));
        Some(ReclaimedCapacity {
            cost_s: here.iter().map(cost).sum(),
            free,
            candidates: here,
        })
    }
}

/// Orders what isn't coming to the rung's zone yet.
fn rent_group(rung: &Rung, unplaced: &Unplaced, need: &Resources, rentals: &mut ProvisionPlan) {
    let zone = rung.offer.zone.clone();
    let there = rentals
        .coming
        .take_apart(&unplaced.spec, need, &zone, unplaced.count);
    let rented = unplaced.count - there;
    let machine_type = rentals.catalog.find(&rung.offer.machine_type);
    let mut free = machine_type.map_or(Resources::default(), |t| t.capacity());
    free.subtract(need);
    rentals.coming.add(&rung.offer, free, rented);
    *rentals.crowd.entry(zone).or_insert(0) += rented;
    *rentals.wanted.entry(rung.offer.clone()).or_insert(0) += rented;
}

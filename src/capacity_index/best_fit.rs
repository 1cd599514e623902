//! Best fit: the machine on which a task ranks best. The rank is that of [`FitScore`];
//! the index is ordered by the part of it that is the same for all tasks, so that there
//! is a lower bound of the rank for machines that haven't been examined yet.

use super::levels::FreeLevels;
use super::{CapacityIndex, MachineCapacity, OfferGroup, Slot};
use crate::ids::MachineId;
use crate::placement::{offer_allowed, FitScore, Resources, ZoneCounts};
use crate::wire::users::{JobKind, JobSpec};
use std::collections::{BTreeMap, BTreeSet};

/// Ranks that differ by less are equal.
const RANK_TOLERANCE: f64 = 1e-9;
/// Added where a task of the same job has failed.
const FAILED_BEFORE_PENALTY: f64 = 10.0;

/// What one task of a job asks for.
#[derive(Clone, Copy)]
pub struct TaskDemand<'a> {
    /// The job.
    pub spec: &'a JobSpec,
    /// The resources that the task takes.
    pub resources: &'a Resources,
    /// The zones of the job's tasks.
    pub zones: &'a ZoneCounts,
    /// For a service: the number of its replicas on each machine.
    pub siblings: &'a BTreeMap<MachineId, u32>,
    /// Whether a task of the job has failed on a machine.
    pub failed_on: &'a dyn Fn(&MachineId) -> bool,
    /// Which machines are excluded.
    pub constraint: SearchConstraint<'a>,
}

/// Which machines are excluded for a part of a replica that spans machines.
#[derive(Clone, Copy, Default, Debug)]
pub struct SearchConstraint<'a> {
    /// All but those in this zone.
    pub zone: Option<&'a str>,
    /// Those of the replica's other parts.
    pub excluded: &'a [Slot],
}

impl SearchConstraint<'_> {
    fn allows_zone(&self, zone: &str) -> bool {
        self.zone.is_none_or(|only| only == zone)
    }
}

impl TaskDemand<'_> {
    fn allows_zone(&self, zone: &str) -> bool {
        self.zones.allows(self.spec, zone) && self.constraint.allows_zone(zone)
    }

    /// The penalty for replicas of the same service in a zone; tasks that end fill
    /// machines up instead.
    fn zone_crowding(&self, zone: &str) -> f64 {
        match self.spec.kind {
            JobKind::Service => FitScore::zone_crowding(self.zones.count(zone)),
            _ => 0.0,
        }
    }

    /// The rank of a machine; `None`: the task doesn't fit.
    fn rank(&self, machine: &MachineCapacity) -> Option<f64> {
        let free_share = share_left(machine.free(), self.resources, &machine.state.total)?;
        let fit = FitScore {
            image_cached: machine.has_image(&self.spec.image),
            image_pulling: machine.state.pulling_images.contains(&self.spec.image),
            concurrent_pulls: machine.concurrent_pulls(),
            spot: machine.state.offer.spot,
            free_share,
            siblings: self.siblings.get(&machine.id).copied().unwrap_or(0),
        };
        let failure_penalty = if (self.failed_on)(&machine.id) {
            FAILED_BEFORE_PENALTY
        } else {
            0.0
        };
        Some(fit.rank() + failure_penalty + self.zone_crowding(&machine.state.offer.zone))
    }
}

/// The best machine for a task.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct BestFit {
    /// The machine.
    pub slot: Slot,
    /// Its rank; smaller is better.
    pub rank: f64,
}

/// A search among machines of one group that are alike in their images.
struct Search<'a> {
    demand: &'a TaskDemand<'a>,
    /// The total capacity of a machine of the group.
    total: Resources,
    /// The share of a machine that the task takes.
    need_share: f64,
    /// The rank of a machine on which the task would leave nothing free: the lower
    /// bound for all of them.
    base_rank: f64,
    best: Option<BestFit>,
}

impl Search<'_> {
    fn improves(&self, rank: f64) -> bool {
        self.best
            .is_none_or(|best| rank < best.rank - RANK_TOLERANCE)
    }
}

impl CapacityIndex {
    /// The rank of a machine for a task; `None`: the task doesn't fit or isn't allowed
    /// there.
    pub fn rank(&self, slot: Slot, demand: &TaskDemand) -> Option<f64> {
        let machine = self.get(slot)?;
        let offer = &machine.state.offer;
        let allowed = machine.index_key.is_some()
            && self.is_fresh(machine)
            && offer_allowed(demand.spec, offer)
            && demand.allows_zone(&offer.zone)
            && !demand.constraint.excluded.contains(&slot);
        allowed.then(|| demand.rank(machine)).flatten()
    }

    /// The best machine for one more task of a job.
    pub fn best(&self, demand: &TaskDemand) -> Option<BestFit> {
        let mut best = None;
        for group in &self.groups {
            self.examined.add(1);
            if offer_allowed(demand.spec, &group.offer) && demand.allows_zone(&group.offer.zone) {
                best = self.best_of_group(group, demand, best);
            }
        }
        best
    }

    /// The best machine of a group, or the best one so far.
    fn best_of_group(
        &self,
        group: &OfferGroup,
        demand: &TaskDemand,
        best: Option<BestFit>,
    ) -> Option<BestFit> {
        let image = &demand.spec.image;
        let crowding = demand.zone_crowding(&group.offer.zone);
        let cached = FitScore {
            image_cached: true,
            image_pulling: false,
            concurrent_pulls: 0,
            spot: group.offer.spot,
            free_share: 0.0,
            siblings: 0,
        };
        let mut search = Search {
            demand,
            total: group.total,
            need_share: demand.resources.dominant_share(&group.total),
            base_rank: cached.rank() + crowding,
            best,
        };
        if let Some(levels) = group.with_image.get(image) {
            self.search_levels(levels, &mut search);
        }
        if let Some(levels) = group.with_pulling_image.get(image) {
            let pulling = FitScore {
                image_cached: false,
                image_pulling: true,
                ..cached
            };
            search.base_rank = pulling.rank() + crowding;
            self.search_levels(levels, &mut search);
        }
        for (pulls, levels) in &group.by_concurrent_pulls {
            let cold = FitScore {
                image_cached: false,
                concurrent_pulls: *pulls,
                ..cached
            };
            search.base_rank = cold.rank() + crowding;
            if search.improves(search.base_rank) {
                self.search_levels(levels, &mut search);
            }
        }
        search.best
    }

    fn search_levels(&self, levels: &FreeLevels, search: &mut Search) {
        let (need, total) = (search.demand.resources, search.total);
        for (level, by_free) in levels.for_task(need, &total) {
            self.examined.add(1);
            if !search.improves(search.base_rank + level.min_gpus_left(need, &total)) {
                return;
            }
            let min_left = level.min_share_left(need, &total);
            if !level.may_fit(need, &total) || !search.improves(search.base_rank + min_left) {
                continue;
            }
            for (amounts, slots) in by_free {
                self.examined.add(1);
                if !search.improves(search.base_rank + amounts.share() - search.need_share) {
                    break;
                }
                if let Some(left) = share_left(amounts.free(), need, &total) {
                    self.search_equally_free(slots, search.base_rank + left, search);
                }
            }
        }
    }

    /// Examines machines with the same free amounts, until one ranks as good as any of
    /// them can.
    fn search_equally_free(&self, slots: &BTreeSet<Slot>, min_rank: f64, search: &mut Search) {
        for slot in slots {
            if !search.improves(min_rank) {
                return;
            }
            self.examined.add(1);
            if search.demand.constraint.excluded.contains(slot) {
                continue;
            }
            let Some(machine) = self.get(*slot).filter(|machine| self.is_fresh(machine)) else {
                continue;
            };
            let rank = search.demand.rank(machine);
            if let Some(rank) = rank.filter(|rank| search.improves(*rank)) {
                search.best = Some(BestFit { slot: *slot, rank });
            }
        }
    }
}

/// The share of a machine that a task leaves free; `None`: the task doesn't fit.
fn share_left(mut free: Resources, need: &Resources, total: &Resources) -> Option<f64> {
    if !free.covers(need) {
        return None;
    }
    free.subtract(need);
    Some(free.dominant_share(total))
}

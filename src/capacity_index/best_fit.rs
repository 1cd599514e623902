//! Best-fit search: finds the machine with the best rank for a task. The rank is computed
//! by [`FitScore`]. The index is ordered by the part of the rank that is the same for all
//! tasks, which gives a lower bound for the ranks of machines not yet examined.

use super::levels::FreeLevels;
use super::{CapacityIndex, MachineCapacity, OfferGroup, Slot};
use crate::cloud::Offer;
use crate::ids::MachineId;
use crate::placement::{offer_allowed, FitScore, Resources, ZoneCounts};
use crate::wire::users::{JobKind, JobSpec};
use std::collections::{BTreeMap, BTreeSet};

/// Ranks that differ by less than this are treated as equal.
const RANK_TOLERANCE: f64 = 1e-9;
/// Added to the rank of a machine on which a task of the same job has failed.
const FAILED_BEFORE_PENALTY: f64 = 10.0;

/// The requirements of one task of a job.
#[derive(Clone, Copy)]
pub struct TaskDemand<'a> {
    /// The specification of the task's job.
    pub spec: &'a JobSpec,
    /// The resources that the task requests.
    pub resources: &'a Resources,
    /// The number of the job's tasks in each zone.
    pub zones: &'a ZoneCounts,
    /// The number of the job's replicas on each machine, for services only.
    pub siblings: &'a BTreeMap<MachineId, u32>,
    /// Returns whether a task of the job has failed on a machine.
    pub failed_on: &'a dyn Fn(&MachineId) -> bool,
    /// Restrictions for a part of a replica that spans machines.
    pub constraint: SearchConstraint<'a>,
}

/// Restricts the machines that a search returns for a part of a replica that spans
/// machines.
#[derive(Clone, Copy, Default, Debug)]
pub struct SearchConstraint<'a> {
    /// The zone to search; `None` allows all zones.
    pub zone: Option<&'a str>,
    /// The machines of the replica's other parts, which are not searched.
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

    /// Returns whether the task may run on a machine with this offer, whatever its capacity.
    pub fn allows(&self, slot: Slot, offer: &Offer) -> bool {
        offer_allowed(self.spec, offer)
            && self.allows_zone(&offer.zone)
            && !self.constraint.excluded.contains(&slot)
    }

    /// Returns the penalty for replicas of the same service in a zone. It is 0 for tasks
    /// that run to completion, which are packed onto few machines instead.
    fn zone_penalty(&self, zone: &str) -> f64 {
        match self.spec.kind {
            JobKind::Service => FitScore::zone_sibling_penalty(self.zones.count(zone)),
            _ => 0.0,
        }
    }

    /// Returns the rank of a machine, or `None` if the task doesn't fit.
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
        Some(fit.rank() + failure_penalty + self.zone_penalty(&machine.state.offer.zone))
    }
}

/// The result of a best-fit search.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct BestFit {
    /// The position of the best machine.
    pub slot: Slot,
    /// The rank of the machine for the task; smaller is better.
    pub rank: f64,
}

/// A search among the machines of one group that are in the same state regarding the
/// task's image.
struct Search<'a> {
    demand: &'a TaskDemand<'a>,
    /// The total capacity of a machine of the group.
    total: Resources,
    /// The share of a machine that the task takes.
    need_share: f64,
    /// The rank of a machine on which the task would leave nothing free, which is a lower
    /// bound for the ranks of all machines searched.
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
    /// Returns the rank of a machine for a task, or `None` if the task doesn't fit or isn't
    /// allowed on the machine.
    pub fn rank(&self, slot: Slot, demand: &TaskDemand) -> Option<f64> {
        let machine = self.get(slot)?;
        let offer = &machine.state.offer;
        let allowed = machine.index_key.is_some()
            && self.has_recent_heartbeat(machine)
            && demand.allows(slot, offer);
        allowed.then(|| demand.rank(machine)).flatten()
    }

    /// Returns the best machine for one more task of a job.
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

    /// Returns the best machine of the group, or `best` if none of them improves on it.
    fn best_of_group(
        &self,
        group: &OfferGroup,
        demand: &TaskDemand,
        best: Option<BestFit>,
    ) -> Option<BestFit> {
        let image = &demand.spec.image;
        let zone_penalty = demand.zone_penalty(&group.offer.zone);
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
            base_rank: cached.rank() + zone_penalty,
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
            search.base_rank = pulling.rank() + zone_penalty;
            self.search_levels(levels, &mut search);
        }
        for (pulls, levels) in &group.by_concurrent_pulls {
            let cold = FitScore {
                image_cached: false,
                concurrent_pulls: *pulls,
                ..cached
            };
            search.base_rank = cold.rank() + zone_penalty;
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

    /// Examines machines with the same free amounts. Stops as soon as a machine has the
    /// best rank that any of them can have.
    fn search_equally_free(&self, slots: &BTreeSet<Slot>, min_rank: f64, search: &mut Search) {
        for slot in slots {
            if !search.improves(min_rank) {
                return;
            }
            self.examined.add(1);
            if search.demand.constraint.excluded.contains(slot) {
                continue;
            }
            let Some(machine) = self
                .get(*slot)
                .filter(|machine| self.has_recent_heartbeat(machine))
            else {
                continue;
            };
            let rank = search.demand.rank(machine);
            if let Some(rank) = rank.filter(|rank| search.improves(*rank)) {
                search.best = Some(BestFit { slot: *slot, rank });
            }
        }
    }
}

/// Returns the share of a machine that a task leaves free, or `None` if the task doesn't
/// fit.
fn share_left(mut free: Resources, need: &Resources, total: &Resources) -> Option<f64> {
    if !free.covers(need) {
        return None;
    }
    free.subtract(need);
    Some(free.dominant_share(total))
}

//! Where a task fits best. The rank is that of [`Fit`]; what is filed in order is
//! the part of it that is the same for all tasks, so that a lower bound of the
//! rank is known for what hasn't been looked at yet.

use super::levels::{FreeAmounts, FreeLevels};
use super::{count, CapacityIndex, MachineCapacity, OfferGroup, Slot};
use crate::ids::MachineId;
use crate::placement::{offer_allowed, FitScore, Resources, ZoneCounts};
use crate::wire::users::{JobKind, JobSpec};
use std::collections::BTreeMap;

/// Ranks that differ by less are equal.
const RANK_TOLERANCE: f64 = 1e-9;
/// Added where a task of the same job has failed.
const FAILED_BEFORE_PENALTY: f64 = 10.0;

/// What one task of a job asks for.
#[derive(Clone, Copy)]
pub struct TaskDemand<'a> {
    /// The job.
    pub spec: &'a JobSpec,
    /// What the task takes.
    pub need: &'a Resources,
    /// Where the job's tasks are.
    pub zones: &'a ZoneCounts,
    /// How many of a service's replicas are on each machine.
    pub siblings: &'a BTreeMap<MachineId, u32>,
    /// Whether a task of the job has failed on a machine.
    pub failed_on: &'a dyn Fn(&MachineId) -> bool,
    /// Which rooms are out of the question.
    pub constraint: SearchConstraint<'a>,
}

/// Which rooms are out of the question for a part of a replica that spans machines.
#[derive(Clone, Copy, Default, Debug)]
pub struct SearchConstraint<'a> {
    /// All but those of this zone.
    pub zone: Option<&'a str>,
    /// Those of the replica's other parts.
    pub excluded: &'a [Slot],
}

impl SearchConstraint<'_> {
    fn allows_zone(&self, zone: &str) -> bool {
        self.zone.is_none_or(|only| only == zone)
    }
}

/// The best room for a task.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct BestFit {
    /// The machine.
    pub slot: Slot,
    /// Its rank; smaller is better.
    pub rank: f64,
}

/// The part of a rank that doesn't depend on the room, and the best one so far.
struct Search<'a> {
    demand: &'a TaskDemand<'a>,
    /// The need as a share of a machine of the group.
    need_share: f64,
    /// The rank of a room that leaves nothing free.
    base: f64,
    best: Option<BestFit>,
}

impl CapacityIndex {
    /// What a room is worth to a task; `None`: it doesn't hold it.
    pub fn rank(&self, slot: Slot, demand: &TaskDemand) -> Option<f64> {
        let room = self.get(slot)?;
        let allowed = room.index_key.is_some()
            && self.is_fresh(room)
            && offer_allowed(demand.spec, &room.state.offer)
            && demand.zones.allows(demand.spec, &room.state.offer.zone)
            && demand.constraint.allows_zone(&room.state.offer.zone)
            && !demand.constraint.excluded.contains(&slot);
        allowed.then(|| rank(room, demand)).flatten()
    }

    /// The best room for one more task of a job.
    pub fn best(&self, demand: &TaskDemand) -> Option<BestFit> {
        let mut best = None;
        for group in &self.groups {
            count(&self.examined, 1);
            let (spec, offer) = (demand.spec, &group.offer);
            let zone_allowed = demand.zones.allows(spec, &offer.zone)
                && demand.constraint.allows_zone(&offer.zone);
            if !offer_allowed(spec, offer) || !zone_allowed {
                continue;
            }
            let fit = FitScore {
                image_cached: true,
                image_pulling: false,
                concurrent_pulls: 0,
                spot: offer.spot,
                free_share: 0.0,
                siblings: 0,
            };
            let mut search = Search {
                demand,
                need_share: demand.need.dominant_share(&group.whole),
                base: 0.0,
                best,
            };
            let crowded = crowded(demand, &offer.zone);
            if let Some(levels) = group.with_image.get(&spec.image) {
                search.base = fit.rank() + crowded;
                self.scan(group, levels, &mut search);
            }
            if let Some(levels) = group.with_pulling_image.get(&spec.image) {
                let coming = FitScore {
                    image_cached: false,
                    image_pulling: true,
                    ..fit
                };
                search.base = coming.rank() + crowded;
                self.scan(group, levels, &mut search);
            }
            for (fetches, levels) in &group.by_concurrent_pulls {
                let cold = FitScore {
                    image_cached: false,
                    concurrent_pulls: *fetches,
                    ..fit
                };
                search.base = cold.rank() + crowded;
                if search.improves(search.base) {
                    self.scan(group, levels, &mut search);
                }
            }
            best = search.best;
        }
        best
    }

    fn scan(&self, group: &OfferGroup, levels: &FreeLevels, search: &mut Search) {
        let need = search.demand.need;
        for (level, by_free) in levels.for_task(need, &group.whole) {
            count(&self.examined, 1);
            if !search.improves(search.base + level.gpus_left(need, &group.whole)) {
                return;
            }
            let least_left = level.least_left(need, &group.whole);
            if !level.may_hold(need, &group.whole) || !search.improves(search.base + least_left) {
                continue;
            }
            for (amounts, rooms) in by_free {
                count(&self.examined, 1);
                if !search.improves(search.base + amounts.share() - search.need_share) {
                    break;
                }
                let Some(left) = left_of(amounts, need, &group.whole) else {
                    continue;
                };
                self.scan_equal(rooms.iter(), search.base + left, search);
            }
        }
    }

    /// Looks at rooms with the same free until one is worth as much as any of them
    /// can be.
    fn scan_equal<'a>(
        &self,
        rooms: impl Iterator<Item = &'a Slot>,
        least: f64,
        search: &mut Search,
    ) {
        for slot in rooms {
            if !search.improves(least) {
                return;
            }
            count(&self.examined, 1);
            if search.demand.constraint.excluded.contains(slot) {
                continue;
            }
            let Some(room) = self.get(*slot).filter(|room| self.is_fresh(room)) else {
                continue;
            };
            if let Some(rank) = rank(room, search.demand).filter(|rank| search.improves(*rank)) {
                search.best = Some(BestFit { slot: *slot, rank });
            }
        }
    }

    /// The fullest machine for expected work: one with its image before all that
    /// have none. Spot machines are not kept for anything.
    pub fn fullest(&self, spec: &JobSpec, need: &Resources) -> Option<(Slot, bool)> {
        let groups = || {
            let all = self.groups.iter();
            all.filter(|g| !g.offer.spot && offer_allowed(spec, &g.offer))
        };
        let mut best: Option<(f64, Slot)> = None;
        for group in groups() {
            if let Some(levels) = group.with_image.get(&spec.image) {
                self.fullest_of(group, levels, need, &mut best);
            }
        }
        if let Some((_, slot)) = best {
            return Some((slot, true));
        }
        for group in groups() {
            for levels in group.by_concurrent_pulls.values() {
                self.fullest_of(group, levels, need, &mut best);
            }
        }
        best.map(|(_, slot)| (slot, false))
    }

    fn fullest_of(
        &self,
        group: &OfferGroup,
        levels: &FreeLevels,
        need: &Resources,
        best: &mut Option<(f64, Slot)>,
    ) {
        for (level, by_free) in levels.for_task(need, &group.whole) {
            count(&self.examined, 1);
            let nothing = Resources::default();
            let least_free = level.gpus_left(&nothing, &group.whole);
            if best.is_some_and(|(share, _)| least_free >= share) {
                return;
            }
            if !level.may_hold(need, &group.whole) {
                continue;
            }
            for (amounts, rooms) in by_free {
                count(&self.examined, 1);
                if best.is_some_and(|(share, _)| amounts.share() >= share) {
                    break;
                }
                if let Some(slot) = self.first_fresh(amounts, rooms.iter(), need, &|_, _| true) {
                    *best = Some((amounts.share(), slot));
                    break;
                }
            }
        }
    }

    /// The first room with this free that is fresh, holds the task and is accepted.
    fn first_fresh<'a>(
        &self,
        amounts: &FreeAmounts,
        mut rooms: impl Iterator<Item = &'a Slot>,
        need: &Resources,
        accept: &impl Fn(Slot, &MachineCapacity) -> bool,
    ) -> Option<Slot> {
        if !amounts.free().covers(need) {
            return None;
        }
        let found = rooms.find(|slot| {
            count(&self.examined, 1);
            let fresh = self.get(**slot).filter(|room| self.is_fresh(room));
            fresh.is_some_and(|room| accept(**slot, room))
        });
        found.copied()
    }

    /// The first machine with the image that could hold a task like this and is
    /// accepted.
    pub fn first_with_image(
        &self,
        spec: &JobSpec,
        need: &Resources,
        zones: &ZoneCounts,
        accept: impl Fn(Slot, &MachineCapacity) -> bool,
    ) -> Option<Slot> {
        let allowed = self.allowed(spec, zones);
        let levels = allowed.filter_map(|g| Some((g, g.with_image.get(&spec.image)?)));
        self.first_of(levels, need, &accept)
    }

    /// For each group that the job allows, the first machine that could hold a task
    /// like this and is accepted, of those that fetch least.
    pub fn first_of_groups<'a>(
        &'a self,
        spec: &'a JobSpec,
        need: &'a Resources,
        zones: &'a ZoneCounts,
        accept: impl Fn(Slot, &MachineCapacity) -> bool + 'a,
    ) -> impl Iterator<Item = Slot> + 'a {
        self.allowed(spec, zones).filter_map(move |group| {
            let levels = group
                .by_concurrent_pulls
                .values()
                .map(|levels| (group, levels));
            self.first_of(levels, need, &accept)
        })
    }

    fn allowed<'a>(
        &'a self,
        spec: &'a JobSpec,
        zones: &'a ZoneCounts,
    ) -> impl Iterator<Item = &'a OfferGroup> {
        let allowed =
            |g: &&OfferGroup| offer_allowed(spec, &g.offer) && zones.allows(spec, &g.offer.zone);
        self.groups.iter().filter(allowed)
    }

    fn first_of<'a>(
        &self,
        groups: impl Iterator<Item = (&'a OfferGroup, &'a FreeLevels)>,
        need: &Resources,
        accept: &impl Fn(Slot, &MachineCapacity) -> bool,
    ) -> Option<Slot> {
        for (group, levels) in groups {
            for (level, by_free) in levels.for_task(need, &group.whole) {
                count(&self.examined, 1);
                if !level.may_hold(need, &group.whole) {
                    continue;
                }
                for (amounts, rooms) in by_free {
                    count(&self.examined, 1);
                    let found = self.first_fresh(amounts, rooms.iter(), need, accept);
                    if found.is_some() {
                        return found;
                    }
                }
            }
        }
        None
    }

    /// Machines with the image, at most so many of each group that the job allows.
    pub fn with_image<'a>(
        &'a self,
        spec: &'a JobSpec,
        zones: &'a ZoneCounts,
        most: usize,
    ) -> impl Iterator<Item = (Slot, &'a MachineCapacity)> {
        let allowed = self.allowed(spec, zones);
        let levels = allowed.filter_map(|group| group.with_image.get(&spec.image));
        let rooms = levels.flat_map(move |levels| levels.rooms().take(most));
        self.accepting_tasks(rooms)
    }

    /// Machines that run something less important, at most so many of each group
    /// that the job allows.
    pub fn stoppable<'a>(
        &'a self,
        spec: &'a JobSpec,
        most: usize,
    ) -> impl Iterator<Item = (Slot, &'a MachineCapacity)> {
        let allowed = self.groups.iter().filter(|g| offer_allowed(spec, &g.offer));
        let rooms = allowed.flat_map(move |group| {
            let less = group.stoppable.iter().rev();
            let less = less.take_while(|(priority, _)| **priority > spec.priority);
            less.flat_map(|(_, rooms)| rooms.iter()).take(most).copied()
        });
        self.accepting_tasks(rooms)
    }

    /// All machines that hold a task like this now.
    pub fn holding<'a>(
        &'a self,
        spec: &'a JobSpec,
        need: &'a Resources,
    ) -> impl Iterator<Item = (Slot, &'a MachineCapacity)> {
        let allowed = self.groups.iter().filter(|g| offer_allowed(spec, &g.offer));
        let rooms = allowed.flat_map(move |group| {
            let lists = group.by_concurrent_pulls.values();
            let levels = lists.flat_map(move |levels| levels.for_task(need, &group.whole));
            let fitting = levels.filter(|(level, _)| level.may_hold(need, &group.whole));
            let rooms = fitting.flat_map(|(_, by_free)| by_free.values());
            rooms.flat_map(|rooms| rooms.iter().copied())
        });
        self.accepting_tasks(rooms)
            .filter(|(_, room)| room.free().covers(need))
    }
}

/// The share of a machine that a task leaves free in such a room; `None`: it isn't
/// held.
fn left_of(amounts: &FreeAmounts, need: &Resources, whole: &Resources) -> Option<f64> {
    let mut left = amounts.free();
    if !left.covers(need) {
        return None;
    }
    left.subtract(need);
    Some(left.dominant_share(whole))
}

impl Search<'_> {
    fn improves(&self, rank: f64) -> bool {
        self.best
            .is_none_or(|best| rank < best.rank - RANK_TOLERANCE)
    }
}

/// Replicas are kept apart; tasks that end soon fill machines up.
fn crowded(demand: &TaskDemand, zone: &str) -> f64 {
    match demand.spec.kind {
        JobKind::Service => FitScore::zone_crowding(demand.zones.count(zone)),
        _ => 0.0,
    }
}

fn rank(room: &MachineCapacity, demand: &TaskDemand) -> Option<f64> {
    let mut left = room.free();
    if !left.covers(demand.need) {
        return None;
    }
    left.subtract(demand.need);
    let fit = FitScore {
        image_cached: room.has_image(&demand.spec.image),
        image_pulling: room.state.pulling_images.contains(&demand.spec.image),
        concurrent_pulls: room.concurrent_pulls(),
        spot: room.state.offer.spot,
        free_share: left.dominant_share(&room.state.total),
        siblings: demand.siblings.get(&room.id).copied().unwrap_or(0),
    };
    let avoided = if (demand.failed_on)(&room.id) {
        FAILED_BEFORE_PENALTY
    } else {
        0.0
    };
    Some(fit.rank() + avoided + crowded(demand, &room.state.offer.zone))
}

//! Orders machines by their free capacity, so that a search begins with the fullest
//! machines that could fit a task and ends as soon as no better machine can follow.
//!
//! Each free amount is rounded down to a step of the machine's total. Machines with the
//! same three steps share a [`FreeLevel`]. Within a level, machines with the same amounts
//! share a [`FreeAmounts`]. Tasks come in few sizes, so there are few distinct free
//! amounts, and examining an amount once covers all machines that have it.

use super::Slot;
use crate::placement::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// The number of steps between nothing free and everything free.
const STEPS: f64 = 16.0;
/// Compensates for sums of decimals that are slightly too small because of rounding.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// Amounts are compared as integer multiples of 1/1,000,000, so that rounding errors don't
/// make equal sums differ.
const FIXED_POINT_SCALE: f64 = 1e6;

/// Free amounts, in steps of the machine's total, rounded down.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct FreeLevel {
    gpus: u8,
    cpus: u8,
    memory: u8,
}

/// The free steps of one resource, and the share of that resource that a task requests.
struct LevelDemand {
    steps: f64,
    need_share: f64,
}

fn steps(free: f64, total: f64) -> u8 {
    if total <= 0.0 {
        return 0;
    }
    (free / total * STEPS + ROUNDING_TOLERANCE).clamp(0.0, STEPS) as u8
}

fn share(amount: f64, total: f64) -> f64 {
    if total > 0.0 {
        amount / total
    } else {
        0.0
    }
}

fn to_fixed_point(amount: f64) -> u64 {
    (amount.max(0.0) * FIXED_POINT_SCALE).round() as u64
}

impl FreeLevel {
    fn of(free: &Resources, total: &Resources) -> FreeLevel {
        FreeLevel {
            gpus: steps(free.gpus, total.gpus),
            cpus: steps(free.cpus, total.cpus),
            memory: steps(free.memory_gb, total.memory_gb),
        }
    }

    /// Returns the free steps and the requested share of each resource.
    fn demands(&self, need: &Resources, total: &Resources) -> [LevelDemand; 3] {
        let demand = |steps: u8, need: f64, total: f64| LevelDemand {
            steps: f64::from(steps),
            need_share: share(need, total),
        };
        [
            demand(self.gpus, need.gpus, total.gpus),
            demand(self.cpus, need.cpus, total.cpus),
            demand(self.memory, need.memory_gb, total.memory_gb),
        ]
    }

    /// Returns whether a machine of this level may fit the task. `false` rules out all of
    /// them.
    pub(super) fn may_fit(&self, need: &Resources, total: &Resources) -> bool {
        self.demands(need, total)
            .iter()
            .all(|demand| demand.need_share <= (demand.steps + 1.0) / STEPS + ROUNDING_TOLERANCE)
    }

    /// Returns the minimum share of the GPUs that the task leaves free on machines of this
    /// level and of all later levels. Levels are ordered by GPUs first.
    pub(super) fn min_gpus_left(&self, need: &Resources, total: &Resources) -> f64 {
        f64::from(self.gpus) / STEPS - share(need.gpus, total.gpus)
    }

    /// Returns a lower bound for the free share that the task leaves on a machine of this
    /// level, taken from the resource with the largest free share.
    pub(super) fn min_share_left(&self, need: &Resources, total: &Resources) -> f64 {
        self.demands(need, total)
            .iter()
            .map(|demand| demand.steps / STEPS - demand.need_share)
            .fold(0.0, f64::max)
    }
}

/// The free amounts of a machine as fixed-point numbers, ordered by the largest free share
/// of any resource.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct FreeAmounts {
    share: u64,
    gpus: u64,
    cpus: u64,
    memory: u64,
}

impl FreeAmounts {
    fn of(free: &Resources, total: &Resources) -> FreeAmounts {
        FreeAmounts {
            share: to_fixed_point(free.dominant_share(total)),
            gpus: to_fixed_point(free.gpus),
            cpus: to_fixed_point(free.cpus),
            memory: to_fixed_point(free.memory_gb),
        }
    }

    /// Returns the free amounts as resources.
    pub(super) fn free(&self) -> Resources {
        Resources {
            cpus: self.cpus as f64 / FIXED_POINT_SCALE,
            gpus: self.gpus as f64 / FIXED_POINT_SCALE,
            memory_gb: self.memory as f64 / FIXED_POINT_SCALE,
        }
    }

    /// Returns the largest free share of any resource of the machine.
    pub(super) fn share(&self) -> f64 {
        self.share as f64 / FIXED_POINT_SCALE
    }
}

/// The key of a machine in [`FreeLevels`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct IndexKey {
    level: FreeLevel,
    amounts: FreeAmounts,
}

impl IndexKey {
    pub(super) fn of(free: &Resources, total: &Resources) -> IndexKey {
        IndexKey {
            level: FreeLevel::of(free, total),
            amounts: FreeAmounts::of(free, total),
        }
    }
}

/// The machines of one level, by free amounts.
type SlotsByFree = BTreeMap<FreeAmounts, BTreeSet<Slot>>;

/// A set of machines with the same total capacity, by level and then by free amounts.
#[derive(Debug, Default)]
pub(super) struct FreeLevels {
    levels: BTreeMap<FreeLevel, SlotsByFree>,
}

impl FreeLevels {
    pub(super) fn insert(&mut self, key: IndexKey, slot: Slot) {
        let by_free = self.levels.entry(key.level).or_default();
        by_free.entry(key.amounts).or_default().insert(slot);
    }

    pub(super) fn remove(&mut self, key: IndexKey, slot: Slot) {
        let Some(by_free) = self.levels.get_mut(&key.level) else {
            return;
        };
        if let Some(slots) = by_free.get_mut(&key.amounts) {
            slots.remove(&slot);
            if slots.is_empty() {
                by_free.remove(&key.amounts);
            }
        }
        if by_free.is_empty() {
            self.levels.remove(&key.level);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }

    pub(super) fn contains(&self, key: IndexKey, slot: Slot) -> bool {
        self.levels
            .get(&key.level)
            .and_then(|by_free| by_free.get(&key.amounts))
            .is_some_and(|slots| slots.contains(&slot))
    }

    /// Returns the number of machines.
    pub(super) fn len(&self) -> usize {
        self.levels
            .values()
            .flat_map(SlotsByFree::values)
            .map(BTreeSet::len)
            .sum()
    }

    /// Returns the levels that may have enough GPUs for the task, in ascending order of free
    /// GPUs. Each comes with its machines in ascending order of free amounts.
    pub(super) fn for_task(
        &self,
        need: &Resources,
        total: &Resources,
    ) -> impl Iterator<Item = (&FreeLevel, &SlotsByFree)> {
        let needed = steps(need.gpus, total.gpus);
        let lowest = FreeLevel {
            gpus: needed.saturating_sub(1),
            cpus: 0,
            memory: 0,
        };
        self.levels.range(lowest..)
    }

    /// Returns all machines, approximately in descending order of use.
    pub(super) fn slots(&self) -> impl Iterator<Item = Slot> + '_ {
        self.levels
            .values()
            .flat_map(SlotsByFree::values)
            .flatten()
            .copied()
    }
}

/// A share of a machine as a sort key. Negative shares are raised to 0.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct ShareKey(u64);

impl ShareKey {
    pub(super) fn new(share: f64) -> ShareKey {
        // Non-negative floating-point numbers have the same order as their bit patterns.
        ShareKey(share.max(0.0).to_bits())
    }
}

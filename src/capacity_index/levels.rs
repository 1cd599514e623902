//! Machines ordered by what they have free, so that a search begins with the fullest
//! ones that could fit a task and ends as soon as nothing better can come.
//!
//! Each free amount is rounded down to a step of the machine's total. Machines with the
//! same three steps share a [`FreeLevel`]; within a level, those with the same amounts
//! share [`FreeAmounts`]. As tasks come in few sizes, so do free amounts, and examining
//! these once covers all their machines.

use super::Slot;
use crate::placement::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// Steps between nothing free and everything free.
const STEPS: f64 = 16.0;
/// Sums of decimals may be a little below what they stand for.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// Amounts are compared as integers of this fraction, so that sums of decimals that
/// should be equal are.
const MILLIONTHS: f64 = 1e6;

/// Free amounts, in steps of the machine's total, rounded down.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct FreeLevel {
    gpus: u8,
    cpus: u8,
    memory: u8,
}

/// One resource of a level, and the task's share of the machine's total.
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

fn millionths(amount: f64) -> u64 {
    (amount.max(0.0) * MILLIONTHS).round() as u64
}

impl FreeLevel {
    fn of(free: &Resources, total: &Resources) -> FreeLevel {
        FreeLevel {
            gpus: steps(free.gpus, total.gpus),
            cpus: steps(free.cpus, total.cpus),
            memory: steps(free.memory_gb, total.memory_gb),
        }
    }

    /// Each resource with the task's share of it.
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

    /// Whether a machine of this level could fit the task at all.
    pub(super) fn may_fit(&self, need: &Resources, total: &Resources) -> bool {
        self.demands(need, total)
            .iter()
            .all(|demand| demand.need_share <= (demand.steps + 1.0) / STEPS + ROUNDING_TOLERANCE)
    }

    /// The minimum share of the GPUs that the task leaves free on machines of this level
    /// and of all that come after it: levels are ordered by GPUs first.
    pub(super) fn min_gpus_left(&self, need: &Resources, total: &Resources) -> f64 {
        f64::from(self.gpus) / STEPS - share(need.gpus, total.gpus)
    }

    /// The minimum share of a machine of this level that the task leaves free, by the
    /// scarcest resource.
    pub(super) fn min_share_left(&self, need: &Resources, total: &Resources) -> f64 {
        self.demands(need, total)
            .iter()
            .map(|demand| demand.steps / STEPS - demand.need_share)
            .fold(0.0, f64::max)
    }
}

/// The free amounts of machines, ordered by the share of the machine that they make up,
/// by the scarcest resource.
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
            share: millionths(free.dominant_share(total)),
            gpus: millionths(free.gpus),
            cpus: millionths(free.cpus),
            memory: millionths(free.memory_gb),
        }
    }

    /// What is free.
    pub(super) fn free(&self) -> Resources {
        Resources {
            cpus: self.cpus as f64 / MILLIONTHS,
            gpus: self.gpus as f64 / MILLIONTHS,
            memory_gb: self.memory as f64 / MILLIONTHS,
        }
    }

    /// The share of the machine that is free.
    pub(super) fn share(&self) -> f64 {
        self.share as f64 / MILLIONTHS
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

/// Machines of one level, by their free amounts.
type SlotsByFree = BTreeMap<FreeAmounts, BTreeSet<Slot>>;

/// Machines of one kind, by level and then by their free amounts.
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

    /// The number of machines.
    pub(super) fn len(&self) -> usize {
        self.levels
            .values()
            .flat_map(SlotsByFree::values)
            .map(BTreeSet::len)
            .sum()
    }

    /// The levels with enough GPUs for the task, those with the fewest free GPUs first,
    /// each with its machines by their free amounts, the smallest first.
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

    /// All machines, roughly the fullest first.
    pub(super) fn slots(&self) -> impl Iterator<Item = Slot> + '_ {
        self.levels
            .values()
            .flat_map(SlotsByFree::values)
            .flatten()
            .copied()
    }
}

/// A share of a machine that can be ordered: it is never below 0 and always a number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct ShareKey(u64);

impl ShareKey {
    pub(super) fn new(share: f64) -> ShareKey {
        // The bits of numbers from 0 up are ordered as the numbers are.
        ShareKey(share.max(0.0).to_bits())
    }
}

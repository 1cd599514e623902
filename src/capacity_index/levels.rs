//! Rooms ordered by what they have free, so that a search begins with the fullest
//! ones that could hold a task and ends as soon as nothing better can come.
//!
//! Each amount is rounded down to a step of the machine's whole. Rooms with the
//! same three steps share a [`Level`]; within a level those with the same free
//! share [`FreeAmounts`]. As tasks come in few sizes, so do free amounts, and one look at
//! them stands for all their rooms.

use super::Slot;
use crate::placement::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// Steps between nothing free and all free.
const STEPS: f64 = 16.0;

/// Free amounts, in steps of the whole machine, rounded down.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct FreeLevel {
    gpus: u8,
    cpus: u8,
    memory: u8,
}

fn steps(free: f64, whole: f64) -> u8 {
    if whole <= 0.0 {
        return 0;
    }
    // Sums of decimals may lie a little below what they stand for.
    (free / whole * STEPS + 1e-6).clamp(0.0, STEPS) as u8
}

fn share(amount: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        amount / whole
    } else {
        0.0
    }
}

impl FreeLevel {
    pub(super) fn of(free: &Resources, whole: &Resources) -> FreeLevel {
        FreeLevel {
            gpus: steps(free.gpus, whole.gpus),
            cpus: steps(free.cpus, whole.cpus),
            memory: steps(free.memory_gb, whole.memory_gb),
        }
    }

    /// Each step with the share of the whole that a task needs.
    fn against(&self, need: &Resources, whole: &Resources) -> [(f64, f64); 3] {
        [
            (f64::from(self.gpus), share(need.gpus, whole.gpus)),
            (f64::from(self.cpus), share(need.cpus, whole.cpus)),
            (
                f64::from(self.memory),
                share(need.memory_gb, whole.memory_gb),
            ),
        ]
    }

    /// Whether a room of this level could hold the task at all.
    pub(super) fn may_hold(&self, need: &Resources, whole: &Resources) -> bool {
        let enough = |(step, needed): (f64, f64)| needed <= (step + 1.0) / STEPS + 1e-6;
        self.against(need, whole).into_iter().all(enough)
    }

    /// What this level and all that come after it leave free of the GPUs at least, as
    /// a share: levels are ordered by GPUs first.
    pub(super) fn gpus_left(&self, need: &Resources, whole: &Resources) -> f64 {
        f64::from(self.gpus) / STEPS - share(need.gpus, whole.gpus)
    }

    /// The least share of a machine of this level that the task would leave free.
    pub(super) fn least_left(&self, need: &Resources, whole: &Resources) -> f64 {
        let left = |(step, needed): (f64, f64)| step / STEPS - needed;
        self.against(need, whole)
            .map(left)
            .into_iter()
            .fold(0.0, f64::max)
    }
}

/// Amounts are told apart to a millionth: sums of decimals that should be equal
/// are.
const MILLIONTHS: f64 = 1e6;

fn millionths(amount: f64) -> u64 {
    (amount.max(0.0) * MILLIONTHS).round() as u64
}

/// What rooms have free that have the same free, in order of the share of the
/// machine that this is, by its scarcest amount.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct FreeAmounts {
    share: u64,
    gpus: u64,
    cpus: u64,
    memory: u64,
}

impl FreeAmounts {
    fn of(free: &Resources, whole: &Resources) -> FreeAmounts {
        FreeAmounts {
            share: millionths(free.dominant_share(whole)),
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

/// Where a room is filed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) struct IndexKey {
    level: FreeLevel,
    amounts: FreeAmounts,
}

impl IndexKey {
    pub(super) fn of(free: &Resources, whole: &Resources) -> IndexKey {
        IndexKey {
            level: FreeLevel::of(free, whole),
            amounts: FreeAmounts::of(free, whole),
        }
    }
}

/// Rooms with the same free, by what that is.
type SlotsByFree = BTreeMap<FreeAmounts, BTreeSet<Slot>>;

/// Rooms of one kind, by level and by what they have free.
#[derive(Debug, Default)]
pub(super) struct FreeLevels {
    levels: BTreeMap<FreeLevel, SlotsByFree>,
}

impl FreeLevels {
    pub(super) fn insert(&mut self, place: IndexKey, slot: Slot) {
        let by_free = self.levels.entry(place.level).or_default();
        by_free.entry(place.amounts).or_default().insert(slot);
    }

    pub(super) fn remove(&mut self, place: IndexKey, slot: Slot) {
        let Some(by_free) = self.levels.get_mut(&place.level) else {
            return;
        };
        if let Some(rooms) = by_free.get_mut(&place.amounts) {
            rooms.remove(&slot);
            if rooms.is_empty() {
                by_free.remove(&place.amounts);
            }
        }
        if by_free.is_empty() {
            self.levels.remove(&place.level);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }

    pub(super) fn contains(&self, place: IndexKey, slot: Slot) -> bool {
        let rooms = self
            .levels
            .get(&place.level)
            .and_then(|by_free| by_free.get(&place.amounts));
        rooms.is_some_and(|rooms| rooms.contains(&slot))
    }

    /// How many rooms there are.
    pub(super) fn len(&self) -> usize {
        self.levels
            .values()
            .flat_map(SlotsByFree::values)
            .map(BTreeSet::len)
            .sum()
    }

    /// The levels with GPUs enough for the task, those with the fewest free first,
    /// each with its rooms by what they have free, the least first.
    pub(super) fn for_task(
        &self,
        need: &Resources,
        whole: &Resources,
    ) -> impl Iterator<Item = (&FreeLevel, &SlotsByFree)> {
        let needed = steps(need.gpus, whole.gpus);
        let least = FreeLevel {
            gpus: needed.saturating_sub(1),
            cpus: 0,
            memory: 0,
        };
        self.levels.range(least..)
    }

    /// All rooms, roughly the fullest first.
    pub(super) fn rooms(&self) -> impl Iterator<Item = Slot> + '_ {
        let rooms = self.levels.values().flat_map(SlotsByFree::values);
        rooms.flat_map(|rooms| rooms.iter().copied())
    }
}

/// A share that can be ordered: it is never below 0 and always a number.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct ShareKey(u64);

impl ShareKey {
    pub(super) fn new(share: f64) -> ShareKey {
        // The bits of numbers from 0 up are ordered as the numbers are.
        ShareKey(share.max(0.0).to_bits())
    }
}

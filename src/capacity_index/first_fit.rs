//! First-fit search: finds the first machine, in order of free capacity, that fits a task
//! and that the caller accepts. Also finds the fullest machine for forecast demand.

use super::levels::{FreeAmounts, FreeLevels};
use super::{CapacityIndex, MachineCapacity, OfferGroup, Slot};
use crate::placement::{Resources, ZoneCounts};
use crate::wire::users::JobSpec;
use std::collections::BTreeSet;

/// The fullest machine that fits a task.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct FullestMachine {
    /// The position of the machine.
    pub slot: Slot,
    /// Whether the machine has the task's image cached.
    pub has_image: bool,
}

/// The fullest machine found so far in a search.
#[derive(Clone, Copy)]
struct Fullest {
    free_share: f64,
    slot: Slot,
}

impl CapacityIndex {
    /// Returns the fullest machine for forecast demand. Machines that have the image come
    /// before all others. Spot instances are skipped, because nothing is reserved on them.
    pub fn fullest(&self, spec: &JobSpec, need: &Resources) -> Option<FullestMachine> {
        let on_demand_groups = || self.groups_allowed(spec).filter(|group| !group.offer.spot);
        let mut fullest = None;
        for group in on_demand_groups() {
            if let Some(levels) = group.with_image.get(&spec.image) {
                self.fullest_of(group, levels, need, &mut fullest);
            }
        }
        if let Some(Fullest { slot, .. }) = fullest {
            return Some(FullestMachine {
                slot,
                has_image: true,
            });
        }
        for group in on_demand_groups() {
            for levels in group.by_concurrent_pulls.values() {
                self.fullest_of(group, levels, need, &mut fullest);
            }
        }
        fullest.map(|Fullest { slot, .. }| FullestMachine {
            slot,
            has_image: false,
        })
    }

    fn fullest_of(
        &self,
        group: &OfferGroup,
        levels: &FreeLevels,
        need: &Resources,
        fullest: &mut Option<Fullest>,
    ) {
        for (level, by_free) in levels.for_task(need, &group.total) {
            self.examined.add(1);
            let min_free = level.min_gpus_left(&Resources::default(), &group.total);
            if fullest.is_some_and(|fullest| min_free >= fullest.free_share) {
                return;
            }
            if !level.may_fit(need, &group.total) {
                continue;
            }
            for (amounts, slots) in by_free {
                self.examined.add(1);
                let free_share = amounts.share();
                if fullest.is_some_and(|fullest| free_share >= fullest.free_share) {
                    break;
                }
                if let Some(slot) = self.first_accepted(amounts, slots, need, &|_, _| true) {
                    *fullest = Some(Fullest { free_share, slot });
                    break;
                }
            }
        }
    }

    /// Returns the first machine that has the job's image, fits `need` and is accepted.
    pub fn first_with_image(
        &self,
        spec: &JobSpec,
        need: &Resources,
        zones: &ZoneCounts,
        accept: impl Fn(Slot, &MachineCapacity) -> bool,
    ) -> Option<Slot> {
        self.groups_allowed_in(spec, zones)
            .filter_map(|group| Some((group, group.with_image.get(&spec.image)?)))
            .find_map(|(group, levels)| self.first_of(group, levels, need, &accept))
    }

    /// Returns, for each group that the job allows, the first machine that fits `need` and
    /// is accepted, among those that are pulling the fewest images.
    pub fn first_of_each_group<'a>(
        &'a self,
        spec: &'a JobSpec,
        need: &'a Resources,
        zones: &'a ZoneCounts,
        accept: impl Fn(Slot, &MachineCapacity) -> bool + 'a,
    ) -> impl Iterator<Item = Slot> + 'a {
        self.groups_allowed_in(spec, zones)
            .filter_map(move |group| {
                group
                    .by_concurrent_pulls
                    .values()
                    .find_map(|levels| self.first_of(group, levels, need, &accept))
            })
    }

    /// Returns the first machine of these levels that fits `need` and is accepted.
    fn first_of(
        &self,
        group: &OfferGroup,
        levels: &FreeLevels,
        need: &Resources,
        accept: &impl Fn(Slot, &MachineCapacity) -> bool,
    ) -> Option<Slot> {
        for (level, by_free) in levels.for_task(need, &group.total) {
            self.examined.add(1);
            if !level.may_fit(need, &group.total) {
                continue;
            }
            for (amounts, slots) in by_free {
                self.examined.add(1);
                let found = self.first_accepted(amounts, slots, need, accept);
                if found.is_some() {
                    return found;
                }
            }
        }
        None
    }

    /// Returns the first machine with these free amounts that fits `need`, has sent a recent
    /// heartbeat and is accepted.
    fn first_accepted(
        &self,
        amounts: &FreeAmounts,
        slots: &BTreeSet<Slot>,
        need: &Resources,
        accept: &impl Fn(Slot, &MachineCapacity) -> bool,
    ) -> Option<Slot> {
        if !amounts.free().covers(need) {
            return None;
        }
        let is_accepted = |slot: &Slot| {
            self.examined.add(1);
            self.get(*slot)
                .is_some_and(|machine| self.has_recent_heartbeat(machine) && accept(*slot, machine))
        };
        slots.iter().copied().find(is_accepted)
    }
}

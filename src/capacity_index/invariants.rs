//! Consistency checks of the index, for tests.

use super::levels::{FreeLevels, IndexKey};
use super::{CapacityIndex, CapacityIndexViolation, CapacityState, Slot};
use crate::ids::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// The machines in the index.
#[derive(Debug)]
pub struct IndexContents<'a> {
    /// The state of each machine that is indexed as accepting tasks.
    pub schedulable: BTreeMap<MachineId, &'a CapacityState>,
    /// The machines that are indexed as not accepting tasks.
    pub unschedulable: BTreeSet<MachineId>,
}

impl IndexContents<'_> {
    /// Returns the identifiers of all machines in the index.
    pub fn ids(&self) -> impl Iterator<Item = &MachineId> {
        self.schedulable.keys().chain(&self.unschedulable)
    }
}

impl CapacityIndex {
    /// Returns the machines in the index, for tests that compare them with a full
    /// recomputation.
    pub fn contents(&self) -> IndexContents<'_> {
        let mut contents = IndexContents {
            schedulable: BTreeMap::new(),
            unschedulable: BTreeSet::new(),
        };
        for machine in self.slots.iter().flatten() {
            let id = machine.id.clone();
            if machine.index_key.is_some() {
                contents.schedulable.insert(id, &machine.state);
            } else {
                contents.unschedulable.insert(id);
            }
        }
        contents
    }

    /// Checks that every machine has exactly the entries that follow from its state. The
    /// error names a machine that doesn't, or the wrong numbers of entries. For tests.
    pub fn check_invariants(&self) -> Result<(), CapacityIndexViolation> {
        let (mut machines, mut images, mut pulling_images) = (0, 0, 0);
        for (number, machine) in self.slots.iter().enumerate() {
            let slot = Slot(number as u32);
            let Some(machine) = machine else { continue };
            if self.unschedulable.contains(&slot) == machine.index_key.is_some() {
                return Err(CapacityIndexViolation::Unclassified(machine.id.clone()));
            }
            let Some(key) = machine.index_key else {
                continue;
            };
            let expected = IndexKey::of(&machine.free(), &machine.state.total);
            let group = &self.groups[machine.group];
            let levels = group.by_concurrent_pulls.get(&machine.concurrent_pulls());
            if key != expected || !levels.is_some_and(|levels| levels.contains(key, slot)) {
                return Err(CapacityIndexViolation::Misplaced(machine.id.clone()));
            }
            machines += 1;
            images += machine.state.images.len();
            pulling_images += machine.state.pulling_images.len();
        }
        let count = |levels: &mut dyn Iterator<Item = &FreeLevels>| {
            levels.map(FreeLevels::len).sum::<usize>()
        };
        let groups = &self.groups;
        let found = [
            count(&mut groups.iter().flat_map(|g| g.by_concurrent_pulls.values())),
            count(&mut groups.iter().flat_map(|g| g.with_image.values())),
            count(&mut groups.iter().flat_map(|g| g.with_pulling_image.values())),
        ];
        let expected = [machines, images, pulling_images];
        if found != expected {
            return Err(CapacityIndexViolation::EntryCounts { found, expected });
        }
        Ok(())
    }
}

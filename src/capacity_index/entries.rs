//! Maintains the index entries of a machine. They are removed and inserted again whenever
//! the machine changes.

use super::levels::{FreeLevels, IndexKey, ShareKey};
use super::{CapacityIndex, CapacityState, MachineCapacity, OccupiedKey, OfferGroup, Slot};
use crate::placement::Resources;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

impl OfferGroup {
    /// Creates an empty group for machines with the offer and total capacity of `state`.
    pub(super) fn new(state: &CapacityState) -> OfferGroup {
        OfferGroup {
            offer: state.offer.clone(),
            total: state.total,
            machines: 0,
            by_concurrent_pulls: BTreeMap::new(),
            with_image: HashMap::new(),
            with_pulling_image: HashMap::new(),
            preemptible: BTreeMap::new(),
        }
    }

    /// Adds the entries of a machine of this group.
    fn insert(&mut self, machine: &MachineCapacity, key: IndexKey, slot: Slot) {
        self.by_concurrent_pulls
            .entry(machine.concurrent_pulls())
            .or_default()
            .insert(key, slot);
        for image in &machine.state.images {
            let levels = self.with_image.entry(image.clone()).or_default();
            levels.insert(key, slot);
        }
        for image in &machine.state.pulling_images {
            let levels = self.with_pulling_image.entry(image.clone()).or_default();
            levels.insert(key, slot);
        }
        if let Some(priority) = machine.state.least_important {
            self.preemptible.entry(priority).or_default().insert(slot);
        }
    }

    /// Removes the entries of a machine of this group.
    fn remove(&mut self, machine: &MachineCapacity, key: IndexKey, slot: Slot) {
        let pulls = machine.concurrent_pulls();
        if let Some(levels) = self.by_concurrent_pulls.get_mut(&pulls) {
            levels.remove(key, slot);
            if levels.is_empty() {
                self.by_concurrent_pulls.remove(&pulls);
            }
        }
        for image in &machine.state.images {
            remove_image_entry(&mut self.with_image, image, key, slot);
        }
        for image in &machine.state.pulling_images {
            remove_image_entry(&mut self.with_pulling_image, image, key, slot);
        }
        if let Some(priority) = machine.state.least_important {
            if let Some(slots) = self.preemptible.get_mut(&priority) {
                slots.remove(&slot);
            }
        }
    }
}

fn remove_image_entry(
    by_image: &mut HashMap<Rc<str>, FreeLevels>,
    image: &Rc<str>,
    key: IndexKey,
    slot: Slot,
) {
    if let Some(levels) = by_image.get_mut(image) {
        levels.remove(key, slot);
        if levels.is_empty() {
            by_image.remove(image);
        }
    }
}

impl CapacityIndex {
    /// Inserts the entries of a machine, or lists the machine as unschedulable.
    pub(super) fn insert_entry(&mut self, slot: Slot) {
        let recent_heartbeat = self
            .get(slot)
            .is_some_and(|machine| self.has_recent_heartbeat(machine));
        let Some(machine) = self.slots[slot.0 as usize].as_mut() else {
            return;
        };
        if !machine.state.schedulable || !recent_heartbeat {
            self.unschedulable.insert(slot);
            return;
        }
        self.unschedulable.remove(&slot);
        let key = IndexKey::of(&machine.free(), &machine.state.total);
        machine.index_key = Some(key);
        let images = machine.state.images.len() + machine.state.pulling_images.len();
        self.examined.add(images as u64);
        self.groups[machine.group].insert(machine, key, slot);
        if machine.state.freeing != Resources::default() {
            self.freeing.insert(slot);
        }
        if machine.state.occupied {
            let key = OccupiedKey {
                used_share: ShareKey::new(machine.used_share()),
                slot,
            };
            machine.occupied_key = Some(key);
            self.occupied.insert(key);
        }
    }

    /// Removes the entries of a machine, if it has any.
    pub(super) fn remove_entry(&mut self, slot: Slot) {
        let Some(machine) = self.slots[slot.0 as usize].as_mut() else {
            return;
        };
        let Some(key) = machine.index_key.take() else {
            return;
        };
        self.groups[machine.group].remove(machine, key, slot);
        self.freeing.remove(&slot);
        if let Some(key) = machine.occupied_key.take() {
            self.occupied.remove(&key);
        }
    }

    /// Applies `change` to a machine and updates the machine's entries.
    pub(super) fn change(&mut self, slot: Slot, change: impl FnOnce(&mut MachineCapacity)) {
        self.remove_entry(slot);
        if let Some(machine) = self.get_mut(slot) {
            change(machine);
        }
        self.insert_entry(slot);
        self.examined.add(1);
    }
}

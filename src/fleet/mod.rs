//! The fleet: all machines known to the leader.

mod image_cache;
mod machine;

pub use machine::{IgnoredStarts, Machine, MachinePhase};

use crate::ids::MachineId;
use std::collections::BTreeMap;

/// All machines known to the leader. Every change of a machine goes through the fleet,
/// which records the changed machines, so that derived data can be updated for just these.
#[derive(Default)]
pub struct Fleet {
    machines: BTreeMap<MachineId, Machine>,
    /// The machines that may have changed or were removed since the last
    /// [`Fleet::take_dirty`].
    dirty: Vec<MachineId>,
    /// The released machines, which the cloud's machine list may still contain because it
    /// lags, with the time at which each entry expires.
    released: BTreeMap<MachineId, u64>,
}

impl Fleet {
    /// Removes all machines and all records of changed and released machines.
    pub fn clear(&mut self) {
        self.machines.clear();
        self.dirty.clear();
        self.released.clear();
    }

    /// Returns the number of machines, released ones not included.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Returns whether the leader knows no machines.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Returns the machines, in the order of their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values()
    }

    /// Returns a machine, or `None` if it isn't known.
    pub fn get(&self, id: &MachineId) -> Option<&Machine> {
        self.machines.get(id)
    }

    /// Returns a machine for modification and records it as changed.
    pub fn get_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        let machine = self.machines.get_mut(id)?;
        mark_dirty(machine, &mut self.dirty);
        Some(machine)
    }

    /// Returns a machine for modification and records it as changed. Adds the machine if it
    /// isn't known.
    pub fn get_or_add(&mut self, id: &MachineId, new: impl FnOnce() -> Machine) -> &mut Machine {
        let machine = self.machines.entry(id.clone()).or_insert_with(new);
        mark_dirty(machine, &mut self.dirty);
        machine
    }

    /// Removes a machine whose release the cloud has confirmed. [`Self::is_released`] returns
    /// true for it until `expires_at_ms`.
    pub fn remove(&mut self, id: &MachineId, expires_at_ms: u64) -> Option<Machine> {
        self.released.insert(id.clone(), expires_at_ms);
        self.dirty.push(id.clone());
        self.machines.remove(id)
    }

    /// Returns the machines that may have changed or were removed since the last call.
    pub fn take_dirty(&mut self) -> Vec<MachineId> {
        let dirty = std::mem::take(&mut self.dirty);
        for id in &dirty {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.dirty = false;
            }
        }
        dirty
    }

    /// Returns whether the cloud has confirmed the release of the machine, as long as the
    /// entry hasn't expired.
    pub fn is_released(&self, id: &MachineId) -> bool {
        self.released.contains_key(id)
    }

    /// Drops the released machines that no machine list can contain any more.
    pub fn expire_released(&mut self, now_ms: u64) {
        self.released
            .retain(|_, expires_at_ms| *expires_at_ms > now_ms);
    }
}

/// Adds the machine to the list of changed machines, unless the list contains it already.
fn mark_dirty(machine: &mut Machine, dirty: &mut Vec<MachineId>) {
    if !std::mem::replace(&mut machine.dirty, true) {
        dirty.push(machine.id.clone());
    }
}

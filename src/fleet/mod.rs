//! The fleet: all machines that the leader knows.

mod image_cache;
mod machine;

pub use machine::{Machine, MachinePhase};

use crate::ids::MachineId;
use std::collections::BTreeMap;

/// All machines that the leader knows. Every change of a machine goes through the
/// fleet, so that what is derived from machines can be updated for those that
/// changed.
#[derive(Default)]
pub struct Fleet {
    machines: BTreeMap<MachineId, Machine>,
    /// Machines that may have changed, or are gone, since [`Fleet::take_dirty`].
    dirty: Vec<MachineId>,
    /// Released machines, which the cloud's list may still contain because it
    /// lags, and when each may be forgotten.
    released: BTreeMap<MachineId, u64>,
}

impl Fleet {
    /// Forgets everything.
    pub fn clear(&mut self) {
        self.machines.clear();
        self.dirty.clear();
        self.released.clear();
    }

    /// How many machines there are.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// The machines, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values()
    }

    /// The machine of this name.
    pub fn get(&self, id: &MachineId) -> Option<&Machine> {
        self.machines.get(id)
    }

    /// The machine of this name, to be changed.
    pub fn get_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        let machine = self.machines.get_mut(id)?;
        mark_dirty(machine, &mut self.dirty);
        Some(machine)
    }

    /// The machine of this name, to be changed; it is added if it isn't known.
    pub fn get_or_add(&mut self, id: &MachineId, new: impl FnOnce() -> Machine) -> &mut Machine {
        let machine = self.machines.entry(id.clone()).or_insert_with(new);
        mark_dirty(machine, &mut self.dirty);
        machine
    }

    /// The cloud has confirmed the release of the machine. Its name is remembered
    /// until `forget_ms`.
    pub fn remove(&mut self, id: &MachineId, forget_ms: u64) -> Option<Machine> {
        self.released.insert(id.clone(), forget_ms);
        self.dirty.push(id.clone());
        self.machines.remove(id)
    }

    /// The machines that may have changed, or are gone, since the last call.
    pub fn take_dirty(&mut self) -> Vec<MachineId> {
        let dirty = std::mem::take(&mut self.dirty);
        for id in &dirty {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.dirty = false;
            }
        }
        dirty
    }

    /// Whether the cloud has confirmed the release of the machine.
    pub fn is_released(&self, id: &MachineId) -> bool {
        self.released.contains_key(id)
    }

    /// Forgets released machines that no list can contain any more.
    pub fn forget_released(&mut self, now_ms: u64) {
        self.released.retain(|_, forget_ms| *forget_ms > now_ms);
    }
}

/// Lists the machine as dirty, once.
fn mark_dirty(machine: &mut Machine, dirty: &mut Vec<MachineId>) {
    if !std::mem::replace(&mut machine.dirty, true) {
        dirty.push(machine.id.clone());
    }
}

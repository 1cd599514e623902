//! What the round under way holds of machines: for tasks, for tasks that migrate, and
//! for forecast demand.

use super::{CapacityIndex, MachineCapacity, Slot};
use crate::placement::Resources;

impl CapacityIndex {
    /// A new round begins: nothing is held.
    pub fn begin_round(&mut self) {
        for slot in std::mem::take(&mut self.held) {
            self.change(slot, |machine| {
                machine.held = Resources::default();
                machine.forecast_reserved = Resources::default();
                machine.reserved = false;
            });
        }
    }

    /// Holds some of a machine for a task.
    pub fn hold(&mut self, slot: Slot, amount: &Resources) {
        self.held.insert(slot);
        self.change(slot, |machine| machine.held.add(amount));
    }

    /// Reserves some of a machine for a task that migrates to it.
    pub fn reserve_for_incoming(&mut self, slot: Slot, amount: &Resources) {
        self.held.insert(slot);
        self.change(slot, |machine| {
            machine.held.add(amount);
            machine.reserved = true;
        });
    }

    /// Reserves some of a machine for forecast demand.
    pub fn reserve_for_forecast(&mut self, slot: Slot, amount: &Resources) {
        self.held.insert(slot);
        self.change(slot, |machine| {
            machine.held.add(amount);
            machine.forecast_reserved.add(amount);
            machine.reserved = true;
        });
    }

    /// Releases what is reserved for forecast demand.
    pub fn release_forecast(&mut self, slot: Slot) {
        self.change(slot, |machine| {
            let released = std::mem::take(&mut machine.forecast_reserved);
            machine.held.subtract(&released);
        });
    }

    /// Releases what was held by [`Self::hold`] or [`Self::reserve_for_incoming`].
    pub fn release(&mut self, slot: Slot, amount: &Resources) {
        self.change(slot, |machine| machine.held.subtract(amount));
    }

    /// Reserves all that is free of a machine for a task that migrates to it.
    pub fn reserve_all_free(&mut self, slot: Slot) {
        if let Some(free) = self.get(slot).map(MachineCapacity::free) {
            self.reserve_for_incoming(slot, &free);
        }
    }
}

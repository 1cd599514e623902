//! Reservations of the current round: for tasks placed in the round, for incoming tasks
//! and for forecast demand.

use super::{CapacityIndex, MachineCapacity, Slot};
use crate::placement::Resources;

impl CapacityIndex {
    /// Drops all reservations because a new round begins.
    pub fn begin_round(&mut self) {
        for slot in std::mem::take(&mut self.with_reservations) {
            self.change(slot, |machine| {
                machine.reserved = Resources::default();
                machine.forecast_reserved = Resources::default();
                machine.retained = false;
            });
        }
    }

    /// Reserves capacity of a machine for a task.
    pub fn reserve(&mut self, slot: Slot, amount: &Resources) {
        self.with_reservations.insert(slot);
        self.change(slot, |machine| machine.reserved.add(amount));
    }

    /// Reserves capacity of a machine for an incoming task, and retains the machine for the
    /// rest of the round. Incoming tasks are those that migrate to the machine and those of
    /// a replica group's next generation.
    pub fn reserve_for_incoming(&mut self, slot: Slot, amount: &Resources) {
        self.with_reservations.insert(slot);
        self.change(slot, |machine| {
            machine.reserved.add(amount);
            machine.retained = true;
        });
    }

    /// Reserves capacity of a machine for forecast demand, and retains the machine for the
    /// rest of the round.
    pub fn reserve_for_forecast(&mut self, slot: Slot, amount: &Resources) {
        self.with_reservations.insert(slot);
        self.change(slot, |machine| {
            machine.reserved.add(amount);
            machine.forecast_reserved.add(amount);
            machine.retained = true;
        });
    }

    /// Cancels the reservations of a machine for forecast demand.
    pub fn release_forecast(&mut self, slot: Slot) {
        self.change(slot, |machine| {
            let released = std::mem::take(&mut machine.forecast_reserved);
            machine.reserved.subtract(&released);
        });
    }

    /// Cancels a reservation made by [`Self::reserve`] or [`Self::reserve_for_incoming`].
    pub fn release(&mut self, slot: Slot, amount: &Resources) {
        self.change(slot, |machine| machine.reserved.subtract(amount));
    }

    /// Reserves the whole free capacity of a machine for tasks that migrate to it.
    pub fn reserve_all_free(&mut self, slot: Slot) {
        if let Some(free) = self.get(slot).map(MachineCapacity::free) {
            self.reserve_for_incoming(slot, &free);
        }
    }
}

//! Gang scheduling: the tasks of a gang are placed either all in the same round or not
//! at all.

use crate::capacity_index::{MachineCapacity, Slot};
use crate::placement::{offer_allowed, Resources};
use crate::scheduler::rounds::round::Round;
use crate::scheduler::rounds::task_placement::PlacementRequest;
use crate::scheduler::state::quotas::within_quota;
use crate::scheduler::Scheduler;
use std::rc::Rc;

/// The free resources of a machine after some tasks of the gang have been placed on it.
struct FreeMachine {
    slot: Slot,
    zone: Rc<str>,
    free: Resources,
}

impl FreeMachine {
    fn new(slot: Slot, machine: &MachineCapacity, free: Resources) -> FreeMachine {
        FreeMachine {
            slot,
            zone: machine.state.offer.zone.clone(),
            free,
        }
    }
}

impl Scheduler {
    /// Adds the capacity that only an overdue gang may use: what is reserved for forecast demand,
    /// and cordoned machines whose probe is due.
    fn add_withheld_machines(&self, request: &PlacementRequest, machines: &mut Vec<FreeMachine>) {
        for (slot, machine) in self.capacity.with_forecast_reservation() {
            if !offer_allowed(&request.spec, &machine.state.offer) {
                continue;
            }
            let mut free = machine.free();
            free.add(&machine.forecast_reserved());
            machines.retain(|other| other.slot != slot);
            machines.push(FreeMachine::new(slot, machine, free));
        }
        for slot in self.probe_slots(request) {
            if let Some(machine) = self.capacity.get(slot) {
                machines.push(FreeMachine::new(slot, machine, machine.free()));
            }
        }
    }

    /// Returns whether all tasks of a gang fit into free capacity and their team's quota.
    pub(super) fn gang_fits(
        &self,
        request: &PlacementRequest,
        tasks: usize,
        round: &Round,
    ) -> bool {
        let PlacementRequest {
            spec,
            resources: need,
            ..
        } = request;
        let mut used = self.team_usage(&spec.team, round);
        let mut zones = request.zones.clone();
        let mut machines: Vec<FreeMachine> = self
            .capacity
            .fitting(spec, need)
            .map(|(slot, machine)| FreeMachine::new(slot, machine, machine.free()))
            .collect();
        machines.sort_by_key(|machine| machine.slot);
        if request.is_overdue {
            self.add_withheld_machines(request, &mut machines);
        }
        (0..tasks).all(|_| {
            if !within_quota(&self.settings, &spec.team, &used, need) {
                return false;
            }
            let fitting = machines
                .iter_mut()
                .find(|machine| machine.free.covers(need) && zones.allows(spec, &machine.zone));
            let Some(machine) = fitting else {
                return false;
            };
            machine.free.subtract(need);
            zones.add(&machine.zone);
            used.add(need);
            true
        })
    }
}

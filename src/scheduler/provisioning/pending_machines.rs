//! Which machines count as pending capacity.

use crate::cloud::CloudClient;
use crate::fleet::{Machine, MachinePhase};
use crate::messages::Now;
use crate::placement::Resources;
use crate::scheduler::rounds::pending_capacity::PendingCapacity;
use crate::scheduler::Scheduler;
use crate::wire::cloud::MachineType;

/// A boot usually takes up to so many times what is known (PROTOCOL). What
/// takes longer may take several times as long, and isn't counted on.
const USUAL_BOOTS: f64 = 1.5;

impl Scheduler {
    /// Pending capacity: machines that are booting or ordered, and those that
    /// missed a heartbeat just now.
    pub(super) fn pending_capacity(&mut self, now: Now, cloud: &CloudClient) -> PendingCapacity {
        let mut pending = PendingCapacity::default();
        let mut examined = 0;
        let unschedulable = self.capacity.unschedulable();
        for machine in unschedulable.filter_map(|id| self.fleet.get(id)) {
            examined += 1;
            if self.is_booting_in_time(now, machine) || self.is_briefly_silent(now, machine) {
                pending.add(&machine.offer, machine.free(), 1);
            }
        }
        self.pacing.examined += examined;
        for (offer, count) in cloud.pending_orders() {
            let capacity = self
                .catalog
                .as_ref()
                .and_then(|catalog| catalog.find(&offer.machine_type))
                .map_or(Resources::default(), MachineType::capacity);
            pending.add(offer, capacity, count);
        }
        pending
    }

    /// The machine is booting, and not for unusually long.
    fn is_booting_in_time(&self, now: Now, machine: &Machine) -> bool {
        let usual_ms = (self.usual_boot_ms(&machine.offer) as f64 * USUAL_BOOTS) as u64;
        machine.phase == MachinePhase::Booting && now.ms < machine.provisioned_ms + usual_ms
    }

    /// The machine is silent for so short a time that it will soon be heard
    /// again or be declared failed.
    fn is_briefly_silent(&self, now: Now, machine: &Machine) -> bool {
        machine.phase == MachinePhase::Up
            && !machine.accepts_tasks(now.ms, self.max_heartbeat_age_ms())
            && machine.reclaim_at_ms.is_none()
            && !machine.faults.is_suspect()
            && now.ms < machine.last_heartbeat_ms + self.lease_ms() / 2
    }
}

//! Selection of the machines and orders that count as pending capacity.

use crate::cloud::CloudClient;
use crate::fleet::{Machine, MachinePhase};
use crate::messages::Now;
use crate::placement::Resources;
use crate::scheduler::rounds::pending_capacity::PendingCapacity;
use crate::scheduler::Scheduler;
use crate::wire::cloud::MachineType;

/// By the protocol, a boot usually takes at most this many times the nominal boot time. A boot
/// beyond that may take several times as long, so its machine doesn't count as pending capacity.
const MAX_PENDING_BOOT_TIMES: f64 = 1.5;

impl Scheduler {
    /// Collects the pending capacity: machines that are booting or ordered, and machines
    /// that became unresponsive, or came up without executing commands yet, a short time ago.
    pub(super) fn pending_capacity(&mut self, now: Now, cloud: &CloudClient) -> PendingCapacity {
        let mut pending = PendingCapacity::default();
        let mut examined = 0;
        let unschedulable = self.capacity.unschedulable();
        for machine in unschedulable.filter_map(|id| self.fleet.get(id)) {
            examined += 1;
            if self.is_booting_in_time(now, machine) || self.is_briefly_unusable(now, machine) {
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

    /// Returns whether the machine is booting and its boot isn't longer than
    /// [`MAX_PENDING_BOOT_TIMES`] allows.
    fn is_booting_in_time(&self, now: Now, machine: &Machine) -> bool {
        let max_boot_ms =
            (self.conservative_boot_ms(&machine.offer) as f64 * MAX_PENDING_BOOT_TIMES) as u64;
        machine.phase == MachinePhase::Booting && now.ms < machine.provisioned_ms + max_boot_ms
    }

    /// Returns whether the machine has been unresponsive, or up without acknowledging a fencing
    /// token, for less than half a lease. Such a machine will soon accept tasks or be declared
    /// failed. A machine that is deaf for longer sends heartbeats all the while.
    fn is_briefly_unusable(&self, now: Now, machine: &Machine) -> bool {
        let unusable_since_ms = if machine.token_acknowledged {
            machine.last_heartbeat_ms
        } else {
            machine.idle_since_ms.unwrap_or(self.elected_ms)
        };
        machine.phase == MachinePhase::Up
            && !machine.accepts_tasks(now.ms, self.max_heartbeat_age_ms())
            && machine.reclaim_at_ms.is_none()
            && !machine.faults.is_suspect()
            && now.ms < unusable_since_ms + self.lease_ms() / 2
    }
}

//! Scale in: machines that no task and no forecast demand needs are released.

use crate::capacity_index::MachineCapacity;
use crate::cloud::CloudClient;
use crate::fleet::{Machine, MachinePhase};
use crate::ids::MachineId;
use crate::messages::Now;
use crate::scheduler::Scheduler;

/// So many idle machines are kept as spares, in square roots of the fleet's size.
const SPARE_ROOTS: f64 = 0.5;
/// Those beyond are released after this share of the usual idle time.
const SURPLUS_IDLE_SHARE: f64 = 0.25;
/// The first minute of a machine is paid for in any case.
const MIN_BILLED_MS: u64 = 60_000;

/// A machine without tasks. They are ordered by their idle time.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct IdleMachine {
    since_ms: u64,
    id: MachineId,
}

/// Whether an idle machine is a spare, kept for the usual time, or surplus.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum IdleKind {
    Spare,
    Surplus,
}

impl Scheduler {
    /// Releases machines that have been idle for a while and that no forecast
    /// demand needs. How much the demand varies grows with the square root of
    /// the fleet's size: so many idle machines are kept as spares, and those
    /// beyond are released soon.
    pub(in crate::scheduler) fn scale_in(&mut self, now: Now, cloud: &mut CloudClient) {
        let max_spares = ((self.fleet.len() as f64).sqrt() * SPARE_ROOTS).ceil();
        let mut spares = 0.0;
        let mut unneeded = Vec::new();
        for idle in self.idle_machines() {
            let Some(machine) = self.fleet.get(&idle.id) else {
                continue;
            };
            let reserved = self.is_reserved(&idle.id);
            if is_spare(machine, reserved) {
                spares += 1.0;
            }
            let kind = if spares <= max_spares {
                IdleKind::Spare
            } else {
                IdleKind::Surplus
            };
            if self.is_unneeded(now, machine, idle.since_ms, kind, reserved) {
                unneeded.push(idle.id);
            }
        }
        for id in unneeded {
            if let Some(machine) = self.fleet.get_mut(&id) {
                log::info!("machine scaled in machine={id} reason=\"idle\"");
                machine.phase = MachinePhase::Releasing;
                cloud.release(id);
            }
        }
    }

    /// The machines without tasks. Those that are idle for the shortest time
    /// come first, so that they are the ones that stay.
    fn idle_machines(&self) -> Vec<IdleMachine> {
        let mut idle: Vec<IdleMachine> = self
            .fleet
            .iter()
            .filter(|machine| {
                matches!(machine.phase, MachinePhase::Up | MachinePhase::Draining)
                    && machine.tasks.is_empty()
            })
            .filter_map(|machine| {
                Some(IdleMachine {
                    since_ms: machine.idle_since_ms?,
                    id: machine.id.clone(),
                })
            })
            .collect();
        idle.sort_by(|a, b| b.cmp(a));
        idle
    }

    /// Whether forecast demand or a replica group reserves the machine.
    fn is_reserved(&self, id: &MachineId) -> bool {
        self.capacity
            .slot(id)
            .and_then(|slot| self.capacity.get(slot))
            .is_some_and(MachineCapacity::is_retained)
    }

    /// Whether an idle machine should be released now.
    fn is_unneeded(
        &self,
        now: Now,
        machine: &Machine,
        idle_since_ms: u64,
        kind: IdleKind,
        reserved: bool,
    ) -> bool {
        if machine.faults.is_faulty() {
            return true;
        }
        let idle_boots = match kind {
            IdleKind::Spare => self.tuning.idle_boots,
            IdleKind::Surplus => self.tuning.idle_boots * SURPLUS_IDLE_SHARE,
        };
        let idle_limit_ms = (self.expected_boot_ms(&machine.offer) as f64 * idle_boots) as u64;
        let idle_for_long = now.ms > idle_since_ms + idle_limit_ms;
        let drained = machine.phase == MachinePhase::Draining;
        let billed = now.ms > machine.provisioned_ms + MIN_BILLED_MS;
        (drained || (!reserved && idle_for_long)) && billed
    }
}

/// Whether an idle machine is available for any task that may come.
fn is_spare(machine: &Machine, reserved: bool) -> bool {
    !machine.faults.is_faulty() && machine.phase != MachinePhase::Draining && !reserved
}

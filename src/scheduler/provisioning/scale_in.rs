//! Scale in: the release of machines that neither tasks nor the demand forecast need.

use crate::capacity_index::MachineCapacity;
use crate::cloud::CloudClient;
use crate::fleet::{Machine, MachinePhase};
use crate::ids::MachineId;
use crate::messages::Now;
use crate::scheduler::Scheduler;

/// Number of idle machines kept as spares, as a multiple of the square root of the fleet's
/// size.
const SPARES_PER_SQRT_FLEET_SIZE: f64 = 0.5;
/// Surplus machines are released after this share of the idle limit of spares.
const SURPLUS_IDLE_SHARE: f64 = 0.25;
/// The cloud bills at least the first minute of a machine, so an earlier release saves
/// nothing.
const MIN_BILLED_MS: u64 = 60_000;

/// A machine without tasks, ordered by the time since which it has been idle.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct IdleMachine {
    idle_since_ms: u64,
    id: MachineId,
}

/// Which idle limit applies to an idle machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum IdleKind {
    /// Kept for the configured idle limit.
    Spare,
    /// Released after [`SURPLUS_IDLE_SHARE`] of that limit.
    Surplus,
}

impl Scheduler {
    /// Releases machines that have been idle for longer than their limit and that the demand
    /// forecast doesn't need. The variation of demand grows with the square root of the
    /// fleet's size, so a number of spares proportional to it is kept for the full limit, and
    /// surplus machines are released earlier.
    pub(in crate::scheduler) fn scale_in(&mut self, now: Now, cloud: &mut CloudClient) {
        let max_spares = ((self.fleet.len() as f64).sqrt() * SPARES_PER_SQRT_FLEET_SIZE).ceil();
        let mut spares = 0.0;
        let mut to_release = Vec::new();
        for idle in self.idle_machines() {
            let Some(machine) = self.fleet.get(&idle.id) else {
                continue;
            };
            let retained = self.is_retained(&idle.id);
            if is_spare(machine, retained) {
                spares += 1.0;
            }
            let kind = if spares <= max_spares {
                IdleKind::Spare
            } else {
                IdleKind::Surplus
            };
            if self.should_release(now, machine, idle.idle_since_ms, kind, retained) {
                to_release.push(idle.id);
            }
        }
        for id in to_release {
            if let Some(machine) = self.fleet.get_mut(&id) {
                log::info!("machine scaled in machine={id} reason=\"idle\"");
                machine.phase = MachinePhase::Releasing;
                cloud.release(id);
            }
        }
    }

    /// Returns the machines without tasks. Those with the shortest idle time come first, so
    /// that they are the ones kept as spares.
    fn idle_machines(&self) -> Vec<IdleMachine> {
        let mut idle: Vec<IdleMachine> = self
            .fleet
            .iter()
            .filter(|machine| machine.expects_heartbeats() && machine.tasks.is_empty())
            .filter_map(|machine| {
                Some(IdleMachine {
                    idle_since_ms: machine.idle_since_ms?,
                    id: machine.id.clone(),
                })
            })
            .collect();
        idle.sort_by(|a, b| b.cmp(a));
        idle
    }

    /// Returns whether the machine has a reservation for forecast demand or for an incoming
    /// task, such as a part of a replica group.
    fn is_retained(&self, id: &MachineId) -> bool {
        self.capacity
            .slot(id)
            .and_then(|slot| self.capacity.get(slot))
            .is_some_and(MachineCapacity::is_retained)
    }

    /// Returns whether an idle machine should be released now. A faulty machine is released at
    /// once, a draining one as soon as the minimum billing time has passed.
    fn should_release(
        &self,
        now: Now,
        machine: &Machine,
        idle_since_ms: u64,
        kind: IdleKind,
        retained: bool,
    ) -> bool {
        if machine.faults.is_faulty() {
            return true;
        }
        let idle_boots = match kind {
            IdleKind::Spare => self.tuning.idle_boots,
            IdleKind::Surplus => self.tuning.idle_boots * SURPLUS_IDLE_SHARE,
        };
        let idle_limit_ms = (self.expected_boot_ms(&machine.offer) as f64 * idle_boots) as u64;
        let idle_limit_passed = now.ms > idle_since_ms + idle_limit_ms;
        let drained = machine.phase == MachinePhase::Draining;
        let min_billed_passed = now.ms > machine.provisioned_ms + MIN_BILLED_MS;
        (drained || (!retained && idle_limit_passed)) && min_billed_passed
    }
}

/// Returns whether an idle machine counts as a spare, which any new task may use.
fn is_spare(machine: &Machine, retained: bool) -> bool {
    !machine.faults.is_faulty() && machine.phase != MachinePhase::Draining && !retained
}

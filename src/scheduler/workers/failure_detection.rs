//! Failure detection: which machines are declared failed and released, and when
//! silence is more likely a network partition or a fault of this controller.

use crate::cloud::CloudClient;
use crate::fleet::{Machine, MachinePhase};
use crate::ids::{MachineId, TaskRef};
use crate::messages::Now;
use crate::scheduler::workers::zone_silence::ZoneSilence;
use crate::scheduler::Scheduler;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

/// What failure detection keeps beside each machine's own heartbeats.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct FailureDetection {
    /// When all machines were last checked.
    pub(in crate::scheduler) last_check_ms: u64,
    /// They should be checked before that is due again.
    pub(in crate::scheduler) check_requested: bool,
    /// When most machines of a zone were last silent.
    pub(super) zones_silent_ms: HashMap<Rc<str>, u64>,
    /// When this process was last paused and could receive nothing.
    pub(super) process_paused_ms: u64,
    /// When the key-value store last failed to answer.
    pub(in crate::scheduler) store_failed_ms: Option<u64>,
}

impl FailureDetection {
    /// The leader was deposed.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.zones_silent_ms.clear();
    }
}

/// Share of `cancel_s` after which a machine that shares its zone's silence is
/// released over a cancelled task. Its lease ends before that by itself, or
/// a controller that knows of the cancellation renews it and stops the task.
const PARTITION_CANCEL_SHARE: f64 = 0.9;

/// Why a machine is declared failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum MachineFailure {
    /// Neither the leader nor a follower has heard from its worker.
    Silent,
    /// Its worker sends heartbeats and doesn't start its tasks.
    StartsIgnored,
    /// It hasn't come up in several times the usual boot time.
    BootOverdue,
    /// A task of a cancelled job is still on it.
    CancelledTaskNotStopped,
}

impl fmt::Display for MachineFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MachineFailure::Silent => "no heartbeats",
            MachineFailure::StartsIgnored => "starts without effect",
            MachineFailure::BootOverdue => "boot overdue",
            MachineFailure::CancelledTaskNotStopped => "cancelled task not stopped",
        })
    }
}

/// The health of a machine that is up.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
struct MachineHealth {
    /// It has failed.
    failure: Option<MachineFailure>,
    /// The cloud is about to reclaim it, and it has tasks.
    must_drain: bool,
}

impl Scheduler {
    /// Checks every machine and every stop that is due.
    pub(in crate::scheduler) fn check_machines(&mut self, now: Now, cloud: &mut CloudClient) {
        self.fleet.expire_released(now.ms);
        self.finished_jobs.retain(|_, until| now.ms < *until);
        self.jobs.refresh();
        let cancelled: Vec<_> = self.jobs.stopping().iter().cloned().collect();
        for id in &cancelled {
            self.enforce_cancel(now, id);
        }
        let zones = self.zone_silences(now);
        let mut failed = self.overdue_boots(now);
        let mut draining = Vec::new();
        for machine in self.fleet.iter() {
            if machine.phase != MachinePhase::Up {
                continue;
            }
            let Some(zone) = zones.get(&machine.offer.zone) else {
                continue;
            };
            let health = self.assess_machine(now, machine, zone);
            failed.extend(health.failure.map(|failure| (machine.id.clone(), failure)));
            if health.must_drain {
                draining.push(machine.id.clone());
            }
        }
        for (id, failure) in failed {
            self.declare_failed(&id, failure);
        }
        for id in draining {
            self.drain_machine(now, &id);
        }
        for machine in self.fleet.iter() {
            if machine.phase == MachinePhase::Releasing {
                cloud.release(machine.id.clone());
            }
        }
        self.refresh_silent_machines(now);
    }

    /// Assesses a machine that is up.
    fn assess_machine(&self, now: Now, machine: &Machine, zone: &ZoneSilence) -> MachineHealth {
        let unresponsive = machine
            .starts_ignored_since_ms
            .is_some_and(|since_ms| now.ms > since_ms + self.lease_ms());
        let lost = if self.is_silent(now, machine, zone) {
            Some(MachineFailure::Silent)
        } else {
            unresponsive.then_some(MachineFailure::StartsIgnored)
        };
        let failure = lost.or_else(|| {
            self.has_overdue_cancel(now, machine, zone)
                .then_some(MachineFailure::CancelledTaskNotStopped)
        });
        let reclaimed = machine.reclaim_at_ms.is_some();
        MachineHealth {
            failure,
            must_drain: lost.is_none() && reclaimed && !machine.tasks.is_empty(),
        }
    }

    /// Whether neither the leader nor a follower has heard from the machine for
    /// as long as its zone's limit.
    fn is_silent(&self, now: Now, machine: &Machine, zone: &ZoneSilence) -> bool {
        let heard_ms = machine
            .last_heartbeat_ms
            .max(machine.lease_proxied_ms)
            .max(zone.excused_ms);
        // While the store fails, followers can't record whose leases they renew,
        // and nothing could be placed anew in any case.
        let store_failed = self
            .failure_detection
            .store_failed_ms
            .is_some_and(|failed_ms| now.ms < failed_ms + self.lease_ms() / 2);
        !store_failed && now.ms > heard_ms + zone.limit_ms
    }

    /// Whether a task of a cancelled job has been on the machine for too long
    /// after its stop.
    fn has_overdue_cancel(&self, now: Now, machine: &Machine, zone: &ZoneSilence) -> bool {
        let lease_ms = self.lease_ms();
        // The follower that renews its lease stops cancelled tasks itself.
        if now.ms < machine.lease_proxied_ms + lease_ms {
            return false;
        }
        let shares_silence =
            zone.mostly_silent && now.ms > machine.last_heartbeat_ms + lease_ms / 2;
        let share = if shares_silence {
            PARTITION_CANCEL_SHARE.max(self.tuning.cancel_share)
        } else {
            self.tuning.cancel_share
        };
        let limit_ms = self.settings.site.workers.cancel_s * 1000.0 * share;
        machine.tasks.iter().any(|task| {
            self.cancelled_since_ms(task)
                .is_some_and(|since_ms| now.ms as f64 > since_ms as f64 + limit_ms)
        })
    }

    /// Since when a task of a cancelled job is to be stopped.
    fn cancelled_since_ms(&self, task: &TaskRef) -> Option<u64> {
        let job = self.jobs.get(&task.job)?;
        job.cancelled?;
        let stop = job.assignments.get(&task.index)?.stop?;
        Some(stop.since_ms)
    }

    /// The machine is released.
    fn declare_failed(&mut self, id: &MachineId, failure: MachineFailure) {
        if let Some(machine) = self.fleet.get_mut(id) {
            log::info!("machine unresponsive machine={id} reason=\"{failure}\"");
            machine.phase = MachinePhase::Releasing;
        }
    }

    /// Silence has no event of its own and yet changes what a machine may get:
    /// silent machines are marked as changed for the capacity index.
    fn refresh_silent_machines(&mut self, now: Now) {
        let fresh_ms = self.max_heartbeat_age_ms();
        let silent: Vec<MachineId> = self
            .fleet
            .iter()
            .filter(|machine| machine.is_schedulable())
            .filter(|machine| !machine.accepts_tasks(now.ms, fresh_ms))
            .map(|machine| machine.id.clone())
            .collect();
        for id in &silent {
            self.fleet.get_mut(id);
        }
    }

    /// Machines that should have come up long ago. What they say about boot
    /// times goes into the online estimates.
    fn overdue_boots(&mut self, now: Now) -> Vec<(MachineId, MachineFailure)> {
        // A new leader may know an old machine from the cloud's list alone: the
        // machine must have had time to send a heartbeat.
        let listen_ms = self.silence_limit_ms();
        let overdue: Vec<MachineId> = self
            .fleet
            .iter()
            .filter(|machine| {
                machine.phase == MachinePhase::Booting
                    && now.ms > machine.last_heartbeat_ms + listen_ms
            })
            .filter(|machine| {
                let usual_ms = self.usual_boot_ms(&machine.offer) as f64;
                let limit_ms = (usual_ms * self.tuning.late_boots) as u64;
                now.ms > machine.provisioned_ms + limit_ms
            })
            .map(|machine| machine.id.clone())
            .collect();
        for id in &overdue {
            self.learn_overdue_boot(now, id);
        }
        overdue
            .into_iter()
            .map(|id| (id, MachineFailure::BootOverdue))
            .collect()
    }

    /// Takes an overdue boot into the estimates, if its beginning is known.
    fn learn_overdue_boot(&mut self, now: Now, id: &MachineId) {
        let Some(machine) = self
            .fleet
            .get(id)
            .filter(|machine| machine.provisioned_this_term)
        else {
            return;
        };
        let machine_type = machine.offer.machine_type.clone();
        let provisioned_ms = machine.provisioned_ms;
        let waited_s = (now.ms - provisioned_ms) as f64 / 1000.0;
        let nominal_s = self.nominal_boot_s(&machine_type);
        self.estimates
            .boot_overdue(&machine_type, nominal_s, provisioned_ms, waited_s);
    }
}

//! Failure detection: which machines are declared failed and released. If most machines of a
//! zone are unresponsive, a network partition or a fault of this controller is the more likely
//! cause, and machines are declared failed later.

use crate::cloud::CloudClient;
use crate::fleet::{Machine, MachinePhase};
use crate::ids::{MachineId, TaskRef};
use crate::messages::Now;
use crate::scheduler::workers::zone_health::ZoneHealth;
use crate::scheduler::Scheduler;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

/// State of failure detection that doesn't belong to a single machine.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct FailureDetection {
    pub(in crate::scheduler) last_check_ms: u64,
    /// Whether machines should be checked before the next regular check.
    pub(in crate::scheduler) check_requested: bool,
    /// By zone, when most of its machines were last unresponsive.
    pub(super) zone_last_unresponsive_ms: HashMap<Rc<str>, u64>,
    /// When this process last resumed after a pause, during which it received no heartbeats.
    pub(super) last_process_pause_ms: u64,
    /// When a call to the key-value store last failed or had an indeterminate outcome.
    pub(in crate::scheduler) last_kv_failure_ms: Option<u64>,
}

impl FailureDetection {
    /// Clears the zones' state when the leader is deposed.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.zone_last_unresponsive_ms.clear();
    }
}

/// Share of `cancel_s` after which a machine is declared failed because of a cancelled task if
/// the machine and most others of its zone are unresponsive. Before that time either the
/// worker's lease expires, or a controller that knows of the cancellation renews the lease and
/// stops the task.
const PARTITION_CANCEL_SHARE: f64 = 0.9;

/// Why a machine is declared failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum MachineFailure {
    /// Neither the leader nor a follower has received a heartbeat of its worker.
    Unresponsive,
    /// Its worker sends heartbeats but doesn't start the assigned tasks.
    StartsIgnored,
    /// Its boot has taken more than `late_boots` times the boot time.
    BootOverdue,
    /// A task of a cancelled job wasn't stopped in time.
    CancelledTaskNotStopped,
}

impl fmt::Display for MachineFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MachineFailure::Unresponsive => "no heartbeats",
            MachineFailure::StartsIgnored => "start commands without effect",
            MachineFailure::BootOverdue => "boot overdue",
            MachineFailure::CancelledTaskNotStopped => "cancelled task not stopped",
        })
    }
}

/// The result of checking a machine whose worker is expected to send heartbeats.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
struct MachineAssessment {
    /// Why the machine is to be declared failed, if it is.
    failure: Option<MachineFailure>,
    /// Whether the machine has a preemption notice and still has tasks.
    must_drain: bool,
}

impl Scheduler {
    /// Checks all machines: declares machines failed, drains those with a preemption notice,
    /// requests pending releases again and enforces the stops of cancelled jobs.
    pub(in crate::scheduler) fn check_machines(&mut self, now: Now, cloud: &mut CloudClient) {
        self.fleet.expire_released(now.ms);
        self.finished_jobs.retain(|_, until_ms| now.ms < *until_ms);
        self.jobs.refresh();
        let cancelled: Vec<_> = self.jobs.stopping().iter().cloned().collect();
        for id in &cancelled {
            self.enforce_cancel(now, id);
        }
        let zones = self.assess_zones(now);
        let mut failed = self.overdue_boots(now);
        let mut draining = Vec::new();
        for machine in self.fleet.iter() {
            if !machine.expects_heartbeats() {
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
        self.refresh_unresponsive_machines(now);
    }

    /// Checks a machine whose worker is expected to send heartbeats.
    fn assess_machine(&self, now: Now, machine: &Machine, zone: &ZoneHealth) -> MachineAssessment {
        let starts_ignored = machine
            .ignored_starts
            .is_some_and(|ignored| now.ms > ignored.since_ms + self.lease_ms());
        let worker_failure = if self.is_unresponsive(now, machine, zone) {
            Some(MachineFailure::Unresponsive)
        } else {
            starts_ignored.then_some(MachineFailure::StartsIgnored)
        };
        let failure = worker_failure.or_else(|| {
            self.has_overdue_cancel(now, machine, zone)
                .then_some(MachineFailure::CancelledTaskNotStopped)
        });
        let has_preemption_notice = machine.reclaim_at_ms.is_some();
        MachineAssessment {
            failure,
            must_drain: worker_failure.is_none()
                && has_preemption_notice
                && !machine.tasks.is_empty(),
        }
    }

    /// Returns whether neither the leader nor a follower has received a heartbeat of the machine
    /// within the heartbeat timeout of its zone.
    fn is_unresponsive(&self, now: Now, machine: &Machine, zone: &ZoneHealth) -> bool {
        let timeout_start_ms = machine
            .last_heartbeat_ms
            .max(machine.lease_proxied_ms)
            .max(zone.timeouts_start_ms);
        // While the key-value store fails, followers can't record which leases they renew, and
        // the machine's tasks couldn't be placed elsewhere anyway.
        let kv_store_failed = self
            .failure_detection
            .last_kv_failure_ms
            .is_some_and(|failed_ms| now.ms < failed_ms + self.lease_ms() / 2);
        !kv_store_failed && now.ms > timeout_start_ms + zone.heartbeat_timeout_ms
    }

    /// Returns whether a task of a cancelled job is still assigned to the machine too long after
    /// its stop was requested.
    fn has_overdue_cancel(&self, now: Now, machine: &Machine, zone: &ZoneHealth) -> bool {
        let lease_ms = self.lease_ms();
        // A follower that renews the worker's lease also stops its cancelled tasks.
        if now.ms < machine.lease_proxied_ms + lease_ms {
            return false;
        }
        let unresponsive_with_zone =
            zone.mostly_unresponsive && now.ms > machine.last_heartbeat_ms + lease_ms / 2;
        let share = if unresponsive_with_zone {
            PARTITION_CANCEL_SHARE.max(self.tuning.cancel_share)
        } else {
            self.tuning.cancel_share
        };
        let limit_ms = self.settings.site.workers.cancel_s * 1000.0 * share;
        machine.tasks.iter().any(|task| {
            self.cancel_stop_requested_ms(task)
                .is_some_and(|requested_ms| now.ms as f64 > requested_ms as f64 + limit_ms)
        })
    }

    /// Returns when the stop of a cancelled job's task was requested; `None` if the job isn't
    /// cancelled or no stop was requested.
    fn cancel_stop_requested_ms(&self, task: &TaskRef) -> Option<u64> {
        let job = self.jobs.get(&task.job)?;
        job.cancelled_wall_ms?;
        let stop = job.assignments.get(&task.index)?.stop?;
        Some(stop.requested_ms)
    }

    /// Marks the machine as failed, so that it is released.
    fn declare_failed(&mut self, id: &MachineId, failure: MachineFailure) {
        if let Some(machine) = self.fleet.get_mut(id) {
            log::info!("machine unresponsive machine={id} reason=\"{failure}\"");
            machine.phase = MachinePhase::Releasing;
        }
    }

    /// Marks unresponsive machines as changed for the capacity index. Becoming unresponsive
    /// isn't an event, but such a machine must not get tasks.
    fn refresh_unresponsive_machines(&mut self, now: Now) {
        let max_heartbeat_age_ms = self.max_heartbeat_age_ms();
        let unresponsive: Vec<MachineId> = self
            .fleet
            .iter()
            .filter(|machine| machine.is_schedulable())
            .filter(|machine| !machine.accepts_tasks(now.ms, max_heartbeat_age_ms))
            .map(|machine| machine.id.clone())
            .collect();
        for id in &unresponsive {
            self.fleet.get_mut(id);
        }
    }

    /// Returns the machines whose boot is overdue, and records their boot times so far in the
    /// online estimates.
    fn overdue_boots(&mut self, now: Now) -> Vec<(MachineId, MachineFailure)> {
        // A new leader may know a machine that booted long ago only from the cloud's list, so
        // the machine must have had time to send a heartbeat.
        let heartbeat_timeout_ms = self.heartbeat_timeout_ms();
        let overdue: Vec<MachineId> = self
            .fleet
            .iter()
            .filter(|machine| {
                machine.phase == MachinePhase::Booting
                    && now.ms > machine.last_heartbeat_ms + heartbeat_timeout_ms
            })
            .filter(|machine| {
                let boot_ms = self.conservative_boot_ms(&machine.offer) as f64;
                let limit_ms = (boot_ms * self.tuning.late_boots) as u64;
                now.ms > machine.provisioned_ms + limit_ms
            })
            .map(|machine| machine.id.clone())
            .collect();
        for id in &overdue {
            self.sample_overdue_boot(now, id);
        }
        overdue
            .into_iter()
            .map(|id| (id, MachineFailure::BootOverdue))
            .collect()
    }

    /// Adds an overdue boot to the online estimates if the machine was provisioned in this
    /// term, so that its provisioning time is known.
    fn sample_overdue_boot(&mut self, now: Now, id: &MachineId) {
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
            .record_overdue_boot(&machine_type, nominal_s, provisioned_ms, waited_s);
    }
}

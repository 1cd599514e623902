//! The evidence against a job.

use crate::ids::MachineId;
use crate::waiting::MAX_WAIT_MS;
use std::collections::BTreeSet;

/// The number of machines on which a job without a successful task must have failed
/// before its circuit breaker opens.
const FAILED_MACHINES_TO_OPEN: usize = 3;

/// The number of contradictions that open the circuit breaker of a job without a
/// successful task. A single one may be a machine that was faulty and recovered.
const CONTRADICTIONS_TO_OPEN: u32 = 2;

/// The delay before the first probe of an open breaker, as a share of the workers'
/// heartbeat interval.
const FIRST_PROBE_DELAY_INTERVALS: f64 = 0.5;

/// The probe delay doubles with every failed probe, at most this many times.
const MAX_DELAY_DOUBLINGS: u32 = 7;

/// The longest probe delay, because the job may have failed on faulty machines only.
const MAX_PROBE_DELAY_MS: u64 = MAX_WAIT_MS * 3 / 4;

/// A job's circuit breaker. While the breaker is closed, the job's tasks are placed
/// normally. The breaker opens once the job has failed on several machines without a
/// success, or once other jobs have succeeded where it failed. While it is open, one task at a time probes whether the job can succeed, with
/// growing delays between probes, and no machine is provisioned and no task preempted or
/// migrated for the job. The first success closes the breaker.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    failed_machines: BTreeSet<MachineId>,
    succeeded: bool,
    /// How often a machine that was cordoned because of this job's failures has turned out to
    /// be healthy.
    contradictions: u32,
    /// Whether the breaker was open in the state that an earlier leader stored.
    inherited_open: bool,
    /// The number of consecutive failed probes.
    failed_probes: u32,
    retry_at_ms: u64,
}

impl CircuitBreaker {
    /// Records that a task failed on `machine`. `is_last` states that no other task of
    /// the job is on any machine, so that the next one is a probe.
    pub fn record_failure(
        &mut self,
        now_ms: u64,
        machine: &MachineId,
        is_last: bool,
        heartbeat_interval_ms: u64,
    ) {
        self.failed_machines.insert(machine.clone());
        if !self.is_open() || !is_last {
            return;
        }
        let first_delay_ms = (heartbeat_interval_ms as f64 * FIRST_PROBE_DELAY_INTERVALS) as u64;
        let delay_ms = first_delay_ms << self.failed_probes.min(MAX_DELAY_DOUBLINGS);
        let delay_ms = delay_ms.min(MAX_PROBE_DELAY_MS);
        self.failed_probes += 1;
        self.retry_at_ms = now_ms + delay_ms;
    }

    /// Records that another job has succeeded on a machine that was cordoned because of this
    /// job's failures. Returns whether this opened the breaker.
    pub fn record_contradiction(&mut self) -> bool {
        let was_open = self.is_open();
        self.contradictions += 1;
        self.is_open() && !was_open
    }

    /// Records a successful task and closes the breaker. Returns whether the task is the
    /// first known success of the job.
    pub fn record_success(&mut self) -> bool {
        self.failed_probes = 0;
        self.inherited_open = false;
        !std::mem::replace(&mut self.succeeded, true)
    }

    /// Returns whether any of the job's tasks is known to have succeeded.
    pub fn has_succeeded(&self) -> bool {
        self.succeeded
    }

    /// Returns whether the breaker is open, that is, whether the job is presumed faulty.
    pub fn is_open(&self) -> bool {
        !self.succeeded
            && (self.inherited_open
                || self.failed_machines.len() >= FAILED_MACHINES_TO_OPEN
                || self.contradictions >= CONTRADICTIONS_TO_OPEN)
    }

    /// Prevents tasks of the job from being placed before `until_ms`. An earlier call with
    /// a later time stays in effect.
    pub fn defer_until(&mut self, until_ms: u64) {
        self.retry_at_ms = self.retry_at_ms.max(until_ms);
    }

    /// Returns whether a task of the job may be placed now.
    pub fn allows_attempt(&self, now_ms: u64) -> bool {
        now_ms >= self.retry_at_ms
    }

    /// Returns whether a task of the job has failed on the machine.
    pub fn failed_on(&self, machine: &MachineId) -> bool {
        self.failed_machines.contains(machine)
    }

    /// Returns the machines on which a task of the job has failed.
    pub fn failed_machines(&self) -> impl Iterator<Item = &MachineId> {
        self.failed_machines.iter()
    }

    /// Returns the value to store for the next leader: 0 for a closed breaker, otherwise
    /// the number of failed probes plus 1.
    pub fn to_record(&self) -> u32 {
        if self.is_open() {
            self.failed_probes + 1
        } else {
            0
        }
    }

    /// Restores the state from a value of [`Self::to_record`] that an earlier leader stored.
    pub fn restore(&mut self, stored: u32) {
        if stored > 0 {
            self.inherited_open = true;
            self.failed_probes = self.failed_probes.max(stored - 1);
        }
    }
}

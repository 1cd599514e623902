//! Failure attribution: decides whether a failed task is evidence of a faulty machine or
//! of a faulty job.
//!
//! On a faulty machine the tasks of all jobs fail; a job that was submitted with a
//! mistake fails on every machine. [`MachineFaults`] holds the evidence against a
//! machine, and [`CircuitBreaker`] the evidence against a job.

use crate::ids::{JobId, MachineId};
use std::collections::BTreeSet;

/// The number of failed tasks after which a machine is cordoned. Two tasks of one job
/// are enough, because on a faulty machine all tasks of a job fail.
const FAILURES_TO_CORDON: usize = 2;

/// The number of machines on which a job without a successful task must have failed
/// before its circuit breaker opens.
const FAILED_MACHINES_TO_OPEN: usize = 3;

/// The delay before the first probe of an open breaker, as a share of the workers'
/// heartbeat interval.
const FIRST_PROBE_DELAY_INTERVALS: f64 = 0.5;

/// The probe delay doubles with every failed probe, at most this many times.
const MAX_DELAY_DOUBLINGS: u32 = 7;

/// The failed tasks that are evidence of a faulty machine. A task that succeeds on the
/// machine clears the evidence.
#[derive(Clone, Debug, Default)]
pub struct MachineFaults {
    /// The job of each task that failed on the machine.
    failed_jobs: Vec<JobId>,
    /// Whether one of `failed_jobs` has succeeded elsewhere, which rules the job out as
    /// the cause.
    job_succeeded_elsewhere: bool,
}

impl MachineFaults {
    /// Records that a task of the job failed on the machine or ran far too slowly.
    /// `job_succeeds` states whether other tasks of the job have succeeded.
    pub fn record_failure(&mut self, job: &JobId, job_succeeds: bool) {
        self.failed_jobs.push(job.clone());
        self.job_succeeded_elsewhere |= job_succeeds;
    }

    /// Clears the evidence because a task succeeded on the machine.
    pub fn record_success(&mut self) {
        *self = MachineFaults::default();
    }

    /// Discards the failures of a job that turned out to be faulty itself or that ended
    /// without success.
    pub fn discard_failures_of(&mut self, job: &JobId) {
        self.failed_jobs.retain(|failed| failed != job);
        if self.failed_jobs.is_empty() {
            self.job_succeeded_elsewhere = false;
        }
    }

    /// Records that a task of the job succeeded on another machine. Has no effect if the
    /// job hasn't failed on this machine.
    pub fn record_success_elsewhere(&mut self, job: &JobId) {
        self.job_succeeded_elsewhere |= self.failed_jobs.contains(job);
    }

    /// Returns whether the machine should be cordoned, so that it gets no new tasks.
    pub fn is_suspect(&self) -> bool {
        self.failed_jobs.len() >= FAILURES_TO_CORDON
    }

    /// Returns whether the machine should be released: it is suspect, and no single job
    /// explains the failures.
    pub fn is_faulty(&self) -> bool {
        let several_jobs = self
            .failed_jobs
            .iter()
            .any(|job| *job != self.failed_jobs[0]);
        self.is_suspect() && (self.job_succeeded_elsewhere || several_jobs)
    }
}

/// A job's circuit breaker. While the breaker is closed, the job's tasks are placed
/// normally. The breaker opens once the job has failed on several machines without a
/// success. While it is open, one task at a time probes whether the job can succeed, with
/// growing delays between probes, and no machine is provisioned and no task preempted or
/// migrated for the job. The first success closes the breaker.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    failed_machines: BTreeSet<MachineId>,
    succeeded: bool,
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
        self.failed_probes += 1;
        self.retry_at_ms = now_ms + delay_ms;
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
            && (self.inherited_open || self.failed_machines.len() >= FAILED_MACHINES_TO_OPEN)
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

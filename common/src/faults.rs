//! Failure attribution: whether a failed task speaks against its machine or
//! against its job.
//!
//! On a faulty machine the tasks of all jobs fail; a job that was submitted with
//! a mistake fails on every machine. Each side keeps its own evidence: a machine
//! its [`MachineFaults`], and a job its [`CircuitBreaker`].

use crate::ids::{JobId, MachineId};
use std::collections::BTreeSet;

/// After so many failed tasks a machine is cordoned. Two tasks of one job are
/// enough: on a faulty machine all of them fail.
const FAILURES_TO_CORDON: usize = 2;

/// A job that has failed on so many machines, and none of whose tasks has
/// succeeded, is at fault itself.
const FAILED_MACHINES_TO_OPEN: usize = 3;

/// The pause before the first probe of an open breaker, as a share of the
/// workers' heartbeat interval.
const FIRST_PAUSE_HEARTBEATS: f64 = 0.5;

/// The pause doubles with every failed probe, so many times at most.
const MAX_DOUBLINGS: u32 = 7;

/// The failed tasks that speak against a machine. A task that succeeds there
/// clears them.
#[derive(Clone, Debug, Default)]
pub struct MachineFaults {
    /// The job of each task that failed here.
    jobs: Vec<JobId>,
    /// One of these jobs has succeeded elsewhere, so it isn't at fault itself.
    confirmed: bool,
}

impl MachineFaults {
    /// A task of this job failed here, or ran far too slowly. `job_succeeds`:
    /// other tasks of the job have succeeded.
    pub fn add(&mut self, job: &JobId, job_succeeds: bool) {
        self.jobs.push(job.clone());
        self.confirmed |= job_succeeds;
    }

    /// A task succeeded here.
    pub fn clear(&mut self) {
        *self = MachineFaults::default();
    }

    /// The job turned out to be at fault itself, or ended without success.
    pub fn exonerate(&mut self, job: &JobId) {
        self.jobs.retain(|failed| failed != job);
        if self.jobs.is_empty() {
            self.confirmed = false;
        }
    }

    /// The job, which failed here, has succeeded elsewhere.
    pub fn confirm(&mut self, job: &JobId) {
        self.confirmed |= self.jobs.contains(job);
    }

    /// Whether the machine should be cordoned: it gets no new tasks.
    pub fn is_suspect(&self) -> bool {
        self.jobs.len() >= FAILURES_TO_CORDON
    }

    /// Whether the machine should be released: as far as one can tell, no single
    /// job is at fault.
    pub fn is_faulty(&self) -> bool {
        let several_jobs = self.jobs.iter().any(|job| *job != self.jobs[0]);
        self.is_suspect() && (self.confirmed || several_jobs)
    }
}

/// A job's circuit breaker. While it is closed, the job's tasks are placed like
/// any other's. Once the job has failed on several machines without a success, it
/// opens: one task at a time probes whether the job can succeed, with growing
/// pauses, and no machine is provisioned and no task preempted or migrated for
/// the job. The first success closes it.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    machines: BTreeSet<MachineId>,
    succeeded: bool,
    /// The breaker was open under an earlier leader.
    inherited_open: bool,
    /// How many probes have failed in a row.
    failed_probes: u32,
    retry_at_ms: u64,
}

impl CircuitBreaker {
    /// A task failed on this machine. `last`: no other task of the job is on
    /// any machine, so the next one is a probe.
    pub fn record_failure(
        &mut self,
        now_ms: u64,
        machine: &MachineId,
        last: bool,
        heartbeat_ms: u64,
    ) {
        self.machines.insert(machine.clone());
        if !self.is_open() || !last {
            return;
        }
        let first_ms = (heartbeat_ms as f64 * FIRST_PAUSE_HEARTBEATS) as u64;
        let pause_ms = first_ms << self.failed_probes.min(MAX_DOUBLINGS);
        self.failed_probes += 1;
        self.retry_at_ms = now_ms + pause_ms;
    }

    /// A task succeeded. Returns whether it is the first.
    pub fn record_success(&mut self) -> bool {
        self.failed_probes = 0;
        self.inherited_open = false;
        !std::mem::replace(&mut self.succeeded, true)
    }

    /// Whether any of the job's tasks is known to have succeeded.
    pub fn has_succeeded(&self) -> bool {
        self.succeeded
    }

    /// Whether the breaker is open: the job is taken to be at fault itself.
    pub fn is_open(&self) -> bool {
        !self.succeeded && (self.inherited_open || self.machines.len() >= FAILED_MACHINES_TO_OPEN)
    }

    /// No task of the job is placed before then.
    pub fn defer_until(&mut self, at_ms: u64) {
        self.retry_at_ms = self.retry_at_ms.max(at_ms);
    }

    /// Whether a task of the job may be placed now.
    pub fn allows_attempt(&self, now_ms: u64) -> bool {
        now_ms >= self.retry_at_ms
    }

    /// Whether a task of the job has failed on this machine.
    pub fn failed_on(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }

    /// The machines on which a task of the job has failed.
    pub fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.machines.iter()
    }

    /// The state to be stored for the next leader: 0 for a closed breaker, and
    /// otherwise one more than the number of failed probes.
    pub fn to_record(&self) -> u32 {
        if self.is_open() {
            self.failed_probes + 1
        } else {
            0
        }
    }

    /// Restores what an earlier leader stored; see [`Self::to_record`].
    pub fn restore(&mut self, stored: u32) {
        if stored > 0 {
            self.inherited_open = true;
            self.failed_probes = self.failed_probes.max(stored - 1);
        }
    }
}

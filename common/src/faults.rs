//! Failed tasks: is the machine faulty, or the job?
//!
//! A faulty machine fails everybody's tasks; a job that was submitted with a
//! mistake fails on every machine. Each side keeps its own evidence:
//! [`FaultEvidence`] belongs to a machine and [`FailureHistory`], a circuit
//! breaker, to a job.

use crate::ids::{JobId, MachineId};
use std::collections::BTreeSet;

/// After so many failed tasks a machine gets no new work. Two of one job count
/// as well: a faulty machine fails all of them.
const FAILURES_TO_CORDON: usize = 2;

/// A job none of whose tasks has succeeded, and that failed on so many
/// machines, is itself at fault.
const FAILED_MACHINES_TO_OPEN: usize = 3;

/// The pause before the first probe of an open breaker, as a share of the
/// workers' report interval.
const FIRST_PAUSE_HEARTBEATS: f64 = 0.5;

/// The pause doubles with every failed probe, so many times at most.
const MAX_DOUBLINGS: u32 = 7;

/// What speaks against a machine. A task that succeeds there clears it.
#[derive(Clone, Debug, Default)]
pub struct MachineFaults {
    /// The job of each task that failed here.
    jobs: Vec<JobId>,
    /// One of these jobs has succeeded elsewhere, so the fault isn't its own.
    certain: bool,
}

impl MachineFaults {
    /// A task of this job failed, or ran far too slowly. `job_succeeds`: other
    /// tasks of the job have succeeded.
    pub fn add(&mut self, job: &JobId, job_succeeds: bool) {
        self.jobs.push(job.clone());
        self.certain |= job_succeeds;
    }

    /// A task succeeded here.
    pub fn clear(&mut self) {
        *self = MachineFaults::default();
    }

    /// The job turned out to be at fault itself, or ended without success.
    pub fn exonerate(&mut self, job: &JobId) {
        self.jobs.retain(|blaming| blaming != job);
        if self.jobs.is_empty() {
            self.certain = false;
        }
    }

    /// The job, which failed here, has succeeded elsewhere.
    pub fn confirm(&mut self, job: &JobId) {
        self.certain |= self.jobs.contains(job);
    }

    /// The machine should get no new work.
    pub fn is_suspect(&self) -> bool {
        self.jobs.len() >= FAILURES_TO_CORDON
    }

    /// The machine should be returned: as far as one can tell, the fault can't
    /// be a single job's.
    pub fn is_faulty(&self) -> bool {
        let several_jobs = self.jobs.iter().any(|job| *job != self.jobs[0]);
        self.is_suspect() && (self.certain || several_jobs)
    }
}

/// A job's circuit breaker. Closed, its tasks are placed like any other's.
/// Once the job has failed on several machines without a success it opens: one
/// task at a time probes whether it can succeed, with growing pauses, and
/// nothing is rented, stopped or moved for it. The first success closes it.
#[derive(Clone, Debug, Default)]
pub struct CircuitBreaker {
    machines: BTreeSet<MachineId>,
    succeeded: bool,
    /// An earlier leader found the breaker open.
    inherited_open: bool,
    /// How many probes have failed in a row.
    failed_probes: u32,
    retry_at_ms: u64,
}

impl CircuitBreaker {
    /// A task failed on this machine. `last`: no other task of the job is on
    /// any machine, so the next one is a probe.
    pub fn record_failure(&mut self, now_ms: u64, machine: &MachineId, last: bool, report_ms: u64) {
        self.machines.insert(machine.clone());
        if !self.is_open() || !last {
            return;
        }
        let first_ms = (report_ms as f64 * FIRST_PAUSE_HEARTBEATS) as u64;
        let pause_ms = first_ms << self.failed_probes.min(MAX_DOUBLINGS);
        self.failed_probes += 1;
        self.retry_at_ms = now_ms + pause_ms;
    }

    /// A task succeeded. Tells whether it is the first.
    pub fn record_success(&mut self) -> bool {
        self.failed_probes = 0;
        self.inherited_open = false;
        !std::mem::replace(&mut self.succeeded, true)
    }

    /// Whether any of the job's tasks is known to have succeeded.
    pub fn has_succeeded(&self) -> bool {
        self.succeeded
    }

    /// Whether the job is taken to be at fault itself.
    pub fn is_open(&self) -> bool {
        !self.succeeded && (self.inherited_open || self.machines.len() >= FAILED_MACHINES_TO_OPEN)
    }

    /// Nothing of the job is placed before then.
    pub fn defer_until(&mut self, at_ms: u64) {
        self.retry_at_ms = self.retry_at_ms.max(at_ms);
    }

    /// Whether a task of the job may be placed now.
    pub fn allows_attempt(&self, now_ms: u64) -> bool {
        now_ms >= self.retry_at_ms
    }

    /// Whether a task of the job has failed there.
    pub fn failed_on(&self, machine: &MachineId) -> bool {
        self.machines.contains(machine)
    }

    /// The machines on which a task of the job has failed.
    pub fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.machines.iter()
    }

    /// What the next leader should know: 0 for a closed breaker, and otherwise
    /// one more than the failed probes.
    pub fn to_record(&self) -> u32 {
        if self.is_open() {
            self.failed_probes + 1
        } else {
            0
        }
    }

    /// Takes over what an earlier leader stored; see [`Self::to_record`].
    pub fn restore(&mut self, stored: u32) {
        if stored > 0 {
            self.inherited_open = true;
            self.failed_probes = self.failed_probes.max(stored - 1);
        }
    }
}

//! Failure attribution: whether a failed task speaks against its machine or
//! against its job.

use crate::ids::{JobId, MachineId, TaskRef};
use crate::messages::Now;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// A task has failed. Usually the machine is faulty; but a job that fails
    /// everywhere must not get one machine after the other cordoned.
    pub(super) fn task_failed(&mut self, now: Now, id: &MachineId, task: &TaskRef) {
        let heartbeat_ms = self.heartbeat_interval_ms();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let last = job.assignments.is_empty();
        let was_open = job.failures.is_open();
        job.failures.record_failure(now.ms, id, last, heartbeat_ms);
        if job.failures.is_open() {
            if !was_open {
                log::info!("job circuit breaker opened job={}", task.job);
            }
            self.exonerate_machines(&task.job);
            return;
        }
        let job_succeeds = job.failures.has_succeeded();
        if let Some(machine) = self.fleet.get_mut(id) {
            machine.faults.record_failure(&task.job, job_succeeds);
            if machine.faults.is_suspect() {
                log::info!("machine cordoned machine={id} reason=\"failed tasks\"");
            }
        }
    }

    /// The job's failures say nothing about the machines on which it failed.
    fn exonerate_machines(&mut self, job_id: &JobId) {
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        for id in job.failures.failed_machines() {
            if let Some(machine) = self.fleet.get_mut(id) {
                machine.faults.discard_failures_of(job_id);
            }
        }
    }

    /// The job has ended. If none of its tasks has succeeded, its failures say
    /// nothing about the machines.
    pub(in crate::scheduler) fn exonerate_unless_succeeded(&mut self, job_id: &JobId) {
        let succeeded = self
            .jobs
            .get(job_id)
            .is_some_and(|job| job.failures.has_succeeded());
        if !succeeded {
            self.exonerate_machines(job_id);
        }
    }

    /// A task of the job has succeeded: those that failed did so by the fault
    /// of their machines.
    pub(in crate::scheduler) fn record_job_success(&mut self, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        if !job.failures.record_success() {
            return;
        }
        for id in job.failures.failed_machines() {
            if let Some(machine) = self.fleet.get_mut(id) {
                machine.faults.record_success_elsewhere(job_id);
            }
        }
    }
}

//! Failure attribution: whether a task failure is attributed to the machine or to the job.

use crate::ids::{JobId, MachineId, TaskRef};
use crate::messages::Now;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Attributes a task failure to the task's machine, or to its job if the job's circuit
    /// breaker is open. The circuit breaker prevents a job that fails on every machine from
    /// getting one machine after another cordoned.
    pub(super) fn record_task_failure(&mut self, now: Now, id: &MachineId, task: &TaskRef) {
        let heartbeat_ms = self.heartbeat_interval_ms();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let no_task_assigned = job.assignments.is_empty();
        let was_open = job.circuit_breaker.is_open();
        job.circuit_breaker
            .record_failure(now.ms, id, no_task_assigned, heartbeat_ms);
        if job.circuit_breaker.is_open() {
            if !was_open {
                log::info!("job circuit breaker opened job={}", task.job);
            }
            self.discard_machine_faults(&task.job);
            return;
        }
        let job_succeeds = job.circuit_breaker.has_succeeded();
        if let Some(machine) = self.fleet.get_mut(id) {
            machine.faults.record_failure(&task.job, job_succeeds);
            if machine.faults.is_suspect() {
                log::info!("machine cordoned machine={id} reason=\"failed tasks\"");
            }
        }
    }

    /// Removes the job's failures from the fault records of the machines on which its tasks
    /// failed.
    fn discard_machine_faults(&mut self, job_id: &JobId) {
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        for id in job.circuit_breaker.failed_machines() {
            if let Some(machine) = self.fleet.get_mut(id) {
                machine.faults.discard_failures_of(job_id);
            }
        }
    }

    /// Removes the failures of a finished job from the machines' fault records if none of the
    /// job's tasks has succeeded, because the cause may then be the job itself.
    pub(in crate::scheduler) fn discard_faults_unless_succeeded(&mut self, job_id: &JobId) {
        let succeeded = self
            .jobs
            .get(job_id)
            .is_some_and(|job| job.circuit_breaker.has_succeeded());
        if !succeeded {
            self.discard_machine_faults(job_id);
        }
    }

    /// Records that a task of the job has succeeded. The first success attributes the job's
    /// earlier failures to the machines on which they occurred.
    pub(in crate::scheduler) fn record_job_success(&mut self, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        if !job.circuit_breaker.record_success() {
            return;
        }
        for id in job.circuit_breaker.failed_machines() {
            if let Some(machine) = self.fleet.get_mut(id) {
                machine.faults.record_success_elsewhere(job_id);
            }
        }
    }
}

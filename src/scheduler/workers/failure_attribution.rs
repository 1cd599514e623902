//! Failure attribution: whether a task failure is attributed to the machine or to the job.

use crate::faults::{FailureKind, TaskFailure};
use crate::ids::{JobId, MachineId, TaskRef};
use crate::messages::Now;
use crate::scheduler::{Assignment, Scheduler};
use std::collections::BTreeSet;

/// How a task has shown that its machine executes tasks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum MachineSuccess {
    /// The task is done.
    Completed,
    /// The task has been running for a while. On a faulty machine it would have failed.
    Running,
}

impl Scheduler {
    /// Attributes a task failure to the task's machine, or to its job if the job's circuit
    /// breaker is open. The circuit breaker prevents a job that fails on every machine from
    /// getting one machine after another cordoned.
    pub(super) fn record_task_failure(
        &mut self,
        now: Now,
        id: &MachineId,
        task: &TaskRef,
        assignment: &Assignment,
    ) {
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
        let failure = TaskFailure {
            kind: FailureKind::Failed,
            job: &task.job,
            job_succeeds: job.circuit_breaker.has_succeeded(),
            started_ms: assignment.first_sent_ms,
            now_ms: now.ms,
            heartbeat_interval_ms: heartbeat_ms,
        };
        self.record_machine_failure(id, failure);
    }

    /// Records a failed or far too slow task as evidence against its machine.
    pub(in crate::scheduler) fn record_machine_failure(
        &mut self,
        id: &MachineId,
        failure: TaskFailure,
    ) {
        if let Some(machine) = self.fleet.get_mut(id) {
            if machine.faults.record_failure(failure) {
                log::info!("machine cordoned machine={id} reason=\"failed tasks\"");
            }
        }
    }

    /// Records that a task of `job` succeeded on a machine. This clears the evidence against the
    /// machine if the task was started after the last failure, and is evidence against other
    /// jobs that had failed there.
    pub(super) fn record_machine_success(
        &mut self,
        id: &MachineId,
        job: &JobId,
        started_ms: Option<u64>,
        success: MachineSuccess,
    ) {
        let contradicts = self.fleet.get(id).is_some_and(|machine| match success {
            MachineSuccess::Completed => machine.faults.is_contradicted_by_completion(started_ms),
            MachineSuccess::Running => machine.faults.is_contradicted_by_running(started_ms),
        });
        // Most successes meet no evidence, and a modified machine is indexed again.
        if !contradicts {
            return;
        }
        let Some(machine) = self.fleet.get_mut(id) else {
            return;
        };
        if machine.faults.is_suspect() {
            log::info!("machine uncordoned machine={id} job={job}");
            self.pacing.requested = true;
        }
        let mut contradicted = machine.faults.cordoning_jobs();
        match success {
            MachineSuccess::Completed => machine.faults.record_success(),
            MachineSuccess::Running => machine.faults.record_running_probe(),
        }
        contradicted.remove(job);
        self.record_contradictions(id, contradicted);
    }

    /// Records that other jobs succeed on a machine that these jobs had cordoned.
    fn record_contradictions(&mut self, id: &MachineId, jobs: BTreeSet<JobId>) {
        for job_id in jobs {
            if self.groups.get(&job_id).is_some() {
                self.record_group_contradiction(id, &job_id);
                continue;
            }
            let Some(job) = self.jobs.get_mut(&job_id) else {
                continue;
            };
            if job.circuit_breaker.record_contradiction() {
                log::info!("job circuit breaker opened job={job_id}");
                self.discard_machine_faults(&job_id);
            }
        }
    }

    /// Removes the job's failures from the fault records of the machines on which its tasks
    /// failed.
    pub(in crate::scheduler) fn discard_machine_faults(&mut self, job_id: &JobId) {
        for id in self.failed_machines(job_id) {
            if let Some(machine) = self.fleet.get_mut(&id) {
                machine.faults.discard_failures_of(job_id);
            }
        }
    }

    /// Returns the machines on which tasks of the job have failed, on their own or as parts of a
    /// replica group.
    fn failed_machines(&self, job_id: &JobId) -> BTreeSet<MachineId> {
        let job = self.jobs.get(job_id).into_iter();
        let groups = self.groups.get(job_id).into_iter();
        let group_breakers = groups.flat_map(|groups| groups.iter().map(|g| g.circuit_breaker()));
        job.map(|job| &job.circuit_breaker)
            .chain(group_breakers)
            .flat_map(|breaker| breaker.failed_machines().cloned())
            .collect()
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

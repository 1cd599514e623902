//! Processing of ended tasks: updates of the job, the machine and the online estimates.

use crate::faults::{FailureKind, TaskFailure};
use crate::ids::{MachineId, TaskRef};
use crate::messages::Now;
use crate::scheduler::workers::failure_attribution::MachineSuccess;
use crate::scheduler::{Assignment, Scheduler};
use crate::wire::workers::ExitReason;

/// Backoff before a job's tasks are placed again after a worker has rejected a start.
const REJECTED_START_BACKOFF_MS: u64 = 500;

impl Scheduler {
    /// Processes the end of an assigned attempt that the worker has reported.
    pub(super) fn handle_task_exit(
        &mut self,
        now: Now,
        id: &MachineId,
        task: &TaskRef,
        reason: ExitReason,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(assignment) = job.assignments.remove(&task.index) else {
            return;
        };
        self.groups.request_task_evaluation(&task.job, task.index);
        // The run time is unknown if an earlier leader started the task.
        let run_ms = assignment
            .running_since_ms
            .filter(|_| !assignment.started_by_earlier_leader)
            .map(|since_ms| now.ms - since_ms);
        let slow = reason == ExitReason::Done
            && run_ms.is_some_and(|took_ms| job.record_run_time(took_ms));
        if let Some(machine) = self.fleet.get_mut(id) {
            machine.unassign(task, &job.task_request, now.ms);
        }
        let is_cancelled = job.cancelled_wall_ms.is_some();
        let started_ms = assignment.first_sent_ms;
        if slow {
            log::info!("machine slow machine={id} task={task}");
            let failure = TaskFailure {
                kind: FailureKind::Slow,
                job: &task.job,
                job_succeeds: true,
                started_ms,
                now_ms: now.ms,
                heartbeat_interval_ms: self.heartbeat_interval_ms(),
            };
            self.record_machine_failure(id, failure);
        } else if reason == ExitReason::Done {
            self.record_machine_success(id, &task.job, started_ms, MachineSuccess::Completed);
        }
        self.pacing.requested = true;
        self.commits.has_changes = true;
        if is_cancelled {
            return;
        }
        log::info!(
            "task ended task={task} attempt={} machine={id} reason={reason:?}",
            assignment.attempt
        );
        // The worker keeps the result until the end is stored and acknowledged.
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.unstored_ends.insert((task.index, assignment.attempt));
        }
        match reason {
            ExitReason::Done => self.record_task_completion(now, task, run_ms),
            _ => self.requeue_incomplete_task(now, id, task, &assignment, reason),
        }
    }

    /// Marks the task as done. `run_ms` is its run time, or `None` if an earlier leader started
    /// it.
    fn record_task_completion(&mut self, now: Now, task: &TaskRef, run_ms: Option<u64>) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.done.insert(task.index);
        job.mark_dirty(task.index, now.ms, false);
        if let Some(run_ms) = run_ms {
            let run_s = run_ms as f64 / 1000.0;
            let (class, estimated_s) = (job.spec.class.clone(), job.spec.estimated_run_s);
            self.estimates
                .record_task_run_time(&class, estimated_s, run_s);
        }
        self.record_job_success(&task.job);
    }

    /// Makes a task that ended without completing pending again, and records the failure or
    /// starts a backoff, depending on the reason.
    fn requeue_incomplete_task(
        &mut self,
        now: Now,
        id: &MachineId,
        task: &TaskRef,
        assignment: &Assignment,
        reason: ExitReason,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.pending.insert(task.index);
        job.mark_dirty(task.index, now.ms, false);
        let multi_host = job.shape.is_some();
        let retry_ms = now.ms + REJECTED_START_BACKOFF_MS;
        match reason {
            ExitReason::Error if multi_host => self.record_part_failure(now, id, task, assignment),
            ExitReason::Error => self.record_task_failure(now, id, task, assignment),
            ExitReason::Stopped => {}
            _ if multi_host => self.defer_group(task, retry_ms),
            _ => job.circuit_breaker.defer_until(retry_ms),
        }
    }
}

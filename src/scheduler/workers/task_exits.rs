//! Tasks that have ended: what their end means for the job and its machine.

use crate::ids::{Attempt, MachineId, TaskRef};
use crate::messages::Now;
use crate::scheduler::Scheduler;
use crate::wire::workers::ExitReason;

/// After a worker has refused a start, the job's tasks are not placed for so
/// long.
const REFUSED_START_PAUSE_MS: u64 = 500;

impl Scheduler {
    /// The worker reports that the assigned attempt has ended.
    pub(super) fn task_ended(
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
        self.groups.touch_task(&task.job, task.index);
        // Of an inherited task only the end of its run was seen.
        let run_ms = assignment
            .running_since_ms
            .filter(|_| !assignment.started_by_earlier_leader)
            .map(|since_ms| now.ms - since_ms);
        let slow = reason == ExitReason::Done
            && run_ms.is_some_and(|took_ms| job.record_run_time(took_ms));
        if let Some(machine) = self.fleet.get_mut(id) {
            machine.unassign(task, &job.task_request, now.ms);
            if slow {
                log::info!("machine slow machine={id} task={task}");
                machine.faults.record_failure(&task.job, true);
            } else if reason == ExitReason::Done {
                machine.faults.record_success();
            }
        }
        self.pacing.requested = true;
        self.commits.has_changes = true;
        if job.cancelled.is_some() {
            return;
        }
        log::info!(
            "task ended task={task} attempt={} machine={id} reason={reason:?}",
            assignment.attempt
        );
        // Its worker keeps the result until this is stored.
        job.unstored_ends.insert((task.index, assignment.attempt));
        match reason {
            ExitReason::Done => self.task_done(now, task, run_ms),
            _ => self.task_not_done(now, id, task, assignment.attempt, reason),
        }
    }

    /// The task has completed. `run_ms`: how long it ran, if all of it was seen.
    fn task_done(&mut self, now: Now, task: &TaskRef, run_ms: Option<u64>) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.done.insert(task.index);
        job.touch(task.index, now.ms, false);
        if let Some(run_ms) = run_ms {
            let run_s = run_ms as f64 / 1000.0;
            let (class, estimated_s) = (job.spec.class.clone(), job.spec.estimated_run_s);
            self.estimates.task_ran(&class, estimated_s, run_s);
        }
        self.record_job_success(&task.job);
    }

    /// The task has ended without completing and is pending again.
    fn task_not_done(
        &mut self,
        now: Now,
        id: &MachineId,
        task: &TaskRef,
        attempt: Attempt,
        reason: ExitReason,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.pending.insert(task.index);
        job.touch(task.index, now.ms, false);
        let multi_host = job.shape.is_some();
        let retry_ms = now.ms + REFUSED_START_PAUSE_MS;
        match reason {
            ExitReason::Error if multi_host => self.part_failed(now, id, task, attempt),
            ExitReason::Error => self.task_failed(now, id, task),
            ExitReason::Stopped => {}
            _ if multi_host => self.defer_group(task, retry_ms),
            _ => job.failures.defer_until(retry_ms),
        }
    }
}

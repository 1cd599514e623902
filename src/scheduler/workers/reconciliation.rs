//! Reconciliation: the tasks that a worker has are compared with those that are
//! assigned to it.

use crate::ids::{AgentEpoch, Attempt, FencingToken, MachineId, TaskRef};
use crate::messages::Now;
use crate::scheduler::{Scheduler, SchedulerEffects, StepDownReason};
use crate::wire::workers::{ExitReason, TaskPhase, TaskStatus, WorkerHeartbeat};
use std::collections::HashMap;
use std::fmt;

/// After so many heartbeat intervals without the effect of a start command, a
/// machine counts as unresponsive.
const UNRESPONSIVE_HEARTBEATS: u64 = 5;

/// What proves that an assigned task is not on its machine and never will be.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum AbsenceProof {
    /// The cloud has confirmed the release of the machine.
    MachineReleased,
    /// The worker's agent epoch is over: its tasks have ended with it, and
    /// commands of that epoch are refused.
    AgentEpochOver,
    /// The worker doesn't have the task, under a fencing token under which it
    /// refuses every start that was sent.
    AbsentUnderRaisedToken,
}

impl fmt::Display for AbsenceProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AbsenceProof::MachineReleased => "machine released",
            AbsenceProof::AgentEpochOver => "agent epoch over",
            AbsenceProof::AbsentUnderRaisedToken => "absent under a raised fencing token",
        })
    }
}

impl Scheduler {
    /// Compares the tasks that are assigned to a machine with those that its
    /// worker has.
    pub(super) fn reconcile(
        &mut self,
        now: Now,
        id: &MachineId,
        heartbeat: &WorkerHeartbeat,
        out: &mut SchedulerEffects,
    ) {
        self.expire_earlier_epochs(now, id, heartbeat.agent_epoch);
        let mut present: HashMap<(&TaskRef, Attempt), &TaskStatus> = heartbeat
            .tasks
            .iter()
            .filter_map(|status| Some(((status.task.as_ref()?, status.attempt), status)))
            .collect();
        let Some(machine) = self.fleet.get_mut(id) else {
            return;
        };
        let assigned: Vec<TaskRef> = machine.tasks.iter().cloned().collect();
        machine.pulling_images.clear();
        let mut start_overdue = false;
        for task in &assigned {
            let Some(attempt) = self.assigned_attempt(id, task) else {
                continue;
            };
            match present.remove(&(task, attempt)) {
                Some(status) if status.phase == TaskPhase::Ended => {
                    let reason = status.reason.unwrap_or(ExitReason::Other);
                    self.task_ended(now, id, task, reason);
                }
                Some(status) => self.task_present(now, id, task, status.phase),
                None => {
                    start_overdue |= self.task_absent(now, id, task, heartbeat.fencing_token, out);
                }
            }
        }
        let unassigned_tasks = present
            .values()
            .any(|status| status.phase != TaskPhase::Ended);
        if let Some(machine) = self.fleet.get_mut(id) {
            machine.has_unassigned_tasks = unassigned_tasks;
            if start_overdue {
                machine.starts_ignored_since_ms.get_or_insert(now.ms);
            } else {
                machine.starts_ignored_since_ms = None;
            }
        }
    }

    /// The attempt of the task that is assigned to this machine.
    fn assigned_attempt(&self, id: &MachineId, task: &TaskRef) -> Option<Attempt> {
        let assignment = self.jobs.get(&task.job)?.assignments.get(&task.index)?;
        (assignment.machine == *id).then_some(assignment.attempt)
    }

    /// The worker has the task, and it hasn't ended.
    fn task_present(&mut self, now: Now, id: &MachineId, task: &TaskRef, phase: TaskPhase) {
        let settled_ms = self.settled_ms();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let (is_service, multi_host) = (job.is_service(), job.shape.is_some());
        let Some(assignment) = job.assignments.get_mut(&task.index) else {
            return;
        };
        if phase != TaskPhase::PullingImage && assignment.running_since_ms.is_none() {
            assignment.running_since_ms = Some(now.ms);
            let waited_ms = now.wall_ms.saturating_sub(job.ready_at);
            assignment.missed_start_slo = self
                .settings
                .start_slo_ms(&job.spec)
                .is_some_and(|slo_ms| waited_ms > slo_ms);
            log::info!(
                "task running task={task} attempt={} machine={id} waited_ms={waited_ms}",
                assignment.attempt,
            );
        }
        if assignment.phase.replace(phase) != Some(phase) {
            self.groups.touch_task(&task.job, task.index);
        }
        // A service never ends, so running for long enough counts as its
        // success; a replica that spans machines succeeds as a whole.
        let settled = is_service
            && !multi_host
            && phase == TaskPhase::Running
            && assignment
                .running_since_ms
                .is_some_and(|since_ms| now.ms > since_ms + settled_ms);
        let (image, image_gb) = (job.spec.image.clone(), job.spec.image_gb);
        if let Some(machine) = self.fleet.get_mut(id) {
            if phase == TaskPhase::PullingImage {
                *machine.pulling_images.entry(image).or_insert(0) += 1;
            } else {
                machine.mark_image_used(&image, image_gb);
            }
        }
        if settled {
            self.record_job_success(&task.job);
        }
    }

    /// The worker doesn't have the task. Returns whether its start has been
    /// without effect for too long.
    fn task_absent(
        &mut self,
        now: Now,
        id: &MachineId,
        task: &TaskRef,
        reported_token: FencingToken,
        out: &mut SchedulerEffects,
    ) -> bool {
        let start_timeout_ms = UNRESPONSIVE_HEARTBEATS * self.heartbeat_interval_ms();
        let assignment = self
            .jobs
            .get_mut(&task.job)
            .and_then(|job| job.assignments.get_mut(&task.index));
        let Some(assignment) = assignment else {
            return false;
        };
        if assignment.phase.take().is_some() {
            self.groups.touch_task(&task.job, task.index);
        }
        if assignment.stop.is_none() {
            return assignment
                .first_sent_ms
                .is_some_and(|sent_ms| now.ms > sent_ms + start_timeout_ms);
        }
        let proven = match (assignment.first_sent_ms, assignment.absent_proof) {
            // No start of this term was sent, and starts of earlier terms are
            // refused under the token of this heartbeat.
            (None, _) => true,
            (_, Some(token)) => reported_token >= token,
            (_, None) => {
                match self
                    .fleet
                    .get_mut(id)
                    .and_then(|machine| machine.advance_fencing_token())
                {
                    Some(token) => assignment.absent_proof = Some(token),
                    None => out.step_down = Some(StepDownReason::FencingTokensExhausted),
                }
                false
            }
        };
        if proven {
            self.drop_assignment(now, task, AbsenceProof::AbsentUnderRaisedToken);
        }
        false
    }

    /// Drops all that was assigned in an earlier agent epoch: with its epoch a
    /// worker's tasks end, and commands of that epoch are refused.
    pub(super) fn expire_earlier_epochs(&mut self, now: Now, id: &MachineId, epoch: AgentEpoch) {
        let Some(machine) = self.fleet.get(id) else {
            return;
        };
        for task in machine.tasks.clone() {
            let earlier = self
                .jobs
                .get(&task.job)
                .and_then(|job| job.assignments.get(&task.index))
                .is_some_and(|assignment| {
                    assignment.machine == *id && assignment.agent_epoch < epoch
                });
            if earlier {
                self.drop_assignment(now, &task, AbsenceProof::AgentEpochOver);
            }
        }
    }

    /// It is proven that the task is on no machine: it is pending again, or its
    /// cancelled job is one task nearer to its end.
    pub(super) fn drop_assignment(&mut self, now: Now, task: &TaskRef, proof: AbsenceProof) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(assignment) = job.assignments.remove(&task.index) else {
            return;
        };
        log::debug!(
            "assignment dropped task={task} attempt={} machine={} reason=\"{proof}\"",
            assignment.attempt,
            assignment.machine
        );
        let task_request = job.task_request;
        if job.cancelled.is_none() {
            job.pending.insert(task.index);
        }
        job.touch(task.index, now.ms, false);
        if let Some(machine) = self.fleet.get_mut(&assignment.machine) {
            machine.unassign(task, &task_request, now.ms);
        }
        self.groups.touch_task(&task.job, task.index);
        self.pacing.requested = true;
        self.commits.has_changes = true;
    }
}

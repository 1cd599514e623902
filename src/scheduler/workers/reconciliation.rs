//! Reconciliation of the tasks that a worker reports with those that are assigned to its machine.

use crate::fleet::IgnoredStarts;
use crate::ids::{AgentEpoch, Attempt, FencingToken, MachineId, TaskRef};
use crate::messages::Now;
use crate::scheduler::workers::failure_attribution::MachineSuccess;
use crate::scheduler::{Scheduler, SchedulerEffects, StepDownReason};
use crate::wire::workers::{ExitReason, TaskPhase, TaskStatus, WorkerHeartbeat};
use std::collections::HashMap;
use std::fmt;

/// Time after which a start command without effect is overdue, in heartbeat intervals. Tasks
/// aren't assigned to a machine with an overdue start.
const START_TIMEOUT_HEARTBEATS: u64 = 5;
/// Time after which a running task shows that its machine executes tasks, in heartbeat
/// intervals. A faulty machine fails its tasks as soon as they have their image.
const RUNNING_PROOF_HEARTBEATS: u64 = 4;

/// Proof that an assigned task isn't on its machine and can't be started there anymore.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum AbsenceProof {
    /// The cloud has confirmed the release of the machine.
    MachineReleased,
    /// The agent epoch of the assignment has expired: the worker's tasks ended with the epoch, and
    /// the worker rejects commands of that epoch.
    AgentEpochExpired,
    /// The worker has reported that it doesn't have the task, and its fencing token is so high
    /// that it rejects every start command that was sent.
    AbsentUnderRaisedToken,
}

impl fmt::Display for AbsenceProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AbsenceProof::MachineReleased => "machine released",
            AbsenceProof::AgentEpochExpired => "agent epoch expired",
            AbsenceProof::AbsentUnderRaisedToken => "absent under a raised fencing token",
        })
    }
}

impl Scheduler {
    /// Compares the tasks that are assigned to a machine with those in its worker's status, and
    /// updates the assignments.
    pub(super) fn reconcile(
        &mut self,
        now: Now,
        id: &MachineId,
        heartbeat: &WorkerHeartbeat,
        effects: &mut SchedulerEffects,
    ) {
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
                    self.handle_task_exit(now, id, task, reason);
                }
                Some(status) => self.update_present_task(now, id, task, status.phase),
                None => {
                    start_overdue |=
                        self.update_absent_task(now, id, task, heartbeat.fencing_token, effects);
                }
            }
        }
        let unassigned_tasks = present
            .values()
            .any(|status| status.phase != TaskPhase::Ended);
        if let Some(machine) = self.fleet.get_mut(id) {
            machine.has_unassigned_tasks = unassigned_tasks;
        }
        self.update_ignored_starts(now, id, heartbeat.fencing_token, start_overdue, effects);
    }

    /// Updates whether the worker ignores start commands. A worker that doesn't receive them loses
    /// its lease, and with it the assignments that were overdue. So it counts as receiving commands
    /// again only once a start has an effect, or once it reports a token that was raised since.
    fn update_ignored_starts(
        &mut self,
        now: Now,
        id: &MachineId,
        reported_token: FencingToken,
        start_overdue: bool,
        effects: &mut SchedulerEffects,
    ) {
        let Some(machine) = self.fleet.get_mut(id) else {
            return;
        };
        match machine.ignored_starts {
            None if start_overdue => match machine.advance_fencing_token() {
                Some(raised_token) => {
                    machine.ignored_starts = Some(IgnoredStarts {
                        since_ms: now.ms,
                        raised_token,
                    });
                }
                None => effects.step_down = Some(StepDownReason::FencingTokensExhausted),
            },
            Some(ignored) if !start_overdue => {
                let has_started = !machine.tasks.is_empty();
                if has_started || reported_token >= ignored.raised_token {
                    machine.ignored_starts = None;
                    self.pacing.requested = true;
                }
            }
            None | Some(_) => {}
        }
    }

    /// Returns the attempt of the task that is assigned to this machine, if any.
    fn assigned_attempt(&self, id: &MachineId, task: &TaskRef) -> Option<Attempt> {
        let assignment = self.jobs.get(&task.job)?.assignments.get(&task.index)?;
        (assignment.machine == *id).then_some(assignment.attempt)
    }

    /// Updates the assignment of a task that the worker has and that hasn't ended.
    fn update_present_task(&mut self, now: Now, id: &MachineId, task: &TaskRef, phase: TaskPhase) {
        let success_after_ms = self.success_after_ms();
        let running_proof_ms = RUNNING_PROOF_HEARTBEATS * self.heartbeat_interval_ms();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let (is_service, multi_host) = (job.is_service(), job.shape.is_some());
        let Some(assignment) = job.assignments.get_mut(&task.index) else {
            return;
        };
        if phase != TaskPhase::PullingImage && assignment.running_since_ms.is_none() {
            assignment.running_since_ms = Some(now.ms);
            let waited_ms = now.wall_ms.saturating_sub(job.ready_wall_ms);
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
            self.groups.request_task_evaluation(&task.job, task.index);
        }
        // A service task doesn't end by itself, so it succeeds by running for long enough. The
        // success of a replica that spans machines is recorded by its replica group.
        let counts_as_success = is_service
            && !multi_host
            && phase == TaskPhase::Running
            && assignment
                .running_since_ms
                .is_some_and(|since_ms| now.ms > since_ms + success_after_ms);
        let runs_for_a_while = phase == TaskPhase::Running
            && assignment
                .running_since_ms
                .is_some_and(|since_ms| now.ms > since_ms + running_proof_ms);
        let started_ms = assignment.first_sent_ms;
        let (image, image_gb) = (job.spec.image.clone(), job.spec.image_gb);
        if let Some(machine) = self.fleet.get_mut(id) {
            if phase == TaskPhase::PullingImage {
                *machine.pulling_images.entry(image).or_insert(0) += 1;
            } else {
                machine.mark_image_used(&image, image_gb);
            }
        }
        if counts_as_success {
            self.record_job_success(&task.job);
        }
        if runs_for_a_while {
            self.record_machine_success(id, &task.job, started_ms, MachineSuccess::Running);
        }
    }

    /// Updates the assignment of a task that the worker doesn't have. The assignment is dropped
    /// if a stop was requested and the absence is proven. Returns whether the task's start is
    /// overdue.
    fn update_absent_task(
        &mut self,
        now: Now,
        id: &MachineId,
        task: &TaskRef,
        reported_token: FencingToken,
        effects: &mut SchedulerEffects,
    ) -> bool {
        let start_timeout_ms = START_TIMEOUT_HEARTBEATS * self.heartbeat_interval_ms();
        let assignment = self
            .jobs
            .get_mut(&task.job)
            .and_then(|job| job.assignments.get_mut(&task.index));
        let Some(assignment) = assignment else {
            return false;
        };
        if assignment.phase.take().is_some() {
            self.groups.request_task_evaluation(&task.job, task.index);
        }
        if assignment.stop.is_none() {
            return assignment
                .first_sent_ms
                .is_some_and(|sent_ms| now.ms > sent_ms + start_timeout_ms);
        }
        let proven = match (assignment.first_sent_ms, assignment.absence_proof_token) {
            // No start command was sent in this term, and the worker rejects those of earlier
            // terms because its heartbeat has a fencing token of this term.
            (None, _) => true,
            (_, Some(token)) => reported_token >= token,
            (_, None) => {
                match self
                    .fleet
                    .get_mut(id)
                    .and_then(|machine| machine.advance_fencing_token())
                {
                    Some(token) => assignment.absence_proof_token = Some(token),
                    None => effects.step_down = Some(StepDownReason::FencingTokensExhausted),
                }
                false
            }
        };
        if proven {
            self.drop_assignment(now, task, AbsenceProof::AbsentUnderRaisedToken);
        }
        false
    }

    /// Drops the machine's assignments of agent epochs before `epoch`. A worker's tasks end with
    /// their epoch, and the worker rejects commands of earlier epochs.
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
                self.drop_assignment(now, &task, AbsenceProof::AgentEpochExpired);
            }
        }
    }

    /// Drops the assignment of a task that provably isn't on its machine. The task becomes pending
    /// again unless its job is cancelled.
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
        if job.cancelled_wall_ms.is_none() {
            job.pending.insert(task.index);
        }
        job.mark_dirty(task.index, now.ms, false);
        if let Some(machine) = self.fleet.get_mut(&assignment.machine) {
            machine.unassign(task, &task_request, now.ms);
        }
        self.groups.request_task_evaluation(&task.job, task.index);
        self.pacing.requested = true;
        self.commits.has_changes = true;
    }
}

//! Commands for workers: those that start and stop assigned tasks, and those that stop or
//! acknowledge tasks that aren't assigned to the worker's machine.

use crate::ids::{FencingToken, MachineId, TaskRef};
use crate::messages::Now;
use crate::scheduler::{Assignment, Scheduler, SchedulerEffects, StepDownReason, StopRequest};
use crate::wire::workers::{Command, TaskPhase, TaskStatus, WorkerHeartbeat};

/// A start or stop command without effect is sent again after this share of the heartbeat
/// interval.
const RESEND_INTERVAL_HEARTBEATS: f64 = 0.9;
/// Tasks are started only while the cancellation watermark is at most this many heartbeat
/// intervals old.
const MAX_WATERMARK_AGE_HEARTBEATS: u64 = 2;

/// The conditions on commands for assigned tasks that are the same for all assignments.
struct CommandRules {
    /// Minimum time before a command is sent again.
    resend_interval_ms: u64,
    may_start: bool,
}

impl Scheduler {
    /// Returns the commands for a machine's worker. If a heartbeat is given, the commands for
    /// tasks that aren't assigned to the machine are included. Acknowledging an ended task,
    /// which requires that its end is stored, advances the fencing token, so that the worker
    /// rejects a delayed copy of the task's start command.
    pub(super) fn commands_for(
        &mut self,
        now: Now,
        id: &MachineId,
        heartbeat: Option<&WorkerHeartbeat>,
        effects: &mut SchedulerEffects,
    ) -> Vec<Command> {
        if !self
            .fleet
            .get(id)
            .is_some_and(|machine| machine.token_acknowledged)
        {
            return Vec::new();
        }
        let mut commands = self.assigned_task_commands(now, id);
        let Some(heartbeat) = heartbeat else {
            return commands;
        };
        let statuses = heartbeat.tasks.iter();
        commands.extend(statuses.filter_map(|status| self.unassigned_task_command(id, status)));
        let acknowledges = commands
            .iter()
            .any(|command| matches!(command, Command::Acknowledge { .. }));
        if acknowledges {
            if let Some(machine) = self.fleet.get_mut(id) {
                if machine.advance_fencing_token().is_none() {
                    effects.step_down = Some(StepDownReason::FencingTokensExhausted);
                    return Vec::new();
                }
            }
        }
        commands
    }

    /// Returns the commands for the tasks that are assigned to the machine.
    fn assigned_task_commands(&mut self, now: Now, id: &MachineId) -> Vec<Command> {
        let heartbeat_ms = self.heartbeat_interval_ms();
        let rules = CommandRules {
            resend_interval_ms: (heartbeat_ms as f64 * RESEND_INTERVAL_HEARTBEATS) as u64,
            // A leader that may have missed a cancellation doesn't start tasks.
            may_start: now.ms
                <= self.cancellation_watermark_ms + heartbeat_ms * MAX_WATERMARK_AGE_HEARTBEATS,
        };
        let Some(machine) = self.fleet.get(id) else {
            return Vec::new();
        };
        let jobs = &mut self.jobs;
        machine
            .tasks
            .iter()
            .filter_map(|task| {
                let job = jobs.get_mut(&task.job)?;
                let assignment = job.assignments.get_mut(&task.index)?;
                if assignment.machine != *id {
                    return None;
                }
                rules.command_for(now, task, assignment)
            })
            .collect()
    }

    /// Returns the command that stops or acknowledges a task that isn't assigned to the worker's
    /// machine. Returns `None` if the task is assigned, or if it has ended and its end isn't
    /// stored yet.
    fn unassigned_task_command(&self, id: &MachineId, status: &TaskStatus) -> Option<Command> {
        let task = status.task.as_ref()?;
        let job = self.jobs.get(&task.job);
        let assigned = job
            .and_then(|job| job.assignments.get(&task.index))
            .is_some_and(|assignment| {
                assignment.machine == *id && assignment.attempt == status.attempt
            });
        if assigned {
            return None;
        }
        if status.phase != TaskPhase::Ended {
            return Some(Command::Stop {
                task: task.to_string(),
                attempt: status.attempt,
                grace_s: 0,
            });
        }
        let ended_attempt = (task.index, status.attempt);
        let stored = job.is_none_or(|job| !job.unstored_ends.contains(&ended_attempt));
        stored.then(|| Command::Acknowledge {
            task: task.to_string(),
            attempt: status.attempt,
        })
    }

    /// Stops the tasks of a machine and gives them time to save checkpoints.
    pub(in crate::scheduler) fn drain_machine(&mut self, now: Now, id: &MachineId) {
        let tasks = self.fleet.get(id).map(|machine| machine.tasks.clone());
        for task in tasks.into_iter().flatten() {
            // The parts of a replica that spans machines are stopped together, by their replica
            // group.
            if self.groups.get(&task.job).is_none() {
                self.stop_task(now, &task, true);
            }
        }
    }

    /// Requests the stop of one task, unless a stop is already requested. With
    /// `allow_checkpoint` the task gets time to save a checkpoint.
    pub(in crate::scheduler) fn stop_task(
        &mut self,
        now: Now,
        task: &TaskRef,
        allow_checkpoint: bool,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let grace_s = if allow_checkpoint && job.spec.checkpoint_interval_s > 0.0 {
            job.spec.checkpoint_save_s.ceil() as u64 + 1
        } else {
            0
        };
        let Some(assignment) = job
            .assignments
            .get_mut(&task.index)
            .filter(|assignment| assignment.stop.is_none())
        else {
            return;
        };
        assignment.stop = Some(StopRequest {
            grace_s,
            requested_ms: now.ms,
        });
        assignment.last_sent_ms = None;
        self.groups.request_task_evaluation(&task.job, task.index);
        let id = assignment.machine.clone();
        // Mutable access marks the machine as changed for the capacity index, because its
        // capacity is about to become free.
        self.fleet.get_mut(&id);
        self.machines_to_command.insert(id);
    }

    /// Returns the fencing token to send to the machine's worker; for an unknown machine, the
    /// first token of the term.
    pub(super) fn fencing_token_of(&self, id: &MachineId) -> FencingToken {
        self.fleet
            .get(id)
            .map_or(FencingToken::new(self.term, 1), |machine| {
                machine.fencing_token
            })
    }
}

impl CommandRules {
    /// Returns the start or stop command that an assigned task needs. Returns `None` if it
    /// needs none or if a command was sent recently.
    fn command_for(
        &self,
        now: Now,
        task: &TaskRef,
        assignment: &mut Assignment,
    ) -> Option<Command> {
        match assignment.stop {
            None => self.start_command(now, task, assignment),
            Some(stop) => self.stop_command(now, task, assignment, stop),
        }
    }

    /// Returns the start command for a task whose assignment is stored and which the worker
    /// doesn't have yet.
    fn start_command(
        &self,
        now: Now,
        task: &TaskRef,
        assignment: &mut Assignment,
    ) -> Option<Command> {
        let startable = assignment.recorded && assignment.phase.is_none() && self.may_start;
        if !startable || self.sent_recently(now, assignment) {
            return None;
        }
        assignment.first_sent_ms.get_or_insert(now.ms);
        assignment.last_sent_ms = Some(now.ms);
        Some(Command::Start {
            task: task.to_string(),
            attempt: assignment.attempt,
        })
    }

    /// Returns the stop command for a task, unless the task is saving a checkpoint.
    fn stop_command(
        &self,
        now: Now,
        task: &TaskRef,
        assignment: &mut Assignment,
        stop: StopRequest,
    ) -> Option<Command> {
        // No further stop command is sent while the task saves a checkpoint within its grace
        // period.
        let saving = assignment.phase == Some(TaskPhase::Checkpointing) && stop.grace_s > 0;
        let stop_sent = assignment.last_sent_ms > Some(stop.requested_ms);
        if saving || (stop_sent && self.sent_recently(now, assignment)) {
            return None;
        }
        assignment.last_sent_ms = Some(now.ms);
        Some(Command::Stop {
            task: task.to_string(),
            attempt: assignment.attempt,
            grace_s: stop.grace_s,
        })
    }

    /// Returns whether a command was sent so recently that a heartbeat can't show its effect
    /// yet.
    fn sent_recently(&self, now: Now, assignment: &Assignment) -> bool {
        assignment
            .last_sent_ms
            .is_some_and(|sent_ms| now.ms < sent_ms + self.resend_interval_ms)
    }
}

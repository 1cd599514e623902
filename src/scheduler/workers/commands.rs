//! Which commands a worker gets: those that bring its tasks to the state that is
//! wanted, and those that remove what is not assigned to it.

use crate::ids::{FencingToken, MachineId, TaskRef};
use crate::messages::Now;
use crate::scheduler::{Assignment, Scheduler, SchedulerEffects, StepDownReason, StopRequest};
use crate::wire::workers::{Command, TaskPhase, TaskStatus, WorkerHeartbeat};

/// A start or stop that shows no effect is sent again after this share of the
/// heartbeat interval.
const RESEND_HEARTBEATS: f64 = 0.9;
/// Tasks may be started for so many heartbeat intervals after the moment up to
/// which all cancellations are known.
const START_HEARTBEATS: u64 = 2;

/// What the commands for assigned tasks depend on beside the assignments.
struct CommandRules {
    /// A command is not repeated before this time has passed.
    resend_ms: u64,
    /// Whether tasks may be started.
    may_start: bool,
}

impl Scheduler {
    /// The commands for this worker. With a heartbeat, ended tasks whose end is
    /// stored are acknowledged too, under a raised fencing token: a late copy of
    /// their start command is then refused.
    pub(super) fn commands_for(
        &mut self,
        now: Now,
        id: &MachineId,
        heartbeat: Option<&WorkerHeartbeat>,
        out: &mut SchedulerEffects,
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
                    out.step_down = Some(StepDownReason::FencingTokensExhausted);
                    return Vec::new();
                }
            }
        }
        commands
    }

    /// The commands for the tasks that are assigned to the machine.
    fn assigned_task_commands(&mut self, now: Now, id: &MachineId) -> Vec<Command> {
        let heartbeat_ms = self.heartbeat_interval_ms();
        let rules = CommandRules {
            resend_ms: (heartbeat_ms as f64 * RESEND_HEARTBEATS) as u64,
            // A leader that may have missed a cancellation starts nothing.
            may_start: now.ms <= self.cancellation_watermark_ms + heartbeat_ms * START_HEARTBEATS,
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

    /// The command that removes a task which the worker has and which is not
    /// assigned to it. `None`: it is assigned, or its end isn't stored yet.
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

    /// Stops what a machine runs, with time to save checkpoints.
    pub(in crate::scheduler) fn drain_machine(&mut self, now: Now, id: &MachineId) {
        let tasks = self.fleet.get(id).map(|machine| machine.tasks.clone());
        for task in tasks.into_iter().flatten() {
            // A replica that spans machines is stopped as a whole, by its group.
            if self.groups.get(&task.job).is_none() {
                self.stop_task(now, &task, true);
            }
        }
    }

    /// Stops one task. `saves`: it gets time to save a checkpoint.
    pub(in crate::scheduler) fn stop_task(&mut self, now: Now, task: &TaskRef, saves: bool) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let grace_s = if saves && job.spec.checkpoint_interval_s > 0.0 {
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
            since_ms: now.ms,
        });
        assignment.sent_ms = None;
        self.groups.touch_task(&task.job, task.index);
        let id = assignment.machine.clone();
        // Its capacity is about to become free: the capacity index has to look
        // at the machine again.
        self.fleet.get_mut(&id);
        self.machines_to_command.insert(id);
    }

    /// The fencing token that the machine's worker gets.
    pub(super) fn fencing_token_of(&self, id: &MachineId) -> FencingToken {
        self.fleet
            .get(id)
            .map_or(FencingToken::new(self.term, 1), |machine| {
                machine.fencing_token
            })
    }
}

impl CommandRules {
    /// The command that brings an assigned task nearer to what is wanted, unless
    /// one was just sent.
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

    /// Starts a recorded task that its worker doesn't have yet.
    fn start_command(
        &self,
        now: Now,
        task: &TaskRef,
        assignment: &mut Assignment,
    ) -> Option<Command> {
        let startable = assignment.recorded && assignment.phase.is_none() && self.may_start;
        if !startable || self.just_sent(now, assignment) {
            return None;
        }
        assignment.first_sent_ms.get_or_insert(now.ms);
        assignment.sent_ms = Some(now.ms);
        Some(Command::Start {
            task: task.to_string(),
            attempt: assignment.attempt,
        })
    }

    /// Stops a task, unless it is saving its checkpoint.
    fn stop_command(
        &self,
        now: Now,
        task: &TaskRef,
        assignment: &mut Assignment,
        stop: StopRequest,
    ) -> Option<Command> {
        // A task that saves a checkpoint is left alone until its grace period
        // is over.
        let saving = assignment.phase == Some(TaskPhase::Checkpointing) && stop.grace_s > 0;
        let stop_sent = assignment.sent_ms > Some(stop.since_ms);
        if saving || (stop_sent && self.just_sent(now, assignment)) {
            return None;
        }
        assignment.sent_ms = Some(now.ms);
        Some(Command::Stop {
            task: task.to_string(),
            attempt: assignment.attempt,
            grace_s: stop.grace_s,
        })
    }

    /// Whether a command was sent so recently that its effect can't show yet.
    fn just_sent(&self, now: Now, assignment: &Assignment) -> bool {
        assignment
            .sent_ms
            .is_some_and(|sent_ms| now.ms < sent_ms + self.resend_ms)
    }
}

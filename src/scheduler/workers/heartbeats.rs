//! Workers' reports: what they prove, and what the workers are told.

use crate::cloud::Offer;
use crate::fleet::{Machine, MachinePhase};
use crate::ids::{Attempt, FencingToken, JobId, MachineId, TaskRef};
use crate::messages::{ConnectionId, Now, Reply};
use crate::scheduler::{Assignment, Scheduler, SchedulerEffects, StopRequest};
use crate::wire::workers::{
    Command, ExitReason, HeartbeatResponse, RedirectTo, TaskPhase, TaskStatus, WorkerHeartbeat,
};
use std::collections::HashMap;
use std::rc::Rc;

/// A start or stop that shows no effect is sent again after this share of
/// the report interval.
const RESEND_REPORTS: f64 = 0.9;
/// After this many report intervals without effect a machine counts as unresponsive.
const UNRESPONSIVE_REPORTS: u64 = 5;
/// After a start that a worker refused, its job waits for so long.
const PAUSE_MS: u64 = 500;
/// For so many report intervals after the moment up to which all cancellations
/// are known, tasks may be started.
const START_REPORTS: u64 = 2;

/// How a worker's word came.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(in crate::scheduler) enum HeartbeatSource {
    /// By a report, whose answer renews its lease.
    Report,
    /// With the answer to a direct command: a worker that reaches no controller
    /// gives these too, and loses its lease for all that.
    Answer,
}

impl Scheduler {
    /// A worker's report: an answer goes out in any case, and with it the
    /// `stops` of cancelled jobs' tasks, whether or not the job is known yet.
    pub fn worker_heartbeat(
        &mut self,
        now: Now,
        conn: ConnectionId,
        report: &WorkerHeartbeat,
        stops: Vec<Command>,
        out: &mut SchedulerEffects,
    ) {
        if report.fencing_token.term() > self.term {
            out.superseded = true;
            out.replies
                .push((conn, Reply::json(421, &RedirectTo { node: None })));
            return;
        }
        let id = MachineId::new(&report.machine);
        let mut commands = Vec::new();
        if self.active() && !self.fleet.is_released(&id) {
            let fresh = self.apply_heartbeat(now, report, HeartbeatSource::Report, out);
            if fresh && report.fencing_token.term() == self.term {
                commands = self.commands_for(now, &id, Some(report), out);
            }
        }
        for stop in stops {
            if !commands.contains(&stop) {
                commands.push(stop);
            }
        }
        // A token above ours, or below the worker's, would do no good.
        let token = self.token_of(&id).max(report.fencing_token);
        let answer = HeartbeatResponse {
            fencing_token: token,
            commands: &commands,
        };
        out.replies.push((conn, Reply::json(200, &answer)));
    }

    /// Learns from a report, however it came. `false`: an old copy.
    pub(in crate::scheduler) fn apply_heartbeat(
        &mut self,
        now: Now,
        report: &WorkerHeartbeat,
        via: HeartbeatSource,
        out: &mut SchedulerEffects,
    ) -> bool {
        if report.fencing_token.term() > self.term {
            out.superseded = true;
            return false;
        }
        let id = MachineId::new(&report.machine);
        if self.fleet.is_released(&id) {
            return false;
        }
        let term = self.term;
        let described = self.fleet.get(&id).is_some_and(Machine::is_described);
        if !described {
            let offer = Offer {
                machine_type: Rc::from(report.machine_type.as_str()),
                zone: Rc::from(report.zone.as_str()),
                spot: report.spot,
            };
            self.add_machine(now, id.clone(), offer, 0.0);
        }
        let Some(machine) = self.fleet.get_mut(&id) else {
            return false;
        };
        if (report.agent_epoch, report.sequence) <= (machine.agent_epoch, machine.sequence) {
            return false;
        }
        machine.agent_epoch = report.agent_epoch;
        machine.sequence = report.sequence;
        if via == HeartbeatSource::Report {
            machine.last_heartbeat_ms = now.ms;
        }
        if machine.address.as_deref().unwrap_or_default() != report.address {
            machine.address = Some(report.address.clone()).filter(|a| !a.is_empty());
        }
        machine.fencing_token = machine.fencing_token.max(report.fencing_token);
        if machine.phase == MachinePhase::Booting {
            machine.phase = MachinePhase::Up;
            machine.up_ms = Some(now.ms);
            machine.idle_since_ms = Some(now.ms);
            let took_s = (now.ms - machine.provisioned_ms) as f64 / 1000.0;
            let machine_type = machine.offer.machine_type.clone();
            log::info!(
                "machine {id} up type={machine_type} spot={} took_s={took_s:.1}",
                report.spot
            );
            // One that was up before we led, or turned up by itself, says
            // nothing about boot times.
            if machine.provisioned_this_term {
                let rented_ms = machine.provisioned_ms;
                let nominal_s = self.nominal_boot_s(&machine_type);
                self.estimates
                    .booted(&machine_type, nominal_s, rented_ms, took_s);
            }
            self.pacing.requested = true;
        }
        if let Some(machine) = self.fleet.get_mut(&id) {
            let notice = report
                .preemption_notice_s
                .filter(|s| s.is_finite())
                .map(|s| now.ms.saturating_add((s.max(0.0) * 1000.0) as u64));
            if notice.is_some() != machine.reclaim_at_ms.is_some() {
                log::info!("machine {id} notice_s={:?}", report.preemption_notice_s);
                self.pacing.requested = true;
                self.failure_detection.check_requested = true;
            }
            machine.reclaim_at_ms = notice;
            // Without our token the report may be any old one's echo.
            if report.fencing_token.term() == term {
                self.pacing.requested |= !machine.fenced;
                machine.fenced = true;
                self.reconcile(now, &id, report, out);
            }
        }
        true
    }

    /// Compares what is assigned with what the worker has.
    fn reconcile(
        &mut self,
        now: Now,
        id: &MachineId,
        report: &WorkerHeartbeat,
        out: &mut SchedulerEffects,
    ) {
        self.session_over(now, id, report.agent_epoch);
        let mut present: HashMap<(&TaskRef, Attempt), &TaskStatus> = report
            .tasks
            .iter()
            .filter_map(|seen| Some(((seen.task.as_ref()?, seen.attempt), seen)))
            .collect();
        let Some(machine) = self.fleet.get_mut(id) else {
            return;
        };
        let assigned: Vec<TaskRef> = machine.tasks.iter().cloned().collect();
        machine.pulling_images.clear();
        let mut unheeded = false;
        for task in &assigned {
            let Some(attempt) = self.assigned_attempt(id, task) else {
                continue;
            };
            match present.remove(&(task, attempt)) {
                Some(seen) if seen.phase == TaskPhase::Ended => {
                    let reason = seen.reason.unwrap_or(ExitReason::Other);
                    self.ended(now, id, task, reason);
                }
                Some(seen) => self.task_present(now, id, task, seen.phase),
                None => unheeded |= self.task_absent(now, id, task, report.fencing_token, out),
            }
        }
        let strays = present.values().any(|t| t.phase != TaskPhase::Ended);
        if let Some(machine) = self.fleet.get_mut(id) {
            machine.has_unassigned_tasks = strays;
            if unheeded {
                machine.unresponsive_since_ms.get_or_insert(now.ms);
            } else {
                machine.unresponsive_since_ms = None;
            }
        }
    }

    /// The attempt of the task that is assigned to this machine.
    fn assigned_attempt(&self, id: &MachineId, task: &TaskRef) -> Option<Attempt> {
        let assign = self.jobs.get(&task.job)?.assignments.get(&task.index)?;
        (assign.machine == *id).then_some(assign.attempt)
    }

    /// The worker has the task, and it hasn't ended.
    fn task_present(&mut self, now: Now, id: &MachineId, task: &TaskRef, phase: TaskPhase) {
        let settled_ms = self.settled_ms();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let (is_service, spans) = (job.is_service(), job.shape.is_some());
        let Some(assign) = job.assignments.get_mut(&task.index) else {
            return;
        };
        if phase != TaskPhase::PullingImage && assign.running_since_ms.is_none() {
            assign.running_since_ms = Some(now.ms);
            let waited_ms = now.wall.saturating_sub(job.ready);
            assign.late = self
                .settings
                .start_slo_ms(&job.spec)
                .is_some_and(|most| waited_ms > most);
            log::info!(
                "task {task} running attempt={} on {id} waited_ms={waited_ms}",
                assign.attempt,
            );
        }
        if assign.phase.replace(phase) != Some(phase) {
            self.groups.touch_task(&task.job, task.index);
        }
        // A service has no end to succeed by; a replica that spans machines succeeds
        // as a whole.
        let settled = is_service
            && !spans
            && phase == TaskPhase::Running
            && assign
                .running_since_ms
                .is_some_and(|since| now.ms > since + settled_ms);
        let (image, image_gb) = (job.spec.image.clone(), job.spec.image_gb);
        if let Some(machine) = self.fleet.get_mut(id) {
            if phase == TaskPhase::PullingImage {
                *machine.pulling_images.entry(image).or_insert(0) += 1;
            } else {
                machine.mark_image_used(&image, image_gb);
            }
        }
        if settled {
            self.succeeded(&task.job);
        }
    }

    /// The worker doesn't have the task. Tells whether its start has gone
    /// unheeded for too long.
    fn task_absent(
        &mut self,
        now: Now,
        id: &MachineId,
        task: &TaskRef,
        reported: FencingToken,
        out: &mut SchedulerEffects,
    ) -> bool {
        let patience_ms = UNRESPONSIVE_REPORTS * self.heartbeat_interval_ms();
        let assign = self
            .jobs
            .get_mut(&task.job)
            .and_then(|job| job.assignments.get_mut(&task.index));
        let Some(assign) = assign else {
            return false;
        };
        if assign.phase.take().is_some() {
            self.groups.touch_task(&task.job, task.index);
        }
        if assign.stop.is_none() {
            return assign
                .first_sent_ms
                .is_some_and(|at| now.ms > at + patience_ms);
        }
        let proven = match (assign.first_sent_ms, assign.absent_proof) {
            // No start of this term was sent, and earlier terms' are refused
            // under this report's token.
            (None, _) => true,
            (_, Some(token)) => reported >= token,
            (_, None) => {
                match self
                    .fleet
                    .get_mut(id)
                    .and_then(|m| m.advance_fencing_token())
                {
                    Some(token) => assign.absent_proof = Some(token),
                    None => {
                        out.resign = Some(crate::scheduler::StepDownReason::FencingTokensExhausted)
                    }
                }
                false
            }
        };
        if proven {
            self.drop_assign(now, task, "absent under a raised token");
        }
        false
    }

    /// The worker says that the attempt is over.
    fn ended(&mut self, now: Now, id: &MachineId, task: &TaskRef, reason: ExitReason) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(assign) = job.assignments.remove(&task.index) else {
            return;
        };
        let (need, spans) = (job.task_request, job.shape.is_some());
        let cancelled = job.cancelled.is_some();
        self.groups.touch_task(&task.job, task.index);
        // Of an inherited task only the end of its run was seen.
        let took_ms = assign
            .running_since_ms
            .filter(|_| !assign.inherited)
            .map(|since| now.ms - since);
        let slow = reason == ExitReason::Done && took_ms.is_some_and(|took| job.ran(took));
        if let Some(machine) = self.fleet.get_mut(id) {
            machine.unassign(task, &need, now.ms);
            if slow {
                log::info!("machine {id} runs {task} far too slowly");
                machine.faults.add(&task.job, true);
            } else if reason == ExitReason::Done {
                machine.faults.clear();
            }
        }
        self.pacing.requested = true;
        self.commits.has_changes = true;
        if cancelled {
            return;
        }
        log::info!(
            "task {task} ended attempt={} on {id} reason={reason:?}",
            assign.attempt
        );
        // Its worker keeps the result until this is stored.
        job.unstored_ends.insert((task.index, assign.attempt));
        if reason == ExitReason::Done {
            job.done.insert(task.index);
            job.touch(task.index, now.ms, false);
            if let Some(took_ms) = took_ms {
                let took_s = took_ms as f64 / 1000.0;
                let (class, estimate) = (job.spec.class.clone(), job.spec.estimated_run_s);
                self.estimates.ran(&class, estimate, took_s);
            }
            self.succeeded(&task.job);
            return;
        }
        job.pending.insert(task.index);
        job.touch(task.index, now.ms, false);
        match reason {
            ExitReason::Error if spans => self.part_failed(now, id, task, assign.attempt),
            ExitReason::Error => self.failed(now, id, task),
            ExitReason::Stopped => {}
            _ if spans => self.delay_group(task, now.ms + PAUSE_MS),
            _ => job.failures.defer_until(now.ms + PAUSE_MS),
        }
    }

    /// Mostly the machine is faulty; a job that fails everywhere is not
    /// allowed to condemn machine after machine.
    fn failed(&mut self, now: Now, id: &MachineId, task: &TaskRef) {
        let report_ms = self.heartbeat_interval_ms();
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let last = job.assignments.is_empty();
        let was_open = job.failures.is_open();
        job.failures.record_failure(now.ms, id, last, report_ms);
        if job.failures.is_open() {
            if !was_open {
                log::info!("job {} fails wherever it runs", task.job);
            }
            self.forgive(&task.job);
            return;
        }
        let job_succeeds = job.failures.has_succeeded();
        if let Some(machine) = self.fleet.get_mut(id) {
            machine.faults.add(&task.job, job_succeeds);
            if machine.faults.is_suspect() {
                log::info!("machine {id} fails tasks, avoided");
            }
        }
    }

    /// The job's failures say nothing about the machines on which it failed.
    pub(in crate::scheduler) fn forgive(&mut self, job_id: &JobId) {
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        for id in job.failures.machines() {
            if let Some(machine) = self.fleet.get_mut(id) {
                machine.faults.exonerate(job_id);
            }
        }
    }

    /// A job that ends without a success leaves nothing against machines.
    pub(in crate::scheduler) fn forgive_unless_succeeded(&mut self, job_id: &JobId) {
        let succeeded = self
            .jobs
            .get(job_id)
            .is_some_and(|job| job.failures.has_succeeded());
        if !succeeded {
            self.forgive(job_id);
        }
    }

    /// A task of the job has succeeded: those that failed did so by the fault
    /// of their machines.
    pub(in crate::scheduler) fn succeeded(&mut self, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        if !job.failures.record_success() {
            return;
        }
        for id in job.failures.machines() {
            if let Some(machine) = self.fleet.get_mut(id) {
                machine.faults.confirm(job_id);
            }
        }
    }

    /// What this worker is to do. With a report, ended tasks that are stored
    /// are forgotten too, under a raised token: a late copy of their start is
    /// then refused.
    pub(in crate::scheduler) fn commands_for(
        &mut self,
        now: Now,
        id: &MachineId,
        report: Option<&WorkerHeartbeat>,
        out: &mut SchedulerEffects,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        let resend_ms = (self.heartbeat_interval_ms() as f64 * RESEND_REPORTS) as u64;
        // Who may have missed a cancellation starts nothing.
        let starts =
            now.ms <= self.cancellations_known_ms + self.heartbeat_interval_ms() * START_REPORTS;
        let Some(machine) = self.fleet.get_mut(id) else {
            return commands;
        };
        if !machine.fenced {
            return commands;
        }
        for task in &machine.tasks {
            let Some(assign) = self
                .jobs
                .get_mut(&task.job)
                .and_then(|j| j.assignments.get_mut(&task.index))
                .filter(|a| a.machine == *id)
            else {
                continue;
            };
            if let Some(command) = wanted(now, task, assign, resend_ms, starts) {
                commands.push(command);
            }
        }
        let Some(report) = report else {
            return commands;
        };
        let mut forget = false;
        for seen in &report.tasks {
            let Some(task) = &seen.task else {
                continue;
            };
            let job = self.jobs.get(&task.job);
            let assigned = job.is_some_and(|j| {
                j.assignments
                    .get(&task.index)
                    .is_some_and(|a| a.machine == *id && a.attempt == seen.attempt)
            });
            if assigned {
                continue;
            }
            if seen.phase == TaskPhase::Ended {
                let stored =
                    job.is_none_or(|j| !j.unstored_ends.contains(&(task.index, seen.attempt)));
                if stored {
                    forget = true;
                    commands.push(Command::Acknowledge {
                        task: task.to_string(),
                        attempt: seen.attempt,
                    });
                }
            } else {
                commands.push(Command::Stop {
                    task: task.to_string(),
                    attempt: seen.attempt,
                    grace_s: 0,
                });
            }
        }
        if forget {
            if let Some(machine) = self.fleet.get_mut(id) {
                if machine.advance_fencing_token().is_none() {
                    out.resign = Some(crate::scheduler::StepDownReason::FencingTokensExhausted);
                    return Vec::new();
                }
            }
        }
        commands
    }

    /// Stops what a machine runs, letting it save what it can.
    pub(in crate::scheduler) fn drain(&mut self, now: Now, id: &MachineId) {
        let tasks = self.fleet.get(id).map(|m| m.tasks.clone());
        for task in tasks.into_iter().flatten() {
            // A replica that spans machines decides as a whole.
            if self.groups.get(&task.job).is_none() {
                self.stop_task(now, &task, true);
            }
        }
    }

    /// Stops one task, letting it save what it can if it may.
    pub(in crate::scheduler) fn stop_task(&mut self, now: Now, task: &TaskRef, saves: bool) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let grace_s = if saves && job.spec.checkpoint_interval_s > 0.0 {
            job.spec.checkpoint_save_s.ceil() as u64 + 1
        } else {
            0
        };
        if let Some(assign) = job.assignments.get_mut(&task.index) {
            if assign.stop.is_none() {
                assign.stop = Some(StopRequest {
                    grace_s,
                    since_ms: now.ms,
                });
                assign.sent_ms = None;
                self.groups.touch_task(&task.job, task.index);
                let id = assign.machine.clone();
                // Its room is about to be free.
                self.fleet.get_mut(&id);
                self.machines_to_command.insert(id);
            }
        }
    }
}

/// The command that brings a task nearer to what is wanted, unless one was
/// just sent.
fn wanted(
    now: Now,
    task: &TaskRef,
    assign: &mut Assignment,
    resend_ms: u64,
    starts: bool,
) -> Option<Command> {
    let just_sent = assign.sent_ms.is_some_and(|at| now.ms < at + resend_ms);
    match assign.stop {
        None => {
            if !assign.recorded || assign.phase.is_some() || just_sent || !starts {
                return None;
            }
            assign.first_sent_ms.get_or_insert(now.ms);
            assign.sent_ms = Some(now.ms);
            Some(Command::Start {
                task: task.to_string(),
                attempt: assign.attempt,
            })
        }
        Some(stop) => {
            // A task that saves is left alone until its grace is over.
            let saving = assign.phase == Some(TaskPhase::Checkpointing) && stop.grace_s > 0;
            if saving || (just_sent && assign.sent_ms > Some(stop.since_ms)) {
                return None;
            }
            assign.sent_ms = Some(now.ms);
            Some(Command::Stop {
                task: task.to_string(),
                attempt: assign.attempt,
                grace_s: stop.grace_s,
            })
        }
    }
}

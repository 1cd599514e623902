//! Schedules the faults of the scenario and injects them when they are due.

use super::processes::Controller;
use super::{process_error, LoadTest, RunError};
use crate::control::SimulatorCommand;
use crate::failover::{self, LeaderLoss, LossCause};
use crate::history::Event;
use crate::scenario::{FaultKind, FaultSettings, MachineRange};

/// The interval between the restarts of two controllers when all are restarted in turn.
const RESTART_INTERVAL_US: u64 = 2_000_000;
/// The time for which a controller is down during a restart.
const RESTART_DELAY_US: u64 = 300_000;

/// The time at which an action is due, in microseconds since 1970. Actions due at the
/// same time are performed in the order in which they were scheduled.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DueTime {
    at_us: u64,
    sequence: usize,
}

/// An action of the harness at a scheduled time. Controllers, processes of simulated
/// workers and machines are given by their numbers.
pub(super) enum ScheduledAction {
    Fault(FaultSettings),
    KillController(usize),
    StartController(usize),
    /// Resumes a paused controller.
    ResumeController(usize),
    /// Resumes a paused process of simulated workers.
    ResumeWorkers(usize),
    /// Shuts down a machine, and makes the cloud list it as failed.
    FailMachine(u32),
    /// Isolates a machine from all controllers for `for_ms`.
    IsolateMachine {
        machine: u32,
        for_ms: u64,
    },
}

impl LoadTest {
    /// Schedules an action for this time, in microseconds since 1970.
    pub(super) fn schedule(&mut self, at_us: u64, action: ScheduledAction) {
        let sequence = self.scheduled_action_count;
        self.scheduled_action_count += 1;
        self.scheduled_actions
            .insert(DueTime { at_us, sequence }, action);
    }

    /// Performs all actions that are due.
    pub(super) fn perform_due_actions(&mut self, now_us: u64) -> Result<(), RunError> {
        while let Some(first) = self.scheduled_actions.first_entry() {
            if first.key().at_us > now_us {
                break;
            }
            let action = first.remove();
            self.perform(action, now_us)?;
        }
        Ok(())
    }

    /// Returns the number of the controller whose log reports the latest term as leader.
    pub(super) fn leader(&self) -> usize {
        let latest_term = |controller: &Controller| {
            let terms = failover::read_elected_terms(&controller.log);
            terms.into_iter().max().unwrap_or(0)
        };
        self.controllers
            .iter()
            .enumerate()
            .max_by_key(|(_, controller)| latest_term(controller))
            .map_or(0, |(number, _)| number)
    }

    fn perform(&mut self, action: ScheduledAction, now_us: u64) -> Result<(), RunError> {
        match action {
            ScheduledAction::Fault(fault) => self.inject_fault(&fault, now_us),
            ScheduledAction::KillController(number) => {
                if number == self.leader() {
                    self.record_leader_loss(now_us, LossCause::Killed);
                }
                self.controllers[number].process = None;
                Ok(())
            }
            ScheduledAction::StartController(number) => self.start_controller(number),
            ScheduledAction::ResumeController(number) => {
                if let Some(process) = &mut self.controllers[number].process {
                    process.resume();
                }
                Ok(())
            }
            ScheduledAction::ResumeWorkers(number) => {
                self.workers[number].process.resume();
                Ok(())
            }
            ScheduledAction::FailMachine(machine) => self.fail_machine(machine),
            ScheduledAction::IsolateMachine { machine, for_ms } => {
                let machines = vec![machine];
                let command = SimulatorCommand::Isolate { machines, for_ms };
                self.send_to_worker_process(machine, &command);
                Ok(())
            }
        }
    }

    fn record_leader_loss(&mut self, at_us: u64, cause: LossCause) {
        self.leader_losses.push(LeaderLoss { at_us, cause });
    }

    /// Injects a fault, and schedules the end of its effect if it has one.
    fn inject_fault(&mut self, fault: &FaultSettings, now_us: u64) -> Result<(), RunError> {
        let for_us = (fault.for_s * 1e6) as u64;
        let for_ms = for_us / 1000;
        eprintln!("fault: {:?}", fault.kind);
        match fault.kind {
            FaultKind::LeaderKill => {
                let leader = self.leader();
                self.schedule(now_us, ScheduledAction::KillController(leader));
                self.schedule(now_us + for_us, ScheduledAction::StartController(leader));
            }
            FaultKind::LeaderPause => self.pause_leader(now_us, for_us),
            FaultKind::RestartAll => self.restart_all_controllers(now_us),
            FaultKind::RackLost => {
                let number = self.rng.usize(..self.workers.len());
                self.workers[number].process.kill();
                self.record_lost_machines(self.machine_ranges[number])?;
            }
            FaultKind::RackPaused => {
                let number = self.rng.usize(..self.workers.len());
                self.workers[number].process.pause();
                self.schedule(now_us + for_us, ScheduledAction::ResumeWorkers(number));
            }
            FaultKind::ZoneCut => self.isolate_zone(fault, for_ms),
            FaultKind::StateDown => self.reject_at_kv_store(None, for_ms),
            FaultKind::StateRefusesLeader => {
                self.reject_at_kv_store(Some(self.leader()), for_ms);
            }
            FaultKind::LimitsFall => {
                self.kv_store.send(&SimulatorCommand::ApplyNextLimits);
            }
            FaultKind::Replace => {
                self.schedule_machine_faults(fault, now_us, ScheduledAction::FailMachine);
            }
            FaultKind::Silent => {
                let isolate = |machine| ScheduledAction::IsolateMachine { machine, for_ms };
                self.schedule_machine_faults(fault, now_us, isolate);
            }
        }
        Ok(())
    }

    fn pause_leader(&mut self, now_us: u64, for_us: u64) {
        let leader = self.leader();
        if let Some(process) = &mut self.controllers[leader].process {
            process.pause();
            self.record_leader_loss(now_us, LossCause::Paused);
            self.schedule(now_us + for_us, ScheduledAction::ResumeController(leader));
        }
    }

    fn restart_all_controllers(&mut self, now_us: u64) {
        for number in 0..self.controllers.len() {
            let at_us = now_us + RESTART_INTERVAL_US * number as u64;
            self.schedule(at_us, ScheduledAction::KillController(number));
            let start_us = at_us + RESTART_DELAY_US;
            self.schedule(start_us, ScheduledAction::StartController(number));
        }
    }

    /// Isolates the workers in the fault's zone from all controllers. A fault that names no
    /// zone isolates the first one.
    fn isolate_zone(&self, fault: &FaultSettings, for_ms: u64) {
        let zones = &self.scenario.zones;
        let named = fault
            .zone
            .as_ref()
            .and_then(|name| zones.iter().position(|zone| zone == name));
        let zone = named.unwrap_or(0);
        for simulator in &self.workers {
            simulator.send(&SimulatorCommand::IsolateZone { zone, for_ms });
        }
    }

    /// Makes the key-value store reject the requests of one controller, or of all
    /// controllers if `controller` is `None`.
    fn reject_at_kv_store(&self, controller: Option<usize>, for_ms: u64) {
        self.kv_store
            .send(&SimulatorCommand::RejectRequests { controller, for_ms });
    }

    /// Schedules the action for `fault.count` random machines, at random times within
    /// `fault.over_s` from now.
    fn schedule_machine_faults(
        &mut self,
        fault: &FaultSettings,
        now_us: u64,
        action: impl Fn(u32) -> ScheduledAction,
    ) {
        let over_us = (fault.over_s * 1e6) as u64;
        for _ in 0..fault.count {
            let machine = self.rng.u32(..self.scenario.workers.count);
            let at_us = now_us + self.rng.u64(..=over_us);
            self.schedule(at_us, action(machine));
        }
    }

    fn fail_machine(&mut self, machine: u32) -> Result<(), RunError> {
        let machines = vec![machine];
        self.send_to_worker_process(machine, &SimulatorCommand::Remove { machines });
        self.record_lost_machines(MachineRange {
            first: machine,
            last: machine,
        })
    }

    /// Sends a command to the process that simulates the worker on this machine.
    fn send_to_worker_process(&self, machine: u32, command: &SimulatorCommand) {
        let owner = self
            .machine_ranges
            .iter()
            .position(|range| range.contains(machine));
        if let Some(number) = owner {
            self.workers[number].send(command);
        }
    }

    /// Records lost machines in the history, and makes the cloud list them as failed.
    fn record_lost_machines(&mut self, machines: MachineRange) -> Result<(), RunError> {
        self.recorder
            .record(Event::Lost { machines })
            .and_then(|()| self.recorder.flush())
            .map_err(process_error("history"))?;
        if let Some(cloud) = &self.cloud {
            cloud.send(&SimulatorCommand::MarkFailed {
                machines: (machines.first..=machines.last).collect(),
            });
        }
        Ok(())
    }
}

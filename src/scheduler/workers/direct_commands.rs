//! Commands that go straight to workers, and reports that followers pass on.

use crate::ids::{FencingToken, MachineId};
use crate::messages::{Call, CallResult, Destination, Now};
use crate::scheduler::workers::heartbeats::HeartbeatSource;
use crate::scheduler::{LeaderStage, Scheduler, SchedulerEffects, WorkerCommandCall};
use crate::wire::workers::{Command, DirectCommands, WorkerHeartbeat, WORKER_COMMANDS_PATH};

impl Scheduler {
    /// Sends commands straight to the workers that have something to do.
    pub(in crate::scheduler) fn push_commands(&mut self, now: Now, out: &mut SchedulerEffects) {
        for id in std::mem::take(&mut self.machines_to_command) {
            let Some(machine) = self.fleet.get(&id) else {
                continue;
            };
            let Some(address) = machine.address.clone() else {
                continue;
            };
            if machine.command_in_flight {
                // After the answer it looks again.
                continue;
            }
            let commands = self.commands_for(now, &id, None, out);
            self.send_commands(id, address, &commands, out);
        }
    }

    pub(in crate::scheduler) fn send_commands(
        &mut self,
        id: MachineId,
        address: String,
        commands: &[Command],
        out: &mut SchedulerEffects,
    ) {
        let timeout_ms = self.heartbeat_interval_ms() * 2;
        let Some(machine) = self.fleet.get_mut(&id) else {
            return;
        };
        // Without commands the token alone is news to a worker that hasn't
        // seen it.
        if commands.is_empty() && machine.fenced {
            return;
        }
        machine.command_in_flight = true;
        let body = DirectCommands {
            fencing_token: machine.fencing_token,
            agent_epoch: machine.agent_epoch,
            commands,
        };
        let call = Call {
            target: Destination::Worker(address),
            method: "POST",
            path: WORKER_COMMANDS_PATH.to_string(),
            body: serde_json::to_vec(&body).unwrap_or_default(),
            timeout_ms,
        };
        out.workers.push((WorkerCommandCall { machine: id }, call));
    }

    /// A report that a follower has answered for us: our commands go straight
    /// to the worker.
    pub fn forwarded_heartbeat(
        &mut self,
        now: Now,
        report: &WorkerHeartbeat,
        out: &mut SchedulerEffects,
    ) {
        if self.stage != LeaderStage::Active {
            return;
        }
        let fresh = self.apply_heartbeat(now, report, HeartbeatSource::Report, out);
        if !fresh || report.fencing_token.term() != self.term {
            return;
        }
        let id = MachineId::new(&report.machine);
        let address = self
            .fleet
            .get(&id)
            .filter(|m| !m.command_in_flight)
            .and_then(|m| m.address.clone());
        if let Some(address) = address {
            let commands = self.commands_for(now, &id, Some(report), out);
            self.send_commands(id, address, &commands, out);
        }
    }

    /// Takes in how a direct call to a worker ended.
    pub fn worker_answered(
        &mut self,
        now: Now,
        call: WorkerCommandCall,
        outcome: CallResult,
        out: &mut SchedulerEffects,
    ) {
        if self.stage != LeaderStage::Active {
            return;
        }
        if let Some(machine) = self.fleet.get_mut(&call.machine) {
            machine.command_in_flight = false;
        }
        // Both 200 and 409 carry the worker's report.
        if let Ok((200 | 409, body)) = outcome {
            match serde_json::from_slice::<WorkerHeartbeat>(&body) {
                Ok(report) => {
                    self.apply_heartbeat(now, &report, HeartbeatSource::Answer, out);
                }
                Err(e) => log::debug!("answer of {}: {e}", call.machine),
            }
        }
    }

    pub(in crate::scheduler) fn token_of(&self, id: &MachineId) -> FencingToken {
        self.fleet
            .get(id)
            .map_or(FencingToken::new(self.term, 1), |m| m.fencing_token)
    }
}

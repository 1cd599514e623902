//! Commands that go straight to workers, outside of heartbeat responses.

use crate::ids::MachineId;
use crate::messages::{Call, CallResult, Destination, Now};
use crate::scheduler::workers::heartbeats::HeartbeatSource;
use crate::scheduler::{LeaderStage, Scheduler, SchedulerEffects, WorkerCommandCall};
use crate::wire::workers::{Command, DirectCommands, WorkerHeartbeat, WORKER_COMMANDS_PATH};

/// A direct call to a worker is waited for so many heartbeat intervals.
const COMMAND_TIMEOUT_HEARTBEATS: u64 = 2;

impl Scheduler {
    /// Sends commands straight to the workers that have something to do.
    pub(in crate::scheduler) fn push_commands(&mut self, now: Now, out: &mut SchedulerEffects) {
        for id in std::mem::take(&mut self.machines_to_command) {
            self.push_commands_to(now, id, None, out);
        }
    }

    /// Sends a worker its commands, as in [`Self::commands_for`], unless a call to
    /// it is in flight: what is left to do goes out with the response to the
    /// worker's next heartbeat.
    pub(super) fn push_commands_to(
        &mut self,
        now: Now,
        id: MachineId,
        heartbeat: Option<&WorkerHeartbeat>,
        out: &mut SchedulerEffects,
    ) {
        let address = self
            .fleet
            .get(&id)
            .filter(|machine| !machine.command_in_flight)
            .and_then(|machine| machine.address.clone());
        if let Some(address) = address {
            let commands = self.commands_for(now, &id, heartbeat, out);
            self.send_commands(id, address, &commands, out);
        }
    }

    /// Sends these commands to a worker's address.
    fn send_commands(
        &mut self,
        id: MachineId,
        address: String,
        commands: &[Command],
        out: &mut SchedulerEffects,
    ) {
        let timeout_ms = self.heartbeat_interval_ms() * COMMAND_TIMEOUT_HEARTBEATS;
        let Some(machine) = self.fleet.get_mut(&id) else {
            return;
        };
        // A call without commands is of use only to a worker that hasn't seen
        // this term's fencing token.
        if commands.is_empty() && machine.token_acknowledged {
            return;
        }
        machine.command_in_flight = true;
        let body = DirectCommands {
            fencing_token: machine.fencing_token,
            agent_epoch: machine.agent_epoch,
            commands,
        };
        let call = Call {
            destination: Destination::Worker(address),
            method: "POST",
            path: WORKER_COMMANDS_PATH.to_string(),
            body: serde_json::to_vec(&body).unwrap_or_default(),
            timeout_ms,
        };
        out.worker_calls
            .push((WorkerCommandCall { machine: id }, call));
    }

    /// Handles the result of a direct call to a worker.
    pub fn on_command_response(
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
        // Both 200 and 409 carry the worker's status, in the form of a heartbeat.
        let Ok((200 | 409, body)) = outcome else {
            return;
        };
        match serde_json::from_slice::<WorkerHeartbeat>(&body) {
            Ok(status) => {
                self.apply_heartbeat(now, &status, HeartbeatSource::CommandResponse, out);
            }
            Err(error) => log::debug!(
                "worker response unreadable machine={} reason=\"{error}\"",
                call.machine
            ),
        }
    }
}

//! Commands sent directly to workers instead of in heartbeat responses.

use crate::ids::MachineId;
use crate::messages::{Call, CallResult, Destination, Now};
use crate::scheduler::workers::heartbeats::HeartbeatSource;
use crate::scheduler::{LeaderStage, Scheduler, SchedulerEffects, WorkerCommandCall};
use crate::wire::workers::{Command, DirectCommands, WorkerHeartbeat, WORKER_COMMANDS_PATH};

/// Timeout of a direct call to a worker, in heartbeat intervals.
const COMMAND_TIMEOUT_HEARTBEATS: u64 = 2;

impl Scheduler {
    /// Sends commands directly to the workers in `machines_to_command`.
    pub(in crate::scheduler) fn push_commands(&mut self, now: Now, effects: &mut SchedulerEffects) {
        for id in std::mem::take(&mut self.machines_to_command) {
            self.push_commands_to(now, id, None, effects);
        }
    }

    /// Sends the commands of [`Self::commands_for`] directly to a worker, unless a direct call
    /// to the worker is in flight. In that case the commands are sent in the response to the
    /// worker's next heartbeat.
    pub(super) fn push_commands_to(
        &mut self,
        now: Now,
        id: MachineId,
        heartbeat: Option<&WorkerHeartbeat>,
        effects: &mut SchedulerEffects,
    ) {
        let address = self
            .fleet
            .get(&id)
            .filter(|machine| !machine.command_in_flight)
            .and_then(|machine| machine.address.clone());
        if let Some(address) = address {
            let commands = self.commands_for(now, &id, heartbeat, effects);
            self.send_commands(id, address, &commands, effects);
        }
    }

    /// Sends `commands` to a worker's address.
    fn send_commands(
        &mut self,
        id: MachineId,
        address: String,
        commands: &[Command],
        effects: &mut SchedulerEffects,
    ) {
        let timeout_ms = self.heartbeat_interval_ms() * COMMAND_TIMEOUT_HEARTBEATS;
        let Some(machine) = self.fleet.get_mut(&id) else {
            return;
        };
        // A call without commands is only needed if the worker hasn't received a fencing
        // token of this term.
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
        effects
            .worker_calls
            .push((WorkerCommandCall { machine: id }, call));
    }

    /// Processes the result of a direct call to a worker. The status in the response is applied
    /// like a heartbeat, except that it doesn't renew the worker's lease.
    pub fn on_command_response(
        &mut self,
        now: Now,
        call: WorkerCommandCall,
        outcome: CallResult,
        effects: &mut SchedulerEffects,
    ) {
        if self.stage != LeaderStage::Active {
            return;
        }
        if let Some(machine) = self.fleet.get_mut(&call.machine) {
            machine.command_in_flight = false;
        }
        // The bodies of both 200 and 409 responses contain the worker's status in the format
        // of a heartbeat.
        let Ok((200 | 409, body)) = outcome else {
            return;
        };
        match serde_json::from_slice::<WorkerHeartbeat>(&body) {
            Ok(status) => {
                self.apply_heartbeat(now, &status, HeartbeatSource::CommandResponse, effects);
            }
            Err(error) => log::debug!(
                "worker response unreadable machine={} reason=\"{error}\"",
                call.machine
            ),
        }
    }
}

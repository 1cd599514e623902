//! Processing of worker heartbeats: detection of duplicates and reordering, and updates of the
//! machine and its tasks.

use crate::cloud::Offer;
use crate::fleet::{Machine, MachinePhase};
use crate::ids::MachineId;
use crate::messages::{ConnectionId, Now, Reply};
use crate::scheduler::{LeaderStage, Scheduler, SchedulerEffects};
use crate::wire::workers::{Command, HeartbeatResponse, RedirectTo, WorkerHeartbeat};
use std::rc::Rc;

/// The message in which the leader received a worker's status.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum HeartbeatSource {
    /// A heartbeat. The response renews the worker's lease.
    Heartbeat,
    /// The response to a direct command. It doesn't renew the lease: a worker whose heartbeats
    /// reach no controller still responds to commands, but its lease expires.
    CommandResponse,
}

impl Scheduler {
    /// Processes a worker's heartbeat and always sends a response. The response contains
    /// `stops`, the commands that stop the tasks of cancelled jobs, even if the leader doesn't
    /// know these jobs yet.
    pub fn worker_heartbeat(
        &mut self,
        now: Now,
        connection: ConnectionId,
        heartbeat: &WorkerHeartbeat,
        stops: Vec<Command>,
        effects: &mut SchedulerEffects,
    ) {
        if heartbeat.fencing_token.term() > self.term {
            effects.later_term_seen = true;
            let redirect = Reply::json(421, &RedirectTo { node: None });
            effects.replies.push((connection, redirect));
            return;
        }
        let id = MachineId::new(&heartbeat.machine);
        let mut commands = Vec::new();
        if self.active() && !self.fleet.is_released(&id) {
            let applied = self.apply_heartbeat(now, heartbeat, HeartbeatSource::Heartbeat, effects);
            if applied && heartbeat.fencing_token.term() == self.term {
                commands = self.commands_for(now, &id, Some(heartbeat), effects);
            }
        }
        for stop in stops {
            if !commands.contains(&stop) {
                commands.push(stop);
            }
        }
        // The worker rejects commands whose token is lower than the highest one it has seen.
        // The token isn't raised beyond the larger of that one and the machine's own.
        let fencing_token = self.fencing_token_of(&id).max(heartbeat.fencing_token);
        let response = HeartbeatResponse {
            fencing_token,
            commands: &commands,
        };
        effects
            .replies
            .push((connection, Reply::json(200, &response)));
    }

    /// Processes a heartbeat that a follower has responded to and forwarded. The commands are
    /// sent directly to the worker.
    pub fn forwarded_heartbeat(
        &mut self,
        now: Now,
        heartbeat: &WorkerHeartbeat,
        effects: &mut SchedulerEffects,
    ) {
        if self.stage != LeaderStage::Active {
            return;
        }
        let applied = self.apply_heartbeat(now, heartbeat, HeartbeatSource::Heartbeat, effects);
        if !applied || heartbeat.fencing_token.term() != self.term {
            return;
        }
        let id = MachineId::new(&heartbeat.machine);
        self.push_commands_to(now, id, Some(heartbeat), effects);
    }

    /// Updates the machine and its tasks from a worker's status. Returns whether the status was
    /// applied: it is ignored if it is a duplicate or reordered, if the machine is released, or
    /// if it has a fencing token of a later term.
    pub(super) fn apply_heartbeat(
        &mut self,
        now: Now,
        heartbeat: &WorkerHeartbeat,
        source: HeartbeatSource,
        effects: &mut SchedulerEffects,
    ) -> bool {
        if heartbeat.fencing_token.term() > self.term {
            effects.later_term_seen = true;
            return false;
        }
        let id = MachineId::new(&heartbeat.machine);
        if self.fleet.is_released(&id) {
            return false;
        }
        if !self.fleet.get(&id).is_some_and(Machine::has_known_type) {
            let offer = Offer {
                machine_type: Rc::from(heartbeat.machine_type.as_str()),
                zone: Rc::from(heartbeat.zone.as_str()),
                spot: heartbeat.spot,
            };
            self.add_machine(now, id.clone(), offer, 0.0);
        }
        let Some(machine) = self.fleet.get_mut(&id) else {
            return false;
        };
        if !record_heartbeat(machine, now, heartbeat, source) {
            return false;
        }
        if machine.phase == MachinePhase::Booting {
            self.mark_machine_up(now, &id);
        }
        self.update_preemption_notice(now, &id, heartbeat.preemption_notice_s);
        // A later agent epoch is proof whatever the worker's token is. A worker that receives no
        // responses never reports a token of this term.
        self.expire_earlier_epochs(now, &id, heartbeat.agent_epoch);
        // A status without a fencing token of this term may be older than all commands of this
        // leader, so it isn't used for reconciliation.
        if heartbeat.fencing_token.term() == self.term {
            if let Some(machine) = self.fleet.get_mut(&id) {
                self.pacing.requested |= !machine.token_acknowledged;
                machine.token_acknowledged = true;
            }
            self.reconcile(now, &id, heartbeat, effects);
        }
        true
    }

    /// Marks a booting machine as up when its worker's status is first received.
    fn mark_machine_up(&mut self, now: Now, id: &MachineId) {
        let Some(machine) = self.fleet.get_mut(id) else {
            return;
        };
        machine.phase = MachinePhase::Up;
        machine.idle_since_ms = Some(now.ms);
        let provisioned_ms = machine.provisioned_ms;
        let took_ms = now.ms - provisioned_ms;
        let machine_type = machine.offer.machine_type.clone();
        log::info!(
            "machine up machine={id} type={machine_type} spot={} took_ms={took_ms}",
            machine.offer.spot
        );
        // The boot time is known only for machines that were ordered in this term.
        if machine.provisioned_this_term {
            let took_s = took_ms as f64 / 1000.0;
            let nominal_s = self.nominal_boot_s(&machine_type);
            self.estimates
                .record_boot(&machine_type, nominal_s, provisioned_ms, took_s);
        }
        self.pacing.requested = true;
    }

    /// Records the preemption notice in a heartbeat, or its withdrawal. `notice_s` is the time
    /// until the cloud reclaims the machine.
    fn update_preemption_notice(&mut self, now: Now, id: &MachineId, notice_s: Option<f64>) {
        let Some(machine) = self.fleet.get_mut(id) else {
            return;
        };
        let reclaim_at_ms = notice_s
            .filter(|seconds| seconds.is_finite())
            .map(|seconds| now.ms.saturating_add((seconds.max(0.0) * 1000.0) as u64));
        if reclaim_at_ms.is_some() != machine.reclaim_at_ms.is_some() {
            log::info!("machine preemption notice machine={id} notice_s={notice_s:?}");
            self.pacing.requested = true;
            self.failure_detection.check_requested = true;
        }
        machine.reclaim_at_ms = reclaim_at_ms;
    }
}

/// Updates the machine from a worker's status, without its tasks. Returns `false` and changes
/// nothing if the status is a duplicate or reordered.
fn record_heartbeat(
    machine: &mut Machine,
    now: Now,
    heartbeat: &WorkerHeartbeat,
    source: HeartbeatSource,
) -> bool {
    let known = (machine.agent_epoch, machine.heartbeat_sequence);
    if (heartbeat.agent_epoch, heartbeat.sequence) <= known {
        return false;
    }
    machine.agent_epoch = heartbeat.agent_epoch;
    machine.heartbeat_sequence = heartbeat.sequence;
    if source == HeartbeatSource::Heartbeat {
        machine.last_heartbeat_ms = now.ms;
    }
    if machine.address.as_deref().unwrap_or_default() != heartbeat.address {
        machine.address = Some(heartbeat.address.clone()).filter(|address| !address.is_empty());
    }
    machine.fencing_token = machine.fencing_token.max(heartbeat.fencing_token);
    true
}

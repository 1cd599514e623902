//! The node's implementation of the reactor's event handler: incoming requests, results
//! of calls, and turns.

use super::outgoing_calls::OutgoingCall;
use super::Node;
use crate::cloud::{CloudCall, CloudEvent};
use crate::gateway::GatewayEffects;
use crate::messages::{CallId, CallResult, ConnectionId, Effect, Listener, Now, Request};
use crate::reactor::Handler;
use crate::scheduler::{SchedulerEffects, WorkerCommandCall};
use crate::usage::Purpose;

/// Number of peer heartbeat intervals without any event after which the process is
/// taken to have been paused. It equals one TTL of the leader key's lease, within which
/// peers send heartbeats and a leader renews its lease.
const PAUSE_DETECTION_HEARTBEATS: u64 = 4;

impl Handler for Node {
    fn request(
        &mut self,
        now: Now,
        connection: ConnectionId,
        listener: Listener,
        request: Request,
        effects: &mut Vec<Effect>,
    ) {
        self.purpose = Purpose::Other;
        self.detect_process_pause(now, effects);
        self.route(now, connection, listener, &request, effects);
    }

    fn call_completed(
        &mut self,
        now: Now,
        id: CallId,
        result: CallResult,
        effects: &mut Vec<Effect>,
    ) {
        self.purpose = Purpose::Other;
        self.detect_process_pause(now, effects);
        match self.outgoing_calls.finish(id) {
            Some(OutgoingCall::KvStore(id)) => self.on_kv_result(now, id, result, effects),
            Some(OutgoingCall::Cloud(call)) => self.on_cloud_result(now, call, result),
            Some(OutgoingCall::Worker(term, call)) if term == self.scheduler.term() => {
                self.on_worker_result(now, call, result, effects);
            }
            Some(OutgoingCall::Peer { index, sent_ms }) => {
                self.purpose = Purpose::PeerHeartbeat;
                self.on_peer_result(now, index, sent_ms, result, effects);
            }
            // The call belongs to an earlier term or is not registered.
            Some(OutgoingCall::Worker(..)) | None => {}
        }
    }

    fn tick(&mut self, now: Now, effects: &mut Vec<Effect>) -> u64 {
        self.detect_process_pause(now, effects);
        let before = self.scheduler.activity();
        let due_ms = self.run_turn(now, effects);
        let after = self.scheduler.activity();
        self.purpose = if after.rounds > before.rounds {
            Purpose::Round
        } else if after.checks > before.checks {
            Purpose::MachineCheck
        } else if after.commits > before.commits {
            Purpose::Commit
        } else {
            Purpose::Other
        };
        due_ms
    }

    fn purpose(&self) -> Purpose {
        self.purpose
    }

    fn log_usage(&mut self) {
        log::info!("kv calls {}", self.kv.take_stats());
        if self.scheduler.active() {
            log::info!("rounds {}", self.scheduler.take_round_stats());
            log::info!("dependencies {}", self.scheduler.dependency_stats());
            if let Some(stats) = self.scheduler.replica_group_stats() {
                log::info!("replica groups {stats}");
            }
        }
    }
}

impl Node {
    fn on_kv_result(&mut self, now: Now, id: u64, result: CallResult, effects: &mut Vec<Effect>) {
        if let Some((owner, response)) = self.kv.on_result(now, id, result) {
            self.purpose = owner.purpose();
            self.on_kv_response(now, owner, response, effects);
        }
    }

    fn on_cloud_result(&mut self, now: Now, call: CloudCall, result: CallResult) {
        self.purpose = Purpose::Cloud;
        match self.cloud.on_result(now, call, result) {
            Some(CloudEvent::Catalog(catalog)) => self.on_cloud_catalog(catalog),
            Some(event) => self.scheduler.on_cloud_event(now, event, &mut self.cloud),
            None => {}
        }
    }

    fn on_worker_result(
        &mut self,
        now: Now,
        call: WorkerCommandCall,
        result: CallResult,
        effects: &mut Vec<Effect>,
    ) {
        self.purpose = Purpose::Command;
        let mut scheduler_effects = SchedulerEffects::default();
        self.scheduler
            .on_command_response(now, call, result, &mut scheduler_effects);
        self.apply_scheduler_effects(now, scheduler_effects, effects);
    }

    /// Detects that the process was paused, and discards state that may be outdated.
    /// After a pause, the socket buffers hold outdated messages, data read for users'
    /// requests may be stale, another controller may have become leader, and the lack
    /// of heartbeats during the pause does not mean that peers or workers were
    /// unresponsive.
    fn detect_process_pause(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let pause_ms = self.peers.heartbeat_interval_ms() * PAUSE_DETECTION_HEARTBEATS;
        let paused = self.last_event_ms > 0 && now.ms > self.last_event_ms + pause_ms;
        self.last_event_ms = now.ms;
        self.started_ms.get_or_insert(now.ms);
        if !paused || self.peers.is_empty() {
            return;
        }
        let mut gateway_effects = GatewayEffects::default();
        self.gateway.abort_after_pause(&mut gateway_effects);
        self.apply_gateway_effects(now, gateway_effects, effects);
        if self.election.is_leader() {
            log::info!("leadership unconfirmed reason=\"the process was paused\"");
            self.election.require_renewal(now);
            self.scheduler.on_process_paused(now);
        }
    }
}

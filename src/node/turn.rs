//! One turn of the node: every actor performs its due work, and the resulting calls are
//! sent.

use super::outgoing_calls::OutgoingCall;
use super::Node;
use crate::gateway::GatewayEffects;
use crate::kv_client::KvResponse;
use crate::messages::{Effect, Now};
use crate::scheduler::SchedulerEffects;

/// Delay until the next turn while calls of the key-value store are queued.
const QUEUED_CALLS_RETRY_MS: u64 = 10;

/// Due time of an actor that only waits for messages.
const NOT_DUE_MS: u64 = u64::MAX;

impl Node {
    /// Runs one turn and returns when the next turn is due.
    pub(super) fn run_turn(&mut self, now: Now, effects: &mut Vec<Effect>) -> u64 {
        let mut due_ms = self.tick_election(now);
        due_ms = due_ms.min(self.tick_scheduler(now, effects));
        self.maintain_catalog(now);
        self.maintain_limits(now);
        due_ms = due_ms.min(self.tick_gateway(now, effects));
        due_ms = due_ms.min(self.tick_cancellations(now));
        self.store_proxied_leases(now);
        self.forward_worker_heartbeats(now, effects);
        due_ms = due_ms.min(self.heartbeat_forwarder.due_ms().unwrap_or(NOT_DUE_MS));
        due_ms = due_ms.min(self.send_cloud_calls(now, effects));
        self.send_heartbeats(now, effects);
        due_ms = due_ms.min(self.peers.next_heartbeat_ms());
        due_ms = due_ms.min(self.send_kv_calls(now, effects));
        due_ms = due_ms.min(self.catalog.next_read_ms().unwrap_or(NOT_DUE_MS));
        due_ms.max(now.ms + 1)
    }

    fn tick_election(&mut self, now: Now) -> u64 {
        let mut calls = Vec::new();
        let due_ms = self.election.tick(now, &mut calls);
        self.submit_election_calls(calls);
        due_ms
    }

    fn tick_scheduler(&mut self, now: Now, effects: &mut Vec<Effect>) -> u64 {
        if self.election.leadership_unconfirmed() {
            return NOT_DUE_MS;
        }
        let mut scheduler_effects = SchedulerEffects::default();
        let budget = self.kv.write_budget(now);
        let due_ms = self
            .scheduler
            .tick(now, &mut self.cloud, budget, &mut scheduler_effects);
        self.apply_scheduler_effects(now, scheduler_effects, effects);
        due_ms
    }

    fn tick_gateway(&mut self, now: Now, effects: &mut Vec<Effect>) -> u64 {
        let mut gateway_effects = GatewayEffects::default();
        let due_ms = self.gateway.tick(now, &mut gateway_effects);
        self.apply_gateway_effects(now, gateway_effects, effects);
        due_ms
    }

    fn tick_cancellations(&mut self, now: Now) -> u64 {
        let mut calls = Vec::new();
        let due_ms = self.cancellations.tick(now, &mut calls);
        self.submit_cancellation_calls(calls);
        due_ms
    }

    fn send_cloud_calls(&mut self, now: Now, effects: &mut Vec<Effect>) -> u64 {
        let mut calls = Vec::new();
        self.cloud
            .dispatch(now, |cloud_call, call| calls.push((cloud_call, call)));
        for (cloud_call, call) in calls {
            self.send(OutgoingCall::Cloud(cloud_call), call, effects);
        }
        self.cloud.next_wake_ms(now)
    }

    /// Sends the queued calls that the rates allow, and reports expired calls to their
    /// owners as not executed.
    fn send_kv_calls(&mut self, now: Now, effects: &mut Vec<Effect>) -> u64 {
        let mut calls = Vec::new();
        let mut expired = Vec::new();
        self.kv
            .dispatch(now, |id, call| calls.push((id, call)), &mut expired);
        for (id, call) in calls {
            self.send(OutgoingCall::KvStore(id), call, effects);
        }
        let any_expired = !expired.is_empty();
        for owner in expired {
            self.on_kv_response(now, owner, KvResponse::NotExecuted, effects);
        }
        if any_expired || self.kv.has_queued() {
            now.ms + QUEUED_CALLS_RETRY_MS
        } else {
            NOT_DUE_MS
        }
    }
}

//! Executes the effects that the actors return: replies, calls, and messages to other
//! actors.

use super::kv_responses::KvCallOwner;
use super::outgoing_calls::OutgoingCall;
use super::Node;
use crate::cancellations::CancellationsKvCall;
use crate::election::{ElectionEffects, LeadershipChange};
use crate::gateway::GatewayEffects;
use crate::ids::JobId;
use crate::kv_client::KvCall;
use crate::messages::{Call, ConnectionId, Effect, Now, Reply};
use crate::scheduler::SchedulerEffects;

impl Node {
    pub(super) fn send(&mut self, owner: OutgoingCall, call: Call, effects: &mut Vec<Effect>) {
        let id = self.outgoing_calls.register(owner);
        effects.push(Effect::Call(id, call));
    }

    pub(super) fn apply_gateway_effects(
        &mut self,
        now: Now,
        gateway_effects: GatewayEffects,
        effects: &mut Vec<Effect>,
    ) {
        send_replies(gateway_effects.replies, effects);
        for call in gateway_effects.calls {
            self.kv.submit(call.map_tag(KvCallOwner::Gateway));
        }
        self.peers.announce(gateway_effects.jobs_to_announce);
        if let Some(size) = gateway_effects.rejected_write {
            self.on_user_write_rejected(now, size);
        }
        if gateway_effects.poll_requested {
            self.cancellations.request_poll();
        }
        // The cancellations are recorded in this turn, before the reactor sends the replies
        // that confirm them, so that every later query sees the cancellations.
        for id in &gateway_effects.confirmed_cancellations {
            self.cancellations.confirm(now, id);
        }
        if !gateway_effects.confirmed_cancellations.is_empty() {
            self.peers.announce_cancellations();
        }
        let mut scheduler_effects = SchedulerEffects::default();
        self.notify_scheduler_of_cancellations(
            now,
            &gateway_effects.confirmed_cancellations,
            &mut scheduler_effects,
        );
        self.apply_scheduler_effects(now, scheduler_effects, effects);
    }

    /// Passes newly known cancellations and the cancellation watermark to the scheduler.
    /// On the leader, the scheduler stops the tasks of these jobs at once.
    pub(super) fn notify_scheduler_of_cancellations(
        &mut self,
        now: Now,
        jobs: &[JobId],
        scheduler_effects: &mut SchedulerEffects,
    ) {
        self.scheduler
            .set_cancellation_watermark(self.cancellations.watermark_ms());
        for id in jobs {
            self.scheduler.on_job_cancelled(now, id, scheduler_effects);
        }
    }

    pub(super) fn apply_scheduler_effects(
        &mut self,
        now: Now,
        scheduler: SchedulerEffects,
        effects: &mut Vec<Effect>,
    ) {
        send_replies(scheduler.replies, effects);
        let term = self.scheduler.term();
        for call in scheduler.kv_calls {
            self.kv
                .submit(call.map_tag(|tag| KvCallOwner::Scheduler(term, tag)));
        }
        for (tag, call) in scheduler.worker_calls {
            self.send(OutgoingCall::Worker(term, tag), call, effects);
        }
        if let Some(size) = scheduler.rejected_request {
            self.on_transaction_rejected(now, size);
        }
        if let Some(reason) = scheduler.step_down {
            log::error!("leader steps down reason=\"{reason}\"");
            self.step_down(now, effects);
        } else if scheduler.later_term_seen {
            // The key-value store decides which controller leads; a worker's report is
            // only a hint.
            log::info!("leadership unconfirmed reason=\"a worker reports a later term\"");
            self.election.require_renewal(now);
        }
    }

    fn step_down(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let mut calls = Vec::new();
        let change = self.election.step_down(now, &mut calls);
        self.apply_election_effects(now, calls, change, effects);
    }

    /// Submits the election's calls and applies a change of leadership.
    pub(super) fn apply_election_effects(
        &mut self,
        now: Now,
        calls: ElectionEffects,
        change: Option<LeadershipChange>,
        effects: &mut Vec<Effect>,
    ) {
        self.submit_election_calls(calls);
        if let Some(change) = change {
            self.on_leadership_change(now, change, effects);
        }
    }

    pub(super) fn submit_election_calls(&mut self, calls: ElectionEffects) {
        for call in calls {
            self.kv.submit(call.map_tag(KvCallOwner::Election));
        }
    }

    pub(super) fn submit_cancellation_calls(&mut self, calls: Vec<KvCall<CancellationsKvCall>>) {
        self.gateway
            .set_polls_complete(self.cancellations.is_caught_up());
        for call in calls {
            if call.tag == CancellationsKvCall::Poll {
                self.last_polled_request = self.gateway.last_request_number();
            }
            self.kv.submit(call.map_tag(KvCallOwner::Cancellations));
        }
    }

    pub(super) fn on_leadership_change(
        &mut self,
        now: Now,
        change: LeadershipChange,
        effects: &mut Vec<Effect>,
    ) {
        self.set_rate_share(now);
        match change {
            LeadershipChange::Elected {
                term,
                leader_key_revision,
            } => {
                self.handover.on_elected(now);
                self.heartbeat_routes.clear();
                self.peers.clear_sent_progress();
                self.cloud.set_leading(now, true);
                let mut scheduler_effects = SchedulerEffects::default();
                self.scheduler
                    .on_elected(now, term, leader_key_revision, &mut scheduler_effects);
                self.apply_scheduler_effects(now, scheduler_effects, effects);
            }
            LeadershipChange::Deposed => {
                self.handover.on_deposed();
                self.cloud.set_leading(now, false);
                self.scheduler.on_deposed();
            }
        }
        // Informs the peers at once, so that they redirect workers to the right leader.
        self.peers.expedite_heartbeat(now);
    }
}

fn send_replies(replies: Vec<(ConnectionId, Reply)>, effects: &mut Vec<Effect>) {
    let replies = replies.into_iter();
    effects.extend(replies.map(|(connection, reply)| Effect::Reply(connection, reply)));
}

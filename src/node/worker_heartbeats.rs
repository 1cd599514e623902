//! Responses to worker heartbeats. The leader responds to a worker directly, or redirects
//! the worker to a follower in the worker's zone, which responds and forwards the
//! heartbeats to the leader.

use super::lease_proxy::proxy_response;
use super::Node;
use crate::ids::Term;
use crate::messages::{ConnectionId, Effect, Now, Reply};
use crate::scheduler::SchedulerEffects;
use crate::wire::peers::PeerHeartbeat;
use crate::wire::workers::{Command, RedirectTo, WorkerHeartbeat};

/// Number of heartbeat intervals within which a follower must have sent a heartbeat to be
/// used as a forwarder.
const FORWARDER_RECENCY_HEARTBEATS: u64 = 2;

impl Node {
    pub(super) fn on_worker_heartbeat(
        &mut self,
        now: Now,
        connection: ConnectionId,
        body: &[u8],
        effects: &mut Vec<Effect>,
    ) {
        let heartbeat: WorkerHeartbeat = match serde_json::from_slice(body) {
            Ok(heartbeat) => heartbeat,
            Err(error) => {
                effects.push(Effect::Reply(
                    connection,
                    Reply::error(400, &error.to_string()),
                ));
                return;
            }
        };
        self.handover.on_worker_heartbeat();
        let stops = self.cancellations.stop_commands(&heartbeat);
        if self.scheduler.leading() {
            self.respond_as_leader(now, connection, &heartbeat, stops, effects);
        } else {
            let reply = self
                .respond_as_follower(now, &heartbeat, body, &stops)
                .unwrap_or_else(|| self.redirect_to_leader(now));
            effects.push(Effect::Reply(connection, reply));
        }
    }

    fn respond_as_leader(
        &mut self,
        now: Now,
        connection: ConnectionId,
        heartbeat: &WorkerHeartbeat,
        stops: Vec<Command>,
        effects: &mut Vec<Effect>,
    ) {
        if !self.cancellations.may_renew_leases(now) || self.election.leadership_unconfirmed() {
            effects.push(Effect::Reply(
                connection,
                Reply::retry_later(503, "cut off", 1),
            ));
            return;
        }
        let forwarder = self.forwarder_for(now, &heartbeat.zone).filter(|peer| {
            self.heartbeat_routes
                .should_redirect(now.ms, &heartbeat.machine, *peer)
        });
        if let Some(peer) = forwarder.and_then(|index| self.peers.get(index)) {
            let node = Some(peer.name.as_str());
            let reply = Reply::json(421, &RedirectTo { node });
            effects.push(Effect::Reply(connection, reply));
            return;
        }
        let mut scheduler_effects = SchedulerEffects::default();
        self.scheduler
            .worker_heartbeat(now, connection, heartbeat, stops, &mut scheduler_effects);
        self.apply_scheduler_effects(now, scheduler_effects, effects);
    }

    /// Returns the response of a follower that forwards the heartbeat or proxies the
    /// lease, or `None` if the follower does neither.
    fn respond_as_follower(
        &mut self,
        now: Now,
        heartbeat: &WorkerHeartbeat,
        body: &[u8],
        stops: &[Command],
    ) -> Option<Reply> {
        // A controller that may have missed cancellations for too long renews no leases
        // in any role. It must not respond either: a response would keep the worker at a
        // controller that has to reject its heartbeats.
        if !self.cancellations.may_renew_leases(now) {
            return None;
        }
        if let Some(term) = self.forwarding_term(now, &heartbeat.zone) {
            self.lease_proxy.record_response(now);
            self.heartbeat_forwarder.enqueue(now.ms, heartbeat, body);
            return proxy_response(heartbeat, term, stops);
        }
        if self.should_proxy_leases(now) {
            return self.renew_lease_as_proxy(now, heartbeat, stops);
        }
        None
    }

    /// Returns the index of the follower that responds to this zone's workers for this
    /// leader; `None` if this leader responds to them itself. The follower is in the same
    /// zone, so that a network partition between zones doesn't separate a worker from the
    /// controller that responds to it.
    pub(super) fn forwarder_for(&self, now: Now, zone: &str) -> Option<usize> {
        if zone == self.settings.zone {
            return None;
        }
        let recent_ms = self.peers.heartbeat_interval_ms() * FORWARDER_RECENCY_HEARTBEATS;
        self.peers.position(|peer| {
            // A peer that reaches neither this leader nor the key-value store would
            // redirect the worker back to this leader, in an endless loop.
            peer.zone == zone
                && !peer.unreachable_by_workers()
                && peer.reported_following_within(now, recent_ms)
                && peer.reached_store_within(now, recent_ms)
        })
    }

    /// Returns the term of the leader for which this follower responds to a zone's workers
    /// and forwards their heartbeats, or `None` if it doesn't. A follower forwards the
    /// heartbeats of its own zone's workers to a leader in another zone, and those of all
    /// workers to a leader that reports that no worker reaches it.
    fn forwarding_term(&self, now: Now, zone: &str) -> Option<Term> {
        // Receiving the leader's heartbeats isn't enough: the leader must also respond,
        // or forwarded heartbeats may be lost. The leader's last heartbeat and its last
        // response before a network partition are up to one heartbeat interval apart,
        // so the response period is one interval longer. In an earlier version without
        // the extra interval, a follower stopped forwarding worker heartbeats up to one
        // heartbeat interval before it started lease proxying, and the workers moved to
        // other controllers.
        let response_ms = self.peers.unresponsive_after_ms() + self.peers.heartbeat_interval_ms();
        let in_own_zone = zone == self.settings.zone;
        self.peers
            .reporting_leaders(now)
            .max_by_key(|leader| leader.reported_term())
            .filter(|leader| {
                leader.unreachable_by_workers() || (in_own_zone && leader.zone != zone)
            })
            .filter(|leader| leader.responded_within(now, response_ms))
            .map(|leader| leader.reported_term())
    }

    /// Forwards queued worker heartbeats to the leader, batched into one message.
    pub(super) fn forward_worker_heartbeats(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let worker_heartbeats = self.heartbeat_forwarder.take_due(now.ms);
        if worker_heartbeats.is_empty() {
            return;
        }
        let Some(leader) = self.peers.last_leader_index() else {
            return;
        };
        let message = PeerHeartbeat {
            worker_heartbeats,
            ..self.message_header(now)
        };
        self.send_to_peer(now, leader, &message, effects);
    }

    /// Redirects a worker to the leader of the latest known term, or lets it try the next
    /// controller if nothing recent says who leads. A peer that reports
    /// that it leads may have a later term than the leader record that this controller
    /// last read. A worker redirected to a leader that has just handed over because
    /// workers can't reach it would lose its lease.
    fn redirect_to_leader(&self, now: Now) -> Reply {
        let recorded = self
            .election
            .other_leader(now)
            .map(|node| (self.election.known_term(), node));
        let reported = self
            .peers
            .reporting_leaders(now)
            .map(|leader| (leader.reported_term(), leader.name.as_str()));
        match recorded.into_iter().chain(reported).max() {
            Some((_, node)) => Reply::json(421, &RedirectTo { node: Some(node) }),
            None => Reply::retry_later(503, "no leader known", 1),
        }
    }
}

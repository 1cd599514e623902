//! Heartbeats between controllers. They carry hints: who leads, how far jobs are,
//! which jobs were just written; confirmed cancellations; and, to the leader, worker
//! heartbeats that followers have answered.

use super::outgoing_calls::OutgoingCall;
use super::{Node, VERSION};
use crate::election::Role;
use crate::ids::{JobId, Term};
use crate::limits::LimitEvidence;
use crate::messages::{Call, CallResult, Destination, Effect, Now, Reply, TaskProgress};
use crate::scheduler::SchedulerEffects;
use crate::usage::Purpose;
use crate::wire::peers::{self, JobProgress, PeerHeartbeat, PeerHeartbeatResponse, PEER_PATH};
use crate::wire::users::is_valid_job_id;
use crate::wire::workers::WorkerHeartbeat;

impl Node {
    // ---- receiving ----

    pub(super) fn on_peer_heartbeat(
        &mut self,
        now: Now,
        body: &[u8],
        effects: &mut Vec<Effect>,
    ) -> Reply {
        let Some(heartbeat) = peers::decode_heartbeat(body) else {
            return Reply::error(400, "not a heartbeat");
        };
        let sender = self.peers.index_of(&heartbeat.node);
        self.record_peer_status(now, sender, &heartbeat);
        if heartbeat.announced_limits_apply {
            self.learn_limits(now, LimitEvidence::Peer);
        }
        self.observe_reported_leader(now, &heartbeat, effects);
        self.record_leader_progress(now, &heartbeat);
        let mut scheduler_effects = SchedulerEffects::default();
        for job in heartbeat.announced.iter().filter(|id| is_valid_job_id(id)) {
            self.scheduler
                .on_job_announced(now, &JobId::new(job), &mut scheduler_effects);
        }
        let response = self.exchange_confirmations(now, sender, &heartbeat, &mut scheduler_effects);
        let reached_elsewhere =
            self.receive_forwarded(now, sender, &heartbeat, &mut scheduler_effects);
        self.apply_scheduler_effects(now, scheduler_effects, effects);
        if reached_elsewhere {
            self.hand_over_if_unreached(now, &heartbeat.node, effects);
        }
        Reply {
            status: 200,
            body: peers::encode_heartbeat_response(&response),
            retry_after_s: None,
        }
    }

    fn record_peer_status(&mut self, now: Now, sender: Option<usize>, heartbeat: &PeerHeartbeat) {
        let names_us_leader = heartbeat.leader == self.settings.node_name
            && Term(heartbeat.term) == self.election.known_term();
        if let Some(peer) = sender.and_then(|index| self.peers.get_mut(index)) {
            peer.record_heartbeat(now, heartbeat, names_us_leader);
        }
    }

    /// A peer that reaches the key-value store may know of a later term.
    fn observe_reported_leader(
        &mut self,
        now: Now,
        heartbeat: &PeerHeartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let is_peer = |name: &str| self.peers.find(name).is_some();
        if !heartbeat.kv_reachable || !is_peer(&heartbeat.node) || !is_peer(&heartbeat.leader) {
            return;
        }
        let term = Term(heartbeat.term);
        let change = self
            .election
            .observe_later_term(now, &heartbeat.leader, term);
        if let Some(change) = change {
            self.on_leadership_change(now, change, effects);
        }
    }

    /// Takes in jobs' progress, if the heartbeat is the leader's.
    fn record_leader_progress(&mut self, now: Now, heartbeat: &PeerHeartbeat) {
        if heartbeat.node != heartbeat.leader {
            return;
        }
        let term = Term(heartbeat.term);
        self.gateway.leader_heard(now, term);
        for job in &heartbeat.job_progress {
            let progress = TaskProgress {
                done: job.done,
                running: job.running,
                multi_host: job.multi_host,
            };
            self.gateway
                .record_progress(&JobId::new(&job.job), term, progress);
        }
    }

    /// Takes in the cancellations that the sender has confirmed, and responds with
    /// those of this node that it asks for.
    fn exchange_confirmations(
        &mut self,
        now: Now,
        sender: Option<usize>,
        heartbeat: &PeerHeartbeat,
        scheduler_effects: &mut SchedulerEffects,
    ) -> PeerHeartbeatResponse {
        let mut response = PeerHeartbeatResponse::default();
        if let Some(cursor) = heartbeat.cursor {
            response.confirmations = Some(self.cancellations.confirmations_after(&cursor));
            if let Some(index) = sender {
                self.cancellations.on_acknowledgement(index, cursor);
            }
        }
        if let (Some(index), Some(confirmations)) = (sender, &heartbeat.confirmations) {
            let cancelled =
                self.cancellations
                    .receive_confirmations(now, index, None, confirmations);
            self.learn_cancelled(now, &cancelled, scheduler_effects);
        }
        response
    }

    /// Takes in forwarded worker heartbeats. Returns whether a worker that should
    /// report to this leader itself reaches the sender, while no worker reaches this
    /// leader.
    fn receive_forwarded(
        &mut self,
        now: Now,
        sender: Option<usize>,
        heartbeat: &PeerHeartbeat,
        scheduler_effects: &mut SchedulerEffects,
    ) -> bool {
        if heartbeat.worker_heartbeats.is_empty() {
            return false;
        }
        self.purpose = Purpose::ForwardedHeartbeats;
        let unreached = self.unreached_by_workers(now);
        let mut reached_elsewhere = false;
        for body in &heartbeat.worker_heartbeats {
            let Ok(worker) = serde_json::from_slice::<WorkerHeartbeat>(body) else {
                continue;
            };
            // Workers that merely fail together reach no other node either.
            reached_elsewhere |= unreached && self.forwarder_for(now, &worker.zone).is_none();
            if let Some(index) = sender {
                self.heartbeat_routes
                    .record_forwarded(now.ms, &worker.machine, index);
            }
            self.scheduler
                .forwarded_heartbeat(now, &worker, scheduler_effects);
        }
        reached_elsewhere
    }

    /// Processes the result of a heartbeat to a peer.
    pub(super) fn on_peer_result(
        &mut self,
        now: Now,
        index: usize,
        sent_ms: u64,
        result: CallResult,
        effects: &mut Vec<Effect>,
    ) {
        let body = match result {
            Ok((_, body)) => body,
            Err(_) => {
                let peer = self.peers.get(index);
                if peer.is_some_and(|peer| peer.last_reported_leading()) {
                    self.heartbeat_forwarder.forget_content();
                }
                return;
            }
        };
        let Some(peer) = self.peers.get_mut(index) else {
            return;
        };
        peer.record_response(now);
        let response = peers::decode_heartbeat_response(&body).unwrap_or_default();
        let Some(confirmations) = response.confirmations else {
            return;
        };
        let known_incarnation = self.cancellations.cursor(index).map(|c| c.incarnation);
        if known_incarnation != Some(confirmations.incarnation) {
            // A new process of the peer knows no job's progress.
            self.peers.forget_sent_progress();
        }
        let cancelled =
            self.cancellations
                .receive_confirmations(now, index, Some(sent_ms), &confirmations);
        let mut scheduler_effects = SchedulerEffects::default();
        self.learn_cancelled(now, &cancelled, &mut scheduler_effects);
        self.apply_scheduler_effects(now, scheduler_effects, effects);
    }

    // ---- sending ----

    /// Sends heartbeats when they are due, and at once when there is something that
    /// can't wait.
    pub(super) fn send_heartbeats(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let due = now.ms >= self.peers.next_heartbeat_ms();
        // Announcements are for the leader; cancellations are for all.
        let announces = self.peers.has_announcements() && !self.election.is_leader();
        if !due && !announces && !self.peers.cancellations_pending() {
            return;
        }
        if due {
            self.peers.schedule_heartbeat(now);
            self.share_writes(now);
            self.heartbeat_routes.remove_expired(now.ms);
            self.check_successor(now, effects);
        }
        let mut heartbeat = self.next_heartbeat(now);
        for index in 0..self.peers.len() {
            heartbeat.cursor = self.cancellations.cursor(index);
            heartbeat.confirmations = self.cancellations.unacknowledged(index);
            self.send_to_peer(now, index, &heartbeat, effects);
        }
    }

    /// The heartbeat but for what differs between its receivers.
    fn next_heartbeat(&mut self, now: Now) -> PeerHeartbeat {
        let leader = match self.election.role() {
            Role::Leader { .. } => self.settings.node_name.clone(),
            Role::Follower(record) => record.node.clone(),
            Role::Unknown => String::new(),
        };
        self.peers.clear_pending_cancellations();
        PeerHeartbeat {
            node: self.settings.node_name.clone(),
            leader,
            term: self.election.known_term().0,
            kv_reachable: self.kv.reachable(),
            unreachable: self.handover.reports_unreached() || self.unreached_by_workers(now),
            job_progress: self.changed_progress(now),
            announced: self.peers.take_announcements(),
            writes_per_s: self.kv.writes_per_s(now),
            cursor: None,
            confirmations: None,
            worker_heartbeats: Vec::new(),
            announced_limits_apply: self.limits.announced_apply(),
            version: VERSION.to_string(),
        }
    }

    /// As leader, records jobs' progress for this node's own users, and returns what
    /// the peers don't know of it.
    fn changed_progress(&mut self, now: Now) -> Vec<JobProgress> {
        let term = self.scheduler.term();
        if self.scheduler.leading() && !self.election.leadership_unconfirmed() {
            self.gateway.leader_heard(now, term);
        }
        if !self.scheduler.active() {
            return Vec::new();
        }
        let progress = self
            .scheduler
            .job_progress()
            .inspect(|(id, progress)| self.gateway.record_progress(id, term, *progress));
        self.peers.changed_progress(progress)
    }

    /// Sends a message to a peer.
    pub(super) fn send_to_peer(
        &mut self,
        now: Now,
        index: usize,
        heartbeat: &PeerHeartbeat,
        effects: &mut Vec<Effect>,
    ) {
        let Some(peer) = self.peers.get(index) else {
            return;
        };
        let call = Call {
            destination: Destination::Peer(peer.address.clone()),
            method: "POST",
            path: PEER_PATH.to_string(),
            body: peers::encode_heartbeat(heartbeat),
            timeout_ms: self.peers.call_timeout_ms(),
        };
        let sent_ms = now.ms;
        self.send(OutgoingCall::Peer { index, sent_ms }, call, effects);
    }
}

//! Heartbeats between controllers. They carry hints (the known leader, jobs' progress,
//! jobs that were just written), confirmed cancellations and, to the leader, worker
//! heartbeats that followers have responded to.

use super::outgoing_calls::OutgoingCall;
use super::store_report::ReportBounds;
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
            self.apply_limit_evidence(now, LimitEvidence::Peer);
        }
        self.observe_reported_leader(now, &heartbeat, effects);
        self.record_leader_progress(now, &heartbeat);
        let mut scheduler_effects = SchedulerEffects::default();
        for job in heartbeat.announced.iter().filter(|id| is_valid_job_id(id)) {
            self.scheduler
                .on_job_announced(now, &JobId::new(job), &mut scheduler_effects);
        }
        let response = self.exchange_confirmations(now, sender, &heartbeat, &mut scheduler_effects);
        let worker_reaches_sender_only =
            self.receive_forwarded_heartbeats(now, sender, &heartbeat, &mut scheduler_effects);
        self.apply_scheduler_effects(now, scheduler_effects, effects);
        if worker_reaches_sender_only {
            self.hand_over_because_unreachable(now, &heartbeat.node, effects);
        }
        Reply {
            status: 200,
            body: peers::encode_heartbeat_response(&response),
            retry_after_s: None,
        }
    }

    fn record_peer_status(&mut self, now: Now, sender: Option<usize>, heartbeat: &PeerHeartbeat) {
        let follows_this_controller = heartbeat.leader == self.settings.node_name
            && Term(heartbeat.term) == self.election.known_term();
        let report_bounds = ReportBounds {
            max_clock_skew_ms: self.settings.site.max_clock_skew_ms as u64,
            interruption_ms: self.peers.unresponsive_after_ms(),
        };
        if let Some(peer) = sender.and_then(|index| self.peers.get_mut(index)) {
            peer.record_heartbeat(now, heartbeat, report_bounds, follows_this_controller);
        }
    }

    /// Applies a later term that the heartbeat reports. The report counts only if the
    /// sender reaches the key-value store, and if both the sender and the reported leader
    /// are known peers.
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

    /// Records jobs' progress if the sender of the heartbeat reports that it leads.
    fn record_leader_progress(&mut self, now: Now, heartbeat: &PeerHeartbeat) {
        if heartbeat.node != heartbeat.leader {
            return;
        }
        let term = Term(heartbeat.term);
        self.gateway.confirm_leader(now, term);
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

    /// Records the cancellations that the sender has confirmed, and returns a response
    /// with this controller's confirmations after the sender's cursor.
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
            self.notify_scheduler_of_cancellations(now, &cancelled, scheduler_effects);
        }
        response
    }

    /// Processes forwarded worker heartbeats. Returns whether no worker reaches this
    /// leader while the sender is reached by a worker that should report to this leader
    /// directly.
    fn receive_forwarded_heartbeats(
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
        let unreachable = self.unreachable_by_workers(now);
        let mut worker_reaches_sender_only = false;
        for body in &heartbeat.worker_heartbeats {
            let Ok(worker) = serde_json::from_slice::<WorkerHeartbeat>(body) else {
                continue;
            };
            // This condition distinguishes an unreachable leader from workers that fail
            // at the same time: failed workers reach no other controller either.
            worker_reaches_sender_only |=
                unreachable && self.forwarder_for(now, &worker.zone).is_none();
            if let Some(index) = sender {
                self.heartbeat_routes
                    .record_forwarded(now.ms, &worker.machine, index);
            }
            self.scheduler
                .forwarded_heartbeat(now, &worker, scheduler_effects);
        }
        worker_reaches_sender_only
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
                    self.heartbeat_forwarder.clear_fingerprints();
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
        let known_incarnation = self
            .cancellations
            .cursor(index)
            .map(|cursor| cursor.incarnation);
        if known_incarnation != Some(confirmations.incarnation) {
            // The peer restarted, and its new process knows no job's progress.
            self.peers.clear_sent_progress();
        }
        let cancelled =
            self.cancellations
                .receive_confirmations(now, index, Some(sent_ms), &confirmations);
        let mut scheduler_effects = SchedulerEffects::default();
        self.notify_scheduler_of_cancellations(now, &cancelled, &mut scheduler_effects);
        self.apply_scheduler_effects(now, scheduler_effects, effects);
    }

    // ---- sending ----

    /// Sends heartbeats to all peers when the next heartbeat is due, and immediately when
    /// there are announcements for the leader or newly confirmed cancellations.
    pub(super) fn send_heartbeats(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let due = now.ms >= self.peers.next_heartbeat_ms();
        // Only the leader uses announcements; all controllers use cancellations.
        let announces = self.peers.has_announcements() && !self.election.is_leader();
        if !due && !announces && !self.peers.cancellations_pending() {
            return;
        }
        if due {
            self.peers.schedule_heartbeat(now);
            self.update_write_share(now);
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

    /// Builds the next heartbeat, without the fields that differ between receivers.
    fn next_heartbeat(&mut self, now: Now) -> PeerHeartbeat {
        let leader = match self.election.role() {
            Role::Leader { .. } => self.settings.node_name.clone(),
            Role::Follower(record) => record.node.clone(),
            Role::Unknown => String::new(),
        };
        self.peers.clear_pending_cancellations();
        PeerHeartbeat {
            leader,
            term: self.election.known_term().0,
            unreachable: self.handover.reports_unreachable() || self.unreachable_by_workers(now),
            job_progress: self.changed_progress(now),
            announced: self.peers.take_announcements(),
            writes_per_s: self.kv.writes_per_s(now),
            cursor: None,
            confirmations: None,
            worker_heartbeats: Vec::new(),
            announced_limits_apply: self.limits.announced_apply(),
            version: VERSION.to_string(),
            ..self.message_header(now)
        }
    }

    /// Returns a message with only the fields that every message to a peer has: the sender,
    /// the time, and the sender's access to the key-value store.
    pub(super) fn message_header(&self, now: Now) -> PeerHeartbeat {
        let age_ms = |event_ms: u64| now.ms.saturating_sub(event_ms);
        PeerHeartbeat {
            node: self.settings.node_name.clone(),
            kv_reachable: self.kv.reachable(),
            sent_wall_ms: now.wall_ms,
            store_response_age_ms: self.kv.last_call_response_ms().map(age_ms),
            store_failure_age_ms: self.kv.last_failure_ms().map(age_ms),
            ..PeerHeartbeat::default()
        }
    }

    /// As leader, records jobs' progress for this controller's own users, and returns the
    /// changes that the peers haven't received.
    fn changed_progress(&mut self, now: Now) -> Vec<JobProgress> {
        let term = self.scheduler.term();
        if self.scheduler.leading() && !self.election.leadership_unconfirmed() {
            self.gateway.confirm_leader(now, term);
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

    /// Sends a heartbeat, or a message of forwarded worker heartbeats, to a peer.
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

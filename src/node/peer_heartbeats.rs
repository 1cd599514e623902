//! What controllers tell each other: heartbeats, and whether a leader should step
//! aside.

use super::outgoing_calls::OutgoingCall;
use super::{Node, VERSION};
use crate::election::Role;
use crate::http::MAX_PEER_BODY;
use crate::ids::{JobId, Term};
use crate::limits::LimitEvidence;
use crate::messages::TaskProgress;
use crate::messages::{Call, Destination, Effect, Now, Reply};
use crate::scheduler::SchedulerEffects;
use crate::usage::Purpose;
use crate::wire::peers;
use crate::wire::peers::{JobProgress, PeerHeartbeat, PeerHeartbeatResponse, PEER_PATH};
use crate::wire::users::valid_job_id;
use crate::wire::workers::WorkerHeartbeat;
use std::collections::HashMap;

/// Counts for display take so much of a heartbeat at most. A new leader has all
/// jobs' to tell: in one message they were once too much for a peer to take, and
/// it heard nothing of its leader.
const MAX_COUNT_BYTES: usize = MAX_PEER_BODY / 4;
/// What a count takes beside its job's name, generously.
const COUNT_BYTES: usize = 24;

impl Node {
    pub(super) fn on_peer_heartbeat(
        &mut self,
        now: Now,
        body: &[u8],
        out: &mut Vec<Effect>,
    ) -> Reply {
        let Some(heartbeat) = peers::decode(body) else {
            return Reply::error(400, "not a heartbeat");
        };
        if let Some(peer) = self
            .peer_links
            .all
            .iter_mut()
            .find(|p| p.name == heartbeat.node)
        {
            peer.heard_ms = Some(now.ms);
            if heartbeat.state_reachable {
                peer.state_seen_ms = Some(now.ms);
            }
            // A message that only carries reports says nothing of leaders.
            if heartbeat.worker_heartbeats.is_empty() {
                peer.writes_per_s = Some(heartbeat.writes_per_s)
                    .filter(|w| w.is_finite() && *w >= 0.0)
                    .unwrap_or(0.0);
                peer.leads_ms = (heartbeat.node == heartbeat.leader).then_some(now.ms);
                peer.leads_term = Term(heartbeat.term);
                peer.unreachable = heartbeat.unreachable;
                let ours = heartbeat.leader == self.settings.node_name
                    && Term(heartbeat.term) == self.election.known_term();
                peer.follows_ms = ours.then_some(now.ms);
                peer.note_version(&heartbeat.version);
            }
        }
        if heartbeat.limits_lowered {
            self.learn_limits(now, LimitEvidence::Peer);
        }
        let known = |name: &str| self.peer_links.all.iter().any(|p| p.name == name);
        if heartbeat.state_reachable && known(&heartbeat.node) && known(&heartbeat.leader) {
            let (leader, term) = (heartbeat.leader.as_str(), Term(heartbeat.term));
            if let Some(change) = self.election.observe_later_term(now, leader, term) {
                self.on_leadership_change(now, change, out);
            }
        }
        if heartbeat.node == heartbeat.leader {
            self.gateway.leader_heard(now, Term(heartbeat.term));
            for count in &heartbeat.job_progress {
                let counts = TaskProgress {
                    done: count.done,
                    running: count.running,
                    multi_host: count.multi_host,
                };
                let id = JobId::new(&count.job);
                self.gateway
                    .record_progress(&id, Term(heartbeat.term), counts);
            }
        }
        let mut scheduler = SchedulerEffects::default();
        for job in heartbeat.announced.iter().filter(|id| valid_job_id(id)) {
            self.scheduler
                .announced(now, &JobId::new(job), &mut scheduler);
        }
        let index = self
            .peer_links
            .all
            .iter()
            .position(|p| p.name == heartbeat.node);
        let mut answer = PeerHeartbeatResponse::default();
        if let Some(cursor) = heartbeat.cursor {
            answer.confirmations = Some(self.cancellations.confirmations(&cursor));
            if let Some(index) = index {
                self.cancellations.acknowledged(index, cursor);
            }
        }
        if let (Some(index), Some(word)) = (index, &heartbeat.confirmations) {
            let new = self
                .cancellations
                .receive_confirmations(now, index, None, word);
            self.learned_cancelled(now, &new, &mut scheduler);
        }
        if !heartbeat.worker_heartbeats.is_empty() {
            self.purpose = Purpose::ForwardedHeartbeats;
        }
        let unreachable = !heartbeat.worker_heartbeats.is_empty() && self.unreachable(now);
        let mut aside = false;
        for body in &heartbeat.worker_heartbeats {
            if let Ok(report) = serde_json::from_slice::<WorkerHeartbeat>(body) {
                // Machines that merely fail together reach nobody.
                aside |= unreachable && self.forwarder_for(now, &report.zone).is_none();
                if let Some(index) = index {
                    self.routes.passed_on(now.ms, &report.machine, index);
                }
                self.scheduler
                    .forwarded_heartbeat(now, &report, &mut scheduler);
            }
        }
        self.apply_scheduler_effects(now, scheduler, out);
        if aside && self.election.is_leader() && !self.election.leadership_unconfirmed() {
            // Workers of ours reach another and not us, nor do commands.
            log::error!("leader steps aside: workers reach {} only", heartbeat.node);
            self.handover.unreached = true;
            self.step_aside(now, out);
        }
        Reply {
            status: 200,
            body: peers::encode_response(&answer),
            retry_after_s: None,
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Now, out: &mut Vec<Effect>) {
        // The leader hears its own word; what is cancelled, all should know.
        let announced = !self.peer_links.announcements.is_empty() && !self.election.is_leader();
        let urgent = announced || self.peer_links.cancellations_pending;
        if now.ms < self.peer_links.heartbeat_due_ms && !urgent {
            return;
        }
        if now.ms >= self.peer_links.heartbeat_due_ms {
            self.peer_links.heartbeat_due_ms = now.ms + self.peer_links.heartbeat_interval_ms;
            self.share_writes(now);
            self.routes.forget_old(now.ms);
            self.check_successor(now, out);
        }
        let leader = match self.election.role() {
            Role::Leader { .. } => self.settings.node_name.clone(),
            Role::Follower(record) => record.node.clone(),
            Role::Unknown => String::new(),
        };
        let mut heartbeat = PeerHeartbeat {
            node: self.settings.node_name.clone(),
            leader,
            term: self.election.known_term().0,
            state_reachable: self.kv.reachable(),
            unreachable: self.handover.unreached || self.unreachable(now),
            job_progress: Vec::new(),
            announced: self
                .peer_links
                .announcements
                .drain(..)
                .map(|id| id.to_string())
                .collect(),
            writes_per_s: self.kv.writes_per_s(now),
            cursor: None,
            confirmations: None,
            worker_heartbeats: Vec::new(),
            limits_lowered: self.limits_tracker.effective.announced_apply(),
            version: VERSION.to_string(),
        };
        self.peer_links.cancellations_pending = false;
        if self.scheduler.leading() && !self.election.leadership_unconfirmed() {
            self.gateway.leader_heard(now, self.scheduler.term());
        }
        if self.scheduler.active() {
            let mut sent_counts = HashMap::new();
            let mut bytes = 0;
            for (id, counts) in self.scheduler.counts() {
                self.gateway
                    .record_progress(id, self.scheduler.term(), counts);
                let sent = self.peer_links.sent_progress.get(id).copied();
                if sent == Some(counts) {
                    sent_counts.insert(id.clone(), counts);
                } else if bytes < MAX_COUNT_BYTES {
                    bytes += id.as_str().len() + COUNT_BYTES;
                    heartbeat.job_progress.push(JobProgress {
                        job: id.to_string(),
                        done: counts.done,
                        running: counts.running,
                        multi_host: counts.multi_host,
                    });
                    sent_counts.insert(id.clone(), counts);
                } else if let Some(sent) = sent {
                    // The next heartbeat tells.
                    sent_counts.insert(id.clone(), sent);
                }
            }
            self.peer_links.sent_progress = sent_counts;
        }
        let timeout_ms = self.peer_links.heartbeat_interval_ms * 2;
        for index in 0..self.peer_links.all.len() {
            heartbeat.cursor = self.cancellations.cursor(index);
            heartbeat.confirmations = self.cancellations.unacknowledged(index);
            let call = Call {
                target: Destination::Peer(self.peer_links.all[index].address.clone()),
                method: "POST",
                path: PEER_PATH.to_string(),
                body: peers::encode(&heartbeat),
                timeout_ms,
            };
            self.send(
                OutgoingCall::Peer {
                    index,
                    sent_ms: now.ms,
                },
                call,
                out,
            );
        }
    }
}

//! What controllers tell each other: heartbeats, and whether a leader should step
//! aside.

use super::{Node, OutgoingCall, PeerStatus, VERSION};
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
    /// Whether none of the workers that should report to this leader itself
    /// is heard. While it leads on, nobody else may serve them.
    pub(super) fn unreachable(&self, now: Now) -> bool {
        let to_us = |zone: &str| self.forwarder_for(now, zone).is_none();
        self.scheduler.hears_no_worker(now, to_us)
    }

    pub(super) fn on_peer_heartbeat(
        &mut self,
        now: Now,
        body: &[u8],
        out: &mut Vec<Effect>,
    ) -> Reply {
        let Some(heartbeat) = peers::decode(body) else {
            return Reply::error(400, "not a heartbeat");
        };
        if let Some(peer) = self.peers.iter_mut().find(|p| p.name == heartbeat.node) {
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
        let known = |name: &str| self.peers.iter().any(|p| p.name == name);
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
        let index = self.peers.iter().position(|p| p.name == heartbeat.node);
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
            self.unreached = true;
            self.step_aside(now, out);
        }
        Reply {
            status: 200,
            body: peers::encode_response(&answer),
            retry_after_s: None,
        }
    }

    pub(super) fn step_aside(&mut self, now: Now, out: &mut Vec<Effect>) {
        let mut calls = Vec::new();
        let change = self.election.yield_leadership(now, &mut calls);
        self.submit_election_calls(calls);
        if let Some(change) = change {
            self.on_leadership_change(now, change, out);
        }
    }

    /// A worker that its node doesn't answer waits for 4 s and goes on to the
    /// next one a second later; two silent nodes in a row cost it its lease.
    /// So a leader whose successor in that order has been silent for long leaves
    /// the lead, once, to one with a successor that isn't.
    pub(super) fn check_successor(&mut self, now: Now, out: &mut Vec<Effect>) {
        let lease_ms = (self.settings.site.workers.lease_s * 1000.0) as u64;
        let led_for_long = self
            .led_since_ms
            .is_some_and(|since| now.ms > since + lease_ms);
        if !led_for_long || self.election.leadership_unconfirmed() {
            return;
        }
        let me = self.settings.node_name.as_str();
        // As nodes are numbered; the peers' list may leave this one out.
        let mut order: Vec<&str> = self.peers.iter().map(|p| p.name.as_str()).collect();
        order.push(me);
        order.sort_by_key(|name| (name.len(), *name));
        let successor = |name: &str| {
            let at = order.iter().position(|n| *n == name)?;
            let next = order[(at + 1) % order.len()];
            self.peers.iter().find(|p| p.name == next)
        };
        let quiet = self.quiet_ms();
        let recent = |at: Option<u64>| at.is_some_and(|at| now.ms < at + quiet);
        let silent = |p: &PeerStatus| p.heard_ms.is_some_and(|at| now.ms > at + lease_ms);
        let exposed = successor(me).filter(|p| silent(p));
        let Some(next) = exposed.map(|p| (p.name.clone(), p.zone.clone())) else {
            self.handed_over_for = None;
            return;
        };
        let better = self
            .peers
            .iter()
            .filter(|p| recent(p.heard_ms) && recent(p.reached_ms) && recent(p.state_seen_ms))
            .any(|p| !p.unreachable && successor(&p.name).is_none_or(|s| !silent(s)));
        // One whose whole zone is silent is beyond a cut: a new leader would
        // only have to find that out again.
        let cut = !self.scheduler.hears_zone(now, &next.1);
        if better && !cut && self.handed_over_for.as_ref() != Some(&next.0) {
            log::info!(
                "leader steps aside: its workers' next node {} is silent",
                next.0
            );
            self.handed_over_for = Some(next.0);
            self.step_aside(now, out);
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Now, out: &mut Vec<Effect>) {
        // The leader hears its own word; what is cancelled, all should know.
        let announced = !self.announced.is_empty() && !self.election.is_leader();
        let urgent = announced || self.cancelled_here;
        if now.ms < self.heartbeat_due_ms && !urgent {
            return;
        }
        if now.ms >= self.heartbeat_due_ms {
            self.heartbeat_due_ms = now.ms + self.heartbeat_every_ms;
            self.share_writes(now);
            self.routes.forget_old(now.ms);
            self.check_successor(now, out);
        }
        let leader = match &self.election.role {
            Role::Leader { .. } => self.settings.node_name.clone(),
            Role::Follower(record) => record.node.clone(),
            Role::Unknown => String::new(),
        };
        let mut heartbeat = PeerHeartbeat {
            node: self.settings.node_name.clone(),
            leader,
            term: self.election.known_term().0,
            state_reachable: self.kv.reachable(),
            unreachable: self.unreached || self.unreachable(now),
            job_progress: Vec::new(),
            announced: self.announced.drain(..).map(|id| id.to_string()).collect(),
            writes_per_s: self.kv.writes_per_s(now),
            cursor: None,
            confirmations: None,
            worker_heartbeats: Vec::new(),
            limits_lowered: self.limits.announced_apply(),
            version: VERSION.to_string(),
        };
        self.cancelled_here = false;
        if self.scheduler.leading() && !self.election.leadership_unconfirmed() {
            self.gateway.leader_heard(now, self.scheduler.term());
        }
        if self.scheduler.active() {
            let mut sent_counts = HashMap::new();
            let mut bytes = 0;
            for (id, counts) in self.scheduler.counts() {
                self.gateway
                    .record_progress(id, self.scheduler.term(), counts);
                let sent = self.sent_counts.get(id).copied();
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
            self.sent_counts = sent_counts;
        }
        let timeout_ms = self.heartbeat_every_ms * 2;
        for index in 0..self.peers.len() {
            heartbeat.cursor = self.cancellations.cursor(index);
            heartbeat.confirmations = self.cancellations.unacknowledged(index);
            let call = Call {
                target: Destination::Peer(self.peers[index].addr.clone()),
                method: "POST",
                path: PEER_PATH.to_string(),
                body: peers::encode(&heartbeat),
                timeout_ms,
            };
            self.send(OutgoingCall::Peer(index, now.ms), call, out);
        }
    }
}

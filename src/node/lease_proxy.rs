//! A controller's part while another leads: it sends workers to where their
//! reports are taken, passes reports on, and renews leases in the leader's
//! stead when that can't be heard. It never starts anything.

use super::outgoing_calls::OutgoingCall;
use super::{KvCallOwner, Node};
use crate::election::Role;
use crate::ids::{AgentEpoch, FencingToken, Term};
use crate::kv_client::{self, CallPriority, KvCall};
use crate::messages::{Call, Destination, Effect, Now, Reply};
use crate::records::lease_proxies::LeaseProxyRecord;
use crate::records::lease_proxies::{divide, lease_proxy_key};
use crate::wire::kv::Txn;
use crate::wire::peers;
use crate::wire::peers::{PeerHeartbeat, PEER_PATH};
use crate::wire::workers::{Command, HeartbeatResponse, RedirectTo, WorkerHeartbeat};
use std::collections::HashMap;

/// A lease that was renewed in the leader's stead.
#[derive(Clone, Copy, Debug)]
struct ProxiedLease {
    renewed_ms: u64,
    epoch: AgentEpoch,
}

/// The leases that this controller renews in the leader's stead.
#[derive(Debug, Default)]
pub(super) struct LeaseProxy {
    leases: HashMap<String, ProxiedLease>,
    /// When the records of them are written next.
    store_due_ms: u64,
    /// How many records of them are stored.
    records_stored: usize,
    /// When a worker was last answered in the leader's stead.
    pub(super) last_answer_ms: Option<u64>,
}

/// Who hasn't been heard for so many heartbeat intervals is quiet.
pub(super) const QUIET_HEARTBEATS: u64 = 3;

impl Node {
    /// The follower that takes this zone's reports for us: one in the zone
    /// itself, so that a cut between zones parts no worker from its node.
    pub(super) fn forwarder_for(&self, now: Now, zone: &str) -> Option<usize> {
        if zone == self.settings.zone {
            return None;
        }
        let recent = self.peer_links.heartbeat_interval_ms * 2;
        self.peer_links.all.iter().position(|p| {
            // One that reaches neither us nor the state service would
            // send the worker back, round and round.
            let seen = |at: Option<u64>| at.is_some_and(|at| now.ms < at + recent);
            p.zone == zone && !p.unreachable && seen(p.follows_ms) && seen(p.state_seen_ms)
        })
    }

    /// Whether this follower takes a zone's reports for the leader, and that
    /// leader's term: its own zone's for one in another zone, and anybody's
    /// for one that says that no worker reaches it.
    pub(super) fn forwards(&self, now: Now, zone: &str) -> Option<Term> {
        let quiet = self.quiet_ms();
        let reach = quiet + self.peer_links.heartbeat_interval_ms;
        self.peer_links
            .all
            .iter()
            .filter(|p| p.leads_ms.is_some_and(|at| now.ms < at + quiet))
            .max_by_key(|p| p.leads_term)
            .filter(|p| p.unreachable || (zone == self.settings.zone && p.zone != zone))
            // To hear it is not enough: what it can't be told is lost on it. Its
            // heartbeats and the answers to ours come apart by up to an interval.
            // When both end in a cut, reports were once neither passed on nor
            // answered in its stead in between, and the workers went elsewhere.
            .filter(|p| p.reached_ms.is_some_and(|at| now.ms < at + reach))
            .map(|p| p.leads_term)
    }

    /// Passes reports on to the leader, several at once.
    pub(super) fn forward_reports(&mut self, now: Now, out: &mut Vec<Effect>) {
        let reports = self.forwarding.take_due(now.ms);
        if reports.is_empty() {
            return;
        }
        let leader = self
            .peer_links
            .all
            .iter()
            .enumerate()
            .filter(|(_, p)| p.leads_ms.is_some())
            .max_by_key(|(_, p)| p.leads_term);
        let Some((index, addr)) = leader.map(|(i, p)| (i, p.address.clone())) else {
            return;
        };
        let heartbeat = PeerHeartbeat {
            node: self.settings.node_name.clone(),
            state_reachable: self.kv.reachable(),
            worker_heartbeats: reports,
            ..PeerHeartbeat::default()
        };
        let call = Call {
            target: Destination::Peer(addr),
            method: "POST",
            path: PEER_PATH.to_string(),
            body: peers::encode(&heartbeat),
            timeout_ms: self.peer_links.heartbeat_interval_ms * 2,
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

    /// Sends a worker to whoever leads by the latest word: a peer that says so
    /// itself is ahead of what the state service told last. A worker sent to a
    /// leader that has just stepped aside, unreached, would lose its lease there.
    pub(super) fn redirect(&self, now: Now) -> Reply {
        let quiet = self.quiet_ms();
        let elected = self
            .election
            .other_leader()
            .map(|node| (self.election.known_term(), node));
        let heard = self
            .peer_links
            .all
            .iter()
            .filter(|p| p.leads_ms.is_some_and(|at| now.ms < at + quiet))
            .map(|p| (p.leads_term, p.name.as_str()));
        match elected.into_iter().chain(heard).max() {
            Some((_, node)) => Reply::json(421, &RedirectTo { node: Some(node) }),
            None => Reply::retry_later(503, "no leader known", 1),
        }
    }

    /// Peers send heartbeats several times within this period.
    pub(super) fn quiet_ms(&self) -> u64 {
        self.peer_links.heartbeat_interval_ms * QUIET_HEARTBEATS
    }

    /// Whether workers' leases are to be renewed here in the leader's stead,
    /// so that a cut between zones, or a leader's death in an outage, doesn't
    /// end all their tasks. No commands go out that way, and no lease's end
    /// is ever taken for proof, so nothing can run twice for it.
    pub(super) fn proxies_leases(&mut self, now: Now) -> bool {
        let quiet = self.quiet_ms();
        let recent = |at: Option<u64>| at.is_some_and(|at| now.ms < at + quiet);
        if self.peer_links.all.iter().any(|p| recent(p.leads_ms)) {
            return false;
        }
        let heard = self.peer_links.all.iter().any(|p| recent(p.heard_ms));
        let stands = if self.kv.reachable() {
            // The state service knows a leader whom this node can't hear.
            self.election.follows_recorded_leader(now)
        } else if heard {
            !self.peer_links.all.iter().any(|p| recent(p.state_seen_ms))
        } else {
            // Alone. If it answered its zone's workers before that, the zone
            // is cut off with it and they have nobody else; the watermark bounds how
            // long that may last. If they had reported elsewhere, the fault
            // is here, and it would only keep workers from others.
            recent(self.lease_proxy.last_answer_ms)
        };
        if stands {
            self.lease_proxy.last_answer_ms = Some(now.ms);
        }
        stands
    }

    /// Renews a worker's lease in the leader's stead.
    pub(super) fn renew_by_proxy(
        &mut self,
        now: Now,
        report: &WorkerHeartbeat,
        stops: &[Command],
    ) -> Option<Reply> {
        let term = match self.election.role() {
            Role::Follower(record) if self.kv.reachable() => record.term,
            // In an outage that all share, what the worker knows is enough.
            _ => report.fencing_token.term(),
        };
        let reply = proxy_answer(report, term, stops)?;
        let lease = ProxiedLease {
            renewed_ms: now.ms,
            epoch: report.agent_epoch,
        };
        self.lease_proxy
            .leases
            .insert(report.machine.clone(), lease);
        Some(reply)
    }

    /// Tells the leader, by way of the state service, whose leases are kept.
    pub(super) fn store_proxied(&mut self, now: Now) {
        let quiet = self.quiet_ms();
        self.lease_proxy
            .leases
            .retain(|_, lease| now.ms < lease.renewed_ms + quiet);
        if now.ms < self.lease_proxy.store_due_ms
            || (self.lease_proxy.leases.is_empty() && self.lease_proxy.records_stored == 0)
        {
            return;
        }
        self.lease_proxy.store_due_ms = now.ms + quiet;
        let mut machines: Vec<(String, AgentEpoch)> = self
            .lease_proxy
            .leases
            .iter()
            .map(|(name, lease)| (name.clone(), lease.epoch))
            .collect();
        machines.sort();
        let records = divide(
            machines,
            self.limits_tracker.effective.guaranteed().value_bytes,
        );
        let stored = std::mem::replace(&mut self.lease_proxy.records_stored, records.len());
        let node = self.settings.node_name.clone();
        let key = |n: usize| lease_proxy_key(&node, n);
        let mut txns: Vec<Txn> = Vec::new();
        for (n, machines) in records.into_iter().enumerate() {
            let record = LeaseProxyRecord {
                at: now.wall,
                machines,
            };
            let value = serde_json::to_value(record).unwrap_or_default();
            txns.push(Txn::default().put(key(n), value));
        }
        txns.extend(
            (self.lease_proxy.records_stored..stored).map(|n| Txn::default().delete(key(n))),
        );
        for txn in txns {
            let (call, writes) = kv_client::txn(&txn, 1000);
            self.kv.submit(KvCall {
                priority: CallPriority::Leadership,
                call,
                writes,
                expires_ms: now.ms + quiet,
                tag: KvCallOwner::WriteProxied,
            });
        }
    }
}

/// The answer that a follower gives in its leader's stead: the lease is
/// renewed and the token kept or raised to the term's first, and no commands
/// go out but stops of cancelled jobs' tasks, which can do no harm. `None`:
/// the worker has seen a later term than we have.
pub(super) fn proxy_answer(
    report: &WorkerHeartbeat,
    term: Term,
    stops: &[Command],
) -> Option<Reply> {
    if report.fencing_token.term() > term {
        return None;
    }
    let first = if term > Term(0) {
        FencingToken::new(term, 1)
    } else {
        FencingToken(0)
    };
    let answer = HeartbeatResponse {
        fencing_token: report.fencing_token.max(first),
        commands: stops,
    };
    Some(Reply::json(200, &answer))
}

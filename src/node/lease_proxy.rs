//! Lease proxying: a follower renews workers' leases while the leader isn't heard. It
//! never starts anything.

use super::kv_responses::KvCallOwner;
use super::peers::is_within;
use super::Node;
use crate::election::Role;
use crate::ids::{AgentEpoch, FencingToken, Term};
use crate::kv_client::{CallPriority, KvCall};
use crate::messages::{Now, Reply};
use crate::records::lease_proxies::{lease_proxy_key, split_into_records, LeaseProxyRecord};
use crate::wire::kv::Txn;
use crate::wire::workers::{Command, HeartbeatResponse, WorkerHeartbeat};
use std::collections::HashMap;

/// How long the write of a record is waited for.
const WRITE_TIMEOUT_MS: u64 = 1000;

/// A worker's lease that this controller has renewed.
#[derive(Clone, Copy, Debug)]
struct ProxiedLease {
    renewed_ms: u64,
    epoch: AgentEpoch,
}

/// The workers' leases that this controller renews as the leader's proxy.
#[derive(Debug, Default)]
pub(super) struct LeaseProxy {
    leases: HashMap<String, ProxiedLease>,
    /// When the records of the leases are written next.
    next_write_ms: u64,
    /// How many records are stored.
    records_stored: usize,
    /// When this controller last responded to a worker, forwarding or as a proxy.
    last_response_ms: Option<u64>,
}

impl LeaseProxy {
    /// This controller responds to a worker in place of the leader.
    pub(super) fn record_response(&mut self, now: Now) {
        self.last_response_ms = Some(now.ms);
    }

    fn record_renewal(&mut self, now: Now, heartbeat: &WorkerHeartbeat) {
        let lease = ProxiedLease {
            renewed_ms: now.ms,
            epoch: heartbeat.agent_epoch,
        };
        self.leases.insert(heartbeat.machine.clone(), lease);
    }

    /// The transactions that bring the stored records up to date, once in each period.
    /// Leases that weren't renewed within the period are dropped.
    fn record_writes(
        &mut self,
        now: Now,
        node: &str,
        period_ms: u64,
        max_value_bytes: usize,
    ) -> Vec<Txn> {
        self.leases
            .retain(|_, lease| now.ms < lease.renewed_ms + period_ms);
        let nothing_to_write = self.leases.is_empty() && self.records_stored == 0;
        if now.ms < self.next_write_ms || nothing_to_write {
            return Vec::new();
        }
        self.next_write_ms = now.ms + period_ms;
        let mut machines: Vec<(String, AgentEpoch)> = self
            .leases
            .iter()
            .map(|(machine, lease)| (machine.clone(), lease.epoch))
            .collect();
        machines.sort();
        let records = split_into_records(machines, max_value_bytes);
        let previously_stored = std::mem::replace(&mut self.records_stored, records.len());
        let obsolete = records.len()..previously_stored;
        let puts = records.into_iter().enumerate().map(|(number, machines)| {
            let record = LeaseProxyRecord {
                at: now.wall_ms,
                machines,
            };
            let value = serde_json::to_value(record).unwrap_or_default();
            Txn::default().put(lease_proxy_key(node, number), value)
        });
        let deletes = obsolete.map(|number| Txn::default().delete(lease_proxy_key(node, number)));
        puts.chain(deletes).collect()
    }
}

impl Node {
    /// Whether this follower renews workers' leases as the leader's proxy, so that a
    /// partition between zones, or a leader's failure during an outage of the
    /// key-value store, doesn't end all their tasks. No start goes out that way, and
    /// no lease is ever taken to have expired, so nothing can run twice because of it.
    pub(super) fn proxies_leases(&mut self, now: Now) -> bool {
        if self.peers.reporting_leaders(now).next().is_some() {
            return false;
        }
        let silence_ms = self.peers.silence_ms();
        let hears_peer = self
            .peers
            .iter()
            .any(|peer| peer.heard_within(now, silence_ms));
        let proxies = if self.kv.reachable() {
            // The store has a leader's record, but this node can't hear the leader.
            self.election.follows_recorded_leader(now)
        } else if hears_peer {
            !self
                .peers
                .iter()
                .any(|peer| peer.reached_store_within(now, silence_ms))
        } else {
            // This node is isolated. If it responded to its zone's workers before, the
            // zone is partitioned off with it and they have no other node; the
            // watermark bounds how long that may last. If they reported elsewhere,
            // the fault is here, and a response would only keep them from others.
            is_within(self.lease_proxy.last_response_ms, now, silence_ms)
        };
        if proxies {
            self.lease_proxy.record_response(now);
        }
        proxies
    }

    /// Renews a worker's lease as the leader's proxy.
    pub(super) fn renew_by_proxy(
        &mut self,
        now: Now,
        heartbeat: &WorkerHeartbeat,
        stops: &[Command],
    ) -> Option<Reply> {
        let term = match self.election.role() {
            Role::Follower(record) if self.kv.reachable() => record.term,
            // In an outage that all controllers share, the worker's term is enough.
            _ => heartbeat.fencing_token.term(),
        };
        let reply = proxy_response(heartbeat, term, stops)?;
        self.lease_proxy.record_renewal(now, heartbeat);
        Some(reply)
    }

    /// Stores which workers' leases this controller renews, for the leader to read.
    pub(super) fn store_proxied_leases(&mut self, now: Now) {
        let period_ms = self.peers.silence_ms();
        let txns = self.lease_proxy.record_writes(
            now,
            &self.settings.node_name,
            period_ms,
            self.limits.guaranteed_value_bytes(),
        );
        for txn in txns {
            let call = KvCall::transaction(
                now,
                CallPriority::Leadership,
                &txn,
                WRITE_TIMEOUT_MS,
                KvCallOwner::WriteLeaseProxies,
            );
            self.kv.submit(call.expiring_at(now.ms + period_ms));
        }
    }
}

/// A follower's response to a worker in place of the leader: the lease is renewed, the
/// fencing token kept or raised to the term's first, and no commands are given but
/// stops of cancelled jobs' tasks, which can do no harm. `None`: the worker has seen a
/// later term than this controller.
pub(super) fn proxy_response(
    heartbeat: &WorkerHeartbeat,
    term: Term,
    stops: &[Command],
) -> Option<Reply> {
    if heartbeat.fencing_token.term() > term {
        return None;
    }
    let first_of_term = if term > Term(0) {
        FencingToken::new(term, 1)
    } else {
        FencingToken(0)
    };
    let response = HeartbeatResponse {
        fencing_token: heartbeat.fencing_token.max(first_of_term),
        commands: stops,
    };
    Some(Reply::json(200, &response))
}

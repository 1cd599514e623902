//! Lease proxying: a follower renews workers' leases while it receives no heartbeats
//! from the leader. A lease proxy never starts tasks.

use super::kv_responses::KvCallOwner;
use super::peer::is_within;
use super::Node;
use crate::election::Role;
use crate::ids::{AgentEpoch, FencingToken, Term};
use crate::kv_client::{CallPriority, KvCall};
use crate::messages::{Now, Reply};
use crate::records::lease_proxies::{lease_proxy_key, split_into_records, LeaseProxyRecord};
use crate::wire::kv::Txn;
use crate::wire::workers::{Command, HeartbeatResponse, WorkerHeartbeat};
use std::collections::HashMap;

/// Timeout of the write of one lease proxy record.
const WRITE_TIMEOUT_MS: u64 = 1000;

/// A worker's lease that this controller has renewed as the leader's proxy.
#[derive(Clone, Copy, Debug)]
struct ProxiedLease {
    renewed_ms: u64,
    agent_epoch: AgentEpoch,
}

/// The workers' leases that this controller renews as the leader's proxy.
#[derive(Debug, Default)]
pub(super) struct LeaseProxy {
    leases: HashMap<String, ProxiedLease>,
    /// When the lease proxy records are next written.
    next_write_ms: u64,
    /// Number of lease proxy records in the key-value store, including writes in flight.
    stored_record_count: usize,
    /// When this controller last responded to a worker in place of the leader, either as
    /// a forwarder of heartbeats or as a lease proxy.
    last_response_ms: Option<u64>,
}

impl LeaseProxy {
    /// Records that this controller responds to a worker in place of the leader.
    pub(super) fn record_response(&mut self, now: Now) {
        self.last_response_ms = Some(now.ms);
    }

    fn record_renewal(&mut self, now: Now, heartbeat: &WorkerHeartbeat) {
        let lease = ProxiedLease {
            renewed_ms: now.ms,
            agent_epoch: heartbeat.agent_epoch,
        };
        self.leases.insert(heartbeat.machine.clone(), lease);
    }

    /// Returns the transactions that update the stored records, at most once per period.
    /// Removes leases that weren't renewed within the period.
    fn take_due_writes(
        &mut self,
        now: Now,
        node: &str,
        period_ms: u64,
        max_value_bytes: usize,
    ) -> Vec<Txn> {
        self.leases
            .retain(|_, lease| now.ms < lease.renewed_ms + period_ms);
        let nothing_to_write = self.leases.is_empty() && self.stored_record_count == 0;
        if now.ms < self.next_write_ms || nothing_to_write {
            return Vec::new();
        }
        self.next_write_ms = now.ms + period_ms;
        let mut machines: Vec<(String, AgentEpoch)> = self
            .leases
            .iter()
            .map(|(machine, lease)| (machine.clone(), lease.agent_epoch))
            .collect();
        machines.sort();
        let records = split_into_records(machines, max_value_bytes);
        let previously_stored = std::mem::replace(&mut self.stored_record_count, records.len());
        let obsolete = records.len()..previously_stored;
        let puts = records.into_iter().enumerate().map(|(number, machines)| {
            let record = LeaseProxyRecord {
                written_wall_ms: now.wall_ms,
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
    /// Decides whether this follower renews workers' leases as the leader's proxy. Lease
    /// proxying keeps tasks running during a network partition between zones, and when
    /// the leader fails during an outage of the key-value store. A lease proxy sends no
    /// start commands and never treats a lease as expired, so lease proxying can't cause
    /// a task to run twice.
    pub(super) fn should_proxy_leases(&mut self, now: Now) -> bool {
        if self.peers.reporting_leaders(now).next().is_some() {
            return false;
        }
        let unresponsive_after_ms = self.peers.unresponsive_after_ms();
        let receives_from_peer = self
            .peers
            .iter()
            .any(|peer| peer.sent_message_within(now, unresponsive_after_ms));
        let proxies = if self.kv.reachable() {
            // The key-value store holds a leader's record, but no heartbeats arrive from
            // that leader.
            self.election.follows_recorded_leader(now)
        } else if receives_from_peer {
            !self
                .peers
                .iter()
                .any(|peer| peer.reached_store_within(now, unresponsive_after_ms))
        } else {
            // This controller is isolated. If it recently responded to its zone's
            // workers, the network partition separates the whole zone, and the workers
            // reach no other controller; the cancellation watermark bounds how long
            // this controller may renew their leases. If the workers reported to
            // another controller, only this controller is isolated, and its response
            // would keep the workers from reaching the others.
            is_within(
                self.lease_proxy.last_response_ms,
                now,
                unresponsive_after_ms,
            )
        };
        if proxies {
            self.lease_proxy.record_response(now);
        }
        proxies
    }

    /// Renews a worker's lease as the leader's proxy. Returns `None` if the worker has
    /// seen a later term than this controller.
    pub(super) fn renew_lease_as_proxy(
        &mut self,
        now: Now,
        heartbeat: &WorkerHeartbeat,
        stops: &[Command],
    ) -> Option<Reply> {
        let term = match self.election.role() {
            Role::Follower(record) if self.kv.reachable() => record.term,
            // In an outage of the key-value store that affects all controllers, the
            // worker's own term is sufficient.
            _ => heartbeat.fencing_token.term(),
        };
        let reply = proxy_response(heartbeat, term, stops)?;
        self.lease_proxy.record_renewal(now, heartbeat);
        Some(reply)
    }

    /// Stores which workers' leases this controller renews. The leader reads these
    /// records.
    pub(super) fn store_proxied_leases(&mut self, now: Now) {
        let period_ms = self.peers.unresponsive_after_ms();
        let txns = self.lease_proxy.take_due_writes(
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

/// Builds a follower's response to a worker in place of the leader. The response renews
/// the lease and keeps the fencing token, or raises it to the first token of the term.
/// It contains no commands except stops of cancelled jobs' tasks, which are safe from
/// any controller. Returns `None` if the worker has seen a later term than this
/// controller.
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

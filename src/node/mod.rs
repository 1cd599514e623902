//! One controller: it joins the actors, carrying out what each of them wants done.
//! Messages and time in, messages out; the reactor does the I/O.

mod catalog;
mod effects;
mod event_handler;
mod handover;
mod heartbeat_forwarding;
mod heartbeat_routes;
mod job_progress;
mod kv_responses;
mod lease_proxy;
mod limits;
mod outgoing_calls;
mod peer_heartbeats;
mod peers;
mod rate_shares;
mod requests;
mod turn;
mod worker_heartbeats;

use crate::cancellations::{CancellationBounds, Cancellations};
use crate::cloud::CloudClient;
use crate::election::Election;
use crate::gateway::{Gateway, RequestNumber};
use crate::kv_client::KvClient;
use crate::messages::Now;
use crate::scheduler::{InvariantViolation, Scheduler};
use crate::settings::Settings;
use crate::tuning::Tuning;
use crate::usage::Purpose;
use catalog::CatalogCache;
use handover::Handover;
use heartbeat_forwarding::HeartbeatForwarder;
use heartbeat_routes::HeartbeatRoutes;
use kv_responses::KvCallOwner;
use lease_proxy::LeaseProxy;
use limits::LimitsTracker;
use outgoing_calls::OutgoingCalls;
use peers::Peers;
use std::rc::Rc;

/// This program's version, as peers and operators see it.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Bounds of the TTL of the leader key's lease.
const MIN_LEADER_LEASE_MS: u64 = 200;
const MAX_LEADER_LEASE_MS: u64 = 600_000;
/// Heartbeats to the peers within the TTL of the leader key's lease.
const HEARTBEATS_PER_LEASE: u64 = 4;
/// Delays between the claims of successive candidates within that TTL.
const STAGGERS_PER_LEASE: u64 = 30;

/// One controller.
pub struct Node {
    settings: Rc<Settings>,
    /// The leader's share of the key-value store's rates.
    leader_rate_share: f64,
    election: Election,
    handover: Handover,
    cancellations: Cancellations,
    /// The last request of a user that had come when the poll of the job records in
    /// flight was sent.
    last_polled_request: RequestNumber,
    kv: KvClient<KvCallOwner>,
    limits: LimitsTracker,
    gateway: Gateway,
    scheduler: Scheduler,
    cloud: CloudClient,
    catalog: CatalogCache,
    peers: Peers,
    outgoing_calls: OutgoingCalls,
    lease_proxy: LeaseProxy,
    /// Worker heartbeats that this follower forwards.
    heartbeat_forwarder: HeartbeatForwarder,
    /// As leader, the routes of the workers' heartbeats.
    heartbeat_routes: HeartbeatRoutes,
    /// When this process last handled an event, to detect that it was paused.
    last_event_ms: u64,
    /// What the last event was processed for.
    purpose: Purpose,
}

/// The TTL of the leader key's lease.
fn leader_lease_ms(settings: &Settings, tuning: &Tuning) -> u64 {
    let lease_ms = settings.site.workers.lease_s * 1000.0 * tuning.lease_share;
    (lease_ms as u64).clamp(MIN_LEADER_LEASE_MS, MAX_LEADER_LEASE_MS)
}

/// Delays each candidate by its rank, so that not all claim at the same moment.
fn election_stagger_ms(settings: &Settings, lease_ms: u64) -> u64 {
    let mut names: Vec<&str> = settings
        .peers
        .iter()
        .map(|peer| peer.name.as_str())
        .collect();
    names.push(&settings.node_name);
    names.sort_unstable();
    let rank = names.iter().position(|name| *name == settings.node_name);
    rank.unwrap_or(0) as u64 * lease_ms / STAGGERS_PER_LEASE
}

/// The lease of workers at their controller.
fn worker_lease_ms(settings: &Settings) -> u64 {
    (settings.site.workers.lease_s * 1000.0) as u64
}

impl Node {
    /// A controller that knows nothing yet. `incarnation` tells this process from
    /// earlier ones of the same name.
    pub fn new(settings: Settings, tuning: Tuning, incarnation: u64) -> Node {
        let settings = Rc::new(settings);
        let site = &settings.site;
        let lease_ms = leader_lease_ms(&settings, &tuning);
        let peers = Peers::new(&settings, lease_ms / HEARTBEATS_PER_LEASE);
        let mut node = Node {
            leader_rate_share: tuning.leader_share,
            election: Election::new(
                &settings.node_name,
                incarnation,
                lease_ms,
                election_stagger_ms(&settings, lease_ms),
            ),
            handover: Handover::default(),
            cancellations: Cancellations::new(
                &settings.node_name,
                incarnation,
                CancellationBounds::new(&settings),
                peers.iter().map(|peer| peer.name.as_str()),
            ),
            last_polled_request: 0,
            kv: KvClient::new(site.kv_store.rps, site.kv_store.write_rps),
            limits: LimitsTracker::new(&site.kv_store),
            gateway: Gateway::new(
                settings.clone(),
                tuning.replica_classes.clone(),
                peers.silence_ms(),
            ),
            cloud: CloudClient::new(site.cloud.rps, site.cloud.list_lag_s),
            catalog: CatalogCache::default(),
            peers,
            outgoing_calls: OutgoingCalls::default(),
            lease_proxy: LeaseProxy::default(),
            heartbeat_forwarder: HeartbeatForwarder::new(site.workers.heartbeat_s),
            heartbeat_routes: HeartbeatRoutes::new(worker_lease_ms(&settings)),
            last_event_ms: 0,
            purpose: Purpose::Other,
            scheduler: Scheduler::new(settings.clone(), tuning),
            settings,
        };
        node.set_rate_share(Now::default());
        node
    }

    /// Whether it leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.election.is_leader()
    }

    /// The cost of its rounds so far, in entries examined.
    pub fn examined(&self) -> u64 {
        self.scheduler.examined_entries()
    }

    /// The most entries that one slice of a round has examined.
    pub fn longest_slice(&self) -> u64 {
        self.scheduler.longest_slice()
    }

    /// How many machines it knows as leader.
    pub fn machines(&self) -> usize {
        self.scheduler.machine_count()
    }

    /// How many tasks are queued in the round under way.
    pub fn queued_in_round(&self) -> usize {
        self.scheduler.queued_in_round()
    }

    /// Recomputes what the leader maintains incrementally and compares; the error
    /// names the difference. For tests.
    pub fn check_invariants(&mut self) -> Result<(), InvariantViolation> {
        self.scheduler.check_invariants()
    }

    fn worker_lease_ms(&self) -> u64 {
        worker_lease_ms(&self.settings)
    }
}

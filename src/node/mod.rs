//! One controller. The node connects the actors and executes the effects that they
//! return. It receives messages with the time and returns messages; the reactor performs
//! the I/O.

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
mod peer;
mod peer_heartbeats;
mod peers;
mod rate_shares;
mod readiness;
mod requests;
mod store_report;
mod turn;
mod worker_heartbeats;

use crate::cancellations::{CancellationBounds, Cancellations};
use crate::cloud::CloudClient;
use crate::election::Election;
use crate::gateway::{Gateway, RequestNumber};
use crate::kv_client::KvClient;
use crate::messages::Now;
use crate::scheduler::{DependencyStats, InvariantViolation, Scheduler};
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
use readiness::Readiness;
use std::rc::Rc;

/// Version of this program, reported to peers in heartbeats and to operators in the
/// readiness response.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Lower bound of the TTL of the leader key's lease.
const MIN_LEADER_LEASE_MS: u64 = 200;
/// Upper bound of the TTL of the leader key's lease.
const MAX_LEADER_LEASE_MS: u64 = 600_000;
/// Number of heartbeats to the peers within the TTL of the leader key's lease.
const HEARTBEATS_PER_LEASE: u64 = 4;
/// Number of staggered claims within the TTL of the leader key's lease. Candidates of
/// adjacent ranks claim leadership one such fraction of the TTL apart.
const STAGGERS_PER_LEASE: u64 = 30;

/// One controller: its actors and the state that they share.
pub struct Node {
    settings: Rc<Settings>,
    /// The leader's share of the key-value store's request rates, from 0 to 1.
    leader_rate_share: f64,
    election: Election,
    handover: Handover,
    cancellations: Cancellations,
    /// Number of the last user request that was received before the poll of the job
    /// records in flight was sent.
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
    /// Worker heartbeats that this controller, as follower, forwards to the leader.
    heartbeat_forwarder: HeartbeatForwarder,
    /// Routes of the workers' heartbeats, used while this controller leads.
    heartbeat_routes: HeartbeatRoutes,
    /// When this process handled its first event; `None` before that.
    started_ms: Option<u64>,
    /// When this process last handled an event; used to detect that it was paused.
    last_event_ms: u64,
    readiness: Readiness,
    /// Purpose of the last event, for usage accounting.
    purpose: Purpose,
}

/// Returns the TTL of the leader key's lease.
fn leader_lease_ms(settings: &Settings, tuning: &Tuning) -> u64 {
    let lease_ms = settings.site.workers.lease_s * 1000.0 * tuning.lease_share;
    (lease_ms as u64).clamp(MIN_LEADER_LEASE_MS, MAX_LEADER_LEASE_MS)
}

/// Returns the delay of this candidate's claim of leadership. The delay grows with the
/// rank of the controller's name, so that candidates don't claim at the same time.
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

/// Returns the duration of a worker's lease.
fn worker_lease_ms(settings: &Settings) -> u64 {
    (settings.site.workers.lease_s * 1000.0) as u64
}

impl Node {
    /// Creates a controller without any known state. `incarnation` distinguishes this
    /// process from earlier ones of the same name.
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
                peers.unresponsive_after_ms(),
            ),
            cloud: CloudClient::new(site.cloud.rps, site.cloud.list_lag_s),
            catalog: CatalogCache::default(),
            peers,
            outgoing_calls: OutgoingCalls::default(),
            lease_proxy: LeaseProxy::default(),
            heartbeat_forwarder: HeartbeatForwarder::new(site.workers.heartbeat_s),
            heartbeat_routes: HeartbeatRoutes::new(worker_lease_ms(&settings)),
            started_ms: None,
            last_event_ms: 0,
            readiness: Readiness::default(),
            purpose: Purpose::Other,
            scheduler: Scheduler::new(settings.clone(), tuning),
            settings,
        };
        node.set_rate_share(Now::default());
        node
    }

    /// Returns whether this controller considers itself the leader.
    pub fn is_leader(&self) -> bool {
        self.election.is_leader()
    }

    /// Returns the number of entries that scheduling rounds have examined so far, a
    /// measure of their cost.
    pub fn examined(&self) -> u64 {
        self.scheduler.examined_entries()
    }

    /// Returns the largest number of entries that one slice of a round has examined.
    pub fn longest_slice(&self) -> u64 {
        self.scheduler.longest_slice()
    }

    /// Returns the cost of dependencies between jobs to this controller as leader.
    pub fn dependency_stats(&self) -> DependencyStats {
        self.scheduler.dependency_stats()
    }

    /// Returns the number of edges between jobs that this controller has examined since it
    /// last listed the job records, to answer users about jobs with dependencies.
    pub fn examined_for_answers(&self) -> u64 {
        self.cancellations.jobs().examined()
    }

    /// Returns the number of machines that this controller, as leader, knows.
    pub fn machines(&self) -> usize {
        self.scheduler.machine_count()
    }

    /// Returns the number of items queued in the current round.
    pub fn queued_in_round(&self) -> usize {
        self.scheduler.queued_in_round()
    }

    /// Recomputes the state that the leader maintains incrementally and compares the two.
    /// The error describes the difference. Used by tests.
    pub fn check_invariants(&mut self) -> Result<(), InvariantViolation> {
        self.scheduler.check_invariants()
    }

    fn worker_lease_ms(&self) -> u64 {
        worker_lease_ms(&self.settings)
    }
}

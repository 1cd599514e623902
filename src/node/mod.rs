//! One controller: the actors, and who hears what from whom. Messages and
//! time in, messages out; the reactor does the rest.

mod catalog;
mod handover;
mod heartbeat_forwarding;
mod heartbeat_routes;
mod lease_proxy;
mod limits;
mod outgoing_calls;
mod peer_heartbeats;
mod peers;
mod requests;

use crate::cancellations::{CancellationBounds, Cancellations, CancellationsKvCall};
use crate::cloud::{CloudClient, CloudEvent};
use crate::election::{Election, ElectionKvCall, LeadershipChange};
use crate::gateway::{Gateway, GatewayEffects, RequestNumber};
use crate::ids::{JobId, Term};
use crate::kv_client::{KvCall, KvClient, KvResponse};
use crate::limits::EffectiveLimits;
use crate::messages::{Call, CallId, CallResult, ConnectionId, Effect, Listener, Now, Request};
use crate::reactor::Handler;
use crate::scheduler::{Scheduler, SchedulerEffects, SchedulerKvCall};
use crate::settings::Settings;
use crate::tuning::Tuning;
use crate::usage::Purpose;
use crate::wire::cloud::Catalog;
use crate::wire::kv::KeyValue;
use crate::wire::peers::decode_response;
use catalog::CatalogCache;
use handover::Handover;
use heartbeat_forwarding::HeartbeatForwarder;
use heartbeat_routes::HeartbeatRoutes;
use lease_proxy::{LeaseProxy, QUIET_HEARTBEATS};
use limits::LimitsTracker;
use outgoing_calls::{OutgoingCall, OutgoingCalls};
use peers::Peers;
use std::rc::Rc;

#[derive(Clone, Debug, PartialEq)]
enum KvCallOwner {
    Election(ElectionKvCall),
    Gateway(RequestNumber),
    /// With the term that asked: an earlier one's answers mean nothing now.
    Scheduler(Term, SchedulerKvCall),
    ReadCatalog,
    WriteCatalog,
    WriteProxied,
    /// That the announced limits are in force.
    WriteLimits,
    Cancellations(CancellationsKvCall),
}

impl KvCallOwner {
    fn purpose(&self) -> Purpose {
        match self {
            KvCallOwner::Election(_) => Purpose::Election,
            KvCallOwner::Gateway(_) => Purpose::UserKvCall,
            KvCallOwner::Scheduler(_, call) => call.purpose(),
            KvCallOwner::Cancellations(_) => Purpose::Watch,
            KvCallOwner::ReadCatalog
            | KvCallOwner::WriteCatalog
            | KvCallOwner::WriteProxied
            | KvCallOwner::WriteLimits => Purpose::Other,
        }
    }
}

/// This program's version, as it is told to peers and operators.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");

/// Bounds of the lease of the leader's key.
const MIN_LEADER_LEASE_MS: u64 = 200;
const MAX_LEADER_LEASE_MS: u64 = 600_000;
/// Heartbeats within the lease of the leader's key.
const HEARTBEATS: u64 = 4;
/// For so many seconds a follower saves up the changes that it doesn't use.
const SAVED_S: f64 = 2.5;

/// What the others wrote of late may grow so much before the leader knows.
const OTHERS_GROWTH: f64 = 1.5;

/// One controller.
pub struct Node {
    settings: Rc<Settings>,
    /// The leader's share of the key-value store's rates.
    leader_share: f64,
    election: Election,
    handover: Handover,
    cancellations: Cancellations,
    /// Who had asked when the poll under way was sent.
    polled_for: RequestNumber,
    kv: KvClient<KvCallOwner>,
    limits_tracker: LimitsTracker,
    gateway: Gateway,
    scheduler: Scheduler,
    cloud: CloudClient,
    catalog_cache: CatalogCache,
    peer_links: Peers,
    calls: OutgoingCalls,
    lease_proxy: LeaseProxy,
    /// Heartbeats answered here and not yet forwarded to the leader.
    forwarding: HeartbeatForwarder,
    routes: HeartbeatRoutes,
    /// When it last did anything.
    last_turn_ms: u64,
    /// What it last worked on.
    purpose: Purpose,
}

/// How long a leader's lease of its key lasts.
fn leader_lease_ms(settings: &Settings, tuning: &Tuning) -> u64 {
    let lease_ms = settings.site.workers.lease_s * 1000.0 * tuning.lease_share;
    (lease_ms as u64).clamp(MIN_LEADER_LEASE_MS, MAX_LEADER_LEASE_MS)
}

/// Spreads candidates, so that they don't all claim in one moment.
fn election_stagger_ms(settings: &Settings, lease_ms: u64) -> u64 {
    let mut names: Vec<&str> = settings.peers.iter().map(|p| p.name.as_str()).collect();
    names.push(&settings.node_name);
    names.sort_unstable();
    let rank = names.iter().position(|name| *name == settings.node_name);
    rank.unwrap_or(0) as u64 * lease_ms / 30
}

impl Node {
    /// `incarnation` tells this process from earlier ones of the same name.
    pub fn new(settings: Settings, tuning: Tuning, incarnation: u64) -> Node {
        let settings = Rc::new(settings);
        let site = &settings.site;
        let lease_ms = leader_lease_ms(&settings, &tuning);
        let heartbeat_interval_ms = lease_ms / HEARTBEATS;
        let peers = Peers::new(&settings, heartbeat_interval_ms);
        let mut node = Node {
            leader_share: tuning.leader_share,
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
                peers.all.iter().map(|p| p.name.as_str()),
            ),
            polled_for: 0,
            kv: KvClient::new(site.state.rps, site.state.write_rps),
            limits_tracker: LimitsTracker::new(EffectiveLimits::new(&site.state)),
            gateway: Gateway::new(
                settings.clone(),
                tuning.replica_classes.clone(),
                heartbeat_interval_ms * QUIET_HEARTBEATS,
            ),
            cloud: CloudClient::new(site.cloud.rps, site.cloud.list_lag_s),
            catalog_cache: CatalogCache::default(),
            peer_links: peers,
            calls: OutgoingCalls::default(),
            lease_proxy: LeaseProxy::default(),
            forwarding: HeartbeatForwarder::new(site.workers.heartbeat_s),
            routes: HeartbeatRoutes::new((site.workers.lease_s * 1000.0) as u64),
            last_turn_ms: 0,
            purpose: Purpose::Other,
            scheduler: Scheduler::new(settings.clone(), tuning),
            settings,
        };
        node.set_share(Now::default(), false);
        node
    }

    /// Whether it leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        self.election.is_leader()
    }

    /// What its rounds have cost so far, in entries examined.
    pub fn examined(&self) -> u64 {
        self.scheduler.examined()
    }

    /// The most entries that one slice of a round has examined.
    pub fn longest_slice(&self) -> u64 {
        self.scheduler.longest_slice()
    }

    /// How many machines it knows as leader.
    pub fn machines(&self) -> usize {
        self.scheduler.machines()
    }

    /// How much waits for its turn in the round under way.
    pub fn queued_in_round(&self) -> usize {
        self.scheduler.queued_in_round()
    }

    /// Counts what the leader keeps up from scratch and compares; the error names
    /// what is wrong. For tests.
    pub fn check_invariants(&mut self) -> Result<(), crate::scheduler::InvariantViolation> {
        self.scheduler.check_invariants()
    }

    /// Everybody's rates together stay near what the services take; a 429
    /// mends what is over.
    fn set_share(&mut self, now: Now, leading: bool) {
        let others = self.peer_links.all.len().max(1) as f64;
        let share = if self.peer_links.all.is_empty() {
            1.0
        } else if leading {
            self.leader_share
        } else {
            // A little more than an even part: not all are busy at once.
            ((1.0 - self.leader_share) / others * 1.5).min(1.0)
        };
        // Submissions come in bursts, which a small share would stretch.
        let saved_s = if leading { 1.0 } else { SAVED_S };
        self.kv.set_share(now, share, saved_s);
    }

    /// As leader, takes what the others leave of the state service's changes.
    fn share_writes(&mut self, now: Now) {
        if !self.election.is_leader() || self.peer_links.all.is_empty() {
            return;
        }
        let quiet = self.quiet_ms();
        let others: f64 = self
            .peer_links
            .all
            .iter()
            .filter(|p| p.heard_ms.is_some_and(|at| now.ms < at + quiet))
            .map(|p| p.writes_per_s)
            .sum();
        self.kv
            .set_write_share_beside(now, self.leader_share, others * OTHERS_GROWTH);
    }

    // ---- between the actors ----

    fn send(&mut self, tag: OutgoingCall, call: Call, out: &mut Vec<Effect>) {
        let id = self.calls.register(tag);
        out.push(Effect::Call(id, call));
    }

    fn apply_gateway_effects(&mut self, now: Now, gateway: GatewayEffects, out: &mut Vec<Effect>) {
        out.extend(
            gateway
                .replies
                .into_iter()
                .map(|(c, r)| Effect::Reply(c, r)),
        );
        for call in gateway.calls {
            self.kv.submit(retag(call, KvCallOwner::Gateway));
        }
        self.peer_links.announcements.extend(gateway.announced);
        if let Some(size) = gateway.refused {
            self.submission_refused(now, size);
        }
        if gateway.poll {
            self.cancellations.request_poll();
        }
        // In the turn that answers the user, so before anybody can ask.
        for id in &gateway.cancelled {
            self.cancellations.confirm(now, id);
        }
        self.peer_links.cancellations_pending |= !gateway.cancelled.is_empty();
        let mut scheduler = SchedulerEffects::default();
        self.learned_cancelled(now, &gateway.cancelled, &mut scheduler);
        self.apply_scheduler_effects(now, scheduler, out);
    }

    /// After anything was learned: these jobs are cancelled, and as leader their
    /// tasks are stopped at once.
    fn learned_cancelled(&mut self, now: Now, jobs: &[JobId], scheduler: &mut SchedulerEffects) {
        self.scheduler.informed(self.cancellations.watermark_ms());
        for id in jobs {
            self.scheduler.cancelled(now, id, scheduler);
        }
    }

    fn apply_scheduler_effects(
        &mut self,
        now: Now,
        scheduler: SchedulerEffects,
        out: &mut Vec<Effect>,
    ) {
        out.extend(
            scheduler
                .replies
                .into_iter()
                .map(|(c, r)| Effect::Reply(c, r)),
        );
        let term = self.scheduler.term();
        for call in scheduler.state {
            self.kv
                .submit(retag(call, |tag| KvCallOwner::Scheduler(term, tag)));
        }
        for (tag, call) in scheduler.workers {
            self.send(OutgoingCall::Worker(term, tag), call, out);
        }
        if let Some(size) = scheduler.refused {
            self.transaction_refused(now, size);
        }
        let change = if let Some(why) = scheduler.resign {
            log::error!("leader gives up its term: {why}");
            let mut calls = Vec::new();
            let change = self.election.step_down(now, &mut calls);
            self.submit_election_calls(calls);
            change
        } else if scheduler.superseded {
            // The state service decides; one worker's word is a hint.
            log::info!("a worker shows a later term, asking who leads");
            self.election.require_renewal(now);
            None
        } else {
            None
        };
        if let Some(change) = change {
            self.on_leadership_change(now, change, out);
        }
    }

    fn submit_election_calls(&mut self, calls: Vec<KvCall<ElectionKvCall>>) {
        for call in calls {
            self.kv.submit(retag(call, KvCallOwner::Election));
        }
    }

    /// Answers who had asked about jobs when the poll was sent.
    fn answer_polled(&mut self, now: Now, told: bool, out: &mut Vec<Effect>) {
        let mut gateway = GatewayEffects::default();
        let records = told.then_some(&self.cancellations);
        self.gateway
            .polled(now, self.polled_for, records, &mut gateway);
        self.apply_gateway_effects(now, gateway, out);
    }

    fn submit_cancellation_calls(&mut self, calls: Vec<KvCall<CancellationsKvCall>>) {
        let tell_all = self.cancellations.is_caught_up();
        self.gateway.set_polls_tell_all(tell_all);
        for call in calls {
            if call.tag == CancellationsKvCall::Poll {
                self.polled_for = self.gateway.asked_up_to();
            }
            self.kv.submit(retag(call, KvCallOwner::Cancellations));
        }
    }

    fn on_leadership_change(&mut self, now: Now, change: LeadershipChange, out: &mut Vec<Effect>) {
        match change {
            LeadershipChange::Elected { term, key_version } => {
                self.handover.led_since_ms = Some(now.ms);
                self.routes.clear();
                self.set_share(now, true);
                self.peer_links.sent_progress.clear();
                self.cloud.set_leading(now, true);
                let mut scheduler = SchedulerEffects::default();
                self.scheduler
                    .elected(now, term, key_version, &mut scheduler);
                self.apply_scheduler_effects(now, scheduler, out);
            }
            LeadershipChange::Deposed => {
                self.handover.led_since_ms = None;
                self.set_share(now, false);
                self.cloud.set_leading(now, false);
                self.scheduler.deposed();
            }
        }
        // The others should know where to send workers.
        self.peer_links.heartbeat_due_ms = now.ms;
    }

    fn on_kv_response(
        &mut self,
        now: Now,
        tag: KvCallOwner,
        answer: KvResponse,
        out: &mut Vec<Effect>,
    ) {
        match tag {
            KvCallOwner::Election(call) => {
                let mut calls = Vec::new();
                let change = self.election.answered(now, call, answer, &mut calls);
                self.submit_election_calls(calls);
                if let Some(change) = change {
                    self.on_leadership_change(now, change, out);
                }
            }
            KvCallOwner::Gateway(number) => {
                let mut gateway = GatewayEffects::default();
                self.gateway.answered(now, number, answer, &mut gateway);
                self.gateway
                    .judge_read(now, &self.cancellations, &mut gateway);
                self.apply_gateway_effects(now, gateway, out);
            }
            KvCallOwner::Scheduler(term, call) => {
                if term == self.scheduler.term() && self.scheduler.leading() {
                    let mut scheduler = SchedulerEffects::default();
                    self.scheduler
                        .state_answered(now, call, answer, &mut scheduler);
                    self.apply_scheduler_effects(now, scheduler, out);
                }
            }
            KvCallOwner::ReadCatalog => {
                if let Some(item) = answer.read::<KeyValue>(200) {
                    let catalog = serde_json::from_value::<Catalog>(item.value)
                        .ok()
                        .and_then(Catalog::validated);
                    if let Some(catalog) = catalog.filter(|_| self.catalog_cache.catalog.is_none())
                    {
                        self.set_catalog(catalog);
                    }
                }
            }
            KvCallOwner::WriteProxied => {}
            KvCallOwner::WriteLimits => self.limits_written(&answer),
            KvCallOwner::Cancellations(call) => {
                let mut calls = Vec::new();
                let before = self.cancellations.read_ms();
                let new = self.cancellations.answered(now, call, &answer, &mut calls);
                self.submit_cancellation_calls(calls);
                if call == CancellationsKvCall::Poll {
                    let told = self.cancellations.read_ms() > before;
                    self.answer_polled(now, told, out);
                }
                let mut scheduler = SchedulerEffects::default();
                self.learned_cancelled(now, &new, &mut scheduler);
                self.apply_scheduler_effects(now, scheduler, out);
            }
            KvCallOwner::WriteCatalog => self.catalog_cache.stored = answer.status() == Some(200),
        }
    }

    /// A process that stood still wakes up with its sockets full of what is
    /// long over. What it read for users may be old by now; if it led, others
    /// may lead; and that nobody was heard is no fault of theirs.
    fn detect_process_pause(&mut self, now: Now, out: &mut Vec<Effect>) {
        // Peers send heartbeats, and a leader renews, four times in this period.
        let limit_ms = self.peer_links.heartbeat_interval_ms * 4;
        let still = self.last_turn_ms > 0 && now.ms > self.last_turn_ms + limit_ms;
        self.last_turn_ms = now.ms;
        if !still || self.peer_links.all.is_empty() {
            return;
        }
        let mut gateway = GatewayEffects::default();
        self.gateway.abort_after_pause(&mut gateway);
        self.apply_gateway_effects(now, gateway, out);
        if self.election.is_leader() {
            log::info!("stood still, may have lost the lead");
            self.election.require_renewal(now);
            self.scheduler.excuse_silence(now);
        }
    }

    /// Lets every actor act, and sends what they want sent.
    fn dispatch(&mut self, now: Now, out: &mut Vec<Effect>) -> u64 {
        let mut calls = Vec::new();
        let mut wake = self.election.tick(now, &mut calls);
        self.submit_election_calls(calls);
        if !self.election.leadership_unconfirmed() {
            let mut scheduler = SchedulerEffects::default();
            let budget = self.kv.write_budget(now);
            let next = self
                .scheduler
                .tick(now, &mut self.cloud, budget, &mut scheduler);
            wake = wake.min(next);
            self.apply_scheduler_effects(now, scheduler, out);
        }
        self.maintain_catalog(now);
        self.maintain_limits(now);
        let mut gateway = GatewayEffects::default();
        wake = wake.min(self.gateway.tick(now, &mut gateway));
        self.apply_gateway_effects(now, gateway, out);
        let mut calls = Vec::new();
        wake = wake.min(self.cancellations.tick(now, &mut calls));
        self.submit_cancellation_calls(calls);
        self.store_proxied(now);
        self.forward_reports(now, out);
        wake = wake.min(self.forwarding.due_ms().unwrap_or(u64::MAX));
        let mut cloud_calls = Vec::new();
        self.cloud
            .dispatch(now, |tag, call| cloud_calls.push((tag, call)));
        for (tag, call) in cloud_calls {
            self.send(OutgoingCall::Cloud(tag), call, out);
        }
        wake = wake.min(self.cloud.wake_ms(now));
        self.send_heartbeats(now, out);
        wake = wake.min(self.peer_links.heartbeat_due_ms);
        let mut sent = Vec::new();
        let mut given_up = Vec::new();
        self.kv
            .dispatch(now, |id, call| sent.push((id, call)), &mut given_up);
        for (id, call) in sent {
            self.send(OutgoingCall::KvStore(id), call, out);
        }
        let gave_up = !given_up.is_empty();
        for tag in given_up {
            self.on_kv_response(now, tag, KvResponse::NotExecuted, out);
        }
        if gave_up || self.kv.has_queued() {
            wake = wake.min(now.ms + 10);
        }
        if self.catalog_cache.catalog.is_none() {
            wake = wake.min(self.catalog_cache.read_due_ms);
        }
        wake.max(now.ms + 1)
    }
}

fn retag<A, B>(call: KvCall<A>, f: impl FnOnce(A) -> B) -> KvCall<B> {
    KvCall {
        priority: call.priority,
        call: call.call,
        writes: call.writes,
        expires_ms: call.expires_ms,
        tag: f(call.tag),
    }
}

impl Handler for Node {
    fn request(
        &mut self,
        now: Now,
        conn: ConnectionId,
        port: Listener,
        request: Request,
        out: &mut Vec<Effect>,
    ) {
        self.purpose = Purpose::Other;
        self.detect_process_pause(now, out);
        self.route(now, conn, port, request, out);
    }

    fn outcome(&mut self, now: Now, call: CallId, outcome: CallResult, out: &mut Vec<Effect>) {
        self.purpose = Purpose::Other;
        self.detect_process_pause(now, out);
        match self.calls.finish(call) {
            Some(OutgoingCall::KvStore(id)) => {
                if let Some((tag, answer)) = self.kv.answered(now, id, outcome) {
                    self.purpose = tag.purpose();
                    self.on_kv_response(now, tag, answer, out);
                }
            }
            Some(OutgoingCall::Cloud(tag)) => {
                self.purpose = Purpose::Cloud;
                match self.cloud.answered(now, tag, outcome) {
                    Some(CloudEvent::Catalog(catalog)) => {
                        if self.catalog_cache.catalog.is_none() {
                            self.catalog_cache.stored = false;
                        }
                        self.set_catalog(catalog);
                    }
                    Some(event) => self.scheduler.cloud_event(now, event, &mut self.cloud),
                    None => {}
                }
            }
            Some(OutgoingCall::Worker(term, tag)) if term == self.scheduler.term() => {
                self.purpose = Purpose::Command;
                let mut scheduler = SchedulerEffects::default();
                self.scheduler
                    .worker_answered(now, tag, outcome, &mut scheduler);
                self.apply_scheduler_effects(now, scheduler, out);
            }
            Some(OutgoingCall::Peer { index, sent_ms }) => {
                self.purpose = Purpose::PeerHeartbeat;
                let leads = self
                    .peer_links
                    .all
                    .get(index)
                    .is_some_and(|p| p.leads_ms.is_some());
                if outcome.is_err() && leads {
                    self.forwarding.forget_content();
                }
                if let (Ok((_, body)), Some(peer)) = (outcome, self.peer_links.all.get_mut(index)) {
                    peer.reached_ms = Some(now.ms);
                    let answer = decode_response(&body).unwrap_or_default();
                    if let Some(word) = answer.confirmations {
                        if self.cancellations.cursor(index).map(|c| c.incarnation)
                            != Some(word.incarnation)
                        {
                            // A new process there knows no counts at all.
                            self.peer_links.sent_progress.clear();
                        }
                        let new = self.cancellations.receive_confirmations(
                            now,
                            index,
                            Some(sent_ms),
                            &word,
                        );
                        let mut scheduler = SchedulerEffects::default();
                        self.learned_cancelled(now, &new, &mut scheduler);
                        self.apply_scheduler_effects(now, scheduler, out);
                    }
                }
            }
            Some(OutgoingCall::Worker(..)) | None => {}
        }
    }

    fn tick(&mut self, now: Now, out: &mut Vec<Effect>) -> u64 {
        self.detect_process_pause(now, out);
        let before = self.scheduler.activity();
        let wake_ms = self.dispatch(now, out);
        let after = self.scheduler.activity();
        self.purpose = if after.rounds > before.rounds {
            Purpose::Round
        } else if after.checks > before.checks {
            Purpose::MachineCheck
        } else if after.commits > before.commits {
            Purpose::Commit
        } else {
            Purpose::Other
        };
        wake_ms
    }

    fn purpose(&self) -> Purpose {
        self.purpose
    }

    fn log_usage(&mut self) {
        log::info!("state calls {}", self.kv.take_stats());
        if self.scheduler.active() {
            log::info!("rounds {}", self.scheduler.take_round_figures());
            if let Some(figures) = self.scheduler.replica_figures() {
                log::info!("replicas {figures}");
            }
        }
    }
}

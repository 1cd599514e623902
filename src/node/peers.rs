//! The other controllers: what they last reported, and what they are told next.

use super::job_progress::SentProgress;
use crate::ids::{JobId, Term};
use crate::messages::{Now, TaskProgress};
use crate::settings::{PeerSettings, Settings};
use crate::wire::peers::{JobProgress, PeerHeartbeat};

/// A peer counts as silent after so many heartbeat intervals without a heartbeat.
const SILENCE_HEARTBEATS: u64 = 3;
/// A heartbeat's response is waited for so many heartbeat intervals.
const CALL_TIMEOUT_HEARTBEATS: u64 = 2;

/// Another controller. Its times are those at which something last happened.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) address: String,
    /// It sent a message.
    heard_ms: Option<u64>,
    /// It responded to a heartbeat of this node.
    responded_ms: Option<u64>,
    /// It reported that it reaches the key-value store.
    store_reached_ms: Option<u64>,
    /// It reported that it leads; `None`: its last heartbeat named no or another leader.
    led_ms: Option<u64>,
    /// It named this node as its leader; `None`: its last heartbeat didn't.
    followed_us_ms: Option<u64>,
    reported_term: Term,
    /// It reported that no worker reaches it.
    unreachable_by_workers: bool,
    /// Its rate of writes to the key-value store.
    writes_per_s: f64,
    /// The version that it last reported; empty before 0.2, which reports none.
    version: String,
}

impl Peer {
    fn new(settings: &PeerSettings) -> Peer {
        Peer {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            address: settings.address.to_string(),
            heard_ms: None,
            responded_ms: None,
            store_reached_ms: None,
            led_ms: None,
            followed_us_ms: None,
            reported_term: Term(0),
            unreachable_by_workers: false,
            writes_per_s: 0.0,
            version: String::new(),
        }
    }

    /// Whether a message of this peer came within this period.
    pub(super) fn heard_within(&self, now: Now, period_ms: u64) -> bool {
        is_within(self.heard_ms, now, period_ms)
    }

    /// Whether a message of this peer has come, but none for longer than this period.
    pub(super) fn silent_for(&self, now: Now, period_ms: u64) -> bool {
        self.heard_ms.is_some_and(|at| now.ms > at + period_ms)
    }

    /// Whether it responded to a heartbeat of this node within this period.
    pub(super) fn responded_within(&self, now: Now, period_ms: u64) -> bool {
        is_within(self.responded_ms, now, period_ms)
    }

    /// Whether it reported within this period that it reaches the key-value store.
    pub(super) fn reached_store_within(&self, now: Now, period_ms: u64) -> bool {
        is_within(self.store_reached_ms, now, period_ms)
    }

    /// Whether it reported within this period that it leads.
    pub(super) fn led_within(&self, now: Now, period_ms: u64) -> bool {
        is_within(self.led_ms, now, period_ms)
    }

    /// Whether it named this node as its leader within this period.
    pub(super) fn followed_us_within(&self, now: Now, period_ms: u64) -> bool {
        is_within(self.followed_us_ms, now, period_ms)
    }

    /// Whether it named itself as leader in its last heartbeat, however old.
    pub(super) fn last_reported_leading(&self) -> bool {
        self.led_ms.is_some()
    }

    /// The latest term that it reported.
    pub(super) fn reported_term(&self) -> Term {
        self.reported_term
    }

    /// Whether it reported that no worker reaches it.
    pub(super) fn unreachable_by_workers(&self) -> bool {
        self.unreachable_by_workers
    }

    /// It responded to a heartbeat of this node.
    pub(super) fn record_response(&mut self, now: Now) {
        self.responded_ms = Some(now.ms);
    }

    /// Takes in what a heartbeat reports of its sender.
    pub(super) fn record_heartbeat(
        &mut self,
        now: Now,
        heartbeat: &PeerHeartbeat,
        names_us_leader: bool,
    ) {
        self.heard_ms = Some(now.ms);
        if heartbeat.kv_reachable {
            self.store_reached_ms = Some(now.ms);
        }
        // A message that forwards worker heartbeats reports nothing else.
        if !heartbeat.worker_heartbeats.is_empty() {
            return;
        }
        self.writes_per_s = Some(heartbeat.writes_per_s)
            .filter(|rate| rate.is_finite() && *rate >= 0.0)
            .unwrap_or(0.0);
        self.led_ms = (heartbeat.node == heartbeat.leader).then_some(now.ms);
        self.reported_term = Term(heartbeat.term);
        self.unreachable_by_workers = heartbeat.unreachable;
        self.followed_us_ms = names_us_leader.then_some(now.ms);
        self.record_version(&heartbeat.version);
    }

    /// Logs a change of version, for operators.
    fn record_version(&mut self, version: &str) {
        if self.version != version {
            log::info!("peer version changed node={} version={version}", self.name);
            self.version = version.to_string();
        }
    }
}

/// Whether a time is known and less than `period_ms` ago.
pub(super) fn is_within(at_ms: Option<u64>, now: Now, period_ms: u64) -> bool {
    at_ms.is_some_and(|at| now.ms < at + period_ms)
}

/// The other controllers, and the heartbeats to them.
#[derive(Debug)]
pub(super) struct Peers {
    /// In the order of the settings, by which they are numbered.
    peers: Vec<Peer>,
    heartbeat_interval_ms: u64,
    next_heartbeat_ms: u64,
    /// What they were last told of jobs' progress.
    sent_progress: SentProgress,
    /// Jobs that were written here and are to be announced.
    announcements: Vec<JobId>,
    /// Cancellations were confirmed here, of which the peers should learn before the
    /// next regular heartbeat.
    cancellations_pending: bool,
}

impl Peers {
    pub(super) fn new(settings: &Settings, heartbeat_interval_ms: u64) -> Peers {
        Peers {
            peers: settings
                .peers
                .iter()
                .filter(|peer| peer.name != settings.node_name)
                .map(Peer::new)
                .collect(),
            heartbeat_interval_ms,
            next_heartbeat_ms: 0,
            sent_progress: SentProgress::default(),
            announcements: Vec::new(),
            cancellations_pending: false,
        }
    }

    // ---- the peers ----

    pub(super) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter()
    }

    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    pub(super) fn get(&self, index: usize) -> Option<&Peer> {
        self.peers.get(index)
    }

    pub(super) fn get_mut(&mut self, index: usize) -> Option<&mut Peer> {
        self.peers.get_mut(index)
    }

    pub(super) fn find(&self, name: &str) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.name == name)
    }

    pub(super) fn index_of(&self, name: &str) -> Option<usize> {
        self.peers.iter().position(|peer| peer.name == name)
    }

    pub(super) fn position(&self, condition: impl Fn(&Peer) -> bool) -> Option<usize> {
        self.peers.iter().position(condition)
    }

    /// The peers that reported within the silence period that they lead.
    pub(super) fn reporting_leaders(&self, now: Now) -> impl Iterator<Item = &Peer> {
        let silence_ms = self.silence_ms();
        self.peers
            .iter()
            .filter(move |peer| peer.led_within(now, silence_ms))
    }

    /// The number of the peer that last reported to lead, by the latest term.
    pub(super) fn last_leader_index(&self) -> Option<usize> {
        self.peers
            .iter()
            .enumerate()
            .filter(|(_, peer)| peer.last_reported_leading())
            .max_by_key(|(_, peer)| peer.reported_term)
            .map(|(index, _)| index)
    }

    /// The rate of writes that the peers reported within the silence period.
    pub(super) fn writes_per_s(&self, now: Now) -> f64 {
        let silence_ms = self.silence_ms();
        self.peers
            .iter()
            .filter(|peer| peer.heard_within(now, silence_ms))
            .map(|peer| peer.writes_per_s)
            .sum()
    }

    // ---- periods ----

    pub(super) fn heartbeat_interval_ms(&self) -> u64 {
        self.heartbeat_interval_ms
    }

    /// A peer that wasn't heard for so long counts as silent.
    pub(super) fn silence_ms(&self) -> u64 {
        self.heartbeat_interval_ms * SILENCE_HEARTBEATS
    }

    /// How long the response to a heartbeat is waited for.
    pub(super) fn call_timeout_ms(&self) -> u64 {
        self.heartbeat_interval_ms * CALL_TIMEOUT_HEARTBEATS
    }

    // ---- the next heartbeat ----

    pub(super) fn next_heartbeat_ms(&self) -> u64 {
        self.next_heartbeat_ms
    }

    /// Has the next heartbeat sent at once.
    pub(super) fn expedite_heartbeat(&mut self, now: Now) {
        self.next_heartbeat_ms = now.ms;
    }

    pub(super) fn schedule_heartbeat(&mut self, now: Now) {
        self.next_heartbeat_ms = now.ms + self.heartbeat_interval_ms;
    }

    /// Adds jobs that were written here to the next heartbeat.
    pub(super) fn announce(&mut self, jobs: Vec<JobId>) {
        self.announcements.extend(jobs);
    }

    pub(super) fn has_announcements(&self) -> bool {
        !self.announcements.is_empty()
    }

    pub(super) fn take_announcements(&mut self) -> Vec<String> {
        self.announcements
            .drain(..)
            .map(|id| id.to_string())
            .collect()
    }

    /// Has the peers told of cancellations that were just confirmed.
    pub(super) fn announce_cancellations(&mut self) {
        self.cancellations_pending = true;
    }

    pub(super) fn cancellations_pending(&self) -> bool {
        self.cancellations_pending
    }

    /// The heartbeat that tells of them is being sent.
    pub(super) fn clear_pending_cancellations(&mut self) {
        self.cancellations_pending = false;
    }

    /// The jobs whose progress the peers don't know yet, for the next heartbeat.
    pub(super) fn changed_progress<'a>(
        &mut self,
        progress: impl Iterator<Item = (&'a JobId, TaskProgress)>,
    ) -> Vec<JobProgress> {
        self.sent_progress.changes(progress)
    }

    /// A peer knows no progress: all jobs' is sent again.
    pub(super) fn forget_sent_progress(&mut self) {
        self.sent_progress.clear();
    }
}

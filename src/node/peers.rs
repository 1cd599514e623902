//! The peers: what each peer last reported, and the contents of the next heartbeat to
//! them.

use super::job_progress::SentProgress;
use super::store_report::{ReportBounds, StoreReport};
use crate::ids::{JobId, Term};
use crate::messages::{Now, TaskProgress};
use crate::settings::{PeerSettings, Settings};
use crate::wire::peers::{JobProgress, PeerHeartbeat};

/// Number of heartbeat intervals without a message after which a peer counts as
/// unresponsive.
const UNRESPONSIVE_AFTER_HEARTBEATS: u64 = 3;
/// Timeout for the response to a heartbeat, in heartbeat intervals.
const CALL_TIMEOUT_HEARTBEATS: u64 = 2;

/// A peer and what it last reported. All times are on the monotonic clock.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) address: String,
    /// When the last message of the peer was received.
    last_message_ms: Option<u64>,
    /// When the peer last responded to a heartbeat of this controller.
    last_response_ms: Option<u64>,
    /// When the peer last reported that it reaches the key-value store.
    last_store_access_ms: Option<u64>,
    /// What the peer last reported about its access to the key-value store; `None` before
    /// its first heartbeat.
    store_report: Option<StoreReport>,
    /// When the peer last reported that it leads. `None` if its last heartbeat named
    /// another leader or none.
    reported_leading_ms: Option<u64>,
    /// When the peer last reported that it follows this controller in the current term.
    /// `None` if its last heartbeat named another leader, another term or no leader.
    reported_following_ms: Option<u64>,
    reported_term: Term,
    /// Whether the peer's last heartbeat reported that no worker reaches it.
    unreachable_by_workers: bool,
    /// The peer's rate of writes to the key-value store, as last reported.
    writes_per_s: f64,
    /// The version that the peer last reported. Empty for versions before 0.2, which
    /// report none.
    version: String,
}

impl Peer {
    fn new(settings: &PeerSettings) -> Peer {
        Peer {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            address: settings.address.to_string(),
            last_message_ms: None,
            last_response_ms: None,
            last_store_access_ms: None,
            store_report: None,
            reported_leading_ms: None,
            reported_following_ms: None,
            reported_term: Term(0),
            unreachable_by_workers: false,
            writes_per_s: 0.0,
            version: String::new(),
        }
    }

    /// Returns whether a message of this peer was received within this period.
    pub(super) fn sent_message_within(&self, now: Now, period_ms: u64) -> bool {
        is_within(self.last_message_ms, now, period_ms)
    }

    /// Returns whether messages of this peer have been received, but none for longer than
    /// this period.
    pub(super) fn unresponsive_for(&self, now: Now, period_ms: u64) -> bool {
        self.last_message_ms
            .is_some_and(|message_ms| now.ms > message_ms + period_ms)
    }

    /// Returns whether the peer responded to a heartbeat of this controller within this
    /// period.
    pub(super) fn responded_within(&self, now: Now, period_ms: u64) -> bool {
        is_within(self.last_response_ms, now, period_ms)
    }

    /// Returns whether the peer reported within this period that it reaches the key-value
    /// store.
    pub(super) fn reached_store_within(&self, now: Now, period_ms: u64) -> bool {
        is_within(self.last_store_access_ms, now, period_ms)
    }

    /// Returns whether the peer reported within this period that it leads.
    pub(super) fn reported_leading_within(&self, now: Now, period_ms: u64) -> bool {
        is_within(self.reported_leading_ms, now, period_ms)
    }

    /// Returns whether the peer reported within this period that it follows this
    /// controller.
    pub(super) fn reported_following_within(&self, now: Now, period_ms: u64) -> bool {
        is_within(self.reported_following_ms, now, period_ms)
    }

    /// Returns whether the peer's last heartbeat, however old, reported the peer itself
    /// as leader.
    pub(super) fn last_reported_leading(&self) -> bool {
        self.reported_leading_ms.is_some()
    }

    /// Returns the term that the peer last reported.
    pub(super) fn reported_term(&self) -> Term {
        self.reported_term
    }

    /// Returns whether the peer's last heartbeat reported that no worker reaches it.
    pub(super) fn unreachable_by_workers(&self) -> bool {
        self.unreachable_by_workers
    }

    /// Records that the peer responded to a heartbeat of this controller.
    pub(super) fn record_response(&mut self, now: Now) {
        self.last_response_ms = Some(now.ms);
    }

    /// Records what a heartbeat reports about this peer, its sender.
    pub(super) fn record_heartbeat(
        &mut self,
        now: Now,
        heartbeat: &PeerHeartbeat,
        report_bounds: ReportBounds,
        follows_this_controller: bool,
    ) {
        self.last_message_ms = Some(now.ms);
        let report = StoreReport::read(now, heartbeat, report_bounds, self.store_report);
        let is_latest = self
            .store_report
            .is_none_or(|latest| latest.sent_ms <= report.sent_ms);
        if is_latest {
            self.store_report = Some(report);
        }
        if heartbeat.kv_reachable {
            self.last_store_access_ms = Some(now.ms);
        }
        // A message that forwards worker heartbeats carries no other reports.
        if !heartbeat.worker_heartbeats.is_empty() {
            return;
        }
        self.writes_per_s = Some(heartbeat.writes_per_s)
            .filter(|rate| rate.is_finite() && *rate >= 0.0)
            .unwrap_or(0.0);
        self.reported_leading_ms = (heartbeat.node == heartbeat.leader).then_some(now.ms);
        self.reported_term = Term(heartbeat.term);
        self.unreachable_by_workers = heartbeat.unreachable;
        self.reported_following_ms = follows_this_controller.then_some(now.ms);
        self.record_version(&heartbeat.version);
    }

    /// Records the peer's version and logs a change.
    fn record_version(&mut self, version: &str) {
        if self.version != version {
            log::info!("peer version changed node={} version={version}", self.name);
            self.version = version.to_string();
        }
    }
}

/// Returns whether an event's monotonic time is known and less than `period_ms` ago.
pub(super) fn is_within(event_ms: Option<u64>, now: Now, period_ms: u64) -> bool {
    event_ms.is_some_and(|event_ms| now.ms < event_ms + period_ms)
}

/// All peers, and the state of the heartbeats to them.
#[derive(Debug)]
pub(super) struct Peers {
    /// In the order of the settings. A peer's index is its position here.
    peers: Vec<Peer>,
    heartbeat_interval_ms: u64,
    next_heartbeat_ms: u64,
    /// The progress of jobs that was last sent to the peers.
    sent_progress: SentProgress,
    /// Jobs that this controller has written and not yet announced.
    announcements: Vec<JobId>,
    /// Whether this controller has confirmed cancellations that the peers should receive
    /// before the next regular heartbeat.
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

    /// Returns the latest reports of the peers about their access to the key-value store.
    /// Peers that haven't sent a heartbeat have none.
    pub(super) fn store_reports(&self) -> impl Iterator<Item = &StoreReport> {
        self.peers
            .iter()
            .filter_map(|peer| peer.store_report.as_ref())
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

    /// Returns the peers whose last heartbeat reported that they lead and was received
    /// within [`Peers::unresponsive_after_ms`].
    pub(super) fn reporting_leaders(&self, now: Now) -> impl Iterator<Item = &Peer> {
        let unresponsive_after_ms = self.unresponsive_after_ms();
        self.peers
            .iter()
            .filter(move |peer| peer.reported_leading_within(now, unresponsive_after_ms))
    }

    /// Returns the index of the peer whose last heartbeat, however old, reported that it
    /// leads. If there are several, the one with the latest term is returned.
    pub(super) fn last_leader_index(&self) -> Option<usize> {
        self.peers
            .iter()
            .enumerate()
            .filter(|(_, peer)| peer.last_reported_leading())
            .max_by_key(|(_, peer)| peer.reported_term)
            .map(|(index, _)| index)
    }

    /// Returns the sum of the write rates that the responsive peers last reported.
    pub(super) fn writes_per_s(&self, now: Now) -> f64 {
        let unresponsive_after_ms = self.unresponsive_after_ms();
        self.peers
            .iter()
            .filter(|peer| peer.sent_message_within(now, unresponsive_after_ms))
            .map(|peer| peer.writes_per_s)
            .sum()
    }

    // ---- periods ----

    pub(super) fn heartbeat_interval_ms(&self) -> u64 {
        self.heartbeat_interval_ms
    }

    /// Returns the time without a message after which a peer counts as unresponsive.
    pub(super) fn unresponsive_after_ms(&self) -> u64 {
        self.heartbeat_interval_ms * UNRESPONSIVE_AFTER_HEARTBEATS
    }

    /// Returns the timeout for the response to a heartbeat.
    pub(super) fn call_timeout_ms(&self) -> u64 {
        self.heartbeat_interval_ms * CALL_TIMEOUT_HEARTBEATS
    }

    // ---- the next heartbeat ----

    pub(super) fn next_heartbeat_ms(&self) -> u64 {
        self.next_heartbeat_ms
    }

    /// Makes the next heartbeat due immediately.
    pub(super) fn expedite_heartbeat(&mut self, now: Now) {
        self.next_heartbeat_ms = now.ms;
    }

    pub(super) fn schedule_heartbeat(&mut self, now: Now) {
        self.next_heartbeat_ms = now.ms + self.heartbeat_interval_ms;
    }

    /// Adds jobs that this controller has written to the announcements in the next
    /// heartbeat.
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

    /// Requests an immediate heartbeat because cancellations were just confirmed.
    pub(super) fn announce_cancellations(&mut self) {
        self.cancellations_pending = true;
    }

    pub(super) fn cancellations_pending(&self) -> bool {
        self.cancellations_pending
    }

    /// Clears the request for an immediate heartbeat, which is being sent.
    pub(super) fn clear_pending_cancellations(&mut self) {
        self.cancellations_pending = false;
    }

    /// Returns the changes of jobs' progress to send in the next heartbeat.
    pub(super) fn changed_progress<'a>(
        &mut self,
        progress: impl Iterator<Item = (&'a JobId, TaskProgress)>,
    ) -> Vec<JobProgress> {
        self.sent_progress.changes(progress)
    }

    /// Makes the next heartbeats contain the progress of all jobs, because a peer may have
    /// received none of it.
    pub(super) fn clear_sent_progress(&mut self) {
        self.sent_progress.clear();
    }
}

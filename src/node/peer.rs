//! One peer: its address and what it last reported.

use super::store_report::{ReportBounds, StoreReport};
use crate::ids::Term;
use crate::messages::Now;
use crate::settings::PeerSettings;
use crate::wire::peers::PeerHeartbeat;

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
    /// Creates a peer that hasn't been heard from.
    pub(super) fn new(settings: &PeerSettings) -> Peer {
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

    /// Returns the peer's rate of writes to the key-value store, as last reported.
    pub(super) fn writes_per_s(&self) -> f64 {
        self.writes_per_s
    }

    /// Returns what the peer last reported about its access to the key-value store.
    pub(super) fn store_report(&self) -> Option<&StoreReport> {
        self.store_report.as_ref()
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

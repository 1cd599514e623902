//! All peers, and the contents of the next heartbeat to them.

use super::job_progress::SentProgress;
use super::peer::Peer;
use super::store_report::StoreReport;
use crate::ids::JobId;
use crate::messages::{Now, TaskProgress};
use crate::settings::Settings;
use crate::wire::peers::JobProgress;

/// Number of heartbeat intervals without a message after which a peer counts as
/// unresponsive.
const UNRESPONSIVE_AFTER_HEARTBEATS: u64 = 3;
/// Timeout for the response to a heartbeat, in heartbeat intervals.
const CALL_TIMEOUT_HEARTBEATS: u64 = 2;

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
        self.peers.iter().filter_map(Peer::store_report)
    }

    /// Returns the reports of the peers that are heard: those whose latest report was sent
    /// within [`Peers::unresponsive_after_ms`].
    pub(super) fn heard(&self, now: Now) -> impl Iterator<Item = &StoreReport> {
        let period_ms = self.unresponsive_after_ms();
        self.store_reports()
            .filter(move |report| report.sent_within(now, period_ms))
    }

    /// Returns the last reports of the peers that were heard once and aren't any more.
    pub(super) fn fallen_silent(&self, now: Now) -> impl Iterator<Item = &StoreReport> {
        let period_ms = self.unresponsive_after_ms();
        self.store_reports()
            .filter(move |report| !report.sent_within(now, period_ms))
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
            .max_by_key(|(_, peer)| peer.reported_term())
            .map(|(index, _)| index)
    }

    /// Returns the sum of the write rates that the responsive peers last reported.
    pub(super) fn writes_per_s(&self, now: Now) -> f64 {
        let unresponsive_after_ms = self.unresponsive_after_ms();
        self.peers
            .iter()
            .filter(|peer| peer.sent_message_within(now, unresponsive_after_ms))
            .map(Peer::writes_per_s)
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

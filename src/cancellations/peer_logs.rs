//! Tracks the position up to which this controller knows each peer's confirmation log,
//! and the position up to which each peer knows this controller's log.

use crate::messages::Now;
use crate::wire::peers::{ConfirmationCursor, ConfirmedCancellations};
use crate::wire::users::is_valid_job_id;

/// The position up to which one peer's log is known here, and the position up to which that
/// peer knows this controller's log.
#[derive(Debug, Default)]
pub(super) struct PeerLog {
    name: String,
    /// The incarnation of the peer's process that last sent a message; 0 before the first
    /// message.
    incarnation: u64,
    /// Every entry of the peer's log up to this number is known here, or was in the
    /// key-value store before `complete_since_ms`.
    known_up_to: u64,
    /// When `known_up_to` was last moved past entries that may be unknown here. Only a
    /// read of the key-value store that was requested later covers these entries.
    complete_since_ms: u64,
    /// When the last request was sent whose response left no entry of the peer's log
    /// unknown here.
    attested_ms: u64,
    /// The position up to which the peer has reported that it knows this controller's
    /// log.
    acknowledged: ConfirmationCursor,
}

impl PeerLog {
    fn new(name: &str) -> PeerLog {
        PeerLog {
            name: name.to_string(),
            ..PeerLog::default()
        }
    }

    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// Returns the number of the message's last entry; `None` if the message is malformed
    /// or from another peer.
    pub(super) fn last_entry(&self, message: &ConfirmedCancellations) -> Option<u64> {
        let count = message.jobs.len() as u64;
        let last = message.first.checked_sub(1)?.checked_add(count)?;
        let well_formed = last <= message.total
            && message.incarnation != 0
            && message.node == self.name
            && message.jobs.iter().all(|job| is_valid_job_id(job));
        well_formed.then_some(last)
    }

    /// Processes a message that ends with entry number `last`. `requested_ms` is when the
    /// request was sent that the message responds to, if there was one.
    pub(super) fn advance(
        &mut self,
        now: Now,
        requested_ms: Option<u64>,
        message: &ConfirmedCancellations,
        last: u64,
    ) {
        let same_process = self.incarnation == message.incarnation;
        if same_process && message.first <= self.known_up_to.saturating_add(1) {
            self.known_up_to = self.known_up_to.max(last);
        } else if requested_ms.is_some() {
            // The peer has restarted, or entries are missing: only a read of the key-value
            // store that starts after this moment covers the missing entries.
            self.incarnation = message.incarnation;
            self.known_up_to = message.total;
            self.complete_since_ms = now.ms;
        }
        if let Some(requested_ms) = requested_ms {
            if self.known_up_to >= message.total {
                self.attested_ms = self.attested_ms.max(requested_ms);
            }
        }
    }

    /// Returns the time up to which the peer's confirmations are known here, given a
    /// complete read of the key-value store that was requested at `read_requested_ms`; 0
    /// if there is no such time. A peer that restarted after that read can't attest what
    /// its earlier process confirmed.
    fn complete_until_ms(&self, read_requested_ms: u64) -> u64 {
        if self.incarnation != 0 && self.complete_since_ms < read_requested_ms {
            self.attested_ms
        } else {
            0
        }
    }
}

/// The logs of all peers, in the order of the peers' indexes.
#[derive(Debug)]
pub(super) struct PeerLogs {
    peers: Vec<PeerLog>,
}

impl PeerLogs {
    /// Creates the state for these peers, with no log entries known.
    pub(super) fn new<'a>(names: impl Iterator<Item = &'a str>) -> Self {
        PeerLogs {
            peers: names.map(PeerLog::new).collect(),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    pub(super) fn get_mut(&mut self, index: usize) -> Option<&mut PeerLog> {
        self.peers.get_mut(index)
    }

    /// Returns the position up to which the peer's log is known here.
    pub(super) fn cursor(&self, index: usize) -> Option<ConfirmationCursor> {
        self.peers.get(index).map(|peer| ConfirmationCursor {
            incarnation: peer.incarnation,
            up_to: peer.known_up_to,
        })
    }

    /// Returns the position up to which the peer has reported that it knows this
    /// controller's log.
    pub(super) fn acknowledged(&self, index: usize) -> Option<&ConfirmationCursor> {
        self.peers.get(index).map(|peer| &peer.acknowledged)
    }

    /// Sets the position up to which the peer reports that it knows this controller's
    /// log.
    pub(super) fn set_acknowledged(&mut self, index: usize, cursor: ConfirmationCursor) {
        if let Some(peer) = self.peers.get_mut(index) {
            peer.acknowledged = cursor;
        }
    }

    /// Returns the time up to which the confirmations of all peers are known here; `None`
    /// if those of any peer aren't.
    pub(super) fn attested_ms(&self, read_requested_ms: u64) -> Option<u64> {
        self.peers
            .iter()
            .map(|peer| peer.complete_until_ms(read_requested_ms))
            .min()
            .filter(|attested_ms| *attested_ms > 0)
    }
}

//! How far the peers' confirmation logs are known here, and how far the peers know
//! this controller's.

use crate::messages::Now;
use crate::wire::peers::{ConfirmationCursor, ConfirmedCancellations};
use crate::wire::users::is_valid_job_id;

/// The known part of one peer's log.
#[derive(Debug, Default)]
pub(super) struct PeerLog {
    name: String,
    /// The process that was last heard; 0: none yet.
    incarnation: u64,
    /// All its entries up to this number are known, or were stored before
    /// `complete_since_ms`.
    have: u64,
    complete_since_ms: u64,
    /// When the last request was sent whose response left nothing out.
    attested_ms: u64,
    /// How far it has said that it knows this controller's log.
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

    /// The number of the message's last entry; `None` if the message is malformed or not
    /// this peer's.
    pub(super) fn last_entry(&self, message: &ConfirmedCancellations) -> Option<u64> {
        let count = message.jobs.len() as u64;
        let last = message.first.checked_sub(1)?.checked_add(count)?;
        let well_formed = last <= message.total
            && message.incarnation != 0
            && message.node == self.name
            && message.jobs.iter().all(|job| is_valid_job_id(job));
        well_formed.then_some(last)
    }

    /// Takes a message that ends with entry number `last`; `requested_ms` is when its
    /// request was sent, if it is a response to one.
    pub(super) fn advance(
        &mut self,
        now: Now,
        requested_ms: Option<u64>,
        message: &ConfirmedCancellations,
        last: u64,
    ) {
        let same_process = self.incarnation == message.incarnation;
        if same_process && message.first <= self.have.saturating_add(1) {
            self.have = self.have.max(last);
        } else if requested_ms.is_some() {
            // Another process, or a gap: only a read of the key-value store from now on
            // shows what is missing here.
            self.incarnation = message.incarnation;
            self.have = message.total;
            self.complete_since_ms = now.ms;
        }
        if let Some(requested_ms) = requested_ms {
            if self.have >= message.total {
                self.attested_ms = self.attested_ms.max(requested_ms);
            }
        }
    }

    /// Up to when the peer's confirmations are known here, given a complete read of the
    /// key-value store that was requested at `read_ms`; 0: not known. A peer that
    /// restarted after that read can't attest what its earlier process confirmed.
    fn complete_until_ms(&self, read_ms: u64) -> u64 {
        if self.incarnation != 0 && self.complete_since_ms < read_ms {
            self.attested_ms
        } else {
            0
        }
    }
}

/// The logs of all peers, in the order in which peers are numbered.
#[derive(Debug)]
pub(super) struct PeerLogs {
    peers: Vec<PeerLog>,
}

impl PeerLogs {
    /// Nothing is known of any log yet.
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

    /// Up to where the peer's log is known here.
    pub(super) fn cursor(&self, index: usize) -> Option<ConfirmationCursor> {
        self.peers.get(index).map(|peer| ConfirmationCursor {
            incarnation: peer.incarnation,
            up_to: peer.have,
        })
    }

    /// Up to where the peer has said that it knows this controller's log.
    pub(super) fn acknowledged(&self, index: usize) -> Option<&ConfirmationCursor> {
        self.peers.get(index).map(|peer| &peer.acknowledged)
    }

    /// The peer has said up to where it knows this controller's log.
    pub(super) fn set_acknowledged(&mut self, index: usize, cursor: ConfirmationCursor) {
        if let Some(peer) = self.peers.get_mut(index) {
            peer.acknowledged = cursor;
        }
    }

    /// Up to when all peers together attest that their confirmations are known here.
    pub(super) fn attested_ms(&self, read_ms: u64) -> Option<u64> {
        self.peers
            .iter()
            .map(|peer| peer.complete_until_ms(read_ms))
            .min()
            .filter(|attested_ms| *attested_ms > 0)
    }
}

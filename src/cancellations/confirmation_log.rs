//! The cancellations that this process has confirmed to users, in order and numbered
//! from 1.

use crate::ids::JobId;
use crate::wire::peers::{ConfirmationCursor, ConfirmedCancellations};
use std::collections::VecDeque;

/// Entries kept for peers. A peer that has fallen further behind has to read the
/// key-value store first.
const MAX_LOG_ENTRIES: usize = 4096;

/// Entries sent in one message.
const MAX_MESSAGE_ENTRIES: usize = 500;

/// The log of one process; peers follow it by its numbers.
#[derive(Debug)]
pub(super) struct ConfirmationLog {
    node: String,
    /// Tells this process from earlier ones of the same name.
    incarnation: u64,
    /// How many entries have been removed at the front.
    removed_count: u64,
    entries: VecDeque<JobId>,
}

impl ConfirmationLog {
    /// An empty log.
    pub(super) fn new(node: &str, incarnation: u64) -> Self {
        ConfirmationLog {
            node: node.to_string(),
            incarnation,
            removed_count: 0,
            entries: VecDeque::new(),
        }
    }

    /// Appends a confirmed cancellation.
    pub(super) fn push(&mut self, id: JobId) {
        self.entries.push_back(id);
        while self.entries.len() > MAX_LOG_ENTRIES {
            self.entries.pop_front();
            self.removed_count += 1;
        }
    }

    fn total(&self) -> u64 {
        self.removed_count + self.entries.len() as u64
    }

    /// The message to a peer whose knowledge of this log is `cursor`.
    pub(super) fn after(&self, cursor: &ConfirmationCursor) -> ConfirmedCancellations {
        let total = self.total();
        // A peer that followed an earlier process, or none, begins with what comes
        // next: what came before is stored, and it reads that.
        let known_up_to = if cursor.incarnation == self.incarnation {
            cursor.up_to
        } else {
            total
        };
        // Entries that the peer lacks but that are gone here leave a gap that it sees
        // by the number of the first one.
        let skipped = known_up_to.saturating_sub(self.removed_count).min(total);
        let jobs = self
            .entries
            .iter()
            .skip(skipped as usize)
            .take(MAX_MESSAGE_ENTRIES)
            .map(JobId::to_string)
            .collect();
        ConfirmedCancellations {
            node: self.node.clone(),
            incarnation: self.incarnation,
            first: self.removed_count + skipped + 1,
            jobs,
            total,
        }
    }
}

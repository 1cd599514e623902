//! The log of the cancellations that this process has confirmed to users. Entries are in
//! the order of confirmation and numbered from 1.

use crate::ids::JobId;
use crate::wire::peers::{ConfirmationCursor, ConfirmedCancellations};
use std::collections::VecDeque;

/// How many entries are kept for peers. A peer that is further behind has to read the
/// key-value store first.
const MAX_LOG_ENTRIES: usize = 4096;

/// The most entries sent in one message.
const MAX_MESSAGE_ENTRIES: usize = 500;

/// The confirmation log of one process. Peers track their position in it by entry number.
#[derive(Debug)]
pub(super) struct ConfirmationLog {
    node: String,
    /// Distinguishes this process from earlier ones of the same name.
    incarnation: u64,
    /// How many entries have been removed from the front of the log.
    removed_count: u64,
    entries: VecDeque<JobId>,
}

impl ConfirmationLog {
    /// Creates an empty log for the process `incarnation` of this node.
    pub(super) fn new(node: &str, incarnation: u64) -> Self {
        ConfirmationLog {
            node: node.to_string(),
            incarnation,
            removed_count: 0,
            entries: VecDeque::new(),
        }
    }

    /// Appends a confirmed cancellation and removes the oldest entries above the limit.
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

    /// Builds the message for a peer that knows this log up to `cursor`.
    pub(super) fn after(&self, cursor: &ConfirmationCursor) -> ConfirmedCancellations {
        let total = self.total();
        // A peer whose cursor is from an earlier process, or from none, starts at the end
        // of the log: the earlier entries are in the key-value store, where it reads them.
        let known_up_to = if cursor.incarnation == self.incarnation {
            cursor.up_to
        } else {
            total
        };
        // If entries that the peer lacks have been removed here, it detects the gap by the
        // number of the first entry in the message.
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

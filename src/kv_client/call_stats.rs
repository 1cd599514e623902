//! Counts of calls by priority.

use super::CallPriority;
use std::fmt;

/// The number of priorities.
pub(super) const PRIORITY_COUNT: usize = CallPriority::Background as usize + 1;

/// Names of the priorities in log lines, in the order of the variants.
const PRIORITY_NAMES: [&str; PRIORITY_COUNT] = [
    "leadership",
    "cancel",
    "submission",
    "placement",
    "background",
];

/// Counts of calls sent to the key-value store and of their writes, by priority.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct CallStats {
    calls: [u64; PRIORITY_COUNT],
    writes: [u64; PRIORITY_COUNT],
}

impl CallStats {
    pub(super) fn record(&mut self, priority: CallPriority, writes: usize) {
        self.calls[priority as usize] += 1;
        self.writes[priority as usize] += writes as u64;
    }
}

impl fmt::Display for CallStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, name) in PRIORITY_NAMES.iter().enumerate() {
            let separator = if index > 0 { " " } else { "" };
            let (calls, writes) = (self.calls[index], self.writes[index]);
            write!(f, "{separator}{name}={calls}/{writes}")?;
        }
        Ok(())
    }
}

//! Metrics of groups: how many are in each state, and how long repairs took.

use crate::group::GroupState;
use hdrhistogram::Histogram;
use std::fmt;

/// Significant digits of the recorded repair times.
const REPAIR_TIME_DIGITS: u8 = 2;

/// How many groups are in each state.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct StateCounts {
    counts: [usize; GroupState::ALL.len()],
    /// How many groups of any state are migrating.
    pub migrating: usize,
    /// How many groups of any state have an open circuit breaker.
    pub breaker_open: usize,
}

impl StateCounts {
    /// Counts a group in this state.
    pub fn add(&mut self, state: GroupState) {
        self.counts[state as usize] += 1;
    }

    /// How many groups are in this state.
    fn count(&self, state: GroupState) -> usize {
        self.counts[state as usize]
    }
}

impl fmt::Display for StateCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for state in GroupState::ALL {
            write!(f, "{}={} ", state.name(), self.count(state))?;
        }
        write!(f, "moving={} failing={}", self.migrating, self.breaker_open)
    }
}

/// What has happened to groups since the leader was elected.
pub struct GroupMetrics {
    /// Times from the loss of a part to serving again, in milliseconds. `None`: the
    /// histogram couldn't be allocated.
    repair_ms: Option<Histogram<u64>>,
    /// Times that a silent part reported again before a repair began.
    pub(crate) interruptions: u64,
    /// Migrations that were completed.
    pub(crate) migrations: u64,
    /// Migrations that were abandoned.
    pub(crate) abandoned_migrations: u64,
}

impl Default for GroupMetrics {
    fn default() -> Self {
        GroupMetrics {
            repair_ms: Histogram::new(REPAIR_TIME_DIGITS).ok(),
            interruptions: 0,
            migrations: 0,
            abandoned_migrations: 0,
        }
    }
}

impl GroupMetrics {
    /// A group serves again, this long after it lost a part.
    pub fn record_repair(&mut self, took_ms: u64) {
        if let Some(histogram) = &mut self.repair_ms {
            // A histogram that resizes itself accepts every value.
            let _ = histogram.record(took_ms);
        }
    }

    /// How many repairs were completed.
    fn repairs(&self) -> u64 {
        self.repair_ms.as_ref().map_or(0, Histogram::len)
    }
}

impl fmt::Display for GroupMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "repaired={} interrupted={} moved={} abandoned_moves={}",
            self.repairs(),
            self.interruptions,
            self.migrations,
            self.abandoned_migrations
        )?;
        match &self.repair_ms {
            Some(times) if !times.is_empty() => write!(
                f,
                " repair_ms_p50={} repair_ms_p99={} repair_ms_most={}",
                times.value_at_quantile(0.5),
                times.value_at_quantile(0.99),
                times.max()
            ),
            _ => Ok(()),
        }
    }
}

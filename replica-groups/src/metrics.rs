//! Metrics of replica groups: the number of groups in each state, event counts and repair
//! times.

use crate::group::GroupState;
use hdrhistogram::Histogram;
use std::fmt;

/// Significant decimal digits with which repair times are recorded.
const REPAIR_TIME_DIGITS: u8 = 2;

/// The number of groups in each state.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct StateCounts {
    counts: [usize; GroupState::ALL.len()],
    /// Number of groups in any state that have a migration in progress.
    pub migrating: usize,
    /// Number of groups in any state whose circuit breaker is open.
    pub breaker_open: usize,
}

impl StateCounts {
    /// Adds one group in `state` to the counts.
    pub fn add(&mut self, state: GroupState) {
        self.counts[state as usize] += 1;
    }

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

/// Counts of group events and times of repairs since this leader was elected.
pub struct GroupMetrics {
    /// Times from the start of an outage until a new generation serves. `None` if the
    /// histogram couldn't be created.
    repair_ms: Option<Histogram<u64>>,
    /// Number of outages that ended with the same generation, without a repair.
    pub(crate) interruptions: u64,
    /// Number of completed migrations.
    pub(crate) migrations: u64,
    /// Number of abandoned migrations.
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
    /// Records a repair that took `took_ms` from the start of the outage.
    pub fn record_repair(&mut self, took_ms: u64) {
        if let Some(histogram) = &mut self.repair_ms {
            // The histogram resizes itself, so it accepts every value.
            let _ = histogram.record(took_ms);
        }
    }

    fn completed_repairs(&self) -> u64 {
        self.repair_ms.as_ref().map_or(0, Histogram::len)
    }
}

impl fmt::Display for GroupMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "repaired={} interrupted={} moved={} abandoned_moves={}",
            self.completed_repairs(),
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

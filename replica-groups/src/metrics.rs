//! Groups by state, and how long repairs took.

use crate::group::GroupState;
use hdrhistogram::Histogram;
use std::fmt;

/// Significant digits of the times that are kept.
const DIGITS: u8 = 2;

/// How many groups are in each state.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct StateCounts {
    counts: [usize; GroupState::ALL.len()],
    /// Of all these, those that are on the move.
    pub moving: usize,
    /// Of all these, those whose circuit breaker is open.
    pub failing: usize,
}

impl StateCounts {
    /// Counts a group.
    pub fn add(&mut self, state: GroupState) {
        self.counts[state as usize] += 1;
    }

    /// How many are in this state.
    pub fn of(&self, state: GroupState) -> usize {
        self.counts[state as usize]
    }
}

impl fmt::Display for StateCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for state in GroupState::ALL {
            write!(f, "{}={} ", state.name(), self.of(state))?;
        }
        write!(f, "moving={} failing={}", self.moving, self.failing)
    }
}

/// What has happened since the leader was elected.
pub struct GroupMetrics {
    /// From the loss of a part to serving again, in milliseconds. `None`: no
    /// memory for it.
    repair_ms: Option<Histogram<u64>>,
    /// Silences of a part that ended without a repair.
    pub interrupted: u64,
    /// Moves that arrived.
    pub moved: u64,
    /// Moves that were given up.
    pub abandoned: u64,
}

impl Default for GroupMetrics {
    fn default() -> Self {
        GroupMetrics {
            repair_ms: Histogram::new(DIGITS).ok(),
            interrupted: 0,
            moved: 0,
            abandoned: 0,
        }
    }
}

impl GroupMetrics {
    /// A group serves again, so long after it lost a part.
    pub fn repaired(&mut self, took_ms: u64) {
        if let Some(histogram) = &mut self.repair_ms {
            // One that grows by itself takes any time.
            let _ = histogram.record(took_ms);
        }
    }

    /// How many groups were repaired.
    pub fn repairs(&self) -> u64 {
        self.repair_ms.as_ref().map_or(0, Histogram::len)
    }
}

impl fmt::Display for GroupMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "repaired={} interrupted={} moved={} abandoned_moves={}",
            self.repairs(),
            self.interrupted,
            self.moved,
            self.abandoned
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

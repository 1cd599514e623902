//! The timing of rounds and counters of their cost.

use crate::scheduler::{ActivityCounters, RoundStats, MIN_ROUND_GAP_MS};

/// The state that determines when the next round begins, and counters of the cost of
/// rounds.
#[derive(Debug)]
pub(in crate::scheduler) struct RoundPacing {
    /// Whether a change requires a round before the next full one.
    pub(in crate::scheduler) requested: bool,
    /// The time at which the last round began.
    pub(in crate::scheduler) began_ms: u64,
    /// The minimum time between the beginnings of two rounds.
    pub(in crate::scheduler) gap_ms: u64,
    /// The time at which the last full round began. Full rounds also scale in and
    /// compact.
    pub(in crate::scheduler) last_full_ms: u64,
    /// The entries that rounds have examined since the process started, except those of
    /// the capacity index, which has its own counter.
    pub(in crate::scheduler) examined: u64,
    /// The maximum number of entries that one slice of a round has examined.
    pub(in crate::scheduler) longest_slice: u64,
    /// The counters of the leader's periodic work.
    pub(in crate::scheduler) activity: ActivityCounters,
    /// The totals at the time of the last log line.
    pub(in crate::scheduler) logged_stats: RoundStats,
}

impl Default for RoundPacing {
    fn default() -> Self {
        RoundPacing {
            requested: false,
            began_ms: 0,
            gap_ms: MIN_ROUND_GAP_MS,
            last_full_ms: 0,
            examined: 0,
            longest_slice: 0,
            activity: ActivityCounters::default(),
            logged_stats: RoundStats::default(),
        }
    }
}

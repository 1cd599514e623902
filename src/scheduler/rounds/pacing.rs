//! When rounds begin, how long the pause after one is, and what they have cost.

use crate::scheduler::{ActivityCounters, RoundStats, MIN_ROUND_GAP_MS};

/// What decides when the next round begins, and the cost of the rounds so far.
#[derive(Debug)]
pub(in crate::scheduler) struct RoundPacing {
    /// Something has changed that the next round should consider.
    pub(in crate::scheduler) requested: bool,
    /// When the last round began.
    pub(in crate::scheduler) began_ms: u64,
    /// The minimum time between the beginnings of two rounds.
    pub(in crate::scheduler) gap_ms: u64,
    /// When the last full round began, which also scales in and compacts.
    pub(in crate::scheduler) last_full_ms: u64,
    /// Entries that rounds have examined since the process began, those of the
    /// capacity index excluded: it counts its own.
    pub(in crate::scheduler) examined: u64,
    /// The most entries that one slice of a round has examined.
    pub(in crate::scheduler) longest_slice: u64,
    /// The leader's periodic work since the process began.
    pub(in crate::scheduler) activity: ActivityCounters,
    /// The statistics as of the last time that they were logged.
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

//! When rounds begin, how long the pause after one is, and what they have cost.

use crate::scheduler::{ActivityCounters, RoundStats, ROUND_GAP_MS};

/// What decides when the next round begins.
#[derive(Debug)]
pub(in crate::scheduler) struct RoundPacing {
    /// Something has changed that a round should look at.
    pub(in crate::scheduler) requested: bool,
    /// When the last round began.
    pub(in crate::scheduler) began_ms: u64,
    /// The least time between the beginnings of two rounds.
    pub(in crate::scheduler) gap_ms: u64,
    /// When the last round began that did everything.
    pub(in crate::scheduler) last_full_ms: u64,
    /// Entries that rounds have examined since the process began.
    pub(in crate::scheduler) examined: u64,
    /// The most entries that one slice of a round has examined.
    pub(in crate::scheduler) longest_slice: u64,
    /// The leader's regular work since the process began.
    pub(in crate::scheduler) activity: ActivityCounters,
    /// What of it was logged.
    pub(in crate::scheduler) logged: RoundStats,
}

impl Default for RoundPacing {
    fn default() -> Self {
        RoundPacing {
            requested: false,
            began_ms: 0,
            gap_ms: ROUND_GAP_MS,
            last_full_ms: 0,
            examined: 0,
            longest_slice: 0,
            activity: ActivityCounters::default(),
            logged: RoundStats::default(),
        }
    }
}

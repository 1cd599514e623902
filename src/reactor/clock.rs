//! The reactor's clock, which gives monotonic time and wall-clock time in milliseconds.

use crate::messages::Now;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic time at the start of the process: one year, so that events before the start
/// also have a positive time. When the clock started at zero, a controller that had just
/// started treated machines that the cloud listed as minutes old as newly provisioned, and
/// jobs waited for machines that had failed.
pub(super) const MONOTONIC_START_MS: u64 = 365 * 24 * 3600 * 1000;

/// Converts instants to the times that actors receive.
pub(super) struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock that shows [`MONOTONIC_START_MS`] now.
    pub(super) fn start() -> Clock {
        Clock {
            started: Instant::now(),
        }
    }

    /// Returns the monotonic time of an instant, with the current wall-clock time.
    pub(super) fn time_at(&self, instant: Instant) -> Now {
        Now {
            ms: instant.duration_since(self.started).as_millis() as u64 + MONOTONIC_START_MS,
            wall_ms: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |since_epoch| since_epoch.as_millis() as u64),
        }
    }
}

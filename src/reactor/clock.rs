//! The reactor's clock: monotonic milliseconds beside the wall clock.

use crate::messages::Now;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// What the monotonic clock shows when the process starts: a year, so that events
/// older than the process have a positive time, too. With a clock that began at
/// zero, machines that the cloud lists as minutes old were taken for newly
/// provisioned ones while the process was young, and jobs waited for machines that
/// had died.
pub(super) const START_MS: u64 = 365 * 24 * 3600 * 1000;

/// Converts instants to the times that actors see.
pub(super) struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that shows [`START_MS`] now.
    pub(super) fn start() -> Clock {
        Clock {
            started: Instant::now(),
        }
    }

    /// The monotonic time of an instant, with the current wall clock.
    pub(super) fn at(&self, instant: Instant) -> Now {
        Now {
            ms: instant.duration_since(self.started).as_millis() as u64 + START_MS,
            wall_ms: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |since_epoch| since_epoch.as_millis() as u64),
        }
    }
}

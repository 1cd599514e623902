//! A token bucket whose capacity is the number of tokens added in one second.

use crate::net::now_us;

/// Limits a rate of requests or writes.
pub(super) struct RateLimit {
    per_s: f64,
    tokens: f64,
    last_refill_us: u64,
}

impl RateLimit {
    /// Creates a full bucket.
    pub(super) fn new(per_s: f64) -> RateLimit {
        RateLimit {
            per_s,
            tokens: per_s,
            last_refill_us: now_us(),
        }
    }

    /// Takes `count` tokens and returns true, or takes none and returns false if the bucket
    /// holds fewer.
    pub(super) fn try_take(&mut self, now_us: u64, count: f64) -> bool {
        let elapsed_s = now_us.saturating_sub(self.last_refill_us) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed_s * self.per_s).min(self.per_s);
        self.last_refill_us = now_us;
        let is_available = self.tokens >= count;
        if is_available {
            self.tokens -= count;
        }
        is_available
    }
}

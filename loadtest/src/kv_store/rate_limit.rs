//! A token bucket that holds the tokens of one second.

use crate::net::now_us;

/// Limits how often something is done.
pub(super) struct RateLimit {
    per_s: f64,
    tokens: f64,
    refilled_us: u64,
}

impl RateLimit {
    /// A full bucket.
    pub(super) fn new(per_s: f64) -> RateLimit {
        RateLimit {
            per_s,
            tokens: per_s,
            refilled_us: now_us(),
        }
    }

    /// Takes so many tokens, if there are as many.
    pub(super) fn try_take(&mut self, now_us: u64, count: f64) -> bool {
        let passed_s = now_us.saturating_sub(self.refilled_us) as f64 / 1e6;
        self.tokens = (self.tokens + passed_s * self.per_s).min(self.per_s);
        self.refilled_us = now_us;
        let is_allowed = self.tokens >= count;
        if is_allowed {
            self.tokens -= count;
        }
        is_allowed
    }
}

//! A token bucket: paces requests to a steady rate with bounded bursts.

use crate::messages::Now;

/// Absorbs rounding errors of refills.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Tokens that arrive at a steady rate and are saved up for a bounded time.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_ms: f64,
    /// The capacity.
    burst: f64,
    /// The tokens at the last refill; negative after a cost above them was taken.
    level: f64,
    refilled_ms: u64,
}

impl TokenBucket {
    /// A full bucket that saves up tokens for `burst_s` seconds.
    pub fn new(rate_per_s: f64, burst_s: f64) -> Self {
        let burst = capacity(rate_per_s, burst_s);
        TokenBucket {
            rate_per_ms: rate_per_s / 1000.0,
            burst,
            level: burst,
            refilled_ms: 0,
        }
    }

    /// Changes the rate, and for how long tokens are saved up.
    pub fn set_rate(&mut self, now: Now, rate_per_s: f64, burst_s: f64) {
        self.refill(now);
        self.rate_per_ms = rate_per_s / 1000.0;
        self.burst = capacity(rate_per_s, burst_s);
        self.level = self.level.min(self.burst);
    }

    fn refill(&mut self, now: Now) {
        let elapsed_ms = now.ms.saturating_sub(self.refilled_ms) as f64;
        self.level = (self.level + elapsed_ms * self.rate_per_ms).min(self.burst);
        self.refilled_ms = now.ms;
    }

    /// The tokens in a full bucket.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// The tokens that are available.
    pub fn level(&mut self, now: Now) -> f64 {
        self.refill(now);
        self.level
    }

    /// Takes tokens, and returns whether there were enough. A cost above the burst is
    /// allowed on a full bucket, or it would wait for ever.
    pub fn take(&mut self, now: Now, cost: f64) -> bool {
        self.refill(now);
        if self.level + ROUNDING_TOLERANCE < cost.min(self.burst) {
            return false;
        }
        self.level -= cost;
        true
    }

    /// Discards the available tokens: the service reported that its rate was exceeded.
    pub fn mark_empty(&mut self, now: Now) {
        self.refill(now);
        self.level = self.level.min(0.0);
    }
}

/// What a bucket holds; at least one token, or nothing could ever be taken.
fn capacity(rate_per_s: f64, burst_s: f64) -> f64 {
    (rate_per_s * burst_s).max(1.0)
}

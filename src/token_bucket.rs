//! A token bucket, which limits requests to a steady rate with bounded bursts.

use crate::messages::Now;

/// Tokens by which a level may fall short of a cost because of rounding in refills.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Tokens that accumulate at a steady rate, up to a capacity.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_ms: f64,
    /// The capacity, in tokens.
    burst: f64,
    /// Tokens at the last refill. Negative after a cost above the level was taken.
    level: f64,
    refilled_ms: u64,
}

impl TokenBucket {
    /// Creates a full bucket, whose capacity is the tokens of `burst_s` seconds.
    pub fn new(rate_per_s: f64, burst_s: f64) -> Self {
        let burst = capacity(rate_per_s, burst_s);
        TokenBucket {
            rate_per_ms: rate_per_s / 1000.0,
            burst,
            level: burst,
            refilled_ms: 0,
        }
    }

    /// Changes the rate and the capacity. Tokens above the new capacity are lost.
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

    /// Returns the number of tokens in a full bucket.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// Returns the number of available tokens, which may be negative.
    pub fn level(&mut self, now: Now) -> f64 {
        self.refill(now);
        self.level
    }

    /// Takes `cost` tokens and returns true, or takes none and returns false if there
    /// aren't enough. A full bucket accepts a cost above its capacity, which would
    /// otherwise never be accepted.
    pub fn take(&mut self, now: Now, cost: f64) -> bool {
        self.refill(now);
        if self.level + ROUNDING_TOLERANCE < cost.min(self.burst) {
            return false;
        }
        self.level -= cost;
        true
    }

    /// Discards the available tokens, after the service reported that its rate was
    /// exceeded.
    pub fn discard_available(&mut self, now: Now) {
        self.refill(now);
        self.level = self.level.min(0.0);
    }
}

/// Returns the capacity of a bucket: at least one token, because a request needs one.
fn capacity(rate_per_s: f64, burst_s: f64) -> f64 {
    (rate_per_s * burst_s).max(1.0)
}

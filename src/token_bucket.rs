//! A token bucket: paces requests to a steady rate with bounded bursts.

use crate::messages::Now;

/// Tokens that come at a steady rate, saved up for at most a second or so.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_ms: f64,
    burst: f64,
    level: f64,
    at_ms: u64,
}

impl TokenBucket {
    /// A full bucket that saves up tokens for so many seconds.
    pub fn new(rate_per_s: f64, burst_s: f64) -> Self {
        let burst = (rate_per_s * burst_s).max(1.0);
        TokenBucket {
            rate_per_ms: rate_per_s / 1000.0,
            burst,
            level: burst,
            at_ms: 0,
        }
    }

    /// Changes the rate and how long tokens are saved up.
    pub fn set_rate(&mut self, now: Now, rate_per_s: f64, burst_s: f64) {
        self.refill(now);
        self.rate_per_ms = rate_per_s / 1000.0;
        self.burst = (rate_per_s * burst_s).max(1.0);
        self.level = self.level.min(self.burst);
    }

    fn refill(&mut self, now: Now) {
        let passed = now.ms.saturating_sub(self.at_ms) as f64;
        self.level = (self.level + passed * self.rate_per_ms).min(self.burst);
        self.at_ms = now.ms;
    }

    /// How many tokens a full bucket holds.
    pub fn burst(&self) -> f64 {
        self.burst
    }

    /// How many tokens there are.
    pub fn level(&mut self, now: Now) -> f64 {
        self.refill(now);
        self.level
    }

    /// A cost above the burst is let through on a full bucket, or it would
    /// wait for ever.
    pub fn take(&mut self, now: Now, cost: f64) -> bool {
        self.refill(now);
        if self.level + 1e-9 < cost.min(self.burst) {
            return false;
        }
        self.level -= cost;
        true
    }

    /// The other side says that the bucket is emptier than we thought.
    pub fn mark_empty(&mut self, now: Now) {
        self.refill(now);
        self.level = self.level.min(0.0);
    }
}

//! An exponential moving average that limits the effect of outliers.

use crate::records::estimates::EstimateValue;

/// Samples are clamped to at most this many times the larger of the current and the
/// initial value, and at least the smaller of them divided by this number.
const OUTLIER_FACTOR: f64 = 3.0;

/// An exponential moving average with clamped samples.
#[derive(Clone, Copy, Debug)]
pub(super) struct MovingAverage {
    value: f64,
    initial: f64,
    weight: f64,
}

impl MovingAverage {
    /// Creates an average that starts at `initial`. `weight` (0 to 1) is the weight of each
    /// new sample.
    pub(super) fn new(initial: f64, weight: f64) -> Self {
        MovingAverage {
            value: initial,
            initial,
            weight,
        }
    }

    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Adds a sample. Negative, infinite and NaN samples are ignored.
    pub(super) fn add_sample(&mut self, sample: f64) {
        if sample.is_finite() && sample >= 0.0 {
            let low = self.value.min(self.initial) / OUTLIER_FACTOR;
            let high = self.value.max(self.initial) * OUTLIER_FACTOR;
            self.value += self.weight * (sample.clamp(low, high) - self.value);
        }
    }

    /// Returns the value to store in the estimate record under `name`.
    pub(super) fn to_record(self, name: &str) -> EstimateValue {
        EstimateValue {
            name: name.to_string(),
            initial: self.initial,
            value: self.value,
        }
    }

    /// Restores an average that an earlier leader stored.
    pub(super) fn from_record(stored: &EstimateValue, weight: f64) -> Self {
        MovingAverage {
            value: stored.value,
            initial: stored.initial,
            weight,
        }
    }
}

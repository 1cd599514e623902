//! An exponential moving average that limits the weight of outliers.

use crate::records::estimates::EstimateValue;

/// A sample counts as at most so many times the known value, and at least as
/// that part of it.
const OUTLIER_FACTOR: f64 = 3.0;

/// An exponential moving average. Samples are clamped to a few times the current
/// or the initial value.
#[derive(Clone, Copy, Debug)]
pub(super) struct MovingAverage {
    value: f64,
    initial: f64,
    weight: f64,
}

impl MovingAverage {
    /// Begins with a value; each sample moves it by the share `weight`.
    pub(super) fn new(initial: f64, weight: f64) -> Self {
        MovingAverage {
            value: initial,
            initial,
            weight,
        }
    }

    /// The current value.
    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Takes a sample in; one that is no duration is ignored.
    pub(super) fn sample(&mut self, sample: f64) {
        if sample.is_finite() && sample >= 0.0 {
            let low = self.value.min(self.initial) / OUTLIER_FACTOR;
            let high = self.value.max(self.initial) * OUTLIER_FACTOR;
            self.value += self.weight * (sample.clamp(low, high) - self.value);
        }
    }

    /// The average as it is stored under a name.
    pub(super) fn to_record(self, name: &str) -> EstimateValue {
        EstimateValue {
            name: name.to_string(),
            initial: self.initial,
            value: self.value,
        }
    }

    /// The average that an earlier leader stored.
    pub(super) fn from_record(stored: &EstimateValue, weight: f64) -> Self {
        MovingAverage {
            value: stored.value,
            initial: stored.initial,
            weight,
        }
    }
}

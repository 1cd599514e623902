//! The record of the leader's online estimates (`learned`). The record is a hint: without
//! it the next leader starts estimating from the initial values.

use serde::{Deserialize, Serialize};

/// The key of the leader's estimate record.
pub const ESTIMATES_KEY: &str = "learned";

/// The largest plausible ratio of a stored value to its initial value, or of the initial
/// value to the stored one.
const MAX_PLAUSIBLE_RATIO: f64 = 100.0;

/// One online estimate: of a boot time or of a run-time factor.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct EstimateValue {
    /// The machine type (boot times) or job class (run-time factors).
    #[serde(rename = "n")]
    pub name: String,
    /// The estimate before any observation.
    #[serde(rename = "s")]
    pub initial: f64,
    /// The estimate after the observations so far.
    #[serde(rename = "v")]
    pub value: f64,
}

impl EstimateValue {
    /// Returns whether the value is within a plausible range around the initial value.
    pub fn is_plausible(&self) -> bool {
        let ratio = self.value / self.initial;
        self.initial > 0.0
            && self.initial.is_finite()
            && (1.0 / MAX_PLAUSIBLE_RATIO..=MAX_PLAUSIBLE_RATIO).contains(&ratio)
    }
}

/// The value of the estimate record.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct EstimateRecord {
    /// The time of day at which the record was written, in milliseconds.
    #[serde(rename = "t")]
    pub written_wall_ms: u64,
    /// The estimated boot times in seconds, by machine type.
    #[serde(rename = "b", default)]
    pub boot_times_s: Vec<EstimateValue>,
    /// The run time as a multiple of the user's estimate, by job class.
    #[serde(rename = "e", default)]
    pub run_time_factors: Vec<EstimateValue>,
}

impl EstimateRecord {
    /// Returns the size of the record when stored.
    pub fn bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |text| text.len())
    }
}

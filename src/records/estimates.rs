//! The record of the leader's online estimates (`learned`). It is a hint: without it
//! the next leader estimates anew.

use serde::{Deserialize, Serialize};

/// The key of the record.
pub const ESTIMATES_KEY: &str = "learned";

/// The largest plausible ratio of a stored value to its start value, or of the start
/// value to it.
const MAX_PLAUSIBLE_RATIO: f64 = 100.0;

/// One online estimate.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct EstimateValue {
    /// The machine type or class.
    #[serde(rename = "n")]
    pub name: String,
    /// The estimate before any observation.
    #[serde(rename = "s")]
    pub initial: f64,
    /// The current estimate.
    #[serde(rename = "v")]
    pub value: f64,
}

impl EstimateValue {
    /// Whether the value may be right.
    pub fn is_plausible(&self) -> bool {
        let ratio = self.value / self.initial;
        self.initial > 0.0
            && self.initial.is_finite()
            && (1.0 / MAX_PLAUSIBLE_RATIO..=MAX_PLAUSIBLE_RATIO).contains(&ratio)
    }
}

/// The stored record.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct EstimateRecord {
    /// Time of day at which it was written, milliseconds.
    #[serde(rename = "t")]
    pub written_wall_ms: u64,
    /// Boot times in seconds, by machine type.
    #[serde(rename = "b", default)]
    pub boot_times_s: Vec<EstimateValue>,
    /// Run time as a multiple of the user's estimate, by class.
    #[serde(rename = "e", default)]
    pub run_time_factors: Vec<EstimateValue>,
}

impl EstimateRecord {
    /// Its size when stored.
    pub fn bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |text| text.len())
    }
}

//! The record of the leader's online estimates (`learned`): a hint.

use serde::{Deserialize, Serialize};

/// The key of the record.
pub const ESTIMATES_KEY: &str = "learned";

/// How far from where it began a stored value may lie, as a factor.
const MAX_FACTOR: f64 = 100.0;

/// One learned value, by the name of its machine type or class.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct EstimateValue {
    /// The machine type or class.
    #[serde(rename = "n")]
    pub name: String,
    /// What it was taken for before anything was learned.
    #[serde(rename = "s")]
    pub start: f64,
    /// What it is taken for now.
    #[serde(rename = "v")]
    pub value: f64,
}

impl EstimateValue {
    /// Whether it can be made sense of.
    pub fn plausible(&self) -> bool {
        let factor = self.value / self.start;
        self.start > 0.0
            && self.start.is_finite()
            && (1.0 / MAX_FACTOR..=MAX_FACTOR).contains(&factor)
    }
}

/// The stored record.
#[derive(Clone, PartialEq, Debug, Default, Serialize, Deserialize)]
pub struct EstimateRecord {
    /// Time of day at which it was written, milliseconds.
    #[serde(rename = "t")]
    pub written_at: u64,
    /// Boot times in seconds, by machine type.
    #[serde(rename = "b", default)]
    pub boots: Vec<EstimateValue>,
    /// Run time over estimate, by class.
    #[serde(rename = "e", default)]
    pub estimates: Vec<EstimateValue>,
}

impl EstimateRecord {
    /// What it takes when stored.
    pub fn bytes(&self) -> usize {
        serde_json::to_vec(self).map_or(usize::MAX, |text| text.len())
    }
}

//! The stored state of a group. Besides the bindings of the group's parts, only a planned
//! migration and an open circuit breaker are stored. All other state is derived from the
//! bindings and from heartbeats.

use lilacfork_common::ids::{Attempt, MachineId};
use serde::{Deserialize, Serialize};

/// The machine on which a part of the next generation is to be placed.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PartTarget {
    /// Index of the part's task in the job.
    #[serde(rename = "p")]
    pub task: u32,
    /// The machine on which capacity is reserved for the part.
    #[serde(rename = "m")]
    pub machine: MachineId,
}

/// A planned migration. The intent is stored before any part is stopped.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct MigrationIntent {
    /// The generation that is to be stopped.
    #[serde(rename = "g")]
    pub generation: Attempt,
    /// The machines for the next generation, one for each part.
    #[serde(rename = "t")]
    pub targets: Vec<PartTarget>,
}

/// A group's entry in its job's placement record. A group without a migration and with a
/// closed circuit breaker has no entry.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Index of the replica in its job.
    #[serde(rename = "r")]
    pub replica: u32,
    /// State of the circuit breaker: 0 if it is closed, otherwise one more than the number of
    /// failed probes.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub circuit_breaker: u32,
    /// The migration in progress, if there is one.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub intent: Option<MigrationIntent>,
}

fn is_zero(value: &u32) -> bool {
    *value == 0
}

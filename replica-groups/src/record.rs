//! What is stored of a group beside its parts' bindings: a planned migration, and a
//! circuit breaker that is open. Everything else follows from the bindings and from
//! heartbeats.

use lilacfork_common::ids::{Attempt, MachineId};
use serde::{Deserialize, Serialize};

/// The machine that a part is to be placed on.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PartTarget {
    /// The part's task.
    #[serde(rename = "p")]
    pub task: u32,
    /// The machine.
    #[serde(rename = "m")]
    pub machine: MachineId,
}

/// A planned migration, stored before its first step.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct MigrationIntent {
    /// The generation that migrates.
    #[serde(rename = "g")]
    pub generation: Attempt,
    /// Where the next generation is to be placed.
    #[serde(rename = "t")]
    pub targets: Vec<PartTarget>,
}

/// A group's entry in its job's placement record. A group without a migration and
/// with a closed circuit breaker has none.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Which replica of the job.
    #[serde(rename = "r")]
    pub replica: u32,
    /// The state of the circuit breaker: 0 if it is closed, and otherwise one more than
    /// the failed probes.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// A migration under way.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub intent: Option<MigrationIntent>,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

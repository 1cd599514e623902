//! What is stored of a group beside its parts' bindings: moves that were decided,
//! and a circuit breaker that is open. Everything else follows from bindings and
//! reports.

use lilacfork_common::ids::{Attempt, MachineId};
use serde::{Deserialize, Serialize};

/// Where a part is to go.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct PartTarget {
    /// The part's task.
    #[serde(rename = "p")]
    pub task: u32,
    /// Its machine.
    #[serde(rename = "m")]
    pub machine: MachineId,
}

/// A move that was decided, stored before its first step.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct MigrationIntent {
    /// The generation that moves.
    #[serde(rename = "g")]
    pub generation: Attempt,
    /// Where the next one is to be.
    #[serde(rename = "t")]
    pub targets: Vec<PartTarget>,
}

/// A group's row in its job's placement record; groups of which nothing has to be
/// said have none.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Which replica of the job.
    #[serde(rename = "r")]
    pub replica: u32,
    /// Failed probes of a group that fails everywhere, plus one; 0: it doesn't.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failures: u32,
    /// A move under way.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub intent: Option<MigrationIntent>,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

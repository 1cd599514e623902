//! The bodies of messages between workers and controllers, by PROTOCOL.

use serde::{Deserialize, Serialize};

/// How far a task is.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Phase {
    #[serde(rename = "pulling")]
    Fetching,
    Running,
    Ended,
}

/// Why a task has ended, or wasn't started.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum EndReason {
    Done,
    Stopped,
    Full,
    Busy,
    Unknown,
}

/// A task in a heartbeat.
#[derive(Serialize)]
pub(super) struct TaskStatus<'a> {
    #[serde(rename = "piece")]
    pub(super) task: &'a str,
    #[serde(rename = "essai")]
    pub(super) attempt: u64,
    #[serde(rename = "etat")]
    pub(super) phase: Phase,
    #[serde(rename = "motif", skip_serializing_if = "Option::is_none")]
    pub(super) reason: Option<EndReason>,
}

/// A worker's heartbeat, and its response to direct commands.
#[derive(Serialize)]
pub(super) struct HeartbeatBody<'a> {
    #[serde(rename = "banc")]
    pub(super) machine: &'a str,
    pub(super) address: String,
    #[serde(rename = "gamme")]
    pub(super) machine_type: &'a str,
    #[serde(rename = "secteur")]
    pub(super) zone: &'a str,
    #[serde(rename = "occasion")]
    pub(super) spot: bool,
    #[serde(rename = "quart")]
    pub(super) epoch: u64,
    #[serde(rename = "numero")]
    pub(super) sequence: u64,
    #[serde(rename = "jeton")]
    pub(super) token: u64,
    #[serde(rename = "pieces")]
    pub(super) tasks: Vec<TaskStatus<'a>>,
}

/// One command of a controller.
#[derive(Deserialize)]
pub(super) struct CommandBody {
    #[serde(rename = "geste")]
    pub(super) action: String,
    #[serde(rename = "piece")]
    pub(super) task: String,
    #[serde(rename = "essai")]
    pub(super) attempt: u64,
}

/// A controller's response to a heartbeat, or its direct commands.
#[derive(Deserialize)]
pub(super) struct CommandsBody {
    #[serde(rename = "jeton")]
    pub(super) token: Option<u64>,
    #[serde(rename = "quart")]
    pub(super) epoch: Option<u64>,
    /// The controller that takes this worker's heartbeats.
    #[serde(rename = "rendreA")]
    pub(super) redirect_to: Option<String>,
    #[serde(rename = "consignes", default)]
    pub(super) commands: Vec<CommandBody>,
}

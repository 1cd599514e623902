//! The message bodies that workers and controllers exchange, as the worker protocol
//! defines them.

use serde::{Deserialize, Serialize};

/// The phase of a task on a worker.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum Phase {
    #[serde(rename = "pulling")]
    PullingImage,
    Running,
    Ended,
}

/// Why a task ended or wasn't started. `Full`, `Busy` and `Unknown` reject a start: the
/// machine lacks capacity, an earlier attempt hasn't ended, or the job is unknown.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum EndReason {
    Done,
    Stopped,
    Full,
    Busy,
    Unknown,
}

/// The status of a task, as reported in a heartbeat.
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

/// A worker's heartbeat, also sent in response to commands that a controller sends directly.
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

/// A controller's command. Its action is `start` (start a task), `halt` (stop it) or `reap`
/// (remove it once it has ended).
#[derive(Deserialize)]
pub(super) struct CommandBody {
    #[serde(rename = "geste")]
    pub(super) action: String,
    #[serde(rename = "piece")]
    pub(super) task: String,
    #[serde(rename = "essai")]
    pub(super) attempt: u64,
}

/// A controller's response to a heartbeat, or a request with commands.
#[derive(Deserialize)]
pub(super) struct CommandsBody {
    #[serde(rename = "jeton")]
    pub(super) token: Option<u64>,
    #[serde(rename = "quart")]
    pub(super) epoch: Option<u64>,
    /// The name of the controller to which the worker must send its heartbeats.
    #[serde(rename = "rendreA")]
    pub(super) redirect_to: Option<String>,
    #[serde(rename = "consignes", default)]
    pub(super) commands: Vec<CommandBody>,
}

//! Workers: heartbeats with the status of their tasks, and commands.

use crate::ids::{AgentEpoch, Attempt, FencingToken, TaskRef};
use serde::{Deserialize, Serialize};

/// Path of the workers' heartbeats.
pub const WORKER_HEARTBEAT_PATH: &str = "/agent/beat";
/// Path of direct commands, at a worker.
pub const WORKER_COMMANDS_PATH: &str = "/commands";

/// The phase of a task on a machine.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// It waits for its container image.
    #[serde(rename = "pulling")]
    PullingImage,
    /// It is running.
    Running,
    /// It was stopped and saves a checkpoint.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// It ended; see [`ExitReason`].
    Ended,
    /// A phase that this version doesn't know: the task counts as being on the machine.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExitReason {
    /// It completed.
    Done,
    /// It was stopped by a command.
    Stopped,
    /// It failed.
    Error,
    /// Its start was rejected: not enough free capacity.
    Full,
    /// Its start was rejected: another attempt is on the machine.
    Busy,
    /// Its start was rejected: no such job or task.
    Unknown,
    /// A reason that this version doesn't know.
    #[serde(other)]
    Other,
}

/// The status of a task in a worker's heartbeat.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Deserialize)]
pub struct TaskStatus {
    /// The task; `None`: the name can't be a task's.
    #[serde(rename = "piece", deserialize_with = "TaskRef::deserialize_name")]
    pub task: Option<TaskRef>,
    /// Its attempt.
    #[serde(rename = "essai")]
    pub attempt: Attempt,
    /// Its phase.
    #[serde(rename = "etat")]
    pub phase: TaskPhase,
    /// Why it ended.
    #[serde(rename = "motif", default)]
    pub reason: Option<ExitReason>,
    /// Whether a checkpoint of its progress was saved.
    #[serde(rename = "stored", default)]
    pub checkpointed: Option<bool>,
}

/// A worker's heartbeat.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerHeartbeat {
    /// The machine.
    #[serde(rename = "banc")]
    pub machine: String,
    /// The address that takes direct commands.
    #[serde(default)]
    pub address: String,
    /// Its type.
    #[serde(rename = "gamme")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "secteur")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "occasion")]
    pub spot: bool,
    /// Rises each time the worker's lease expires.
    #[serde(rename = "quart")]
    pub agent_epoch: AgentEpoch,
    /// Rises with every heartbeat of an agent epoch.
    #[serde(rename = "numero")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "jeton")]
    pub fencing_token: FencingToken,
    /// Seconds until the cloud takes the spot instance away.
    #[serde(rename = "preavisS", default)]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine, ended ones included.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Clone, PartialEq, Debug, Serialize)]
#[serde(tag = "geste", rename_all = "lowercase")]
pub enum Command {
    /// Start a task.
    Start {
        /// The task.
        #[serde(rename = "piece")]
        task: String,
        /// Its attempt.
        #[serde(rename = "essai")]
        attempt: Attempt,
    },
    /// Stop a task.
    #[serde(rename = "halt")]
    Stop {
        /// The task.
        #[serde(rename = "piece")]
        task: String,
        /// Its attempt.
        #[serde(rename = "essai")]
        attempt: Attempt,
        /// How many seconds it has to save a checkpoint.
        #[serde(rename = "delaiS")]
        grace_s: u64,
    },
    /// Acknowledge the end of a task, which the heartbeats leave out from then on.
    #[serde(rename = "reap")]
    Acknowledge {
        /// The task.
        #[serde(rename = "piece")]
        task: String,
        /// Its attempt.
        #[serde(rename = "essai")]
        attempt: Attempt,
    },
}

/// The response to a heartbeat.
#[derive(Debug, Serialize)]
pub struct HeartbeatResponse<'a> {
    /// The leader's fencing token.
    #[serde(rename = "jeton")]
    pub fencing_token: FencingToken,
    /// The commands, in order.
    #[serde(rename = "consignes")]
    pub commands: &'a [Command],
}

/// Commands that are sent to a worker between its heartbeats.
#[derive(Debug, Serialize)]
pub struct DirectCommands<'a> {
    /// The leader's fencing token.
    #[serde(rename = "jeton")]
    pub fencing_token: FencingToken,
    /// The agent epoch that the commands are for.
    #[serde(rename = "quart")]
    pub agent_epoch: AgentEpoch,
    /// The commands, in order.
    #[serde(rename = "consignes")]
    pub commands: &'a [Command],
}

/// Redirects a worker to another controller.
#[derive(Debug, Serialize)]
pub struct RedirectTo<'a> {
    /// The controller to send heartbeats to; `None`: any other.
    #[serde(rename = "rendreA", skip_serializing_if = "Option::is_none")]
    pub node: Option<&'a str>,
}

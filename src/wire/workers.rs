//! Workers: heartbeats with the status of their tasks, and commands.

use crate::ids::{AgentEpoch, Attempt, FencingToken, TaskRef};
use serde::{Deserialize, Serialize};

/// Workers' reports.
pub const WORKER_HEARTBEAT_PATH: &str = "/agent/beat";
/// Direct commands to a worker.
pub const WORKER_COMMANDS_PATH: &str = "/commands";

/// What a task on a machine is doing.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// It waits for its image.
    #[serde(rename = "pulling")]
    PullingImage,
    /// It runs.
    Running,
    /// It was told to stop and saves.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// It ended; see [`EndReason`].
    Ended,
    /// Anything newer than this program: on the machine, as far as we know.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExitReason {
    /// It completed.
    Done,
    /// It was stopped by command.
    Stopped,
    /// It failed.
    Error,
    /// Its start was refused: not enough room.
    Full,
    /// Its start was refused: another attempt is there.
    Busy,
    /// Its start was refused: no such job or task.
    Unknown,
    /// Anything newer than this program.
    #[serde(other)]
    Other,
}

/// A task in a worker's report.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Deserialize)]
pub struct TaskStatus {
    /// The task. `None`: its name is none that a task can have.
    #[serde(rename = "piece", deserialize_with = "TaskRef::deserialize_name")]
    pub task: Option<TaskRef>,
    /// Its attempt.
    #[serde(rename = "essai")]
    pub attempt: Attempt,
    /// What it is doing.
    #[serde(rename = "etat")]
    pub phase: TaskPhase,
    /// Why it ended.
    #[serde(rename = "motif", default)]
    pub reason: Option<ExitReason>,
    /// Whether its progress was saved.
    #[serde(rename = "stored", default)]
    pub checkpointed: Option<bool>,
}

/// A worker's report.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerHeartbeat {
    /// The machine.
    #[serde(rename = "banc")]
    pub machine: String,
    /// Where direct commands reach it.
    #[serde(default)]
    pub address: String,
    /// Its type.
    #[serde(rename = "gamme")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "secteur")]
    pub zone: String,
    /// A spot machine.
    #[serde(rename = "occasion")]
    pub spot: bool,
    /// Rises each time its lease ends.
    #[serde(rename = "quart")]
    pub agent_epoch: AgentEpoch,
    /// Rises with every report of a session.
    #[serde(rename = "numero")]
    pub sequence: u64,
    /// The highest token that it has seen.
    #[serde(rename = "jeton")]
    pub fencing_token: FencingToken,
    /// Seconds until the cloud takes it.
    #[serde(rename = "preavisS", default)]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on it, ended ones included.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// What a worker is told to do.
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
        /// How long it may save.
        #[serde(rename = "delaiS")]
        grace_s: u64,
    },
    /// Leave an ended task out of the reports.
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

/// The answer to a report.
#[derive(Debug, Serialize)]
pub struct HeartbeatResponse<'a> {
    /// Who is entitled to give commands.
    #[serde(rename = "jeton")]
    pub fencing_token: FencingToken,
    /// What the worker is to do, in order.
    #[serde(rename = "consignes")]
    pub commands: &'a [Command],
}

/// Commands sent straight to a worker.
#[derive(Debug, Serialize)]
pub struct DirectCommands<'a> {
    /// Who is entitled to give commands.
    #[serde(rename = "jeton")]
    pub fencing_token: FencingToken,
    /// The session that they are meant for.
    #[serde(rename = "quart")]
    pub agent_epoch: AgentEpoch,
    /// What the worker is to do, in order.
    #[serde(rename = "consignes")]
    pub commands: &'a [Command],
}

/// Sends a worker elsewhere.
#[derive(Debug, Serialize)]
pub struct RedirectTo<'a> {
    /// The controller to report to.
    #[serde(rename = "rendreA", skip_serializing_if = "Option::is_none")]
    pub node: Option<&'a str>,
}

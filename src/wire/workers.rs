//! Messages to and from workers: heartbeats with the status of tasks, and commands.

use crate::ids::{AgentEpoch, Attempt, FencingToken, TaskRef};
use serde::{Deserialize, Serialize};

/// Path of worker heartbeats, on a controller.
pub const WORKER_HEARTBEAT_PATH: &str = "/agent/beat";
/// Path of direct commands, on a worker.
pub const WORKER_COMMANDS_PATH: &str = "/commands";

/// The phase of a task on a machine.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// The machine is pulling the task's container image.
    #[serde(rename = "pulling")]
    PullingImage,
    /// The task is running.
    Running,
    /// The task was stopped and is saving a checkpoint.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// The task has ended, for the reason that [`TaskStatus::reason`] gives.
    Ended,
    /// A phase that this version of lilacfork doesn't know. The task counts as present on
    /// the machine.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExitReason {
    /// The task completed.
    Done,
    /// A command stopped the task.
    Stopped,
    /// The task failed.
    Error,
    /// The worker rejected the start: the machine has too little free capacity.
    Full,
    /// The worker rejected the start: another attempt of the task is on the machine.
    Busy,
    /// The worker rejected the start: the job or task doesn't exist.
    Unknown,
    /// A reason that this version of lilacfork doesn't know.
    #[serde(other)]
    Other,
}

/// The status of a task in a worker's heartbeat.
#[derive(Clone, PartialEq, Eq, Hash, Debug, Deserialize)]
pub struct TaskStatus {
    /// Task that the status is of; `None`: the reported name isn't a valid task name.
    #[serde(rename = "piece", deserialize_with = "TaskRef::deserialize_name")]
    pub task: Option<TaskRef>,
    /// Attempt at the task that the status is of.
    #[serde(rename = "essai")]
    pub attempt: Attempt,
    /// Phase of the attempt when the worker sent the heartbeat.
    #[serde(rename = "etat")]
    pub phase: TaskPhase,
    /// Reason of the end; `None` before the end.
    #[serde(rename = "motif", default)]
    pub reason: Option<ExitReason>,
    /// Whether the ended attempt saved a checkpoint; `None`: not reported.
    #[serde(rename = "stored", default)]
    pub checkpointed: Option<bool>,
}

/// The heartbeat of a worker, which describes its machine and all tasks on it.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerHeartbeat {
    /// Name of the machine.
    #[serde(rename = "banc")]
    pub machine: String,
    /// Address at which the worker accepts direct commands; may be empty.
    #[serde(default)]
    pub address: String,
    /// Name of the machine's type.
    #[serde(rename = "gamme")]
    pub machine_type: String,
    /// Zone that the machine runs in.
    #[serde(rename = "secteur")]
    pub zone: String,
    /// Whether the machine is a spot instance.
    #[serde(rename = "occasion")]
    pub spot: bool,
    /// Agent epoch, which increases each time the worker's lease expires.
    #[serde(rename = "quart")]
    pub agent_epoch: AgentEpoch,
    /// Sequence number, which increases with every heartbeat of an agent epoch.
    #[serde(rename = "numero")]
    pub sequence: u64,
    /// Highest fencing token that the worker has received.
    #[serde(rename = "jeton")]
    pub fencing_token: FencingToken,
    /// Preemption notice: seconds until the cloud reclaims the spot instance; `None`: no
    /// notice.
    #[serde(rename = "preavisS", default)]
    pub preemption_notice_s: Option<f64>,
    /// All tasks on the machine, including ended ones that aren't acknowledged yet.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command that a controller sends to a worker.
#[derive(Clone, PartialEq, Debug, Serialize)]
#[serde(tag = "geste", rename_all = "lowercase")]
pub enum Command {
    /// Starts an attempt at a task.
    Start {
        /// Name of the task.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt at the task.
        #[serde(rename = "essai")]
        attempt: Attempt,
    },
    /// Stops an attempt at a task.
    #[serde(rename = "halt")]
    Stop {
        /// Name of the task.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt at the task.
        #[serde(rename = "essai")]
        attempt: Attempt,
        /// Grace period in seconds, in which the task may save a checkpoint.
        #[serde(rename = "delaiS")]
        grace_s: u64,
    },
    /// Acknowledges the end of an attempt. The worker's later heartbeats omit it.
    #[serde(rename = "reap")]
    Acknowledge {
        /// Name of the task.
        #[serde(rename = "piece")]
        task: String,
        /// Number of the attempt at the task.
        #[serde(rename = "essai")]
        attempt: Attempt,
    },
}

/// The response to a heartbeat of a worker, which renews the worker's lease.
#[derive(Debug, Serialize)]
pub struct HeartbeatResponse<'a> {
    /// Fencing token of the leader. The worker ignores commands with a lower token than the
    /// highest one that it has received.
    #[serde(rename = "jeton")]
    pub fencing_token: FencingToken,
    /// Commands in the order in which the worker executes them.
    #[serde(rename = "consignes")]
    pub commands: &'a [Command],
}

/// Commands that a controller sends to a worker without waiting for its next heartbeat.
#[derive(Debug, Serialize)]
pub struct DirectCommands<'a> {
    /// Fencing token of the leader. The worker ignores commands with a lower token than the
    /// highest one that it has received.
    #[serde(rename = "jeton")]
    pub fencing_token: FencingToken,
    /// Agent epoch for which the commands are valid.
    #[serde(rename = "quart")]
    pub agent_epoch: AgentEpoch,
    /// Commands in the order in which the worker executes them.
    #[serde(rename = "consignes")]
    pub commands: &'a [Command],
}

/// The response that redirects a worker to another controller.
#[derive(Debug, Serialize)]
pub struct RedirectTo<'a> {
    /// Name of the controller to send heartbeats to; `None`: any other controller.
    #[serde(rename = "rendreA", skip_serializing_if = "Option::is_none")]
    pub node: Option<&'a str>,
}

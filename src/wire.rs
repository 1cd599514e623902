//! The JSON of users, workers, cloud and state service. Field names are the
//! field's English terms; the renames are what goes over the wire.

use crate::ids::{AgentEpoch, Attempt, FencingToken, JobId, TaskRef};
use crate::placement::Resources;
use lilacfork_dependencies::validation;
use serde::{Deserialize, Deserializer, Serialize};
use std::rc::Rc;

/// Users' submissions; a job's own path starts with it.
pub const USER_JOBS_PATH: &str = "/v2/runs";
/// The load balancer's probe.
pub const READY_PATH: &str = "/ready";
/// Workers' reports.
pub const WORKER_HEARTBEAT_PATH: &str = "/agent/beat";
/// Direct commands to a worker.
pub const WORKER_COMMANDS_PATH: &str = "/commands";
/// The cloud's machine types.
pub const CLOUD_CATALOG_PATH: &str = "/catalog";
/// The cloud's machines, and rentals.
pub const CLOUD_MACHINES_PATH: &str = "/machines";
/// Returns of machines.
pub const CLOUD_RELEASE_PATH: &str = "/machines/release";

/// What kind of job it is.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks that run to completion.
    Array,
    /// Replicas that run until the job is cancelled.
    Service,
    /// A gang: tasks that run together or not at all.
    #[serde(rename = "group")]
    Gang,
}

/// Most important first, so that the derived order is the serving order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Before all others.
    Critical,
    /// Before ordinary work.
    High,
    /// Ordinary work.
    Standard,
    /// What fills gaps.
    Idle,
}

/// A job as its user describes it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its id, chosen by the user.
    pub id: JobId,
    /// The class of jobs that it belongs to.
    #[serde(rename = "gabarit")]
    pub class: Rc<str>,
    /// Its team.
    #[serde(rename = "equipe")]
    pub team: Rc<str>,
    /// Its kind.
    #[serde(rename = "genre")]
    pub kind: JobKind,
    /// Its priority.
    #[serde(rename = "rang")]
    pub priority: Priority,
    /// How many tasks it has.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Cores of a task.
    pub cpus: f64,
    /// GPUs of a task.
    pub gpus: f64,
    /// Memory of a task in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// The image that a machine must have.
    #[serde(rename = "moule")]
    pub image: Rc<str>,
    /// The image's size in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// The allowed machine types; `None`: any.
    #[serde(rename = "gammes", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<Rc<str>>>,
    /// The only allowed zone.
    #[serde(rename = "secteur", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Rc<str>>,
    /// All tasks in one zone.
    #[serde(rename = "samePlace")]
    pub same_zone: bool,
    /// At most half of the tasks in one zone.
    pub spread: bool,
    /// It may use spot machines.
    #[serde(rename = "occasion")]
    pub spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "prevuS")]
    pub estimated_run_s: f64,
    /// How often a task saves by itself; 0: never.
    #[serde(rename = "jalonS")]
    pub checkpoint_interval_s: f64,
    /// How long a task takes to save when it is stopped.
    #[serde(rename = "sauvegardeS")]
    pub checkpoint_save_s: f64,
    /// When it should be done, after its submission.
    #[serde(rename = "echeanceS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any of its tasks starts.
    #[serde(
        rename = "attend",
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "null_is_none"
    )]
    pub dependencies: Vec<JobId>,
}

const MAX_TASKS: u32 = 100_000;

/// A list that may be null.
fn null_is_none<'de, D: Deserializer<'de>>(source: D) -> Result<Vec<JobId>, D::Error> {
    Ok(Option::<Vec<JobId>>::deserialize(source)?.unwrap_or_default())
}

impl JobSpec {
    /// What one task takes of its machine.
    pub fn task_request(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// Reads and checks a submission. Everything wrong with it is a 400.
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        let spec: JobSpec = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        if !valid_job_id(spec.id.as_str()) {
            return Err("id: not a job id".into());
        }
        if spec.tasks == 0 || spec.tasks > MAX_TASKS {
            return Err("pieces: out of range".into());
        }
        let amounts = [
            ("cpus", spec.cpus),
            ("gpus", spec.gpus),
            ("memoryGb", spec.memory_gb),
            ("pullGb", spec.image_gb),
            ("prevuS", spec.estimated_run_s),
            ("jalonS", spec.checkpoint_interval_s),
            ("sauvegardeS", spec.checkpoint_save_s),
            ("echeanceS", spec.deadline_s.unwrap_or(0.0)),
        ];
        for (name, amount) in amounts {
            if !amount.is_finite() || !(0.0..=1e9).contains(&amount) {
                return Err(format!("{name}: out of range"));
            }
        }
        for (name, text) in [
            ("gabarit", &spec.class),
            ("equipe", &spec.team),
            ("moule", &spec.image),
        ] {
            if text.is_empty() || text.len() > 200 {
                return Err(format!("{name}: empty or too long"));
            }
        }
        if !spec
            .dependencies
            .iter()
            .all(|need| valid_job_id(need.as_str()))
        {
            return Err("attend: not a job id".into());
        }
        validation::validate(&spec.id, &spec.dependencies).map_err(|e| format!("attend: {e}"))?;
        Ok(spec)
    }
}

/// The id alone, from a body that may otherwise be invalid.
pub fn peek_job_id(body: &[u8]) -> Option<JobId> {
    #[derive(Deserialize)]
    struct IdOnly {
        id: JobId,
    }
    let peek: IdOnly = serde_json::from_slice(body).ok()?;
    valid_job_id(peek.id.as_str()).then_some(peek.id)
}

/// `run-` and digits or letters; ids become keys of the state service, so
/// nothing that could leave its place in a path gets through.
pub fn valid_job_id(id: &str) -> bool {
    id.len() <= 100
        && id.strip_prefix("run-").is_some_and(|rest| {
            !rest.is_empty()
                && rest
                    .bytes()
                    .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
        })
}

/// A job's state as its user sees it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// No task runs.
    Pending,
    /// A task runs.
    Running,
    /// Every task is done.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

/// The answer to a user about a job.
#[derive(Debug, Serialize)]
pub struct JobStatus<'a> {
    /// The job.
    pub id: &'a JobId,
    /// Its state.
    #[serde(rename = "etat")]
    pub state: JobPhase,
    /// Tasks that are done, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks that run, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

// ---- workers ----

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

// ---- cloud ----

/// A machine type of the cloud's.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct MachineType {
    /// Its name.
    #[serde(rename = "sku")]
    pub name: Rc<str>,
    /// Cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// The image cache in GB.
    #[serde(rename = "cacheGb", default)]
    pub image_cache_gb: f64,
    /// How fast it fetches images.
    #[serde(rename = "pullGbPerS", default)]
    pub image_pull_gb_per_s: f64,
    /// The price per hour.
    #[serde(rename = "hourly")]
    pub hourly_price: f64,
    /// The price per hour as a spot machine.
    #[serde(rename = "marketPrice", default)]
    pub hourly_spot_price: f64,
    /// The usual boot time.
    #[serde(rename = "startupS")]
    pub boot_s: f64,
    /// The zones that have it.
    #[serde(rename = "secteurs")]
    pub zones: Vec<Rc<str>>,
}

impl MachineType {
    /// What a machine of the type holds.
    pub fn capacity(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }
}

/// The cloud's machine types.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalog {
    /// The machine types.
    #[serde(rename = "gammes")]
    pub types: Vec<MachineType>,
}

impl Catalog {
    /// The catalogue, if it makes sense.
    pub fn validated(self) -> Option<Catalog> {
        let fine = |t: &MachineType| {
            [
                t.cpus,
                t.gpus,
                t.memory_gb,
                t.image_cache_gb,
                t.hourly_price,
                t.hourly_spot_price,
                t.boot_s,
            ]
            .iter()
            .all(|x| x.is_finite() && *x >= 0.0)
                && t.image_pull_gb_per_s.is_finite()
        };
        (!self.types.is_empty() && self.types.iter().all(fine)).then_some(self)
    }
    /// The machine type of this name.
    pub fn find(&self, name: &str) -> Option<&MachineType> {
        self.types.iter().find(|t| &*t.name == name)
    }
}

/// A rental.
#[derive(Debug, Serialize)]
pub struct ProvisionRequest<'a> {
    /// Its name, never used twice.
    #[serde(rename = "bon")]
    pub request: &'a str,
    /// The machine type.
    #[serde(rename = "gamme")]
    pub machine_type: &'a str,
    /// The zone.
    #[serde(rename = "secteur")]
    pub zone: &'a str,
    /// Spot machines.
    #[serde(rename = "occasion")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "howMany")]
    pub count: u32,
}

/// Names of machines.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "bancs")]
    pub machines: Vec<String>,
}

/// What the cloud's list says of a machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It boots.
    #[serde(rename = "starting")]
    Booting,
    /// It runs.
    Running,
    /// It stopped by itself.
    Failed,
    /// Anything newer than this program.
    #[serde(other)]
    Other,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    pub id: String,
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
    /// What it is doing.
    #[serde(rename = "etat")]
    pub state: ListedState,
    /// Seconds since its rental.
    #[serde(rename = "heldS", default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Debug, Deserialize)]
pub struct MachineList {
    /// The machines, by name.
    #[serde(rename = "bancs")]
    pub machines: Vec<ListedMachine>,
    /// There are more.
    #[serde(rename = "truncated", default)]
    pub more: bool,
}

// ---- state service ----

/// A value in the state service.
pub type Value = serde_json::Value;

/// A key with its value.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyValue {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value.
    #[serde(rename = "v")]
    pub value: Value,
    /// The revision of its last change.
    #[serde(rename = "retouche")]
    pub mod_revision: u64,
}

/// A page of keys.
#[derive(Debug, Deserialize)]
pub struct KeyPage {
    /// The keys, in order.
    #[serde(rename = "rows")]
    pub items: Vec<KeyValue>,
    /// There are more.
    #[serde(rename = "truncated", default)]
    pub more: bool,
    /// The revision that they were read at.
    #[serde(rename = "tirage")]
    pub revision: u64,
}

/// The answer to a transaction.
#[derive(Debug, Deserialize)]
pub struct TxnResponse {
    /// The revision of the state service.
    #[serde(rename = "tirage")]
    pub revision: u64,
    /// The keys whose guards failed.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Serialize)]
pub struct Compare {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The revision that it must have; 0: it must not exist.
    #[serde(rename = "retouche")]
    pub mod_revision: u64,
}

/// A change of a transaction.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub enum WriteOp {
    /// Sets a key.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// Its value.
        #[serde(rename = "v")]
        value: Value,
        /// The lease that it ends with.
        #[serde(rename = "bail", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Txn {
    /// What must hold.
    #[serde(rename = "guards")]
    pub compares: Vec<Compare>,
    /// What it changes.
    #[serde(rename = "writes")]
    pub writes: Vec<WriteOp>,
}

impl Txn {
    /// Demands that a key has this revision.
    pub fn compare(mut self, key: impl Into<String>, version: u64) -> Self {
        self.compares.push(Compare {
            key: key.into(),
            mod_revision: version,
        });
        self
    }
    /// Sets a key.
    pub fn put(mut self, key: impl Into<String>, value: Value) -> Self {
        self.writes.push(WriteOp::Put {
            key: key.into(),
            value,
            lease: None,
        });
        self
    }
    /// Sets a key that ends with a lease.
    pub fn put_leased(mut self, key: impl Into<String>, value: Value, lease: u64) -> Self {
        self.writes.push(WriteOp::Put {
            key: key.into(),
            value,
            lease: Some(lease),
        });
        self
    }
    /// Removes a key.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(WriteOp::Delete { key: key.into() });
        self
    }
}

/// A lease that was granted.
#[derive(Debug, Deserialize)]
pub struct LeaseGranted {
    /// Its number.
    #[serde(rename = "bail")]
    pub lease: u64,
}

/// A change that was seen.
#[derive(Debug, Deserialize)]
pub struct WatchEvent {
    /// The key that was set.
    #[serde(rename = "set", default)]
    pub put: Option<String>,
    /// The key that was removed.
    #[serde(rename = "drop", default)]
    pub delete: Option<String>,
    /// The value that was set.
    #[serde(rename = "v", default)]
    pub value: Value,
    /// The revision of the change.
    #[serde(rename = "retouche")]
    pub mod_revision: u64,
}

/// The answer to a watch.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// The revision up to which it tells.
    #[serde(rename = "tirage")]
    pub revision: u64,
    /// The changes since.
    pub events: Vec<WatchEvent>,
}

//! The keys of a scenario file.

use lilacfork::wire::users::{JobKind, Priority};
use serde::{Deserialize, Serialize};

/// A load test: sizes, rates, classes of jobs and faults.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The seed of all random numbers.
    pub seed: u64,
    /// How long users submit, in seconds.
    pub run_s: f64,
    /// The warm-up in seconds: the initial jobs are spread over it, and figures leave it
    /// out.
    pub warm_s: f64,
    /// The zones, in the order in which machines are spread over them.
    pub zones: Vec<String>,
    /// How many teams share the fleet.
    pub teams: u32,
    /// A team's limit, in GPUs.
    pub team_gpus_max: f64,
    /// The simulated workers.
    pub workers: WorkerSettings,
    /// The real controllers.
    pub controllers: ControllerSettings,
    /// The simulated key-value store.
    pub state: StateSettings,
    /// The simulated cloud.
    pub cloud: CloudSettings,
    /// The machine types.
    #[serde(rename = "machine_type")]
    pub machine_types: Vec<TypeSettings>,
    /// The classes of jobs.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSettings>,
    /// Controllers repair each task of a multi-host replica independently: what replica
    /// groups are compared with. Rules on replicas aren't checked then.
    #[serde(default, rename = "parts_alone")]
    pub ungrouped_replicas: bool,
    /// The faults to inject.
    #[serde(rename = "fault", default)]
    pub faults: Vec<FaultSettings>,
}

/// The simulated workers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSettings {
    /// Up from the start.
    pub count: u32,
    /// More machines that can be provisioned.
    pub spare: u32,
    /// Workers of one process.
    pub per_process: u32,
    /// The heartbeat interval in seconds.
    pub report_s: f64,
    /// Their lease, in seconds.
    pub lease_s: f64,
    /// Within how many seconds a cancelled job's tasks have to be gone.
    pub cancel_s: f64,
}

/// The real controllers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSettings {
    /// How many.
    pub count: u32,
    /// The cores that each may use, by its settings.
    pub cores: f64,
    /// The memory that each may use, by its settings, in MB.
    pub ram_mb: f64,
    /// Sockets of each.
    pub max_connections: u32,
}

/// The simulated key-value store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateSettings {
    /// Requests per second.
    pub rps: f64,
    /// Changes per second.
    pub write_rps: f64,
    /// The size of a value.
    pub value_kb: f64,
    /// Changes in a transaction.
    pub txn_ops: u32,
    /// The delay of each response, in milliseconds.
    #[serde(default, rename = "answer_ms")]
    pub response_delay_ms: f64,
    /// The limits that a fault `limits_fall` brings into force.
    pub next: Option<NextStateSettings>,
}

/// Limits of the simulated key-value store that the settings announce.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NextStateSettings {
    /// Changes per second.
    pub write_rps: f64,
    /// The size of a value.
    pub value_kb: f64,
    /// Changes in a transaction.
    pub txn_ops: u32,
}

/// The simulated cloud.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudSettings {
    /// Requests per second.
    pub rps: f64,
    /// By how much its list lags, in seconds.
    pub list_lag_s: f64,
}

/// A machine type.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TypeSettings {
    /// Its name.
    pub name: String,
    /// Its share of the machines, as a weight.
    pub weight: u32,
    /// Cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
    /// Image cache in GB.
    pub cache_gb: f64,
    /// How fast images are fetched.
    pub fetch_gb_per_s: f64,
    /// How long a boot takes, in seconds.
    pub boot_s: f64,
    /// Price an hour.
    pub price: f64,
}

/// A class of jobs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// Array or service.
    pub kind: JobKind,
    /// Its priority.
    pub priority: Priority,
    /// Numbers of tasks, one of which is chosen at random for each job.
    pub tasks: Vec<u32>,
    /// Cores of a task.
    pub cpus: f64,
    /// GPUs of a task.
    pub gpus: f64,
    /// Memory of a task in GB.
    pub memory_gb: f64,
    /// How many images its jobs use.
    pub images: u32,
    /// The size of each.
    pub image_gb: f64,
    /// Shortest and longest run of a task, or lifetime of a service, in seconds.
    pub run_s: [f64; 2],
    /// Jobs at the start.
    pub initial: u32,
    /// Jobs per second after that.
    pub rate: f64,
    /// So many consecutive tasks of a service form a multi-host replica; 0: each task is
    /// a replica by itself.
    #[serde(default, rename = "parts")]
    pub tasks_per_replica: u32,
    /// At most half of the tasks in one zone.
    #[serde(default)]
    pub spread: bool,
    /// Seconds within which its tasks should start.
    pub start_within_s: Option<f64>,
    /// The deadline, in times of the longest run.
    pub deadline_runs: Option<f64>,
    /// Share of its jobs that their users cancel early.
    #[serde(default)]
    pub cancelled: f64,
    /// Classes that come earlier in a pipeline: each job depends on those with its number,
    /// and is submitted once they are accepted.
    #[serde(default)]
    pub after: Vec<String>,
}

/// A fault at a set time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSettings {
    /// Seconds after the warm-up.
    pub at_s: f64,
    /// What happens.
    pub kind: FaultKind,
    /// How long, where that has a meaning.
    #[serde(default)]
    pub for_s: f64,
    /// How many machines, for `replace` and `silent`.
    #[serde(default)]
    pub count: u32,
    /// The machines are hit at random moments within so many seconds.
    #[serde(default)]
    pub over_s: f64,
    /// The zone, for `zone_cut`.
    pub zone: Option<String>,
}

/// The kinds of faults.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The leader is killed, and started again after `for_s`.
    LeaderKill,
    /// The leader's process is paused for `for_s`.
    LeaderPause,
    /// Every controller in turn is killed and started again at once.
    RestartAll,
    /// A process of simulated workers, which stands for a rack, ends for good.
    RackLost,
    /// A process of simulated workers is paused for `for_s`.
    RackPaused,
    /// A network partition separates a zone's workers from all controllers for `for_s`.
    ZoneCut,
    /// The key-value store rejects all requests for `for_s`.
    StateDown,
    /// The key-value store rejects the leader's requests for `for_s`.
    StateRefusesLeader,
    /// The key-value store's announced limits come into force.
    LimitsFall,
    /// Machines fail, and the cloud lists them as failed.
    Replace,
    /// Machines are unreachable for `for_s`, and come back.
    Silent,
}

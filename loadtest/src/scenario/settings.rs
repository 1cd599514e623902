//! The sections and keys of a scenario file.

use lilacfork::wire::users::{JobKind, Priority};
use serde::{Deserialize, Serialize};

/// A load test: fleet size, service limits, classes of jobs and faults to inject.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The seed of all random number generators.
    pub seed: u64,
    /// How long users submit jobs after the warm-up, in seconds. The report covers this time.
    pub run_s: f64,
    /// The warm-up in seconds. The initial jobs are submitted during the warm-up, and the
    /// report excludes it.
    pub warm_s: f64,
    /// The names of the zones, in the order in which machine numbers cycle through them.
    pub zones: Vec<String>,
    /// The number of teams that share the fleet.
    pub teams: u32,
    /// The quota of each team: the largest number of GPUs that its tasks may use.
    pub team_gpus_max: f64,
    /// Size and protocol settings of the simulated workers.
    pub workers: WorkerSettings,
    /// Number and resource limits of the real controllers.
    pub controllers: ControllerSettings,
    /// Limits and response delay of the simulated key-value store.
    pub state: StateSettings,
    /// Rate limit and list lag of the simulated cloud.
    pub cloud: CloudSettings,
    /// The machine types that the simulated cloud offers.
    #[serde(rename = "machine_type")]
    pub machine_types: Vec<MachineTypeSettings>,
    /// The classes of jobs that users submit.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSettings>,
    /// Disables replica groups: controllers repair each task of a multi-host replica
    /// independently, as a baseline for comparison. The checker skips the rules on replicas.
    #[serde(default, rename = "parts_alone")]
    pub ungrouped_replicas: bool,
    /// The faults to inject after the warm-up.
    #[serde(rename = "fault", default)]
    pub faults: Vec<FaultSettings>,
}

/// The section `workers`: the simulated workers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSettings {
    /// The number of machines that run from the start.
    pub count: u32,
    /// The number of further machines that the cloud can provision.
    pub spare: u32,
    /// The number of workers that one simulator process runs.
    pub per_process: u32,
    /// The heartbeat interval in seconds.
    pub report_s: f64,
    /// The lease duration of a worker in seconds. A worker ends all its tasks when its lease
    /// expires.
    pub lease_s: f64,
    /// The time in seconds within which all tasks of a cancelled job must have ended.
    pub cancel_s: f64,
}

/// The section `controllers`: the real controller processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSettings {
    /// The number of controllers.
    pub count: u32,
    /// The number of cores that each controller's settings allow it to use.
    pub cores: f64,
    /// The memory in MB that each controller's settings allow it to use.
    pub ram_mb: f64,
    /// The largest number of connections that each controller may hold.
    pub max_connections: u32,
}

/// The section `state`: the simulated key-value store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateSettings {
    /// The rate limit in requests per second.
    pub rps: f64,
    /// The rate limit in writes per second.
    pub write_rps: f64,
    /// The largest size of a value in KiB.
    pub value_kb: f64,
    /// The largest number of writes in a transaction.
    pub txn_ops: u32,
    /// The delay of each response in milliseconds; 0 responds immediately.
    #[serde(default, rename = "answer_ms")]
    pub response_delay_ms: f64,
    /// The limits that apply after a fault `limits_fall`, announced to the controllers from
    /// the start.
    pub next: Option<NextStateSettings>,
}

/// The section `state.next`: limits of the key-value store that the controllers' settings
/// announce.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NextStateSettings {
    /// The rate limit in writes per second.
    pub write_rps: f64,
    /// The largest size of a value in KiB.
    pub value_kb: f64,
    /// The largest number of writes in a transaction.
    pub txn_ops: u32,
}

/// The section `cloud`: the simulated cloud.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudSettings {
    /// The rate limit in requests per second that the controllers' settings name. The
    /// simulated cloud doesn't enforce it.
    pub rps: f64,
    /// The time in seconds until a provisioned machine appears in the machine list.
    pub list_lag_s: f64,
}

/// A section `machine_type`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineTypeSettings {
    /// The name under which the catalog lists the type.
    pub name: String,
    /// The type's share of the machines, relative to the weights of the other types.
    pub weight: u32,
    /// The number of CPU cores of a machine.
    pub cpus: f64,
    /// The number of GPUs of a machine.
    pub gpus: f64,
    /// The memory of a machine in GB.
    pub memory_gb: f64,
    /// The capacity of a machine's image cache in GB.
    pub cache_gb: f64,
    /// The rate in GB per second at which a machine pulls images, shared by concurrent pulls.
    #[serde(rename = "fetch_gb_per_s")]
    pub pull_gb_per_s: f64,
    /// The boot time in seconds.
    pub boot_s: f64,
    /// The price per hour.
    pub price: f64,
}

/// A section `class`: jobs with the same requirements.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// The name by which `after` and the report refer to the class.
    pub name: String,
    /// Whether the jobs are arrays or services.
    pub kind: JobKind,
    /// The priority of the class's jobs.
    pub priority: Priority,
    /// Possible numbers of tasks; one is chosen at random for each job.
    pub tasks: Vec<u32>,
    /// The number of CPU cores that a task needs.
    pub cpus: f64,
    /// The number of GPUs that a task needs.
    pub gpus: f64,
    /// The memory that a task needs, in GB.
    pub memory_gb: f64,
    /// The number of different images, one of which is chosen at random for each job.
    pub images: u32,
    /// The size of each image in GB.
    pub image_gb: f64,
    /// The shortest and longest run time of a task, or lifetime of a service, in seconds.
    pub run_s: [f64; 2],
    /// The number of initial jobs, which are submitted during the warm-up.
    pub initial: u32,
    /// The mean arrival rate in jobs per second after the initial jobs.
    pub rate: f64,
    /// The number of consecutive tasks of a service that form a multi-host replica; 0 if
    /// each task is a replica by itself.
    #[serde(default, rename = "parts")]
    pub tasks_per_replica: u32,
    /// Limits each zone to half of a job's tasks, rounded up.
    #[serde(default)]
    pub spread: bool,
    /// The service-level objective for the wait until a task starts, in seconds; `None` if
    /// the class has none.
    pub start_within_s: Option<f64>,
    /// The deadline of a job as a multiple of the longest run time; `None` if the class has
    /// no deadline.
    pub deadline_runs: Option<f64>,
    /// The share of jobs, from 0 to 1, that their users cancel early.
    #[serde(default)]
    pub cancelled: f64,
    /// The names of the classes that precede this one in a pipeline. Each job depends on the
    /// jobs with the same number in these classes, and is submitted once they are accepted.
    #[serde(default)]
    pub after: Vec<String>,
}

/// A section `fault`: a fault to inject at a set time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSettings {
    /// The time of the injection, in seconds after the end of the warm-up.
    pub at_s: f64,
    /// The kind of fault, which determines the keys that apply.
    pub kind: FaultKind,
    /// The duration in seconds, for the kinds whose description names `for_s`.
    #[serde(default)]
    pub for_s: f64,
    /// The number of machines, for `replace` and `silent`.
    #[serde(default)]
    pub count: u32,
    /// The length in seconds of the period in which the machines are affected at random
    /// times, for `replace` and `silent`.
    #[serde(default)]
    pub over_s: f64,
    /// The name of the zone, for `zone_cut`.
    pub zone: Option<String>,
}

/// The kinds of faults.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The leader is killed, and restarted after `for_s`.
    LeaderKill,
    /// The leader's process is paused for `for_s`.
    LeaderPause,
    /// The controllers are killed one after another, and each is restarted shortly after.
    RestartAll,
    /// A process of simulated workers, which represents a rack, is killed and not restarted.
    /// The cloud lists its machines as failed.
    RackLost,
    /// A process of simulated workers is paused for `for_s`.
    RackPaused,
    /// A network partition separates a zone's workers from all controllers for `for_s`.
    ZoneCut,
    /// The key-value store rejects all requests for `for_s`.
    StateDown,
    /// The key-value store rejects the leader's requests for `for_s`.
    StateRefusesLeader,
    /// The key-value store applies the limits of `state.next`.
    LimitsFall,
    /// Machines fail, and the cloud lists them as failed.
    Replace,
    /// Machines are isolated for `for_s` and then reachable again.
    Silent,
}

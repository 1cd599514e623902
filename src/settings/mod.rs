//! The platform's settings file (TOML). The values of known keys are checked. Unknown
//! keys are ignored, because later versions of the platform may add keys.

mod validation;

pub use validation::{InvalidSetting, SettingsError};

use crate::reactor::{Endpoints, ResourceBounds};
use crate::wire::users::JobSpec;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::Path;
use validation::{is_not_negative, InvalidKey};

/// The settings that the platform writes for one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of this controller, unique in the deployment.
    pub node_name: String,
    /// Zone that this controller runs in.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address on which this controller accepts requests of users and workers.
    pub client_listen: SocketAddrV4,
    /// Address on which this controller accepts requests of other controllers.
    #[serde(rename = "back")]
    pub peer_listen: SocketAddrV4,
    /// The controllers of the deployment. The list may include this controller.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// Addresses of the services that this controller uses.
    pub services: ServiceAddresses,
    /// Settings that all controllers of the deployment share.
    #[serde(rename = "settings")]
    pub site: SiteSettings,
}

/// A controller as the other controllers see it.
#[derive(Clone, Debug, Deserialize)]
pub struct PeerSettings {
    /// The peer's `node_name`.
    #[serde(rename = "node_name")]
    pub name: String,
    /// Zone that the peer runs in.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address on which the peer accepts requests of other controllers.
    #[serde(rename = "peer_addr")]
    pub address: SocketAddrV4,
}

/// Addresses of the services that controllers use.
#[derive(Clone, Debug, Deserialize)]
pub struct ServiceAddresses {
    /// Address of the cloud.
    pub cloud: SocketAddrV4,
    /// Address of the key-value store.
    #[serde(rename = "state")]
    pub kv_store: SocketAddrV4,
}

/// The settings of the deployment, which all controllers share.
#[derive(Clone, Debug, Deserialize)]
pub struct SiteSettings {
    /// Names of the zones in which machines may run.
    pub zones: Vec<String>,
    /// Largest difference between the wall clocks of two machines.
    #[serde(rename = "skew_ms", default)]
    pub max_clock_skew_ms: f64,
    /// Teams that may submit jobs, with their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives of the deployment's jobs.
    #[serde(default)]
    pub objectives: Vec<ServiceLevelObjective>,
    /// Heartbeat, lease and cancellation times of the workers.
    pub workers: WorkerTiming,
    /// Limits that the key-value store sets on its clients.
    #[serde(rename = "state")]
    pub kv_store: KvStoreLimits,
    /// Limits that the cloud sets on its clients.
    pub cloud: CloudLimits,
    /// Resources that one controller may use.
    pub limits: ProcessLimits,
}

impl SiteSettings {
    /// Returns whether any service-level objective is for this class.
    pub fn has_objective_for_class(&self, class: &str) -> bool {
        self.objectives
            .iter()
            .any(|objective| objective.is_for_class(class))
    }
}

/// A team with its quota, in resources that its running tasks take. 0 means no guarantee
/// or no limit.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name that jobs give as their team.
    pub name: String,
    /// Guaranteed processor cores.
    #[serde(default)]
    pub cpus: f64,
    /// Limit on processor cores.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Limit on GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective on the waiting time or the completion of jobs. An objective
/// of an unknown kind applies to no job.
#[derive(Clone, Debug, Deserialize)]
pub struct ServiceLevelObjective {
    /// The quantity that is bounded: `wait` (time until a job starts), `finished` (time
    /// until a job is done) or `deadline` (completion in relation to the job's deadline).
    pub kind: String,
    /// Class of the jobs that the objective is for; `None`: it applies to no job.
    pub class: Option<String>,
    /// Bound in seconds, for the kinds `wait` and `finished`.
    pub within_s: Option<f64>,
    /// Share of jobs that should meet the objective, from 0 to 1.
    pub share: Option<f64>,
    /// Bound as a multiple of a job's deadline, for the kind `deadline`.
    #[serde(rename = "times")]
    pub deadline_multiple: Option<f64>,
}

impl ServiceLevelObjective {
    fn is_for_class(&self, class: &str) -> bool {
        self.class.as_deref() == Some(class)
    }

    fn within_ms(&self) -> Option<u64> {
        self.within_s
            .filter(|seconds| is_not_negative(*seconds))
            .map(|seconds| (seconds * 1000.0) as u64)
    }
}

/// Times that workers keep, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct WorkerTiming {
    /// Interval between two heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// Duration of a worker's lease, which each heartbeat response renews.
    pub lease_s: f64,
    /// Time after a cancellation by which no task of the job may run any more.
    pub cancel_s: f64,
}

/// Limits of the key-value store. The rates are for all controllers together.
#[derive(Clone, Debug, Deserialize)]
pub struct KvStoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Write operations per second.
    pub write_rps: f64,
    /// Largest value in kilobytes (1024 bytes).
    pub value_kb: f64,
    /// Most write operations in a transaction.
    pub txn_ops: usize,
    /// Announced limits, which apply from some later time on. The store gives no notice when
    /// they come into force.
    #[serde(rename = "next", default)]
    pub announced: Option<AnnouncedKvStoreLimits>,
}

/// Announced limits of the key-value store. A limit that is `None` doesn't change.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct AnnouncedKvStoreLimits {
    /// Requests per second.
    pub rps: Option<f64>,
    /// Write operations per second.
    pub write_rps: Option<f64>,
    /// Largest value in kilobytes (1024 bytes).
    pub value_kb: Option<f64>,
    /// Most write operations in a transaction.
    pub txn_ops: Option<usize>,
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second that the cloud accepts.
    pub rps: f64,
    /// Longest time by which the machine list lags behind the cloud's state.
    pub list_lag_s: f64,
}

/// Resources that one controller may use.
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessLimits {
    /// Processor cores, possibly a fraction.
    pub cores: f64,
    /// Memory in megabytes.
    pub ram_mb: f64,
    /// Connections open at once, incoming and outgoing together.
    pub max_connections: usize,
}

impl ProcessLimits {
    /// Returns the bounds on the reactor's resources.
    pub fn reactor_bounds(&self) -> ResourceBounds {
        ResourceBounds {
            max_connections: self.max_connections,
            ram_mb: self.ram_mb,
        }
    }
}

impl Settings {
    /// Reads, parses and checks the settings file at `path`.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Settings::parse(&text, &file),
            Err(error) => Err(SettingsError::Unreadable {
                file,
                reason: error.to_string(),
            }),
        }
    }

    /// Parses and checks the text of a settings file. `file` is the path that errors name.
    pub fn parse(text: &str, file: &str) -> Result<Settings, SettingsError> {
        let settings: Settings =
            toml::from_str(text).map_err(|error| SettingsError::Unreadable {
                file: file.to_string(),
                reason: error.to_string().trim().replace('\n', " "),
            })?;
        settings
            .check()
            .map_err(|InvalidKey { key, reason }| SettingsError::InvalidKey {
                file: file.to_string(),
                key,
                reason,
            })?;
        Ok(settings)
    }

    /// Returns the addresses on which the controller listens and those of the services.
    pub fn endpoints(&self) -> Endpoints {
        Endpoints {
            client: self.client_listen,
            peer: self.peer_listen,
            kv_store: self.services.kv_store,
            cloud: self.services.cloud,
        }
    }

    /// Returns the team of this name; `None` if the settings don't list it, in which case its
    /// jobs are rejected.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.site.teams.iter().find(|team| team.name == name)
    }

    /// Returns whether a controller runs in this zone.
    pub fn has_controller(&self, zone: &str) -> bool {
        self.zone == zone || self.peers.iter().any(|peer| peer.zone == zone)
    }

    /// Returns how far the cancellation watermark may lag behind for leases to be renewed.
    /// A lease renewed at the largest lag has to expire before `cancel_s` has passed since
    /// the watermark. The time to spare, a heartbeat interval or a twentieth of `cancel_s`
    /// if that is longer, is for a stop command that is being sent when the watermark stops
    /// advancing.
    pub fn max_cancellation_lag_ms(&self) -> u64 {
        let workers = &self.site.workers;
        let spare_s = workers.heartbeat_s.max(workers.cancel_s / 20.0);
        let lag_s = workers.cancel_s - workers.lease_s - spare_s;
        (lag_s.max(0.0) * 1000.0) as u64
    }

    /// Returns the longest time after a machine's last heartbeat for which its tasks may
    /// keep running on leases from a controller that can't learn of new cancellations.
    pub fn max_task_survival_ms(&self) -> u64 {
        let workers = &self.site.workers;
        self.max_cancellation_lag_ms() + ((workers.lease_s + workers.heartbeat_s) * 1000.0) as u64
    }

    /// Returns the objectives of this kind for the class.
    fn objectives<'a>(
        &'a self,
        kind: &'static str,
        class: &'a str,
    ) -> impl Iterator<Item = &'a ServiceLevelObjective> + 'a {
        self.site
            .objectives
            .iter()
            .filter(move |objective| objective.kind == kind && objective.is_for_class(class))
    }

    /// Returns the shortest objective of the class on waiting time, in milliseconds.
    pub fn wait_slo_ms(&self, class: &str) -> Option<u64> {
        self.objectives("wait", class)
            .filter_map(ServiceLevelObjective::within_ms)
            .min()
    }

    /// Returns the objective on waiting time for which other tasks may be preempted or
    /// displaced. Only jobs without a deadline have one, for example services, which have
    /// no other objective. Jobs with a deadline wait in the order of their deadlines, where
    /// their objective on waiting time counts as an additional deadline.
    pub fn start_slo_ms(&self, spec: &JobSpec) -> Option<u64> {
        match spec.deadline_s {
            Some(_) => None,
            None => self.wait_slo_ms(&spec.class),
        }
    }

    /// Returns the objectives on completion for the class: the times after submission, in
    /// milliseconds, by which a job should be done regardless of its own deadline.
    pub fn finish_slos_ms<'a>(&'a self, class: &'a str) -> impl Iterator<Item = u64> + 'a {
        self.objectives("finished", class)
            .filter_map(ServiceLevelObjective::within_ms)
    }

    /// Returns the multiples of its deadline by which a job of the class should be done, in
    /// ascending order. The deadline itself, a multiple of 1, is always included.
    pub fn deadline_multiples(&self, class: &str) -> Vec<f64> {
        let mut multiples: Vec<f64> = self
            .objectives("deadline", class)
            .filter_map(|objective| objective.deadline_multiple)
            .filter(|multiple| multiple.is_finite() && *multiple > 0.0)
            .collect();
        multiples.push(1.0);
        multiples.sort_by(f64::total_cmp);
        multiples.dedup();
        multiples
    }
}

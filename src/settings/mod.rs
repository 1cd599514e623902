//! The platform's settings file (TOML). Unknown keys are ignored, since new ones may
//! come up; the known ones are checked.

mod validation;

pub use validation::{InvalidSetting, SettingsError};

use crate::reactor::{Endpoints, ResourceBounds};
use crate::wire::users::JobSpec;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::Path;
use validation::{is_not_negative, InvalidKey};

/// The platform's settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This controller's name.
    pub node_name: String,
    /// The zone that it is in.
    #[serde(rename = "domain")]
    pub zone: String,
    /// The address for users and workers.
    pub client_listen: SocketAddrV4,
    /// The address for other controllers.
    #[serde(rename = "back")]
    pub peer_listen: SocketAddrV4,
    /// The other controllers; this one may be among them.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// The addresses of the services that it uses.
    pub services: Services,
    /// The settings of the deployment.
    #[serde(rename = "settings")]
    pub site: Site,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct PeerSettings {
    /// Its name.
    #[serde(rename = "node_name")]
    pub name: String,
    /// The zone that it is in.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Its address for other controllers.
    #[serde(rename = "peer_addr")]
    pub addr: SocketAddrV4,
}

/// Addresses of the services.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud.
    pub cloud: SocketAddrV4,
    /// The key-value store.
    pub state: SocketAddrV4,
}

/// The settings of the deployment, the same for all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct Site {
    /// The zones.
    pub zones: Vec<String>,
    /// How far the clocks of two machines may differ.
    #[serde(default)]
    pub skew_ms: f64,
    /// The teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The service-level objectives (SLO).
    #[serde(default)]
    pub objectives: Vec<ServiceLevelObjective>,
    /// The workers' intervals.
    pub workers: Workers,
    /// The key-value store's limits.
    pub state: StateLimits,
    /// The cloud's limits.
    pub cloud: CloudLimits,
    /// The resources that a controller may use.
    pub limits: ProcessLimits,
}

impl Site {
    /// Whether a service-level objective is about this class.
    pub fn names_class(&self, class: &str) -> bool {
        self.objectives
            .iter()
            .any(|objective| objective.is_for_class(class))
    }
}

/// A team's quota: its guarantee and its limit; 0 is none.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed processor cores.
    #[serde(default)]
    pub cpus: f64,
    /// The limit of processor cores.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// The limit of GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective on waiting or finishing. Unknown kinds are kept as they are
/// and match nothing.
#[derive(Clone, Debug, Deserialize)]
pub struct ServiceLevelObjective {
    /// What it is about: `wait`, `finished` or `deadline`.
    pub kind: String,
    /// The class of jobs that it is for.
    pub class: Option<String>,
    /// The time that it names.
    pub within_s: Option<f64>,
    /// The share of jobs that should meet it.
    pub share: Option<f64>,
    /// The multiple of the deadline that it names.
    pub times: Option<f64>,
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

/// The workers' intervals.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// The lease that an answered heartbeat renews.
    pub lease_s: f64,
    /// The time within which a cancelled job's tasks are gone.
    pub cancel_s: f64,
}

/// The key-value store's limits.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Write operations per second.
    pub write_rps: f64,
    /// The size of a value.
    pub value_kb: f64,
    /// Write operations in a transaction.
    pub txn_ops: usize,
    /// The limits that it will have from some later time on, without notice.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// Announced limits of the key-value store. What isn't named stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct NextStateLimits {
    /// Requests per second.
    pub rps: Option<f64>,
    /// Write operations per second.
    pub write_rps: Option<f64>,
    /// The size of a value.
    pub value_kb: Option<f64>,
    /// Write operations in a transaction.
    pub txn_ops: Option<usize>,
}

/// The cloud's limits.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// How far the machine list lags behind.
    pub list_lag_s: f64,
}

/// The resources that a controller may use.
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessLimits {
    /// Processor cores.
    pub cores: f64,
    /// Memory in MB.
    pub ram_mb: f64,
    /// Connections.
    pub max_connections: usize,
}

impl ProcessLimits {
    /// The bounds of the reactor.
    pub fn bounds(&self) -> ResourceBounds {
        ResourceBounds {
            max_connections: self.max_connections,
            ram_mb: self.ram_mb,
        }
    }
}

impl Settings {
    /// Reads and checks a file.
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

    /// Parses and checks the text of a file; `file` is named in errors.
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

    /// The addresses on which it listens, and those of its services.
    pub fn endpoints(&self) -> Endpoints {
        Endpoints {
            client: self.client_listen,
            peer: self.peer_listen,
            kv_store: self.services.state,
            cloud: self.services.cloud,
        }
    }

    /// The team of this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.site.teams.iter().find(|team| team.name == name)
    }

    /// Whether a controller is in this zone.
    pub fn has_controller(&self, zone: &str) -> bool {
        self.zone == zone || self.peers.iter().any(|peer| peer.zone == zone)
    }

    /// How long after the cancellation watermark leases may be renewed: a lease renewed at
    /// the end of it has to end within the time a cancellation has, with a heartbeat
    /// interval, or a twentieth of that time, to spare for a stop command that was just
    /// being sent when the watermark stood still.
    pub fn max_cancellation_lag_ms(&self) -> u64 {
        let workers = &self.site.workers;
        let spare_s = workers.heartbeat_s.max(workers.cancel_s / 20.0);
        let lag_s = workers.cancel_s - workers.lease_s - spare_s;
        (lag_s.max(0.0) * 1000.0) as u64
    }

    /// How long after a machine's last heartbeat its tasks may survive by leases that a
    /// controller renews without knowing of new cancellations.
    pub fn max_task_survival_ms(&self) -> u64 {
        let workers = &self.site.workers;
        self.max_cancellation_lag_ms() + ((workers.lease_s + workers.heartbeat_s) * 1000.0) as u64
    }

    /// The class's objectives of this kind.
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

    /// The class's objective on waiting, in milliseconds.
    pub fn wait_slo_ms(&self, class: &str) -> Option<u64> {
        self.objectives("wait", class)
            .filter_map(ServiceLevelObjective::within_ms)
            .min()
    }

    /// The objective on waiting for which other work is preempted or displaced: that of
    /// jobs without a deadline, such as services, which have no other objective. Jobs with
    /// a deadline wait in the order of their deadlines, in which their objective on waiting
    /// is one more date.
    pub fn start_slo_ms(&self, spec: &JobSpec) -> Option<u64> {
        match spec.deadline_s {
            Some(_) => None,
            None => self.wait_slo_ms(&spec.class),
        }
    }

    /// The times after its submission, in milliseconds, by which a job of the
    /// class should be done whatever its own deadline.
    pub fn finish_slos_ms<'a>(&'a self, class: &'a str) -> impl Iterator<Item = u64> + 'a {
        self.objectives("finished", class)
            .filter_map(ServiceLevelObjective::within_ms)
    }

    /// The multiples of its deadline by which the class's jobs should be
    /// done, in order; the deadline itself is always one.
    pub fn deadline_multiples(&self, class: &str) -> Vec<f64> {
        let mut multiples: Vec<f64> = self
            .objectives("deadline", class)
            .filter_map(|objective| objective.times)
            .filter(|multiple| multiple.is_finite() && *multiple > 0.0)
            .collect();
        multiples.push(1.0);
        multiples.sort_by(f64::total_cmp);
        multiples.dedup();
        multiples
    }
}

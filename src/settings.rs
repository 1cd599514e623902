//! The platform's settings file (TOML). Unknown fields are ignored, since new
//! ones may come; the known ones are checked.

use crate::reactor::{Endpoints, ResourceBounds};
use crate::wire::users::JobSpec;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::Path;
use thiserror::Error;

/// What is wrong with the platform's settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{file}: {why}")]
    /// The file can't be read.
    Read {
        /// The file.
        file: String,
        /// Why.
        why: String,
    },
    #[error("{file}: {key}: {why}")]
    /// A key's value can't be taken.
    Key {
        /// The file.
        file: String,
        /// The key.
        key: String,
        /// Why.
        why: String,
    },
}

/// An idle controller takes 1 MB, one that leads 150 machines 2.5 MB, and
/// requests up to a quarter of the whole.
const LEAST_RAM_MB: f64 = 8.0;

/// A job's end takes two changes, and a transaction should hold more than one.
const LEAST_TXN_OPS: usize = 4;

/// A job's own record, cut down to what its cancellation needs, fits into this.
const LEAST_NEXT_VALUE_KB: f64 = 2.0;

/// The platform's settings of one controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This controller's name.
    pub node_name: String,
    /// The zone that it stands in.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Where users and workers are taken.
    pub client_listen: SocketAddrV4,
    /// Where other controllers are taken.
    #[serde(rename = "back")]
    pub peer_listen: SocketAddrV4,
    /// The other controllers; this one may be among them.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// The services that it uses.
    pub services: Services,
    /// The deployment.
    #[serde(rename = "settings")]
    pub site: Site,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct PeerSettings {
    /// Its name.
    #[serde(rename = "node_name")]
    pub name: String,
    /// The zone that it stands in.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Where it takes controllers' messages.
    #[serde(rename = "peer_addr")]
    pub addr: SocketAddrV4,
}

/// Addresses of the services.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud.
    pub cloud: SocketAddrV4,
    /// The state service.
    pub state: SocketAddrV4,
}

/// The deployment, the same for all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct Site {
    /// The zones.
    pub zones: Vec<String>,
    /// How far the times of day of two machines may differ.
    #[serde(default)]
    pub skew_ms: f64,
    /// The teams.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// What the users expect.
    #[serde(default)]
    pub objectives: Vec<ServiceLevelObjective>,
    /// The workers' intervals.
    pub workers: Workers,
    /// The state service's limits.
    pub state: StateLimits,
    /// The cloud's limits.
    pub cloud: CloudLimits,
    /// What a controller may use.
    pub limits: ProcessLimits,
}

/// A team's guarantee and limit; 0 is none.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed cores.
    #[serde(default)]
    pub cpus: f64,
    /// Most cores.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs.
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim on starting or finishing. Kinds and fields that are not known are
/// kept as they come and simply match nothing.
#[derive(Clone, Debug, Deserialize)]
pub struct ServiceLevelObjective {
    /// What is aimed at.
    pub kind: String,
    /// The class that it is about.
    pub class: Option<String>,
    /// The time that it names.
    pub within_s: Option<f64>,
    /// The share of jobs that should keep it.
    pub share: Option<f64>,
    /// The multiple of the deadline that it names.
    pub times: Option<f64>,
}

/// The workers' intervals.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Between two reports.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// The lease that an answered report renews.
    pub lease_s: f64,
    /// Within which a cancelled job's tasks are gone.
    pub cancel_s: f64,
}

/// The state service's limits.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests per second.
    pub rps: f64,
    /// Changes per second.
    pub write_rps: f64,
    /// The size of a value.
    pub value_kb: f64,
    /// Changes in a transaction.
    pub txn_ops: usize,
    /// The limits that it will have at some later time, without notice.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// Announced limits of the state service. What isn't named stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct NextStateLimits {
    /// Requests per second.
    pub rps: Option<f64>,
    /// Changes per second.
    pub write_rps: Option<f64>,
    /// The size of a value.
    pub value_kb: Option<f64>,
    /// Changes in a transaction.
    pub txn_ops: Option<usize>,
}

impl NextStateLimits {
    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let rates = [
            ("settings.state.next.rps", self.rps),
            ("settings.state.next.write_rps", self.write_rps),
        ];
        for (key, value) in rates {
            if value.is_some_and(|v| !v.is_finite() || v <= 0.0) {
                return Err((key, "must be a number above 0"));
            }
        }
        let holds = |v: f64| v.is_finite() && v >= LEAST_NEXT_VALUE_KB;
        if self.value_kb.is_some_and(|v| !holds(v)) {
            return Err(("settings.state.next.value_kb", "must be at least 2"));
        }
        if self.txn_ops.is_some_and(|ops| ops < LEAST_TXN_OPS) {
            return Err(("settings.state.next.txn_ops", "must be at least 4"));
        }
        Ok(())
    }
}

/// The cloud's limits.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
    pub rps: f64,
    /// How far the machine list lags.
    pub list_lag_s: f64,
}

/// What a controller may use.
#[derive(Clone, Debug, Deserialize)]
pub struct ProcessLimits {
    /// Processor cores.
    pub cores: f64,
    /// Memory.
    pub ram_mb: f64,
    /// Connections.
    pub max_connections: usize,
}

impl ProcessLimits {
    /// What the reactor may take of it.
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
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError::Read {
            file: file.clone(),
            why: e.to_string(),
        })?;
        Settings::parse(&text, &file)
    }

    /// Checks what was read; `file` is named in errors.
    pub fn parse(text: &str, file: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|e| SettingsError::Read {
            file: file.to_string(),
            why: e.to_string().trim().replace('\n', " "),
        })?;
        settings.check().map_err(|(key, why)| SettingsError::Key {
            file: file.to_string(),
            key: key.to_string(),
            why: why.to_string(),
        })?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let site = &self.site;
        let positive = [
            ("settings.workers.report_s", site.workers.heartbeat_s),
            ("settings.workers.lease_s", site.workers.lease_s),
            ("settings.workers.cancel_s", site.workers.cancel_s),
            ("settings.state.rps", site.state.rps),
            ("settings.state.write_rps", site.state.write_rps),
            ("settings.state.value_kb", site.state.value_kb),
            ("settings.cloud.rps", site.cloud.rps),
            ("settings.limits.cores", site.limits.cores),
            ("settings.limits.ram_mb", site.limits.ram_mb),
        ];
        for (key, value) in positive {
            if !value.is_finite() || value <= 0.0 {
                return Err((key, "must be a number above 0"));
            }
        }
        if !site.cloud.list_lag_s.is_finite() || site.cloud.list_lag_s < 0.0 {
            return Err(("settings.cloud.list_lag_s", "must be 0 or more"));
        }
        if site.state.txn_ops < LEAST_TXN_OPS {
            return Err(("settings.state.txn_ops", "must be at least 4"));
        }
        if let Some(next) = &site.state.next {
            next.check()?;
        }
        let bounds = site.limits.bounds();
        if bounds.worker_connections(self.peers.len()).is_none() {
            return Err((
                "settings.limits.max_connections",
                "too few: a quarter is for calls to state service, cloud, peers and workers",
            ));
        }
        if site.limits.ram_mb < LEAST_RAM_MB {
            return Err(("settings.limits.ram_mb", "must be at least 8"));
        }
        if self.node_name.is_empty() {
            return Err(("node_name", "must not be empty"));
        }
        if site.zones.is_empty() {
            return Err(("settings.zones", "must name at least one zone"));
        }
        for team in &site.teams {
            let amounts = [team.cpus, team.cpus_max, team.gpus, team.gpus_max];
            if amounts.iter().any(|a| !a.is_finite() || *a < 0.0) {
                return Err(("settings.teams", "amounts must be 0 or more"));
            }
        }
        Ok(())
    }

    /// Where it listens, and where its services are.
    pub fn endpoints(&self) -> Endpoints {
        Endpoints {
            client: self.client_listen,
            peer: self.peer_listen,
            state: self.services.state,
            cloud: self.services.cloud,
        }
    }

    /// The team of this name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.site.teams.iter().find(|t| t.name == name)
    }

    /// Whether a controller stands in this zone.
    pub fn has_controller(&self, zone: &str) -> bool {
        self.zone == zone || self.peers.iter().any(|p| p.zone == zone)
    }

    /// How long leases may be renewed without word of cancellations: a lease
    /// renewed at the end of it has to end within the time a cancellation has,
    /// with a report interval, or a twentieth of that time, to spare for a
    /// stop that was just being sent when the word stopped.
    pub fn max_cancellation_lag_ms(&self) -> u64 {
        let workers = &self.site.workers;
        let spare_s = workers.heartbeat_s.max(workers.cancel_s / 20.0);
        let left_s = workers.cancel_s - workers.lease_s - spare_s;
        (left_s.max(0.0) * 1000.0) as u64
    }

    /// How long after a machine was last heard its tasks can live on by
    /// leases that somebody without word of cancellations renews.
    pub fn max_task_survival_ms(&self) -> u64 {
        let workers = &self.site.workers;
        self.max_cancellation_lag_ms() + ((workers.lease_s + workers.heartbeat_s) * 1000.0) as u64
    }

    /// The class's aim on waiting, in milliseconds.
    pub fn wait_slo_ms(&self, class: &str) -> Option<u64> {
        self.site
            .objectives
            .iter()
            .filter(|o| o.kind == "wait" && o.class.as_deref() == Some(class))
            .filter_map(|o| o.within_s)
            .filter(|s| s.is_finite() && *s >= 0.0)
            .map(|s| (s * 1000.0) as u64)
            .min()
    }

    /// The aim on waiting that makes room for work: that of services, which
    /// have nothing else. Arrays with a deadline wait in its order, and their
    /// start aim is one more date in it.
    pub fn start_slo_ms(&self, spec: &JobSpec) -> Option<u64> {
        match spec.deadline_s {
            Some(_) => None,
            None => self.wait_slo_ms(&spec.class),
        }
    }

    /// The times after its submission, in milliseconds, by which a job of the
    /// class should be done whatever its own deadline.
    pub fn finish_slos_ms<'a>(&'a self, class: &'a str) -> impl Iterator<Item = u64> + 'a {
        self.site
            .objectives
            .iter()
            .filter(move |o| o.kind == "finished" && o.class.as_deref() == Some(class))
            .filter_map(|o| o.within_s)
            .filter(|s| s.is_finite() && *s >= 0.0)
            .map(|s| (s * 1000.0) as u64)
    }

    /// The multiples of its deadline by which the class's jobs should be
    /// done, in order; the deadline itself is always one.
    pub fn deadline_multiples(&self, class: &str) -> Vec<f64> {
        let mut times: Vec<f64> = self
            .site
            .objectives
            .iter()
            .filter(|o| o.kind == "deadline" && o.class.as_deref() == Some(class))
            .filter_map(|o| o.times)
            .filter(|t| t.is_finite() && *t > 0.0)
            .collect();
        times.push(1.0);
        times.sort_by(f64::total_cmp);
        times.dedup();
        times
    }
}

//! The platform's settings file (TOML). Unknown keys are ignored, since new ones may
//! come up; the known ones are checked.

use crate::reactor::{Endpoints, ResourceBounds};
use crate::wire::users::JobSpec;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::Path;
use thiserror::Error;

/// What is wrong with the platform's settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {reason}")]
    Unreadable {
        /// The file.
        file: String,
        /// Why.
        reason: String,
    },
    /// The value of a key is invalid.
    #[error("{file}: {key}: {reason}")]
    InvalidKey {
        /// The file.
        file: String,
        /// The key.
        key: &'static str,
        /// Why.
        reason: InvalidSetting,
    },
}

/// Why the value of a key in the platform's settings is invalid.
#[derive(Clone, Copy, PartialEq, Debug, Error)]
pub enum InvalidSetting {
    /// It has to be a positive number.
    #[error("must be a number above 0")]
    NotPositive,
    /// It has to be a number that isn't negative.
    #[error("must be 0 or more")]
    Negative,
    /// One of several amounts is negative.
    #[error("amounts must be 0 or more")]
    NegativeAmount,
    /// It is lower than the lowest that works.
    #[error("must be at least {min}")]
    TooLow {
        /// The lowest value.
        min: f64,
    },
    /// The connections that aren't the workers' take more than there are.
    #[error("too few: a quarter is for calls to state service, cloud, peers and workers")]
    TooFewConnections,
    /// A name is missing.
    #[error("must not be empty")]
    Empty,
    /// No zone is named.
    #[error("must name at least one zone")]
    NoZone,
}

/// A key whose value is invalid, in a file yet to be named.
#[derive(Clone, Copy, Debug)]
struct InvalidKey {
    key: &'static str,
    reason: InvalidSetting,
}

impl InvalidKey {
    /// Passes if `valid`; else the key is invalid for this reason.
    fn unless(valid: bool, key: &'static str, reason: InvalidSetting) -> Result<(), InvalidKey> {
        if valid {
            Ok(())
        } else {
            Err(InvalidKey { key, reason })
        }
    }

    fn unless_positive(value: f64, key: &'static str) -> Result<(), InvalidKey> {
        let valid = value.is_finite() && value > 0.0;
        InvalidKey::unless(valid, key, InvalidSetting::NotPositive)
    }

    /// Passes if the value is a number of at least `min`.
    fn unless_at_least(min: f64, value: f64, key: &'static str) -> Result<(), InvalidKey> {
        let valid = value.is_finite() && value >= min;
        InvalidKey::unless(valid, key, InvalidSetting::TooLow { min })
    }
}

/// An idle controller takes 1 MB, one that leads 150 machines 2.5 MB, and
/// requests up to a quarter of the whole.
const MIN_RAM_MB: f64 = 8.0;

/// The end of a job takes two write operations, and a transaction should hold more than
/// one end.
const MIN_TXN_OPS: usize = 4;

/// A job's own record, cut down to what its cancellation needs, fits into this.
const MIN_NEXT_VALUE_KB: f64 = 2.0;

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
    fn check_rates_and_times(&self) -> Result<(), InvalidKey> {
        let positive = [
            ("settings.workers.report_s", self.workers.heartbeat_s),
            ("settings.workers.lease_s", self.workers.lease_s),
            ("settings.workers.cancel_s", self.workers.cancel_s),
            ("settings.state.rps", self.state.rps),
            ("settings.state.write_rps", self.state.write_rps),
            ("settings.state.value_kb", self.state.value_kb),
            ("settings.cloud.rps", self.cloud.rps),
            ("settings.limits.cores", self.limits.cores),
            ("settings.limits.ram_mb", self.limits.ram_mb),
        ];
        for (key, value) in positive {
            InvalidKey::unless_positive(value, key)?;
        }
        InvalidKey::unless(
            is_not_negative(self.cloud.list_lag_s),
            "settings.cloud.list_lag_s",
            InvalidSetting::Negative,
        )
    }

    /// Whether a service-level objective is about this class.
    pub fn names_class(&self, class: &str) -> bool {
        self.objectives
            .iter()
            .any(|objective| objective.is_for_class(class))
    }
}

fn is_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
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

impl Team {
    fn check(&self) -> Result<(), InvalidKey> {
        let amounts = [self.cpus, self.cpus_max, self.gpus, self.gpus_max];
        InvalidKey::unless(
            amounts.into_iter().all(is_not_negative),
            "settings.teams",
            InvalidSetting::NegativeAmount,
        )
    }
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

impl NextStateLimits {
    fn check(&self) -> Result<(), InvalidKey> {
        let rates = [
            ("settings.state.next.rps", self.rps),
            ("settings.state.next.write_rps", self.write_rps),
        ];
        for (key, rate) in rates {
            if let Some(rate) = rate {
                InvalidKey::unless_positive(rate, key)?;
            }
        }
        if let Some(value_kb) = self.value_kb {
            let key = "settings.state.next.value_kb";
            InvalidKey::unless_at_least(MIN_NEXT_VALUE_KB, value_kb, key)?;
        }
        if let Some(txn_ops) = self.txn_ops {
            check_txn_ops(txn_ops, "settings.state.next.txn_ops")?;
        }
        Ok(())
    }
}

fn check_txn_ops(txn_ops: usize, key: &'static str) -> Result<(), InvalidKey> {
    InvalidKey::unless_at_least(MIN_TXN_OPS as f64, txn_ops as f64, key)
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

    fn check(&self) -> Result<(), InvalidKey> {
        let site = &self.site;
        site.check_rates_and_times()?;
        check_txn_ops(site.state.txn_ops, "settings.state.txn_ops")?;
        if let Some(next) = &site.state.next {
            next.check()?;
        }
        let connections = site.limits.bounds().worker_connections(self.peers.len());
        InvalidKey::unless(
            connections.is_some(),
            "settings.limits.max_connections",
            InvalidSetting::TooFewConnections,
        )?;
        InvalidKey::unless_at_least(MIN_RAM_MB, site.limits.ram_mb, "settings.limits.ram_mb")?;
        InvalidKey::unless(
            !self.node_name.is_empty(),
            "node_name",
            InvalidSetting::Empty,
        )?;
        InvalidKey::unless(
            !site.zones.is_empty(),
            "settings.zones",
            InvalidSetting::NoZone,
        )?;
        site.teams.iter().try_for_each(Team::check)
    }

    /// The addresses on which it listens, and those of its services.
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

//! The platform's settings file (TOML). Unknown fields are ignored, since new
//! ones may come; the known ones are checked.

use crate::wire::JobSpec;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::Path;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{file}: {why}")]
    Read { file: String, why: String },
    #[error("{file}: {key}: {why}")]
    Key {
        file: String,
        key: String,
        why: String,
    },
}

#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    pub node_name: String,
    #[serde(rename = "domain")]
    pub zone: String,
    pub client_listen: SocketAddrV4,
    #[serde(rename = "back")]
    pub peer_listen: SocketAddrV4,
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    pub services: Services,
    #[serde(rename = "settings")]
    pub site: Site,
}

#[derive(Clone, Debug, Deserialize)]
pub struct PeerSettings {
    #[serde(rename = "node_name")]
    pub name: String,
    #[serde(rename = "domain")]
    pub zone: String,
    #[serde(rename = "peer_addr")]
    pub addr: SocketAddrV4,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    pub cloud: SocketAddrV4,
    pub state: SocketAddrV4,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Site {
    pub zones: Vec<String>,
    #[serde(default)]
    pub skew_ms: f64,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: StateLimits,
    pub cloud: CloudLimits,
    pub limits: Limits,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim on starting or finishing. Kinds and fields that are not known are
/// kept as they come and simply match nothing.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    pub class: Option<String>,
    pub within_s: Option<f64>,
    pub share: Option<f64>,
    pub times: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    pub cores: f64,
    pub ram_mb: f64,
    pub max_connections: usize,
}

impl Settings {
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError::Read {
            file: file.clone(),
            why: e.to_string(),
        })?;
        Settings::parse(&text, &file)
    }

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
            ("settings.workers.report_s", site.workers.report_s),
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
        if site.state.txn_ops < 4 {
            return Err(("settings.state.txn_ops", "must be at least 4"));
        }
        if site.limits.max_connections < 16 {
            return Err(("settings.limits.max_connections", "must be at least 16"));
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
    pub fn uninformed_ms(&self) -> u64 {
        let workers = &self.site.workers;
        let spare_s = workers.report_s.max(workers.cancel_s / 20.0);
        let left_s = workers.cancel_s - workers.lease_s - spare_s;
        (left_s.max(0.0) * 1000.0) as u64
    }

    /// How long after a machine was last heard its tasks can live on by
    /// leases that somebody without word of cancellations renews.
    pub fn longest_lease_ms(&self) -> u64 {
        let workers = &self.site.workers;
        self.uninformed_ms() + ((workers.lease_s + workers.report_s) * 1000.0) as u64
    }

    /// The class's aim on waiting, in milliseconds.
    pub fn wait_objective_ms(&self, class: &str) -> Option<u64> {
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
    pub fn start_aim_ms(&self, spec: &JobSpec) -> Option<u64> {
        match spec.deadline_s {
            Some(_) => None,
            None => self.wait_objective_ms(&spec.class),
        }
    }

    /// The times after its submission, in milliseconds, by which a job of the
    /// class should be done whatever its own deadline.
    pub fn finish_objectives_ms<'a>(&'a self, class: &'a str) -> impl Iterator<Item = u64> + 'a {
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
    pub fn deadline_times(&self, class: &str) -> Vec<f64> {
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

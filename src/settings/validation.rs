//! Validation of the platform's settings, and its errors.

use super::{AnnouncedKvStoreLimits, Settings, SiteSettings, Team};
use thiserror::Error;

/// An idle controller takes 1 MB, a leader of 150 machines takes 2.5 MB, and incomplete
/// requests take up to a quarter of the memory.
const MIN_RAM_MB: f64 = 8.0;

/// The end of a job takes two write operations, and a transaction should have room for
/// the ends of at least two jobs.
const MIN_TXN_OPS: usize = 4;

/// Enough for a job's own record, reduced to the fields that its cancellation needs.
const MIN_ANNOUNCED_VALUE_KB: f64 = 2.0;

/// An error in the platform's settings file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read, or isn't TOML with the required keys.
    #[error("{file}: {reason}")]
    Unreadable {
        /// Path of the settings file.
        file: String,
        /// Error text of the file system or the parser, on one line.
        reason: String,
    },
    /// The value of a key is invalid.
    #[error("{file}: {key}: {reason}")]
    InvalidKey {
        /// Path of the settings file.
        file: String,
        /// Dotted path of the key in the file.
        key: &'static str,
        /// The requirement that the value violates.
        reason: InvalidSetting,
    },
}

/// The requirement that a value in the platform's settings violates.
#[derive(Clone, Copy, PartialEq, Debug, Error)]
pub enum InvalidSetting {
    /// The value must be positive and finite.
    #[error("must be a number above 0")]
    NotPositive,
    /// The value must be finite and must not be negative.
    #[error("must be 0 or more")]
    Negative,
    /// None of a team's amounts may be negative.
    #[error("amounts must be 0 or more")]
    NegativeAmount,
    /// The value is below the minimum.
    #[error("must be at least {min}")]
    TooLow {
        /// Smallest valid value.
        min: f64,
    },
    /// The connections reserved for key-value store, cloud and peers leave none for calls
    /// to workers.
    #[error("too few: a quarter is for calls to state service, cloud, peers and workers")]
    TooFewConnections,
    /// A name must not be empty.
    #[error("must not be empty")]
    Empty,
    /// The list of zones must not be empty.
    #[error("must name at least one zone")]
    NoZone,
}

/// A key whose value is invalid. The caller adds the path of the file.
#[derive(Clone, Copy, Debug)]
pub(super) struct InvalidKey {
    pub(super) key: &'static str,
    pub(super) reason: InvalidSetting,
}

/// Returns an error that names the key and the reason unless `valid` is true.
fn require(valid: bool, key: &'static str, reason: InvalidSetting) -> Result<(), InvalidKey> {
    if valid {
        Ok(())
    } else {
        Err(InvalidKey { key, reason })
    }
}

fn require_positive(value: f64, key: &'static str) -> Result<(), InvalidKey> {
    let valid = value.is_finite() && value > 0.0;
    require(valid, key, InvalidSetting::NotPositive)
}

fn require_at_least(min: f64, value: f64, key: &'static str) -> Result<(), InvalidKey> {
    let valid = value.is_finite() && value >= min;
    require(valid, key, InvalidSetting::TooLow { min })
}

impl Settings {
    /// Checks all values and returns an error for the first one that is invalid.
    pub(super) fn check(&self) -> Result<(), InvalidKey> {
        let site = &self.site;
        site.check_rates_and_times()?;
        check_txn_ops(site.kv_store.txn_ops, "settings.state.txn_ops")?;
        if let Some(announced) = &site.kv_store.announced {
            announced.check()?;
        }
        let connections = site
            .limits
            .reactor_bounds()
            .max_worker_connections(self.peers.len());
        require(
            connections.is_some(),
            "settings.limits.max_connections",
            InvalidSetting::TooFewConnections,
        )?;
        require_at_least(MIN_RAM_MB, site.limits.ram_mb, "settings.limits.ram_mb")?;
        require(
            !self.node_name.is_empty(),
            "node_name",
            InvalidSetting::Empty,
        )?;
        require(
            !site.zones.is_empty(),
            "settings.zones",
            InvalidSetting::NoZone,
        )?;
        site.teams.iter().try_for_each(Team::check)
    }
}

impl SiteSettings {
    fn check_rates_and_times(&self) -> Result<(), InvalidKey> {
        let positive = [
            ("settings.workers.report_s", self.workers.heartbeat_s),
            ("settings.workers.lease_s", self.workers.lease_s),
            ("settings.workers.cancel_s", self.workers.cancel_s),
            ("settings.state.rps", self.kv_store.rps),
            ("settings.state.write_rps", self.kv_store.write_rps),
            ("settings.state.value_kb", self.kv_store.value_kb),
            ("settings.cloud.rps", self.cloud.rps),
            ("settings.limits.cores", self.limits.cores),
            ("settings.limits.ram_mb", self.limits.ram_mb),
        ];
        for (key, value) in positive {
            require_positive(value, key)?;
        }
        require(
            is_not_negative(self.cloud.list_lag_s),
            "settings.cloud.list_lag_s",
            InvalidSetting::Negative,
        )
    }
}

impl Team {
    fn check(&self) -> Result<(), InvalidKey> {
        let amounts = [self.cpus, self.cpus_max, self.gpus, self.gpus_max];
        require(
            amounts.into_iter().all(is_not_negative),
            "settings.teams",
            InvalidSetting::NegativeAmount,
        )
    }
}

impl AnnouncedKvStoreLimits {
    fn check(&self) -> Result<(), InvalidKey> {
        let rates = [
            ("settings.state.next.rps", self.rps),
            ("settings.state.next.write_rps", self.write_rps),
        ];
        for (key, rate) in rates {
            if let Some(rate) = rate {
                require_positive(rate, key)?;
            }
        }
        if let Some(value_kb) = self.value_kb {
            let key = "settings.state.next.value_kb";
            require_at_least(MIN_ANNOUNCED_VALUE_KB, value_kb, key)?;
        }
        if let Some(txn_ops) = self.txn_ops {
            check_txn_ops(txn_ops, "settings.state.next.txn_ops")?;
        }
        Ok(())
    }
}

fn check_txn_ops(txn_ops: usize, key: &'static str) -> Result<(), InvalidKey> {
    require_at_least(MIN_TXN_OPS as f64, txn_ops as f64, key)
}

/// Returns whether the value is finite and not negative.
pub(super) fn is_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

//! Checks of the platform's settings, and what can be wrong with them.

use super::{NextStateLimits, Settings, Site, Team};
use thiserror::Error;

/// An idle controller takes 1 MB, one that leads 150 machines 2.5 MB, and
/// requests up to a quarter of the whole.
const MIN_RAM_MB: f64 = 8.0;

/// The end of a job takes two write operations, and a transaction should hold more than
/// one end.
const MIN_TXN_OPS: usize = 4;

/// A job's own record, cut down to what its cancellation needs, fits into this.
const MIN_NEXT_VALUE_KB: f64 = 2.0;

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
pub(super) struct InvalidKey {
    pub(super) key: &'static str,
    pub(super) reason: InvalidSetting,
}

/// Passes if `valid`; else the key is invalid for this reason.
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
    /// Checks the values; the first that is invalid is reported.
    pub(super) fn check(&self) -> Result<(), InvalidKey> {
        let site = &self.site;
        site.check_rates_and_times()?;
        check_txn_ops(site.state.txn_ops, "settings.state.txn_ops")?;
        if let Some(next) = &site.state.next {
            next.check()?;
        }
        let connections = site.limits.bounds().worker_connections(self.peers.len());
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

impl NextStateLimits {
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
            require_at_least(MIN_NEXT_VALUE_KB, value_kb, key)?;
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

/// Whether the value is a number that isn't negative.
pub(super) fn is_not_negative(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

//! The operators' settings (INI).
//!
//! These settings are separate from [`crate::settings`] because the two files have
//! different owners: the platform writes the settings of a deployment, and the operators
//! write this file and may use it in every deployment. Each value is therefore relative
//! to a value of the platform's file. The two files also differ in unknown keys. In the
//! platform's file they are ignored, because the platform may add keys. In this file an
//! unknown key is an error, because a misspelt key would otherwise leave the default in
//! force without notice.

use crate::limits::EffectiveLimits;
use crate::records::placements::tasks_per_record;
use crate::settings::SiteSettings;
use lilacfork_replica_groups::classes::{ReplicaClassError, ReplicaClasses};
use std::path::Path;
use thiserror::Error;

/// An error in the operators' settings file.
#[derive(Debug, Error)]
pub enum TuningError {
    /// The file can't be read, or isn't INI.
    #[error("{file}: {reason}")]
    Unreadable {
        /// Path of the settings file.
        file: String,
        /// Error text of the file system or the parser, on one line.
        reason: String,
    },
    /// A key is unknown, or its value is invalid.
    #[error("{file}: {key}: {reason}")]
    InvalidKey {
        /// Path of the settings file.
        file: String,
        /// The key with its section: `[section] key`.
        key: String,
        /// The requirement that the key or its value violates.
        reason: InvalidTuning,
    },
}

/// The requirement that a key of the operators' settings violates.
#[derive(Clone, PartialEq, Debug, Error)]
pub enum InvalidTuning {
    /// The section has no key of this name.
    #[error("unknown key")]
    UnknownKey,
    /// The value isn't a number.
    #[error("not a number")]
    NotANumber,
    /// The value is outside its valid range.
    #[error("must lie between {min} and {max}")]
    OutOfRange {
        /// Smallest valid value.
        min: f64,
        /// Largest valid value.
        max: f64,
    },
    /// The number of parts of a replica is invalid.
    #[error(transparent)]
    ReplicaParts(#[from] ReplicaClassError),
    /// No service-level objective of the platform's settings is for this class.
    #[error("no objective of the platform's settings names this class")]
    UnknownClass,
    /// The parts of one replica don't fit into one placement record.
    #[error("more parts than a record of the state service holds, {max_parts}")]
    TooManyParts {
        /// Number of parts that fit.
        max_parts: u32,
    },
}

macro_rules! options {
    ($($(#[$doc:meta])* $section:literal $key:ident = $default:literal in $min:literal .. $max:literal;)*) => {
        /// The operators' settings after validation.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Tuning {
            $($(#[$doc])* pub $key: f64,)*
            /// Classes and kinds of jobs whose replicas span machines, with their parts.
            pub replica_classes: ReplicaClasses,
        }

        impl Default for Tuning {
            fn default() -> Self {
                Tuning { $($key: $default,)* replica_classes: ReplicaClasses::default() }
            }
        }

        impl Tuning {
            fn set(&mut self, section: &str, key: &str, value: f64) -> Result<(), InvalidTuning> {
                match (section, key) {
                    $(($section, stringify!($key)) => {
                        if !($min..=$max).contains(&value) {
                            return Err(InvalidTuning::OutOfRange { min: $min, max: $max });
                        }
                        self.$key = value;
                        Ok(())
                    })*
                    _ => Err(InvalidTuning::UnknownKey),
                }
            }

            /// Returns every key with its section and its default value, one per line.
            pub fn describe_defaults() -> String {
                let mut text = String::new();
                $(text.push_str(&format!("[{}] {} = {}\n", $section, stringify!($key), $default));)*
                text
            }
        }
    };
}

options! {
    /// Duration of the leader's lease, as a share of the workers' lease.
    "election" lease_share = 0.3 in 0.05 .. 0.8;
    /// The leader's share of the key-value store's request and write rates.
    "state" leader_share = 0.6 in 0.2 .. 0.9;
    /// Number of latency buckets in the SlackFit policy.
    "slackfit" buckets = 8.0 in 1.0 .. 64.0;
    /// Weight of a new sample in the online estimates, from 0 to 1.
    "slackfit" learning_rate = 0.25 in 0.01 .. 1.0;
    /// Free capacity kept for forecast demand, in standard deviations of the demand that
    /// arrives and ends within one boot time.
    "slackfit" headroom = 1.0 in 0.0 .. 5.0;
    /// Number of worker leases after which an unresponsive machine is declared failed.
    /// The number is 2.5 times as large if most machines of its zone are unresponsive.
    "fleet" silent_leases = 0.8 in 0.5 .. 20.0;
    /// Idle time after which a machine is released, in boot times of its type.
    "fleet" idle_boots = 0.6 in 0.0 .. 20.0;
    /// Time after which a machine that sends no heartbeat since its provisioning is declared
    /// failed, in boot times of its type.
    "fleet" late_boots = 3.0 in 1.5 .. 20.0;
    /// Share of `cancel_s` after which a machine is released if it hasn't confirmed a
    /// cancellation.
    "fleet" cancel_share = 0.6 in 0.1 .. 0.9;
    /// 1: each gang is one replica group. Gangs accepted under the other value don't change.
    "replicas" gangs = 0.0 in 0.0 .. 1.0;
    /// Number of worker leases for which the capacity of a restarting or migrating replica
    /// group stays reserved for it.
    "replicas" hold_leases = 2.0 in 0.0 .. 20.0;
}

/// The section whose keys are classes and whose values are the parts of a replica.
const REPLICA_PARTS_SECTION: &str = "replica_parts";

impl Tuning {
    /// Reads, parses and checks the settings file at `path`.
    pub fn load(path: &Path) -> Result<Tuning, TuningError> {
        let file = path.display().to_string();
        match ini::Ini::load_from_file(path) {
            Ok(ini) => Tuning::from_ini(&ini, &file),
            Err(error) => Err(TuningError::Unreadable {
                file,
                reason: error.to_string().replace('\n', " "),
            }),
        }
    }

    /// Checks parsed settings. `file` is the path that errors name.
    pub fn from_ini(ini: &ini::Ini, file: &str) -> Result<Tuning, TuningError> {
        let mut tuning = Tuning::default();
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or("");
            for (key, value) in properties.iter() {
                tuning
                    .set_from_text(section, key, value)
                    .map_err(|reason| invalid_key(file, section, key, reason))?;
            }
        }
        tuning.replica_classes.set_group_gangs(tuning.gangs > 0.0);
        Ok(tuning)
    }

    fn set_from_text(
        &mut self,
        section: &str,
        key: &str,
        value: &str,
    ) -> Result<(), InvalidTuning> {
        if section == REPLICA_PARTS_SECTION {
            self.replica_classes.insert(key, value)?;
            return Ok(());
        }
        let number = value
            .trim()
            .parse()
            .map_err(|_| InvalidTuning::NotANumber)?;
        self.set(section, key, number)
    }

    /// Checks the values whose validity depends on the platform's settings. `file` is the
    /// path that errors name.
    pub fn check(&self, site: &SiteSettings, file: &str) -> Result<(), TuningError> {
        let limits = EffectiveLimits::new(&site.kv_store).guaranteed();
        let max_parts = tasks_per_record(limits.value_bytes as f64 / 1024.0);
        for (class, parts) in self.replica_classes.iter() {
            let invalid = |reason| Err(invalid_key(file, REPLICA_PARTS_SECTION, class, reason));
            if !site.has_objective_for_class(class) {
                return invalid(InvalidTuning::UnknownClass);
            }
            if parts > max_parts {
                return invalid(InvalidTuning::TooManyParts { max_parts });
            }
        }
        Ok(())
    }
}

fn invalid_key(file: &str, section: &str, key: &str, reason: InvalidTuning) -> TuningError {
    TuningError::InvalidKey {
        file: file.to_string(),
        key: format!("[{section}] {key}"),
        reason,
    }
}

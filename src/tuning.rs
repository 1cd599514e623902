//! The operators' own settings (INI).
//!
//! They are apart from [`crate::settings`] because the two files have different owners:
//! the platform writes the settings of a deployment, the operators write this file and
//! may use the same one everywhere. So each value is a ratio to a figure of the
//! platform's file. The two also differ in what they do with a key that they don't know:
//! new ones may come up in the platform's file and are ignored, but here an unknown key
//! is an error, because a misspelt one must not pass for a default.

use crate::limits::EffectiveLimits;
use crate::records::placements::tasks_per_record;
use crate::settings::Site;
use lilacfork_replica_groups::classes::{ReplicaClassError, ReplicaClasses};
use std::path::Path;
use thiserror::Error;

/// What is wrong with the operators' settings.
#[derive(Debug, Error)]
pub enum TuningError {
    /// The file can't be read.
    #[error("{file}: {reason}")]
    Unreadable {
        /// The file.
        file: String,
        /// Why.
        reason: String,
    },
    /// The value of a key is invalid, or the key is.
    #[error("{file}: {key}: {reason}")]
    InvalidKey {
        /// The file.
        file: String,
        /// The key with its section.
        key: String,
        /// Why.
        reason: InvalidTuning,
    },
}

/// Why a key of the operators' settings can't be used.
#[derive(Clone, PartialEq, Debug, Error)]
pub enum InvalidTuning {
    /// There is no such key.
    #[error("unknown key")]
    UnknownKey,
    /// The value isn't a number.
    #[error("not a number")]
    NotANumber,
    /// The value is outside its bounds.
    #[error("must lie between {min} and {max}")]
    OutOfRange {
        /// The lowest value.
        min: f64,
        /// The highest value.
        max: f64,
    },
    /// The number of parts of a replica can't be used.
    #[error(transparent)]
    ReplicaParts(#[from] ReplicaClassError),
    /// No job can be of this class.
    #[error("no objective of the platform's settings names this class")]
    UnknownClass,
    /// A replica's parts don't fit into one record.
    #[error("more parts than a record of the state service holds, {max_parts}")]
    TooManyParts {
        /// How many parts fit.
        max_parts: u32,
    },
}

macro_rules! options {
    ($($(#[$doc:meta])* $section:literal $key:ident = $default:literal in $min:literal .. $max:literal;)*) => {
        /// The operators' settings, checked.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Tuning {
            $($(#[$doc])* pub $key: f64,)*
            /// Which jobs span machines.
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

            /// Every key with its default, as an operator may write it.
            pub fn describe() -> String {
                let mut text = String::new();
                $(text.push_str(&format!("[{}] {} = {}\n", $section, stringify!($key), $default));)*
                text
            }
        }
    };
}

options! {
    /// The lease of the leader's key as a share of the workers' lease.
    "election" lease_share = 0.3 in 0.05 .. 0.8;
    /// The leader's share of the key-value store's rates.
    "state" leader_share = 0.6 in 0.2 .. 0.9;
    /// Latency buckets of the SlackFit choice.
    "slackfit" buckets = 8.0 in 1.0 .. 64.0;
    /// The weight of a new sample in the online estimates.
    "slackfit" learning_rate = 0.25 in 0.01 .. 1.0;
    /// Free capacity kept for forecast demand, in standard deviations of the demand that
    /// arrives and ends within one boot time.
    "slackfit" headroom = 1.0 in 0.0 .. 5.0;
    /// A silent machine is declared failed after this many worker leases; after
    /// 2.5 times as many when most machines of its zone are silent.
    "fleet" silent_leases = 0.8 in 0.5 .. 20.0;
    /// An idle machine is released after this share of its boot time.
    "fleet" idle_boots = 0.6 in 0.0 .. 20.0;
    /// A machine that doesn't come up is declared failed after this many boot times.
    "fleet" late_boots = 3.0 in 1.5 .. 20.0;
    /// The share of cancel_s after which a machine that hasn't confirmed is released.
    "fleet" cancel_share = 0.6 in 0.1 .. 0.9;
    /// 1: each gang is a replica group by itself. Gangs accepted before stay as they are.
    "replicas" gangs = 0.0 in 0.0 .. 1.0;
    /// The capacity of a replica group that restarts or migrates is reserved for it for
    /// this many worker leases.
    "replicas" hold_leases = 2.0 in 0.0 .. 20.0;
}

/// The section that names the classes whose replicas span machines.
const REPLICA_PARTS: &str = "replica_parts";

impl Tuning {
    /// Reads and checks a file.
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

    /// Checks what was read; `file` is named in errors.
    pub fn from_ini(ini: &ini::Ini, file: &str) -> Result<Tuning, TuningError> {
        let mut tuning = Tuning::default();
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or("");
            for (key, value) in properties.iter() {
                tuning
                    .set_text(section, key, value)
                    .map_err(|reason| invalid_key(file, section, key, reason))?;
            }
        }
        tuning.replica_classes.set_group_gangs(tuning.gangs > 0.0);
        Ok(tuning)
    }

    fn set_text(&mut self, section: &str, key: &str, value: &str) -> Result<(), InvalidTuning> {
        if section == REPLICA_PARTS {
            self.replica_classes.insert(key, value)?;
            return Ok(());
        }
        let number = value
            .trim()
            .parse()
            .map_err(|_| InvalidTuning::NotANumber)?;
        self.set(section, key, number)
    }

    /// Checks what depends on the platform's settings too.
    pub fn check(&self, site: &Site, file: &str) -> Result<(), TuningError> {
        let limits = EffectiveLimits::new(&site.state).guaranteed();
        let max_parts = tasks_per_record(limits.value_bytes as f64 / 1024.0);
        for (class, parts) in self.replica_classes.iter() {
            let invalid = |reason| Err(invalid_key(file, REPLICA_PARTS, class, reason));
            if !site.names_class(class) {
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

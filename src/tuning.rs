//! Operators' own settings (INI). Each one is a ratio to a figure of the
//! platform's file, so that one file suits every deployment. An unknown key is
//! an error: a misspelt one must not pass for a default.

use crate::limits::EffectiveLimits;
use crate::records::placements::tasks_per_record;
use crate::settings::Site;
use lilacfork_replica_groups::classes::ReplicaClasses;
use std::path::Path;
use thiserror::Error;

/// What is wrong with the operators' settings.
#[derive(Debug, Error)]
pub enum TuningError {
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

macro_rules! options {
    ($($(#[$doc:meta])* $section:literal $key:ident = $default:literal in $low:literal .. $high:literal;)*) => {
        #[derive(Clone, Debug, PartialEq)]
        /// The operators' settings, checked.
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
            fn set(&mut self, section: &str, key: &str, value: f64) -> Result<(), String> {
                match (section, key) {
                    $(($section, stringify!($key)) => {
                        if !($low..=$high).contains(&value) {
                            return Err(format!("must lie between {} and {}", $low, $high));
                        }
                        self.$key = value;
                        Ok(())
                    })*
                    _ => Err("unknown key".to_string()),
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
    /// Leader key's lease as a share of the workers' lease.
    "election" lease_share = 0.3 in 0.05 .. 0.8;
    /// The leader's share of the state service's rates.
    "state" leader_share = 0.6 in 0.2 .. 0.9;
    /// Latency buckets of the SlackFit choice.
    "slackfit" buckets = 8.0 in 1.0 .. 64.0;
    /// Weight of a new sample when times are learned.
    "slackfit" learning_rate = 0.25 in 0.01 .. 1.0;
    /// Free room kept for arrivals, in standard deviations of what comes and
    /// goes within one boot time.
    "slackfit" headroom = 1.0 in 0.0 .. 5.0;
    /// A silent machine is given up after this many worker leases; after
    /// 2.5 times as many when most machines of its zone are silent.
    "fleet" silent_leases = 0.8 in 0.5 .. 20.0;
    /// An idle machine is returned after this share of its boot time.
    "fleet" idle_boots = 0.6 in 0.0 .. 20.0;
    /// A machine that doesn't come up is given up after this many boot times.
    "fleet" late_boots = 3.0 in 1.5 .. 20.0;
    /// Share of cancel_s after which an unconfirmed machine is returned.
    "fleet" cancel_share = 0.6 in 0.1 .. 0.9;
    /// 1: each gang is a replica group by itself. Those accepted before stay as
    /// they are.
    "replicas" gangs = 0.0 in 0.0 .. 1.0;
    /// For so many worker leases the room of a replica group that has to start
    /// again, or that moves, is held for it.
    "replicas" hold_leases = 2.0 in 0.0 .. 20.0;
}

/// The section that names the classes whose replicas span machines.
const REPLICA_PARTS: &str = "replica_parts";

impl Tuning {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Tuning, TuningError> {
        let file = path.display().to_string();
        let ini = ini::Ini::load_from_file(path).map_err(|e| TuningError::Read {
            file: file.clone(),
            why: e.to_string().replace('\n', " "),
        })?;
        Tuning::from_ini(&ini, &file)
    }

    /// Checks what was read; `file` is named in errors.
    pub fn from_ini(ini: &ini::Ini, file: &str) -> Result<Tuning, TuningError> {
        let mut options = Tuning::default();
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or("");
            for (key, value) in properties.iter() {
                let fail = |why: String| TuningError::Key {
                    file: file.to_string(),
                    key: format!("[{section}] {key}"),
                    why,
                };
                if section == REPLICA_PARTS {
                    options.replica_classes.set(key, value).map_err(fail)?;
                    continue;
                }
                let number = value
                    .trim()
                    .parse()
                    .map_err(|_| fail("not a number".to_string()))?;
                options.set(section, key, number).map_err(fail)?;
            }
        }
        options.replica_classes.set_gangs(options.gangs > 0.0);
        Ok(options)
    }

    /// Checks what only makes sense together with the platform's settings.
    pub fn check(&self, site: &Site, file: &str) -> Result<(), TuningError> {
        let least = EffectiveLimits::new(&site.state).guaranteed();
        let most = tasks_per_record(least.value_bytes as f64 / 1024.0);
        for (class, parts) in self.replica_classes.iter() {
            let known = site
                .objectives
                .iter()
                .any(|o| o.class.as_deref() == Some(class));
            let why = if !known {
                "no objective of the platform's settings names this class".to_string()
            } else if parts > most {
                format!("more parts than a record of the state service holds, {most}")
            } else {
                continue;
            };
            return Err(TuningError::Key {
                file: file.to_string(),
                key: format!("[{REPLICA_PARTS}] {class}"),
                why,
            });
        }
        Ok(())
    }
}

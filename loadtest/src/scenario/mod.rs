//! The scenario file, and what follows from it alone: machines by number and jobs by
//! name. Every process derives both by itself, so they needn't be exchanged.

mod jobs;
mod machines;
mod settings;
mod validation;

pub use machines::{Machine, MachineRange};
pub use settings::{
    ClassSettings, CloudSettings, ControllerSettings, FaultKind, FaultSettings, NextStateSettings,
    Scenario, StateSettings, TypeSettings, WorkerSettings,
};

use lilacfork::wire::users::JobKind;
use std::path::Path;
use thiserror::Error;

/// In smaller load tests the key-value store's rates don't fall below this share.
const MIN_KV_RATE_FACTOR: f64 = 0.2;

/// What is wrong with a scenario file, in one line.
#[derive(Debug, Error)]
#[error("{file}: {source}")]
pub struct ScenarioError {
    /// The file.
    pub file: String,
    /// The key and what is wrong with it.
    pub source: InvalidKey,
}

/// A key with a value that can't be used.
#[derive(Debug, Error)]
#[error("{key}: {reason}")]
pub struct InvalidKey {
    /// The key, or where it is in the file.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl Scenario {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
        let text = std::fs::read_to_string(path).map_err(|error| InvalidKey {
            key: "file".into(),
            reason: error.to_string(),
        });
        let scenario = text.and_then(|text| Scenario::parse(&text));
        scenario.map_err(|error| ScenarioError {
            file: path.display().to_string(),
            source: InvalidKey {
                key: error.key,
                // The error fits on one line.
                reason: error.reason.replace('\n', " "),
            },
        })
    }

    /// Reads and checks the text of a file.
    pub fn parse(text: &str) -> Result<Scenario, InvalidKey> {
        let scenario: Scenario = toml::from_str(text).map_err(|error| {
            let line = error
                .span()
                .map_or(0, |span| text[..span.start].lines().count());
            InvalidKey {
                key: format!("line {}", line.max(1)),
                reason: error.message().to_string(),
            }
        })?;
        scenario.validate()?;
        Ok(scenario)
    }

    /// The same at another size: machines, jobs and rates in proportion.
    pub fn resized(mut self, workers: u32) -> Scenario {
        let factor = f64::from(workers) / f64::from(self.workers.count);
        let scaled = |count: u32| (f64::from(count) * factor).round().max(1.0) as u32;
        self.workers.spare = scaled(self.workers.spare);
        self.workers.count = workers;
        self.teams = scaled(self.teams);
        for class in &mut self.classes {
            class.initial = scaled(class.initial);
            class.rate *= factor;
        }
        self.state.rps *= factor.max(MIN_KV_RATE_FACTOR);
        self.state.write_rps *= factor.max(MIN_KV_RATE_FACTOR);
        if let Some(next) = &mut self.state.next {
            next.write_rps *= factor.max(MIN_KV_RATE_FACTOR);
        }
        self
    }

    /// The same with so many times its arrays.
    pub fn loaded(mut self, load: f64) -> Scenario {
        for class in self
            .classes
            .iter_mut()
            .filter(|class| class.kind == JobKind::Array)
        {
            class.rate *= load;
            class.initial = (f64::from(class.initial) * load).round() as u32;
        }
        self
    }
}

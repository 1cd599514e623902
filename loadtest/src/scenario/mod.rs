//! The scenario file, and the machines (by number) and jobs (by name) that it defines.
//! Every process of a load test derives machines and jobs from the scenario alone, so the
//! processes don't exchange them.

mod jobs;
mod machines;
mod settings;
mod validation;

pub use machines::{Machine, MachineRange};
pub use settings::{
    ClassSettings, CloudSettings, ControllerSettings, FaultKind, FaultSettings,
    MachineTypeSettings, NextStateSettings, Scenario, StateSettings, WorkerSettings,
};

use lilacfork::wire::users::JobKind;
use std::path::Path;
use thiserror::Error;

/// Scaling to fewer workers lowers the rate limits of the key-value store no further than to
/// this share of the scenario's limits.
const MIN_KV_RATE_FACTOR: f64 = 0.2;

/// A scenario file that can't be read or is invalid. The message fits on one line.
#[derive(Debug, Error)]
#[error("{file}: {source}")]
pub struct ScenarioError {
    /// The path of the scenario file.
    pub file: String,
    /// The first problem found in the file.
    pub source: InvalidKey,
}

/// A key of a scenario file with an invalid value.
#[derive(Debug, Error)]
#[error("{key}: {reason}")]
pub struct InvalidKey {
    /// The key, the line number of a syntax error, or `file` if the file can't be read.
    pub key: String,
    /// The requirement that the value violates, or the parser's message.
    pub reason: String,
}

impl Scenario {
    /// Reads and validates a scenario file.
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
                // Keeps the message on one line.
                reason: error.reason.replace('\n', " "),
            },
        })
    }

    /// Parses and validates the text of a scenario file.
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

    /// Returns the scenario scaled to this number of workers: spare machines, teams, jobs
    /// and rate limits of the key-value store change in proportion.
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

    /// Returns the scenario with the number and arrival rate of array jobs multiplied by
    /// `factor`.
    pub fn with_scaled_arrays(mut self, factor: f64) -> Scenario {
        for class in self
            .classes
            .iter_mut()
            .filter(|class| class.kind == JobKind::Array)
        {
            class.rate *= factor;
            class.initial = (f64::from(class.initial) * factor).round() as u32;
        }
        self
    }
}

//! The command-line program: runs a load test, checks a scenario, or runs one simulator of
//! a load test.

use clap::{Parser, Subcommand};
use lilacfork_loadtest::harness::{self, RunOptions};
use lilacfork_loadtest::process;
use lilacfork_loadtest::process_stats::open_files_limit;
use lilacfork_loadtest::scenario::{Scenario, ScenarioError};
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs a load test of lilacfork on this machine, with all connections on loopback
#[derive(Parser)]
#[command(version, about)]
struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Run a load test: start all processes, measure, and stop all processes
    Run(RunArgs),
    /// Validate a scenario, check whether it can be run on this machine, and exit
    Check(RunArgs),
    /// Run one simulator of a load test; started by `run`
    #[command(hide = true)]
    Simulate {
        /// The simulator's configuration file (JSON)
        config: PathBuf,
    },
}

#[derive(clap::Args)]
struct RunArgs {
    /// The scenario file (TOML)
    scenario: PathBuf,
    /// Number of workers; the scenario's jobs and rates are scaled in proportion
    #[arg(long)]
    workers: Option<u32>,
    /// Number of controllers, in place of the scenario's
    #[arg(long)]
    controllers: Option<u32>,
    /// Factor for the number and rate of the scenario's array jobs
    #[arg(long, default_value_t = 1.0)]
    load: f64,
    /// Leave out the scenario's faults
    #[arg(long)]
    no_faults: bool,
    /// Let the controllers repair each task of a multi-host replica independently
    #[arg(long)]
    parts_alone: bool,
    /// Delay of each response of the simulated key-value store, in milliseconds
    #[arg(long)]
    answer_ms: Option<f64>,
    /// Program that the controllers run
    #[arg(long, default_value = "target/release/lilacfork")]
    program: PathBuf,
    /// Directory for settings, logs and histories; by default a new one in the system's
    /// directory for temporary files
    #[arg(long)]
    dir: Option<PathBuf>,
    /// Value of the controllers' environment variable LOG_LEVEL
    #[arg(long, default_value = "info")]
    log: String,
    /// Write the report as JSON to this file
    #[arg(long)]
    json: Option<PathBuf>,
}

impl RunArgs {
    /// Loads the scenario and applies the other arguments to it.
    fn scenario(&self) -> Result<Scenario, ScenarioError> {
        let mut scenario = Scenario::load(&self.scenario)?;
        if let Some(workers) = self.workers.filter(|n| *n > 0) {
            scenario = scenario.resized(workers);
        }
        if let Some(controllers) = self.controllers.filter(|n| *n > 0) {
            scenario.controllers.count = controllers;
        }
        if self.no_faults {
            scenario.faults.clear();
        }
        scenario.ungrouped_replicas |= self.parts_alone;
        if let Some(answer_ms) = self.answer_ms.filter(|ms| *ms >= 0.0) {
            scenario.state.response_delay_ms = answer_ms;
        }
        Ok(scenario.with_scaled_arrays(self.load))
    }
}

/// Prints the reason and returns the exit code for invalid arguments or files.
fn usage_error(reason: impl std::fmt::Display) -> ExitCode {
    eprintln!("lilacfork-loadtest: {reason}");
    ExitCode::from(2)
}

fn run(args: &RunArgs) -> ExitCode {
    let scenario = match args.scenario() {
        Ok(scenario) => scenario,
        Err(error) => return usage_error(error),
    };
    let default_name = format!("lilacfork-loadtest-{}", std::process::id());
    let options = RunOptions {
        program: args.program.clone(),
        dir: args
            .dir
            .clone()
            .unwrap_or_else(|| std::env::temp_dir().join(default_name)),
        log_level: args.log.clone(),
    };
    let report = match harness::run(scenario, &options) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("lilacfork-loadtest: {error}");
            return ExitCode::FAILURE;
        }
    };
    print!("{}", report.table());
    println!("logs and histories: {}", options.dir.display());
    if let Some(path) = &args.json {
        let text = serde_json::to_vec_pretty(&report).unwrap_or_default();
        if let Err(e) = std::fs::write(path, text) {
            return usage_error(format_args!("{}: {e}", path.display()));
        }
    }
    if report.violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn check(args: &RunArgs) -> ExitCode {
    let scenario = match args.scenario() {
        Ok(scenario) => scenario,
        Err(error) => return usage_error(error),
    };
    match harness::check_size(&scenario, open_files_limit()) {
        Ok(()) => {
            println!("the scenario is valid and can be run on this machine");
            ExitCode::SUCCESS
        }
        Err(error) => usage_error(error),
    }
}

fn main() -> ExitCode {
    match Args::parse().action {
        Action::Run(args) => run(&args),
        Action::Check(args) => check(&args),
        Action::Simulate { config } => match process::run(&config) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => usage_error(error),
        },
    }
}

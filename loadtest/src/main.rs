//! The program: one load test, or one of its simulators.

use clap::{Parser, Subcommand};
use lilacfork_loadtest::harness::{self, RunOptions};
use lilacfork_loadtest::process;
use lilacfork_loadtest::process_stats::open_files_limit;
use lilacfork_loadtest::scenario::{Scenario, ScenarioError};
use std::path::PathBuf;
use std::process::ExitCode;

/// A load test of lilacfork on this machine, all on loopback
#[derive(Parser)]
#[command(version, about)]
struct Args {
    #[command(subcommand)]
    action: Action,
}

#[derive(Subcommand)]
enum Action {
    /// Start everything, measure, end everything
    Run(RunArgs),
    /// Read a scenario, tell whether it can be run here, and exit
    Check(RunArgs),
    /// One simulator of a load test; started by `run`
    #[command(hide = true)]
    Simulate {
        /// Its configuration
        config: PathBuf,
    },
}

#[derive(clap::Args)]
struct RunArgs {
    /// The scenario file (TOML)
    scenario: PathBuf,
    /// At another size: so many workers, jobs and rates in proportion
    #[arg(long)]
    workers: Option<u32>,
    /// So many controllers
    #[arg(long)]
    controllers: Option<u32>,
    /// So many times its arrays
    #[arg(long, default_value_t = 1.0)]
    load: f64,
    /// Without the scenario's faults
    #[arg(long)]
    no_faults: bool,
    /// Each task of a multi-host replica is repaired independently
    #[arg(long)]
    parts_alone: bool,
    /// Delay of each response of the key-value store, in milliseconds
    #[arg(long)]
    answer_ms: Option<f64>,
    /// The controllers' program
    #[arg(long, default_value = "target/release/lilacfork")]
    program: PathBuf,
    /// Where logs and histories go; by default a new directory under /tmp
    #[arg(long)]
    dir: Option<PathBuf>,
    /// LOG_LEVEL of the controllers
    #[arg(long, default_value = "info")]
    log: String,
    /// Write the report as JSON to this file
    #[arg(long)]
    json: Option<PathBuf>,
}

impl RunArgs {
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

fn usage_error(reason: impl std::fmt::Display) -> ExitCode {
    eprintln!("lilacfork-loadtest: {reason}");
    ExitCode::from(2)
}

fn run(args: &RunArgs) -> ExitCode {
    let scenario = match args.scenario() {
        Ok(scenario) => scenario,
        Err(error) => return usage_error(error),
    };
    let unique = format!("lilacfork-loadtest-{}", std::process::id());
    let options = RunOptions {
        program: args.program.clone(),
        dir: args
            .dir
            .clone()
            .unwrap_or_else(|| std::env::temp_dir().join(unique)),
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
            println!("the scenario is fine and fits here");
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

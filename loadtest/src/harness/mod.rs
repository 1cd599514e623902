//! Runs a load test: starts all processes, injects faults, measures, and stops all
//! processes.

mod controller_settings;
mod fault_injection;
mod measurement;
mod processes;
mod size_limits;
mod startup;

pub use controller_settings::{settings_text, Addresses};
pub use size_limits::check_size;

use crate::control::SimulatorCommand;
use crate::failover::LeaderLoss;
use crate::history::{self, Recorder};
use crate::net::now_us;
use crate::process::ProcessRole;
use crate::process_stats::{open_files_limit, UsageByProcess};
use crate::report::Report;
use crate::scenario::{MachineRange, Scenario};
use fault_injection::{DueTime, ScheduledAction};
use measurement::MeasuredTime;
use processes::{Controller, SimulatorProcess};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(1000);
const SAMPLES_PER_PROGRESS_LINE: u32 = 5;
/// The file with the events that the harness itself records.
const HARNESS_HISTORY: &str = "harness.history";

/// The reason why a load test could not be run.
#[derive(Debug, Error)]
pub enum RunError {
    /// The scenario needs more processes than the operators of the machine allow.
    #[error("the scenario needs {needed} processes, at most {limit} are allowed: raise workers.per_process")]
    TooManyProcesses {
        /// The number of processes that the scenario needs.
        needed: u32,
        /// The number of processes that are allowed.
        limit: u32,
    },
    /// A process needs more open files than its limit allows.
    #[error("a process may open {limit} files and needs {needed}: lower workers.per_process or controllers.max_connections, or raise `ulimit -n`")]
    TooManyFiles {
        /// The number of files that the largest process needs.
        needed: u64,
        /// The number of files that a process may open.
        limit: u64,
    },
    /// All processes together use more memory than the operators of the machine allow.
    #[error("the processes use {used_mb:.0} MB of memory, at most {limit_mb:.0} MB are allowed")]
    TooMuchMemory {
        /// The resident memory of all processes, in MB.
        used_mb: f64,
        /// The allowed memory, in MB.
        limit_mb: f64,
    },
    /// A signal interrupted the load test.
    #[error("interrupted; all started processes have been stopped")]
    Interrupted,
    /// A process could not be started or reached, or a file of the run could not be used.
    #[error("{process}: {source}")]
    Process {
        /// The name of the process, or the part of the run that failed.
        process: String,
        /// The error of the operating system, or of reading the process's output.
        source: io::Error,
    },
}

/// Returns a function that adds the name of the process, or of the failed part of the run,
/// to an I/O error.
fn process_error(process: &str) -> impl Fn(io::Error) -> RunError + '_ {
    move |source| RunError::Process {
        process: process.to_string(),
        source,
    }
}

/// The options of a load test that are not part of its scenario.
pub struct RunOptions {
    /// The path of the program that the controllers run.
    pub program: PathBuf,
    /// The directory for settings, logs and histories; created if it doesn't exist.
    pub dir: PathBuf,
    /// The value of the controllers' environment variable `LOG_LEVEL`.
    pub log_level: String,
}

/// A load test in progress.
struct LoadTest {
    scenario: Scenario,
    dir: PathBuf,
    program: PathBuf,
    log_level: String,
    /// Where each controller accepts connections of users and workers.
    controller_addresses: Vec<SocketAddrV4>,
    controllers: Vec<Controller>,
    kv_store: SimulatorProcess,
    cloud: Option<SimulatorProcess>,
    workers: Vec<SimulatorProcess>,
    /// The machines of each process in `workers`.
    machine_ranges: Vec<MachineRange>,
    users: Option<SimulatorProcess>,
    scheduled_actions: BTreeMap<DueTime, ScheduledAction>,
    scheduled_action_count: usize,
    /// The controllers' arguments that name the operators' INI file.
    ini_arguments: Vec<PathBuf>,
    recorder: Recorder,
    leader_losses: Vec<LeaderLoss>,
    usage: UsageByProcess,
    rng: fastrand::Rng,
}

/// The stages of a load test; the report covers only the measured one.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    WarmUp,
    Measured,
}

impl LoadTest {
    fn simulators(&self) -> impl Iterator<Item = &SimulatorProcess> {
        let services = std::iter::once(&self.kv_store)
            .chain(&self.cloud)
            .chain(&self.users);
        services.chain(&self.workers)
    }

    /// Runs the load test until `end_us`: performs due actions, samples the processes in the
    /// measured stage, and prints the progress.
    fn run_until(
        &mut self,
        end_us: u64,
        stage: Stage,
        interrupted: &AtomicBool,
    ) -> Result<(), RunError> {
        let mut samples = 0;
        while now_us() < end_us {
            if interrupted.load(Ordering::Relaxed) {
                return Err(RunError::Interrupted);
            }
            let current_us = now_us();
            self.perform_due_actions(current_us)?;
            if stage == Stage::Measured {
                self.sample(current_us as f64 / 1e6)?;
            }
            samples += 1;
            if samples % SAMPLES_PER_PROGRESS_LINE == 0 {
                self.print_progress(end_us, stage);
            }
            let left = Duration::from_micros(end_us.saturating_sub(now_us()));
            std::thread::sleep(SAMPLE_INTERVAL.min(left));
        }
        Ok(())
    }

    fn print_progress(&self, end_us: u64, stage: Stage) {
        let sum = |counter: &str| -> f64 {
            let counted = |simulator: &SimulatorProcess| {
                let stats = simulator.send(&SimulatorCommand::Stats);
                stats.counters.get(counter).copied().unwrap_or(0.0)
            };
            self.workers.iter().map(counted).sum()
        };
        let stage = match stage {
            Stage::WarmUp => "warming up",
            Stage::Measured => "measuring",
        };
        let left_s = end_us.saturating_sub(now_us()) / 1_000_000;
        eprintln!(
            "{stage}, {left_s} s left: {} workers up, {} tasks running, {} started",
            sum("workers"),
            sum("tasks_running"),
            sum("starts")
        );
    }

    /// Stops the simulators and reads all histories.
    fn finish(&self) -> Result<Vec<history::Entry>, RunError> {
        for simulator in self.simulators() {
            simulator.send(&SimulatorCommand::Stop);
        }
        let mut paths: Vec<PathBuf> = self
            .simulators()
            .map(|simulator| simulator.history.clone())
            .filter(|path| path.exists())
            .collect();
        paths.push(self.dir.join(HARNESS_HISTORY));
        history::read(&paths).map_err(process_error("history"))
    }
}

/// Returns a flag that is set when this process receives an interrupt or a termination
/// signal.
fn interrupt_flag() -> Result<Arc<AtomicBool>, RunError> {
    let interrupted = Arc::new(AtomicBool::new(false));
    let flag = interrupted.clone();
    ctrlc::set_handler(move || flag.store(true, Ordering::Relaxed))
        .map_err(|error| process_error("signals")(io::Error::other(error)))?;
    Ok(interrupted)
}

/// Runs a whole load test and returns its report.
pub fn run(scenario: Scenario, options: &RunOptions) -> Result<Report, RunError> {
    check_size(&scenario, open_files_limit())?;
    let interrupted = interrupt_flag()?;
    let mut load_test = LoadTest::start(scenario, options)?;
    load_test.users = Some(SimulatorProcess::start(
        &load_test.dir,
        "users",
        ProcessRole::Users,
        &load_test.scenario,
        &load_test.controller_addresses,
    )?);
    let started_us = now_us();
    let from_us = started_us + (load_test.scenario.warm_s * 1e6) as u64;
    let to_us = from_us + (load_test.scenario.run_s * 1e6) as u64;
    for fault in load_test.scenario.faults.clone() {
        let at_us = from_us + (fault.at_s * 1e6) as u64;
        load_test.schedule(at_us, ScheduledAction::Fault(fault));
    }
    load_test.run_until(from_us, Stage::WarmUp, &interrupted)?;
    let before = load_test.stats();
    load_test.run_until(to_us, Stage::Measured, &interrupted)?;
    let after = load_test.stats();
    let history = load_test.finish()?;
    let measured = MeasuredTime { from_us, to_us };
    Ok(load_test.report(&history, measured, &before, &after))
}

//! Starts all processes of a load test, injects faults, measures, and ends them
//! all.

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
use fault_injection::{Due, ScheduledAction};
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
/// The file of the harness's own history.
const HARNESS_HISTORY: &str = "harness.history";

/// Why a load test couldn't be made.
#[derive(Debug, Error)]
pub enum RunError {
    /// It needs more processes than the operators allow.
    #[error("{needed} processes, at most {limit}: raise workers.per_process")]
    TooManyProcesses {
        /// How many it needs.
        needed: u32,
        /// How many are allowed.
        limit: u32,
    },
    /// A process needs more files than it may open.
    #[error("a process may open {limit} files and needs {needed}: lower workers.per_process or controllers.max_connections, or raise `ulimit -n`")]
    TooManyFiles {
        /// How many it needs.
        needed: u64,
        /// How many it may open.
        limit: u64,
    },
    /// All processes together use more memory than the operators allow.
    #[error("{used_mb:.0} MB in use, at most {limit_mb:.0}")]
    TooMuchMemory {
        /// What they use.
        used_mb: f64,
        /// What is allowed.
        limit_mb: f64,
    },
    /// It was interrupted.
    #[error("interrupted; everything that was started has been ended")]
    Interrupted,
    /// A process couldn't be started or reached.
    #[error("{process}: {source}")]
    Process {
        /// Which, or what of it.
        process: String,
        /// Why.
        source: io::Error,
    },
}

fn process_error(process: &str) -> impl Fn(io::Error) -> RunError + '_ {
    move |source| RunError::Process {
        process: process.to_string(),
        source,
    }
}

/// What a load test needs besides its scenario.
pub struct RunOptions {
    /// The controllers' program.
    pub program: PathBuf,
    /// Where files are written.
    pub dir: PathBuf,
    /// The variable `LOG_LEVEL` of the controllers.
    pub log_level: String,
}

/// A load test in progress.
struct LoadTest {
    scenario: Scenario,
    dir: PathBuf,
    program: PathBuf,
    log_level: String,
    /// Where the controllers accept users and workers.
    addresses: Vec<SocketAddrV4>,
    controllers: Vec<Controller>,
    kv_store: SimulatorProcess,
    cloud: Option<SimulatorProcess>,
    workers: Vec<SimulatorProcess>,
    /// The machines of each process of simulated workers.
    machine_ranges: Vec<MachineRange>,
    users: Option<SimulatorProcess>,
    scheduled: BTreeMap<Due, ScheduledAction>,
    scheduled_count: usize,
    /// Arguments that name the operators' settings.
    ini_arguments: Vec<PathBuf>,
    recorder: Recorder,
    leader_losses: Vec<LeaderLoss>,
    usage: UsageByProcess,
    rng: fastrand::Rng,
}

/// Whether the time that passes counts into the report.
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

    /// Lets the load test go on until then: faults, samples, progress.
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
            let now = now_us();
            self.perform_due(now)?;
            if stage == Stage::Measured {
                self.sample(now as f64 / 1e6)?;
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

    /// Ends the simulators, and reads all histories.
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

/// Set when the user interrupts this process.
fn interrupt_flag() -> Result<Arc<AtomicBool>, RunError> {
    let interrupted = Arc::new(AtomicBool::new(false));
    let flag = interrupted.clone();
    ctrlc::set_handler(move || flag.store(true, Ordering::Relaxed))
        .map_err(|error| process_error("signals")(io::Error::other(error)))?;
    Ok(interrupted)
}

/// Makes a whole load test and reports on it.
pub fn run(scenario: Scenario, options: &RunOptions) -> Result<Report, RunError> {
    check_size(&scenario, open_files_limit())?;
    let interrupted = interrupt_flag()?;
    let mut load_test = LoadTest::start(scenario, options)?;
    load_test.users = Some(SimulatorProcess::start(
        &load_test.dir,
        "users",
        ProcessRole::Users,
        &load_test.scenario,
        &load_test.addresses,
    )?);
    let began_us = now_us();
    let from_us = began_us + (load_test.scenario.warm_s * 1e6) as u64;
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

//! The controller binary: loads the settings, starts the reactor, and runs until the
//! process is killed.

use clap::Parser;
use lilacfork::node::Node;
use lilacfork::reactor::Reactor;
use lilacfork::settings::{Settings, SettingsError};
use lilacfork::tuning::{Tuning, TuningError};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

const EXIT_INVALID_SETTINGS: u8 = 2;

/// A scheduler for fleets that serve language models.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// File with the operators' settings (INI)
    #[arg(long, value_name = "FILE")]
    ini: Option<PathBuf>,
    /// Check the settings files, then exit
    #[arg(long)]
    check: bool,
    /// Print the keys of the operators' settings with their defaults, then exit
    #[arg(long)]
    keys: bool,
    /// File with the platform's settings (TOML)
    #[arg(long, value_name = "FILE", required_unless_present = "keys")]
    config: Option<PathBuf>,
}

/// An error in the platform's settings or in the operators' INI file.
#[derive(Debug, Error)]
enum ConfigError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Tuning(#[from] TuningError),
}

fn init_logging() {
    let env = env_logger::Env::new().filter_or("LOG_LEVEL", "info");
    env_logger::Builder::from_env(env)
        .target(env_logger::Target::Stderr)
        .format_timestamp_millis()
        .init();
}

fn load(config: &Path, ini: Option<&Path>) -> Result<(Settings, Tuning), ConfigError> {
    let Some(ini) = ini else {
        return Ok((Settings::load(config)?, Tuning::default()));
    };
    let tuning = Tuning::load(ini)?;
    let settings = Settings::load(config)?;
    tuning.check(&settings.site, &ini.display().to_string())?;
    Ok((settings, tuning))
}

fn print_keys() {
    print!("{}", Tuning::describe_defaults());
    println!("# [replica_parts] CLASS = PARTS, for each class whose replicas span machines");
}

fn run(settings: Settings, tuning: Tuning) -> ExitCode {
    let endpoints = settings.endpoints();
    let bounds = settings.site.limits.reactor_bounds();
    let peers = settings.peers.len();
    let name = settings.node_name.clone();
    let mut node = Node::new(settings, tuning, fastrand::u64(1..1 << 50));
    let reactor = match Reactor::new(endpoints, bounds, peers) {
        Ok(reactor) => reactor,
        Err(error) => {
            eprintln!("lilacfork: can't listen: {error}");
            return ExitCode::FAILURE;
        }
    };
    log::info!("node started node={name}");
    match reactor.run(&mut node) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("reactor failed reason=\"{error}\"");
            ExitCode::FAILURE
        }
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    if args.keys {
        print_keys();
        return ExitCode::SUCCESS;
    }
    init_logging();
    let Some(config) = &args.config else {
        return ExitCode::from(EXIT_INVALID_SETTINGS);
    };
    let (settings, tuning) = match load(config, args.ini.as_deref()) {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("lilacfork: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if args.check {
        println!("settings are fine");
        return ExitCode::SUCCESS;
    }
    run(settings, tuning)
}

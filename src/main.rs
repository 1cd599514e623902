//! The program: reads settings, starts the reactor, and runs until killed.

use clap::Parser;
use lilacfork::node::Node;
use lilacfork::reactor::Reactor;
use lilacfork::settings::Settings;
use lilacfork::tuning::Tuning;
use std::path::PathBuf;
use std::process::ExitCode;

/// A scheduler for fleets that serve language models.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    /// Operators' own settings (INI)
    #[arg(long, value_name = "FILE")]
    ini: Option<PathBuf>,
    /// Check the settings and exit
    #[arg(long)]
    check: bool,
    /// Print the keys an INI may hold, with their defaults, and exit
    #[arg(long)]
    keys: bool,
    /// The platform's settings (TOML)
    #[arg(long, value_name = "FILE", required_unless_present = "keys")]
    config: Option<PathBuf>,
}

fn init_logging() {
    let env = env_logger::Env::new().filter_or("LOG_LEVEL", "info");
    env_logger::Builder::from_env(env)
        .target(env_logger::Target::Stderr)
        .format_timestamp_millis()
        .init();
}

fn load(args: &Args) -> Result<Option<(Settings, Tuning)>, String> {
    let options = match &args.ini {
        Some(path) => Tuning::load(path).map_err(|e| e.to_string())?,
        None => Tuning::default(),
    };
    let Some(config) = &args.config else {
        return Ok(None);
    };
    let settings = Settings::load(config).map_err(|e| e.to_string())?;
    if let Some(path) = &args.ini {
        let file = path.display().to_string();
        let checked = options.check(&settings.site, &file);
        checked.map_err(|e| e.to_string())?;
    }
    Ok(Some((settings, options)))
}

fn main() -> ExitCode {
    let args = Args::parse();
    if args.keys {
        print!("{}", Tuning::describe());
        println!("# [replica_parts] CLASS = PARTS, for each class whose replicas span machines");
        return ExitCode::SUCCESS;
    }
    init_logging();
    let (settings, options) = match load(&args) {
        Ok(Some(loaded)) => loaded,
        Ok(None) => return ExitCode::from(2),
        Err(why) => {
            eprintln!("lilacfork: {why}");
            return ExitCode::from(2);
        }
    };
    if args.check {
        println!("settings are fine");
        return ExitCode::SUCCESS;
    }
    let endpoints = settings.endpoints();
    let bounds = settings.site.limits.bounds();
    let peers = settings.peers.len();
    let name = settings.node_name.clone();
    let mut node = Node::new(settings, options, fastrand::u64(1..1 << 50));
    let reactor = match Reactor::new(endpoints, bounds, peers) {
        Ok(reactor) => reactor,
        Err(e) => {
            eprintln!("lilacfork: can't listen: {e}");
            return ExitCode::FAILURE;
        }
    };
    log::info!("node {name} started");
    match reactor.run(&mut node) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("reactor: {e}");
            ExitCode::FAILURE
        }
    }
}

//! A simulator as a process: its role and configuration, and its loop.

use crate::cloud::CloudSimulator;
use crate::control::{Ready, SimulatorCommand, Stats, CONTROL_PATH};
use crate::history::Recorder;
use crate::kv_store::KvStoreSimulator;
use crate::net::{Incoming, Network};
use crate::scenario::Scenario;
use crate::users::UserSimulator;
use crate::workers::WorkerSimulator;
use lilacfork::messages::Reply;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// The number of the listener that accepts commands.
pub const CONTROL_LISTENER: usize = 0;

/// A process of simulated workers, as the simulated cloud knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerProcess {
    /// The first machine's number.
    pub first: u32,
    /// The last machine's number.
    pub last: u32,
    /// Where it accepts commands.
    pub control: SocketAddrV4,
    /// Where each machine accepts direct commands.
    pub addresses: Vec<SocketAddrV4>,
}

/// What a process simulates.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ProcessRole {
    /// The key-value store, with a listener for each controller.
    KvStore,
    /// The cloud.
    Cloud {
        /// The processes that it notifies of boots and releases.
        workers: Vec<WorkerProcess>,
    },
    /// Workers with these numbers.
    Workers {
        /// The first machine's number.
        first: u32,
        /// The last machine's number.
        last: u32,
    },
    /// The users.
    Users,
}

/// The configuration of a simulator's process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProcessConfig {
    /// What it simulates.
    pub role: ProcessRole,
    /// The load test.
    pub scenario: Scenario,
    /// Where the controllers accept users and workers.
    pub controllers: Vec<SocketAddrV4>,
    /// The history file.
    pub history: PathBuf,
}

/// A simulator: messages and time in, messages out.
pub trait Simulator {
    /// A message has arrived that isn't a command of the harness.
    fn incoming(&mut self, net: &mut Network, incoming: Incoming) -> io::Result<()>;
    /// Performs what is due; returns when to be called again, in microseconds.
    fn tick(&mut self, net: &mut Network) -> io::Result<u64>;
    /// A command of the harness.
    fn command(&mut self, net: &mut Network, command: &SimulatorCommand) -> io::Result<()>;
    /// Adds counters of its own.
    fn stats(&self, stats: &mut Stats);
    /// Its history, if it writes one.
    fn recorder(&mut self) -> Option<&mut Recorder>;
}

/// Runs a simulator until it is commanded to stop.
pub fn run(config: &Path) -> io::Result<()> {
    let config: ProcessConfig = serde_json::from_slice(&std::fs::read(config)?)?;
    let mut net = Network::new()?;
    let control = net.listen()?;
    let mut listeners = Vec::new();
    let mut simulator: Box<dyn Simulator> = match &config.role {
        ProcessRole::KvStore => Box::new(KvStoreSimulator::new(&config, &mut net, &mut listeners)?),
        ProcessRole::Cloud { .. } => {
            Box::new(CloudSimulator::new(&config, &mut net, &mut listeners)?)
        }
        ProcessRole::Workers { .. } => {
            Box::new(WorkerSimulator::new(&config, &mut net, &mut listeners)?)
        }
        ProcessRole::Users => Box::new(UserSimulator::new(&config)?),
    };
    println!("{}", serde_json::to_string(&Ready { control, listeners })?);
    loop {
        let until_us = simulator.tick(&mut net)?;
        if let Some(recorder) = simulator.recorder() {
            recorder.flush()?;
        }
        for incoming in net.wait(until_us)? {
            match incoming {
                Incoming::Request {
                    listener: CONTROL_LISTENER,
                    request_handle,
                    request,
                } => {
                    if request.path != CONTROL_PATH {
                        net.reply(request_handle, &Reply::error(404, "unknown path"));
                        continue;
                    }
                    let command: SimulatorCommand = serde_json::from_slice(&request.body)?;
                    simulator.command(&mut net, &command)?;
                    let mut stats = Stats {
                        traffic: net.traffic,
                        sockets: net.connection_count(),
                        ..Stats::default()
                    };
                    simulator.stats(&mut stats);
                    net.reply(request_handle, &Reply::json(200, &stats));
                    if command == SimulatorCommand::Stop {
                        if let Some(recorder) = simulator.recorder() {
                            recorder.flush()?;
                        }
                        return Ok(());
                    }
                }
                other => simulator.incoming(&mut net, other)?,
            }
        }
    }
}

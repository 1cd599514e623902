//! The process of a simulator: its role, its configuration and its event loop.

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

/// The number of the listener that accepts commands of the harness and the simulated cloud.
/// The simulator's own listeners have the numbers after it.
pub const CONTROL_LISTENER: usize = 0;

/// The machines and addresses of a process of simulated workers, for the simulated cloud.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerProcess {
    /// The number of the first machine that the process simulates.
    pub first: u32,
    /// The number of the last machine that the process simulates.
    pub last: u32,
    /// Where the process accepts commands of the harness and the cloud.
    pub control: SocketAddrV4,
    /// Where each worker accepts direct commands of controllers, in the order of the
    /// machines' numbers.
    pub addresses: Vec<SocketAddrV4>,
}

/// The part of the load test that a process simulates.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ProcessRole {
    /// The key-value store, with a separate listener for each controller.
    KvStore,
    /// The cloud, which provisions and releases machines.
    Cloud {
        /// The processes that the cloud notifies of boots and releases.
        workers: Vec<WorkerProcess>,
    },
    /// The workers on a range of machines.
    Workers {
        /// The number of the first machine.
        first: u32,
        /// The number of the last machine, included.
        last: u32,
    },
    /// The users, who submit, query and cancel jobs.
    Users,
}

/// The configuration of a simulator's process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProcessConfig {
    /// The part of the load test that the process simulates.
    pub role: ProcessRole,
    /// The scenario of the whole load test.
    pub scenario: Scenario,
    /// Where each controller accepts connections of users and workers.
    pub controllers: Vec<SocketAddrV4>,
    /// The path of the history file, which is written if the simulator records events.
    pub history: PathBuf,
}

/// A simulator, driven by messages, timers and commands.
pub trait Simulator {
    /// Handles a received message that isn't a command, or the failure of a call.
    fn incoming(&mut self, net: &mut Network, incoming: Incoming) -> io::Result<()>;
    /// Performs all actions that are due, and returns when to be called again at the latest,
    /// in microseconds since 1970.
    fn tick(&mut self, net: &mut Network) -> io::Result<u64>;
    /// Executes a command of the harness or the simulated cloud. Commands for other kinds of
    /// simulators are ignored.
    fn command(&mut self, net: &mut Network, command: &SimulatorCommand) -> io::Result<()>;
    /// Adds the simulator's own counters to `stats`.
    fn stats(&self, stats: &mut Stats);
    /// Returns the recorder of the simulator's history; `None`: it records no events.
    fn recorder(&mut self) -> Option<&mut Recorder>;
}

/// Runs the simulator with this configuration file until it receives a command to stop.
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

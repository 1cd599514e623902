//! A hollow part as a process: its configuration, its loop, its end.

use crate::cloud::CloudPart;
use crate::control::{Command, Ready, Stats, CONTROL_PATH};
use crate::history::Recorder;
use crate::net::{Incoming, Net};
use crate::scenario::Scenario;
use crate::state::StatePart;
use crate::users::UsersPart;
use crate::workers::WorkersPart;
use lilacfork::messages::Reply;
use serde::{Deserialize, Serialize};
use std::io;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};

/// The listener that takes commands.
pub const CONTROL_LISTENER: usize = 0;

/// A process of hollow workers, as the cloud knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerProcess {
    /// The first machine's number.
    pub first: u32,
    /// The last machine's number.
    pub last: u32,
    /// Where it takes commands.
    pub control: SocketAddrV4,
    /// Where each machine takes direct commands.
    pub addresses: Vec<SocketAddrV4>,
}

/// What a part is.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Role {
    /// The state service, with a listener for each controller.
    State,
    /// The cloud.
    Cloud {
        /// Whom it tells of boots and returns.
        workers: Vec<WorkerProcess>,
    },
    /// Hollow workers with these numbers.
    Workers {
        /// The first machine's number.
        first: u32,
        /// The last machine's number.
        last: u32,
    },
    /// The users.
    Users,
}

/// What a part's process is given.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PartConfig {
    /// What it is.
    pub role: Role,
    /// The run.
    pub scenario: Scenario,
    /// Where the controllers take users and workers.
    pub controllers: Vec<SocketAddrV4>,
    /// The history file.
    pub history: PathBuf,
}

/// A part: messages and time in, messages out.
pub trait Part {
    /// Something came in that isn't a command of the harness.
    fn incoming(&mut self, net: &mut Net, incoming: Incoming) -> io::Result<()>;
    /// Acts on what is due; says when to be called again, in microseconds.
    fn tick(&mut self, net: &mut Net) -> io::Result<u64>;
    /// A command of the harness.
    fn command(&mut self, net: &mut Net, command: &Command) -> io::Result<()>;
    /// Adds counters of its own.
    fn stats(&self, stats: &mut Stats);
    /// Its history, if it writes one.
    fn recorder(&mut self) -> Option<&mut Recorder>;
}

/// Runs a part until it is told to stop.
pub fn run(config: &Path) -> io::Result<()> {
    let config: PartConfig = serde_json::from_slice(&std::fs::read(config)?)?;
    let mut net = Net::new()?;
    let control = net.listen()?;
    let mut listeners = Vec::new();
    let mut part: Box<dyn Part> = match &config.role {
        Role::State => Box::new(StatePart::new(&config, &mut net, &mut listeners)?),
        Role::Cloud { .. } => Box::new(CloudPart::new(&config, &mut net, &mut listeners)?),
        Role::Workers { .. } => Box::new(WorkersPart::new(&config, &mut net, &mut listeners)?),
        Role::Users => Box::new(UsersPart::new(&config)?),
    };
    println!("{}", serde_json::to_string(&Ready { control, listeners })?);
    loop {
        let until_us = part.tick(&mut net)?;
        if let Some(recorder) = part.recorder() {
            recorder.flush()?;
        }
        for incoming in net.wait(until_us)? {
            match incoming {
                Incoming::Request {
                    listener: CONTROL_LISTENER,
                    asker,
                    request,
                } => {
                    if request.path != CONTROL_PATH {
                        net.reply(asker, &Reply::error(404, "unknown path"));
                        continue;
                    }
                    let command: Command = serde_json::from_slice(&request.body)?;
                    part.command(&mut net, &command)?;
                    let mut stats = Stats {
                        traffic: net.traffic,
                        sockets: net.open(),
                        ..Stats::default()
                    };
                    part.stats(&mut stats);
                    net.reply(asker, &Reply::json(200, &stats));
                    if command == Command::Stop {
                        if let Some(recorder) = part.recorder() {
                            recorder.flush()?;
                        }
                        return Ok(());
                    }
                }
                other => part.incoming(&mut net, other)?,
            }
        }
    }
}

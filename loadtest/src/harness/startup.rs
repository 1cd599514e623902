//! Starts the processes of a load test.

use super::controller_settings::{settings_text, write_ini, Addresses};
use super::processes::{spawn, Controller, SimulatorProcess};
use super::{process_error, LoadTest, RunError, RunOptions, HARNESS_HISTORY};
use crate::control;
use crate::history::Recorder;
use crate::net::now_us;
use crate::process::{ProcessRole, WorkerProcess};
use crate::process_stats::UsageByProcess;
use crate::scenario::{MachineRange, Scenario};
use lilacfork::wire::users::READY_PATH;
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::Path;
use std::process::Command;
use std::time::Duration;

/// The time within which all controllers have to become ready.
const READY_TIMEOUT_US: u64 = 30_000_000;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The ports of controllers are below the range from which the kernel assigns ports to
/// outgoing connections.
const CONTROLLER_PORTS: std::ops::Range<u16> = 15_000..30_000;
const MAX_PORT_ATTEMPTS: u32 = 1000;

/// Returns a free loopback address that isn't in `taken`. Its port is outside the range
/// from which the kernel assigns ports to connections, because it has to stay free until
/// the controller is started, and while the controller is restarted.
fn free_address(rng: &mut fastrand::Rng, taken: &[SocketAddrV4]) -> io::Result<SocketAddrV4> {
    for _ in 0..MAX_PORT_ATTEMPTS {
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, rng.u16(CONTROLLER_PORTS));
        if !taken.contains(&address) && TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrNotAvailable.into())
}

fn free_addresses(count: usize) -> io::Result<Vec<SocketAddrV4>> {
    let mut rng = fastrand::Rng::new();
    let mut addresses = Vec::new();
    for _ in 0..count {
        addresses.push(free_address(&mut rng, &addresses)?);
    }
    Ok(addresses)
}

/// The processes of simulated workers, in the order of their machines' numbers.
#[derive(Default)]
struct WorkerProcesses {
    workers: Vec<SimulatorProcess>,
    machine_ranges: Vec<MachineRange>,
    /// The addresses of the processes, for the simulated cloud.
    process_addresses: Vec<WorkerProcess>,
}

impl WorkerProcesses {
    fn start(
        dir: &Path,
        scenario: &Scenario,
        controllers: &[SocketAddrV4],
    ) -> Result<WorkerProcesses, RunError> {
        let mut started = WorkerProcesses::default();
        let per_process = scenario.workers.per_process;
        for first in (0..scenario.machine_count()).step_by(per_process as usize) {
            let last = (first + per_process).min(scenario.machine_count()) - 1;
            let name = format!("workers-{first}");
            let role = ProcessRole::Workers { first, last };
            let simulator = SimulatorProcess::start(dir, &name, role, scenario, controllers)?;
            started.process_addresses.push(WorkerProcess {
                first,
                last,
                control: simulator.ready.control,
                addresses: simulator.ready.listeners.clone(),
            });
            started.workers.push(simulator);
            started.machine_ranges.push(MachineRange { first, last });
        }
        Ok(started)
    }
}

impl LoadTest {
    /// Starts all processes except the simulated users, and waits until the controllers are
    /// ready.
    pub(super) fn start(scenario: Scenario, options: &RunOptions) -> Result<LoadTest, RunError> {
        let dir = options.dir.clone();
        std::fs::create_dir_all(&dir).map_err(process_error("run directory"))?;
        let count = scenario.controllers.count as usize;
        let addresses = free_addresses(count * 2).map_err(process_error("ports"))?;
        let (clients, peers) = addresses.split_at(count);
        let kv_store =
            SimulatorProcess::start(&dir, "kv_store", ProcessRole::KvStore, &scenario, clients)?;
        let WorkerProcesses {
            workers,
            machine_ranges,
            process_addresses,
        } = WorkerProcesses::start(&dir, &scenario, clients)?;
        let cloud = SimulatorProcess::start(
            &dir,
            "cloud",
            ProcessRole::Cloud {
                workers: process_addresses,
            },
            &scenario,
            clients,
        )?;
        let ini_arguments = write_ini(&dir, &scenario).map_err(process_error("settings"))?;
        let mut load_test = LoadTest {
            ini_arguments,
            rng: fastrand::Rng::with_seed(scenario.seed),
            recorder: Recorder::create(&dir.join(HARNESS_HISTORY))
                .map_err(process_error("history"))?,
            program: options.program.clone(),
            log_level: options.log_level.clone(),
            controller_addresses: clients.to_vec(),
            controllers: Vec::new(),
            kv_store,
            workers,
            machine_ranges,
            users: None,
            scheduled_actions: BTreeMap::new(),
            scheduled_action_count: 0,
            leader_losses: Vec::new(),
            usage: UsageByProcess::default(),
            cloud: None,
            scenario,
            dir,
        };
        let cloud_address = cloud.ready.listeners[0];
        load_test.cloud = Some(cloud);
        for number in 0..count {
            load_test
                .write_settings(number, clients, peers, cloud_address)
                .map_err(process_error("settings"))?;
            load_test.start_controller(number)?;
        }
        wait_until_ready(clients)?;
        Ok(load_test)
    }

    /// Writes the settings file of a controller and adds the controller, not started yet.
    fn write_settings(
        &mut self,
        number: usize,
        clients: &[SocketAddrV4],
        peers: &[SocketAddrV4],
        cloud: SocketAddrV4,
    ) -> io::Result<()> {
        let addresses = Addresses {
            client_listeners: clients,
            peer_listeners: peers,
            kv_store: self.kv_store.ready.listeners[number],
            cloud,
        };
        let text = settings_text(&self.scenario, number, &addresses);
        let settings = self.dir.join(format!("controller-{number}.toml"));
        let log = self.dir.join(format!("controller-{number}.log"));
        std::fs::write(&settings, text)?;
        self.controllers.push(Controller {
            settings,
            log,
            process: None,
        });
        Ok(())
    }

    /// Starts or restarts a controller. Its log file is appended to.
    pub(super) fn start_controller(&mut self, number: usize) -> Result<(), RunError> {
        let controller = &mut self.controllers[number];
        let name = format!("controller-{number}");
        let log = File::options()
            .create(true)
            .append(true)
            .open(&controller.log);
        let log = log.map_err(process_error(&name))?;
        let mut command = Command::new(&self.program);
        command
            .arg("--config")
            .arg(&controller.settings)
            .args(&self.ini_arguments)
            .env("LOG_LEVEL", &self.log_level)
            .stderr(log);
        controller.process = Some(spawn(command, &name)?);
        Ok(())
    }
}

/// Waits until all controllers report that they are ready.
fn wait_until_ready(clients: &[SocketAddrV4]) -> Result<(), RunError> {
    let deadline_us = now_us() + READY_TIMEOUT_US;
    for address in clients {
        while control::request(*address, "GET", READY_PATH, b"").is_err() {
            if now_us() > deadline_us {
                let source = io::ErrorKind::TimedOut.into();
                return Err(RunError::Process {
                    process: format!(
                        "controller {address} not ready within {} s",
                        READY_TIMEOUT_US / 1_000_000
                    ),
                    source,
                });
            }
            std::thread::sleep(READY_POLL_INTERVAL);
        }
    }
    Ok(())
}

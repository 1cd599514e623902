//! A simulated cloud that implements the cloud's published protocol. It provisions machines
//! from the scenario's unused ones, and commands the worker processes to boot or remove
//! them.

use crate::control::{self, SimulatorCommand, Stats};
use crate::history::Recorder;
use crate::net::{now_us, Incoming, Network, RequestHandle};
use crate::process::{ProcessConfig, ProcessRole, Simulator, WorkerProcess};
use crate::scenario::Scenario;
use lilacfork::messages::{Reply, Request};
use serde::Deserialize;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddrV4;

/// The largest number of machines on one page of the machine list.
const MAX_LISTED_MACHINES: usize = 500;
/// The largest number of machines that one provisioning order receives.
const MAX_MACHINES_PER_ORDER: usize = 50;
const IDLE_INTERVAL_US: u64 = 1_000_000;

#[derive(Clone, Copy, PartialEq, Eq)]
enum MachineState {
    Starting,
    Running,
    Failed,
}

struct ProvisionedMachine {
    state: MachineState,
    provisioned_at_us: u64,
    boot_complete_us: u64,
}

#[derive(Deserialize)]
struct ProvisionBody {
    #[serde(rename = "bon")]
    id: String,
    #[serde(rename = "gamme")]
    machine_type: String,
    #[serde(rename = "secteur")]
    zone: String,
    #[serde(rename = "occasion")]
    spot: bool,
    #[serde(rename = "howMany")]
    count: usize,
}

#[derive(Deserialize)]
struct ReleaseBody {
    #[serde(rename = "bancs")]
    machines: Vec<String>,
}

/// A simulated cloud with the scenario's machines.
pub struct CloudSimulator {
    scenario: Scenario,
    processes: Vec<WorkerProcess>,
    provisioned: BTreeMap<u32, ProvisionedMachine>,
    /// The numbers of the machines that have never been provisioned.
    unused: Vec<u32>,
    /// The names of the machines that each provisioning order received, by order id.
    orders: HashMap<String, Vec<String>>,
    requests: f64,
}

impl CloudSimulator {
    /// Creates a cloud in which the scenario's initial machines are running already.
    pub fn new(
        config: &ProcessConfig,
        net: &mut Network,
        listeners: &mut Vec<SocketAddrV4>,
    ) -> io::Result<CloudSimulator> {
        listeners.push(net.listen()?);
        let ProcessRole::Cloud { workers } = &config.role else {
            return Err(io::ErrorKind::InvalidInput.into());
        };
        let now_us = now_us();
        let running_machine = |number| {
            let running = ProvisionedMachine {
                state: MachineState::Running,
                provisioned_at_us: now_us,
                boot_complete_us: now_us,
            };
            (number, running)
        };
        let scenario = config.scenario.clone();
        Ok(CloudSimulator {
            processes: workers.clone(),
            provisioned: (0..scenario.workers.count).map(running_machine).collect(),
            unused: (scenario.workers.count..scenario.machine_count()).collect(),
            orders: HashMap::new(),
            requests: 0.0,
            scenario,
        })
    }

    /// Returns the worker process that simulates this machine.
    fn process_of(&self, number: u32) -> Option<&WorkerProcess> {
        self.processes
            .iter()
            .find(|p| (p.first..=p.last).contains(&number))
    }

    /// Sends a command to the worker processes that simulate these machines, and waits for
    /// their responses. Each process receives only its own machines' numbers.
    fn notify(&self, machines: &[u32], command: impl Fn(Vec<u32>) -> SimulatorCommand) {
        for process in &self.processes {
            let own: Vec<u32> = machines
                .iter()
                .copied()
                .filter(|number| (process.first..=process.last).contains(number))
                .collect();
            if !own.is_empty() {
                // Errors are ignored: fault injection kills and pauses processes, which
                // then don't respond.
                let _ = control::send(process.control, &command(own));
            }
        }
    }

    /// Provisions machines. A repeated order receives the machines of the first one.
    fn provision(&mut self, body: &[u8]) -> Reply {
        let Ok(order) = serde_json::from_slice::<ProvisionBody>(body) else {
            return Reply::error(400, "malformed");
        };
        if let Some(names) = self.orders.get(&order.id) {
            return Reply::json(200, &json!({ "bancs": names }));
        }
        let scenario = &self.scenario;
        let matches_order = |number: &u32| {
            let machine = scenario.machine(*number);
            !order.spot
                && scenario.machine_types[machine.machine_type].name == order.machine_type
                && scenario.zones[machine.zone] == order.zone
        };
        let numbers: Vec<u32> = self
            .unused
            .iter()
            .copied()
            .filter(matches_order)
            .take(order.count.min(MAX_MACHINES_PER_ORDER))
            .collect();
        if numbers.is_empty() {
            return Reply::error(503, "no capacity");
        }
        self.unused.retain(|number| !numbers.contains(number));
        let boot_s = scenario.machine_types[scenario.machine(numbers[0]).machine_type].boot_s;
        let now_us = now_us();
        for number in &numbers {
            let starting = ProvisionedMachine {
                state: MachineState::Starting,
                provisioned_at_us: now_us,
                boot_complete_us: now_us + (boot_s * 1e6) as u64,
            };
            self.provisioned.insert(*number, starting);
        }
        self.notify(&numbers, |machines| SimulatorCommand::Boot {
            machines,
            after_ms: (boot_s * 1000.0) as u64,
        });
        let names: Vec<String> = numbers
            .iter()
            .map(|number| scenario.machine(*number).name)
            .collect();
        self.orders.insert(order.id, names.clone());
        Reply::json(200, &json!({ "bancs": names }))
    }

    fn release(&mut self, body: &[u8]) -> Reply {
        let Ok(body) = serde_json::from_slice::<ReleaseBody>(body) else {
            return Reply::error(400, "malformed");
        };
        let numbers: Vec<u32> = body
            .machines
            .iter()
            .filter_map(|name| Scenario::machine_number(name))
            .collect();
        self.notify(&numbers, |machines| SimulatorCommand::Remove { machines });
        self.provisioned
            .retain(|number, _| !numbers.contains(number));
        Reply::json(200, &json!({}))
    }

    /// Returns a page of the machine list, which lags behind provisioning.
    fn list(&self, path: &str) -> Reply {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let from = query.split('&').find_map(|p| p.strip_prefix("from="));
        let from = from
            .and_then(Scenario::machine_number)
            .map_or(0, |number| number + 1);
        let now_us = now_us();
        let lag_us = (self.scenario.cloud.list_lag_s * 1e6) as u64;
        let listed = self
            .provisioned
            .range(from..)
            .filter(|(_, machine)| now_us >= machine.provisioned_at_us + lag_us);
        let rows: Vec<serde_json::Value> = listed
            .take(MAX_LISTED_MACHINES + 1)
            .map(|(number, machine)| self.row(*number, machine, now_us))
            .collect();
        let truncated = rows.len() > MAX_LISTED_MACHINES;
        let rows = &rows[..rows.len().min(MAX_LISTED_MACHINES)];
        Reply::json(200, &json!({"bancs": rows, "truncated": truncated}))
    }

    fn row(&self, number: u32, provisioned: &ProvisionedMachine, now_us: u64) -> serde_json::Value {
        let machine = self.scenario.machine(number);
        let address = self
            .process_of(number)
            .map(|p| p.addresses[(number - p.first) as usize]);
        let state = match provisioned.state {
            MachineState::Starting if now_us < provisioned.boot_complete_us => "starting",
            MachineState::Failed => "failed",
            _ => "running",
        };
        json!({
            "id": machine.name,
            "address": address.map_or(String::new(), |a| a.to_string()),
            "gamme": self.scenario.machine_types[machine.machine_type].name,
            "secteur": self.scenario.zones[machine.zone],
            "occasion": false,
            "etat": state,
            "heldS": now_us.saturating_sub(provisioned.provisioned_at_us) as f64 / 1e6,
        })
    }

    fn handle_request(
        &mut self,
        net: &mut Network,
        request_handle: RequestHandle,
        request: &Request,
    ) {
        self.requests += 1.0;
        let path = request.path.split('?').next().unwrap_or("");
        let reply = match (request.method.as_str(), path) {
            ("GET", "/catalog") => Reply::json(200, &self.scenario.catalog()),
            ("GET", "/machines") => self.list(&request.path),
            ("POST", "/machines") => self.provision(&request.body),
            ("POST", "/machines/release") => self.release(&request.body),
            _ => Reply::error(404, "unknown path"),
        };
        net.reply(request_handle, &reply);
    }
}

impl Simulator for CloudSimulator {
    fn incoming(&mut self, net: &mut Network, incoming: Incoming) -> io::Result<()> {
        if let Incoming::Request {
            request_handle,
            request,
            ..
        } = incoming
        {
            self.handle_request(net, request_handle, &request);
        }
        Ok(())
    }

    fn tick(&mut self, _: &mut Network) -> io::Result<u64> {
        Ok(now_us() + IDLE_INTERVAL_US)
    }

    fn command(&mut self, _: &mut Network, command: &SimulatorCommand) -> io::Result<()> {
        if let SimulatorCommand::MarkFailed { machines } = command {
            for number in machines {
                if let Some(provisioned) = self.provisioned.get_mut(number) {
                    provisioned.state = MachineState::Failed;
                }
            }
        }
        Ok(())
    }

    fn stats(&self, stats: &mut Stats) {
        stats.counters.insert("requests".into(), self.requests);
        stats
            .counters
            .insert("rented".into(), self.provisioned.len() as f64);
    }

    fn recorder(&mut self) -> Option<&mut Recorder> {
        None
    }
}

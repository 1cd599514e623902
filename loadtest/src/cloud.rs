//! A simulated cloud, by its published protocol. It provisions machines that aren't up
//! yet, and notifies their processes.

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

const MAX_LISTED: usize = 500;
/// The largest number of machines provisioned by one order.
const MAX_PROVISIONED_AT_ONCE: usize = 50;
const IDLE_INTERVAL_US: u64 = 1_000_000;

#[derive(Clone, Copy, PartialEq, Eq)]
enum MachineState {
    Starting,
    Running,
    Failed,
}

struct ProvisionedMachine {
    state: MachineState,
    since_us: u64,
    /// When it is up.
    up_us: u64,
}

#[derive(Deserialize)]
struct ProvisionBody {
    #[serde(rename = "bon")]
    order: String,
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

/// The cloud.
pub struct CloudSimulator {
    scenario: Scenario,
    processes: Vec<WorkerProcess>,
    provisioned: BTreeMap<u32, ProvisionedMachine>,
    /// Numbers that were never provisioned.
    unused: Vec<u32>,
    orders: HashMap<String, Vec<String>>,
    requests: f64,
}

impl CloudSimulator {
    /// The initial machines are up already.
    pub fn new(
        config: &ProcessConfig,
        net: &mut Network,
        listeners: &mut Vec<SocketAddrV4>,
    ) -> io::Result<CloudSimulator> {
        listeners.push(net.listen()?);
        let ProcessRole::Cloud { workers } = &config.role else {
            return Err(io::ErrorKind::InvalidInput.into());
        };
        let now = now_us();
        let up = |number| {
            let running = ProvisionedMachine {
                state: MachineState::Running,
                since_us: now,
                up_us: now,
            };
            (number, running)
        };
        let scenario = config.scenario.clone();
        Ok(CloudSimulator {
            processes: workers.clone(),
            provisioned: (0..scenario.workers.count).map(up).collect(),
            unused: (scenario.workers.count..scenario.machine_count()).collect(),
            orders: HashMap::new(),
            requests: 0.0,
            scenario,
        })
    }

    fn process(&self, number: u32) -> Option<&WorkerProcess> {
        self.processes
            .iter()
            .find(|p| (p.first..=p.last).contains(&number))
    }

    /// Sends a command to the machines' processes, and waits for their responses.
    fn notify(&self, machines: &[u32], command: impl Fn(Vec<u32>) -> SimulatorCommand) {
        for process in &self.processes {
            let own: Vec<u32> = machines
                .iter()
                .copied()
                .filter(|number| (process.first..=process.last).contains(number))
                .collect();
            if !own.is_empty() {
                // A process that is lost or paused doesn't respond.
                let _ = control::send(process.control, &command(own));
            }
        }
    }

    fn provision(&mut self, body: &[u8]) -> Reply {
        let Ok(order) = serde_json::from_slice::<ProvisionBody>(body) else {
            return Reply::error(400, "malformed");
        };
        if let Some(names) = self.orders.get(&order.order) {
            return Reply::json(200, &json!({ "bancs": names }));
        }
        let scenario = &self.scenario;
        let wanted = |number: &u32| {
            let machine = scenario.machine(*number);
            !order.spot
                && scenario.machine_types[machine.machine_type].name == order.machine_type
                && scenario.zones[machine.zone] == order.zone
        };
        let numbers: Vec<u32> = self
            .unused
            .iter()
            .copied()
            .filter(wanted)
            .take(order.count.min(MAX_PROVISIONED_AT_ONCE))
            .collect();
        if numbers.is_empty() {
            return Reply::error(503, "no capacity");
        }
        self.unused.retain(|number| !numbers.contains(number));
        let boot_s = scenario.machine_types[scenario.machine(numbers[0]).machine_type].boot_s;
        let now = now_us();
        for number in &numbers {
            let starting = ProvisionedMachine {
                state: MachineState::Starting,
                since_us: now,
                up_us: now + (boot_s * 1e6) as u64,
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
        self.orders.insert(order.order, names.clone());
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

    fn list(&self, path: &str) -> Reply {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let from = query.split('&').find_map(|p| p.strip_prefix("from="));
        let from = from
            .and_then(Scenario::machine_number)
            .map_or(0, |number| number + 1);
        let now = now_us();
        let lag_us = (self.scenario.cloud.list_lag_s * 1e6) as u64;
        let listed = self
            .provisioned
            .range(from..)
            .filter(|(_, machine)| now >= machine.since_us + lag_us);
        let rows: Vec<serde_json::Value> = listed
            .take(MAX_LISTED + 1)
            .map(|(number, machine)| self.row(*number, machine, now))
            .collect();
        let more = rows.len() > MAX_LISTED;
        let rows = &rows[..rows.len().min(MAX_LISTED)];
        Reply::json(200, &json!({"bancs": rows, "truncated": more}))
    }

    fn row(&self, number: u32, provisioned: &ProvisionedMachine, now: u64) -> serde_json::Value {
        let machine = self.scenario.machine(number);
        let address = self
            .process(number)
            .map(|p| p.addresses[(number - p.first) as usize]);
        let state = match provisioned.state {
            MachineState::Starting if now < provisioned.up_us => "starting",
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
            "heldS": now.saturating_sub(provisioned.since_us) as f64 / 1e6,
        })
    }

    fn request(&mut self, net: &mut Network, request_handle: RequestHandle, request: &Request) {
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
            self.request(net, request_handle, &request);
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

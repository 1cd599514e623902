//! A stand-in for the cloud, by its published protocol. It rents out hollow
//! machines that aren't up yet, and tells their processes.

use crate::control::{self, Command, Stats};
use crate::history::Recorder;
use crate::net::{now_us, Asker, Incoming, Net};
use crate::part::{Part, PartConfig, Role, WorkerProcess};
use crate::scenario::Scenario;
use lilacfork::messages::{Reply, Request};
use serde::Deserialize;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddrV4;

const MOST_LISTED: usize = 500;
const IDLE_US: u64 = 1_000_000;

#[derive(Clone, Copy, PartialEq, Eq)]
enum MachineState {
    Starting,
    Running,
    Failed,
}

struct Rented {
    state: MachineState,
    since_us: u64,
    /// When it is up.
    up_us: u64,
}

#[derive(Deserialize)]
struct RentBody {
    bon: String,
    gamme: String,
    secteur: String,
    occasion: bool,
    #[serde(rename = "howMany")]
    how_many: usize,
}

#[derive(Deserialize)]
struct ReleaseBody {
    bancs: Vec<String>,
}

/// The cloud.
pub struct CloudPart {
    scenario: Scenario,
    processes: Vec<WorkerProcess>,
    rented: BTreeMap<u32, Rented>,
    /// Numbers that were never rented.
    unused: Vec<u32>,
    orders: HashMap<String, Vec<String>>,
    requests: f64,
}

impl CloudPart {
    /// All machines of the start run already.
    pub fn new(
        config: &PartConfig,
        net: &mut Net,
        listeners: &mut Vec<SocketAddrV4>,
    ) -> io::Result<CloudPart> {
        listeners.push(net.listen()?);
        let Role::Cloud { workers } = &config.role else {
            return Err(io::ErrorKind::InvalidInput.into());
        };
        let now = now_us();
        let up = |number| {
            let running = Rented {
                state: MachineState::Running,
                since_us: now,
                up_us: now,
            };
            (number, running)
        };
        let scenario = config.scenario.clone();
        Ok(CloudPart {
            processes: workers.clone(),
            rented: (0..scenario.workers.count).map(up).collect(),
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

    /// Tells the machines' processes, and waits until they have heard.
    fn tell(&self, machines: &[u32], command: impl Fn(Vec<u32>) -> Command) {
        for process in &self.processes {
            let own: Vec<u32> = machines
                .iter()
                .copied()
                .filter(|n| (process.first..=process.last).contains(n))
                .collect();
            if !own.is_empty() {
                // One that is lost or paused has nothing to hear it with.
                let _ = control::send(process.control, &command(own));
            }
        }
    }

    fn rent(&mut self, body: &[u8]) -> Reply {
        let Ok(order) = serde_json::from_slice::<RentBody>(body) else {
            return Reply::error(400, "malformed");
        };
        if let Some(names) = self.orders.get(&order.bon) {
            return Reply::json(200, &json!({ "bancs": names }));
        }
        let scenario = &self.scenario;
        let wanted = |number: &u32| {
            let machine = scenario.machine(*number);
            !order.occasion
                && scenario.machine_types[machine.machine_type].name == order.gamme
                && scenario.zones[machine.zone] == order.secteur
        };
        let numbers: Vec<u32> = self
            .unused
            .iter()
            .copied()
            .filter(wanted)
            .take(order.how_many.min(50))
            .collect();
        if numbers.is_empty() {
            return Reply::error(503, "no capacity");
        }
        self.unused.retain(|number| !numbers.contains(number));
        let boot_s = scenario.machine_types[scenario.machine(numbers[0]).machine_type].boot_s;
        let now = now_us();
        for number in &numbers {
            let starting = Rented {
                state: MachineState::Starting,
                since_us: now,
                up_us: now + (boot_s * 1e6) as u64,
            };
            self.rented.insert(*number, starting);
        }
        self.tell(&numbers, |machines| Command::Boot {
            machines,
            after_ms: (boot_s * 1000.0) as u64,
        });
        let names: Vec<String> = numbers.iter().map(|n| scenario.machine(*n).name).collect();
        self.orders.insert(order.bon, names.clone());
        Reply::json(200, &json!({ "bancs": names }))
    }

    fn release(&mut self, body: &[u8]) -> Reply {
        let Ok(body) = serde_json::from_slice::<ReleaseBody>(body) else {
            return Reply::error(400, "malformed");
        };
        let numbers: Vec<u32> = body
            .bancs
            .iter()
            .filter_map(|name| Scenario::machine_number(name))
            .collect();
        self.tell(&numbers, |machines| Command::Remove { machines });
        self.rented.retain(|number, _| !numbers.contains(number));
        Reply::json(200, &json!({}))
    }

    fn list(&self, path: &str) -> Reply {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let from = query.split('&').find_map(|p| p.strip_prefix("from="));
        let from = from.and_then(Scenario::machine_number).map_or(0, |n| n + 1);
        let now = now_us();
        let lag_us = (self.scenario.cloud.list_lag_s * 1e6) as u64;
        let listed = self
            .rented
            .range(from..)
            .filter(|(_, m)| now >= m.since_us + lag_us);
        let rows: Vec<serde_json::Value> = listed
            .take(MOST_LISTED + 1)
            .map(|(number, m)| self.row(*number, m, now))
            .collect();
        let more = rows.len() > MOST_LISTED;
        let rows = &rows[..rows.len().min(MOST_LISTED)];
        Reply::json(200, &json!({"bancs": rows, "truncated": more}))
    }

    fn row(&self, number: u32, rented: &Rented, now: u64) -> serde_json::Value {
        let machine = self.scenario.machine(number);
        let address = self
            .process(number)
            .map(|p| p.addresses[(number - p.first) as usize]);
        let state = match rented.state {
            MachineState::Starting if now < rented.up_us => "starting",
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
            "heldS": now.saturating_sub(rented.since_us) as f64 / 1e6,
        })
    }

    fn request(&mut self, net: &mut Net, asker: Asker, request: &Request) {
        self.requests += 1.0;
        let path = request.path.split('?').next().unwrap_or("");
        let reply = match (request.method.as_str(), path) {
            ("GET", "/catalog") => Reply::json(200, &self.scenario.catalog()),
            ("GET", "/machines") => self.list(&request.path),
            ("POST", "/machines") => self.rent(&request.body),
            ("POST", "/machines/release") => self.release(&request.body),
            _ => Reply::error(404, "unknown path"),
        };
        net.reply(asker, &reply);
    }
}

impl Part for CloudPart {
    fn incoming(&mut self, net: &mut Net, incoming: Incoming) -> io::Result<()> {
        if let Incoming::Request { asker, request, .. } = incoming {
            self.request(net, asker, &request);
        }
        Ok(())
    }

    fn tick(&mut self, _: &mut Net) -> io::Result<u64> {
        Ok(now_us() + IDLE_US)
    }

    fn command(&mut self, _: &mut Net, command: &Command) -> io::Result<()> {
        if let Command::Failed { machines } = command {
            for number in machines {
                if let Some(rented) = self.rented.get_mut(number) {
                    rented.state = MachineState::Failed;
                }
            }
        }
        Ok(())
    }

    fn stats(&self, stats: &mut Stats) {
        stats.counters.insert("requests".into(), self.requests);
        stats
            .counters
            .insert("rented".into(), self.rented.len() as f64);
    }

    fn recorder(&mut self) -> Option<&mut Recorder> {
        None
    }
}

//! Stand-in for the cloud's API: catalog, provisioning, release and list of machines.

use super::events::Event;
use super::{Simulation, Worker};
use lilacfork::messages::{Call, CallResult};
use serde_json::{json, Value};
use std::collections::HashMap;

/// Until a machine that is up from the start sends its first heartbeat.
const FIRST_HEARTBEAT_MS: u64 = 10;

/// What the cloud remembers beside its machines.
#[derive(Default)]
pub(super) struct Cloud {
    /// Machines by order: a repeated order gets those of the first request.
    orders: HashMap<String, Vec<String>>,
    next_machine: u32,
}

fn ok(body: Value) -> CallResult {
    Ok((200, body.to_string().into_bytes()))
}

fn unavailable(error: &str) -> CallResult {
    let body = json!({ "error": error });
    Ok((503, body.to_string().into_bytes()))
}

impl Simulation {
    /// Adds a machine that is `up` at once, or else after [`Simulation::boot_ms`].
    pub fn add_machine(&mut self, name: &str, zone: &str, spot: bool, up: bool) {
        let worker = Worker::new(zone, spot, up, self.now);
        self.workers.insert(name.into(), worker);
        if up {
            let heartbeat = Event::HeartbeatDue(name.into());
            self.schedule(self.now + FIRST_HEARTBEAT_MS, heartbeat);
        } else {
            self.schedule(self.now + self.boot_ms, Event::MachineBoots(name.into()));
        }
    }

    /// A machine has booted: its worker sends a heartbeat at once.
    pub(super) fn machine_booted(&mut self, name: String) {
        let now = self.now;
        if let Some(worker) = self
            .workers
            .get_mut(&name)
            .filter(|worker| !worker.released)
        {
            worker.up = true;
            worker.lease_renewed_ms = now;
            self.schedule(now, Event::HeartbeatDue(name));
        }
    }

    pub(super) fn cloud_call(&mut self, call: &Call) -> CallResult {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        if self.cloud_unavailable {
            return unavailable("trouble");
        }
        match call.path.split('?').next().unwrap_or("") {
            "/catalog" => ok(catalog()),
            "/machines" if call.method == "POST" => self.provision(&body),
            "/machines/release" => self.release(&body),
            _ => self.list_machines(),
        }
    }

    fn provision(&mut self, body: &Value) -> CallResult {
        let order = body["bon"].as_str().unwrap_or("").to_string();
        if let Some(names) = self.cloud.orders.get(&order) {
            return ok(json!({ "bancs": names }));
        }
        let existing = self
            .workers
            .values()
            .filter(|worker| !worker.released)
            .count();
        let available = self.capacity.saturating_sub(existing);
        let count = (body["howMany"].as_u64().unwrap_or(0) as usize).min(available);
        if count == 0 {
            return unavailable("no capacity");
        }
        let zone = body["secteur"].as_str().unwrap_or("a");
        let spot = body["occasion"] == json!(true);
        let mut names = Vec::new();
        for _ in 0..count {
            let name = format!("vm-{:06}", self.cloud.next_machine);
            self.cloud.next_machine += 1;
            self.add_machine(&name, zone, spot, false);
            names.push(name);
        }
        self.cloud.orders.insert(order, names.clone());
        ok(json!({ "bancs": names }))
    }

    fn release(&mut self, body: &Value) -> CallResult {
        for name in body["bancs"].as_array().into_iter().flatten() {
            if let Some(worker) = self.workers.get_mut(name.as_str().unwrap_or("")) {
                worker.released = true;
                worker.tasks.clear();
            }
        }
        ok(json!({}))
    }

    fn list_machines(&self) -> CallResult {
        let existing = self.workers.iter().filter(|(_, worker)| !worker.released);
        let machines: Vec<Value> = existing
            .map(|(name, worker)| {
                json!({"id": name, "address": format!("w/{name}"), "gamme": "g8",
                    "secteur": worker.zone, "occasion": worker.spot,
                    "etat": if worker.up { "running" } else { "starting" },
                    "heldS": (self.now - worker.provisioned_ms) as f64 / 1000.0})
            })
            .collect();
        ok(json!({"bancs": machines, "truncated": false}))
    }
}

/// One type of machine, of eight GPUs, in both zones.
fn catalog() -> Value {
    json!({"gammes": [{"sku": "g8", "cpus": 96, "gpus": 8, "memoryGb": 768,
        "cacheGb": 200, "pullGbPerS": 1.0, "hourly": 12.0, "marketPrice": 4.5, "startupS": 5,
        "secteurs": ["a", "b"]}]})
}

//! Simulated cloud API: catalog, and provisioning, release and listing of machines.

use super::events::Event;
use super::{Simulation, Worker};
use lilacfork::messages::{Call, CallResult};
use serde_json::{json, Value};
use std::collections::HashMap;

/// Delay until the worker on a machine that is added in the running state sends its first
/// heartbeat.
const FIRST_HEARTBEAT_MS: u64 = 10;

/// Resources of each machine.
pub(super) const MACHINE_CPUS: f64 = 96.0;
pub(super) const MACHINE_GPUS: f64 = 8.0;
pub(super) const MACHINE_MEMORY_GB: f64 = 768.0;

/// The cloud's state beside the machines, which are in [`Simulation::workers`].
#[derive(Default)]
pub(super) struct Cloud {
    /// Names of the machines provisioned for each provisioning order, by order ID. A repeated
    /// order returns the machines of the first request.
    orders: HashMap<String, Vec<String>>,
    next_machine: u32,
}

fn success(body: Value) -> CallResult {
    Ok((200, body.to_string().into_bytes()))
}

fn unavailable(error: &str) -> CallResult {
    let body = json!({ "error": error });
    Ok((503, body.to_string().into_bytes()))
}

impl Simulation {
    /// Adds a machine. If `up`, the machine is already running; otherwise it boots for
    /// [`Simulation::boot_ms`].
    pub fn add_machine(&mut self, name: &str, zone: &str, spot: bool, up: bool) {
        let worker = Worker::new(zone, spot, up, self.now_ms);
        self.workers.insert(name.into(), worker);
        if up {
            let heartbeat = Event::HeartbeatDue(name.into());
            self.schedule(self.now_ms + FIRST_HEARTBEAT_MS, heartbeat);
        } else {
            self.schedule(self.now_ms + self.boot_ms, Event::MachineBoots(name.into()));
        }
    }

    /// Takes a machine back without notice, with all that is on it.
    pub fn take_machine(&mut self, name: &str) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.taken = true;
            worker.tasks.clear();
        }
    }

    /// Marks a machine as running, unless it was released meanwhile. The worker on it
    /// then sends its first heartbeat immediately.
    pub(super) fn machine_booted(&mut self, name: String) {
        let now_ms = self.now_ms;
        if let Some(worker) = self.workers.get_mut(&name).filter(|worker| worker.exists()) {
            worker.up = true;
            worker.lease_renewed_ms = now_ms;
            self.schedule(now_ms, Event::HeartbeatDue(name));
        }
    }

    /// Handles a call to the cloud API.
    pub(super) fn cloud_call(&mut self, call: &Call) -> CallResult {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        if self.cloud_unavailable {
            return unavailable("cloud unavailable");
        }
        match call.path.split('?').next().unwrap_or("") {
            "/catalog" => success(catalog()),
            "/machines" if call.method == "POST" => self.provision(&body),
            "/machines/release" => self.release(&body),
            _ => self.list_machines(),
        }
    }

    /// Provisions the machines of an order, as many as requested or as fit within
    /// [`Simulation::capacity`]. Rejects the order if no machine fits.
    fn provision(&mut self, body: &Value) -> CallResult {
        let order = body["bon"].as_str().unwrap_or("").to_string();
        if let Some(names) = self.cloud.orders.get(&order) {
            return success(json!({ "bancs": names }));
        }
        let existing = self
            .workers
            .values()
            .filter(|worker| worker.exists())
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
        success(json!({ "bancs": names }))
    }

    fn release(&mut self, body: &Value) -> CallResult {
        for name in body["bancs"].as_array().into_iter().flatten() {
            if let Some(worker) = self.workers.get_mut(name.as_str().unwrap_or("")) {
                worker.released = true;
                worker.tasks.clear();
            }
        }
        success(json!({}))
    }

    fn list_machines(&self) -> CallResult {
        let existing = self.workers.iter().filter(|(_, worker)| worker.exists());
        let machines: Vec<Value> = existing
            .map(|(name, worker)| {
                json!({"id": name, "address": format!("w/{name}"), "gamme": "g8",
                    "secteur": worker.zone, "occasion": worker.spot,
                    "etat": if worker.up { "running" } else { "starting" },
                    "heldS": (self.now_ms - worker.provisioned_ms) as f64 / 1000.0})
            })
            .collect();
        success(json!({"bancs": machines, "truncated": false}))
    }
}

/// Returns a catalog with one machine type, `g8` with eight GPUs, which both zones offer.
fn catalog() -> Value {
    json!({"gammes": [{"sku": "g8", "cpus": MACHINE_CPUS, "gpus": MACHINE_GPUS,
        "memoryGb": MACHINE_MEMORY_GB, "cacheGb": 200, "pullGbPerS": 1.0, "hourly": 12.0, "marketPrice": 4.5, "startupS": 5,
        "secteurs": ["a", "b"]}]})
}

//! A stand-in for the cloud.

use super::{Action, Simulation, Worker};
use lilacfork::messages::{Call, CallResult};
use serde_json::{json, Value};
use std::collections::BTreeMap;

impl Simulation {
    pub fn add_machine(&mut self, name: &str, zone: &str, spot: bool, up: bool) {
        let worker = Worker {
            up,
            gone: false,
            rented_ms: self.now,
            silent: false,
            mute: false,
            deaf: false,
            spot,
            zone: zone.into(),
            session: 1,
            seq: 0,
            token: 0,
            answered_ms: self.now,
            asked_ms: None,
            node: 0,
            tasks: BTreeMap::new(),
            sick: false,
            slowness: 1,
            notice_s: None,
            stuck: false,
        };
        self.workers.insert(name.into(), worker);
        if up {
            self.at(self.now + 10, Action::Report(name.into()));
        } else {
            self.at(self.now + self.boot_ms, Action::Boot(name.into()));
        }
    }

    pub(super) fn cloud_call(&mut self, call: &Call) -> CallResult {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        let ok = |v: Value| Ok((200, v.to_string().into_bytes()));
        if self.cloud_away {
            return Ok((503, br#"{"error":"trouble"}"#.to_vec()));
        }
        match call.path.split('?').next().unwrap_or("") {
            "/catalog" => ok(
                json!({"gammes": [{"sku": "g8", "cpus": 96, "gpus": 8, "memoryGb": 768,
                "cacheGb": 200, "pullGbPerS": 1.0, "hourly": 12.0, "marketPrice": 4.5, "startupS": 5,
                "secteurs": ["a", "b"]}]}),
            ),
            "/machines" if call.method == "POST" => {
                let order = body["bon"].as_str().unwrap_or("").to_string();
                if let Some(names) = self.orders.get(&order) {
                    return ok(json!({ "bancs": names }));
                }
                let alive = self.workers.values().filter(|w| !w.gone).count();
                let room = self.capacity.saturating_sub(alive);
                let count = (body["howMany"].as_u64().unwrap_or(0) as usize).min(room);
                if count == 0 {
                    return Ok((503, br#"{"error":"no capacity"}"#.to_vec()));
                }
                let mut names = Vec::new();
                for _ in 0..count {
                    let name = format!("vm-{:06}", self.next_machine);
                    self.next_machine += 1;
                    let zone = body["secteur"].as_str().unwrap_or("a").to_string();
                    self.add_machine(&name, &zone, body["occasion"] == json!(true), false);
                    names.push(name);
                }
                self.orders.insert(order, names.clone());
                ok(json!({ "bancs": names }))
            }
            "/machines/release" => {
                for name in body["bancs"].as_array().into_iter().flatten() {
                    if let Some(worker) = self.workers.get_mut(name.as_str().unwrap_or("")) {
                        worker.gone = true;
                        worker.tasks.clear();
                    }
                }
                ok(json!({}))
            }
            _ => {
                let list: Vec<Value> = self
                    .workers
                    .iter()
                    .filter(|(_, w)| !w.gone)
                    .map(|(name, w)| {
                        json!({"id": name, "address": format!("w/{name}"), "gamme": "g8", "secteur": w.zone,
                        "occasion": w.spot, "etat": if w.up { "running" } else { "starting" },
                        "heldS": (self.now - w.rented_ms) as f64 / 1000.0})
                    })
                    .collect();
                ok(json!({"bancs": list, "truncated": false}))
            }
        }
    }
}

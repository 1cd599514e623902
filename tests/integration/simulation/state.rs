//! A stand-in for the state service.

use super::{Action, Simulation, PAGE};
use lilacfork::messages::{Call, CallId, CallResult};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};

#[derive(Default)]
pub struct State {
    pub items: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub revision: u64,
    pub(super) leases: HashMap<u64, (u64, u64)>,
    pub(super) next_lease: u64,
    pub(super) events: Vec<(u64, String, Option<Value>)>,
    pub(super) watches: Vec<(usize, u64, CallId, String, u64, u64)>,
    pub away: bool,
    /// Watches stay open and say nothing.
    pub mute_watches: bool,
    /// What it takes; anything above is refused.
    pub limits: Option<SizeLimits>,
    /// Puts and deletes that it has carried out.
    pub changes: usize,
    /// Requests that were refused as too large.
    pub too_large: usize,
}

/// How large a transaction and a value may be.
#[derive(Clone, Copy, Debug)]
pub struct SizeLimits {
    pub value_bytes: usize,
    pub txn_ops: usize,
}

impl State {
    pub(super) fn events_after(&self, prefix: &str, from: u64) -> Vec<Value> {
        self.events
            .iter()
            .filter(|(rev, key, _)| *rev > from && key.starts_with(prefix))
            .map(|(rev, key, value)| match value {
                Some(v) => json!({"set": key, "v": v, "retouche": rev}),
                None => json!({"drop": key, "retouche": rev}),
            })
            .collect()
    }
}

impl Simulation {
    pub(super) fn expire_leases(&mut self) {
        if self.state.away {
            return;
        }
        let ended: Vec<u64> = self
            .state
            .leases
            .iter()
            .filter(|(_, l)| l.1 <= self.now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    pub(super) fn end_lease(&mut self, lease: u64) {
        self.state.leases.remove(&lease);
        let keys: Vec<String> = self
            .state
            .items
            .iter()
            .filter(|(_, i)| i.2 == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.state.revision += 1;
            self.state.items.remove(&key);
            self.state.events.push((self.state.revision, key, None));
        }
        self.serve_watches();
    }

    /// The outage is over: every lease has its full time again.
    pub fn state_returns(&mut self) {
        self.state.away = false;
        let now = self.now;
        let mut rechecks = Vec::new();
        for lease in self.state.leases.values_mut() {
            lease.1 = now + lease.0;
            rechecks.push(lease.1);
        }
        for at in rechecks {
            self.at(at + 1, Action::Recheck);
        }
        self.serve_watches();
    }

    pub(super) fn serve_watches(&mut self) {
        if self.state.away || self.state.mute_watches {
            return;
        }
        let mut kept = Vec::new();
        for watch in std::mem::take(&mut self.state.watches) {
            let (node, epoch, id, prefix, from, until) = &watch;
            let events = self.state.events_after(prefix, *from);
            if events.is_empty() && self.now < *until {
                kept.push(watch);
                continue;
            }
            let body = json!({"tirage": self.state.revision, "events": events}).to_string();
            let outcome = Ok((200, body.into_bytes()));
            let action = Action::Return {
                node: *node,
                epoch: *epoch,
                id: *id,
                outcome,
            };
            self.at(self.now + 1, action);
        }
        self.state.watches = kept;
    }

    pub(super) fn state_call(
        &mut self,
        node: usize,
        epoch: u64,
        id: CallId,
        call: &Call,
    ) -> Option<CallResult> {
        let ok = |status: u16, v: Value| Some(Ok((status, v.to_string().into_bytes())));
        let (path, query) = call.path.split_once('?').unwrap_or((&call.path, ""));
        let param = |name: &str| {
            query
                .split('&')
                .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
                .unwrap_or("")
                .to_string()
        };
        if self.state.away && (path != "/follow" || param("waitMs").is_empty()) {
            return ok(503, json!({}));
        }
        let body: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        if path == "/follow" {
            let until = self.now + param("waitMs").parse::<u64>().unwrap_or(0);
            let from = param("from").parse().unwrap_or(0);
            if param("waitMs").is_empty() {
                let events = self.state.events_after(&param("under"), from);
                return ok(
                    200,
                    json!({"tirage": self.state.revision, "events": events}),
                );
            }
            self.state
                .watches
                .push((node, epoch, id, param("under"), from, until));
            self.at(until, Action::Recheck);
            self.serve_watches();
            return None;
        }
        if path == "/kv" {
            let (prefix, after) = (param("under"), param("from"));
            let rows: Vec<Value> = self
                .state
                .items
                .iter()
                .filter(|(k, _)| k.starts_with(&prefix) && **k > after)
                .take(PAGE + 1)
                .map(|(k, i)| json!({"k": k, "v": i.0, "retouche": i.1}))
                .collect();
            let more = rows.len() > PAGE;
            let rows = &rows[..rows.len().min(PAGE)];
            return ok(
                200,
                json!({"rows": rows, "truncated": more, "tirage": self.state.revision}),
            );
        }
        if let Some(key) = path.strip_prefix("/kv/") {
            return match self.state.items.get(key) {
                Some(i) => ok(200, json!({"k": key, "v": i.0, "retouche": i.1})),
                None => ok(404, json!({"tirage": self.state.revision})),
            };
        }
        if path == "/leases" {
            self.state.next_lease += 1;
            let ttl = body["ttlMs"].as_u64().unwrap_or(1000);
            self.state
                .leases
                .insert(self.state.next_lease, (ttl, self.now + ttl));
            self.at(self.now + ttl + 1, Action::Recheck);
            return ok(200, json!({"bail": self.state.next_lease}));
        }
        if let Some(rest) = path.strip_prefix("/leases/") {
            let lease: u64 = rest
                .split('/')
                .next()
                .and_then(|s| s.parse().ok())
                .unwrap_or(0);
            if !self.state.leases.contains_key(&lease) {
                return ok(404, json!({}));
            }
            if call.method == "DELETE" {
                self.end_lease(lease);
            } else if let Some(l) = self.state.leases.get_mut(&lease) {
                l.1 = self.now + l.0;
                let at = l.1 + 1;
                self.at(at, Action::Recheck);
            }
            return ok(200, json!({}));
        }
        // A transaction.
        let writes = body["writes"].as_array().cloned().unwrap_or_default();
        if let Some(limits) = self.state.limits {
            let bytes = |w: &Value| w.get("v").map_or(0, |v| v.to_string().len());
            let guards = body["guards"].as_array().map_or(0, Vec::len);
            let large = writes.iter().any(|w| bytes(w) > limits.value_bytes);
            if large || writes.len() > limits.txn_ops || guards > limits.txn_ops * 4 {
                self.state.too_large += 1;
                return ok(400, json!({"error": "too large"}));
            }
        }
        let failed: Vec<String> = body["guards"]
            .as_array()
            .into_iter()
            .flatten()
            .filter(|g| {
                let held = self
                    .state
                    .items
                    .get(g["k"].as_str().unwrap_or(""))
                    .map_or(0, |i| i.1);
                Some(held) != g["retouche"].as_u64()
            })
            .map(|g| g["k"].as_str().unwrap_or("").to_string())
            .collect();
        if !failed.is_empty() {
            return ok(
                409,
                json!({"failed": failed, "tirage": self.state.revision}),
            );
        }
        assert!(writes.len() <= 16, "too many writes in a transaction");
        assert!(call.body.len() <= 64 * 1024, "transaction too large");
        self.state.revision += 1;
        self.state.changes += writes.len();
        let revision = self.state.revision;
        for write in &writes {
            if let Some(key) = write["set"].as_str() {
                assert!(write["v"].to_string().len() <= 32 * 1024, "value too large");
                let lease = write["bail"].as_u64();
                self.state
                    .items
                    .insert(key.into(), (write["v"].clone(), revision, lease));
                self.state
                    .events
                    .push((revision, key.into(), Some(write["v"].clone())));
            } else if let Some(key) = write["drop"].as_str() {
                self.state.items.remove(key);
                self.state.events.push((revision, key.into(), None));
            }
        }
        self.serve_watches();
        ok(200, json!({"tirage": revision}))
    }
}

//! Simulated consensus-backed key-value store with compare-and-swap transactions, leases,
//! lists and watches.

use super::events::{CallOrigin, Event};
use super::Simulation;
use lilacfork::messages::{Call, CallResult};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};

/// Largest number of records in one page of a list.
const MAX_PAGE_RECORDS: usize = 500;
/// Delay from the response to a watch until it reaches the watching controller.
const WATCH_LATENCY_MS: u64 = 1;
/// Limits of the protocol, which hold regardless of the [`SizeLimits`] that a test sets. A
/// transaction that exceeds one of them fails the test.
const MAX_TXN_WRITES: usize = 16;
const MAX_TXN_BYTES: usize = 64 * 1024;
const MAX_VALUE_BYTES: usize = 32 * 1024;
/// Number of compares allowed in a transaction for each put or delete that
/// [`SizeLimits::txn_ops`] allows.
const COMPARES_PER_OP: usize = 4;

/// The largest values and transactions that the store accepts.
#[derive(Clone, Copy, Debug)]
pub struct SizeLimits {
    /// Largest size of a value as JSON text.
    pub value_bytes: usize,
    /// Largest number of puts and deletes in a transaction.
    pub txn_ops: usize,
}

struct Lease {
    ttl_ms: u64,
    expires_ms: u64,
}

/// A change of a key. The value is `None` if the key was deleted.
struct Change {
    revision: u64,
    key: String,
    value: Option<Value>,
}

/// A pending watch call, which waits for changes of keys under a prefix after a revision.
struct Watch {
    origin: CallOrigin,
    prefix: String,
    from_revision: u64,
    until_ms: u64,
}

/// The state of the store, and the faults and limits that tests set.
#[derive(Default)]
pub struct KvStore {
    /// Value, revision of the last change, and lease if there is one, by key.
    pub items: BTreeMap<String, (Value, u64, Option<u64>)>,
    /// The revision of the last change.
    pub revision: u64,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    history: Vec<Change>,
    watches: Vec<Watch>,
    /// While set, calls other than watches are rejected with status 503, watches get no response
    /// and no lease expires.
    pub unavailable: bool,
    /// While set, watches stay open without a response.
    pub watches_stalled: bool,
    /// Transactions that exceed these limits, or contain larger values, are rejected. `None` if
    /// only the limits of the protocol apply.
    pub limits: Option<SizeLimits>,
    /// Number of puts and deletes applied so far.
    pub write_count: usize,
    /// Number of transactions rejected because they exceed [`KvStore::limits`].
    pub oversized_transactions: usize,
}

fn reply(status: u16, body: Value) -> CallResult {
    Ok((status, body.to_string().into_bytes()))
}

/// Returns the value of a parameter in a URL query, or the empty string if it is missing.
fn query_parameter<'a>(query: &'a str, name: &str) -> &'a str {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        .unwrap_or("")
}

impl KvStore {
    /// Adds a change at the current revision to the history.
    fn record_change(&mut self, key: &str, value: Option<Value>) {
        self.history.push(Change {
            revision: self.revision,
            key: key.into(),
            value,
        });
    }

    /// Returns the response to a watch: the changes under a prefix after a revision, and the
    /// store's current revision.
    fn changes_after(&self, prefix: &str, from_revision: u64) -> Value {
        let changes = self
            .history
            .iter()
            .filter(|change| change.revision > from_revision && change.key.starts_with(prefix));
        let events: Vec<Value> = changes
            .map(
                |Change {
                     revision,
                     key,
                     value,
                 }| match value {
                    Some(value) => json!({"set": key, "v": value, "retouche": revision}),
                    None => json!({"drop": key, "retouche": revision}),
                },
            )
            .collect();
        json!({"tirage": self.revision, "events": events})
    }

    /// Returns a page of the records under a prefix whose keys follow `after`.
    fn list(&self, prefix: &str, after: &str) -> CallResult {
        let mut rows: Vec<Value> = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .take(MAX_PAGE_RECORDS + 1)
            .map(|(key, item)| json!({"k": key, "v": item.0, "retouche": item.1}))
            .collect();
        let truncated = rows.len() > MAX_PAGE_RECORDS;
        rows.truncate(MAX_PAGE_RECORDS);
        let page = json!({"rows": rows, "truncated": truncated, "tirage": self.revision});
        reply(200, page)
    }

    fn get(&self, key: &str) -> CallResult {
        match self.items.get(key) {
            Some(item) => reply(200, json!({"k": key, "v": item.0, "retouche": item.1})),
            None => reply(404, json!({"tirage": self.revision})),
        }
    }

    /// Returns whether a transaction exceeds the limits set by the test.
    fn exceeds_limits(&self, txn: &Value, writes: &[Value]) -> bool {
        let Some(limits) = self.limits else {
            return false;
        };
        let value_bytes = |write: &Value| write.get("v").map_or(0, |v| v.to_string().len());
        let compares = txn["guards"].as_array().map_or(0, Vec::len);
        writes.len() > limits.txn_ops
            || compares > limits.txn_ops * COMPARES_PER_OP
            || writes
                .iter()
                .any(|write| value_bytes(write) > limits.value_bytes)
    }

    /// Returns the keys whose current revision differs from the revision that the transaction
    /// compares it with.
    fn failed_compares(&self, txn: &Value) -> Vec<String> {
        let key = |compare: &Value| compare["k"].as_str().unwrap_or("").to_string();
        let revision = |key: &str| self.items.get(key).map_or(0, |item| item.1);
        let compares = txn["guards"].as_array().into_iter().flatten();
        compares
            .filter(|compare| Some(revision(&key(compare))) != compare["retouche"].as_u64())
            .map(key)
            .collect()
    }

    /// Applies the writes of a transaction in one new revision.
    fn apply(&mut self, writes: &[Value]) {
        self.revision += 1;
        self.write_count += writes.len();
        for write in writes {
            if let Some(key) = write["set"].as_str() {
                let value = &write["v"];
                assert!(
                    value.to_string().len() <= MAX_VALUE_BYTES,
                    "a value exceeds {MAX_VALUE_BYTES} bytes"
                );
                let item = (value.clone(), self.revision, write["bail"].as_u64());
                self.items.insert(key.into(), item);
                self.record_change(key, Some(value.clone()));
            } else if let Some(key) = write["drop"].as_str() {
                self.items.remove(key);
                self.record_change(key, None);
            }
        }
    }

    /// Ends a lease and deletes its keys, each in a separate revision.
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.2 == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.items.remove(&key);
            self.record_change(&key, None);
        }
    }
}

impl Simulation {
    /// Executes a call. Returns `None` for a watch, which gets its response later.
    pub(super) fn kv_store_call(&mut self, origin: CallOrigin, call: &Call) -> Option<CallResult> {
        let (path, query) = call.path.split_once('?').unwrap_or((&call.path, ""));
        let is_watch = path == "/follow" && !query_parameter(query, "waitMs").is_empty();
        if self.kv_store.unavailable && !is_watch {
            return Some(reply(503, json!({})));
        }
        if is_watch {
            self.open_watch(origin, query);
            return None;
        }
        let (prefix, from) = (
            query_parameter(query, "under"),
            query_parameter(query, "from"),
        );
        let body: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        let outcome = match path {
            "/follow" => {
                let from_revision = from.parse().unwrap_or(0);
                reply(200, self.kv_store.changes_after(prefix, from_revision))
            }
            "/kv" => self.kv_store.list(prefix, from),
            "/leases" => self.grant_lease(&body),
            _ => {
                if let Some(key) = path.strip_prefix("/kv/") {
                    self.kv_store.get(key)
                } else if let Some(lease) = path.strip_prefix("/leases/") {
                    self.lease_call(lease, call.method)
                } else {
                    self.transaction(&body, call.body.len())
                }
            }
        };
        Some(outcome)
    }

    /// Registers a watch call, and responds to it immediately if there are changes already.
    fn open_watch(&mut self, origin: CallOrigin, query: &str) {
        let wait_ms: u64 = query_parameter(query, "waitMs").parse().unwrap_or(0);
        let until_ms = self.now_ms + wait_ms;
        self.kv_store.watches.push(Watch {
            origin,
            prefix: query_parameter(query, "under").into(),
            from_revision: query_parameter(query, "from").parse().unwrap_or(0),
            until_ms,
        });
        self.schedule(until_ms, Event::LeaseExpiry);
        self.serve_watches();
    }

    /// Responds to the watches that have changes or whose waiting time has passed. Does nothing
    /// during an outage and while watches are stalled.
    fn serve_watches(&mut self) {
        if self.kv_store.unavailable || self.kv_store.watches_stalled {
            return;
        }
        for watch in std::mem::take(&mut self.kv_store.watches) {
            let changes = self
                .kv_store
                .changes_after(&watch.prefix, watch.from_revision);
            let has_no_changes = changes["events"].as_array().is_none_or(Vec::is_empty);
            if has_no_changes && self.now_ms < watch.until_ms {
                self.kv_store.watches.push(watch);
            } else {
                self.return_outcome(watch.origin, WATCH_LATENCY_MS, reply(200, changes));
            }
        }
    }

    fn grant_lease(&mut self, body: &Value) -> CallResult {
        let ttl_ms = body["ttlMs"].as_u64().unwrap_or(1000);
        let expires_ms = self.now_ms + ttl_ms;
        self.kv_store.last_lease += 1;
        let id = self.kv_store.last_lease;
        self.kv_store
            .leases
            .insert(id, Lease { ttl_ms, expires_ms });
        self.schedule(expires_ms + 1, Event::LeaseExpiry);
        reply(200, json!({ "bail": id }))
    }

    /// Revokes a lease (`DELETE`) or renews it.
    fn lease_call(&mut self, path: &str, method: &str) -> CallResult {
        let id = path.split('/').next().and_then(|id| id.parse().ok());
        let id: u64 = id.unwrap_or(0);
        let Some(lease) = self.kv_store.leases.get_mut(&id) else {
            return reply(404, json!({}));
        };
        if method == "DELETE" {
            self.kv_store.end_lease(id);
            self.serve_watches();
        } else {
            lease.expires_ms = self.now_ms + lease.ttl_ms;
            let check_ms = lease.expires_ms + 1;
            self.schedule(check_ms, Event::LeaseExpiry);
        }
        reply(200, json!({}))
    }

    /// Ends the leases that have expired, and responds to watches of their keys. No lease expires
    /// during an outage.
    pub(super) fn expire_leases(&mut self) {
        if self.kv_store.unavailable {
            return;
        }
        let leases = self.kv_store.leases.iter();
        let expired: Vec<u64> = leases
            .filter(|(_, lease)| lease.expires_ms <= self.now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.kv_store.end_lease(id);
            self.serve_watches();
        }
    }

    /// Ends an outage and renews every lease for its full time to live.
    pub fn end_kv_store_outage(&mut self) {
        self.kv_store.unavailable = false;
        let now_ms = self.now_ms;
        let mut checks_ms = Vec::new();
        for lease in self.kv_store.leases.values_mut() {
            lease.expires_ms = now_ms + lease.ttl_ms;
            checks_ms.push(lease.expires_ms + 1);
        }
        for check_ms in checks_ms {
            self.schedule(check_ms, Event::LeaseExpiry);
        }
        self.serve_watches();
    }

    /// Applies the writes of a transaction if all its compares succeed.
    fn transaction(&mut self, txn: &Value, bytes: usize) -> CallResult {
        let writes = txn["writes"].as_array().cloned().unwrap_or_default();
        if self.kv_store.exceeds_limits(txn, &writes) {
            self.kv_store.oversized_transactions += 1;
            return reply(400, json!({"error": "too large"}));
        }
        let failed = self.kv_store.failed_compares(txn);
        if !failed.is_empty() {
            let revision = self.kv_store.revision;
            return reply(409, json!({"failed": failed, "tirage": revision}));
        }
        assert!(
            writes.len() <= MAX_TXN_WRITES,
            "a transaction exceeds {MAX_TXN_WRITES} writes"
        );
        assert!(
            bytes <= MAX_TXN_BYTES,
            "a transaction exceeds {MAX_TXN_BYTES} bytes"
        );
        self.kv_store.apply(&writes);
        let revision = self.kv_store.revision;
        self.serve_watches();
        reply(200, json!({ "tirage": revision }))
    }
}

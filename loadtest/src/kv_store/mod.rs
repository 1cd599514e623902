//! A simulated key-value store that implements the store's published protocol:
//! transactions with compares, leases, lists, watches and the two rate limits. Fault
//! injection can have it reject requests. The store has a listener for each controller, so
//! that it can reject the requests of a single controller.

mod protocol;
mod rate_limit;
mod storage;

use crate::control::{SimulatorCommand, Stats};
use crate::history::Recorder;
use crate::net::{now_us, Incoming, Network, RequestHandle};
use crate::process::{ProcessConfig, Simulator, CONTROL_LISTENER};
use crate::scenario::StateSettings;
use lilacfork::messages::{Reply, Request};
use protocol::{GrantBody, Page, Row, TransactionBody, WriteBody};
use rate_limit::RateLimit;
use serde_json::json;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddrV4;
use storage::Storage;

/// The largest number of rows on a page of a list.
const MAX_PAGE_ITEMS: usize = 1000;
/// A page ends after the row with which its size exceeds this limit.
const MAX_PAGE_BYTES: usize = 512 * 1024;
/// The bytes that a row occupies on a page in addition to its key and value.
const ROW_OVERHEAD_BYTES: usize = 60;
const MAX_TRANSACTION_BYTES: usize = 64 * 1024;
/// How often the store checks leases and watches for expiry.
const CHECK_INTERVAL_US: u64 = 20_000;
const MAX_WATCH_MS: u64 = 60_000;

struct Watch {
    request_handle: RequestHandle,
    controller: usize,
    prefix: String,
    /// The watch reports changes with a higher revision.
    after_revision: u64,
    deadline_us: u64,
}

/// A response that is held back until its delay has passed.
struct DelayedReply {
    due_us: u64,
    request_handle: RequestHandle,
    reply: Reply,
}

/// A simulated key-value store with its content, limits and open watches.
pub struct KvStoreSimulator {
    settings: StateSettings,
    storage: Storage,
    watches: Vec<Watch>,
    request_limit: RateLimit,
    write_limit: RateLimit,
    /// The time until which each controller's requests are rejected; 0 if none has been set.
    rejected_until_us: Vec<u64>,
    counters: BTreeMap<&'static str, f64>,
    response_delay_us: u64,
    /// In the order in which they are due.
    delayed: VecDeque<DelayedReply>,
}

/// Returns the value of a query parameter, or an empty string if the query lacks it.
fn query_parameter(query: &str, name: &str) -> String {
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        .unwrap_or("")
        .to_string()
}

impl KvStoreSimulator {
    /// Creates an empty store and opens a listener for each controller.
    pub fn new(
        config: &ProcessConfig,
        net: &mut Network,
        listeners: &mut Vec<SocketAddrV4>,
    ) -> io::Result<KvStoreSimulator> {
        let controllers = config.scenario.controllers.count;
        for _ in 0..controllers {
            listeners.push(net.listen()?);
        }
        let settings = config.scenario.state.clone();
        Ok(KvStoreSimulator {
            response_delay_us: (settings.response_delay_ms * 1000.0) as u64,
            delayed: VecDeque::new(),
            request_limit: RateLimit::new(settings.rps),
            write_limit: RateLimit::new(settings.write_rps),
            rejected_until_us: vec![0; controllers as usize],
            settings,
            storage: Storage::default(),
            watches: Vec::new(),
            counters: BTreeMap::new(),
        })
    }

    fn count(&mut self, counter: &'static str, by: f64) {
        *self.counters.entry(counter).or_insert(0.0) += by;
    }

    fn rejects_requests_of(&self, controller: usize) -> bool {
        now_us() < self.rejected_until_us[controller]
    }

    fn handle_request(
        &mut self,
        net: &mut Network,
        controller: usize,
        request_handle: RequestHandle,
        request: &Request,
    ) {
        let now_us = now_us();
        self.count("requests", 1.0);
        if self.rejects_requests_of(controller) {
            net.reply(request_handle, &Reply::error(503, "refused"));
            return;
        }
        if !self.request_limit.try_take(now_us, 1.0) {
            self.count("refused", 1.0);
            net.reply(request_handle, &Reply::error(429, "too many requests"));
            return;
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let parameter = |name: &str| query_parameter(query, name);
        let reply = match (request.method.as_str(), path) {
            ("GET", "/follow") => {
                let wait_ms = parameter("waitMs").parse().unwrap_or(0);
                let watch = Watch {
                    request_handle,
                    controller,
                    prefix: parameter("under"),
                    after_revision: parameter("from").parse().unwrap_or(0),
                    deadline_us: now_us + MAX_WATCH_MS.min(wait_ms) * 1000,
                };
                let Some(reply) = self.watch_reply(&watch, now_us) else {
                    self.watches.push(watch);
                    return;
                };
                reply
            }
            ("GET", "/kv") => self.list(
                &parameter("under"),
                &parameter("from"),
                parameter("limit").parse().unwrap_or(MAX_PAGE_ITEMS),
            ),
            ("GET", key) => self.get(key.strip_prefix("/kv/").unwrap_or("")),
            ("POST", "/txn") => self.transaction(now_us, &request.body),
            ("POST", "/leases") => self.grant_lease(now_us, &request.body),
            (method, path) => self.renew_or_end_lease(now_us, method, path),
        };
        self.reply(net, now_us, request_handle, reply);
        self.complete_watches(net, now_us);
    }

    /// Sends a response after the delay that the scenario configures.
    fn reply(
        &mut self,
        net: &mut Network,
        now_us: u64,
        request_handle: RequestHandle,
        reply: Reply,
    ) {
        if self.response_delay_us == 0 {
            net.reply(request_handle, &reply);
        } else {
            self.delayed.push_back(DelayedReply {
                due_us: now_us + self.response_delay_us,
                request_handle,
                reply,
            });
        }
    }

    fn get(&self, key: &str) -> Reply {
        match self.storage.get(key) {
            Some(item) => Reply::json(200, &Row::new(key, item)),
            None => Reply::json(404, &json!({"tirage": self.storage.revision()})),
        }
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Reply {
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut truncated = false;
        for (key, item) in self.storage.range(prefix, after) {
            truncated = rows.len() >= limit.min(MAX_PAGE_ITEMS) || bytes > MAX_PAGE_BYTES;
            if truncated {
                break;
            }
            bytes += key.len() + item.value.get().len() + ROW_OVERHEAD_BYTES;
            rows.push(Row::new(key, item));
        }
        let page = Page {
            rows,
            truncated,
            revision: self.storage.revision(),
        };
        Reply::json(200, &page)
    }

    /// Replaces the write rate, value size and transaction size limits by those that the
    /// scenario announces in `state.next`.
    fn apply_next_limits(&mut self) {
        let Some(next) = self.settings.next.clone() else {
            return;
        };
        self.write_limit = RateLimit::new(next.write_rps);
        self.settings.value_kb = next.value_kb;
        self.settings.txn_ops = next.txn_ops;
    }

    /// Checks a transaction against the limits, its compares and its leases, in this order,
    /// and applies all writes or none.
    fn transaction(&mut self, now_us: u64, body: &[u8]) -> Reply {
        let Ok(transaction) = serde_json::from_slice::<TransactionBody>(body) else {
            return Reply::error(400, "malformed");
        };
        let writes = transaction.writes;
        if writes.len() > self.settings.txn_ops as usize || body.len() > MAX_TRANSACTION_BYTES {
            return Reply::error(400, "too large");
        }
        if !writes.is_empty() && !self.write_limit.try_take(now_us, writes.len() as f64) {
            self.count("refused", 1.0);
            return Reply::error(429, "too many changes");
        }
        if self.has_oversized_value(&writes) {
            self.count("too_large", 1.0);
            return Reply::error(400, "value too large");
        }
        let revision_of = |key: &str| self.storage.get(key).map_or(0, |item| item.revision);
        let failed: Vec<&str> = transaction
            .compares
            .iter()
            .filter(|compare| revision_of(&compare.key) != compare.revision)
            .map(|compare| compare.key.as_str())
            .collect();
        if !failed.is_empty() {
            let revision = self.storage.revision();
            return Reply::json(409, &json!({"failed": failed, "tirage": revision}));
        }
        let has_valid_lease = |write: &WriteBody| {
            let exists = |lease| self.storage.has_lease(lease);
            write.lease.is_none_or(exists)
        };
        if !writes.iter().all(has_valid_lease) {
            return Reply::error(400, "no such lease");
        }
        self.apply_writes(writes);
        Reply::json(200, &json!({"tirage": self.storage.revision()}))
    }

    /// Reports whether a written value exceeds the size limit.
    fn has_oversized_value(&self, writes: &[WriteBody]) -> bool {
        let max_bytes = (self.settings.value_kb * 1024.0) as usize;
        writes
            .iter()
            .filter_map(|write| write.value.as_ref())
            .any(|value| value.get().len() > max_bytes)
    }

    fn apply_writes(&mut self, writes: Vec<WriteBody>) {
        self.count("changes", writes.len() as f64);
        if !writes.is_empty() {
            self.storage.begin_revision();
        }
        for write in writes {
            match (write.set, write.value, write.delete) {
                (Some(key), Some(value), _) => self.storage.put(key, value, write.lease),
                (_, _, Some(key)) => self.storage.delete(key),
                _ => {}
            }
        }
    }

    fn grant_lease(&mut self, now_us: u64, body: &[u8]) -> Reply {
        let Ok(body) = serde_json::from_slice::<GrantBody>(body) else {
            return Reply::error(400, "malformed");
        };
        let lease = self.storage.grant_lease(now_us, body.ttl_ms * 1000);
        Reply::json(200, &json!({"bail": lease}))
    }

    fn renew_or_end_lease(&mut self, now_us: u64, method: &str, path: &str) -> Reply {
        let lease: u64 = path
            .strip_prefix("/leases/")
            .and_then(|rest| rest.split('/').next())
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        if !self.storage.has_lease(lease) {
            return Reply::error(404, "no such lease");
        }
        if method == "DELETE" {
            self.storage.end_lease(lease);
        } else {
            self.storage.renew_lease(now_us, lease);
        }
        Reply::json(200, &json!({}))
    }

    /// Returns the response to a watch, or `None` while the watch has neither changes to
    /// report nor reached its deadline.
    fn watch_reply(&self, watch: &Watch, now_us: u64) -> Option<Reply> {
        let Some(changes) = self
            .storage
            .changes_since(watch.after_revision, &watch.prefix)
        else {
            return Some(Reply::error(410, "too old"));
        };
        let events: Vec<serde_json::Value> = changes
            .map(|change| match &change.value {
                Some(value) => json!({"set": change.key, "v": value, "retouche": change.revision}),
                None => json!({"drop": change.key, "retouche": change.revision}),
            })
            .collect();
        if events.is_empty() && now_us < watch.deadline_us {
            return None;
        }
        let revision = self.storage.revision();
        Some(Reply::json(
            200,
            &json!({"tirage": revision, "events": events}),
        ))
    }

    /// Responds to the watches that have changes to report or have reached their deadline.
    fn complete_watches(&mut self, net: &mut Network, now_us: u64) {
        let mut waiting = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            // A watch stays open while the store rejects its controller's requests.
            let reply = if self.rejects_requests_of(watch.controller) {
                None
            } else {
                self.watch_reply(&watch, now_us)
            };
            match reply {
                Some(reply) => net.reply(watch.request_handle, &reply),
                None => waiting.push(watch),
            }
        }
        self.watches = waiting;
    }

    /// Rejects the requests of one controller, or of all controllers if `controller` is
    /// `None`, for this duration.
    fn reject_requests(&mut self, controller: Option<usize>, for_ms: u64) {
        let until_us = now_us() + for_ms * 1000;
        match controller {
            Some(controller) => self.rejected_until_us[controller] = until_us,
            None => {
                self.rejected_until_us.fill(until_us);
                // Every lease has its full time to live when the outage ends.
                self.storage.renew_all_leases(until_us);
            }
        }
    }
}

impl Simulator for KvStoreSimulator {
    fn incoming(&mut self, net: &mut Network, incoming: Incoming) -> io::Result<()> {
        if let Incoming::Request {
            listener,
            request_handle,
            request,
        } = incoming
        {
            let controller = listener - CONTROL_LISTENER - 1;
            self.handle_request(net, controller, request_handle, &request);
        }
        Ok(())
    }

    fn tick(&mut self, net: &mut Network) -> io::Result<u64> {
        let now_us = now_us();
        self.storage.expire_leases(now_us);
        self.complete_watches(net, now_us);
        while let Some(delayed) = self
            .delayed
            .pop_front_if(|delayed| delayed.due_us <= now_us)
        {
            net.reply(delayed.request_handle, &delayed.reply);
        }
        let delayed_us = self.delayed.front().map(|delayed| delayed.due_us);
        Ok(delayed_us
            .unwrap_or(u64::MAX)
            .min(now_us + CHECK_INTERVAL_US))
    }

    fn command(&mut self, _: &mut Network, command: &SimulatorCommand) -> io::Result<()> {
        match command {
            SimulatorCommand::RejectRequests { controller, for_ms } => {
                self.reject_requests(*controller, *for_ms);
            }
            SimulatorCommand::ApplyNextLimits => self.apply_next_limits(),
            _ => {}
        }
        Ok(())
    }

    fn stats(&self, stats: &mut Stats) {
        let counted = self
            .counters
            .iter()
            .map(|(name, value)| (name.to_string(), *value));
        stats.counters.extend(counted);
        let storage = [
            ("records", self.storage.len()),
            ("record_bytes", self.storage.bytes()),
        ];
        let storage = storage.map(|(name, value)| (name.to_string(), value as f64));
        stats.counters.extend(storage);
    }

    fn recorder(&mut self) -> Option<&mut Recorder> {
        None
    }
}

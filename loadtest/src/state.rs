//! A stand-in for the state service, by its published protocol: transactions with
//! guards, leases, lists, watches, its two rates, and refusals on demand. It has
//! a listener for each controller, so that it can refuse one alone.

use crate::control::{Command, Stats};
use crate::history::Recorder;
use crate::net::{now_us, Asker, Incoming, Net};
use crate::part::{Part, PartConfig};
use crate::scenario::StateSettings;
use lilacfork::messages::{Reply, Request};
use serde::{Deserialize, Serialize};
use serde_json::json;
use serde_json::value::RawValue;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::SocketAddrV4;
use std::ops::Bound;

/// So many changes can be watched afterwards.
const KEPT_CHANGES: usize = 10_000;
/// Limits of a page.
const PAGE_ITEMS: usize = 1000;
const PAGE_BYTES: usize = 512 * 1024;
/// How often leases and watches are looked at, in microseconds.
const LOOK_US: u64 = 20_000;
const LONGEST_WATCH_MS: u64 = 60_000;

struct Stored {
    value: Box<RawValue>,
    revision: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl_us: u64,
    ends_us: u64,
}

struct Change {
    revision: u64,
    key: String,
    /// What it was set to; `None`: it was removed.
    value: Option<Box<RawValue>>,
}

struct Watch {
    asker: Asker,
    controller: usize,
    prefix: String,
    after: u64,
    until_us: u64,
}

/// Tokens worth one second.
struct Rate {
    per_s: f64,
    level: f64,
    at_us: u64,
}

impl Rate {
    fn new(per_s: f64) -> Rate {
        Rate {
            per_s,
            level: per_s,
            at_us: now_us(),
        }
    }

    fn take(&mut self, now_us: u64, count: f64) -> bool {
        let passed_s = now_us.saturating_sub(self.at_us) as f64 / 1e6;
        self.level = (self.level + passed_s * self.per_s).min(self.per_s);
        self.at_us = now_us;
        let enough = self.level >= count;
        if enough {
            self.level -= count;
        }
        enough
    }
}

#[derive(Deserialize)]
struct GuardBody {
    k: String,
    retouche: u64,
}

#[derive(Deserialize)]
struct WriteBody {
    set: Option<String>,
    v: Option<Box<RawValue>>,
    bail: Option<u64>,
    drop: Option<String>,
}

#[derive(Deserialize)]
struct TxnBody {
    #[serde(default)]
    guards: Vec<GuardBody>,
    #[serde(default)]
    writes: Vec<WriteBody>,
}

#[derive(Serialize)]
struct Row<'a> {
    k: &'a str,
    v: &'a RawValue,
    retouche: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    bail: Option<u64>,
}

/// The state service.
pub struct StatePart {
    settings: StateSettings,
    items: BTreeMap<String, Stored>,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
    revision: u64,
    changes: VecDeque<Change>,
    watches: Vec<Watch>,
    requests: Rate,
    writes: Rate,
    /// Until when each controller is refused.
    refused_us: Vec<u64>,
    counters: BTreeMap<&'static str, f64>,
    /// Each answer goes out so much later.
    answer_us: u64,
    /// Answers that wait for that.
    late: VecDeque<(u64, Asker, Reply)>,
}

impl StatePart {
    /// An empty store.
    pub fn new(
        config: &PartConfig,
        net: &mut Net,
        listeners: &mut Vec<SocketAddrV4>,
    ) -> io::Result<StatePart> {
        for _ in 0..config.scenario.controllers.count {
            listeners.push(net.listen()?);
        }
        let settings = config.scenario.state.clone();
        Ok(StatePart {
            answer_us: (config.scenario.state.answer_ms * 1000.0) as u64,
            late: VecDeque::new(),
            requests: Rate::new(settings.rps),
            writes: Rate::new(settings.write_rps),
            refused_us: vec![0; config.scenario.controllers.count as usize],
            settings,
            items: BTreeMap::new(),
            leases: HashMap::new(),
            next_lease: 0,
            revision: 0,
            changes: VecDeque::new(),
            watches: Vec::new(),
            counters: BTreeMap::new(),
        })
    }

    fn count(&mut self, name: &'static str, by: f64) {
        *self.counters.entry(name).or_insert(0.0) += by;
    }

    fn refuses(&self, controller: usize) -> bool {
        now_us() < self.refused_us[controller]
    }

    fn request(&mut self, net: &mut Net, controller: usize, asker: Asker, request: &Request) {
        let now = now_us();
        self.count("requests", 1.0);
        if self.refuses(controller) {
            net.reply(asker, &Reply::error(503, "refused"));
            return;
        }
        if !self.requests.take(now, 1.0) {
            self.count("refused", 1.0);
            net.reply(asker, &Reply::error(429, "too many requests"));
            return;
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let param = |name: &str| {
            let found = query
                .split('&')
                .find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
            found.unwrap_or("").to_string()
        };
        let reply = match (request.method.as_str(), path) {
            ("GET", "/follow") => {
                let wait_ms = param("waitMs").parse().unwrap_or(0);
                let watch = Watch {
                    asker,
                    controller,
                    prefix: param("under"),
                    after: param("from").parse().unwrap_or(0),
                    until_us: now + LONGEST_WATCH_MS.min(wait_ms) * 1000,
                };
                match self.watch_answer(&watch, now) {
                    Some(reply) => reply,
                    None => {
                        self.watches.push(watch);
                        return;
                    }
                }
            }
            ("GET", "/kv") => self.list(
                &param("under"),
                &param("from"),
                param("limit").parse().unwrap_or(PAGE_ITEMS),
            ),
            ("GET", key) => self.get(key.strip_prefix("/kv/").unwrap_or("")),
            ("POST", "/txn") => self.transaction(now, &request.body),
            ("POST", "/leases") => self.grant(now, &request.body),
            (method, path) => self.lease(now, method, path),
        };
        self.reply(net, now, asker, reply);
        self.serve_watches(net, now);
    }

    /// Answers, as late as the scenario says.
    fn reply(&mut self, net: &mut Net, now: u64, asker: Asker, reply: Reply) {
        if self.answer_us == 0 {
            net.reply(asker, &reply);
        } else {
            self.late.push_back((now + self.answer_us, asker, reply));
        }
    }

    fn get(&self, key: &str) -> Reply {
        match self.items.get(key) {
            Some(item) => Reply::json(200, &row(key, item)),
            None => Reply::json(404, &json!({"tirage": self.revision})),
        }
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Reply {
        let from = if after.is_empty() {
            Bound::Included(prefix)
        } else {
            Bound::Excluded(after)
        };
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, item) in self.items.range::<str, _>((from, Bound::Unbounded)) {
            if !key.starts_with(prefix) {
                break;
            }
            more = rows.len() >= limit.min(PAGE_ITEMS) || bytes > PAGE_BYTES;
            if more {
                break;
            }
            bytes += key.len() + item.value.get().len() + 60;
            rows.push(row(key, item));
        }
        #[derive(Serialize)]
        struct Page<'a> {
            rows: Vec<Row<'a>>,
            truncated: bool,
            tirage: u64,
        }
        let page = Page {
            rows,
            truncated: more,
            tirage: self.revision,
        };
        Reply::json(200, &page)
    }

    fn lower_limits(&mut self) {
        let Some(next) = self.settings.next.clone() else {
            return;
        };
        self.writes = Rate::new(next.write_rps);
        self.settings.value_kb = next.value_kb;
        self.settings.txn_ops = next.txn_ops;
    }

    fn transaction(&mut self, now: u64, body: &[u8]) -> Reply {
        let Ok(txn) = serde_json::from_slice::<TxnBody>(body) else {
            return Reply::error(400, "malformed");
        };
        if txn.writes.len() > self.settings.txn_ops as usize || body.len() > 64 * 1024 {
            return Reply::error(400, "too large");
        }
        if !txn.writes.is_empty() && !self.writes.take(now, txn.writes.len() as f64) {
            self.count("refused", 1.0);
            return Reply::error(429, "too many changes");
        }
        let most_bytes = (self.settings.value_kb * 1024.0) as usize;
        let large = |w: &WriteBody| w.v.as_ref().is_some_and(|v| v.get().len() > most_bytes);
        if txn.writes.iter().any(large) {
            self.count("too_large", 1.0);
            return Reply::error(400, "value too large");
        }
        let held = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let failed: Vec<&str> = txn
            .guards
            .iter()
            .filter(|g| held(&g.k) != g.retouche)
            .map(|g| g.k.as_str())
            .collect();
        if !failed.is_empty() {
            return Reply::json(409, &json!({"failed": failed, "tirage": self.revision}));
        }
        let known = |lease: Option<u64>| lease.is_none_or(|l| self.leases.contains_key(&l));
        if !txn.writes.iter().all(|w| known(w.bail)) {
            return Reply::error(400, "no such lease");
        }
        self.count("changes", txn.writes.len() as f64);
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        for write in txn.writes {
            match (write.set, write.v, write.drop) {
                (Some(key), Some(value), _) => self.put(key, value, write.bail),
                (_, _, Some(key)) => self.remove(key),
                _ => {}
            }
        }
        Reply::json(200, &json!({"tirage": self.revision}))
    }

    fn put(&mut self, key: String, value: Box<RawValue>, lease: Option<u64>) {
        let stored = Stored {
            value: value.clone(),
            revision: self.revision,
            lease,
        };
        self.items.insert(key.clone(), stored);
        self.changed(key, Some(value));
    }

    fn remove(&mut self, key: String) {
        if self.items.remove(&key).is_some() {
            self.changed(key, None);
        }
    }

    fn changed(&mut self, key: String, value: Option<Box<RawValue>>) {
        self.changes.push_back(Change {
            revision: self.revision,
            key,
            value,
        });
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    fn grant(&mut self, now: u64, body: &[u8]) -> Reply {
        #[derive(Deserialize)]
        struct Body {
            #[serde(rename = "ttlMs")]
            ttl_ms: u64,
        }
        let Ok(body) = serde_json::from_slice::<Body>(body) else {
            return Reply::error(400, "malformed");
        };
        self.next_lease += 1;
        let ttl_us = body.ttl_ms * 1000;
        let ends_us = now + ttl_us;
        self.leases
            .insert(self.next_lease, Lease { ttl_us, ends_us });
        Reply::json(200, &json!({"bail": self.next_lease}))
    }

    fn lease(&mut self, now: u64, method: &str, path: &str) -> Reply {
        let id = path
            .strip_prefix("/leases/")
            .and_then(|rest| rest.split('/').next());
        let id: u64 = id.and_then(|id| id.parse().ok()).unwrap_or(0);
        let Some(lease) = self.leases.get_mut(&id) else {
            return Reply::error(404, "no such lease");
        };
        if method == "DELETE" {
            self.end_lease(id);
        } else {
            lease.ends_us = now + lease.ttl_us;
        }
        Reply::json(200, &json!({}))
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, item)| item.lease == Some(id));
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        self.revision += u64::from(!keys.is_empty());
        for key in keys {
            self.remove(key);
        }
    }

    /// The answer to a watch; `None`: it still waits.
    fn watch_answer(&self, watch: &Watch, now: u64) -> Option<Reply> {
        let oldest = self.changes.front().map_or(0, |c| c.revision);
        if self.changes.len() >= KEPT_CHANGES && watch.after < oldest {
            return Some(Reply::error(410, "too old"));
        }
        let first = self.changes.partition_point(|c| c.revision <= watch.after);
        let seen = self
            .changes
            .range(first..)
            .filter(|c| c.key.starts_with(&watch.prefix));
        let events: Vec<serde_json::Value> = seen
            .map(|c| match &c.value {
                Some(v) => json!({"set": c.key, "v": v, "retouche": c.revision}),
                None => json!({"drop": c.key, "retouche": c.revision}),
            })
            .collect();
        (!events.is_empty() || now >= watch.until_us)
            .then(|| Reply::json(200, &json!({"tirage": self.revision, "events": events})))
    }

    fn serve_watches(&mut self, net: &mut Net, now: u64) {
        let mut waiting = Vec::new();
        for watch in std::mem::take(&mut self.watches) {
            // During an outage open watches stay open.
            let answer = match self.refuses(watch.controller) {
                true => None,
                false => self.watch_answer(&watch, now),
            };
            match answer {
                Some(reply) => net.reply(watch.asker, &reply),
                None => waiting.push(watch),
            }
        }
        self.watches = waiting;
    }

    fn refuse(&mut self, controller: Option<usize>, for_ms: u64) {
        let until_us = now_us() + for_ms * 1000;
        match controller {
            Some(one) => self.refused_us[one] = until_us,
            None => {
                self.refused_us.fill(until_us);
                // Once an outage is over, every lease has its full time again.
                for lease in self.leases.values_mut() {
                    lease.ends_us = until_us + lease.ttl_us;
                }
            }
        }
    }
}

fn row<'a>(key: &'a str, item: &'a Stored) -> Row<'a> {
    Row {
        k: key,
        v: &item.value,
        retouche: item.revision,
        bail: item.lease,
    }
}

impl Part for StatePart {
    fn incoming(&mut self, net: &mut Net, incoming: Incoming) -> io::Result<()> {
        if let Incoming::Request {
            listener,
            asker,
            request,
        } = incoming
        {
            self.request(net, listener - 1, asker, &request);
        }
        Ok(())
    }

    fn tick(&mut self, net: &mut Net) -> io::Result<u64> {
        let now = now_us();
        let ended = self.leases.iter().filter(|(_, l)| l.ends_us <= now);
        for id in ended.map(|(id, _)| *id).collect::<Vec<u64>>() {
            self.end_lease(id);
        }
        self.serve_watches(net, now);
        while self.late.front().is_some_and(|(due_us, ..)| *due_us <= now) {
            if let Some((_, asker, reply)) = self.late.pop_front() {
                net.reply(asker, &reply);
            }
        }
        let late_us = self.late.front().map_or(u64::MAX, |(due_us, ..)| *due_us);
        Ok(late_us.min(now + LOOK_US))
    }

    fn command(&mut self, _: &mut Net, command: &Command) -> io::Result<()> {
        match command {
            Command::Refuse { controller, for_ms } => self.refuse(*controller, *for_ms),
            Command::LowerLimits => self.lower_limits(),
            _ => {}
        }
        Ok(())
    }

    fn stats(&self, stats: &mut Stats) {
        let own = self.counters.iter().map(|(name, n)| (name.to_string(), *n));
        stats.counters.extend(own);
        let bytes: usize = self
            .items
            .iter()
            .map(|(k, i)| k.len() + i.value.get().len())
            .sum();
        stats
            .counters
            .insert("records".into(), self.items.len() as f64);
        stats.counters.insert("record_bytes".into(), bytes as f64);
    }

    fn recorder(&mut self) -> Option<&mut Recorder> {
        None
    }
}

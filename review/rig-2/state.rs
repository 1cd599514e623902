//! Stand-in of the state service.

use crate::base::{parse, reply, serve, Answer, Record, Req, J};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The link between one controller and a service.
pub const OPEN: u8 = 0;
/// Every request gets 503.
pub const REFUSES: u8 = 1;
/// Nothing passes. What was sent in the meantime is lost, and its connection is reset
/// when the cut ends.
pub const CUT: u8 = 2;

const KEPT_CHANGES: usize = 10_000;

struct Item {
    value: J,
    revision: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

struct Change {
    revision: u64,
    key: String,
    value: Option<J>,
}

struct Bucket {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            rate,
            level: rate,
            at: Instant::now(),
        }
    }
    fn take(&mut self, cost: f64) -> bool {
        let now = Instant::now();
        self.level = (self.level + (now - self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        if self.level < cost {
            return false;
        }
        self.level -= cost;
        true
    }
}

struct Inner {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: VecDeque<Change>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    requests: Bucket,
    writes: Bucket,
}

impl Inner {
    fn put(&mut self, key: &str, value: J, lease: Option<u64>) {
        let revision = self.revision;
        self.log(key, Some(value.clone()));
        self.items.insert(
            key.to_string(),
            Item {
                value,
                revision,
                lease,
            },
        );
    }
    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.log(key, None);
        }
    }
    fn log(&mut self, key: &str, value: Option<J>) {
        self.changes.push_back(Change {
            revision: self.revision,
            key: key.to_string(),
            value,
        });
        while self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            for key in keys {
                self.delete(&key);
            }
        }
    }
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends < now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }
}

pub struct State {
    inner: Mutex<Inner>,
    changed: Condvar,
    value_bytes: usize,
    txn_ops: usize,
    pub links: Vec<Arc<AtomicU8>>,
}

impl State {
    /// Starts the service with a port for each of `nodes` controllers; returns it and the
    /// addresses.
    pub fn start(
        nodes: usize,
        rps: f64,
        write_rps: f64,
        txn_ops: usize,
        stop: Arc<AtomicBool>,
    ) -> (Arc<State>, Vec<String>) {
        let state = Arc::new(State {
            inner: Mutex::new(Inner {
                revision: 1,
                items: BTreeMap::new(),
                changes: VecDeque::new(),
                leases: HashMap::new(),
                last_lease: 0,
                requests: Bucket::new(rps),
                writes: Bucket::new(write_rps),
            }),
            changed: Condvar::new(),
            value_bytes: 32 * 1024,
            txn_ops,
            links: (0..nodes).map(|_| Arc::new(AtomicU8::new(OPEN))).collect(),
        });
        let mut addresses = Vec::new();
        for node in 0..nodes {
            let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
            addresses.push(listener.local_addr().expect("address").to_string());
            let service = state.clone();
            serve(
                listener,
                stop.clone(),
                Arc::new(move |request| service.on_link(node, request)),
            );
        }
        let service = state.clone();
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                service.inner.lock().unwrap().expire();
                service.changed.notify_all();
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        (state, addresses)
    }

    /// Reads a value for the test itself.
    pub fn read(&self, key: &str) -> Option<J> {
        let inner = self.inner.lock().unwrap();
        inner.items.get(key).map(|item| item.value.clone())
    }

    /// The name of the leading controller, by the record that it holds.
    pub fn leader(&self) -> Option<String> {
        self.read("leader/key").map(|value| value.text("node"))
    }

    fn on_link(&self, node: usize, request: &Req) -> Answer {
        let link = &self.links[node];
        match link.load(Ordering::SeqCst) {
            REFUSES => return reply(503, "{\"error\":\"trouble\"}"),
            CUT => return self.lost(link),
            _ => {}
        }
        std::thread::sleep(Duration::from_millis(4));
        let answer = self.handle(link, request);
        if link.load(Ordering::SeqCst) == CUT {
            return self.lost(link);
        }
        answer
    }

    fn lost(&self, link: &AtomicU8) -> Answer {
        while link.load(Ordering::SeqCst) == CUT {
            std::thread::sleep(Duration::from_millis(20));
        }
        Answer::Close
    }

    fn handle(&self, link: &AtomicU8, request: &Req) -> Answer {
        let mut inner = self.inner.lock().unwrap();
        inner.expire();
        if !inner.requests.take(1.0) {
            return reply(429, "{\"error\":\"too many requests\"}");
        }
        let method = request.method.as_str();
        let path = request.path.as_str();
        if method == "GET" && path == "/kv" {
            return list(&inner, request);
        }
        if let (true, Some(key)) = (method == "GET", path.strip_prefix("/kv/")) {
            return match inner.items.get(key) {
                Some(item) => reply(200, row(key, item).to_text()),
                None => reply(404, format!("{{\"tirage\":{}}}", inner.revision)),
            };
        }
        if method == "GET" && path == "/follow" {
            drop(inner);
            return self.follow(link, request);
        }
        if method == "POST" && path == "/txn" {
            let answer = self.txn(&mut inner, request);
            drop(inner);
            self.changed.notify_all();
            return answer;
        }
        if method == "POST" && path == "/leases" {
            let ttl = Duration::from_millis(request.json().num("ttlMs"));
            inner.last_lease += 1;
            let id = inner.last_lease;
            let ends = Instant::now() + ttl;
            inner.leases.insert(id, Lease { ttl, ends });
            return reply(200, format!("{{\"bail\":{id}}}"));
        }
        if let Some(rest) = path.strip_prefix("/leases/") {
            let id: u64 = rest.trim_end_matches("/touch").parse().unwrap_or(0);
            let Some(lease) = inner.leases.get_mut(&id) else {
                return reply(404, "{\"error\":\"no such lease\"}");
            };
            if method == "DELETE" {
                inner.end_lease(id);
                drop(inner);
                self.changed.notify_all();
            } else {
                lease.ends = Instant::now() + lease.ttl;
            }
            return reply(200, format!("{{\"bail\":{id}}}"));
        }
        reply(400, "{\"error\":\"malformed\"}")
    }

    fn txn(&self, inner: &mut Inner, request: &Req) -> Answer {
        let Some(txn) = parse(&request.body) else {
            return reply(400, "{\"error\":\"malformed\"}");
        };
        let guards = txn.get("guards").map(J::arr).unwrap_or(&[]);
        let writes = txn.get("writes").map(J::arr).unwrap_or(&[]);
        let too_large = writes.iter().any(|write| {
            write
                .get("v")
                .is_some_and(|value| value.to_text().len() > self.value_bytes)
        });
        if writes.len() > self.txn_ops
            || guards.len() > 4 * self.txn_ops
            || request.body.len() > 64 * 1024
            || too_large
        {
            return reply(400, "{\"error\":\"too large\"}");
        }
        if !writes.is_empty() && !inner.writes.take(writes.len() as f64) {
            return reply(429, "{\"error\":\"too many changes\"}");
        }
        let expired = writes.iter().any(|write| {
            let lease = write.get("bail").and_then(J::u64);
            lease.is_some_and(|id| !inner.leases.contains_key(&id))
        });
        if expired {
            return reply(400, "{\"error\":\"no such lease\"}");
        }
        let failed: Vec<J> = guards
            .iter()
            .filter(|guard| {
                let held = inner.items.get(&guard.text("k")).map_or(0, |i| i.revision);
                held != guard.num("retouche")
            })
            .map(|guard| J::Str(guard.text("k")))
            .collect();
        if !failed.is_empty() {
            let failed = J::Arr(failed).to_text();
            let revision = inner.revision;
            return reply(
                409,
                format!("{{\"failed\":{failed},\"tirage\":{revision}}}"),
            );
        }
        if !writes.is_empty() {
            inner.revision += 1;
        }
        for write in writes {
            if let Some(key) = write.get("set").and_then(J::str) {
                let value = write.get("v").cloned().unwrap_or(J::Null);
                inner.put(key, value, write.get("bail").and_then(J::u64));
            } else {
                inner.delete(&write.text("drop"));
            }
        }
        reply(200, format!("{{\"tirage\":{}}}", inner.revision))
    }

    fn follow(&self, link: &AtomicU8, request: &Req) -> Answer {
        let prefix = request.query.get("under").cloned().unwrap_or_default();
        let number = |name: &str| request.query.get(name).and_then(|v| v.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut inner = self.inner.lock().unwrap();
        loop {
            let open = link.load(Ordering::SeqCst) == OPEN;
            let first = inner.changes.front().map_or(0, |change| change.revision);
            if inner.changes.len() >= KEPT_CHANGES && from + 1 < first {
                return reply(410, "{\"error\":\"too old\"}");
            }
            let any = inner
                .changes
                .iter()
                .any(|change| change.revision > from && change.key.starts_with(&prefix));
            // An open watch waits while the service is out for its controller.
            if open && (any || Instant::now() >= until) {
                break;
            }
            if link.load(Ordering::SeqCst) == CUT {
                drop(inner);
                return self.lost(link);
            }
            inner = self
                .changed
                .wait_timeout(inner, Duration::from_millis(20))
                .unwrap()
                .0;
        }
        let events = inner
            .changes
            .iter()
            .filter(|change| change.revision > from && change.key.starts_with(&prefix))
            .map(|change| {
                let revision = ("retouche".to_string(), J::Num(change.revision.to_string()));
                J::Obj(match &change.value {
                    Some(value) => vec![
                        ("set".into(), J::Str(change.key.clone())),
                        ("v".into(), value.clone()),
                        revision,
                    ],
                    None => vec![("drop".into(), J::Str(change.key.clone())), revision],
                })
            })
            .collect();
        let events = J::Arr(events).to_text();
        reply(
            200,
            format!("{{\"tirage\":{},\"events\":{events}}}", inner.revision),
        )
    }
}

fn row(key: &str, item: &Item) -> J {
    let mut fields = vec![
        ("k".to_string(), J::Str(key.to_string())),
        ("v".to_string(), item.value.clone()),
        ("retouche".to_string(), J::Num(item.revision.to_string())),
    ];
    if let Some(lease) = item.lease {
        fields.push(("bail".to_string(), J::Num(lease.to_string())));
    }
    J::Obj(fields)
}

fn list(inner: &Inner, request: &Req) -> Answer {
    let prefix = request.query.get("under").cloned().unwrap_or_default();
    let after = request.query.get("from").cloned().unwrap_or_default();
    let limit = request
        .query
        .get("limit")
        .and_then(|limit| limit.parse().ok())
        .unwrap_or(1000usize)
        .min(1000);
    let mut rows = Vec::new();
    let mut bytes = 0;
    let mut truncated = false;
    for (key, item) in inner.items.range(prefix.clone()..) {
        if !key.starts_with(&prefix) {
            break;
        }
        if !after.is_empty() && *key <= after {
            continue;
        }
        let text = row(key, item).to_text();
        if rows.len() >= limit || bytes + text.len() > 500 * 1024 {
            truncated = true;
            break;
        }
        bytes += text.len();
        rows.push(text);
    }
    reply(
        200,
        format!(
            "{{\"rows\":[{}],\"truncated\":{truncated},\"tirage\":{}}}",
            rows.join(","),
            inner.revision
        ),
    )
}

/// Makes the record say who leads, whenever that changes.
pub fn watch_leader(state: Arc<State>, record: Arc<Record>, stop: Arc<AtomicBool>) {
    std::thread::spawn(move || {
        let mut last = None;
        while !stop.load(Ordering::SeqCst) {
            let now = state.read("leader/key");
            let now = now.map(|value| (value.text("node"), value.num("term")));
            if now != last {
                match &now {
                    Some((node, term)) => record.add(format!("state: {node} leads, term {term}")),
                    None => record.add("state: nobody leads"),
                }
                last = now;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    });
}

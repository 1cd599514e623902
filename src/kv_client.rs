//! The client of the state service: a token bucket with priorities in front
//! of every call, and a clear word on what became of each.

use crate::ids::Revision;
use crate::limits::StoreLimits;
use crate::messages::{Call, CallError, CallResult, Destination, Now};
use crate::token_bucket::TokenBucket;
use crate::wire::kv::{Txn, TxnResponse};
use std::collections::{HashMap, VecDeque};
use std::fmt;

/// How many changes the bucket lets through at once.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WriteBudget {
    /// At this moment.
    pub now: usize,
    /// After a pause, when the bucket is full.
    pub max: usize,
}

/// Served in this order when tokens are short.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum CallPriority {
    /// Leases and the election.
    Leadership,
    /// Users' cancellations.
    Cancel,
    /// Users' submissions.
    Submission,
    /// The leader's placements.
    Placement,
    /// What can wait.
    Background,
}

const URGENCIES: usize = CallPriority::Background as usize + 1;

const URGENCY_NAMES: [&str; URGENCIES] = [
    "leadership",
    "cancel",
    "submission",
    "placement",
    "background",
];

/// Calls sent to the state service and changes in them, by urgency.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct CallStats {
    calls: [u64; URGENCIES],
    changes: [u64; URGENCIES],
}

impl fmt::Display for CallStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, name) in URGENCY_NAMES.iter().enumerate() {
            let gap = if n > 0 { " " } else { "" };
            write!(f, "{gap}{name}={}/{}", self.calls[n], self.changes[n])?;
        }
        Ok(())
    }
}

/// Over this time the use of the service is averaged.
const USE_MS: f64 = 2000.0;

/// So much of the service's changes is given out, lest bursts run into its
/// limit.
const SAFE_SHARE: f64 = 0.9;

/// A call of the state service, before it is sent.
#[derive(Clone, Debug)]
pub struct KvCall<T> {
    /// Whom it goes before.
    pub priority: CallPriority,
    /// The request.
    pub call: Call,
    /// How many changes it makes.
    pub writes: usize,
    /// When waiting in the queue makes no more sense.
    pub expires_ms: u64,
    /// The caller's own note.
    pub tag: T,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum KvResponse {
    /// The service answered with this status and body.
    Status(u16, Vec<u8>),
    /// Certainly not executed (503, or never sent).
    NotExecuted,
    /// It may have been executed, or may be later.
    Indeterminate,
}

impl KvResponse {
    /// Reads the body of an answer with this status.
    pub fn read<T: serde::de::DeserializeOwned>(&self, status: u16) -> Option<T> {
        match self {
            KvResponse::Status(s, body) if *s == status => serde_json::from_slice(body).ok(),
            _ => None,
        }
    }
    /// The status, if the service answered.
    pub fn status(&self) -> Option<u16> {
        match self {
            KvResponse::Status(s, _) => Some(*s),
            _ => None,
        }
    }
    /// The revision of a transaction that was carried out.
    pub fn committed(&self) -> Option<Revision> {
        self.read::<TxnResponse>(200).map(|r| Revision(r.revision))
    }
}

/// Queues and paces calls. `T` is the caller's own note, given back with the
/// answer.
pub struct KvClient<T> {
    queues: [VecDeque<KvCall<T>>; URGENCIES],
    in_flight: HashMap<u64, KvCall<T>>,
    requests: TokenBucket,
    writes: TokenBucket,
    rps: f64,
    write_rps: f64,
    /// When the service last answered, and last failed to.
    last_ok_ms: Option<u64>,
    last_fail_ms: Option<u64>,
    /// Changes sent, faded over `USE_MS`, and when that was last worked out.
    used: (f64, u64),
    next: u64,
    sent: CallStats,
}

impl<T> KvClient<T> {
    /// A client with the whole of the service's limits.
    pub fn new(rps: f64, write_rps: f64) -> Self {
        KvClient {
            queues: Default::default(),
            in_flight: HashMap::new(),
            requests: TokenBucket::new(rps, 1.0),
            writes: TokenBucket::new(write_rps, 1.0),
            rps,
            write_rps,
            last_ok_ms: None,
            last_fail_ms: None,
            used: (0.0, 0),
            next: 0,
            sent: CallStats::default(),
        }
    }

    /// The service takes other rates from now on; shares have to be set anew.
    pub fn set_limits(&mut self, limits: &StoreLimits) {
        self.rps = limits.rps;
        self.write_rps = limits.write_rps;
    }

    /// This controller's share of what the service takes from all of them, and
    /// for how many seconds unused changes are saved up.
    pub fn set_share(&mut self, now: Now, share: f64, saved_s: f64) {
        self.requests.set_rate(now, self.rps * share, 1.0);
        self.writes.set_rate(now, self.write_rps * share, saved_s);
    }

    /// Whoever writes most takes what the others leave of `SAFE_SHARE`, and at
    /// least `share`.
    pub fn set_write_share_beside(&mut self, now: Now, share: f64, others_per_s: f64) {
        let least = self.write_rps * share;
        let left = self.write_rps * SAFE_SHARE - others_per_s;
        self.writes.set_rate(now, left.max(least), 1.0);
    }

    /// How many changes could be sent at once.
    pub fn write_budget(&mut self, now: Now) -> WriteBudget {
        WriteBudget {
            now: self.writes.level(now).max(0.0) as usize,
            max: self.writes.burst() as usize,
        }
    }

    /// Changes sent per second of late.
    pub fn writes_per_s(&mut self, now: Now) -> f64 {
        let (used, at_ms) = self.used;
        let passed = now.ms.saturating_sub(at_ms) as f64;
        self.used = (used * (-passed / USE_MS).exp(), now.ms);
        self.used.0 * 1000.0 / USE_MS
    }

    /// Whether the service has answered lately, as far as this node can tell.
    pub fn reachable(&self) -> bool {
        match (self.last_ok_ms, self.last_fail_ms) {
            (Some(ok), Some(fail)) => ok >= fail,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// When the service last answered.
    pub fn last_success_ms(&self) -> Option<u64> {
        self.last_ok_ms
    }

    /// What was sent since this was last asked.
    pub fn take_stats(&mut self) -> CallStats {
        std::mem::take(&mut self.sent)
    }

    /// Whether calls wait to be sent.
    pub fn has_queued(&self) -> bool {
        self.queues.iter().any(|q| !q.is_empty())
    }

    /// Queues a call.
    pub fn submit(&mut self, call: KvCall<T>) {
        self.queues[call.priority as usize].push_back(call);
    }

    /// Sends what the buckets allow and returns what was given up.
    pub fn dispatch(&mut self, now: Now, mut send: impl FnMut(u64, Call), given_up: &mut Vec<T>) {
        for (urgency, queue) in self.queues.iter_mut().enumerate() {
            while let Some(first) = queue.front() {
                if now.ms >= first.expires_ms {
                    given_up.extend(queue.pop_front().map(|c| c.tag));
                    continue;
                }
                let writes = first.writes as f64;
                if self.requests.level(now) < 1.0
                    || (writes > 0.0 && !self.writes.take(now, writes))
                {
                    // What is less urgent waits too, or big writes would
                    // never find the bucket full enough. Reads behind a
                    // short write bucket may pass.
                    if self.requests.level(now) < 1.0 {
                        return;
                    }
                    break;
                }
                self.requests.take(now, 1.0);
                let Some(call) = queue.pop_front() else { break };
                if writes > 0.0 {
                    let passed = now.ms.saturating_sub(self.used.1) as f64;
                    self.used = (self.used.0 * (-passed / USE_MS).exp() + writes, now.ms);
                }
                self.sent.calls[urgency] += 1;
                self.sent.changes[urgency] += call.writes as u64;
                self.next += 1;
                send(self.next, call.call.clone());
                self.in_flight.insert(self.next, call);
            }
        }
    }

    /// The answer to call `id`. A 429 goes back to the queue.
    pub fn answered(&mut self, now: Now, id: u64, outcome: CallResult) -> Option<(T, KvResponse)> {
        let call = self.in_flight.remove(&id)?;
        let answer = match outcome {
            Ok((429, _)) => {
                self.last_ok_ms = Some(now.ms);
                if call.writes > 0 {
                    self.writes.mark_empty(now);
                } else {
                    self.requests.mark_empty(now);
                }
                if now.ms < call.expires_ms {
                    self.queues[call.priority as usize].push_front(call);
                    return None;
                }
                KvResponse::NotExecuted
            }
            Ok((503, _)) => {
                self.last_fail_ms = Some(now.ms);
                KvResponse::NotExecuted
            }
            Ok((status, body)) => {
                self.last_ok_ms = Some(now.ms);
                KvResponse::Status(status, body)
            }
            Err(e) => {
                if call.call.target != Destination::KvWatch {
                    self.last_fail_ms = Some(now.ms);
                }
                match e {
                    CallError::NotSent => KvResponse::NotExecuted,
                    CallError::Indeterminate => KvResponse::Indeterminate,
                }
            }
        };
        Some((call.tag, answer))
    }
}

/// The calls of the state service's protocol.
pub fn get(key: &str, timeout_ms: u64) -> Call {
    Call {
        target: Destination::KvStore,
        method: "GET",
        path: format!("/kv/{key}"),
        body: Vec::new(),
        timeout_ms,
    }
}

/// A page of the keys under a prefix, and where the next one starts.
pub fn list(prefix: &str, after: Option<&str>, timeout_ms: u64) -> Call {
    let after = after.map(|k| format!("&from={k}")).unwrap_or_default();
    Call {
        target: Destination::KvStore,
        method: "GET",
        path: format!("/kv?under={prefix}{after}&limit=500"),
        body: Vec::new(),
        timeout_ms,
    }
}

/// Waits for changes under a prefix.
pub fn watch(prefix: &str, after: Revision, wait_ms: u64, timeout_ms: u64) -> Call {
    Call {
        target: Destination::KvWatch,
        method: "GET",
        path: format!("/follow?under={prefix}&from={after}&waitMs={wait_ms}"),
        body: Vec::new(),
        timeout_ms,
    }
}

/// What has changed by now: a watch that doesn't wait.
pub fn read_changes(prefix: &str, after: Revision, timeout_ms: u64) -> Call {
    Call {
        target: Destination::KvStore,
        method: "GET",
        path: format!("/follow?under={prefix}&from={after}"),
        body: Vec::new(),
        timeout_ms,
    }
}

/// A transaction, and how many changes it makes.
pub fn txn(txn: &Txn, timeout_ms: u64) -> (Call, usize) {
    let call = Call {
        target: Destination::KvStore,
        method: "POST",
        path: "/txn".into(),
        // Keys are strings and numbers are finite: this can't fail.
        body: serde_json::to_vec(txn).unwrap_or_default(),
        timeout_ms,
    };
    (call, txn.writes.len())
}

/// Asks for a lease.
pub fn lease_create(ttl_ms: u64, timeout_ms: u64) -> Call {
    Call {
        target: Destination::KvStore,
        method: "POST",
        path: "/leases".into(),
        body: format!("{{\"ttlMs\":{ttl_ms}}}").into_bytes(),
        timeout_ms,
    }
}

/// Renews a lease.
pub fn lease_renew(lease: u64, timeout_ms: u64) -> Call {
    Call {
        target: Destination::KvStore,
        method: "POST",
        path: format!("/leases/{lease}/touch"),
        body: Vec::new(),
        timeout_ms,
    }
}

/// Ends a lease.
pub fn lease_end(lease: u64, timeout_ms: u64) -> Call {
    Call {
        target: Destination::KvStore,
        method: "DELETE",
        path: format!("/leases/{lease}"),
        body: Vec::new(),
        timeout_ms,
    }
}

//! The client of the key-value store: calls wait in priority queues behind two
//! token buckets (requests and writes), and each gets an unambiguous response:
//! a status, certainly not executed, or indeterminate.

use crate::ids::Revision;
use crate::limits::StoreLimits;
use crate::messages::{Call, CallError, CallResult, Destination, Now};
use crate::token_bucket::TokenBucket;
use crate::wire::kv::{Txn, TxnResponse};
use std::collections::{HashMap, VecDeque};
use std::fmt;

/// How many writes the bucket lets through at once.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WriteBudget {
    /// At this moment.
    pub now: usize,
    /// After a pause, when the bucket is full.
    pub max: usize,
}

/// The order in which calls are sent when tokens are short.
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
    /// Writes that may be delayed.
    Background,
}

const PRIORITY_COUNT: usize = CallPriority::Background as usize + 1;

/// The priorities' names in the log, in the order of the variants.
const PRIORITY_NAMES: [&str; PRIORITY_COUNT] = [
    "leadership",
    "cancel",
    "submission",
    "placement",
    "background",
];

/// Calls sent to the key-value store and writes in them, by priority.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct CallStats {
    calls: [u64; PRIORITY_COUNT],
    writes: [u64; PRIORITY_COUNT],
}

impl CallStats {
    fn record(&mut self, priority: CallPriority, writes: usize) {
        self.calls[priority as usize] += 1;
        self.writes[priority as usize] += writes as u64;
    }
}

impl fmt::Display for CallStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, name) in PRIORITY_NAMES.iter().enumerate() {
            let separator = if index > 0 { " " } else { "" };
            let (calls, writes) = (self.calls[index], self.writes[index]);
            write!(f, "{separator}{name}={calls}/{writes}")?;
        }
        Ok(())
    }
}

/// Time constant of the exponential average of the write rate.
const WRITE_RATE_WINDOW_MS: f64 = 2000.0;

/// The share of the store's write rate that is given out; the rest is headroom, so
/// that bursts don't run into the store's limit.
const ALLOCATED_WRITE_SHARE: f64 = 0.9;

/// A call of the key-value store, before it is sent.
#[derive(Clone, Debug)]
pub struct KvCall<T> {
    /// The queue that it waits in.
    pub priority: CallPriority,
    /// The request.
    pub call: Call,
    /// How many writes it makes.
    pub writes: usize,
    /// When the call is dropped from the queue if it hasn't been sent.
    pub expires_ms: u64,
    /// The caller's own context, returned with the response.
    pub tag: T,
}

impl<T> KvCall<T> {
    /// A call without writes that expires from the queue after its own timeout.
    pub fn new(now: Now, priority: CallPriority, call: Call, tag: T) -> Self {
        KvCall {
            priority,
            expires_ms: now.ms + call.timeout_ms,
            call,
            writes: 0,
            tag,
        }
    }

    /// A transaction that expires from the queue after its own timeout.
    pub fn transaction(
        now: Now,
        priority: CallPriority,
        transaction: &Txn,
        timeout_ms: u64,
        tag: T,
    ) -> Self {
        let (call, writes) = txn(transaction, timeout_ms);
        KvCall {
            writes,
            ..KvCall::new(now, priority, call, tag)
        }
    }

    /// The same call with another time of expiry.
    pub fn expiring_at(self, expires_ms: u64) -> Self {
        KvCall { expires_ms, ..self }
    }

    /// The same call with its tag converted.
    pub fn map_tag<U>(self, convert: impl FnOnce(T) -> U) -> KvCall<U> {
        KvCall {
            priority: self.priority,
            call: self.call,
            writes: self.writes,
            expires_ms: self.expires_ms,
            tag: convert(self.tag),
        }
    }
}

/// The result of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum KvResponse {
    /// The store responded with this status and body.
    Status(u16, Vec<u8>),
    /// Certainly not executed (503, or never sent).
    NotExecuted,
    /// It may have been executed, or may be later.
    Indeterminate,
}

impl KvResponse {
    /// Parses the body of a response with this status.
    pub fn read<T: serde::de::DeserializeOwned>(&self, status: u16) -> Option<T> {
        match self {
            KvResponse::Status(actual, body) if *actual == status => {
                serde_json::from_slice(body).ok()
            }
            _ => None,
        }
    }

    /// The status, if the store responded.
    pub fn status(&self) -> Option<u16> {
        match self {
            KvResponse::Status(status, _) => Some(*status),
            _ => None,
        }
    }

    /// The revision of a transaction that was committed.
    pub fn committed(&self) -> Option<Revision> {
        self.read::<TxnResponse>(200)
            .map(|response| Revision(response.revision))
    }
}

/// A number of writes that decays exponentially, to estimate the write rate.
#[derive(Clone, Copy, Default, Debug)]
struct DecayingWrites {
    writes: f64,
    updated_ms: u64,
}

impl DecayingWrites {
    fn add(&mut self, now: Now, writes: f64) {
        let elapsed_ms = now.ms.saturating_sub(self.updated_ms) as f64;
        self.writes = self.writes * (-elapsed_ms / WRITE_RATE_WINDOW_MS).exp() + writes;
        self.updated_ms = now.ms;
    }

    fn per_second(&mut self, now: Now) -> f64 {
        self.add(now, 0.0);
        self.writes * 1000.0 / WRITE_RATE_WINDOW_MS
    }
}

/// Queues and paces calls. `T` is the caller's own context, returned with the
/// response.
pub struct KvClient<T> {
    queues: [VecDeque<KvCall<T>>; PRIORITY_COUNT],
    in_flight: HashMap<u64, KvCall<T>>,
    request_tokens: TokenBucket,
    write_tokens: TokenBucket,
    /// What the store takes per second from all controllers together.
    rps: f64,
    write_rps: f64,
    last_success_ms: Option<u64>,
    last_failure_ms: Option<u64>,
    sent_writes: DecayingWrites,
    last_call_id: u64,
    stats: CallStats,
}

impl<T> KvClient<T> {
    /// A client that may use the whole of the store's limits.
    pub fn new(rps: f64, write_rps: f64) -> Self {
        KvClient {
            queues: Default::default(),
            in_flight: HashMap::new(),
            request_tokens: TokenBucket::new(rps, 1.0),
            write_tokens: TokenBucket::new(write_rps, 1.0),
            rps,
            write_rps,
            last_success_ms: None,
            last_failure_ms: None,
            sent_writes: DecayingWrites::default(),
            last_call_id: 0,
            stats: CallStats::default(),
        }
    }

    /// Changes the store's rates; the shares have to be set anew afterwards.
    pub fn set_limits(&mut self, limits: &StoreLimits) {
        self.rps = limits.rps;
        self.write_rps = limits.write_rps;
    }

    /// Sets this controller's share of the store's rates, and for how many seconds
    /// unused write tokens are saved up.
    pub fn set_share(&mut self, now: Now, share: f64, write_burst_s: f64) {
        self.request_tokens.set_rate(now, self.rps * share, 1.0);
        self.write_tokens
            .set_rate(now, self.write_rps * share, write_burst_s);
    }

    /// Sets the write rate to what the other controllers leave of
    /// `ALLOCATED_WRITE_SHARE`, and to `min_share` of the store's rate at least.
    pub fn set_write_share(&mut self, now: Now, min_share: f64, others_per_s: f64) {
        let min_per_s = self.write_rps * min_share;
        let available_per_s = self.write_rps * ALLOCATED_WRITE_SHARE - others_per_s;
        self.write_tokens
            .set_rate(now, available_per_s.max(min_per_s), 1.0);
    }

    /// How many writes could be sent at once.
    pub fn write_budget(&mut self, now: Now) -> WriteBudget {
        WriteBudget {
            now: self.write_tokens.level(now).max(0.0) as usize,
            max: self.write_tokens.burst() as usize,
        }
    }

    /// The recent rate of writes sent, per second.
    pub fn writes_per_s(&mut self, now: Now) -> f64 {
        self.sent_writes.per_second(now)
    }

    /// Whether the store's last known result was a response, not a failure.
    pub fn reachable(&self) -> bool {
        match (self.last_success_ms, self.last_failure_ms) {
            (Some(success), Some(failure)) => success >= failure,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// When the store last responded.
    pub fn last_success_ms(&self) -> Option<u64> {
        self.last_success_ms
    }

    /// The calls sent since the last time that this was called.
    pub fn take_stats(&mut self) -> CallStats {
        std::mem::take(&mut self.stats)
    }

    /// Whether calls wait to be sent.
    pub fn has_queued(&self) -> bool {
        self.queues.iter().any(|queue| !queue.is_empty())
    }

    /// Queues a call.
    pub fn submit(&mut self, call: KvCall<T>) {
        self.queues[call.priority as usize].push_back(call);
    }

    /// Sends as many calls as the buckets allow, by priority. The tags of calls that
    /// expired in the queue are appended to `expired`.
    pub fn dispatch(&mut self, now: Now, mut send: impl FnMut(u64, Call), expired: &mut Vec<T>) {
        for queue in &mut self.queues {
            while let Some(first) = queue.front() {
                if now.ms >= first.expires_ms {
                    expired.extend(queue.pop_front().map(|call| call.tag));
                    continue;
                }
                if self.request_tokens.level(now) < 1.0 {
                    return;
                }
                let writes = first.writes as f64;
                if writes > 0.0 && !self.write_tokens.take(now, writes) {
                    // The rest of this queue waits behind the write, or large writes
                    // would never find the bucket full enough. Lower priorities may
                    // pass: their reads need no write tokens.
                    break;
                }
                self.request_tokens.take(now, 1.0);
                let Some(call) = queue.pop_front() else { break };
                if writes > 0.0 {
                    self.sent_writes.add(now, writes);
                }
                self.stats.record(call.priority, call.writes);
                self.last_call_id += 1;
                send(self.last_call_id, call.call.clone());
                self.in_flight.insert(self.last_call_id, call);
            }
        }
    }

    /// Takes the result of call `id`. A call that got a 429 returns to its queue.
    pub fn on_result(&mut self, now: Now, id: u64, result: CallResult) -> Option<(T, KvResponse)> {
        let call = self.in_flight.remove(&id)?;
        let response = match result {
            Ok((429, _)) => {
                self.last_success_ms = Some(now.ms);
                self.drain_tokens(now, &call);
                if now.ms < call.expires_ms {
                    self.queues[call.priority as usize].push_front(call);
                    return None;
                }
                KvResponse::NotExecuted
            }
            Ok((503, _)) => {
                self.last_failure_ms = Some(now.ms);
                KvResponse::NotExecuted
            }
            Ok((status, body)) => {
                self.last_success_ms = Some(now.ms);
                KvResponse::Status(status, body)
            }
            Err(error) => {
                if call.call.destination != Destination::KvWatch {
                    self.last_failure_ms = Some(now.ms);
                }
                match error {
                    CallError::NotSent => KvResponse::NotExecuted,
                    CallError::Indeterminate => KvResponse::Indeterminate,
                }
            }
        };
        Some((call.tag, response))
    }

    /// Empties the bucket whose rate the store says was exceeded.
    fn drain_tokens(&mut self, now: Now, call: &KvCall<T>) {
        if call.writes > 0 {
            self.write_tokens.mark_empty(now);
        } else {
            self.request_tokens.mark_empty(now);
        }
    }
}

/// Reads one key.
pub fn get(key: &str, timeout_ms: u64) -> Call {
    read_request(Destination::KvStore, format!("/kv/{key}"), timeout_ms)
}

/// Reads a page of the keys under a prefix, from the key `after` on.
pub fn list(prefix: &str, after: Option<&str>, timeout_ms: u64) -> Call {
    let after = after.map(|key| format!("&from={key}")).unwrap_or_default();
    let path = format!("/kv?under={prefix}{after}&limit=500");
    read_request(Destination::KvStore, path, timeout_ms)
}

/// Waits for changes under a prefix.
pub fn watch(prefix: &str, after: Revision, wait_ms: u64, timeout_ms: u64) -> Call {
    let path = format!("/follow?under={prefix}&from={after}&waitMs={wait_ms}");
    read_request(Destination::KvWatch, path, timeout_ms)
}

/// Reads the changes under a prefix up to now: a watch that doesn't wait.
pub fn read_changes(prefix: &str, after: Revision, timeout_ms: u64) -> Call {
    let path = format!("/follow?under={prefix}&from={after}");
    read_request(Destination::KvStore, path, timeout_ms)
}

/// A transaction, and how many writes it makes.
pub fn txn(txn: &Txn, timeout_ms: u64) -> (Call, usize) {
    // Keys are strings and numbers are finite: this can't fail.
    let body = serde_json::to_vec(txn).unwrap_or_default();
    let call = write_request("POST", "/txn".into(), body, timeout_ms);
    (call, txn.writes.len())
}

/// Requests a lease.
pub fn lease_grant(ttl_ms: u64, timeout_ms: u64) -> Call {
    let body = format!("{{\"ttlMs\":{ttl_ms}}}").into_bytes();
    write_request("POST", "/leases".into(), body, timeout_ms)
}

/// Renews a lease.
pub fn lease_renew(lease: u64, timeout_ms: u64) -> Call {
    let path = format!("/leases/{lease}/touch");
    write_request("POST", path, Vec::new(), timeout_ms)
}

/// Revokes a lease.
pub fn lease_revoke(lease: u64, timeout_ms: u64) -> Call {
    let path = format!("/leases/{lease}");
    write_request("DELETE", path, Vec::new(), timeout_ms)
}

fn read_request(target: Destination, path: String, timeout_ms: u64) -> Call {
    Call {
        destination: target,
        method: "GET",
        path,
        body: Vec::new(),
        timeout_ms,
    }
}

fn write_request(method: &'static str, path: String, body: Vec<u8>, timeout_ms: u64) -> Call {
    Call {
        destination: Destination::KvStore,
        method,
        path,
        body,
        timeout_ms,
    }
}

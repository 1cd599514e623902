//! The client of the key-value store. Calls wait in priority queues, and two token
//! buckets (requests and writes) limit the rate at which the client sends them. Each
//! call has one of three results: a status, not executed, or an indeterminate outcome.

mod call;
mod call_stats;
mod requests;

pub use call::{CallPriority, KvCall, KvResponse};
pub use call_stats::CallStats;
pub use requests::{get, lease_grant, lease_renew, lease_revoke, list, read_changes, txn, watch};

use crate::limits::StoreLimits;
use crate::messages::{Call, CallError, CallResult, Destination, Now};
use crate::token_bucket::TokenBucket;
use call_stats::PRIORITY_COUNT;
use std::collections::{HashMap, VecDeque};

/// The number of writes that the write token bucket allows at once.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct WriteBudget {
    /// Writes that can be sent now.
    pub available: usize,
    /// Writes that can be sent at once when the bucket is full.
    pub burst: usize,
}

/// Time constant of the exponential moving average of the write rate.
const WRITE_RATE_TIME_CONSTANT_MS: f64 = 2000.0;

/// The share of the store's write rate that is allocated to controllers. The rest is
/// headroom, so that bursts don't exceed the store's limit.
const ALLOCATED_WRITE_SHARE: f64 = 0.9;

/// An exponentially decaying count of writes, which estimates the write rate.
#[derive(Clone, Copy, Default, Debug)]
struct DecayingWrites {
    writes: f64,
    updated_ms: u64,
}

impl DecayingWrites {
    fn add(&mut self, now: Now, writes: f64) {
        let elapsed_ms = now.ms.saturating_sub(self.updated_ms) as f64;
        self.writes = self.writes * (-elapsed_ms / WRITE_RATE_TIME_CONSTANT_MS).exp() + writes;
        self.updated_ms = now.ms;
    }

    fn per_second(&mut self, now: Now) -> f64 {
        self.add(now, 0.0);
        self.writes * 1000.0 / WRITE_RATE_TIME_CONSTANT_MS
    }
}

/// Queues calls to the key-value store and limits the rate at which they are sent. `T`
/// is the caller's context, returned with the response.
pub struct KvClient<T> {
    queues: [VecDeque<KvCall<T>>; PRIORITY_COUNT],
    in_flight: HashMap<u64, KvCall<T>>,
    request_tokens: TokenBucket,
    write_tokens: TokenBucket,
    /// Requests per second that the store accepts from all controllers together.
    rps: f64,
    /// Writes per second that the store accepts from all controllers together.
    write_rps: f64,
    last_success_ms: Option<u64>,
    last_failure_ms: Option<u64>,
    last_call_response_ms: Option<u64>,
    sent_writes: DecayingWrites,
    last_call_id: u64,
    stats: CallStats,
}

impl<T> KvClient<T> {
    /// Creates a client whose share is the store's whole rates, in requests and writes
    /// per second.
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
            last_call_response_ms: None,
            sent_writes: DecayingWrites::default(),
            last_call_id: 0,
            stats: CallStats::default(),
        }
    }

    /// Changes the store's rates. The caller has to set the shares again for the change
    /// to take effect.
    pub fn set_limits(&mut self, limits: &StoreLimits) {
        self.rps = limits.rps;
        self.write_rps = limits.write_rps;
    }

    /// Sets this controller's share of the store's rates. Unused write tokens accumulate
    /// for up to `write_burst_s` seconds.
    pub fn set_share(&mut self, now: Now, share: f64, write_burst_s: f64) {
        self.request_tokens.set_rate(now, self.rps * share, 1.0);
        self.write_tokens
            .set_rate(now, self.write_rps * share, write_burst_s);
    }

    /// Sets the write rate to the part of `ALLOCATED_WRITE_SHARE` that the other
    /// controllers don't use (they make `others_per_s` writes per second), but to at
    /// least `min_share` of the store's rate.
    pub fn set_write_share(&mut self, now: Now, min_share: f64, others_per_s: f64) {
        let min_per_s = self.write_rps * min_share;
        let available_per_s = self.write_rps * ALLOCATED_WRITE_SHARE - others_per_s;
        self.write_tokens
            .set_rate(now, available_per_s.max(min_per_s), 1.0);
    }

    /// Returns the number of writes that can be sent at once.
    pub fn write_budget(&mut self, now: Now) -> WriteBudget {
        WriteBudget {
            available: self.write_tokens.level(now).max(0.0) as usize,
            burst: self.write_tokens.burst() as usize,
        }
    }

    /// Returns the recent rate of sent writes, per second.
    pub fn writes_per_s(&mut self, now: Now) -> f64 {
        self.sent_writes.per_second(now)
    }

    /// Returns whether the store counts as reachable: the latest result of a call is a
    /// response other than 503. A watch that ends without a response doesn't count. False
    /// before the first response.
    pub fn reachable(&self) -> bool {
        match (self.last_success_ms, self.last_failure_ms) {
            (Some(success), Some(failure)) => success >= failure,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// Returns the monotonic time of the store's last response, other than 503, to a call
    /// that isn't a watch; `None` if there was none. A response to a watch doesn't show that
    /// the store serves calls in time.
    pub fn last_call_response_ms(&self) -> Option<u64> {
        self.last_call_response_ms
    }

    /// Returns the monotonic time of the latest failure of a call that isn't a watch: a 503
    /// response, or none in time. `None` if no call has failed.
    pub fn last_failure_ms(&self) -> Option<u64> {
        self.last_failure_ms
    }

    /// Returns the counts of calls sent since the previous invocation, and resets them.
    pub fn take_stats(&mut self) -> CallStats {
        std::mem::take(&mut self.stats)
    }

    /// Returns whether any call waits in a queue.
    pub fn has_queued(&self) -> bool {
        self.queues.iter().any(|queue| !queue.is_empty())
    }

    /// Queues a call by its priority.
    pub fn submit(&mut self, call: KvCall<T>) {
        self.queues[call.priority as usize].push_back(call);
    }

    /// Sends as many queued calls as the token buckets allow, highest priority first.
    /// Appends the tags of calls that expired in the queue to `expired`.
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
                    // The rest of this queue waits behind the write. Otherwise smaller
                    // writes would keep the bucket too low for large ones. Queues of
                    // lower priority may proceed: their reads need no write tokens.
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

    /// Handles the result of call `id`. Returns `None` if the call is unknown, or if the
    /// store responded 429 and the call was queued again.
    pub fn on_result(&mut self, now: Now, id: u64, result: CallResult) -> Option<(T, KvResponse)> {
        let call = self.in_flight.remove(&id)?;
        let response = match result {
            Ok((429, _)) => {
                self.record_success(now, &call);
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
                self.record_success(now, &call);
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

    fn record_success(&mut self, now: Now, call: &KvCall<T>) {
        self.last_success_ms = Some(now.ms);
        if call.call.destination != Destination::KvWatch {
            self.last_call_response_ms = Some(now.ms);
        }
    }

    /// Empties the token bucket whose rate a 429 response reports as exceeded.
    fn drain_tokens(&mut self, now: Now, call: &KvCall<T>) {
        if call.writes > 0 {
            self.write_tokens.discard_available(now);
        } else {
            self.request_tokens.discard_available(now);
        }
    }
}

//! A call in the client's queues, and its result.

use super::requests::txn;
use crate::ids::Revision;
use crate::messages::{Call, Now};
use crate::wire::kv::{Txn, TxnResponse};

/// The order in which calls are sent when tokens are short.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum CallPriority {
    /// Leader election, and calls on which leadership and worker leases depend.
    Leadership,
    /// Users' cancellations.
    Cancel,
    /// Users' submissions, and the reads that they need.
    Submission,
    /// The leader's placements, and the reads that they need.
    Placement,
    /// Calls that may be delayed, such as queries and cleanup.
    Background,
}

/// A call to the key-value store, with its place in the client's queues.
#[derive(Clone, Debug)]
pub struct KvCall<T> {
    /// The queue that the call waits in.
    pub priority: CallPriority,
    /// The HTTP request.
    pub call: Call,
    /// Write operations of the call, each of which takes a write token.
    pub writes: usize,
    /// Monotonic time at which a call that hasn't been sent is removed from its queue.
    pub expires_ms: u64,
    /// The caller's context, returned with the response.
    pub tag: T,
}

impl<T> KvCall<T> {
    /// Creates a call without writes that expires in the queue after its own timeout.
    pub fn new(now: Now, priority: CallPriority, call: Call, tag: T) -> Self {
        KvCall {
            priority,
            expires_ms: now.ms + call.timeout_ms,
            call,
            writes: 0,
            tag,
        }
    }

    /// Creates the call of a transaction that expires in the queue after `timeout_ms`.
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

    /// Returns the call with another time of expiry in the queue.
    pub fn expiring_at(self, expires_ms: u64) -> Self {
        KvCall { expires_ms, ..self }
    }

    /// Returns the call with its tag converted.
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

/// The result of a call to the key-value store.
#[derive(Clone, Debug, PartialEq)]
pub enum KvResponse {
    /// The store responded with this status and body.
    Status(u16, Vec<u8>),
    /// The store did not execute the call: it rejected the call (503, or 429 after the call
    /// expired), or the call wasn't sent.
    NotExecuted,
    /// The outcome is indeterminate: the store may have executed the call or may still
    /// execute it.
    Indeterminate,
}

impl KvResponse {
    /// Parses the JSON body of a response with this status. Returns `None` for any other
    /// result and for a malformed body.
    pub fn parse_body<T: serde::de::DeserializeOwned>(&self, status: u16) -> Option<T> {
        match self {
            KvResponse::Status(actual, body) if *actual == status => {
                serde_json::from_slice(body).ok()
            }
            _ => None,
        }
    }

    /// Returns the HTTP status, or `None` if the store didn't respond.
    pub fn status(&self) -> Option<u16> {
        match self {
            KvResponse::Status(status, _) => Some(*status),
            _ => None,
        }
    }

    /// Returns the revision at which the transaction was committed, or `None` if no
    /// commit was reported.
    pub fn committed_revision(&self) -> Option<Revision> {
        self.parse_body::<TxnResponse>(200)
            .map(|response| Revision(response.revision))
    }
}

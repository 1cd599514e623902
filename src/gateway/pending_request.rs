//! Users' requests that wait for the key-value store, and the calls that are made for
//! them.

use super::admission::Submission;
use crate::ids::JobId;
use crate::kv_client::{self, CallPriority, KvCall};
use crate::limits::RequestSize;
use crate::messages::{ConnectionId, Now, Reply};
use crate::records::jobs::{final_key, job_key};
use crate::wire::kv::Txn;

/// The number of a user's request, in the order of arrival.
pub type RequestNumber = u64;

/// Every request has a response within this time, whatever happens; users wait 5 s for
/// submissions and 2 s for queries.
const WRITE_TIMEOUT_MS: u64 = 3000;
const READ_TIMEOUT_MS: u64 = 1700;

/// What a user asks for.
#[derive(Debug)]
pub(super) enum RequestKind {
    Submit(Box<Submission>),
    /// A submission that is rejected with this reply unless the job is known already:
    /// a submission is an idempotent request.
    Reject(Reply),
    Query,
    Cancel,
}

impl RequestKind {
    /// How long it may take until the user has a response.
    pub(super) fn timeout_ms(&self) -> u64 {
        match self {
            RequestKind::Query => READ_TIMEOUT_MS,
            RequestKind::Submit(_) | RequestKind::Reject(_) | RequestKind::Cancel => {
                WRITE_TIMEOUT_MS
            }
        }
    }

    fn read_priority(&self) -> CallPriority {
        match self {
            RequestKind::Query => CallPriority::Background,
            RequestKind::Cancel => CallPriority::Cancel,
            RequestKind::Submit(_) | RequestKind::Reject(_) => CallPriority::Submission,
        }
    }
}

/// What a request waits for.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub(super) enum RequestStep {
    /// The next poll of all records.
    Poll,
    /// The record of the unfinished job.
    ReadLive,
    /// The record of the job that is over.
    ReadFinal,
    /// How the job's dependencies have ended.
    ReadDependencies,
    /// Its write.
    Write,
}

/// A user's request that has no response yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) number: RequestNumber,
    pub(super) conn: ConnectionId,
    pub(super) id: JobId,
    pub(super) kind: RequestKind,
    pub(super) step: RequestStep,
    /// How often a write whose compares failed, or whose outcome is unknown, was
    /// followed by another read.
    pub(super) retries: u32,
    /// The job is cancelled from the start, since one of its dependencies is.
    pub(super) cancelled_by_dependency: bool,
    /// How often the job's dependencies were read.
    pub(super) dependency_rounds: u32,
    /// How large its write was.
    pub(super) write_size: RequestSize,
    pub(super) received_ms: u64,
    pub(super) deadline_ms: u64,
}

impl PendingRequest {
    /// A request that has just arrived.
    pub(super) fn new(
        now: Now,
        number: RequestNumber,
        conn: ConnectionId,
        id: JobId,
        kind: RequestKind,
        step: RequestStep,
    ) -> Self {
        PendingRequest {
            number,
            conn,
            id,
            step,
            retries: 0,
            cancelled_by_dependency: false,
            dependency_rounds: 0,
            write_size: RequestSize::default(),
            received_ms: now.ms,
            deadline_ms: now.ms + kind.timeout_ms(),
            kind,
        }
    }

    fn remaining_ms(&self, now: Now) -> u64 {
        self.deadline_ms.saturating_sub(now.ms).max(1)
    }

    /// Whether it is a submission, not written yet, with this dependency.
    pub(super) fn depends_on(&self, dependency: &JobId) -> bool {
        match &self.kind {
            RequestKind::Submit(submission) => {
                self.retries == 0 && submission.spec.dependencies.contains(dependency)
            }
            RequestKind::Reject(_) | RequestKind::Query | RequestKind::Cancel => false,
        }
    }

    /// The read of the job's record that its step waits for.
    pub(super) fn read_call(&self, now: Now) -> KvCall<RequestNumber> {
        let key = match self.step {
            RequestStep::ReadFinal => final_key(&self.id),
            _ => job_key(&self.id),
        };
        self.get_call(now, self.kind.read_priority(), self.number, &key)
    }

    /// The read of how a dependency has ended; `number` is the read's own.
    pub(super) fn dependency_read_call(
        &self,
        now: Now,
        number: RequestNumber,
        dependency: &JobId,
    ) -> KvCall<RequestNumber> {
        self.get_call(
            now,
            CallPriority::Submission,
            number,
            &final_key(dependency),
        )
    }

    /// A read of one record within the request's time.
    fn get_call(
        &self,
        now: Now,
        priority: CallPriority,
        number: RequestNumber,
        key: &str,
    ) -> KvCall<RequestNumber> {
        KvCall {
            priority,
            call: kv_client::get(key, self.remaining_ms(now)),
            writes: 0,
            expires_ms: self.deadline_ms,
            tag: number,
        }
    }

    /// The write that it waits for.
    pub(super) fn write_call(
        &self,
        now: Now,
        priority: CallPriority,
        txn: &Txn,
    ) -> KvCall<RequestNumber> {
        // Half of the remaining time, so that a write of unknown outcome can still be
        // followed by a read.
        let timeout_ms = (self.remaining_ms(now) / 2).max(1);
        let (call, writes) = kv_client::txn(txn, timeout_ms);
        KvCall {
            priority,
            call,
            writes,
            expires_ms: self.deadline_ms,
            tag: self.number,
        }
    }
}

//! Users' requests that wait for the key-value store, and the calls that are made on
//! their behalf.

use super::admission::Submission;
use crate::ids::JobId;
use crate::kv_client::{self, CallPriority, KvCall};
use crate::limits::RequestSize;
use crate::messages::{ConnectionId, Now, Reply};
use crate::records::jobs::{final_key, job_key};
use crate::wire::kv::Txn;

/// The number of a user's request or of a read for it, in ascending order of creation.
pub type RequestNumber = u64;

/// The time within which every submission or cancellation gets a reply, even if the
/// key-value store doesn't respond. Users wait 5 s for the reply to a submission.
const WRITE_TIMEOUT_MS: u64 = 3000;
/// The time within which every query gets a reply. Users wait 2 s for the reply to a query.
const READ_TIMEOUT_MS: u64 = 1700;

/// The operation that a user requests.
#[derive(Debug)]
pub(super) enum RequestKind {
    Submit(Box<Submission>),
    /// A submission that is rejected with this reply unless the job is already stored:
    /// submissions are idempotent.
    Reject(Reply),
    Query,
    Cancel,
}

impl RequestKind {
    /// Returns the time within which the user gets a reply.
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

/// The call or event that a request waits for.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub(super) enum RequestStep {
    /// The next poll of all records.
    Poll,
    /// The read of the unfinished job's record.
    ReadJobRecord,
    /// The read of the job's final record.
    ReadFinalRecord,
    /// The reads of the final records of the job's dependencies.
    ReadDependencies,
    /// The write of the job's record or of its cancellation.
    Write,
}

/// A user's request that has no reply yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) number: RequestNumber,
    pub(super) connection: ConnectionId,
    pub(super) id: JobId,
    pub(super) kind: RequestKind,
    pub(super) step: RequestStep,
    /// How often another read was made after a write whose compares failed or whose outcome
    /// is indeterminate.
    pub(super) retries: u32,
    /// Whether the job is to be accepted as already cancelled, because one of its
    /// dependencies is cancelled.
    pub(super) cancelled_by_dependency: bool,
    /// How many rounds of reads of the job's dependencies were made.
    pub(super) dependency_rounds: u32,
    /// How many reads of dependencies the request waits for.
    pub(super) outstanding_reads: usize,
    /// The size of the latest write; zero before the first write.
    pub(super) write_size: RequestSize,
    pub(super) received_ms: u64,
    pub(super) deadline_ms: u64,
}

impl PendingRequest {
    /// Creates a request that has just arrived, and sets its deadline.
    pub(super) fn new(
        now: Now,
        number: RequestNumber,
        connection: ConnectionId,
        id: JobId,
        kind: RequestKind,
        step: RequestStep,
    ) -> Self {
        PendingRequest {
            number,
            connection,
            id,
            step,
            retries: 0,
            cancelled_by_dependency: false,
            dependency_rounds: 0,
            outstanding_reads: 0,
            write_size: RequestSize::default(),
            received_ms: now.ms,
            deadline_ms: now.ms + kind.timeout_ms(),
            kind,
        }
    }

    fn remaining_ms(&self, now: Now) -> u64 {
        self.deadline_ms.saturating_sub(now.ms).max(1)
    }

    /// Returns whether the request is a submission with this dependency that hasn't been
    /// written yet.
    pub(super) fn depends_on(&self, dependency: &JobId) -> bool {
        match &self.kind {
            RequestKind::Submit(submission) => {
                self.retries == 0 && submission.spec.dependencies.contains(dependency)
            }
            RequestKind::Reject(_) | RequestKind::Query | RequestKind::Cancel => false,
        }
    }

    /// Builds the read of the job's record that the request's step waits for.
    pub(super) fn read_call(&self, now: Now) -> KvCall<RequestNumber> {
        let key = match self.step {
            RequestStep::ReadFinalRecord => final_key(&self.id),
            _ => job_key(&self.id),
        };
        self.get_call(now, self.kind.read_priority(), self.number, &key)
    }

    /// Builds the read of a dependency's final record. `number` is the number of the read,
    /// not of the request.
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

    /// Builds a read of one record that expires at the request's deadline.
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

    /// Builds the write that the request waits for.
    pub(super) fn write_call(
        &self,
        now: Now,
        priority: CallPriority,
        txn: &Txn,
    ) -> KvCall<RequestNumber> {
        // The write gets half of the remaining time, so that a read can still follow a
        // write of indeterminate outcome.
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

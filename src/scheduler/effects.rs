//! What the scheduler asks its node to do, and the calls whose responses it awaits.

use crate::ids::{JobId, MachineId};
use crate::kv_client::KvCall;
use crate::limits::RequestSize;
use crate::messages::{Call, ConnectionId, Reply};
use crate::usage::Purpose;
use thiserror::Error;

/// What a call of the key-value store was made for.
#[derive(Clone, PartialEq, Debug)]
pub enum SchedulerKvCall {
    /// A page of the job records.
    ListJobs,
    /// A page of the placement records.
    ListPlacements,
    /// Changes of the job records.
    Watch,
    /// The transaction in flight.
    Commit,
    /// Whether the transaction in flight was carried out.
    CheckCommit,
    /// This job's record.
    ReadJob(JobId),
    /// The machines whose leases followers renew.
    ListProxied,
    /// The removal of these records.
    Cleanup(Vec<String>),
    /// How this job, which others depend on, has ended.
    ReadDependency(JobId),
    /// The online estimates of the previous leader.
    ReadEstimates,
    /// The write of the online estimates.
    StoreEstimates,
}

impl SchedulerKvCall {
    /// What the work on its response is accounted to.
    pub fn purpose(&self) -> Purpose {
        match self {
            SchedulerKvCall::ListJobs
            | SchedulerKvCall::ListPlacements
            | SchedulerKvCall::ListProxied
            | SchedulerKvCall::ReadEstimates => Purpose::Loading,
            SchedulerKvCall::Watch
            | SchedulerKvCall::ReadJob(_)
            | SchedulerKvCall::ReadDependency(_) => Purpose::Watch,
            SchedulerKvCall::Commit
            | SchedulerKvCall::CheckCommit
            | SchedulerKvCall::Cleanup(_)
            | SchedulerKvCall::StoreEstimates => Purpose::Transaction,
        }
    }
}

/// A call straight to a worker.
#[derive(Clone, PartialEq, Debug)]
pub struct WorkerCommandCall {
    /// The machine that is called.
    pub machine: MachineId,
}

/// What the scheduler wants done.
#[derive(Default)]
pub struct SchedulerEffects {
    /// Responses to workers.
    pub replies: Vec<(ConnectionId, Reply)>,
    /// Calls of the key-value store.
    pub kv_calls: Vec<KvCall<SchedulerKvCall>>,
    /// Direct calls to workers.
    pub worker_calls: Vec<(WorkerCommandCall, Call)>,
    /// Why the leader has to step down, if it has to.
    pub step_down: Option<StepDownReason>,
    /// A heartbeat showed a term above this leader's.
    pub later_term_seen: bool,
    /// The key-value store rejected a transaction of this size as malformed.
    pub rejected_request: Option<RequestSize>,
}

/// Why a leader steps down: something can't be explained, and the next leader starts
/// afresh from what is stored.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub enum StepDownReason {
    /// A transaction was carried out, but the response doesn't say at which revision.
    #[error("the response to a commit can't be read")]
    UnreadableCommitResponse,
    /// The key-value store rejected a transaction with a status that has no known
    /// cause.
    #[error("a commit was rejected")]
    CommitRejected,
    /// The leader key, or a record that only the leader writes, has changed.
    #[error("a compare on a record of the leader's failed")]
    CompareFailed,
    /// Changes between two calls of the watch are lost.
    #[error("the watch fell too far behind")]
    WatchTooFarBehind,
    /// The record of an unfinished job was removed by somebody else.
    #[error("the record of an unfinished job is gone")]
    JobRecordGone,
    /// A machine's fencing token can't grow any more in this term.
    #[error("a machine's fencing tokens are used up")]
    FencingTokensExhausted,
}

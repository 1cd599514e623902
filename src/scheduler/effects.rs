//! The actions that the scheduler requests from its node, and the tags of the calls
//! whose responses the node returns to the scheduler.

use crate::ids::{JobId, MachineId};
use crate::kv_client::KvCall;
use crate::limits::RequestSize;
use crate::messages::{Call, ConnectionId, Reply};
use crate::usage::Purpose;
use thiserror::Error;

/// The purpose of a call to the key-value store, which determines how the scheduler
/// handles the response.
#[derive(Clone, PartialEq, Debug)]
pub enum SchedulerKvCall {
    /// Reads a page of the job records.
    ListJobs,
    /// Reads a page of the placement records.
    ListPlacements,
    /// Waits for changes of the job records.
    Watch,
    /// Sends the transaction in flight.
    Commit,
    /// Reads whether the transaction in flight was committed, after an indeterminate
    /// outcome.
    CheckCommit,
    /// Reads the record of this job.
    ReadJob(JobId),
    /// Lists the followers' records of the machines whose leases they renew.
    ListLeaseProxies,
    /// Deletes the records with these keys.
    Cleanup(Vec<String>),
    /// Reads the final record of this job, which other jobs depend on.
    ReadDependency(JobId),
    /// Reads the online estimates that the previous leader stored.
    ReadEstimates,
    /// Writes the online estimates.
    StoreEstimates,
}

impl SchedulerKvCall {
    /// Returns the purpose to which the handling of the response is accounted.
    pub fn purpose(&self) -> Purpose {
        match self {
            SchedulerKvCall::ListJobs
            | SchedulerKvCall::ListPlacements
            | SchedulerKvCall::ListLeaseProxies
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

/// A call that sends commands directly to a worker, outside a heartbeat response.
#[derive(Clone, PartialEq, Debug)]
pub struct WorkerCommandCall {
    /// The machine whose worker receives the commands.
    pub machine: MachineId,
}

/// The actions that the scheduler requests from its node.
#[derive(Default)]
pub struct SchedulerEffects {
    /// Heartbeat responses, each with the connection that it answers.
    pub replies: Vec<(ConnectionId, Reply)>,
    /// Calls to send to the key-value store.
    pub kv_calls: Vec<KvCall<SchedulerKvCall>>,
    /// Commands to send directly to workers.
    pub worker_calls: Vec<(WorkerCommandCall, Call)>,
    /// Set if the leader must step down.
    pub step_down: Option<StepDownReason>,
    /// Whether a heartbeat carried a higher term than this leader's.
    pub later_term_seen: bool,
    /// The size of a transaction that the key-value store rejected with status 400, for
    /// example because the transaction exceeds a lowered limit.
    pub rejected_request: Option<RequestSize>,
}

/// The reason for which a leader steps down. Each reason is an inconsistency that the
/// leader can't resolve; the next leader rebuilds its state from the stored records.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Error)]
pub enum StepDownReason {
    /// A transaction was committed, but its response contains no readable revision.
    #[error("the response to a committed transaction contains no readable revision")]
    UnreadableCommitResponse,
    /// The key-value store rejected a transaction with an unexpected status.
    #[error("the key-value store rejected a transaction with an unexpected status")]
    CommitRejected,
    /// The leader key, or a record that only the leader writes, has changed.
    #[error("a compare failed on the leader key or a record that only the leader writes")]
    CompareFailed,
    /// The key-value store no longer keeps the revision from which the watch continues,
    /// so changes have been missed.
    #[error("the watch fell behind the revisions that the key-value store keeps")]
    WatchTooFarBehind,
    /// Another process deleted the record of an unfinished job.
    #[error("another process deleted the record of an unfinished job")]
    JobRecordDeleted,
    /// A machine has no fencing tokens left in this term.
    #[error("a machine has no fencing tokens left in this term")]
    FencingTokensExhausted,
}

//! The records of jobs: unfinished ones, and those that are over.

use crate::ids::JobId;
use crate::kv_client::KvResponse;
use crate::wire::{JobPhase, JobSpec, KeyValue, TxnResponse, Value};
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Unfinished and cancelled-but-not-yet-cleared jobs.
pub const JOB_PREFIX: &str = "j/";
/// Jobs that are over, for good.
pub const FINAL_PREFIX: &str = "f/";

/// The key of an unfinished job's record.
pub fn job_key(id: &JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// The key of the record of a job that is over.
pub fn final_key(id: &JobId) -> String {
    format!("{FINAL_PREFIX}{id}")
}

/// The record of an unfinished job.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as its user described it.
    pub spec: JobSpec,
    /// Time of day of the submission, milliseconds.
    #[serde(rename = "t")]
    pub submitted: u64,
    /// Time of day of the cancellation.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub cancelled: Option<u64>,
    /// Parts of a replica, if its replicas span machines. It was settled when the
    /// job was accepted, and is never judged again.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub replica_parts: Option<u32>,
}

/// How a job ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum FinalState {
    /// All its tasks are done.
    #[serde(rename = "d")]
    Done,
    /// Its user cancelled it.
    #[serde(rename = "c")]
    Cancelled,
}

impl FinalState {
    pub(super) fn state(self) -> JobPhase {
        match self {
            FinalState::Done => JobPhase::Done,
            FinalState::Cancelled => JobPhase::Cancelled,
        }
    }
}

/// The record of a job that is over.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct FinalRecord {
    /// How it ended.
    #[serde(rename = "s")]
    pub state: FinalState,
    /// How many tasks it had.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Names the write, so that its author knows it again.
    #[serde(rename = "w", default)]
    pub write: u64,
    /// Time of day of its end, milliseconds; 0: not told, as by versions before 0.2.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub ended: u64,
}

fn is_zero(time: &u64) -> bool {
    *time == 0
}

/// An unfinished job's record as it was read.
#[derive(Debug)]
pub(super) struct StoredJob {
    /// What this version knows of it.
    pub(super) record: JobRecord,
    /// All of it: what a later version wrote has to survive a change by this one.
    value: Value,
    /// Its revision.
    pub(super) version: u64,
}

impl StoredJob {
    /// Whether more than its own record says how the job stands.
    pub(super) fn waits_for_others(&self) -> bool {
        self.record.cancelled.is_none() && !self.record.spec.dependencies.is_empty()
    }

    /// The same record, cancelled. It doesn't wait for anything any more; and one
    /// that was accepted under larger limits must not be too large to be cancelled.
    pub(super) fn cancelled(mut self, at: u64, value_bytes: usize) -> Value {
        self.value["c"] = json!(at);
        if let Some(spec) = self.value["spec"].as_object_mut() {
            spec.remove("attend");
        }
        let bytes = serde_json::to_vec(&self.value).map_or(0, |text| text.len());
        if bytes > value_bytes {
            // Nothing of it will be placed again.
            self.value["spec"]["gammes"] = json!([]);
        }
        self.value
    }
}

/// What the state service said of a job.
#[derive(Debug)]
pub(super) enum JobLookup {
    Absent,
    Live(Box<StoredJob>),
    /// As the last two, by a poll, which doesn't keep the records.
    Unfinished,
    Cancelled,
    Over(FinalRecord),
}

/// A 404 that the state service itself gives names its revision; any other is
/// somebody's who knows of no job.
pub(super) fn is_absent(answer: &KvResponse) -> bool {
    answer.read::<TxnResponse>(404).is_some()
}

pub(super) fn read_live(answer: &KvResponse) -> Option<JobLookup> {
    if is_absent(answer) {
        return Some(JobLookup::Absent);
    }
    let item = answer.read::<KeyValue>(200)?;
    let record = JobRecord::deserialize(&item.value).ok()?;
    Some(JobLookup::Live(Box::new(StoredJob {
        record,
        value: item.value,
        version: item.mod_revision,
    })))
}

pub(super) fn read_final(answer: &KvResponse) -> Option<JobLookup> {
    if is_absent(answer) {
        return Some(JobLookup::Absent);
    }
    let item = answer.read::<KeyValue>(200)?;
    Some(JobLookup::Over(serde_json::from_value(item.value).ok()?))
}

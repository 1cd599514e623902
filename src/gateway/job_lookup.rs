//! What the key-value store says of a job: its record as it was read.

use crate::kv_client::KvResponse;
use crate::records::jobs::{FinalRecord, JobRecord};
use crate::wire::kv::{KeyValue, TxnResponse, Value};
use serde::Deserialize;
use serde_json::json;

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

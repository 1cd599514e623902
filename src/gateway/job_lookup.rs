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
    /// The revision of its last change.
    pub(super) mod_revision: u64,
}

impl StoredJob {
    /// Whether the job's state also depends on the records of its dependencies.
    pub(super) fn has_open_dependencies(&self) -> bool {
        self.record.cancelled_wall_ms.is_none() && !self.record.spec.dependencies.is_empty()
    }

    /// The same record, cancelled at this time of day. It has no dependencies any more;
    /// and one that was accepted under larger limits must not be too large to be
    /// cancelled.
    pub(super) fn into_cancelled(mut self, wall_ms: u64, max_value_bytes: usize) -> Value {
        self.value["c"] = json!(wall_ms);
        if let Some(spec) = self.value["spec"].as_object_mut() {
            spec.remove("attend");
        }
        let bytes = serde_json::to_vec(&self.value).map_or(0, |text| text.len());
        if bytes > max_value_bytes {
            // None of its tasks will be placed again, so the machine types can go.
            self.value["spec"]["gammes"] = json!([]);
        }
        self.value
    }
}

/// What the key-value store says of a job.
#[derive(Debug)]
pub(super) enum JobLookup {
    /// There is no record.
    Absent,
    /// The record of an unfinished or cancelled job.
    Live(Box<StoredJob>),
    /// Unfinished, by a poll, which doesn't keep the records.
    Unfinished,
    /// Cancelled, by a poll.
    Cancelled,
    /// The record of a job that is over.
    Ended(FinalRecord),
}

impl JobLookup {
    /// Whether it may be outdated by now.
    pub(super) fn may_change(&self) -> bool {
        match self {
            JobLookup::Absent | JobLookup::Live(_) | JobLookup::Unfinished => true,
            JobLookup::Cancelled | JobLookup::Ended(_) => false,
        }
    }
}

/// A 404 from the key-value store itself names its revision; any other may come from a
/// server that knows no jobs.
fn is_absent(response: &KvResponse) -> bool {
    response.read::<TxnResponse>(404).is_some()
}

/// Reads the record of an unfinished job; `None`: the response isn't usable.
pub(super) fn read_live(response: &KvResponse) -> Option<JobLookup> {
    if is_absent(response) {
        return Some(JobLookup::Absent);
    }
    let item = response.read::<KeyValue>(200)?;
    let record = JobRecord::deserialize(&item.value).ok()?;
    Some(JobLookup::Live(Box::new(StoredJob {
        record,
        value: item.value,
        mod_revision: item.mod_revision,
    })))
}

/// Reads the record of a job that is over; `None`: the response isn't usable.
pub(super) fn read_final(response: &KvResponse) -> Option<JobLookup> {
    if is_absent(response) {
        return Some(JobLookup::Absent);
    }
    let item = response.read::<KeyValue>(200)?;
    Some(JobLookup::Ended(serde_json::from_value(item.value).ok()?))
}

//! Job records as read from the key-value store.

use crate::kv_client::KvResponse;
use crate::records::jobs::{FinalRecord, JobRecord};
use crate::wire::kv::{KeyValue, TxnResponse, Value};
use serde::Deserialize;
use serde_json::json;

/// An unfinished job's record as it was read.
#[derive(Debug)]
pub(super) struct StoredJob {
    /// The fields of the record that this version knows.
    pub(super) record: JobRecord,
    /// The whole record: fields that a later version wrote have to survive a change by
    /// this version.
    value: Value,
    /// The revision of the record's last change.
    pub(super) mod_revision: u64,
}

impl StoredJob {
    /// Returns whether the job's state also depends on the records of its dependencies.
    pub(super) fn has_open_dependencies(&self) -> bool {
        self.record.cancelled_wall_ms.is_none() && !self.record.spec.dependencies.is_empty()
    }

    /// Returns the record with a cancellation at the time of day `wall_ms` and without
    /// dependencies. A record that was accepted under larger limits and exceeds
    /// `max_value_bytes` also loses its machine types, so that the job can be cancelled.
    pub(super) fn into_cancelled(mut self, wall_ms: u64, max_value_bytes: usize) -> Value {
        self.value["c"] = json!(wall_ms);
        if let Some(spec) = self.value["spec"].as_object_mut() {
            spec.remove("attend");
        }
        let bytes = serde_json::to_vec(&self.value).map_or(0, |text| text.len());
        if bytes > max_value_bytes {
            // No task of a cancelled job is placed again, so the machine types aren't needed.
            self.value["spec"]["gammes"] = json!([]);
        }
        self.value
    }
}

/// The result of looking up a job in the key-value store.
#[derive(Debug)]
pub(super) enum JobLookup {
    /// The job has no record.
    Absent,
    /// The record of a job that hasn't ended, read for this request.
    Record(Box<StoredJob>),
    /// A poll, which doesn't keep the records, has shown that the job is unfinished.
    Unfinished,
    /// A poll has shown that the job or one of its dependencies is cancelled.
    Cancelled,
    /// The final record of a job that has ended.
    Ended(FinalRecord),
}

impl JobLookup {
    /// Returns whether the job's state may have changed since the lookup.
    pub(super) fn may_change(&self) -> bool {
        match self {
            JobLookup::Absent | JobLookup::Record(_) | JobLookup::Unfinished => true,
            JobLookup::Cancelled | JobLookup::Ended(_) => false,
        }
    }
}

/// Returns whether the key-value store reports that the key is absent. A 404 from the store
/// itself includes its revision; any other 404 may come from a server that doesn't hold the
/// records.
fn is_absent(response: &KvResponse) -> bool {
    response.parse_body::<TxnResponse>(404).is_some()
}

/// Parses the response to a read of an unfinished job's record. Returns `None` if the
/// response isn't usable.
pub(super) fn parse_job_record(response: &KvResponse) -> Option<JobLookup> {
    if is_absent(response) {
        return Some(JobLookup::Absent);
    }
    let item = response.parse_body::<KeyValue>(200)?;
    let record = JobRecord::deserialize(&item.value).ok()?;
    Some(JobLookup::Record(Box::new(StoredJob {
        record,
        value: item.value,
        mod_revision: item.mod_revision,
    })))
}

/// Parses the response to a read of a job's final record. Returns `None` if the response
/// isn't usable.
pub(super) fn parse_final_record(response: &KvResponse) -> Option<JobLookup> {
    if is_absent(response) {
        return Some(JobLookup::Absent);
    }
    let item = response.parse_body::<KeyValue>(200)?;
    Some(JobLookup::Ended(serde_json::from_value(item.value).ok()?))
}

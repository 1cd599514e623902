//! Records of jobs: unfinished ones (`j/ID`), and those that are over (`f/ID`).

use crate::ids::JobId;
use crate::wire::users::{JobPhase, JobSpec};
use serde::{Deserialize, Serialize};

/// Prefix of the records of unfinished jobs, among them cancelled ones whose tasks
/// haven't all stopped.
pub const JOB_PREFIX: &str = "j/";
/// Prefix of the records of jobs that are over, which never change.
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
    pub submitted_wall_ms: u64,
    /// Time of day of the cancellation.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub cancelled_wall_ms: Option<u64>,
    /// Parts of a replica, if its replicas span machines. It was decided when the job
    /// was accepted, and is never decided again.
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
    /// The state that is shown to the job's user.
    pub fn phase(self) -> JobPhase {
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
    /// Identifies the write, so that its author can tell whether it was carried out.
    #[serde(rename = "w", default)]
    pub write_id: u64,
    /// Time of day of its end, milliseconds; 0: unknown, as versions before 0.2
    /// leave it out.
    #[serde(rename = "t", default, skip_serializing_if = "super::is_default")]
    pub ended_wall_ms: u64,
}

/// The job that an unfinished job's key names.
pub fn parse_job_key(key: &str) -> Option<JobId> {
    key.strip_prefix(JOB_PREFIX).map(JobId::new)
}

/// Whether an unfinished job's record, of any version, says that it is cancelled.
pub fn is_cancelled(record: &serde_json::Value) -> bool {
    record
        .get("c")
        .is_some_and(|cancelled| !cancelled.is_null())
}

/// The jobs that an unfinished job's record, of any version, depends on.
pub fn dependencies_in(record: &serde_json::Value) -> Box<[JobId]> {
    let field = record.get("spec").and_then(|spec| spec.get("attend"));
    let names = field.and_then(|field| field.as_array());
    names
        .into_iter()
        .flatten()
        .filter_map(|name| name.as_str())
        .map(JobId::new)
        .collect()
}

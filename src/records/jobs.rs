//! Records of jobs: of unfinished jobs (`j/ID`), and of jobs that have ended (`f/ID`).

use crate::ids::JobId;
use crate::wire::users::{JobPhase, JobSpec};
use serde::{Deserialize, Serialize};

/// The key prefix of the records of unfinished jobs, including cancelled jobs whose tasks
/// haven't all stopped.
pub const JOB_PREFIX: &str = "j/";
/// The key prefix of the records of jobs that have ended. These records never change.
pub const FINAL_PREFIX: &str = "f/";

/// Returns the key of an unfinished job's record.
pub fn job_key(id: &JobId) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of a job's final record.
pub fn final_key(id: &JobId) -> String {
    format!("{FINAL_PREFIX}{id}")
}

/// The record of an unfinished job, including a cancelled job whose tasks haven't all
/// stopped.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    /// The job as its user submitted it.
    pub spec: JobSpec,
    /// The time of day of the submission, in milliseconds.
    #[serde(rename = "t")]
    pub submitted_wall_ms: u64,
    /// The time of day of the cancellation, in milliseconds; `None` if the job isn't
    /// cancelled.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub cancelled_wall_ms: Option<u64>,
    /// How many parts each replica has; `None` if the job has no replicas that span
    /// machines. The value is set when the job is accepted and never changes.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub replica_parts: Option<u32>,
}

/// How a job ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum FinalState {
    /// All tasks of the job are done.
    #[serde(rename = "d")]
    Done,
    /// The user cancelled the job, or one of its dependencies was cancelled.
    #[serde(rename = "c")]
    Cancelled,
}

impl FinalState {
    /// Returns the state that is shown to the job's user.
    pub fn phase(self) -> JobPhase {
        match self {
            FinalState::Done => JobPhase::Done,
            FinalState::Cancelled => JobPhase::Cancelled,
        }
    }
}

/// The final record of a job: the record of a job that has ended.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct FinalRecord {
    /// How the job ended.
    #[serde(rename = "s")]
    pub state: FinalState,
    /// How many tasks the job had.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Identifies the write, so that the controller that sent it can determine whether it
    /// was applied; 0 if a gateway wrote the record or the field is missing.
    #[serde(rename = "w", default)]
    pub write_id: u64,
    /// The time of day at which the job ended, in milliseconds; 0 if unknown, because
    /// versions before 0.2 leave the field out.
    #[serde(rename = "t", default, skip_serializing_if = "super::is_default")]
    pub ended_wall_ms: u64,
}

/// Returns the job whose record has this key; `None` if it isn't the key of an unfinished
/// job's record.
pub fn parse_job_key(key: &str) -> Option<JobId> {
    key.strip_prefix(JOB_PREFIX).map(JobId::new)
}

/// Returns whether an unfinished job's record, written by any version, shows a
/// cancellation.
pub fn is_cancelled(record: &serde_json::Value) -> bool {
    record
        .get("c")
        .is_some_and(|cancelled| !cancelled.is_null())
}

/// Returns the dependencies in an unfinished job's record, written by any version.
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

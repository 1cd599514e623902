//! Messages to and from users: submissions, queries and cancellations of jobs.

use crate::ids::JobId;
use lilacfork_common::resources::Resources;
use lilacfork_dependencies::validation::{self, DependencyError};
use serde::{Deserialize, Deserializer, Serialize};
use std::rc::Rc;
use thiserror::Error;

/// Path of submissions, and prefix of the path of a job.
pub const USER_JOBS_PATH: &str = "/v2/runs";
/// Path of the load balancer's readiness probe.
pub const READY_PATH: &str = "/ready";

/// The kind of a job, which decides how its tasks start and end.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks that run to completion.
    Array,
    /// Replicas that run until the job is cancelled.
    Service,
    /// Gang: tasks that run all at the same time or not at all.
    #[serde(rename = "group")]
    Gang,
}

/// The priority of a job. The variants go from the highest to the lowest priority, so that
/// the derived order is the order of the queue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Queued ahead of all other jobs.
    Critical,
    /// Queued ahead of standard jobs.
    High,
    /// The priority of ordinary jobs.
    Standard,
    /// Uses only capacity that is otherwise idle.
    Idle,
}

/// The specification of a job, as its user submits it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobSpec {
    /// Job id, which the user chooses.
    pub id: JobId,
    /// Class of the job. Objectives and run-time estimates are kept by class.
    #[serde(rename = "gabarit")]
    pub class: Rc<str>,
    /// Team whose quota the job uses.
    #[serde(rename = "equipe")]
    pub team: Rc<str>,
    /// Job array, service or gang.
    #[serde(rename = "genre")]
    pub kind: JobKind,
    /// Priority in the queue.
    #[serde(rename = "rang")]
    pub priority: Priority,
    /// Number of tasks, at least 1.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Processor cores that each task takes.
    pub cpus: f64,
    /// GPUs that each task takes.
    pub gpus: f64,
    /// Memory that each task takes, in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// Name of the container image that the tasks run.
    #[serde(rename = "moule")]
    pub image: Rc<str>,
    /// Size of the container image in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// Names of the allowed machine types; `None`: any type.
    #[serde(rename = "gammes", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<Rc<str>>>,
    /// The only allowed zone; `None`: any zone.
    #[serde(rename = "secteur", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Rc<str>>,
    /// Whether all tasks have to run in the same zone.
    #[serde(rename = "samePlace")]
    pub same_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in the same zone.
    pub spread: bool,
    /// Whether the tasks may run on spot instances.
    #[serde(rename = "occasion")]
    pub spot: bool,
    /// The user's estimate of a task's run time, in seconds.
    #[serde(rename = "prevuS")]
    pub estimated_run_s: f64,
    /// Interval at which a running task saves checkpoints, in seconds; 0: it saves none.
    #[serde(rename = "jalonS")]
    pub checkpoint_interval_s: f64,
    /// Time that a stopped task takes to save a checkpoint, in seconds.
    #[serde(rename = "sauvegardeS")]
    pub checkpoint_save_s: f64,
    /// Time after submission within which the job should be done, in seconds; `None`: no
    /// deadline.
    #[serde(rename = "echeanceS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this job starts.
    #[serde(
        rename = "attend",
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "null_as_empty"
    )]
    pub dependencies: Vec<JobId>,
}

// Bounds on the values of a submission.
const MAX_TASKS: u32 = 100_000;
const MAX_AMOUNT: f64 = 1e9;
const MAX_NAME_BYTES: usize = 200;
const MAX_JOB_ID_BYTES: usize = 100;

/// The reason why a submission is rejected. The text is sent to the user, so it names the
/// protocol's fields.
#[derive(Debug, Error)]
pub enum JobSpecError {
    /// The body isn't the JSON of a job.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The value isn't a valid job id.
    #[error("{field}: not a job id")]
    InvalidJobId {
        /// Protocol name of the field.
        field: &'static str,
    },
    /// The number is outside its valid range.
    #[error("{field}: out of range")]
    OutOfRange {
        /// Protocol name of the field.
        field: &'static str,
    },
    /// The name is empty or longer than 200 bytes.
    #[error("{field}: empty or too long")]
    InvalidName {
        /// Protocol name of the field.
        field: &'static str,
    },
    /// The list of dependencies is invalid.
    #[error("attend: {0}")]
    Dependencies(#[from] DependencyError),
}

/// Deserializes a list of job ids, with null as the empty list.
fn null_as_empty<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<JobId>, D::Error> {
    Ok(Option::<Vec<JobId>>::deserialize(deserializer)?.unwrap_or_default())
}

impl JobSpec {
    /// Returns the resources that one task takes on its machine.
    pub fn task_request(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// Parses and checks the body of a submission.
    pub fn parse(body: &[u8]) -> Result<JobSpec, JobSpecError> {
        let spec: JobSpec = serde_json::from_slice(body)?;
        check_job_id("id", &spec.id)?;
        if spec.tasks == 0 || spec.tasks > MAX_TASKS {
            return Err(JobSpecError::OutOfRange { field: "pieces" });
        }
        spec.check_amounts()?;
        spec.check_names()?;
        for dependency in &spec.dependencies {
            check_job_id("attend", dependency)?;
        }
        validation::validate(&spec.id, &spec.dependencies)?;
        Ok(spec)
    }

    fn check_amounts(&self) -> Result<(), JobSpecError> {
        let amounts = [
            ("cpus", self.cpus),
            ("gpus", self.gpus),
            ("memoryGb", self.memory_gb),
            ("pullGb", self.image_gb),
            ("prevuS", self.estimated_run_s),
            ("jalonS", self.checkpoint_interval_s),
            ("sauvegardeS", self.checkpoint_save_s),
            ("echeanceS", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            // The range check also rejects NaN, because comparisons with NaN are false.
            if !(0.0..=MAX_AMOUNT).contains(&amount) {
                return Err(JobSpecError::OutOfRange { field });
            }
        }
        Ok(())
    }

    fn check_names(&self) -> Result<(), JobSpecError> {
        let names = [
            ("gabarit", &self.class),
            ("equipe", &self.team),
            ("moule", &self.image),
        ];
        for (field, name) in names {
            if name.is_empty() || name.len() > MAX_NAME_BYTES {
                return Err(JobSpecError::InvalidName { field });
            }
        }
        Ok(())
    }
}

fn check_job_id(field: &'static str, id: &JobId) -> Result<(), JobSpecError> {
    if is_valid_job_id(id.as_str()) {
        Ok(())
    } else {
        Err(JobSpecError::InvalidJobId { field })
    }
}

/// Parses only the job id of a submission, whose other fields may be invalid. Returns
/// `None` if there is no valid job id.
pub(crate) fn peek_job_id(body: &[u8]) -> Option<JobId> {
    #[derive(Deserialize)]
    struct IdOnly {
        id: JobId,
    }
    let IdOnly { id } = serde_json::from_slice(body).ok()?;
    is_valid_job_id(id.as_str()).then_some(id)
}

/// Returns whether `id` is a valid job id: `run-` followed by ASCII letters, digits, `-` or
/// `_`, at most 100 bytes. Ids become keys of the key-value store, so they must not contain
/// characters that have a meaning in a path.
pub fn is_valid_job_id(id: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    id.len() <= MAX_JOB_ID_BYTES
        && id
            .strip_prefix("run-")
            .is_some_and(|rest| !rest.is_empty() && rest.bytes().all(allowed))
}

/// The state of a job that a query reports.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// No task of the job is running.
    Pending,
    /// At least one task of the job is running.
    Running,
    /// All tasks of the job are done.
    Done,
    /// The job or one of its dependencies was cancelled.
    Cancelled,
}

/// The response to a user's submission, query or cancellation of a job.
#[derive(Debug, Serialize)]
pub struct JobStatus<'a> {
    /// Id of the job.
    pub id: &'a JobId,
    /// State of the job, as far as the responding controller knows.
    #[serde(rename = "etat")]
    pub state: JobPhase,
    /// Number of tasks that are done, for display; `None`: unknown.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Number of tasks that are running, for display; `None`: unknown.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

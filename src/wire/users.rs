//! Users: submissions, queries and cancellations of jobs.

use crate::ids::JobId;
use lilacfork_common::resources::Resources;
use lilacfork_dependencies::validation::{self, DependencyError};
use serde::{Deserialize, Deserializer, Serialize};
use std::rc::Rc;
use thiserror::Error;

/// Path of submissions; the path of a job starts with it.
pub const USER_JOBS_PATH: &str = "/v2/runs";
/// Path of the load balancer's readiness probe.
pub const READY_PATH: &str = "/ready";

/// The kind of a job.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobKind {
    /// Independent tasks that run to completion.
    Array,
    /// Replicas that run until the job is cancelled.
    Service,
    /// A gang: tasks that run together or not at all.
    #[serde(rename = "group")]
    Gang,
}

/// The priority of a job. The most important comes first, so that the derived order is
/// the order of the queue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Ahead of all others.
    Critical,
    /// Ahead of ordinary work.
    High,
    /// Ordinary work.
    Standard,
    /// Runs in capacity that is otherwise idle.
    Idle,
}

/// A job as its user describes it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its id, which its user chooses.
    pub id: JobId,
    /// The class of jobs that it belongs to.
    #[serde(rename = "gabarit")]
    pub class: Rc<str>,
    /// Its team.
    #[serde(rename = "equipe")]
    pub team: Rc<str>,
    /// Its kind.
    #[serde(rename = "genre")]
    pub kind: JobKind,
    /// Its priority.
    #[serde(rename = "rang")]
    pub priority: Priority,
    /// How many tasks it has.
    #[serde(rename = "pieces")]
    pub tasks: u32,
    /// Processor cores of a task.
    pub cpus: f64,
    /// GPUs of a task.
    pub gpus: f64,
    /// Memory of a task in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// The container image of its tasks.
    #[serde(rename = "moule")]
    pub image: Rc<str>,
    /// The image's size in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// The allowed machine types; `None`: any.
    #[serde(rename = "gammes", default, skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<Rc<str>>>,
    /// The only allowed zone.
    #[serde(rename = "secteur", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Rc<str>>,
    /// All tasks in one zone.
    #[serde(rename = "samePlace")]
    pub same_zone: bool,
    /// At most half of the tasks, rounded up, in one zone.
    pub spread: bool,
    /// Whether it may use spot instances.
    #[serde(rename = "occasion")]
    pub spot: bool,
    /// The user's estimate of a task's run time.
    #[serde(rename = "prevuS")]
    pub estimated_run_s: f64,
    /// The interval at which a task saves checkpoints by itself; 0: never.
    #[serde(rename = "jalonS")]
    pub checkpoint_interval_s: f64,
    /// How long a task takes to save a checkpoint when it is stopped.
    #[serde(rename = "sauvegardeS")]
    pub checkpoint_save_s: f64,
    /// The time after its submission within which it should be done.
    #[serde(rename = "echeanceS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any of its tasks starts.
    #[serde(
        rename = "attend",
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "null_as_empty"
    )]
    pub dependencies: Vec<JobId>,
}

/// Bounds of what a submission may ask for.
const MAX_TASKS: u32 = 100_000;
const MAX_AMOUNT: f64 = 1e9;
const MAX_NAME_BYTES: usize = 200;
const MAX_JOB_ID_BYTES: usize = 100;

/// What is wrong with a submission. The text is sent to its user, so it names the
/// protocol's fields.
#[derive(Debug, Error)]
pub enum JobSpecError {
    /// The body isn't a job in JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A name that can't be a job's id.
    #[error("{field}: not a job id")]
    InvalidJobId {
        /// The field.
        field: &'static str,
    },
    /// A number outside its bounds.
    #[error("{field}: out of range")]
    OutOfRange {
        /// The field.
        field: &'static str,
    },
    /// A name that is empty or too long.
    #[error("{field}: empty or too long")]
    InvalidName {
        /// The field.
        field: &'static str,
    },
    /// Dependencies that can't be.
    #[error("attend: {0}")]
    Dependencies(#[from] DependencyError),
}

/// Reads a list that may be null.
fn null_as_empty<'de, D: Deserializer<'de>>(source: D) -> Result<Vec<JobId>, D::Error> {
    Ok(Option::<Vec<JobId>>::deserialize(source)?.unwrap_or_default())
}

impl JobSpec {
    /// What one task takes of its machine.
    pub fn task_request(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// Reads and checks a submission.
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
            // Comparisons with NaN are false, so it isn't contained either.
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
    if valid_job_id(id.as_str()) {
        Ok(())
    } else {
        Err(JobSpecError::InvalidJobId { field })
    }
}

/// The job id from a submission that may otherwise be invalid.
pub(crate) fn peek_job_id(body: &[u8]) -> Option<JobId> {
    #[derive(Deserialize)]
    struct IdOnly {
        id: JobId,
    }
    let IdOnly { id } = serde_json::from_slice(body).ok()?;
    valid_job_id(id.as_str()).then_some(id)
}

/// Whether this is a job id: `run-` and letters, digits, `-` or `_`. Ids become keys of
/// the key-value store, so they must not contain what has a meaning in a path.
pub fn valid_job_id(id: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    id.len() <= MAX_JOB_ID_BYTES
        && id
            .strip_prefix("run-")
            .is_some_and(|rest| !rest.is_empty() && rest.bytes().all(allowed))
}

/// The state of a job as its user sees it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// None of its tasks is running.
    Pending,
    /// At least one of its tasks is running.
    Running,
    /// All its tasks are done.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

/// The response to a user about a job.
#[derive(Debug, Serialize)]
pub struct JobStatus<'a> {
    /// The job.
    pub id: &'a JobId,
    /// Its state.
    #[serde(rename = "etat")]
    pub state: JobPhase,
    /// Tasks that are done, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks that are running, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

//! Users: submissions, questions about jobs, cancellations.

use crate::ids::JobId;
use lilacfork_common::resources::Resources;
use lilacfork_dependencies::validation;
use serde::{Deserialize, Deserializer, Serialize};
use std::rc::Rc;

/// Users' submissions; a job's own path starts with it.
pub const USER_JOBS_PATH: &str = "/v2/runs";
/// The load balancer's probe.
pub const READY_PATH: &str = "/ready";

/// What kind of job it is.
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

/// Most important first, so that the derived order is the serving order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Before all others.
    Critical,
    /// Before ordinary work.
    High,
    /// Ordinary work.
    Standard,
    /// What fills gaps.
    Idle,
}

/// A job as its user describes it.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its id, chosen by the user.
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
    /// Cores of a task.
    pub cpus: f64,
    /// GPUs of a task.
    pub gpus: f64,
    /// Memory of a task in GB.
    #[serde(rename = "memoryGb")]
    pub memory_gb: f64,
    /// The image that a machine must have.
    #[serde(rename = "moule")]
    pub image: Rc<str>,
    /// The image's size in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// The allowed machine types; `None`: any.
    #[serde(rename = "gammes", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<Rc<str>>>,
    /// The only allowed zone.
    #[serde(rename = "secteur", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<Rc<str>>,
    /// All tasks in one zone.
    #[serde(rename = "samePlace")]
    pub same_zone: bool,
    /// At most half of the tasks in one zone.
    pub spread: bool,
    /// It may use spot machines.
    #[serde(rename = "occasion")]
    pub spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "prevuS")]
    pub estimated_run_s: f64,
    /// How often a task saves by itself; 0: never.
    #[serde(rename = "jalonS")]
    pub checkpoint_interval_s: f64,
    /// How long a task takes to save when it is stopped.
    #[serde(rename = "sauvegardeS")]
    pub checkpoint_save_s: f64,
    /// When it should be done, after its submission.
    #[serde(rename = "echeanceS", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any of its tasks starts.
    #[serde(
        rename = "attend",
        default,
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "null_is_none"
    )]
    pub dependencies: Vec<JobId>,
}

const MAX_TASKS: u32 = 100_000;

/// A list that may be null.
fn null_is_none<'de, D: Deserializer<'de>>(source: D) -> Result<Vec<JobId>, D::Error> {
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

    /// Reads and checks a submission. Everything wrong with it is a 400.
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        let spec: JobSpec = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        if !valid_job_id(spec.id.as_str()) {
            return Err("id: not a job id".into());
        }
        if spec.tasks == 0 || spec.tasks > MAX_TASKS {
            return Err("pieces: out of range".into());
        }
        let amounts = [
            ("cpus", spec.cpus),
            ("gpus", spec.gpus),
            ("memoryGb", spec.memory_gb),
            ("pullGb", spec.image_gb),
            ("prevuS", spec.estimated_run_s),
            ("jalonS", spec.checkpoint_interval_s),
            ("sauvegardeS", spec.checkpoint_save_s),
            ("echeanceS", spec.deadline_s.unwrap_or(0.0)),
        ];
        for (name, amount) in amounts {
            if !amount.is_finite() || !(0.0..=1e9).contains(&amount) {
                return Err(format!("{name}: out of range"));
            }
        }
        for (name, text) in [
            ("gabarit", &spec.class),
            ("equipe", &spec.team),
            ("moule", &spec.image),
        ] {
            if text.is_empty() || text.len() > 200 {
                return Err(format!("{name}: empty or too long"));
            }
        }
        if !spec
            .dependencies
            .iter()
            .all(|need| valid_job_id(need.as_str()))
        {
            return Err("attend: not a job id".into());
        }
        validation::validate(&spec.id, &spec.dependencies).map_err(|e| format!("attend: {e}"))?;
        Ok(spec)
    }
}

/// The id alone, from a body that may otherwise be invalid.
pub fn peek_job_id(body: &[u8]) -> Option<JobId> {
    #[derive(Deserialize)]
    struct IdOnly {
        id: JobId,
    }
    let peek: IdOnly = serde_json::from_slice(body).ok()?;
    valid_job_id(peek.id.as_str()).then_some(peek.id)
}

/// `run-` and digits or letters; ids become keys of the state service, so
/// nothing that could leave its place in a path gets through.
pub fn valid_job_id(id: &str) -> bool {
    id.len() <= 100
        && id.strip_prefix("run-").is_some_and(|rest| {
            !rest.is_empty()
                && rest
                    .bytes()
                    .all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
        })
}

/// A job's state as its user sees it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum JobPhase {
    /// No task runs.
    Pending,
    /// A task runs.
    Running,
    /// Every task is done.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

/// The answer to a user about a job.
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
    /// Tasks that run, for display.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

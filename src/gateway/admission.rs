//! Which submissions are taken, and what is stored of them.

use crate::limits::StoreLimits;
use crate::messages::{Now, Reply};
use crate::placement::fits_machine_type;
use crate::records::jobs::{final_key, job_key, FinalRecord, FinalState, JobRecord};
use crate::records::placements::tasks_per_record;
use crate::settings::Settings;
use crate::wire::cloud::Catalog;
use crate::wire::kv::Txn;
use crate::wire::users::{JobKind, JobSpec};
use lilacfork_replica_groups::classes::{GroupingRequest, ReplicaClasses};
use lilacfork_replica_groups::shape::Shape;
use std::rc::Rc;

/// What the record of a job takes beside what its user sends: times, names of
/// fields, decimal points.
const RECORD_BYTES: usize = 400;

/// A job that a user wants taken.
#[derive(Debug)]
pub(super) struct Submission {
    pub(super) spec: JobSpec,
    /// How its tasks form replicas that span machines.
    shape: Option<Shape>,
}

impl Submission {
    fn record(&self, submitted: u64) -> JobRecord {
        JobRecord {
            spec: self.spec.clone(),
            submitted,
            cancelled: None,
            replica_parts: self.shape.map(|shape| shape.parts()),
        }
    }

    /// The transaction that accepts it.
    pub(super) fn accept(&self, now: Now) -> Txn {
        let id = &self.spec.id;
        let value = serde_json::to_value(self.record(now.wall)).unwrap_or_default();
        self.unknown_yet().put(job_key(id), value)
    }

    /// The transaction that accepts it when a job that it needs is cancelled.
    pub(super) fn accept_cancelled(&self, now: Now) -> Txn {
        let record = FinalRecord {
            state: FinalState::Cancelled,
            tasks: self.spec.tasks,
            write: 0,
            ended: now.wall,
        };
        let value = serde_json::to_value(record).unwrap_or_default();
        self.unknown_yet().put(final_key(&self.spec.id), value)
    }

    fn unknown_yet(&self) -> Txn {
        let id = &self.spec.id;
        Txn::default()
            .compare(job_key(id), 0)
            .compare(final_key(id), 0)
    }
}

/// Judges submissions.
pub(super) struct Admission {
    settings: Rc<Settings>,
    /// Which new jobs span machines.
    replica_classes: ReplicaClasses,
    /// What the state service will always take.
    least: StoreLimits,
    pub(super) catalog: Option<Rc<Catalog>>,
}

impl Admission {
    pub(super) fn new(
        settings: Rc<Settings>,
        replica_classes: ReplicaClasses,
        least: StoreLimits,
    ) -> Self {
        Admission {
            settings,
            replica_classes,
            least,
            catalog: None,
        }
    }

    /// Reads a submission. The error is its answer, unless the job is known already.
    pub(super) fn judge(&self, body: &[u8]) -> Result<Submission, Reply> {
        let spec = JobSpec::parse(body).map_err(|why| Reply::error(400, &why))?;
        let never = |why: String| Reply::error(422, &why);
        let judged = self.can_ever_run(&spec);
        let judged =
            judged.ok_or_else(|| Reply::retry_later(503, "machine types unknown yet", 1))?;
        let shape = judged.map_err(never)?;
        let submission = Submission { spec, shape };
        if body.len() + RECORD_BYTES > self.least.value_bytes {
            self.check_size(&submission).map_err(never)?;
        }
        Ok(submission)
    }

    /// Its record has to be written whole, and again when it is cancelled.
    fn check_size(&self, submission: &Submission) -> Result<(), String> {
        let mut record = submission.record(u64::MAX);
        record.cancelled = Some(u64::MAX);
        let bytes = serde_json::to_vec(&record).map_or(usize::MAX, |text| text.len());
        let most = self.least.value_bytes;
        if bytes > most {
            return Err(format!(
                "its record takes {bytes} bytes, {most} can be stored"
            ));
        }
        Ok(())
    }

    /// How its tasks are grouped, if the job can ever run. `None`: machine types
    /// unknown, so nobody can tell.
    fn can_ever_run(&self, spec: &JobSpec) -> Option<Result<Option<Shape>, String>> {
        let Some(team) = self.settings.team(&spec.team) else {
            return Some(Err("unknown team".into()));
        };
        let counted = match spec.kind {
            JobKind::Array => 1.0,
            JobKind::Service | JobKind::Gang => f64::from(spec.tasks),
        };
        let over = |need: f64, max: f64| max > 0.0 && need * counted > max + 1e-9;
        if over(spec.cpus, team.cpus_max) || over(spec.gpus, team.gpus_max) {
            return Some(Err("more than the team's limit".into()));
        }
        let catalog = self.catalog.as_ref()?;
        Some(
            if catalog.types.iter().any(|t| fits_machine_type(spec, t)) {
                self.shape_of(spec)
            } else {
                Err("a task fits no allowed machine type".into())
            },
        )
    }

    /// How a new job's tasks form replicas that span machines.
    fn shape_of(&self, spec: &JobSpec) -> Result<Option<Shape>, String> {
        let asked = GroupingRequest {
            class: &spec.class,
            gang: spec.kind == JobKind::Gang,
            service: spec.kind == JobKind::Service,
            tasks: spec.tasks,
        };
        let most = tasks_per_record(self.least.value_bytes as f64 / 1024.0);
        let shape = self.replica_classes.shape(asked, most);
        shape.map_err(|why| why.to_string())
    }
}

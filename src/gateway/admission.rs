//! Which submissions are accepted, and what is stored of them.

use crate::messages::{Now, Reply};
use crate::placement::fits_machine_type;
use crate::records::jobs::{final_key, job_key, FinalRecord, FinalState, JobRecord};
use crate::records::placements::tasks_per_record;
use crate::settings::{Settings, Team};
use crate::wire::cloud::Catalog;
use crate::wire::kv::Txn;
use crate::wire::users::{JobKind, JobSpec, JobSpecError};
use lilacfork_replica_groups::classes::{GroupingRequest, ReplicaClasses, ShapeError};
use lilacfork_replica_groups::shape::Shape;
use std::rc::Rc;
use thiserror::Error;

/// What the record of a job takes beside what its user sends: times, names of
/// fields, decimal points.
const RECORD_OVERHEAD_BYTES: usize = 400;

/// Tolerance for rounding when amounts are compared with a limit.
const AMOUNT_TOLERANCE: f64 = 1e-9;

/// Why a submission isn't accepted. The text is sent to the user.
#[derive(Debug, Error)]
pub(super) enum Rejection {
    /// It can't be read as a job.
    #[error(transparent)]
    Malformed(#[from] JobSpecError),
    /// No team has this name.
    #[error("unknown team")]
    UnknownTeam,
    /// The job alone asks for more than its team may ever use.
    #[error("more than the team's limit")]
    OverTeamLimit,
    /// No machine type that it allows could hold one of its tasks.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// Its tasks can't be grouped as the class asks for.
    #[error(transparent)]
    Grouping(#[from] ShapeError),
    /// Its record can't be stored whole.
    #[error("its record takes {bytes} bytes, {max_bytes} can be stored")]
    RecordTooLarge {
        /// What its record takes.
        bytes: usize,
        /// What a value may take.
        max_bytes: usize,
    },
    /// The machine types are unknown, so it is unknown whether it could ever run.
    #[error("machine types unknown yet")]
    CatalogUnknown,
}

impl Rejection {
    /// The reply to its user.
    pub(super) fn reply(&self) -> Reply {
        let reason = self.to_string();
        match self {
            Rejection::Malformed(_) => Reply::error(400, &reason),
            Rejection::CatalogUnknown => Reply::retry_later(503, &reason, 1),
            Rejection::UnknownTeam
            | Rejection::OverTeamLimit
            | Rejection::FitsNoMachineType
            | Rejection::Grouping(_)
            | Rejection::RecordTooLarge { .. } => Reply::error(422, &reason),
        }
    }
}

/// A job that is to be accepted.
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
        let value = serde_json::to_value(self.record(now.wall_ms)).unwrap_or_default();
        self.compare_absent().put(job_key(&self.spec.id), value)
    }

    /// The transaction that accepts it when one of its dependencies is cancelled.
    pub(super) fn accept_cancelled(&self, now: Now) -> Txn {
        let record = FinalRecord {
            state: FinalState::Cancelled,
            tasks: self.spec.tasks,
            write_id: 0,
            ended_at: now.wall_ms,
        };
        let value = serde_json::to_value(record).unwrap_or_default();
        self.compare_absent().put(final_key(&self.spec.id), value)
    }

    /// A transaction that fails if the job has a record.
    fn compare_absent(&self) -> Txn {
        let id = &self.spec.id;
        Txn::default()
            .compare(job_key(id), 0)
            .compare(final_key(id), 0)
    }
}

/// Decides which submissions are accepted.
pub(super) struct Admission {
    settings: Rc<Settings>,
    /// Which new jobs span machines.
    replica_classes: ReplicaClasses,
    /// The size of a value that the key-value store will always take.
    max_value_bytes: usize,
    catalog: Option<Rc<Catalog>>,
}

impl Admission {
    /// The machine types are unknown yet.
    pub(super) fn new(
        settings: Rc<Settings>,
        replica_classes: ReplicaClasses,
        max_value_bytes: usize,
    ) -> Self {
        Admission {
            settings,
            replica_classes,
            max_value_bytes,
            catalog: None,
        }
    }

    /// The machine types are known.
    pub(super) fn set_catalog(&mut self, catalog: Rc<Catalog>) {
        self.catalog = Some(catalog);
    }

    /// Whether the machine types are known.
    pub(super) fn has_catalog(&self) -> bool {
        self.catalog.is_some()
    }

    /// Reads and checks a submission. A job that is known already isn't rejected, whatever
    /// this says of its submission.
    pub(super) fn admit(&self, body: &[u8]) -> Result<Submission, Rejection> {
        let spec = JobSpec::parse(body)?;
        self.check_feasible(&spec)?;
        let shape = self.shape_of(&spec)?;
        let submission = Submission { spec, shape };
        if body.len() + RECORD_OVERHEAD_BYTES > self.max_value_bytes {
            self.check_size(&submission)?;
        }
        Ok(submission)
    }

    /// Its record has to be written whole, and again when it is cancelled.
    fn check_size(&self, submission: &Submission) -> Result<(), Rejection> {
        let mut record = submission.record(u64::MAX);
        record.cancelled = Some(u64::MAX);
        let bytes = serde_json::to_vec(&record).map_or(usize::MAX, |text| text.len());
        if bytes > self.max_value_bytes {
            return Err(Rejection::RecordTooLarge {
                bytes,
                max_bytes: self.max_value_bytes,
            });
        }
        Ok(())
    }

    /// Whether the job could ever run.
    fn check_feasible(&self, spec: &JobSpec) -> Result<(), Rejection> {
        let team = self
            .settings
            .team(&spec.team)
            .ok_or(Rejection::UnknownTeam)?;
        if exceeds_team_limit(spec, team) {
            return Err(Rejection::OverTeamLimit);
        }
        let catalog = self.catalog.as_ref().ok_or(Rejection::CatalogUnknown)?;
        let fits = catalog
            .machine_types
            .iter()
            .any(|machine_type| fits_machine_type(spec, machine_type));
        if !fits {
            return Err(Rejection::FitsNoMachineType);
        }
        Ok(())
    }

    /// How a new job's tasks form replicas that span machines.
    fn shape_of(&self, spec: &JobSpec) -> Result<Option<Shape>, Rejection> {
        let request = GroupingRequest {
            class: &spec.class,
            gang: spec.kind == JobKind::Gang,
            service: spec.kind == JobKind::Service,
            tasks: spec.tasks,
        };
        let max_parts = tasks_per_record(self.max_value_bytes as f64 / 1024.0);
        Ok(self.replica_classes.shape(request, max_parts)?)
    }
}

/// Whether the job can never run within its team's limit: the tasks of an array may run
/// one after another, all others have to run at once.
fn exceeds_team_limit(spec: &JobSpec, team: &Team) -> bool {
    let concurrent_tasks = match spec.kind {
        JobKind::Array => 1.0,
        JobKind::Service | JobKind::Gang => f64::from(spec.tasks),
    };
    let exceeds = |per_task: f64, limit: f64| {
        limit > 0.0 && per_task * concurrent_tasks > limit + AMOUNT_TOLERANCE
    };
    exceeds(spec.cpus, team.cpus_max) || exceeds(spec.gpus, team.gpus_max)
}

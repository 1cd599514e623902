//! Admission of submissions: decides which are accepted and builds the records that are
//! stored for them.

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

/// An upper bound of the bytes that a job's record takes in addition to the user's
/// request body: times, field names, decimal points.
const RECORD_OVERHEAD_BYTES: usize = 400;

/// Tolerance for rounding when amounts are compared with a limit.
const AMOUNT_TOLERANCE: f64 = 1e-9;

/// The reason why a submission is rejected. Its text is sent to the user.
#[derive(Debug, Error)]
pub(super) enum Rejection {
    /// The request body isn't a valid job.
    #[error(transparent)]
    Malformed(#[from] JobSpecError),
    /// The settings have no team with the name that the job gives.
    #[error("unknown team")]
    UnknownTeam,
    /// The job alone requests more than its team's limit.
    #[error("more than the team's limit")]
    OverTeamLimit,
    /// None of the machine types that the job allows is large enough for one of its tasks.
    #[error("a task fits no allowed machine type")]
    FitsNoMachineType,
    /// The job's tasks can't be grouped into replicas as its class requires.
    #[error(transparent)]
    Grouping(#[from] ShapeError),
    /// The job's record is larger than a value in the key-value store may be.
    #[error("its record takes {bytes} bytes, {max_bytes} can be stored")]
    RecordTooLarge {
        /// The size of the record.
        bytes: usize,
        /// The maximum size of a value.
        max_bytes: usize,
    },
    /// The machine types aren't known yet, so this controller can't decide whether the job
    /// could ever run.
    #[error("machine types unknown yet")]
    CatalogUnknown,
}

impl Rejection {
    /// Returns the reply to the user who submitted the job.
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

/// A submission that has passed admission.
#[derive(Debug)]
pub(super) struct Submission {
    pub(super) spec: JobSpec,
    /// How the job's tasks form replicas that span machines; `None` if they don't.
    shape: Option<Shape>,
}

impl Submission {
    fn record(&self, submitted_wall_ms: u64) -> JobRecord {
        JobRecord {
            spec: self.spec.clone(),
            submitted_wall_ms,
            cancelled_wall_ms: None,
            replica_parts: self.shape.map(|shape| shape.parts()),
        }
    }

    /// Builds the transaction that stores the job's record.
    pub(super) fn acceptance_txn(&self, now: Now) -> Txn {
        let value = serde_json::to_value(self.record(now.wall_ms)).unwrap_or_default();
        self.compare_absent().put(job_key(&self.spec.id), value)
    }

    /// Builds the transaction that accepts a job one of whose dependencies is cancelled:
    /// it stores only the final record of a cancelled job.
    pub(super) fn cancelled_acceptance_txn(&self, now: Now) -> Txn {
        let record = FinalRecord {
            state: FinalState::Cancelled,
            tasks: self.spec.tasks,
            write_id: 0,
            ended_wall_ms: now.wall_ms,
        };
        let value = serde_json::to_value(record).unwrap_or_default();
        self.compare_absent().put(final_key(&self.spec.id), value)
    }

    /// Returns a transaction without writes that fails if the job has a record.
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
    /// Determines which new jobs have replicas that span machines.
    replica_classes: ReplicaClasses,
    /// The size up to which the key-value store accepts a value now and after its
    /// announced limits have taken effect.
    max_value_bytes: usize,
    catalog: Option<Rc<Catalog>>,
}

impl Admission {
    /// Creates an admission check without machine types. Until the machine types are set,
    /// no submission is admitted.
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

    /// Sets the machine types.
    pub(super) fn set_catalog(&mut self, catalog: Rc<Catalog>) {
        self.catalog = Some(catalog);
    }

    /// Returns whether the machine types are known.
    pub(super) fn has_catalog(&self) -> bool {
        self.catalog.is_some()
    }

    /// Parses and checks a submission. The caller doesn't apply a rejection to a job that
    /// is already stored.
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

    /// Checks that the job's record fits into one value, also after its cancellation has
    /// been added.
    fn check_size(&self, submission: &Submission) -> Result<(), Rejection> {
        let mut record = submission.record(u64::MAX);
        record.cancelled_wall_ms = Some(u64::MAX);
        let bytes = serde_json::to_vec(&record).map_or(usize::MAX, |text| text.len());
        if bytes > self.max_value_bytes {
            return Err(Rejection::RecordTooLarge {
                bytes,
                max_bytes: self.max_value_bytes,
            });
        }
        Ok(())
    }

    /// Checks that the job could ever run.
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

    /// Returns how a new job's tasks form replicas that span machines; `None` if they
    /// don't.
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

/// Returns whether the job can never run within its team's limit. The tasks of an array may
/// run one after another; the tasks of other jobs have to run at the same time.
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

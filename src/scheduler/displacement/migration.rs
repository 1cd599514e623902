//! Migration: which replicas may migrate, their targets and their outage, and
//! migrations that place images ahead of forecast demand.

use crate::capacity_index::OccupiedCursor;
use crate::fleet::{Machine, MachinePhase};
use crate::ids::{MachineId, TaskRef};
use crate::messages::Now;
use crate::placement::ZoneCounts;
use crate::scheduler::rounds::demand_forecast::ColdReservation;
use crate::scheduler::{Assignment, Job, Scheduler};
use crate::settings::Settings;
use crate::wire::users::JobSpec;
use std::collections::HashMap;
use std::rc::Rc;

/// The migrations in progress, and the state that limits further ones.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Migrations {
    /// The target of each task that is migrating.
    pub(in crate::scheduler) targets: HashMap<TaskRef, MachineId>,
    /// The earliest time of the next preplacement migration, by job class.
    preplacement_due_ms: HashMap<Rc<str>, u64>,
    /// The machine after which compaction continues.
    pub(super) compaction_cursor: Option<OccupiedCursor>,
}

impl Migrations {
    /// Clears the migrations when this controller stops leading.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.targets.clear();
        self.compaction_cursor = None;
    }
}

/// By the protocol, the start objective counts a start only after the task has run for
/// this long. If a replica migrated earlier, its start would count as late.
const START_COUNTS_AFTER_S: f64 = 30.0;
/// The maximum delay from a task's start until the leader receives the report of it, in
/// heartbeat intervals.
const START_REPORT_HEARTBEATS: f64 = 2.0;
/// The longest outage that counts as short, in heartbeat intervals.
const SHORT_OUTAGE_HEARTBEATS: f64 = 2.5;
/// The minimum time between two preplacement migrations of a class, as a multiple of
/// the image pull time.
const PREPLACEMENT_INTERVAL_PULLS: f64 = 10.0;
/// An image is only preplaced if its pull takes at least this share of the start
/// objective.
const LONG_PULL_SHARE: f64 = 0.5;

/// Returns the run time, in milliseconds, after which a task's start counts as a success.
/// A later migration of the task doesn't make its start count as late.
pub(in crate::scheduler) fn success_after_ms(settings: &Settings) -> u64 {
    let report_s = settings.site.workers.heartbeat_s * START_REPORT_HEARTBEATS;
    ((START_COUNTS_AFTER_S + report_s) * 1000.0) as u64
}

impl Scheduler {
    /// Returns the zones of a job's tasks as they will be after all current and planned
    /// migrations. Replicas that migrate at the same time could otherwise choose the same
    /// zone although only one of them is allowed there.
    pub(super) fn zones_after_migrations<'a>(
        &self,
        job: &Job,
        planned: impl Iterator<Item = (&'a TaskRef, &'a MachineId)>,
    ) -> ZoneCounts {
        if !job.spec.spread && !job.spec.same_zone {
            // The job has no zone constraint.
            return ZoneCounts::default();
        }
        let mut zones = job.zone_counts();
        let mut migrate = |task: &TaskRef, target: &MachineId| {
            if task.job != job.spec.id {
                return;
            }
            let assignment = job.assignments.get(&task.index);
            if let (Some(assignment), Some(machine)) = (assignment, self.fleet.get(target)) {
                zones.remove(&assignment.zone);
                zones.add(&machine.offer.zone);
            }
        };
        for index in job.assignments.keys() {
            let task = job.task(*index);
            if let Some(target) = self.migrations.targets.get(&task) {
                migrate(&task, target);
            }
        }
        for (task, target) in planned {
            migrate(task, target);
        }
        zones
    }

    /// Returns [`success_after_ms`] for the scheduler's settings.
    pub(in crate::scheduler) fn success_after_ms(&self) -> u64 {
        success_after_ms(&self.settings)
    }

    /// Returns whether a task may migrate. A task may migrate if it has run long enough
    /// for its start to count, or if it has already missed its start objective. Replicas
    /// that span machines migrate as a whole under separate rules and are excluded.
    pub(super) fn may_migrate(&self, now: Now, job: &Job, assignment: &Assignment) -> bool {
        let Some(running_since_ms) = assignment.running_since_ms else {
            return false;
        };
        let success_after_ms = self.success_after_ms();
        let start_counts = now.ms > running_since_ms + success_after_ms;
        // A new leader doesn't know the start times of running tasks, only the time at
        // which the job was submitted.
        let submitted_long_ago = assignment.started_by_earlier_leader
            && now.wall_ms > job.submitted_wall_ms + success_after_ms;
        job.shape.is_none()
            && assignment.stop.is_none()
            && (submitted_long_ago || assignment.missed_start_slo || start_counts)
    }

    pub(super) fn is_short_outage(&self, outage_s: f64) -> bool {
        outage_s <= self.settings.site.workers.heartbeat_s * SHORT_OUTAGE_HEARTBEATS
    }

    /// Returns whether a machine has the image or would pull it with a short outage.
    pub(super) fn has_image_soon(&self, id: &MachineId, spec: &JobSpec) -> bool {
        let machine = self.fleet.get(id);
        machine.is_some_and(|machine| machine.has_image(&spec.image))
            || self
                .nominal_pull_s(id, spec)
                .is_some_and(|pull_s| self.is_short_outage(pull_s))
    }

    /// Preplaces images for forecast demand. Capacity may be reserved on a machine where
    /// the image pull would take a large share of the start objective. A replica with that
    /// image that may migrate then moves to the machine, which frees capacity where the
    /// image already is. Preplacement migrations of a class are rare, so that their outages stay
    /// far below what the objectives allow.
    pub(in crate::scheduler) fn preplace_images(
        &mut self,
        now: Now,
        cold_reservations: Vec<ColdReservation>,
    ) {
        for ColdReservation { spec, machine } in cold_reservations {
            let Some(pull_s) = self.preplacement_pull_s(now, &spec, &machine) else {
                continue;
            };
            let Some(task) = self.replica_to_preplace(now, &spec, &machine) else {
                continue;
            };
            log::info!("task migrates task={task} machine={machine} reason=\"image preplacement\"");
            let due_ms = now.ms + (pull_s * 1000.0 * PREPLACEMENT_INTERVAL_PULLS) as u64;
            self.migrations
                .preplacement_due_ms
                .insert(spec.class.clone(), due_ms);
            self.stop_task(now, &task, true);
            self.migrations.targets.insert(task, machine);
        }
    }

    /// Returns the pull time of a replica that migrates to the machine to preplace its
    /// image, or `None` if a preplacement isn't due yet, not worthwhile or not possible.
    fn preplacement_pull_s(&self, now: Now, spec: &JobSpec, machine: &MachineId) -> Option<f64> {
        let due_ms = self.migrations.preplacement_due_ms.get(&spec.class);
        if due_ms.is_some_and(|due_ms| now.ms < *due_ms) {
            return None;
        }
        let pull_s = self.nominal_pull_s(machine, spec)?;
        let start_slo_ms = self.settings.start_slo_ms(spec)? as f64;
        // A pull that is short relative to the objective can happen on demand. A pull
        // that exceeds a short outage would keep the replica out of service for too long.
        let long_pull = pull_s * 1000.0 >= start_slo_ms * LONG_PULL_SHARE;
        (long_pull && self.is_short_outage(pull_s)).then_some(pull_s)
    }

    /// Returns the time that a machine takes to pull a task's image at its nominal rate.
    /// `None` means that the machine, its type or the type's pull rate is unknown.
    pub(super) fn nominal_pull_s(&self, machine: &MachineId, spec: &JobSpec) -> Option<f64> {
        let machine_type = &self.fleet.get(machine)?.offer.machine_type;
        if spec.image_gb <= 0.0 {
            return Some(0.0);
        }
        let rate = self
            .catalog
            .as_ref()?
            .find(machine_type)?
            .image_pull_gb_per_s;
        (rate > 0.0).then(|| spec.image_gb / rate)
    }

    /// Returns a replica with this image that may migrate to the target.
    fn replica_to_preplace(&self, now: Now, spec: &JobSpec, target: &MachineId) -> Option<TaskRef> {
        let zone = &self.fleet.get(target)?.offer.zone;
        let is_up = |machine: &Machine| {
            machine.phase == MachinePhase::Up && machine.reclaim_at_ms.is_none()
        };
        let jobs = self.jobs.with_image(&spec.class, &spec.image);
        for job in jobs.filter(|job| job.is_service() && job.cancelled_wall_ms.is_none()) {
            for (index, assignment) in &job.assignments {
                let mut zones = self.zones_after_migrations(job, std::iter::empty());
                zones.remove(&assignment.zone);
                if self.may_migrate(now, job, assignment)
                    && self.fleet.get(&assignment.machine).is_some_and(is_up)
                    && assignment.machine != *target
                    && zones.allows(&job.spec, zone)
                {
                    return Some(job.task(*index));
                }
            }
        }
        None
    }
}

//! Migration: which replicas may migrate, where to, and how long they are out of
//! service; and migrations that place images ahead of forecast demand.

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

/// Migrations under way, and what limits further ones.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Migrations {
    /// The target of each task that is migrating.
    pub(in crate::scheduler) targets: HashMap<TaskRef, MachineId>,
    /// When a replica of a class may next migrate to place its image elsewhere.
    preplacement_due_ms: HashMap<Rc<str>, u64>,
    /// The machine after which compaction continues.
    pub(super) compaction_cursor: Option<OccupiedCursor>,
}

impl Migrations {
    /// Forgets the migrations of the leadership that has ended.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.targets.clear();
        self.compaction_cursor = None;
    }
}

/// A start counts for the users once the task has run for this long (PROTOCOL, "How
/// aims are counted"); migrating a replica before would make its start late.
const START_COUNTS_AFTER_S: f64 = 30.0;
/// Heartbeat intervals between a start on the worker and the leader's knowledge of it.
const START_NOTICE_HEARTBEATS: f64 = 2.0;
/// An outage of this many heartbeat intervals is short.
const SHORT_OUTAGE_HEARTBEATS: f64 = 2.5;
/// A replica of a class migrates to place its image at most once in this many pull
/// times.
const PREPLACEMENT_PULLS: f64 = 10.0;
/// An image is only placed ahead if its pull takes more than this share of the start
/// objective.
const LONG_PULL_SHARE: f64 = 0.5;

/// How long a task has to run for its start to count for its users.
pub(in crate::scheduler) fn settled_ms(settings: &Settings) -> u64 {
    let notice_s = settings.site.workers.heartbeat_s * START_NOTICE_HEARTBEATS;
    ((START_COUNTS_AFTER_S + notice_s) * 1000.0) as u64
}

impl Scheduler {
    /// The zones of a job's tasks once all migrations under way, and the planned ones,
    /// have ended. Replicas that migrate together may each be allowed in a zone where
    /// only one of them is.
    pub(super) fn zones_after_migrations<'a>(
        &self,
        job: &Job,
        planned: impl Iterator<Item = (&'a TaskRef, &'a MachineId)>,
    ) -> ZoneCounts {
        if !job.spec.spread && !job.spec.same_zone {
            // The zones of its tasks don't restrict each other.
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

    /// How long a task has to run for its start to count for its users.
    pub(in crate::scheduler) fn settled_ms(&self) -> u64 {
        settled_ms(&self.settings)
    }

    /// Whether a task may migrate: it has run long enough that its start counts in any
    /// case, or has started so late that it doesn't. A replica that spans machines
    /// migrates as a whole, by rules of its own.
    pub(super) fn may_migrate(&self, now: Now, job: &Job, assignment: &Assignment) -> bool {
        let Some(running_since_ms) = assignment.running_since_ms else {
            return false;
        };
        let settled_ms = self.settled_ms();
        let settled = now.ms > running_since_ms + settled_ms;
        // A new leader only knows the age of the job.
        let old =
            assignment.started_by_earlier_leader && now.wall > job.submitted_wall_ms + settled_ms;
        job.shape.is_none()
            && assignment.stop.is_none()
            && (old || assignment.missed_start_slo || settled)
    }

    /// Whether this is a short outage for a replica.
    pub(super) fn is_short_outage(&self, outage_s: f64) -> bool {
        outage_s <= self.settings.site.workers.heartbeat_s * SHORT_OUTAGE_HEARTBEATS
    }

    /// Whether a machine has the image, or would pull it with a short outage.
    pub(super) fn has_image_soon(&self, id: &MachineId, spec: &JobSpec) -> bool {
        let machine = self.fleet.get(id);
        machine.is_some_and(|machine| machine.has_image(&spec.image))
            || self
                .nominal_pull_s(id, spec)
                .is_some_and(|pull_s| self.is_short_outage(pull_s))
    }

    /// Forecast demand may have capacity reserved where it would have to pull its image
    /// for most of the time that its class may wait. A settled replica with that image
    /// then migrates to such a machine, and leaves capacity behind where the image is.
    /// Rarely, so that the outages stay far below what the objectives allow.
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
            let due_ms = now.ms + (pull_s * 1000.0 * PREPLACEMENT_PULLS) as u64;
            self.migrations
                .preplacement_due_ms
                .insert(spec.class.clone(), due_ms);
            self.stop_task(now, &task, true);
            self.migrations.targets.insert(task, machine);
        }
    }

    /// How long the image pull of a replica that migrates to the machine takes; `None`:
    /// placing the image there ahead isn't due, not worth it or not possible.
    fn preplacement_pull_s(&self, now: Now, spec: &JobSpec, machine: &MachineId) -> Option<f64> {
        let due_ms = self.migrations.preplacement_due_ms.get(&spec.class);
        if due_ms.is_some_and(|due_ms| now.ms < *due_ms) {
            return None;
        }
        let pull_s = self.nominal_pull_s(machine, spec)?;
        let start_slo_ms = self.settings.start_slo_ms(spec)? as f64;
        // A pull that is short beside the objective may as well happen on demand; a
        // long one would be a long outage for the replica.
        let long_pull = pull_s * 1000.0 >= start_slo_ms * LONG_PULL_SHARE;
        (long_pull && self.is_short_outage(pull_s)).then_some(pull_s)
    }

    /// The nominal time in which a machine pulls a task's image.
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

    /// A settled replica with this image that may migrate to the target.
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

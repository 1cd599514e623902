//! Tasks on the move: which replicas may move, where to, and how long they would
//! be missed; and moves that spread images.

use crate::capacity_index::Slot;
use crate::fleet::MachinePhase;
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
    /// Where tasks that are being migrated are to go.
    pub(in crate::scheduler) targets: HashMap<TaskRef, MachineId>,
    /// When a replica of a class may next migrate to spread its image.
    preplacement_due_ms: HashMap<Rc<str>, u64>,
    /// The machine after which compaction goes on.
    pub(in crate::scheduler) compaction_cursor: Option<(f64, Slot)>,
}

impl Migrations {
    /// The leader was deposed.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.targets.clear();
        self.compaction_cursor = None;
    }
}

/// A start counts for the users once it has lasted for this long (PROTOCOL,
/// "How aims are counted"); moving a replica before would make it late.
const START_COUNTS_S: f64 = 30.0;
/// Between a worker's start and our word of it, in report intervals.
const SEEN_REPORTS: f64 = 2.0;
/// A fetch that takes so many report intervals is hardly missed.
const QUICK_FETCH_REPORTS: f64 = 2.5;
/// A replica moves to spread an image at most once in so many fetch times.
const PREPLACEMENT_FETCHES: f64 = 10.0;

/// How long a task has to run for its start to count for its users.
pub(in crate::scheduler) fn settled_ms(settings: &Settings) -> u64 {
    let seen_s = settings.site.workers.heartbeat_s * SEEN_REPORTS;
    ((START_COUNTS_S + seen_s) * 1000.0) as u64
}

impl Scheduler {
    /// Where a job's tasks will be once all that moves, or is planned to, has
    /// arrived. Replicas that move together may each fit where only one does.
    pub(in crate::scheduler) fn zones_ahead<'a>(
        &self,
        job: &Job,
        planned: impl Iterator<Item = (&'a TaskRef, &'a MachineId)>,
    ) -> ZoneCounts {
        if !job.spec.spread && !job.spec.same_zone {
            // Its tasks don't keep each other from any zone.
            return ZoneCounts::default();
        }
        let mut zones = job.zone_use();
        let mut arrive = |task: &TaskRef, to: &MachineId| {
            let assign = job
                .assignments
                .get(&task.index)
                .filter(|_| task.job == job.spec.id);
            if let (Some(assign), Some(machine)) = (assign, self.fleet.get(to)) {
                zones.remove(&assign.zone);
                zones.add(&machine.offer.zone);
            }
        };
        for index in job.assignments.keys() {
            let task = job.task(*index);
            if let Some(to) = self.migrations.targets.get(&task) {
                arrive(&task, to);
            }
        }
        for (task, to) in planned {
            arrive(task, to);
        }
        zones
    }

    /// How long a task has to run for its start to count for its users.
    pub(in crate::scheduler) fn settled_ms(&self) -> u64 {
        settled_ms(&self.settings)
    }

    /// Whether a task may be moved: it has run long enough that its start
    /// counts anyway, or started so late that it doesn't.
    pub(in crate::scheduler) fn may_move(&self, now: Now, job: &Job, assign: &Assignment) -> bool {
        let settled_ms = self.settled_ms();
        let settled = |since_ms: u64| now.ms > since_ms + settled_ms;
        // A new leader can't know better than by the job's age.
        let old = assign.inherited && now.wall > job.submitted + settled_ms;
        // A replica that spans machines moves as a whole, for reasons of its own.
        job.shape.is_none()
            && assign.stop.is_none()
            && assign
                .running_since_ms
                .is_some_and(|at| old || assign.late || settled(at))
    }

    /// Whether a replica that fetches for so long is hardly missed.
    pub(in crate::scheduler) fn hardly_missed(&self, fetch_s: f64) -> bool {
        fetch_s <= self.settings.site.workers.heartbeat_s * QUICK_FETCH_REPORTS
    }

    /// Whether a machine has the image, or fetches it within a few reports.
    pub(in crate::scheduler) fn soon_there(&self, id: &MachineId, spec: &JobSpec) -> bool {
        let machine = self.fleet.get(id);
        machine.is_some_and(|m| m.has_image(&spec.image))
            || self
                .fetch_s(id, spec)
                .is_some_and(|fetch_s| self.hardly_missed(fetch_s))
    }

    /// Expected work that would have to fetch its image for most of the time
    /// that its class may wait: a settled replica with that image moves to
    /// where it is missing, and leaves warm room behind. Seldom, so that the
    /// gaps stay far below what the aims allow.
    pub(in crate::scheduler) fn preplace_images(&mut self, now: Now, cold: Vec<ColdReservation>) {
        for ColdReservation { spec, machine } in cold {
            let due_ms = self
                .migrations
                .preplacement_due_ms
                .get(&spec.class)
                .copied();
            if due_ms.is_some_and(|due| now.ms < due) {
                continue;
            }
            let (Some(fetch_s), Some(objective_ms)) = (
                self.fetch_s(&machine, &spec),
                self.settings.start_slo_ms(&spec),
            ) else {
                continue;
            };
            // Where the fetch is short beside the aim it may happen later;
            // where it is long the replica would be missed for too long.
            if fetch_s * 2000.0 < objective_ms as f64 || !self.hardly_missed(fetch_s) {
                continue;
            }
            let Some(task) = self.mover(now, &spec, &machine) else {
                continue;
            };
            log::info!("task {task} moves to {machine}, to leave warm room behind");
            let due_ms = now.ms + (fetch_s * 1000.0 * PREPLACEMENT_FETCHES) as u64;
            self.migrations
                .preplacement_due_ms
                .insert(spec.class.clone(), due_ms);
            self.stop_task(now, &task, true);
            self.migrations.targets.insert(task, machine);
        }
    }

    pub(in crate::scheduler) fn fetch_s(&self, machine: &MachineId, spec: &JobSpec) -> Option<f64> {
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

    /// A settled replica with this image that may go to `to`.
    fn mover(&self, now: Now, spec: &JobSpec, to: &MachineId) -> Option<TaskRef> {
        let zone = &self.fleet.get(to)?.offer.zone;
        let jobs = self.jobs.with_image(&spec.class, &spec.image);
        for job in jobs.filter(|j| j.is_service() && j.cancelled.is_none()) {
            for (index, assign) in &job.assignments {
                let up = self
                    .fleet
                    .get(&assign.machine)
                    .is_some_and(|m| m.phase == MachinePhase::Up && m.reclaim_at_ms.is_none());
                let mut zones = self.zones_ahead(job, std::iter::empty());
                zones.remove(&assign.zone);
                if self.may_move(now, job, assign)
                    && up
                    && assign.machine != *to
                    && zones.allows(&job.spec, zone)
                {
                    return Some(job.task(*index));
                }
            }
        }
        None
    }
}

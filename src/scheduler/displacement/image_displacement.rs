//! Displacement for an image. A job whose objective leaves no time for an image pull may
//! find free capacity only on machines that lack the image, while the machines that have
//! it are occupied by replicas that can migrate with a short outage. The scheduler
//! migrates those replicas to the free capacity and places the job's tasks where the
//! replicas ran. Replicas of the same or lower priority may be displaced; displacing
//! replicas of the same priority costs more. Replicas of higher priority are never
//! displaced.

use crate::capacity_index::{MachineCapacity, Slot};
use crate::ids::{JobId, MachineId, TaskRef};
use crate::messages::Now;
use crate::placement::{Resources, ZoneCounts};
use crate::scheduler::rounds::task_placement::PlacementRequest;
use crate::scheduler::{Job, Scheduler};
use crate::wire::users::{JobSpec, Priority};
use std::collections::HashMap;

/// The longest image pull as a multiple of the nominal pull time. The protocol allows a
/// deviation of one third.
const MAX_PULL_FACTOR: f64 = 4.0 / 3.0;
/// The approximate time to stop a task, store the stop and start another task, in
/// heartbeat intervals.
const HANDOVER_HEARTBEATS: f64 = 0.25;
/// The maximum number of machines of one type, zone and purchase option that are
/// examined.
pub(super) const CANDIDATES_PER_GROUP: usize = 64;

/// A replica to displace, and the machine that it migrates to.
struct DisplacedTask {
    task: TaskRef,
    resources: Resources,
    target: Slot,
    target_machine: MachineId,
}

/// The replicas to displace together from one machine.
struct Displacement {
    from: Slot,
    /// The total outage of the replicas, plus a penalty for each replica with the same
    /// priority as the work that displaces it.
    cost_s: f64,
    tasks: Vec<DisplacedTask>,
    planned: PlannedUse,
}

/// A machine that a replica may migrate to.
#[derive(Clone, Copy)]
struct MigrationTarget {
    slot: Slot,
    /// The image pull time on this machine, during which the replica is out of service.
    outage_s: f64,
}

/// The migration target for the replicas of each job, valid while no other migration to
/// that machine is planned; `None` if there is no target.
type TargetsByJob = HashMap<JobId, Option<MigrationTarget>>;

/// The resources that one planned migration uses on its target.
struct PlannedTask {
    slot: Slot,
    resources: Resources,
}

/// The resources that the planned migrations from one machine use on their targets.
#[derive(Default)]
pub(super) struct PlannedUse {
    tasks: Vec<PlannedTask>,
}

impl PlannedUse {
    pub(super) fn add(&mut self, slot: Slot, resources: Resources) {
        self.tasks.push(PlannedTask { slot, resources });
    }

    /// Returns whether a machine fits one more task in addition to the planned ones.
    pub(super) fn leaves_capacity(
        &self,
        slot: Slot,
        machine: &MachineCapacity,
        resources: &Resources,
    ) -> bool {
        let mut free = machine.free();
        for planned in self.tasks.iter().filter(|planned| planned.slot == slot) {
            free.subtract(&planned.resources);
        }
        free.covers(resources)
    }

    fn uses(&self, slot: Slot) -> bool {
        self.tasks.iter().any(|planned| planned.slot == slot)
    }
}

impl Displacement {
    fn new(from: Slot) -> Displacement {
        Displacement {
            from,
            cost_s: 0.0,
            tasks: Vec::new(),
            planned: PlannedUse::default(),
        }
    }
}

impl Scheduler {
    /// Displaces replicas to place one task on a machine that has its image, if the image
    /// pull on the machine `cold` might make the task miss its objective. Reserves the
    /// capacity for the task and returns the machine.
    pub(in crate::scheduler) fn displace_for_image(
        &mut self,
        now: Now,
        request: &PlacementRequest,
        cold: Slot,
    ) -> Option<Slot> {
        let spec = &request.spec;
        self.settings.start_slo_ms(spec)?;
        let slack_ms = request.deadline_wall_ms.saturating_sub(now.wall_ms) as f64;
        let pull_ms = self.nominal_pull_s(&self.capacity.get(cold)?.id, spec)? * 1000.0;
        let handover_ms = self.handover_s() * 1000.0;
        if slack_ms < handover_ms || pull_ms * MAX_PULL_FACTOR < slack_ms {
            return None;
        }
        let Displacement { from, tasks, .. } = self.cheapest_displacement(now, request)?;
        for displaced in tasks {
            log::info!(
                "task displaced for image task={} job={}",
                displaced.task,
                spec.id
            );
            self.capacity
                .reserve_for_incoming(displaced.target, &displaced.resources);
            self.stop_task(now, &displaced.task, true);
            self.migrations
                .targets
                .insert(displaced.task, displaced.target_machine);
        }
        self.capacity.reserve(from, &request.resources);
        self.refresh(now);
        Some(from)
    }

    /// Returns the displacement with the lowest cost among the machines that have the
    /// image.
    fn cheapest_displacement(&self, now: Now, request: &PlacementRequest) -> Option<Displacement> {
        let mut targets = TargetsByJob::new();
        let mut cheapest: Option<Displacement> = None;
        let machines =
            self.capacity
                .with_image(&request.spec, &request.zones, CANDIDATES_PER_GROUP);
        for (slot, machine) in machines {
            let Some(found) = self.displacement_from(now, request, slot, machine, &mut targets)
            else {
                continue;
            };
            // The lowest possible cost: one replica whose target has its image.
            let is_minimal = found.cost_s <= self.handover_s();
            if cheapest
                .as_ref()
                .is_none_or(|cheapest| found.cost_s < cheapest.cost_s)
            {
                cheapest = Some(found);
            }
            if is_minimal {
                break;
            }
        }
        cheapest
    }

    /// Returns replicas of a machine whose displacement frees enough capacity for the
    /// request, or `None` if too few replicas have a migration target.
    fn displacement_from(
        &self,
        now: Now,
        request: &PlacementRequest,
        from: Slot,
        capacity: &MachineCapacity,
        targets: &mut TargetsByJob,
    ) -> Option<Displacement> {
        let machine = self.fleet.get(&capacity.id)?;
        let priority = request.spec.priority;
        let mut free = capacity.free_after_stops();
        let mut displacement = Displacement::new(from);
        for task in &machine.tasks {
            if free.covers(&request.resources) {
                break;
            }
            let Some(job) = self.displaceable(now, task, priority) else {
                continue;
            };
            let zone = &machine.offer.zone;
            let target = self
                .migration_target(job, zone, &displacement, targets)
                .filter(|target| self.is_short_outage(target.outage_s));
            let Some(MigrationTarget { outage_s, slot }) = target else {
                continue;
            };
            displacement.cost_s += outage_s + self.handover_s();
            if job.spec.priority == priority {
                displacement.cost_s += self.settings.site.workers.heartbeat_s;
            }
            free.add(&job.task_request);
            displacement.planned.add(slot, job.task_request);
            displacement.tasks.push(DisplacedTask {
                task: task.clone(),
                resources: job.task_request,
                target: slot,
                target_machine: self.capacity.get(slot)?.id.clone(),
            });
        }
        free.covers(&request.resources).then_some(displacement)
    }

    /// Returns the job of a task if the task is a replica that may be displaced for work
    /// of this priority.
    fn displaceable(&self, now: Now, task: &TaskRef, priority: Priority) -> Option<&Job> {
        let job = self.jobs.get(&task.job)?;
        let displaceable = job.is_service()
            && job.cancelled_wall_ms.is_none()
            && job.spec.priority >= priority
            && self.may_migrate(now, job, job.assignments.get(&task.index)?);
        displaceable.then_some(job)
    }

    /// Returns the target with the shortest outage for a replica in `zone`, given the
    /// replicas that `displacement` already contains.
    fn migration_target(
        &self,
        job: &Job,
        zone: &str,
        displacement: &Displacement,
        targets: &mut TargetsByJob,
    ) -> Option<MigrationTarget> {
        let Displacement {
            from,
            tasks,
            planned,
            ..
        } = displacement;
        // Without zone constraints, all replicas of a job have the same targets.
        let interchangeable = !job.spec.spread && !job.spec.same_zone;
        let known = targets.get(&job.spec.id).filter(|_| interchangeable);
        match known {
            Some(None) => return None,
            Some(Some(target)) if target.slot != *from && !planned.uses(target.slot) => {
                return Some(*target)
            }
            _ => {}
        }
        let planned_moves = tasks
            .iter()
            .map(|moved| (&moved.task, &moved.target_machine));
        let mut zones = self.zones_after_migrations(job, planned_moves);
        zones.remove(zone);
        let accept = |slot: Slot, machine: &MachineCapacity| {
            slot != *from && planned.leaves_capacity(slot, machine, &job.task_request)
        };
        let target = self.shortest_outage_target(job, &zones, accept);
        if known.is_none() && interchangeable && planned.tasks.is_empty() {
            targets.insert(job.spec.id.clone(), target);
        }
        target
    }

    /// Returns the target with the shortest outage for a replica of a job whose other
    /// tasks are in `zones`. Machines that have the image take precedence over machines
    /// that have to pull it.
    fn shortest_outage_target(
        &self,
        job: &Job,
        zones: &ZoneCounts,
        accept: impl Fn(Slot, &MachineCapacity) -> bool,
    ) -> Option<MigrationTarget> {
        let (spec, need) = (&job.spec, &job.task_request);
        if let Some(slot) = self.capacity.first_with_image(spec, need, zones, &accept) {
            return Some(MigrationTarget {
                slot,
                outage_s: 0.0,
            });
        }
        self.capacity
            .first_of_each_group(spec, need, zones, accept)
            .filter_map(|slot| {
                let outage_s = self.expected_pull_s(self.capacity.get(slot)?, spec)?;
                Some(MigrationTarget { slot, outage_s })
            })
            .min_by(|a, b| a.outage_s.total_cmp(&b.outage_s))
    }

    /// Returns the time to stop a task, store the stop, and start another task in its
    /// place.
    pub(super) fn handover_s(&self) -> f64 {
        self.settings.site.workers.heartbeat_s * HANDOVER_HEARTBEATS
    }

    /// Returns the expected image pull time of a task that starts on the machine.
    /// Concurrent pulls share the machine's pull rate.
    pub(super) fn expected_pull_s(&self, machine: &MachineCapacity, spec: &JobSpec) -> Option<f64> {
        if machine.has_image(&spec.image) {
            return Some(0.0);
        }
        let concurrent_pulls = (machine.state.pulling_images.len() + 1) as f64;
        Some(self.nominal_pull_s(&machine.id, spec)? * concurrent_pulls)
    }
}

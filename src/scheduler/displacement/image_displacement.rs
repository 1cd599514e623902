//! Displacement for an image. Work whose objective leaves no time to pull its image
//! may find free capacity only on machines that lack the image, while settled replicas
//! that can be moved with a short outage occupy the machines that have it. Those
//! replicas migrate to the free capacity, and the work takes their place. Less
//! important replicas are displaced first, equally important ones if necessary, more
//! important ones never.

use crate::capacity_index::{MachineCapacity, Slot};
use crate::ids::{JobId, MachineId, TaskRef};
use crate::messages::Now;
use crate::placement::{Resources, ZoneCounts};
use crate::scheduler::rounds::task_placement::PlacementRequest;
use crate::scheduler::{Job, Scheduler};
use crate::wire::users::{JobSpec, Priority};
use std::collections::HashMap;

/// An image pull takes up to this multiple of its nominal time (PROTOCOL: give or take
/// a third).
const SLOWEST_PULL: f64 = 4.0 / 3.0;
/// Stopping a task, storing that and starting another one takes about this share of a
/// heartbeat interval.
const HANDOVER_HEARTBEATS: f64 = 0.25;
/// The most machines of one type, zone and purchase option that are examined.
pub(super) const CANDIDATES_PER_GROUP: usize = 64;

/// A replica that is displaced, and the machine that it migrates to.
struct DisplacedTask {
    task: TaskRef,
    resources: Resources,
    target: Slot,
    target_machine: MachineId,
}

/// Replicas that are displaced together from a machine.
struct Displacement {
    from: Slot,
    /// The time for which they are out of service, with a penalty for equals.
    cost_s: f64,
    tasks: Vec<DisplacedTask>,
    planned: PlannedUse,
}

/// A machine that a replica may migrate to.
#[derive(Clone, Copy)]
struct MigrationTarget {
    slot: Slot,
    /// How long the replica would be out of service.
    outage_s: f64,
}

/// Where the replicas of each job could migrate to, as long as nothing else is planned
/// there.
type MigrationTargets = HashMap<JobId, Option<MigrationTarget>>;

/// What one task of a planned migration takes on its target.
struct PlannedTask {
    slot: Slot,
    resources: Resources,
}

/// What the tasks that leave a machine together take on other machines.
#[derive(Default)]
pub(super) struct PlannedUse {
    tasks: Vec<PlannedTask>,
}

impl PlannedUse {
    pub(super) fn add(&mut self, slot: Slot, resources: Resources) {
        self.tasks.push(PlannedTask { slot, resources });
    }

    /// Whether a machine fits one more task beside the planned ones.
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
    /// Makes place for one task on a machine that has its image, if the image pull that
    /// it would need on `cold` might make it miss its objective. Returns that machine;
    /// the capacity is held for the task from then on.
    pub(in crate::scheduler) fn displace_for_image(
        &mut self,
        now: Now,
        request: &PlacementRequest,
        cold: Slot,
    ) -> Option<Slot> {
        let spec = &request.spec;
        self.settings.start_slo_ms(spec)?;
        let slack_ms = request.deadline.saturating_sub(now.wall) as f64;
        let pull_ms = self.nominal_pull_s(&self.capacity.get(cold)?.id, spec)? * 1000.0;
        let handover_ms = self.handover_s() * 1000.0;
        if slack_ms < handover_ms || pull_ms * SLOWEST_PULL < slack_ms {
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
        self.capacity.hold(from, &request.resources);
        self.refresh(now);
        Some(from)
    }

    /// The displacement with the shortest outage, over the machines that have the image.
    fn cheapest_displacement(&self, now: Now, request: &PlacementRequest) -> Option<Displacement> {
        let mut targets = MigrationTargets::new();
        let mut cheapest: Option<Displacement> = None;
        let machines =
            self.capacity
                .with_image(&request.spec, &request.zones, CANDIDATES_PER_GROUP);
        for (slot, machine) in machines {
            let Some(found) = self.displacement_from(now, request, slot, machine, &mut targets)
            else {
                continue;
            };
            // The least that is possible: one replica that has no image to pull.
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

    /// Replicas of a machine that have somewhere to migrate to and whose displacement
    /// frees enough for the request.
    fn displacement_from(
        &self,
        now: Now,
        request: &PlacementRequest,
        from: Slot,
        capacity: &MachineCapacity,
        targets: &mut MigrationTargets,
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

    /// The job of a task, if that is a replica that may be displaced for work of this
    /// priority.
    fn displaceable(&self, now: Now, task: &TaskRef, priority: Priority) -> Option<&Job> {
        let job = self.jobs.get(&task.job)?;
        let displaceable = job.is_service()
            && job.cancelled_wall_ms.is_none()
            && job.spec.priority >= priority
            && self.may_migrate(now, job, job.assignments.get(&task.index)?);
        displaceable.then_some(job)
    }

    /// Where a replica in this zone would migrate to with the shortest outage, beside
    /// those that are displaced with it.
    fn migration_target(
        &self,
        job: &Job,
        zone: &str,
        displacement: &Displacement,
        targets: &mut MigrationTargets,
    ) -> Option<MigrationTarget> {
        let Displacement {
            from,
            tasks,
            planned,
            ..
        } = displacement;
        // All replicas of a job have the same targets, unless zones restrict them.
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

    /// The target for a replica in these zones with the shortest outage: any machine that
    /// has the image before all that have to pull it.
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

    /// The time to stop a task, store that, and start another one in its place.
    pub(super) fn handover_s(&self) -> f64 {
        self.settings.site.workers.heartbeat_s * HANDOVER_HEARTBEATS
    }

    /// How long a task that starts on the machine would pull its image; pulls share
    /// the machine's rate.
    pub(super) fn expected_pull_s(&self, machine: &MachineCapacity, spec: &JobSpec) -> Option<f64> {
        if machine.has_image(&spec.image) {
            return Some(0.0);
        }
        let concurrent_pulls = (machine.state.pulling_images.len() + 1) as f64;
        Some(self.nominal_pull_s(&machine.id, spec)? * concurrent_pulls)
    }
}

//! Planning of replica group migrations: finds the targets, reserves their capacity and
//! schedules the write of the intent.

use crate::capacity_index::Slot;
use crate::ids::JobId;
use crate::messages::Now;
use crate::placement::Resources;
use crate::scheduler::replica_groups::evaluation::WriteUrgency;
use crate::scheduler::replica_groups::search::{GroupSearch, PartMachine, SearchScope};
use crate::scheduler::rounds::task_placement::PlacementRequest;
use crate::scheduler::Scheduler;
use lilacfork_replica_groups::observation::{Binding, MachineHealth, PartState};
use lilacfork_replica_groups::record::{MigrationIntent, PartTarget};
use lilacfork_replica_groups::registry::GroupId;

/// A part together with its binding to a machine.
struct BoundPart {
    task: u32,
    binding: Binding,
}

/// The parts of a migrating group, and the request for their placement.
struct MigratingParts<'a> {
    id: &'a GroupId,
    request: &'a PlacementRequest,
    /// Parts on machines that send heartbeats and aren't leaving.
    staying: &'a [BoundPart],
    /// Parts on machines that are leaving, unresponsive or declared failed.
    leaving: &'a [BoundPart],
    /// The machines of all bound parts, which can't be new targets.
    excluded: &'a [Slot],
}

impl Scheduler {
    /// Plans the migration of a group with a leaving machine. Parts on other machines stay
    /// there if their zone has capacity for the parts that have to leave.
    pub(super) fn plan_migration(&mut self, now: Now, id: &GroupId) {
        self.refresh(now);
        match self.migration_intent(now, id) {
            Some(intent) => {
                let generation = intent.generation;
                log::info!("replica group migration planned group={id} generation={generation}");
                self.release_forecast_reservations(&intent, &id.job);
                self.groups.begin_migration(now.ms, id, intent);
                self.reserve_for_group(now, id);
                self.schedule_group_write(now, id, WriteUrgency::Immediate);
            }
            None => {
                log::info!("replica group migration infeasible group={id} reason=\"no capacity\"");
                if let Some(group) = self.groups.group_mut(id) {
                    group.mark_migration_infeasible();
                }
            }
        }
        self.groups.request_evaluation(id);
    }

    /// Releases the reservations for forecast demand on target machines where the parts need
    /// that capacity. A migration takes precedence over forecast demand.
    fn release_forecast_reservations(&mut self, intent: &MigrationIntent, job: &JobId) {
        let Some(task_request) = self.jobs.get(job).map(|job| job.task_request) else {
            return;
        };
        for target in &intent.targets {
            let Some(slot) = self.capacity.slot(&target.machine) else {
                continue;
            };
            let needs_forecast_capacity = self.capacity.get(slot).is_some_and(|machine| {
                !machine.free().covers(&task_request)
                    && machine.forecast_reserved() != Resources::default()
            });
            if needs_forecast_capacity {
                self.capacity.release_forecast(slot);
            }
        }
    }

    /// Returns an intent with targets for all parts of a group. `None` if there is no capacity
    /// for them.
    fn migration_intent(&self, now: Now, id: &GroupId) -> Option<MigrationIntent> {
        let job = self.jobs.get(&id.job)?;
        let bound = self.bound_parts(now, id);
        let generation = bound.first()?.binding.generation;
        let mut request = PlacementRequest::new(job, now.wall_ms);
        request.zones = job.zone_counts();
        for part in &bound {
            request.zones.remove(&job.assignments.get(&part.task)?.zone);
        }
        let (staying, leaving): (Vec<_>, Vec<_>) = bound
            .into_iter()
            .partition(|part| part.binding.health == MachineHealth::Reporting);
        let mut excluded = self.slots_of(&staying);
        excluded.extend(self.slots_of(&leaving));
        let parts = MigratingParts {
            id,
            request: &request,
            staying: &staying,
            leaving: &leaving,
            excluded: &excluded,
        };
        let targets = self
            .replace_leaving_parts(&parts)
            .or_else(|| self.replace_all_parts(&parts))?;
        Some(MigrationIntent {
            generation,
            targets,
        })
    }

    fn bound_parts(&self, now: Now, id: &GroupId) -> Vec<BoundPart> {
        let parts = self.parts_of(now, id).into_iter();
        let bound = parts.filter_map(|part| match part.state {
            PartState::Bound(binding) => Some(BoundPart {
                task: part.task,
                binding,
            }),
            PartState::Completed | PartState::Waiting => None,
        });
        bound.collect()
    }

    fn slots_of(&self, parts: &[BoundPart]) -> Vec<Slot> {
        let machines = parts.iter().map(|part| &part.binding.machine);
        machines
            .filter_map(|machine| self.capacity.slot(machine))
            .collect()
    }

    /// Returns targets that move only the parts on leaving machines, to the zone of the staying
    /// parts unless the job is spread. `None` if no part stays or there is no capacity.
    fn replace_leaving_parts(&self, parts: &MigratingParts) -> Option<Vec<PartTarget>> {
        let staying_slots = self.slots_of(parts.staying);
        if staying_slots.is_empty() {
            return None;
        }
        let zone = self.common_zone(&parts.request.spec, &staying_slots);
        let mut leaving_request = PlacementRequest::without_placements(parts.request);
        leaving_request.zones = parts.request.zones.clone();
        for part in parts.staying {
            let machine = self.fleet.get(&part.binding.machine)?;
            leaving_request.zones.add(&machine.offer.zone);
        }
        let search = GroupSearch {
            id: parts.id,
            request: &leaving_request,
            count: parts.leaving.len(),
            zone: zone.as_deref(),
            excluded: parts.excluded,
        };
        let machines = self.find_machines(&search, SearchScope::WithForecast)?;
        let mut targets = self.part_targets(parts.leaving.iter(), &machines)?;
        targets.extend(parts.staying.iter().map(|part| PartTarget {
            task: part.task,
            machine: part.binding.machine.clone(),
        }));
        Some(targets)
    }

    /// Returns targets that move all parts to other machines. `None` if there is no capacity.
    fn replace_all_parts(&self, parts: &MigratingParts) -> Option<Vec<PartTarget>> {
        let search = GroupSearch {
            id: parts.id,
            request: parts.request,
            count: parts.staying.len() + parts.leaving.len(),
            zone: None,
            excluded: parts.excluded,
        };
        let machines = self.find_machines(&search, SearchScope::WithForecast)?;
        self.part_targets(parts.staying.iter().chain(parts.leaving), &machines)
    }

    fn part_targets<'a>(
        &self,
        parts: impl Iterator<Item = &'a BoundPart>,
        machines: &[PartMachine],
    ) -> Option<Vec<PartTarget>> {
        let targets = parts.zip(machines).map(|(part, machine)| {
            Some(PartTarget {
                task: part.task,
                machine: self.capacity.get(machine.slot)?.id.clone(),
            })
        });
        targets.collect()
    }
}

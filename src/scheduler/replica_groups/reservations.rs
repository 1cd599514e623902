//! Reservation of capacity for the next generation of a replica group.

use crate::capacity_index::Slot;
use crate::messages::Now;
use crate::scheduler::replica_groups::search::{GroupSearch, SearchScope};
use crate::scheduler::rounds::round::{GroupDemand, Unplaced};
use crate::scheduler::rounds::task_placement::PlacementRequest;
use crate::scheduler::Scheduler;
use lilacfork_replica_groups::record::PartTarget;
use lilacfork_replica_groups::registry::GroupId;

impl Scheduler {
    /// Reserves capacity in the index for all groups that have a reservation. A round does this
    /// first, so that it doesn't place other work on that capacity.
    pub(in crate::scheduler) fn reserve_for_groups(&mut self, now: Now) {
        self.group_reservations.clear();
        for id in self.groups.with_reservations(now.ms) {
            self.reserve_for_group(now, &id);
        }
    }

    /// Returns the machines that are reserved for a group, except those that the group's own
    /// parts still use.
    fn reserved_slots(&self, now: Now, id: &GroupId) -> Vec<Slot> {
        let (Some(group), Some(job)) = (self.groups.group(id), self.jobs.get(&id.job)) else {
            return Vec::new();
        };
        if job.cancelled_wall_ms.is_some() {
            return Vec::new();
        }
        let is_in_use = |target: &PartTarget| {
            let assignment = job.assignments.get(&target.task);
            assignment.is_some_and(|a| a.machine == target.machine && a.stop.is_none())
        };
        let targets = group.reserved_targets(now.ms).iter();
        targets
            .filter(|target| !is_in_use(target))
            .filter_map(|target| self.capacity.slot(&target.machine))
            .collect()
    }

    /// Reserves capacity in the index for a group's next generation. Does nothing if this round
    /// has reserved it already.
    pub(super) fn reserve_for_group(&mut self, now: Now, id: &GroupId) {
        if self.group_reservations.contains_key(id) {
            return;
        }
        let Some(task_request) = self.jobs.get(&id.job).map(|job| job.task_request) else {
            return;
        };
        let mut machines = Vec::new();
        for slot in self.reserved_slots(now, id) {
            machines.extend(self.capacity.get(slot).map(|machine| machine.id.clone()));
            self.capacity.reserve_for_incoming(slot, &task_request);
        }
        self.group_reservations.insert(id.clone(), machines);
    }

    /// Releases the capacity in the index that is reserved for a group, so that the group's own
    /// parts can be placed on it.
    pub(super) fn release_reservation(&mut self, id: &GroupId) {
        let Some(task_request) = self.jobs.get(&id.job).map(|job| job.task_request) else {
            return;
        };
        for machine in self.group_reservations.remove(id).into_iter().flatten() {
            // A machine that was removed from the index has no reservation left to release.
            if let Some(slot) = self.capacity.slot(&machine) {
                self.capacity.release(slot, &task_request);
            }
        }
    }

    /// Reserves the capacity of tasks that are being stopped for all parts without a
    /// reservation. Returns these parts as unplaced if that capacity doesn't suffice or the job
    /// has no start objective.
    pub(super) fn reserve_stopping_capacity_for_group(
        &mut self,
        now: Now,
        id: &GroupId,
        tasks: &[u32],
        request: &PlacementRequest,
    ) -> Option<Unplaced> {
        let reserved = self.reserved_slots_accepting_tasks(now, id);
        let zone = self.common_zone(&request.spec, &reserved);
        let count = tasks.len().saturating_sub(reserved.len());
        let search = GroupSearch {
            id,
            request,
            count,
            zone: zone.as_deref(),
            excluded: &reserved,
        };
        if self.settings.start_slo_ms(&request.spec).is_some() {
            if let Some(machines) = self.find_machines(&search, SearchScope::WithStopping) {
                for machine in machines {
                    self.capacity.reserve(machine.slot, &request.resources);
                }
                return None;
            }
        }
        Some(Unplaced {
            spec: request.spec.clone(),
            count: count as u32,
            deadline_wall_ms: request.deadline_wall_ms,
            zones: request.zones.clone(),
            is_forecast: false,
            group: Some(GroupDemand {
                id: id.clone(),
                zone,
            }),
        })
    }

    /// Returns the machines that are reserved for a group and accept tasks.
    pub(super) fn reserved_slots_accepting_tasks(&self, now: Now, id: &GroupId) -> Vec<Slot> {
        let Some(group) = self.groups.group(id) else {
            return Vec::new();
        };
        let targets = group.reserved_targets(now.ms).iter();
        targets
            .filter(|target| self.accepts_parts(now, &target.machine))
            .filter_map(|target| self.capacity.slot(&target.machine))
            .collect()
    }
}

//! The choice of a machine for one more task of a job.

use crate::capacity_index::{BestFit, MachineCapacity, SearchConstraint, Slot, TaskDemand};
use crate::ids::{JobId, MachineId, TaskRef};
use crate::messages::Now;
use crate::placement::placement_allowed;
use crate::scheduler::rounds::task_placement::PlacementRequest;
use crate::scheduler::Scheduler;

/// Where a task goes.
pub(super) enum MachineChoice {
    /// To this machine, at once.
    Free(Slot),
    /// To this machine, once enough of it has been freed; the capacity is held.
    Held(Slot),
    /// No machine fits now.
    Unavailable,
}

impl Scheduler {
    /// Chooses a machine for one more task of a job.
    pub(super) fn choose_machine(
        &mut self,
        now: Now,
        request: &mut PlacementRequest,
        task: &TaskRef,
    ) -> MachineChoice {
        let target = self.migrations.targets.remove(task);
        if let Some(slot) = target.and_then(|machine| self.capacity.slot(&machine)) {
            if let Some(choice) = self.choose_migration_target(now, request, slot) {
                return choice;
            }
        }
        let best = self.best_free(&task.job, request);
        if let Some(slot) = self.displace_if_cold(now, request, best) {
            return MachineChoice::Held(slot);
        }
        if let Some(slot) = best {
            return MachineChoice::Free(slot);
        }
        if request.probing || self.settings.start_slo_ms(&request.spec).is_none() {
            return MachineChoice::Unavailable;
        }
        // Actual demand goes before forecast demand.
        match self.reserved_for_forecast(request) {
            Some(slot) => {
                self.capacity.release_forecast(slot);
                MachineChoice::Free(slot)
            }
            None => MachineChoice::Unavailable,
        }
    }

    /// A migrating task goes to its target if that is still possible.
    fn choose_migration_target(
        &mut self,
        now: Now,
        request: &PlacementRequest,
        slot: Slot,
    ) -> Option<MachineChoice> {
        let target = self.capacity.get(slot)?;
        let machine = self.fleet.get(&target.id)?;
        let allowed = placement_allowed(&request.spec, &request.zones, &target.state.offer);
        if !allowed || !machine.accepts_tasks(now.ms, self.fresh_ms()) {
            return None;
        }
        if target.free().covers(&request.resources) {
            return Some(MachineChoice::Free(slot));
        }
        // Capacity that is being freed for the task is worth waiting for while its
        // objective can still be met.
        if now.wall < request.deadline && target.free_after_stops().covers(&request.resources) {
            self.capacity.hold(slot, &request.resources);
            return Some(MachineChoice::Held(slot));
        }
        None
    }

    /// The best machine with free capacity for one more task. Tasks that end fill a
    /// machine up: the best one for a task is also the best for the next while it
    /// has capacity.
    fn best_free(&mut self, id: &JobId, request: &mut PlacementRequest) -> Option<Slot> {
        let job = self.jobs.get(id)?;
        let failed_on = |machine: &MachineId| job.failures.failed_on(machine);
        let demand = TaskDemand {
            spec: &request.spec,
            resources: &request.resources,
            zones: &request.zones,
            siblings: &request.siblings,
            failed_on: &failed_on,
            constraint: SearchConstraint::default(),
        };
        let last_fit = request.last_fit.filter(|_| !job.is_service());
        let same_again = last_fit.and_then(|last| {
            self.pacing.examined += 1;
            let rank = self.capacity.rank(last.slot, &demand)?;
            (rank <= last.rank).then_some(BestFit { rank, ..last })
        });
        request.last_fit = same_again.or_else(|| self.capacity.best(&demand));
        request.last_fit.map(|best| best.slot)
    }

    /// If the best free machine lacks the task's image: a machine that has it, and from
    /// which other replicas are displaced because the image pull would take too long.
    fn displace_if_cold(
        &mut self,
        now: Now,
        request: &mut PlacementRequest,
        best: Option<Slot>,
    ) -> Option<Slot> {
        let slot = best.filter(|_| !request.probing)?;
        let image = &request.spec.image;
        let machine = self.capacity.get(slot);
        // What wasn't possible for one replica isn't for the next one.
        if machine.is_some_and(|machine| machine.has_image(image)) || request.displacement_failed {
            return None;
        }
        let displaced = self.displace_for_image(now, request, slot);
        request.displacement_failed = displaced.is_none();
        displaced
    }

    /// A machine that fits the task if what is reserved there for forecast demand is
    /// released.
    fn reserved_for_forecast(&self, request: &PlacementRequest) -> Option<Slot> {
        let fits = |machine: &MachineCapacity| {
            let mut available = machine.free();
            available.add(&machine.forecast_reserved());
            available.covers(&request.resources)
                && placement_allowed(&request.spec, &request.zones, &machine.state.offer)
        };
        self.capacity
            .with_forecast_reservation()
            .find(|(_, machine)| fits(machine))
            .map(|(slot, _)| slot)
    }

    /// Holds capacity that is about to be freed for work with a start objective.
    /// Otherwise the tasks that were preempted for it would start again in the first
    /// gap that is too small for it, and be preempted again, over and over. Returns
    /// the number of tasks for which there is none.
    pub(super) fn hold_freeing_capacity(
        &mut self,
        request: &mut PlacementRequest,
        count: usize,
    ) -> usize {
        if self.settings.start_slo_ms(&request.spec).is_none() {
            return count;
        }
        for held in 0..count {
            let fits = |machine: &MachineCapacity| {
                placement_allowed(&request.spec, &request.zones, &machine.state.offer)
                    && machine.free_after_stops().covers(&request.resources)
            };
            let fitting = self
                .capacity
                .stopping_tasks()
                .find(|(_, machine)| fits(machine));
            let Some((slot, machine)) = fitting else {
                return count - held;
            };
            request.zones.add(&machine.state.offer.zone);
            self.capacity.hold(slot, &request.resources);
        }
        0
    }
}

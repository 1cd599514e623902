//! The choice of a machine for the next task of a job.

use crate::capacity_index::{BestFit, MachineCapacity, SearchConstraint, Slot, TaskDemand};
use crate::ids::{JobId, MachineId, TaskRef};
use crate::messages::Now;
use crate::placement::placement_allowed;
use crate::scheduler::rounds::task_placement::PlacementRequest;
use crate::scheduler::Scheduler;

/// The machine chosen for a task.
pub(super) enum MachineChoice {
    /// The task can be placed on this machine immediately.
    Free(Slot),
    /// Capacity on this machine is reserved for the task, which can be placed there when
    /// stopping tasks have freed enough of it.
    Reserved(Slot),
    /// No machine fits the task now.
    Unavailable,
}

impl Scheduler {
    /// Chooses a machine for the next task of a job: the target of its migration, the best
    /// machine with free capacity, a machine from which replicas are displaced, a machine whose
    /// capacity is reserved for forecast demand, or a cordoned machine for an overdue job.
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
            return MachineChoice::Reserved(slot);
        }
        if let Some(slot) = best {
            return MachineChoice::Free(slot);
        }
        let has_start_slo = self.settings.start_slo_ms(&request.spec).is_some();
        // Actual demand takes precedence over forecast demand.
        if request.is_overdue || (has_start_slo && !request.probing) {
            if let Some(slot) = self.reserved_for_forecast(request) {
                self.capacity.release_forecast(slot);
                return MachineChoice::Free(slot);
            }
        }
        match self.machine_for_overdue_probe(request) {
            Some(slot) => MachineChoice::Free(slot),
            None => MachineChoice::Unavailable,
        }
    }

    /// Chooses the target of a migrating task, or returns `None` if the target no longer
    /// fits the task.
    fn choose_migration_target(
        &mut self,
        now: Now,
        request: &PlacementRequest,
        slot: Slot,
    ) -> Option<MachineChoice> {
        let target = self.capacity.get(slot)?;
        let machine = self.fleet.get(&target.id)?;
        let allowed = placement_allowed(&request.spec, &request.zones, &target.state.offer);
        if !allowed || !machine.accepts_tasks(now.ms, self.max_heartbeat_age_ms()) {
            return None;
        }
        if target.free().covers(&request.resources) {
            return Some(MachineChoice::Free(slot));
        }
        // Waiting for capacity that is being freed on the target is only worthwhile while
        // the task can still meet its objective, which is until its deadline.
        if now.wall_ms < request.deadline_wall_ms
            && target.free_after_stops().covers(&request.resources)
        {
            self.capacity.reserve(slot, &request.resources);
            return Some(MachineChoice::Reserved(slot));
        }
        None
    }

    /// Returns the best machine with free capacity for the next task. Tasks of batch jobs
    /// and gangs fill one machine after another, so the machine of the previous task is
    /// reused without a search as long as its rank has not become worse.
    fn best_free(&mut self, id: &JobId, request: &mut PlacementRequest) -> Option<Slot> {
        let job = self.jobs.get(id)?;
        let failed_on = |machine: &MachineId| job.circuit_breaker.failed_on(machine);
        let demand = TaskDemand {
            spec: &request.spec,
            resources: &request.resources,
            zones: &request.zones,
            siblings: &request.siblings,
            failed_on: &failed_on,
            constraint: SearchConstraint::default(),
        };
        let last_fit = request.last_fit.filter(|_| !job.is_service());
        let reused_fit = last_fit.and_then(|last| {
            self.pacing.examined += 1;
            let rank = self.capacity.rank(last.slot, &demand)?;
            (rank <= last.rank).then_some(BestFit { rank, ..last })
        });
        request.last_fit = reused_fit.or_else(|| self.capacity.best(&demand));
        request.last_fit.map(|best| best.slot)
    }

    /// Displaces replicas from a machine that has the task's image if the best free
    /// machine lacks the image and the image pull would take too long. Returns the
    /// machine on which capacity is now reserved for the task.
    fn displace_if_cold(
        &mut self,
        now: Now,
        request: &mut PlacementRequest,
        best: Option<Slot>,
    ) -> Option<Slot> {
        let slot = best.filter(|_| !request.probing)?;
        let image = &request.spec.image;
        let machine = self.capacity.get(slot);
        // If displacement failed for one task of the job, it also fails for the next one.
        if machine.is_some_and(|machine| machine.has_image(image)) || request.displacement_failed {
            return None;
        }
        let displaced = self.displace_for_image(now, request, slot);
        request.displacement_failed = displaced.is_none();
        displaced
    }

    /// Returns a machine that fits the task once its capacity reserved for forecast
    /// demand is released.
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

    /// Reserves capacity that stopping tasks are about to free for a job with a start
    /// objective. Without the reservation, preempted tasks would restart in freed capacity
    /// that is still too small for the job, and would be preempted again repeatedly.
    /// Returns the number of tasks for which no such capacity was found.
    pub(super) fn reserve_stopping_capacity(
        &mut self,
        request: &mut PlacementRequest,
        count: usize,
    ) -> usize {
        if self.settings.start_slo_ms(&request.spec).is_none() {
            return count;
        }
        for reserved in 0..count {
            let fits = |machine: &MachineCapacity| {
                placement_allowed(&request.spec, &request.zones, &machine.state.offer)
                    && machine.free_after_stops().covers(&request.resources)
            };
            let fitting = self
                .capacity
                .with_stopping_tasks()
                .find(|(_, machine)| fits(machine));
            let Some((slot, machine)) = fitting else {
                return count - reserved;
            };
            request.zones.add(&machine.state.offer.zone);
            self.capacity.reserve(slot, &request.resources);
        }
        0
    }
}

//! Probes of cordoned machines. A cordon is evidence of the past, so it needs new evidence to end:
//! single tasks that find no other capacity are placed on the machine, with pauses between them.

use crate::capacity_index::Slot;
use crate::ids::{JobId, MachineId, TaskRef};
use crate::messages::Now;
use crate::placement::placement_allowed;
use crate::scheduler::rounds::round::{Round, Unplaced};
use crate::scheduler::rounds::task_placement::PlacementRequest;
use crate::scheduler::state::quotas::within_quota;
use crate::scheduler::Scheduler;
use crate::wire::users::JobKind;

/// Which unplaced work a machine may be probed with.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ProbeWork {
    /// Work of jobs that haven't failed on the machine. Its failure or success says more than
    /// that of a job which may itself be faulty.
    OfOtherJobs,
    /// Any work, that of the job which has waited for longest without progress first. In the order
    /// of the queue, a job that fails everywhere could use up the probes of all others.
    OfAnyJob,
}

impl Scheduler {
    /// Returns the machines that nothing but a cordon keeps from getting tasks.
    pub(super) fn find_cordoned_machines(&mut self, now: Now) -> Vec<MachineId> {
        let max_heartbeat_age_ms = self.max_heartbeat_age_ms();
        let mut examined = 0;
        let is_only_cordoned = |id: &&MachineId| {
            examined += 1;
            let machine = self.fleet.get(id);
            machine.is_some_and(|machine| machine.is_only_cordoned(now.ms, max_heartbeat_age_ms))
        };
        let unschedulable = self.capacity.unschedulable();
        let cordoned = unschedulable.filter(is_only_cordoned).cloned().collect();
        self.pacing.examined += examined;
        cordoned
    }

    /// Places one task of unplaced work on a cordoned machine if a probe is due.
    pub(super) fn probe_machine(&mut self, now: Now, id: &MachineId, round: &mut Round) {
        let Some(slot) = self.capacity.slot(id) else {
            return;
        };
        let work = [ProbeWork::OfOtherJobs, ProbeWork::OfAnyJob]
            .into_iter()
            .find_map(|work| self.find_probe(now, slot, id, work, round));
        if let Some((index, task)) = work {
            self.place_probe(now, slot, task, &mut round.unplaced[index]);
        }
    }

    /// Returns unplaced work with a task that the machine fits, and the task.
    fn find_probe(
        &mut self,
        now: Now,
        slot: Slot,
        id: &MachineId,
        work: ProbeWork,
        round: &Round,
    ) -> Option<(usize, TaskRef)> {
        self.pacing.examined += round.unplaced.len() as u64;
        let unplaced = round.unplaced.iter().enumerate();
        let mut fitting = unplaced.filter_map(|(index, unplaced)| {
            let task = self.probe_task(now, slot, id, work, unplaced, round)?;
            Some((index, task))
        });
        match work {
            ProbeWork::OfOtherJobs => fitting.next(),
            ProbeWork::OfAnyJob => fitting.min_by_key(|(_, task)| {
                let job = self.jobs.get(&task.job);
                job.and_then(|job| job.waiting_since_ms)
            }),
        }
    }

    /// Returns a task of the unplaced work with which the machine may be probed.
    fn probe_task(
        &self,
        now: Now,
        slot: Slot,
        id: &MachineId,
        work: ProbeWork,
        unplaced: &Unplaced,
        round: &Round,
    ) -> Option<TaskRef> {
        let spec = &unplaced.spec;
        let is_single = unplaced.group.is_none() && spec.kind != JobKind::Gang;
        if unplaced.count == 0 || unplaced.is_forecast || !is_single {
            return None;
        }
        let job = self.jobs.get(&spec.id)?;
        if work == ProbeWork::OfOtherJobs && job.circuit_breaker.failed_on(id) {
            return None;
        }
        let machine = self.capacity.get(slot)?;
        let fits = self.accepts_probe_of(now, id, &spec.id)
            && machine.free().covers(&job.task_request)
            && placement_allowed(spec, &unplaced.zones, &machine.state.offer)
            && within_quota(
                &self.settings,
                &spec.team,
                &self.team_usage(&spec.team, round),
                &job.task_request,
            );
        if !fits {
            return None;
        }
        // The first tasks may be those for which capacity is being freed elsewhere.
        let mut pending = job.pending.iter().rev().map(|index| job.task(*index));
        pending.find(|task| !self.migrations.targets.contains_key(task))
    }

    fn place_probe(&mut self, now: Now, slot: Slot, task: TaskRef, unplaced: &mut Unplaced) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let mut request = PlacementRequest::new(job, unplaced.deadline_wall_ms);
        if self.bind(now, &task, None, slot, &mut request).is_none() {
            return;
        }
        unplaced.count -= 1;
        if let Some(machine) = self.capacity.get(slot) {
            unplaced.zones.add(&machine.state.offer.zone);
        }
    }

    fn accepts_probe_of(&self, now: Now, machine: &MachineId, job: &JobId) -> bool {
        let machine = self.fleet.get(machine);
        machine.is_some_and(|m| m.accepts_probe(job, now.ms, self.max_heartbeat_age_ms()))
    }

    /// Returns the cordoned machines that may be probed with a task of the job now.
    pub(super) fn cordoned_machines_for(&self, now: Now, job: &JobId) -> Vec<MachineId> {
        let cordoned = self.cordoned_machines.iter();
        cordoned
            .filter(|id| self.accepts_probe_of(now, id, job))
            .cloned()
            .collect()
    }

    /// Returns a cordoned machine for a task of a job that has waited for too long and isn't among
    /// the unplaced work with which machines are probed otherwise: a gang can't send one task ahead,
    /// so all its tasks together are the probe; a job with an open circuit breaker probes the
    /// machine and itself.
    pub(super) fn machine_for_overdue_probe(&self, request: &PlacementRequest) -> Option<Slot> {
        let is_eligible = request.probing || request.spec.kind == JobKind::Gang;
        if !is_eligible {
            return None;
        }
        self.probe_slots(request).next()
    }

    /// Returns the cordoned machines that an overdue request may use and that fit one task more.
    pub(in crate::scheduler) fn probe_slots<'a>(
        &'a self,
        request: &'a PlacementRequest,
    ) -> impl Iterator<Item = Slot> + 'a {
        let cordoned = request.cordoned_machines.iter();
        cordoned
            .filter_map(|id| self.capacity.slot(id))
            .filter(|slot| {
                self.capacity.get(*slot).is_some_and(|machine| {
                    machine.free().covers(&request.resources)
                        && placement_allowed(&request.spec, &request.zones, &machine.state.offer)
                })
            })
    }
}

//! Probes of cordoned machines. A cordon is evidence of the past, so it needs new evidence to end:
//! single tasks that find no other capacity are placed on the machine, with pauses between them.

use crate::capacity_index::Slot;
use crate::ids::{MachineId, TaskRef};
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
    /// Any work.
    OfAnyJob,
}

impl Scheduler {
    /// Returns the cordoned machines that may be probed now.
    pub(super) fn find_machines_to_probe(&self, now: Now) -> Vec<MachineId> {
        let max_heartbeat_age_ms = self.max_heartbeat_age_ms();
        self.capacity
            .unschedulable()
            .filter(|id| {
                let machine = self.fleet.get(id);
                machine.is_some_and(|machine| machine.accepts_probe(now.ms, max_heartbeat_age_ms))
            })
            .cloned()
            .collect()
    }

    /// Places one task of unplaced work on a cordoned machine whose probe is due.
    pub(super) fn probe_machine(&mut self, now: Now, id: &MachineId, round: &mut Round) {
        let Some(slot) = self.capacity.slot(id) else {
            return;
        };
        let work = [ProbeWork::OfOtherJobs, ProbeWork::OfAnyJob]
            .into_iter()
            .find_map(|work| self.find_probe(slot, id, work, round));
        if let Some((index, task)) = work {
            self.place_probe(now, slot, task, &mut round.unplaced[index]);
        }
    }

    /// Returns the first unplaced work with a task that the machine fits, and the task.
    fn find_probe(
        &mut self,
        slot: Slot,
        id: &MachineId,
        work: ProbeWork,
        round: &Round,
    ) -> Option<(usize, TaskRef)> {
        self.pacing.examined += round.unplaced.len() as u64;
        round
            .unplaced
            .iter()
            .enumerate()
            .find_map(|(index, unplaced)| {
                let task = self.probe_task(slot, id, work, unplaced, round)?;
                Some((index, task))
            })
    }

    /// Returns a task of the unplaced work with which the machine may be probed.
    fn probe_task(
        &self,
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
        let fits = machine.free().covers(&job.task_request)
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

    /// Returns a cordoned machine for a task of a gang that has waited for too long. A gang can't
    /// send one task ahead, so all its tasks together are the probe.
    pub(super) fn machine_for_gang_probe(&self, request: &PlacementRequest) -> Option<Slot> {
        if !request.is_overdue || request.spec.kind != JobKind::Gang {
            return None;
        }
        self.probe_slots(request).next()
    }

    /// Returns the cordoned machines that fit a task of the request and whose probe was due when
    /// the round began.
    pub(in crate::scheduler) fn probe_slots<'a>(
        &'a self,
        request: &'a PlacementRequest,
    ) -> impl Iterator<Item = Slot> + 'a {
        let slots = self.machines_to_probe.iter();
        slots
            .filter_map(|id| self.capacity.slot(id))
            .filter(|slot| {
                self.capacity.get(*slot).is_some_and(|machine| {
                    machine.free().covers(&request.resources)
                        && placement_allowed(&request.spec, &request.zones, &machine.state.offer)
                })
            })
    }
}

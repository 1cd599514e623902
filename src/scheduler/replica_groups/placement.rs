//! Placement of replica groups. Either all parts of a group are placed, each on a different
//! machine, or none. All parts are placed in one zone unless the job has to be spread over
//! several zones.

use crate::capacity_index::Slot;
use crate::ids::{Attempt, JobId, TaskRef};
use crate::messages::Now;
use crate::placement::placement_allowed;
use crate::scheduler::replica_groups::evaluation::log_event;
use crate::scheduler::replica_groups::search::{GroupSearch, PartMachine, SearchScope};
use crate::scheduler::rounds::round::Round;
use crate::scheduler::rounds::task_placement::{PlacementRequest, MAX_TASKS_PER_ROUND};
use crate::scheduler::state::quotas::within_quota;
use crate::scheduler::Scheduler;
use lilacfork_replica_groups::registry::GroupId;
use lilacfork_replica_groups::shape::ReplicaIndex;
use std::collections::BTreeSet;

/// A part and the machine on which it is to be placed.
struct PartPlacement {
    task: u32,
    machine: PartMachine,
}

impl Scheduler {
    /// Places the waiting groups of a job in the order of their replicas. Groups without
    /// capacity are added to the round's unplaced work. Placement stops at the first group that
    /// exceeds the team's quota.
    pub(in crate::scheduler) fn place_groups(
        &mut self,
        now: Now,
        job_id: &JobId,
        deadline_wall_ms: u64,
        round: &mut Round,
    ) {
        let Some(mut request) = self.placement_request(now, job_id, deadline_wall_ms) else {
            return;
        };
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        request.zones = job.zone_counts();
        for replica in self.waiting_groups(now, job_id) {
            let id = GroupId::new(job_id, replica);
            let Some(tasks) = self.waiting_parts(&id) else {
                continue;
            };
            self.count_scanned(tasks.len());
            if !self.quota_allows_group(&request, tasks.len(), round) {
                let team = &request.spec.team;
                log::debug!("replica group waits for quota group={id} team={team}");
                if let Some(job) = self.jobs.get_mut(job_id).filter(|_| request.is_overdue) {
                    job.record_progress(now);
                }
                return;
            }
            self.place_group(now, &id, &tasks, &mut request, round);
        }
    }

    /// Returns the groups that wait for capacity and may start now, limited to the number that
    /// one round examines.
    fn waiting_groups(&self, now: Now, job_id: &JobId) -> Vec<ReplicaIndex> {
        let Some(groups) = self.groups.get(job_id) else {
            return Vec::new();
        };
        let max_groups = (MAX_TASKS_PER_ROUND / groups.shape().parts() as usize).max(1);
        let waiting = groups.iter().filter(|group| group.awaits_placement(now.ms));
        waiting
            .map(|group| group.replica())
            .take(max_groups)
            .collect()
    }

    /// Returns the tasks of a group that have to be placed. `None` if some are still on machines
    /// or all have completed.
    fn waiting_parts(&self, id: &GroupId) -> Option<Vec<u32>> {
        let job = self.jobs.get(&id.job)?;
        let tasks = job.shape?.tasks_of(id.replica);
        let live: Vec<u32> = tasks.filter(|task| !job.done.contains(task)).collect();
        let all_wait = live.iter().all(|task| job.pending.contains(task));
        (all_wait && !live.is_empty()).then_some(live)
    }

    /// Returns whether the team's quota allows all parts of a group.
    fn quota_allows_group(&self, request: &PlacementRequest, parts: usize, round: &Round) -> bool {
        let team = &request.spec.team;
        let mut used = self.team_usage(team, round);
        used.add(&request.resources.scaled(parts as f64 - 1.0));
        within_quota(&self.settings, team, &used, &request.resources)
    }

    /// Places one group. If there is no capacity, reserves the capacity of stopping tasks for
    /// the group or adds the group to the round's unplaced work.
    fn place_group(
        &mut self,
        now: Now,
        id: &GroupId,
        tasks: &[u32],
        request: &mut PlacementRequest,
        round: &mut Round,
    ) {
        let group = self.groups.group(id);
        let is_probe = group.is_some_and(|group| group.circuit_breaker().is_open());
        self.release_reservation(id);
        let may_use_forecast = !is_probe && self.settings.start_slo_ms(&request.spec).is_some();
        if let Some(placements) = self.plan_group(now, id, tasks, request, may_use_forecast) {
            self.bind_group(now, id, &placements, request);
            return;
        }
        self.reserve_for_group(now, id);
        if !is_probe {
            let unplaced = self.reserve_stopping_capacity_for_group(now, id, tasks, request);
            round.unplaced.extend(unplaced);
        }
    }

    /// Returns machines for all parts, and prefers the machines that are reserved for them. With
    /// `may_use_forecast`, capacity that is reserved for forecast demand is used if free
    /// capacity doesn't suffice.
    fn plan_group(
        &self,
        now: Now,
        id: &GroupId,
        tasks: &[u32],
        request: &PlacementRequest,
        may_use_forecast: bool,
    ) -> Option<Vec<PartPlacement>> {
        let reserved = self.usable_reservations(now, id, tasks, request);
        if !reserved.is_empty() {
            if let Some(placements) = self.plan_remaining_parts(id, tasks, request, reserved) {
                return Some(placements);
            }
        }
        let search = GroupSearch {
            id,
            request,
            count: tasks.len(),
            zone: None,
            excluded: &[],
        };
        let mut machines = self.find_machines(&search, SearchScope::Free);
        if machines.is_none() && may_use_forecast {
            machines = self.find_machines(&search, SearchScope::WithForecast);
        }
        if machines.is_none() && request.is_overdue {
            machines = self.find_machines(&search, SearchScope::WithWithheld);
        }
        Some(assign_machines(tasks, machines?))
    }

    /// Returns the reserved machines that still accept tasks and have enough capacity.
    fn usable_reservations(
        &self,
        now: Now,
        id: &GroupId,
        tasks: &[u32],
        request: &PlacementRequest,
    ) -> Vec<PartPlacement> {
        let Some(group) = self.groups.group(id) else {
            return Vec::new();
        };
        let mut zones = request.zones.clone();
        let mut placements = Vec::new();
        for target in group.reserved_targets(now.ms) {
            let Some(slot) = self.capacity.slot(&target.machine) else {
                continue;
            };
            let Some(machine) = self.capacity.get(slot) else {
                continue;
            };
            let offer = &machine.state.offer;
            let fits = self.accepts_parts(now, &target.machine)
                && placement_allowed(&request.spec, &zones, offer)
                && machine.free().covers(&request.resources);
            if fits && tasks.contains(&target.task) {
                zones.add(&offer.zone);
                placements.push(PartPlacement {
                    task: target.task,
                    machine: PartMachine::unranked(slot),
                });
            }
        }
        placements
    }

    /// Completes `reserved` with machines for the parts that have no reservation. `None` if there
    /// is no capacity for them.
    fn plan_remaining_parts(
        &self,
        id: &GroupId,
        tasks: &[u32],
        request: &PlacementRequest,
        reserved: Vec<PartPlacement>,
    ) -> Option<Vec<PartPlacement>> {
        let has_reservation = |task: u32| reserved.iter().any(|part| part.task == task);
        let remaining: Vec<u32> = tasks
            .iter()
            .copied()
            .filter(|task| !has_reservation(*task))
            .collect();
        let excluded: Vec<Slot> = reserved.iter().map(|part| part.machine.slot).collect();
        let mut remaining_request = PlacementRequest::without_placements(request);
        remaining_request.zones = request.zones.clone();
        for slot in &excluded {
            let zone = &self.capacity.get(*slot)?.state.offer.zone;
            remaining_request.zones.add(zone);
        }
        let zone = self.common_zone(&request.spec, &excluded);
        let search = GroupSearch {
            id,
            request: &remaining_request,
            count: remaining.len(),
            zone: zone.as_deref(),
            excluded: &excluded,
        };
        let machines = self.find_machines(&search, SearchScope::Free)?;
        let mut placements = reserved;
        placements.extend(assign_machines(&remaining, machines));
        Some(placements)
    }

    /// Binds all parts of a group in the same turn, so that a single write stores them.
    fn bind_group(
        &mut self,
        now: Now,
        id: &GroupId,
        placements: &[PartPlacement],
        request: &mut PlacementRequest,
    ) {
        let machines = placements.iter().map(|part| part.machine);
        for machine in machines.filter(|machine| machine.uses_forecast_reservation) {
            self.capacity.release_forecast(machine.slot);
        }
        if !self.is_valid_placement(now, placements, request) {
            log::error!("replica group placement invalid group={id}");
            return;
        }
        let Some(generation) = self.allocate_generation(id) else {
            return;
        };
        for PartPlacement { task, machine } in placements {
            let task = TaskRef {
                job: id.job.clone(),
                index: *task,
            };
            self.bind(now, &task, Some(generation), machine.slot, request);
            if let Some(machine) = self.capacity.get(machine.slot) {
                request.zones.add(&machine.state.offer.zone);
            }
        }
        let parts = placements.len();
        log::info!("replica group bound group={id} generation={generation} parts={parts}");
        if let Some(event) = self.groups.record_parts_bound(id) {
            log_event(id, event);
        }
    }

    /// Returns whether the machines are distinct, accept tasks or probes, and have enough capacity.
    fn is_valid_placement(
        &self,
        now: Now,
        placements: &[PartPlacement],
        request: &PlacementRequest,
    ) -> bool {
        let (job, need) = (&request.spec.id, &request.resources);
        let mut used = BTreeSet::new();
        placements.iter().all(|part| {
            let slot = part.machine.slot;
            let machine = self.capacity.get(slot);
            let machine = machine.and_then(|machine| self.fleet.get(&machine.id));
            let fits = machine.is_some_and(|machine| {
                let max_heartbeat_age_ms = self.max_heartbeat_age_ms();
                (machine.accepts_tasks(now.ms, max_heartbeat_age_ms)
                    || machine.accepts_probe(job, now.ms, max_heartbeat_age_ms))
                    && machine.free().covers(need)
            });
            used.insert(slot) && fits
        })
    }

    /// Allocates the attempt that all parts of the next generation share.
    fn allocate_generation(&mut self, id: &GroupId) -> Option<Attempt> {
        let job = self.jobs.get_mut(&id.job)?;
        let first = job.shape?.tasks_of(id.replica).start;
        job.allocate_attempt(first)
    }
}

/// Pairs tasks with machines in order.
fn assign_machines(tasks: &[u32], machines: Vec<PartMachine>) -> Vec<PartPlacement> {
    let pairs = tasks.iter().zip(machines);
    pairs
        .map(|(task, machine)| PartPlacement {
            task: *task,
            machine,
        })
        .collect()
}

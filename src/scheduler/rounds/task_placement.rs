//! Places the pending tasks of a job on free capacity, or reserves capacity that is being
//! freed for them.

use crate::capacity_index::{BestFit, Slot};
use crate::ids::{Attempt, JobId, MachineId, TaskRef};
use crate::messages::Now;
use crate::placement::{Resources, ZoneCounts};
use crate::scheduler::rounds::machine_choice::MachineChoice;
use crate::scheduler::rounds::round::{Round, Unplaced};
use crate::scheduler::state::quotas::within_quota;
use crate::scheduler::{Assignment, Job, Scheduler};
use crate::wire::users::{JobKind, JobSpec};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The maximum number of tasks of one job that one round examines. Gangs are exempt
/// because all their tasks are placed together.
pub(in crate::scheduler) const MAX_TASKS_PER_ROUND: usize = 512;

/// The requirements of the tasks of one job while a round places them.
pub(in crate::scheduler) struct PlacementRequest {
    pub(in crate::scheduler) spec: Rc<JobSpec>,
    pub(in crate::scheduler) resources: Resources,
    /// The zones of the tasks placed in this round and, if the job is a service or has a
    /// zone constraint, of its other tasks.
    pub(in crate::scheduler) zones: ZoneCounts,
    pub(in crate::scheduler) deadline_wall_ms: u64,
    /// Whether the job's circuit breaker is open. Only one task is then started, as a
    /// probe.
    pub(super) probing: bool,
    /// Whether the job has waited for so long that capacity reserved for forecast demand is used
    /// for it.
    pub(in crate::scheduler) is_overdue: bool,
    /// The cordoned machines that are used for the job if its tasks start together or its circuit
    /// breaker is open; empty unless the job is overdue.
    pub(super) cordoned_machines: Vec<MachineId>,
    /// The number of the job's replicas on each machine; empty unless the job is a
    /// service.
    pub(in crate::scheduler) siblings: BTreeMap<MachineId, u32>,
    /// The machine chosen for the previous task.
    pub(super) last_fit: Option<BestFit>,
    /// Whether displacement was tried for the previous task and failed.
    pub(super) displacement_failed: bool,
}

/// The numbers of a job's tasks by the outcome of their placement in a round.
#[derive(Default)]
struct PlacementCounts {
    /// Tasks bound to a machine.
    placed: usize,
    /// Tasks for which capacity is reserved that is still being freed.
    reserved: usize,
    /// Tasks that wait because their team's quota is used up.
    over_quota: usize,
}

impl PlacementCounts {
    /// Returns the number of tasks, out of `tasks`, that still need capacity.
    fn remaining(&self, tasks: usize) -> usize {
        tasks - self.placed - self.reserved - self.over_quota
    }
}

impl PlacementRequest {
    /// Creates the request for a job's pending tasks from the placements of its other
    /// tasks.
    pub(in crate::scheduler) fn new(job: &Job, deadline_wall_ms: u64) -> PlacementRequest {
        let mut siblings = BTreeMap::new();
        if job.is_service() {
            for assignment in job.assignments.values() {
                *siblings.entry(assignment.machine.clone()).or_insert(0) += 1;
            }
        }
        let zones_matter = job.is_service() || job.spec.spread || job.spec.same_zone;
        let zones = if zones_matter {
            job.zone_counts()
        } else {
            ZoneCounts::default()
        };
        PlacementRequest {
            spec: job.spec.clone(),
            resources: job.task_request,
            zones,
            deadline_wall_ms,
            probing: job.circuit_breaker.is_open(),
            is_overdue: false,
            cordoned_machines: Vec::new(),
            siblings,
            last_fit: None,
            displacement_failed: false,
        }
    }

    /// Copies a request without the placements of the job's other tasks.
    pub(in crate::scheduler) fn without_placements(other: &PlacementRequest) -> PlacementRequest {
        PlacementRequest {
            spec: other.spec.clone(),
            resources: other.resources,
            zones: ZoneCounts::default(),
            deadline_wall_ms: other.deadline_wall_ms,
            probing: other.probing,
            is_overdue: other.is_overdue,
            cordoned_machines: other.cordoned_machines.clone(),
            siblings: BTreeMap::new(),
            last_fit: None,
            displacement_failed: false,
        }
    }

    /// Converts the request to `count` unplaced tasks.
    fn into_unplaced(self, count: usize) -> Unplaced {
        Unplaced {
            spec: self.spec,
            count: count as u32,
            deadline_wall_ms: self.deadline_wall_ms,
            zones: self.zones,
            is_forecast: false,
            group: None,
        }
    }
}

impl Scheduler {
    /// Places the pending tasks of a job and returns those for which no capacity was
    /// found.
    pub(super) fn place_job(
        &mut self,
        now: Now,
        id: &JobId,
        deadline_wall_ms: u64,
        round: &mut Round,
    ) -> Option<Unplaced> {
        let mut request = self.placement_request(now, id, deadline_wall_ms)?;
        let job = self.jobs.get(id)?;
        let assigned = job.assignments.len();
        if request.probing && assigned > 0 {
            return None;
        }
        let is_gang = request.spec.kind == JobKind::Gang;
        let limit = if is_gang {
            usize::MAX
        } else if request.probing {
            1
        } else {
            MAX_TASKS_PER_ROUND
        };
        let tasks: Vec<u32> = job.pending.iter().copied().take(limit).collect();
        self.count_scanned(assigned + tasks.len());
        if is_gang && !self.gang_fits(&request, tasks.len(), round) {
            // The gang waits until a round can place all its tasks.
            return (!request.probing).then(|| request.into_unplaced(tasks.len()));
        }
        let counts = self.place_tasks(now, id, &tasks, &mut request, round);
        if request.probing {
            // A probe only uses free capacity: no capacity is reserved, provisioned or
            // preempted for it.
            return None;
        }
        let remaining = counts.remaining(tasks.len());
        let unplaced = self.reserve_stopping_capacity(&mut request, remaining);
        (unplaced > 0).then(|| request.into_unplaced(unplaced))
    }

    /// Creates the request for a waiting job's pending tasks. `None` if the job is unknown.
    pub(in crate::scheduler) fn placement_request(
        &mut self,
        now: Now,
        id: &JobId,
        deadline_wall_ms: u64,
    ) -> Option<PlacementRequest> {
        if self.jobs.get(id)?.waiting_since_ms.is_none() {
            self.jobs.get_mut(id)?.begin_waiting(now);
        }
        let job = self.jobs.get(id)?;
        let request = PlacementRequest::new(job, deadline_wall_ms);
        if !job.is_overdue(now) {
            return Some(request);
        }
        Some(PlacementRequest {
            is_overdue: true,
            cordoned_machines: self.cordoned_machines_for(now, id),
            ..request
        })
    }

    /// Places these tasks one by one until the quota or the capacity is exhausted.
    fn place_tasks(
        &mut self,
        now: Now,
        id: &JobId,
        tasks: &[u32],
        request: &mut PlacementRequest,
        round: &mut Round,
    ) -> PlacementCounts {
        let mut counts = PlacementCounts::default();
        let gang_attempt = self.gang_attempt(id, &request.spec);
        let team = request.spec.team.clone();
        let mut used = self.team_usage(&team, round);
        for index in tasks {
            if !within_quota(&self.settings, &team, &used, &request.resources) {
                // Provisioning would not help, because the team has to free resources
                // first.
                counts.over_quota = counts.remaining(tasks.len());
                let count = counts.over_quota;
                log::debug!("job waits for quota job={id} team={team} count={count}");
                if let Some(job) = self.jobs.get_mut(id).filter(|_| request.is_overdue) {
                    job.record_progress(now);
                }
                break;
            }
            let task = TaskRef {
                job: id.clone(),
                index: *index,
            };
            let slot = match self.choose_machine(now, request, &task) {
                MachineChoice::Reserved(slot) => {
                    if let Some(machine) = self.capacity.get(slot) {
                        self.migrations.targets.insert(task, machine.id.clone());
                    }
                    let reserved = round.reserved_by_team.entry(team.clone()).or_default();
                    reserved.add(&request.resources);
                    counts.reserved += 1;
                    slot
                }
                MachineChoice::Free(slot) => {
                    if self.bind(now, &task, gang_attempt, slot, request).is_none() {
                        break;
                    }
                    counts.placed += 1;
                    slot
                }
                MachineChoice::Unavailable => break,
            };
            if let Some(machine) = self.capacity.get(slot) {
                request.zones.add(&machine.state.offer.zone);
            }
            used.add(&request.resources);
        }
        counts
    }

    /// Allocates the attempt that all tasks of a gang share, by which the tasks find each
    /// other. Returns `None` if the job is not a gang.
    fn gang_attempt(&mut self, id: &JobId, spec: &JobSpec) -> Option<Attempt> {
        if spec.kind != JobKind::Gang {
            return None;
        }
        let job = self.jobs.get_mut(id)?;
        Some(job.placements.allocate_common_attempt())
    }

    /// Returns the resources that a team's tasks use, including the capacity reserved for
    /// the team in this round.
    pub(in crate::scheduler) fn team_usage(&self, team: &str, round: &Round) -> Resources {
        let mut used = self.jobs.used(team);
        if let Some(reserved) = round.reserved_by_team.get(team) {
            used.add(reserved);
        }
        used
    }

    /// Assigns a pending task to a machine. Returns `None` if the job or the machine
    /// doesn't allow it. The worker receives the start command after the assignment has
    /// been stored.
    pub(in crate::scheduler) fn bind(
        &mut self,
        now: Now,
        task: &TaskRef,
        shared_attempt: Option<Attempt>,
        slot: Slot,
        request: &mut PlacementRequest,
    ) -> Option<()> {
        let id = self.capacity.get(slot)?.id.clone();
        let max_heartbeat_age_ms = self.max_heartbeat_age_ms();
        let heartbeat_interval_ms = self.heartbeat_interval_ms();
        let job = self.jobs.get_mut(&task.job)?;
        let machine = self.fleet.get_mut(&id)?;
        // The job table and the fleet are authoritative; the capacity index is derived
        // from them.
        let possible = job.pending.contains(&task.index)
            && !job.has_open_dependencies
            && (machine.accepts_tasks(now.ms, max_heartbeat_age_ms)
                || machine.accepts_probe(&task.job, now.ms, max_heartbeat_age_ms))
            && machine.free().covers(&job.task_request);
        if !possible {
            log::error!("task placement invalid task={task} machine={id}");
            return None;
        }
        let attempt = shared_attempt.or_else(|| job.allocate_attempt(task.index))?;
        let image = &job.spec.image;
        log::debug!(
            "task placed task={task} attempt={attempt} machine={id} zone={} free_gpus={} \
             image_cached={}",
            machine.offer.zone,
            machine.free().gpus,
            machine.has_image(image)
        );
        if !machine.has_image(image) && !machine.pulling_images.contains_key(image) {
            machine.pulling_images.insert(image.clone(), 1);
        }
        let assignment = Assignment::new(
            attempt,
            id.clone(),
            machine.agent_epoch,
            machine.offer.zone.clone(),
        );
        job.pending.remove(&task.index);
        job.assignments.insert(task.index, assignment);
        job.mark_dirty(task.index, now.ms, true);
        job.record_progress(now);
        machine.assign(task.clone(), &job.task_request);
        if machine.faults.is_suspect() {
            log::info!("machine probed machine={id} task={task}");
            machine.faults.record_probe(now.ms, heartbeat_interval_ms);
        }
        if job.is_service() {
            *request.siblings.entry(id).or_insert(0) += 1;
        }
        // The search for the next task needs the machine's current state.
        self.refresh_capacity();
        Some(())
    }
}

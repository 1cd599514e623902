//! Places a job's pending tasks: on free capacity, or on capacity that is being freed
//! for them.

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

/// The most tasks of one job that one round examines.
pub(in crate::scheduler) const MAX_TASKS_PER_ROUND: usize = 512;

/// What the tasks of one job ask of a machine, while they are being placed.
pub(in crate::scheduler) struct PlacementRequest {
    pub(in crate::scheduler) spec: Rc<JobSpec>,
    pub(in crate::scheduler) resources: Resources,
    /// Where the job's tasks are, those placed in this round included.
    pub(in crate::scheduler) zones: ZoneCounts,
    pub(in crate::scheduler) deadline: u64,
    /// The job's circuit breaker is open: only one task probes whether it works again.
    pub(super) probing: bool,
    /// For a service: the number of its replicas on each machine.
    pub(in crate::scheduler) siblings: BTreeMap<MachineId, u32>,
    /// The machine chosen for the previous task.
    pub(super) last_fit: Option<BestFit>,
    /// No replica could be displaced for the previous task.
    pub(super) displacement_failed: bool,
}

/// How the tasks of a job fared in a round.
#[derive(Default)]
struct PlacementTally {
    /// Bound to a machine.
    placed: usize,
    /// Waiting for capacity that is being freed and is held for them.
    held: usize,
    /// Kept waiting by their team's limit.
    over_quota: usize,
}

impl PlacementTally {
    /// How many of so many tasks are still to be provided for.
    fn remaining(&self, tasks: usize) -> usize {
        tasks - self.placed - self.held - self.over_quota
    }
}

impl PlacementRequest {
    /// The request of a job's next tasks, given where its other tasks are.
    pub(in crate::scheduler) fn new(job: &Job, deadline: u64) -> PlacementRequest {
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
            deadline,
            probing: job.failures.is_open(),
            siblings,
            last_fit: None,
            displacement_failed: false,
        }
    }

    /// The same request of a job that has no tasks placed yet.
    pub(in crate::scheduler) fn without_placements(other: &PlacementRequest) -> PlacementRequest {
        PlacementRequest {
            spec: other.spec.clone(),
            resources: other.resources,
            zones: ZoneCounts::default(),
            deadline: other.deadline,
            probing: other.probing,
            siblings: BTreeMap::new(),
            last_fit: None,
            displacement_failed: false,
        }
    }

    /// The tasks of the job that found no capacity.
    fn into_unplaced(self, count: usize) -> Unplaced {
        Unplaced {
            spec: self.spec,
            count: count as u32,
            deadline: self.deadline,
            zones: self.zones,
            forecast: false,
            group: None,
        }
    }
}

impl Scheduler {
    /// Places the pending tasks of a job; returns those that found no capacity.
    pub(super) fn place_job(
        &mut self,
        now: Now,
        id: &JobId,
        deadline: u64,
        round: &mut Round,
    ) -> Option<Unplaced> {
        let job = self.jobs.get(id)?;
        let mut request = PlacementRequest::new(job, deadline);
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
            // A gang is placed as a whole, within one round, or waits.
            return (!request.probing).then(|| request.into_unplaced(tasks.len()));
        }
        let tally = self.place_tasks(now, id, &tasks, &mut request, round);
        if request.probing {
            // Nothing is held, provisioned or preempted for a probe.
            return None;
        }
        let remaining = tally.remaining(tasks.len());
        let unplaced = self.hold_freeing_capacity(&mut request, remaining);
        (unplaced > 0).then(|| request.into_unplaced(unplaced))
    }

    /// Places these tasks one by one, until the quota or the capacity is exhausted.
    fn place_tasks(
        &mut self,
        now: Now,
        id: &JobId,
        tasks: &[u32],
        request: &mut PlacementRequest,
        round: &mut Round,
    ) -> PlacementTally {
        let mut tally = PlacementTally::default();
        let gang_attempt = self.gang_attempt(id, &request.spec);
        let team = request.spec.team.clone();
        let mut used = self.team_usage(&team, round);
        for index in tasks {
            if !within_quota(&self.settings, &team, &used, &request.resources) {
                // Provisioning wouldn't help: its team has to free resources first.
                tally.over_quota = tally.remaining(tasks.len());
                let count = tally.over_quota;
                log::debug!("job waits for quota job={id} team={team} count={count}");
                break;
            }
            let task = TaskRef {
                job: id.clone(),
                index: *index,
            };
            let slot = match self.choose_machine(now, request, &task) {
                MachineChoice::Held(slot) => {
                    if let Some(machine) = self.capacity.get(slot) {
                        self.migrations.targets.insert(task, machine.id.clone());
                    }
                    let held = round.held_by_team.entry(team.clone()).or_default();
                    held.add(&request.resources);
                    tally.held += 1;
                    slot
                }
                MachineChoice::Free(slot) => {
                    if self.bind(now, &task, gang_attempt, slot, request).is_none() {
                        break;
                    }
                    tally.placed += 1;
                    slot
                }
                MachineChoice::Unavailable => break,
            };
            if let Some(machine) = self.capacity.get(slot) {
                request.zones.add(&machine.state.offer.zone);
            }
            used.add(&request.resources);
        }
        tally
    }

    /// The attempt that the tasks of a gang share, by which they find each other.
    fn gang_attempt(&mut self, id: &JobId, spec: &JobSpec) -> Option<Attempt> {
        if spec.kind != JobKind::Gang {
            return None;
        }
        let job = self.jobs.get_mut(id)?;
        Some(job.placements.common_attempt())
    }

    /// What a team's tasks use, with what is held for the team in this round.
    pub(in crate::scheduler) fn team_usage(&self, team: &str, round: &Round) -> Resources {
        let mut used = self.jobs.used(team);
        if let Some(held) = round.held_by_team.get(team) {
            used.add(held);
        }
        used
    }

    /// Binds a pending task to a machine; `None`: that isn't possible. The worker is
    /// told once the assignment is stored.
    pub(in crate::scheduler) fn bind(
        &mut self,
        now: Now,
        task: &TaskRef,
        shared_attempt: Option<Attempt>,
        slot: Slot,
        request: &mut PlacementRequest,
    ) -> Option<()> {
        let id = self.capacity.get(slot)?.id.clone();
        let fresh_ms = self.fresh_ms();
        let job = self.jobs.get_mut(&task.job)?;
        let machine = self.fleet.get_mut(&id)?;
        // The job table and the fleet decide, whatever the capacity index says.
        let possible = job.pending.contains(&task.index)
            && !job.has_open_dependencies
            && machine.accepts_tasks(now.ms, fresh_ms)
            && machine.free().covers(&job.task_request);
        if !possible {
            log::error!("task placement invalid task={task} machine={id}");
            return None;
        }
        let attempt = shared_attempt.or_else(|| job.next_attempt(task.index))?;
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
        machine.assign(task.clone(), &job.task_request);
        if job.is_service() {
            *request.siblings.entry(id).or_insert(0) += 1;
        }
        // The next task has to see the machine as it is now.
        self.refresh_capacity();
        Some(())
    }
}

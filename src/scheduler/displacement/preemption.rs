//! Preemption: tasks are stopped for more important work.

use crate::capacity_index::{MachineCapacity, Slot};
use crate::ids::TaskRef;
use crate::messages::Now;
use crate::placement::{offer_allowed, Resources};
use crate::scheduler::displacement::image_displacement::CANDIDATES_PER_GROUP;
use crate::scheduler::rounds::round::Unplaced;
use crate::scheduler::{Assignment, Job, Scheduler};
use crate::wire::users::JobSpec;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Work lost by a task that was started recently counts this many times.
const RECENT_START_FACTOR: f64 = 2.0;
/// Added to the cost of each victim, so that fewer victims are preferred.
const VICTIM_COST_S: f64 = 1.0;

/// A task that may be preempted.
struct Victim {
    task: TaskRef,
    resources: Resources,
    /// Seconds of work that preempting it costs.
    cost_s: f64,
    /// It saves a checkpoint before it stops.
    checkpoints: bool,
}

/// What making place on a machine would cost, and the tasks that have to stop.
pub(in crate::scheduler) struct PreemptionPlan {
    /// Seconds of work lost, and of pulling the image.
    pub(in crate::scheduler) cost_s: f64,
    victims: Vec<Victim>,
}

/// A machine on which tasks could be preempted.
pub(in crate::scheduler) struct PreemptionCandidate {
    pub(in crate::scheduler) slot: Slot,
    /// `None`: it doesn't fit one more task even with preemption.
    pub(in crate::scheduler) plan: Option<PreemptionPlan>,
}

/// The candidate that was chosen for a task.
struct ChosenCandidate {
    index: usize,
    cost_s: f64,
    zone: Rc<str>,
}

impl Scheduler {
    /// Preempts tasks of less important jobs where that gives capacity to work with a
    /// start objective sooner than provisioning would. A preempted task saves a
    /// checkpoint first, if it can, and is queued again.
    pub(in crate::scheduler) fn preempt(&mut self, now: Now, unplaced: &mut Unplaced) {
        if unplaced.forecast || self.settings.start_slo_ms(&unplaced.spec).is_none() {
            return;
        }
        self.refresh(now);
        if let Some(demand) = unplaced.group.clone() {
            self.preempt_for_group(now, unplaced, &demand);
            return;
        }
        let mut candidates = self.preemption_candidates(now, unplaced);
        while unplaced.count > 0 {
            self.count_scanned(candidates.len());
            let Some(chosen) = self.cheapest_candidate(&candidates, unplaced) else {
                return;
            };
            let candidate = &mut candidates[chosen.index];
            let slot = candidate.slot;
            let plan = candidate.plan.take();
            self.carry_out_preemption(now, slot, plan, &unplaced.spec);
            self.refresh(now);
            // Only the chosen candidate has changed for the job's next task.
            candidates[chosen.index].plan = self.preemption_plan(now, slot, unplaced);
            unplaced.zones.add(&chosen.zone);
            unplaced.count -= 1;
        }
    }

    /// Stops the victims on a machine and holds the capacity for one task.
    pub(in crate::scheduler) fn carry_out_preemption(
        &mut self,
        now: Now,
        slot: Slot,
        plan: Option<PreemptionPlan>,
        spec: &JobSpec,
    ) {
        let victims = plan.map(|plan| plan.victims).unwrap_or_default();
        for victim in victims {
            let Victim {
                task, checkpoints, ..
            } = victim;
            let job = &spec.id;
            log::info!("task preempted task={task} job={job} checkpoint={checkpoints}");
            self.stop_task(now, &task, checkpoints);
        }
        self.capacity.hold(slot, &spec.task_request());
    }

    /// Machines that run less important tasks, those with the image first, and those
    /// on which tasks are being stopped already.
    pub(in crate::scheduler) fn preemption_candidates(
        &mut self,
        now: Now,
        unplaced: &Unplaced,
    ) -> Vec<PreemptionCandidate> {
        let spec = &unplaced.spec;
        let runs_less_important =
            |machine: &MachineCapacity| machine.state.least_important > Some(spec.priority);
        let with_image = self
            .capacity
            .with_image(spec, &unplaced.zones, CANDIDATES_PER_GROUP)
            .filter(|(_, machine)| runs_less_important(machine));
        let others = self.capacity.stoppable(spec, CANDIDATES_PER_GROUP);
        let slots: BTreeSet<Slot> = with_image
            .chain(others)
            .chain(self.capacity.stopping_tasks())
            .map(|(slot, _)| slot)
            .collect();
        let candidates: Vec<PreemptionCandidate> = slots
            .into_iter()
            .map(|slot| PreemptionCandidate {
                slot,
                plan: self.preemption_plan(now, slot, unplaced),
            })
            .filter(|candidate| candidate.plan.is_some())
            .collect();
        self.pacing.examined += candidates.len() as u64;
        candidates
    }

    /// The cheapest candidate in a zone that the work allows.
    fn cheapest_candidate(
        &self,
        candidates: &[PreemptionCandidate],
        unplaced: &Unplaced,
    ) -> Option<ChosenCandidate> {
        let mut cheapest: Option<ChosenCandidate> = None;
        for (index, candidate) in candidates.iter().enumerate() {
            let (Some(plan), Some(machine)) = (&candidate.plan, self.capacity.get(candidate.slot))
            else {
                continue;
            };
            let zone = &machine.state.offer.zone;
            let cheaper = cheapest
                .as_ref()
                .is_none_or(|cheapest| plan.cost_s < cheapest.cost_s);
            if cheaper && unplaced.zones.allows(&unplaced.spec, zone) {
                cheapest = Some(ChosenCandidate {
                    index,
                    cost_s: plan.cost_s,
                    zone: zone.clone(),
                });
            }
        }
        cheapest
    }

    /// The tasks of less important jobs on a machine whose preemption costs least and
    /// frees enough for one task. Where saving a checkpoint would make the waiting work
    /// miss its objective and stopping at once would not, tasks go back to their last
    /// checkpoint instead.
    fn preemption_plan(&self, now: Now, slot: Slot, unplaced: &Unplaced) -> Option<PreemptionPlan> {
        let machine = self.capacity.get(slot)?;
        if !offer_allowed(&unplaced.spec, &machine.state.offer) {
            return None;
        }
        let pull_s = self.expected_pull_s(machine, &unplaced.spec)?;
        let slack_s = (unplaced.deadline as f64 - now.wall as f64) / 1000.0;
        let need = unplaced.spec.task_request();
        let mut free = machine.free_after_stops();
        let mut plan = PreemptionPlan {
            cost_s: pull_s,
            victims: Vec::new(),
        };
        if free.covers(&need) {
            return Some(plan);
        }
        let mut victims = self.victims(now, machine, &unplaced.spec, slack_s - pull_s);
        victims.sort_by(|a, b| a.cost_s.total_cmp(&b.cost_s));
        for victim in victims {
            if free.covers(&need) {
                break;
            }
            free.add(&victim.resources);
            plan.cost_s += victim.cost_s;
            plan.victims.push(victim);
        }
        free.covers(&need).then_some(plan)
    }

    /// The tasks of a machine that may be preempted for this work, which can wait for
    /// `slack_s` without missing its objective.
    fn victims(
        &self,
        now: Now,
        machine: &MachineCapacity,
        spec: &JobSpec,
        slack_s: f64,
    ) -> Vec<Victim> {
        let machine = self.fleet.get(&machine.id);
        machine
            .into_iter()
            .flat_map(|machine| &machine.tasks)
            .filter_map(|task| {
                let job = self.jobs.get(&task.job)?;
                let assignment = job.assignments.get(&task.index)?;
                let preemptible = assignment.stop.is_none() && job.spec.priority > spec.priority;
                preemptible.then(|| self.victim(now, task, job, assignment, slack_s))
            })
            .collect()
    }

    /// What preempting a task costs, and whether it can save a checkpoint first.
    fn victim(
        &self,
        now: Now,
        task: &TaskRef,
        job: &Job,
        assignment: &Assignment,
        slack_s: f64,
    ) -> Victim {
        let handover_s = self.handover_s();
        let ran_ms = assignment
            .running_since_ms
            .map_or(0, |since_ms| now.ms - since_ms);
        let ran_s = ran_ms as f64 / 1000.0;
        let interval_s = job.spec.checkpoint_interval_s;
        let has_checkpoints = interval_s > 0.0;
        let save_s = job.spec.checkpoint_save_s;
        let saved_in_time = handover_s + save_s <= slack_s;
        // Where even an immediate stop would be too late, saving does no harm.
        let checkpoints = has_checkpoints && (saved_in_time || slack_s < handover_s);
        let lost_s = if checkpoints {
            save_s
        } else if has_checkpoints {
            ran_s % interval_s
        } else {
            ran_s
        };
        let started_recently = assignment.running_since_ms.is_some() && ran_ms < self.settled_ms();
        let factor = if started_recently {
            RECENT_START_FACTOR
        } else {
            1.0
        };
        // If one part of a replica stops, all of it does.
        let parts = job.shape.map_or(1.0, |shape| f64::from(shape.parts()));
        Victim {
            task: task.clone(),
            resources: job.task_request,
            cost_s: (lost_s * factor + VICTIM_COST_S) * parts,
            checkpoints,
        }
    }
}

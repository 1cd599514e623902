//! Preemption: stops tasks of lower priority to free capacity for work of higher
//! priority.

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

/// The factor by which the lost work of a recently started task is multiplied.
const RECENT_START_FACTOR: f64 = 2.0;
/// The cost added for each victim, so that plans with fewer victims are preferred.
const VICTIM_COST_S: f64 = 1.0;

/// A task that may be preempted.
struct Victim {
    task: TaskRef,
    resources: Resources,
    /// The cost of preempting the task, in seconds of lost work.
    cost_s: f64,
    /// Whether the task saves a checkpoint before it stops.
    saves_checkpoint: bool,
}

/// The tasks to preempt on a machine so that it fits one more task, and their cost.
pub(in crate::scheduler) struct PreemptionPlan {
    /// The cost of all victims plus the time to pull the image.
    pub(in crate::scheduler) cost_s: f64,
    victims: Vec<Victim>,
}

/// A machine on which tasks could be preempted.
pub(in crate::scheduler) struct PreemptionCandidate {
    pub(in crate::scheduler) slot: Slot,
    /// `None` if the machine doesn't fit one more task even with preemption.
    pub(in crate::scheduler) plan: Option<PreemptionPlan>,
}

/// The candidate that was chosen for a task.
struct ChosenCandidate {
    index: usize,
    cost_s: f64,
    zone: Rc<str>,
}

impl Scheduler {
    /// Preempts tasks of lower priority for unplaced work that has a start objective,
    /// because preemption frees capacity sooner than provisioning. A preempted task saves
    /// a checkpoint first if time allows, and is queued again.
    pub(in crate::scheduler) fn preempt(&mut self, now: Now, unplaced: &mut Unplaced) {
        if unplaced.is_forecast || self.settings.start_slo_ms(&unplaced.spec).is_none() {
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
            // Of all candidates, only the chosen one has changed.
            candidates[chosen.index].plan = self.preemption_plan(now, slot, unplaced);
            unplaced.zones.add(&chosen.zone);
            unplaced.count -= 1;
        }
    }

    /// Stops the victims on a machine and reserves the capacity for one task.
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
                task,
                saves_checkpoint,
                ..
            } = victim;
            let job = &spec.id;
            log::info!("task preempted task={task} job={job} checkpoint={saves_checkpoint}");
            self.stop_task(now, &task, saves_checkpoint);
        }
        self.capacity.reserve(slot, &spec.task_request());
    }

    /// Returns the machines on which the work could be placed by preemption: those that
    /// run tasks of lower priority, with and without the image, and those on which tasks
    /// are already stopping.
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
        let others = self
            .capacity
            .with_preemptible_tasks(spec, CANDIDATES_PER_GROUP);
        let slots: BTreeSet<Slot> = with_image
            .chain(others)
            .chain(self.capacity.with_stopping_tasks())
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

    /// Returns the candidate with the lowest cost in a zone that the work allows.
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

    /// Selects tasks of lower priority on a machine, in order of their preemption cost,
    /// until enough capacity is free for one task. A task is stopped without saving a
    /// checkpoint, and later resumes from its last one, if the waiting work would miss its
    /// objective with the save and meet it without.
    fn preemption_plan(&self, now: Now, slot: Slot, unplaced: &Unplaced) -> Option<PreemptionPlan> {
        let machine = self.capacity.get(slot)?;
        if !offer_allowed(&unplaced.spec, &machine.state.offer) {
            return None;
        }
        let pull_s = self.expected_pull_s(machine, &unplaced.spec)?;
        let slack_s = (unplaced.deadline_wall_ms as f64 - now.wall_ms as f64) / 1000.0;
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

    /// Returns the tasks of a machine that may be preempted for this work. The work can
    /// wait for `slack_s` without missing its objective.
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

    /// Computes the cost of preempting a task and whether the task saves a checkpoint
    /// first.
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
        // If even an immediate stop would be too late, saving a checkpoint costs the
        // waiting work nothing.
        let saves_checkpoint = has_checkpoints && (saved_in_time || slack_s < handover_s);
        let lost_s = if saves_checkpoint {
            save_s
        } else if has_checkpoints {
            ran_s % interval_s
        } else {
            ran_s
        };
        let started_recently =
            assignment.running_since_ms.is_some() && ran_ms < self.success_after_ms();
        let factor = if started_recently {
            RECENT_START_FACTOR
        } else {
            1.0
        };
        // Stopping one part of a replica stops all its parts.
        let parts = job.shape.map_or(1.0, |shape| f64::from(shape.parts()));
        Victim {
            task: task.clone(),
            resources: job.task_request,
            cost_s: (lost_s * factor + VICTIM_COST_S) * parts,
            saves_checkpoint,
        }
    }
}

//! Tasks stopped for more important work.

use crate::capacity_index::{MachineCapacity, Slot};
use crate::ids::TaskRef;
use crate::messages::Now;
use crate::placement::{offer_allowed, Resources};
use crate::scheduler::displacement::image_displacement::MOST_CANDIDATES;
use crate::scheduler::rounds::round::Unplaced;
use crate::scheduler::{Assignment, Job, Scheduler};
use crate::wire::users::JobSpec;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A task that may be stopped for the waiting work.
pub(in crate::scheduler) struct Victim {
    task: TaskRef,
    need: Resources,
    /// Seconds of work that stopping it costs.
    cost_s: f64,
    /// It may save first.
    saves: bool,
}

/// What making room on a machine would cost, in seconds.
pub(in crate::scheduler) struct PreemptionPlan {
    pub(in crate::scheduler) cost_s: f64,
    victims: Vec<Victim>,
}

/// A machine that could make room.
pub(in crate::scheduler) struct PreemptionCandidate {
    pub(in crate::scheduler) slot: Slot,
    pub(in crate::scheduler) offer: Option<PreemptionPlan>,
}

impl Scheduler {
    /// Stops tasks of less important jobs where that gives room to work with
    /// a wait objective sooner than a rental would. What is stopped saves
    /// first, if it can, and waits again in the queue.
    pub(in crate::scheduler) fn preempt(&mut self, now: Now, waiting: &mut Unplaced) {
        if waiting.forecast || self.settings.start_slo_ms(&waiting.spec).is_none() {
            return;
        }
        self.refresh(now);
        if let Some(demand) = waiting.group.clone() {
            self.preempt_for_group(now, waiting, &demand);
            return;
        }
        let mut candidates = self.preemption_candidates(now, waiting);
        while waiting.count > 0 {
            self.count_scanned(candidates.len());
            let Some((index, zone)) = self.cheapest_candidate(&candidates, waiting) else {
                return;
            };
            let candidate = &mut candidates[index];
            let slot = candidate.slot;
            let offer = candidate.offer.take();
            self.carry_out_preemption(now, slot, offer, &waiting.spec);
            self.refresh(now);
            // Only the one that was chosen has to be examined again for the next
            // task of the job.
            candidates[index].offer = self.preemption_offer(now, slot, waiting);
            waiting.zones.add(&zone);
            waiting.count -= 1;
        }
    }

    /// Stops what has to give way on a machine, and holds the room.
    pub(in crate::scheduler) fn carry_out_preemption(
        &mut self,
        now: Now,
        slot: Slot,
        offer: Option<PreemptionPlan>,
        spec: &JobSpec,
    ) {
        let victims = offer.map(|offer| offer.victims);
        for victim in victims.into_iter().flatten() {
            let Victim { task, saves, .. } = victim;
            log::info!("task {task} gives way to {} saves={saves}", spec.id);
            self.stop_task(now, &task, saves);
        }
        self.capacity.hold(slot, &spec.task_request());
    }

    /// Machines that run something less important, those with the image first, and
    /// those on which something is being stopped anyway.
    pub(in crate::scheduler) fn preemption_candidates(
        &mut self,
        now: Now,
        waiting: &Unplaced,
    ) -> Vec<PreemptionCandidate> {
        let spec = &waiting.spec;
        let less_important =
            |room: &MachineCapacity| room.state.least_important > Some(spec.priority);
        let warm = self
            .capacity
            .with_image(spec, &waiting.zones, MOST_CANDIDATES);
        let warm = warm.filter(|(_, room)| less_important(room));
        let others = self.capacity.stoppable(spec, MOST_CANDIDATES);
        let slots: BTreeSet<Slot> = warm
            .chain(others)
            .chain(self.capacity.stopping_tasks())
            .map(|(slot, _)| slot)
            .collect();
        let offers = slots.into_iter().map(|slot| PreemptionCandidate {
            slot,
            offer: self.preemption_offer(now, slot, waiting),
        });
        let candidates: Vec<PreemptionCandidate> = offers.filter(|c| c.offer.is_some()).collect();
        self.pacing.examined += candidates.len() as u64;
        candidates
    }

    fn cheapest_candidate(
        &self,
        candidates: &[PreemptionCandidate],
        waiting: &Unplaced,
    ) -> Option<(usize, Rc<str>)> {
        let mut best: Option<(f64, usize, Rc<str>)> = None;
        for (index, candidate) in candidates.iter().enumerate() {
            let (Some(offer), Some(room)) = (&candidate.offer, self.capacity.get(candidate.slot))
            else {
                continue;
            };
            let zone = &room.state.offer.zone;
            let better = best
                .as_ref()
                .is_none_or(|(least, ..)| offer.cost_s < *least);
            if better && waiting.zones.allows(&waiting.spec, zone) {
                best = Some((offer.cost_s, index, zone.clone()));
            }
        }
        best.map(|(_, index, zone)| (index, zone))
    }

    /// The tasks of less important jobs whose stop costs least and makes room
    /// on this machine. Where saving would cost the waiting work its aim and
    /// stopping at once would not, tasks go back to their last checkpoint instead.
    fn preemption_offer(&self, now: Now, slot: Slot, waiting: &Unplaced) -> Option<PreemptionPlan> {
        let room = self.capacity.get(slot)?;
        if !offer_allowed(&waiting.spec, &room.state.offer) {
            return None;
        }
        let fetch_s = self.missed_s(room, &waiting.spec)?;
        let slack_s = (waiting.deadline as f64 - now.wall as f64) / 1000.0;
        let need = waiting.spec.task_request();
        let mut free = room.free_after_stops();
        let mut offer = PreemptionPlan {
            cost_s: fetch_s,
            victims: Vec::new(),
        };
        if free.covers(&need) {
            return Some(offer);
        }
        let mut victims = self.victims(now, room, &waiting.spec, slack_s - fetch_s);
        victims.sort_by(|a, b| a.cost_s.total_cmp(&b.cost_s));
        for victim in victims {
            if free.covers(&need) {
                break;
            }
            free.add(&victim.need);
            offer.cost_s += victim.cost_s;
            offer.victims.push(victim);
        }
        free.covers(&need).then_some(offer)
    }

    /// The tasks of a machine that may be stopped for this work.
    fn victims(
        &self,
        now: Now,
        room: &MachineCapacity,
        spec: &JobSpec,
        patience_s: f64,
    ) -> Vec<Victim> {
        let tasks = self.fleet.get(&room.id).into_iter().flat_map(|m| &m.tasks);
        let victims = tasks.filter_map(|task| {
            let job = self.jobs.get(&task.job)?;
            let assign = job.assignments.get(&task.index)?;
            let stoppable = assign.stop.is_none() && job.spec.priority > spec.priority;
            stoppable.then(|| self.victim(now, task, job, assign, patience_s))
        });
        victims.collect()
    }

    fn victim(
        &self,
        now: Now,
        task: &TaskRef,
        job: &Job,
        assign: &Assignment,
        patience_s: f64,
    ) -> Victim {
        let handover_s = self.handover_s();
        let ran_ms = assign.running_since_ms.map_or(0, |at| now.ms - at);
        let ran_s = ran_ms as f64 / 1000.0;
        let checkpoint_s = job.spec.checkpoint_interval_s;
        let in_time = handover_s + job.spec.checkpoint_save_s <= patience_s;
        let saves = checkpoint_s > 0.0 && (in_time || patience_s < handover_s);
        // Lost work in seconds; a start that was just made counts twice.
        let lost_s = match (saves, checkpoint_s > 0.0) {
            (true, _) => job.spec.checkpoint_save_s,
            (false, true) => ran_s % checkpoint_s,
            (false, false) => ran_s,
        };
        let fresh = assign.running_since_ms.is_some() && ran_ms < self.settled_ms();
        let times = if fresh { 2.0 } else { 1.0 };
        // With one part its whole replica stops.
        let parts = job.shape.map_or(1.0, |shape| f64::from(shape.parts()));
        Victim {
            task: task.clone(),
            need: job.task_request,
            cost_s: (lost_s * times + 1.0) * parts,
            saves,
        }
    }
}

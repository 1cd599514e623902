//! Propagation of deadlines and priorities through a pipeline. Only the last job of a
//! pipeline has a deadline. Each earlier job inherits that deadline, less the expected
//! duration of the later jobs, and the priority of its dependents.

use crate::ids::JobId;
use crate::messages::Now;
use crate::scheduler::Scheduler;
use crate::wire::users::{JobSpec, Priority};
use lilacfork_dependencies::propagation::StageUrgency;
use std::rc::Rc;

impl Scheduler {
    /// Returns the urgency that a job passes on to its dependencies; `None` if the job
    /// is cancelled or unknown.
    fn urgency_for_dependencies(&self, id: &JobId) -> Option<StageUrgency<Priority>> {
        let job = self
            .jobs
            .get(id)
            .filter(|job| job.cancelled_wall_ms.is_none())?;
        let multiples = self.settings.deadline_multiples(&job.spec.class);
        let deadline_ms = job.spec.deadline_s.map(|seconds| seconds * 1000.0);
        let deadline =
            |multiple: &f64| Some(job.submitted_wall_ms + (deadline_ms? * multiple) as u64);
        let own = StageUrgency {
            priority: job.own_priority,
            deadlines_wall_ms: multiples.iter().filter_map(deadline).collect(),
        };
        let urgency = match job.inherited_urgency.clone() {
            Some(inherited) => own.merge(inherited),
            None => own,
        };
        // The end of the job has to be reported and stored before the next job may
        // start, which takes up to one heartbeat interval.
        let expected_duration_ms = (self.estimates.expected_stage_s(&job.spec) * 1000.0) as u64
            + self.heartbeat_interval_ms();
        Some(urgency.for_predecessor(expected_duration_ms))
    }

    /// Recomputes the inherited urgency of jobs whose dependents have changed, and of
    /// their dependencies in turn.
    pub(super) fn propagate_urgency(&mut self, mut changed: Vec<JobId>) {
        while let Some(id) = changed.pop() {
            let inherited = self
                .dependencies
                .graph
                .dependents_of(&id)
                .filter_map(|dependent| self.urgency_for_dependencies(dependent))
                .reduce(StageUrgency::merge);
            self.pacing.examined += 1;
            let job = self.jobs.get(&id);
            if job.is_some_and(|job| job.inherited_urgency != inherited) {
                self.set_inherited_urgency(&id, inherited);
                changed.extend(self.dependencies.graph.open_dependencies_of(&id).cloned());
            }
        }
    }

    fn set_inherited_urgency(&mut self, id: &JobId, inherited: Option<StageUrgency<Priority>>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.inherited_urgency = inherited;
        if job.inherited_urgency.is_none() {
            let own_priority = job.own_priority;
            self.set_effective_priority(id, own_priority);
        }
    }

    /// Raises a job to the priority of its dependents once it might miss the inherited
    /// deadline even on a newly provisioned machine. Until then the job keeps its own
    /// priority: otherwise a small job of low priority would displace jobs that others
    /// wait for.
    pub(in crate::scheduler) fn raise_priority_if_late(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(urgency) = &job.inherited_urgency else {
            return;
        };
        let boot_and_run_s = self.estimates.expected_stage_s(&job.spec) + self.slowest_boot_s();
        let expected_end_wall_ms = now.wall_ms + (boot_and_run_s * 1000.0) as u64;
        let first_deadline = urgency.deadlines_wall_ms.first();
        let is_at_risk = first_deadline.is_some_and(|deadline| *deadline < expected_end_wall_ms);
        if is_at_risk && urgency.priority < job.spec.priority {
            let priority = urgency.priority;
            self.set_effective_priority(id, priority);
        }
    }

    /// Sets the priority by which a job is scheduled, which may differ from the priority
    /// that its user gave it.
    fn set_effective_priority(&mut self, id: &JobId, priority: Priority) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.spec.priority == priority {
            return;
        }
        job.spec = Rc::new(JobSpec {
            priority,
            ..JobSpec::clone(&job.spec)
        });
        for assignment in job.assignments.values() {
            // The capacity index holds the preemptible tasks of each machine, so the
            // machine has to be marked as changed.
            self.fleet.get_mut(&assignment.machine);
        }
        self.pacing.requested = true;
    }
}

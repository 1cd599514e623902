//! A pipeline has one deadline, at its end. Earlier jobs inherit it, less the time
//! that the later jobs are expected to take, and the priority of their dependents.

use crate::ids::JobId;
use crate::messages::Now;
use crate::scheduler::Scheduler;
use crate::wire::users::{JobSpec, Priority};
use lilacfork_dependencies::propagation::StageUrgency;
use std::rc::Rc;

impl Scheduler {
    /// How urgent a job makes its dependencies.
    fn urgency_for_dependencies(&self, id: &JobId) -> Option<StageUrgency<Priority>> {
        let job = self.jobs.get(id).filter(|job| job.cancelled.is_none())?;
        let multiples = self.settings.deadline_multiples(&job.spec.class);
        let deadline_ms = job.spec.deadline_s.map(|seconds| seconds * 1000.0);
        let deadline = |multiple: &f64| Some(job.submitted + (deadline_ms? * multiple) as u64);
        let own = StageUrgency {
            priority: job.own_priority,
            deadlines_wall_ms: multiples.iter().filter_map(deadline).collect(),
        };
        let urgency = match job.inherited_urgency.clone() {
            Some(inherited) => own.merge(inherited),
            None => own,
        };
        // Its end has to be reported and stored before the next job may start.
        let takes_ms = (self.estimates.expected_stage_s(&job.spec) * 1000.0) as u64
            + self.heartbeat_interval_ms();
        Some(urgency.for_predecessor(takes_ms))
    }

    /// The dependents of these jobs have changed: works out anew how urgent the jobs
    /// are, and their dependencies in turn.
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

    /// A job that others depend on keeps its own priority as long as there is time: a
    /// small job of low priority would otherwise displace what others wait for. Once
    /// a machine that is provisioned for it might come too late, it is served by the
    /// priority of its dependents.
    pub(in crate::scheduler) fn raise_priority_if_late(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(urgency) = &job.inherited_urgency else {
            return;
        };
        let takes_s = self.estimates.expected_stage_s(&job.spec) + self.slowest_boot_s();
        let expected_end = now.wall_ms + (takes_s * 1000.0) as u64;
        let first_deadline = urgency.deadlines_wall_ms.first();
        let is_pressed = first_deadline.is_some_and(|deadline| *deadline < expected_end);
        if is_pressed && urgency.priority < job.spec.priority {
            let priority = urgency.priority;
            self.set_effective_priority(id, priority);
        }
    }

    /// Sets the priority that a job is served by.
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
            // Which of a machine's tasks may be preempted is indexed by machine.
            self.fleet.get_mut(&assignment.machine);
        }
        self.pacing.requested = true;
    }
}

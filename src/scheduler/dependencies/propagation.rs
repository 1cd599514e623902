//! A pipeline has one deadline, at its end. What comes before inherits it, less what
//! the later jobs are expected to take, and the priority of what needs it.

use crate::ids::JobId;
use crate::messages::Now;
use crate::scheduler::Scheduler;
use crate::wire::users::{JobSpec, Priority};
use lilacfork_dependencies::propagation::StageUrgency;
use std::rc::Rc;

impl Scheduler {
    /// How urgent a job makes those that it needs.
    fn urgency_for_dependencies(&self, id: &JobId) -> Option<StageUrgency<Priority>> {
        let job = self.jobs.get(id).filter(|job| job.cancelled.is_none())?;
        let times = self.settings.deadline_multiples(&job.spec.class);
        let deadline_ms = job.spec.deadline_s.map(|s| s * 1000.0);
        let date = |times: &f64| Some(job.submitted + (deadline_ms? * times) as u64);
        let own = StageUrgency {
            priority: job.own_priority,
            deadlines: times.iter().filter_map(date).collect(),
        };
        let all = match job.inherited.clone() {
            Some(inherited) => own.merge(inherited),
            None => own,
        };
        // Its end has to be seen and stored before the next job may start.
        let takes_ms =
            (self.estimates.stage_s(&job.spec) * 1000.0) as u64 + self.heartbeat_interval_ms();
        Some(all.for_predecessor(takes_ms))
    }

    /// What needs these jobs has changed: works out anew how urgent they are, and
    /// those that they need in turn.
    pub(in crate::scheduler) fn propagate_urgency(&mut self, mut changed: Vec<JobId>) {
        while let Some(id) = changed.pop() {
            let dependents = self.dependencies.graph.dependents_of(&id);
            let urgencies =
                dependents.filter_map(|dependent| self.urgency_for_dependencies(dependent));
            let inherited = urgencies.reduce(StageUrgency::merge);
            self.pacing.examined += 1;
            if self
                .jobs
                .get(&id)
                .is_some_and(|job| job.inherited != inherited)
            {
                self.set_inherited_urgency(&id, inherited);
                changed.extend(self.dependencies.graph.open_dependencies_of(&id).cloned());
            }
        }
    }

    fn set_inherited_urgency(&mut self, id: &JobId, inherited: Option<StageUrgency<Priority>>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.inherited = inherited;
        if job.inherited.is_none() {
            let own = job.own_priority;
            self.set_effective_priority(id, own);
        }
    }

    /// A job that others need keeps its own priority as long as there is time: small
    /// idle work would displace what others wait for. Once a rental wouldn't be there
    /// in time any more, it is served by the priority of what needs it.
    pub(in crate::scheduler) fn raise_if_pressed(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(urgency) = &job.inherited else {
            return;
        };
        let takes_s = self.estimates.stage_s(&job.spec) + self.slowest_boot_s();
        let latest = now.wall + (takes_s * 1000.0) as u64;
        let pressed = urgency.deadlines.first().is_some_and(|date| *date < latest);
        if pressed && urgency.priority < job.spec.priority {
            let priority = urgency.priority;
            self.set_effective_priority(id, priority);
        }
    }

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
        for assign in job.assignments.values() {
            // What may give way to whom is filed by machine.
            self.fleet.get_mut(&assign.machine);
        }
        self.pacing.requested = true;
    }
}

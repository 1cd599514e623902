//! Propagation of deadlines and priorities through a pipeline. Only the last job of a
//! pipeline has a deadline. Each earlier job inherits that deadline, less the expected
//! duration of the later jobs, and the priority of its dependents.

use crate::ids::JobId;
use crate::messages::Now;
use crate::scheduler::provisioning::online_estimates::OnlineEstimates;
use crate::scheduler::{DependencyStats, Job, Scheduler};
use crate::settings::Settings;
use crate::wire::users::{JobSpec, Priority};
use lilacfork_dependencies::propagation::{OwnUrgency, StageUrgency};
use std::rc::Rc;

/// The timing and the cost of the propagation.
#[derive(Debug, Default)]
pub(super) struct PropagationPacing {
    /// The earliest time at which the next slice runs.
    due_ms: u64,
    /// The maximum number of jobs and edges that one slice has examined.
    longest_slice: u64,
}

/// Returns the urgency that a job has by itself; `None` if the job is cancelled.
fn own_urgency(
    job: &Job,
    settings: &Settings,
    estimates: &OnlineEstimates,
    heartbeat_interval_ms: u64,
) -> Option<OwnUrgency<Priority>> {
    if job.cancelled_wall_ms.is_some() {
        return None;
    }
    let multiples = settings.deadline_multiples(&job.spec.class);
    let deadline_ms = job.spec.deadline_s.map(|seconds| seconds * 1000.0);
    let deadline = |multiple: &f64| Some(job.submitted_wall_ms + (deadline_ms? * multiple) as u64);
    Some(OwnUrgency {
        urgency: StageUrgency {
            priority: job.own_priority,
            deadlines_wall_ms: multiples.iter().filter_map(deadline).collect(),
        },
        // The end of the job has to be reported and stored before the next job may
        // start, which takes up to one heartbeat interval.
        run_time_ms: (estimates.expected_stage_s(&job.spec) * 1000.0) as u64
            + heartbeat_interval_ms,
    })
}

impl Scheduler {
    /// Runs one slice of the propagation if jobs wait for it and a slice is due. The slices
    /// of a large pipeline leave processor time for other work, as those of a round do.
    pub(in crate::scheduler) fn propagate_urgency(&mut self, now: Now) {
        let max_examined = self.entries_per_slice().max(1);
        let heartbeat_interval_ms = self.heartbeat_interval_ms();
        let dependencies = &mut self.dependencies;
        if dependencies.urgency.is_pending() && now.ms >= dependencies.propagation.due_ms {
            let before = dependencies.urgency.examined();
            let (jobs, settings, estimates) = (&self.jobs, &self.settings, &self.estimates);
            dependencies.urgency.process(max_examined, |id| {
                own_urgency(jobs.get(id)?, settings, estimates, heartbeat_interval_ms)
            });
            let examined = dependencies.urgency.examined() - before;
            let longest = &mut dependencies.propagation.longest_slice;
            *longest = examined.max(*longest);
            let pause_ms = self.slice_pause_ms(examined);
            self.dependencies.propagation.due_ms = now.ms + pause_ms;
        }
        for id in self.dependencies.urgency.take_disinherited() {
            if let Some(own_priority) = self.jobs.get(&id).map(|job| job.own_priority) {
                self.set_effective_priority(&id, own_priority);
            }
        }
    }

    /// Returns when the next slice of the propagation is due; `u64::MAX` if no job waits
    /// for it.
    pub(in crate::scheduler) fn next_propagation_ms(&self, now: Now) -> u64 {
        if self.dependencies.urgency.is_pending() {
            self.dependencies.propagation.due_ms.max(now.ms + 1)
        } else {
            u64::MAX
        }
    }

    /// Returns the cost of dependencies between jobs in this term.
    pub fn dependency_stats(&self) -> DependencyStats {
        DependencyStats {
            examined: self.dependencies.urgency.examined() + self.dependencies.looked_up,
            longest_slice: self.dependencies.propagation.longest_slice,
        }
    }

    /// Returns the deadlines and the priority that a job inherits from its dependents;
    /// `None` if no job that isn't cancelled depends on it.
    pub(in crate::scheduler) fn inherited_urgency(
        &self,
        id: &JobId,
    ) -> Option<&StageUrgency<Priority>> {
        self.dependencies.urgency.inherited(id)
    }

    /// Raises a job to the priority of its dependents once it might miss the inherited
    /// deadline even on a newly provisioned machine. Until then the job keeps its own
    /// priority: otherwise a small job of low priority would displace jobs that others
    /// wait for.
    pub(in crate::scheduler) fn raise_priority_if_late(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(urgency) = self.inherited_urgency(id) else {
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

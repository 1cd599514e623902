//! Propagation of priorities and deadlines from jobs to their dependencies. A pipeline has
//! one deadline, which is that of its last job. Every earlier job has to be done by that
//! deadline minus the run time of the later jobs.

/// The priority and the deadlines of one job of a pipeline. `P` is the scheduler's priority
/// type, in which a smaller value means more important.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StageUrgency<P> {
    /// The job's own priority or the most important one among its dependents.
    pub priority: P,
    /// The wall-clock times by which the job should be done, in milliseconds, in ascending
    /// order. If the first can't be met any more, the next one applies. Empty if the job
    /// has no deadline.
    pub deadlines_wall_ms: Vec<u64>,
}

impl<P: Ord + Copy> StageUrgency<P> {
    /// Returns the urgency of a job that has to be done before this one may start.
    /// `run_time_ms` is the run time of this job.
    pub fn for_predecessor(&self, run_time_ms: u64) -> StageUrgency<P> {
        let deadlines = self.deadlines_wall_ms.iter();
        StageUrgency {
            priority: self.priority,
            deadlines_wall_ms: deadlines
                .map(|deadline| deadline.saturating_sub(run_time_ms))
                .collect(),
        }
    }

    /// Combines two urgencies: the more important priority, and the deadlines of whichever
    /// has the earlier first deadline.
    pub fn merge(self, other: StageUrgency<P>) -> StageUrgency<P> {
        let own_are_earlier = match (
            self.deadlines_wall_ms.first(),
            other.deadlines_wall_ms.first(),
        ) {
            (Some(own), Some(others)) => own <= others,
            (own, _) => own.is_some(),
        };
        StageUrgency {
            priority: self.priority.min(other.priority),
            deadlines_wall_ms: if own_are_earlier {
                self.deadlines_wall_ms
            } else {
                other.deadlines_wall_ms
            },
        }
    }
}

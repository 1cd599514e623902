//! How urgent a job is by its dependents: a pipeline has one deadline, at its end, and
//! every earlier job has to be done by then, less the time that the later jobs take.

/// How important a job is, and by when it should be done. `P` is the scheduler's
/// priority, of which the most important is the least.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StageUrgency<P> {
    /// Its priority.
    pub priority: P,
    /// The times of day by which it should be done, in milliseconds, in order: if the
    /// first can't be met any more, the next one still counts. Empty: none.
    pub deadlines: Vec<u64>,
}

impl<P: Ord + Copy> StageUrgency<P> {
    /// How urgent a job is that has to be done before this one, which takes
    /// `takes_ms`.
    pub fn for_predecessor(&self, takes_ms: u64) -> StageUrgency<P> {
        let deadlines = self.deadlines.iter();
        StageUrgency {
            priority: self.priority,
            deadlines: deadlines
                .map(|deadline| deadline.saturating_sub(takes_ms))
                .collect(),
        }
    }

    /// The more important priority of both, and the deadlines that come first.
    pub fn merge(self, other: StageUrgency<P>) -> StageUrgency<P> {
        let own_come_first = match (self.deadlines.first(), other.deadlines.first()) {
            (Some(own), Some(others)) => own <= others,
            (own, _) => own.is_some(),
        };
        StageUrgency {
            priority: self.priority.min(other.priority),
            deadlines: if own_come_first {
                self.deadlines
            } else {
                other.deadlines
            },
        }
    }
}

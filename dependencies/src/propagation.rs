//! How urgent a job is by what needs it: there is one deadline, at the end, and
//! whatever comes before it has to be done by that, less what the later jobs take.

/// How important a job is, and by when it should be done. `P` is the scheduler's
/// priority, of which the most important is the least.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct StageUrgency<P> {
    /// Its priority.
    pub priority: P,
    /// The times of day by which it should be done, in milliseconds, in order: if the
    /// first can't be kept any more, the next one still means something. Empty: none.
    pub deadlines: Vec<u64>,
}

impl<P: Ord + Copy> StageUrgency<P> {
    /// How urgent a job is that has to be done before one like this, which takes so
    /// long.
    pub fn for_predecessor(&self, takes_ms: u64) -> StageUrgency<P> {
        let dates = self.deadlines.iter();
        StageUrgency {
            priority: self.priority,
            deadlines: dates.map(|date| date.saturating_sub(takes_ms)).collect(),
        }
    }

    /// The more important priority of both, and the dates that come first.
    pub fn merge(self, other: StageUrgency<P>) -> StageUrgency<P> {
        let sooner = match (self.deadlines.first(), other.deadlines.first()) {
            (Some(own), Some(others)) => own <= others,
            (own, _) => own.is_some(),
        };
        StageUrgency {
            priority: self.priority.min(other.priority),
            deadlines: if sooner {
                self.deadlines
            } else {
                other.deadlines
            },
        }
    }
}

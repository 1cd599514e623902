//! Whether a job may start, by its dependencies. It follows from records alone: those
//! of unfinished jobs, which name their dependencies, and those of jobs that are over,
//! which never change. So any controller can tell, whoever leads, and a job counts as
//! cancelled from the moment at which the record of a dependency says so.

use lilacfork_common::ids::JobId;
use std::collections::HashSet;

/// What is known of a job by the records.
#[derive(Clone, Copy, Debug)]
pub enum DependencyState<'a> {
    /// It is over, and done.
    Done,
    /// Its record says that it is cancelled, or it is over and was.
    Cancelled,
    /// It is unfinished by its record; these are its dependencies.
    Unfinished(&'a [JobId]),
    /// It has no record as an unfinished job, and how it ended hasn't been read.
    Unknown,
}

/// Whether a job may start, by its dependencies.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum DependencyStatus {
    /// All of them are done.
    Ready,
    /// Some aren't done yet, none is cancelled.
    Waiting,
    /// One of them is cancelled, directly or through others.
    Cancelled,
    /// It can't be told before it is read how these ended.
    Unknown(Vec<JobId>),
}

/// Works out the status of a job from its dependencies. Looks at each job at most
/// once, and not beyond jobs that are over.
pub fn dependency_status<'a>(
    dependencies: &'a [JobId],
    state_of: impl Fn(&JobId) -> DependencyState<'a>,
) -> DependencyStatus {
    let mut seen: HashSet<&JobId> = HashSet::new();
    let mut to_visit: Vec<&JobId> = dependencies.iter().collect();
    let mut unread = Vec::new();
    let mut is_waiting = false;
    while let Some(job) = to_visit.pop() {
        if !seen.insert(job) {
            continue;
        }
        match state_of(job) {
            DependencyState::Done => {}
            DependencyState::Cancelled => return DependencyStatus::Cancelled,
            DependencyState::Unfinished(further) => {
                is_waiting = true;
                to_visit.extend(further);
            }
            DependencyState::Unknown => unread.push(job.clone()),
        }
    }
    match (unread.is_empty(), is_waiting) {
        (false, _) => DependencyStatus::Unknown(unread),
        (true, true) => DependencyStatus::Waiting,
        (true, false) => DependencyStatus::Ready,
    }
}

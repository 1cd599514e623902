//! Determines whether a job may start, given its dependencies. The result follows from
//! records alone: those of unfinished jobs, which name their dependencies, and those of
//! jobs that are over, which never change. Any controller can therefore determine it, and
//! a job counts as cancelled as soon as the record of a dependency says that the
//! dependency is cancelled.

use lilacfork_common::ids::JobId;
use std::collections::HashSet;

/// The state of a dependency according to its records.
#[derive(Clone, Copy, Debug)]
pub enum DependencyState<'a> {
    /// The job is over and is done.
    Done,
    /// The job is being cancelled according to its record, or was cancelled and is over.
    Cancelled,
    /// The job is unfinished according to its record, which names these dependencies.
    Unfinished(&'a [JobId]),
    /// The job has no record as an unfinished job, and the record of its outcome hasn't
    /// been read.
    Unknown,
}

/// Whether a job may start, given its dependencies.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum DependencyStatus {
    /// All dependencies are done.
    Ready,
    /// Some dependencies aren't done yet, and none is cancelled.
    Waiting,
    /// A direct or transitive dependency is cancelled.
    Cancelled,
    /// The status can't be determined before the outcomes of these jobs are read.
    Unknown(Vec<JobId>),
}

/// Determines the status of a job from its dependencies. Visits each job at most once and
/// doesn't follow the dependencies of jobs that are over.
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

//! How a job stands by the jobs that it needs. It follows from records alone: those
//! of unfinished jobs, which name what they need, and those of jobs that are over,
//! which never change. So any controller can tell, whoever leads, and a job is
//! cancelled from the moment at which the record of one that it needs says so.

use lilacfork_common::ids::JobId;
use std::collections::HashSet;

/// What is known of a job by the records.
#[derive(Clone, Copy, Debug)]
pub enum DependencyState<'a> {
    /// It is over, and done.
    Done,
    /// Its record says that it is cancelled, or it is over and was.
    Cancelled,
    /// Its record stands; these are the jobs that it needs.
    Unfinished(&'a [JobId]),
    /// Its record doesn't stand, and how it ended hasn't been read.
    Unread,
}

/// How a job stands by the jobs that it needs.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum DependencyStatus {
    /// All of them are done.
    Ready,
    /// Some aren't done yet, none is cancelled.
    Waiting,
    /// One of them is cancelled, directly or through others.
    Cancelled,
    /// Nobody can tell before it is read how these ended.
    Unread(Vec<JobId>),
}

/// Judges a job by its needs. Looks at each job at most once, and not beyond jobs
/// that are over.
pub fn dependency_status<'a>(
    needs: &'a [JobId],
    known: impl Fn(&JobId) -> DependencyState<'a>,
) -> DependencyStatus {
    let mut seen: HashSet<&JobId> = HashSet::new();
    let mut left: Vec<&JobId> = needs.iter().collect();
    let mut unread = Vec::new();
    let mut waits = false;
    while let Some(job) = left.pop() {
        if !seen.insert(job) {
            continue;
        }
        match known(job) {
            DependencyState::Done => {}
            DependencyState::Cancelled => return DependencyStatus::Cancelled,
            DependencyState::Unfinished(further) => {
                waits = true;
                left.extend(further);
            }
            DependencyState::Unread => unread.push(job.clone()),
        }
    }
    match (unread.is_empty(), waits) {
        (false, _) => DependencyStatus::Unread(unread),
        (true, true) => DependencyStatus::Waiting,
        (true, false) => DependencyStatus::Ready,
    }
}

//! Determines whether a job is cancelled because one of its dependencies is. The result
//! follows from records alone: those of unfinished jobs, which name their dependencies,
//! and those of jobs that are over, which never change. Any controller can therefore
//! determine it, and a job counts as cancelled as soon as the record of a dependency says
//! that the dependency is cancelled.
//!
//! [`StatusIndex`] follows the records of unfinished jobs change by change. What it
//! concludes about a job never changes back, and each conclusion is passed on once to the
//! jobs that name the job. All changes together therefore visit each edge a constant
//! number of times, and a status is looked up without visiting any.

use crate::job_slab::{JobIndex, JobSlab};
use lilacfork_common::ids::JobId;
use std::collections::BTreeSet;

/// How a job ended according to its final record.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Outcome {
    /// The job is done.
    Done,
    /// The job was cancelled.
    Cancelled,
}

/// The state of a job that another one may name as a dependency.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub enum DependencyState {
    /// The job is over and is done.
    Done,
    /// The job is cancelled or being cancelled, by itself or through a dependency.
    Cancelled,
    /// The job has a record as an unfinished job that shows no cancellation. Whether a
    /// dependency is cancelled is told by [`StatusIndex::status`].
    Unfinished,
    /// The job has no record as an unfinished job, and its outcome isn't known.
    #[default]
    Unknown,
}

/// Whether an unfinished job is cancelled.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DependencyStatus {
    /// Neither the job nor a direct or transitive dependency is cancelled.
    NotCancelled,
    /// The job or a direct or transitive dependency is cancelled.
    Cancelled,
    /// The status can't be determined before the outcomes of further jobs are read.
    Undetermined,
}

/// A job with a record, or one that a job with a record names.
#[derive(Clone, Default, Debug)]
struct StatusNode {
    state: DependencyState,
    /// Whether the job has a record as an unfinished job.
    has_record: bool,
    /// Whether a dependency is cancelled.
    names_cancelled: bool,
    /// How many dependencies are unknown, or unfinished and undetermined.
    undetermined_dependencies: u32,
    dependencies: Box<[JobIndex]>,
    /// The jobs with records that name this one.
    dependents: BTreeSet<JobIndex>,
    /// Whether the dependents were told that this job is determined.
    has_announced_determined: bool,
    /// Whether the dependents were told that this job is cancelled.
    has_announced_cancelled: bool,
}

impl StatusNode {
    fn is_determined(&self) -> bool {
        match self.state {
            DependencyState::Unknown => false,
            DependencyState::Unfinished => self.undetermined_dependencies == 0,
            DependencyState::Done | DependencyState::Cancelled => true,
        }
    }

    fn is_cancelled(&self) -> bool {
        self.state == DependencyState::Cancelled
    }
}

/// The unfinished jobs with their dependencies, as of the latest change of their records.
#[derive(Clone, Default, Debug)]
pub struct StatusIndex {
    nodes: JobSlab<StatusNode>,
    /// Unknown dependencies whose outcome hasn't been requested yet.
    unread: BTreeSet<JobIndex>,
    examined: u64,
}

impl StatusIndex {
    /// Applies the record of an unfinished job. A later record of a job never names other
    /// dependencies, so only a cancellation is new in it.
    pub fn put(&mut self, job: &JobId, dependencies: &[JobId], is_cancelled: bool) {
        let index = self.nodes.index_or_insert(job);
        self.unread.remove(&index);
        let is_new = self.nodes.get(index).is_some_and(|node| !node.has_record);
        if is_new {
            self.add_dependencies(index, dependencies);
        }
        let Some(node) = self.nodes.get_mut(index) else {
            return;
        };
        node.has_record = true;
        if node.state == DependencyState::Unknown {
            node.state = DependencyState::Unfinished;
        }
        if node.state == DependencyState::Unfinished && is_cancelled {
            node.state = DependencyState::Cancelled;
        }
        self.settle(index);
    }

    fn add_dependencies(&mut self, index: JobIndex, dependencies: &[JobId]) {
        let mut indexes = Vec::with_capacity(dependencies.len());
        for dependency in dependencies {
            let dependency = self.nodes.index_or_insert(dependency);
            if self.add_dependent(dependency, index) {
                indexes.push(dependency);
            }
        }
        if let Some(node) = self.nodes.get_mut(index) {
            node.dependencies = indexes.into_boxed_slice();
        }
    }

    /// Adds an edge. Returns whether it is new.
    fn add_dependent(&mut self, dependency: JobIndex, dependent: JobIndex) -> bool {
        self.examined += 1;
        let Some(node) = self.nodes.get_mut(dependency) else {
            return false;
        };
        if dependency == dependent || !node.dependents.insert(dependent) {
            return false;
        }
        let is_determined = node.has_announced_determined;
        let is_cancelled = node.has_announced_cancelled;
        if node.state == DependencyState::Unknown {
            self.unread.insert(dependency);
        }
        if let Some(node) = self.nodes.get_mut(dependent) {
            node.undetermined_dependencies += u32::from(!is_determined);
            node.names_cancelled |= is_cancelled;
        }
        true
    }

    /// Applies the deletion of an unfinished job's record, which happens in the same
    /// transaction as the write of its final record. The caller has applied all changes of
    /// records up to this one. A job is cancelled only if its record or an outcome before
    /// this change said so of the job or of a dependency; a determined job is therefore
    /// done unless it is known to be cancelled.
    pub fn remove(&mut self, job: &JobId) {
        let Some(index) = self.nodes.index_of(job) else {
            return;
        };
        let Some(node) = self.nodes.get_mut(index).filter(|node| node.has_record) else {
            return;
        };
        node.has_record = false;
        if node.state == DependencyState::Unfinished {
            node.state = if node.is_determined() {
                DependencyState::Done
            } else {
                self.unread.insert(index);
                DependencyState::Unknown
            };
        }
        let dependencies = std::mem::take(&mut node.dependencies);
        self.examined += dependencies.len() as u64;
        for dependency in dependencies {
            if let Some(node) = self.nodes.get_mut(dependency) {
                node.dependents.remove(&index);
            }
            self.remove_if_unused(dependency);
        }
        self.remove_if_unused(index);
    }

    fn remove_if_unused(&mut self, index: JobIndex) {
        let is_used = |node: &StatusNode| node.has_record || !node.dependents.is_empty();
        if !self.nodes.get(index).is_some_and(is_used) {
            self.unread.remove(&index);
            self.nodes.remove(index);
        }
    }

    /// Applies the final record of a job. Has no effect on a job that has a record as an
    /// unfinished job, or whose outcome is known.
    pub fn resolve(&mut self, job: &JobId, outcome: Outcome) {
        let Some(index) = self.nodes.index_of(job) else {
            return;
        };
        let Some(node) = self.nodes.get_mut(index) else {
            return;
        };
        if node.state != DependencyState::Unknown {
            return;
        }
        node.state = match outcome {
            Outcome::Done => DependencyState::Done,
            Outcome::Cancelled => DependencyState::Cancelled,
        };
        self.unread.remove(&index);
        self.settle(index);
    }

    /// Tells the dependents of a job, and theirs in turn, what has become known of it.
    fn settle(&mut self, start: JobIndex) {
        let mut to_visit = vec![start];
        while let Some(index) = to_visit.pop() {
            let Some(node) = self.nodes.get_mut(index) else {
                continue;
            };
            if node.names_cancelled && node.state == DependencyState::Unfinished {
                node.state = DependencyState::Cancelled;
            }
            let is_determined = node.is_determined();
            let is_cancelled = node.is_cancelled();
            let newly_determined =
                is_determined && !std::mem::replace(&mut node.has_announced_determined, true);
            let newly_cancelled =
                is_cancelled && !std::mem::replace(&mut node.has_announced_cancelled, true);
            if !newly_determined && !newly_cancelled {
                continue;
            }
            let dependents: Vec<JobIndex> = node.dependents.iter().copied().collect();
            self.examined += dependents.len() as u64;
            for dependent in dependents {
                let Some(node) = self.nodes.get_mut(dependent) else {
                    continue;
                };
                node.undetermined_dependencies -= u32::from(newly_determined);
                node.names_cancelled |= newly_cancelled;
                if node.names_cancelled || node.undetermined_dependencies == 0 {
                    to_visit.push(dependent);
                }
            }
        }
    }

    /// Returns whether the job has a record as an unfinished job.
    pub fn is_unfinished(&self, job: &JobId) -> bool {
        self.nodes.find(job).is_some_and(|node| node.has_record)
    }

    /// Returns the state of a job that may be named as a dependency.
    pub fn state(&self, job: &JobId) -> DependencyState {
        self.nodes
            .find(job)
            .map(|node| node.state)
            .unwrap_or_default()
    }

    /// Returns whether an unfinished job is cancelled.
    pub fn status(&self, job: &JobId) -> DependencyStatus {
        match self.nodes.find(job) {
            Some(node) if node.is_cancelled() => DependencyStatus::Cancelled,
            Some(node) if node.is_determined() => DependencyStatus::NotCancelled,
            _ => DependencyStatus::Undetermined,
        }
    }

    /// Takes a job whose outcome has to be read because unfinished jobs name it. Each is
    /// returned once.
    pub fn take_unread(&mut self) -> Option<JobId> {
        let index = self.unread.pop_first()?;
        self.nodes.job(index).cloned()
    }

    /// Returns a job from [`StatusIndex::take_unread`] to the index, because its outcome
    /// couldn't be read.
    pub fn return_unread(&mut self, job: &JobId) {
        if let Some(index) = self.nodes.index_of(job) {
            let node = self.nodes.get(index);
            if node.is_some_and(|node| node.state == DependencyState::Unknown) {
                self.unread.insert(index);
            }
        }
    }

    /// Returns the number of edges that were visited so far, as a measure of cost.
    pub fn examined(&self) -> u64 {
        self.examined
    }
}

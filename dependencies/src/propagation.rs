//! Propagation of priorities and deadlines from jobs to their dependencies. A pipeline has
//! one deadline, which is that of its last job. Every earlier job has to be done by that
//! deadline minus the run time of the later jobs.
//!
//! [`UrgencyPropagation`] queues the jobs whose urgency may have changed and processes
//! them in slices, dependents before their dependencies. A job is therefore processed at
//! most once for any number of changes that are queued together, and the queue is emptied
//! after visiting each edge of the pipeline a constant number of times.

use crate::graph::DependencyGraph;
use crate::job_slab::JobIndex;
use lilacfork_common::ids::JobId;
use std::cmp::Ordering;
use std::collections::BTreeSet;

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

    /// Combines two urgencies: the more important priority, and the earlier deadlines. The
    /// result doesn't depend on the order in which several urgencies are combined.
    pub fn merge(self, other: StageUrgency<P>) -> StageUrgency<P> {
        let deadlines_wall_ms = match self.compare_deadlines(&other) {
            Ordering::Less | Ordering::Equal => self.deadlines_wall_ms,
            Ordering::Greater => other.deadlines_wall_ms,
        };
        StageUrgency {
            priority: self.priority.min(other.priority),
            deadlines_wall_ms,
        }
    }

    /// Compares the first deadlines, and later ones if these are equal. No deadline is the
    /// latest.
    fn compare_deadlines(&self, other: &StageUrgency<P>) -> Ordering {
        let (own, others) = (&self.deadlines_wall_ms, &other.deadlines_wall_ms);
        own.is_empty()
            .cmp(&others.is_empty())
            .then_with(|| own.cmp(others))
    }

    /// Returns whether combining the two yields this one.
    fn is_at_least_as_urgent_as(&self, other: &StageUrgency<P>) -> bool {
        self.priority <= other.priority && self.compare_deadlines(other).is_le()
    }
}

/// The urgency that a job has by itself, and its expected run time.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct OwnUrgency<P> {
    /// The job's own priority and deadlines.
    pub urgency: StageUrgency<P>,
    /// The time from when the job may start until its dependents may, in milliseconds.
    pub run_time_ms: u64,
}

/// What is known of the urgency of a job in the dependency graph.
#[derive(Clone, Debug)]
struct UrgencyNode<P> {
    /// The revision of the job's record when it was read first; 0 if it wasn't read.
    revision: u64,
    /// The urgency inherited from dependents.
    inherited: Option<StageUrgency<P>>,
    /// The urgency that the job's dependencies were last given.
    passed_on: Option<StageUrgency<P>>,
    /// Whether the job is in the queue.
    is_queued: bool,
    /// Whether a dependent may have become less urgent, so that `inherited` has to be
    /// derived anew from all dependents.
    is_outdated: bool,
    /// Whether the job and with it all its dependents are cancelled.
    is_cancelled: bool,
}

impl<P> Default for UrgencyNode<P> {
    fn default() -> Self {
        UrgencyNode {
            revision: 0,
            inherited: None,
            passed_on: None,
            is_queued: false,
            is_outdated: false,
            is_cancelled: false,
        }
    }
}

/// The dependency graph with the urgency that jobs inherit from their dependents.
#[derive(Clone, Debug)]
pub struct UrgencyPropagation<P> {
    graph: DependencyGraph<UrgencyNode<P>>,
    /// The jobs whose urgency may have changed, by the revisions of their records. The
    /// record of a job is created after those of its dependencies, so in descending order
    /// of revisions each job follows all its dependents.
    queue: BTreeSet<(u64, JobIndex)>,
    /// Jobs that no longer inherit anything.
    disinherited: Vec<JobId>,
}

impl<P> Default for UrgencyPropagation<P> {
    fn default() -> Self {
        UrgencyPropagation {
            graph: DependencyGraph::default(),
            queue: BTreeSet::new(),
            disinherited: Vec::new(),
        }
    }
}

impl<P: Ord + Copy> UrgencyPropagation<P> {
    /// Adds a job whose record was read. `revision` is the revision of the record. Returns
    /// whether a dependency is known to be cancelled.
    pub fn add(&mut self, job: &JobId, revision: u64, dependencies: &[JobId]) -> bool {
        self.graph.add(job, dependencies);
        let Some(index) = self.graph.index_of(job) else {
            return false;
        };
        self.dequeue(index);
        if let Some(node) = self.graph.data_mut(index) {
            node.revision = revision;
        }
        self.enqueue(index);
        self.graph.count_examined(dependencies.len());
        let graph = &self.graph;
        let mut indexes = graph.open_dependency_indexes(index).iter();
        indexes.any(|dependency| {
            graph
                .data(*dependency)
                .is_some_and(|node| node.is_cancelled)
        })
    }

    /// Marks a job and all its dependents as cancelled, which pass on no urgency. Returns the
    /// dependents that weren't marked before. The dependents of a job that is marked
    /// already aren't visited again.
    pub fn cancel(&mut self, job: &JobId) -> Vec<JobId> {
        let Some(index) = self.graph.index_of(job) else {
            return Vec::new();
        };
        if !self.mark_cancelled(index) {
            return Vec::new();
        }
        let cancelled = self
            .graph
            .transitive_dependents(job, |node| !std::mem::replace(&mut node.is_cancelled, true));
        for dependent in &cancelled {
            if let Some(index) = self.graph.index_of(dependent) {
                self.enqueue(index);
            }
        }
        cancelled
    }

    /// Marks one job as cancelled. Returns whether it wasn't marked before.
    fn mark_cancelled(&mut self, index: JobIndex) -> bool {
        let node = self.graph.data_mut(index);
        let is_new = node.is_some_and(|node| !std::mem::replace(&mut node.is_cancelled, true));
        if is_new {
            self.enqueue(index);
        }
        is_new
    }

    /// Removes a job from the open dependencies of its dependents. The caller has stored that
    /// the job is done. Returns the jobs for which the job was the last open dependency.
    pub fn mark_done(&mut self, job: &JobId) -> Vec<JobId> {
        let ready = self.graph.mark_done(job);
        if let Some(index) = self.graph.index_of(job) {
            self.mark_outdated(index);
        }
        ready
    }

    /// Removes all open dependencies of a job, either because the job is over or because
    /// its dependencies are known to be done.
    pub fn remove_dependencies(&mut self, job: &JobId) {
        let index = self.graph.index_of(job);
        let node = index.and_then(|index| self.graph.data(index));
        let has_passed_on = node.is_some_and(|node| node.passed_on.is_some());
        for dependency in self.graph.remove_dependencies(job) {
            match self.graph.index_of(&dependency) {
                Some(index) if has_passed_on => self.mark_outdated(index),
                Some(_) => {}
                // The job has no edges left.
                None => self.disinherited.push(dependency),
            }
        }
    }

    /// Returns whether the job has an open dependency.
    pub fn is_blocked(&self, job: &JobId) -> bool {
        self.graph.is_blocked(job)
    }

    /// Returns whether any job has an open dependency on this one.
    pub fn has_dependents(&self, job: &JobId) -> bool {
        self.graph.has_dependents(job)
    }

    /// Returns all jobs on which any job has an open dependency.
    pub fn jobs_with_dependents(&self) -> impl Iterator<Item = &JobId> {
        self.graph.jobs_with_dependents()
    }

    /// Returns the open dependencies of the job.
    pub fn open_dependencies_of(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        self.graph.open_dependencies_of(job)
    }

    /// Returns the jobs that have an open dependency on this one.
    pub fn dependents_of(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        self.graph.dependents_of(job)
    }

    /// Returns the urgency that a job inherits from its dependents; `None` if no job that
    /// isn't cancelled depends on it.
    pub fn inherited(&self, job: &JobId) -> Option<&StageUrgency<P>> {
        let index = self.graph.index_of(job)?;
        self.graph.data(index)?.inherited.as_ref()
    }

    /// Returns the number of edges that were visited so far, as a measure of cost.
    pub fn examined(&self) -> u64 {
        self.graph.examined()
    }

    /// Returns whether jobs wait to be processed.
    pub fn is_pending(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Takes the jobs that no longer inherit anything since the previous call.
    pub fn take_disinherited(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.disinherited)
    }

    /// Processes queued jobs until their number and that of the visited edges reach
    /// `max_examined`, or no job is queued. `own_urgency` returns the urgency of a job by
    /// itself; `None` if the job is unknown, so that it passes on nothing.
    pub fn process(
        &mut self,
        max_examined: u64,
        mut own_urgency: impl FnMut(&JobId) -> Option<OwnUrgency<P>>,
    ) {
        let end = self.graph.examined() + max_examined;
        while self.graph.examined() < end {
            let Some((_, index)) = self.queue.pop_last() else {
                return;
            };
            self.graph.count_examined(1);
            self.process_job(index, &mut own_urgency);
        }
    }

    fn process_job(
        &mut self,
        index: JobIndex,
        own_urgency: &mut impl FnMut(&JobId) -> Option<OwnUrgency<P>>,
    ) {
        let Some(node) = self.graph.data_mut(index) else {
            return;
        };
        node.is_queued = false;
        if std::mem::take(&mut node.is_outdated) {
            self.derive_inherited(index);
        }
        let passed_on = self.urgency_to_pass_on(index, own_urgency);
        let Some(node) = self.graph.data_mut(index) else {
            return;
        };
        if node.passed_on != passed_on {
            let before = std::mem::replace(&mut node.passed_on, passed_on.clone());
            self.pass_on(index, before.as_ref(), passed_on.as_ref());
        }
    }

    /// Derives the inherited urgency of a job from all its dependents.
    fn derive_inherited(&mut self, index: JobIndex) {
        let graph = &self.graph;
        let dependents = graph.dependent_indexes(index);
        let visited = dependents.len();
        let inherited = dependents
            .iter()
            .filter_map(|dependent| graph.data(*dependent)?.passed_on.clone())
            .reduce(StageUrgency::merge);
        self.graph.count_examined(visited);
        let is_none = inherited.is_none();
        let Some(node) = self.graph.data_mut(index) else {
            return;
        };
        let before = std::mem::replace(&mut node.inherited, inherited);
        if before.is_some() && is_none {
            self.disinherited.extend(self.graph.job(index).cloned());
        }
    }

    fn urgency_to_pass_on(
        &self,
        index: JobIndex,
        own_urgency: &mut impl FnMut(&JobId) -> Option<OwnUrgency<P>>,
    ) -> Option<StageUrgency<P>> {
        let node = self.graph.data(index).filter(|node| !node.is_cancelled)?;
        let own = own_urgency(self.graph.job(index)?)?;
        let urgency = match node.inherited.clone() {
            Some(inherited) => own.urgency.merge(inherited),
            None => own.urgency,
        };
        Some(urgency.for_predecessor(own.run_time_ms))
    }

    /// Gives the dependencies of a job the urgency that the job passes on.
    fn pass_on(
        &mut self,
        index: JobIndex,
        before: Option<&StageUrgency<P>>,
        now: Option<&StageUrgency<P>>,
    ) {
        let dependencies: Vec<JobIndex> = self
            .graph
            .open_dependency_indexes(index)
            .iter()
            .copied()
            .collect();
        self.graph.count_examined(dependencies.len());
        let is_lower = match (before, now) {
            (Some(before), Some(now)) => !now.is_at_least_as_urgent_as(before),
            _ => now.is_none(),
        };
        for dependency in dependencies {
            match now {
                Some(now) if !is_lower => self.raise_inherited(dependency, now),
                _ => self.mark_outdated(dependency),
            }
        }
    }

    /// Combines the inherited urgency of a job with that of one more dependent.
    fn raise_inherited(&mut self, index: JobIndex, urgency: &StageUrgency<P>) {
        let Some(node) = self.graph.data_mut(index) else {
            return;
        };
        let merged = match node.inherited.take() {
            Some(inherited) if inherited.is_at_least_as_urgent_as(urgency) => {
                node.inherited = Some(inherited);
                return;
            }
            Some(inherited) => inherited.merge(urgency.clone()),
            None => urgency.clone(),
        };
        node.inherited = Some(merged);
        self.enqueue(index);
    }

    fn mark_outdated(&mut self, index: JobIndex) {
        if let Some(node) = self.graph.data_mut(index) {
            node.is_outdated = true;
        }
        self.enqueue(index);
    }

    fn enqueue(&mut self, index: JobIndex) {
        if let Some(node) = self.graph.data_mut(index) {
            if !std::mem::replace(&mut node.is_queued, true) {
                self.queue.insert((node.revision, index));
            }
        }
    }

    fn dequeue(&mut self, index: JobIndex) {
        if let Some(node) = self.graph.data_mut(index) {
            if std::mem::take(&mut node.is_queued) {
                self.queue.remove(&(node.revision, index));
            }
        }
    }
}

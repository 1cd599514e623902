//! The dependency graph of the jobs that a leader manages.

use crate::job_slab::{JobIndex, JobSlab};
use lilacfork_common::ids::JobId;
use std::collections::{BTreeSet, HashSet};

/// The edges of a job, and what the caller keeps for it.
#[derive(Clone, Default, Debug)]
struct Node<T> {
    open_dependencies: BTreeSet<JobIndex>,
    dependents: BTreeSet<JobIndex>,
    data: T,
}

impl<T> Node<T> {
    fn has_edges(&self) -> bool {
        !self.open_dependencies.is_empty() || !self.dependents.is_empty()
    }
}

/// The open dependencies between jobs, in both directions. A dependency is open until the
/// job that it names is known to be done. Jobs without open dependencies and dependents
/// aren't in the graph. `T` is what the caller keeps for each job in the graph.
#[derive(Clone, Debug)]
pub struct DependencyGraph<T> {
    nodes: JobSlab<Node<T>>,
    examined: u64,
}

impl<T> Default for DependencyGraph<T> {
    fn default() -> Self {
        DependencyGraph {
            nodes: JobSlab::default(),
            examined: 0,
        }
    }
}

impl<T: Default> DependencyGraph<T> {
    /// Adds a job and its dependencies, all of which are open.
    pub fn add(&mut self, job: &JobId, dependencies: &[JobId]) {
        if dependencies.is_empty() {
            return;
        }
        let index = self.nodes.index_or_insert(job);
        for dependency in dependencies {
            let dependency = self.nodes.index_or_insert(dependency);
            self.add_edge(index, dependency);
        }
    }

    fn add_edge(&mut self, job: JobIndex, dependency: JobIndex) {
        self.examined += 1;
        if let Some(node) = self.nodes.get_mut(job) {
            node.open_dependencies.insert(dependency);
        }
        if let Some(node) = self.nodes.get_mut(dependency) {
            node.dependents.insert(job);
        }
    }
}

impl<T> DependencyGraph<T> {
    /// Removes the job from the graph if it has no edges left.
    fn remove_if_isolated(&mut self, index: JobIndex) {
        if !self.nodes.get(index).is_some_and(Node::has_edges) {
            self.nodes.remove(index);
        }
    }

    /// Returns the index of a job; `None` if it isn't in the graph.
    pub fn index_of(&self, job: &JobId) -> Option<JobIndex> {
        self.nodes.index_of(job)
    }

    /// Returns the job with this index.
    pub fn job(&self, index: JobIndex) -> Option<&JobId> {
        self.nodes.job(index)
    }

    /// Returns what the caller keeps for a job.
    pub fn data(&self, index: JobIndex) -> Option<&T> {
        Some(&self.nodes.get(index)?.data)
    }

    /// Returns what the caller keeps for a job, for modification.
    pub fn data_mut(&mut self, index: JobIndex) -> Option<&mut T> {
        Some(&mut self.nodes.get_mut(index)?.data)
    }

    /// Returns the number of edges that were visited so far, as a measure of cost.
    pub fn examined(&self) -> u64 {
        self.examined
    }

    /// Adds edges that the caller visited through the iterators.
    pub(crate) fn count_examined(&mut self, edges: usize) {
        self.examined += edges as u64;
    }

    /// Returns whether the job has an open dependency.
    pub fn is_blocked(&self, job: &JobId) -> bool {
        self.nodes
            .find(job)
            .is_some_and(|node| !node.open_dependencies.is_empty())
    }

    /// Returns whether any job has an open dependency on this one.
    pub fn has_dependents(&self, job: &JobId) -> bool {
        self.nodes
            .find(job)
            .is_some_and(|node| !node.dependents.is_empty())
    }

    /// Returns all jobs on which any job has an open dependency.
    pub fn jobs_with_dependents(&self) -> impl Iterator<Item = &JobId> {
        self.nodes
            .iter()
            .filter(|(_, node)| !node.dependents.is_empty())
            .map(|(job, _)| job)
    }

    /// Returns the open dependencies of the job.
    pub fn open_dependencies_of(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        let node = self.nodes.find(job).into_iter();
        node.flat_map(|node| &node.open_dependencies)
            .filter_map(|index| self.job(*index))
    }

    /// Returns the jobs that have an open dependency on this one.
    pub fn dependents_of(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        let node = self.nodes.find(job).into_iter();
        node.flat_map(|node| &node.dependents)
            .filter_map(|index| self.job(*index))
    }

    /// Returns the indexes of the open dependencies of a job.
    pub fn open_dependency_indexes(&self, index: JobIndex) -> &BTreeSet<JobIndex> {
        const NONE: &BTreeSet<JobIndex> = &BTreeSet::new();
        self.nodes
            .get(index)
            .map_or(NONE, |node| &node.open_dependencies)
    }

    /// Returns the indexes of the jobs that have an open dependency on a job.
    pub fn dependent_indexes(&self, index: JobIndex) -> &BTreeSet<JobIndex> {
        const NONE: &BTreeSet<JobIndex> = &BTreeSet::new();
        self.nodes.get(index).map_or(NONE, |node| &node.dependents)
    }

    /// Removes a job from the open dependencies of its dependents. The caller has stored that
    /// the job is done. Returns the jobs for which the job was the last open dependency.
    pub fn mark_done(&mut self, job: &JobId) -> Vec<JobId> {
        let Some(index) = self.index_of(job) else {
            return Vec::new();
        };
        let dependents = self
            .nodes
            .get_mut(index)
            .map(|node| std::mem::take(&mut node.dependents))
            .unwrap_or_default();
        self.examined += dependents.len() as u64;
        let ready = dependents
            .into_iter()
            .filter_map(|dependent| self.remove_open_dependency(dependent, index))
            .collect();
        self.remove_if_isolated(index);
        ready
    }

    /// Removes one open dependency of `dependent`. Returns `dependent` if it was the last
    /// one.
    fn remove_open_dependency(
        &mut self,
        dependent: JobIndex,
        dependency: JobIndex,
    ) -> Option<JobId> {
        let node = self.nodes.get_mut(dependent)?;
        node.open_dependencies.remove(&dependency);
        if !node.open_dependencies.is_empty() {
            return None;
        }
        let job = self.nodes.job(dependent).cloned();
        self.remove_if_isolated(dependent);
        job
    }

    /// Removes all open dependencies of a job, either because the job is over or because
    /// its dependencies are known to be done. Returns the jobs that were its open
    /// dependencies.
    pub fn remove_dependencies(&mut self, job: &JobId) -> Vec<JobId> {
        let Some(index) = self.index_of(job) else {
            return Vec::new();
        };
        let dependencies = self
            .nodes
            .get_mut(index)
            .map(|node| std::mem::take(&mut node.open_dependencies))
            .unwrap_or_default();
        self.examined += dependencies.len() as u64;
        let mut removed = Vec::with_capacity(dependencies.len());
        for dependency in dependencies {
            if let Some(node) = self.nodes.get_mut(dependency) {
                node.dependents.remove(&index);
            }
            removed.extend(self.nodes.job(dependency).cloned());
            self.remove_if_isolated(dependency);
        }
        self.remove_if_isolated(index);
        removed
    }

    /// Returns all jobs that depend on this one, directly or through others, each once.
    /// `enter` is called once for each of them; the jobs that depend on a job for which it
    /// returns false aren't visited.
    pub fn transitive_dependents(
        &mut self,
        job: &JobId,
        mut enter: impl FnMut(&mut T) -> bool,
    ) -> Vec<JobId> {
        let mut seen: HashSet<JobIndex> = HashSet::new();
        let mut found: Vec<JobId> = Vec::new();
        let mut to_visit: Vec<JobIndex> = self.index_of(job).into_iter().collect();
        while let Some(index) = to_visit.pop() {
            let dependents: Vec<JobIndex> = self.dependent_indexes(index).iter().copied().collect();
            self.examined += dependents.len() as u64;
            for dependent in dependents {
                if !seen.insert(dependent) {
                    continue;
                }
                let node = self.nodes.get_mut(dependent);
                if node.is_some_and(|node| enter(&mut node.data)) {
                    found.extend(self.nodes.job(dependent).cloned());
                    to_visit.push(dependent);
                }
            }
        }
        found
    }
}

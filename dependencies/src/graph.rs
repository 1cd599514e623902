//! The dependency graph of the jobs that a leader manages.

use lilacfork_common::ids::JobId;
use std::collections::{BTreeSet, HashMap, HashSet};

/// The open dependencies between jobs, in both directions. A dependency is open until the
/// job that it names is known to be done.
#[derive(Clone, Default, Debug)]
pub struct DependencyGraph {
    open_dependencies: HashMap<JobId, BTreeSet<JobId>>,
    dependents: HashMap<JobId, BTreeSet<JobId>>,
}

impl DependencyGraph {
    /// Adds a job and its dependencies, all of which are open.
    pub fn add(&mut self, job: &JobId, dependencies: &[JobId]) {
        if dependencies.is_empty() {
            return;
        }
        for dependency in dependencies {
            let dependents = self.dependents.entry(dependency.clone()).or_default();
            dependents.insert(job.clone());
        }
        self.open_dependencies
            .insert(job.clone(), dependencies.iter().cloned().collect());
    }

    /// Returns whether the job has an open dependency.
    pub fn is_blocked(&self, job: &JobId) -> bool {
        self.open_dependencies.contains_key(job)
    }

    /// Returns whether any job has an open dependency on this one.
    pub fn has_dependents(&self, job: &JobId) -> bool {
        self.dependents.contains_key(job)
    }

    /// Returns the open dependencies of the job.
    pub fn open_dependencies_of(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        self.open_dependencies.get(job).into_iter().flatten()
    }

    /// Returns the jobs that have an open dependency on this one.
    pub fn dependents_of(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(job).into_iter().flatten()
    }

    /// Removes a job from the open dependencies of its dependents. The caller has stored that
    /// the job is done. Returns the jobs for which the job was the last open dependency.
    pub fn mark_done(&mut self, job: &JobId) -> Vec<JobId> {
        let dependents = self.dependents.remove(job).unwrap_or_default();
        dependents
            .into_iter()
            .filter(|dependent| self.remove_open_dependency(dependent, job))
            .collect()
    }

    /// Removes one open dependency of `dependent`. Returns whether it was the last one.
    fn remove_open_dependency(&mut self, dependent: &JobId, dependency: &JobId) -> bool {
        let Some(open) = self.open_dependencies.get_mut(dependent) else {
            return false;
        };
        open.remove(dependency);
        if open.is_empty() {
            self.open_dependencies.remove(dependent);
            return true;
        }
        false
    }

    /// Removes all open dependencies of a job, either because the job is over or because
    /// its dependencies are known to be done.
    pub fn remove_dependencies(&mut self, job: &JobId) {
        for dependency in self.open_dependencies.remove(job).unwrap_or_default() {
            if let Some(dependents) = self.dependents.get_mut(&dependency) {
                dependents.remove(job);
                if dependents.is_empty() {
                    self.dependents.remove(&dependency);
                }
            }
        }
    }

    /// Returns all jobs that depend on this one, directly or through others, each once.
    pub fn transitive_dependents(&self, job: &JobId) -> Vec<JobId> {
        let mut seen: HashSet<&JobId> = HashSet::new();
        let mut found: Vec<JobId> = Vec::new();
        let mut layer: Vec<&JobId> = self.dependents_of(job).collect();
        while !layer.is_empty() {
            let mut next_layer = Vec::new();
            for dependent in layer {
                if seen.insert(dependent) {
                    found.push(dependent.clone());
                    next_layer.extend(self.dependents_of(dependent));
                }
            }
            layer = next_layer;
        }
        found
    }
}

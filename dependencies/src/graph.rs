//! The graph of dependencies between the jobs that a leader holds.

use lilacfork_common::ids::JobId;
use std::collections::{BTreeSet, HashMap, HashSet};

/// The open dependencies, which aren't known to be done, in both directions.
#[derive(Clone, Default, Debug)]
pub struct DependencyGraph {
    open: HashMap<JobId, BTreeSet<JobId>>,
    dependents: HashMap<JobId, BTreeSet<JobId>>,
}

impl DependencyGraph {
    /// Adds a job that depends on these.
    pub fn add(&mut self, job: &JobId, dependencies: &[JobId]) {
        if dependencies.is_empty() {
            return;
        }
        for dependency in dependencies {
            let dependents = self.dependents.entry(dependency.clone()).or_default();
            dependents.insert(job.clone());
        }
        self.open
            .insert(job.clone(), dependencies.iter().cloned().collect());
    }

    /// Whether the job has an open dependency.
    pub fn is_blocked(&self, job: &JobId) -> bool {
        self.open.contains_key(job)
    }

    /// Whether any job waits for this one.
    pub fn has_dependents(&self, job: &JobId) -> bool {
        self.dependents.contains_key(job)
    }

    /// The open dependencies of the job.
    pub fn open_dependencies_of(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        self.open.get(job).into_iter().flatten()
    }

    /// The jobs that depend on this one directly.
    pub fn dependents_of(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(job).into_iter().flatten()
    }

    /// The job is done, and stored as such. Returns the jobs for which it was the last
    /// open dependency.
    pub fn mark_done(&mut self, job: &JobId) -> Vec<JobId> {
        let dependents = self.dependents.remove(job).unwrap_or_default();
        dependents
            .into_iter()
            .filter(|dependent| self.remove_open_dependency(dependent, job))
            .collect()
    }

    /// One dependency of a job is done. Returns whether it was the last open one.
    fn remove_open_dependency(&mut self, dependent: &JobId, dependency: &JobId) -> bool {
        let Some(open) = self.open.get_mut(dependent) else {
            return false;
        };
        open.remove(dependency);
        if open.is_empty() {
            self.open.remove(dependent);
            return true;
        }
        false
    }

    /// The job is over, or all its dependencies are known to be done.
    pub fn remove_dependencies(&mut self, job: &JobId) {
        for dependency in self.open.remove(job).unwrap_or_default() {
            if let Some(dependents) = self.dependents.get_mut(&dependency) {
                dependents.remove(job);
                if dependents.is_empty() {
                    self.dependents.remove(&dependency);
                }
            }
        }
    }

    /// All jobs that depend on this one, directly or through others, each once.
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

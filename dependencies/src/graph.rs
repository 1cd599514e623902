//! Who needs whom among the jobs that a leader holds.

use lilacfork_common::ids::JobId;
use std::collections::{BTreeSet, HashMap, HashSet};

/// The needs that aren't known to be done yet, and the same seen from the other end.
#[derive(Clone, Default, Debug)]
pub struct DependencyGraph {
    open: HashMap<JobId, BTreeSet<JobId>>,
    dependents: HashMap<JobId, BTreeSet<JobId>>,
}

impl DependencyGraph {
    /// Forgets everything.
    pub fn clear(&mut self) {
        *self = DependencyGraph::default();
    }

    /// A job that needs these.
    pub fn add(&mut self, job: &JobId, needs: &[JobId]) {
        if needs.is_empty() {
            return;
        }
        for need in needs {
            let dependents = self.dependents.entry(need.clone()).or_default();
            dependents.insert(job.clone());
        }
        self.open
            .insert(job.clone(), needs.iter().cloned().collect());
    }

    /// Whether the job needs something that isn't known to be done.
    pub fn is_blocked(&self, job: &JobId) -> bool {
        self.open.contains_key(job)
    }

    /// Whether anything needs this job.
    pub fn has_dependents(&self, job: &JobId) -> bool {
        self.dependents.contains_key(job)
    }

    /// What the job needs and isn't known to be done.
    pub fn open_dependencies_of(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        self.open.get(job).into_iter().flatten()
    }

    /// The jobs that need this one directly.
    pub fn dependents_of(&self, job: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(job).into_iter().flatten()
    }

    /// The job is done, and stored as such. Returns the jobs that need nothing more.
    pub fn mark_done(&mut self, job: &JobId) -> Vec<JobId> {
        let dependents = self.dependents.remove(job).unwrap_or_default();
        dependents
            .into_iter()
            .filter(|dependent| self.remove_open_dependency(dependent, job))
            .collect()
    }

    /// Notes that a need is met. `true`: it was the job's last.
    fn remove_open_dependency(&mut self, dependent: &JobId, need: &JobId) -> bool {
        let Some(open) = self.open.get_mut(dependent) else {
            return false;
        };
        open.remove(need);
        if open.is_empty() {
            self.open.remove(dependent);
            return true;
        }
        false
    }

    /// The job is over, or is known to have all that it needs.
    pub fn remove_dependencies(&mut self, job: &JobId) {
        for need in self.open.remove(job).unwrap_or_default() {
            if let Some(dependents) = self.dependents.get_mut(&need) {
                dependents.remove(job);
                if dependents.is_empty() {
                    self.dependents.remove(&need);
                }
            }
        }
    }

    /// All jobs that need this one, directly or through others, each once.
    pub fn transitive_dependents(&self, job: &JobId) -> Vec<JobId> {
        let mut seen: HashSet<&JobId> = HashSet::new();
        let mut found: Vec<JobId> = Vec::new();
        let mut layer: Vec<&JobId> = self.dependents_of(job).collect();
        while !layer.is_empty() {
            let mut next = Vec::new();
            for dependent in layer {
                if seen.insert(dependent) {
                    found.push(dependent.clone());
                    next.extend(self.dependents_of(dependent));
                }
            }
            layer = next;
        }
        found
    }

    /// Needs that aren't among the jobs for which `held` is true: how they ended has
    /// to be read.
    pub fn unread<'a>(
        &'a self,
        held: impl Fn(&JobId) -> bool + 'a,
    ) -> impl Iterator<Item = &'a JobId> + 'a {
        self.dependents.keys().filter(move |need| !held(need))
    }
}

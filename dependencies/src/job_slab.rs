//! Storage for one entry per job, found by the job's id or by a small index.

use lilacfork_common::ids::JobId;
use std::collections::HashMap;

/// The index of a job in a [`JobSlab`]. An index is reused once its entry is removed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct JobIndex(u32);

impl JobIndex {
    fn position(self) -> usize {
        self.0 as usize
    }
}

/// One entry per job. The edges between jobs hold indexes instead of ids, because a wide
/// pipeline has far more edges than jobs.
#[derive(Clone, Debug)]
pub(crate) struct JobSlab<T> {
    indexes: HashMap<JobId, JobIndex>,
    entries: Vec<Option<(JobId, T)>>,
    vacant: Vec<JobIndex>,
}

impl<T> Default for JobSlab<T> {
    fn default() -> Self {
        JobSlab {
            indexes: HashMap::new(),
            entries: Vec::new(),
            vacant: Vec::new(),
        }
    }
}

impl<T> JobSlab<T> {
    /// Returns the index of a job; `None` if it has no entry.
    pub(crate) fn index_of(&self, job: &JobId) -> Option<JobIndex> {
        self.indexes.get(job).copied()
    }

    /// Returns the job with this index.
    pub(crate) fn job(&self, index: JobIndex) -> Option<&JobId> {
        let (job, _) = self.entries.get(index.position())?.as_ref()?;
        Some(job)
    }

    pub(crate) fn get(&self, index: JobIndex) -> Option<&T> {
        let (_, entry) = self.entries.get(index.position())?.as_ref()?;
        Some(entry)
    }

    pub(crate) fn get_mut(&mut self, index: JobIndex) -> Option<&mut T> {
        let (_, entry) = self.entries.get_mut(index.position())?.as_mut()?;
        Some(entry)
    }

    /// Returns the entry of a job; `None` if it has none.
    pub(crate) fn find(&self, job: &JobId) -> Option<&T> {
        self.get(self.index_of(job)?)
    }

    /// Iterates over all entries in the order of their indexes.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&JobId, &T)> {
        let entries = self.entries.iter().flatten();
        entries.map(|(job, entry)| (job, entry))
    }

    pub(crate) fn remove(&mut self, index: JobIndex) {
        let slot = self.entries.get_mut(index.position());
        if let Some((job, _)) = slot.and_then(Option::take) {
            self.indexes.remove(&job);
            self.vacant.push(index);
        }
    }
}

impl<T: Default> JobSlab<T> {
    /// Returns the index of a job, with a new entry if it has none.
    pub(crate) fn index_or_insert(&mut self, job: &JobId) -> JobIndex {
        if let Some(index) = self.index_of(job) {
            return index;
        }
        let index = self.vacant.pop().unwrap_or_else(|| {
            self.entries.push(None);
            JobIndex(self.entries.len() as u32 - 1)
        });
        if let Some(slot) = self.entries.get_mut(index.position()) {
            *slot = Some((job.clone(), T::default()));
        }
        self.indexes.insert(job.clone(), index);
        index
    }
}

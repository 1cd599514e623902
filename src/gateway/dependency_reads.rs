//! The reads of dependencies' final records that are in flight. Requests that need the
//! same record share one read.

use super::pending_request::RequestNumber;
use crate::ids::JobId;
use std::collections::HashMap;

/// A read of a dependency's final record.
#[derive(Debug)]
pub(super) struct DependencyRead {
    pub(super) dependency: JobId,
    /// The requests that wait for the read.
    pub(super) waiting: Vec<RequestNumber>,
}

/// The reads in flight, by their own numbers.
#[derive(Debug, Default)]
pub(super) struct DependencyReads {
    by_number: HashMap<RequestNumber, DependencyRead>,
    numbers: HashMap<JobId, RequestNumber>,
}

impl DependencyReads {
    /// Returns the number of reads in flight.
    pub(super) fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Returns the read of this dependency; `None` if none is in flight.
    pub(super) fn find_mut(&mut self, dependency: &JobId) -> Option<&mut DependencyRead> {
        self.by_number.get_mut(self.numbers.get(dependency)?)
    }

    /// Adds a read that is about to be sent.
    pub(super) fn insert(&mut self, number: RequestNumber, read: DependencyRead) {
        self.numbers.insert(read.dependency.clone(), number);
        self.by_number.insert(number, read);
    }

    /// Removes a read whose response has arrived.
    pub(super) fn remove(&mut self, number: RequestNumber) -> Option<DependencyRead> {
        let read = self.by_number.remove(&number)?;
        self.numbers.remove(&read.dependency);
        Some(read)
    }

    /// Removes the waiting requests from all reads. The reads continue, because the final
    /// record of a job never changes.
    pub(super) fn forget_waiting(&mut self) {
        for read in self.by_number.values_mut() {
            read.waiting.clear();
        }
    }
}

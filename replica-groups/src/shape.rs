//! How the tasks of a job form replicas.

use std::ops::Range;

/// A replica with fewer parts doesn't span machines.
pub(crate) const MIN_PARTS: u32 = 2;

/// The index of a replica in its job.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ReplicaIndex(pub u32);

/// How a job's tasks are grouped: each run of `parts` consecutive tasks forms a
/// replica. Only valid shapes can be constructed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Shape {
    parts: u32,
    tasks: u32,
}

impl Shape {
    /// `None`: the tasks don't divide into replicas with this number of parts, or a
    /// replica would have fewer than two.
    pub fn new(parts: u32, tasks: u32) -> Option<Shape> {
        let is_valid = parts >= MIN_PARTS && tasks >= parts && tasks.is_multiple_of(parts);
        is_valid.then_some(Shape { parts, tasks })
    }

    /// How many parts each replica has.
    pub fn parts(&self) -> u32 {
        self.parts
    }

    /// How many replicas the job has.
    pub fn replicas(&self) -> u32 {
        self.tasks / self.parts
    }

    /// The replica that a task is a part of.
    pub fn replica_of(&self, task: u32) -> ReplicaIndex {
        ReplicaIndex(task / self.parts)
    }

    /// The tasks that are the parts of a replica.
    pub fn tasks_of(&self, replica: ReplicaIndex) -> Range<u32> {
        let first = replica.0 * self.parts;
        first..first + self.parts
    }

    /// The largest number of tasks, up to `most`, that holds whole replicas only.
    /// `None`: not even one replica fits.
    pub fn whole_replicas(&self, most: u32) -> Option<u32> {
        let whole = most - most % self.parts;
        (whole > 0).then_some(whole)
    }
}

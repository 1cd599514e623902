//! The division of a job's tasks into replicas.

use std::ops::Range;

/// Minimum number of parts per replica. A replica with fewer parts doesn't span machines.
pub(crate) const MIN_PARTS: u32 = 2;

/// The index of a replica in its job, counted from 0.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct ReplicaIndex(pub u32);

/// The division of a job's tasks into replicas: every `parts` consecutive tasks form one
/// replica. Only valid shapes can be constructed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Shape {
    parts: u32,
    tasks: u32,
}

impl Shape {
    /// Creates the shape of a job with `tasks` tasks and `parts` parts per replica. `None` if
    /// `tasks` isn't a positive multiple of `parts`, or `parts` is less than two.
    pub fn new(parts: u32, tasks: u32) -> Option<Shape> {
        let is_valid = parts >= MIN_PARTS && tasks >= parts && tasks.is_multiple_of(parts);
        is_valid.then_some(Shape { parts, tasks })
    }

    /// Returns the number of parts per replica.
    pub fn parts(&self) -> u32 {
        self.parts
    }

    /// Returns the number of replicas of the job.
    pub fn replicas(&self) -> u32 {
        self.tasks / self.parts
    }

    /// Returns the replica that contains a task.
    pub fn replica_of(&self, task: u32) -> ReplicaIndex {
        ReplicaIndex(task / self.parts)
    }

    /// Returns the task indices of a replica's parts.
    pub fn tasks_of(&self, replica: ReplicaIndex) -> Range<u32> {
        let first = replica.0 * self.parts;
        first..first + self.parts
    }

    /// Returns the largest number of tasks up to `max_tasks` that consists of whole replicas.
    /// `None` if `max_tasks` is less than one replica.
    pub fn max_tasks_in_whole_replicas(&self, max_tasks: u32) -> Option<u32> {
        let whole_replica_tasks = max_tasks - max_tasks % self.parts;
        (whole_replica_tasks > 0).then_some(whole_replica_tasks)
    }
}

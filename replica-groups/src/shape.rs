//! How a job's tasks form replicas.

use std::ops::Range;

/// Which replica of its job a group is.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Replica(pub u32);

/// A job's grouping: consecutive tasks form a replica. Only sound ones exist.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Shape {
    parts: u32,
    tasks: u32,
}

impl Shape {
    /// `None`: the tasks don't divide into replicas of so many parts, or a
    /// replica wouldn't have several.
    pub fn new(parts: u32, tasks: u32) -> Option<Shape> {
        let sound = parts >= 2 && tasks >= parts && tasks.is_multiple_of(parts);
        sound.then_some(Shape { parts, tasks })
    }

    /// Parts of each replica.
    pub fn parts(&self) -> u32 {
        self.parts
    }

    /// How many replicas there are.
    pub fn replicas(&self) -> u32 {
        self.tasks / self.parts
    }

    /// The replica that a task is a part of.
    pub fn replica_of(&self, task: u32) -> Replica {
        Replica(task / self.parts)
    }

    /// The tasks that are a replica's parts.
    pub fn tasks_of(&self, replica: Replica) -> Range<u32> {
        let first = replica.0 * self.parts;
        first..first + self.parts
    }

    /// The most tasks up to `most` that hold whole replicas only; `None`: not even
    /// one.
    pub fn whole_replicas(&self, most: u32) -> Option<u32> {
        let whole = most - most % self.parts;
        (whole > 0).then_some(whole)
    }
}

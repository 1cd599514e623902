//! The groups of one job.

use crate::group::ReplicaGroup;
use crate::record::GroupRecord;
use crate::shape::{ReplicaIndex, Shape};
use std::ops::Range;

/// The groups of one job.
#[derive(Debug)]
pub struct JobGroups {
    shape: Shape,
    groups: Vec<ReplicaGroup>,
}

impl JobGroups {
    pub(crate) fn new(shape: Shape) -> JobGroups {
        let groups = (0..shape.replicas()).map(|index| ReplicaGroup::new(ReplicaIndex(index)));
        JobGroups {
            shape,
            groups: groups.collect(),
        }
    }

    /// How the job's tasks form replicas.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// The groups, in the order of their tasks.
    pub fn iter(&self) -> impl Iterator<Item = &ReplicaGroup> {
        self.groups.iter()
    }

    /// The group of a replica.
    pub(crate) fn get(&self, replica: ReplicaIndex) -> Option<&ReplicaGroup> {
        self.groups.get(replica.0 as usize)
    }

    /// The group of a replica, to change it.
    pub(crate) fn get_mut(&mut self, replica: ReplicaIndex) -> Option<&mut ReplicaGroup> {
        self.groups.get_mut(replica.0 as usize)
    }

    /// The group that a task is a part of, to change it.
    pub fn for_task_mut(&mut self, task: u32) -> Option<&mut ReplicaGroup> {
        self.get_mut(self.shape.replica_of(task))
    }

    /// Whether the task is a part of a group that serves.
    pub fn serves(&self, task: u32) -> bool {
        let group = self.get(self.shape.replica_of(task));
        group.is_some_and(ReplicaGroup::serves)
    }

    /// Of the groups that wait for capacity and may start now: whether the circuit
    /// breaker of each is open. `None`: no group waits.
    pub fn waiting_groups_all_failing(&self, now_ms: u64) -> Option<bool> {
        let mut waiting = self
            .groups
            .iter()
            .filter(|group| group.awaits_placement(now_ms));
        let first = waiting.next()?;
        let breaker_open = |group: &ReplicaGroup| group.circuit_breaker().is_open();
        Some(breaker_open(first) && waiting.all(breaker_open))
    }

    /// What the placement record of a range of tasks has to say of the groups in it.
    pub fn records(&self, tasks: Range<u32>) -> Vec<GroupRecord> {
        let in_range =
            |group: &&ReplicaGroup| tasks.contains(&self.shape.tasks_of(group.replica()).start);
        let groups = self.groups.iter().filter(in_range);
        groups.filter_map(ReplicaGroup::to_record).collect()
    }
}

//! The replica groups of one job.

use crate::group::ReplicaGroup;
use crate::record::GroupRecord;
use crate::shape::{ReplicaIndex, Shape};
use lilacfork_common::ids::MachineId;
use std::ops::Range;

/// The replica groups of one job, one for each replica.
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

    /// Returns how the job's tasks form replicas.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// Iterates over the groups in the order of their tasks.
    pub fn iter(&self) -> impl Iterator<Item = &ReplicaGroup> {
        self.groups.iter()
    }

    pub(crate) fn get(&self, replica: ReplicaIndex) -> Option<&ReplicaGroup> {
        self.groups.get(replica.0 as usize)
    }

    pub(crate) fn get_mut(&mut self, replica: ReplicaIndex) -> Option<&mut ReplicaGroup> {
        self.groups.get_mut(replica.0 as usize)
    }

    /// Returns a mutable reference to the group that contains a task.
    pub fn for_task_mut(&mut self, task: u32) -> Option<&mut ReplicaGroup> {
        self.get_mut(self.shape.replica_of(task))
    }

    /// Records that another job succeeded on a machine on which groups of this job had failed.
    /// Returns whether this opened the circuit breaker of any group.
    pub fn record_contradiction(&mut self, machine: &MachineId) -> bool {
        let failed_there = self
            .groups
            .iter_mut()
            .filter(|group| group.circuit_breaker().failed_on(machine));
        let opened = failed_there.map(ReplicaGroup::record_contradiction);
        opened.fold(false, |any, opened| any | opened)
    }

    /// Returns whether the group that contains a task was serving at its last evaluation.
    pub fn is_task_serving(&self, task: u32) -> bool {
        let group = self.get(self.shape.replica_of(task));
        group.is_some_and(ReplicaGroup::is_serving)
    }

    /// Returns whether the circuit breakers of all groups that wait for capacity and may start
    /// now are open. `None` if there is no such group.
    pub fn all_waiting_breakers_open(&self, now_ms: u64) -> Option<bool> {
        let mut waiting = self
            .groups
            .iter()
            .filter(|group| group.awaits_placement(now_ms));
        let first = waiting.next()?;
        let breaker_open = |group: &ReplicaGroup| group.circuit_breaker().is_open();
        Some(breaker_open(first) && waiting.all(breaker_open))
    }

    /// Returns the group entries for the placement record of a range of tasks. The range holds
    /// whole replicas.
    pub fn records(&self, tasks: Range<u32>) -> Vec<GroupRecord> {
        let in_range =
            |group: &&ReplicaGroup| tasks.contains(&self.shape.tasks_of(group.replica()).start);
        let groups = self.groups.iter().filter(in_range);
        groups.filter_map(ReplicaGroup::to_record).collect()
    }
}

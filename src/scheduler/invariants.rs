//! Violations of the scheduler's invariants: derived state that differs from what it
//! is derived from. Tests check for them.

use crate::capacity_index::CapacityIndexViolation;
use crate::ids::{JobId, MachineId, TaskRef};
use crate::placement::Resources;
use lilacfork_replica_groups::registry::GroupId;
use std::collections::BTreeSet;
use std::rc::Rc;
use thiserror::Error;

/// An invariant of the scheduler's state that doesn't hold.
#[derive(Clone, PartialEq, Debug, Error)]
pub enum InvariantViolation {
    /// A list of jobs isn't up to date.
    #[error("{list} jobs are {listed:?}, recounted {recounted:?}")]
    JobList {
        /// Which list.
        list: &'static str,
        /// The jobs of the list.
        listed: BTreeSet<JobId>,
        /// The jobs that should be on it.
        recounted: BTreeSet<JobId>,
    },
    /// A team's usage isn't the sum over its jobs.
    #[error("team {team} uses {used:?}, recounted {recounted:?}")]
    TeamUsage {
        /// The team.
        team: Rc<str>,
        /// Its usage as it is kept.
        used: Resources,
        /// Its usage by its jobs.
        recounted: Resources,
    },
    /// The capacity index doesn't hold the machines of the fleet.
    #[error("machines {machines:?}, in the capacity index {indexed:?}")]
    IndexedMachines {
        /// The machines of the fleet.
        machines: BTreeSet<MachineId>,
        /// The machines of the capacity index.
        indexed: BTreeSet<MachineId>,
    },
    /// The capacity index holds an earlier state of a machine.
    #[error("machine {0} is indexed with an earlier state")]
    StaleCapacity(MachineId),
    /// A machine holds a task that its job hasn't assigned to it.
    #[error("task {task} is on machine {machine}, its job doesn't assign it there")]
    UnassignedTask {
        /// The task.
        task: TaskRef,
        /// The machine.
        machine: MachineId,
    },
    /// A machine's usage isn't the sum over its tasks.
    #[error("machine {machine} uses {used:?}, recounted {recounted:?}")]
    MachineUsage {
        /// The machine.
        machine: MachineId,
        /// Its usage as it is kept.
        used: Resources,
        /// Its usage by its tasks.
        recounted: Resources,
    },
    /// A job that is over has replica groups.
    #[error("job {0} has replica groups and is over")]
    GroupsOfFinishedJob(JobId),
    /// A replica group serves although parts of it are missing.
    #[error("replica group {0} serves incomplete")]
    IncompleteGroup(GroupId),
    /// The capacity index contradicts itself.
    #[error(transparent)]
    CapacityIndex(#[from] CapacityIndexViolation),
}

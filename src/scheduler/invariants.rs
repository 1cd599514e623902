//! Violations of the scheduler's invariants, which tests check: derived state that
//! differs from the state that it is derived from.

use crate::capacity_index::CapacityIndexViolation;
use crate::ids::{JobId, MachineId, TaskRef};
use crate::placement::Resources;
use lilacfork_replica_groups::registry::GroupId;
use std::collections::BTreeSet;
use std::rc::Rc;
use thiserror::Error;

/// A violated invariant of the scheduler's state.
#[derive(Clone, PartialEq, Debug, Error)]
pub enum InvariantViolation {
    /// A list of jobs differs from the list recomputed from the jobs' states.
    #[error("list of {list} jobs: maintained {listed:?}, recomputed {recomputed:?}")]
    JobList {
        /// The state that the listed jobs have in common.
        list: &'static str,
        /// The incrementally maintained list.
        listed: BTreeSet<JobId>,
        /// The list recomputed from the jobs' states.
        recomputed: BTreeSet<JobId>,
    },
    /// A team's resource usage differs from the sum over its jobs.
    #[error("usage of team {team}: maintained {used:?}, recomputed {recomputed:?}")]
    TeamUsage {
        /// The name of the team, as in the settings.
        team: Rc<str>,
        /// The incrementally maintained usage.
        used: Resources,
        /// The sum over the team's jobs.
        recomputed: Resources,
    },
    /// The capacity index and the fleet contain different machines.
    #[error("machines in the fleet {machines:?}, in the capacity index {indexed:?}")]
    IndexedMachines {
        /// The machines in the fleet.
        machines: BTreeSet<MachineId>,
        /// The machines in the capacity index.
        indexed: BTreeSet<MachineId>,
    },
    /// The capacity index has an outdated state of a machine.
    #[error("the capacity index has an outdated state of machine {0}")]
    StaleCapacity(MachineId),
    /// A machine lists a task that has no assignment to this machine.
    #[error("machine {machine} lists task {task}, which is not assigned to it")]
    UnassignedTask {
        /// The task without an assignment to the machine.
        task: TaskRef,
        /// The machine that lists the task.
        machine: MachineId,
    },
    /// A machine's allocated resources differ from the sum over its tasks.
    #[error("usage of machine {machine}: maintained {used:?}, recomputed {recomputed:?}")]
    MachineUsage {
        /// The machine whose usage is wrong.
        machine: MachineId,
        /// The incrementally maintained usage.
        used: Resources,
        /// The sum over the machine's tasks.
        recomputed: Resources,
    },
    /// A finished job still has replica groups.
    #[error("finished job {0} still has replica groups")]
    GroupsOfFinishedJob(JobId),
    /// A replica group serves although parts of it are missing.
    #[error("replica group {0} serves although parts of it are missing")]
    IncompleteGroup(GroupId),
    /// The capacity index is inconsistent in itself.
    #[error(transparent)]
    CapacityIndex(#[from] CapacityIndexViolation),
}

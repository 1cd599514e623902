//! Constructors of parts, actions and groups for the tests.

use lilacfork_common::ids::{Attempt, MachineId};
use lilacfork_replica_groups::group::{
    GroupAction, GroupTiming, MigrationTargets, ReplicaGroup, StopCause,
};
use lilacfork_replica_groups::observation::{
    Binding, MachineHealth, Part, PartActivity, PartState,
};
use lilacfork_replica_groups::shape::ReplicaIndex;

/// Timeouts of all groups in the tests.
pub const TIMING: GroupTiming = GroupTiming {
    reservation_ms: 20_000,
    success_after_ms: 30_000,
    heartbeat_ms: 1000,
};

/// Returns the id of the machine with this index.
pub fn machine(index: u32) -> MachineId {
    MachineId::new(&format!("vm-{index}"))
}

/// Returns a part that is bound to a machine with generation 1.
pub fn bound(task: u32, machine_index: u32, activity: PartActivity, health: MachineHealth) -> Part {
    Part {
        task,
        state: PartState::Bound(Binding {
            generation: Attempt(1),
            machine: machine(machine_index),
            activity,
            health,
            stopping: false,
        }),
    }
}

/// Returns a part that runs on the machine whose index equals the part's task.
pub fn running(task: u32) -> Part {
    bound(task, task, PartActivity::Running, MachineHealth::Reporting)
}

/// Returns a part that isn't on any machine.
pub fn waiting(task: u32) -> Part {
    Part {
        task,
        state: PartState::Waiting,
    }
}

/// Marks a bound part as being stopped.
pub fn stopping(mut part: Part) -> Part {
    if let PartState::Bound(binding) = &mut part.state {
        binding.stopping = true;
    }
    part
}

/// Returns the action that stops these parts.
pub fn stop_action(parts: &[u32], cause: StopCause) -> GroupAction {
    GroupAction::Stop {
        parts: parts.to_vec(),
        cause,
    }
}

/// Returns the tasks of the parts for which machines are reserved.
pub fn reserved_tasks(group: &ReplicaGroup, now_ms: u64) -> Vec<u32> {
    group
        .reserved_targets(now_ms)
        .iter()
        .map(|target| target.task)
        .collect()
}

/// Creates a serving group of two parts.
pub fn serving(now_ms: u64) -> ReplicaGroup {
    let mut group = ReplicaGroup::new(ReplicaIndex(0));
    let actions = group.evaluate(
        now_ms,
        &TIMING,
        &[running(0), running(1)],
        MigrationTargets::Unavailable,
    );
    assert_eq!(actions, []);
    assert!(group.is_serving());
    group
}

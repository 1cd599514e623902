//! Parts and groups as the tests need them.

use lilacfork_common::ids::{Attempt, MachineId};
use lilacfork_replica_groups::group::{
    GroupAction, GroupTiming, MigrationTargets, ReplicaGroup, StopCause,
};
use lilacfork_replica_groups::observation::{
    Binding, MachineHealth, Part, PartActivity, PartState,
};
use lilacfork_replica_groups::shape::ReplicaIndex;

/// The timeouts of all groups.
pub const TIMING: GroupTiming = GroupTiming {
    reservation_ms: 20_000,
    settled_ms: 30_000,
    heartbeat_ms: 1000,
};

/// The machine with this number.
pub fn machine(index: u32) -> MachineId {
    MachineId::new(&format!("vm-{index}"))
}

/// A part that is bound to a machine.
pub fn bound(task: u32, on: u32, activity: PartActivity, health: MachineHealth) -> Part {
    Part {
        task,
        state: PartState::Bound(Binding {
            generation: Attempt(1),
            machine: machine(on),
            activity,
            health,
            stopping: false,
        }),
    }
}

/// A part that runs on the machine of its own number.
pub fn running(task: u32) -> Part {
    bound(task, task, PartActivity::Running, MachineHealth::Reporting)
}

/// A part on no machine.
pub fn waiting(task: u32) -> Part {
    Part {
        task,
        state: PartState::Waiting,
    }
}

/// The part, now being stopped.
pub fn stopping(mut part: Part) -> Part {
    if let PartState::Bound(binding) = &mut part.state {
        binding.stopping = true;
    }
    part
}

/// The action that stops these parts.
pub fn stop(parts: &[u32], cause: StopCause) -> GroupAction {
    GroupAction::Stop {
        parts: parts.to_vec(),
        cause,
    }
}

/// The parts for which machines are reserved.
pub fn held(group: &ReplicaGroup, now_ms: u64) -> Vec<u32> {
    group
        .reserved_targets(now_ms)
        .iter()
        .map(|target| target.task)
        .collect()
}

/// A group of two parts that serves.
pub fn serving(now_ms: u64) -> ReplicaGroup {
    let mut group = ReplicaGroup::new(ReplicaIndex(0));
    let actions = group.observe(
        now_ms,
        &TIMING,
        &[running(0), running(1)],
        MigrationTargets::Closed,
    );
    assert_eq!(actions, []);
    assert!(group.serves());
    group
}

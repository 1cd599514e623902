//! Tests of single steps in a group's life cycle: start, outage, repair and failure.

use crate::fixtures::{
    bound, machine, reserved_tasks, running, serving, stop_action, stopping, waiting, TIMING,
};
use lilacfork_common::ids::Attempt;
use lilacfork_replica_groups::group::{
    GroupAction, GroupEvent, GroupState, MigrationTargets, ReplicaGroup, StopCause,
};
use lilacfork_replica_groups::observation::{MachineHealth, PartActivity, PartState};
use lilacfork_replica_groups::shape::ReplicaIndex;

#[test]
fn group_serves_only_if_all_parts_run_on_reporting_machines() {
    let state_with = |activity, health| {
        let mut group = ReplicaGroup::new(ReplicaIndex(0));
        group.evaluate(
            0,
            &TIMING,
            &[running(0), bound(1, 1, activity, health)],
            MigrationTargets::Unavailable,
        );
        group.state()
    };
    assert_eq!(
        state_with(PartActivity::Running, MachineHealth::Reporting),
        GroupState::Serving
    );
    assert_eq!(
        state_with(PartActivity::Running, MachineHealth::Unresponsive),
        GroupState::Starting
    );
    assert_eq!(
        state_with(PartActivity::Starting, MachineHealth::Reporting),
        GroupState::Starting
    );
    assert_eq!(
        state_with(PartActivity::NotReported, MachineHealth::Reporting),
        GroupState::Starting
    );
    assert_eq!(
        state_with(PartActivity::Running, MachineHealth::Lost),
        GroupState::Degraded
    );
}

#[test]
fn bound_parts_of_two_generations_are_stopped() {
    let mut group = ReplicaGroup::new(ReplicaIndex(0));
    let mut other = running(1);
    if let PartState::Bound(binding) = &mut other.state {
        binding.generation = Attempt(2);
    }
    let actions = group.evaluate(
        0,
        &TIMING,
        &[running(0), other],
        MigrationTargets::Unavailable,
    );
    assert_eq!(actions, [stop_action(&[0, 1], StopCause::PartLost)]);
}

#[test]
fn lost_part_stops_generation_and_reserves_healthy_machines_until_timeout() {
    let mut group = serving(0);
    let lost = bound(1, 1, PartActivity::Running, MachineHealth::Lost);
    let actions = group.evaluate(
        5000,
        &TIMING,
        &[running(0), lost.clone()],
        MigrationTargets::Unavailable,
    );
    assert_eq!(actions, [stop_action(&[0, 1], StopCause::PartLost)]);
    assert_eq!(group.state(), GroupState::Degraded);
    assert_eq!(
        reserved_tasks(&group, 5000),
        [0],
        "the machine of the remaining part"
    );
    let both = [stopping(running(0)), stopping(lost)];
    assert_eq!(
        group.evaluate(5100, &TIMING, &both, MigrationTargets::Unavailable),
        []
    );
    assert_eq!(group.state(), GroupState::Stopping);
    group.evaluate(
        6000,
        &TIMING,
        &[waiting(0), waiting(1)],
        MigrationTargets::Unavailable,
    );
    assert!(group.awaits_placement(6000));
    assert_eq!(reserved_tasks(&group, 24_999), [0]);
    assert!(
        reserved_tasks(&group, 25_000).is_empty(),
        "the reservation has expired"
    );
    assert_eq!(group.record_parts_bound(), None);
    assert!(reserved_tasks(&group, 6000).is_empty());
    let next = |task| {
        let mut part = running(task);
        if let PartState::Bound(binding) = &mut part.state {
            binding.generation = Attempt(2);
        }
        part
    };
    let actions = group.evaluate(
        9000,
        &TIMING,
        &[next(0), next(1)],
        MigrationTargets::Unavailable,
    );
    assert_eq!(
        actions,
        [GroupAction::Emit(GroupEvent::Repaired { took_ms: 4000 })]
    );
}

#[test]
fn resumed_heartbeats_end_outage_without_repair() {
    let mut group = serving(0);
    let unresponsive = bound(1, 1, PartActivity::Running, MachineHealth::Unresponsive);
    assert_eq!(
        group.evaluate(
            5000,
            &TIMING,
            &[running(0), unresponsive],
            MigrationTargets::Unavailable
        ),
        []
    );
    assert_eq!(group.state(), GroupState::Degraded);
    let actions = group.evaluate(
        7000,
        &TIMING,
        &[running(0), running(1)],
        MigrationTargets::Unavailable,
    );
    assert_eq!(actions, [GroupAction::Emit(GroupEvent::InterruptionEnded)]);
}

/// Work that preempts one part needs the capacity, so the other parts' machines must not be
/// reserved for the group.
#[test]
fn preempted_part_stops_generation_without_reservation() {
    let mut group = serving(0);
    let parts = [running(0), stopping(running(1))];
    let actions = group.evaluate(1000, &TIMING, &parts, MigrationTargets::Unavailable);
    assert_eq!(actions, [stop_action(&[0], StopCause::PartStopped)]);
    assert!(reserved_tasks(&group, 1000).is_empty());
}

#[test]
fn generation_with_several_failed_parts_counts_as_one_probe() {
    let mut group = ReplicaGroup::new(ReplicaIndex(0));
    assert!(!group.record_part_failure(0, Attempt(1), &machine(0), &TIMING));
    assert!(!group.record_part_failure(0, Attempt(1), &machine(1), &TIMING));
    assert!(
        group.record_part_failure(0, Attempt(2), &machine(2), &TIMING),
        "the second generation's failure opens the breaker"
    );
    group.evaluate(
        0,
        &TIMING,
        &[waiting(0), waiting(1)],
        MigrationTargets::Unavailable,
    );
    assert!(!group.awaits_placement(499) && group.awaits_placement(500));
    group.record_part_failure(1000, Attempt(3), &machine(0), &TIMING);
    group.record_part_failure(1000, Attempt(3), &machine(1), &TIMING);
    assert!(
        !group.awaits_placement(1999) && group.awaits_placement(2000),
        "the pause doubles once per generation"
    );
    let record = group
        .to_record()
        .expect("an open circuit breaker is stored");
    let mut next = ReplicaGroup::new(ReplicaIndex(0));
    next.restore(0, &TIMING, record);
    assert!(next.circuit_breaker().is_open());
    let both = [running(0), running(1)];
    next.evaluate(0, &TIMING, &both, MigrationTargets::Unavailable);
    let actions = next.evaluate(30_001, &TIMING, &both, MigrationTargets::Unavailable);
    assert_eq!(actions, [GroupAction::RecordSuccess]);
    assert!(!next.circuit_breaker().is_open());
}

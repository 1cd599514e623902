//! A group's start, outages, repairs and failures, step by step.

use crate::fixtures::{bound, held, machine, running, serving, stop, stopping, waiting, TIMING};
use lilacfork_common::ids::Attempt;
use lilacfork_replica_groups::group::{
    GroupAction, GroupEvent, GroupState, MigrationTargets, ReplicaGroup, StopCause,
};
use lilacfork_replica_groups::observation::{MachineHealth, PartActivity, PartState};
use lilacfork_replica_groups::shape::ReplicaIndex;

#[test]
fn only_a_complete_generation_that_is_heard_serves() {
    let seen = |seen, health| {
        let mut group = ReplicaGroup::new(ReplicaIndex(0));
        group.observe(
            0,
            &TIMING,
            &[running(0), bound(1, 1, seen, health)],
            MigrationTargets::Closed,
        );
        group.state()
    };
    assert_eq!(
        seen(PartActivity::Running, MachineHealth::Reporting),
        GroupState::Serving
    );
    assert_eq!(
        seen(PartActivity::Running, MachineHealth::Silent),
        GroupState::Starting
    );
    assert_eq!(
        seen(PartActivity::Starting, MachineHealth::Reporting),
        GroupState::Starting
    );
    assert_eq!(
        seen(PartActivity::NotReported, MachineHealth::Reporting),
        GroupState::Starting
    );
    assert_eq!(
        seen(PartActivity::Running, MachineHealth::Lost),
        GroupState::Degraded
    );
}

#[test]
fn parts_of_two_generations_are_stopped() {
    let mut group = ReplicaGroup::new(ReplicaIndex(0));
    let mut other = running(1);
    if let PartState::Bound(binding) = &mut other.state {
        binding.generation = Attempt(2);
    }
    let actions = group.observe(0, &TIMING, &[running(0), other], MigrationTargets::Closed);
    assert_eq!(actions, [stop(&[0, 1], StopCause::PartLost)]);
}

#[test]
fn a_lost_part_stops_the_others_and_holds_their_room_for_a_while() {
    let mut group = serving(0);
    let lost = bound(1, 1, PartActivity::Running, MachineHealth::Lost);
    let actions = group.observe(
        5000,
        &TIMING,
        &[running(0), lost.clone()],
        MigrationTargets::Closed,
    );
    assert_eq!(actions, [stop(&[0, 1], StopCause::PartLost)]);
    assert_eq!(group.state(), GroupState::Degraded);
    assert_eq!(held(&group, 5000), [0], "the survivor's machine");
    let both = [stopping(running(0)), stopping(lost)];
    assert_eq!(
        group.observe(5100, &TIMING, &both, MigrationTargets::Closed),
        []
    );
    assert_eq!(group.state(), GroupState::Stopping);
    group.observe(
        6000,
        &TIMING,
        &[waiting(0), waiting(1)],
        MigrationTargets::Closed,
    );
    assert!(group.awaits_placement(6000));
    assert_eq!(held(&group, 24_999), [0]);
    assert!(held(&group, 25_000).is_empty(), "for a bounded time");
    assert_eq!(group.parts_bound(), None);
    assert!(held(&group, 6000).is_empty());
    let next = |task| {
        let mut part = running(task);
        if let PartState::Bound(binding) = &mut part.state {
            binding.generation = Attempt(2);
        }
        part
    };
    let actions = group.observe(9000, &TIMING, &[next(0), next(1)], MigrationTargets::Closed);
    assert_eq!(
        actions,
        [GroupAction::Emit(GroupEvent::Repaired { took_ms: 4000 })]
    );
}

#[test]
fn a_silence_that_ends_is_an_interruption() {
    let mut group = serving(0);
    let silent = bound(1, 1, PartActivity::Running, MachineHealth::Silent);
    assert_eq!(
        group.observe(
            5000,
            &TIMING,
            &[running(0), silent],
            MigrationTargets::Closed
        ),
        []
    );
    assert_eq!(group.state(), GroupState::Degraded);
    let actions = group.observe(
        7000,
        &TIMING,
        &[running(0), running(1)],
        MigrationTargets::Closed,
    );
    assert_eq!(actions, [GroupAction::Emit(GroupEvent::Interrupted)]);
}

/// Work that preempts one part must not be kept from the capacity by a reservation for
/// the other parts.
#[test]
fn a_part_that_others_stop_takes_the_rest_along_and_nothing_is_held() {
    let mut group = serving(0);
    let parts = [running(0), stopping(running(1))];
    let actions = group.observe(1000, &TIMING, &parts, MigrationTargets::Closed);
    assert_eq!(actions, [stop(&[0], StopCause::PartStopped)]);
    assert!(held(&group, 1000).is_empty());
}

#[test]
fn a_generation_is_one_probe_however_many_parts_fail() {
    let mut group = ReplicaGroup::new(ReplicaIndex(0));
    assert!(!group.part_failed(0, Attempt(1), &machine(0), &TIMING));
    assert!(!group.part_failed(0, Attempt(1), &machine(1), &TIMING));
    assert!(
        group.part_failed(0, Attempt(2), &machine(2), &TIMING),
        "opens"
    );
    group.observe(
        0,
        &TIMING,
        &[waiting(0), waiting(1)],
        MigrationTargets::Closed,
    );
    assert!(!group.awaits_placement(499) && group.awaits_placement(500));
    group.part_failed(1000, Attempt(3), &machine(0), &TIMING);
    group.part_failed(1000, Attempt(3), &machine(1), &TIMING);
    assert!(
        !group.awaits_placement(1999) && group.awaits_placement(2000),
        "twice the pause, once"
    );
    let record = group.to_record().expect("an open breaker is stored");
    let mut next = ReplicaGroup::new(ReplicaIndex(0));
    next.restore(0, &TIMING, record);
    assert!(next.circuit_breaker().is_open());
    let both = [running(0), running(1)];
    next.observe(0, &TIMING, &both, MigrationTargets::Closed);
    let actions = next.observe(30_001, &TIMING, &both, MigrationTargets::Closed);
    assert_eq!(actions, [GroupAction::RecordSuccess]);
    assert!(!next.circuit_breaker().is_open());
}

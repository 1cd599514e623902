//! Tests of single steps in a group's migration.

use crate::fixtures::{
    bound, machine, reserved_tasks, running, serving, stop_action, stopping, waiting, TIMING,
};
use lilacfork_common::ids::Attempt;
use lilacfork_replica_groups::group::{
    GroupAction, GroupEvent, MigrationTargets, ReplicaGroup, StopCause,
};
use lilacfork_replica_groups::migration::{AbandonReason, MigrationStage};
use lilacfork_replica_groups::observation::{MachineHealth, Part, PartActivity};
use lilacfork_replica_groups::record::{MigrationIntent, PartTarget};
use lilacfork_replica_groups::shape::ReplicaIndex;

fn intent() -> MigrationIntent {
    let target = |task: u32, machine_index: u32| PartTarget {
        task,
        machine: machine(machine_index),
    };
    MigrationIntent {
        generation: Attempt(1),
        targets: vec![target(0, 0), target(1, 7)],
    }
}

fn leaving() -> [Part; 2] {
    [
        running(0),
        bound(1, 1, PartActivity::Running, MachineHealth::Leaving),
    ]
}

#[test]
fn migration_stops_no_part_before_intent_is_stored() {
    let mut group = serving(0);
    let actions = group.evaluate(1000, &TIMING, &leaving(), MigrationTargets::Unavailable);
    assert_eq!(actions, [GroupAction::PlanMigration]);
    group.begin_migration(1000, &TIMING, intent());
    assert_eq!(
        group.evaluate(1100, &TIMING, &leaving(), MigrationTargets::Available),
        []
    );
    assert!(
        group.is_serving(),
        "still serving before any part is stopped"
    );
    let mut other = intent();
    other.generation = Attempt(9);
    group.mark_intent_stored(&other);
    assert_eq!(
        group.evaluate(1200, &TIMING, &leaving(), MigrationTargets::Available),
        []
    );
    group.mark_intent_stored(&intent());
    let actions = group.evaluate(1300, &TIMING, &leaving(), MigrationTargets::Available);
    assert_eq!(actions, [stop_action(&[0, 1], StopCause::Migration)]);
    let parts = leaving().map(stopping);
    assert_eq!(
        group.evaluate(1400, &TIMING, &parts, MigrationTargets::Available),
        []
    );
    group.evaluate(
        1500,
        &TIMING,
        &[waiting(0), waiting(1)],
        MigrationTargets::Available,
    );
    assert_eq!(
        reserved_tasks(&group, 1500),
        [0, 1],
        "the targets of the intent"
    );
    assert_eq!(group.record_parts_bound(), Some(GroupEvent::Migrated));
    assert_eq!(group.to_record(), None);
}

#[test]
fn migration_with_unavailable_target_is_abandoned_before_parts_are_stopped() {
    let mut group = serving(0);
    group.begin_migration(1000, &TIMING, intent());
    group.mark_intent_stored(&intent());
    let actions = group.evaluate(1100, &TIMING, &leaving(), MigrationTargets::Unavailable);
    let abandoned = GroupAction::Emit(GroupEvent::MigrationAbandoned(
        AbandonReason::TargetUnavailable,
    ));
    assert_eq!(actions, [abandoned, GroupAction::Persist]);
    assert_eq!(group.to_record(), None);
    assert_eq!(
        group.evaluate(1200, &TIMING, &leaving(), MigrationTargets::Unavailable),
        [GroupAction::PlanMigration],
        "a new migration is planned"
    );
}

#[test]
fn group_stops_if_machine_leaves_and_migration_is_infeasible() {
    let mut group = serving(0);
    group.evaluate(1000, &TIMING, &leaving(), MigrationTargets::Unavailable);
    group.mark_migration_infeasible();
    let actions = group.evaluate(1000, &TIMING, &leaving(), MigrationTargets::Unavailable);
    assert_eq!(actions, [stop_action(&[0, 1], StopCause::MachineLeaving)]);
    assert_eq!(reserved_tasks(&group, 1000), [0]);
}

/// A new leader loads a stored intent. The previous leader may have stopped none, some or all of
/// the parts for it.
#[test]
fn new_leader_resumes_or_abandons_inherited_migration() {
    let inherited = || {
        let mut earlier = serving(0);
        earlier.begin_migration(0, &TIMING, intent());
        let record = earlier.to_record().expect("the intent is stored");
        let mut group = ReplicaGroup::new(ReplicaIndex(0));
        group.restore(0, &TIMING, record);
        group
    };
    let resumed = GroupAction::Emit(GroupEvent::MigrationResumed);
    let mut none_stopped = inherited();
    assert_eq!(
        none_stopped.evaluate(100, &TIMING, &leaving(), MigrationTargets::Unavailable),
        [],
        "the target machines have sent no heartbeats yet"
    );
    assert_eq!(
        none_stopped.evaluate(200, &TIMING, &leaving(), MigrationTargets::Available),
        [resumed.clone(), stop_action(&[0, 1], StopCause::Migration)]
    );
    let mut some_stopped = inherited();
    assert_eq!(
        some_stopped.evaluate(
            100,
            &TIMING,
            &[running(0), waiting(1)],
            MigrationTargets::Unavailable
        ),
        [resumed.clone(), stop_action(&[0], StopCause::PartLost)]
    );
    assert_eq!(
        some_stopped.migration().map(|m| m.stage),
        Some(MigrationStage::Stopping)
    );
    let mut all_stopped = inherited();
    let actions = all_stopped.evaluate(
        100,
        &TIMING,
        &[waiting(0), waiting(1)],
        MigrationTargets::Unavailable,
    );
    assert_eq!(actions, [resumed]);
    assert_eq!(reserved_tasks(&all_stopped, 100), [0, 1]);
    let mut expired = inherited();
    let actions = expired.evaluate(20_000, &TIMING, &leaving(), MigrationTargets::Unavailable);
    let abandoned = GroupAction::Emit(GroupEvent::MigrationAbandoned(
        AbandonReason::ReservationExpired,
    ));
    assert_eq!(actions, [abandoned, GroupAction::Persist]);
}

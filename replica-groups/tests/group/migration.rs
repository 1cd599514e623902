//! A group's migration, step by step.

use crate::fixtures::{bound, held, machine, running, serving, stop, stopping, waiting, TIMING};
use lilacfork_common::ids::Attempt;
use lilacfork_replica_groups::group::{
    GroupAction, GroupEvent, MigrationTargets, ReplicaGroup, StopCause,
};
use lilacfork_replica_groups::migration::{AbandonReason, MigrationStage};
use lilacfork_replica_groups::observation::{MachineHealth, Part, PartActivity};
use lilacfork_replica_groups::record::{MigrationIntent, PartTarget};
use lilacfork_replica_groups::shape::ReplicaIndex;

fn intent() -> MigrationIntent {
    let target = |task: u32, on: u32| PartTarget {
        task,
        machine: machine(on),
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
fn a_move_stops_nothing_before_it_is_stored() {
    let mut group = serving(0);
    let actions = group.observe(1000, &TIMING, &leaving(), MigrationTargets::Closed);
    assert_eq!(actions, [GroupAction::PlanMigration]);
    group.begin_migration(1000, &TIMING, intent());
    assert_eq!(
        group.observe(1100, &TIMING, &leaving(), MigrationTargets::Open),
        []
    );
    assert!(group.serves(), "it goes on serving");
    let mut other = intent();
    other.generation = Attempt(9);
    group.intent_stored(&other);
    assert_eq!(
        group.observe(1200, &TIMING, &leaving(), MigrationTargets::Open),
        []
    );
    group.intent_stored(&intent());
    let actions = group.observe(1300, &TIMING, &leaving(), MigrationTargets::Open);
    assert_eq!(actions, [stop(&[0, 1], StopCause::Migration)]);
    let parts = leaving().map(stopping);
    assert_eq!(
        group.observe(1400, &TIMING, &parts, MigrationTargets::Open),
        []
    );
    group.observe(
        1500,
        &TIMING,
        &[waiting(0), waiting(1)],
        MigrationTargets::Open,
    );
    assert_eq!(held(&group, 1500), [0, 1], "where it was meant to go");
    assert_eq!(group.parts_bound(), Some(GroupEvent::Migrated));
    assert_eq!(group.to_record(), None);
}

#[test]
fn a_move_whose_room_is_gone_is_given_up_before_anything_is_stopped() {
    let mut group = serving(0);
    group.begin_migration(1000, &TIMING, intent());
    group.intent_stored(&intent());
    let actions = group.observe(1100, &TIMING, &leaving(), MigrationTargets::Closed);
    let abandoned = GroupAction::Emit(GroupEvent::MigrationAbandoned(AbandonReason::NoCapacity));
    assert_eq!(actions, [abandoned, GroupAction::Persist]);
    assert_eq!(group.to_record(), None);
    assert_eq!(
        group.observe(1200, &TIMING, &leaving(), MigrationTargets::Closed),
        [GroupAction::PlanMigration],
        "it is planned anew"
    );
}

#[test]
fn without_room_it_stops_as_a_whole() {
    let mut group = serving(0);
    group.observe(1000, &TIMING, &leaving(), MigrationTargets::Closed);
    group.migration_infeasible();
    let actions = group.observe(1000, &TIMING, &leaving(), MigrationTargets::Closed);
    assert_eq!(actions, [stop(&[0, 1], StopCause::MachineLeaving)]);
    assert_eq!(held(&group, 1000), [0]);
}

/// A new leader finds a stored intent, of which nothing, some or all may have been
/// carried out.
#[test]
fn the_next_leader_resumes_or_abandons_a_move() {
    let inherited = || {
        let mut before = serving(0);
        before.begin_migration(0, &TIMING, intent());
        let record = before.to_record().expect("something to store");
        let mut group = ReplicaGroup::new(ReplicaIndex(0));
        group.restore(0, &TIMING, record);
        group
    };
    let resumed = GroupAction::Emit(GroupEvent::MigrationResumed);
    let mut nothing = inherited();
    assert_eq!(
        nothing.observe(100, &TIMING, &leaving(), MigrationTargets::Closed),
        [],
        "its machines haven't been heard yet"
    );
    assert_eq!(
        nothing.observe(200, &TIMING, &leaving(), MigrationTargets::Open),
        [resumed.clone(), stop(&[0, 1], StopCause::Migration)]
    );
    let mut some = inherited();
    assert_eq!(
        some.observe(
            100,
            &TIMING,
            &[running(0), waiting(1)],
            MigrationTargets::Closed
        ),
        [resumed.clone(), stop(&[0], StopCause::PartLost)]
    );
    assert_eq!(
        some.migration().map(|m| m.stage),
        Some(MigrationStage::Stopping)
    );
    let mut all = inherited();
    let actions = all.observe(
        100,
        &TIMING,
        &[waiting(0), waiting(1)],
        MigrationTargets::Closed,
    );
    assert_eq!(actions, [resumed]);
    assert_eq!(held(&all, 100), [0, 1]);
    let mut late = inherited();
    let actions = late.observe(20_000, &TIMING, &leaving(), MigrationTargets::Closed);
    let abandoned = GroupAction::Emit(GroupEvent::MigrationAbandoned(AbandonReason::TimedOut));
    assert_eq!(actions, [abandoned, GroupAction::Persist]);
}

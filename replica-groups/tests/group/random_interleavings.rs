//! Random interleavings of failures, heartbeats, stops, migrations and changes of
//! leader.

use crate::model::{Model, MACHINES, PARTS};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// What can happen to the group, its machines and its scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes, in milliseconds.
    TimePasses(u64),
    /// A heartbeat reports a part, if its machine is healthy.
    Heartbeat(usize),
    /// A machine becomes silent.
    HeartbeatsStop(u32),
    /// A silent machine sends heartbeats again.
    HeartbeatsResume(u32),
    /// A silent machine is declared failed.
    DeclaredFailed(u32),
    /// A machine is proven to be released, so its tasks are gone.
    ReleaseProven(u32),
    /// A machine is going to be taken away.
    ReclaimNotice(u32),
    /// A part fails by itself.
    PartFails(usize),
    /// A part that was being stopped has stopped.
    PartStopped(usize),
    /// Work of a higher priority preempts a part.
    PartPreempted(usize),
    /// The group's record is stored.
    RecordStored,
    /// The scheduler places all parts, if they wait and there is capacity.
    PartsPlaced,
    /// Another leader takes over.
    NewLeader,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let part = || 0..PARTS;
    let machine = || 0..MACHINES;
    let event = prop_oneof![
        3 => (1..4000u64).prop_map(Event::TimePasses),
        6 => part().prop_map(Event::Heartbeat),
        2 => machine().prop_map(Event::HeartbeatsStop),
        2 => machine().prop_map(Event::HeartbeatsResume),
        2 => machine().prop_map(Event::DeclaredFailed),
        3 => machine().prop_map(Event::ReleaseProven),
        1 => machine().prop_map(Event::ReclaimNotice),
        1 => part().prop_map(Event::PartFails),
        5 => part().prop_map(Event::PartStopped),
        1 => part().prop_map(Event::PartPreempted),
        4 => Just(Event::RecordStored),
        5 => Just(Event::PartsPlaced),
        1 => Just(Event::NewLeader),
    ];
    prop::collection::vec(event, 1..160)
}

/// Whatever happens, in whatever order: only a whole replica serves, the parts left of
/// a broken one are stopped, no migration begins before its intent is stored, and in
/// the end the replica serves.
#[test]
fn random_interleavings_leave_no_half_behind() {
    let config = Config {
        cases: 3000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&events(), |events| {
        let mut model = Model::new();
        for event in &events {
            model.step(event)?;
        }
        model.recover()?;
        prop_assert!(model.group.serves(), "{:?} {:?}", model.group, model.parts);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

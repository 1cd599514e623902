//! Property test with random interleavings of failures, heartbeats, stops, migrations and
//! leader changes.

use crate::model::{Model, MACHINES, PARTS};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// An event that affects the group, its machines or its scheduler.
#[derive(Clone, Debug)]
pub enum Event {
    /// This number of milliseconds passes.
    TimePasses(u64),
    /// A part's machine sends a heartbeat that reports the part, if the machine is healthy.
    Heartbeat(usize),
    /// A machine becomes unresponsive.
    HeartbeatsStop(u32),
    /// An unresponsive machine resumes its heartbeats.
    HeartbeatsResume(u32),
    /// An unresponsive machine is declared failed.
    DeclaredFailed(u32),
    /// The release of a machine is confirmed, so its tasks have ended.
    ReleaseConfirmed(u32),
    /// A machine receives a preemption notice.
    PreemptionNotice(u32),
    /// A part fails on its own.
    PartFails(usize),
    /// A part that was being stopped has stopped.
    PartStopped(usize),
    /// Work of a higher priority preempts a part.
    PartPreempted(usize),
    /// The write of the group's record completes.
    RecordStored,
    /// The scheduler places all parts, if the group awaits placement and there is capacity.
    PartsPlaced,
    /// Another controller becomes leader.
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
        3 => machine().prop_map(Event::ReleaseConfirmed),
        1 => machine().prop_map(Event::PreemptionNotice),
        1 => part().prop_map(Event::PartFails),
        5 => part().prop_map(Event::PartStopped),
        1 => part().prop_map(Event::PartPreempted),
        4 => Just(Event::RecordStored),
        5 => Just(Event::PartsPlaced),
        1 => Just(Event::NewLeader),
    ];
    prop::collection::vec(event, 1..160)
}

/// Under any sequence of events: a group serves only while all its parts run, the remaining
/// parts of a broken generation are stopped, and no migration stops parts before its intent
/// is stored. After all faults have ended, the group serves.
#[test]
fn random_interleavings_stop_broken_generations_and_end_with_serving_group() {
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
        prop_assert!(
            model.group.is_serving(),
            "{:?} {:?}",
            model.group,
            model.parts
        );
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

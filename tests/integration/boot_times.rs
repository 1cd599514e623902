//! Machines that boot at once, late or never.

use crate::simulation::{array, service, Simulation, Worker};
use serde_json::json;

/// An array whose tasks run until the end of the test, eight to a machine.
fn long_array(sim: &mut Simulation, id: &str, tasks: u32) {
    sim.task_duration_ms = 600_000;
    assert_eq!(sim.submit(0, &array(id, tasks)), 201);
}

/// Machines that were released before they were up.
fn failed_boots(sim: &Simulation) -> usize {
    let early = |worker: &&Worker| worker.released && !worker.up;
    sim.workers.values().filter(early).count()
}

/// After some boots of a second, ordinary ones once counted as too long: machines were
/// declared failed after 8 s and provisioned again, without end, and none came up
/// (inc-683a, from 497 s on: twelve in a row).
#[test]
fn quick_boots_make_no_ordinary_one_late() {
    let mut sim = Simulation::new(1);
    sim.boot_ms = 300;
    sim.run_until(5000);
    for n in 0..8 {
        long_array(&mut sim, &format!("run-{n}"), 8);
        sim.run_for(2000);
    }
    assert_eq!(sim.on_machines("run-"), 64);
    // The catalog says five seconds; some boots take several times as long.
    let before = sim.workers.len();
    sim.boot_ms = 12_000;
    long_array(&mut sim, "run-8", 16);
    sim.run_for(14_000);
    assert_eq!(failed_boots(&sim), 0, "none is late yet");
    assert_eq!(sim.on_machines("run-8"), 16);
    assert!(
        sim.workers.len() <= before + 4,
        "{} for two machines' work",
        sim.workers.len() - before
    );
}

/// When all boots take several times as long as the catalog says, the estimate learns
/// that from failed boots, too; otherwise no machine would ever come up.
#[test]
fn boots_that_all_take_long_are_waited_for_in_the_end() {
    let mut sim = Simulation::new(1);
    sim.boot_ms = 22_000;
    sim.run_until(5000);
    long_array(&mut sim, "run-1", 16);
    sim.run_for(60_000);
    assert_eq!(sim.on_machines("run-1"), 16);
    let machines = sim.workers.len();
    assert!(machines <= 12, "{machines} rented for two machines' work");
    long_array(&mut sim, "run-2", 16);
    sim.run_for(40_000);
    assert_eq!(sim.on_machines("run-2"), 16);
    assert!(
        sim.workers.len() - machines <= 4,
        "{} more for as much work",
        sim.workers.len() - machines
    );
}

/// The estimates of boot times were once lost with the leader: the next one declared
/// booting machines failed, and provisioned others, until it had learned them again.
#[test]
fn a_new_leader_knows_how_long_boots_take() {
    let mut sim = Simulation::new(3);
    sim.boot_ms = 22_000;
    sim.run_until(5000);
    let leader = sim.leader().unwrap();
    sim.task_duration_ms = 600_000;
    assert_eq!(sim.submit(leader, &array("run-1", 16)), 201);
    sim.run_for(75_000);
    assert_eq!(sim.on_machines("run-1"), 16);
    let (machines, late) = (sim.workers.len(), failed_boots(&sim));
    sim.kill(leader);
    sim.run_for(8000);
    let next = sim.leader().unwrap();
    assert_eq!(sim.submit(next, &array("run-2", 16)), 201);
    sim.run_for(35_000);
    assert_eq!(sim.on_machines("run-2"), 16);
    assert!(
        sim.workers.len() <= machines + 2,
        "{} rented for two machines' work",
        sim.workers.len() - machines
    );
    assert_eq!(failed_boots(&sim), late, "none was given up");
}

/// A record of estimates that is old or malformed has no effect.
#[test]
fn a_malformed_record_of_estimates_is_ignored() {
    for record in [
        json!("nonsense"),
        json!({"t": "yesterday", "b": 7}),
        json!({"t": 0, "b": [{"n": "g8", "s": 5.0, "v": 400.0}]}),
        json!({"t": 1_000_000, "b": [{"n": "g8", "s": 0.0, "v": 1e300}, {"n": "g8", "s": 5.0, "v": -1.0}]}),
    ] {
        let mut sim = Simulation::new(1);
        sim.run_until(100);
        sim.kv_store
            .items
            .insert("learned".into(), (record, 1, None));
        sim.run_until(6000);
        assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
        sim.run_for(6000);
        assert_eq!(sim.on_machines("run-1"), 8);
    }
}

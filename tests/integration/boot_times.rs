//! Tests of boot time estimates with quick, slow and overdue boots.

use crate::simulation::{array, service, Simulation, Worker};
use serde_json::json;

/// Submits an array whose tasks run until the end of the test. A machine has capacity for
/// eight of them.
fn submit_long_running_array(sim: &mut Simulation, id: &str, tasks: u32) {
    sim.task_duration_ms = 600_000;
    assert_eq!(sim.submit(0, &array(id, tasks)), 201);
}

/// Returns the number of machines that were released before they had booted.
fn failed_boots(sim: &Simulation) -> usize {
    let released_before_boot = |worker: &&Worker| worker.released && !worker.up;
    sim.workers.values().filter(released_before_boot).count()
}

/// In an earlier version, boots of the usual duration counted as overdue after several boots
/// of about a second: machines were declared failed after 8 s and provisioned again without
/// end, and none of them finished booting (incident inc-683a, from 497 s on: twelve in a row).
#[test]
fn boot_of_usual_duration_is_not_overdue_after_quick_boots() {
    let mut sim = Simulation::new(1);
    sim.boot_ms = 300;
    sim.run_until(5000);
    for n in 0..8 {
        submit_long_running_array(&mut sim, &format!("run-{n}"), 8);
        sim.run_for(2000);
    }
    assert_eq!(sim.on_machines("run-"), 64);
    // The catalog states a boot time of 5 s, but the next boots take 12 s.
    let machines_before = sim.workers.len();
    sim.boot_ms = 12_000;
    submit_long_running_array(&mut sim, "run-8", 16);
    sim.run_for(14_000);
    assert_eq!(failed_boots(&sim), 0, "a boot counted as overdue");
    assert_eq!(sim.on_machines("run-8"), 16);
    assert!(
        sim.workers.len() <= machines_before + 4,
        "{} machines provisioned for two machines' work",
        sim.workers.len() - machines_before
    );
}

/// When all boots take several times as long as the catalog states, the estimate has to
/// increase after overdue boots too. Otherwise every machine would be declared failed before
/// it has booted.
#[test]
fn boot_time_estimate_increases_when_all_boots_are_slow() {
    let mut sim = Simulation::new(1);
    sim.boot_ms = 22_000;
    sim.run_until(5000);
    submit_long_running_array(&mut sim, "run-1", 16);
    sim.run_for(60_000);
    assert_eq!(sim.on_machines("run-1"), 16);
    let machines = sim.workers.len();
    assert!(
        machines <= 12,
        "{machines} machines provisioned for two machines' work"
    );
    submit_long_running_array(&mut sim, "run-2", 16);
    sim.run_for(40_000);
    assert_eq!(sim.on_machines("run-2"), 16);
    assert!(
        sim.workers.len() - machines <= 4,
        "{} more machines provisioned for two machines' work",
        sim.workers.len() - machines
    );
}

/// In an earlier version, the estimates of boot times were lost when the leader changed: the new
/// leader declared booting machines failed and provisioned others until it had learned the boot
/// times again.
#[test]
fn new_leader_restores_boot_time_estimates() {
    let mut sim = Simulation::new(3);
    sim.boot_ms = 22_000;
    sim.run_until(5000);
    let leader = sim.leader().unwrap();
    sim.task_duration_ms = 600_000;
    assert_eq!(sim.submit(leader, &array("run-1", 16)), 201);
    sim.run_for(75_000);
    assert_eq!(sim.on_machines("run-1"), 16);
    let (machines, failed_before) = (sim.workers.len(), failed_boots(&sim));
    sim.kill(leader);
    sim.run_for(8000);
    let new_leader = sim.leader().unwrap();
    assert_eq!(sim.submit(new_leader, &array("run-2", 16)), 201);
    sim.run_for(35_000);
    assert_eq!(sim.on_machines("run-2"), 16);
    assert!(
        sim.workers.len() <= machines + 2,
        "{} machines provisioned for two machines' work",
        sim.workers.len() - machines
    );
    assert_eq!(
        failed_boots(&sim),
        failed_before,
        "a booting machine was declared failed"
    );
}

/// An outdated or malformed record of boot time estimates has no effect.
#[test]
fn outdated_or_malformed_boot_time_record_is_ignored() {
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

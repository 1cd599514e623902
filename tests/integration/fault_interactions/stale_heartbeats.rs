//! Heartbeats that arrive after newer heartbeats, or in the term of another leader.

use crate::simulation::fixtures::{full_zone, running_cluster, set_unresponsive};
use crate::simulation::{array, service};
use serde_json::{json, Value};

/// Old heartbeats arrive after newer ones, some with an earlier agent epoch and an earlier
/// attempt. Because of old heartbeats, controllers must not start, end or forget any task.
#[test]
fn heartbeats_of_earlier_agent_epoch_or_attempt_have_no_effect() {
    let (mut sim, names) = full_zone(3);
    let stale: Vec<Value> = names.iter().map(|n| sim.next_heartbeat(n)).collect();
    set_unresponsive(&mut sim, &names[..1], true);
    sim.run_for(7000);
    set_unresponsive(&mut sim, &names[..1], false);
    sim.run_for(2000);
    let (starts_before, term) = (
        sim.start_log.len(),
        sim.kv_store.items["leader/term"].clone(),
    );
    for round in 0..6 {
        for heartbeat in &stale {
            let mut heartbeat = heartbeat.clone();
            if round % 2 == 1 {
                // The heartbeat is of an earlier agent epoch and reports its tasks as completed.
                for task in heartbeat["pieces"].as_array_mut().unwrap() {
                    task["etat"] = json!("ended");
                    task["motif"] = json!("done");
                    task["essai"] = json!(0);
                }
                heartbeat["quart"] = json!(0);
                heartbeat["numero"] = json!(90_000);
            }
            for n in 0..3 {
                sim.deliver_heartbeat(n, &heartbeat);
            }
        }
        sim.run_for(700);
    }
    assert_eq!(sim.on_machines("run-1"), 56);
    assert_eq!(
        sim.start_log.len(),
        starts_before,
        "tasks were started: {:?}",
        &sim.start_log[starts_before..]
    );
    assert_eq!(sim.kv_store.items["leader/term"], term);
    assert_eq!(sim.query(0, "run-1").1, "running");
}

/// Heartbeats of the previous term, with their original fencing tokens, agent epochs and sequence
/// numbers, reach every controller when the new leader is elected or up to 4 s later.
#[test]
fn heartbeats_of_previous_term_have_no_effect_on_new_leader() {
    for delay_ms in [0, 3, 10, 40, 200, 1000, 4000] {
        let mut sim = running_cluster(3);
        sim.task_duration_ms = 6000;
        assert_eq!(sim.submit(0, &service("run-1", 5)), 201);
        // Created right after the first submission and 1.2 s after the second.
        let early: Vec<Value> = ["vm-a", "vm-b"].map(|n| sim.next_heartbeat(n)).into();
        assert_eq!(sim.submit(0, &array("run-2", 6)), 201);
        sim.run_for(1200);
        let late: Vec<Value> = ["vm-a", "vm-b"].map(|n| sim.next_heartbeat(n)).into();
        sim.run_for(2000);
        let old = sim.leader().unwrap();
        sim.kill(old);
        while sim.leader().is_none() {
            sim.run_for(1);
        }
        sim.run_for(delay_ms);
        for heartbeat in early.iter().chain(&late) {
            for n in (0..3).filter(|n| *n != old) {
                sim.deliver_heartbeat(n, heartbeat);
            }
        }
        sim.run_for(500);
        for heartbeat in late.iter().chain(&early) {
            for n in (0..3).filter(|n| *n != old) {
                sim.deliver_heartbeat(n, heartbeat);
            }
        }
        sim.start(old);
        sim.run_for(15_000);
        assert_eq!(
            sim.on_machines("run-1"),
            5,
            "tasks ended, heartbeats delayed by {delay_ms} ms"
        );
        assert_eq!(sim.query(0, "run-2").1, "done");
        assert_eq!(
            sim.start_log.len(),
            11,
            "tasks were restarted, heartbeats delayed by {delay_ms} ms: {:?}",
            sim.start_log
        );
    }
}

//! Heartbeats that arrive after newer ones, or in the term of another leader.

use crate::simulation::fixtures::{full_zone, running_cluster, set_unresponsive};
use crate::simulation::{array, service};
use serde_json::{json, Value};

/// Old heartbeats, also of an earlier session and with an attempt of an earlier one,
/// arrive after newer ones: no task is started, ended or forgotten because of them.
#[test]
fn reports_of_an_earlier_session_or_attempt_prove_nothing() {
    let (mut sim, names) = full_zone(3);
    let early: Vec<Value> = names.iter().map(|n| sim.next_heartbeat(n)).collect();
    set_unresponsive(&mut sim, &names[..1], true);
    sim.run_for(7000);
    set_unresponsive(&mut sim, &names[..1], false);
    sim.run_for(2000);
    let (started, term) = (
        sim.start_log.len(),
        sim.kv_store.items["leader/term"].clone(),
    );
    for round in 0..6 {
        for report in &early {
            let mut report = report.clone();
            if round % 2 == 1 {
                // As if its tasks were over, in a session that is.
                for task in report["pieces"].as_array_mut().unwrap() {
                    task["etat"] = json!("ended");
                    task["motif"] = json!("done");
                    task["essai"] = json!(0);
                }
                report["quart"] = json!(0);
                report["numero"] = json!(90_000);
            }
            for n in 0..3 {
                sim.deliver_heartbeat(n, &report);
            }
        }
        sim.run_for(700);
    }
    assert_eq!(sim.on_machines("run-1"), 56);
    assert_eq!(
        sim.start_log.len(),
        started,
        "{:?}",
        &sim.start_log[started..]
    );
    assert_eq!(sim.kv_store.items["leader/term"], term);
    assert_eq!(sim.poll(0, "run-1").1, "running");
}

/// Heartbeats are held back until a new leader has acted, or reach every controller just
/// as it begins: their fencing tokens, sessions and sequence numbers are those of the
/// term before.
#[test]
fn reports_kept_for_the_next_leader_prove_nothing_to_it() {
    for delay in [0, 3, 10, 40, 200, 1000, 4000] {
        let mut sim = running_cluster(3);
        sim.task_duration_ms = 6000;
        assert_eq!(sim.submit(0, &service("run-1", 5)), 201);
        // Kept from before anything was there, and as it was stored.
        let empty: Vec<Value> = ["vm-a", "vm-b"].map(|n| sim.next_heartbeat(n)).into();
        assert_eq!(sim.submit(0, &array("run-2", 6)), 201);
        sim.run_for(1200);
        let full: Vec<Value> = ["vm-a", "vm-b"].map(|n| sim.next_heartbeat(n)).into();
        sim.run_for(2000);
        let old = sim.leader().unwrap();
        sim.kill(old);
        while sim.leader().is_none() {
            sim.run_for(1);
        }
        sim.run_for(delay);
        for report in empty.iter().chain(&full) {
            for n in (0..3).filter(|n| *n != old) {
                sim.deliver_heartbeat(n, report);
            }
        }
        sim.run_for(500);
        for report in full.iter().chain(&empty) {
            for n in (0..3).filter(|n| *n != old) {
                sim.deliver_heartbeat(n, report);
            }
        }
        sim.start(old);
        sim.run_for(15_000);
        assert_eq!(sim.on_machines("run-1"), 5, "{delay}");
        assert_eq!(sim.poll(0, "run-2").1, "done");
        assert_eq!(sim.start_log.len(), 11, "{delay}: {:?}", sim.start_log);
    }
}

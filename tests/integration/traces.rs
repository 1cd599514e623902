//! Whole controllers against the stand-ins, with messages lost, late and repeated.

use crate::simulation::fixtures::running_cluster;
use crate::simulation::{array, service, Delivery};
use lilacfork::messages::Destination;
use serde_json::json;

#[test]
fn a_job_runs_and_is_done_within_three_seconds_of_its_end() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(1, &array("run-1", 4)), 201);
    assert_eq!(sim.submit(2, &array("run-1", 4)), 200, "a retry is known");
    sim.run_for(sim.task_duration_ms + 3000);
    for node in 0..3 {
        assert_eq!(sim.poll(node, "run-1"), (200, "done".into()));
    }
    assert_eq!(sim.start_log.len(), 4, "{:?}", sim.start_log);
    assert_eq!(sim.poll(0, "run-2").0, 404);
}

#[test]
fn what_cannot_run_is_refused_and_what_is_known_is_not() {
    let mut sim = running_cluster(1);
    let mut spec = array("run-1", 1);
    spec["gpus"] = json!(9.0);
    assert_eq!(sim.submit(0, &spec), 422);
    spec["equipe"] = json!("nobody");
    assert_eq!(sim.submit(0, &spec), 422);
    spec["gpus"] = json!(-1.0);
    assert_eq!(sim.submit(0, &spec), 400);
    assert_eq!(sim.submit(0, &array("run-1", 1)), 201);
    assert_eq!(sim.submit(0, &spec), 200, "a known id wins over any fault");
    for body in [
        "",
        "[]",
        "{",
        "{\"id\":3}",
        "null",
        "\"run-9\"",
        "{\"id\":\"run-../x\"}",
    ] {
        let user = sim.request_with_body(0, "POST", "/v2/runs", body.into());
        sim.run_for(50);
        assert_eq!(sim.status_and_state(user).0, 400, "{body}");
    }
    let user = sim.request(0, "PUT", "/v2/runs", json!(null));
    sim.run_for(50);
    assert_eq!(sim.status_and_state(user).0, 405);
}

#[test]
fn the_leader_dies_between_record_and_start() {
    let mut sim = running_cluster(3);
    let leader = sim.leader().unwrap();
    // Nothing reaches workers by the direct path, and the leader dies as soon
    // as the assignment is stored.
    sim.fault_injector = Box::new(|_, _, call| match call.destination {
        Destination::Worker(_) => Delivery::RequestLost,
        _ => Delivery::Normal,
    });
    for worker in sim.workers.values_mut() {
        worker.unresponsive = true;
    }
    assert_eq!(sim.submit((leader + 1) % 3, &service("run-1", 2)), 201);
    assert!(sim.kv_store.items.contains_key("p/run-1/0"), "recorded");
    assert!(sim.start_log.is_empty(), "not started");
    sim.kill(leader);
    sim.fault_injector = Box::new(|_, _, _| Delivery::Normal);
    for worker in sim.workers.values_mut() {
        worker.unresponsive = false;
    }
    sim.run_for(9000);
    assert_eq!(
        sim.on_machines("run-1"),
        2,
        "the next leader starts what was recorded"
    );
    assert_eq!(sim.start_log.len(), 2, "{:?}", sim.start_log);
}

#[test]
fn a_deposed_leader_may_answer_workers_but_starts_nothing() {
    let mut sim = running_cluster(3);
    let old = sim.leader().unwrap();
    assert_eq!(sim.submit(0, &service("run-1", 2)), 201);
    sim.run_for(2000);
    // The leader alone is partitioned from the key-value store and its peers.
    sim.fault_injector = Box::new(move |_, node, call| match call.destination {
        Destination::KvStore | Destination::KvWatch | Destination::Peer(_) if node == old => {
            Delivery::RequestLost
        }
        _ => Delivery::Normal,
    });
    let other = (old + 1) % 3;
    sim.run_for(8000);
    assert_eq!(sim.submit(other, &service("run-2", 2)), 201);
    sim.run_for(15_000);
    assert_eq!(sim.on_machines("run-1"), 2, "its tasks live on");
    assert_eq!(sim.on_machines("run-2"), 2, "the new leader serves");
    assert_eq!(sim.start_log.len(), 4, "{:?}", sim.start_log);
}

#[test]
fn a_late_copy_of_a_start_is_refused_after_its_task_was_forgotten() {
    let mut sim = running_cluster(1);
    // Every start is also delivered again half a minute later.
    let mut first = true;
    sim.fault_injector = Box::new(move |_, _, call| match call.destination {
        Destination::Worker(_) if first && call.body.windows(5).any(|b| b == b"start") => {
            first = false;
            Delivery::RequestDelayed(30_000)
        }
        _ => Delivery::Normal,
    });
    assert_eq!(sim.submit(0, &array("run-1", 1)), 201);
    sim.run_for(12_000);
    assert_eq!(sim.poll(0, "run-1").1, "done");
    let started = sim.start_log.len();
    sim.run_for(40_000);
    assert_eq!(
        sim.start_log.len(),
        started,
        "the copy starts nothing: {:?}",
        sim.start_log
    );
}

#[test]
fn an_old_copy_of_a_report_proves_nothing() {
    let mut sim = running_cluster(1);
    let empty = json!({"banc": "vm-a", "address": "w/vm-a", "gamme": "g8", "secteur": "a",
        "occasion": false, "quart": 1, "numero": 1, "jeton": 0, "preavisS": null, "pieces": []});
    assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-1"), 8);
    let started = sim.start_log.len();
    sim.deliver_heartbeat(0, &empty);
    sim.run_for(5000);
    // A new leader has no order to go by, only tokens.
    sim.kill(0);
    sim.run_for(500);
    sim.start(0);
    sim.run_for(100);
    sim.deliver_heartbeat(0, &empty);
    sim.run_for(8000);
    assert_eq!(sim.on_machines("run-1"), 8);
    assert_eq!(sim.start_log.len(), started, "{:?}", sim.start_log);
}

#[test]
fn a_lost_answer_to_a_transaction_is_cleared_up() {
    let mut sim = running_cluster(1);
    let mut left = 3;
    sim.fault_injector = Box::new(move |_, _, call| {
        if call.destination == Destination::KvStore && call.path == "/txn" && left > 0 {
            left -= 1;
            return Delivery::ResponseLost;
        }
        Delivery::Normal
    });
    let user = sim.request(0, "POST", "/v2/runs", array("run-1", 3));
    sim.run_for(4000);
    assert!(
        matches!(sim.status_and_state(user).0, 200 | 201),
        "reading shows that it was stored"
    );
    sim.run_for(10_000);
    assert_eq!(sim.poll(0, "run-1").1, "done");
    assert_eq!(sim.start_log.len(), 3, "{:?}", sim.start_log);
}

#[test]
fn cancel_against_done_has_one_winner() {
    let mut seen = [0, 0];
    for delay in (0..60).step_by(4) {
        let mut sim = running_cluster(1);
        assert_eq!(sim.submit(0, &array("run-1", 1)), 201);
        sim.run_for(sim.task_duration_ms - 300 + delay * 25);
        let (status, state) = sim.cancel(0, "run-1");
        assert_eq!(status, 200);
        seen[usize::from(state == "done")] += 1;
        sim.run_for(8000);
        assert_eq!(sim.poll(0, "run-1").1, state, "it stays what it was called");
        assert_eq!(sim.cancel(0, "run-1").1, state);
        assert_eq!(sim.on_machines("run-1"), 0);
    }
    assert!(seen[0] > 0 && seen[1] > 0, "both happen: {seen:?}");
}

#[test]
fn all_controllers_are_restarted() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 4)), 201);
    assert_eq!(sim.submit(0, &array("run-2", 2)), 201);
    sim.run_for(10_000);
    let started = sim.start_log.len();
    for n in 0..3 {
        sim.kill(n);
    }
    sim.run_for(4000);
    for n in 0..3 {
        sim.start(n);
    }
    sim.run_for(8000);
    assert_eq!(sim.on_machines("run-1"), 4);
    assert_eq!(sim.poll(1, "run-2").1, "done", "what was over still is");
    assert_eq!(
        sim.start_log.len(),
        started,
        "nothing started anew: {:?}",
        sim.start_log
    );
}

#[test]
fn a_silent_machine_keeps_its_tasks_and_its_share_of_the_quota() {
    let mut sim = running_cluster(1);
    let mut spec = service("run-1", 16);
    spec["equipe"] = json!("blue");
    assert_eq!(sim.submit(0, &spec), 201);
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-1"), 16, "all that the team may have");
    let mut more = service("run-2", 1);
    more["equipe"] = json!("blue");
    assert_eq!(sim.submit(0, &more), 201);
    sim.cloud_unavailable = true;
    if let Some(worker) = sim.workers.get_mut("vm-a") {
        worker.unresponsive = true;
    }
    sim.run_for(60_000);
    assert_eq!(sim.on_machines("run-2"), 0, "silence frees nothing");
    let before = sim.start_log.len();
    sim.cloud_unavailable = false;
    sim.run_for(30_000);
    assert!(
        sim.start_log.len() > before,
        "the machine's return is the proof"
    );
    assert_eq!(sim.on_machines("run-1"), 16);
}

#[test]
fn a_cancelled_job_leaves_even_a_machine_that_does_not_answer() {
    let mut sim = running_cluster(1);
    assert_eq!(sim.submit(0, &service("run-1", 2)), 201);
    sim.run_for(2000);
    for worker in sim.workers.values_mut() {
        worker.unresponsive = true;
    }
    assert_eq!(sim.cancel(0, "run-1"), (200, "cancelled".into()));
    sim.run_for(29_000);
    assert_eq!(sim.on_machines("run-1"), 0);
    sim.run_for(30_000);
    assert!(!sim.kv_store.items.contains_key("j/run-1"), "cleared away");
    assert_eq!(sim.poll(0, "run-1").1, "cancelled");
}

#[test]
fn a_machine_that_fails_everything_is_left_and_returned() {
    let mut sim = running_cluster(1);
    sim.workers.get_mut("vm-a").unwrap().faulty = true;
    assert_eq!(sim.submit(0, &array("run-1", 6)), 201);
    sim.run_for(25_000);
    assert_eq!(sim.poll(0, "run-1").1, "done");
    assert!(sim.workers["vm-a"].released, "the faulty one goes back");
}

#[test]
fn a_job_that_fails_everywhere_slows_down_and_condemns_no_machine() {
    let mut sim = running_cluster(1);
    for worker in sim.workers.values_mut() {
        worker.faulty = true;
    }
    sim.add_machine("vm-c", "a", false, true);
    sim.workers.get_mut("vm-c").unwrap().faulty = true;
    assert_eq!(sim.submit(0, &array("run-1", 1)), 201);
    sim.run_for(60_000);
    let early = sim.start_log.len();
    sim.run_for(60_000);
    let late = sim.start_log.len() - early;
    assert!(late <= early, "pauses grow: {early} then {late}");
    assert!(late <= 4, "{late}");
}

/// Minutes of scheduling with a job of the largest size take seconds at most.
#[test]
fn the_largest_job_is_taken_and_worked_off_piece_by_piece() {
    let mut sim = running_cluster(1);
    sim.capacity = 4;
    let mut spec = array("run-1", 100_000);
    spec["gpus"] = json!(0.0);
    spec["cpus"] = json!(1.0);
    spec["memoryGb"] = json!(1.0);
    assert_eq!(sim.submit(0, &spec), 201);
    let mut too_large = spec.clone();
    too_large["id"] = json!("run-2");
    too_large["pieces"] = json!(100_001);
    assert_eq!(sim.submit(0, &too_large), 400);
    sim.run_for(60_000);
    assert!(sim.start_log.len() > 2000, "{}", sim.start_log.len());
    assert_eq!(sim.poll(0, "run-1").1, "running");
    sim.cancel(0, "run-1");
    sim.run_for(30_000);
    assert_eq!(sim.on_machines("run-1"), 0);
    assert!(!sim.kv_store.items.keys().any(|k| k.starts_with("p/")));
}

#[test]
fn a_large_job_is_stored_in_records_of_bounded_size() {
    let mut sim = running_cluster(1);
    sim.capacity = 3;
    let mut spec = array("run-1", 2000);
    spec["gpus"] = json!(0.0);
    spec["cpus"] = json!(0.5);
    spec["memoryGb"] = json!(0.1);
    assert_eq!(sim.submit(0, &spec), 201);
    sim.run_for(60_000);
    // The stand-in checks sizes; a new leader must read it all back.
    sim.kill(0);
    sim.run_for(100);
    sim.start(0);
    sim.run_for(90_000);
    assert_eq!(sim.poll(0, "run-1").1, "done");
    sim.run_for(10_000);
    assert!(
        !sim.kv_store.items.keys().any(|k| k.starts_with("p/")),
        "records are cleared away"
    );
}

#[test]
fn a_gang_waits_until_all_of_it_finds_room() {
    let mut sim = running_cluster(1);
    sim.cloud_unavailable = true;
    sim.task_duration_ms = 1_000_000;
    assert_eq!(sim.submit(0, &array("run-1", 10)), 201);
    sim.run_for(2000);
    let mut gang = array("run-2", 8);
    gang["genre"] = json!("group");
    assert_eq!(sim.submit(0, &gang), 201);
    sim.run_for(5000);
    assert_eq!(
        sim.on_machines("run-2"),
        0,
        "six places are not enough for eight"
    );
    sim.cancel(0, "run-1");
    sim.run_for(4000);
    assert_eq!(sim.on_machines("run-2"), 8);
    let attempts: Vec<_> = sim
        .start_log
        .iter()
        .filter(|t| t.contains("run-2"))
        .collect();
    assert!(
        attempts.iter().all(|t| t.ends_with("#1")),
        "one attempt for all: {attempts:?}"
    );
}

/// A slow response to a read once restored a job that had already ended: its end was
/// written again, failed, and the leader gave up its term.
#[test]
fn a_slow_read_brings_no_job_back() {
    let mut sim = running_cluster(3);
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(0, &service("run-1", 2)), 201);
    sim.run_for(3000);
    sim.fault_injector = Box::new(move |_, node, call| {
        if node == leader && call.path.starts_with("/kv/j/") {
            return Delivery::ResponseDelayed(400);
        }
        Delivery::Normal
    });
    // The watch is late, so the leader reads, and reads again.
    sim.kv_store.watches_stalled = true;
    let other = (leader + 1) % 3;
    assert_eq!(sim.cancel(other, "run-1").1, "cancelled");
    sim.run_for(2000);
    sim.kv_store.watches_stalled = false;
    sim.run_for(5000);
    assert_eq!(
        sim.kv_store.items["leader/term"].0["term"], 1,
        "the same leadership"
    );
    assert!(!sim.kv_store.items.keys().any(|k| k.starts_with("j/")));
}

#[test]
fn a_machine_that_runs_far_too_slowly_is_left_and_returned() {
    let mut sim = running_cluster(1);
    sim.workers.get_mut("vm-b").unwrap().slowdown_factor = 5;
    assert_eq!(sim.submit(0, &array("run-1", 40)), 201);
    sim.run_for(60_000);
    assert_eq!(sim.poll(0, "run-1").1, "done");
    let slow = sim.start_log.iter().filter(|t| t.contains("vm-b")).count();
    assert!(slow <= 8, "nothing more goes there: {:?}", sim.start_log);
    assert!(sim.workers["vm-b"].released);
    assert!(!sim.workers["vm-a"].released || sim.workers.len() > 2);
}

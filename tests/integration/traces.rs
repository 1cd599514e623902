//! Whole controllers against the stand-ins, with messages lost, late and repeated.

use crate::simulation::fixtures::running_cluster;
use crate::simulation::{array, service, Fate};
use lilacfork::messages::Destination;
use serde_json::json;

#[test]
fn a_job_runs_and_is_done_within_three_seconds_of_its_end() {
    let mut w = running_cluster(3);
    assert_eq!(w.submit(1, &array("run-1", 4)), 201);
    assert_eq!(w.submit(2, &array("run-1", 4)), 200, "a retry is known");
    w.run_for(w.run_ms + 3000);
    for node in 0..3 {
        assert_eq!(w.poll(node, "run-1"), (200, "done".into()));
    }
    assert_eq!(w.trace.len(), 4, "{:?}", w.trace);
    assert_eq!(w.poll(0, "run-2").0, 404);
}

#[test]
fn what_cannot_run_is_refused_and_what_is_known_is_not() {
    let mut w = running_cluster(1);
    let mut spec = array("run-1", 1);
    spec["gpus"] = json!(9.0);
    assert_eq!(w.submit(0, &spec), 422);
    spec["equipe"] = json!("nobody");
    assert_eq!(w.submit(0, &spec), 422);
    spec["gpus"] = json!(-1.0);
    assert_eq!(w.submit(0, &spec), 400);
    assert_eq!(w.submit(0, &array("run-1", 1)), 201);
    assert_eq!(w.submit(0, &spec), 200, "a known id wins over any fault");
    for body in [
        "",
        "[]",
        "{",
        "{\"id\":3}",
        "null",
        "\"run-9\"",
        "{\"id\":\"run-../x\"}",
    ] {
        let user = w.ask_raw(0, "POST", "/v2/runs", body.into());
        w.run_for(50);
        assert_eq!(w.answer(user).0, 400, "{body}");
    }
    let user = w.ask(0, "PUT", "/v2/runs", json!(null));
    w.run_for(50);
    assert_eq!(w.answer(user).0, 405);
}

#[test]
fn the_leader_dies_between_record_and_start() {
    let mut w = running_cluster(3);
    let leader = w.leader().unwrap();
    // Nothing reaches workers by the direct path, and the leader dies as soon
    // as the assignment is stored.
    w.hook = Box::new(|_, _, call| match call.destination {
        Destination::Worker(_) => Fate::LoseRequest,
        _ => Fate::Pass,
    });
    for worker in w.workers.values_mut() {
        worker.silent = true;
    }
    assert_eq!(w.submit((leader + 1) % 3, &service("run-1", 2)), 201);
    assert!(w.state.items.contains_key("p/run-1/0"), "recorded");
    assert!(w.trace.is_empty(), "not started");
    w.kill(leader);
    w.hook = Box::new(|_, _, _| Fate::Pass);
    for worker in w.workers.values_mut() {
        worker.silent = false;
    }
    w.run_for(9000);
    assert_eq!(
        w.on_machines("run-1"),
        2,
        "the next leader starts what was recorded"
    );
    assert_eq!(w.trace.len(), 2, "{:?}", w.trace);
}

#[test]
fn a_deposed_leader_may_answer_workers_but_starts_nothing() {
    let mut w = running_cluster(3);
    let old = w.leader().unwrap();
    assert_eq!(w.submit(0, &service("run-1", 2)), 201);
    w.run_for(2000);
    // The leader alone is partitioned from the key-value store and its peers.
    w.hook = Box::new(move |_, node, call| match call.destination {
        Destination::KvStore | Destination::KvWatch | Destination::Peer(_) if node == old => {
            Fate::LoseRequest
        }
        _ => Fate::Pass,
    });
    let other = (old + 1) % 3;
    w.run_for(8000);
    assert_eq!(w.submit(other, &service("run-2", 2)), 201);
    w.run_for(15_000);
    assert_eq!(w.on_machines("run-1"), 2, "its tasks live on");
    assert_eq!(w.on_machines("run-2"), 2, "the new leader serves");
    assert_eq!(w.trace.len(), 4, "{:?}", w.trace);
}

#[test]
fn a_late_copy_of_a_start_is_refused_after_its_task_was_forgotten() {
    let mut w = running_cluster(1);
    // Every start is also delivered again half a minute later.
    let mut first = true;
    w.hook = Box::new(move |_, _, call| match call.destination {
        Destination::Worker(_) if first && call.body.windows(5).any(|b| b == b"start") => {
            first = false;
            Fate::Late(30_000)
        }
        _ => Fate::Pass,
    });
    assert_eq!(w.submit(0, &array("run-1", 1)), 201);
    w.run_for(12_000);
    assert_eq!(w.poll(0, "run-1").1, "done");
    let started = w.trace.len();
    w.run_for(40_000);
    assert_eq!(
        w.trace.len(),
        started,
        "the copy starts nothing: {:?}",
        w.trace
    );
}

#[test]
fn an_old_copy_of_a_report_proves_nothing() {
    let mut w = running_cluster(1);
    let empty = json!({"banc": "vm-a", "address": "w/vm-a", "gamme": "g8", "secteur": "a",
        "occasion": false, "quart": 1, "numero": 1, "jeton": 0, "preavisS": null, "pieces": []});
    assert_eq!(w.submit(0, &service("run-1", 8)), 201);
    w.run_for(3000);
    assert_eq!(w.on_machines("run-1"), 8);
    let started = w.trace.len();
    w.deliver_report(0, &empty);
    w.run_for(5000);
    // A new leader has no order to go by, only tokens.
    w.kill(0);
    w.run_for(500);
    w.start(0);
    w.run_for(100);
    w.deliver_report(0, &empty);
    w.run_for(8000);
    assert_eq!(w.on_machines("run-1"), 8);
    assert_eq!(w.trace.len(), started, "{:?}", w.trace);
}

#[test]
fn a_lost_answer_to_a_transaction_is_cleared_up() {
    let mut w = running_cluster(1);
    let mut left = 3;
    w.hook = Box::new(move |_, _, call| {
        if call.destination == Destination::KvStore && call.path == "/txn" && left > 0 {
            left -= 1;
            return Fate::LoseAnswer;
        }
        Fate::Pass
    });
    let user = w.ask(0, "POST", "/v2/runs", array("run-1", 3));
    w.run_for(4000);
    assert!(
        matches!(w.answer(user).0, 200 | 201),
        "reading shows that it was stored"
    );
    w.run_for(10_000);
    assert_eq!(w.poll(0, "run-1").1, "done");
    assert_eq!(w.trace.len(), 3, "{:?}", w.trace);
}

#[test]
fn cancel_against_done_has_one_winner() {
    let mut seen = [0, 0];
    for delay in (0..60).step_by(4) {
        let mut w = running_cluster(1);
        assert_eq!(w.submit(0, &array("run-1", 1)), 201);
        w.run_for(w.run_ms - 300 + delay * 25);
        let (status, state) = w.cancel(0, "run-1");
        assert_eq!(status, 200);
        seen[usize::from(state == "done")] += 1;
        w.run_for(8000);
        assert_eq!(w.poll(0, "run-1").1, state, "it stays what it was called");
        assert_eq!(w.cancel(0, "run-1").1, state);
        assert_eq!(w.on_machines("run-1"), 0);
    }
    assert!(seen[0] > 0 && seen[1] > 0, "both happen: {seen:?}");
}

#[test]
fn all_controllers_are_restarted() {
    let mut w = running_cluster(3);
    assert_eq!(w.submit(0, &service("run-1", 4)), 201);
    assert_eq!(w.submit(0, &array("run-2", 2)), 201);
    w.run_for(10_000);
    let started = w.trace.len();
    for n in 0..3 {
        w.kill(n);
    }
    w.run_for(4000);
    for n in 0..3 {
        w.start(n);
    }
    w.run_for(8000);
    assert_eq!(w.on_machines("run-1"), 4);
    assert_eq!(w.poll(1, "run-2").1, "done", "what was over still is");
    assert_eq!(
        w.trace.len(),
        started,
        "nothing started anew: {:?}",
        w.trace
    );
}

#[test]
fn a_silent_machine_keeps_its_tasks_and_its_share_of_the_quota() {
    let mut w = running_cluster(1);
    let mut spec = service("run-1", 16);
    spec["equipe"] = json!("blue");
    assert_eq!(w.submit(0, &spec), 201);
    w.run_for(3000);
    assert_eq!(w.on_machines("run-1"), 16, "all that the team may have");
    let mut more = service("run-2", 1);
    more["equipe"] = json!("blue");
    assert_eq!(w.submit(0, &more), 201);
    w.cloud_away = true;
    if let Some(worker) = w.workers.get_mut("vm-a") {
        worker.silent = true;
    }
    w.run_for(60_000);
    assert_eq!(w.on_machines("run-2"), 0, "silence frees nothing");
    let before = w.trace.len();
    w.cloud_away = false;
    w.run_for(30_000);
    assert!(w.trace.len() > before, "the machine's return is the proof");
    assert_eq!(w.on_machines("run-1"), 16);
}

#[test]
fn a_cancelled_job_leaves_even_a_machine_that_does_not_answer() {
    let mut w = running_cluster(1);
    assert_eq!(w.submit(0, &service("run-1", 2)), 201);
    w.run_for(2000);
    for worker in w.workers.values_mut() {
        worker.silent = true;
    }
    assert_eq!(w.cancel(0, "run-1"), (200, "cancelled".into()));
    w.run_for(29_000);
    assert_eq!(w.on_machines("run-1"), 0);
    w.run_for(30_000);
    assert!(!w.state.items.contains_key("j/run-1"), "cleared away");
    assert_eq!(w.poll(0, "run-1").1, "cancelled");
}

#[test]
fn a_machine_that_fails_everything_is_left_and_returned() {
    let mut w = running_cluster(1);
    w.workers.get_mut("vm-a").unwrap().sick = true;
    assert_eq!(w.submit(0, &array("run-1", 6)), 201);
    w.run_for(25_000);
    assert_eq!(w.poll(0, "run-1").1, "done");
    assert!(w.workers["vm-a"].gone, "the faulty one goes back");
}

#[test]
fn a_job_that_fails_everywhere_slows_down_and_condemns_no_machine() {
    let mut w = running_cluster(1);
    for worker in w.workers.values_mut() {
        worker.sick = true;
    }
    w.add_machine("vm-c", "a", false, true);
    w.workers.get_mut("vm-c").unwrap().sick = true;
    assert_eq!(w.submit(0, &array("run-1", 1)), 201);
    w.run_for(60_000);
    let early = w.trace.len();
    w.run_for(60_000);
    let late = w.trace.len() - early;
    assert!(late <= early, "pauses grow: {early} then {late}");
    assert!(late <= 4, "{late}");
}

/// Minutes of scheduling with a job of the largest size take seconds at most.
#[test]
fn the_largest_job_is_taken_and_worked_off_piece_by_piece() {
    let mut w = running_cluster(1);
    w.capacity = 4;
    let mut spec = array("run-1", 100_000);
    spec["gpus"] = json!(0.0);
    spec["cpus"] = json!(1.0);
    spec["memoryGb"] = json!(1.0);
    assert_eq!(w.submit(0, &spec), 201);
    let mut too_large = spec.clone();
    too_large["id"] = json!("run-2");
    too_large["pieces"] = json!(100_001);
    assert_eq!(w.submit(0, &too_large), 400);
    w.run_for(60_000);
    assert!(w.trace.len() > 2000, "{}", w.trace.len());
    assert_eq!(w.poll(0, "run-1").1, "running");
    w.cancel(0, "run-1");
    w.run_for(30_000);
    assert_eq!(w.on_machines("run-1"), 0);
    assert!(!w.state.items.keys().any(|k| k.starts_with("p/")));
}

#[test]
fn a_large_job_is_stored_in_records_of_bounded_size() {
    let mut w = running_cluster(1);
    w.capacity = 3;
    let mut spec = array("run-1", 2000);
    spec["gpus"] = json!(0.0);
    spec["cpus"] = json!(0.5);
    spec["memoryGb"] = json!(0.1);
    assert_eq!(w.submit(0, &spec), 201);
    w.run_for(60_000);
    // The stand-in checks sizes; a new leader must read it all back.
    w.kill(0);
    w.run_for(100);
    w.start(0);
    w.run_for(90_000);
    assert_eq!(w.poll(0, "run-1").1, "done");
    w.run_for(10_000);
    assert!(
        !w.state.items.keys().any(|k| k.starts_with("p/")),
        "records are cleared away"
    );
}

#[test]
fn a_gang_waits_until_all_of_it_finds_room() {
    let mut w = running_cluster(1);
    w.cloud_away = true;
    w.run_ms = 1_000_000;
    assert_eq!(w.submit(0, &array("run-1", 10)), 201);
    w.run_for(2000);
    let mut gang = array("run-2", 8);
    gang["genre"] = json!("group");
    assert_eq!(w.submit(0, &gang), 201);
    w.run_for(5000);
    assert_eq!(
        w.on_machines("run-2"),
        0,
        "six places are not enough for eight"
    );
    w.cancel(0, "run-1");
    w.run_for(4000);
    assert_eq!(w.on_machines("run-2"), 8);
    let attempts: Vec<_> = w.trace.iter().filter(|t| t.contains("run-2")).collect();
    assert!(
        attempts.iter().all(|t| t.ends_with("#1")),
        "one attempt for all: {attempts:?}"
    );
}

/// A slow response to a read once restored a job that had already ended: its end was
/// written again, failed, and the leader gave up its term.
#[test]
fn a_slow_read_brings_no_job_back() {
    let mut w = running_cluster(3);
    let leader = w.leader().unwrap();
    assert_eq!(w.submit(0, &service("run-1", 2)), 201);
    w.run_for(3000);
    w.hook = Box::new(move |_, node, call| {
        if node == leader && call.path.starts_with("/kv/j/") {
            return Fate::SlowAnswer(400);
        }
        Fate::Pass
    });
    // The watch is late, so the leader reads, and reads again.
    w.state.watches_stalled = true;
    let other = (leader + 1) % 3;
    assert_eq!(w.cancel(other, "run-1").1, "cancelled");
    w.run_for(2000);
    w.state.watches_stalled = false;
    w.run_for(5000);
    assert_eq!(
        w.state.items["leader/term"].0["term"], 1,
        "the same leadership"
    );
    assert!(!w.state.items.keys().any(|k| k.starts_with("j/")));
}

#[test]
fn a_machine_that_runs_far_too_slowly_is_left_and_returned() {
    let mut w = running_cluster(1);
    w.workers.get_mut("vm-b").unwrap().slowness = 5;
    assert_eq!(w.submit(0, &array("run-1", 40)), 201);
    w.run_for(60_000);
    assert_eq!(w.poll(0, "run-1").1, "done");
    let slow = w.trace.iter().filter(|t| t.contains("vm-b")).count();
    assert!(slow <= 8, "nothing more goes there: {:?}", w.trace);
    assert!(w.workers["vm-b"].gone);
    assert!(!w.workers["vm-a"].gone || w.workers.len() > 2);
}

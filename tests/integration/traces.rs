//! Tests of whole controllers against simulated workers, cloud and key-value store, with lost,
//! delayed and duplicated messages.

use crate::simulation::fixtures::running_cluster;
use crate::simulation::{array, service, Delivery};
use lilacfork::messages::Destination;
use serde_json::json;

#[test]
fn job_is_reported_done_within_three_seconds_of_task_completion() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(1, &array("run-1", 4)), 201);
    assert_eq!(
        sim.submit(2, &array("run-1", 4)),
        200,
        "a retry is recognized"
    );
    sim.run_for(sim.task_duration_ms + 3000);
    for node in 0..3 {
        assert_eq!(sim.query(node, "run-1"), (200, "done".into()));
    }
    assert_eq!(sim.start_log.len(), 4, "{:?}", sim.start_log);
    assert_eq!(sim.query(0, "run-2").0, 404);
}

#[test]
fn invalid_submission_is_rejected_unless_its_id_is_known() {
    let mut sim = running_cluster(1);
    let mut spec = array("run-1", 1);
    spec["gpus"] = json!(9.0);
    assert_eq!(sim.submit(0, &spec), 422);
    spec["equipe"] = json!("nobody");
    assert_eq!(sim.submit(0, &spec), 422);
    spec["gpus"] = json!(-1.0);
    assert_eq!(sim.submit(0, &spec), 400);
    assert_eq!(sim.submit(0, &array("run-1", 1)), 201);
    assert_eq!(
        sim.submit(0, &spec),
        200,
        "a known id is accepted even if the specification is invalid"
    );
    for body in [
        "",
        "[]",
        "{",
        "{\"id\":3}",
        "null",
        "\"run-9\"",
        "{\"id\":\"run-../x\"}",
    ] {
        let request_number = sim.request_with_body(0, "POST", "/v2/runs", body.into());
        sim.run_for(50);
        assert_eq!(sim.status_and_state(request_number).0, 400, "{body}");
    }
    let request_number = sim.request(0, "PUT", "/v2/runs", json!(null));
    sim.run_for(50);
    assert_eq!(sim.status_and_state(request_number).0, 405);
}

#[test]
fn new_leader_starts_tasks_recorded_by_crashed_leader() {
    let mut sim = running_cluster(3);
    let leader = sim.leader().unwrap();
    // No call reaches the workers, and they send no heartbeats. The leader is killed as soon as the
    // assignment is stored.
    sim.fault_injector = Box::new(|_, _, call| match call.destination {
        Destination::Worker(_) => Delivery::RequestLost,
        _ => Delivery::Normal,
    });
    for worker in sim.workers.values_mut() {
        worker.unresponsive = true;
    }
    assert_eq!(sim.submit((leader + 1) % 3, &service("run-1", 2)), 201);
    assert!(
        sim.kv_store.items.contains_key("p/run-1/0"),
        "the assignment is recorded"
    );
    assert!(sim.start_log.is_empty(), "no task is started");
    sim.kill(leader);
    sim.fault_injector = Box::new(|_, _, _| Delivery::Normal);
    for worker in sim.workers.values_mut() {
        worker.unresponsive = false;
    }
    sim.run_for(9000);
    assert_eq!(
        sim.on_machines("run-1"),
        2,
        "the next leader starts the recorded tasks"
    );
    assert_eq!(sim.start_log.len(), 2, "{:?}", sim.start_log);
}

#[test]
fn isolated_former_leader_keeps_tasks_running_but_starts_none() {
    let mut sim = running_cluster(3);
    let old_leader = sim.leader().unwrap();
    assert_eq!(sim.submit(0, &service("run-1", 2)), 201);
    sim.run_for(2000);
    // The leader alone is partitioned from the key-value store and its peers.
    sim.fault_injector = Box::new(move |_, node, call| match call.destination {
        Destination::KvStore | Destination::KvWatch | Destination::Peer(_)
            if node == old_leader =>
        {
            Delivery::RequestLost
        }
        _ => Delivery::Normal,
    });
    let other = (old_leader + 1) % 3;
    sim.run_for(8000);
    assert_eq!(sim.submit(other, &service("run-2", 2)), 201);
    sim.run_for(15_000);
    assert_eq!(
        sim.on_machines("run-1"),
        2,
        "tasks of the former leader keep running"
    );
    assert_eq!(sim.on_machines("run-2"), 2, "the new leader starts tasks");
    assert_eq!(sim.start_log.len(), 4, "{:?}", sim.start_log);
}

#[test]
fn delayed_start_command_is_rejected_after_its_task_was_forgotten() {
    let mut sim = running_cluster(1);
    // The first start command times out and is delivered half a minute later.
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
    assert_eq!(sim.query(0, "run-1").1, "done");
    let started = sim.start_log.len();
    sim.run_for(40_000);
    assert_eq!(
        sim.start_log.len(),
        started,
        "the delayed command starts no task: {:?}",
        sim.start_log
    );
}

#[test]
fn outdated_heartbeat_without_tasks_restarts_no_tasks() {
    let mut sim = running_cluster(1);
    let outdated_heartbeat = json!({"banc": "vm-a", "address": "w/vm-a", "gamme": "g8", "secteur": "a",
        "occasion": false, "quart": 1, "numero": 1, "jeton": 0, "preavisS": null, "pieces": []});
    assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-1"), 8);
    let started = sim.start_log.len();
    sim.deliver_heartbeat(0, &outdated_heartbeat);
    sim.run_for(5000);
    // A new leader does not know the order of earlier heartbeats, only the fencing tokens.
    sim.kill(0);
    sim.run_for(500);
    sim.start(0);
    sim.run_for(100);
    sim.deliver_heartbeat(0, &outdated_heartbeat);
    sim.run_for(8000);
    assert_eq!(sim.on_machines("run-1"), 8);
    assert_eq!(sim.start_log.len(), started, "{:?}", sim.start_log);
}

#[test]
fn indeterminate_transaction_outcome_is_resolved_by_reading() {
    let mut sim = running_cluster(1);
    let mut responses_to_lose = 3;
    sim.fault_injector = Box::new(move |_, _, call| {
        if call.destination == Destination::KvStore && call.path == "/txn" && responses_to_lose > 0
        {
            responses_to_lose -= 1;
            return Delivery::ResponseLost;
        }
        Delivery::Normal
    });
    let request_number = sim.request(0, "POST", "/v2/runs", array("run-1", 3));
    sim.run_for(4000);
    assert!(
        matches!(sim.status_and_state(request_number).0, 200 | 201),
        "a read shows that the job was stored"
    );
    sim.run_for(10_000);
    assert_eq!(sim.query(0, "run-1").1, "done");
    assert_eq!(sim.start_log.len(), 3, "{:?}", sim.start_log);
}

#[test]
fn concurrent_cancellation_and_completion_yield_one_final_state() {
    let mut outcomes = [0, 0];
    for step in (0..60).step_by(4) {
        let mut sim = running_cluster(1);
        assert_eq!(sim.submit(0, &array("run-1", 1)), 201);
        sim.run_for(sim.task_duration_ms - 300 + step * 25);
        let (status, state) = sim.cancel(0, "run-1");
        assert_eq!(status, 200);
        outcomes[usize::from(state == "done")] += 1;
        sim.run_for(8000);
        assert_eq!(
            sim.query(0, "run-1").1,
            state,
            "the final state does not change"
        );
        assert_eq!(sim.cancel(0, "run-1").1, state);
        assert_eq!(sim.on_machines("run-1"), 0);
    }
    assert!(
        outcomes[0] > 0 && outcomes[1] > 0,
        "both outcomes occur: {outcomes:?}"
    );
}

#[test]
fn tasks_and_results_survive_restart_of_all_controllers() {
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
    assert_eq!(
        sim.query(1, "run-2").1,
        "done",
        "the completed job is still done"
    );
    assert_eq!(
        sim.start_log.len(),
        started,
        "no task restarts: {:?}",
        sim.start_log
    );
}

#[test]
fn unresponsive_machine_keeps_tasks_and_quota_until_its_release() {
    let mut sim = running_cluster(1);
    let mut spec = service("run-1", 16);
    spec["equipe"] = json!("blue");
    assert_eq!(sim.submit(0, &spec), 201);
    sim.run_for(3000);
    assert_eq!(
        sim.on_machines("run-1"),
        16,
        "the team uses its whole quota"
    );
    let mut more = service("run-2", 1);
    more["equipe"] = json!("blue");
    assert_eq!(sim.submit(0, &more), 201);
    sim.cloud_unavailable = true;
    if let Some(worker) = sim.workers.get_mut("vm-a") {
        worker.unresponsive = true;
    }
    sim.run_for(60_000);
    assert_eq!(
        sim.on_machines("run-2"),
        0,
        "missing heartbeats free no quota"
    );
    let before = sim.start_log.len();
    sim.cloud_unavailable = false;
    sim.run_for(30_000);
    assert!(
        sim.start_log.len() > before,
        "the release of the machine proves that its tasks have ended"
    );
    assert_eq!(sim.on_machines("run-1"), 16);
}

#[test]
fn cancelled_job_ends_on_unresponsive_machines() {
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
    assert!(
        !sim.kv_store.items.contains_key("j/run-1"),
        "the job record is deleted"
    );
    assert_eq!(sim.query(0, "run-1").1, "cancelled");
}

#[test]
fn machine_that_fails_all_tasks_is_avoided_and_released() {
    let mut sim = running_cluster(1);
    sim.workers.get_mut("vm-a").unwrap().faulty = true;
    assert_eq!(sim.submit(0, &array("run-1", 6)), 201);
    sim.run_for(25_000);
    assert_eq!(sim.query(0, "run-1").1, "done");
    assert!(
        sim.workers["vm-a"].released,
        "the faulty machine is released"
    );
}

#[test]
fn job_that_fails_on_every_machine_is_retried_with_backoff() {
    let mut sim = running_cluster(1);
    for worker in sim.workers.values_mut() {
        worker.faulty = true;
    }
    sim.add_machine("vm-c", "a", false, true);
    sim.workers.get_mut("vm-c").unwrap().faulty = true;
    assert_eq!(sim.submit(0, &array("run-1", 1)), 201);
    sim.run_for(60_000);
    let early_attempts = sim.start_log.len();
    sim.run_for(60_000);
    let late_attempts = sim.start_log.len() - early_attempts;
    assert!(
        late_attempts <= early_attempts,
        "{early_attempts} attempts in the first minute, {late_attempts} in the second"
    );
    assert!(
        late_attempts <= 4,
        "{late_attempts} attempts in the second minute"
    );
}

/// A job of the largest allowed size is scheduled in steps, so that simulating minutes of virtual
/// time takes at most seconds.
#[test]
fn largest_allowed_job_is_accepted_and_runs_in_steps() {
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
    assert!(
        sim.start_log.len() > 2000,
        "{} tasks started",
        sim.start_log.len()
    );
    assert_eq!(sim.query(0, "run-1").1, "running");
    sim.cancel(0, "run-1");
    sim.run_for(30_000);
    assert_eq!(sim.on_machines("run-1"), 0);
    assert!(!sim.kv_store.items.keys().any(|k| k.starts_with("p/")));
}

#[test]
fn large_job_is_stored_in_records_of_bounded_size() {
    let mut sim = running_cluster(1);
    sim.capacity = 3;
    let mut spec = array("run-1", 2000);
    spec["gpus"] = json!(0.0);
    spec["cpus"] = json!(0.5);
    spec["memoryGb"] = json!(0.1);
    assert_eq!(sim.submit(0, &spec), 201);
    sim.run_for(60_000);
    // The simulated key-value store checks the size of each record. A new leader must be able to
    // read all records.
    sim.kill(0);
    sim.run_for(100);
    sim.start(0);
    sim.run_for(90_000);
    assert_eq!(sim.query(0, "run-1").1, "done");
    sim.run_for(10_000);
    assert!(
        !sim.kv_store.items.keys().any(|k| k.starts_with("p/")),
        "placement records are deleted"
    );
}

#[test]
fn gang_starts_only_when_all_its_tasks_fit() {
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
        "capacity for six tasks is not enough for a gang of eight"
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
        "each task takes one attempt: {attempts:?}"
    );
}

/// In an earlier version, a delayed response to a read restored a job that had already ended. The
/// leader tried to store the job's final state again, the write failed, and the leader gave up its
/// term.
#[test]
fn delayed_read_response_does_not_restore_ended_job() {
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
    // The watch is stalled, so the leader reads the records repeatedly.
    sim.kv_store.watches_stalled = true;
    let other = (leader + 1) % 3;
    assert_eq!(sim.cancel(other, "run-1").1, "cancelled");
    sim.run_for(2000);
    sim.kv_store.watches_stalled = false;
    sim.run_for(5000);
    assert_eq!(
        sim.kv_store.items["leader/term"].0["term"], 1,
        "the leader keeps its term"
    );
    assert!(!sim.kv_store.items.keys().any(|k| k.starts_with("j/")));
}

#[test]
fn machine_that_runs_tasks_far_too_slowly_is_avoided_and_released() {
    let mut sim = running_cluster(1);
    sim.workers.get_mut("vm-b").unwrap().slowdown_factor = 5;
    assert_eq!(sim.submit(0, &array("run-1", 40)), 201);
    sim.run_for(60_000);
    assert_eq!(sim.query(0, "run-1").1, "done");
    let slow_starts = sim.start_log.iter().filter(|t| t.contains("vm-b")).count();
    assert!(
        slow_starts <= 8,
        "the slow machine gets no more tasks: {:?}",
        sim.start_log
    );
    assert!(sim.workers["vm-b"].released);
    assert!(!sim.workers["vm-a"].released || sim.workers.len() > 2);
}

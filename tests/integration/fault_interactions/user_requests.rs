//! Requests of users that coincide with state changes of the requested jobs or with pauses of
//! controllers, frequent queries, and invalid requests.

use crate::simulation::fixtures::{heal, running_cluster};
use crate::simulation::{array, service, Delivery};
use lilacfork::messages::Destination;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Every controller receives a cancellation, a query and a repeated submission, at times from
/// just before the job's last task completes until after the completion is stored.
#[test]
fn controllers_agree_on_final_state_after_requests_during_job_completion() {
    let mut final_states = BTreeSet::new();
    for offset in (0..120).step_by(6) {
        let mut sim = running_cluster(3);
        let spec = array("run-1", 2);
        assert_eq!(sim.submit(0, &spec), 201);
        // The task completes about 3 s after its start, and the next heartbeat reports the
        // completion.
        sim.run_for(2900 + offset * 12);
        let mut users = Vec::new();
        for n in 0..3 {
            users.push(sim.request(n, "POST", "/v2/runs/run-1/abort", Value::Null));
            users.push(sim.request(n, "GET", "/v2/runs/run-1", Value::Null));
            users.push(sim.request(n, "POST", "/v2/runs", spec.clone()));
            sim.run_for(2);
        }
        sim.run_for(5000);
        let states: Vec<String> = (0..3).map(|n| sim.query(n, "run-1").1).collect();
        assert!(
            states.iter().all(|s| *s == states[0]),
            "controllers report different states: {states:?}"
        );
        for user in users {
            assert!([200, 201].contains(&sim.status_and_state(user).0));
        }
        assert!(!sim.kv_store.items.keys().any(|k| k.starts_with("j/")));
        final_states.insert(states[0].clone());
    }
    assert_eq!(
        final_states.len(),
        2,
        "not both final states occurred: {final_states:?}"
    );
}

/// Users query all controllers and repeat the submission, within milliseconds after a job was
/// accepted, completed or confirmed as cancelled.
#[test]
fn queries_return_no_state_older_than_an_earlier_response() {
    let mut sim = running_cluster(3);
    sim.fault_injector = Box::new(|now_ms, node, call| match &call.destination {
        // The response delays differ between the controllers. The delay of watches has no effect
        // in the simulation.
        Destination::KvStore => Delivery::ResponseDelayed((now_ms * 7 + node as u64 * 13) % 40),
        Destination::KvWatch if node == 2 => Delivery::ResponseDelayed(300),
        _ => Delivery::Normal,
    });
    for n in 0..24 {
        let id = format!("run-{n}");
        let spec = array(&id, 1);
        let first = sim.request(n % 3, "POST", "/v2/runs", spec.clone());
        let mut cancel = None;
        for step in 0..200 {
            // Users query all controllers in two of every 20 steps after the acceptance, and in
            // every third step after the confirmed cancellation.
            let accepted = sim.replies.contains_key(&first);
            let cancelled = cancel.is_some_and(|c| sim.replies.contains_key(&c));
            if accepted && (step % 20 < 2 || (cancelled && step % 3 == 0)) {
                for node in 0..3 {
                    sim.request(node, "GET", &format!("/v2/runs/{id}"), Value::Null);
                    sim.request(node, "POST", "/v2/runs", spec.clone());
                }
            }
            if accepted && n % 2 == 0 && cancel.is_none() {
                let path = format!("/v2/runs/{id}/abort");
                cancel = Some(sim.request((n + step) % 3, "POST", &path, Value::Null));
            }
            sim.run_for(3);
        }
        if let Some(cancel) = cancel {
            assert_eq!(
                sim.status_and_state(cancel),
                (200, "cancelled".into()),
                "the cancellation of {id} was not confirmed"
            );
        }
        assert_eq!(sim.status_and_state(first).0, 201);
    }
    heal(&mut sim);
    sim.run_for(8000);
    for n in 0..24 {
        let expected = if n % 2 == 0 { "cancelled" } else { "done" };
        for node in 0..3 {
            assert_eq!(sim.query(node, &format!("run-{n}")).1, expected);
        }
    }
}

/// Users repeat the submissions of an unfinished and a completed job, cancel a completed and an
/// unknown job, and submit jobs that fit no machine, lack a field or have an invalid field.
#[test]
fn repeated_submissions_are_recognized_and_invalid_jobs_are_not_stored() {
    let mut sim = running_cluster(3);
    let spec = array("run-1", 2);
    assert_eq!(sim.submit(0, &spec), 201);
    assert_eq!(sim.submit(1, &spec), 200);
    sim.run_for(8000);
    assert_eq!(sim.cancel(2, "run-1"), (200, "done".into()));
    assert_eq!(sim.submit(2, &spec), 200);
    assert_eq!(sim.cancel(2, "run-9").0, 404);
    let required = spec.as_object().unwrap().keys();
    for (n, field) in required.enumerate() {
        let mut incomplete = array(&format!("run-{}", 20 + n), 2);
        incomplete.as_object_mut().unwrap().remove(field);
        let optional = ["gammes", "secteur", "echeanceS"].contains(&field.as_str());
        let expected = if optional { 201 } else { 400 };
        assert_eq!(
            sim.submit(n % 3, &incomplete),
            expected,
            "job without {field}"
        );
    }
    for (field, value) in [
        ("cpus", json!(97.0)),
        ("gammes", json!(["g9"])),
        ("gammes", json!([])),
        ("secteur", json!("c")),
        ("equipe", json!("nobody")),
    ] {
        let mut spec = array("run-3", 2);
        spec[field] = value;
        assert_eq!(sim.submit(0, &spec), 422, "unsatisfiable {field}");
    }
    for (field, value) in [
        ("pieces", json!(0)),
        ("pieces", json!(1e30)),
        ("cpus", json!("8")),
        ("genre", json!("batch")),
        ("rang", json!(null)),
        ("prevuS", json!(-1.0)),
        ("id", json!("../x")),
    ] {
        let mut spec = array("run-3", 2);
        spec[field] = value;
        assert_eq!(sim.submit(0, &spec), 400, "invalid {field}");
    }
    assert_eq!(sim.query(0, "run-3").0, 404);
}

/// Users send many times as many queries as usual. One read of the key-value store serves all
/// queries that arrived before the read was sent, so that queries delay neither other requests
/// nor each other. In incident inc-6c44, queries about two jobs got no reply for 75 s, and
/// the jobs counted as forgotten.
#[test]
fn frequent_queries_share_reads_and_delay_no_request() {
    let mut sim = running_cluster(3);
    sim.capacity = 40;
    sim.task_duration_ms = 600_000;
    for n in 0..200 {
        assert_eq!(sim.submit(n % 3, &array(&format!("run-{n}"), 1)), 201);
    }
    sim.run_for(8000);
    let leader = sim.leader().unwrap();
    let node = (leader + 1) % 3;
    let reads = Rc::new(RefCell::new(0));
    let counted_reads = reads.clone();
    sim.fault_injector = Box::new(move |_, n, call| {
        *counted_reads.borrow_mut() +=
            usize::from(n == node && call.destination == Destination::KvStore);
        Delivery::Normal
    });
    let mut users = Vec::new();
    let start_ms = sim.now_ms;
    for n in 0..4000 {
        let path = format!("/v2/runs/run-{}", n % 210);
        users.push(sim.request(node, "GET", &path, Value::Null));
        sim.run_until(start_ms + n * 5);
        if n % 200 == 0 {
            let id = format!("run-{}", 300 + n / 200);
            let sent_ms = sim.now_ms;
            assert_eq!(sim.submit(node, &array(&id, 1)), 201);
            assert!(
                sim.now_ms < sent_ms + 500,
                "the submission of {id} took 500 ms or longer"
            );
            assert_eq!(sim.cancel(node, &id).0, 200);
        }
    }
    sim.run_for(2000);
    let has_expected_status = |u: &&u64| matches!(sim.status_and_state(**u).0, 200 | 404);
    assert_eq!(
        users.iter().filter(has_expected_status).count(),
        users.len()
    );
    let reads = *reads.borrow();
    assert!(
        reads < 1200,
        "too many key-value calls for 4,000 queries in 20 s: {reads}"
    );
}

/// A controller whose process was paused must not reply with what it read before the pause,
/// because other controllers may have reported a newer state since.
#[test]
fn resumed_controller_returns_no_state_read_before_its_pause() {
    for pause_after_ms in (5..300).step_by(25) {
        // One pause is shorter than the leader's lease.
        for (method, path, pause_ms) in [
            ("GET", "/v2/runs/run-1", 2500),
            ("GET", "/v2/runs/run-1", 4000),
            ("POST", "/v2/runs", 4000),
        ] {
            let mut sim = running_cluster(3);
            sim.responses_first_on_resume = true;
            let leader = sim.leader().unwrap();
            let follower = (leader + 1) % 3;
            let spec = service("run-1", 2);
            assert_eq!(sim.submit(leader, &spec), 201);
            sim.run_for(2000);
            let body = if method == "POST" { spec } else { json!(null) };
            // The key-value store's response arrives while the controller is paused.
            sim.fault_injector = Box::new(move |_, node, call| match call.destination {
                Destination::KvStore if node == follower => Delivery::ResponseDelayed(300),
                _ => Delivery::Normal,
            });
            let request = sim.request(follower, method, path, body);
            sim.run_for(pause_after_ms);
            let resumes_ms = sim.now_ms + pause_ms;
            sim.paused_until_ms.insert(follower, resumes_ms);
            sim.run_for(500);
            assert_eq!(sim.cancel(leader, "run-1"), (200, "cancelled".into()));
            sim.run_until(resumes_ms + 200);
            let (status, state) = sim.status_and_state(request);
            let fresh = status == 503 || state == "cancelled";
            assert!(
                fresh,
                "{method}, paused after {pause_after_ms} ms for {pause_ms} ms: {status} {state}"
            );
            assert_eq!(sim.query(follower, "run-1"), (200, "cancelled".into()));
        }
    }
}

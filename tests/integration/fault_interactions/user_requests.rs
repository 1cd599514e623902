//! Requests of users that meet changes of the jobs that they ask for, and malformed ones.

use crate::simulation::fixtures::{heal, running_cluster};
use crate::simulation::{array, service, Delivery};
use lilacfork::messages::Destination;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A cancellation, a query and a repeated submission at every node, from just before the
/// end of the job's last task until after that end is stored.
#[test]
fn everything_at_once_meets_the_end_of_the_last_task() {
    let mut ends = BTreeSet::new();
    for offset in (0..120).step_by(6) {
        let mut sim = running_cluster(3);
        let spec = array("run-1", 2);
        assert_eq!(sim.submit(0, &spec), 201);
        // The task ends some 3 s after its start, and is stored within a report.
        sim.run_for(2900 + offset * 12);
        let mut users = Vec::new();
        for n in 0..3 {
            users.push(sim.request(n, "POST", "/v2/runs/run-1/abort", Value::Null));
            users.push(sim.request(n, "GET", "/v2/runs/run-1", Value::Null));
            users.push(sim.request(n, "POST", "/v2/runs", spec.clone()));
            sim.run_for(2);
        }
        sim.run_for(5000);
        let states: Vec<String> = (0..3).map(|n| sim.poll(n, "run-1").1).collect();
        assert!(states.iter().all(|s| *s == states[0]), "{states:?}");
        for user in users {
            assert!([200, 201].contains(&sim.status_and_state(user).0));
        }
        assert!(!sim.kv_store.items.keys().any(|k| k.starts_with("j/")));
        ends.insert(states[0].clone());
    }
    assert_eq!(ends.len(), 2, "both sides win at times: {ends:?}");
}

/// Users query all nodes within milliseconds, and repeat the submission, right after a
/// job was accepted, ended or confirmed as cancelled.
#[test]
fn close_looks_get_nothing_older_than_what_was_told() {
    let mut sim = running_cluster(3);
    sim.fault_injector = Box::new(|at, node, call| match &call.destination {
        // Each node's calls take their own time.
        Destination::KvStore => Delivery::ResponseDelayed((at * 7 + node as u64 * 13) % 40),
        Destination::KvWatch if node == 2 => Delivery::ResponseDelayed(300),
        _ => Delivery::Normal,
    });
    for n in 0..24 {
        let id = format!("run-{n}");
        let spec = array(&id, 1);
        let first = sim.request(n % 3, "POST", "/v2/runs", spec.clone());
        let mut cancel = None;
        for step in 0..200 {
            // Two close looks at each event, and one now and then.
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
                "{id}"
            );
        }
        assert_eq!(sim.status_and_state(first).0, 201);
    }
    heal(&mut sim);
    sim.run_for(8000);
    for n in 0..24 {
        let expected = if n % 2 == 0 { "cancelled" } else { "done" };
        for node in 0..3 {
            assert_eq!(sim.poll(node, &format!("run-{n}")).1, expected);
        }
    }
}

/// Unusual requests: repeats of unfinished jobs, cancellations of jobs that are done,
/// jobs that fit no machine or lack a field.
#[test]
fn odd_requests_get_their_status_and_take_nothing() {
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
        let mut lacks = array(&format!("run-{}", 20 + n), 2);
        lacks.as_object_mut().unwrap().remove(field);
        let optional = ["gammes", "secteur", "echeanceS"].contains(&field.as_str());
        let expected = if optional { 201 } else { 400 };
        assert_eq!(sim.submit(n % 3, &lacks), expected, "{field}");
    }
    for (field, odd) in [
        ("cpus", json!(97.0)),
        ("gammes", json!(["g9"])),
        ("gammes", json!([])),
        ("secteur", json!("c")),
        ("equipe", json!("nobody")),
    ] {
        let mut spec = array("run-3", 2);
        spec[field] = odd;
        assert_eq!(sim.submit(0, &spec), 422, "{field}");
    }
    for (field, odd) in [
        ("pieces", json!(0)),
        ("pieces", json!(1e30)),
        ("cpus", json!("8")),
        ("genre", json!("batch")),
        ("rang", json!(null)),
        ("prevuS", json!(-1.0)),
        ("id", json!("../x")),
    ] {
        let mut spec = array("run-3", 2);
        spec[field] = odd;
        assert_eq!(sim.submit(0, &spec), 400, "{field}");
    }
    assert_eq!(sim.poll(0, "run-3").0, 404);
}

/// Users send many times as many queries as usual: one read of the key-value store
/// answers all queries that came before it was sent, so that queries starve nobody,
/// themselves included (inc-6c44: two jobs counted as forgotten, since no query about
/// them was answered for 75 s).
#[test]
fn questions_many_times_as_often_cost_no_more_calls_and_starve_nobody() {
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
    let seen = reads.clone();
    sim.fault_injector = Box::new(move |_, n, call| {
        *seen.borrow_mut() += usize::from(n == node && call.destination == Destination::KvStore);
        Delivery::Normal
    });
    let mut users = Vec::new();
    let began = sim.now_ms;
    for n in 0..4000 {
        let path = format!("/v2/runs/run-{}", n % 210);
        users.push(sim.request(node, "GET", &path, Value::Null));
        sim.run_until(began + n * 5);
        if n % 200 == 0 {
            let id = format!("run-{}", 300 + n / 200);
            let sent = sim.now_ms;
            assert_eq!(sim.submit(node, &array(&id, 1)), 201);
            assert!(sim.now_ms < sent + 500, "a submission waits for nobody");
            assert_eq!(sim.cancel(node, &id).0, 200);
        }
    }
    sim.run_for(2000);
    let answered = |u: &&u64| matches!(sim.status_and_state(**u).0, 200 | 404);
    assert_eq!(users.iter().filter(answered).count(), users.len());
    let reads = *reads.borrow();
    assert!(reads < 1200, "{reads} calls for 4,000 questions in 20 s");
}

/// A controller whose process was paused answers no query with what it had read before
/// the pause: other nodes may have reported something newer since.
#[test]
fn a_woken_controller_answers_nothing_that_it_read_before() {
    for asleep_after_ms in (5..300).step_by(25) {
        // Also for less than a leader's lease.
        for (method, path, asleep_ms) in [
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
            // The key-value store responds while the controller is paused.
            sim.fault_injector = Box::new(move |_, node, call| match call.destination {
                Destination::KvStore if node == follower => Delivery::ResponseDelayed(300),
                _ => Delivery::Normal,
            });
            let asked = sim.request(follower, method, path, body);
            sim.run_for(asleep_after_ms);
            let wakes = sim.now_ms + asleep_ms;
            sim.paused_until_ms.insert(follower, wakes);
            sim.run_for(500);
            assert_eq!(sim.cancel(leader, "run-1"), (200, "cancelled".into()));
            sim.run_until(wakes + 200);
            let (status, state) = sim.status_and_state(asked);
            let fresh = status == 503 || state == "cancelled";
            assert!(
                fresh,
                "{method} after {asleep_after_ms} ms, for {asleep_ms} ms: {status} {state}"
            );
            assert_eq!(sim.poll(follower, "run-1"), (200, "cancelled".into()));
        }
    }
}

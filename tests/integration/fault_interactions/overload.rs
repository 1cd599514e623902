//! More work than writes or capacity allow.

use crate::simulation::fixtures::running_cluster;
use crate::simulation::{array, service, Delivery};
use lilacfork::messages::Destination;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::rc::Rc;

/// Four one-task jobs a second for two minutes, a quarter of them cancelled, with the
/// key-value store at its write limit.
#[test]
fn a_flood_of_one_task_jobs_is_stored_served_and_cancelled() {
    let mut sim = running_cluster(3);
    sim.task_duration_ms = 2000;
    let writes = Rc::new(RefCell::new(Vec::new()));
    let seen = writes.clone();
    sim.fault_injector = Box::new(move |at, _, call| {
        if call.path == "/txn" {
            let body: Value = serde_json::from_slice(&call.body).unwrap();
            let count = body["writes"].as_array().map_or(0, Vec::len) as u64;
            seen.borrow_mut().push((at, count));
        }
        Delivery::Normal
    });
    let jobs = 480;
    let mut waits = Vec::new();
    for n in 0..jobs {
        let id = format!("run-{n}");
        let began = sim.now_ms;
        assert_eq!(sim.submit(n % 3, &array(&id, 1)), 201);
        if n % 4 == 3 {
            sim.run_for(100);
            assert_eq!(sim.cancel((n + 1) % 3, &id).0, 200);
        }
        if n >= 16 {
            let old = format!("run-{}", n - 16);
            if sim.poll(n % 3, &old).1 != "done" && (n - 16) % 4 != 3 {
                waits.push(old);
            }
        }
        sim.run_until(began + 250);
    }
    sim.run_for(8000);
    for n in 0..jobs {
        let (status, state) = sim.poll(n % 3, &format!("run-{n}"));
        assert_eq!(status, 200);
        assert!(state == "done" || n % 4 == 3, "run-{n} is {state}");
    }
    assert!(waits.len() < jobs / 20, "late by 4 s: {}", waits.len());
    assert!(sim.kv_store.items.keys().all(|k| !k.starts_with("p/")));
    let writes = writes.borrow();
    let most = (0..sim.now_ms / 1000)
        .map(|s| {
            let second = writes.iter().filter(|(at, _)| at / 1000 == s);
            second.map(|(_, count)| *count).sum::<u64>()
        })
        .max();
    assert!(most.unwrap_or(0) <= 50, "changes in a second: {most:?}");
}

/// More work than capacity, of all ranks, over slow links.
#[test]
fn more_work_than_room_urgent_and_not_over_slow_links() {
    let mut sim = running_cluster(3);
    sim.capacity = 4;
    sim.fault_injector = Box::new(|at, _, call| match call.destination {
        Destination::Worker(_) => Delivery::ResponseDelayed((at * 13) % 1500),
        Destination::Peer(_) => Delivery::ResponseDelayed((at * 7) % 300),
        Destination::KvStore => Delivery::ResponseDelayed((at * 3) % 120),
        _ => Delivery::Normal,
    });
    let ranks = ["idle", "standard", "high", "critical"];
    for n in 0..40 {
        let mut spec = array(&format!("run-{n}"), 4);
        spec["rang"] = json!(ranks[n % 4]);
        assert!(sim.request(n % 3, "POST", "/v2/runs", spec) > 0);
        sim.run_for(300);
        if n % 7 == 0 {
            let path = format!("/v2/runs/run-{n}/abort");
            sim.request((n + 1) % 3, "POST", &path, Value::Null);
        }
    }
    sim.request(0, "POST", "/v2/runs", service("run-90", 8));
    sim.run_for(60_000);
    for n in 0..40 {
        let state = sim.poll(n % 3, &format!("run-{n}")).1;
        let mut user = 0;
        if state.is_empty() {
            user = sim.request(n % 3, "GET", &format!("/v2/runs/run-{n}"), Value::Null);
            sim.run_for(1000);
        }
        let state = if user > 0 {
            sim.status_and_state(user).1
        } else {
            state
        };
        assert!(
            ["done", "cancelled"].contains(&state.as_str()),
            "run-{n} {state}"
        );
    }
    assert_eq!(sim.on_machines("run-90"), 8);
}

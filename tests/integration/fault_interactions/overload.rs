//! Load beyond the write limit of the key-value store or the capacity of the fleet.

use crate::simulation::fixtures::running_cluster;
use crate::simulation::{array, service, Delivery};
use lilacfork::messages::Destination;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::rc::Rc;

/// Users submit four one-task jobs per second for two minutes and cancel a quarter of them,
/// while the key-value store is at its write limit.
#[test]
fn flood_of_one_task_jobs_is_served_within_write_limit() {
    let mut sim = running_cluster(3);
    sim.task_duration_ms = 2000;
    let writes = Rc::new(RefCell::new(Vec::new()));
    let recorded_writes = writes.clone();
    sim.fault_injector = Box::new(move |now_ms, _, call| {
        if call.path == "/txn" {
            let body: Value = serde_json::from_slice(&call.body).unwrap();
            let count = body["writes"].as_array().map_or(0, Vec::len) as u64;
            recorded_writes.borrow_mut().push((now_ms, count));
        }
        Delivery::Normal
    });
    let jobs = 480;
    let mut late_jobs = Vec::new();
    for n in 0..jobs {
        let id = format!("run-{n}");
        let submitted_ms = sim.now_ms;
        assert_eq!(sim.submit(n % 3, &array(&id, 1)), 201);
        if n % 4 == 3 {
            sim.run_for(100);
            assert_eq!(sim.cancel((n + 1) % 3, &id).0, 200);
        }
        if n >= 16 {
            let earlier = format!("run-{}", n - 16);
            if sim.query(n % 3, &earlier).1 != "done" && (n - 16) % 4 != 3 {
                late_jobs.push(earlier);
            }
        }
        sim.run_until(submitted_ms + 250);
    }
    sim.run_for(8000);
    for n in 0..jobs {
        let (status, state) = sim.query(n % 3, &format!("run-{n}"));
        assert_eq!(status, 200);
        assert!(state == "done" || n % 4 == 3, "run-{n} is {state}");
    }
    assert!(
        late_jobs.len() < jobs / 20,
        "too many jobs not done after 4 s: {}",
        late_jobs.len()
    );
    assert!(sim.kv_store.items.keys().all(|k| !k.starts_with("p/")));
    let writes = writes.borrow();
    let max_writes_per_s = (0..sim.now_ms / 1000)
        .map(|second| {
            let in_second = writes.iter().filter(|(at_ms, _)| at_ms / 1000 == second);
            in_second.map(|(_, count)| *count).sum::<u64>()
        })
        .max();
    assert!(
        max_writes_per_s.unwrap_or(0) <= 50,
        "too many writes in one second: {max_writes_per_s:?}"
    );
}

/// Jobs of all priorities exceed the capacity, while responses of the workers and the key-value
/// store are delayed. The delay for peers has no effect in the simulation
/// (see [`Delivery`]).
#[test]
fn jobs_of_all_priorities_complete_with_scarce_capacity_and_slow_links() {
    let mut sim = running_cluster(3);
    sim.capacity = 4;
    sim.fault_injector = Box::new(|now_ms, _, call| match call.destination {
        Destination::Worker(_) => Delivery::ResponseDelayed((now_ms * 13) % 1500),
        Destination::Peer(_) => Delivery::ResponseDelayed((now_ms * 7) % 300),
        Destination::KvStore => Delivery::ResponseDelayed((now_ms * 3) % 120),
        _ => Delivery::Normal,
    });
    let priorities = ["idle", "standard", "high", "critical"];
    for n in 0..40 {
        let mut spec = array(&format!("run-{n}"), 4);
        spec["rang"] = json!(priorities[n % 4]);
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
        let state = sim.query(n % 3, &format!("run-{n}")).1;
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
            "run-{n} has no final state: {state}"
        );
    }
    assert_eq!(sim.on_machines("run-90"), 8);
}

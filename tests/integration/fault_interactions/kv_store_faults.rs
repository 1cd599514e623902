//! Faults of the key-value store during cancellations, queries and writes.

use crate::simulation::fixtures::{heal, isolate_node, running_cluster};
use crate::simulation::{array, service, Delivery, CANCEL_MS};
use lilacfork::messages::Destination;
use serde_json::Value;

/// Users cancel and query jobs while the key-value store first responds slowly, then also
/// rejects the calls of the leader, and then is unavailable for longer than `cancel_s`.
#[test]
fn cancelled_jobs_stop_in_time_while_kv_store_is_slow_and_then_unavailable() {
    let mut sim = running_cluster(3);
    for n in 0..4 {
        assert_eq!(sim.submit(0, &service(&format!("run-{n}"), 4)), 201);
    }
    sim.run_for(2000);
    let leader = sim.leader().unwrap();
    let mut cancelled = Vec::new();
    for phase in 0..3 {
        sim.fault_injector = Box::new(move |now_ms, node, call| match call.destination {
            Destination::KvStore if phase >= 1 && node == leader => Delivery::Rejected,
            Destination::KvStore => Delivery::ResponseDelayed(100 + (now_ms * 31) % 900),
            _ => Delivery::Normal,
        });
        sim.kv_store.unavailable = phase == 2;
        for n in 0..3 {
            let path = format!("/v2/runs/run-{phase}/abort");
            let user = sim.request(n, "POST", &path, Value::Null);
            sim.request(n, "GET", &format!("/v2/runs/run-{phase}"), Value::Null);
            sim.run_for(700);
            if sim.status_and_state(user).1 == "cancelled" {
                cancelled.push(format!("run-{phase}/"));
            }
        }
    }
    assert!(
        cancelled.len() >= 2,
        "too few cancellations were confirmed: {cancelled:?}"
    );
    sim.run_for(CANCEL_MS + 5000);
    for job in &cancelled {
        assert_eq!(sim.on_machines(job), 0, "tasks of cancelled {job} run");
    }
    heal(&mut sim);
    sim.end_kv_store_outage();
    sim.run_for(15_000);
    assert_eq!(sim.on_machines("run-3"), 4);
}

/// Four in ten transactions time out and are executed 2 to 12 s after they were sent, possibly
/// after newer transactions of the same controller. The transactions store submissions,
/// cancellations, placements and completions.
#[test]
fn delayed_transactions_do_not_overwrite_newer_writes() {
    for seed in 0..8 {
        let mut sim = running_cluster(3);
        let mut rng = fastrand::Rng::with_seed(seed);
        sim.fault_injector = Box::new(move |_, _, call| {
            if call.path == "/txn" && rng.u32(0..10) < 4 {
                return Delivery::RequestDelayed(2000 + rng.u64(0..10_000));
            }
            Delivery::Normal
        });
        for n in 0..12 {
            let spec = array(&format!("run-{n}"), 2);
            sim.request(n % 3, "POST", "/v2/runs", spec);
            sim.run_for(800);
            if n % 3 == 0 {
                let path = format!("/v2/runs/run-{n}/abort");
                sim.request((n + 1) % 3, "POST", &path, Value::Null);
            }
            sim.request(
                (n + 2) % 3,
                "GET",
                &format!("/v2/runs/run-{n}"),
                Value::Null,
            );
        }
        sim.run_for(14_000);
        heal(&mut sim);
        for n in 0..12 {
            let status = sim.submit(n % 3, &array(&format!("run-{n}"), 2));
            assert!(status == 200 || status == 201);
        }
        sim.run_for(25_000);
        for n in 0..12 {
            let state = sim.query(n % 3, &format!("run-{n}")).1;
            assert!(state == "done" || (state == "cancelled" && n % 3 == 0));
        }
        assert!(!sim.kv_store.items.keys().any(|k| k.starts_with("j/")));
    }
}

/// A leader is partitioned from the key-value store and from its peers, while workers and users
/// still reach the leader. Meanwhile another controller confirms cancellations of jobs.
#[test]
fn jobs_cancelled_elsewhere_stop_while_leader_reaches_only_workers_and_users() {
    let mut sim = running_cluster(3);
    for n in 0..4 {
        assert_eq!(sim.submit(0, &service(&format!("run-{n}"), 4)), 201);
    }
    sim.run_for(2000);
    let isolated = sim.leader().unwrap();
    isolate_node(&mut sim, isolated, Delivery::RequestLost, true);
    let other = (isolated + 1) % 3;
    for n in 0..3 {
        assert_eq!(sim.cancel(other, &format!("run-{n}")).1, "cancelled");
        let query = sim.request(isolated, "GET", &format!("/v2/runs/run-{n}"), Value::Null);
        sim.run_for(4000);
        assert_eq!(
            sim.status_and_state(query).0,
            503,
            "the isolated leader did not reject a query"
        );
    }
    sim.run_for(CANCEL_MS);
    assert!((0..3).all(|n| sim.on_machines(&format!("run-{n}/")) == 0));
    heal(&mut sim);
    sim.run_for(20_000);
    assert_eq!(sim.on_machines("run-3"), 4);
    assert!(sim.observer.starts_after_cancel.is_empty());
}

/// A transaction is executed without delay and only its response is lost. Other controllers
/// read the written records and report the job to users before the writing controller knows the
/// outcome.
#[test]
fn write_with_lost_response_is_reported_by_other_controllers() {
    for writer in 0..3 {
        let mut sim = running_cluster(3);
        let lose_responses = |writer: usize| -> crate::simulation::FaultInjector {
            Box::new(move |_, node, call| match call.destination {
                Destination::KvStore if call.path == "/txn" && node == writer => {
                    Delivery::ResponseLost
                }
                _ => Delivery::Normal,
            })
        };
        sim.fault_injector = lose_responses(writer);
        let spec = service("run-1", 4);
        let submitted = sim.request(writer, "POST", "/v2/runs", spec.clone());
        sim.run_for(10);
        for n in 0..3 {
            if n != writer {
                assert_eq!(sim.query(n, "run-1").0, 200);
                assert_eq!(sim.submit(n, &spec), 200);
            }
        }
        sim.run_for(4000);
        assert_eq!(
            sim.status_and_state(submitted).0,
            200,
            "the writing controller did not find its own write"
        );
        heal(&mut sim);
        sim.run_for(4000);
        assert_eq!(sim.on_machines("run-1"), 4);
        sim.fault_injector = lose_responses(writer);
        let path = "/v2/runs/run-1/abort";
        let cancelled = sim.request(writer, "POST", path, Value::Null);
        sim.run_for(10);
        for n in 0..3 {
            assert!(n == writer || sim.query(n, "run-1").1 == "cancelled");
        }
        sim.run_for(4000);
        assert_eq!(sim.status_and_state(cancelled).1, "cancelled");
        heal(&mut sim);
        sim.run_for(4000);
        assert_eq!(sim.on_machines("run-1"), 0);
        assert_eq!(sim.query(writer, "run-1").1, "cancelled");
    }
}

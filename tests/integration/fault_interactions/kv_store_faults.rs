//! Faults of the key-value store that meet cancellations, queries and writes.

use crate::simulation::fixtures::{heal, isolate_node, running_cluster};
use crate::simulation::{array, service, Fate, CANCEL_MS};
use lilacfork::messages::Destination;
use serde_json::Value;

/// The key-value store responds slowly, then rejects the calls of the leader alone, then
/// is unavailable for longer than `cancel_s`, while users cancel and query jobs.
#[test]
fn a_slow_state_service_then_none_while_users_cancel_and_ask() {
    let mut w = running_cluster(3);
    for n in 0..4 {
        assert_eq!(w.submit(0, &service(&format!("run-{n}"), 4)), 201);
    }
    w.run_for(2000);
    let leader = w.leader().unwrap();
    let mut cancelled = Vec::new();
    for phase in 0..3 {
        w.hook = Box::new(move |at, node, call| match call.destination {
            Destination::KvStore if phase >= 1 && node == leader => Fate::Refuse,
            Destination::KvStore => Fate::SlowAnswer(100 + (at * 31) % 900),
            _ => Fate::Pass,
        });
        w.state.away = phase == 2;
        for n in 0..3 {
            let path = format!("/v2/runs/run-{phase}/abort");
            let user = w.ask(n, "POST", &path, Value::Null);
            w.ask(n, "GET", &format!("/v2/runs/run-{phase}"), Value::Null);
            w.run_for(700);
            if w.answer(user).1 == "cancelled" {
                cancelled.push(format!("run-{phase}/"));
            }
        }
    }
    assert!(cancelled.len() >= 2, "{cancelled:?}");
    w.run_for(CANCEL_MS + 5000);
    for job in &cancelled {
        assert_eq!(w.on_machines(job), 0, "{job}");
    }
    heal(&mut w);
    w.state_returns();
    w.run_for(15_000);
    assert_eq!(w.on_machines("run-3"), 4);
}

/// Transactions time out and are carried out 2 to 12 s later, after newer ones of the
/// same controller: submissions, cancellations, placements and ends.
#[test]
fn transactions_carried_out_late_change_nothing_that_is_newer() {
    for seed in 0..8 {
        let mut w = running_cluster(3);
        let mut rng = fastrand::Rng::with_seed(seed);
        w.hook = Box::new(move |_, _, call| {
            if call.path == "/txn" && rng.u32(0..10) < 4 {
                return Fate::Late(2000 + rng.u64(0..10_000));
            }
            Fate::Pass
        });
        for n in 0..12 {
            let spec = array(&format!("run-{n}"), 2);
            w.ask(n % 3, "POST", "/v2/runs", spec);
            w.run_for(800);
            if n % 3 == 0 {
                let path = format!("/v2/runs/run-{n}/abort");
                w.ask((n + 1) % 3, "POST", &path, Value::Null);
            }
            w.ask(
                (n + 2) % 3,
                "GET",
                &format!("/v2/runs/run-{n}"),
                Value::Null,
            );
        }
        w.run_for(14_000);
        heal(&mut w);
        for n in 0..12 {
            let status = w.submit(n % 3, &array(&format!("run-{n}"), 2));
            assert!(status == 200 || status == 201);
        }
        w.run_for(25_000);
        for n in 0..12 {
            let state = w.poll(n % 3, &format!("run-{n}")).1;
            assert!(state == "done" || (state == "cancelled" && n % 3 == 0));
        }
        assert!(!w.state.items.keys().any(|k| k.starts_with("j/")));
    }
}

/// A leader is partitioned from the key-value store and from the other controllers while
/// workers and users still reach it, and jobs are cancelled at the new leader.
#[test]
fn a_leader_cut_from_all_but_workers_and_users_while_jobs_are_cancelled() {
    let mut w = running_cluster(3);
    for n in 0..4 {
        assert_eq!(w.submit(0, &service(&format!("run-{n}"), 4)), 201);
    }
    w.run_for(2000);
    let old = w.leader().unwrap();
    isolate_node(&mut w, old, Fate::LoseRequest, true);
    let other = (old + 1) % 3;
    for n in 0..3 {
        assert_eq!(w.cancel(other, &format!("run-{n}")).1, "cancelled");
        let asked = w.ask(old, "GET", &format!("/v2/runs/run-{n}"), Value::Null);
        w.run_for(4000);
        assert_eq!(w.answer(asked).0, 503, "it can't tell");
    }
    w.run_for(CANCEL_MS);
    assert!((0..3).all(|n| w.on_machines(&format!("run-{n}/")) == 0));
    heal(&mut w);
    w.run_for(20_000);
    assert_eq!(w.on_machines("run-3"), 4);
    assert!(w.observer.starts_after_cancel.is_empty());
}

/// A transaction is carried out at once and only its response is lost, while other nodes
/// read what it wrote and report it to users.
#[test]
fn what_was_written_unheard_is_read_and_told_by_others() {
    for writer in 0..3 {
        let mut w = running_cluster(3);
        let at_once = |writer: usize| -> crate::simulation::Hook {
            Box::new(move |_, node, call| match call.destination {
                Destination::KvStore if call.path == "/txn" && node == writer => Fate::LoseAnswer,
                _ => Fate::Pass,
            })
        };
        w.hook = at_once(writer);
        let spec = service("run-1", 4);
        let submitted = w.ask(writer, "POST", "/v2/runs", spec.clone());
        w.run_for(10);
        for n in 0..3 {
            if n != writer {
                assert_eq!(w.poll(n, "run-1").0, 200);
                assert_eq!(w.submit(n, &spec), 200);
            }
        }
        w.run_for(4000);
        assert_eq!(w.answer(submitted).0, 200, "it finds its own write");
        heal(&mut w);
        w.run_for(4000);
        assert_eq!(w.on_machines("run-1"), 4);
        w.hook = at_once(writer);
        let path = "/v2/runs/run-1/abort";
        let cancelled = w.ask(writer, "POST", path, Value::Null);
        w.run_for(10);
        for n in 0..3 {
            assert!(n == writer || w.poll(n, "run-1").1 == "cancelled");
        }
        w.run_for(4000);
        assert_eq!(w.answer(cancelled).1, "cancelled");
        heal(&mut w);
        w.run_for(4000);
        assert_eq!(w.on_machines("run-1"), 0);
        assert_eq!(w.poll(writer, "run-1").1, "cancelled");
    }
}

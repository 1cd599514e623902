//! Kept traces of two troubles that meet, one for each meeting that the
//! operators have named and that no other file holds. The observer checks the
//! rules at every step; a test adds what has to be served.

use crate::simulation::fixtures::{
    cut_between_zones, cut_off, full_zone, gone, heal, set_silent, up,
};
use crate::simulation::{array, service, Fate, Simulation, CANCEL_MS, LEASE_MS};
use lilacfork::messages::Destination;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::rc::Rc;

/// Ends the leader, and returns who leads next.
fn change_leader(w: &mut Simulation) -> usize {
    let old = w.leader().expect("somebody leads");
    w.kill(old);
    w.run_for(4500);
    w.start(old);
    let new = w.leader().expect("somebody else leads");
    assert_ne!(new, old);
    new
}

/// A machine that reaches no controller, while direct commands reach it, was
/// heard by its answers to these: it got its tasks again whenever its lease
/// had ended them.
#[test]
fn a_mute_machine_is_given_up_though_direct_commands_reach_it() {
    let mut w = up(3);
    w.capacity = 2;
    let name = "vm-a";
    for (id, zone, tasks) in [("run-1", "a", 4), ("run-2", "b", 8)] {
        let mut spec = service(id, tasks);
        spec["secteur"] = json!(zone);
        assert_eq!(w.submit(0, &spec), 201);
    }
    w.run_for(3000);
    let on = w.workers[name].tasks.len();
    assert_eq!(on, 4);
    w.workers.get_mut(name).unwrap().mute = true;
    let started = w.trace.len();
    // Commands go there all the while, and are answered.
    for n in 0..50 {
        let id = format!("run-{}", 100 + n);
        let mut spec = service(&id, 2);
        spec["secteur"] = json!("a");
        assert_eq!(w.submit(0, &spec), 201);
        w.run_for(500);
        assert_eq!(w.cancel(0, &id).1, "cancelled");
        w.run_for(200);
    }
    assert!(w.workers[name].gone, "its lease can't be renewed");
    assert_eq!(w.on_machines("run-1/"), 4);
    let moved = w.trace[started..].iter().filter(|t| t.contains("run-1/"));
    let moved: Vec<_> = moved.collect();
    assert!(moved.iter().all(|t| !t.contains(name)), "{moved:?}");
    assert_eq!(moved.len(), on, "each moved once: {moved:?}");
}

/// The same machine with a cancelled job: the direct command stops it.
#[test]
fn a_mute_machine_stops_what_is_cancelled_at_once() {
    let mut w = up(3);
    assert_eq!(w.submit(0, &service("run-1", 16)), 201);
    w.run_for(3000);
    w.workers.get_mut("vm-a").unwrap().mute = true;
    w.run_for(1000);
    assert_eq!(w.cancel(1, "run-1").1, "cancelled");
    w.run_for(500);
    assert_eq!(w.on_machines("run-1"), 0);
}

/// All controllers are away for longer than a lease: every task ends, and all
/// of it is served again, cancelled jobs excepted.
#[test]
fn all_controllers_away_for_longer_than_a_lease() {
    for state_goes_too in [false, true] {
        let mut w = up(3);
        assert_eq!(w.submit(0, &service("run-1", 6)), 201);
        assert_eq!(w.submit(1, &service("run-2", 6)), 201);
        assert_eq!(w.submit(2, &array("run-3", 4)), 201);
        w.run_for(1500);
        assert_eq!(w.cancel(1, "run-2").1, "cancelled");
        for n in 0..3 {
            w.kill(n);
        }
        w.state.away = state_goes_too;
        w.run_for(LEASE_MS + 4000);
        assert_eq!(w.on_machines("run-"), 0, "leases are over");
        if state_goes_too {
            w.state_returns();
        }
        for n in 0..3 {
            w.start(n);
        }
        w.run_for(20_000);
        assert_eq!(w.on_machines("run-1"), 6);
        for n in 0..3 {
            assert_eq!(w.poll(n, "run-2").1, "cancelled");
            assert_eq!(w.poll(n, "run-3").1, "done");
        }
        assert_eq!(w.on_machines("run-2"), 0);
    }
}

/// A cancellation, a question and a repeated submission meet the end of the
/// job's last task, from just before it to after it is stored, at all nodes.
#[test]
fn everything_at_once_meets_the_end_of_the_last_task() {
    let mut ends = std::collections::BTreeSet::new();
    for offset in (0..120).step_by(6) {
        let mut w = up(3);
        let spec = array("run-1", 2);
        assert_eq!(w.submit(0, &spec), 201);
        // The task ends some 3 s after its start, and is stored within a report.
        w.run_for(2900 + offset * 12);
        let mut users = Vec::new();
        for n in 0..3 {
            users.push(w.ask(n, "POST", "/v2/runs/run-1/abort", Value::Null));
            users.push(w.ask(n, "GET", "/v2/runs/run-1", Value::Null));
            users.push(w.ask(n, "POST", "/v2/runs", spec.clone()));
            w.run_for(2);
        }
        w.run_for(5000);
        let states: Vec<String> = (0..3).map(|n| w.poll(n, "run-1").1).collect();
        assert!(states.iter().all(|s| *s == states[0]), "{states:?}");
        for user in users {
            assert!([200, 201].contains(&w.answer(user).0));
        }
        assert!(!w.state.items.keys().any(|k| k.starts_with("j/")));
        ends.insert(states[0].clone());
    }
    assert_eq!(ends.len(), 2, "both sides win at times: {ends:?}");
}

/// Old reports, also of an earlier session and with an attempt of an earlier
/// one, arrive after newer ones: nothing is believed, started or forgotten.
#[test]
fn reports_of_an_earlier_session_or_attempt_prove_nothing() {
    let (mut w, names) = full_zone(3);
    let early: Vec<Value> = names.iter().map(|n| w.worker_report(n)).collect();
    set_silent(&mut w, &names[..1], true);
    w.run_for(7000);
    set_silent(&mut w, &names[..1], false);
    w.run_for(2000);
    let (started, term) = (w.trace.len(), w.state.items["leader/term"].clone());
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
                w.deliver_report(n, &report);
            }
        }
        w.run_for(700);
    }
    assert_eq!(w.on_machines("run-1"), 56);
    assert_eq!(w.trace.len(), started, "{:?}", &w.trace[started..]);
    assert_eq!(w.state.items["leader/term"], term);
    assert_eq!(w.poll(0, "run-1").1, "running");
}

/// Jobs of two or three tasks end far apart across a change of leader.
#[test]
fn tasks_that_end_far_apart_across_a_change_of_leader_count_once() {
    for tasks in [2, 3] {
        let mut w = up(3);
        for name in ["vm-a", "vm-b"] {
            w.workers.get_mut(name).unwrap().slowness = if name == "vm-a" { 1 } else { 5 };
        }
        let mut spec = array("run-1", tasks);
        // One machine has room for one task only.
        spec["cpus"] = json!(49.0);
        assert_eq!(w.submit(0, &spec), 201);
        w.run_for(w.run_ms + 1200);
        assert_eq!(w.poll(0, "run-1").1, "running");
        change_leader(&mut w);
        w.run_for(2000);
        assert_eq!(w.poll(0, "run-1").1, "running");
        w.run_for(12_000);
        for n in 0..3 {
            assert_eq!(w.poll(n, "run-1").1, "done");
        }
        assert_eq!(w.trace.len(), tasks as usize, "{:?}", w.trace);
    }
}

/// A zone with workers and a controller is cut off for longer than a lease,
/// while a job there is cancelled and another is submitted.
#[test]
fn a_zone_cut_off_for_longer_than_a_lease() {
    let (mut w, names) = full_zone(3);
    cut_between_zones(&mut w);
    w.run_for(2000);
    let near = w.leader().unwrap();
    assert_eq!(w.submit(near, &service("run-2", 4)), 201);
    w.run_for(LEASE_MS + 3000);
    assert_eq!(w.on_machines("run-1"), 56);
    assert_eq!(w.cancel(near, "run-1").1, "cancelled");
    w.run_for(6000);
    assert_eq!(w.on_machines("run-1"), 0, "its own controller stops them");
    heal(&mut w);
    w.run_for(8000);
    assert_eq!(w.on_machines("run-2"), 4);
    assert!(gone(&w, &names).is_empty());
}

/// Users ask at all nodes within milliseconds, and repeat the submission,
/// right after a job was accepted, ended or confirmed as cancelled.
#[test]
fn close_looks_get_nothing_older_than_what_was_told() {
    let mut w = up(3);
    w.hook = Box::new(|at, node, call| match &call.target {
        // Each node's calls take their own time.
        Destination::KvStore => Fate::SlowAnswer((at * 7 + node as u64 * 13) % 40),
        Destination::KvWatch if node == 2 => Fate::SlowAnswer(300),
        _ => Fate::Pass,
    });
    for n in 0..24 {
        let id = format!("run-{n}");
        let spec = array(&id, 1);
        let first = w.ask(n % 3, "POST", "/v2/runs", spec.clone());
        let mut cancel = None;
        for step in 0..200 {
            // Two close looks at each event, and one now and then.
            let told = w.answers.contains_key(&first);
            let over = cancel.is_some_and(|c| w.answers.contains_key(&c));
            if told && (step % 20 < 2 || (over && step % 3 == 0)) {
                for node in 0..3 {
                    w.ask(node, "GET", &format!("/v2/runs/{id}"), Value::Null);
                    w.ask(node, "POST", "/v2/runs", spec.clone());
                }
            }
            if told && n % 2 == 0 && cancel.is_none() {
                let path = format!("/v2/runs/{id}/abort");
                cancel = Some(w.ask((n + step) % 3, "POST", &path, Value::Null));
            }
            w.run_for(3);
        }
        if let Some(cancel) = cancel {
            assert_eq!(w.answer(cancel), (200, "cancelled".into()), "{id}");
        }
        assert_eq!(w.answer(first).0, 201);
    }
    heal(&mut w);
    w.run_for(8000);
    for n in 0..24 {
        let expected = if n % 2 == 0 { "cancelled" } else { "done" };
        for node in 0..3 {
            assert_eq!(w.poll(node, &format!("run-{n}")).1, expected);
        }
    }
}

/// Every team is at its limit while jobs are cancelled whose machines are cut
/// off, hang or don't hear, and the leader changes: what can't be asked counts.
#[test]
fn a_team_at_its_limit_loses_machines_and_its_leader_and_cancels() {
    for trouble in 0..3 {
        let mut w = up(3);
        let mut spec = service("run-1", 8);
        spec["equipe"] = json!("blue");
        assert_eq!(w.submit(0, &spec), 201);
        let mut spec = service("run-2", 8);
        spec["equipe"] = json!("blue");
        assert_eq!(w.submit(0, &spec), 201);
        w.run_for(3000);
        assert_eq!(w.on_machines("run-"), 16, "the limit");
        let m = w.workers.get_mut("vm-b").unwrap();
        match trouble {
            0 => m.silent = true,
            1 => m.deaf = true,
            _ => w.partitions = (0..3).map(|n| (n, "b".to_string())).collect(),
        }
        w.run_for(1000);
        let mut next = service("run-3", 8);
        next["equipe"] = json!("blue");
        assert_eq!(w.submit(1, &next), 201);
        assert_eq!(w.cancel(1, "run-1").1, "cancelled");
        w.run_for(500);
        change_leader(&mut w);
        assert_eq!(w.cancel(2, "run-2").1, "cancelled");
        w.run_for(6000);
        let m = w.workers.get_mut("vm-b").unwrap();
        (m.silent, m.deaf) = (false, false);
        heal(&mut w);
        w.run_for(40_000);
        assert_eq!(w.on_machines("run-1") + w.on_machines("run-2"), 0);
        assert_eq!(w.on_machines("run-3"), 8, "{trouble} {:?}", w.trace);
    }
}

/// Leaders change ten times in two minutes, also inside an outage; all the
/// while work is taken, placed, stored and done.
#[test]
fn ten_changes_of_leader_in_two_minutes_leave_time_to_serve() {
    let mut w = up(3);
    assert_eq!(w.submit(0, &service("run-0", 8)), 201);
    w.run_for(2000);
    let mut done = 0;
    for n in 1..=10 {
        let mut other = n % 3;
        if let Some(leader) = w.leader() {
            w.kill(leader);
            w.run_for(200);
            w.start(leader);
            other = (leader + 1) % 3;
        }
        if n == 5 {
            w.state.away = true;
            w.run_for(4000);
            w.state_returns();
        }
        let id = format!("run-{n}");
        assert_eq!(w.submit(other, &array(&id, 3)), 201);
        w.run_for(11_700);
        done += usize::from(w.poll(n % 3, &id).1 == "done");
    }
    assert!(done >= 9, "served between two changes: {done}");
    w.run_for(12_000);
    for n in 1..=10 {
        assert_eq!(w.poll(0, &format!("run-{n}")).1, "done");
    }
    assert_eq!(w.on_machines("run-0"), 8);
    let moved = w.trace.iter().filter(|t| t.contains("run-0/")).count();
    assert_eq!(moved, 8, "a change of leader moves nothing");
}

/// One-task jobs come four a second for two minutes, a quarter of them
/// cancelled, with the state service at its limit of changes.
#[test]
fn a_flood_of_one_task_jobs_is_stored_served_and_cancelled() {
    let mut w = up(3);
    w.run_ms = 2000;
    let writes = Rc::new(RefCell::new(Vec::new()));
    let seen = writes.clone();
    w.hook = Box::new(move |at, _, call| {
        if call.path == "/txn" {
            let body: Value = serde_json::from_slice(&call.body).unwrap();
            let count = body["writes"].as_array().map_or(0, Vec::len) as u64;
            seen.borrow_mut().push((at, count));
        }
        Fate::Pass
    });
    let jobs = 480;
    let mut waits = Vec::new();
    for n in 0..jobs {
        let id = format!("run-{n}");
        let began = w.now;
        assert_eq!(w.submit(n % 3, &array(&id, 1)), 201);
        if n % 4 == 3 {
            w.run_for(100);
            assert_eq!(w.cancel((n + 1) % 3, &id).0, 200);
        }
        if n >= 16 {
            let old = format!("run-{}", n - 16);
            if w.poll(n % 3, &old).1 != "done" && (n - 16) % 4 != 3 {
                waits.push(old);
            }
        }
        w.run_until(began + 250);
    }
    w.run_for(8000);
    for n in 0..jobs {
        let (status, state) = w.poll(n % 3, &format!("run-{n}"));
        assert_eq!(status, 200);
        assert!(state == "done" || n % 4 == 3, "run-{n} is {state}");
    }
    assert!(waits.len() < jobs / 20, "late by 4 s: {}", waits.len());
    assert!(w.state.items.keys().all(|k| !k.starts_with("p/")));
    let writes = writes.borrow();
    let most = (0..w.now / 1000)
        .map(|s| {
            let second = writes.iter().filter(|(at, _)| at / 1000 == s);
            second.map(|(_, count)| *count).sum::<u64>()
        })
        .max();
    assert!(most.unwrap_or(0) <= 50, "changes in a second: {most:?}");
}

/// A command is held up for seconds; its machine hangs and then goes on, after
/// the job was cancelled or the task moved elsewhere.
#[test]
fn a_command_held_up_for_seconds_starts_nothing_that_is_over() {
    for held_ms in [2000, 5000, 8000, 12_000] {
        for cancel in [true, false] {
            let mut w = up(3);
            w.hook = Box::new(move |_, _, call| match call.target {
                Destination::Worker(_) => Fate::Late(held_ms),
                _ => Fate::Pass,
            });
            assert_eq!(w.submit(0, &service("run-1", 8)), 201);
            w.run_for(30);
            let names = ["vm-a".to_string(), "vm-b".to_string()];
            set_silent(&mut w, &names, true);
            w.run_for(1500);
            if cancel {
                assert_eq!(w.cancel(1, "run-1").1, "cancelled");
            }
            set_silent(&mut w, &names, false);
            w.run_for(25_000);
            w.hook = Box::new(|_, _, _| Fate::Pass);
            w.run_for(15_000);
            let expected = if cancel { 0 } else { 8 };
            assert_eq!(w.on_machines("run-1"), expected, "{held_ms}");
        }
    }
}

/// The state service answers slowly, then refuses the leader alone, then
/// everybody for longer than a cancellation has, while users cancel and ask.
#[test]
fn a_slow_state_service_then_none_while_users_cancel_and_ask() {
    let mut w = up(3);
    for n in 0..4 {
        assert_eq!(w.submit(0, &service(&format!("run-{n}"), 4)), 201);
    }
    w.run_for(2000);
    let leader = w.leader().unwrap();
    let mut cancelled = Vec::new();
    for phase in 0..3 {
        w.hook = Box::new(move |at, node, call| match call.target {
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

/// Controllers hand over and back, all end, and one returns within a second.
#[test]
fn controllers_hand_over_and_back_all_end_and_one_returns() {
    let mut w = up(3);
    assert_eq!(w.submit(0, &service("run-1", 8)), 201);
    assert_eq!(w.submit(0, &service("run-2", 8)), 201);
    w.run_for(2000);
    let first = w.leader().unwrap();
    let second = change_leader(&mut w);
    w.kill(second);
    w.run_for(300);
    w.start(second);
    w.run_for(700);
    assert_eq!(w.cancel(first, "run-2").1, "cancelled");
    for n in 0..3 {
        w.kill(n);
    }
    w.run_for(600);
    w.start(first);
    w.run_for(7000);
    assert_eq!(w.leader(), Some(first));
    assert_eq!(w.on_machines("run-1"), 8);
    assert_eq!(w.on_machines("run-2"), 0);
    assert_eq!(w.trace.len(), 16, "{:?}", w.trace);
    assert_eq!(w.poll(first, "run-2").1, "cancelled");
}

/// Transactions get no answer and are carried out 2 to 12 s later, after newer
/// ones of the same controller: submissions, cancellations, placements, ends.
#[test]
fn transactions_carried_out_late_change_nothing_that_is_newer() {
    for seed in 0..8 {
        let mut w = up(3);
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

/// A leader is cut from the state service and from the other controllers while
/// workers and users still reach it, and jobs are cancelled through the new one.
#[test]
fn a_leader_cut_from_all_but_workers_and_users_while_jobs_are_cancelled() {
    let mut w = up(3);
    for n in 0..4 {
        assert_eq!(w.submit(0, &service(&format!("run-{n}"), 4)), 201);
    }
    w.run_for(2000);
    let old = w.leader().unwrap();
    cut_off(&mut w, old, Fate::LoseRequest, true);
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

/// Jobs are cancelled in the very seconds in which one controller's work
/// changes hands.
#[test]
fn jobs_cancelled_while_the_work_changes_hands() {
    for offset in (0..5000).step_by(250) {
        let mut w = up(3);
        assert_eq!(w.submit(0, &service("run-1", 8)), 201);
        assert_eq!(w.submit(0, &array("run-2", 12)), 201);
        w.run_for(600);
        let old = w.leader().unwrap();
        w.kill(old);
        w.run_for(offset);
        for id in ["run-1", "run-2"] {
            assert_eq!(w.cancel((old + 1) % 3, id).1, "cancelled", "{offset}");
        }
        w.start(old);
        w.run_for(9000);
        assert_eq!(w.on_machines("run-"), 0, "{offset}");
        assert!(!w.state.items.keys().any(|k| k.starts_with("j/")));
        assert!(w.observer.starts_after_cancel.is_empty(), "{offset}");
    }
}

/// A transaction is carried out at once and only its answer is lost, while
/// other nodes read what it wrote, and tell.
#[test]
fn what_was_written_unheard_is_read_and_told_by_others() {
    for writer in 0..3 {
        let mut w = up(3);
        let at_once = |writer: usize| -> crate::simulation::Hook {
            Box::new(move |_, node, call| match call.target {
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

/// Jobs bound to one zone, arrays too, lose machines while the other zone has
/// room: room there counts for nothing, and theirs is rented anew.
#[test]
fn jobs_bound_to_a_zone_that_loses_its_machines_are_served_there() {
    let mut w = up(3);
    w.run_ms = 20_000;
    let mut names = Vec::new();
    for n in 0..3 {
        names.push(format!("vm-z{n}"));
        w.add_machine(&names[n], "b", false, true);
    }
    w.run_for(1500);
    for (id, mut spec) in [
        ("run-1", array("run-1", 20)),
        ("run-2", service("run-2", 6)),
    ] {
        spec["secteur"] = json!("b");
        assert_eq!(w.submit(0, &spec), 201, "{id}");
    }
    w.run_for(3000);
    assert_eq!(w.on_machines("run-"), 26);
    names.push("vm-b".into());
    set_silent(&mut w, &names, true);
    w.run_for(75_000);
    assert_eq!(w.on_machines("run-2/"), 6, "{:?}", w.trace);
    assert_eq!(w.poll(0, "run-1").1, "done", "{:?}", w.trace);
}

/// There is more work than room, urgent and not, over slow links.
#[test]
fn more_work_than_room_urgent_and_not_over_slow_links() {
    let mut w = up(3);
    w.capacity = 4;
    w.hook = Box::new(|at, _, call| match call.target {
        Destination::Worker(_) => Fate::SlowAnswer((at * 13) % 1500),
        Destination::Peer(_) => Fate::SlowAnswer((at * 7) % 300),
        Destination::KvStore => Fate::SlowAnswer((at * 3) % 120),
        _ => Fate::Pass,
    });
    let ranks = ["idle", "standard", "high", "critical"];
    for n in 0..40 {
        let mut spec = array(&format!("run-{n}"), 4);
        spec["rang"] = json!(ranks[n % 4]);
        assert!(w.ask(n % 3, "POST", "/v2/runs", spec) > 0);
        w.run_for(300);
        if n % 7 == 0 {
            let path = format!("/v2/runs/run-{n}/abort");
            w.ask((n + 1) % 3, "POST", &path, Value::Null);
        }
    }
    w.ask(0, "POST", "/v2/runs", service("run-90", 8));
    w.run_for(60_000);
    for n in 0..40 {
        let state = w.poll(n % 3, &format!("run-{n}")).1;
        let mut user = 0;
        if state.is_empty() {
            user = w.ask(n % 3, "GET", &format!("/v2/runs/run-{n}"), Value::Null);
            w.run_for(1000);
        }
        let state = if user > 0 { w.answer(user).1 } else { state };
        assert!(
            ["done", "cancelled"].contains(&state.as_str()),
            "run-{n} {state}"
        );
    }
    assert_eq!(w.on_machines("run-90"), 8);
}

/// New machines are up within two seconds and get work at once while writes
/// lag, and the leader ends before, while and after it is stored.
#[test]
fn machines_up_at_once_get_work_while_writes_lag_and_the_leader_ends() {
    for offset in (0..4000).step_by(200) {
        let mut w = Simulation::new(3);
        w.boot_ms = 300;
        w.run_until(4000);
        let leader = w.leader().unwrap();
        w.hook = Box::new(move |at, node, call| match call.target {
            Destination::KvStore if call.path == "/txn" && node == leader => {
                Fate::SlowAnswer(200 + (at * 37) % 1500)
            }
            _ => Fate::Pass,
        });
        assert_eq!(w.submit((leader + 1) % 3, &service("run-1", 12)), 201);
        w.run_for(offset);
        w.kill(leader);
        heal(&mut w);
        w.run_for(5000);
        w.start(leader);
        w.run_for(15_000);
        assert_eq!(w.on_machines("run-1"), 12, "{offset}: {:?}", w.trace);
        let tasks: std::collections::BTreeSet<&str> =
            w.trace.iter().filter_map(|t| t.split(' ').nth(2)).collect();
        assert_eq!(
            (tasks.len(), w.trace.len()),
            (12, 12),
            "{offset}: once each"
        );
    }
}

/// Reports are held back until a new leader has acted and then arrive there,
/// or reach every controller just as it begins: their tokens, sessions and
/// numbers are those of the time before.
#[test]
fn reports_kept_for_the_next_leader_prove_nothing_to_it() {
    for delay in [0, 3, 10, 40, 200, 1000, 4000] {
        let mut w = up(3);
        w.run_ms = 6000;
        assert_eq!(w.submit(0, &service("run-1", 5)), 201);
        // Kept from before anything was there, and as it was stored.
        let empty: Vec<Value> = ["vm-a", "vm-b"].map(|n| w.worker_report(n)).into();
        assert_eq!(w.submit(0, &array("run-2", 6)), 201);
        w.run_for(1200);
        let full: Vec<Value> = ["vm-a", "vm-b"].map(|n| w.worker_report(n)).into();
        w.run_for(2000);
        let old = w.leader().unwrap();
        w.kill(old);
        while w.leader().is_none() {
            w.run_for(1);
        }
        w.run_for(delay);
        for report in empty.iter().chain(&full) {
            for n in (0..3).filter(|n| *n != old) {
                w.deliver_report(n, report);
            }
        }
        w.run_for(500);
        for report in full.iter().chain(&empty) {
            for n in (0..3).filter(|n| *n != old) {
                w.deliver_report(n, report);
            }
        }
        w.start(old);
        w.run_for(15_000);
        assert_eq!(w.on_machines("run-1"), 5, "{delay}");
        assert_eq!(w.poll(0, "run-2").1, "done");
        assert_eq!(w.trace.len(), 11, "{delay}: {:?}", w.trace);
    }
}

/// A leader ends while machines with long tasks can't be reached, or don't
/// hear the new leader's answer.
#[test]
fn a_leader_ends_while_machines_with_long_tasks_hear_nothing() {
    for deaf in [true, false] {
        for spell_ms in [4000, 14_000] {
            let (mut w, names) = full_zone(3);
            for name in &names {
                let m = w.workers.get_mut(name).unwrap();
                (m.deaf, m.silent) = (deaf, !deaf);
            }
            let old = w.leader().unwrap();
            w.kill(old);
            w.run_for(spell_ms);
            for name in &names {
                let m = w.workers.get_mut(name).unwrap();
                (m.deaf, m.silent) = (false, false);
            }
            w.start(old);
            w.capacity = 20;
            w.run_for(60_000);
            assert_eq!(w.on_machines("run-1"), 56, "{deaf} {spell_ms}");
            if spell_ms < 9000 {
                assert_eq!(w.trace.len(), 56, "nothing was given up");
            }
        }
    }
}

/// Odd requests: repeats of unfinished jobs, cancellations of jobs that are
/// done, jobs that fit no machine or lack a field.
#[test]
fn odd_requests_get_their_status_and_take_nothing() {
    let mut w = up(3);
    let spec = array("run-1", 2);
    assert_eq!(w.submit(0, &spec), 201);
    assert_eq!(w.submit(1, &spec), 200);
    w.run_for(8000);
    assert_eq!(w.cancel(2, "run-1"), (200, "done".into()));
    assert_eq!(w.submit(2, &spec), 200);
    assert_eq!(w.cancel(2, "run-9").0, 404);
    let required = spec.as_object().unwrap().keys();
    for (n, field) in required.enumerate() {
        let mut lacks = array(&format!("run-{}", 20 + n), 2);
        lacks.as_object_mut().unwrap().remove(field);
        let optional = ["gammes", "secteur", "echeanceS"].contains(&field.as_str());
        let expected = if optional { 201 } else { 400 };
        assert_eq!(w.submit(n % 3, &lacks), expected, "{field}");
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
        assert_eq!(w.submit(0, &spec), 422, "{field}");
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
        assert_eq!(w.submit(0, &spec), 400, "{field}");
    }
    assert_eq!(w.poll(0, "run-3").0, 404);
}

/// Users ask many times as often as usual: one poll answers all who asked
/// before it was sent, so that questions starve nobody, themselves included
/// (inc-6c44: two jobs counted as forgotten, since no question about them was
/// answered for 75 s).
#[test]
fn questions_many_times_as_often_cost_no_more_calls_and_starve_nobody() {
    let mut w = up(3);
    w.capacity = 40;
    w.run_ms = 600_000;
    for n in 0..200 {
        assert_eq!(w.submit(n % 3, &array(&format!("run-{n}"), 1)), 201);
    }
    w.run_for(8000);
    let leader = w.leader().unwrap();
    let node = (leader + 1) % 3;
    let reads = Rc::new(RefCell::new(0));
    let seen = reads.clone();
    w.hook = Box::new(move |_, n, call| {
        *seen.borrow_mut() += usize::from(n == node && call.target == Destination::KvStore);
        Fate::Pass
    });
    let mut users = Vec::new();
    let began = w.now;
    for n in 0..4000 {
        let path = format!("/v2/runs/run-{}", n % 210);
        users.push(w.ask(node, "GET", &path, Value::Null));
        w.run_until(began + n * 5);
        if n % 200 == 0 {
            let id = format!("run-{}", 300 + n / 200);
            let sent = w.now;
            assert_eq!(w.submit(node, &array(&id, 1)), 201);
            assert!(w.now < sent + 500, "a submission waits for nobody");
            assert_eq!(w.cancel(node, &id).0, 200);
        }
    }
    w.run_for(2000);
    let answered = |u: &&u64| matches!(w.answer(**u).0, 200 | 404);
    assert_eq!(users.iter().filter(answered).count(), users.len());
    let reads = *reads.borrow();
    assert!(reads < 1200, "{reads} calls for 4,000 questions in 20 s");
}

/// A controller that stood still answers nobody with what it had read before:
/// others may have told them something newer since.
#[test]
fn a_woken_controller_answers_nothing_that_it_read_before() {
    for asleep_after_ms in (5..300).step_by(25) {
        // Also for less than a leader's lease.
        for (method, path, asleep_ms) in [
            ("GET", "/v2/runs/run-1", 2500),
            ("GET", "/v2/runs/run-1", 4000),
            ("POST", "/v2/runs", 4000),
        ] {
            let mut w = up(3);
            w.responses_first_on_resume = true;
            let leader = w.leader().unwrap();
            let follower = (leader + 1) % 3;
            let spec = service("run-1", 2);
            assert_eq!(w.submit(leader, &spec), 201);
            w.run_for(2000);
            let body = if method == "POST" { spec } else { json!(null) };
            // The state service answers while the controller sleeps.
            w.hook = Box::new(move |_, node, call| match call.target {
                Destination::KvStore if node == follower => Fate::SlowAnswer(300),
                _ => Fate::Pass,
            });
            let asked = w.ask(follower, method, path, body);
            w.run_for(asleep_after_ms);
            let wakes = w.now + asleep_ms;
            w.paused_until.insert(follower, wakes);
            w.run_for(500);
            assert_eq!(w.cancel(leader, "run-1"), (200, "cancelled".into()));
            w.run_until(wakes + 200);
            let (status, state) = w.answer(asked);
            let fresh = status == 503 || state == "cancelled";
            assert!(
                fresh,
                "{method} after {asleep_after_ms} ms, for {asleep_ms} ms: {status} {state}"
            );
            assert_eq!(w.poll(follower, "run-1"), (200, "cancelled".into()));
        }
    }
}

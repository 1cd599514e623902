//! Large fleets: their calls to the key-value store and the cost of their rounds.

use crate::simulation::fixtures::{released, service_without_objective, set_silent};
use crate::simulation::{array, Fate, Simulation};
use lilacfork::messages::Destination;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Calls to the key-value store, by the second.
#[derive(Default)]
struct Asked {
    calls: BTreeMap<u64, usize>,
    changes: BTreeMap<u64, usize>,
}

fn count_calls(w: &mut Simulation) -> Rc<RefCell<Asked>> {
    let asked: Rc<RefCell<Asked>> = Rc::default();
    let counts = asked.clone();
    w.hook = Box::new(move |ms, _, call| {
        if matches!(
            call.destination,
            Destination::KvStore | Destination::KvWatch
        ) {
            *counts.borrow_mut().calls.entry(ms / 1000).or_default() += 1;
        }
        if call.path == "/txn" {
            let txn: serde_json::Value = serde_json::from_slice(&call.body).unwrap();
            let count = |part: &str| txn[part].as_array().map_or(0, Vec::len);
            assert!(count("writes") <= 16 && count("guards") <= 64, "{txn}");
            assert!(call.body.len() <= 64 * 1024);
            *counts.borrow_mut().changes.entry(ms / 1000).or_default() += count("writes");
        }
        Fate::Pass
    });
    asked
}

/// Seven controllers, full machines, thousands of tasks.
fn large(machines: usize) -> (Simulation, Rc<RefCell<Asked>>) {
    let mut w = Simulation::new(7);
    w.capacity = 0;
    w.run_ms = 600_000;
    for n in 0..machines {
        let zone = if n % 2 == 0 { "a" } else { "b" };
        w.add_machine(&format!("vm-{n:04}"), zone, false, true);
    }
    w.run_until(5000);
    let asked = count_calls(&mut w);
    for n in 0..machines / 10 {
        let job = array(&format!("run-a{n}"), 60);
        w.ask(n % 7, "POST", "/v2/runs", job);
        let service = service_without_objective(&format!("run-s{n}"));
        w.ask((n + 3) % 7, "POST", "/v2/runs", service);
        // Followers have a few changes a second each.
        w.run_for(100);
    }
    w.run_for(8000);
    assert_eq!(w.on_machines("run-"), machines * 8, "all are full");
    (w, asked)
}

/// A burst of hundreds of tasks is served within the key-value store's rates, nothing
/// starts twice, and the cost of seconds without changes doesn't grow with the fleet.
#[test]
fn a_large_fleet_asks_for_no_more_than_a_small_one_when_nothing_changes() {
    let mut quiet = Vec::new();
    for machines in [20, 200] {
        let (mut w, asked) = large(machines);
        assert_eq!(w.trace.len(), machines * 8, "each task starts once");
        for (what, most) in [(&asked.borrow().calls, 200), (&asked.borrow().changes, 100)] {
            assert!(what.values().all(|n| *n <= most), "{machines}: {what:?}");
        }
        let before: usize = asked.borrow().calls.values().sum();
        w.run_for(10_000);
        quiet.push(asked.borrow().calls.values().sum::<usize>() - before);
    }
    assert!(
        quiet[0] > 0 && quiet[1] <= quiet[0] + 2,
        "calls in ten seconds: {quiet:?}"
    );
}

/// A new leader of a large fleet serves within a few heartbeat intervals, and no lease
/// expires because of the failover.
#[test]
fn a_new_leader_takes_a_large_fleet_over_without_ending_a_task() {
    let (mut w, asked) = large(200);
    let old = w.leader().unwrap();
    w.kill(old);
    let killed = w.now;
    while w.leader().is_none() {
        w.run_for(100);
    }
    assert!(w.now < killed + 4000, "elected after {}", w.now - killed);
    let node = w.leader().unwrap();
    w.cancel(node, "run-s0");
    w.run_for(3000);
    assert_eq!(w.on_machines("run-s0"), 0, "cancellations reach all zones");
    assert_eq!(w.submit(node, &service_without_objective("run-new")), 201);
    w.run_for(2000);
    assert_eq!(w.on_machines("run-new"), 20, "its room is given anew");
    assert_eq!(w.trace.len(), 1620, "and nothing else starts");
    w.run_for(10_000);
    assert_eq!(w.on_machines("run-"), 1600);
    let asked = asked.borrow();
    assert!(asked.calls.values().all(|n| *n <= 200), "{:?}", asked.calls);
}

/// Entries that the rounds of all controllers have examined since `before`.
fn examined_since(w: &Simulation, before: &[u64]) -> u64 {
    let now = examined(w);
    now.iter()
        .zip(before)
        .map(|(a, b)| a.saturating_sub(*b))
        .sum()
}

fn examined(w: &Simulation) -> Vec<u64> {
    let of = |n: &Option<lilacfork::node::Node>| n.as_ref().map_or(0, |n| n.examined());
    w.nodes.iter().map(of).collect()
}

/// Half as many machines again as the largest deployment: all controllers are killed at
/// once and restart within half a second, some twice; the leader's process is paused; a
/// fifth of the fleet becomes unresponsive. The observer's rules hold, calls stay within
/// the rates, records within their size, and rounds within a bound that follows the
/// fleet's size.
#[test]
fn a_thousand_machines_through_restarts_a_paused_leader_and_the_loss_of_a_fifth() {
    let (mut w, asked) = large(1000);
    let started = w.trace.len();
    let before = examined(&w);
    w.run_for(10_000);
    let quiet = examined_since(&w, &before);
    assert!(quiet < 10 * 60_000, "entries in ten quiet seconds: {quiet}");

    // Late copies of reports from before arrive at whoever leads then.
    let copies: Vec<_> = w.workers.keys().take(50).cloned().collect();
    let reports: Vec<_> = copies.iter().map(|name| w.worker_report(name)).collect();
    for n in 0..7 {
        w.kill(n);
    }
    w.run_for(400);
    for n in 0..7 {
        w.start(n);
    }
    w.run_for(150);
    for n in 0..3 {
        w.kill(n);
        w.run_for(200);
        w.start(n);
    }
    w.run_for(2000);
    let leader = w.leader().expect("one leads again");
    for report in &reports {
        w.deliver_report(leader, report);
    }
    w.run_for(12_000);
    assert_eq!(w.on_machines("run-"), 8000, "no lease has ended");
    assert_eq!(w.trace.len(), started, "nothing started again");

    let old = w.leader().unwrap();
    w.paused_until.insert(old, w.now + 14_000);
    w.run_for(24_000);
    assert_ne!(w.leader(), Some(old));
    assert_eq!(w.on_machines("run-"), 8000, "nor for the frozen leader");
    assert_eq!(w.trace.len(), started);

    let fifth: Vec<String> = w.workers.keys().step_by(5).cloned().collect();
    set_silent(&mut w, &fifth, true);
    let before = examined(&w);
    w.run_for(20_000);
    assert_eq!(released(&w, &fifth).len(), 200, "they are given up");
    let there = w.workers.values().filter(|m| !m.gone).count();
    assert_eq!(there, 800, "and no others");
    let loss = examined_since(&w, &before);
    assert!(loss < 20 * 600_000, "entries in twenty seconds: {loss}");
    assert_eq!(w.on_machines("run-"), 6400);

    let asked = asked.borrow();
    assert!(asked.calls.values().all(|n| *n <= 300), "{:?}", asked.calls);
    assert!(
        asked.changes.values().all(|n| *n <= 100),
        "{:?}",
        asked.changes
    );
}

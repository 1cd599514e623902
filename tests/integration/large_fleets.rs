//! Large fleets: their calls to the key-value store and the cost of their rounds.

use crate::simulation::fixtures::{released, service_without_objective, set_unresponsive};
use crate::simulation::{array, Delivery, Simulation};
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

fn count_calls(sim: &mut Simulation) -> Rc<RefCell<Asked>> {
    let asked: Rc<RefCell<Asked>> = Rc::default();
    let counts = asked.clone();
    sim.fault_injector = Box::new(move |ms, _, call| {
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
        Delivery::Normal
    });
    asked
}

/// Seven controllers, full machines, thousands of tasks.
fn large(machines: usize) -> (Simulation, Rc<RefCell<Asked>>) {
    let mut sim = Simulation::new(7);
    sim.capacity = 0;
    sim.task_duration_ms = 600_000;
    for n in 0..machines {
        let zone = if n % 2 == 0 { "a" } else { "b" };
        sim.add_machine(&format!("vm-{n:04}"), zone, false, true);
    }
    sim.run_until(5000);
    let asked = count_calls(&mut sim);
    for n in 0..machines / 10 {
        let job = array(&format!("run-a{n}"), 60);
        sim.request(n % 7, "POST", "/v2/runs", job);
        let service = service_without_objective(&format!("run-s{n}"));
        sim.request((n + 3) % 7, "POST", "/v2/runs", service);
        // Followers have a few changes a second each.
        sim.run_for(100);
    }
    sim.run_for(8000);
    assert_eq!(sim.on_machines("run-"), machines * 8, "all are full");
    (sim, asked)
}

/// A burst of hundreds of tasks is served within the key-value store's rates, nothing
/// starts twice, and the cost of seconds without changes doesn't grow with the fleet.
#[test]
fn a_large_fleet_asks_for_no_more_than_a_small_one_when_nothing_changes() {
    let mut quiet = Vec::new();
    for machines in [20, 200] {
        let (mut sim, asked) = large(machines);
        assert_eq!(sim.start_log.len(), machines * 8, "each task starts once");
        for (what, most) in [(&asked.borrow().calls, 200), (&asked.borrow().changes, 100)] {
            assert!(what.values().all(|n| *n <= most), "{machines}: {what:?}");
        }
        let before: usize = asked.borrow().calls.values().sum();
        sim.run_for(10_000);
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
    let (mut sim, asked) = large(200);
    let old = sim.leader().unwrap();
    sim.kill(old);
    let killed = sim.now_ms;
    while sim.leader().is_none() {
        sim.run_for(100);
    }
    assert!(
        sim.now_ms < killed + 4000,
        "elected after {}",
        sim.now_ms - killed
    );
    let node = sim.leader().unwrap();
    sim.cancel(node, "run-s0");
    sim.run_for(3000);
    assert_eq!(
        sim.on_machines("run-s0"),
        0,
        "cancellations reach all zones"
    );
    assert_eq!(sim.submit(node, &service_without_objective("run-new")), 201);
    sim.run_for(2000);
    assert_eq!(sim.on_machines("run-new"), 20, "its room is given anew");
    assert_eq!(sim.start_log.len(), 1620, "and nothing else starts");
    sim.run_for(10_000);
    assert_eq!(sim.on_machines("run-"), 1600);
    let asked = asked.borrow();
    assert!(asked.calls.values().all(|n| *n <= 200), "{:?}", asked.calls);
}

/// Entries that the rounds of all controllers have examined since `before`.
fn examined_since(sim: &Simulation, before: &[u64]) -> u64 {
    let now = examined(sim);
    now.iter()
        .zip(before)
        .map(|(a, b)| a.saturating_sub(*b))
        .sum()
}

fn examined(sim: &Simulation) -> Vec<u64> {
    let of = |n: &Option<lilacfork::node::Node>| n.as_ref().map_or(0, |n| n.examined());
    sim.nodes.iter().map(of).collect()
}

/// Half as many machines again as the largest deployment: all controllers are killed at
/// once and restart within half a second, some twice; the leader's process is paused; a
/// fifth of the fleet becomes unresponsive. The observer's rules hold, calls stay within
/// the rates, records within their size, and rounds within a bound that follows the
/// fleet's size.
#[test]
fn a_thousand_machines_through_restarts_a_paused_leader_and_the_loss_of_a_fifth() {
    let (mut sim, asked) = large(1000);
    let started = sim.start_log.len();
    let before = examined(&sim);
    sim.run_for(10_000);
    let quiet = examined_since(&sim, &before);
    assert!(quiet < 10 * 60_000, "entries in ten quiet seconds: {quiet}");

    // Late copies of reports from before arrive at whoever leads then.
    let copies: Vec<_> = sim.workers.keys().take(50).cloned().collect();
    let reports: Vec<_> = copies.iter().map(|name| sim.next_heartbeat(name)).collect();
    for n in 0..7 {
        sim.kill(n);
    }
    sim.run_for(400);
    for n in 0..7 {
        sim.start(n);
    }
    sim.run_for(150);
    for n in 0..3 {
        sim.kill(n);
        sim.run_for(200);
        sim.start(n);
    }
    sim.run_for(2000);
    let leader = sim.leader().expect("one leads again");
    for report in &reports {
        sim.deliver_heartbeat(leader, report);
    }
    sim.run_for(12_000);
    assert_eq!(sim.on_machines("run-"), 8000, "no lease has ended");
    assert_eq!(sim.start_log.len(), started, "nothing started again");

    let old = sim.leader().unwrap();
    sim.paused_until_ms.insert(old, sim.now_ms + 14_000);
    sim.run_for(24_000);
    assert_ne!(sim.leader(), Some(old));
    assert_eq!(sim.on_machines("run-"), 8000, "nor for the frozen leader");
    assert_eq!(sim.start_log.len(), started);

    let fifth: Vec<String> = sim.workers.keys().step_by(5).cloned().collect();
    set_unresponsive(&mut sim, &fifth, true);
    let before = examined(&sim);
    sim.run_for(20_000);
    assert_eq!(released(&sim, &fifth).len(), 200, "they are given up");
    let there = sim.workers.values().filter(|m| !m.released).count();
    assert_eq!(there, 800, "and no others");
    let loss = examined_since(&sim, &before);
    assert!(loss < 20 * 600_000, "entries in twenty seconds: {loss}");
    assert_eq!(sim.on_machines("run-"), 6400);

    let asked = asked.borrow();
    assert!(asked.calls.values().all(|n| *n <= 300), "{:?}", asked.calls);
    assert!(
        asked.changes.values().all(|n| *n <= 100),
        "{:?}",
        asked.changes
    );
}

//! Tests of large fleets: the rate of calls to the key-value store and the cost of scheduling
//! rounds.

use crate::simulation::fixtures::{released, service_without_objective, set_unresponsive};
use crate::simulation::{array, Delivery, Simulation};
use lilacfork::messages::Destination;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The load on the key-value store, by the second of virtual time.
#[derive(Default)]
struct KvStoreLoad {
    calls: BTreeMap<u64, usize>,
    writes: BTreeMap<u64, usize>,
}

/// Records the calls and writes of all controllers from now on, and checks that no transaction
/// exceeds the key-value store's limits on transactions.
fn record_kv_load(sim: &mut Simulation) -> Rc<RefCell<KvStoreLoad>> {
    let load: Rc<RefCell<KvStoreLoad>> = Rc::default();
    let recorded = load.clone();
    sim.fault_injector = Box::new(move |now_ms, _, call| {
        if matches!(
            call.destination,
            Destination::KvStore | Destination::KvWatch
        ) {
            *recorded
                .borrow_mut()
                .calls
                .entry(now_ms / 1000)
                .or_default() += 1;
        }
        if call.path == "/txn" {
            let txn: serde_json::Value = serde_json::from_slice(&call.body).unwrap();
            let count = |part: &str| txn[part].as_array().map_or(0, Vec::len);
            assert!(count("writes") <= 16 && count("guards") <= 64, "{txn}");
            assert!(call.body.len() <= 64 * 1024);
            *recorded
                .borrow_mut()
                .writes
                .entry(now_ms / 1000)
                .or_default() += count("writes");
        }
        Delivery::Normal
    });
    load
}

/// Creates a cluster of seven controllers whose machines are all full, with eight tasks on each.
/// The cloud provisions no further machines.
fn full_fleet(machines: usize) -> (Simulation, Rc<RefCell<KvStoreLoad>>) {
    let mut sim = Simulation::new(7);
    sim.capacity = 0;
    sim.task_duration_ms = 600_000;
    for n in 0..machines {
        let zone = if n % 2 == 0 { "a" } else { "b" };
        sim.add_machine(&format!("vm-{n:04}"), zone, false, true);
    }
    sim.run_until(5000);
    let load = record_kv_load(&mut sim);
    for n in 0..machines / 10 {
        let job = array(&format!("run-a{n}"), 60);
        sim.request(n % 7, "POST", "/v2/runs", job);
        let service = service_without_objective(&format!("run-s{n}"));
        sim.request((n + 3) % 7, "POST", "/v2/runs", service);
        // Each follower may make only a few writes per second.
        sim.run_for(100);
    }
    sim.run_for(8000);
    assert_eq!(
        sim.on_machines("run-"),
        machines * 8,
        "all machines are full"
    );
    (sim, load)
}

/// A burst of hundreds of tasks stays within the rates of the key-value store, no task starts
/// twice, and the rate of calls without changes does not grow with the fleet.
#[test]
fn idle_kv_call_rate_does_not_grow_with_fleet_size() {
    let mut idle_calls = Vec::new();
    for machines in [20, 200] {
        let (mut sim, load) = full_fleet(machines);
        assert_eq!(sim.start_log.len(), machines * 8, "each task starts once");
        for (per_second, max) in [(&load.borrow().calls, 200), (&load.borrow().writes, 100)] {
            assert!(
                per_second.values().all(|n| *n <= max),
                "{machines} machines: {per_second:?}"
            );
        }
        let calls_before: usize = load.borrow().calls.values().sum();
        sim.run_for(10_000);
        idle_calls.push(load.borrow().calls.values().sum::<usize>() - calls_before);
    }
    assert!(
        idle_calls[0] > 0 && idle_calls[1] <= idle_calls[0] + 2,
        "calls in ten idle seconds: {idle_calls:?}"
    );
}

/// A new leader of a large fleet serves requests within a few heartbeat intervals, and no lease
/// expires because of the failover.
#[test]
fn new_leader_preserves_running_tasks_in_large_fleet() {
    let (mut sim, load) = full_fleet(200);
    let old_leader = sim.leader().unwrap();
    sim.kill(old_leader);
    let killed_ms = sim.now_ms;
    while sim.leader().is_none() {
        sim.run_for(100);
    }
    assert!(
        sim.now_ms < killed_ms + 4000,
        "elected after {} ms",
        sim.now_ms - killed_ms
    );
    let node = sim.leader().unwrap();
    sim.cancel(node, "run-s0");
    sim.run_for(3000);
    assert_eq!(
        sim.on_machines("run-s0"),
        0,
        "the cancellation reaches the machines of all zones"
    );
    assert_eq!(sim.submit(node, &service_without_objective("run-new")), 201);
    sim.run_for(2000);
    assert_eq!(
        sim.on_machines("run-new"),
        20,
        "the freed capacity is reused"
    );
    assert_eq!(sim.start_log.len(), 1620, "no other task starts");
    sim.run_for(10_000);
    assert_eq!(sim.on_machines("run-"), 1600);
    let load = load.borrow();
    assert!(load.calls.values().all(|n| *n <= 200), "{:?}", load.calls);
}

/// Returns the number of entries that the rounds of all controllers have examined since
/// [`examined`] returned `before`.
fn examined_since(sim: &Simulation, before: &[u64]) -> u64 {
    let now = examined(sim);
    now.iter()
        .zip(before)
        .map(|(now, before)| now.saturating_sub(*before))
        .sum()
}

/// Returns the number of entries that the rounds of each controller have examined since its start.
fn examined(sim: &Simulation) -> Vec<u64> {
    let examined_by =
        |node: &Option<lilacfork::node::Node>| node.as_ref().map_or(0, |node| node.examined());
    sim.nodes.iter().map(examined_by).collect()
}

/// The fleet is 1.5 times as large as the largest deployment. All controllers are killed at once
/// and restart within half a second, some of them twice. Later the leader's process is paused,
/// and then a fifth of the fleet becomes unresponsive. The observer's rules must hold, calls must
/// stay within the key-value store's rates, records within their size limit, and the cost of rounds
/// within a bound that is proportional to the size of the fleet.
#[test]
fn thousand_machine_fleet_recovers_from_restarts_leader_pause_and_machine_loss() {
    let (mut sim, load) = full_fleet(1000);
    let starts_before = sim.start_log.len();
    let before = examined(&sim);
    sim.run_for(10_000);
    let idle_entries = examined_since(&sim, &before);
    assert!(
        idle_entries < 10 * 60_000,
        "entries in ten idle seconds: {idle_entries}"
    );

    // These heartbeats are sent before the restart and delivered after it, to the next leader.
    let names: Vec<_> = sim.workers.keys().take(50).cloned().collect();
    let heartbeats: Vec<_> = names.iter().map(|name| sim.next_heartbeat(name)).collect();
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
    let leader = sim.leader().expect("a leader is elected again");
    for heartbeat in &heartbeats {
        sim.deliver_heartbeat(leader, heartbeat);
    }
    sim.run_for(12_000);
    assert_eq!(sim.on_machines("run-"), 8000, "no lease has expired");
    assert_eq!(sim.start_log.len(), starts_before, "no task starts again");

    let paused = sim.leader().unwrap();
    sim.paused_until_ms.insert(paused, sim.now_ms + 14_000);
    sim.run_for(24_000);
    assert_ne!(sim.leader(), Some(paused));
    assert_eq!(sim.on_machines("run-"), 8000, "no lease has expired");
    assert_eq!(sim.start_log.len(), starts_before);

    let lost: Vec<String> = sim.workers.keys().step_by(5).cloned().collect();
    set_unresponsive(&mut sim, &lost, true);
    let before = examined(&sim);
    sim.run_for(20_000);
    assert_eq!(
        released(&sim, &lost).len(),
        200,
        "all lost machines are released"
    );
    let remaining = sim.workers.values().filter(|m| !m.released).count();
    assert_eq!(remaining, 800, "no other machine is released");
    let entries = examined_since(&sim, &before);
    assert!(
        entries < 20 * 600_000,
        "entries in twenty seconds: {entries}"
    );
    assert_eq!(sim.on_machines("run-"), 6400);

    let load = load.borrow();
    assert!(load.calls.values().all(|n| *n <= 300), "{:?}", load.calls);
    assert!(load.writes.values().all(|n| *n <= 100), "{:?}", load.writes);
}

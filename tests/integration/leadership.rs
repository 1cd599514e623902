//! Leader election, and what a failover must not lose.

use crate::simulation::fixtures::{full_zone, heal, isolate_node, released, running_cluster};
use crate::simulation::{array, service, Delivery, Simulation};
use lilacfork::messages::Destination;
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;

/// A claim carried out late, after its author had given it up and made another lease,
/// once counted as the newer one's: the leader renewed a lease that held nothing, and the
/// key expired.
#[test]
fn a_claim_carried_out_late_is_no_proof_of_a_lease_made_since() {
    let mut sim = Simulation::new(1);
    let claims = Rc::new(Cell::new(0));
    let seen = claims.clone();
    sim.fault_injector = Box::new(move |_, _, call| {
        if call.path == "/txn" && call.body.windows(10).any(|b| b == b"leader/key") {
            seen.set(seen.get() + 1);
            return match seen.get() {
                1 => Delivery::RequestDelayed(1300),
                2 => Delivery::RequestLost,
                _ => Delivery::Normal,
            };
        }
        Delivery::Normal
    });
    for _ in 0..120 {
        sim.run_for(100);
        if sim.leader().is_some() {
            assert!(
                sim.kv_store.items.contains_key("leader/key"),
                "leads without a key at {}",
                sim.now_ms
            );
        }
    }
    assert!(claims.get() >= 3, "the late one isn't taken for its own");
    assert_eq!(sim.leader(), Some(0));
    assert_eq!(sim.submit(0, &array("run-1", 2)), 201);
    sim.run_for(15_000);
    assert_eq!(sim.poll(0, "run-1").1, "done");
}

/// One worker's invalid fencing token once deposed the leader, again and again, and ended
/// everybody's rounds.
#[test]
fn an_invalid_fencing_token_deposes_no_leader() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
    sim.run_for(3000);
    let term = sim.kv_store.items["leader/term"].0["term"].clone();
    let leader = sim.leader().unwrap();
    for (n, token) in [u64::MAX, 99 << 20, 2 << 20]
        .into_iter()
        .cycle()
        .take(30)
        .enumerate()
    {
        let mut report = sim.next_heartbeat("vm-a");
        report["banc"] = json!("vm-odd");
        report["jeton"] = json!(token);
        report["preavisS"] = json!(1e300);
        sim.deliver_heartbeat((leader + n) % 3, &report);
        sim.run_for(300);
    }
    assert_eq!(sim.kv_store.items["leader/term"].0["term"], term);
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(sim.on_machines("run-1"), 8);
}

/// A fencing token of a later term makes a leader check whether it still leads.
#[test]
fn a_leader_that_a_worker_outranks_asks_before_it_goes_on() {
    let (mut sim, _) = full_zone(3);
    let old = sim.leader().unwrap();
    // It reaches neither peers nor, by its renewals, the key-value store.
    isolate_node(&mut sim, old, Delivery::Rejected, true);
    sim.run_for(8000);
    let new = (0..3).find(|n| *n != old && sim.nodes[*n].as_ref().unwrap().is_leader());
    assert!(new.is_some());
    sim.heartbeat_responses.clear();
    let mut report = sim.next_heartbeat("vm-z1");
    report["jeton"] = json!(3u64 << 20);
    sim.deliver_heartbeat(old, &report);
    sim.run_for(10);
    let later = sim.next_heartbeat("vm-z2");
    sim.deliver_heartbeat(old, &later);
    sim.run_for(3000);
    let ok = sim
        .heartbeat_responses
        .iter()
        .any(|(_, n, s)| *n == old && *s == 200);
    assert!(!ok, "{:?}", sim.heartbeat_responses);
    heal(&mut sim);
    sim.run_for(5000);
    assert_eq!(sim.on_machines("run-1"), 56);
}

/// Malformed responses, from anybody, prove nothing.
#[test]
fn malformed_responses_prove_nothing() {
    for seed in 0..6 {
        let mut sim = running_cluster(3);
        let mut rng = fastrand::Rng::with_seed(seed);
        sim.fault_injector = Box::new(move |_, _, call| match call.destination {
            Destination::KvWatch => Delivery::Normal,
            _ if rng.u32(0..6) == 0 => Delivery::Garbled([200, 404, 409, 500][rng.usize(0..4)]),
            _ => Delivery::Normal,
        });
        for n in 0..12 {
            let id = format!("run-{n}");
            sim.request(n % 3, "POST", "/v2/runs", array(&id, 2));
            sim.run_for(900);
            sim.request((n + 1) % 3, "GET", &format!("/v2/runs/{id}"), json!(null));
            if n % 4 == 0 {
                let path = format!("/v2/runs/{id}/abort");
                sim.request((n + 2) % 3, "POST", &path, json!(null));
            }
        }
        sim.run_for(3000);
        heal(&mut sim);
        sim.run_for(3000);
        for n in 0..12 {
            let status = sim.submit(n % 3, &array(&format!("run-{n}"), 2));
            assert!(status == 200 || status == 201, "{seed}: run-{n} {status}");
        }
        sim.run_for(60_000);
        for n in 0..12 {
            let state = sim.poll(n % 3, &format!("run-{n}")).1;
            let fine = state == "done" || (n % 4 == 0 && state == "cancelled");
            assert!(fine, "{seed}: run-{n} is {state}");
        }
    }
}

/// A leader that no worker reached had handed over leadership; until a follower had read
/// that, it redirected workers to the old leader, where their leases expired (inc-4c23).
#[test]
fn workers_are_not_sent_back_to_a_leader_that_stepped_aside() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 16)), 201);
    sim.run_for(3000);
    let old = sim.leader().unwrap();
    // Word of the new leader comes late to those who only ask for it.
    let claims = Rc::new(Cell::new(None));
    let claimed = claims.clone();
    sim.fault_injector = Box::new(move |_, node, call| {
        if call.path == "/txn" && call.body.windows(10).any(|b| b == b"leader/key") {
            claimed.set(Some(node));
        }
        match call.destination {
            Destination::KvStore if claimed.get().is_some_and(|n| n != node) => {
                Delivery::ResponseDelayed(900)
            }
            Destination::KvWatch => Delivery::ResponseDelayed(900),
            _ => Delivery::Normal,
        }
    });
    sim.partitions = vec![(old, "a".into()), (old, "b".into())];
    while sim.leader() == Some(old) {
        sim.run_for(10);
    }
    while sim.leader().is_none() {
        sim.run_for(1);
    }
    sim.run_for(20);
    sim.redirects.clear();
    // A worker turns up at each node, again and again.
    for step in 0..20 {
        for n in 0..3 {
            let name = ["vm-a", "vm-b"][step % 2];
            sim.workers.get_mut(name).unwrap().node = n;
            sim.run_for(50);
        }
    }
    let back = sim.redirects.iter().filter(|(_, _, to)| *to == old).count();
    assert_eq!(back, 0, "{:?}", sim.redirects);
    assert_eq!(sim.on_machines("run-1"), 16);
}

/// Two silent controllers in a row, in the order in which workers try them, once took
/// longer than a worker's lease (inc-36de, inc-98e3: 600 to 720 tasks ended). A leader
/// whose successor is silent hands over leadership, once.
#[test]
fn a_leader_whose_successor_is_silent_hands_over_before_it_falls_silent_too() {
    let mut sim = running_cluster(3);
    let first = sim.leader().unwrap();
    assert_eq!(sim.submit(0, &service("run-1", 16)), 201);
    sim.run_for(40_000);
    let term = |sim: &Simulation| sim.kv_store.items["leader/term"].0["term"].as_u64();
    assert_eq!(term(&sim), Some(1), "no silence, no step");
    let started = sim.start_log.len();
    let until = sim.now_ms + 60_000;
    sim.paused_until_ms.insert((first + 1) % 3, until);
    sim.run_for(20_000);
    let leader = sim.leader().unwrap();
    assert_eq!(leader, (first + 2) % 3, "the only one with a successor");
    sim.run_for(15_000);
    assert_eq!(term(&sim), Some(2), "one step");
    sim.paused_until_ms.insert(leader, until);
    sim.run_for(20_000);
    assert_eq!(sim.on_machines("run-1"), 16);
    assert_eq!(
        sim.start_log.len(),
        started,
        "no lease ended: {:?}",
        sim.start_log
    );
}

/// A leader resumed after a process pause, took its own silence for that of its workers,
/// and handed over leadership because of old heartbeats, though another node led by then.
/// When that one handed leadership over to it, each let the other claim first: there was
/// no leader for six seconds (reparetout-mtl-ops operations, seed 41).
#[test]
fn a_leader_that_wakes_up_may_be_handed_the_lead_at_once() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 16)), 201);
    sim.run_for(3000);
    let first = sim.leader().unwrap();
    let until = sim.now_ms + 60_000;
    sim.paused_until_ms.insert(first, until);
    sim.run_for(8000);
    let led = |sim: &Simulation, n: usize| sim.nodes[n].as_ref().unwrap().is_leader();
    let second = (0..3).find(|n| *n != first && led(&sim, *n)).unwrap();
    let third = 3 - first - second;
    let wakes = sim.now_ms + 16_000;
    sim.paused_until_ms.insert(second, wakes);
    sim.run_until(wakes - 10);
    assert!(led(&sim, third));
    let mut alone_ms = 0;
    for _ in 0..1000 {
        sim.run_for(10);
        if !led(&sim, second) && !led(&sim, third) {
            alone_ms += 10;
        }
    }
    assert!(
        led(&sim, second),
        "handed over: the third's successor is silent"
    );
    assert!(alone_ms < 500, "nobody led for {alone_ms} ms");
    assert_eq!(sim.on_machines("run-1"), 16);
}

/// A follower that the workers of its zone can't reach, while the leader can: the leader
/// doesn't redirect a worker that returns from there.
#[test]
fn a_worker_that_cannot_reach_the_follower_of_its_zone_is_kept_by_the_leader() {
    let (mut sim, names) = full_zone(3);
    assert_ne!(sim.leader(), Some(1));
    sim.partitions = vec![(1, "b".into())];
    sim.run_for(40_000);
    assert_eq!(sim.start_log.len(), 56, "no task ends: {:?}", sim.start_log);
    assert!(released(&sim, &names).is_empty(), "none is given up");
    let late = sim
        .redirects
        .iter()
        .filter(|(at, _, to)| *to == 1 && *at > sim.now_ms - 15_000);
    assert!(late.count() <= names.len(), "none is sent to and fro");
}

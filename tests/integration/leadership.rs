//! Leader election, and what a failover must not lose.

use crate::simulation::fixtures::{full_zone, heal, isolate_node, released, running_cluster};
use crate::simulation::{array, service, Fate, Simulation};
use lilacfork::messages::Destination;
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;

/// A claim carried out late, after its author had given it up and made another lease,
/// once counted as the newer one's: the leader renewed a lease that held nothing, and the
/// key expired.
#[test]
fn a_claim_carried_out_late_is_no_proof_of_a_lease_made_since() {
    let mut w = Simulation::new(1);
    let claims = Rc::new(Cell::new(0));
    let seen = claims.clone();
    w.hook = Box::new(move |_, _, call| {
        if call.path == "/txn" && call.body.windows(10).any(|b| b == b"leader/key") {
            seen.set(seen.get() + 1);
            return match seen.get() {
                1 => Fate::Late(1300),
                2 => Fate::LoseRequest,
                _ => Fate::Pass,
            };
        }
        Fate::Pass
    });
    for _ in 0..120 {
        w.run_for(100);
        if w.leader().is_some() {
            assert!(
                w.state.items.contains_key("leader/key"),
                "leads without a key at {}",
                w.now
            );
        }
    }
    assert!(claims.get() >= 3, "the late one isn't taken for its own");
    assert_eq!(w.leader(), Some(0));
    assert_eq!(w.submit(0, &array("run-1", 2)), 201);
    w.run_for(15_000);
    assert_eq!(w.poll(0, "run-1").1, "done");
}

/// One worker's invalid fencing token once deposed the leader, again and again, and ended
/// everybody's rounds.
#[test]
fn an_invalid_fencing_token_deposes_no_leader() {
    let mut w = running_cluster(3);
    assert_eq!(w.submit(0, &service("run-1", 8)), 201);
    w.run_for(3000);
    let term = w.state.items["leader/term"].0["term"].clone();
    let leader = w.leader().unwrap();
    for (n, token) in [u64::MAX, 99 << 20, 2 << 20]
        .into_iter()
        .cycle()
        .take(30)
        .enumerate()
    {
        let mut report = w.worker_report("vm-a");
        report["banc"] = json!("vm-odd");
        report["jeton"] = json!(token);
        report["preavisS"] = json!(1e300);
        w.deliver_report((leader + n) % 3, &report);
        w.run_for(300);
    }
    assert_eq!(w.state.items["leader/term"].0["term"], term);
    assert_eq!(w.leader(), Some(leader));
    assert_eq!(w.on_machines("run-1"), 8);
}

/// A fencing token of a later term makes a leader check whether it still leads.
#[test]
fn a_leader_that_a_worker_outranks_asks_before_it_goes_on() {
    let (mut w, _) = full_zone(3);
    let old = w.leader().unwrap();
    // It reaches neither peers nor, by its renewals, the key-value store.
    isolate_node(&mut w, old, Fate::Refuse, true);
    w.run_for(8000);
    let new = (0..3).find(|n| *n != old && w.nodes[*n].as_ref().unwrap().is_leader());
    assert!(new.is_some());
    w.heartbeat_replies.clear();
    let mut report = w.worker_report("vm-z1");
    report["jeton"] = json!(3u64 << 20);
    w.deliver_report(old, &report);
    w.run_for(10);
    let later = w.worker_report("vm-z2");
    w.deliver_report(old, &later);
    w.run_for(3000);
    let ok = w
        .heartbeat_replies
        .iter()
        .any(|(_, n, s)| *n == old && *s == 200);
    assert!(!ok, "{:?}", w.heartbeat_replies);
    heal(&mut w);
    w.run_for(5000);
    assert_eq!(w.on_machines("run-1"), 56);
}

/// Malformed responses, from anybody, prove nothing.
#[test]
fn malformed_responses_prove_nothing() {
    for seed in 0..6 {
        let mut w = running_cluster(3);
        let mut rng = fastrand::Rng::with_seed(seed);
        w.hook = Box::new(move |_, _, call| match call.destination {
            Destination::KvWatch => Fate::Pass,
            _ if rng.u32(0..6) == 0 => Fate::Garble([200, 404, 409, 500][rng.usize(0..4)]),
            _ => Fate::Pass,
        });
        for n in 0..12 {
            let id = format!("run-{n}");
            w.ask(n % 3, "POST", "/v2/runs", array(&id, 2));
            w.run_for(900);
            w.ask((n + 1) % 3, "GET", &format!("/v2/runs/{id}"), json!(null));
            if n % 4 == 0 {
                let path = format!("/v2/runs/{id}/abort");
                w.ask((n + 2) % 3, "POST", &path, json!(null));
            }
        }
        w.run_for(3000);
        heal(&mut w);
        w.run_for(3000);
        for n in 0..12 {
            let status = w.submit(n % 3, &array(&format!("run-{n}"), 2));
            assert!(status == 200 || status == 201, "{seed}: run-{n} {status}");
        }
        w.run_for(60_000);
        for n in 0..12 {
            let state = w.poll(n % 3, &format!("run-{n}")).1;
            let fine = state == "done" || (n % 4 == 0 && state == "cancelled");
            assert!(fine, "{seed}: run-{n} is {state}");
        }
    }
}

/// A leader that no worker reached had handed over leadership; until a follower had read
/// that, it redirected workers to the old leader, where their leases expired (inc-4c23).
#[test]
fn workers_are_not_sent_back_to_a_leader_that_stepped_aside() {
    let mut w = running_cluster(3);
    assert_eq!(w.submit(0, &service("run-1", 16)), 201);
    w.run_for(3000);
    let old = w.leader().unwrap();
    // Word of the new leader comes late to those who only ask for it.
    let claims = Rc::new(Cell::new(None));
    let claimed = claims.clone();
    w.hook = Box::new(move |_, node, call| {
        if call.path == "/txn" && call.body.windows(10).any(|b| b == b"leader/key") {
            claimed.set(Some(node));
        }
        match call.destination {
            Destination::KvStore if claimed.get().is_some_and(|n| n != node) => {
                Fate::SlowAnswer(900)
            }
            Destination::KvWatch => Fate::SlowAnswer(900),
            _ => Fate::Pass,
        }
    });
    w.partitions = vec![(old, "a".into()), (old, "b".into())];
    while w.leader() == Some(old) {
        w.run_for(10);
    }
    while w.leader().is_none() {
        w.run_for(1);
    }
    w.run_for(20);
    w.redirects.clear();
    // A worker turns up at each node, again and again.
    for step in 0..20 {
        for n in 0..3 {
            let name = ["vm-a", "vm-b"][step % 2];
            w.workers.get_mut(name).unwrap().node = n;
            w.run_for(50);
        }
    }
    let back = w.redirects.iter().filter(|(_, _, to)| *to == old).count();
    assert_eq!(back, 0, "{:?}", w.redirects);
    assert_eq!(w.on_machines("run-1"), 16);
}

/// Two silent controllers in a row, in the order in which workers try them, once took
/// longer than a worker's lease (inc-36de, inc-98e3: 600 to 720 tasks ended). A leader
/// whose successor is silent hands over leadership, once.
#[test]
fn a_leader_whose_successor_is_silent_hands_over_before_it_falls_silent_too() {
    let mut w = running_cluster(3);
    let first = w.leader().unwrap();
    assert_eq!(w.submit(0, &service("run-1", 16)), 201);
    w.run_for(40_000);
    let term = |w: &Simulation| w.state.items["leader/term"].0["term"].as_u64();
    assert_eq!(term(&w), Some(1), "no silence, no step");
    let started = w.trace.len();
    let until = w.now + 60_000;
    w.paused_until.insert((first + 1) % 3, until);
    w.run_for(20_000);
    let leader = w.leader().unwrap();
    assert_eq!(leader, (first + 2) % 3, "the only one with a successor");
    w.run_for(15_000);
    assert_eq!(term(&w), Some(2), "one step");
    w.paused_until.insert(leader, until);
    w.run_for(20_000);
    assert_eq!(w.on_machines("run-1"), 16);
    assert_eq!(w.trace.len(), started, "no lease ended: {:?}", w.trace);
}

/// A leader resumed after a process pause, took its own silence for that of its workers,
/// and handed over leadership because of old heartbeats, though another node led by then.
/// When that one handed leadership over to it, each let the other claim first: there was
/// no leader for six seconds (reparetout-mtl-ops operations, seed 41).
#[test]
fn a_leader_that_wakes_up_may_be_handed_the_lead_at_once() {
    let mut w = running_cluster(3);
    assert_eq!(w.submit(0, &service("run-1", 16)), 201);
    w.run_for(3000);
    let first = w.leader().unwrap();
    let until = w.now + 60_000;
    w.paused_until.insert(first, until);
    w.run_for(8000);
    let led = |w: &Simulation, n: usize| w.nodes[n].as_ref().unwrap().is_leader();
    let second = (0..3).find(|n| *n != first && led(&w, *n)).unwrap();
    let third = 3 - first - second;
    let wakes = w.now + 16_000;
    w.paused_until.insert(second, wakes);
    w.run_until(wakes - 10);
    assert!(led(&w, third));
    let mut alone_ms = 0;
    for _ in 0..1000 {
        w.run_for(10);
        if !led(&w, second) && !led(&w, third) {
            alone_ms += 10;
        }
    }
    assert!(
        led(&w, second),
        "handed over: the third's successor is silent"
    );
    assert!(alone_ms < 500, "nobody led for {alone_ms} ms");
    assert_eq!(w.on_machines("run-1"), 16);
}

/// A follower that the workers of its zone can't reach, while the leader can: the leader
/// doesn't redirect a worker that returns from there.
#[test]
fn a_worker_that_cannot_reach_the_follower_of_its_zone_is_kept_by_the_leader() {
    let (mut w, names) = full_zone(3);
    assert_ne!(w.leader(), Some(1));
    w.partitions = vec![(1, "b".into())];
    w.run_for(40_000);
    assert_eq!(w.trace.len(), 56, "no task ends: {:?}", w.trace);
    assert!(released(&w, &names).is_empty(), "none is given up");
    let late = w
        .redirects
        .iter()
        .filter(|(at, _, to)| *to == 1 && *at > w.now - 15_000);
    assert!(late.count() <= names.len(), "none is sent to and fro");
}

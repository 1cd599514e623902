//! Leader election, handover of leadership, and failovers that must not lose tasks.

use crate::simulation::fixtures::{
    assert_zone_unaffected, full_zone, heal, isolate_node, running_cluster,
};
use crate::simulation::{array, service, Delivery, Simulation};
use lilacfork::messages::Destination;
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;

/// A claim of leadership is executed late, after the controller has abandoned the claim and
/// created another lease. In an earlier version, the controller attributed the late claim to the
/// newer lease. The controller then renewed the newer lease, which held no key, and the leader
/// key expired.
#[test]
fn delayed_leadership_claim_does_not_count_for_newer_lease() {
    let mut sim = Simulation::new(1);
    let claims = Rc::new(Cell::new(0));
    let counted_claims = claims.clone();
    sim.fault_injector = Box::new(move |_, _, call| {
        if call.path == "/txn" && call.body.windows(10).any(|b| b == b"leader/key") {
            counted_claims.set(counted_claims.get() + 1);
            return match counted_claims.get() {
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
                "a controller leads without a leader key at {} ms",
                sim.now_ms
            );
        }
    }
    assert!(
        claims.get() >= 3,
        "the delayed claim counted for the newer lease"
    );
    assert_eq!(sim.leader(), Some(0));
    assert_eq!(sim.submit(0, &array("run-1", 2)), 201);
    sim.run_for(15_000);
    assert_eq!(sim.query(0, "run-1").1, "done");
}

/// In an earlier version, the invalid fencing token of a single worker deposed the leader
/// repeatedly, which aborted the scheduling rounds for all jobs.
#[test]
fn invalid_fencing_token_does_not_depose_leader() {
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
        let mut heartbeat = sim.next_heartbeat("vm-a");
        heartbeat["banc"] = json!("vm-odd");
        heartbeat["jeton"] = json!(token);
        heartbeat["preavisS"] = json!(1e300);
        sim.deliver_heartbeat((leader + n) % 3, &heartbeat);
        sim.run_for(300);
    }
    assert_eq!(sim.kv_store.items["leader/term"].0["term"], term);
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(sim.on_machines("run-1"), 8);
}

/// A leader that receives a fencing token of a later term must verify its leadership before it
/// accepts further heartbeats.
#[test]
fn leader_verifies_leadership_after_fencing_token_of_later_term() {
    let (mut sim, _) = full_zone(3);
    let old = sim.leader().unwrap();
    // The leader reaches neither its peers nor the key-value store, so that its lease expires.
    isolate_node(&mut sim, old, Delivery::Rejected, true);
    sim.run_for(8000);
    let new = (0..3).find(|n| *n != old && sim.nodes[*n].as_ref().unwrap().is_leader());
    assert!(new.is_some());
    sim.heartbeat_responses.clear();
    let mut heartbeat = sim.next_heartbeat("vm-z1");
    heartbeat["jeton"] = json!(3u64 << 20);
    sim.deliver_heartbeat(old, &heartbeat);
    sim.run_for(10);
    let later = sim.next_heartbeat("vm-z2");
    sim.deliver_heartbeat(old, &later);
    sim.run_for(3000);
    let accepted = sim
        .heartbeat_responses
        .iter()
        .any(|(_, n, s)| *n == old && *s == 200);
    assert!(
        !accepted,
        "the old leader accepted a heartbeat: {:?}",
        sim.heartbeat_responses
    );
    heal(&mut sim);
    sim.run_for(5000);
    assert_eq!(sim.on_machines("run-1"), 56);
}

/// One in six responses of the key-value store, the cloud, the workers and the peers is
/// malformed, except responses to watches. A malformed response proves nothing about what its
/// sender did, so controllers must not rely on it. Every job must be served after the fault ends.
#[test]
fn jobs_are_served_after_malformed_responses() {
    for seed in 0..6 {
        let mut sim = running_cluster(3);
        let mut rng = fastrand::Rng::with_seed(seed);
        sim.fault_injector = Box::new(move |_, _, call| match call.destination {
            Destination::KvWatch => Delivery::Normal,
            _ if rng.u32(0..6) == 0 => {
                Delivery::MalformedResponse([200, 404, 409, 500][rng.usize(0..4)])
            }
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
            assert!(
                status == 200 || status == 201,
                "seed {seed}: submission of run-{n} got status {status}"
            );
        }
        sim.run_for(60_000);
        for n in 0..12 {
            let state = sim.query(n % 3, &format!("run-{n}")).1;
            let is_final = state == "done" || (n % 4 == 0 && state == "cancelled");
            assert!(is_final, "seed {seed}: run-{n} is {state}");
        }
    }
}

/// In incident inc-4c23, a leader that no worker could reach handed over leadership. Followers
/// that had not yet read who the new leader was redirected workers to the old leader, and the
/// workers' leases expired.
#[test]
fn workers_are_not_redirected_to_leader_that_handed_over_leadership() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 16)), 201);
    sim.run_for(3000);
    let old = sim.leader().unwrap();
    // The other controllers' reads of the key-value store, and so of the new leader, are delayed.
    // The delay of watches has no effect in the simulation.
    let claims = Rc::new(Cell::new(None));
    let claiming_node = claims.clone();
    sim.fault_injector = Box::new(move |_, node, call| {
        if call.path == "/txn" && call.body.windows(10).any(|b| b == b"leader/key") {
            claiming_node.set(Some(node));
        }
        match call.destination {
            Destination::KvStore if claiming_node.get().is_some_and(|n| n != node) => {
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
    // In alternating steps, one of the two workers sends heartbeats to each controller in turn.
    for step in 0..20 {
        for n in 0..3 {
            let name = ["vm-a", "vm-b"][step % 2];
            sim.workers.get_mut(name).unwrap().node = n;
            sim.run_for(50);
        }
    }
    let redirects_to_old = sim.redirects.iter().filter(|(_, _, to)| *to == old).count();
    assert_eq!(
        redirects_to_old, 0,
        "workers were redirected to the old leader: {:?}",
        sim.redirects
    );
    assert_eq!(sim.on_machines("run-1"), 16);
}

/// The successor of a leader is the controller that workers try next. In incidents inc-36de and
/// inc-98e3, workers had to try two unresponsive controllers in a row, which took longer than
/// their lease, and 600 to 720 tasks ended. A leader whose successor is unresponsive must
/// therefore hand over leadership, and only one handover must follow.
#[test]
fn leader_with_unresponsive_successor_hands_over_leadership_once() {
    let mut sim = running_cluster(3);
    let first = sim.leader().unwrap();
    assert_eq!(sim.submit(0, &service("run-1", 16)), 201);
    sim.run_for(40_000);
    let term = |sim: &Simulation| sim.kv_store.items["leader/term"].0["term"].as_u64();
    assert_eq!(
        term(&sim),
        Some(1),
        "leadership changed although every controller responds"
    );
    let starts_before = sim.start_log.len();
    let resumes_ms = sim.now_ms + 60_000;
    sim.paused_until_ms.insert((first + 1) % 3, resumes_ms);
    sim.run_for(20_000);
    let leader = sim.leader().unwrap();
    assert_eq!(
        leader,
        (first + 2) % 3,
        "the leader is not the controller with a responsive successor"
    );
    sim.run_for(15_000);
    assert_eq!(
        term(&sim),
        Some(2),
        "leadership did not change exactly one time"
    );
    sim.paused_until_ms.insert(leader, resumes_ms);
    sim.run_for(20_000);
    assert_eq!(sim.on_machines("run-1"), 16);
    assert_eq!(
        sim.start_log.len(),
        starts_before,
        "tasks were restarted: {:?}",
        sim.start_log
    );
}

/// In an earlier version, a leader resumed after a process pause, when another controller already
/// led. The resumed controller mistook its own pause for unresponsive workers, and handed over
/// leadership because of old heartbeats. When the new leader later handed leadership over to the
/// resumed controller, each of the two waited for the other to claim leadership first. There was
/// no leader for six seconds (`reparetout-mtl-ops operations`, seed 41).
#[test]
fn resumed_controller_claims_leadership_immediately_after_handover() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 16)), 201);
    sim.run_for(3000);
    let first = sim.leader().unwrap();
    let first_resumes_ms = sim.now_ms + 60_000;
    sim.paused_until_ms.insert(first, first_resumes_ms);
    sim.run_for(8000);
    let is_leader = |sim: &Simulation, n: usize| sim.nodes[n].as_ref().unwrap().is_leader();
    let second = (0..3).find(|n| *n != first && is_leader(&sim, *n)).unwrap();
    let third = 3 - first - second;
    let second_resumes_ms = sim.now_ms + 16_000;
    sim.paused_until_ms.insert(second, second_resumes_ms);
    sim.run_until(second_resumes_ms - 10);
    assert!(
        is_leader(&sim, third),
        "the third controller did not become leader"
    );
    let mut leaderless_ms = 0;
    for _ in 0..1000 {
        sim.run_for(10);
        if !is_leader(&sim, second) && !is_leader(&sim, third) {
            leaderless_ms += 10;
        }
    }
    assert!(
        is_leader(&sim, second),
        "the third controller did not hand over leadership although its successor is unresponsive"
    );
    assert!(leaderless_ms < 500, "no leader for {leaderless_ms} ms");
    assert_eq!(sim.on_machines("run-1"), 16);
}

/// The workers of a zone can't reach the follower in their zone, but can reach the leader. After
/// a worker has failed to reach the follower, the leader must not redirect the worker to that
/// follower again.
#[test]
fn leader_does_not_repeatedly_redirect_workers_to_unreachable_follower() {
    let (mut sim, names) = full_zone(3);
    assert_ne!(sim.leader(), Some(1));
    sim.partitions = vec![(1, "b".into())];
    sim.run_for(40_000);
    assert_zone_unaffected(&sim, &names);
    let late_redirects = sim
        .redirects
        .iter()
        .filter(|(at_ms, _, to)| *to == 1 && *at_ms > sim.now_ms - 15_000);
    assert!(
        late_redirects.count() <= names.len(),
        "workers were redirected repeatedly"
    );
}

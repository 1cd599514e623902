//! Controllers that have lost the key-value store while others reach it: their users must be
//! led to the others.

use super::*;
use crate::simulation::fixtures::running_cluster;
use lilacfork::messages::Destination;
use serde_json::json;

/// How long the cuts last. Longer than the time after which a job without an answer counts as
/// forgotten.
const CUT_MS: u64 = 97_000;

/// The connections between controllers don't matter to a controller that reaches the store.
#[test]
fn controllers_that_reach_store_stay_ready_without_peers() {
    let (mut sim, mut balancer) = balanced_cluster(3);
    sim.fault_injector = Box::new(|_, _, call| match call.destination {
        Destination::Peer(_) => Delivery::RequestLost,
        _ => Delivery::Normal,
    });
    balancer.run_for(&mut sim, CUT_MS);
    assert_never_removed(&balancer, 0..3);
}

#[test]
fn controller_is_not_ready_if_it_alone_cannot_reach_kv_store() {
    let mut sim = running_cluster(3);
    let ready = |sim: &mut Simulation, n| {
        let user = sim.request(n, "GET", "/ready", json!(null));
        sim.run_for(20);
        sim.status_and_state(user).0
    };
    let isolated = (sim.leader().unwrap() + 1) % 3;
    assert_eq!(ready(&mut sim, isolated), 200);
    sim.fault_injector = Box::new(move |_, node, call| match call.destination {
        Destination::KvStore | Destination::KvWatch if node == isolated => Delivery::RequestLost,
        _ => Delivery::Normal,
    });
    sim.run_for(20_000);
    assert_eq!(ready(&mut sim, isolated), 503);
    sim.fault_injector = Box::new(|_, _, _| Delivery::Normal);
    sim.kv_store.unavailable = true;
    sim.run_for(20_000);
    assert_eq!(
        ready(&mut sim, (isolated + 1) % 3),
        200,
        "a controller is not ready although the key-value store is unavailable to all of them"
    );
}

#[test]
fn controller_that_alone_loses_store_is_not_ready() {
    for store_fault in STORE_FAULTS {
        for steps_from_leader in 0..3 {
            let (mut sim, mut balancer) = balanced_cluster(3);
            let cut = (sim.leader().unwrap() + steps_from_leader) % 3;
            let cut_ms = sim.now_ms;
            lose_store(&mut sim, &[cut], store_fault);
            balancer.run_for(&mut sim, CUT_MS);
            assert_only_users_moved_of(&mut sim, &mut balancer, &[cut], cut_ms);
        }
    }
}

/// In an earlier version, a controller that had lost the key-value store and all peers said that
/// it was ready for as long as that lasted, because no peer said that it reached the store. The
/// load balancer left its users there, and all their requests failed (review/3).
#[test]
fn controller_without_store_and_peers_is_not_ready() {
    for store_fault in STORE_FAULTS {
        for steps_from_leader in 0..3 {
            let (mut sim, mut balancer) = balanced_cluster(3);
            let cut = (sim.leader().unwrap() + steps_from_leader) % 3;
            let cut_ms = sim.now_ms;
            isolate_group(&mut sim, &[cut], store_fault);
            balancer.run_for(&mut sim, CUT_MS);
            assert_only_users_moved_of(&mut sim, &mut balancer, &[cut], cut_ms);
        }
    }
}

/// A group that is cut off together, for example a zone, hears that none of it reaches the store.
/// In an earlier version, that was taken for an outage for all.
#[test]
fn group_without_store_and_other_peers_is_not_ready() {
    let groups: [(usize, &[usize]); 7] = [
        (3, &[0, 1]),
        (3, &[0, 2]),
        (3, &[1, 2]),
        (4, &[0, 1]),
        (5, &[0, 1]),
        (5, &[2, 3, 4]),
        (7, &[0, 1, 2, 3, 4, 5]),
    ];
    for store_fault in STORE_FAULTS {
        for (nodes, group) in groups {
            let (mut sim, mut balancer) = balanced_cluster(nodes);
            let cut_ms = sim.now_ms;
            isolate_group(&mut sim, group, store_fault);
            balancer.run_for(&mut sim, CUT_MS);
            assert_only_users_moved_of(&mut sim, &mut balancer, group, cut_ms);
        }
    }
}

/// The silence of the peers began before, and says nothing about the store; but fewer than half of
/// the controllers can't know that nobody serves.
#[test]
fn minority_that_loses_store_after_its_peers_is_not_ready() {
    for store_fault in STORE_FAULTS {
        for (nodes, group) in [(3, &[1][..]), (5, &[0, 1])] {
            let (mut sim, mut balancer) = balanced_cluster(nodes);
            let cut = |from_kv_store| Cut {
                from_kv_store,
                kv_store_delivery: store_fault,
                separated: group.to_vec(),
            };
            cut_off(&mut sim, cut(Vec::new()));
            balancer.run_for(&mut sim, 10_000);
            assert_never_removed(&balancer, 0..nodes);
            let cut_ms = sim.now_ms;
            cut_off(&mut sim, cut(group.to_vec()));
            balancer.run_for(&mut sim, CUT_MS);
            assert_only_users_moved_of(&mut sim, &mut balancer, group, cut_ms);
        }
    }
}

/// While the store is slow for all, a controller that gets no response at all is cut off.
#[test]
fn controller_that_alone_loses_a_slow_store_is_not_ready() {
    for store_fault in STORE_FAULTS {
        for seed in 0..8 {
            let (mut sim, mut balancer) = balanced_cluster(3);
            let cut = (sim.leader().unwrap() + 1) % 3;
            let mut rng = fastrand::Rng::with_seed(seed);
            let cut_ms = sim.now_ms + 20_000;
            sim.fault_injector = Box::new(move |now_ms, node, call| match call.destination {
                Destination::KvStore | Destination::KvWatch if node == cut && now_ms >= cut_ms => {
                    store_fault
                }
                Destination::KvStore => delayed(call, rng.u64(100..2000)),
                _ => Delivery::Normal,
            });
            balancer.run_for(&mut sim, 20_000 + CUT_MS);
            assert_only_users_moved_of(&mut sim, &mut balancer, &[cut], cut_ms);
        }
    }
}

/// A controller that has heard that its peers reach the store has no reason to become ready
/// when it stops hearing them.
#[test]
fn controller_stays_unready_if_its_peers_fall_silent() {
    for store_fault in STORE_FAULTS {
        let (mut sim, mut balancer) = balanced_cluster(3);
        let cut = (sim.leader().unwrap() + 1) % 3;
        let cut_ms = sim.now_ms;
        lose_store(&mut sim, &[cut], store_fault);
        balancer.run_for(&mut sim, 10_000);
        isolate_group(&mut sim, &[cut], store_fault);
        for _ in 0..60 {
            balancer.run_for(&mut sim, 1000);
            assert!(!balancer.is_ready(cut), "ready at {} ms", sim.now_ms);
        }
        assert_only_users_moved_of(&mut sim, &mut balancer, &[cut], cut_ms);
    }
}

//! What `/ready` says while controllers lose the key-value store or their peers, and what
//! follows at the load balancer. Each test is a row of the table in `docs/READINESS.md`.

mod cut_off;
mod outages;
mod short_faults;
mod starting;

use crate::simulation::fixtures::{cut_off, heal, Cut};
use crate::simulation::load_balancer::{LoadBalancer, Removal};
use crate::simulation::{Delivery, Simulation};
use lilacfork::messages::Call;

/// The ways in which calls to the key-value store fail: rejected with 503, or unanswered.
const STORE_FAULTS: [Delivery; 2] = [Delivery::Rejected, Delivery::RequestLost];

/// The aim for a controller that can't serve while another one can: the time until its users
/// are led to another controller.
const MAX_HELD_MS: u64 = 20_000;

/// Time within which a controller is added again after all faults have ended.
const MAX_RECOVERY_MS: u64 = 5000;

/// Creates a cluster with a leader and a load balancer that has probed it for a while.
fn balanced_cluster(nodes: usize) -> (Simulation, LoadBalancer) {
    with_load_balancer(Simulation::new(nodes))
}

fn with_load_balancer(mut sim: Simulation) -> (Simulation, LoadBalancer) {
    sim.run_until(5000);
    assert!(sim.leader().is_some(), "no leader was elected within 5 s");
    let mut balancer = LoadBalancer::new(&sim);
    balancer.run_for(&mut sim, 10_000);
    for node in 0..sim.nodes.len() {
        assert!(balancer.is_ready(node), "controller {node} isn't ready");
    }
    (sim, balancer)
}

/// Cuts a group of controllers off from the key-value store, but not from other controllers.
fn lose_store(sim: &mut Simulation, group: &[usize], kv_store_delivery: Delivery) {
    cut_off(
        sim,
        Cut {
            from_kv_store: group.to_vec(),
            kv_store_delivery,
            separated: Vec::new(),
        },
    );
}

/// Starts an outage of the key-value store for all controllers, in which calls have this
/// delivery.
fn start_outage(sim: &mut Simulation, kv_store_delivery: Delivery) {
    sim.kv_store.unavailable = true;
    let all: Vec<usize> = (0..sim.nodes.len()).collect();
    lose_store(sim, &all, kv_store_delivery);
}

fn end_outage(sim: &mut Simulation) {
    heal(sim);
    sim.end_kv_store_outage();
}

/// Cuts a group of controllers off from the key-value store and from all other controllers.
fn isolate_group(sim: &mut Simulation, group: &[usize], kv_store_delivery: Delivery) {
    cut_off(
        sim,
        Cut {
            from_kv_store: group.to_vec(),
            kv_store_delivery,
            separated: group.to_vec(),
        },
    );
}

/// Fails the test unless the connections of each controller in a group, and of no other, were
/// reset within the aim after `cut_ms`, and all controllers are back once the faults end.
#[track_caller]
fn assert_only_users_moved_of(
    sim: &mut Simulation,
    balancer: &mut LoadBalancer,
    group: &[usize],
    cut_ms: u64,
) {
    for node in group {
        assert_users_moved_within(sim, balancer, *node, cut_ms, MAX_HELD_MS);
    }
    assert_never_removed(balancer, others(sim, group));
    assert_recovery(sim, balancer);
}

/// Fails the test unless the connections of a controller were reset within `max_ms` after
/// `since_ms`, and it has been removed just once.
#[track_caller]
fn assert_users_moved_within(
    sim: &Simulation,
    balancer: &LoadBalancer,
    node: usize,
    since_ms: u64,
    max_ms: u64,
) {
    let removals = balancer.removals(node);
    assert_eq!(removals.len(), 1, "controller {node}: {removals:?}");
    let held_ms = removals[0]
        .reset_ms(sim.now_ms)
        .map(|reset_ms| reset_ms - since_ms);
    assert!(
        held_ms.is_some_and(|held_ms| held_ms <= max_ms),
        "controller {node} held its users for {held_ms:?} ms: {removals:?}"
    );
}

/// Fails the test if the load balancer has removed one of these controllers.
#[track_caller]
fn assert_never_removed(balancer: &LoadBalancer, nodes: impl IntoIterator<Item = usize>) {
    for node in nodes {
        let removals: &[Removal] = balancer.removals(node);
        assert!(
            removals.is_empty(),
            "controller {node} was removed: {removals:?}"
        );
    }
}

/// Ends all faults and fails the test unless all controllers are ready and added again in time.
#[track_caller]
fn assert_recovery(sim: &mut Simulation, balancer: &mut LoadBalancer) {
    end_outage(sim);
    balancer.run_for(sim, MAX_RECOVERY_MS);
    for node in 0..sim.nodes.len() {
        assert!(
            !balancer.is_removed(node) && balancer.is_ready(node),
            "controller {node} isn't back {MAX_RECOVERY_MS} ms after the last fault: {:?}",
            balancer.removals(node)
        );
    }
}

/// Delivers a call with a delay. A response that is later than the call's timeout is lost.
fn delayed(call: &Call, delay_ms: u64) -> Delivery {
    if delay_ms < call.timeout_ms {
        Delivery::ResponseDelayed(delay_ms)
    } else {
        Delivery::ResponseLost
    }
}

/// Returns the controllers that are not in a group.
fn others(sim: &Simulation, group: &[usize]) -> Vec<usize> {
    (0..sim.nodes.len())
        .filter(|node| !group.contains(node))
        .collect()
}

//! Outages of the key-value store for all controllers: the load balancer must not remove them
//! all, or must have them back soon.

use super::*;

/// Longer than the longest outage that the operators have met.
const OUTAGE_MS: u64 = 60_000;

/// How long a controller waits for the end of an outage while a peer is down.
const ABSENT_PEER_GRACE_MS: u64 = 30_000;

/// In an earlier version, controllers took the reports that their peers had sent before the outage
/// for proof that the peers still reached the key-value store. An outage that began at an
/// unfavourable moment between two calls removed them.
#[test]
fn outage_for_all_removes_no_controller() {
    for store_fault in STORE_FAULTS {
        for (nodes, phase_ms) in [2, 3, 5].into_iter().flat_map(|nodes| {
            (0..2000)
                .step_by(250)
                .map(move |phase_ms| (nodes, phase_ms))
        }) {
            let (mut sim, mut balancer) = match nodes {
                2 => with_load_balancer(Simulation::with_few_controllers(2)),
                _ => balanced_cluster(nodes),
            };
            sim.run_for(phase_ms);
            start_outage(&mut sim, store_fault);
            balancer.run_for(&mut sim, OUTAGE_MS + phase_ms / 2);
            end_outage(&mut sim);
            balancer.run_for(&mut sim, 10_000);
            assert_never_removed(&balancer, 0..nodes);
        }
    }
}

/// One controller reaches the store one and a half seconds later than its peers, which have said so
/// by then.
#[test]
fn end_of_an_outage_removes_no_controller_that_follows_late() {
    for store_fault in STORE_FAULTS {
        for phase_ms in (0..2000).step_by(250) {
            let (mut sim, mut balancer) = balanced_cluster(3);
            let late = (sim.leader().unwrap() + 1) % 3;
            start_outage(&mut sim, store_fault);
            balancer.run_for(&mut sim, 20_000 + phase_ms);
            sim.end_kv_store_outage();
            lose_store(&mut sim, &[late], store_fault);
            balancer.run_for(&mut sim, 1500);
            heal(&mut sim);
            balancer.run_for(&mut sim, 10_000);
            assert_never_removed(&balancer, 0..3);
        }
    }
}

/// As [`outage_for_all_removes_no_controller`], with one controller down.
#[test]
fn outage_with_a_controller_down_removes_no_controller() {
    for store_fault in STORE_FAULTS {
        for (down_ms, outage_ms) in [(10_000, 0), (4000, 0), (0, 6000), (0, 15_000)] {
            for steps_from_leader in 0..3 {
                let (mut sim, mut balancer) = balanced_cluster(3);
                let down = (sim.leader().unwrap() + steps_from_leader) % 3;
                // The controller goes down before the outage or after its beginning.
                if outage_ms == 0 {
                    sim.kill(down);
                    balancer.run_for(&mut sim, down_ms);
                    start_outage(&mut sim, store_fault);
                } else {
                    start_outage(&mut sim, store_fault);
                    balancer.run_for(&mut sim, outage_ms);
                    sim.kill(down);
                }
                balancer.run_for(&mut sim, 28_000);
                end_outage(&mut sim);
                balancer.run_for(&mut sim, 10_000);
                assert_never_removed(&balancer, others(&sim, &[down]));
            }
        }
    }
}

/// The crash looks like a partition until the controller is back.
#[test]
fn crash_at_the_beginning_of_an_outage_removes_no_other_controller() {
    for store_fault in STORE_FAULTS {
        for crash_after_ms in [0, 1000, 2000, 4000] {
            let (mut sim, mut balancer) = balanced_cluster(3);
            let down = (sim.leader().unwrap() + 1) % 3;
            start_outage(&mut sim, store_fault);
            balancer.run_for(&mut sim, crash_after_ms);
            sim.kill(down);
            balancer.run_for(&mut sim, 6000);
            sim.start(down);
            balancer.run_for(&mut sim, OUTAGE_MS);
            assert_never_removed(&balancer, others(&sim, &[down]));
            assert_recovery(&mut sim, &mut balancer);
        }
    }
}

#[test]
fn long_outage_with_a_controller_down_removes_each_controller_once() {
    for store_fault in STORE_FAULTS {
        let (mut sim, mut balancer) = balanced_cluster(3);
        let down = (sim.leader().unwrap() + 1) % 3;
        sim.kill(down);
        balancer.run_for(&mut sim, 10_000);
        let outage_ms = sim.now_ms;
        start_outage(&mut sim, store_fault);
        balancer.run_for(&mut sim, OUTAGE_MS);
        for node in others(&sim, &[down]) {
            let removals = balancer.removals(node);
            assert_eq!(removals.len(), 1, "controller {node}: {removals:?}");
            let removed_after_ms = removals[0].removed_ms - outage_ms;
            assert!(
                removed_after_ms >= ABSENT_PEER_GRACE_MS - 1000,
                "controller {node} was removed after {removed_after_ms} ms"
            );
        }
        sim.start(down);
        assert_recovery(&mut sim, &mut balancer);
        assert!(others(&sim, &[down])
            .into_iter()
            .all(|node| balancer.removals(node).len() == 1));
    }
}

/// The reports of the other controllers, from before the cut, say that they have lost the store
/// too. They don't count for ever.
#[test]
fn group_cut_off_during_an_outage_is_not_ready_for_long() {
    for store_fault in STORE_FAULTS {
        let (mut sim, mut balancer) = balanced_cluster(3);
        let group = [0, 1];
        start_outage(&mut sim, store_fault);
        balancer.run_for(&mut sim, 10_000);
        cut_off(
            &mut sim,
            Cut {
                from_kv_store: vec![0, 1, 2],
                kv_store_delivery: store_fault,
                separated: group.to_vec(),
            },
        );
        let cut_ms = sim.now_ms;
        balancer.run_for(&mut sim, 5000);
        sim.end_kv_store_outage();
        isolate_group(&mut sim, &group, store_fault);
        balancer.run_for(&mut sim, OUTAGE_MS);
        for node in group {
            let max_held_ms = ABSENT_PEER_GRACE_MS + 8000;
            assert_users_moved_within(&sim, &balancer, node, cut_ms, max_held_ms);
        }
        assert_never_removed(&balancer, [2]);
        assert_recovery(&mut sim, &mut balancer);
    }
}

#[test]
fn last_of_two_controllers_stays_ready_in_an_outage() {
    for store_fault in STORE_FAULTS {
        let (mut sim, mut balancer) = with_load_balancer(Simulation::with_few_controllers(2));
        sim.kill(1);
        balancer.run_for(&mut sim, 10_000);
        start_outage(&mut sim, store_fault);
        balancer.run_for(&mut sim, ABSENT_PEER_GRACE_MS - 2000);
        end_outage(&mut sim);
        balancer.run_for(&mut sim, 10_000);
        assert_never_removed(&balancer, [0]);
    }
}

/// There is no other controller that could serve.
#[test]
fn only_controller_stays_ready_without_store() {
    for store_fault in STORE_FAULTS {
        let (mut sim, mut balancer) = with_load_balancer(Simulation::with_few_controllers(1));
        start_outage(&mut sim, store_fault);
        balancer.run_for(&mut sim, OUTAGE_MS);
        end_outage(&mut sim);
        balancer.run_for(&mut sim, 10_000);
        assert_never_removed(&balancer, [0]);
    }
}

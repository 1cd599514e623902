//! Faults that come and go, slow calls and late messages: none of them may make the load
//! balancer remove controllers again and again, since each removal doubles the pause.

use super::*;
use lilacfork::messages::Destination;

/// How often the short faults are repeated.
const REPETITIONS: usize = 12;
const SHORT_CUT_MS: u64 = 5000;

/// In an earlier version, a controller took the last reports of its peers before a cut for proof
/// that they still reached the key-value store. Cuts of some seconds removed it again and again,
/// for up to 48 s.
#[test]
fn short_cuts_remove_no_controller() {
    for store_fault in STORE_FAULTS {
        for (group, cut_ms) in [&[0][..], &[1], &[2], &[0, 1], &[1, 2]]
            .into_iter()
            .flat_map(|group| [4300, SHORT_CUT_MS, 6100].map(|cut_ms| (group, cut_ms)))
        {
            let (mut sim, mut balancer) = balanced_cluster(3);
            for _ in 0..REPETITIONS {
                isolate_group(&mut sim, group, store_fault);
                balancer.run_for(&mut sim, cut_ms);
                heal(&mut sim);
                balancer.run_for(&mut sim, SHORT_CUT_MS);
            }
            assert_never_removed(&balancer, 0..3);
        }
    }
}

/// In an earlier version, reports from before each outage removed all controllers, with pauses that
/// doubled each time.
#[test]
fn short_outages_with_a_controller_down_remove_no_controller() {
    for store_fault in STORE_FAULTS {
        for outage_ms in [3000, 4300, SHORT_CUT_MS, 6100, 12_000] {
            let (mut sim, mut balancer) = balanced_cluster(3);
            let down = (sim.leader().unwrap() + 1) % 3;
            sim.kill(down);
            balancer.run_for(&mut sim, 10_000);
            for _ in 0..REPETITIONS {
                start_outage(&mut sim, store_fault);
                balancer.run_for(&mut sim, outage_ms);
                end_outage(&mut sim);
                balancer.run_for(&mut sim, SHORT_CUT_MS);
            }
            assert_never_removed(&balancer, others(&sim, &[down]));
        }
    }
}

/// Makes the key-value store slow for all controllers.
fn slow_down(sim: &mut Simulation, seed: u64, max_delay_ms: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    sim.fault_injector = Box::new(move |_, _, call| match call.destination {
        Destination::KvStore => delayed(call, rng.u64(100..max_delay_ms)),
        _ => Delivery::Normal,
    });
}

/// Many calls time out. Each controller is without a response for a while now and then, but not
/// because of its own connection. In an earlier version, that removed controllers.
#[test]
fn slow_store_removes_no_controller() {
    for seed in 0..20 {
        for max_delay_ms in [900, 1500, 2000, 2500] {
            let (mut sim, mut balancer) = balanced_cluster(3);
            slow_down(&mut sim, seed, max_delay_ms);
            balancer.run_for(&mut sim, 120_000);
            heal(&mut sim);
            assert_never_removed(&balancer, 0..3);
        }
    }
}

/// Most calls time out, and some gaps are so long that a controller can't tell them from a loss of
/// its own connection. In an earlier version, all controllers were removed at once.
#[test]
fn very_slow_store_removes_controllers_rarely_and_never_all() {
    for seed in 0..20 {
        for max_delay_ms in [3000, 4000] {
            let (mut sim, mut balancer) = balanced_cluster(3);
            slow_down(&mut sim, seed, max_delay_ms);
            for _ in 0..120 {
                balancer.run_for(&mut sim, 1000);
                assert!(
                    (0..3).any(|node| !balancer.is_removed(node)),
                    "all controllers are removed at {} ms",
                    sim.now_ms
                );
            }
            for node in 0..3 {
                let removals = balancer.removals(node);
                assert!(
                    removals.len() <= 1,
                    "controller {node} was removed repeatedly: {removals:?}"
                );
            }
        }
    }
}

/// A partition holds heartbeats back and delivers them after a minute, during an outage. In an
/// earlier version, such a heartbeat counted as if it had just been sent.
#[test]
fn delayed_heartbeat_is_no_evidence_of_store_access() {
    const HELD_MS: u64 = 40_000;
    for store_fault in STORE_FAULTS {
        let (mut sim, mut balancer) = balanced_cluster(3);
        let sent_ms = sim.now_ms;
        // For some seconds, all heartbeats are held back.
        sim.fault_injector = Box::new(move |_, _, call| match call.destination {
            Destination::Peer(_) => Delivery::RequestDelayed(HELD_MS),
            _ => Delivery::Normal,
        });
        balancer.run_for(&mut sim, 4000);
        heal(&mut sim);
        balancer.run_for(&mut sim, 16_000);
        start_outage(&mut sim, store_fault);
        sim.run_until(sent_ms + HELD_MS - 10_000);
        balancer.run_for(&mut sim, 30_000);
        assert_never_removed(&balancer, 0..3);
    }
}

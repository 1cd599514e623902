//! Controllers that have just started and have never reached the key-value store.

use super::*;
use crate::simulation::settings;
use lilacfork::messages::{ConnectionId, Effect, Listener, Now, Request};
use lilacfork::node::Node;
use lilacfork::reactor::Handler;
use lilacfork::tuning::Tuning;
use lilacfork::wire::peers::{encode_heartbeat, PeerHeartbeat, PEER_PATH};
use lilacfork::wire::users::READY_PATH;

/// All controllers are restarted one after the other during an outage. In an earlier version, each
/// of them was unready from then on if the cloud was unavailable too, since it didn't know the
/// machine types, and the load balancer had none left.
#[test]
fn controller_started_in_an_outage_is_ready_by_its_peers_reports() {
    for (store_fault, cloud_unavailable) in [
        (Delivery::Rejected, true),
        (Delivery::Rejected, false),
        (Delivery::RequestLost, true),
    ] {
        let (mut sim, mut balancer) = balanced_cluster(3);
        sim.cloud_unavailable = cloud_unavailable;
        start_outage(&mut sim, store_fault);
        balancer.run_for(&mut sim, 6000);
        for restarted in 0..3 {
            sim.kill(restarted);
            balancer.run_for(&mut sim, 6000);
            assert_eq!(
                (0..3).filter(|node| balancer.is_removed(*node)).count(),
                1,
                "not just the controller that is down is removed at {} ms",
                sim.now_ms
            );
            sim.start(restarted);
            balancer.run_for(&mut sim, 7000);
            assert!(
                (0..3).all(|node| !balancer.is_removed(node)),
                "a controller is removed 7 s after the restart of {restarted}"
            );
        }
        sim.cloud_unavailable = false;
        assert_recovery(&mut sim, &mut balancer);
    }
}

/// A controller that has never reached the store may be cut off: it has no reason to say that
/// it is ready. In an earlier version, its first responses said so.
#[test]
fn controller_started_without_store_and_peers_is_not_ready() {
    for store_fault in STORE_FAULTS {
        for separated in [Vec::new(), vec![1]] {
            let (mut sim, mut balancer) = balanced_cluster(3);
            sim.kill(1);
            balancer.run_for(&mut sim, 6000);
            cut_off(
                &mut sim,
                Cut {
                    from_kv_store: vec![1],
                    kv_store_delivery: store_fault,
                    separated,
                },
            );
            sim.start(1);
            for _ in 0..60 {
                balancer.run_for(&mut sim, 1000);
                assert!(!balancer.is_ready(1), "ready at {} ms", sim.now_ms);
            }
            assert_never_removed(&balancer, [0, 2]);
            assert_recovery(&mut sim, &mut balancer);
        }
    }
}

/// Sends a request to a controller and returns the status of its reply.
fn status(
    node: &mut Node,
    now: Now,
    listener: Listener,
    method: &str,
    path: &str,
    body: Vec<u8>,
) -> u16 {
    let request = Request {
        method: method.into(),
        path: path.into(),
        body,
    };
    let mut effects = Vec::new();
    node.request(now, ConnectionId(1), listener, request, &mut effects);
    let reply = effects.into_iter().find_map(|effect| match effect {
        Effect::Reply(_, reply) => Some(reply),
        Effect::Call(..) => None,
    });
    reply.expect("a reply").status
}

/// Earlier versions say only whether they reach the store. Their heartbeats count from their
/// arrival.
#[test]
fn heartbeats_of_earlier_versions_are_evidence_too() {
    for (reachable, expected) in [(false, 200), (true, 503)] {
        let mut node = Node::new(settings("n-0", 3), Tuning::default(), 1);
        let now = Now {
            ms: 1000,
            wall_ms: 1_000_000,
        };
        let ready =
            |node: &mut Node| status(node, now, Listener::Client, "GET", READY_PATH, Vec::new());
        assert_eq!(
            ready(&mut node),
            503,
            "ready before it has heard from anyone"
        );
        for peer in ["n-1", "n-2"] {
            let heartbeat = PeerHeartbeat {
                node: peer.into(),
                kv_reachable: reachable,
                ..PeerHeartbeat::default()
            };
            let body = encode_heartbeat(&heartbeat);
            assert_eq!(
                status(&mut node, now, Listener::Peer, "POST", PEER_PATH, body),
                200
            );
        }
        assert_eq!(
            ready(&mut node),
            expected,
            "peers reach the store: {reachable}"
        );
    }
}

//! Cancelled jobs end in time, whichever nodes know of the cancellation. The observer
//! compares each task with the moment of the first confirmation.

use crate::simulation::fixtures::{heal, isolate_node, node_at, running_cluster};
use crate::simulation::{service, Delivery, Simulation, CANCEL_MS};
use lilacfork::messages::Destination;
use serde_json::json;

/// Two services of eight tasks on two machines.
fn two_services() -> Simulation {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
    assert_eq!(sim.submit(0, &service("run-2", 8)), 201);
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-"), 16);
    sim
}

/// The key-value store rejects this node's calls; `deaf`: nor do messages of its peers
/// reach it.
fn refuse(sim: &mut Simulation, lone: usize, deaf: bool) {
    isolate_node(sim, lone, Delivery::Rejected, deaf);
}

/// What happens to the confirming node and the leader besides.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Also {
    Nothing,
    /// The confirming node ends at once and returns inside the outage.
    ConfirmerRestarts,
    /// The leader changes twice beforehand.
    TwoChanges,
    /// The cancellation is stored and its answer lost; another node tells.
    AnswerLost,
}

/// A leader whose calls alone the key-value store rejects, and then an outage of the
/// store for all. The leader once took the outage for a reason to believe that it had
/// missed no cancellation; most schedulers that the users have seen fail here.
fn gap(also: Also, refused_ms: u64) -> Simulation {
    let mut sim = two_services();
    sim.kv_store.watches_stalled = true;
    if also == Also::TwoChanges {
        for _ in 0..2 {
            let leader = sim.leader().unwrap();
            sim.kill(leader);
            sim.run_for(5000);
            sim.start(leader);
            sim.run_for(3000);
        }
    }
    let leader = sim.leader().unwrap();
    let other = (leader + 1) % 3;
    refuse(&mut sim, leader, true);
    sim.run_for(refused_ms);
    if also == Also::AnswerLost {
        sim.fault_injector = Box::new(move |_, node, call| match &call.destination {
            Destination::KvStore | Destination::KvWatch if node == leader => Delivery::Rejected,
            Destination::Peer(addr) if node == leader || node_at(addr) == leader => {
                Delivery::RequestLost
            }
            Destination::KvStore if call.path == "/txn" && node == other => Delivery::ResponseLost,
            _ => Delivery::Normal,
        });
        sim.request(other, "POST", "/v2/runs/run-1/abort", json!(null));
        sim.run_for(20);
        assert_eq!(sim.poll((leader + 2) % 3, "run-1").1, "cancelled");
        // Users ask for this at many nodes, and the first confirmation counts.
        refuse(&mut sim, leader, true);
    } else {
        assert_eq!(sim.cancel(other, "run-1").1, "cancelled");
    }
    if also == Also::ConfirmerRestarts {
        sim.kill(other);
    }
    sim.run_for(300);
    sim.kv_store.unavailable = true;
    heal(&mut sim);
    if also == Also::ConfirmerRestarts {
        sim.run_for(4000);
        sim.start(other);
    }
    sim.run_for(CANCEL_MS + 15_000);
    assert_eq!(sim.on_machines("run-1"), 0, "{also:?}");
    sim
}

/// Ends the outage: what wasn't cancelled is served, the rest stays ended.
fn settle(mut sim: Simulation) {
    sim.kv_store.watches_stalled = false;
    sim.end_kv_store_outage();
    sim.run_for(20_000);
    assert_eq!(sim.on_machines("run-1"), 0);
    assert_eq!(sim.on_machines("run-2"), 8);
    for node in 0..3 {
        assert_eq!(sim.poll(node, "run-1").1, "cancelled");
        assert_eq!(sim.poll(node, "run-2").1, "running");
    }
}

#[test]
fn a_cancellation_that_a_refused_leader_missed_ends_its_tasks_in_a_later_outage() {
    for refused_ms in [100, 1000, 2000] {
        let sim = gap(Also::Nothing, refused_ms);
        assert_eq!(sim.on_machines("run-2"), 8, "what all know lives on");
        settle(sim);
    }
}

#[test]
fn the_gap_with_the_confirming_node_restarted_inside_the_outage() {
    settle(gap(Also::ConfirmerRestarts, 1000));
}

#[test]
fn the_gap_after_two_changes_of_leader() {
    settle(gap(Also::TwoChanges, 1000));
}

#[test]
fn the_gap_with_the_answer_to_the_cancellation_lost() {
    settle(gap(Also::AnswerLost, 1000));
}

/// A leader that only workers reach can't learn of cancellations: tasks whose leases it
/// alone renews end in time.
#[test]
fn a_leader_that_nobody_can_tell_lets_leases_end() {
    for cloud_away in [false, true] {
        let mut sim = two_services();
        sim.cloud_unavailable = cloud_away;
        let leader = sim.leader().unwrap();
        refuse(&mut sim, leader, true);
        sim.run_for(1000);
        assert_eq!(sim.cancel((leader + 1) % 3, "run-1").1, "cancelled");
        sim.run_for(300);
        sim.kv_store.unavailable = true;
        sim.run_for(CANCEL_MS + 15_000);
        assert_eq!(sim.on_machines("run-1"), 0);
        heal(&mut sim);
        sim.cloud_unavailable = false;
        sim.end_kv_store_outage();
        sim.run_for(30_000);
        assert_eq!(sim.on_machines("run-2"), 8, "is served again");
    }
}

/// A machine that hangs meanwhile and resumes within its lease learns of the cancellation
/// with the first reply, or its lease expires.
#[test]
fn the_gap_with_a_machine_that_hangs_and_goes_on() {
    for hang_ms in [4000, 9000, 14_000, 35_000] {
        let mut sim = two_services();
        let leader = sim.leader().unwrap();
        refuse(&mut sim, leader, true);
        sim.run_for(1000);
        sim.workers.get_mut("vm-a").unwrap().unresponsive = true;
        assert_eq!(sim.cancel((leader + 1) % 3, "run-1").1, "cancelled");
        sim.run_for(300);
        sim.kv_store.unavailable = true;
        heal(&mut sim);
        sim.run_for(hang_ms);
        sim.workers.get_mut("vm-a").unwrap().unresponsive = false;
        sim.run_for(45_000 - hang_ms);
        assert_eq!(sim.on_machines("run-1"), 0);
        settle(sim);
    }
}

/// A leader elected just before an outage, which can't read the records until its end,
/// once answered heartbeats and stopped nothing.
#[test]
fn a_leader_still_loading_in_an_outage_stops_what_it_knows_is_cancelled() {
    let mut sim = two_services();
    let leader = sim.leader().unwrap();
    let other = (leader + 1) % 3;
    // Whoever leads next can't read the placements.
    sim.fault_injector = Box::new(move |_, _, call| match &call.destination {
        Destination::KvStore if call.path.contains("under=p/") => Delivery::Rejected,
        Destination::Worker(_) => Delivery::RequestLost,
        _ => Delivery::Normal,
    });
    sim.kill(leader);
    sim.run_for(4000);
    let next = sim.leader().unwrap();
    assert_eq!(sim.cancel(3 - leader - next, "run-1").1, "cancelled");
    sim.run_for(300);
    sim.kv_store.unavailable = true;
    sim.start(leader);
    sim.run_for(CANCEL_MS + 15_000);
    assert_eq!(sim.on_machines("run-1"), 0, "{other}");
    heal(&mut sim);
    settle(sim);
}

/// A start without effect is repeated; a leader that couldn't learn of cancellations once
/// repeated it long after the job was cancelled.
#[test]
fn a_leader_that_nobody_can_tell_repeats_no_start() {
    let mut sim = running_cluster(3);
    let leader = sim.leader().unwrap();
    for m in sim.workers.values_mut() {
        m.unresponsive = true;
    }
    assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
    sim.run_for(200);
    assert_eq!(sim.on_machines("run-1"), 0, "the start is lost");
    sim.kv_store.watches_stalled = true;
    refuse(&mut sim, leader, true);
    assert_eq!(sim.cancel((leader + 1) % 3, "run-1").1, "cancelled");
    sim.kv_store.unavailable = true;
    sim.run_for(3000);
    for m in sim.workers.values_mut() {
        m.unresponsive = false;
        m.node = leader;
    }
    sim.run_for(15_000);
    let heard = sim
        .heartbeat_responses
        .iter()
        .any(|(_, n, s)| (*n, *s) == (leader, 200));
    assert!(heard, "they report to it");
    let late = &sim.observer.starts_after_cancel;
    assert!(late.is_empty(), "{late:?}");
}

mod knowledge {
    //! The actor by itself: when the watermark moves, and when it must not.

    use lilacfork::cancellations::{CancellationBounds, Cancellations, CancellationsKvCall};
    use lilacfork::ids::JobId;
    use lilacfork::kv_client::KvResponse;
    use lilacfork::messages::Now;
    use lilacfork::wire::peers::ConfirmedCancellations;
    use serde_json::json;

    fn at(ms: u64) -> Now {
        Now { ms, wall_ms: ms }
    }

    fn node(name: &str, incarnation: u64) -> Cancellations {
        let bounds = CancellationBounds {
            heartbeat_interval_ms: 1000,
            cancel_ms: 30_000,
            max_lag_ms: 18_500,
        };
        let peers = ["n-0", "n-1", "n-2"].into_iter().filter(|p| *p != name);
        Cancellations::new(name, incarnation, bounds, peers)
    }

    fn ok(body: serde_json::Value) -> KvResponse {
        KvResponse::Status(200, body.to_string().into_bytes())
    }

    /// A complete read, asked for and answered at these times.
    fn read(n: &mut Cancellations, asked_ms: u64, answered_ms: u64) {
        let mut out = Vec::new();
        n.tick(at(asked_ms), &mut out);
        let call = out.pop().expect("it asks").tag;
        let body = match call {
            CancellationsKvCall::List => json!({"rows": [], "tirage": 5}),
            CancellationsKvCall::Poll => json!({"events": [], "tirage": 5}),
        };
        n.on_kv_response(at(answered_ms), call, &ok(body), &mut out);
        assert!(out.is_empty());
    }

    /// `n` asks its peer `index`, which is `peer`; its new jobs.
    fn pull(n: &mut Cancellations, index: usize, peer: &Cancellations, asked_ms: u64) -> usize {
        let cursor = n.cursor(index).unwrap();
        let message = peer.confirmations_after(&cursor);
        n.receive_confirmations(at(asked_ms + 10), index, Some(asked_ms), &message)
            .len()
    }

    fn id(n: u32) -> JobId {
        JobId::new(&format!("run-{n}"))
    }

    /// Three nodes; the first has read once and knows both others.
    fn three() -> (Cancellations, Cancellations, Cancellations) {
        let (mut n, p1, p2) = (node("n-0", 1), node("n-1", 2), node("n-2", 3));
        pull(&mut n, 0, &p1, 0);
        pull(&mut n, 1, &p2, 0);
        read(&mut n, 1000, 1040);
        (n, p1, p2)
    }

    #[test]
    fn a_new_process_has_no_watermark_until_it_has_read() {
        let mut n = node("n-0", 1);
        assert!(!n.may_renew_leases(at(10)));
        pull(&mut n, 0, &node("n-1", 2), 20);
        pull(&mut n, 1, &node("n-2", 3), 20);
        assert_eq!(n.watermark_ms(), None, "peers alone don't tell the past");
        read(&mut n, 100, 900);
        assert_eq!(n.watermark_ms(), Some(100), "dated by the question");
        assert!(n.may_renew_leases(at(18_600)) && !n.may_renew_leases(at(18_601)));
    }

    #[test]
    fn all_peers_together_move_the_watermark_and_one_alone_does_not() {
        let (mut n, mut p1, p2) = three();
        p1.confirm(at(2000), &id(1));
        assert_eq!(pull(&mut n, 0, &p1, 3000), 1);
        assert!(n.is_cancelled(&id(1)));
        assert_eq!(n.watermark_ms(), Some(1000), "the other may know more");
        pull(&mut n, 1, &p2, 4000);
        assert_eq!(n.watermark_ms(), Some(3000));
    }

    #[test]
    fn a_restarted_peer_stops_the_watermark_until_the_next_read() {
        let (mut n, mut p1, p2) = three();
        pull(&mut n, 0, &p1, 1500);
        pull(&mut n, 1, &p2, 1500);
        assert_eq!(n.watermark_ms(), Some(1500));
        // Confirmed, and no node was informed before it ended.
        p1.confirm(at(2000), &id(1));
        let p1 = node("n-1", 22);
        for asked_ms in [3000, 4000] {
            pull(&mut n, 0, &p1, asked_ms);
            pull(&mut n, 1, &p2, asked_ms);
        }
        assert_eq!(n.watermark_ms(), Some(1500));
        read(&mut n, 5000, 5040);
        pull(&mut n, 0, &p1, 6000);
        pull(&mut n, 1, &p2, 6000);
        assert_eq!(n.watermark_ms(), Some(6000));
    }

    #[test]
    fn a_gap_in_the_sequence_numbers_stops_the_watermark_until_the_next_read() {
        let (mut n, mut p1, p2) = three();
        // More than it keeps.
        for k in 0..5000 {
            p1.confirm(at(2000), &id(k));
        }
        for asked_ms in [3000, 4000, 5000] {
            pull(&mut n, 0, &p1, asked_ms);
            pull(&mut n, 1, &p2, asked_ms);
        }
        assert_eq!(n.watermark_ms(), Some(1000));
        read(&mut n, 6000, 6040);
        pull(&mut n, 0, &p1, 7000);
        pull(&mut n, 1, &p2, 7000);
        assert_eq!(n.watermark_ms(), Some(7000));
    }

    #[test]
    fn many_confirmations_come_in_several_messages_and_none_counts_before_the_last() {
        let (mut n, mut p1, p2) = three();
        for k in 0..1200 {
            p1.confirm(at(2000), &id(k));
        }
        let mut new = 0;
        for asked_ms in [3000, 3100, 3200] {
            assert_eq!(n.watermark_ms(), Some(1000));
            new += pull(&mut n, 0, &p1, asked_ms);
            pull(&mut n, 1, &p2, asked_ms);
        }
        assert_eq!((new, n.watermark_ms()), (1200, Some(3200)));
    }

    #[test]
    fn an_unsolicited_message_informs_but_moves_no_watermark() {
        let (mut n, mut p1, p2) = three();
        p1.on_acknowledgement(0, n.cursor(0).unwrap());
        assert!(p1.unacknowledged(0).is_none());
        p1.confirm(at(2000), &id(1));
        let message = p1.unacknowledged(0).expect("something to tell");
        assert_eq!(
            n.receive_confirmations(at(2010), 0, None, &message).len(),
            1
        );
        pull(&mut n, 1, &p2, 2500);
        assert_eq!(n.watermark_ms(), Some(1000));
        p1.on_acknowledgement(0, n.cursor(0).unwrap());
        assert!(p1.unacknowledged(0).is_none(), "and is told once");
    }

    #[test]
    fn a_late_response_of_an_earlier_process_counts_for_its_own_time_only() {
        let (mut n, mut p1, p2) = three();
        let cursor = n.cursor(0).unwrap();
        let late = p1.confirmations_after(&cursor);
        p1.confirm(at(1800), &id(1));
        let p1 = node("n-1", 22);
        pull(&mut n, 0, &p1, 3000);
        pull(&mut n, 1, &p2, 3000);
        // Asked for at 1500, before the confirmation and the end.
        n.receive_confirmations(at(3100), 0, Some(1500), &late);
        pull(&mut n, 1, &p2, 3200);
        assert!(n.watermark_ms() <= Some(1500), "{:?}", n.watermark_ms());
    }

    #[test]
    fn malformed_messages_are_dropped() {
        let (mut n, p1, p2) = three();
        let sound = p1.confirmations_after(&n.cursor(0).unwrap());
        let job = vec!["run-7".to_string()];
        for message in [
            ConfirmedCancellations {
                node: "n-2".into(),
                ..sound.clone()
            },
            ConfirmedCancellations {
                incarnation: 0,
                ..sound.clone()
            },
            ConfirmedCancellations {
                first: 0,
                ..sound.clone()
            },
            ConfirmedCancellations {
                first: u64::MAX,
                jobs: job.clone(),
                ..sound.clone()
            },
            ConfirmedCancellations {
                first: 3,
                total: 1,
                jobs: job.clone(),
                ..sound.clone()
            },
            ConfirmedCancellations {
                first: 1,
                total: 1,
                jobs: vec!["a/../b".into()],
                ..sound.clone()
            },
        ] {
            assert!(
                n.receive_confirmations(at(2000), 0, Some(1990), &message)
                    .is_empty(),
                "{message:?}"
            );
        }
        pull(&mut n, 1, &p2, 2000);
        assert_eq!(n.watermark_ms(), Some(1000));
        assert!(n
            .receive_confirmations(at(2000), 9, Some(1990), &sound)
            .is_empty());
    }

    #[test]
    fn a_read_that_fails_or_falls_too_far_behind_moves_nothing() {
        let (mut n, ..) = three();
        let mut out = Vec::new();
        n.tick(at(2000), &mut out);
        let gone = KvResponse::Status(410, b"{}".to_vec());
        n.on_kv_response(at(2001), CancellationsKvCall::Poll, &gone, &mut out);
        out.clear();
        n.tick(at(2002), &mut out);
        assert_eq!(out.pop().unwrap().tag, CancellationsKvCall::List, "anew");
        let page = json!({"rows": [{"k": "j/run-5", "v": {"c": 7}, "retouche": 3}],
            "truncated": true, "tirage": 9});
        n.on_kv_response(at(2010), CancellationsKvCall::List, &ok(page), &mut out);
        assert_eq!(n.watermark_ms(), Some(1000), "half a list is none");
        n.on_kv_response(
            at(4000),
            CancellationsKvCall::List,
            &KvResponse::Indeterminate,
            &mut out,
        );
        assert_eq!(n.watermark_ms(), Some(1000));
        assert!(!n.is_cancelled(&id(5)));
    }
}

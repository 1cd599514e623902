//! Tests of the cancellations actor alone: which events advance its watermark, and which must
//! not.

use lilacfork::cancellations::{CancellationBounds, Cancellations, CancellationsKvCall};
use lilacfork::ids::JobId;
use lilacfork::kv_client::KvResponse;
use lilacfork::messages::Now;
use lilacfork::wire::peers::ConfirmedCancellations;
use serde_json::json;

fn time(ms: u64) -> Now {
    Now { ms, wall_ms: ms }
}

fn new_actor(name: &str, incarnation: u64) -> Cancellations {
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

/// Performs a complete read of the key-value store. The actor requests the read at
/// `requested_ms` and receives the response at `responded_ms`.
fn complete_read(actor: &mut Cancellations, requested_ms: u64, responded_ms: u64) {
    let mut out = Vec::new();
    actor.tick(time(requested_ms), &mut out);
    let call = out.pop().expect("no read was requested").tag;
    let body = match call {
        CancellationsKvCall::List => json!({"rows": [], "tirage": 5}),
        CancellationsKvCall::Poll => json!({"events": [], "tirage": 5}),
    };
    actor.on_kv_response(time(responded_ms), call, &ok(body), &mut out);
    assert!(out.is_empty());
}

/// Requests the confirmations of `peer`, which is peer number `index` of the actor.
/// Returns the number of jobs that are newly known to be cancelled.
fn request_confirmations(
    actor: &mut Cancellations,
    index: usize,
    peer: &Cancellations,
    requested_ms: u64,
) -> usize {
    let cursor = actor.cursor(index).unwrap();
    let message = peer.confirmations_after(&cursor);
    actor
        .receive_confirmations(time(requested_ms + 10), index, Some(requested_ms), &message)
        .len()
}

fn job_id(number: u32) -> JobId {
    JobId::new(&format!("run-{number}"))
}

/// Creates the actors of three controllers. The first actor has received a response from each
/// of the others, and has then completed a read that it requested at 1000 ms.
fn three_actors() -> (Cancellations, Cancellations, Cancellations) {
    let (mut actor, peer_1, peer_2) = (
        new_actor("n-0", 1),
        new_actor("n-1", 2),
        new_actor("n-2", 3),
    );
    request_confirmations(&mut actor, 0, &peer_1, 0);
    request_confirmations(&mut actor, 1, &peer_2, 0);
    complete_read(&mut actor, 1000, 1040);
    (actor, peer_1, peer_2)
}

#[test]
fn new_process_has_no_watermark_before_first_complete_read() {
    let mut actor = new_actor("n-0", 1);
    assert!(!actor.may_renew_leases(time(10)));
    request_confirmations(&mut actor, 0, &new_actor("n-1", 2), 20);
    request_confirmations(&mut actor, 1, &new_actor("n-2", 3), 20);
    assert_eq!(
        actor.watermark_ms(),
        None,
        "responses of newly started peers set a watermark"
    );
    complete_read(&mut actor, 100, 900);
    assert_eq!(
        actor.watermark_ms(),
        Some(100),
        "the watermark is not the time at which the read was requested"
    );
    assert!(actor.may_renew_leases(time(18_600)) && !actor.may_renew_leases(time(18_601)));
}

#[test]
fn watermark_advances_only_after_responses_from_all_peers() {
    let (mut actor, mut peer_1, peer_2) = three_actors();
    peer_1.confirm(time(2000), &job_id(1));
    assert_eq!(request_confirmations(&mut actor, 0, &peer_1, 3000), 1);
    assert!(actor.is_cancelled(&job_id(1)));
    assert_eq!(
        actor.watermark_ms(),
        Some(1000),
        "the watermark advanced without a response from the second peer"
    );
    request_confirmations(&mut actor, 1, &peer_2, 4000);
    assert_eq!(actor.watermark_ms(), Some(3000));
}

#[test]
fn restarted_peer_holds_watermark_until_next_complete_read() {
    let (mut actor, mut peer_1, peer_2) = three_actors();
    request_confirmations(&mut actor, 0, &peer_1, 1500);
    request_confirmations(&mut actor, 1, &peer_2, 1500);
    assert_eq!(actor.watermark_ms(), Some(1500));
    // The peer confirms a cancellation and restarts before any controller receives it.
    peer_1.confirm(time(2000), &job_id(1));
    let peer_1 = new_actor("n-1", 22);
    for requested_ms in [3000, 4000] {
        request_confirmations(&mut actor, 0, &peer_1, requested_ms);
        request_confirmations(&mut actor, 1, &peer_2, requested_ms);
    }
    assert_eq!(actor.watermark_ms(), Some(1500));
    complete_read(&mut actor, 5000, 5040);
    request_confirmations(&mut actor, 0, &peer_1, 6000);
    request_confirmations(&mut actor, 1, &peer_2, 6000);
    assert_eq!(actor.watermark_ms(), Some(6000));
}

#[test]
fn gap_in_sequence_numbers_holds_watermark_until_next_complete_read() {
    let (mut actor, mut peer_1, peer_2) = three_actors();
    // The peer confirms more cancellations than its log retains.
    for k in 0..5000 {
        peer_1.confirm(time(2000), &job_id(k));
    }
    for requested_ms in [3000, 4000, 5000] {
        request_confirmations(&mut actor, 0, &peer_1, requested_ms);
        request_confirmations(&mut actor, 1, &peer_2, requested_ms);
    }
    assert_eq!(actor.watermark_ms(), Some(1000));
    complete_read(&mut actor, 6000, 6040);
    request_confirmations(&mut actor, 0, &peer_1, 7000);
    request_confirmations(&mut actor, 1, &peer_2, 7000);
    assert_eq!(actor.watermark_ms(), Some(7000));
}

#[test]
fn confirmations_in_several_messages_advance_watermark_only_after_the_last() {
    let (mut actor, mut peer_1, peer_2) = three_actors();
    for k in 0..1200 {
        peer_1.confirm(time(2000), &job_id(k));
    }
    let mut received = 0;
    for requested_ms in [3000, 3100, 3200] {
        assert_eq!(actor.watermark_ms(), Some(1000));
        received += request_confirmations(&mut actor, 0, &peer_1, requested_ms);
        request_confirmations(&mut actor, 1, &peer_2, requested_ms);
    }
    assert_eq!((received, actor.watermark_ms()), (1200, Some(3200)));
}

#[test]
fn unrequested_message_adds_cancellations_without_advancing_watermark() {
    let (mut actor, mut peer_1, peer_2) = three_actors();
    peer_1.on_acknowledgement(0, actor.cursor(0).unwrap());
    assert!(peer_1.unacknowledged(0).is_none());
    peer_1.confirm(time(2000), &job_id(1));
    let message = peer_1
        .unacknowledged(0)
        .expect("no unacknowledged confirmation");
    assert_eq!(
        actor
            .receive_confirmations(time(2010), 0, None, &message)
            .len(),
        1
    );
    request_confirmations(&mut actor, 1, &peer_2, 2500);
    assert_eq!(actor.watermark_ms(), Some(1000));
    peer_1.on_acknowledgement(0, actor.cursor(0).unwrap());
    assert!(
        peer_1.unacknowledged(0).is_none(),
        "an acknowledged confirmation is still unacknowledged"
    );
}

#[test]
fn late_response_of_earlier_process_advances_watermark_at_most_to_its_request() {
    let (mut actor, mut peer_1, peer_2) = three_actors();
    let cursor = actor.cursor(0).unwrap();
    let late = peer_1.confirmations_after(&cursor);
    peer_1.confirm(time(1800), &job_id(1));
    let peer_1 = new_actor("n-1", 22);
    request_confirmations(&mut actor, 0, &peer_1, 3000);
    request_confirmations(&mut actor, 1, &peer_2, 3000);
    // Requested at 1500 ms, before the confirmation and the restart of the peer.
    actor.receive_confirmations(time(3100), 0, Some(1500), &late);
    request_confirmations(&mut actor, 1, &peer_2, 3200);
    assert!(
        actor.watermark_ms() <= Some(1500),
        "the watermark exceeds the time of the late response's request: {:?}",
        actor.watermark_ms()
    );
}

#[test]
fn malformed_messages_are_dropped() {
    let (mut actor, peer_1, peer_2) = three_actors();
    let valid = peer_1.confirmations_after(&actor.cursor(0).unwrap());
    let job = vec!["run-7".to_string()];
    for message in [
        ConfirmedCancellations {
            node: "n-2".into(),
            ..valid.clone()
        },
        ConfirmedCancellations {
            incarnation: 0,
            ..valid.clone()
        },
        ConfirmedCancellations {
            first: 0,
            ..valid.clone()
        },
        ConfirmedCancellations {
            first: u64::MAX,
            jobs: job.clone(),
            ..valid.clone()
        },
        ConfirmedCancellations {
            first: 3,
            total: 1,
            jobs: job.clone(),
            ..valid.clone()
        },
        ConfirmedCancellations {
            first: 1,
            total: 1,
            jobs: vec!["a/../b".into()],
            ..valid.clone()
        },
    ] {
        assert!(
            actor
                .receive_confirmations(time(2000), 0, Some(1990), &message)
                .is_empty(),
            "a malformed message was accepted: {message:?}"
        );
    }
    request_confirmations(&mut actor, 1, &peer_2, 2000);
    assert_eq!(actor.watermark_ms(), Some(1000));
    assert!(actor
        .receive_confirmations(time(2000), 9, Some(1990), &valid)
        .is_empty());
}

#[test]
fn failed_or_incomplete_read_does_not_advance_watermark() {
    let (mut actor, ..) = three_actors();
    let mut out = Vec::new();
    actor.tick(time(2000), &mut out);
    let compacted = KvResponse::Status(410, b"{}".to_vec());
    actor.on_kv_response(time(2001), CancellationsKvCall::Poll, &compacted, &mut out);
    out.clear();
    actor.tick(time(2002), &mut out);
    assert_eq!(
        out.pop().unwrap().tag,
        CancellationsKvCall::List,
        "the actor did not request a new list after status 410"
    );
    let page = json!({"rows": [{"k": "j/run-5", "v": {"c": 7}, "retouche": 3}],
        "truncated": true, "tirage": 9});
    actor.on_kv_response(time(2010), CancellationsKvCall::List, &ok(page), &mut out);
    assert_eq!(
        actor.watermark_ms(),
        Some(1000),
        "an incomplete list counted as a complete read"
    );
    actor.on_kv_response(
        time(4000),
        CancellationsKvCall::List,
        &KvResponse::Indeterminate,
        &mut out,
    );
    assert_eq!(actor.watermark_ms(), Some(1000));
    assert!(!actor.is_cancelled(&job_id(5)));
}

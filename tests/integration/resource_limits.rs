//! Fleet sizes that a fixed bound once did not allow.

use crate::simulation::{service, Simulation};
use lilacfork::gateway::{Gateway, GatewayEffects};
use lilacfork::http::MAX_PEER_BODY_BYTES;
use lilacfork::ids::{JobId, Term};
use lilacfork::kv_client::KvResponse;
use lilacfork::messages::TaskProgress;
use lilacfork::messages::{ConnectionId, Destination, Now};
use lilacfork_replica_groups::classes::ReplicaClasses;
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;

/// At 4,000 machines there may be as many jobs as tasks; a leader's first heartbeat held
/// a count of each, and from some 18,000 jobs on no peer accepted it: none learned that
/// there was a leader, at that and at every later try.
#[test]
fn heartbeats_of_a_leader_of_many_jobs_are_accepted_by_its_peers() {
    let mut sim = Simulation::new(3);
    sim.capacity = 0;
    // So many machines that the books aren't counted anew at every event.
    for n in 0..41 {
        sim.add_machine(&format!("vm-{n}"), "a", false, true);
    }
    for n in 0..24_000 {
        let mut spec = service(&format!("run-{n:06}"), 1);
        spec["gabarit"] = json!("help");
        sim.observer.record_submission(&spec);
        sim.kv_store.revision += 1;
        let record = json!({"spec": spec, "t": 1_000_000});
        let key = format!("j/run-{n:06}");
        sim.kv_store
            .items
            .insert(key, (record, sim.kv_store.revision, None));
    }
    let largest = Rc::new(Cell::new(0));
    let seen = largest.clone();
    sim.fault_injector = Box::new(move |_, _, call| {
        if matches!(call.destination, Destination::Peer(_)) {
            seen.set(seen.get().max(call.body.len()));
        }
        crate::simulation::Delivery::Normal
    });
    sim.run_for(20_000);
    assert!(
        largest.get() <= MAX_PEER_BODY_BYTES,
        "{} bytes",
        largest.get()
    );
    assert!(largest.get() > 16_000, "counts are told all the same");
    let leader = sim.leader().expect("somebody leads");
    // Those that run are shown by a peer, however many wait.
    let running = sim.workers.values().flat_map(|worker| worker.tasks.keys());
    let last = running.max().expect("tasks run").clone();
    let (job, _) = last.split_once('/').expect("a task's name");
    assert_eq!(sim.poll((leader + 1) % 3, job), (200, "running".into()));
}

/// 20,000 jobs were remembered, however much memory there was: of more, running ones were
/// shown as pending.
#[test]
fn what_is_remembered_of_jobs_follows_the_memory() {
    let mut settings = crate::simulation::settings("n-0", 3);
    settings.site.limits.ram_mb = 512.0;
    let mut gateway = Gateway::new(Rc::new(settings), ReplicaClasses::default(), 2000);
    let running = TaskProgress {
        done: 0,
        running: 1,
        multi_host: false,
    };
    let id = |n: u32| JobId::new(&format!("run-{n}"));
    for n in 0..60_000 {
        gateway.record_progress(&id(n), Term(1), running);
    }
    let now = Now::default();
    let mut out = GatewayEffects::default();
    gateway.query(now, ConnectionId(1), "run-0", &mut out);
    let call = out.calls.pop().expect("its record is read");
    let record = json!({"k": "j/run-0", "v": {"spec": service("run-0", 1), "t": 0}, "retouche": 7});
    let answer = KvResponse::Status(200, record.to_string().into_bytes());
    gateway.on_kv_response(now, call.tag, answer, &mut out);
    let (_, reply) = out.replies.pop().expect("an answer");
    let shown: serde_json::Value = serde_json::from_slice(&reply.body).expect("JSON");
    assert_eq!(shown["etat"], "running", "the first of 60,000");
}

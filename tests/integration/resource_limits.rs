//! Tests with numbers of jobs that exceeded the fixed limits of earlier versions.

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

/// At 4,000 machines there may be as many jobs as tasks. In an earlier version, a leader's first
/// heartbeat contained the progress of every job, and from about 18,000 jobs on the heartbeat was
/// too large to be accepted by any peer. The peers didn't learn of the leader, because every retry
/// was rejected too.
#[test]
fn peers_accept_heartbeats_of_a_leader_with_many_jobs() {
    let mut sim = Simulation::new(3);
    sim.capacity = 0;
    // With more than 40 machines, the simulation skips the controllers' invariant checks, which
    // would take too long with this many jobs.
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
    let largest_body_bytes = Rc::new(Cell::new(0));
    let largest_seen_bytes = largest_body_bytes.clone();
    sim.fault_injector = Box::new(move |_, _, call| {
        if matches!(call.destination, Destination::Peer(_)) {
            largest_seen_bytes.set(largest_seen_bytes.get().max(call.body.len()));
        }
        crate::simulation::Delivery::Normal
    });
    sim.run_for(20_000);
    assert!(
        largest_body_bytes.get() <= MAX_PEER_BODY_BYTES,
        "the largest message between controllers has {} bytes",
        largest_body_bytes.get()
    );
    assert!(
        largest_body_bytes.get() > 16_000,
        "the heartbeats lack job progress"
    );
    let leader = sim.leader().expect("a leader is elected");
    // A follower reports running jobs as running, however many jobs are pending.
    let running = sim.workers.values().flat_map(|worker| worker.tasks.keys());
    let last_task = running.max().expect("tasks run").clone();
    let (job, _) = last_task.split_once('/').expect("a task name");
    assert_eq!(sim.query((leader + 1) % 3, job), (200, "running".into()));
}

/// In an earlier version, the gateway kept the progress of at most 20,000 jobs, independent of the
/// available memory. Beyond that number, running jobs were reported as pending.
#[test]
fn gateway_job_progress_capacity_scales_with_memory() {
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
    let call = out.calls.pop().expect("a read of the job's record");
    let record = json!({"k": "j/run-0", "v": {"spec": service("run-0", 1), "t": 0}, "retouche": 7});
    let response = KvResponse::Status(200, record.to_string().into_bytes());
    gateway.on_kv_response(now, call.tag, response, &mut out);
    let (_, reply) = out.replies.pop().expect("a reply to the query");
    let reported: serde_json::Value =
        serde_json::from_slice(&reply.body).expect("a reply body in JSON");
    assert_eq!(
        reported["etat"], "running",
        "the first of 60,000 jobs is not reported as running"
    );
}

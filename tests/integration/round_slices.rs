//! Tests of scheduling rounds that take many slices, and of events between two slices.

use crate::simulation::fixtures::task_starts;
use crate::simulation::{array, service, Simulation};
use lilacfork::node::Node;
use serde_json::{json, Value};

/// The share of a core with which a slice may examine only thirty entries, enough for a few jobs.
const SMALL_CORE_SHARE: f64 = 0.0003;
/// The number of entries that a slice may examine with the default share of a core, a tenth. A
/// slice may take a three-hundredth of the leader's lease of 3 s, and examining an entry takes
/// 0.1 us of a whole core.
const DEFAULT_SLICE_ENTRIES: u64 = 10_000;

fn leader(sim: &Simulation) -> &Node {
    let leader = sim.leader().expect("a leader is elected");
    sim.nodes[leader].as_ref().expect("the leader is up")
}

/// Creates a cluster without machines, submits jobs of two tasks each, and then adds machines, so
/// that all jobs wait in the same round.
fn cluster_with_queued_jobs(jobs: u32, machines: usize) -> Simulation {
    let mut sim = Simulation::with_cores(3, SMALL_CORE_SHARE);
    sim.capacity = 0;
    sim.task_duration_ms = 4000;
    sim.run_until(5000);
    for n in 0..jobs {
        sim.request(
            n as usize % 3,
            "POST",
            "/v2/runs",
            array(&format!("run-{n:03}"), 2),
        );
        sim.run_for(50);
    }
    for n in 0..machines {
        sim.add_machine(&format!("vm-{n:03}"), "a", false, true);
    }
    sim
}

/// Runs the simulation until at least this number of jobs is queued in the current round.
fn run_until_queued_in_round(sim: &mut Simulation, queued: usize) {
    for _ in 0..20_000 {
        if leader(sim).queued_in_round() >= queued {
            return;
        }
        sim.run_for(1);
    }
    panic!("no round had {queued} jobs in its queue");
}

fn assert_all_done(sim: &mut Simulation, jobs: u32) {
    for n in 0..jobs {
        let id = format!("run-{n:03}");
        let node = sim.leader().expect("a leader is elected");
        assert_eq!(sim.query(node, &id).1, "done", "{id}");
    }
}

#[test]
fn round_with_many_jobs_runs_in_slices_and_completes() {
    let mut sim = cluster_with_queued_jobs(120, 20);
    run_until_queued_in_round(&mut sim, 100);
    let before = leader(&sim).queued_in_round();
    sim.run_for(1);
    let after = leader(&sim).queued_in_round();
    assert!(
        after < before && after + 30 > before,
        "{before} queued before the slice, {after} after it"
    );
    sim.run_for(60_000);
    assert_all_done(&mut sim, 120);
}

/// A queued job that is cancelled between two slices of the round must not start.
#[test]
fn job_cancelled_between_slices_is_not_placed() {
    let mut sim = cluster_with_queued_jobs(250, 40);
    run_until_queued_in_round(&mut sim, 240);
    let node = sim.leader().unwrap();
    let request_number = sim.request(node, "POST", "/v2/runs/run-249/abort", Value::Null);
    while !sim.replies.contains_key(&request_number) {
        sim.run_for(1);
    }
    assert_eq!(
        sim.status_and_state(request_number),
        (200, "cancelled".into())
    );
    assert!(
        leader(&sim).queued_in_round() > 0,
        "the round is still in progress"
    );
    assert_eq!(task_starts(&sim, "run-249"), 0);
    sim.run_for(60_000);
    assert_eq!(task_starts(&sim, "run-249"), 0);
    assert_all_done(&mut sim, 249);
}

/// An urgent job that is submitted during a long round must not wait until the round ends.
#[test]
fn urgent_job_submitted_between_slices_starts_before_round_ends() {
    let mut sim = cluster_with_queued_jobs(250, 40);
    run_until_queued_in_round(&mut sim, 240);
    let node = sim.leader().unwrap();
    sim.request(node, "POST", "/v2/runs", service("run-urgent", 1));
    while task_starts(&sim, "run-urgent") == 0 {
        sim.run_for(1);
        assert!(
            leader(&sim).queued_in_round() > 0,
            "the urgent job starts before the round ends"
        );
    }
    let others = sim.start_log.len() - 1;
    assert!(
        others < 320,
        "{others} of the 320 tasks that fit started before the urgent job"
    );
}

/// Placements that were not stored are lost with their leader. No task may run twice and no job may
/// be lost.
#[test]
fn leader_crash_during_round_loses_no_jobs() {
    let mut sim = cluster_with_queued_jobs(120, 20);
    run_until_queued_in_round(&mut sim, 60);
    let killed_leader = sim.leader().unwrap();
    sim.kill(killed_leader);
    sim.run_for(8000);
    assert_ne!(sim.leader(), Some(killed_leader));
    sim.start(killed_leader);
    sim.run_for(60_000);
    assert_all_done(&mut sim, 120);
}

/// Creates a cluster with this number of idle machines whose workers send heartbeats.
fn idle_fleet(machines: usize) -> Simulation {
    let mut sim = Simulation::new(3);
    sim.capacity = 0;
    sim.task_duration_ms = 600_000;
    for n in 0..machines {
        sim.add_machine(&format!("vm-{n:04}"), "a", false, true);
        if n % 100 == 0 {
            // Staggers the heartbeats of the workers.
            sim.run_for(10);
        }
    }
    sim.run_for(5000);
    sim
}

#[test]
fn ten_thousand_tasks_avoid_unresponsive_fifth_of_two_thousand_machines() {
    let mut sim = idle_fleet(2000);
    for n in (0..2000).step_by(5) {
        sim.workers
            .get_mut(&format!("vm-{n:04}"))
            .unwrap()
            .unresponsive = true;
    }
    // Machines without a heartbeat for three intervals receive no new tasks.
    sim.run_for(4000);
    let mut spec = array("run-1", 10_000);
    spec["echeanceS"] = json!(600.0);
    let node = sim.leader().unwrap();
    assert_eq!(sim.submit(node, &spec), 201);
    sim.run_for(15_000);
    assert_eq!(task_starts(&sim, "run-1"), 10_000);
    let on_unresponsive_machine = |line: &&String| {
        let machine = line
            .split(' ')
            .nth(1)
            .and_then(|name| name.strip_prefix("vm-"));
        machine
            .and_then(|n| n.parse::<u32>().ok())
            .is_some_and(|n| n % 5 == 0)
    };
    assert_eq!(sim.start_log.iter().find(on_unresponsive_machine), None);
    let longest = leader(&sim).longest_slice();
    assert!(
        longest < 2 * DEFAULT_SLICE_ENTRIES,
        "the longest slice examined {longest} entries"
    );
}

/// A new leader reads the placements of 64,800 tasks on 8,100 machines page by page. No slice of
/// its rounds may examine too many entries.
#[test]
fn new_leader_loads_placements_of_8100_machines_without_long_slice() {
    // The stored records of one job with 24 replicas on three machines serve as templates.
    let mut small = idle_fleet(3);
    let mut spec = service("run-0000", 24);
    spec["gabarit"] = json!("help");
    assert_eq!(small.submit(0, &spec), 201);
    small.run_for(3000);
    assert_eq!(task_starts(&small, "run-0000"), 24);
    let stored = |prefix: &str| {
        let mut items = small.kv_store.items.iter();
        let (key, item) = items
            .find(|(key, _)| key.starts_with(prefix))
            .expect("a stored record");
        (key.clone(), item.0.to_string())
    };
    let templates = [stored("j/run-0000"), stored("p/run-0000")];

    // Controllers of a fleet of this size have a whole core, with which a slice examines 100,000
    // entries.
    let mut sim = Simulation::with_cores(3, 1.0);
    sim.capacity = 0;
    for n in 0..2700u32 {
        for (key, value) in &templates {
            let renamed = |text: &str| {
                let machines = (0..3).fold(text.to_string(), |text, m| {
                    // `vm+` marks the names that have been replaced already.
                    let to = format!("vm+{:04}", n * 3 + m);
                    text.replace(&format!("vm-{m:04}"), &to)
                });
                let job = machines.replace("run-0000", &format!("run-{n:04}"));
                job.replace("vm+", "vm-")
            };
            let value: Value = serde_json::from_str(&renamed(value)).unwrap();
            sim.kv_store.items.insert(renamed(key), (value, 1, None));
        }
    }
    sim.kv_store.revision = 1;
    sim.run_for(3000);
    let new_leader = leader(&sim);
    assert_eq!(new_leader.machines(), 8100);
    // Each machine is indexed once and examined once for pending capacity, which takes a quarter
    // of a slice.
    let longest = new_leader.longest_slice();
    assert!(
        longest < 25_000,
        "the longest slice examined {longest} entries"
    );
    // No task is considered lost before its machine has had time to send a heartbeat.
    sim.run_for(2000);
    assert_eq!(leader(&sim).machines(), 8100);
}

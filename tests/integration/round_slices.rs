//! Rounds that take many slices, and what happens between two of them.

use crate::simulation::fixtures::task_starts;
use crate::simulation::{array, service, Simulation};
use lilacfork::node::Node;
use serde_json::{json, Value};

/// With so small a share of a core a slice examines thirty entries, a few jobs.
const FEW_CORES: f64 = 0.0003;
/// Entries of a slice with the usual share of a core: a three hundredth of the leader's
/// lease of 3 s, at 0.1 us each.
const SLICE_ENTRIES: u64 = 10_000;

fn leader(sim: &Simulation) -> &Node {
    let leader = sim.leader().expect("somebody leads");
    sim.nodes[leader].as_ref().expect("the leader is up")
}

/// Jobs of two tasks that all wait when machines come up.
fn many_jobs_wait(jobs: u32, machines: usize) -> Simulation {
    let mut sim = Simulation::with_cores(3, FEW_CORES);
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

/// Runs until a round is under way in which so many jobs are queued.
fn run_into_a_round(sim: &mut Simulation, queued: usize) {
    for _ in 0..20_000 {
        if leader(sim).queued_in_round() >= queued {
            return;
        }
        sim.run_for(1);
    }
    panic!("no round with {queued} in its queue");
}

fn all_done(sim: &mut Simulation, jobs: u32) {
    for n in 0..jobs {
        let id = format!("run-{n:03}");
        let node = sim.leader().expect("somebody leads");
        assert_eq!(sim.poll(node, &id).1, "done", "{id}");
    }
}

#[test]
fn a_round_is_served_in_slices_and_ends_all_the_same() {
    let mut sim = many_jobs_wait(120, 20);
    run_into_a_round(&mut sim, 100);
    let before = leader(&sim).queued_in_round();
    sim.run_for(1);
    let after = leader(&sim).queued_in_round();
    assert!(
        after < before && after + 30 > before,
        "{before}, then {after}"
    );
    sim.run_for(60_000);
    all_done(&mut sim, 120);
}

/// A job that is cancelled between two slices doesn't start any more.
#[test]
fn what_is_cancelled_between_slices_is_not_placed() {
    let mut sim = many_jobs_wait(250, 40);
    run_into_a_round(&mut sim, 240);
    let node = sim.leader().unwrap();
    let user = sim.request(node, "POST", "/v2/runs/run-249/abort", Value::Null);
    while !sim.replies.contains_key(&user) {
        sim.run_for(1);
    }
    assert_eq!(sim.status_and_state(user), (200, "cancelled".into()));
    assert!(leader(&sim).queued_in_round() > 0, "the round goes on");
    assert_eq!(task_starts(&sim, "run-249"), 0);
    sim.run_for(60_000);
    assert_eq!(task_starts(&sim, "run-249"), 0);
    all_done(&mut sim, 249);
}

/// Urgent jobs that arrive during a long round don't wait for its end.
#[test]
fn urgent_work_that_arrives_between_slices_goes_before_the_rest() {
    let mut sim = many_jobs_wait(250, 40);
    run_into_a_round(&mut sim, 240);
    let node = sim.leader().unwrap();
    sim.request(node, "POST", "/v2/runs", service("run-urgent", 1));
    while task_starts(&sim, "run-urgent") == 0 {
        sim.run_for(1);
        assert!(
            leader(&sim).queued_in_round() > 0,
            "it starts before the round ends"
        );
    }
    let others = sim.start_log.len() - 1;
    assert!(
        others < 320,
        "there was room for 320 tasks, {others} had started"
    );
}

/// Placements that weren't stored are forgotten with their leader; nothing runs twice and
/// nothing is lost.
#[test]
fn a_leader_that_ends_in_the_middle_of_a_round_loses_nothing() {
    let mut sim = many_jobs_wait(120, 20);
    run_into_a_round(&mut sim, 60);
    let first = sim.leader().unwrap();
    sim.kill(first);
    sim.run_for(8000);
    assert_ne!(sim.leader(), Some(first));
    sim.start(first);
    sim.run_for(60_000);
    all_done(&mut sim, 120);
}

/// A fleet of so many idle machines that send heartbeats.
fn idle_fleet(machines: usize) -> Simulation {
    let mut sim = Simulation::new(3);
    sim.capacity = 0;
    sim.task_duration_ms = 600_000;
    for n in 0..machines {
        sim.add_machine(&format!("vm-{n:04}"), "a", false, true);
        if n % 100 == 0 {
            // Workers don't report in step.
            sim.run_for(10);
        }
    }
    sim.run_for(5000);
    sim
}

#[test]
fn a_fifth_of_two_thousand_machines_is_silent_while_ten_thousand_tasks_wait() {
    let mut sim = idle_fleet(2000);
    for n in (0..2000).step_by(5) {
        sim.workers
            .get_mut(&format!("vm-{n:04}"))
            .unwrap()
            .unresponsive = true;
    }
    // Machines that don't report for three intervals get nothing new.
    sim.run_for(4000);
    let mut spec = array("run-1", 10_000);
    spec["echeanceS"] = json!(600.0);
    let node = sim.leader().unwrap();
    assert_eq!(sim.submit(node, &spec), 201);
    sim.run_for(15_000);
    assert_eq!(task_starts(&sim, "run-1"), 10_000);
    let silent = |line: &&String| {
        let machine = line.split(' ').nth(1).and_then(|m| m.strip_prefix("vm-"));
        machine
            .and_then(|n| n.parse::<u32>().ok())
            .is_some_and(|n| n % 5 == 0)
    };
    assert_eq!(sim.start_log.iter().find(silent), None);
    let longest = leader(&sim).longest_slice();
    assert!(longest < 2 * SLICE_ENTRIES, "{longest} entries in a slice");
}

/// A new leader reads the placements of 64,800 tasks on 8,100 machines page by page, and
/// no slice of a round of its own is long.
#[test]
fn the_placements_of_8100_machines_are_read_without_a_long_slice() {
    // What one job of 24 replicas on three machines looks like when stored.
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
            .expect("stored");
        (key.clone(), item.0.to_string())
    };
    let templates = [stored("j/run-0000"), stored("p/run-0000")];

    // Controllers of a fleet of this size have a whole core: a slice of theirs
    // examines 100,000 entries.
    let mut sim = Simulation::with_cores(3, 1.0);
    sim.capacity = 0;
    for n in 0..2700u32 {
        for (key, value) in &templates {
            let renamed = |text: &str| {
                let machines = (0..3).fold(text.to_string(), |text, m| {
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
    let read = leader(&sim);
    assert_eq!(read.machines(), 8100);
    // Each machine is filed once, and looked at once for what is coming: a quarter
    // of a slice.
    let longest = read.longest_slice();
    assert!(longest < 25_000, "{longest} entries in a slice");
    // Nothing is taken for lost before its machine has had time to report.
    sim.run_for(2000);
    assert_eq!(leader(&sim).machines(), 8100);
}

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

fn leader(w: &Simulation) -> &Node {
    let leader = w.leader().expect("somebody leads");
    w.nodes[leader].as_ref().expect("the leader is up")
}

/// Jobs of two tasks that all wait when machines come up.
fn many_jobs_wait(jobs: u32, machines: usize) -> Simulation {
    let mut w = Simulation::with_cores(3, FEW_CORES);
    w.capacity = 0;
    w.run_ms = 4000;
    w.run_until(5000);
    for n in 0..jobs {
        w.ask(
            n as usize % 3,
            "POST",
            "/v2/runs",
            array(&format!("run-{n:03}"), 2),
        );
        w.run_for(50);
    }
    for n in 0..machines {
        w.add_machine(&format!("vm-{n:03}"), "a", false, true);
    }
    w
}

/// Runs until a round is under way in which so many jobs are queued.
fn run_into_a_round(w: &mut Simulation, queued: usize) {
    for _ in 0..20_000 {
        if leader(w).queued_in_round() >= queued {
            return;
        }
        w.run_for(1);
    }
    panic!("no round with {queued} in its queue");
}

fn all_done(w: &mut Simulation, jobs: u32) {
    for n in 0..jobs {
        let id = format!("run-{n:03}");
        let node = w.leader().expect("somebody leads");
        assert_eq!(w.poll(node, &id).1, "done", "{id}");
    }
}

#[test]
fn a_round_is_served_in_slices_and_ends_all_the_same() {
    let mut w = many_jobs_wait(120, 20);
    run_into_a_round(&mut w, 100);
    let before = leader(&w).queued_in_round();
    w.run_for(1);
    let after = leader(&w).queued_in_round();
    assert!(
        after < before && after + 30 > before,
        "{before}, then {after}"
    );
    w.run_for(60_000);
    all_done(&mut w, 120);
}

/// A job that is cancelled between two slices doesn't start any more.
#[test]
fn what_is_cancelled_between_slices_is_not_placed() {
    let mut w = many_jobs_wait(250, 40);
    run_into_a_round(&mut w, 240);
    let node = w.leader().unwrap();
    let user = w.ask(node, "POST", "/v2/runs/run-249/abort", Value::Null);
    while !w.answers.contains_key(&user) {
        w.run_for(1);
    }
    assert_eq!(w.answer(user), (200, "cancelled".into()));
    assert!(leader(&w).queued_in_round() > 0, "the round goes on");
    assert_eq!(task_starts(&w, "run-249"), 0);
    w.run_for(60_000);
    assert_eq!(task_starts(&w, "run-249"), 0);
    all_done(&mut w, 249);
}

/// Urgent jobs that arrive during a long round don't wait for its end.
#[test]
fn urgent_work_that_arrives_between_slices_goes_before_the_rest() {
    let mut w = many_jobs_wait(250, 40);
    run_into_a_round(&mut w, 240);
    let node = w.leader().unwrap();
    w.ask(node, "POST", "/v2/runs", service("run-urgent", 1));
    while task_starts(&w, "run-urgent") == 0 {
        w.run_for(1);
        assert!(
            leader(&w).queued_in_round() > 0,
            "it starts before the round ends"
        );
    }
    let others = w.trace.len() - 1;
    assert!(
        others < 320,
        "there was room for 320 tasks, {others} had started"
    );
}

/// Placements that weren't stored are forgotten with their leader; nothing runs twice and
/// nothing is lost.
#[test]
fn a_leader_that_ends_in_the_middle_of_a_round_loses_nothing() {
    let mut w = many_jobs_wait(120, 20);
    run_into_a_round(&mut w, 60);
    let first = w.leader().unwrap();
    w.kill(first);
    w.run_for(8000);
    assert_ne!(w.leader(), Some(first));
    w.start(first);
    w.run_for(60_000);
    all_done(&mut w, 120);
}

/// A fleet of so many idle machines that send heartbeats.
fn idle_fleet(machines: usize) -> Simulation {
    let mut w = Simulation::new(3);
    w.capacity = 0;
    w.run_ms = 600_000;
    for n in 0..machines {
        w.add_machine(&format!("vm-{n:04}"), "a", false, true);
        if n % 100 == 0 {
            // Workers don't report in step.
            w.run_for(10);
        }
    }
    w.run_for(5000);
    w
}

#[test]
fn a_fifth_of_two_thousand_machines_is_silent_while_ten_thousand_tasks_wait() {
    let mut w = idle_fleet(2000);
    for n in (0..2000).step_by(5) {
        w.workers.get_mut(&format!("vm-{n:04}")).unwrap().silent = true;
    }
    // Machines that don't report for three intervals get nothing new.
    w.run_for(4000);
    let mut spec = array("run-1", 10_000);
    spec["echeanceS"] = json!(600.0);
    let node = w.leader().unwrap();
    assert_eq!(w.submit(node, &spec), 201);
    w.run_for(15_000);
    assert_eq!(task_starts(&w, "run-1"), 10_000);
    let silent = |line: &&String| {
        let machine = line.split(' ').nth(1).and_then(|m| m.strip_prefix("vm-"));
        machine
            .and_then(|n| n.parse::<u32>().ok())
            .is_some_and(|n| n % 5 == 0)
    };
    assert_eq!(w.trace.iter().find(silent), None);
    let longest = leader(&w).longest_slice();
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
        let mut items = small.state.items.iter();
        let (key, item) = items
            .find(|(key, _)| key.starts_with(prefix))
            .expect("stored");
        (key.clone(), item.0.to_string())
    };
    let templates = [stored("j/run-0000"), stored("p/run-0000")];

    // Controllers of a fleet of this size have a whole core: a slice of theirs
    // examines 100,000 entries.
    let mut w = Simulation::with_cores(3, 1.0);
    w.capacity = 0;
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
            w.state.items.insert(renamed(key), (value, 1, None));
        }
    }
    w.state.revision = 1;
    w.run_for(3000);
    let read = leader(&w);
    assert_eq!(read.machines(), 8100);
    // Each machine is filed once, and looked at once for what is coming: a quarter
    // of a slice.
    let longest = read.longest_slice();
    assert!(longest < 25_000, "{longest} entries in a slice");
    // Nothing is taken for lost before its machine has had time to report.
    w.run_for(2000);
    assert_eq!(leader(&w).machines(), 8100);
}

//! Parts that fail by themselves, and the circuit breakers of their groups.

use crate::simulation::replica_groups::{machines, places, shown, wide};

#[test]
fn one_part_that_fails_everywhere_opens_the_replicas_breaker() {
    let names: Vec<String> = (0..8).map(|n| format!("vm-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut w = machines(3, &names);
    w.broken.insert("run-1/1".into());
    w.watch_replicas("run-1", 2, 4);
    let leader = w.leader().unwrap();
    assert_eq!(w.submit(leader, &wide("run-1", 4)), 201);
    // Idle machines are released after a minute.
    w.run_for(50_000);
    assert_eq!(shown(&mut w, "run-1"), 2, "the other one serves");
    let starts = |task: &str| w.trace.iter().filter(|t| t.contains(task)).count();
    assert!((3..14).contains(&starts("run-1/1 ")), "{:?}", w.trace);
    assert_eq!(starts("run-1/2 "), 1, "the other one isn't disturbed");
    assert!(
        w.workers.values().all(|worker| !worker.gone),
        "no machine is condemned"
    );
    // The next leader knows that the circuit breaker is open.
    let before = w.trace.len();
    w.kill(leader);
    w.run_for(20_000);
    assert!(w.trace.len() - before < 8, "{:?}", &w.trace[before..]);
}

#[test]
fn a_part_that_fails_on_one_machine_starts_elsewhere_with_the_whole() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    w.workers.get_mut("vm-a").unwrap().sick = true;
    w.watch_replicas("run-1", 2, 2);
    let leader = w.leader().unwrap();
    assert_eq!(w.submit(leader, &wide("run-1", 2)), 201);
    w.run_for(8000);
    assert_eq!(shown(&mut w, "run-1"), 2);
    assert!(!places(&w, "run-1").values().any(|m| m == "vm-a"));
}

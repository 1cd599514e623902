//! Parts that fail on working machines, and the circuit breakers of their groups.

use crate::simulation::replica_groups::{
    cluster_with_machines, machines_by_task, running, whole_machine_service,
};

#[test]
fn part_that_fails_everywhere_opens_circuit_breaker_of_its_replica() {
    let names: Vec<String> = (0..8).map(|n| format!("vm-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut sim = cluster_with_machines(3, &names);
    sim.failing_jobs.insert("run-1/1".into());
    sim.track_replicas("run-1", 2, 4);
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(leader, &whole_machine_service("run-1", 4)), 201);
    // Idle machines are released after 60 s. The check below that no machine was released as
    // faulty has to come earlier.
    sim.run_for(50_000);
    assert_eq!(
        running(&mut sim, "run-1"),
        2,
        "the other replica doesn't serve"
    );
    let starts = |task: &str| {
        sim.start_log
            .iter()
            .filter(|start| start.contains(task))
            .count()
    };
    assert!((3..14).contains(&starts("run-1/1 ")), "{:?}", sim.start_log);
    assert_eq!(starts("run-1/2 "), 1, "the other replica was restarted");
    assert!(
        sim.workers.values().all(|worker| !worker.released),
        "a machine was treated as faulty"
    );
    // The new leader restores the open circuit breaker.
    let starts_before = sim.start_log.len();
    sim.kill(leader);
    sim.run_for(20_000);
    assert!(
        sim.start_log.len() - starts_before < 8,
        "{:?}",
        &sim.start_log[starts_before..]
    );
}

#[test]
fn replica_with_a_part_on_a_faulty_machine_restarts_on_other_machines() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    sim.workers.get_mut("vm-a").unwrap().faulty = true;
    sim.track_replicas("run-1", 2, 2);
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(leader, &whole_machine_service("run-1", 2)), 201);
    sim.run_for(8000);
    assert_eq!(running(&mut sim, "run-1"), 2);
    assert!(!machines_by_task(&sim, "run-1")
        .values()
        .any(|machine| machine == "vm-a"));
}

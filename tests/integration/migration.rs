//! Tests of task migration: compaction, preemption, and displacement for images.

use crate::simulation::fixtures::running_cluster;
use crate::simulation::{array, service, Simulation};
use serde_json::json;

/// In an earlier version, replicas stayed scattered over half-empty machines until they were
/// cancelled, and the half-empty machines had to be paid for.
#[test]
fn scattered_replicas_are_compacted_and_empty_machine_is_released() {
    let mut sim = running_cluster(1);
    for n in 0..4 {
        assert_eq!(sim.submit(0, &service(&format!("run-{n}"), 4)), 201);
    }
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-"), 16, "two machines are full");
    sim.cancel(0, "run-0");
    sim.cancel(0, "run-2");
    sim.run_for(120_000);
    assert_eq!(sim.on_machines("run-"), 8);
    let kept = sim
        .workers
        .values()
        .filter(|m| !m.released && !m.tasks.is_empty())
        .count();
    assert_eq!(kept, 1, "{:?}", sim.start_log);
}

/// In an earlier version, a service waited for a new machine to be provisioned while array tasks
/// occupied all machines on which the service could have started immediately.
#[test]
fn service_preempts_array_and_array_still_completes() {
    let mut sim = running_cluster(1);
    sim.cloud_unavailable = true;
    sim.task_duration_ms = 20_000;
    assert_eq!(sim.submit(0, &array("run-1", 16)), 201);
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-1"), 16);
    assert_eq!(sim.submit(0, &service("run-2", 3)), 201);
    sim.run_for(2000);
    assert_eq!(sim.on_machines("run-2"), 3, "{:?}", sim.start_log);
    assert_eq!(
        sim.on_machines("run-1"),
        13,
        "no more tasks are preempted than necessary"
    );
    sim.run_for(50_000);
    assert_eq!(sim.query(0, "run-1").1, "done");
    // An array does not preempt another array.
    assert_eq!(sim.submit(0, &array("run-3", 13)), 201);
    sim.run_for(3000);
    assert_eq!(sim.submit(0, &array("run-4", 1)), 201);
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-4"), 0);
}

/// In an earlier version, a preempted array task was restarted 400 times. The service needed the
/// capacity of two tasks. The first preempted task restarted in the capacity that its own
/// preemption had freed, because that capacity alone was too small for the service.
#[test]
fn preempted_task_does_not_restart_in_capacity_it_freed() {
    let mut sim = running_cluster(1);
    sim.cloud_unavailable = true;
    sim.task_duration_ms = 40_000;
    let mut batch = array("run-1", 16);
    batch["jalonS"] = json!(5.0);
    batch["sauvegardeS"] = json!(6.0);
    assert_eq!(sim.submit(0, &batch), 201);
    sim.run_for(3000);
    let mut large = service("run-2", 1);
    large["gpus"] = json!(2.0);
    assert_eq!(sim.submit(0, &large), 201);
    sim.run_for(15_000);
    assert_eq!(sim.on_machines("run-2"), 1, "{:?}", sim.start_log);
    assert_eq!(
        sim.start_log.len(),
        17,
        "no preempted task restarted yet: {:?}",
        sim.start_log
    );
    sim.run_for(60_000);
    let last_start = &sim.start_log.last().unwrap();
    assert!(
        last_start.ends_with("#18"),
        "two more attempts, one for each of the two preempted tasks: {last_start}"
    );
}

/// In an earlier version, preempted tasks saved their checkpoints although the waiting service did
/// not have the time for it. The service missed its start objective, and the array's tasks were
/// preempted anyway.
#[test]
fn preempted_task_skips_checkpoint_save_that_would_delay_service() {
    for (save_s, late) in [(6.0, false), (2.0, false), (2.0, true)] {
        let mut sim = running_cluster(1);
        sim.cloud_unavailable = true;
        sim.task_duration_ms = 600_000;
        let mut batch = array("run-1", 16);
        batch["jalonS"] = json!(5.0);
        batch["sauvegardeS"] = json!(save_s);
        assert_eq!(sim.submit(0, &batch), 201);
        sim.run_for(3000);
        let mut spec = service("run-2", 1);
        spec["pullGb"] = json!(1.0);
        if late {
            // The service would be late even without the save, so the tasks save their state.
            spec["pullGb"] = json!(9.0);
        }
        assert_eq!(sim.submit(0, &spec), 201);
        sim.run_for(1000);
        let task_saves = sim.on_machines("run-2") == 0;
        assert_eq!(
            task_saves,
            save_s < 5.0,
            "save_s {save_s}, late {late}: {:?}",
            sim.start_log
        );
        sim.run_for(3000);
        assert_eq!(
            sim.on_machines("run-2"),
            1,
            "save_s {save_s}, late {late}: {:?}",
            sim.start_log
        );
    }
}

/// In an earlier version, capacity for forecast demand was reserved on machines without the image.
/// Every replica of a class with a short start objective started late on these machines.
#[test]
fn replica_migrates_to_preplace_image_for_forecast_demand() {
    let mut sim = running_cluster(1);
    for n in 0..8 {
        let mut spec = service(&format!("run-{n}"), 1);
        // The pull takes 2.5 s, half of the class's start objective of 5 s.
        spec["pullGb"] = json!(2.5);
        assert_eq!(sim.submit(0, &spec), 201);
    }
    sim.run_for(3000);
    let tasks_on = |sim: &Simulation, machine: &str| sim.workers[machine].tasks.len();
    assert_eq!(
        (tasks_on(&sim, "vm-a"), tasks_on(&sim, "vm-b")),
        (8, 0),
        "{:?}",
        sim.start_log
    );
    sim.run_for(60_000);
    assert_eq!(
        (tasks_on(&sim, "vm-a"), tasks_on(&sim, "vm-b")),
        (7, 1),
        "{:?}",
        sim.start_log
    );
    assert_eq!(
        sim.start_log.len(),
        9,
        "one migration within ten image pull times: {:?}",
        sim.start_log
    );
}

/// In an earlier version, replicas with a large image were placed on machines where the image pull
/// took longer than their start objective. Meanwhile replicas with a small image occupied the
/// machine that had the large image.
#[test]
fn lower_priority_replicas_are_displaced_from_machine_with_large_image() {
    for kill_leader in [false, true] {
        check_image_displacement(kill_leader);
    }
}

fn check_image_displacement(kill_leader: bool) {
    let mut sim = running_cluster(3);
    let mut node = sim.leader().unwrap();
    sim.cloud_unavailable = true;
    let mut spec = service("run-1", 4);
    spec["secteur"] = json!("a");
    assert_eq!(sim.submit(node, &spec), 201);
    let mut other = service("run-3", 4);
    other["secteur"] = json!("b");
    other["moule"] = json!("img-3");
    assert_eq!(sim.submit(node, &other), 201);
    other["id"] = json!("run-0");
    assert_eq!(sim.submit(node, &other), 201);
    sim.run_for(1000);
    let mut small = service("run-2", 4);
    small["rang"] = json!("high");
    small["gabarit"] = json!("help");
    small["moule"] = json!("img-2");
    small["pullGb"] = json!(1.0);
    assert_eq!(sim.submit(node, &small), 201);
    // By then no demand is forecast any more, and all replicas have run long enough to migrate.
    sim.run_for(150_000);
    sim.cancel(node, "run-0");
    sim.run_for(1000);
    let tasks_on = |sim: &Simulation, machine: &str, job: &str| {
        let tasks = sim.workers[machine].tasks.keys();
        tasks.filter(|task| task.starts_with(job)).count()
    };
    assert_eq!(tasks_on(&sim, "vm-a", "run-2"), 4, "{:?}", sim.start_log);
    if kill_leader {
        // The new leader does not know the start times of the replicas.
        sim.kill(node);
        sim.run_for(6000);
        node = sim.leader().unwrap();
    }
    // Pulling 6.2 GB takes 6.2 s at the nominal rate; the start objective of the class is 5 s.
    assert_eq!(sim.submit(node, &service("run-4", 2)), 201);
    sim.run_for(1000);
    assert_eq!(tasks_on(&sim, "vm-a", "run-4"), 2, "{:?}", sim.start_log);
    sim.run_for(2000);
    assert_eq!(
        tasks_on(&sim, "vm-a", "run-2"),
        2,
        "no more replicas migrate than necessary"
    );
    assert_eq!(tasks_on(&sim, "vm-b", "run-2"), 2, "{:?}", sim.start_log);
    // Replicas of the same priority are not displaced.
    small["id"] = json!("run-5");
    small["rang"] = json!("critical");
    small["moule"] = json!("img-1");
    small["pullGb"] = json!(6.2);
    assert_eq!(sim.submit(node, &small), 201);
    sim.run_for(8000);
    assert_eq!(sim.start_log.len(), 16 + 2 + 2 + 2, "{:?}", sim.start_log);
}

/// In an earlier version, two replicas of a spread job migrated at the same time to a zone that
/// could take only one more replica of the job. The other replica then had to wait for a machine to
/// boot.
#[test]
fn replicas_of_spread_job_migrating_together_stay_spread() {
    let mut sim = running_cluster(1);
    let mut spread = service("run-1", 3);
    spread["spread"] = json!(true);
    assert_eq!(sim.submit(0, &spread), 201);
    sim.run_for(2000);
    let in_zone = |sim: &Simulation, zone: &str| {
        let machines = sim
            .workers
            .values()
            .filter(|m| !m.released && m.zone == zone);
        machines
            .map(|m| m.tasks.keys().filter(|t| t.starts_with("run-1/")).count())
            .sum::<usize>()
    };
    let (a, b) = (in_zone(&sim, "a"), in_zone(&sim, "b"));
    assert_eq!(a + b, 3);
    // The other job fills the zone that has one replica. The machine in the zone with two
    // replicas is then emptier, so compaction would empty it.
    let (larger_zone, smaller_zone) = if a > b { ("a", "b") } else { ("b", "a") };
    let mut filler = service("run-2", 4);
    filler["secteur"] = json!(smaller_zone);
    assert_eq!(sim.submit(0, &filler), 201);
    sim.run_for(150_000);
    assert_eq!(sim.on_machines("run-"), 7);
    assert_eq!(in_zone(&sim, larger_zone), 2, "{:?}", sim.start_log);
    let starts = sim
        .start_log
        .iter()
        .filter(|t| t.contains("run-1/"))
        .count();
    assert_eq!(starts, 3, "no replica was restarted: {:?}", sim.start_log);
}

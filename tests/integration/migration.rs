//! Tasks that move: compaction, preemption, displacement for images.

use crate::simulation::fixtures::running_cluster;
use crate::simulation::{array, service, Simulation};
use serde_json::json;

/// Replicas once stayed scattered over half-empty machines until they were cancelled, and
/// the machines were paid for.
#[test]
fn scattered_replicas_are_compacted_and_the_empty_machine_is_released() {
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

/// A service once waited for provisioning while arrays ran on all machines that it could
/// have used at once.
#[test]
fn a_service_preempts_an_array_which_is_done_all_the_same() {
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
        "no more than needed gives way"
    );
    sim.run_for(50_000);
    assert_eq!(sim.poll(0, "run-1").1, "done");
    // A second array has no such right.
    assert_eq!(sim.submit(0, &array("run-3", 13)), 201);
    sim.run_for(3000);
    assert_eq!(sim.submit(0, &array("run-4", 1)), 201);
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-4"), 0);
}

/// A preempted task of an array was once started again 400 times: in the capacity that
/// its own preemption had freed, too small yet for the service that waited for a second
/// one.
#[test]
fn a_preempted_task_does_not_start_in_the_capacity_that_it_freed() {
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
        "nothing started over: {:?}",
        sim.start_log
    );
    sim.run_for(60_000);
    let attempts = &sim.start_log.last().unwrap();
    assert!(
        attempts.ends_with("#18"),
        "two attempts more, for the two that gave way: {attempts}"
    );
}

/// Saving checkpoints once took the time that the waiting service had: it was late, and
/// the array's tasks were preempted all the same.
#[test]
fn tasks_go_back_to_their_checkpoint_where_saving_would_take_too_long() {
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
            // It would be late even so: then nothing is lost by saving.
            spec["pullGb"] = json!(9.0);
        }
        assert_eq!(sim.submit(0, &spec), 201);
        sim.run_for(1000);
        let saved = sim.on_machines("run-2") == 0;
        assert_eq!(saved, save_s < 5.0, "{save_s} {late}: {:?}", sim.start_log);
        sim.run_for(3000);
        assert_eq!(
            sim.on_machines("run-2"),
            1,
            "{save_s} {late}: {:?}",
            sim.start_log
        );
    }
}

/// Capacity for forecast demand was once reserved on machines without the image, where a
/// class with a short objective was late each time.
#[test]
fn a_settled_replica_migrates_to_leave_warm_capacity() {
    let mut sim = running_cluster(1);
    for n in 0..8 {
        let mut spec = service(&format!("run-{n}"), 1);
        // Half of the five seconds that the class may wait.
        spec["pullGb"] = json!(2.5);
        assert_eq!(sim.submit(0, &spec), 201);
    }
    sim.run_for(3000);
    let on = |sim: &Simulation, m: &str| sim.workers[m].tasks.len();
    assert_eq!(
        (on(&sim, "vm-a"), on(&sim, "vm-b")),
        (8, 0),
        "{:?}",
        sim.start_log
    );
    sim.run_for(60_000);
    assert_eq!(
        (on(&sim, "vm-a"), on(&sim, "vm-b")),
        (7, 1),
        "{:?}",
        sim.start_log
    );
    assert_eq!(
        sim.start_log.len(),
        9,
        "one move in ten fetch times: {:?}",
        sim.start_log
    );
}

/// Replicas of a large image were once placed on free capacity where the fetch took
/// longer than their class may wait, while replicas of a small image ran where the large
/// image was.
#[test]
fn less_important_replicas_make_place_where_a_large_image_is() {
    for leader_ends in [false, true] {
        make_place(leader_ends);
    }
}

fn make_place(leader_ends: bool) {
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
    // Until nothing more is expected, and all have settled.
    sim.run_for(150_000);
    sim.cancel(node, "run-0");
    sim.run_for(1000);
    let on = |sim: &Simulation, m: &str, job: &str| {
        let tasks = sim.workers[m].tasks.keys();
        tasks.filter(|t| t.starts_with(job)).count()
    };
    assert_eq!(on(&sim, "vm-a", "run-2"), 4, "{:?}", sim.start_log);
    if leader_ends {
        // Its successor sees them for the first time.
        sim.kill(node);
        sim.run_for(6000);
        node = sim.leader().unwrap();
    }
    // 6.2 GB take 6.2 s at the nominal rate; its class may wait 5 s.
    assert_eq!(sim.submit(node, &service("run-4", 2)), 201);
    sim.run_for(1000);
    assert_eq!(on(&sim, "vm-a", "run-4"), 2, "{:?}", sim.start_log);
    sim.run_for(2000);
    assert_eq!(on(&sim, "vm-a", "run-2"), 2, "no more than needed move");
    assert_eq!(on(&sim, "vm-b", "run-2"), 2, "{:?}", sim.start_log);
    // The same priority makes no place.
    small["id"] = json!("run-5");
    small["rang"] = json!("critical");
    small["moule"] = json!("img-1");
    small["pullGb"] = json!(6.2);
    assert_eq!(sim.submit(node, &small), 201);
    sim.run_for(8000);
    assert_eq!(sim.start_log.len(), 16 + 2 + 2 + 2, "{:?}", sim.start_log);
}

/// Two replicas of a spread job once migrated together to the zone in which only one more
/// of them may run; the other waited for a machine to boot.
#[test]
fn spread_replicas_that_migrate_together_stay_spread() {
    let mut sim = running_cluster(1);
    let mut spread = service("run-1", 3);
    spread["spread"] = json!(true);
    assert_eq!(sim.submit(0, &spread), 201);
    sim.run_for(2000);
    let in_zone = |sim: &Simulation, zone: &str| {
        let here = sim
            .workers
            .values()
            .filter(|m| !m.released && m.zone == zone);
        here.map(|m| m.tasks.keys().filter(|t| t.starts_with("run-1/")).count())
            .sum::<usize>()
    };
    let (a, b) = (in_zone(&sim, "a"), in_zone(&sim, "b"));
    assert_eq!(a + b, 3);
    // The zone with two is the emptier one, so its machine is to be emptied.
    let (few, many) = if a > b { ("a", "b") } else { ("b", "a") };
    let mut rest = service("run-2", 4);
    rest["secteur"] = json!(many);
    assert_eq!(sim.submit(0, &rest), 201);
    sim.run_for(150_000);
    assert_eq!(sim.on_machines("run-"), 7);
    assert_eq!(in_zone(&sim, few), 2, "{:?}", sim.start_log);
    let starts = sim
        .start_log
        .iter()
        .filter(|t| t.contains("run-1/"))
        .count();
    assert_eq!(
        starts, 3,
        "none had to look for a place: {:?}",
        sim.start_log
    );
}

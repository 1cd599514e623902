//! Formation of replica groups: operators' settings, admission and stored jobs.

use super::gang;
use crate::simulation::replica_groups::{
    cluster_with_machines, machines_by_task, running, start_service, tuning_from_ini,
    whole_machine_service,
};
use crate::simulation::{array, Delivery};
use lilacfork::tuning::Tuning;
use serde_json::json;
use std::cell::Cell;
use std::rc::Rc;

/// Invalid settings of replica groups are reported with the file, the key and the reason.
#[test]
fn invalid_replica_settings_are_rejected_with_file_key_and_reason() {
    let site = crate::simulation::settings("n-0", 3).site;
    let load = |text: &str| {
        let ini = ini::Ini::load_from_str(text).unwrap();
        let options = Tuning::from_ini(&ini, "f.ini")?;
        options.check(&site, "f.ini").map(|()| options)
    };
    let valid = load("[replica_parts]\nchat = 2\n[replicas]\ngangs = 1\n").unwrap();
    assert_eq!(
        valid.replica_classes.iter().collect::<Vec<_>>(),
        [("chat", 2)]
    );
    let too_few = "a replica that spans machines has at least 2 parts";
    let not_whole = "not a whole number of parts";
    let unknown_class = "no objective of the platform's settings names this class";
    for (line, reason) in [
        ("chat = 0", too_few),
        ("chat = 1", too_few),
        ("chat = -2", not_whole),
        ("chat = 2.5", not_whole),
        ("chat = two", not_whole),
        ("chat =", not_whole),
        (
            "chat = 410",
            "more parts than a record of the state service holds, 409",
        ),
        ("chatter = 2", unknown_class),
    ] {
        let class = line.split(" =").next().unwrap();
        let error = load(&format!("[replica_parts]\n{line}\n")).unwrap_err();
        let message = format!("f.ini: [replica_parts] {class}: {reason}");
        assert_eq!(error.to_string(), message);
    }
    for (text, message) in [
        (
            "[replicas]\ngang = 1\n",
            "f.ini: [replicas] gang: unknown key",
        ),
        (
            "[replicas]\ngangs = 2\n",
            "f.ini: [replicas] gangs: must lie between 0 and 1",
        ),
        (
            "[replicas]\nhold_leases = -1\n",
            "f.ini: [replicas] hold_leases: must lie between 0 and 20",
        ),
    ] {
        assert_eq!(load(text).unwrap_err().to_string(), message);
    }
    load(include_str!("../../../deploy/replicas.ini")).expect("the shipped settings are valid");
}

#[test]
fn service_with_indivisible_task_count_is_rejected_and_other_jobs_are_accepted() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b"]);
    for node in 0..3 {
        assert_eq!(sim.submit(node, &whole_machine_service("run-1", 3)), 422);
    }
    assert_eq!(sim.query(0, "run-1").0, 404);
    // Gangs of one task and arrays of a class with several parts don't form groups.
    assert_eq!(sim.submit(0, &gang("run-2", 1)), 201);
    let mut plain = array("run-3", 3);
    plain["gabarit"] = json!("chat");
    assert_eq!(sim.submit(0, &plain), 201);
}

/// The controllers' settings differ, as they do during a rolling restart.
#[test]
fn accepted_job_keeps_its_grouping_after_settings_change() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c", "vm-d", "vm-e", "vm-f"]);
    start_service(&mut sim, &whole_machine_service("run-1", 2));
    let record = sim.kv_store.items["j/run-1"].0.clone();
    assert_eq!(record["g"], json!(2));
    sim.set_tuning(tuning_from_ini("[replica_parts]\nchat = 3\n"));
    for node in 0..3 {
        sim.kill(node);
        sim.run_for(300);
        sim.start(node);
        sim.run_for(3000);
        // A repeated submission is recognized under any settings.
        assert_eq!(sim.submit(node, &whole_machine_service("run-1", 2)), 200);
        running(&mut sim, "run-1");
    }
    assert_eq!(
        sim.submit(0, &whole_machine_service("run-2", 2)),
        422,
        "a new job was not checked against the new settings"
    );
    let lost = machines_by_task(&sim, "run-1")["run-1/0"].clone();
    sim.workers.get_mut(&lost).unwrap().unresponsive = true;
    sim.run_for(25_000);
    assert_eq!(
        running(&mut sim, "run-1"),
        2,
        "the job was not repaired with its original grouping"
    );
    sim.set_tuning(Default::default());
    for node in 0..3 {
        sim.kill(node);
        sim.start(node);
        sim.run_for(4000);
    }
    running(&mut sim, "run-1");
    // Storing the cancellation rewrites the job's record.
    let grouping_stored = Rc::new(Cell::new(false));
    let grouping_seen = grouping_stored.clone();
    sim.fault_injector = Box::new(move |_, _, call| {
        let body = String::from_utf8_lossy(&call.body);
        let stores_job = call.path == "/txn" && body.contains("\"set\":\"j/run-1\"");
        grouping_seen.set(grouping_seen.get() || (stores_job && body.contains("\"g\":2")));
        Delivery::Normal
    });
    assert_eq!(sim.cancel(0, "run-1"), (200, "cancelled".into()));
    assert!(
        grouping_stored.get(),
        "the rewritten record lacks the grouping"
    );
}

/// Without replica settings, job records contain no grouping, and tasks are placed and repaired
/// individually.
#[test]
fn tasks_are_placed_individually_without_replica_settings() {
    let mut sim = cluster_with_machines(1, &["vm-a", "vm-b", "vm-c"]);
    sim.set_tuning(Default::default());
    sim.kill(0);
    sim.start(0);
    sim.run_for(4000);
    assert_eq!(sim.submit(0, &whole_machine_service("run-1", 2)), 201);
    sim.run_for(4000);
    assert!(sim.kv_store.items["j/run-1"].0["g"].is_null());
    let machines = machines_by_task(&sim, "run-1");
    sim.workers
        .get_mut(&machines["run-1/1"])
        .unwrap()
        .unresponsive = true;
    sim.run_for(15_000);
    assert_eq!(sim.on_machines("run-1"), 2);
    let starts = |task: &str| {
        sim.start_log
            .iter()
            .filter(|start| start.contains(task))
            .count()
    };
    assert_eq!((starts("run-1/0 "), starts("run-1/1 ")), (1, 2));
}

//! Which jobs form replica groups: settings, admission and stored jobs.

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

/// Operators' settings of replica groups, and the errors in them.
#[test]
fn classes_that_span_machines_are_checked_with_file_key_and_reason() {
    let site = crate::simulation::settings("n-0", 3).site;
    let load = |text: &str| {
        let ini = ini::Ini::load_from_str(text).unwrap();
        let options = Tuning::from_ini(&ini, "f.ini")?;
        options.check(&site, "f.ini").map(|()| options)
    };
    let fine = load("[replica_parts]\nchat = 2\n[replicas]\ngangs = 1\n").unwrap();
    assert_eq!(
        fine.replica_classes.iter().collect::<Vec<_>>(),
        [("chat", 2)]
    );
    let few = "a replica that spans machines has at least 2 parts";
    let whole = "not a whole number of parts";
    let unknown = "no objective of the platform's settings names this class";
    for (value, why) in [
        ("chat = 0", few),
        ("chat = 1", few),
        ("chat = -2", whole),
        ("chat = 2.5", whole),
        ("chat = two", whole),
        ("chat =", whole),
        (
            "chat = 410",
            "more parts than a record of the state service holds, 409",
        ),
        ("chatter = 2", unknown),
    ] {
        let class = value.split(" =").next().unwrap();
        let error = load(&format!("[replica_parts]\n{value}\n")).unwrap_err();
        let says = format!("f.ini: [replica_parts] {class}: {why}");
        assert_eq!(error.to_string(), says);
    }
    for (text, says) in [
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
        assert_eq!(load(text).unwrap_err().to_string(), says);
    }
    load(include_str!("../../../deploy/replicas.ini")).expect("what is shipped can be used");
}

#[test]
fn what_cannot_be_divided_is_refused_and_what_is_accepted_is_not() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b"]);
    for node in 0..3 {
        assert_eq!(sim.submit(node, &whole_machine_service("run-1", 3)), 422);
    }
    assert_eq!(sim.poll(0, "run-1").0, 404);
    // Gangs of one task and arrays of the class don't form groups.
    assert_eq!(sim.submit(0, &gang("run-2", 1)), 201);
    let mut plain = array("run-3", 3);
    plain["gabarit"] = json!("chat");
    assert_eq!(sim.submit(0, &plain), 201);
}

/// Controllers whose settings differ, as during a rolling restart.
#[test]
fn an_accepted_job_keeps_its_grouping_whatever_the_settings_become() {
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
        // A repeated submission is recognised under any settings.
        assert_eq!(sim.submit(node, &whole_machine_service("run-1", 2)), 200);
        running(&mut sim, "run-1");
    }
    assert_eq!(
        sim.submit(0, &whole_machine_service("run-2", 2)),
        422,
        "a new one is judged anew"
    );
    let lost = machines_by_task(&sim, "run-1")["run-1/0"].clone();
    sim.workers.get_mut(&lost).unwrap().unresponsive = true;
    sim.run_for(25_000);
    assert_eq!(running(&mut sim, "run-1"), 2, "repaired as it was accepted");
    sim.set_tuning(Default::default());
    for node in 0..3 {
        sim.kill(node);
        sim.start(node);
        sim.run_for(4000);
    }
    running(&mut sim, "run-1");
    // Storing the cancellation rewrites the job's record.
    let kept = Rc::new(Cell::new(false));
    let seen = kept.clone();
    sim.fault_injector = Box::new(move |_, _, call| {
        let body = String::from_utf8_lossy(&call.body);
        let cancels = call.path == "/txn" && body.contains("\"set\":\"j/run-1\"");
        seen.set(seen.get() || (cancels && body.contains("\"g\":2")));
        Delivery::Normal
    });
    assert_eq!(sim.cancel(0, "run-1"), (200, "cancelled".into()));
    assert!(kept.get(), "the grouping is in it");
}

/// Without the settings nothing is stored about groups, and tasks are placed and repaired
/// one by one.
#[test]
fn without_the_settings_tasks_are_on_their_own() {
    let mut sim = cluster_with_machines(1, &["vm-a", "vm-b", "vm-c"]);
    sim.set_tuning(Default::default());
    sim.kill(0);
    sim.start(0);
    sim.run_for(4000);
    assert_eq!(sim.submit(0, &whole_machine_service("run-1", 2)), 201);
    sim.run_for(4000);
    assert!(sim.kv_store.items["j/run-1"].0["g"].is_null());
    let at = machines_by_task(&sim, "run-1");
    sim.workers.get_mut(&at["run-1/1"]).unwrap().unresponsive = true;
    sim.run_for(15_000);
    assert_eq!(sim.on_machines("run-1"), 2);
    let starts = |task: &str| sim.start_log.iter().filter(|t| t.contains(task)).count();
    assert_eq!((starts("run-1/0 "), starts("run-1/1 ")), (1, 2));
}

//! Records that version 0.1 and the current version share, and records of later versions.

use super::{announced_limits, large_cluster, small_tasks};
use crate::simulation::{array, service, Simulation};
use lilacfork::records::jobs::JobRecord;
use lilacfork::records::placements::{
    parse_placement_key, parse_task_ranges, tasks_per_record, PlacementRecord,
};
use lilacfork::scheduler::{Job, StoredPlacement};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The tasks of a job according to its placement records.
#[derive(Debug, Default, PartialEq)]
pub(super) struct StoredTasks {
    /// Indices of the completed tasks.
    done: Vec<u32>,
    /// Task index, attempt and machine of each assignment.
    assigned: Vec<(u32, u64, String)>,
}

/// The contents of all placement records, by job ID.
pub(super) type TasksByJob = BTreeMap<String, StoredTasks>;

/// Reads the placement records as version 0.1 does: in ranges whose length that version computes
/// from its settings, and without the fields that were added later.
fn read_as_version_0_1(sim: &Simulation) -> TasksByJob {
    let tasks_per_record = tasks_per_record(32.0) as u64;
    let mut tasks_by_job = TasksByJob::new();
    for (key, (record, ..)) in &sim.kv_store.items {
        let Some((job, number)) = key.strip_prefix("p/").and_then(|k| k.rsplit_once('/')) else {
            continue;
        };
        let tasks = sim.kv_store.items[&format!("j/{job}")].0["spec"]["pieces"].as_u64();
        let number: u64 = number.parse().expect("no range number in the key");
        assert!(
            number < tasks.unwrap().div_ceil(tasks_per_record),
            "{key}: the range lies beyond the last task"
        );
        let StoredTasks { done, assigned } = tasks_by_job.entry(job.into()).or_default();
        let ranges = record["d"].as_str().unwrap_or("");
        done.extend(
            parse_task_ranges(ranges, tasks.unwrap() as u32)
                .expect("invalid ranges of completed tasks"),
        );
        for row in record["a"].as_array().into_iter().flatten() {
            let task = row[0].as_u64().unwrap();
            assert_eq!(
                task / tasks_per_record,
                number,
                "{key}: task {task} is outside the range"
            );
            assert_eq!(row.as_array().unwrap().len(), 5);
            let machine = row[2].as_str().unwrap().to_string();
            assigned.push((task as u32, row[1].as_u64().unwrap(), machine));
        }
    }
    tasks_by_job
}

/// Reads the placement records as the current version does.
pub(super) fn read_as_this_version(sim: &Simulation) -> TasksByJob {
    let mut tasks_by_job = TasksByJob::new();
    for (key, (record, revision, _)) in sim
        .kv_store
        .items
        .iter()
        .filter(|(k, _)| k.starts_with("j/"))
    {
        let record: JobRecord = serde_json::from_value(record.clone()).unwrap();
        let mut job = Job::new(record, *revision, tasks_per_record(32.0));
        let prefix = key.replace("j/", "p/") + "/";
        let stored = sim
            .kv_store
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(&prefix));
        let stored = stored.map(|(key, (record, revision, _))| StoredPlacement {
            name: parse_placement_key(key)
                .and_then(|(_, name)| name)
                .expect(key),
            revision: *revision,
            record: serde_json::from_value::<PlacementRecord>(record.clone()).expect(key),
        });
        job.restore(stored.collect(), &["a".into(), "b".into()]);
        assert!(
            !job.unreadable,
            "{key}: the placement records are unreadable"
        );
        let rows = job.assignments.iter();
        let rows = rows.map(|(task, a)| (*task, a.attempt.0, a.machine.to_string()));
        let done_and_assigned = job
            .done
            .iter()
            .filter(|task| job.assignments.contains_key(task));
        assert_eq!(
            done_and_assigned.count(),
            0,
            "{key}: tasks are both completed and assigned"
        );
        let stored_tasks = StoredTasks {
            done: job.done.iter().copied().collect(),
            assigned: rows.collect(),
        };
        if stored_tasks != StoredTasks::default() {
            tasks_by_job.insert(key[2..].into(), stored_tasks);
        }
    }
    tasks_by_job
}

/// Removes the fields that version 0.1 doesn't know from all records, as if version 0.1 had
/// written all of them.
fn rewrite_as_version_0_1(sim: &mut Simulation) {
    for (key, (record, ..)) in &mut sim.kv_store.items {
        let Some(fields) = record.as_object_mut() else {
            continue;
        };
        let added_field = match key.split_once('/').map(|(prefix, _)| prefix) {
            Some("p") => "z",
            Some("f") => "t",
            Some("leader") => "limits_lowered",
            _ => continue,
        };
        fields.remove(added_field);
    }
}

#[test]
fn both_versions_read_the_same_tasks_from_shared_records() {
    let mut sim = large_cluster(Some(announced_limits()));
    sim.task_duration_ms = 12_000;
    assert_eq!(sim.submit(0, &small_tasks("run-1", 150)), 201);
    assert_eq!(sim.submit(1, &small_tasks("run-2", 3)), 201);
    assert_eq!(sim.submit(2, &service("run-3", 4)), 201);
    let mut compared = 0;
    // In every third step, the records become those of version 0.1, as after a downgrade, and the
    // current version takes over.
    for step in 0..12 {
        let stored = read_as_this_version(&sim);
        assert_eq!(read_as_version_0_1(&sim), stored);
        compared += stored
            .values()
            .map(|tasks| tasks.assigned.len())
            .sum::<usize>();
        if step % 3 == 2 {
            (0..3).for_each(|n| sim.kill(n));
            rewrite_as_version_0_1(&mut sim);
            assert_eq!(read_as_this_version(&sim), stored);
            (0..3).for_each(|n| sim.start(n));
        }
        sim.run_for(1700);
    }
    assert!(
        compared > 300,
        "too few assignments were compared: {compared}"
    );
    sim.run_for(20_000);
    assert_eq!(sim.query(1, "run-1").1, "done");
    assert_eq!(sim.on_machines("run-3"), 4);
}

/// A job with a placement record in a format that only a later version knows must stay pending,
/// and its record must not be overwritten: this version must not guess what the record means.
#[test]
fn job_with_unreadable_record_stays_pending() {
    // In an earlier version, a record with a task beyond the job's last task was overwritten, and
    // that task counted as a task of the job.
    let task_out_of_range =
        json!({"n": 2, "w": 1, "a": [[0, 1, "vm-a", 1, 0], [700, 1, "vm-a", 1, 0]]});
    for (key, record) in [
        ("p/run-1/0:7", json!({"later": true})),
        ("p/run-1/0", json!({"later": true})),
        ("p/run-1/0", task_out_of_range),
    ] {
        let mut sim = Simulation::new(3);
        sim.add_machine("vm-a", "a", false, true);
        let spec = array("run-1", 2);
        sim.observer.record_submission(&spec);
        for (key, record) in [
            ("j/run-1", json!({"spec": spec, "t": 1_000_000})),
            (key, record.clone()),
        ] {
            sim.kv_store.revision += 1;
            let revision = sim.kv_store.revision;
            sim.kv_store
                .items
                .insert(key.into(), (record, revision, None));
        }
        sim.run_for(15_000);
        assert_eq!(sim.submit(0, &array("run-3", 2)), 201);
        sim.run_for(15_000);
        assert_eq!(sim.query(0, "run-3").1, "done");
        assert_eq!(sim.query(0, "run-1").1, "pending");
        assert_eq!(
            sim.kv_store.items[key].0, record,
            "the record was overwritten"
        );
    }
}

/// A cancellation must preserve fields of the job record that were written by a later version.
#[test]
fn cancellation_preserves_unknown_record_fields() {
    let mut sim = large_cluster(None);
    sim.task_duration_ms = 60_000;
    assert_eq!(sim.submit(0, &array("run-1", 1)), 201);
    let (record, revision, _) = sim
        .kv_store
        .items
        .get_mut("j/run-1")
        .expect("no job record");
    record["later"] = json!({"kept": [1, 2]});
    let revision = *revision;
    sim.run_for(100);
    assert_eq!(sim.kv_store.items["j/run-1"].1, revision);
    let path = "/v2/runs/run-1/abort";
    sim.request(1, "POST", path, Value::Null);
    sim.run_for(10);
    let (record, ..) = &sim.kv_store.items["j/run-1"];
    assert_eq!(record["later"], json!({"kept": [1, 2]}));
    assert!(record["c"].is_number());
}

/// The deploy file must identify the version that runs in production by a full commit ID, because
/// a commit ID is permanent.
#[test]
fn production_version_is_a_full_commit_id() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/service.toml");
    let text = std::fs::read_to_string(file).expect("the deploy file is not readable");
    let deploy: toml::Table = toml::from_str(&text).expect("the deploy file is not valid TOML");
    let commit = deploy["production"]
        .as_str()
        .expect("`production` is not a string");
    assert_eq!(commit.len(), 40);
    assert!(commit
        .bytes()
        .all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f')));
    assert!(deploy["build"].is_str() && deploy["run"].is_str());
}

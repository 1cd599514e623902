//! Two versions on one set of records, and limits of the key-value store that fall while
//! the service runs.

use crate::simulation::kv_store::SizeLimits;
use crate::simulation::{array, service, Delivery, Simulation, SETTINGS};
use lilacfork::ids::JobId;
use lilacfork::records::jobs::JobRecord;
use lilacfork::records::placements::{
    parse_placement_key, parse_task_ranges, placement_key, tasks_per_record, PlacementRecord,
    RangeName,
};
use lilacfork::scheduler::{Job, PlacementRanges, StoredPlacement};
use lilacfork::settings::{AnnouncedKvStoreLimits, Settings};
use serde_json::{json, Value};
use std::collections::BTreeMap;

const LOWERED: SizeLimits = SizeLimits {
    value_bytes: 2048,
    txn_ops: 6,
};

fn announced() -> AnnouncedKvStoreLimits {
    AnnouncedKvStoreLimits {
        rps: None,
        write_rps: Some(30.0),
        value_kb: Some(2.0),
        txn_ops: Some(6),
    }
}

/// A small task, many of which fit on one machine.
fn many(id: &str, tasks: u32) -> Value {
    let mut spec = array(id, tasks);
    spec["cpus"] = json!(0.5);
    spec["gpus"] = json!(0.0);
    spec["memoryGb"] = json!(1.0);
    spec
}

/// Three controllers and machines with capacity for 400 small tasks.
fn wide(next: Option<AnnouncedKvStoreLimits>) -> Simulation {
    let mut sim = match next {
        Some(next) => Simulation::with_announced_limits(3, next),
        None => Simulation::new(3),
    };
    for n in 0..4 {
        sim.add_machine(&format!("vm-{n}"), "a", false, true);
    }
    sim.run_until(5000);
    sim
}

/// The tasks of a job, by its records.
#[derive(Debug, Default, PartialEq)]
struct StoredTasks {
    done: Vec<u32>,
    /// Task, attempt and machine.
    assigned: Vec<(u32, u64, String)>,
}

/// What the records contain, by job.
type Facts = BTreeMap<String, StoredTasks>;

/// How version 0.1 reads the records: in ranges whose length it computes from its
/// settings, without fields that it doesn't know.
fn read_by_the_old_version(sim: &Simulation) -> Facts {
    let tasks_per_record = tasks_per_record(32.0) as u64;
    let mut facts = Facts::new();
    for (key, (record, ..)) in &sim.kv_store.items {
        let Some((job, number)) = key.strip_prefix("p/").and_then(|k| k.rsplit_once('/')) else {
            continue;
        };
        let tasks = sim.kv_store.items[&format!("j/{job}")].0["spec"]["pieces"].as_u64();
        let number: u64 = number.parse().expect("a number");
        assert!(number < tasks.unwrap().div_ceil(tasks_per_record), "{key}");
        let StoredTasks { done, assigned } = facts.entry(job.into()).or_default();
        let ranges = record["d"].as_str().unwrap_or("");
        done.extend(parse_task_ranges(ranges, tasks.unwrap() as u32).expect("ranges"));
        for row in record["a"].as_array().into_iter().flatten() {
            let task = row[0].as_u64().unwrap();
            assert_eq!(task / tasks_per_record, number, "{key}");
            assert_eq!(row.as_array().unwrap().len(), 5);
            let machine = row[2].as_str().unwrap().to_string();
            assigned.push((task as u32, row[1].as_u64().unwrap(), machine));
        }
    }
    facts
}

/// How this version reads them.
fn read_by_this_version(sim: &Simulation) -> Facts {
    let mut facts = Facts::new();
    for (key, (record, version, _)) in sim
        .kv_store
        .items
        .iter()
        .filter(|(k, _)| k.starts_with("j/"))
    {
        let record: JobRecord = serde_json::from_value(record.clone()).unwrap();
        let mut job = Job::new(record, *version, tasks_per_record(32.0));
        let prefix = key.replace("j/", "p/") + "/";
        let stored = sim
            .kv_store
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(&prefix));
        let stored = stored.map(|(key, (record, version, _))| StoredPlacement {
            name: parse_placement_key(key)
                .and_then(|(_, name)| name)
                .expect(key),
            revision: *version,
            record: serde_json::from_value::<PlacementRecord>(record.clone()).expect(key),
        });
        job.restore(stored.collect(), &["a".into(), "b".into()]);
        assert!(!job.unreadable, "{key}");
        let rows = job.assignments.iter();
        let rows = rows.map(|(task, a)| (*task, a.attempt.0, a.machine.to_string()));
        let both = job
            .done
            .iter()
            .filter(|task| job.assignments.contains_key(task));
        assert_eq!(both.count(), 0, "{key}: done, and on a machine");
        let stored_tasks = StoredTasks {
            done: job.done.iter().copied().collect(),
            assigned: rows.collect(),
        };
        if stored_tasks != StoredTasks::default() {
            facts.insert(key[2..].into(), stored_tasks);
        }
    }
    facts
}

/// Turns the records into those that version 0.1 leaves once it has written them all.
fn rewrite_by_the_old_version(sim: &mut Simulation) {
    for (key, (record, ..)) in &mut sim.kv_store.items {
        let Some(fields) = record.as_object_mut() else {
            continue;
        };
        let new = match key.split_once('/').map(|(prefix, _)| prefix) {
            Some("p") => "z",
            Some("f") => "t",
            Some("leader") => "limits_lowered",
            _ => continue,
        };
        fields.remove(new);
    }
}

#[test]
fn each_version_reads_the_others_records_as_the_same_facts() {
    let mut sim = wide(Some(announced()));
    sim.task_duration_ms = 12_000;
    assert_eq!(sim.submit(0, &many("run-1", 150)), 201);
    assert_eq!(sim.submit(1, &many("run-2", 3)), 201);
    assert_eq!(sim.submit(2, &service("run-3", 4)), 201);
    let mut seen = 0;
    // Upgraded, back to the old version, upgraded again, and so on.
    for step in 0..12 {
        let facts = read_by_this_version(&sim);
        assert_eq!(read_by_the_old_version(&sim), facts);
        seen += facts
            .values()
            .map(|tasks| tasks.assigned.len())
            .sum::<usize>();
        if step % 3 == 2 {
            (0..3).for_each(|n| sim.kill(n));
            rewrite_by_the_old_version(&mut sim);
            assert_eq!(read_by_this_version(&sim), facts);
            (0..3).for_each(|n| sim.start(n));
        }
        sim.run_for(1700);
    }
    assert!(seen > 300, "{seen} places were compared");
    sim.run_for(20_000);
    assert_eq!(sim.poll(1, "run-1").1, "done");
    assert_eq!(sim.on_machines("run-3"), 4);
}

/// A leader once took a rejected record for the end of its term, and so did the next.
#[test]
fn limits_that_fall_while_tasks_run_cost_no_task_and_no_leader() {
    let mut half_cut = 0;
    // The leader ends as long after the limits fell: as new records are cut, and as
    // stored ones are, when their tasks end.
    let moments = (0..1500).step_by(150).chain((5400..9000).step_by(200));
    for kill_after in moments.map(Some).chain([None]) {
        let mut sim = wide(Some(announced()));
        sim.task_duration_ms = 9000;
        sim.stagger_ms = 40;
        assert_eq!(sim.submit(0, &many("run-1", 200)), 201);
        sim.run_for(3000);
        assert_eq!(sim.on_machines("run-1"), 200);
        sim.kv_store.limits = Some(LOWERED);
        let term = sim.kv_store.items["leader/term"].0["term"].clone();
        assert_eq!(sim.submit(1, &many("run-2", 150)), 201);
        if let Some(delay) = kill_after {
            sim.run_for(delay);
            let leader = sim.leader().unwrap();
            sim.kill(leader);
            half_cut += usize::from(is_half_cut(&sim, "run-1"));
            read_by_this_version(&sim);
            sim.run_for(5000);
            sim.start(leader);
        }
        sim.run_for(1000);
        assert_eq!(sim.submit(2, &many("run-3", 70)), 201);
        sim.run_for(2000);
        assert_eq!(sim.cancel(2, "run-3").1, "cancelled");
        sim.run_for(45_000);
        for id in ["run-1", "run-2"] {
            assert_eq!(sim.poll(2, id).1, "done", "{id} {kill_after:?}");
        }
        let starts = sim.start_log.iter().filter(|line| line.contains(" run-1/"));
        assert_eq!(starts.count(), 200, "each task once, {kill_after:?}");
        if kill_after.is_none() {
            assert_eq!(sim.kv_store.items["leader/term"].0["term"], term);
        }
        assert!(
            sim.kv_store.oversized_transactions > 0,
            "the first refusal told it"
        );
    }
    assert!(half_cut > 2, "{half_cut} leaders ended within a cut");
}

/// The response to a transaction is lost just before the limits fall: its retry is
/// rejected, which doesn't tell whether the first copy was carried out.
#[test]
fn a_repeat_that_is_refused_does_not_undo_its_first_copy() {
    for (offset, carried_out) in (0..300).step_by(25).flat_map(|n| [(n, true), (n, false)]) {
        let mut sim = wide(Some(announced()));
        sim.task_duration_ms = 9000;
        let from = sim.now_ms;
        sim.fault_injector = Box::new(move |at, _, call| {
            let places = call.body.windows(8).any(|b| b == b"p/run-1/");
            match call.path == "/txn" && places && at < from + 1500 {
                true if carried_out => Delivery::ResponseLost,
                true => Delivery::RequestLost,
                false => Delivery::Normal,
            }
        });
        sim.request(0, "POST", "/v2/runs", many("run-1", 200));
        sim.run_for(offset);
        sim.kv_store.limits = Some(LOWERED);
        sim.run_for(40_000);
        assert_eq!(sim.poll(1, "run-1").1, "done", "{offset} {carried_out}");
        let starts = sim.start_log.iter().filter(|line| line.contains(" run-1/"));
        assert_eq!(starts.count(), 200, "{offset} {carried_out}");
    }
}

/// The same for ends of jobs: when they counted as not carried out, they cost the leader
/// its term.
#[test]
fn ends_whose_repeat_is_refused_cost_no_term() {
    let mut sim = wide(Some(announced()));
    sim.task_duration_ms = 3000;
    for n in 0..7 {
        sim.request(n % 3, "POST", "/v2/runs", many(&format!("run-{n}"), 1));
    }
    sim.run_for(1000);
    let term = sim.kv_store.items["leader/term"].0["term"].clone();
    let until = sim.now_ms + 3500;
    sim.fault_injector = Box::new(move |at, _, call| {
        let ends = call.body.windows(6).any(|b| b == b"f/run-");
        match call.path == "/txn" && ends && at < until {
            true => Delivery::ResponseLost,
            false => Delivery::Normal,
        }
    });
    while !sim
        .kv_store
        .items
        .keys()
        .any(|key| key.starts_with("f/run-"))
    {
        sim.run_for(10);
    }
    let ended = sim
        .kv_store
        .items
        .keys()
        .filter(|key| key.starts_with("f/run-"));
    assert!(ended.count() > 3, "more changes than the lower limit takes");
    sim.kv_store.limits = Some(LOWERED);
    sim.run_for(20_000);
    assert!(
        sim.kv_store.oversized_transactions > 0,
        "the repeat was refused"
    );
    for n in 0..7 {
        assert_eq!(sim.poll(1, &format!("run-{n}")).1, "done");
    }
    assert_eq!(sim.kv_store.items["leader/term"].0["term"], term);
}

/// Whether a job's placements are in a coarse record and in finer ones.
fn is_half_cut(sim: &Simulation, id: &str) -> bool {
    let prefix = format!("p/{id}/");
    let names = sim
        .kv_store
        .items
        .keys()
        .filter_map(|k| k.strip_prefix(&prefix));
    let (fine, coarse): (Vec<_>, Vec<_>) = names.partition(|name| name.contains('-'));
    !fine.is_empty() && !coarse.is_empty()
}

/// Later leaders learn the limits from the one before, and new processes from the record
/// that it left.
#[test]
fn limits_that_fell_are_known_to_every_later_leader() {
    let mut sim = wide(Some(announced()));
    sim.kv_store.limits = Some(LOWERED);
    assert_eq!(sim.submit(0, &many("run-1", 200)), 201);
    sim.run_for(10_000);
    let refused = sim.kv_store.oversized_transactions;
    assert!(refused > 0);
    for all_end in [false, true] {
        let leader = sim.leader().unwrap();
        let ends: Vec<usize> = if all_end { vec![0, 1, 2] } else { vec![leader] };
        ends.iter().for_each(|n| sim.kill(*n));
        sim.run_for(6000);
        ends.iter().for_each(|n| sim.start(*n));
        sim.run_for(6000);
        let id = format!("run-{}", sim.now_ms);
        assert_eq!(sim.submit(0, &many(&id, 200)), 201);
        sim.run_for(30_000);
        assert_eq!(sim.poll(1, &id).1, "done");
    }
    assert_eq!(sim.kv_store.oversized_transactions, refused);
}

/// The announced limits become those of the settings, and processes start with them.
#[test]
fn records_cut_under_other_settings_are_read_as_they_were_cut() {
    let mut sim = wide(Some(announced()));
    sim.task_duration_ms = 15_000;
    assert_eq!(sim.submit(0, &many("run-1", 200)), 201);
    sim.run_for(3000);
    sim.kv_store.limits = Some(LOWERED);
    let mut now = crate::simulation::settings("n-0", 3).site.kv_store;
    now.value_kb = 2.0;
    now.txn_ops = 6;
    sim.set_kv_store_limits(now);
    (0..3).for_each(|n| {
        sim.kill(n);
        sim.start(n);
    });
    sim.run_for(5000);
    // What was there is started again elsewhere, and nothing else.
    let lost = sim.workers["vm-0"].tasks.len();
    assert!(lost > 0);
    sim.workers.get_mut("vm-0").unwrap().unresponsive = true;
    sim.run_for(90_000);
    assert_eq!(sim.poll(0, "run-1").1, "done");
    let starts = sim.start_log.iter().filter(|l| l.contains(" run-1/"));
    assert_eq!(starts.count(), 200 + lost);
}

/// Limits that nobody announced: what is rejected is held back, and everything else
/// continues.
#[test]
fn what_is_refused_without_a_cause_is_held_back_alone() {
    let mut sim = wide(None);
    sim.task_duration_ms = 2000;
    sim.kv_store.limits = Some(LOWERED);
    let term = sim.kv_store.items["leader/term"].0["term"].clone();
    assert_eq!(sim.submit(0, &many("run-large", 200)), 201);
    for n in 0..12 {
        assert_eq!(sim.submit(n % 3, &many(&format!("run-{n}"), 3)), 201);
    }
    sim.run_for(20_000);
    for n in 0..12 {
        assert_eq!(sim.poll(0, &format!("run-{n}")).1, "done");
    }
    assert_eq!(sim.kv_store.items["leader/term"].0["term"], term);
    assert_eq!(sim.poll(0, "run-large").1, "pending");
    assert_eq!(sim.cancel(0, "run-large").1, "cancelled");
    sim.run_for(5000);
    assert!(sim.kv_store.items.contains_key("f/run-large"));
}

/// A record of a form that only a later version knows: its meaning isn't guessed.
#[test]
fn a_job_with_a_record_that_cannot_be_read_waits() {
    // One that named a task too many was written over, and that task counted as one
    // of the job's.
    let too_far = json!({"n": 2, "w": 1, "a": [[0, 1, "vm-a", 1, 0], [700, 1, "vm-a", 1, 0]]});
    for (key, record) in [
        ("p/run-1/0:7", json!({"later": true})),
        ("p/run-1/0", json!({"later": true})),
        ("p/run-1/0", too_far),
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
        assert_eq!(sim.poll(0, "run-3").1, "done");
        assert_eq!(sim.poll(0, "run-1").1, "pending");
        assert_eq!(sim.kv_store.items[key].0, record, "not written over");
    }
}

/// Fields that only a later version knows survive a cancellation.
#[test]
fn a_cancellation_keeps_what_it_does_not_know() {
    let mut sim = wide(None);
    sim.task_duration_ms = 60_000;
    assert_eq!(sim.submit(0, &array("run-1", 1)), 201);
    let (record, version, _) = sim.kv_store.items.get_mut("j/run-1").expect("its record");
    record["later"] = json!({"kept": [1, 2]});
    let version = *version;
    sim.run_for(100);
    assert_eq!(sim.kv_store.items["j/run-1"].1, version);
    let path = "/v2/runs/run-1/abort";
    sim.request(1, "POST", path, Value::Null);
    sim.run_for(10);
    let (record, ..) = &sim.kv_store.items["j/run-1"];
    assert_eq!(record["later"], json!({"kept": [1, 2]}));
    assert!(record["c"].is_number());
}

#[test]
fn a_submission_that_could_not_be_stored_later_is_refused_at_once() {
    let mut sim = wide(Some(announced()));
    assert_eq!(sim.submit(0, &many("run-0", 1)), 201);
    let mut spec = many("run-1", 1);
    spec["gammes"] = json!((0..400).map(|n| format!("type-{n}")).collect::<Vec<_>>());
    spec["gammes"][0] = json!("g8");
    assert_eq!(sim.submit(0, &spec), 422);
    spec["gammes"] = json!(null);
    spec["attend"] = json!(["run-0"]);
    assert_eq!(sim.submit(0, &spec), 201);
}

#[test]
fn ranges_are_cut_into_finer_ones_that_hold_for_their_tasks() {
    let tasks = 1000;
    let mut shards = PlacementRanges::new(tasks, 409);
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..200 {
        let number = rng.usize(..shards.len());
        let unit = 4;
        let before: u32 = shards
            .tasks_of(number)
            .iter()
            .map(|r| r.end - r.start)
            .sum();
        let split = shards.split(number, rng.u32(1..200), unit);
        assert_eq!(split, before > unit);
        // Each task is held by one record, whose key names it.
        let mut held = vec![0; tasks as usize];
        for number in 0..shards.len() {
            let name = shards.get(number).unwrap().name;
            let key = placement_key(&JobId::new("run-1"), name);
            assert_eq!(
                parse_placement_key(&key),
                Some((JobId::new("run-1"), Some(name)))
            );
            for task in shards.tasks_of(number).into_iter().flatten() {
                held[task as usize] += 1;
                assert_eq!(shards.range_of_task(task), Some(number));
                if let RangeName::Tasks { first, last } = name {
                    assert!((first..=last).contains(&task));
                }
            }
        }
        assert!(held.iter().all(|count| *count == 1));
    }
    assert!(shards.len() > 100);
}

#[test]
fn announced_limits_are_checked() {
    let with = |line: &str| {
        let next = format!("[settings.state.next]\n{line}\n[settings.cloud]");
        SETTINGS.replace("[settings.cloud]", &next)
    };
    for fine in [
        "",
        "value_kb = 2.0",
        "rps = 1.5\ntxn_ops = 4",
        "later = true",
    ] {
        assert!(Settings::parse(&with(fine), "test").is_ok(), "{fine}");
    }
    for (line, key) in [
        ("value_kb = 1.0", "settings.state.next.value_kb"),
        ("value_kb = nan", "settings.state.next.value_kb"),
        ("txn_ops = 3", "settings.state.next.txn_ops"),
        ("rps = 0.0", "settings.state.next.rps"),
        ("write_rps = -1.0", "settings.state.next.write_rps"),
    ] {
        let error = Settings::parse(&with(line), "test")
            .unwrap_err()
            .to_string();
        assert!(error.starts_with(&format!("test: {key}: ")), "{error}");
    }
}

/// Every full deployment's file names the version that runs in production, permanently.
#[test]
fn the_version_in_production_is_a_whole_commit_id() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/service.toml");
    let text = std::fs::read_to_string(file).expect("the deploy file");
    let deploy: toml::Table = toml::from_str(&text).expect("TOML");
    let commit = deploy["production"].as_str().expect("production");
    assert_eq!(commit.len(), 40);
    assert!(commit
        .bytes()
        .all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f')));
    assert!(deploy["build"].is_str() && deploy["run"].is_str());
}

/// A catalog record that was rejected was once written again in every turn.
#[test]
fn a_catalogue_that_is_refused_is_not_written_without_a_pause() {
    let mut sim = Simulation::new(3);
    sim.kv_store.limits = Some(SizeLimits {
        value_bytes: 150,
        txn_ops: 16,
    });
    sim.run_for(10_000);
    assert!(sim.leader().is_some());
    assert!(
        (1..=10).contains(&sim.kv_store.oversized_transactions),
        "{}",
        sim.kv_store.oversized_transactions
    );
}

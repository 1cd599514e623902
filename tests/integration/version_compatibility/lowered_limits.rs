//! Limits of the key-value store that are lowered while the controllers run.

use super::shared_records::read_as_this_version;
use super::{announced_limits, large_cluster, small_tasks, LOWERED_LIMITS};
use crate::simulation::kv_store::SizeLimits;
use crate::simulation::{Delivery, Simulation, SETTINGS};
use lilacfork::ids::JobId;
use lilacfork::records::placements::{parse_placement_key, placement_key, RangeName};
use lilacfork::scheduler::PlacementRanges;
use lilacfork::settings::Settings;
use serde_json::json;

/// Lowered limits make the key-value store reject transactions that are too large. In an earlier
/// version, a leader mistook such a rejection for the end of its term, and so did its successors.
#[test]
fn lowered_limits_restart_no_task_and_depose_no_leader() {
    let mut partly_split = 0;
    // The leader is killed at these times after the limits are lowered: while new records are
    // split, and while stored records are split because their tasks complete.
    let kill_times_ms = (0..1500).step_by(150).chain((5400..9000).step_by(200));
    for kill_after_ms in kill_times_ms.map(Some).chain([None]) {
        let mut sim = large_cluster(Some(announced_limits()));
        sim.task_duration_ms = 9000;
        sim.stagger_ms = 40;
        assert_eq!(sim.submit(0, &small_tasks("run-1", 200)), 201);
        sim.run_for(3000);
        assert_eq!(sim.on_machines("run-1"), 200);
        sim.kv_store.limits = Some(LOWERED_LIMITS);
        let term = sim.kv_store.items["leader/term"].0["term"].clone();
        assert_eq!(sim.submit(1, &small_tasks("run-2", 150)), 201);
        if let Some(delay_ms) = kill_after_ms {
            sim.run_for(delay_ms);
            let leader = sim.leader().unwrap();
            sim.kill(leader);
            partly_split += usize::from(is_partly_split(&sim, "run-1"));
            read_as_this_version(&sim);
            sim.run_for(5000);
            sim.start(leader);
        }
        sim.run_for(1000);
        assert_eq!(sim.submit(2, &small_tasks("run-3", 70)), 201);
        sim.run_for(2000);
        assert_eq!(sim.cancel(2, "run-3").1, "cancelled");
        sim.run_for(45_000);
        for id in ["run-1", "run-2"] {
            assert_eq!(
                sim.query(2, id).1,
                "done",
                "{id} is not done, leader killed after {kill_after_ms:?} ms"
            );
        }
        let starts = sim.start_log.iter().filter(|line| line.contains(" run-1/"));
        assert_eq!(
            starts.count(),
            200,
            "not every task started exactly once, leader killed after {kill_after_ms:?} ms"
        );
        if kill_after_ms.is_none() {
            assert_eq!(sim.kv_store.items["leader/term"].0["term"], term);
        }
        assert!(
            sim.kv_store.oversized_transactions > 0,
            "no transaction was rejected as too large"
        );
    }
    assert!(
        partly_split > 2,
        "too few leaders were killed while records were split: {partly_split}"
    );
}

/// A transaction times out just before the limits are lowered: its request or its response is
/// lost. The key-value store rejects the retry. The rejection doesn't show whether the first
/// attempt was executed.
#[test]
fn rejected_retry_of_indeterminate_placement_write_starts_each_task_once() {
    for (offset_ms, executed) in (0..300).step_by(25).flat_map(|n| [(n, true), (n, false)]) {
        let mut sim = large_cluster(Some(announced_limits()));
        sim.task_duration_ms = 9000;
        let start_ms = sim.now_ms;
        sim.fault_injector = Box::new(move |now_ms, _, call| {
            let has_placements = call.body.windows(8).any(|b| b == b"p/run-1/");
            match call.path == "/txn" && has_placements && now_ms < start_ms + 1500 {
                true if executed => Delivery::ResponseLost,
                true => Delivery::RequestLost,
                false => Delivery::Normal,
            }
        });
        sim.request(0, "POST", "/v2/runs", small_tasks("run-1", 200));
        sim.run_for(offset_ms);
        sim.kv_store.limits = Some(LOWERED_LIMITS);
        sim.run_for(40_000);
        assert_eq!(
            sim.query(1, "run-1").1,
            "done",
            "limits lowered after {offset_ms} ms, executed {executed}"
        );
        let starts = sim.start_log.iter().filter(|line| line.contains(" run-1/"));
        assert_eq!(
            starts.count(),
            200,
            "not every task started exactly once, limits lowered after {offset_ms} ms, executed {executed}"
        );
    }
}

/// The response to a transaction that completes jobs is lost just before the limits are lowered,
/// and the key-value store rejects the retry. In an earlier version, such a transaction counted
/// as not executed, which ended the leader's term.
#[test]
fn leader_keeps_term_after_rejected_retry_of_job_completions() {
    let mut sim = large_cluster(Some(announced_limits()));
    sim.task_duration_ms = 3000;
    for n in 0..7 {
        sim.request(
            n % 3,
            "POST",
            "/v2/runs",
            small_tasks(&format!("run-{n}"), 1),
        );
    }
    sim.run_for(1000);
    let term = sim.kv_store.items["leader/term"].0["term"].clone();
    let fault_ends_ms = sim.now_ms + 3500;
    sim.fault_injector = Box::new(move |now_ms, _, call| {
        let completes_jobs = call.body.windows(6).any(|b| b == b"f/run-");
        match call.path == "/txn" && completes_jobs && now_ms < fault_ends_ms {
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
    let final_records = sim
        .kv_store
        .items
        .keys()
        .filter(|key| key.starts_with("f/run-"));
    assert!(
        final_records.count() > 3,
        "the transaction does not exceed the lowered limits"
    );
    sim.kv_store.limits = Some(LOWERED_LIMITS);
    sim.run_for(20_000);
    assert!(
        sim.kv_store.oversized_transactions > 0,
        "the retry was not rejected"
    );
    for n in 0..7 {
        assert_eq!(sim.query(1, &format!("run-{n}")).1, "done");
    }
    assert_eq!(sim.kv_store.items["leader/term"].0["term"], term);
}

/// Returns whether a job's placements are stored both in a coarse record, which is named by its
/// range number, and in finer records, which are named by their first and last task.
fn is_partly_split(sim: &Simulation, id: &str) -> bool {
    let prefix = format!("p/{id}/");
    let names = sim
        .kv_store
        .items
        .keys()
        .filter_map(|k| k.strip_prefix(&prefix));
    let (fine, coarse): (Vec<_>, Vec<_>) = names.partition(|name| name.contains('-'));
    !fine.is_empty() && !coarse.is_empty()
}

/// A new leader learns the lowered limits from the previous leader's messages. After all processes
/// are restarted, the new leader reads them from the record that the previous leader stored.
#[test]
fn lowered_limits_are_known_to_later_leaders() {
    let mut sim = large_cluster(Some(announced_limits()));
    sim.kv_store.limits = Some(LOWERED_LIMITS);
    assert_eq!(sim.submit(0, &small_tasks("run-1", 200)), 201);
    sim.run_for(10_000);
    let rejected = sim.kv_store.oversized_transactions;
    assert!(rejected > 0);
    for kill_all in [false, true] {
        let leader = sim.leader().unwrap();
        let killed: Vec<usize> = if kill_all {
            vec![0, 1, 2]
        } else {
            vec![leader]
        };
        killed.iter().for_each(|n| sim.kill(*n));
        sim.run_for(6000);
        killed.iter().for_each(|n| sim.start(*n));
        sim.run_for(6000);
        let id = format!("run-{}", sim.now_ms);
        assert_eq!(sim.submit(0, &small_tasks(&id, 200)), 201);
        sim.run_for(30_000);
        assert_eq!(sim.query(1, &id).1, "done");
    }
    assert_eq!(sim.kv_store.oversized_transactions, rejected);
}

/// The announced limits become the limits in the settings, and the controllers restart with
/// them. Records that were stored under the earlier settings must remain readable.
#[test]
fn records_split_under_earlier_settings_remain_readable() {
    let mut sim = large_cluster(Some(announced_limits()));
    sim.task_duration_ms = 15_000;
    assert_eq!(sim.submit(0, &small_tasks("run-1", 200)), 201);
    sim.run_for(3000);
    sim.kv_store.limits = Some(LOWERED_LIMITS);
    let mut lowered = crate::simulation::settings("n-0", 3).site.kv_store;
    lowered.value_kb = 2.0;
    lowered.txn_ops = 6;
    sim.set_kv_store_limits(lowered);
    (0..3).for_each(|n| {
        sim.kill(n);
        sim.start(n);
    });
    sim.run_for(5000);
    // Only the tasks of a failed machine must be restarted.
    let tasks_on_failed_machine = sim.workers["vm-0"].tasks.len();
    assert!(tasks_on_failed_machine > 0);
    sim.workers.get_mut("vm-0").unwrap().unresponsive = true;
    sim.run_for(90_000);
    assert_eq!(sim.query(0, "run-1").1, "done");
    let starts = sim.start_log.iter().filter(|l| l.contains(" run-1/"));
    assert_eq!(starts.count(), 200 + tasks_on_failed_machine);
}

/// The limits are lowered without an announcement. A job whose record is rejected stays
/// pending, and all other jobs proceed.
#[test]
fn unannounced_limits_delay_only_the_rejected_job() {
    let mut sim = large_cluster(None);
    sim.task_duration_ms = 2000;
    sim.kv_store.limits = Some(LOWERED_LIMITS);
    let term = sim.kv_store.items["leader/term"].0["term"].clone();
    assert_eq!(sim.submit(0, &small_tasks("run-large", 200)), 201);
    for n in 0..12 {
        assert_eq!(sim.submit(n % 3, &small_tasks(&format!("run-{n}"), 3)), 201);
    }
    sim.run_for(20_000);
    for n in 0..12 {
        assert_eq!(sim.query(0, &format!("run-{n}")).1, "done");
    }
    assert_eq!(sim.kv_store.items["leader/term"].0["term"], term);
    assert_eq!(sim.query(0, "run-large").1, "pending");
    assert_eq!(sim.cancel(0, "run-large").1, "cancelled");
    sim.run_for(5000);
    assert!(sim.kv_store.items.contains_key("f/run-large"));
}

#[test]
fn submission_too_large_for_announced_limits_is_rejected() {
    let mut sim = large_cluster(Some(announced_limits()));
    assert_eq!(sim.submit(0, &small_tasks("run-0", 1)), 201);
    let mut spec = small_tasks("run-1", 1);
    spec["gammes"] = json!((0..400).map(|n| format!("type-{n}")).collect::<Vec<_>>());
    spec["gammes"][0] = json!("g8");
    assert_eq!(sim.submit(0, &spec), 422);
    spec["gammes"] = json!(null);
    spec["attend"] = json!(["run-0"]);
    assert_eq!(sim.submit(0, &spec), 201);
}

#[test]
fn split_ranges_hold_each_task_exactly_once() {
    let tasks = 1000;
    let mut ranges = PlacementRanges::new(tasks, 409);
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..200 {
        let number = rng.usize(..ranges.len());
        let unit = 4;
        let before: u32 = ranges
            .tasks_of(number)
            .iter()
            .map(|r| r.end - r.start)
            .sum();
        let split = ranges.split(number, rng.u32(1..200), unit);
        assert_eq!(split, before > unit);
        // Exactly one range must hold each task. If the range's key names its first and last task,
        // the task must lie between them.
        let mut holders = vec![0; tasks as usize];
        for number in 0..ranges.len() {
            let name = ranges.get(number).unwrap().name;
            let key = placement_key(&JobId::new("run-1"), name);
            assert_eq!(
                parse_placement_key(&key),
                Some((JobId::new("run-1"), Some(name)))
            );
            for task in ranges.tasks_of(number).into_iter().flatten() {
                holders[task as usize] += 1;
                assert_eq!(ranges.range_of_task(task), Some(number));
                if let RangeName::Tasks { first, last } = name {
                    assert!((first..=last).contains(&task));
                }
            }
        }
        assert!(holders.iter().all(|count| *count == 1));
    }
    assert!(ranges.len() > 100);
}

#[test]
fn invalid_announced_limits_are_rejected_with_their_key() {
    let with_announcement = |line: &str| {
        let next = format!("[settings.state.next]\n{line}\n[settings.cloud]");
        SETTINGS.replace("[settings.cloud]", &next)
    };
    for valid in [
        "",
        "value_kb = 2.0",
        "rps = 1.5\ntxn_ops = 4",
        "later = true",
    ] {
        assert!(
            Settings::parse(&with_announcement(valid), "test").is_ok(),
            "valid announcement was rejected: {valid}"
        );
    }
    for (line, key) in [
        ("value_kb = 1.0", "settings.state.next.value_kb"),
        ("value_kb = nan", "settings.state.next.value_kb"),
        ("txn_ops = 3", "settings.state.next.txn_ops"),
        ("rps = 0.0", "settings.state.next.rps"),
        ("write_rps = -1.0", "settings.state.next.write_rps"),
    ] {
        let error = Settings::parse(&with_announcement(line), "test")
            .unwrap_err()
            .to_string();
        assert!(
            error.starts_with(&format!("test: {key}: ")),
            "expected an error about {key}, got: {error}"
        );
    }
}

/// In an earlier version, the leader retried the write of a rejected catalog record in every turn
/// of the event loop.
#[test]
fn rejected_catalog_record_is_not_written_in_every_turn() {
    let mut sim = Simulation::new(3);
    sim.kv_store.limits = Some(SizeLimits {
        value_bytes: 150,
        txn_ops: 16,
    });
    sim.run_for(10_000);
    assert!(sim.leader().is_some());
    assert!(
        (1..=10).contains(&sim.kv_store.oversized_transactions),
        "number of rejected transactions: {}",
        sim.kv_store.oversized_transactions
    );
}

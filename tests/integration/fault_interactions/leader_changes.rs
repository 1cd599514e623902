//! Changes of leader that meet cancellations, limits, slow writes or unreachable machines.

use super::change_leader;
use crate::simulation::fixtures::{full_zone, heal, running_cluster};
use crate::simulation::{array, service, Delivery, Simulation, LEASE_MS};
use lilacfork::messages::Destination;
use serde_json::json;
use std::collections::BTreeSet;

/// All controllers are down for longer than a lease: every task ends, and everything is
/// served again but the cancelled jobs.
#[test]
fn all_controllers_away_for_longer_than_a_lease() {
    for state_goes_too in [false, true] {
        let mut sim = running_cluster(3);
        assert_eq!(sim.submit(0, &service("run-1", 6)), 201);
        assert_eq!(sim.submit(1, &service("run-2", 6)), 201);
        assert_eq!(sim.submit(2, &array("run-3", 4)), 201);
        sim.run_for(1500);
        assert_eq!(sim.cancel(1, "run-2").1, "cancelled");
        for n in 0..3 {
            sim.kill(n);
        }
        sim.kv_store.unavailable = state_goes_too;
        sim.run_for(LEASE_MS + 4000);
        assert_eq!(sim.on_machines("run-"), 0, "leases are over");
        if state_goes_too {
            sim.end_kv_store_outage();
        }
        for n in 0..3 {
            sim.start(n);
        }
        sim.run_for(20_000);
        assert_eq!(sim.on_machines("run-1"), 6);
        for n in 0..3 {
            assert_eq!(sim.poll(n, "run-2").1, "cancelled");
            assert_eq!(sim.poll(n, "run-3").1, "done");
        }
        assert_eq!(sim.on_machines("run-2"), 0);
    }
}

/// The tasks of a job end far apart, before and after a failover.
#[test]
fn tasks_that_end_far_apart_across_a_change_of_leader_count_once() {
    for tasks in [2, 3] {
        let mut sim = running_cluster(3);
        for name in ["vm-a", "vm-b"] {
            sim.workers.get_mut(name).unwrap().slowdown_factor = if name == "vm-a" { 1 } else { 5 };
        }
        let mut spec = array("run-1", tasks);
        // One machine has room for one task only.
        spec["cpus"] = json!(49.0);
        assert_eq!(sim.submit(0, &spec), 201);
        sim.run_for(sim.task_duration_ms + 1200);
        assert_eq!(sim.poll(0, "run-1").1, "running");
        change_leader(&mut sim);
        sim.run_for(2000);
        assert_eq!(sim.poll(0, "run-1").1, "running");
        sim.run_for(12_000);
        for n in 0..3 {
            assert_eq!(sim.poll(n, "run-1").1, "done");
        }
        assert_eq!(sim.start_log.len(), tasks as usize, "{:?}", sim.start_log);
    }
}

/// Every team is at its limit while jobs are cancelled whose machines are partitioned,
/// hang or receive nothing, and the leader changes: tasks on machines that can't be asked
/// count towards the limit.
#[test]
fn a_team_at_its_limit_loses_machines_and_its_leader_and_cancels() {
    for trouble in 0..3 {
        let mut sim = running_cluster(3);
        let mut spec = service("run-1", 8);
        spec["equipe"] = json!("blue");
        assert_eq!(sim.submit(0, &spec), 201);
        let mut spec = service("run-2", 8);
        spec["equipe"] = json!("blue");
        assert_eq!(sim.submit(0, &spec), 201);
        sim.run_for(3000);
        assert_eq!(sim.on_machines("run-"), 16, "the limit");
        let m = sim.workers.get_mut("vm-b").unwrap();
        match trouble {
            0 => m.unresponsive = true,
            1 => m.inbound_blocked = true,
            _ => sim.partitions = (0..3).map(|n| (n, "b".to_string())).collect(),
        }
        sim.run_for(1000);
        let mut next = service("run-3", 8);
        next["equipe"] = json!("blue");
        assert_eq!(sim.submit(1, &next), 201);
        assert_eq!(sim.cancel(1, "run-1").1, "cancelled");
        sim.run_for(500);
        change_leader(&mut sim);
        assert_eq!(sim.cancel(2, "run-2").1, "cancelled");
        sim.run_for(6000);
        let m = sim.workers.get_mut("vm-b").unwrap();
        (m.unresponsive, m.inbound_blocked) = (false, false);
        heal(&mut sim);
        sim.run_for(40_000);
        assert_eq!(sim.on_machines("run-1") + sim.on_machines("run-2"), 0);
        assert_eq!(sim.on_machines("run-3"), 8, "{trouble} {:?}", sim.start_log);
    }
}

/// Ten failovers in two minutes, one of them in an outage of the key-value store: between
/// them jobs are accepted, placed, stored and done.
#[test]
fn ten_changes_of_leader_in_two_minutes_leave_time_to_serve() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-0", 8)), 201);
    sim.run_for(2000);
    let mut done = 0;
    for n in 1..=10 {
        let mut other = n % 3;
        if let Some(leader) = sim.leader() {
            sim.kill(leader);
            sim.run_for(200);
            sim.start(leader);
            other = (leader + 1) % 3;
        }
        if n == 5 {
            sim.kv_store.unavailable = true;
            sim.run_for(4000);
            sim.end_kv_store_outage();
        }
        let id = format!("run-{n}");
        assert_eq!(sim.submit(other, &array(&id, 3)), 201);
        sim.run_for(11_700);
        done += usize::from(sim.poll(n % 3, &id).1 == "done");
    }
    assert!(done >= 9, "served between two changes: {done}");
    sim.run_for(12_000);
    for n in 1..=10 {
        assert_eq!(sim.poll(0, &format!("run-{n}")).1, "done");
    }
    assert_eq!(sim.on_machines("run-0"), 8);
    let moved = sim
        .start_log
        .iter()
        .filter(|t| t.contains("run-0/"))
        .count();
    assert_eq!(moved, 8, "a change of leader moves nothing");
}

/// Leadership passes on and back, all controllers are killed, and one returns within a
/// second.
#[test]
fn controllers_hand_over_and_back_all_end_and_one_returns() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
    assert_eq!(sim.submit(0, &service("run-2", 8)), 201);
    sim.run_for(2000);
    let first = sim.leader().unwrap();
    let second = change_leader(&mut sim);
    sim.kill(second);
    sim.run_for(300);
    sim.start(second);
    sim.run_for(700);
    assert_eq!(sim.cancel(first, "run-2").1, "cancelled");
    for n in 0..3 {
        sim.kill(n);
    }
    sim.run_for(600);
    sim.start(first);
    sim.run_for(7000);
    assert_eq!(sim.leader(), Some(first));
    assert_eq!(sim.on_machines("run-1"), 8);
    assert_eq!(sim.on_machines("run-2"), 0);
    assert_eq!(sim.start_log.len(), 16, "{:?}", sim.start_log);
    assert_eq!(sim.poll(first, "run-2").1, "cancelled");
}

/// Jobs are cancelled during a failover.
#[test]
fn jobs_cancelled_while_the_work_changes_hands() {
    for offset in (0..5000).step_by(250) {
        let mut sim = running_cluster(3);
        assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
        assert_eq!(sim.submit(0, &array("run-2", 12)), 201);
        sim.run_for(600);
        let old = sim.leader().unwrap();
        sim.kill(old);
        sim.run_for(offset);
        for id in ["run-1", "run-2"] {
            assert_eq!(sim.cancel((old + 1) % 3, id).1, "cancelled", "{offset}");
        }
        sim.start(old);
        sim.run_for(9000);
        assert_eq!(sim.on_machines("run-"), 0, "{offset}");
        assert!(!sim.kv_store.items.keys().any(|k| k.starts_with("j/")));
        assert!(sim.observer.starts_after_cancel.is_empty(), "{offset}");
    }
}

/// New machines are up within two seconds and get work at once while writes are slow, and
/// the leader is killed before, while and after the placements are stored.
#[test]
fn machines_up_at_once_get_work_while_writes_lag_and_the_leader_ends() {
    for offset in (0..4000).step_by(200) {
        let mut sim = Simulation::new(3);
        sim.boot_ms = 300;
        sim.run_until(4000);
        let leader = sim.leader().unwrap();
        sim.fault_injector = Box::new(move |at, node, call| match call.destination {
            Destination::KvStore if call.path == "/txn" && node == leader => {
                Delivery::ResponseDelayed(200 + (at * 37) % 1500)
            }
            _ => Delivery::Normal,
        });
        assert_eq!(sim.submit((leader + 1) % 3, &service("run-1", 12)), 201);
        sim.run_for(offset);
        sim.kill(leader);
        heal(&mut sim);
        sim.run_for(5000);
        sim.start(leader);
        sim.run_for(15_000);
        assert_eq!(
            sim.on_machines("run-1"),
            12,
            "{offset}: {:?}",
            sim.start_log
        );
        let tasks: BTreeSet<&str> = sim
            .start_log
            .iter()
            .filter_map(|t| t.split(' ').nth(2))
            .collect();
        assert_eq!(
            (tasks.len(), sim.start_log.len()),
            (12, 12),
            "{offset}: once each"
        );
    }
}

/// A leader is killed while machines with long tasks are unreachable, or don't receive
/// the replies of the new leader.
#[test]
fn a_leader_ends_while_machines_with_long_tasks_hear_nothing() {
    for deaf in [true, false] {
        for spell_ms in [4000, 14_000] {
            let (mut sim, names) = full_zone(3);
            for name in &names {
                let m = sim.workers.get_mut(name).unwrap();
                (m.inbound_blocked, m.unresponsive) = (deaf, !deaf);
            }
            let old = sim.leader().unwrap();
            sim.kill(old);
            sim.run_for(spell_ms);
            for name in &names {
                let m = sim.workers.get_mut(name).unwrap();
                (m.inbound_blocked, m.unresponsive) = (false, false);
            }
            sim.start(old);
            sim.capacity = 20;
            sim.run_for(60_000);
            assert_eq!(sim.on_machines("run-1"), 56, "{deaf} {spell_ms}");
            if spell_ms < 9000 {
                assert_eq!(sim.start_log.len(), 56, "nothing was given up");
            }
        }
    }
}

//! Leader changes combined with cancellations, quotas, slow writes or unreachable machines.

use super::change_leader;
use crate::simulation::fixtures::{full_zone, heal, isolate_node, running_cluster};
use crate::simulation::{array, service, Delivery, Simulation, LEASE_MS};
use lilacfork::messages::Destination;
use serde_json::json;
use std::collections::BTreeSet;

/// All controllers are down for longer than the leases of the workers, so that every task ends.
/// After the controllers restart, all jobs except the cancelled job must be served again.
#[test]
fn uncancelled_jobs_are_served_again_after_all_controllers_were_down_beyond_lease() {
    for kv_store_unavailable in [false, true] {
        let mut sim = running_cluster(3);
        assert_eq!(sim.submit(0, &service("run-1", 6)), 201);
        assert_eq!(sim.submit(1, &service("run-2", 6)), 201);
        assert_eq!(sim.submit(2, &array("run-3", 4)), 201);
        sim.run_for(1500);
        assert_eq!(sim.cancel(1, "run-2").1, "cancelled");
        for n in 0..3 {
            sim.kill(n);
        }
        sim.kv_store.unavailable = kv_store_unavailable;
        sim.run_for(LEASE_MS + 4000);
        assert_eq!(
            sim.on_machines("run-"),
            0,
            "tasks run after the leases of their workers expired"
        );
        if kv_store_unavailable {
            sim.end_kv_store_outage();
        }
        for n in 0..3 {
            sim.start(n);
        }
        sim.run_for(20_000);
        assert_eq!(sim.on_machines("run-1"), 6);
        for n in 0..3 {
            assert_eq!(sim.query(n, "run-2").1, "cancelled");
            assert_eq!(sim.query(n, "run-3").1, "done");
        }
        assert_eq!(sim.on_machines("run-2"), 0);
    }
}

/// One task of a job completes before a failover. The others complete after it, because they run
/// on a machine that is five times slower or start later.
#[test]
fn tasks_completing_before_and_after_failover_start_once() {
    for tasks in [2, 3] {
        let mut sim = running_cluster(3);
        for name in ["vm-a", "vm-b"] {
            sim.workers.get_mut(name).unwrap().slowdown_factor = if name == "vm-a" { 1 } else { 5 };
        }
        let mut spec = array("run-1", tasks);
        // Each machine has capacity for only one task.
        spec["cpus"] = json!(49.0);
        assert_eq!(sim.submit(0, &spec), 201);
        sim.run_for(sim.task_duration_ms + 1200);
        assert_eq!(sim.query(0, "run-1").1, "running");
        change_leader(&mut sim);
        sim.run_for(2000);
        assert_eq!(sim.query(0, "run-1").1, "running");
        sim.run_for(12_000);
        for n in 0..3 {
            assert_eq!(sim.query(n, "run-1").1, "done");
        }
        assert_eq!(
            sim.start_log.len(),
            tasks as usize,
            "not every task started exactly once: {:?}",
            sim.start_log
        );
    }
}

/// A team is at its quota. One machine with its tasks hangs, receives no messages or is
/// partitioned, then the team's jobs are cancelled and the leader changes. Tasks on a machine
/// that controllers can't reach count towards the quota.
#[test]
fn team_at_quota_is_served_after_machine_fault_cancellations_and_failover() {
    for machine_fault in 0..3 {
        let mut sim = running_cluster(3);
        let mut spec = service("run-1", 8);
        spec["equipe"] = json!("blue");
        assert_eq!(sim.submit(0, &spec), 201);
        let mut spec = service("run-2", 8);
        spec["equipe"] = json!("blue");
        assert_eq!(sim.submit(0, &spec), 201);
        sim.run_for(3000);
        assert_eq!(sim.on_machines("run-"), 16, "the team is not at its quota");
        let m = sim.workers.get_mut("vm-b").unwrap();
        match machine_fault {
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
        assert_eq!(
            sim.on_machines("run-3"),
            8,
            "the pending job of the team was not served, machine fault {machine_fault}: {:?}",
            sim.start_log
        );
    }
}

/// Ten failovers occur in two minutes, one of them during an outage of the key-value store.
/// Between the failovers jobs must be accepted, placed, stored and completed.
#[test]
fn jobs_are_served_between_ten_failovers_in_two_minutes() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-0", 8)), 201);
    sim.run_for(2000);
    let mut completed = 0;
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
        completed += usize::from(sim.query(n % 3, &id).1 == "done");
    }
    assert!(
        completed >= 9,
        "too few jobs completed between failovers: {completed}"
    );
    sim.run_for(12_000);
    for n in 1..=10 {
        assert_eq!(sim.query(0, &format!("run-{n}")).1, "done");
    }
    assert_eq!(sim.on_machines("run-0"), 8);
    let starts = sim
        .start_log
        .iter()
        .filter(|start| start.contains("run-0/"))
        .count();
    assert_eq!(starts, 8, "a failover restarted tasks");
}

/// Leadership changes to a second controller, the second controller is killed and restarted,
/// then all controllers are killed. Only the first leader restarts, within a second.
#[test]
fn single_restarted_controller_preserves_tasks_after_all_were_killed() {
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
    assert_eq!(
        sim.start_log.len(),
        16,
        "tasks were restarted: {:?}",
        sim.start_log
    );
    assert_eq!(sim.query(first, "run-2").1, "cancelled");
}

/// Jobs are cancelled at various times during a failover.
#[test]
fn jobs_cancelled_during_failover_stop() {
    for offset_ms in (0..5000).step_by(250) {
        let mut sim = running_cluster(3);
        assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
        assert_eq!(sim.submit(0, &array("run-2", 12)), 201);
        sim.run_for(600);
        let old = sim.leader().unwrap();
        sim.kill(old);
        sim.run_for(offset_ms);
        for id in ["run-1", "run-2"] {
            assert_eq!(
                sim.cancel((old + 1) % 3, id).1,
                "cancelled",
                "{id} was not cancelled {offset_ms} ms after the failover began"
            );
        }
        sim.start(old);
        sim.run_for(9000);
        assert_eq!(
            sim.on_machines("run-"),
            0,
            "tasks run, cancelled {offset_ms} ms after the failover began"
        );
        assert!(!sim.kv_store.items.keys().any(|k| k.starts_with("j/")));
        assert!(
            sim.observer.starts_after_cancel.is_empty(),
            "tasks started, cancelled {offset_ms} ms after the failover began"
        );
    }
}

/// New machines boot in 300 ms and receive tasks immediately, while writes are slow. The
/// leader is killed before, during or after the write of the placements.
#[test]
fn tasks_start_once_when_leader_is_killed_while_placements_are_written() {
    for offset_ms in (0..4000).step_by(200) {
        let mut sim = Simulation::new(3);
        sim.boot_ms = 300;
        sim.run_until(4000);
        let leader = sim.leader().unwrap();
        sim.fault_injector = Box::new(move |now_ms, node, call| match call.destination {
            Destination::KvStore if call.path == "/txn" && node == leader => {
                Delivery::ResponseDelayed(200 + (now_ms * 37) % 1500)
            }
            _ => Delivery::Normal,
        });
        assert_eq!(sim.submit((leader + 1) % 3, &service("run-1", 12)), 201);
        sim.run_for(offset_ms);
        sim.kill(leader);
        heal(&mut sim);
        sim.run_for(5000);
        sim.start(leader);
        sim.run_for(15_000);
        assert_eq!(
            sim.on_machines("run-1"),
            12,
            "not all tasks run, leader killed after {offset_ms} ms: {:?}",
            sim.start_log
        );
        let tasks: BTreeSet<&str> = sim
            .start_log
            .iter()
            .filter_map(|start| start.split(' ').nth(2))
            .collect();
        assert_eq!(
            (tasks.len(), sim.start_log.len()),
            (12, 12),
            "not every task started exactly once, leader killed after {offset_ms} ms"
        );
    }
}

/// A leader is killed while machines with long tasks are unresponsive, or don't receive
/// heartbeat responses. The machines recover before or after their leases expire.
#[test]
fn long_tasks_run_after_failover_with_unreachable_machines() {
    for inbound_blocked in [true, false] {
        for unreachable_ms in [4000, 14_000] {
            let (mut sim, names) = full_zone(3);
            for name in &names {
                let m = sim.workers.get_mut(name).unwrap();
                (m.inbound_blocked, m.unresponsive) = (inbound_blocked, !inbound_blocked);
            }
            let old = sim.leader().unwrap();
            sim.kill(old);
            sim.run_for(unreachable_ms);
            for name in &names {
                let m = sim.workers.get_mut(name).unwrap();
                (m.inbound_blocked, m.unresponsive) = (false, false);
            }
            sim.start(old);
            sim.capacity = 20;
            sim.run_for(60_000);
            assert_eq!(
                sim.on_machines("run-1"),
                56,
                "not all tasks run, inbound_blocked {inbound_blocked} for {unreachable_ms} ms"
            );
            // The shorter fault ends before the leases expire.
            if unreachable_ms < 9000 {
                assert_eq!(sim.start_log.len(), 56, "tasks were restarted");
            }
        }
    }
}

/// In an earlier version, a follower without the key-value store and peers redirected workers to
/// the leader that it had last read of, however long ago. That leader was down, the follower was
/// the next one that the workers tried, and so they reached no other controller.
#[test]
fn workers_reach_new_leader_past_isolated_follower() {
    for kv_store_delivery in [Delivery::Rejected, Delivery::RequestLost] {
        for restarted in [false, true] {
            let mut sim = running_cluster(3);
            assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
            sim.run_for(3000);
            let leader = sim.leader().unwrap();
            isolate_node(&mut sim, (leader + 1) % 3, kv_store_delivery, true);
            sim.run_for(500);
            sim.kill(leader);
            if restarted {
                sim.run_for(25_000);
                sim.start(leader);
            }
            sim.run_for(45_000);
            let running = sim.on_machines("run-1");
            assert_eq!(running, 8, "not all tasks run: {:?}", sim.start_log);
        }
    }
}

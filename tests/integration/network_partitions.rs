//! Network partitions between zones, controllers and the key-value store, and outages of the
//! key-value store.

use crate::simulation::fixtures::{
    assert_zone_unaffected, crosses_partition, full_zone, heal, isolate_zone, partition_zones,
    released, running_cluster, set_unresponsive, zone_partitions,
};
use crate::simulation::{array, service, Delivery, Simulation};
use lilacfork::messages::Destination;
use serde_json::json;

#[test]
fn tasks_survive_kv_store_outage() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 4)), 201);
    sim.run_for(2000);
    sim.kv_store.unavailable = true;
    sim.run_for(15_000);
    assert_eq!(
        sim.submit(1, &array("run-2", 1)),
        503,
        "a submission during the outage was not rejected"
    );
    assert_eq!(
        sim.query(1, "run-1").0,
        503,
        "a query during the outage was not rejected"
    );
    assert_eq!(sim.on_machines("run-1"), 4);
    sim.end_kv_store_outage();
    sim.run_for(4000);
    assert_eq!(sim.submit(1, &array("run-2", 1)), 201);
    sim.run_for(9000);
    assert_eq!(sim.query(2, "run-2").1, "done");
    assert_eq!(
        sim.start_log.len(),
        5,
        "tasks were restarted: {:?}",
        sim.start_log
    );
}

#[test]
fn tasks_run_after_leader_restarts_during_kv_store_outage() {
    let mut sim = running_cluster(3);
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(0, &service("run-1", 4)), 201);
    sim.run_for(2000);
    sim.kv_store.unavailable = true;
    sim.run_for(3000);
    sim.kill(leader);
    sim.run_for(5000);
    sim.start(leader);
    sim.run_for(4000);
    sim.end_kv_store_outage();
    sim.run_for(25_000);
    assert_eq!(
        sim.on_machines("run-1"),
        4,
        "not all tasks run: {:?}",
        sim.start_log
    );
}

/// In an earlier version, a partition between zones ended every task in the zone without the
/// leader, because the followers there redirected the workers to a leader that the workers
/// couldn't reach.
#[test]
fn zone_partition_ends_only_tasks_of_cancelled_jobs() {
    let mut sim = running_cluster(3);
    let leader = sim.leader().unwrap();
    let zone_without_leader = if leader == 1 { "a" } else { "b" };
    assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
    assert_eq!(sim.submit(0, &service("run-2", 8)), 201);
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-"), 16);
    let starts_before = sim.start_log.len();
    partition_zones(&mut sim);
    sim.run_for(15_000);
    assert_eq!(
        sim.on_machines("run-"),
        16,
        "tasks ended; the leader is not in zone {zone_without_leader}"
    );
    assert_eq!(sim.cancel(leader, "run-2").1, "cancelled");
    sim.run_for(5000);
    heal(&mut sim);
    sim.run_for(8000);
    assert_eq!(sim.on_machines("run-1"), 8);
    assert_eq!(sim.on_machines("run-2"), 0);
    assert_eq!(
        sim.start_log.len(),
        starts_before,
        "tasks were restarted: {:?}",
        sim.start_log
    );
    assert!(
        sim.workers.values().all(|m| !m.released),
        "machines were declared failed"
    );
}

/// A partition is followed by an outage of the key-value store. In an earlier version, the
/// isolated follower beyond the partition redirected its workers to controllers that the workers
/// couldn't reach.
#[test]
fn zone_partition_with_kv_store_outage_ends_no_task() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 16)), 201);
    sim.run_for(3000);
    partition_zones(&mut sim);
    sim.run_for(6000);
    sim.kv_store.unavailable = true;
    sim.run_for(12_000);
    sim.end_kv_store_outage();
    sim.run_for(4000);
    heal(&mut sim);
    sim.run_for(10_000);
    assert_eq!(sim.on_machines("run-1"), 16);
    assert_eq!(
        sim.start_log.len(),
        16,
        "tasks were restarted: {:?}",
        sim.start_log
    );
}

/// In an earlier version, a zone that was partitioned from the other zone and the key-value store
/// lost all its tasks, whether or not the leader was in the zone. The zone's only controller
/// concluded that the fault was its own, and the controllers of the other zone declared all
/// machines of the partitioned zone failed.
#[test]
fn isolated_zone_with_one_controller_ends_no_task() {
    for restart_leader in [false, true] {
        let (mut sim, names) = full_zone(3);
        if restart_leader {
            let leader = sim.leader().unwrap();
            sim.kill(leader);
            sim.run_for(6000);
            sim.start(leader);
            sim.run_for(4000);
        }
        isolate_zone(&mut sim);
        sim.run_for(22_000);
        heal(&mut sim);
        sim.run_for(10_000);
        assert_eq!(sim.on_machines("run-1"), 56);
        assert_zone_unaffected(&sim, &names);
    }
}

/// In an earlier version, a controller that restarted beyond a partition renewed leases for
/// seconds before it read which jobs had been cancelled while it was down.
#[test]
fn controller_restarted_during_partition_stops_cancelled_jobs() {
    let mut sim = running_cluster(3);
    while sim.leader() == Some(1) {
        sim.kill(1);
        sim.run_for(5000);
        sim.start(1);
        sim.run_for(3000);
    }
    assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
    assert_eq!(sim.submit(0, &service("run-2", 8)), 201);
    sim.run_for(3000);
    partition_zones(&mut sim);
    sim.run_for(3000);
    sim.kill(1);
    sim.run_for(1000);
    assert_eq!(sim.cancel(0, "run-1").1, "cancelled");
    assert_eq!(sim.cancel(0, "run-2").1, "cancelled");
    sim.run_for(1000);
    assert_eq!(
        sim.on_machines("run-"),
        8,
        "not exactly the tasks in zone b run"
    );
    sim.start(1);
    sim.run_for(3500);
    assert_eq!(
        sim.on_machines("run-"),
        0,
        "the restarted controller did not stop the tasks of cancelled jobs"
    );
}

/// A leader must not hand over leadership because machines fail together. Each new leader would
/// restart the time-out after which it declares machines failed, and no leader would ever reach
/// the end of that time-out.
#[test]
fn leader_keeps_leadership_and_releases_machines_when_all_in_its_zone_fail() {
    let (mut sim, names) = full_zone(3);
    let leader = sim.leader().unwrap();
    // Heartbeats of machines in the other zone still reach the leader, forwarded by a follower.
    let own_machines: Vec<String> = match leader {
        1 => names,
        _ => vec!["vm-a".into()],
    };
    set_unresponsive(&mut sim, &own_machines, true);
    sim.run_for(30_000);
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(
        released(&sim, &own_machines).len(),
        own_machines.len(),
        "not all unresponsive machines were declared failed, only {:?}",
        released(&sim, &own_machines)
    );
}

/// A leader whose process resumes after its lease has expired must not act as leader. Its
/// clocks have advanced during the pause and its sockets hold old heartbeats. By its own records,
/// every machine has been unresponsive for longer than the time-out for declaring it failed.
#[test]
fn leader_resumed_after_lease_expiry_accepts_no_heartbeat_and_releases_no_machine() {
    let (mut sim, names) = full_zone(3);
    let old = sim.leader().unwrap();
    let resumes_ms = sim.now_ms + 14_000;
    sim.paused_until_ms.insert(old, resumes_ms);
    sim.run_for(13_900);
    sim.heartbeat_responses.clear();
    sim.run_for(12_000);
    let responses = sim.heartbeat_responses.iter().filter(|(_, n, _)| *n == old);
    let statuses: Vec<u16> = responses.map(|(_, _, status)| *status).collect();
    assert!(
        !statuses.is_empty() && !statuses.contains(&200),
        "the resumed controller accepted a heartbeat or got none: {statuses:?}"
    );
    assert_eq!(sim.on_machines("run-1"), 56);
    assert_zone_unaffected(&sim, &names);
}

/// In an earlier version, a follower stored only as many of the machines whose leases it proxied
/// as fit in one record, and the leader declared the other machines failed.
#[test]
fn follower_stores_all_machines_whose_leases_it_proxies() {
    let mut sim = Simulation::new(3);
    sim.capacity = 0;
    let machines_in_zone_b = 1400;
    for n in 0..machines_in_zone_b {
        sim.add_machine(&format!("vm-{n:04}"), "b", false, true);
    }
    sim.run_until(5000);
    partition_zones(&mut sim);
    sim.run_for(9000);
    let proxy_records = sim
        .kv_store
        .items
        .iter()
        .filter(|(k, _)| k.starts_with("h/"));
    let counts: Vec<usize> = proxy_records
        .map(|(_, i)| i.0["m"].as_array().unwrap().len())
        .collect();
    assert!(
        counts.len() > 1 && counts.iter().sum::<usize>() == machines_in_zone_b,
        "the lease proxy records don't hold each machine of the zone: {counts:?}"
    );
}

/// In an earlier version, a leader that alone was partitioned from the workers kept its
/// leadership. The followers redirected the workers to this leader, the workers' leases expired,
/// and the leader finally declared every machine failed.
#[test]
fn leader_unreachable_by_all_workers_hands_over_leadership() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 16)), 201);
    sim.run_for(3000);
    let isolated = sim.leader().unwrap();
    sim.partitions = vec![(isolated, "a".into()), (isolated, "b".into())];
    sim.run_for(8000);
    let leader = sim.leader().unwrap();
    assert_ne!(leader, isolated);
    sim.run_for(12_000);
    assert_eq!(sim.leader(), Some(leader), "leadership changed again");
    assert_eq!(sim.cancel(isolated, "run-1").1, "cancelled");
    sim.run_for(2000);
    assert_eq!(
        sim.on_machines("run-1"),
        0,
        "tasks of the cancelled job were not stopped"
    );
    assert_eq!(sim.submit(isolated, &service("run-2", 16)), 201);
    sim.run_for(4000);
    assert_eq!(sim.on_machines("run-2"), 16);
    assert_eq!(
        sim.start_log.len(),
        32,
        "tasks were restarted: {:?}",
        sim.start_log
    );
    assert!(
        sim.workers.values().all(|m| !m.released),
        "machines were declared failed"
    );
}

/// Jobs are cancelled during a partition while the cloud is unavailable. Only the follower beyond
/// the partition can end the tasks there. In an earlier version, this follower renewed the leases
/// of its workers for longer than `cancel_s`.
#[test]
fn job_cancelled_during_partition_ends_in_time_while_cloud_is_unavailable() {
    for kv_store_partitioned in [false, true] {
        let mut sim = running_cluster(3);
        assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
        assert_eq!(sim.submit(0, &service("run-2", 8)), 201);
        sim.run_for(3000);
        assert_eq!(sim.on_machines("run-"), 16);
        let leader = sim.leader().unwrap();
        sim.partitions = zone_partitions();
        sim.fault_injector = Box::new(move |_, node, call| match &call.destination {
            Destination::Peer(addr) if crosses_partition(node, addr) => Delivery::RequestLost,
            // Only the controller in zone `b` is partitioned from the key-value store too.
            Destination::KvStore | Destination::KvWatch if kv_store_partitioned && node == 1 => {
                Delivery::RequestLost
            }
            _ => Delivery::Normal,
        });
        sim.cloud_unavailable = true;
        sim.run_for(6000);
        let controller_in_leader_zone = if leader == 1 { 1 } else { 0 };
        assert_eq!(
            sim.cancel(controller_in_leader_zone, "run-1").1,
            "cancelled"
        );
        assert_eq!(
            sim.cancel(controller_in_leader_zone, "run-2").1,
            "cancelled"
        );
        sim.run_for(29_000);
        assert_eq!(
            sim.on_machines("run-"),
            0,
            "tasks of cancelled jobs run, kv_store_partitioned {kv_store_partitioned}: {:?}",
            sim.workers
        );
    }
}

/// The key-value store becomes unavailable right after a cancellation, before the leader's
/// watch reports the cancellation.
#[test]
fn cancellation_right_before_kv_store_outage_reaches_leader() {
    let mut sim = running_cluster(3);
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(0, &service("run-1", 4)), 201);
    sim.run_for(3000);
    sim.fault_injector = Box::new(move |_, node, call| match call.destination {
        Destination::KvWatch if node == leader => Delivery::RequestLost,
        _ => Delivery::Normal,
    });
    // The pending watch ends without a response, and the following watches are lost.
    sim.kv_store.watches_stalled = true;
    assert_eq!(sim.cancel((leader + 1) % 3, "run-1").1, "cancelled");
    sim.kv_store.unavailable = true;
    sim.run_for(25_000);
    assert_eq!(sim.on_machines("run-1"), 0);
    sim.kv_store.watches_stalled = false;
    sim.end_kv_store_outage();
    sim.run_for(15_000);
    assert_eq!(sim.query(leader, "run-1").1, "cancelled");
    assert!(
        !sim.kv_store.items.contains_key("j/run-1"),
        "the job record was not deleted"
    );
}

/// In an earlier version, heartbeats that a follower forwarded together formed messages that the
/// leader rejected as too large.
#[test]
fn forwarded_heartbeats_stay_within_message_size_limit() {
    let mut sim = running_cluster(3);
    assert_ne!(
        sim.leader(),
        Some(1),
        "the controller to which the heartbeats are delivered is the leader"
    );
    let sizes = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
    let recorded_sizes = sizes.clone();
    sim.fault_injector = Box::new(move |_, node, call| {
        if node == 1 && matches!(call.destination, Destination::Peer(_)) {
            recorded_sizes.borrow_mut().push(call.body.len());
        }
        Delivery::Normal
    });
    let tasks: Vec<_> = (0..900)
        .map(|n| json!({"piece": format!("run-9/{n}"), "essai": 1, "etat": "running"}))
        .collect();
    for n in 0..10 {
        let name = format!("vm-z{n}");
        let heartbeat = json!({"banc": name, "address": format!("w/{name}"), "gamme": "g8",
            "secteur": "b", "occasion": false, "quart": 1, "numero": 1, "jeton": 0,
            "preavisS": null, "pieces": tasks});
        sim.deliver_heartbeat(1, &heartbeat);
    }
    sim.run_for(1000);
    let sizes = sizes.borrow();
    assert!(
        sizes
            .iter()
            .all(|n| *n <= lilacfork::http::MAX_PEER_BODY_BYTES),
        "a message exceeds the size limit: {sizes:?}"
    );
    assert!(
        sizes.iter().sum::<usize>() > 400_000,
        "not all heartbeats were forwarded: {sizes:?}"
    );
}

/// After a partition, the workers of a zone resume their heartbeats at different times. In an
/// earlier version, the machines of the last workers to resume were declared failed as soon as
/// most workers had resumed.
#[test]
fn last_workers_to_resume_after_partition_are_not_declared_failed() {
    let (mut sim, names) = full_zone(1);
    set_unresponsive(&mut sim, &names, true);
    sim.run_for(14_000);
    set_unresponsive(&mut sim, &names[..4], false);
    sim.run_for(4000);
    set_unresponsive(&mut sim, &names[4..], false);
    sim.run_for(5000);
    assert!(
        released(&sim, &names).is_empty(),
        "machines were declared failed: {:?}",
        released(&sim, &names)
    );
    // A machine that is unresponsive alone is declared failed as usual.
    set_unresponsive(&mut sim, &names[5..], true);
    sim.run_for(12_000);
    assert_eq!(released(&sim, &names), [&names[5]]);
}

/// In an earlier version, the machines of a zone beyond a partition were declared failed at the
/// end of an outage of the key-value store. During the outage, no follower could store that it
/// proxied leases in the zone.
#[test]
fn unresponsive_time_during_kv_store_outage_does_not_count_towards_failure() {
    let (mut sim, names) = full_zone(1);
    set_unresponsive(&mut sim, &names, true);
    sim.run_for(5000);
    sim.kv_store.unavailable = true;
    sim.run_for(25_000);
    sim.end_kv_store_outage();
    sim.run_for(12_000);
    assert!(
        released(&sim, &names).is_empty(),
        "machines were declared failed: {:?}",
        released(&sim, &names)
    );
    sim.run_for(20_000);
    assert_eq!(
        released(&sim, &names).len(),
        6,
        "the unresponsive machines were not declared failed"
    );
}

/// The isolation of a zone begins at different times between two heartbeats. Messages from
/// the leader and messages to the leader then stop at different times. In an earlier version,
/// heartbeats that arrived in between got no response.
#[test]
fn zone_isolated_at_any_time_between_heartbeats_ends_no_task() {
    for offset_ms in (0..1000).step_by(100) {
        let (mut sim, names) = full_zone(3);
        sim.run_for(offset_ms);
        isolate_zone(&mut sim);
        sim.run_for(22_000);
        heal(&mut sim);
        sim.run_for(10_000);
        assert_eq!(
            sim.start_log.len(),
            56,
            "isolated after {offset_ms} ms: {:?}",
            sim.start_log
        );
        assert!(
            released(&sim, &names).is_empty(),
            "machines were declared failed"
        );
    }
}

//! Partitions and outages: zones, controllers and the key-value store apart.

use crate::simulation::fixtures::{
    crosses_partition, full_zone, heal, isolate_zone, partition_zones, released, running_cluster,
    set_unresponsive, zone_partitions,
};
use crate::simulation::{array, service, Delivery, Simulation};
use lilacfork::messages::Destination;
use serde_json::json;

#[test]
fn work_lives_through_an_outage_of_the_state_service() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 4)), 201);
    sim.run_for(2000);
    sim.kv_store.unavailable = true;
    sim.run_for(15_000);
    assert_eq!(sim.submit(1, &array("run-2", 1)), 503, "answered at once");
    assert_eq!(sim.poll(1, "run-1").0, 503, "nothing older is told");
    assert_eq!(sim.on_machines("run-1"), 4);
    sim.end_kv_store_outage();
    sim.run_for(4000);
    assert_eq!(sim.submit(1, &array("run-2", 1)), 201);
    sim.run_for(9000);
    assert_eq!(sim.poll(2, "run-2").1, "done");
    assert_eq!(sim.start_log.len(), 5, "{:?}", sim.start_log);
}

#[test]
fn an_outage_in_which_the_leader_dies() {
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
    assert_eq!(sim.on_machines("run-1"), 4, "{:?}", sim.start_log);
}

#[test]
fn a_node_that_alone_is_cut_off_is_not_ready() {
    let mut sim = running_cluster(3);
    let ready = |sim: &mut Simulation, n| {
        let user = sim.request(n, "GET", "/ready", json!(null));
        sim.run_for(20);
        sim.status_and_state(user).0
    };
    let lone = (sim.leader().unwrap() + 1) % 3;
    assert_eq!(ready(&mut sim, lone), 200);
    sim.fault_injector = Box::new(move |_, node, call| match call.destination {
        Destination::KvStore | Destination::KvWatch if node == lone => Delivery::RequestLost,
        _ => Delivery::Normal,
    });
    sim.run_for(20_000);
    assert_eq!(ready(&mut sim, lone), 503);
    sim.fault_injector = Box::new(|_, _, _| Delivery::Normal);
    sim.kv_store.unavailable = true;
    sim.run_for(20_000);
    assert_eq!(
        ready(&mut sim, (lone + 1) % 3),
        200,
        "when it is away for all, stay"
    );
}

/// A partition between zones once ended every task on the far side: the followers there
/// redirected the workers to a leader that they couldn't reach.
#[test]
fn a_cut_between_zones_ends_no_task_and_a_job_cancelled_meanwhile_still_goes() {
    let mut sim = running_cluster(3);
    let leader = sim.leader().unwrap();
    let far = if leader == 1 { "a" } else { "b" };
    assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
    assert_eq!(sim.submit(0, &service("run-2", 8)), 201);
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-"), 16);
    let started = sim.start_log.len();
    partition_zones(&mut sim);
    sim.run_for(15_000);
    assert_eq!(sim.on_machines("run-"), 16, "far side is {far}");
    assert_eq!(sim.cancel(leader, "run-2").1, "cancelled");
    sim.run_for(5000);
    heal(&mut sim);
    sim.run_for(8000);
    assert_eq!(sim.on_machines("run-1"), 8);
    assert_eq!(sim.on_machines("run-2"), 0);
    assert_eq!(sim.start_log.len(), started, "{:?}", sim.start_log);
    assert!(
        sim.workers.values().all(|m| !m.released),
        "no machine was given up"
    );
}

/// A partition and then an outage of the key-value store once left the follower beyond
/// the partition alone; it redirected its workers to nodes that they couldn't reach.
#[test]
fn a_cut_that_meets_an_outage_ends_no_task() {
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
    assert_eq!(sim.start_log.len(), 16, "{:?}", sim.start_log);
}

/// A zone that is partitioned from everything once lost all its tasks, whichever side the
/// leader was on: its only controller, suddenly alone, took the fault for its own, and
/// the other side declared the whole zone failed.
#[test]
fn a_zone_cut_off_from_everything_with_one_controller_ends_no_task() {
    for leader_ends in [false, true] {
        let (mut sim, names) = full_zone(3);
        if leader_ends {
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
        assert_eq!(sim.start_log.len(), 56, "{:?}", sim.start_log);
        assert!(released(&sim, &names).is_empty(), "none is given up");
    }
}

/// A controller that restarts beyond a partition once renewed leases for seconds before
/// it asked which jobs had been cancelled while it was down.
#[test]
fn a_controller_that_returns_beyond_a_cut_knows_what_was_cancelled() {
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
    assert_eq!(sim.on_machines("run-"), 8, "those beyond the cut");
    sim.start(1);
    sim.run_for(3500);
    assert_eq!(
        sim.on_machines("run-"),
        0,
        "are stopped before their lease ends"
    );
}

/// Machines that fail together are no reason to hand over leadership: every new leader
/// would begin to wait for them anew, and none would ever declare them failed.
#[test]
fn a_leader_whose_own_machines_all_fail_leads_on_and_gives_them_up() {
    let (mut sim, names) = full_zone(3);
    let leader = sim.leader().unwrap();
    // The other zone's heartbeats are forwarded meanwhile.
    let own: Vec<String> = match leader {
        1 => names,
        _ => vec!["vm-a".into()],
    };
    set_unresponsive(&mut sim, &own, true);
    sim.run_for(30_000);
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(
        released(&sim, &own).len(),
        own.len(),
        "{:?}",
        released(&sim, &own)
    );
}

/// A leader that resumes after its lease has expired must not act as one: its clocks ran
/// on, its sockets are full of old heartbeats, and it has received nothing for so long
/// that it would declare every machine failed.
#[test]
fn a_paused_leader_answers_no_heartbeat_and_releases_no_machine() {
    let (mut sim, names) = full_zone(3);
    let old = sim.leader().unwrap();
    let woken = sim.now_ms + 14_000;
    sim.paused_until_ms.insert(old, woken);
    sim.run_for(13_900);
    sim.heartbeat_responses.clear();
    sim.run_for(12_000);
    let answered = sim.heartbeat_responses.iter().filter(|(_, n, _)| *n == old);
    let statuses: Vec<u16> = answered.map(|(_, _, status)| *status).collect();
    assert!(
        !statuses.is_empty() && !statuses.contains(&200),
        "{statuses:?}"
    );
    assert_eq!(sim.on_machines("run-1"), 56);
    assert_eq!(sim.start_log.len(), 56, "{:?}", sim.start_log);
    assert!(released(&sim, &names).is_empty(), "none is given up");
}

/// Followers once stored only as many of the machines whose leases they proxy as one
/// record holds, and the leader declared the others failed.
#[test]
fn all_machines_whose_leases_a_follower_proxies_are_stored() {
    let mut sim = Simulation::new(3);
    sim.capacity = 0;
    let zone_b = 1400;
    for n in 0..zone_b {
        sim.add_machine(&format!("vm-{n:04}"), "b", false, true);
    }
    sim.run_until(5000);
    partition_zones(&mut sim);
    sim.run_for(9000);
    let held = sim
        .kv_store
        .items
        .iter()
        .filter(|(k, _)| k.starts_with("h/"));
    let counts: Vec<usize> = held
        .map(|(_, i)| i.0["m"].as_array().unwrap().len())
        .collect();
    assert!(
        counts.len() > 1 && counts.iter().sum::<usize>() == zone_b,
        "{counts:?}"
    );
}

/// A leader that alone was partitioned from the workers once led on: others redirected
/// the workers to it, their leases expired, and in the end it declared every machine
/// failed.
#[test]
fn a_leader_that_no_worker_reaches_hands_over_leadership() {
    let mut sim = running_cluster(3);
    assert_eq!(sim.submit(0, &service("run-1", 16)), 201);
    sim.run_for(3000);
    let deaf = sim.leader().unwrap();
    sim.partitions = vec![(deaf, "a".into()), (deaf, "b".into())];
    sim.run_for(8000);
    let leader = sim.leader().unwrap();
    assert_ne!(leader, deaf);
    sim.run_for(12_000);
    assert_eq!(sim.leader(), Some(leader), "and doesn't claim it back");
    assert_eq!(sim.cancel(deaf, "run-1").1, "cancelled");
    sim.run_for(2000);
    assert_eq!(
        sim.on_machines("run-1"),
        0,
        "commands reach the workers again"
    );
    assert_eq!(sim.submit(deaf, &service("run-2", 16)), 201);
    sim.run_for(4000);
    assert_eq!(sim.on_machines("run-2"), 16);
    assert_eq!(sim.start_log.len(), 32, "{:?}", sim.start_log);
    assert!(
        sim.workers.values().all(|m| !m.released),
        "none is given up"
    );
}

/// With the cloud unavailable as well, only the follower could end these tasks; it once
/// renewed their leases for longer than `cancel_s`.
#[test]
fn a_job_cancelled_beyond_a_cut_ends_in_time_while_the_cloud_is_away() {
    for state_goes_too in [false, true] {
        let mut sim = running_cluster(3);
        assert_eq!(sim.submit(0, &service("run-1", 8)), 201);
        assert_eq!(sim.submit(0, &service("run-2", 8)), 201);
        sim.run_for(3000);
        assert_eq!(sim.on_machines("run-"), 16);
        let leader = sim.leader().unwrap();
        sim.partitions = zone_partitions();
        sim.fault_injector = Box::new(move |_, node, call| match &call.destination {
            Destination::Peer(addr) if crosses_partition(node, addr) => Delivery::RequestLost,
            // The far follower alone is partitioned from the key-value store too.
            Destination::KvStore | Destination::KvWatch if state_goes_too && node == 1 => {
                Delivery::RequestLost
            }
            _ => Delivery::Normal,
        });
        sim.cloud_unavailable = true;
        sim.run_for(6000);
        let near = if leader == 1 { 1 } else { 0 };
        assert_eq!(sim.cancel(near, "run-1").1, "cancelled");
        assert_eq!(sim.cancel(near, "run-2").1, "cancelled");
        sim.run_for(29_000);
        assert_eq!(
            sim.on_machines("run-"),
            0,
            "{state_goes_too} {:?}",
            sim.workers
        );
    }
}

/// The key-value store becomes unavailable in the moment after a cancellation, before the
/// leader's watch reports it.
#[test]
fn a_cancellation_reaches_the_leader_past_an_outage() {
    let mut sim = running_cluster(3);
    let leader = sim.leader().unwrap();
    assert_eq!(sim.submit(0, &service("run-1", 4)), 201);
    sim.run_for(3000);
    sim.fault_injector = Box::new(move |_, node, call| match call.destination {
        Destination::KvWatch if node == leader => Delivery::RequestLost,
        _ => Delivery::Normal,
    });
    // The watch in flight ends unheard: it is lost with the next one.
    sim.kv_store.watches_stalled = true;
    assert_eq!(sim.cancel((leader + 1) % 3, "run-1").1, "cancelled");
    sim.kv_store.unavailable = true;
    sim.run_for(25_000);
    assert_eq!(sim.on_machines("run-1"), 0);
    sim.kv_store.watches_stalled = false;
    sim.end_kv_store_outage();
    sim.run_for(15_000);
    assert_eq!(sim.poll(leader, "run-1").1, "cancelled");
    assert!(!sim.kv_store.items.contains_key("j/run-1"), "cleared away");
}

/// Heartbeats that were forwarded together once made messages that the leader rejected as
/// too large.
#[test]
fn forwarded_heartbeats_fit_in_messages_that_are_accepted() {
    let mut sim = running_cluster(3);
    assert_ne!(sim.leader(), Some(1), "the leader stands in the other zone");
    let sizes = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
    let seen = sizes.clone();
    sim.fault_injector = Box::new(move |_, node, call| {
        if node == 1 && matches!(call.destination, Destination::Peer(_)) {
            seen.borrow_mut().push(call.body.len());
        }
        Delivery::Normal
    });
    let tasks: Vec<_> = (0..900)
        .map(|n| json!({"piece": format!("run-9/{n}"), "essai": 1, "etat": "running"}))
        .collect();
    for n in 0..10 {
        let name = format!("vm-z{n}");
        let report = json!({"banc": name, "address": format!("w/{name}"), "gamme": "g8",
            "secteur": "b", "occasion": false, "quart": 1, "numero": 1, "jeton": 0,
            "preavisS": null, "pieces": tasks});
        sim.deliver_heartbeat(1, &report);
    }
    sim.run_for(1000);
    let sizes = sizes.borrow();
    assert!(
        sizes
            .iter()
            .all(|n| *n <= lilacfork::http::MAX_PEER_BODY_BYTES),
        "{sizes:?}"
    );
    assert!(
        sizes.iter().sum::<usize>() > 400_000,
        "all went out: {sizes:?}"
    );
}

/// After a partition a zone's workers return one by one. The last of them were once
/// declared failed at the moment at which most had returned.
#[test]
fn workers_that_are_last_to_come_back_from_a_cut_are_kept() {
    let (mut sim, names) = full_zone(1);
    set_unresponsive(&mut sim, &names, true);
    sim.run_for(14_000);
    set_unresponsive(&mut sim, &names[..4], false);
    sim.run_for(4000);
    set_unresponsive(&mut sim, &names[4..], false);
    sim.run_for(5000);
    assert!(
        released(&sim, &names).is_empty(),
        "{:?}",
        released(&sim, &names)
    );
    // One that is silent alone is given up as ever.
    set_unresponsive(&mut sim, &names[5..], true);
    sim.run_for(12_000);
    assert_eq!(released(&sim, &names), [&names[5]]);
}

/// A zone beyond a partition was once declared failed at the end of an outage, during
/// which no follower could have stored that it renews leases there.
#[test]
fn a_silence_that_an_outage_hides_does_not_count() {
    let (mut sim, names) = full_zone(1);
    set_unresponsive(&mut sim, &names, true);
    sim.run_for(5000);
    sim.kv_store.unavailable = true;
    sim.run_for(25_000);
    sim.end_kv_store_outage();
    sim.run_for(12_000);
    assert!(
        released(&sim, &names).is_empty(),
        "{:?}",
        released(&sim, &names)
    );
    sim.run_for(20_000);
    assert_eq!(released(&sim, &names).len(), 6, "in the end it does");
}

/// The same, whenever between two heartbeats the partition begins: messages from a leader
/// and messages to it stop at different moments, and heartbeats that arrived in between
/// once got no reply.
#[test]
fn a_zone_cut_off_at_any_moment_between_heartbeats_ends_no_task() {
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
            "cut after {offset_ms} ms: {:?}",
            sim.start_log
        );
        assert!(released(&sim, &names).is_empty(), "none is given up");
    }
}

//! Initial states and faults shared by many tests.

use super::{array, service, Delivery, Simulation};
use lilacfork::messages::Destination;
use serde_json::{json, Value};
use std::ops::Range;

/// Creates a cluster with an elected leader and one running machine in each zone.
pub fn running_cluster(nodes: usize) -> Simulation {
    let mut sim = Simulation::new(nodes);
    sim.add_machine("vm-a", "a", false, true);
    sim.add_machine("vm-b", "b", false, true);
    sim.run_until(5000);
    assert!(sim.leader().is_some(), "no leader was elected within 5 s");
    sim
}

/// Returns the pairs of a controller and a zone that a partition between the zones separates,
/// for [`Simulation::partitions`]. Among three controllers, the second is in zone `b` and the
/// others are in zone `a`.
pub fn zone_partitions() -> Vec<(usize, String)> {
    (0..3)
        .flat_map(|node| ["a", "b"].map(|zone| (node, zone.to_string())))
        .filter(|(node, zone)| (*node == 1) != (zone == "b"))
        .collect()
}

/// Returns whether a call from a controller to the peer with an address crosses the partition
/// between the zones.
pub fn crosses_partition(node: usize, peer: &str) -> bool {
    (node == 1) != (peer == "10.0.0.2:8081")
}

/// Partitions the zones: neither controllers nor workers reach the controllers and workers of
/// the other zone.
pub fn partition_zones(sim: &mut Simulation) {
    sim.partitions = zone_partitions();
    sim.fault_injector = Box::new(|_, node, call| match &call.destination {
        Destination::Peer(address) if crosses_partition(node, address) => Delivery::RequestLost,
        _ => Delivery::Normal,
    });
}

/// Isolates zone `b`: partitions the zones, and also the second controller, which is the only one
/// in zone `b`, from the key-value store.
pub fn isolate_zone(sim: &mut Simulation) {
    sim.partitions = zone_partitions();
    sim.fault_injector = Box::new(|_, node, call| match &call.destination {
        Destination::Peer(address) if crosses_partition(node, address) => Delivery::RequestLost,
        Destination::KvStore | Destination::KvWatch if node == 1 => Delivery::RequestLost,
        _ => Delivery::Normal,
    });
}

/// Ends all network partitions and injected faults.
pub fn heal(sim: &mut Simulation) {
    sim.partitions.clear();
    sim.fault_injector = Box::new(|_, _, _| Delivery::Normal);
}

/// Creates a [`running_cluster`] with six more machines in zone `b`. All machines of the zone
/// are filled with tasks that run until the end of the test. Returns the names of the six.
pub fn full_zone(nodes: usize) -> (Simulation, Vec<String>) {
    let mut sim = running_cluster(nodes);
    sim.task_duration_ms = 600_000;
    sim.capacity = 0;
    let names: Vec<String> = (1..7).map(|index| format!("vm-z{index}")).collect();
    for name in &names {
        sim.add_machine(name, "b", false, true);
    }
    let mut spec = array("run-1", 56);
    spec["secteur"] = json!("b");
    assert_eq!(sim.submit(0, &spec), 201);
    sim.run_for(5000);
    assert_eq!(sim.on_machines("run-1"), 56);
    (sim, names)
}

/// Makes machines unresponsive, or responsive again if `unresponsive` is false.
pub fn set_unresponsive(sim: &mut Simulation, names: &[String], unresponsive: bool) {
    for name in names {
        sim.workers.get_mut(name).unwrap().unresponsive = unresponsive;
    }
}

/// Returns those of the named machines that have been released.
pub fn released<'a>(sim: &Simulation, names: &'a [String]) -> Vec<&'a String> {
    names
        .iter()
        .filter(|name| sim.workers[*name].released)
        .collect()
}

/// Fails the test if a task of a [`full_zone`] was restarted, or one of its machines released.
#[track_caller]
pub fn assert_zone_unaffected(sim: &Simulation, names: &[String]) {
    assert_eq!(
        sim.start_log.len(),
        56,
        "tasks were restarted: {:?}",
        sim.start_log
    );
    assert!(
        released(sim, names).is_empty(),
        "machines were declared failed"
    );
}

/// Returns the index of the controller with a peer address such as `10.0.0.1:8081`.
pub fn node_at(address: &str) -> usize {
    usize::from(address.as_bytes()[7] - b'1')
}

/// Delivers one controller's calls to the key-value store with a fault. If `lose_peer_calls`,
/// calls between this controller and its peers are lost too, in both directions.
pub fn isolate_node(
    sim: &mut Simulation,
    isolated: usize,
    kv_store_delivery: Delivery,
    lose_peer_calls: bool,
) {
    let separated = if lose_peer_calls {
        vec![isolated]
    } else {
        Vec::new()
    };
    cut_off(
        sim,
        Cut {
            from_kv_store: vec![isolated],
            kv_store_delivery,
            separated,
        },
    );
}

/// A loss of connections by several controllers at once.
pub struct Cut {
    /// The controllers whose calls to the key-value store get `kv_store_delivery`.
    pub from_kv_store: Vec<usize>,
    pub kv_store_delivery: Delivery,
    /// A group of controllers between which and the others calls are lost, in both directions.
    /// Calls within the group are delivered.
    pub separated: Vec<usize>,
}

/// Applies a cut, in place of all faults injected before.
pub fn cut_off(sim: &mut Simulation, cut: Cut) {
    sim.fault_injector = Box::new(move |_, node, call| match &call.destination {
        Destination::KvStore | Destination::KvWatch if cut.from_kv_store.contains(&node) => {
            cut.kv_store_delivery
        }
        Destination::Peer(address)
            if cut.separated.contains(&node) != cut.separated.contains(&node_at(address)) =>
        {
            Delivery::RequestLost
        }
        _ => Delivery::Normal,
    });
}

/// Returns the specification of a service whose class has no service-level objective, so
/// that no capacity is reserved for it.
pub fn service_without_objective(id: &str) -> Value {
    let mut spec = service(id, 20);
    spec["gabarit"] = json!("help");
    spec
}

/// Returns how many task attempts of a job have been started on all machines.
pub fn task_starts(sim: &Simulation, job: &str) -> usize {
    let prefix = format!(" {job}/");
    sim.start_log
        .iter()
        .filter(|start| start.contains(&prefix))
        .count()
}

/// Returns the seeds of `SEEDS=FROM..TO` in the environment (`TO` is excluded), or else `default`.
pub fn seeds_or(default: Range<u64>) -> Range<u64> {
    let seeds = std::env::var("SEEDS").ok();
    let seeds = seeds
        .as_deref()
        .and_then(|seeds| seeds.split_once(".."))
        .and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    seeds.unwrap_or(default)
}

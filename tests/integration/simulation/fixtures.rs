//! Initial states and faults that many tests share.

use super::{array, service, Delivery, Simulation};
use lilacfork::messages::Destination;
use serde_json::{json, Value};

/// Controllers that have a leader, and a machine in each zone.
pub fn running_cluster(nodes: usize) -> Simulation {
    let mut sim = Simulation::new(nodes);
    sim.add_machine("vm-a", "a", false, true);
    sim.add_machine("vm-b", "b", false, true);
    sim.run_until(5000);
    assert!(sim.leader().is_some(), "somebody leads");
    sim
}

/// Partitions between the second node's zone and that of the others.
pub fn zone_partitions() -> Vec<(usize, String)> {
    (0..3)
        .flat_map(|n| ["a", "b"].map(|z| (n, z.to_string())))
        .filter(|(n, z)| (*n == 1) != (z == "b"))
        .collect()
}

/// Whether a call from this node to that peer crosses the zones' partition.
pub fn crosses_partition(node: usize, peer: &str) -> bool {
    (node == 1) != (peer == "10.0.0.2:8081")
}

/// Neither workers nor controllers reach those of the other zone.
pub fn partition_zones(sim: &mut Simulation) {
    sim.partitions = zone_partitions();
    sim.fault_injector = Box::new(|_, node, call| match &call.destination {
        Destination::Peer(addr) if crosses_partition(node, addr) => Delivery::RequestLost,
        _ => Delivery::Normal,
    });
}

/// The second node's zone is partitioned from the other one, and the node from the
/// key-value store too.
pub fn isolate_zone(sim: &mut Simulation) {
    sim.partitions = zone_partitions();
    sim.fault_injector = Box::new(|_, node, call| match &call.destination {
        Destination::Peer(addr) if crosses_partition(node, addr) => Delivery::RequestLost,
        Destination::KvStore | Destination::KvWatch if node == 1 => Delivery::RequestLost,
        _ => Delivery::Normal,
    });
}

/// Ends all partitions and injected faults.
pub fn heal(sim: &mut Simulation) {
    sim.partitions.clear();
    sim.fault_injector = Box::new(|_, _, _| Delivery::Normal);
}

/// A zone of six machines beside those of [`running_cluster`], all full of tasks that run
/// until the end of the test; returns their names.
pub fn full_zone(nodes: usize) -> (Simulation, Vec<String>) {
    let mut sim = running_cluster(nodes);
    sim.task_duration_ms = 600_000;
    sim.capacity = 0;
    let names: Vec<String> = (1..7).map(|n| format!("vm-z{n}")).collect();
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

/// Lets machines become silent, or respond again.
pub fn set_silent(sim: &mut Simulation, names: &[String], silent: bool) {
    for name in names {
        sim.workers.get_mut(name).unwrap().silent = silent;
    }
}

/// Those of the machines that were released.
pub fn released<'a>(sim: &Simulation, names: &'a [String]) -> Vec<&'a String> {
    names.iter().filter(|n| sim.workers[*n].released).collect()
}

/// The node at a peer's address.
pub fn node_at(addr: &str) -> usize {
    usize::from(addr.as_bytes()[7] - b'1')
}

/// This node's calls alone to the key-value store meet this fault, and, if `deaf`, it and
/// the other controllers don't reach each other.
pub fn isolate_node(sim: &mut Simulation, lone: usize, from_state: Delivery, deaf: bool) {
    sim.fault_injector = Box::new(move |_, node, call| match &call.destination {
        Destination::KvStore | Destination::KvWatch if node == lone => from_state,
        Destination::Peer(addr) if deaf && (node == lone || node_at(addr) == lone) => {
            Delivery::RequestLost
        }
        _ => Delivery::Normal,
    });
}

/// A service of a class without a service-level objective, for which no capacity is
/// reserved.
pub fn service_without_objective(id: &str) -> Value {
    let mut spec = service(id, 20);
    spec["gabarit"] = json!("help");
    spec
}

/// How often tasks of a job were started on any machine.
pub fn task_starts(sim: &Simulation, job: &str) -> usize {
    let prefix = format!(" {job}/");
    sim.start_log
        .iter()
        .filter(|start| start.contains(&prefix))
        .count()
}

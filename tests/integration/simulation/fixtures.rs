//! Where many traces begin, and troubles that many have.

use super::{array, service, Fate, Simulation};
use lilacfork::messages::Destination;
use serde_json::{json, Value};

pub fn up(nodes: usize) -> Simulation {
    let mut w = Simulation::new(nodes);
    w.add_machine("vm-a", "a", false, true);
    w.add_machine("vm-b", "b", false, true);
    w.run_until(5000);
    assert!(w.leader().is_some(), "somebody leads");
    w
}

/// The second node's zone apart from the others'.
pub fn cut_zones() -> Vec<(usize, String)> {
    (0..3)
        .flat_map(|n| ["a", "b"].map(|z| (n, z.to_string())))
        .filter(|(n, z)| (*n == 1) != (z == "b"))
        .collect()
}

/// Whether a call from this node to that peer crosses the cut.
pub fn crosses(node: usize, peer: &str) -> bool {
    (node == 1) != (peer == "10.0.0.2:8081")
}

/// Neither workers nor controllers hear those of the other zone.
pub fn cut_between_zones(w: &mut Simulation) {
    w.partitions = cut_zones();
    w.hook = Box::new(|_, node, call| match &call.target {
        Destination::Peer(addr) if crosses(node, addr) => Fate::LoseRequest,
        _ => Fate::Pass,
    });
}

/// The second node's zone is apart from the other one, and the node from the state
/// service too.
pub fn cut_zone_from_everything(w: &mut Simulation) {
    w.partitions = cut_zones();
    w.hook = Box::new(|_, node, call| match &call.target {
        Destination::Peer(addr) if crosses(node, addr) => Fate::LoseRequest,
        Destination::KvStore | Destination::KvWatch if node == 1 => Fate::LoseRequest,
        _ => Fate::Pass,
    });
}

/// Whatever was cut or lost is heard again.
pub fn heal(w: &mut Simulation) {
    w.partitions.clear();
    w.hook = Box::new(|_, _, _| Fate::Pass);
}

/// A zone of six full machines beside the two.
pub fn full_zone(nodes: usize) -> (Simulation, Vec<String>) {
    let mut w = up(nodes);
    w.run_ms = 600_000;
    w.capacity = 0;
    let names: Vec<String> = (1..7).map(|n| format!("vm-z{n}")).collect();
    for name in &names {
        w.add_machine(name, "b", false, true);
    }
    let mut spec = array("run-1", 56);
    spec["secteur"] = json!("b");
    assert_eq!(w.submit(0, &spec), 201);
    w.run_for(5000);
    assert_eq!(w.on_machines("run-1"), 56);
    (w, names)
}

pub fn set_silent(w: &mut Simulation, names: &[String], silent: bool) {
    for name in names {
        w.workers.get_mut(name).unwrap().silent = silent;
    }
}

pub fn gone<'a>(w: &Simulation, names: &'a [String]) -> Vec<&'a String> {
    names.iter().filter(|n| w.workers[*n].gone).collect()
}

/// The node that a peer's address names.
pub fn node_at(addr: &str) -> usize {
    usize::from(addr.as_bytes()[7] - b'1')
}

/// This node alone loses the state service, in this way, and, if `deaf`, the
/// other controllers.
pub fn cut_off(w: &mut Simulation, lone: usize, from_state: Fate, deaf: bool) {
    w.hook = Box::new(move |_, node, call| match &call.target {
        Destination::KvStore | Destination::KvWatch if node == lone => from_state,
        Destination::Peer(addr) if deaf && (node == lone || node_at(addr) == lone) => {
            Fate::LoseRequest
        }
        _ => Fate::Pass,
    });
}

/// A service of a class without an aim, so that no room is kept for others.
pub fn patient(id: &str) -> Value {
    let mut spec = service(id, 20);
    spec["gabarit"] = json!("help");
    spec
}

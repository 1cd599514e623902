//! How many writes of the key-value store replica groups take.

use super::noticed;
use crate::simulation::replica_groups::{
    cluster_with_machines, machines_by_task, running, start_service, whole_machine_service,
};
use crate::simulation::Delivery;
use std::cell::Cell;
use std::rc::Rc;

/// Writes of the key-value store are the scarcest resource: a start takes one, a repair or
/// a migration two at most.
#[test]
fn starts_repairs_and_moves_take_few_changes() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    let writes = Rc::new(Cell::new(0));
    let seen = writes.clone();
    sim.fault_injector = Box::new(move |_, _, call| {
        let body = String::from_utf8_lossy(&call.body);
        let stores = call.path == "/txn" && body.contains("\"set\":\"p/run-1/");
        seen.set(seen.get() + u32::from(stores));
        Delivery::Normal
    });
    start_service(&mut sim, &whole_machine_service("run-1", 2));
    assert_eq!(writes.replace(0), 1, "a start");
    let lost = machines_by_task(&sim, "run-1")["run-1/1"].clone();
    sim.workers.get_mut(&lost).unwrap().unresponsive = true;
    sim.run_for(16_000);
    assert_eq!(running(&mut sim, "run-1"), 2);
    let repair = writes.replace(0);
    assert!((1..=2).contains(&repair), "a repair takes {repair}");
    noticed(&mut sim);
    sim.run_for(6000);
    assert_eq!(running(&mut sim, "run-1"), 2);
    assert_eq!(writes.get(), 2, "a move");
}

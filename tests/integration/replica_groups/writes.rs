//! The number of key-value store writes that operations on replica groups take.

use super::send_preemption_notice;
use crate::simulation::replica_groups::{
    cluster_with_machines, machines_by_task, running, start_service, whole_machine_service,
};
use crate::simulation::Delivery;
use std::cell::Cell;
use std::rc::Rc;

/// Writes to the key-value store are the scarcest resource. A start takes one write, and a repair
/// or a migration takes at most two.
#[test]
fn start_takes_one_write_and_repair_or_migration_at_most_two() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    let writes = Rc::new(Cell::new(0));
    let counter = writes.clone();
    sim.fault_injector = Box::new(move |_, _, call| {
        let body = String::from_utf8_lossy(&call.body);
        let writes_placement = call.path == "/txn" && body.contains("\"set\":\"p/run-1/");
        counter.set(counter.get() + u32::from(writes_placement));
        Delivery::Normal
    });
    start_service(&mut sim, &whole_machine_service("run-1", 2));
    assert_eq!(writes.replace(0), 1, "writes of a start");
    let lost = machines_by_task(&sim, "run-1")["run-1/1"].clone();
    sim.workers.get_mut(&lost).unwrap().unresponsive = true;
    sim.run_for(16_000);
    assert_eq!(running(&mut sim, "run-1"), 2);
    let repair_writes = writes.replace(0);
    assert!(
        (1..=2).contains(&repair_writes),
        "a repair takes {repair_writes} writes"
    );
    send_preemption_notice(&mut sim);
    sim.run_for(6000);
    assert_eq!(running(&mut sim, "run-1"), 2);
    assert_eq!(writes.get(), 2, "writes of a migration");
}

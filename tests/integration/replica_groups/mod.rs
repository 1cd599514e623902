//! Replica groups: the parts of a group start, migrate and are repaired together, despite
//! failures of machines, controllers and the key-value store.

mod admission;
mod cancellations;
mod capacity;
mod circuit_breakers;
mod gangs;
mod leader_changes;
mod migrations;
mod repairs;
mod starts;
mod writes;

use crate::simulation::replica_groups::machines_by_task;
use crate::simulation::{array, Simulation};
use serde_json::json;

/// The maximum time for which a replica may have running parts while other parts are on no machine.
/// In the simulations a machine counts as unresponsive after 3 s and is declared failed after 8 s.
/// The other parts of its replica are stopped within two heartbeats after that.
const MAX_INCOMPLETE_MS: u64 = 12_000;

/// Returns the longest time for which a replica of `run-1` had running parts while other parts
/// were on no machine.
fn longest_incomplete_ms(sim: &Simulation) -> u64 {
    sim.replicas["run-1"].longest_incomplete_ms
}

/// Sends a preemption notice to the machine of the second part of `run-1`, and returns the
/// machine's name.
fn send_preemption_notice(sim: &mut Simulation) -> String {
    let machine = machines_by_task(sim, "run-1")["run-1/1"].clone();
    sim.workers.get_mut(&machine).unwrap().preemption_notice_s = Some(60.0);
    machine
}

/// The operation on a replica during which a test injects a fault or a cancellation.
#[derive(Clone, Copy, PartialEq, Debug)]
enum GroupOperation {
    Start,
    Repair,
    Migration,
}

/// Returns the specification of a gang whose tasks take a whole machine each.
fn gang(id: &str, tasks: u32) -> serde_json::Value {
    let mut spec = array(id, tasks);
    spec["genre"] = json!("group");
    spec["gpus"] = json!(8.0);
    spec["cpus"] = json!(90.0);
    spec
}

//! Replica groups: their parts start, migrate and are repaired together, whatever
//! fails.

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

/// The longest repair: in the simulations a machine counts as silent after 3 s and is
/// declared failed after 8 s; the other parts of its replica are stopped within two
/// heartbeats of that.
const REPAIR_MS: u64 = 12_000;

/// The longest time for which an incomplete replica of `run-1` had parts on machines.
fn longest(sim: &Simulation) -> u64 {
    sim.replicas["run-1"].longest_incomplete_ms
}

/// Announces that the machine of the second part is going to be reclaimed, and returns
/// it.
fn noticed(sim: &mut Simulation) -> String {
    let machine = machines_by_task(sim, "run-1")["run-1/1"].clone();
    sim.workers.get_mut(&machine).unwrap().preemption_notice_s = Some(60.0);
    machine
}

/// What happens to the replica meanwhile.
#[derive(Clone, Copy, PartialEq, Debug)]
enum During {
    Start,
    Repair,
    Migration,
}

/// A gang whose tasks take a whole machine each.
fn gang(id: &str, tasks: u32) -> serde_json::Value {
    let mut spec = array(id, tasks);
    spec["genre"] = json!("group");
    spec["gpus"] = json!(8.0);
    spec["cpus"] = json!(90.0);
    spec
}

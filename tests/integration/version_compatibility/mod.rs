//! Compatibility of version 0.1 and the current version, which share one set of records, and
//! limits of the key-value store that are lowered while the controllers run.

mod lowered_limits;
mod shared_records;

use crate::simulation::kv_store::SizeLimits;
use crate::simulation::{array, Simulation};
use lilacfork::settings::AnnouncedKvStoreLimits;
use serde_json::{json, Value};

/// The limits of the key-value store after they are lowered.
const LOWERED_LIMITS: SizeLimits = SizeLimits {
    value_bytes: 2048,
    txn_ops: 6,
};

/// Returns the settings that announce [`LOWERED_LIMITS`].
fn announced_limits() -> AnnouncedKvStoreLimits {
    AnnouncedKvStoreLimits {
        rps: None,
        write_rps: Some(30.0),
        value_kb: Some(2.0),
        txn_ops: Some(6),
    }
}

/// Returns an array whose tasks are so small that many fit on one machine.
fn small_tasks(id: &str, tasks: u32) -> Value {
    let mut spec = array(id, tasks);
    spec["cpus"] = json!(0.5);
    spec["gpus"] = json!(0.0);
    spec["memoryGb"] = json!(1.0);
    spec
}

/// Creates a cluster of three controllers, and machines with capacity for 400 small tasks. The
/// settings announce the given limits of the key-value store, if any.
fn large_cluster(announced: Option<AnnouncedKvStoreLimits>) -> Simulation {
    let mut sim = match announced {
        Some(announced) => Simulation::with_announced_limits(3, announced),
        None => Simulation::new(3),
    };
    for n in 0..4 {
        sim.add_machine(&format!("vm-{n}"), "a", false, true);
    }
    sim.run_until(5000);
    sim
}

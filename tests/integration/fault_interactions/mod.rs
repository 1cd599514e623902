//! Two faults at a time: one trace for each combination that operators have met and that
//! no other file holds (docs/FAULT_INTERACTIONS.md). The observer checks the protocol's
//! rules throughout; a test adds what has to be served.

mod kv_store_faults;
mod leader_changes;
mod overload;
mod stale_heartbeats;
mod unreachable_machines;
mod user_requests;

use crate::simulation::Simulation;

/// Kills the leader, and restarts it once another node leads; returns that node.
fn change_leader(sim: &mut Simulation) -> usize {
    let old = sim.leader().expect("somebody leads");
    sim.kill(old);
    sim.run_for(4500);
    sim.start(old);
    let new = sim.leader().expect("somebody else leads");
    assert_ne!(new, old);
    new
}

//! Tests of interactions between two faults. Each test reproduces one combination that operators
//! have encountered and that no other file covers (docs/FAULT_INTERACTIONS.md). The observer
//! checks the protocol's rules throughout; each test also checks which jobs are served.

mod kv_store_faults;
mod leader_changes;
mod overload;
mod stale_heartbeats;
mod unreachable_machines;
mod user_requests;

use crate::simulation::Simulation;

/// Kills the leader and restarts its process after 4.5 s, when another controller must lead.
/// Returns the index of the new leader.
fn change_leader(sim: &mut Simulation) -> usize {
    let old = sim.leader().expect("no leader before the failover");
    sim.kill(old);
    sim.run_for(4500);
    sim.start(old);
    let new = sim.leader().expect("no leader after the failover");
    assert_ne!(new, old, "the killed leader leads again");
    new
}

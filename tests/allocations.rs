//! Measures the heap allocations of a leader for a heartbeat, which is the most frequent
//! message. The test is a separate program because the allocator counts the allocations of
//! the whole process.

mod full_leader;

use full_leader::{Leader, TASKS_PER_MACHINE};
use lilacfork::messages::{Effect, Request};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

const HEARTBEATS: u64 = 100;

/// Returns the number of blocks that a leader with a full fleet allocates for a heartbeat
/// that reports no change.
fn blocks_per_heartbeat(machines: usize) -> u64 {
    let mut leader = Leader::new(machines);
    let heartbeats: Vec<Request> = (0..HEARTBEATS).map(|_| leader.next_heartbeat()).collect();
    let before = dhat::HeapStats::get().total_blocks;
    for heartbeat in heartbeats {
        leader.request(heartbeat);
        let effects = &leader.effects;
        assert!(matches!(&effects[..], [Effect::Reply(_, reply)] if reply.status == 200));
    }
    (dhat::HeapStats::get().total_blocks - before) / HEARTBEATS
}

/// Guards against redundant allocations: an earlier version allocated 41 blocks for a
/// heartbeat with eight tasks, because it parsed task names up to three times and copied known
/// state.
#[test]
fn unchanged_heartbeat_allocations_are_bounded_for_any_fleet_size() {
    let _profiler = dhat::Profiler::builder().testing().build();
    let small = blocks_per_heartbeat(20);
    let large = blocks_per_heartbeat(100);
    assert!(
        small <= 3 * TASKS_PER_MACHINE as u64,
        "too many blocks per heartbeat: {small}"
    );
    assert!(
        large <= small + 1,
        "blocks per heartbeat grow with the fleet: {small} with 20 machines, {large} with 100"
    );
}

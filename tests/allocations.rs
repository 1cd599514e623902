//! What a leader allocates for the message that comes most often. A program of its own:
//! the allocator counts for the whole process.

mod full_leader;

use full_leader::{Leader, TASKS_PER_MACHINE};
use lilacfork::messages::{Effect, Request};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

const HEARTBEATS: u64 = 100;

/// Blocks that a leader of a full fleet allocates for one heartbeat with nothing new.
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

/// It was 41 blocks for eight tasks: names parsed up to three times, and copies
/// of what was known.
#[test]
fn a_heartbeat_with_nothing_new_allocates_little_whatever_the_fleet() {
    let _profiler = dhat::Profiler::builder().testing().build();
    let small = blocks_per_heartbeat(20);
    let large = blocks_per_heartbeat(100);
    assert!(
        small <= 3 * TASKS_PER_MACHINE as u64,
        "blocks per heartbeat: {small}"
    );
    assert!(large <= small + 1, "with five times the fleet: {large}");
}

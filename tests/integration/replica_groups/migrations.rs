//! Migrations of replica groups after a reclaim notice.

use super::noticed;
use crate::simulation::replica_groups::{
    cluster_with_machines, first_placement_record, machines_by_task, running, start_service,
    whole_machine_service,
};

#[test]
fn a_notice_moves_the_replica_where_room_was_found_first() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c"]);
    start_service(&mut sim, &whole_machine_service("run-1", 2));
    let before = machines_by_task(&sim, "run-1");
    let leaving = noticed(&mut sim);
    let mut intents = 0;
    let mut stopped_before_stored = false;
    for _ in 0..600 {
        sim.run_for(10);
        let intent =
            first_placement_record(&sim, "run-1").is_some_and(|p| p["g"][0]["m"].is_object());
        intents += u32::from(intent);
        stopped_before_stored |= intents == 0 && sim.on_machines("run-1") < 2;
    }
    assert!(intents > 0, "the intent is stored");
    assert!(!stopped_before_stored, "before the first step");
    sim.run_for(3000);
    let after = machines_by_task(&sim, "run-1");
    assert_eq!(after["run-1/0"], before["run-1/0"]);
    assert_ne!(after["run-1/1"], leaving);
    assert_eq!(running(&mut sim, "run-1"), 2);
    let record = first_placement_record(&sim, "run-1").unwrap();
    assert!(record["g"].is_null(), "nothing is left of it: {record}");
}

#[test]
fn without_room_to_move_to_a_noticed_replica_stops_as_a_whole() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b"]);
    start_service(&mut sim, &whole_machine_service("run-1", 2));
    noticed(&mut sim);
    sim.run_for(4000);
    assert_eq!(sim.on_machines("run-1"), 0);
    sim.add_machine("vm-c", "a", false, true);
    sim.run_for(5000);
    assert_eq!(running(&mut sim, "run-1"), 2);
}

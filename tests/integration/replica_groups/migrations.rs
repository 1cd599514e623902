//! Migrations of replica groups after a reclaim notice.

use super::noticed;
use crate::simulation::replica_groups::{machines, placement, places, shown, started, wide};

#[test]
fn a_notice_moves_the_replica_where_room_was_found_first() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
    started(&mut w, &wide("run-1", 2));
    let before = places(&w, "run-1");
    let leaving = noticed(&mut w);
    let mut intents = 0;
    let mut stopped_before_stored = false;
    for _ in 0..600 {
        w.run_for(10);
        let intent = placement(&w, "run-1").is_some_and(|p| p["g"][0]["m"].is_object());
        intents += u32::from(intent);
        stopped_before_stored |= intents == 0 && w.on_machines("run-1") < 2;
    }
    assert!(intents > 0, "the intent is stored");
    assert!(!stopped_before_stored, "before the first step");
    w.run_for(3000);
    let after = places(&w, "run-1");
    assert_eq!(after["run-1/0"], before["run-1/0"]);
    assert_ne!(after["run-1/1"], leaving);
    assert_eq!(shown(&mut w, "run-1"), 2);
    let record = placement(&w, "run-1").unwrap();
    assert!(record["g"].is_null(), "nothing is left of it: {record}");
}

#[test]
fn without_room_to_move_to_a_noticed_replica_stops_as_a_whole() {
    let mut w = machines(3, &["vm-a", "vm-b"]);
    started(&mut w, &wide("run-1", 2));
    noticed(&mut w);
    w.run_for(4000);
    assert_eq!(w.on_machines("run-1"), 0);
    w.add_machine("vm-c", "a", false, true);
    w.run_for(5000);
    assert_eq!(shown(&mut w, "run-1"), 2);
}

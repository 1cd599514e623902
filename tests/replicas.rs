//! Replicas that span machines: parts start, move and are repaired together,
//! whatever fails.

mod world;

use serde_json::json;
use world::replicas::{attempts, machines, places, started, wide};

#[test]
fn a_replica_starts_whole_on_different_machines_under_one_attempt() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    let mut spec = wide("run-1", 4);
    spec["gpus"] = json!(1.0);
    spec["cpus"] = json!(4.0);
    started(&mut w, &spec);
    let (at, attempt) = (places(&w, "run-1"), attempts(&w, "run-1"));
    for (one, other) in [("run-1/0", "run-1/1"), ("run-1/2", "run-1/3")] {
        assert_ne!(at[one], at[other], "{at:?}");
        assert_eq!(attempt[one], attempt[other], "one generation");
    }
    assert_ne!(attempt["run-1/0"], attempt["run-1/2"]);
}

#[test]
fn a_replica_that_loses_a_machine_starts_again_as_a_whole() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c"]);
    started(&mut w, &wide("run-1", 2));
    let before = places(&w, "run-1");
    let generation = attempts(&w, "run-1")["run-1/0"];
    let lost = before["run-1/1"].clone();
    w.workers.get_mut(&lost).unwrap().silent = true;
    for _ in 0..20 {
        w.run_for(1000);
        world::replicas::shown(&mut w, "run-1");
    }
    assert_eq!(world::replicas::shown(&mut w, "run-1"), 2);
    let after = places(&w, "run-1");
    assert_eq!(
        after["run-1/0"], before["run-1/0"],
        "the survivor's machine is kept"
    );
    assert_ne!(after["run-1/1"], lost);
    let attempts = attempts(&w, "run-1");
    assert_eq!(attempts["run-1/0"], attempts["run-1/1"]);
    assert!(attempts["run-1/0"] > generation);
    assert_eq!(w.trace.len(), 4, "{:?}", w.trace);
    assert!(
        w.watched["run-1"].longest_incomplete_ms < 4000,
        "{:?}",
        w.watched
    );
}

//! Kept traces of two troubles that meet, one for each meeting that the
//! operators have named and that no other file holds. The observer checks the
//! rules at every step; a test adds what has to be served.

mod world;

use lilacfork::msg::Target;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::rc::Rc;
use world::scenes::{cut_between_zones, full_zone, gone, heal, set_silent, up};
use world::{array, service, Fate, World, CANCEL_MS, LEASE_MS};

/// Ends the leader, and returns who leads next.
fn change_leader(w: &mut World) -> usize {
    let old = w.leader().expect("somebody leads");
    w.kill(old);
    w.run_for(4500);
    w.start(old);
    let new = w.leader().expect("somebody else leads");
    assert_ne!(new, old);
    new
}

/// A machine that reaches no controller, while direct commands reach it, was
/// heard by its answers to these: it got its tasks again whenever its lease
/// had ended them.
#[test]
fn a_mute_machine_is_given_up_though_direct_commands_reach_it() {
    let mut w = up(3);
    w.capacity = 2;
    let name = "vm-a";
    for (id, zone, tasks) in [("run-1", "a", 4), ("run-2", "b", 8)] {
        let mut spec = service(id, tasks);
        spec["secteur"] = json!(zone);
        assert_eq!(w.submit(0, &spec), 201);
    }
    w.run_for(3000);
    let on = w.workers[name].tasks.len();
    assert_eq!(on, 4);
    w.workers.get_mut(name).unwrap().mute = true;
    let started = w.trace.len();
    // Commands go there all the while, and are answered.
    for n in 0..50 {
        let id = format!("run-{}", 100 + n);
        let mut spec = service(&id, 2);
        spec["secteur"] = json!("a");
        assert_eq!(w.submit(0, &spec), 201);
        w.run_for(500);
        assert_eq!(w.cancel(0, &id).1, "cancelled");
        w.run_for(200);
    }
    assert!(w.workers[name].gone, "its lease can't be renewed");
    assert_eq!(w.on_machines("run-1/"), 4);
    let moved = w.trace[started..].iter().filter(|t| t.contains("run-1/"));
    let moved: Vec<_> = moved.collect();
    assert!(moved.iter().all(|t| !t.contains(name)), "{moved:?}");
    assert_eq!(moved.len(), on, "each moved once: {moved:?}");
}

/// The same machine with a cancelled job: the direct command stops it.
#[test]
fn a_mute_machine_stops_what_is_cancelled_at_once() {
    let mut w = up(3);
    assert_eq!(w.submit(0, &service("run-1", 16)), 201);
    w.run_for(3000);
    w.workers.get_mut("vm-a").unwrap().mute = true;
    w.run_for(1000);
    assert_eq!(w.cancel(1, "run-1").1, "cancelled");
    w.run_for(500);
    assert_eq!(w.on_machines("run-1"), 0);
}

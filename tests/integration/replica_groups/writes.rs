//! How many writes of the key-value store replica groups take.

use super::noticed;
use crate::simulation::replica_groups::{machines, places, shown, started, wide};
use crate::simulation::Fate;
use std::cell::Cell;
use std::rc::Rc;

/// Writes of the key-value store are the scarcest resource: a start takes one, a repair or
/// a migration two at most.
#[test]
fn starts_repairs_and_moves_take_few_changes() {
    let mut w = machines(3, &["vm-a", "vm-b", "vm-c", "vm-d"]);
    let writes = Rc::new(Cell::new(0));
    let seen = writes.clone();
    w.hook = Box::new(move |_, _, call| {
        let body = String::from_utf8_lossy(&call.body);
        let stores = call.path == "/txn" && body.contains("\"set\":\"p/run-1/");
        seen.set(seen.get() + u32::from(stores));
        Fate::Pass
    });
    started(&mut w, &wide("run-1", 2));
    assert_eq!(writes.replace(0), 1, "a start");
    let lost = places(&w, "run-1")["run-1/1"].clone();
    w.workers.get_mut(&lost).unwrap().silent = true;
    w.run_for(16_000);
    assert_eq!(shown(&mut w, "run-1"), 2);
    let repair = writes.replace(0);
    assert!((1..=2).contains(&repair), "a repair takes {repair}");
    noticed(&mut w);
    w.run_for(6000);
    assert_eq!(shown(&mut w, "run-1"), 2);
    assert_eq!(writes.get(), 2, "a move");
}

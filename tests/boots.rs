//! Kept traces: machines that come up at once, late or never.

mod world;

use world::{array, World};

/// An array whose tasks run for as long as the trace lasts, eight to a machine.
fn long_array(w: &mut World, id: &str, tasks: u32) {
    w.run_ms = 600_000;
    assert_eq!(w.submit(0, &array(id, tasks)), 201);
}

fn returned(w: &World) -> usize {
    w.workers.values().filter(|worker| worker.gone).count()
}

/// After some boots of a second, ordinary ones once took too long: machines
/// were given up after 8 s and rented again, without end, and none came up
/// (inc-683a, from 497 s on: twelve in a row).
#[test]
fn quick_boots_make_no_ordinary_one_late() {
    let mut w = World::new(1);
    w.boot_ms = 300;
    w.run_until(5000);
    for n in 0..8 {
        long_array(&mut w, &format!("run-{n}"), 8);
        w.run_for(2000);
    }
    assert_eq!(w.on_machines("run-"), 64);
    // The catalog says five seconds; some boots take several times as long.
    let before = w.workers.len();
    w.boot_ms = 12_000;
    long_array(&mut w, "run-8", 16);
    w.run_for(14_000);
    assert_eq!(returned(&w), 0, "none is late yet");
    assert_eq!(w.on_machines("run-8"), 16);
    assert!(
        w.workers.len() <= before + 4,
        "{} for two machines' work",
        w.workers.len() - before
    );
}

/// When all boots take several times as long as the catalog says, that is
/// learned from those that were given up, too; or none would ever come up.
#[test]
fn boots_that_all_take_long_are_waited_for_in_the_end() {
    let mut w = World::new(1);
    w.boot_ms = 22_000;
    w.run_until(5000);
    long_array(&mut w, "run-1", 16);
    w.run_for(60_000);
    assert_eq!(w.on_machines("run-1"), 16);
    let rented = w.workers.len();
    assert!(rented <= 12, "{rented} rented for two machines' work");
    long_array(&mut w, "run-2", 16);
    w.run_for(40_000);
    assert_eq!(w.on_machines("run-2"), 16);
    assert!(
        w.workers.len() - rented <= 4,
        "{} more for as much work",
        w.workers.len() - rented
    );
}

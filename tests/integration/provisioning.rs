//! Provisioning and release of machines.

use crate::simulation::fixtures::{running_cluster, service_without_objective};
use crate::simulation::{array, service, Fate, Simulation};
use lilacfork::messages::Destination;

#[test]
fn an_order_whose_response_is_lost_is_placed_once() {
    let mut w = Simulation::new(1);
    let mut lost = 0;
    w.hook = Box::new(move |_, _, call| {
        if call.destination == Destination::Cloud
            && call.body.windows(5).any(|b| b == b"\"bon\"")
            && lost < 2
        {
            lost += 1;
            return Fate::LoseAnswer;
        }
        Fate::Pass
    });
    w.run_until(2000);
    assert_eq!(w.submit(0, &service("run-1", 3)), 201);
    w.run_for(25_000);
    assert_eq!(w.on_machines("run-1"), 3);
    assert!(w.workers.len() <= 2, "{:?}", w.workers.keys());
}

/// Machines provisioned long after the call timed out: nobody expects them.
#[test]
fn an_unexpected_machine_is_used_and_then_released() {
    let mut w = Simulation::new(3);
    w.run_until(3000);
    w.cloud_away = true;
    assert_eq!(w.submit(0, &array("run-1", 2)), 201);
    w.run_for(2000);
    assert!(w.trace.is_empty());
    w.add_machine("vm-late", "b", true, true);
    w.run_for(8000);
    assert_eq!(w.poll(0, "run-1").1, "done", "{:?}", w.trace);
    w.cloud_away = false;
    w.run_for(90_000);
    assert!(w.workers["vm-late"].gone);
}

/// A new leader once took empty machines, which it knew by the cloud's list alone, for
/// ones that had never come up, and released them at once.
#[test]
fn a_new_leader_waits_for_the_reports_of_machines_that_it_finds_in_the_list() {
    let mut w = running_cluster(3);
    w.run_until(40_000);
    w.kill(w.leader().unwrap());
    // Their next reports come a little after the list.
    for worker in w.workers.values_mut() {
        worker.silent = true;
    }
    w.run_for(6000);
    for worker in w.workers.values_mut() {
        worker.silent = false;
    }
    w.run_for(3000);
    assert!(w.leader().is_some());
    assert!(!w.workers["vm-a"].gone && !w.workers["vm-b"].gone);
    assert_eq!(w.submit(w.leader().unwrap(), &service("run-1", 2)), 201);
    w.run_for(2000);
    assert_eq!(w.on_machines("run-1"), 2, "they are of use at once");
}

/// A new leader once began with no forecast of demand, and released the capacity that its
/// predecessor had reserved.
#[test]
fn a_new_leader_expects_what_stored_jobs_show() {
    let mut w = running_cluster(3);
    w.capacity = 0;
    for n in 0..16 {
        assert_eq!(w.submit(0, &service(&format!("run-{n}"), 1)), 201);
    }
    w.run_for(3000);
    assert_eq!(w.on_machines("run-"), 16, "all room is taken");
    w.kill(w.leader().unwrap());
    w.run_for(4000);
    assert!(w.leader().is_some());
    w.capacity = 100;
    let machines = w.workers.len();
    w.run_for(15_000);
    assert!(w.workers.len() > machines, "room is made for more");
}

/// After a burst of work dozens of machines once stayed empty for as long as the one or
/// two that the next arrival would need.
#[test]
fn of_many_empty_machines_most_leave_soon() {
    let mut w = running_cluster(1);
    w.capacity = 0;
    w.run_ms = 75_000;
    for n in 0..14 {
        w.add_machine(&format!("vm-e{n:02}"), "a", false, true);
    }
    w.run_for(3000);
    assert_eq!(w.submit(0, &array("run-1", 128)), 201);
    let there = |w: &Simulation| w.workers.values().filter(|m| !m.gone).count();
    w.run_until(82_500);
    assert_eq!((there(&w), w.on_machines("run-1")), (16, 128));
    w.run_until(87_000);
    assert_eq!((there(&w), w.on_machines("run-1")), (1, 0), "one waits");
    w.run_until(92_000);
    assert_eq!(there(&w), 0, "and leave in the end");
}

/// The very first leader once waited three heartbeat intervals for machines that nobody
/// could have provisioned, and all first jobs waited with it.
#[test]
fn the_first_leader_provisions_at_once_unless_machines_exist() {
    let mut w = Simulation::new(1);
    w.run_until(1000);
    assert_eq!(w.submit(0, &service_without_objective("run-1")), 201);
    w.run_for(500);
    assert_eq!(w.workers.len(), 3, "twenty replicas, eight to a machine");
    // What is there already is heard first.
    let mut w = Simulation::new(1);
    for n in 0..3 {
        w.add_machine(&format!("vm-e{n}"), "a", false, true);
    }
    w.run_until(100);
    assert_eq!(w.submit(0, &service_without_objective("run-1")), 201);
    w.run_until(5000);
    assert_eq!((w.workers.len(), w.on_machines("run-1")), (3, 20));
}

/// Jobs once waited for machines that took several times the usual time to boot: they
/// counted as coming capacity until twice that time.
#[test]
fn a_machine_that_boots_for_unusually_long_is_no_coming_capacity() {
    let mut w = Simulation::new(1);
    w.boot_ms = 40_000;
    w.run_until(5000);
    assert_eq!(w.submit(0, &service_without_objective("run-1")), 201);
    w.run_for(6500);
    let first = w.workers.len();
    assert!(first >= 3, "twenty replicas, eight to a machine: {first}");
    // The catalog says five seconds.
    w.run_for(2500);
    assert_eq!(
        w.workers.len(),
        first * 2,
        "others are rented in their stead"
    );
}

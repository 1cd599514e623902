//! Provisioning and release of machines.

use crate::simulation::fixtures::{running_cluster, service_without_objective};
use crate::simulation::{array, service, Delivery, Simulation};
use lilacfork::messages::Destination;

#[test]
fn an_order_whose_response_is_lost_is_placed_once() {
    let mut sim = Simulation::new(1);
    let mut lost = 0;
    sim.fault_injector = Box::new(move |_, _, call| {
        if call.destination == Destination::Cloud
            && call.body.windows(5).any(|b| b == b"\"bon\"")
            && lost < 2
        {
            lost += 1;
            return Delivery::ResponseLost;
        }
        Delivery::Normal
    });
    sim.run_until(2000);
    assert_eq!(sim.submit(0, &service("run-1", 3)), 201);
    sim.run_for(25_000);
    assert_eq!(sim.on_machines("run-1"), 3);
    assert!(sim.workers.len() <= 2, "{:?}", sim.workers.keys());
}

/// Machines provisioned long after the call timed out: nobody expects them.
#[test]
fn an_unexpected_machine_is_used_and_then_released() {
    let mut sim = Simulation::new(3);
    sim.run_until(3000);
    sim.cloud_unavailable = true;
    assert_eq!(sim.submit(0, &array("run-1", 2)), 201);
    sim.run_for(2000);
    assert!(sim.start_log.is_empty());
    sim.add_machine("vm-late", "b", true, true);
    sim.run_for(8000);
    assert_eq!(sim.poll(0, "run-1").1, "done", "{:?}", sim.start_log);
    sim.cloud_unavailable = false;
    sim.run_for(90_000);
    assert!(sim.workers["vm-late"].released);
}

/// A new leader once took empty machines, which it knew by the cloud's list alone, for
/// ones that had never come up, and released them at once.
#[test]
fn a_new_leader_waits_for_the_reports_of_machines_that_it_finds_in_the_list() {
    let mut sim = running_cluster(3);
    sim.run_until(40_000);
    sim.kill(sim.leader().unwrap());
    // Their next reports come a little after the list.
    for worker in sim.workers.values_mut() {
        worker.unresponsive = true;
    }
    sim.run_for(6000);
    for worker in sim.workers.values_mut() {
        worker.unresponsive = false;
    }
    sim.run_for(3000);
    assert!(sim.leader().is_some());
    assert!(!sim.workers["vm-a"].released && !sim.workers["vm-b"].released);
    assert_eq!(sim.submit(sim.leader().unwrap(), &service("run-1", 2)), 201);
    sim.run_for(2000);
    assert_eq!(sim.on_machines("run-1"), 2, "they are of use at once");
}

/// A new leader once began with no forecast of demand, and released the capacity that its
/// predecessor had reserved.
#[test]
fn a_new_leader_expects_what_stored_jobs_show() {
    let mut sim = running_cluster(3);
    sim.capacity = 0;
    for n in 0..16 {
        assert_eq!(sim.submit(0, &service(&format!("run-{n}"), 1)), 201);
    }
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-"), 16, "all room is taken");
    sim.kill(sim.leader().unwrap());
    sim.run_for(4000);
    assert!(sim.leader().is_some());
    sim.capacity = 100;
    let machines = sim.workers.len();
    sim.run_for(15_000);
    assert!(sim.workers.len() > machines, "room is made for more");
}

/// After a burst of work dozens of machines once stayed empty for as long as the one or
/// two that the next arrival would need.
#[test]
fn of_many_empty_machines_most_leave_soon() {
    let mut sim = running_cluster(1);
    sim.capacity = 0;
    sim.task_duration_ms = 75_000;
    for n in 0..14 {
        sim.add_machine(&format!("vm-e{n:02}"), "a", false, true);
    }
    sim.run_for(3000);
    assert_eq!(sim.submit(0, &array("run-1", 128)), 201);
    let there = |sim: &Simulation| sim.workers.values().filter(|m| !m.released).count();
    sim.run_until(82_500);
    assert_eq!((there(&sim), sim.on_machines("run-1")), (16, 128));
    sim.run_until(87_000);
    assert_eq!((there(&sim), sim.on_machines("run-1")), (1, 0), "one waits");
    sim.run_until(92_000);
    assert_eq!(there(&sim), 0, "and leave in the end");
}

/// The very first leader once waited three heartbeat intervals for machines that nobody
/// could have provisioned, and all first jobs waited with it.
#[test]
fn the_first_leader_provisions_at_once_unless_machines_exist() {
    let mut sim = Simulation::new(1);
    sim.run_until(1000);
    assert_eq!(sim.submit(0, &service_without_objective("run-1")), 201);
    sim.run_for(500);
    assert_eq!(sim.workers.len(), 3, "twenty replicas, eight to a machine");
    // What is there already is heard first.
    let mut sim = Simulation::new(1);
    for n in 0..3 {
        sim.add_machine(&format!("vm-e{n}"), "a", false, true);
    }
    sim.run_until(100);
    assert_eq!(sim.submit(0, &service_without_objective("run-1")), 201);
    sim.run_until(5000);
    assert_eq!((sim.workers.len(), sim.on_machines("run-1")), (3, 20));
}

/// Jobs once waited for machines that took several times the usual time to boot: they
/// counted as coming capacity until twice that time.
#[test]
fn a_machine_that_boots_for_unusually_long_is_no_coming_capacity() {
    let mut sim = Simulation::new(1);
    sim.boot_ms = 40_000;
    sim.run_until(5000);
    assert_eq!(sim.submit(0, &service_without_objective("run-1")), 201);
    sim.run_for(6500);
    let first = sim.workers.len();
    assert!(first >= 3, "twenty replicas, eight to a machine: {first}");
    // The catalog says five seconds.
    sim.run_for(2500);
    assert_eq!(
        sim.workers.len(),
        first * 2,
        "others are rented in their stead"
    );
}

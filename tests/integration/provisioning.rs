//! Tests of the provisioning and release of machines.

use crate::simulation::fixtures::{running_cluster, service_without_objective};
use crate::simulation::{array, service, Delivery, Simulation};
use lilacfork::messages::Destination;

#[test]
fn provisioning_order_with_lost_response_is_placed_once() {
    let mut sim = Simulation::new(1);
    let mut lost_responses = 0;
    sim.fault_injector = Box::new(move |_, _, call| {
        if call.destination == Destination::Cloud
            && call.body.windows(5).any(|b| b == b"\"bon\"")
            && lost_responses < 2
        {
            lost_responses += 1;
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

/// A cloud call that timed out may still provision a machine much later, when the leader no
/// longer expects it.
#[test]
fn unexpected_machine_runs_tasks_and_is_released_when_idle() {
    let mut sim = Simulation::new(3);
    sim.run_until(3000);
    sim.cloud_unavailable = true;
    assert_eq!(sim.submit(0, &array("run-1", 2)), 201);
    sim.run_for(2000);
    assert!(sim.start_log.is_empty());
    sim.add_machine("vm-late", "b", true, true);
    sim.run_for(8000);
    assert_eq!(sim.query(0, "run-1").1, "done", "{:?}", sim.start_log);
    sim.cloud_unavailable = false;
    sim.run_for(90_000);
    assert!(sim.workers["vm-late"].released);
}

/// In an earlier version, a new leader released empty machines immediately: the leader knew these
/// machines only from the cloud's list and treated them as machines that had never booted.
#[test]
fn new_leader_waits_for_heartbeats_of_listed_machines() {
    let mut sim = running_cluster(3);
    sim.run_until(40_000);
    sim.kill(sim.leader().unwrap());
    // The machines' next heartbeats arrive shortly after the cloud's list.
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
    assert_eq!(
        sim.on_machines("run-1"),
        2,
        "the machines didn't accept tasks immediately"
    );
}

/// In an earlier version, a new leader started without a demand forecast and released the capacity
/// that its predecessor had reserved.
#[test]
fn new_leader_forecasts_demand_from_stored_jobs() {
    let mut sim = running_cluster(3);
    sim.capacity = 0;
    for n in 0..16 {
        assert_eq!(sim.submit(0, &service(&format!("run-{n}"), 1)), 201);
    }
    sim.run_for(3000);
    assert_eq!(sim.on_machines("run-"), 16, "the machines aren't full");
    sim.kill(sim.leader().unwrap());
    sim.run_for(4000);
    assert!(sim.leader().is_some());
    sim.capacity = 100;
    let machines = sim.workers.len();
    sim.run_for(15_000);
    assert!(
        sim.workers.len() > machines,
        "no machine was provisioned for the forecast"
    );
}

/// In an earlier version, dozens of machines stayed idle after a burst of work, for as long as the
/// one or two machines that the next job would need.
#[test]
fn all_but_one_of_many_idle_machines_are_released_early() {
    let mut sim = running_cluster(1);
    sim.capacity = 0;
    sim.task_duration_ms = 75_000;
    for n in 0..14 {
        sim.add_machine(&format!("vm-e{n:02}"), "a", false, true);
    }
    sim.run_for(3000);
    assert_eq!(sim.submit(0, &array("run-1", 128)), 201);
    let unreleased = |sim: &Simulation| {
        sim.workers
            .values()
            .filter(|worker| !worker.released)
            .count()
    };
    sim.run_until(82_500);
    assert_eq!((unreleased(&sim), sim.on_machines("run-1")), (16, 128));
    sim.run_until(87_000);
    assert_eq!(
        (unreleased(&sim), sim.on_machines("run-1")),
        (1, 0),
        "not exactly one idle machine is kept"
    );
    sim.run_until(92_000);
    assert_eq!(
        unreleased(&sim),
        0,
        "the last idle machine was not released"
    );
}

/// In an earlier version, the first leader of a new deployment waited three heartbeat intervals for
/// heartbeats of machines that no earlier leader could have provisioned, which delayed the first
/// jobs.
#[test]
fn first_leader_provisions_immediately_unless_machines_exist() {
    let mut sim = Simulation::new(1);
    sim.run_until(1000);
    assert_eq!(sim.submit(0, &service_without_objective("run-1")), 201);
    sim.run_for(500);
    assert_eq!(
        sim.workers.len(),
        3,
        "wrong number of machines for twenty replicas, eight to a machine"
    );
    // If machines exist, the leader waits for their heartbeats first.
    let mut sim = Simulation::new(1);
    for n in 0..3 {
        sim.add_machine(&format!("vm-e{n}"), "a", false, true);
    }
    sim.run_until(100);
    assert_eq!(sim.submit(0, &service_without_objective("run-1")), 201);
    sim.run_until(5000);
    assert_eq!((sim.workers.len(), sim.on_machines("run-1")), (3, 20));
}

/// In an earlier version, jobs waited for machines that took several times the usual boot time,
/// because these machines counted as future capacity until twice the usual boot time.
#[test]
fn machine_with_overdue_boot_does_not_count_as_future_capacity() {
    let mut sim = Simulation::new(1);
    sim.boot_ms = 40_000;
    sim.run_until(5000);
    assert_eq!(sim.submit(0, &service_without_objective("run-1")), 201);
    sim.run_for(6500);
    let provisioned = sim.workers.len();
    assert!(
        provisioned >= 3,
        "only {provisioned} machines for twenty replicas, eight to a machine"
    );
    // The catalog states a boot time of 5 s.
    sim.run_for(2500);
    assert_eq!(
        sim.workers.len(),
        provisioned * 2,
        "wrong number of replacements for overdue machines"
    );
}

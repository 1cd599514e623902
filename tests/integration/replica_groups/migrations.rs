//! Migrations of replica groups after a preemption notice.

use super::send_preemption_notice;
use crate::simulation::replica_groups::{
    cluster_with_machines, first_placement_record, machines_by_task, running, start_service,
    whole_machine_service,
};

#[test]
fn preemption_notice_migrates_replica_after_its_intent_is_stored() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c"]);
    start_service(&mut sim, &whole_machine_service("run-1", 2));
    let before = machines_by_task(&sim, "run-1");
    let preempted = send_preemption_notice(&mut sim);
    let mut intent_observations = 0;
    let mut stopped_before_stored = false;
    for _ in 0..600 {
        sim.run_for(10);
        let intent = first_placement_record(&sim, "run-1")
            .is_some_and(|record| record["g"][0]["m"].is_object());
        intent_observations += u32::from(intent);
        stopped_before_stored |= intent_observations == 0 && sim.on_machines("run-1") < 2;
    }
    assert!(intent_observations > 0, "no intent was stored");
    assert!(
        !stopped_before_stored,
        "a part was stopped before the intent was stored"
    );
    sim.run_for(3000);
    let after = machines_by_task(&sim, "run-1");
    assert_eq!(after["run-1/0"], before["run-1/0"]);
    assert_ne!(after["run-1/1"], preempted);
    assert_eq!(running(&mut sim, "run-1"), 2);
    let record = first_placement_record(&sim, "run-1").unwrap();
    assert!(
        record["g"].is_null(),
        "the intent was not removed: {record}"
    );
}

#[test]
fn replica_with_preemption_notice_stops_as_a_whole_without_capacity_to_migrate() {
    let mut sim = cluster_with_machines(3, &["vm-a", "vm-b"]);
    start_service(&mut sim, &whole_machine_service("run-1", 2));
    send_preemption_notice(&mut sim);
    sim.run_for(4000);
    assert_eq!(sim.on_machines("run-1"), 0);
    sim.add_machine("vm-c", "a", false, true);
    sim.run_for(5000);
    assert_eq!(running(&mut sim, "run-1"), 2);
}

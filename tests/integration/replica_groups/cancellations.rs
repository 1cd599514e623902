//! Cancellations of jobs with replica groups.

use super::GroupOperation;
use crate::simulation::replica_groups::{
    cluster_with_machines, machines_by_task, start_service, whole_machine_service,
};

#[test]
fn cancellation_during_start_repair_or_migration_leaves_no_tasks_or_placements() {
    for operation in [
        GroupOperation::Start,
        GroupOperation::Repair,
        GroupOperation::Migration,
    ] {
        for after_ms in (0..3600).step_by(200) {
            let mut sim = cluster_with_machines(3, &["vm-a", "vm-b", "vm-c"]);
            sim.image_pull_ms = 400;
            sim.track_replicas("run-1", 2, 2);
            let leader = sim.leader().unwrap();
            if operation == GroupOperation::Start {
                sim.request(
                    leader,
                    "POST",
                    "/v2/runs",
                    whole_machine_service("run-1", 2),
                );
            } else {
                start_service(&mut sim, &whole_machine_service("run-1", 2));
                let machine = machines_by_task(&sim, "run-1")["run-1/1"].clone();
                let worker = sim.workers.get_mut(&machine).unwrap();
                worker.unresponsive = operation == GroupOperation::Repair;
                worker.preemption_notice_s =
                    (operation == GroupOperation::Migration).then_some(60.0);
                sim.run_for(if operation == GroupOperation::Repair {
                    7000
                } else {
                    0
                });
            }
            sim.run_for(after_ms);
            let mut response = sim.cancel(leader, "run-1");
            for _ in 0..5 {
                if response.0 != 200 {
                    sim.run_for(1000);
                    response = sim.cancel(leader, "run-1");
                }
            }
            assert_eq!(
                response,
                (200, "cancelled".into()),
                "{operation:?} after {after_ms} ms"
            );
            sim.run_for(20_000);
            assert_eq!(
                sim.on_machines("run-1"),
                0,
                "{operation:?} after {after_ms} ms"
            );
            assert_eq!(sim.query(0, "run-1").1, "cancelled");
            assert!(sim.kv_store.items.contains_key("f/run-1"));
            assert!(
                !sim.kv_store.items.contains_key("p/run-1/0"),
                "the placement record was not deleted"
            );
        }
    }
}

//! What the leader writes when there is more to write than the key-value store allows.

use crate::simulation::fixtures::running_cluster;
use crate::simulation::{array, service, Simulation};

/// When the first task of a job was started.
fn started_at(sim: &Simulation, job: &str) -> Option<u64> {
    let prefix = format!(" {job}/");
    let line = sim.start_log.iter().find(|line| line.contains(&prefix))?;
    line.split(' ').next()?.parse().ok()
}

/// In a burst of one-task jobs every transaction once held as many changes as it may, and
/// waited until the rates allowed all of them; urgent work waited behind one of those and
/// in the next (inc-76e8: 1.1 to 1.6 s where one second is the objective).
#[test]
fn urgent_work_does_not_wait_behind_a_flood_of_writes() {
    let mut sim = running_cluster(3);
    for n in 0..6 {
        sim.add_machine(&format!("vm-c{n}"), "a", false, true);
    }
    sim.run_for(2000);
    let leader = sim.leader().unwrap();
    let mut waits = Vec::new();
    for step in 0..400 {
        let mut guest = array(&format!("run-g{step}"), 1);
        guest["rang"] = "idle".into();
        guest["cpus"] = 0.25.into();
        guest["gpus"] = 0.0.into();
        guest["memoryGb"] = 1.0.into();
        sim.request((leader + 1 + step % 2) % 3, "POST", "/v2/runs", guest);
        sim.run_for(50);
        if step % 40 == 39 {
            let id = format!("run-s{step}");
            let asked_ms = sim.now_ms;
            assert_eq!(sim.submit(leader, &service(&id, 2)), 201);
            sim.run_for(2000);
            waits.push(started_at(&sim, &id).map(|at| at - asked_ms));
        }
    }
    let slow: Vec<_> = waits
        .iter()
        .filter(|wait| wait.is_none_or(|ms| ms > 300))
        .collect();
    assert!(slow.is_empty(), "{waits:?}");
    sim.run_for(60_000);
    for n in [0, 199, 399] {
        assert_eq!(sim.poll(leader, &format!("run-g{n}")).1, "done");
    }
}

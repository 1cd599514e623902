//! What the leader writes when there is more to write than the key-value store allows.

use crate::simulation::fixtures::running_cluster;
use crate::simulation::{array, service, Simulation};

/// When the first task of a job was started.
fn started_at(w: &Simulation, job: &str) -> Option<u64> {
    let prefix = format!(" {job}/");
    let line = w.trace.iter().find(|line| line.contains(&prefix))?;
    line.split(' ').next()?.parse().ok()
}

/// In a burst of one-task jobs every transaction once held as many changes as it may, and
/// waited until the rates allowed all of them; urgent work waited behind one of those and
/// in the next (inc-76e8: 1.1 to 1.6 s where one second is the objective).
#[test]
fn urgent_work_does_not_wait_behind_a_flood_of_writes() {
    let mut w = running_cluster(3);
    for n in 0..6 {
        w.add_machine(&format!("vm-c{n}"), "a", false, true);
    }
    w.run_for(2000);
    let leader = w.leader().unwrap();
    let mut waits = Vec::new();
    for step in 0..400 {
        let mut guest = array(&format!("run-g{step}"), 1);
        guest["rang"] = "idle".into();
        guest["cpus"] = 0.25.into();
        guest["gpus"] = 0.0.into();
        guest["memoryGb"] = 1.0.into();
        w.ask((leader + 1 + step % 2) % 3, "POST", "/v2/runs", guest);
        w.run_for(50);
        if step % 40 == 39 {
            let id = format!("run-s{step}");
            let asked_ms = w.now;
            assert_eq!(w.submit(leader, &service(&id, 2)), 201);
            w.run_for(2000);
            waits.push(started_at(&w, &id).map(|at| at - asked_ms));
        }
    }
    let slow: Vec<_> = waits
        .iter()
        .filter(|wait| wait.is_none_or(|ms| ms > 300))
        .collect();
    assert!(slow.is_empty(), "{waits:?}");
    w.run_for(60_000);
    for n in [0, 199, 399] {
        assert_eq!(w.poll(leader, &format!("run-g{n}")).1, "done");
    }
}

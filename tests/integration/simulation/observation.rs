//! Periodic observation of the tasks on machines by the observer and the replica trackers.

use super::observer::{PlacedTask, Verdict};
use super::replica_groups::ReplicaTracker;
use super::{Simulation, Worker, LEASE_MS};
use std::collections::BTreeMap;

/// Interval between two observations, in virtual time.
pub(super) const OBSERVATION_INTERVAL_MS: u64 = 100;

/// Fails the test if the history violates a rule.
#[track_caller]
pub(super) fn check(verdict: Verdict) {
    if let Err(violation) = verdict {
        panic!("{violation}");
    }
}

/// Returns the tasks on machines that have not ended.
pub(super) fn placed_tasks(
    workers: &BTreeMap<String, Worker>,
) -> impl Iterator<Item = PlacedTask<'_>> + Clone {
    workers.iter().flat_map(|(machine, worker)| {
        let present = worker
            .tasks
            .iter()
            .filter(|(_, task)| task.state != "ended");
        present.map(move |(task, _)| PlacedTask {
            task,
            machine,
            zone: &worker.zone,
            spot: worker.spot,
        })
    })
}

impl Simulation {
    /// Passes the tasks on machines to the observer and the replica trackers. Workers whose leases
    /// have expired stop their tasks first, because a lease expires whether or not its worker
    /// sends heartbeats.
    pub(super) fn observe(&mut self) {
        self.last_observation_ms = self.now_ms;
        let now_ms = self.now_ms;
        for worker in self.workers.values_mut() {
            if now_ms > worker.lease_renewed_ms + LEASE_MS && !worker.tasks.is_empty() {
                worker.expire_lease(now_ms);
            }
        }
        check(
            self.observer
                .check_placed_tasks(now_ms, placed_tasks(&self.workers)),
        );
        self.observe_replicas();
    }

    /// Tracks the replicas of a job from now on. The job has `tasks` tasks; each replica consists
    /// of `parts` of them.
    pub fn track_replicas(&mut self, job: &str, parts: u32, tasks: u32) {
        self.replicas
            .insert(job.into(), ReplicaTracker::new(parts, tasks));
    }

    fn observe_replicas(&mut self) {
        for (job, tracker) in &mut self.replicas {
            let mut states = BTreeMap::new();
            for (name, task) in self.workers.values().flat_map(|worker| &worker.tasks) {
                let index = name
                    .strip_prefix(job.as_str())
                    .and_then(|rest| rest.strip_prefix('/'))
                    .and_then(|index| index.parse().ok());
                if let Some(index) = index.filter(|_| task.state != "ended") {
                    states.insert(index, task.state);
                }
            }
            tracker.update(self.now_ms, &states);
        }
    }
}

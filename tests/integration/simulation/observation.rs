//! What the observer and the replica watchers see of a simulation.

use super::observer::{RunningTask, Verdict};
use super::replica_groups::Watched;
use super::{Simulation, Worker, LEASE_MS};
use std::collections::BTreeMap;

/// How often the observer sees what is on machines.
pub(super) const OBSERVATION_INTERVAL_MS: u64 = 100;

/// Fails the test if the history breaks a rule.
#[track_caller]
pub(super) fn check(verdict: Verdict) {
    if let Err(violation) = verdict {
        panic!("{violation}");
    }
}

/// What is on machines.
pub(super) fn running_tasks(
    workers: &BTreeMap<String, Worker>,
) -> impl Iterator<Item = RunningTask<'_>> + Clone {
    workers.iter().flat_map(|(machine, worker)| {
        let present = worker
            .tasks
            .iter()
            .filter(|(_, task)| task.state != "ended");
        present.map(move |(task, _)| RunningTask {
            task,
            machine,
            zone: &worker.zone,
            spot: worker.spot,
        })
    })
}

impl Simulation {
    /// Shows the observer what is on machines. A lease expires by itself, whether or
    /// not its worker sends anything.
    pub(super) fn observe(&mut self) {
        self.observed_ms = self.now;
        let now = self.now;
        for worker in self.workers.values_mut() {
            if now > worker.lease_renewed_ms + LEASE_MS && !worker.tasks.is_empty() {
                worker.end_session(now);
            }
        }
        check(self.observer.present(now, running_tasks(&self.workers)));
        self.observe_replicas();
    }

    /// From now on the replicas of this job, of `parts` tasks each, are watched.
    pub fn watch_replicas(&mut self, job: &str, parts: u32, tasks: u32) {
        self.watched.insert(job.into(), Watched::new(parts, tasks));
    }

    fn observe_replicas(&mut self) {
        for (job, watched) in &mut self.watched {
            let mut present = BTreeMap::new();
            for (name, running) in self.workers.values().flat_map(|worker| &worker.tasks) {
                let index = name
                    .strip_prefix(job.as_str())
                    .and_then(|rest| rest.strip_prefix('/'))
                    .and_then(|index| index.parse().ok());
                if let Some(index) = index.filter(|_| running.state != "ended") {
                    present.insert(index, running.state);
                }
            }
            watched.look(self.now, &present);
        }
    }
}

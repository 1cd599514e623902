//! Periodic observation of the tasks on machines by the observer and the replica trackers.

use super::cloud::{MACHINE_CPUS, MACHINE_GPUS, MACHINE_MEMORY_GB};
use super::observer::{job_of, MachineWithRoom, Observer, PlacedTask, Room, Verdict};
use super::replica_groups::ReplicaTracker;
use super::{Simulation, Worker, LEASE_MS};
use std::collections::BTreeMap;

/// Interval between two observations, in virtual time.
pub(super) const OBSERVATION_INTERVAL_MS: u64 = 100;

/// Interval between two checks of the jobs that wait, in virtual time.
const WAITING_CHECK_INTERVAL_MS: u64 = 1000;

/// The resources of each machine, as in the cloud's catalog.
const MACHINE_ROOM: Room = Room {
    cpus: MACHINE_CPUS,
    gpus: MACHINE_GPUS,
    memory_gb: MACHINE_MEMORY_GB,
};

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

/// Returns the machines that are up, with the resources that no task on them uses.
fn machines_with_room<'a>(
    workers: &'a BTreeMap<String, Worker>,
    observer: &Observer,
) -> Vec<MachineWithRoom<'a>> {
    let up = workers
        .iter()
        .filter(|(_, worker)| worker.up && worker.exists());
    up.map(|(machine, worker)| {
        let mut free = MACHINE_ROOM;
        for (task, status) in &worker.tasks {
            let spec = observer.spec(job_of(task));
            if let Some(spec) = spec.filter(|_| status.state != "ended") {
                free.subtract(&Room::of_task(spec));
            }
        }
        MachineWithRoom {
            machine,
            zone: &worker.zone,
            spot: worker.spot,
            free,
        }
    })
    .collect()
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
        self.observe_waiting_jobs();
        self.observe_replicas();
    }

    /// Lets the observer check which jobs wait beside room, or tells it that something is wrong.
    fn observe_waiting_jobs(&mut self) {
        let now_ms = self.now_ms;
        if now_ms < self.last_waiting_check_ms + WAITING_CHECK_INTERVAL_MS {
            return;
        }
        let since_ms = std::mem::replace(&mut self.last_waiting_check_ms, now_ms);
        if self.has_trouble(since_ms) {
            self.observer.record_trouble();
            return;
        }
        let machines = machines_with_room(&self.workers, &self.observer);
        check(
            self.observer
                .check_waiting_jobs(now_ms, placed_tasks(&self.workers), &machines),
        );
    }

    /// Returns whether anything is wrong, or a call had a fault at or after `since_ms`.
    fn has_trouble(&self, since_ms: u64) -> bool {
        let is_paused = |resumes_ms: &u64| self.now_ms < *resumes_ms;
        self.kv_store.unavailable
            || self.kv_store.watches_stalled
            || self.cloud_unavailable
            || !self.partitions.is_empty()
            || self.nodes.iter().any(Option::is_none)
            || self.paused_until_ms.values().any(is_paused)
            || self.last_injected_fault_ms >= Some(since_ms)
            || self.workers.values().any(Worker::has_trouble)
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

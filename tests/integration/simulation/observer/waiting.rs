//! The rule that no job is left waiting: what the observer remembers for it, and the view of the
//! machines that it needs.

use super::{job_of, violation, Observer, PlacedTask, Rule, Verdict};
use std::collections::HashMap;

/// By the protocol, once all troubles are over, no job is left waiting for this long while a
/// machine that fits has room and its team is under its limit.
const MAX_WAITING_MS: u64 = 90_000;

/// A machine that can take tasks, with the resources that no task on it uses.
#[derive(Clone, Copy, Debug)]
pub struct MachineWithRoom<'a> {
    pub machine: &'a str,
    pub zone: &'a str,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    pub free: Room,
}

/// Resources of a machine or a task.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

impl Room {
    /// Returns the resources that each task of a job takes.
    pub fn of_task(spec: &serde_json::Value) -> Room {
        let amount = |field: &str| spec[field].as_f64().unwrap_or(0.0);
        Room {
            cpus: amount("cpus"),
            gpus: amount("gpus"),
            memory_gb: amount("memoryGb"),
        }
    }

    pub fn subtract(&mut self, other: &Room) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    pub fn covers(&self, need: &Room) -> bool {
        const TOLERANCE: f64 = 1e-9;
        self.cpus + TOLERANCE >= need.cpus
            && self.gpus + TOLERANCE >= need.gpus
            && self.memory_gb + TOLERANCE >= need.memory_gb
    }
}

/// Since when jobs have been left waiting beside room, without a start of any of their tasks.
#[derive(Debug, Default)]
pub(super) struct WaitingJobs {
    since_ms: HashMap<String, u64>,
}

impl WaitingJobs {
    /// Forgets all jobs: time during troubles doesn't count.
    pub(super) fn clear(&mut self) {
        self.since_ms.clear();
    }

    /// Forgets a job that doesn't wait, makes progress, or has no room.
    pub(super) fn remove(&mut self, job: &str) {
        self.since_ms.remove(job);
    }

    /// Records that a job waits beside room, and returns since when it has.
    pub(super) fn waits(&mut self, job: &str, now_ms: u64) -> u64 {
        match self.since_ms.get(job) {
            Some(since_ms) => *since_ms,
            None => {
                self.since_ms.insert(job.to_string(), now_ms);
                now_ms
            }
        }
    }
}

impl Observer {
    /// Checks that no accepted job has been left waiting for too long. `placed` are all tasks on
    /// machines, and `machines` those that can take tasks. Must be called at short intervals, with
    /// [`Self::record_trouble`] instead while anything is wrong.
    pub fn check_waiting_jobs<'a>(
        &mut self,
        now_ms: u64,
        placed: impl Iterator<Item = PlacedTask<'a>> + Clone,
        machines: &[MachineWithRoom],
    ) -> Verdict {
        let mut placed_by_job: HashMap<&str, usize> = HashMap::new();
        for task in placed.clone() {
            *placed_by_job.entry(job_of(task.task)).or_default() += 1;
        }
        let accepted: Vec<String> = self.accepted_ms.keys().cloned().collect();
        for job in &accepted {
            let placed_tasks = placed_by_job.get(job.as_str()).copied().unwrap_or(0);
            let waiting_tasks = self.waiting_task_count(job, placed_tasks);
            if waiting_tasks == 0 || !self.has_room(job, waiting_tasks, placed.clone(), machines) {
                self.waiting.remove(job);
                continue;
            }
            let since_ms = self.waiting.waits(job, now_ms);
            if now_ms >= since_ms + MAX_WAITING_MS {
                let details = format!(
                    "{waiting_tasks} tasks of {job} have waited beside room from {since_ms} to {now_ms} ms"
                );
                return violation(Rule::LeftWaiting, details);
            }
        }
        Ok(())
    }

    /// Records that something is wrong, so that no job counts as left waiting yet.
    pub fn record_trouble(&mut self) {
        self.waiting.clear();
    }

    /// Returns how many tasks of a job could be started. None if the job has ended, was called off,
    /// or waits for its dependencies.
    fn waiting_task_count(&self, job: &str, placed_tasks: usize) -> usize {
        let is_over = self.final_states.contains_key(job) || self.is_cancellation_requested(job);
        let mut dependencies = self.dependencies(job);
        if is_over || dependencies.any(|dependency| !self.is_done(dependency)) {
            return 0;
        }
        let tasks = self.specs.get(job).and_then(|spec| spec["pieces"].as_u64());
        let tasks = tasks.unwrap_or(0) as usize;
        tasks.saturating_sub(self.completed_task_count(job) + placed_tasks)
    }

    /// Returns whether waiting tasks of a job could start now: one, or as many as start together,
    /// each on a machine of its own.
    fn has_room<'a>(
        &self,
        job: &str,
        waiting_tasks: usize,
        placed: impl Iterator<Item = PlacedTask<'a>> + Clone,
        machines: &[MachineWithRoom],
    ) -> bool {
        let Some(spec) = self.specs.get(job) else {
            return false;
        };
        let class = spec["gabarit"].as_str().unwrap_or("");
        let starting_together = match spec["genre"].as_str() {
            Some("group") => waiting_tasks,
            _ => self.replica_parts.get(class).copied().unwrap_or(1),
        };
        let need = Room::of_task(spec);
        let task = format!("{job}/0");
        let fitting = machines.iter().filter(|machine| {
            let start = PlacedTask {
                task: &task,
                machine: machine.machine,
                zone: machine.zone,
                spot: machine.spot,
            };
            let others = placed.clone().map(|task| PlacedTask { ..task });
            machine.free.covers(&need)
                && self.check_placement(spec, start, others.clone()).is_ok()
                && self.check_quota(spec, start, others).is_ok()
        });
        fitting.count() >= starting_together.min(waiting_tasks)
    }
}

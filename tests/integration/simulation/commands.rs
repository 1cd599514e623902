//! How workers carry out commands, and what becomes of the tasks that they start.

use super::events::{Event, TaskAttempt};
use super::observation::{check, running_tasks};
use super::observer::{job_of, RunningTask};
use super::workers::WorkerTask;
use super::Simulation;
use serde_json::{json, Value};

/// From the start of a task that fails until its end.
const FAILURE_MS: u64 = 100;

/// The index of a task in its job.
fn task_index(task: &str) -> u64 {
    let index = task
        .rsplit_once('/')
        .and_then(|(_, index)| index.parse().ok());
    index.unwrap_or(0)
}

impl Simulation {
    /// Carries out commands, and checks the protocol's rules meanwhile.
    pub(super) fn execute(&mut self, machine: &str, commands: &[Value]) {
        for command in commands {
            let task = TaskAttempt {
                machine: machine.into(),
                task: command["piece"].as_str().unwrap_or("").into(),
                attempt: command["essai"].as_u64().unwrap_or(0),
            };
            match command["geste"].as_str() {
                Some("start") => self.start_task(task),
                Some("halt") => {
                    let has_grace_period = command["delaiS"].as_u64() > Some(0);
                    self.halt_task(task, has_grace_period);
                }
                _ => self.reap_task(&task),
            }
        }
    }

    fn task_mut(&mut self, task: &TaskAttempt) -> Option<&mut WorkerTask> {
        let worker = self.workers.get_mut(&task.machine)?;
        worker.attempt_mut(&task.task, task.attempt)
    }

    /// Starts a task unless this attempt is here already.
    fn start_task(&mut self, task: TaskAttempt) {
        if self.task_mut(&task).is_some() {
            return;
        }
        let Some(worker) = self.workers.get(&task.machine) else {
            return;
        };
        let start = RunningTask {
            task: &task.task,
            machine: &task.machine,
            zone: &worker.zone,
            spot: worker.spot,
        };
        let present = running_tasks(&self.workers);
        check(self.observer.starts(self.now, start, present));
        self.start_log.push(format!(
            "{} {} {} #{}",
            self.now, task.machine, task.task, task.attempt
        ));
        let state = if self.image_fetch_ms > 0 {
            "pulling"
        } else {
            "running"
        };
        let started = WorkerTask {
            attempt: task.attempt,
            state,
            end_reason: None,
        };
        if let Some(worker) = self.workers.get_mut(&task.machine) {
            worker.tasks.insert(task.task.clone(), started);
        }
        self.schedule_image(&task);
        self.schedule_end(task);
    }

    /// The image of a started task is fetched, unless there is nothing to fetch or the
    /// machine never gets it.
    fn schedule_image(&mut self, task: &TaskAttempt) {
        let worker = &self.workers[&task.machine];
        if self.image_fetch_ms == 0 || worker.image_fetch_stuck {
            return;
        }
        let fetched = Event::ImageFetched {
            task: task.clone(),
            session: worker.session,
        };
        self.schedule(self.now + self.image_fetch_ms, fetched);
    }

    /// Every task ends at some time but those of services, which end only by failing.
    fn schedule_end(&mut self, task: TaskAttempt) {
        let fails = self.fails(&task);
        let spec = self.observer.spec(job_of(&task.task));
        let is_service = spec.is_some_and(|spec| spec["genre"] == "service");
        if is_service && !fails {
            return;
        }
        let duration_ms = if fails {
            self.image_fetch_ms + FAILURE_MS
        } else {
            let stagger_ms = self.stagger_ms * task_index(&task.task);
            (self.task_duration_ms + stagger_ms) * self.workers[&task.machine].slowness
        };
        self.schedule(self.now + duration_ms, Event::TaskEnds(task));
    }

    /// Whether a task fails, by its machine's fault or its job's.
    fn fails(&self, task: &TaskAttempt) -> bool {
        let job = task.task.split('/').next().unwrap_or("");
        let machine_fails = self.workers.get(&task.machine).is_some_and(|w| w.faulty);
        machine_fails || self.failing_jobs.contains(job) || self.failing_jobs.contains(&task.task)
    }

    /// Stops a task: at once, or once it has saved its checkpoint.
    fn halt_task(&mut self, task: TaskAttempt, has_grace_period: bool) {
        let save_ms = self.checkpoint_ms(&task.task);
        let Some(halted) = self.task_mut(&task).filter(|t| t.state != "ended") else {
            return;
        };
        if save_ms > 0 && has_grace_period {
            halted.state = "flushing";
            self.schedule(self.now + save_ms, Event::CheckpointSaved(task));
        } else {
            halted.end("stopped");
        }
    }

    /// How long a task takes to save its checkpoint; some are quicker than others.
    fn checkpoint_ms(&self, task: &str) -> u64 {
        let save_ms = self
            .observer
            .spec(job_of(task))
            .filter(|spec| spec["jalonS"] != json!(0.0))
            .and_then(|spec| spec["sauvegardeS"].as_f64())
            .map_or(0, |seconds| (seconds * 1000.0) as u64);
        save_ms / (1 + task_index(task) % 3)
    }

    /// Forgets a task that has ended.
    fn reap_task(&mut self, task: &TaskAttempt) {
        if self.task_mut(task).is_some_and(|t| t.state == "ended") {
            if let Some(worker) = self.workers.get_mut(&task.machine) {
                worker.tasks.remove(&task.task);
            }
        }
    }

    pub(super) fn image_fetched(&mut self, task: &TaskAttempt, session: u64) {
        let worker = self.workers.get_mut(&task.machine);
        let fetching = worker
            .filter(|worker| worker.session == session)
            .and_then(|worker| worker.attempt_mut(&task.task, task.attempt))
            .filter(|fetching| fetching.state == "pulling");
        if let Some(fetching) = fetching {
            fetching.state = "running";
        }
    }

    pub(super) fn task_ends(&mut self, task: &TaskAttempt) {
        let fails = self.fails(task);
        let Some(ended) = self.task_mut(task).filter(|t| t.state == "running") else {
            return;
        };
        ended.end(if fails { "error" } else { "done" });
        if !fails {
            self.observer.finished(&task.task);
        }
    }

    pub(super) fn checkpoint_saved(&mut self, task: &TaskAttempt) {
        if let Some(halted) = self.task_mut(task).filter(|t| t.state == "flushing") {
            halted.end("stopped");
        }
    }
}

impl WorkerTask {
    fn end(&mut self, reason: &'static str) {
        self.state = "ended";
        self.end_reason = Some(reason);
    }
}

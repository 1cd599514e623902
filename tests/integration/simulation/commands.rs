//! Execution of commands by workers, and the life cycle of the tasks that they start.

use super::events::{Event, TaskAttempt};
use super::observation::{check, placed_tasks};
use super::observer::{job_of, PlacedTask};
use super::workers::WorkerTask;
use super::Simulation;
use serde_json::{json, Value};

/// How long a failing task runs after its image is pulled.
const FAILING_TASK_DURATION_MS: u64 = 100;

/// Returns the index of a task in its job, parsed from a task name such as `run-1/3`.
fn task_index(task: &str) -> u64 {
    let index = task
        .rsplit_once('/')
        .and_then(|(_, index)| index.parse().ok());
    index.unwrap_or(0)
}

impl Simulation {
    /// Executes commands on a machine. The observer checks each start against the protocol's
    /// rules.
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

    /// Starts a task, unless the machine already has this attempt of the task or doesn't exist.
    fn start_task(&mut self, task: TaskAttempt) {
        if self.task_mut(&task).is_some() {
            return;
        }
        let Some(worker) = self.workers.get(&task.machine) else {
            return;
        };
        let start = PlacedTask {
            task: &task.task,
            machine: &task.machine,
            zone: &worker.zone,
            spot: worker.spot,
        };
        let others = placed_tasks(&self.workers);
        check(self.observer.check_start(self.now_ms, start, others));
        self.start_log.push(format!(
            "{} {} {} #{}",
            self.now_ms, task.machine, task.task, task.attempt
        ));
        let state = if self.image_pull_ms > 0 {
            "pulling"
        } else {
            "running"
        };
        let started = WorkerTask {
            attempt: task.attempt,
            state,
            end_reason: None,
            fails: self.fails(&task),
        };
        if let Some(worker) = self.workers.get_mut(&task.machine) {
            worker.tasks.insert(task.task.clone(), started);
        }
        self.schedule_image(&task);
        self.schedule_end(task);
    }

    /// Schedules the end of a task's image pull, unless images need no pull or the pulls of this
    /// machine are stuck.
    fn schedule_image(&mut self, task: &TaskAttempt) {
        let worker = &self.workers[&task.machine];
        if self.image_pull_ms == 0 || worker.image_pull_stuck {
            return;
        }
        let pulled = Event::ImagePulled {
            task: task.clone(),
            agent_epoch: worker.agent_epoch,
        };
        self.schedule(self.now_ms + self.image_pull_ms, pulled);
    }

    /// Schedules the completion or failure of a task. Tasks of services run until they are
    /// stopped or fail.
    fn schedule_end(&mut self, task: TaskAttempt) {
        let fails = self.fails(&task);
        let spec = self.observer.spec(job_of(&task.task));
        let is_service = spec.is_some_and(|spec| spec["genre"] == "service");
        if is_service && !fails {
            return;
        }
        let duration_ms = if fails {
            self.image_pull_ms + FAILING_TASK_DURATION_MS
        } else {
            let stagger_ms = self.stagger_ms * task_index(&task.task);
            (self.task_duration_ms + stagger_ms) * self.workers[&task.machine].slowdown_factor
        };
        self.schedule(self.now_ms + duration_ms, Event::TaskEnds(task));
    }

    /// Returns whether a task fails because of its machine, its job or the task itself.
    fn fails(&self, task: &TaskAttempt) -> bool {
        let job = task.task.split('/').next().unwrap_or("");
        let machine_fails = self
            .workers
            .get(&task.machine)
            .is_some_and(|worker| worker.faulty);
        machine_fails || self.failing_jobs.contains(job) || self.failing_jobs.contains(&task.task)
    }

    /// Stops a task. A task that saves checkpoints first saves one if the command grants a grace
    /// period; every other task ends immediately.
    fn halt_task(&mut self, task: TaskAttempt, has_grace_period: bool) {
        let save_ms = self.checkpoint_ms(&task.task);
        let halted = self
            .task_mut(&task)
            .filter(|halted| halted.state != "ended");
        let Some(halted) = halted else {
            return;
        };
        if save_ms > 0 && has_grace_period {
            halted.state = "flushing";
            self.schedule(self.now_ms + save_ms, Event::CheckpointSaved(task));
        } else {
            halted.end("stopped");
        }
    }

    /// Returns how long a task takes to save its checkpoint in milliseconds, or 0 if its job saves
    /// no checkpoints. The duration differs between the tasks of a job by a factor of up to 3.
    fn checkpoint_ms(&self, task: &str) -> u64 {
        let save_ms = self
            .observer
            .spec(job_of(task))
            .filter(|spec| spec["jalonS"] != json!(0.0))
            .and_then(|spec| spec["sauvegardeS"].as_f64())
            .map_or(0, |seconds| (seconds * 1000.0) as u64);
        save_ms / (1 + task_index(task) % 3)
    }

    /// Removes a task from its machine if the task has ended.
    fn reap_task(&mut self, task: &TaskAttempt) {
        if self
            .task_mut(task)
            .is_some_and(|ended| ended.state == "ended")
        {
            if let Some(worker) = self.workers.get_mut(&task.machine) {
                worker.tasks.remove(&task.task);
            }
        }
    }

    /// Marks a task as running when its image is pulled, unless the worker's agent epoch has
    /// changed since the pull began.
    pub(super) fn image_pulled(&mut self, task: &TaskAttempt, agent_epoch: u64) {
        let worker = self.workers.get_mut(&task.machine);
        let pulling = worker
            .filter(|worker| worker.agent_epoch == agent_epoch)
            .and_then(|worker| worker.attempt_mut(&task.task, task.attempt))
            .filter(|pulling| pulling.state == "pulling");
        if let Some(pulling) = pulling {
            pulling.state = "running";
        }
    }

    /// Ends a running task as failed or completed. Has no effect on a task in another state.
    pub(super) fn task_ends(&mut self, task: &TaskAttempt) {
        let running = self
            .task_mut(task)
            .filter(|running| running.state == "running");
        let Some(running) = running else {
            return;
        };
        let fails = running.fails;
        running.end(if fails { "error" } else { "done" });
        if !fails {
            self.observer.record_completion(&task.task);
        }
    }

    /// Ends a halted task whose checkpoint is saved.
    pub(super) fn checkpoint_saved(&mut self, task: &TaskAttempt) {
        let halted = self
            .task_mut(task)
            .filter(|halted| halted.state == "flushing");
        if let Some(halted) = halted {
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

//! Execution of the controllers' commands, which start, stop and remove tasks.

use super::protocol::{CommandBody, EndReason, Phase};
use super::{CachedImage, Task, Timer, WorkerSimulator};
use crate::history::Event;
use crate::net::now_us;
use lilacfork::ids::TaskRef;
use lilacfork::placement::Resources;
use lilacfork::wire::users::{JobKind, JobSpec};
use std::io;

impl WorkerSimulator {
    pub(super) fn execute_commands(
        &mut self,
        index: usize,
        commands: &[CommandBody],
    ) -> io::Result<()> {
        for command in commands {
            match command.action.as_str() {
                "start" => self.start_task(index, &command.task, command.attempt)?,
                "halt" => self.stop_task(index, &command.task, command.attempt)?,
                "reap" => self.remove_ended_task(index, &command.task, command.attempt),
                _ => {}
            }
        }
        if !commands.is_empty() {
            self.expedite_heartbeat(index);
        }
        Ok(())
    }

    fn start_task(&mut self, index: usize, name: &str, attempt: u64) -> io::Result<()> {
        let known = self.workers[index].tasks.get(name);
        if known.is_some_and(|task| task.attempt == attempt) {
            return Ok(());
        }
        if known.is_some_and(|task| task.phase != Phase::Ended) {
            self.reject_start(index, name, attempt, EndReason::Busy);
            return Ok(());
        }
        let job = TaskRef::parse(name).and_then(|task| self.scenario.job(task.job.as_str()));
        let Some(spec) = job else {
            self.reject_start(index, name, attempt, EndReason::Unknown);
            return Ok(());
        };
        let request = spec.task_request();
        let mut free = self.capacity(index);
        free.subtract(&self.workers[index].used);
        if !free.covers(&request) {
            self.reject_start(index, name, attempt, EndReason::Full);
            return Ok(());
        }
        let worker = &mut self.workers[index];
        worker.used.add(&request);
        let image = spec.image.to_string();
        let image_gb = spec.image_gb;
        let task = Task {
            attempt,
            phase: Phase::PullingImage,
            reason: None,
            spec: Some(spec),
        };
        worker.tasks.insert(name.to_string(), task);
        if worker
            .cached_images
            .iter()
            .any(|cached| cached.name == image)
        {
            return self.run_task(index, name);
        }
        self.pull_image(index, image, image_gb);
        Ok(())
    }

    /// Starts to pull an image, unless the worker is pulling it already. The pull time grows
    /// with the number of concurrent pulls, which share the machine's pull rate.
    fn pull_image(&mut self, index: usize, image: String, image_gb: f64) {
        let worker = &mut self.workers[index];
        if worker.pulling_images.insert(image.clone()) {
            let pull_gb_per_s =
                self.scenario.machine_types[worker.machine.machine_type].pull_gb_per_s;
            let pull_s = image_gb / pull_gb_per_s * worker.pulling_images.len() as f64;
            let pulled_us = now_us() + (pull_s * 1e6) as u64;
            self.set_timer(pulled_us, index, Timer::ImagePulled { image });
        }
    }

    fn capacity(&self, index: usize) -> Resources {
        let machine_type = &self.scenario.machine_types[self.workers[index].machine.machine_type];
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Reports a rejected start as a task that ended with this reason.
    fn reject_start(&mut self, index: usize, name: &str, attempt: u64, reason: EndReason) {
        let task = Task {
            attempt,
            phase: Phase::Ended,
            reason: Some(reason),
            spec: None,
        };
        // A rejected start leaves another attempt that hasn't ended unchanged.
        let tasks = &mut self.workers[index].tasks;
        if tasks
            .get(name)
            .is_none_or(|task| task.phase == Phase::Ended)
        {
            tasks.insert(name.to_string(), task);
        }
    }

    /// Runs a task whose image is in the cache or has just been pulled. A task of an array
    /// job is done after its run time; a service runs until it is stopped.
    fn run_task(&mut self, index: usize, name: &str) -> io::Result<()> {
        let worker = &mut self.workers[index];
        let (epoch, machine) = (worker.epoch, worker.number);
        let Some(task) = worker.tasks.get_mut(name) else {
            return Ok(());
        };
        task.phase = Phase::Running;
        let attempt = task.attempt;
        let Some(spec) = task.spec.clone() else {
            return Ok(());
        };
        self.cache_image(index, &spec);
        self.starts += 1;
        let started = Event::Started {
            task: name.to_string(),
            machine,
        };
        self.recorder.record(started)?;
        if spec.kind != JobKind::Service {
            let run_s =
                TaskRef::parse(name).and_then(|t| self.scenario.run_s(t.job.as_str(), t.index));
            let done_us = now_us() + (run_s.unwrap_or(1.0) * 1e6) as u64;
            let done = Timer::TaskDone {
                task: name.to_string(),
                attempt,
                epoch,
            };
            self.set_timer(done_us, index, done);
        }
        Ok(())
    }

    /// Marks the job's image as most recently used, and evicts the least recently used
    /// images beyond the cache capacity.
    fn cache_image(&mut self, index: usize, spec: &JobSpec) {
        let worker = &mut self.workers[index];
        let capacity_gb = self.scenario.machine_types[worker.machine.machine_type].cache_gb;
        worker
            .cached_images
            .retain(|cached| *cached.name != *spec.image);
        worker.cached_images.push_back(CachedImage {
            name: spec.image.to_string(),
            size_gb: spec.image_gb,
        });
        let mut total_gb: f64 = worker
            .cached_images
            .iter()
            .map(|cached| cached.size_gb)
            .sum();
        while total_gb > capacity_gb && worker.cached_images.len() > 1 {
            total_gb -= worker
                .cached_images
                .pop_front()
                .map_or(0.0, |cached| cached.size_gb);
        }
    }

    /// Completes the pull of an image and runs the tasks that wait for it.
    pub(super) fn complete_image_pull(&mut self, index: usize, image: &str) -> io::Result<()> {
        if !self.workers[index].pulling_images.remove(image) {
            return Ok(());
        }
        let waits_for_image = |task: &Task| {
            let needs_image = |spec: &JobSpec| *spec.image == *image;
            task.phase == Phase::PullingImage && task.spec.as_ref().is_some_and(needs_image)
        };
        let waiting = self.workers[index]
            .tasks
            .iter()
            .filter(|(_, task)| waits_for_image(task));
        for name in waiting.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.run_task(index, &name)?;
        }
        self.expedite_heartbeat(index);
        Ok(())
    }

    fn stop_task(&mut self, index: usize, name: &str, attempt: u64) -> io::Result<()> {
        let known = self.workers[index].tasks.get(name);
        if known.is_some_and(|task| task.attempt == attempt) {
            self.end_task(index, name, EndReason::Stopped)?;
        }
        Ok(())
    }

    /// Ends a task, releases its resources and records the end in the history.
    pub(super) fn end_task(
        &mut self,
        index: usize,
        name: &str,
        reason: EndReason,
    ) -> io::Result<()> {
        let worker = &mut self.workers[index];
        let machine = worker.number;
        let Some(task) = worker
            .tasks
            .get_mut(name)
            .filter(|task| task.phase != Phase::Ended)
        else {
            return Ok(());
        };
        let was_running = task.phase == Phase::Running;
        task.phase = Phase::Ended;
        task.reason = Some(reason);
        if let Some(spec) = task.spec.take() {
            worker.used.subtract(&spec.task_request());
        }
        if reason == EndReason::Done {
            self.recorder.record(Event::Finished {
                task: name.to_string(),
            })?;
        }
        if was_running {
            let task = name.to_string();
            self.recorder.record(Event::Left { task, machine })?;
        }
        self.expedite_heartbeat(index);
        Ok(())
    }

    fn remove_ended_task(&mut self, index: usize, name: &str, attempt: u64) {
        let tasks = &mut self.workers[index].tasks;
        if tasks
            .get(name)
            .is_some_and(|task| task.attempt == attempt && task.phase == Phase::Ended)
        {
            tasks.remove(name);
        }
    }

    /// Ends and removes all tasks of a worker, so that later heartbeats don't report them.
    pub(super) fn end_all_tasks(&mut self, index: usize) -> io::Result<()> {
        let worker = &mut self.workers[index];
        worker.used = Resources::default();
        worker.pulling_images.clear();
        let machine = worker.number;
        for (task, state) in std::mem::take(&mut worker.tasks) {
            if state.phase == Phase::Running {
                self.recorder.record(Event::Left { task, machine })?;
            }
        }
        Ok(())
    }
}

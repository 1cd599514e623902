//! The controllers' commands, and the tasks that they start and stop.

use super::protocol::{CommandBody, EndReason, Phase};
use super::{CachedImage, Task, Timer, WorkerSimulator};
use crate::history::Event;
use crate::net::now_us;
use lilacfork::ids::TaskRef;
use lilacfork::placement::Resources;
use lilacfork::wire::users::{JobKind, JobSpec};
use std::io;

impl WorkerSimulator {
    pub(super) fn execute(&mut self, index: usize, commands: &[CommandBody]) -> io::Result<()> {
        for command in commands {
            match command.action.as_str() {
                "start" => self.start_task(index, &command.task, command.attempt)?,
                "halt" => self.stop_task(index, &command.task, command.attempt)?,
                "reap" => self.forget_task(index, &command.task, command.attempt),
                _ => {}
            }
        }
        if !commands.is_empty() {
            self.state_changed(index);
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
        let job = TaskRef::parse(name).and_then(|t| self.scenario.job(t.job.as_str()));
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
            phase: Phase::Fetching,
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
        self.fetch_image(index, image, image_gb);
        Ok(())
    }

    /// Starts to fetch an image, unless that is under way. Fetches share the rate.
    fn fetch_image(&mut self, index: usize, image: String, image_gb: f64) {
        let worker = &mut self.workers[index];
        if worker.fetching_images.insert(image.clone()) {
            let rate = self.scenario.machine_types[worker.machine.machine_type].fetch_gb_per_s;
            let fetch_s = image_gb / rate * worker.fetching_images.len() as f64;
            let at_us = now_us() + (fetch_s * 1e6) as u64;
            self.set_timer(at_us, index, Timer::ImageFetched { image });
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

    fn reject_start(&mut self, index: usize, name: &str, attempt: u64, reason: EndReason) {
        let task = Task {
            attempt,
            phase: Phase::Ended,
            reason: Some(reason),
            spec: None,
        };
        // A rejected start changes nothing about another attempt that is here.
        let tasks = &mut self.workers[index].tasks;
        if tasks
            .get(name)
            .is_none_or(|task| task.phase == Phase::Ended)
        {
            tasks.insert(name.to_string(), task);
        }
    }

    /// The image has been fetched: the task runs.
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
            let at_us = now_us() + (run_s.unwrap_or(1.0) * 1e6) as u64;
            let done = Timer::TaskDone {
                task: name.to_string(),
                attempt,
                epoch,
            };
            self.set_timer(at_us, index, done);
        }
        Ok(())
    }

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

    pub(super) fn image_fetched(&mut self, index: usize, image: &str) -> io::Result<()> {
        if !self.workers[index].fetching_images.remove(image) {
            return Ok(());
        }
        let waits = |task: &Task| {
            let needs_image = |spec: &JobSpec| *spec.image == *image;
            task.phase == Phase::Fetching && task.spec.as_ref().is_some_and(needs_image)
        };
        let waiting = self.workers[index]
            .tasks
            .iter()
            .filter(|(_, task)| waits(task));
        for name in waiting.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.run_task(index, &name)?;
        }
        self.state_changed(index);
        Ok(())
    }

    fn stop_task(&mut self, index: usize, name: &str, attempt: u64) -> io::Result<()> {
        let known = self.workers[index].tasks.get(name);
        if known.is_some_and(|task| task.attempt == attempt) {
            self.end_task(index, name, EndReason::Stopped)?;
        }
        Ok(())
    }

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
        self.state_changed(index);
        Ok(())
    }

    fn forget_task(&mut self, index: usize, name: &str, attempt: u64) {
        let tasks = &mut self.workers[index].tasks;
        if tasks
            .get(name)
            .is_some_and(|task| task.attempt == attempt && task.phase == Phase::Ended)
        {
            tasks.remove(name);
        }
    }

    /// All tasks of a worker end without a report.
    pub(super) fn end_all_tasks(&mut self, index: usize) -> io::Result<()> {
        let worker = &mut self.workers[index];
        worker.used = Resources::default();
        worker.fetching_images.clear();
        let machine = worker.number;
        for (task, state) in std::mem::take(&mut worker.tasks) {
            if state.phase == Phase::Running {
                self.recorder.record(Event::Left { task, machine })?;
            }
        }
        Ok(())
    }
}

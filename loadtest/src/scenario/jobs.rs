//! Jobs by name. Every process derives a job's specification from the job's name and the
//! scenario's seed.

use super::Scenario;
use lilacfork::ids::JobId;
use lilacfork::wire::users::{JobKind, JobSpec};
use std::rc::Rc;

/// Selects the generator of a job's specification in place of a task's generator. The
/// value exceeds the index of every task.
const SPECIFICATION_GENERATOR: u32 = u32::MAX >> 1;
/// Selects the generator that decides whether a job is cancelled early, in place of a task's
/// generator. The value exceeds the index of every task.
const CANCELLATION_GENERATOR: u32 = u32::MAX >> 2;

impl Scenario {
    /// Returns the name of a job, given the index of its class and its number in the class.
    pub fn job_name(class: usize, number: u32) -> String {
        format!("run-{class}x{number}")
    }

    /// Returns the class index and the number that a job's name holds, or `None` if the
    /// name has another form or the scenario has no such class.
    pub fn parse_job_name(&self, job: &str) -> Option<(usize, u32)> {
        let (class, number) = job.strip_prefix("run-")?.split_once('x')?;
        let class = class.parse().ok().filter(|c| *c < self.classes.len())?;
        Some((class, number.parse().ok()?))
    }

    /// Returns the random number generator of a job's task, whose sequence is the same in
    /// every process. `SPECIFICATION_GENERATOR` or `CANCELLATION_GENERATOR` as `task` selects
    /// a generator of the job itself.
    fn random_generator(&self, class: usize, number: u32, task: u32) -> fastrand::Rng {
        let job = (class as u64) << 48 | u64::from(number) << 16;
        fastrand::Rng::with_seed(
            self.seed ^ (job + u64::from(task)).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        )
    }

    /// Returns the specification that a user submits for the job with this name.
    pub fn job(&self, name: &str) -> Option<JobSpec> {
        let (class_index, number) = self.parse_job_name(name)?;
        let class = &self.classes[class_index];
        let mut rng = self.random_generator(class_index, number, SPECIFICATION_GENERATOR);
        let estimate_s = (class.run_s[0] + class.run_s[1]) / 2.0;
        let is_array = class.kind == JobKind::Array;
        Some(JobSpec {
            id: JobId::new(name),
            class: Rc::from(class.name.as_str()),
            team: Rc::from(format!("team-{}", rng.u32(..self.teams)).as_str()),
            kind: class.kind,
            priority: class.priority,
            tasks: class.tasks[rng.usize(..class.tasks.len())],
            cpus: class.cpus,
            gpus: class.gpus,
            memory_gb: class.memory_gb,
            image: Rc::from(format!("{}-{}", class.name, rng.u32(..class.images.max(1))).as_str()),
            image_gb: class.image_gb,
            machine_types: None,
            zone: None,
            same_zone: false,
            spread: class.spread,
            spot: false,
            estimated_run_s: if is_array { estimate_s } else { 0.0 },
            checkpoint_interval_s: 0.0,
            checkpoint_save_s: 0.0,
            deadline_s: class.deadline_runs.map(|runs| runs * class.run_s[1]),
            dependencies: self.dependencies(class_index, number),
        })
    }

    fn dependencies(&self, class: usize, number: u32) -> Vec<JobId> {
        let names = self.classes[class].after.iter();
        let dependencies =
            names.filter_map(|name| self.classes.iter().position(|class| class.name == *name));
        dependencies
            .map(|class| JobId::new(&Scenario::job_name(class, number)))
            .collect()
    }

    /// Returns the names of the jobs that directly depend on this job.
    pub fn dependents(&self, job: &str) -> Vec<String> {
        let Some((class, number)) = self.parse_job_name(job) else {
            return Vec::new();
        };
        let name = &self.classes[class].name;
        let dependents = self.classes.iter().enumerate();
        let dependents = dependents.filter(|(_, class)| class.after.contains(name));
        dependents
            .map(|(class, _)| Scenario::job_name(class, number))
            .collect()
    }

    /// Returns the number of tasks in each multi-host replica of the job, or `None` if each
    /// of its tasks is a replica by itself.
    pub fn tasks_per_replica(&self, job: &str) -> Option<u32> {
        let (class, _) = self.parse_job_name(job)?;
        Some(self.classes[class].tasks_per_replica).filter(|size| *size > 0)
    }

    /// Returns how long a task of an array job runs, or after which time the user cancels a
    /// service (given task 0), in seconds.
    pub fn run_s(&self, job: &str, task: u32) -> Option<f64> {
        let (class, number) = self.parse_job_name(job)?;
        let [shortest_s, longest_s] = self.classes[class].run_s;
        Some(
            shortest_s
                + (longest_s - shortest_s) * self.random_generator(class, number, task).f64(),
        )
    }

    /// Reports whether the job's user cancels the job early.
    pub fn cancelled_early(&self, job: &str) -> bool {
        self.parse_job_name(job).is_some_and(|(class, number)| {
            let mut rng = self.random_generator(class, number, CANCELLATION_GENERATOR);
            rng.f64() < self.classes[class].cancelled
        })
    }
}

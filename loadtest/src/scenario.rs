//! The scenario file, and what follows from it alone: machines by number and
//! jobs by name. Every process works both out by itself, so none has to tell
//! another.

use lilacfork::ids::JobId;
use lilacfork::wire::cloud::{Catalog, MachineType};
use lilacfork::wire::users::{JobKind, JobSpec, Priority};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::rc::Rc;
use thiserror::Error;

/// What is wrong with a scenario file, in one line.
#[derive(Debug, Error)]
#[error("{file}: {key}: {why}")]
pub struct ScenarioError {
    /// The file.
    pub file: String,
    /// The key, or where in the file.
    pub key: String,
    /// What is wrong with it.
    pub why: String,
}

/// A run: sizes, rates, shapes of jobs and faults.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Fixes everything that is drawn.
    pub seed: u64,
    /// How long users submit, in seconds.
    pub run_s: f64,
    /// The initial jobs are spread over this time, which figures leave out.
    pub warm_s: f64,
    /// The zones, in the order in which machines are spread over them.
    pub zones: Vec<String>,
    /// How many teams share the fleet.
    pub teams: u32,
    /// A team's limit, in GPUs.
    pub team_gpus_max: f64,
    /// The hollow workers.
    pub workers: WorkerSettings,
    /// The real controllers.
    pub controllers: ControllerSettings,
    /// The stand-in state service.
    pub state: StateSettings,
    /// The stand-in cloud.
    pub cloud: CloudSettings,
    /// The machine types.
    #[serde(rename = "machine_type")]
    pub machine_types: Vec<TypeSettings>,
    /// The classes of jobs.
    #[serde(rename = "class")]
    pub classes: Vec<ClassSettings>,
    /// Controllers repair each part of a replica alone: what replica groups are
    /// compared with. Rules on replicas aren't judged then.
    #[serde(default)]
    pub parts_alone: bool,
    /// What goes wrong, and when.
    #[serde(rename = "fault", default)]
    pub faults: Vec<FaultSettings>,
}

/// The hollow workers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSettings {
    /// Up from the start.
    pub count: u32,
    /// More that can be rented.
    pub spare: u32,
    /// Workers of one process.
    pub per_process: u32,
    /// Between two reports, in seconds.
    pub report_s: f64,
    /// Their lease, in seconds.
    pub lease_s: f64,
    /// Within which a cancelled job's tasks are gone, in seconds.
    pub cancel_s: f64,
}

/// The real controllers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerSettings {
    /// How many.
    pub count: u32,
    /// What each is told that it may use of a core.
    pub cores: f64,
    /// What each is told that it may use of memory, in MB.
    pub ram_mb: f64,
    /// Sockets of each.
    pub max_connections: u32,
}

/// The stand-in state service.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateSettings {
    /// Requests per second.
    pub rps: f64,
    /// Changes per second.
    pub write_rps: f64,
    /// The size of a value.
    pub value_kb: f64,
    /// Changes in a transaction.
    pub txn_ops: u32,
    /// So much later each answer goes out, in milliseconds.
    #[serde(default)]
    pub answer_ms: f64,
    /// The limits that a fault `limits_fall` brings into force.
    pub next: Option<NextStateSettings>,
}

/// Limits of the stand-in state service that settings announce.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NextStateSettings {
    /// Changes per second.
    pub write_rps: f64,
    /// The size of a value.
    pub value_kb: f64,
    /// Changes in a transaction.
    pub txn_ops: u32,
}

/// The stand-in cloud.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudSettings {
    /// Requests per second.
    pub rps: f64,
    /// By how much its list lags, in seconds.
    pub list_lag_s: f64,
}

/// A machine type.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TypeSettings {
    /// Its name.
    pub name: String,
    /// Its part of the machines.
    pub weight: u32,
    /// Cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
    /// Image cache in GB.
    pub cache_gb: f64,
    /// How fast images are fetched.
    pub fetch_gb_per_s: f64,
    /// How long a boot takes, in seconds.
    pub boot_s: f64,
    /// Price an hour.
    pub price: f64,
}

/// A class of jobs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// Array or service.
    pub kind: JobKind,
    /// Its priority.
    pub priority: Priority,
    /// Numbers of tasks, drawn evenly.
    pub tasks: Vec<u32>,
    /// Cores of a task.
    pub cpus: f64,
    /// GPUs of a task.
    pub gpus: f64,
    /// Memory of a task in GB.
    pub memory_gb: f64,
    /// How many images its jobs use.
    pub images: u32,
    /// The size of each.
    pub image_gb: f64,
    /// Shortest and longest run of a task, or life of a service, in seconds.
    pub run_s: [f64; 2],
    /// Jobs at the start.
    pub initial: u32,
    /// Jobs per second after that.
    pub rate: f64,
    /// So many consecutive tasks of a service are a replica that spans machines;
    /// 0: each is one by itself.
    #[serde(default)]
    pub parts: u32,
    /// At most half of the tasks in one zone.
    #[serde(default)]
    pub spread: bool,
    /// Seconds within which its tasks should start.
    pub start_within_s: Option<f64>,
    /// The deadline, in times of the longest run.
    pub deadline_runs: Option<f64>,
    /// Share of its jobs that their users cancel early.
    #[serde(default)]
    pub cancelled: f64,
    /// Classes that come earlier in a pipeline: each job needs those of its number, and
    /// is submitted once they are accepted.
    #[serde(default)]
    pub after: Vec<String>,
}

/// A fault at a set time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSettings {
    /// Seconds after the warm-up.
    pub at_s: f64,
    /// What happens.
    pub kind: FaultKind,
    /// How long, where that has a meaning.
    #[serde(default)]
    pub for_s: f64,
    /// How many machines, for `replace` and `silent`.
    #[serde(default)]
    pub count: u32,
    /// The machines are hit at random moments within so many seconds.
    #[serde(default)]
    pub over_s: f64,
    /// The zone, for `zone_cut`.
    pub zone: Option<String>,
}

/// What can go wrong.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The leader is killed, and started again after `for_s`.
    LeaderKill,
    /// The leader stands still for `for_s`, then goes on.
    LeaderPause,
    /// Every controller in turn is killed and started again at once.
    RestartAll,
    /// A process of hollow workers ends for good: a rack.
    RackLost,
    /// A process of hollow workers is paused for `for_s`.
    RackPaused,
    /// A zone's workers reach no controller, nor are reached, for `for_s`.
    ZoneCut,
    /// The state service refuses everybody for `for_s`.
    StateDown,
    /// The state service refuses the leader alone for `for_s`.
    StateRefusesLeader,
    /// The state service's announced limits come into force.
    LimitsFall,
    /// Machines die; the cloud lists them as failed.
    Replace,
    /// Machines reach nobody, nor are reached, for `for_s`, and come back.
    Silent,
}

/// What a machine is, by its number.
#[derive(Clone, PartialEq, Debug)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Index of its type.
    pub machine_type: usize,
    /// Index of its zone.
    pub zone: usize,
}

impl Scenario {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
        let file = path.display().to_string();
        let error = |key: &str, why: String| ScenarioError {
            file: file.clone(),
            key: key.into(),
            why: why.replace('\n', " "),
        };
        let text = std::fs::read_to_string(path).map_err(|e| error("file", e.to_string()))?;
        Scenario::parse(&text).map_err(|(key, why)| error(&key, why))
    }

    /// Reads and checks the text of a file; the error names key and reason.
    pub fn parse(text: &str) -> Result<Scenario, (String, String)> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| {
            let line = e
                .span()
                .map_or(0, |span| text[..span.start].lines().count());
            (format!("line {}", line.max(1)), e.message().to_string())
        })?;
        match scenario.fault_in() {
            Some((key, why)) => Err((key.into(), why.into())),
            None => Ok(scenario),
        }
    }

    fn fault_in(&self) -> Option<(&'static str, &'static str)> {
        let positive = [
            ("run_s", self.run_s),
            ("workers.report_s", self.workers.report_s),
            ("workers.lease_s", self.workers.lease_s),
            ("workers.cancel_s", self.workers.cancel_s),
            ("state.rps", self.state.rps),
            ("state.write_rps", self.state.write_rps),
            ("cloud.rps", self.cloud.rps),
        ];
        let counts = [
            ("teams", self.teams),
            ("workers.count", self.workers.count),
            ("workers.per_process", self.workers.per_process),
            ("controllers.count", self.controllers.count),
            ("state.txn_ops", self.state.txn_ops),
        ];
        let not_positive = |v: f64| !v.is_finite() || v <= 0.0;
        if let Some((key, _)) = positive.iter().find(|(_, v)| not_positive(*v)) {
            return Some((key, "must be a number above 0"));
        }
        if let Some((key, _)) = counts.iter().find(|(_, n)| *n == 0) {
            return Some((key, "must be at least 1"));
        }
        if self.zones.is_empty() {
            return Some(("zones", "must name at least one zone"));
        }
        if self.machine_types.iter().all(|t| t.weight == 0) {
            return Some(("machine_type.weight", "must be at least 1 for one type"));
        }
        if self.classes.is_empty() || self.classes.iter().any(|c| c.tasks.is_empty()) {
            return Some(("class.tasks", "must hold at least one number"));
        }
        let divides = |c: &ClassSettings| {
            let whole = c.tasks.iter().all(|n| n.is_multiple_of(c.parts.max(1)));
            c.parts == 0 || (c.parts > 1 && c.kind == JobKind::Service && whole)
        };
        if !self.classes.iter().all(divides) {
            return Some((
                "class.parts",
                "must be above 1 and divide a service's tasks",
            ));
        }
        let runs = self.classes.iter().map(|c| c.run_s);
        if runs
            .into_iter()
            .any(|[least, most]| least <= 0.0 || most < least)
        {
            return Some(("class.run_s", "must be [shortest, longest], above 0"));
        }
        let zone_known = |f: &FaultSettings| match &f.zone {
            Some(zone) => self.zones.contains(zone),
            None => f.kind != FaultKind::ZoneCut,
        };
        let earlier = |n: usize, name: &String| self.classes[..n].iter().any(|c| c.name == *name);
        let mut classes = self.classes.iter().enumerate();
        if !classes.all(|(n, class)| class.after.iter().all(|name| earlier(n, name))) {
            return Some(("class.after", "must name classes that stand before it"));
        }
        let falls = |f: &FaultSettings| f.kind == FaultKind::LimitsFall;
        if self.state.next.is_none() && self.faults.iter().any(falls) {
            return Some(("state.next", "must say to what the limits fall"));
        }
        if !self.faults.iter().all(zone_known) {
            return Some(("fault.zone", "must be one of the zones"));
        }
        None
    }

    /// The same at another size: machines, jobs and rates in proportion.
    pub fn resized(mut self, workers: u32) -> Scenario {
        let times = f64::from(workers) / f64::from(self.workers.count);
        let scale = |n: u32| (f64::from(n) * times).round().max(1.0) as u32;
        self.workers.spare = scale(self.workers.spare);
        self.workers.count = workers;
        self.teams = scale(self.teams);
        for class in &mut self.classes {
            class.initial = scale(class.initial);
            class.rate *= times;
        }
        self.state.rps *= times.max(0.2);
        self.state.write_rps *= times.max(0.2);
        if let Some(next) = &mut self.state.next {
            next.write_rps *= times.max(0.2);
        }
        self
    }

    /// The same with another share of its arrays.
    pub fn loaded(mut self, load: f64) -> Scenario {
        for class in self.classes.iter_mut().filter(|c| c.kind == JobKind::Array) {
            class.rate *= load;
            class.initial = (f64::from(class.initial) * load).round() as u32;
        }
        self
    }

    /// All machines that may ever be up.
    pub fn machine_count(&self) -> u32 {
        self.workers.count + self.workers.spare
    }

    /// What the machine of this number is.
    pub fn machine(&self, number: u32) -> Machine {
        let zones = self.zones.len() as u32;
        let total: u32 = self.machine_types.iter().map(|t| t.weight).sum();
        let mut rest = (number / zones) % total;
        let mut machine_type = 0;
        while rest >= self.machine_types[machine_type].weight {
            rest -= self.machine_types[machine_type].weight;
            machine_type += 1;
        }
        Machine {
            name: format!("vm-{number:06}"),
            machine_type,
            zone: (number % zones) as usize,
        }
    }

    /// The number in a machine's name.
    pub fn machine_number(name: &str) -> Option<u32> {
        name.strip_prefix("vm-")?.parse().ok()
    }

    /// The cloud's machine types.
    pub fn catalog(&self) -> Catalog {
        let zones: Vec<Rc<str>> = self.zones.iter().map(|z| Rc::from(z.as_str())).collect();
        let types = self.machine_types.iter().map(|t| MachineType {
            name: Rc::from(t.name.as_str()),
            cpus: t.cpus,
            gpus: t.gpus,
            memory_gb: t.memory_gb,
            image_cache_gb: t.cache_gb,
            image_pull_gb_per_s: t.fetch_gb_per_s,
            hourly_price: t.price,
            hourly_spot_price: 0.0,
            boot_s: t.boot_s,
            zones: zones.clone(),
        });
        Catalog {
            types: types.collect(),
        }
    }

    /// The name of a class's job.
    pub fn job_name(class: usize, number: u32) -> String {
        format!("run-{class}x{number}")
    }

    /// Class and number in a job's name.
    pub fn job_number(&self, job: &str) -> Option<(usize, u32)> {
        let (class, number) = job.strip_prefix("run-")?.split_once('x')?;
        let class = class.parse().ok().filter(|c| *c < self.classes.len())?;
        Some((class, number.parse().ok()?))
    }

    /// What is drawn for a job, or one of its tasks, the same in every process.
    fn draw(&self, class: usize, number: u32, task: u32) -> fastrand::Rng {
        let job = (class as u64) << 48 | u64::from(number) << 16;
        fastrand::Rng::with_seed(
            self.seed ^ (job + u64::from(task)).wrapping_mul(0x9E37_79B9_7F4A_7C15),
        )
    }

    /// A job as its user describes it.
    pub fn job(&self, name: &str) -> Option<JobSpec> {
        let (class_index, number) = self.job_number(name)?;
        let class = &self.classes[class_index];
        let mut rng = self.draw(class_index, number, u32::MAX >> 1);
        let estimate_s = (class.run_s[0] + class.run_s[1]) / 2.0;
        let array = class.kind == JobKind::Array;
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
            types: None,
            zone: None,
            same_zone: false,
            spread: class.spread,
            spot: false,
            estimated_run_s: if array { estimate_s } else { 0.0 },
            checkpoint_interval_s: 0.0,
            checkpoint_save_s: 0.0,
            deadline_s: class.deadline_runs.map(|runs| runs * class.run_s[1]),
            dependencies: self.needs(class_index, number),
        })
    }

    fn needs(&self, class: usize, number: u32) -> Vec<JobId> {
        let after = self.classes[class].after.iter();
        let earlier = after.filter_map(|name| self.classes.iter().position(|c| c.name == *name));
        earlier
            .map(|class| JobId::new(&Scenario::job_name(class, number)))
            .collect()
    }

    /// The jobs that need this one directly.
    pub fn dependents(&self, job: &str) -> Vec<String> {
        let Some((class, number)) = self.job_number(job) else {
            return Vec::new();
        };
        let name = &self.classes[class].name;
        let later = self.classes.iter().enumerate();
        let later = later.filter(|(_, c)| c.after.contains(name));
        later
            .map(|(class, _)| Scenario::job_name(class, number))
            .collect()
    }

    /// Parts of the job's replicas; `None`: they don't span machines.
    pub fn parts(&self, job: &str) -> Option<u32> {
        let (class, _) = self.job_number(job)?;
        Some(self.classes[class].parts).filter(|parts| *parts > 0)
    }

    /// How long a task runs, or a service's user keeps it, in seconds.
    pub fn run_s(&self, job: &str, task: u32) -> Option<f64> {
        let (class, number) = self.job_number(job)?;
        let [least, most] = self.classes[class].run_s;
        Some(least + (most - least) * self.draw(class, number, task).f64())
    }

    /// Whether the job's user cancels it early.
    pub fn cancelled_early(&self, job: &str) -> bool {
        self.job_number(job).is_some_and(|(class, number)| {
            let mut rng = self.draw(class, number, u32::MAX >> 2);
            rng.f64() < self.classes[class].cancelled
        })
    }
}

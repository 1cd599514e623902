//! Amounts of a machine, or of what a task takes of it.

/// Rounding of decimal amounts must not turn a machine away.
const SLOP: f64 = 1e-6;

/// Amounts of a machine, or of what a task takes of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Processor cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// Whether this much is there.
    pub fn holds(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus + SLOP
            && need.gpus <= self.gpus + SLOP
            && need.memory_gb <= self.memory_gb + SLOP
    }
    /// Adds to it.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }
    /// So many times as much.
    pub fn scaled(&self, times: f64) -> Resources {
        Resources {
            cpus: self.cpus * times,
            gpus: self.gpus * times,
            memory_gb: self.memory_gb * times,
        }
    }
    /// Takes from it.
    pub fn take(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }
    /// How many times `need` goes in here.
    pub fn times(&self, need: &Resources) -> u32 {
        let ratio = |have: f64, want: f64| {
            if want > 0.0 {
                (have + SLOP) / want
            } else {
                f64::INFINITY
            }
        };
        let n = ratio(self.cpus, need.cpus)
            .min(ratio(self.gpus, need.gpus))
            .min(ratio(self.memory_gb, need.memory_gb));
        n.min(f64::from(u32::MAX)).max(0.0) as u32
    }
    /// The share of `whole` that this takes, by the scarcest amount.
    pub fn share_of(&self, whole: &Resources) -> f64 {
        let part = |x: f64, y: f64| if y > 0.0 { x / y } else { 0.0 };
        part(self.cpus, whole.cpus)
            .max(part(self.gpus, whole.gpus))
            .max(part(self.memory_gb, whole.memory_gb))
    }
}

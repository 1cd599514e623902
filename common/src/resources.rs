//! Amounts of a machine, or of what a task takes of it.

/// Rounding of decimal amounts must not turn a machine away.
const ROUNDING_TOLERANCE: f64 = 1e-6;

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
    pub fn covers(&self, need: &Resources) -> bool {
        need.cpus <= self.cpus + ROUNDING_TOLERANCE
            && need.gpus <= self.gpus + ROUNDING_TOLERANCE
            && need.memory_gb <= self.memory_gb + ROUNDING_TOLERANCE
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
    pub fn subtract(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }
    /// How many times `need` goes in here.
    pub fn count_of(&self, need: &Resources) -> u32 {
        let ratio = |have: f64, want: f64| {
            if want > 0.0 {
                (have + ROUNDING_TOLERANCE) / want
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
    pub fn dominant_share(&self, whole: &Resources) -> f64 {
        let part = |x: f64, y: f64| if y > 0.0 { x / y } else { 0.0 };
        part(self.cpus, whole.cpus)
            .max(part(self.gpus, whole.gpus))
            .max(part(self.memory_gb, whole.memory_gb))
    }
}

//! Resources: what a machine holds, or what a task requests.

/// Amounts that differ by less are equal: the rounding of decimals must not make a
/// task too large for a machine.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// What a machine holds, or what a task requests.
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
    /// Whether a request fits in here.
    pub fn covers(&self, request: &Resources) -> bool {
        request.cpus <= self.cpus + ROUNDING_TOLERANCE
            && request.gpus <= self.gpus + ROUNDING_TOLERANCE
            && request.memory_gb <= self.memory_gb + ROUNDING_TOLERANCE
    }

    /// Adds to each amount.
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

    /// Subtracts from each amount.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// How many times a request fits in here.
    pub fn count_of(&self, request: &Resources) -> u32 {
        let ratio = |available: f64, requested: f64| {
            if requested > 0.0 {
                (available + ROUNDING_TOLERANCE) / requested
            } else {
                f64::INFINITY
            }
        };
        let count = ratio(self.cpus, request.cpus)
            .min(ratio(self.gpus, request.gpus))
            .min(ratio(self.memory_gb, request.memory_gb));
        count.min(f64::from(u32::MAX)).max(0.0) as u32
    }

    /// The share of `total` that this takes of the resource of which it takes the
    /// largest share (dominant resource).
    pub fn dominant_share(&self, total: &Resources) -> f64 {
        let share = |part: f64, total: f64| if total > 0.0 { part / total } else { 0.0 };
        share(self.cpus, total.cpus)
            .max(share(self.gpus, total.gpus))
            .max(share(self.memory_gb, total.memory_gb))
    }
}

//! Amounts of CPU cores, GPUs and memory.

/// Amounts that differ by less than this are treated as equal, so that rounding errors
/// don't make a task too large for a machine.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The resources of a machine, or those requested by a task.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// The number of CPU cores, which may be fractional.
    pub cpus: f64,
    /// The number of GPUs, which may be fractional.
    pub gpus: f64,
    /// Memory, in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// Returns whether a request fits in these resources.
    pub fn covers(&self, request: &Resources) -> bool {
        request.cpus <= self.cpus + ROUNDING_TOLERANCE
            && request.gpus <= self.gpus + ROUNDING_TOLERANCE
            && request.memory_gb <= self.memory_gb + ROUNDING_TOLERANCE
    }

    /// Adds each amount of `other`.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Returns these resources with each amount multiplied by `times`.
    pub fn scaled(&self, times: f64) -> Resources {
        Resources {
            cpus: self.cpus * times,
            gpus: self.gpus * times,
            memory_gb: self.memory_gb * times,
        }
    }

    /// Subtracts each amount of `other`. Amounts may become negative.
    pub fn subtract(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// Returns how many times a request fits in these resources.
    pub fn fit_count(&self, request: &Resources) -> u32 {
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

    /// Returns the largest share that any of these amounts has of the same amount in
    /// `total` (the share of the dominant resource).
    pub fn dominant_share(&self, total: &Resources) -> f64 {
        let share = |part: f64, total: f64| if total > 0.0 { part / total } else { 0.0 };
        share(self.cpus, total.cpus)
            .max(share(self.gpus, total.gpus))
            .max(share(self.memory_gb, total.memory_gb))
    }
}

//! Arrival rates of each job class, measured over a sliding window.

use crate::wire::users::JobSpec;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// At most this many of the latest arrivals of a class are kept.
const MAX_ARRIVALS_PER_CLASS: usize = 256;
/// The observed time is taken to be at least the window divided by this number, because
/// the rate over a shorter observation is unreliable.
const MIN_OBSERVATION_DIVISOR: u64 = 4;

/// The arrival of a job.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// Time of day, because all controllers share it.
    arrived_wall_ms: u64,
    tasks: u32,
}

/// Arrivals of one class, ordered by time.
#[derive(Clone, Debug, Default)]
struct ClassArrivals {
    arrivals: VecDeque<Arrival>,
    latest_spec: Option<Rc<JobSpec>>,
}

/// The arrival rate of one job class.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct ArrivalRate {
    /// The latest job of the class, used as representative of the class.
    pub(in crate::scheduler) spec: Rc<JobSpec>,
    pub(in crate::scheduler) jobs_per_s: f64,
    /// Mean of the squared number of tasks per job.
    pub(in crate::scheduler) mean_squared_tasks: f64,
}

/// The recent arrivals of all classes.
#[derive(Debug)]
pub(super) struct ArrivalWindow {
    classes: BTreeMap<Rc<str>, ClassArrivals>,
    /// Time of day from which arrivals are known.
    known_since_wall_ms: u64,
    window_ms: u64,
}

impl ArrivalWindow {
    /// Creates an empty window.
    pub(super) fn new(window_ms: u64) -> Self {
        ArrivalWindow {
            classes: BTreeMap::new(),
            known_since_wall_ms: 0,
            window_ms,
        }
    }

    /// Discards all arrivals and starts counting at `wall_ms`.
    pub(super) fn restart(&mut self, wall_ms: u64) {
        self.known_since_wall_ms = wall_ms;
        self.classes.clear();
    }

    /// Records the arrival of a job. Arrivals may be recorded out of order.
    pub(super) fn record(&mut self, wall_ms: u64, spec: &Rc<JobSpec>) {
        self.known_since_wall_ms = self.known_since_wall_ms.min(wall_ms);
        let class = self.classes.entry(spec.class.clone()).or_default();
        class.latest_spec = Some(spec.clone());
        let index = class
            .arrivals
            .partition_point(|arrival| arrival.arrived_wall_ms <= wall_ms);
        let arrival = Arrival {
            arrived_wall_ms: wall_ms,
            tasks: spec.tasks,
        };
        class.arrivals.insert(index, arrival);
        while class.arrivals.len() > MAX_ARRIVALS_PER_CLASS {
            class.arrivals.pop_front();
        }
    }

    /// Returns the arrival rate of each class with at least one arrival in the window.
    pub(super) fn rates(&mut self, wall_ms: u64) -> Vec<ArrivalRate> {
        let start_wall_ms = wall_ms
            .saturating_sub(self.window_ms)
            .max(self.known_since_wall_ms);
        let observed_ms = wall_ms
            .saturating_sub(start_wall_ms)
            .max(self.window_ms / MIN_OBSERVATION_DIVISOR);
        let observed_s = observed_ms as f64 / 1000.0;
        self.classes
            .values_mut()
            .filter_map(|class| class.rate(start_wall_ms, observed_s))
            .collect()
    }
}

impl ClassArrivals {
    /// Discards arrivals from before the window and returns the rate of the others;
    /// `None` if there are none.
    fn rate(&mut self, start_wall_ms: u64, observed_s: f64) -> Option<ArrivalRate> {
        while self
            .arrivals
            .front()
            .is_some_and(|arrival| arrival.arrived_wall_ms < start_wall_ms)
        {
            self.arrivals.pop_front();
        }
        if self.arrivals.is_empty() {
            return None;
        }
        let jobs = self.arrivals.len() as f64;
        let squares: f64 = self
            .arrivals
            .iter()
            .map(|arrival| f64::from(arrival.tasks).powi(2))
            .sum();
        Some(ArrivalRate {
            spec: self.latest_spec.clone()?,
            jobs_per_s: jobs / observed_s,
            mean_squared_tasks: squares / jobs,
        })
    }
}

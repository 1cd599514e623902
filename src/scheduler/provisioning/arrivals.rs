//! How fast jobs of each class arrive, over a sliding window.

use crate::wire::users::JobSpec;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// So many of the latest arrivals of a class are kept.
const MAX_ARRIVALS: usize = 256;
/// A window that has been observed for less than one of so many parts counts as
/// if it had been observed for that long.
const WINDOW_PARTS: u64 = 4;

/// The arrival of a job.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// Time of day: all controllers share it.
    at: u64,
    tasks: u32,
}

/// Arrivals of one class, in order.
#[derive(Clone, Debug, Default)]
struct ClassArrivals {
    arrivals: VecDeque<Arrival>,
    latest: Option<Rc<JobSpec>>,
}

/// How fast the jobs of a class arrive.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct ArrivalRate {
    /// The latest job of the class stands for the others.
    pub(in crate::scheduler) spec: Rc<JobSpec>,
    /// Jobs per second.
    pub(in crate::scheduler) jobs_per_s: f64,
    /// Mean of the squared number of tasks.
    pub(in crate::scheduler) mean_squared_tasks: f64,
}

/// The arrivals of all classes.
#[derive(Debug)]
pub(super) struct ArrivalWindow {
    classes: BTreeMap<Rc<str>, ClassArrivals>,
    /// Arrivals are known since then, time of day.
    since: u64,
    window_ms: u64,
}

impl ArrivalWindow {
    /// Nothing is known yet.
    pub(super) fn new(window_ms: u64) -> Self {
        ArrivalWindow {
            classes: BTreeMap::new(),
            since: 0,
            window_ms,
        }
    }

    /// Forgets all arrivals and counts from here on.
    pub(super) fn restart(&mut self, wall: u64) {
        self.since = wall;
        self.classes.clear();
    }

    /// A job arrived at this time of day.
    pub(super) fn record(&mut self, wall: u64, spec: &Rc<JobSpec>) {
        self.since = self.since.min(wall);
        let class = self.classes.entry(spec.class.clone()).or_default();
        class.latest = Some(spec.clone());
        let index = class.arrivals.partition_point(|arrival| arrival.at <= wall);
        let arrival = Arrival {
            at: wall,
            tasks: spec.tasks,
        };
        class.arrivals.insert(index, arrival);
        while class.arrivals.len() > MAX_ARRIVALS {
            class.arrivals.pop_front();
        }
    }

    /// The rates of the classes of which jobs have arrived in the window.
    pub(super) fn rates(&mut self, wall: u64) -> Vec<ArrivalRate> {
        let from = wall.saturating_sub(self.window_ms).max(self.since);
        // A short observation says little: it counts as if it had been longer.
        let observed_ms = wall.saturating_sub(from).max(self.window_ms / WINDOW_PARTS);
        let observed_s = observed_ms as f64 / 1000.0;
        self.classes
            .values_mut()
            .filter_map(|class| class.rate(from, observed_s))
            .collect()
    }
}

impl ClassArrivals {
    /// Forgets what is older than the window, and takes the rate of the rest.
    fn rate(&mut self, from: u64, observed_s: f64) -> Option<ArrivalRate> {
        while self
            .arrivals
            .front()
            .is_some_and(|arrival| arrival.at < from)
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
            spec: self.latest.clone()?,
            jobs_per_s: jobs / observed_s,
            mean_squared_tasks: squares / jobs,
        })
    }
}

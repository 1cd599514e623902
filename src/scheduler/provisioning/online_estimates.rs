//! What the leader learns from what it sees: boot times, how wrong estimates
//! are, how fast work arrives. Small, and slow to believe outliers.

use crate::records::estimates::{EstimateRecord, EstimateValue};
use crate::wire::users::JobSpec;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// How many times above or below what is known a sample may count.
const OUTLIER: f64 = 3.0;

/// Before anything is known, a job of a pipeline is taken to need so many times the
/// estimate for one task: some of its tasks take longer, and start later.
const STAGE_ESTIMATES: f64 = 2.0;

/// A mean that moves by a fixed share, fed with samples that are clamped to
/// a few times what it knows or began with.
#[derive(Clone, Copy, Debug)]
pub struct OnlineEstimate {
    pub value: f64,
    start: f64,
    rate: f64,
}

impl OnlineEstimate {
    pub fn new(start: f64, rate: f64) -> Self {
        OnlineEstimate {
            value: start,
            start,
            rate,
        }
    }
    pub fn sample(&mut self, x: f64) {
        if x.is_finite() && x >= 0.0 {
            let least = self.value.min(self.start) / OUTLIER;
            let most = self.value.max(self.start) * OUTLIER;
            self.value += self.rate * (x.clamp(least, most) - self.value);
        }
    }

    fn to_record(self, name: &str) -> EstimateValue {
        EstimateValue {
            name: name.to_string(),
            start: self.start,
            value: self.value,
        }
    }

    fn restored(stored: &EstimateValue, rate: f64) -> Self {
        OnlineEstimate {
            value: stored.value,
            start: stored.start,
            rate,
        }
    }
}

/// What is known of the boots of a machine type.
#[derive(Clone, Copy, Debug)]
struct BootEstimate {
    took_s: OnlineEstimate,
    /// When the latest-rented machine was rented that has come up.
    up_rented_ms: u64,
}

/// Arrivals of one class, over a sliding window.
#[derive(Clone, Debug, Default)]
struct Arrivals {
    /// (when, tasks), in order. Time of day: all controllers share it.
    seen: VecDeque<(u64, u32)>,
    latest: Option<Rc<JobSpec>>,
}

#[derive(Debug)]
pub struct OnlineEstimates {
    rate: f64,
    boots: BTreeMap<Rc<str>, BootEstimate>,
    bias: BTreeMap<Rc<str>, OnlineEstimate>,
    /// Whole time of a job over the estimate for one task, by class.
    stages: BTreeMap<Rc<str>, OnlineEstimate>,
    arrivals: BTreeMap<Rc<str>, Arrivals>,
    since: u64,
    window_ms: u64,
    /// Samples taken since the process began.
    samples: u64,
}

/// A class's expected come and go.
#[derive(Clone, Debug)]
pub struct ArrivalRate {
    /// The latest job of the class stands for the others.
    pub spec: Rc<JobSpec>,
    pub jobs_per_s: f64,
    /// Mean of the squared number of tasks.
    pub tasks_squared: f64,
}

impl OnlineEstimates {
    pub fn new(rate: f64, window_ms: u64) -> Self {
        OnlineEstimates {
            rate,
            boots: BTreeMap::new(),
            bias: BTreeMap::new(),
            stages: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            since: 0,
            window_ms,
            samples: 0,
        }
    }

    /// A new leadership counts arrivals from here on, and those before that
    /// stored jobs tell of.
    pub fn start(&mut self, wall: u64) {
        self.since = wall;
        self.arrivals.clear();
    }

    fn boots_of(&mut self, machine_type: &Rc<str>, nominal_s: f64) -> &mut BootEstimate {
        let took_s = OnlineEstimate::new(nominal_s, self.rate);
        self.boots
            .entry(machine_type.clone())
            .or_insert_with(|| BootEstimate {
                took_s,
                up_rented_ms: 0,
            })
    }

    /// A machine that was rented then has come up.
    pub fn booted(&mut self, machine_type: &Rc<str>, nominal_s: f64, rented_ms: u64, took_s: f64) {
        self.samples += 1;
        let boots = self.boots_of(machine_type, nominal_s);
        boots.took_s.sample(took_s);
        boots.up_rented_ms = boots.up_rented_ms.max(rented_ms);
    }

    /// A machine that was rented then is given up. Unless one that was rented
    /// later has come up, all may take that long now: those that don't come up
    /// in time must count, or only the quick ones would be learned from.
    pub fn gave_up_boot(
        &mut self,
        machine_type: &Rc<str>,
        nominal_s: f64,
        rented_ms: u64,
        waited_s: f64,
    ) {
        self.samples += 1;
        let boots = self.boots_of(machine_type, nominal_s);
        if boots.up_rented_ms <= rented_ms {
            boots.took_s.sample(waited_s);
        }
    }

    /// How long a boot is expected to take.
    pub fn boot_s(&self, machine_type: &str, nominal_s: f64) -> f64 {
        self.boots
            .get(machine_type)
            .map_or(nominal_s, |boots| boots.took_s.value)
    }

    pub fn ran(&mut self, class: &Rc<str>, estimate_s: f64, took_s: f64) {
        if estimate_s > 0.0 {
            self.samples += 1;
            let rate = self.rate / 2.0;
            self.bias
                .entry(class.clone())
                .or_insert_with(|| OnlineEstimate::new(1.0, rate))
                .sample(took_s / estimate_s);
        }
    }

    /// A job of a pipeline took so long from when it might start.
    pub fn stage_took(&mut self, spec: &JobSpec, took_s: f64) {
        if spec.estimated_run_s > 0.0 {
            let rate = self.rate / 2.0;
            self.stages
                .entry(spec.class.clone())
                .or_insert_with(|| OnlineEstimate::new(STAGE_ESTIMATES, rate))
                .sample(took_s / spec.estimated_run_s);
        }
    }

    /// How long a job of a pipeline is expected to take from when it may start.
    pub fn stage_s(&self, spec: &JobSpec) -> f64 {
        let learned = self.stages.get(&spec.class);
        spec.estimated_run_s * learned.map_or(STAGE_ESTIMATES, |l| l.value)
    }

    /// How many samples were taken since the process began.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    /// What the next leader should know, of at most so many types and classes.
    pub fn to_record(&self, written_at: u64, most: usize) -> EstimateRecord {
        let boots = self.boots.iter().take(most);
        let estimates = self.bias.iter().take(most);
        EstimateRecord {
            written_at,
            boots: boots.map(|(n, b)| b.took_s.to_record(n)).collect(),
            estimates: estimates.map(|(n, l)| l.to_record(n)).collect(),
        }
    }

    /// Takes over what an earlier leader learned, as far as it makes sense.
    pub fn restore(&mut self, record: &EstimateRecord) {
        for stored in record.boots.iter().filter(|v| v.plausible()) {
            let boots = BootEstimate {
                took_s: OnlineEstimate::restored(stored, self.rate),
                up_rented_ms: 0,
            };
            self.boots.insert(Rc::from(stored.name.as_str()), boots);
        }
        for stored in record.estimates.iter().filter(|v| v.plausible()) {
            let bias = OnlineEstimate::restored(stored, self.rate / 2.0);
            self.bias.insert(Rc::from(stored.name.as_str()), bias);
        }
    }

    pub fn bias(&self, class: &str) -> f64 {
        self.bias.get(class).map_or(1.0, |l| l.value)
    }

    pub fn arrived(&mut self, wall: u64, spec: &Rc<JobSpec>) {
        self.since = self.since.min(wall);
        let entry = self.arrivals.entry(spec.class.clone()).or_default();
        entry.latest = Some(spec.clone());
        let place = entry.seen.partition_point(|(at, _)| *at <= wall);
        entry.seen.insert(place, (wall, spec.tasks));
        while entry.seen.len() > 256 {
            entry.seen.pop_front();
        }
    }

    pub fn arrival_rates(&mut self, wall: u64) -> Vec<ArrivalRate> {
        let from = wall.saturating_sub(self.window_ms).max(self.since);
        // A short past says little: it counts as if it had been longer.
        let span_s = (wall.saturating_sub(from).max(self.window_ms / 4)) as f64 / 1000.0;
        let mut flows = Vec::new();
        for arrivals in self.arrivals.values_mut() {
            while arrivals.seen.front().is_some_and(|(at, _)| *at < from) {
                arrivals.seen.pop_front();
            }
            let Some(spec) = arrivals
                .latest
                .clone()
                .filter(|_| !arrivals.seen.is_empty())
            else {
                continue;
            };
            let n = arrivals.seen.len() as f64;
            let squares: f64 = arrivals
                .seen
                .iter()
                .map(|(_, t)| f64::from(*t).powi(2))
                .sum();
            flows.push(ArrivalRate {
                spec,
                jobs_per_s: n / span_s,
                tasks_squared: squares / n,
            });
        }
        flows
    }
}

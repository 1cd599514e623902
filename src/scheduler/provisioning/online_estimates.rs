//! Online estimates: boot times, the ratio of run times to users' estimates, and arrival
//! rates.

use crate::records::estimates::EstimateRecord;
use crate::scheduler::provisioning::arrivals::ArrivalWindow;
use crate::scheduler::provisioning::moving_average::MovingAverage;
use crate::wire::users::JobSpec;
use std::collections::BTreeMap;
use std::rc::Rc;

pub(in crate::scheduler) use crate::scheduler::provisioning::arrivals::ArrivalRate;

/// Initial ratio of the duration of a pipeline job to the estimate for one of its tasks. It
/// is above 1 because some of the tasks run longer or start later.
const INITIAL_STAGE_RATIO: f64 = 2.0;

/// The share of the learning rate used for run times, which vary more than boot times.
const RUN_LEARNING_RATE_SHARE: f64 = 0.5;

/// The boot-time estimate of a machine type.
#[derive(Clone, Copy, Debug)]
struct BootEstimate {
    boot_time_s: MovingAverage,
    /// The latest provisioning time among the machines that have completed their boot.
    latest_booted_provisioned_ms: u64,
}

/// The estimates that the leader derives from observed boots, runs and arrivals.
#[derive(Debug)]
pub(in crate::scheduler) struct OnlineEstimates {
    learning_rate: f64,
    /// Boot times by machine type.
    boots: BTreeMap<Rc<str>, BootEstimate>,
    /// Ratio of a task's run time to its user's estimate, by class.
    run_time_ratios: BTreeMap<Rc<str>, MovingAverage>,
    /// Ratio of a pipeline job's total time to the user's estimate for one task, by class.
    stage_time_ratios: BTreeMap<Rc<str>, MovingAverage>,
    arrivals: ArrivalWindow,
    /// Number of boot-time and run-time samples since the process started. The other
    /// estimates aren't stored, so their samples don't count.
    samples: u64,
}

impl OnlineEstimates {
    /// Creates estimates without any samples. `window_ms` is the window over which arrivals
    /// are counted.
    pub(in crate::scheduler) fn new(learning_rate: f64, window_ms: u64) -> Self {
        OnlineEstimates {
            learning_rate,
            boots: BTreeMap::new(),
            run_time_ratios: BTreeMap::new(),
            stage_time_ratios: BTreeMap::new(),
            arrivals: ArrivalWindow::new(window_ms),
            samples: 0,
        }
    }

    /// Restarts the arrival counts for a new term. Earlier arrivals are added again from the
    /// stored jobs.
    pub(in crate::scheduler) fn restart_arrivals(&mut self, wall_ms: u64) {
        self.arrivals.restart(wall_ms);
    }

    fn run_learning_rate(&self) -> f64 {
        self.learning_rate * RUN_LEARNING_RATE_SHARE
    }

    /// Returns the estimate of a machine type, which starts at the nominal boot time.
    fn boot_estimate(&mut self, machine_type: &Rc<str>, nominal_s: f64) -> &mut BootEstimate {
        let boot_time_s = MovingAverage::new(nominal_s, self.learning_rate);
        self.boots
            .entry(machine_type.clone())
            .or_insert_with(|| BootEstimate {
                boot_time_s,
                latest_booted_provisioned_ms: 0,
            })
    }

    /// Records a completed boot of a machine that was provisioned at `provisioned_ms`.
    pub(in crate::scheduler) fn record_boot(
        &mut self,
        machine_type: &Rc<str>,
        nominal_s: f64,
        provisioned_ms: u64,
        took_s: f64,
    ) {
        self.samples += 1;
        let estimate = self.boot_estimate(machine_type, nominal_s);
        estimate.boot_time_s.add_sample(took_s);
        estimate.latest_booted_provisioned_ms =
            estimate.latest_booted_provisioned_ms.max(provisioned_ms);
    }

    /// Records an overdue boot of a machine that was provisioned at `provisioned_ms`. Overdue
    /// boots are abandoned before they complete; if they weren't counted, the estimate would
    /// be based on fast boots only. A sample is ignored if a machine that was provisioned
    /// later has already booted, because boots of the type are then not slow in general.
    pub(in crate::scheduler) fn record_overdue_boot(
        &mut self,
        machine_type: &Rc<str>,
        nominal_s: f64,
        provisioned_ms: u64,
        waited_s: f64,
    ) {
        self.samples += 1;
        let estimate = self.boot_estimate(machine_type, nominal_s);
        if estimate.latest_booted_provisioned_ms <= provisioned_ms {
            estimate.boot_time_s.add_sample(waited_s);
        }
    }

    /// Returns the learned boot time of a machine type, or `nominal_s` if none has been
    /// learned.
    pub(in crate::scheduler) fn expected_boot_s(&self, machine_type: &str, nominal_s: f64) -> f64 {
        self.boots
            .get(machine_type)
            .map_or(nominal_s, |estimate| estimate.boot_time_s.value())
    }

    /// Records the run time of a completed task.
    pub(in crate::scheduler) fn record_task_run_time(
        &mut self,
        class: &Rc<str>,
        estimated_s: f64,
        took_s: f64,
    ) {
        if estimated_s > 0.0 {
            self.samples += 1;
            let rate = self.run_learning_rate();
            self.run_time_ratios
                .entry(class.clone())
                .or_insert_with(|| MovingAverage::new(1.0, rate))
                .add_sample(took_s / estimated_s);
        }
    }

    /// Returns the ratio of run times to users' estimates in a class; 1 if unknown.
    pub(in crate::scheduler) fn run_time_ratio(&self, class: &str) -> f64 {
        self.run_time_ratios
            .get(class)
            .map_or(1.0, MovingAverage::value)
    }

    /// Records the time from when a pipeline job became ready to start until it was done.
    pub(in crate::scheduler) fn record_stage_time(&mut self, spec: &JobSpec, took_s: f64) {
        if spec.estimated_run_s > 0.0 {
            let rate = self.run_learning_rate();
            self.stage_time_ratios
                .entry(spec.class.clone())
                .or_insert_with(|| MovingAverage::new(INITIAL_STAGE_RATIO, rate))
                .add_sample(took_s / spec.estimated_run_s);
        }
    }

    /// Returns the expected time from when a pipeline job becomes ready to start until it is
    /// done.
    pub(in crate::scheduler) fn expected_stage_s(&self, spec: &JobSpec) -> f64 {
        let ratio = self
            .stage_time_ratios
            .get(&spec.class)
            .map_or(INITIAL_STAGE_RATIO, MovingAverage::value);
        spec.estimated_run_s * ratio
    }

    /// Records the arrival of a job.
    pub(in crate::scheduler) fn record_arrival(&mut self, wall_ms: u64, spec: &Rc<JobSpec>) {
        self.arrivals.record(wall_ms, spec);
    }

    /// Returns the arrival rate of each class with recent arrivals.
    pub(in crate::scheduler) fn arrival_rates(&mut self, wall_ms: u64) -> Vec<ArrivalRate> {
        self.arrivals.rates(wall_ms)
    }

    /// Returns the number of boot-time and run-time samples since the process started.
    pub(super) fn samples(&self) -> u64 {
        self.samples
    }

    /// Returns the record for the next leader, with at most `max_values` machine types and
    /// as many classes. `written_wall_ms` is the time of day.
    pub(super) fn to_record(&self, written_wall_ms: u64, max_values: usize) -> EstimateRecord {
        let boots = self.boots.iter().take(max_values);
        let run_time_ratios = self.run_time_ratios.iter().take(max_values);
        EstimateRecord {
            written_wall_ms,
            boot_times_s: boots
                .map(|(name, estimate)| estimate.boot_time_s.to_record(name))
                .collect(),
            run_time_factors: run_time_ratios
                .map(|(name, ratio)| ratio.to_record(name))
                .collect(),
        }
    }

    /// Restores estimates from an earlier leader's record; implausible values are skipped.
    pub(super) fn restore(&mut self, record: &EstimateRecord) {
        for stored in record
            .boot_times_s
            .iter()
            .filter(|value| value.is_plausible())
        {
            let estimate = BootEstimate {
                boot_time_s: MovingAverage::from_record(stored, self.learning_rate),
                latest_booted_provisioned_ms: 0,
            };
            self.boots.insert(Rc::from(stored.name.as_str()), estimate);
        }
        let rate = self.run_learning_rate();
        for stored in record
            .run_time_factors
            .iter()
            .filter(|value| value.is_plausible())
        {
            let ratio = MovingAverage::from_record(stored, rate);
            self.run_time_ratios
                .insert(Rc::from(stored.name.as_str()), ratio);
        }
    }
}

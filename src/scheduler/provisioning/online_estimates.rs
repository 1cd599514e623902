//! Online estimates: boot times, how far users' run-time estimates are off, and
//! how fast jobs arrive.

use crate::records::estimates::EstimateRecord;
use crate::scheduler::provisioning::arrivals::ArrivalWindow;
use crate::scheduler::provisioning::moving_average::MovingAverage;
use crate::wire::users::JobSpec;
use std::collections::BTreeMap;
use std::rc::Rc;

pub(in crate::scheduler) use crate::scheduler::provisioning::arrivals::ArrivalRate;

/// Before anything is known, a job of a pipeline is taken to need so many times the
/// estimate for one task: some of its tasks take longer, and start later.
const INITIAL_STAGE_RATIO: f64 = 2.0;

/// Run times differ more than boot times: a sample counts for this part of the
/// learning rate.
const RUN_RATE_SHARE: f64 = 0.5;

/// What is known of the boots of a machine type.
#[derive(Clone, Copy, Debug)]
struct BootEstimate {
    took_s: MovingAverage,
    /// Of the machines that have come up: when the latest was provisioned.
    latest_up_provisioned_ms: u64,
}

/// What the leader learns from what it observes.
#[derive(Debug)]
pub(in crate::scheduler) struct OnlineEstimates {
    learning_rate: f64,
    /// By machine type.
    boots: BTreeMap<Rc<str>, BootEstimate>,
    /// Run time of a task over its user's estimate, by class.
    run_bias: BTreeMap<Rc<str>, MovingAverage>,
    /// Whole time of a pipeline's job over the estimate for one task, by class.
    stage_ratios: BTreeMap<Rc<str>, MovingAverage>,
    arrivals: ArrivalWindow,
    /// Samples taken since the process began, of those that are stored.
    samples: u64,
}

impl OnlineEstimates {
    /// Nothing is known yet.
    pub(in crate::scheduler) fn new(learning_rate: f64, window_ms: u64) -> Self {
        OnlineEstimates {
            learning_rate,
            boots: BTreeMap::new(),
            run_bias: BTreeMap::new(),
            stage_ratios: BTreeMap::new(),
            arrivals: ArrivalWindow::new(window_ms),
            samples: 0,
        }
    }

    /// A new leadership counts arrivals from here on, and those before that
    /// stored jobs tell of.
    pub(in crate::scheduler) fn restart_arrivals(&mut self, wall: u64) {
        self.arrivals.restart(wall);
    }

    fn run_learning_rate(&self) -> f64 {
        self.learning_rate * RUN_RATE_SHARE
    }

    fn boots_of(&mut self, machine_type: &Rc<str>, nominal_s: f64) -> &mut BootEstimate {
        let took_s = MovingAverage::new(nominal_s, self.learning_rate);
        self.boots
            .entry(machine_type.clone())
            .or_insert_with(|| BootEstimate {
                took_s,
                latest_up_provisioned_ms: 0,
            })
    }

    /// A machine that was provisioned then has come up.
    pub(in crate::scheduler) fn booted(
        &mut self,
        machine_type: &Rc<str>,
        nominal_s: f64,
        provisioned_ms: u64,
        took_s: f64,
    ) {
        self.samples += 1;
        let boots = self.boots_of(machine_type, nominal_s);
        boots.took_s.sample(took_s);
        boots.latest_up_provisioned_ms = boots.latest_up_provisioned_ms.max(provisioned_ms);
    }

    /// The boot of a machine that was provisioned then is overdue. Unless a
    /// machine that was provisioned later has come up, all may take that long
    /// now: boots that are not waited for to the end must count, or only the
    /// quick ones would be learned from.
    pub(in crate::scheduler) fn boot_overdue(
        &mut self,
        machine_type: &Rc<str>,
        nominal_s: f64,
        provisioned_ms: u64,
        waited_s: f64,
    ) {
        self.samples += 1;
        let boots = self.boots_of(machine_type, nominal_s);
        if boots.latest_up_provisioned_ms <= provisioned_ms {
            boots.took_s.sample(waited_s);
        }
    }

    /// How long a boot is expected to take.
    pub(in crate::scheduler) fn expected_boot_s(&self, machine_type: &str, nominal_s: f64) -> f64 {
        self.boots
            .get(machine_type)
            .map_or(nominal_s, |boots| boots.took_s.value())
    }

    /// A task of the class has run for so long.
    pub(in crate::scheduler) fn task_ran(
        &mut self,
        class: &Rc<str>,
        estimated_s: f64,
        took_s: f64,
    ) {
        if estimated_s > 0.0 {
            self.samples += 1;
            let rate = self.run_learning_rate();
            self.run_bias
                .entry(class.clone())
                .or_insert_with(|| MovingAverage::new(1.0, rate))
                .sample(took_s / estimated_s);
        }
    }

    /// The ratio of run times to users' estimates in a class.
    pub(in crate::scheduler) fn run_bias(&self, class: &str) -> f64 {
        self.run_bias.get(class).map_or(1.0, MovingAverage::value)
    }

    /// A job of a pipeline took so long from when it might start.
    pub(in crate::scheduler) fn stage_took(&mut self, spec: &JobSpec, took_s: f64) {
        if spec.estimated_run_s > 0.0 {
            let rate = self.run_learning_rate();
            self.stage_ratios
                .entry(spec.class.clone())
                .or_insert_with(|| MovingAverage::new(INITIAL_STAGE_RATIO, rate))
                .sample(took_s / spec.estimated_run_s);
        }
    }

    /// How long a job of a pipeline is expected to take from when it may start.
    pub(in crate::scheduler) fn expected_stage_s(&self, spec: &JobSpec) -> f64 {
        let ratio = self
            .stage_ratios
            .get(&spec.class)
            .map_or(INITIAL_STAGE_RATIO, MovingAverage::value);
        spec.estimated_run_s * ratio
    }

    /// A job arrived at this time of day.
    pub(in crate::scheduler) fn job_arrived(&mut self, wall: u64, spec: &Rc<JobSpec>) {
        self.arrivals.record(wall, spec);
    }

    /// How fast the jobs of each class arrive.
    pub(in crate::scheduler) fn arrival_rates(&mut self, wall: u64) -> Vec<ArrivalRate> {
        self.arrivals.rates(wall)
    }

    /// How many samples were taken since the process began.
    pub(super) fn samples(&self) -> u64 {
        self.samples
    }

    /// What the next leader should know, of at most so many types and classes.
    pub(super) fn to_record(&self, written_at: u64, max_values: usize) -> EstimateRecord {
        let boots = self.boots.iter().take(max_values);
        let run_bias = self.run_bias.iter().take(max_values);
        EstimateRecord {
            written_wall_ms: written_at,
            boot_times_s: boots
                .map(|(name, boot)| boot.took_s.to_record(name))
                .collect(),
            run_time_factors: run_bias.map(|(name, bias)| bias.to_record(name)).collect(),
        }
    }

    /// Restores the plausible estimates of an earlier leader.
    pub(super) fn restore(&mut self, record: &EstimateRecord) {
        for stored in record
            .boot_times_s
            .iter()
            .filter(|value| value.is_plausible())
        {
            let boots = BootEstimate {
                took_s: MovingAverage::from_record(stored, self.learning_rate),
                latest_up_provisioned_ms: 0,
            };
            self.boots.insert(Rc::from(stored.name.as_str()), boots);
        }
        let rate = self.run_learning_rate();
        for stored in record
            .run_time_factors
            .iter()
            .filter(|value| value.is_plausible())
        {
            let bias = MovingAverage::from_record(stored, rate);
            self.run_bias.insert(Rc::from(stored.name.as_str()), bias);
        }
    }
}

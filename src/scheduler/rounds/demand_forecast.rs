//! Forecasts the demand that may arrive during one machine boot, and reserves capacity
//! for it.

use crate::capacity_index::FullestMachine;
use crate::ids::MachineId;
use crate::messages::Now;
use crate::scheduler::provisioning::online_estimates::ArrivalRate;
use crate::scheduler::rounds::round::Round;
use crate::scheduler::Scheduler;
use crate::wire::users::JobSpec;
use std::cmp::Reverse;
use std::rc::Rc;

/// The number of CPU cores that are equivalent to one GPU when the demand of classes is
/// compared.
const CPUS_PER_GPU: f64 = 8.0;

/// Tasks of one job specification that may arrive during one machine boot.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct ForecastDemand {
    pub(super) spec: Rc<JobSpec>,
    pub(super) count: u32,
}

/// Capacity for one task of forecast demand that is reserved on a machine without the
/// task's image.
#[derive(Debug)]
pub(in crate::scheduler) struct ColdReservation {
    pub(in crate::scheduler) spec: Rc<JobSpec>,
    pub(in crate::scheduler) machine: MachineId,
}

/// The variance of the demand of one class during one machine boot.
struct DemandVariance {
    /// The variance of the number of tasks.
    tasks: f64,
    /// The variance of the resources that the tasks use, in squared GPU equivalents, so
    /// that the demand of different classes can be pooled.
    resources: f64,
}

impl DemandVariance {
    fn of(rate: &ArrivalRate, boot_s: f64) -> DemandVariance {
        let need = rate.spec.task_request();
        let tasks = 2.0 * rate.jobs_per_s * boot_s * rate.mean_squared_tasks;
        DemandVariance {
            tasks,
            resources: tasks * need.gpus.max(need.cpus / CPUS_PER_GPU).powi(2),
        }
    }
}

/// Returns the ratio of the standard deviation of the pooled demand to the sum of the
/// classes' standard deviations.
fn pooling_ratio(variances: &[DemandVariance]) -> f64 {
    let pooled: f64 = variances.iter().map(|v| v.resources).sum::<f64>().sqrt();
    let separate: f64 = variances.iter().map(|v| v.resources.sqrt()).sum();
    if separate > 0.0 {
        pooled / separate
    } else {
        0.0
    }
}

impl Scheduler {
    /// Forecasts the demand for which to keep free capacity. The forecast is a number of
    /// standard deviations (the `headroom` setting) of the tasks that arrive and end
    /// during one machine boot, pooled over the classes.
    pub(super) fn forecast_demand(&mut self, now: Now) -> Vec<ForecastDemand> {
        let boot_s = self.slowest_boot_s();
        let rates: Vec<ArrivalRate> = self
            .estimates
            .arrival_rates(now.wall_ms)
            .into_iter()
            .filter(|rate| self.settings.start_slo_ms(&rate.spec).is_some())
            .collect();
        let variances: Vec<DemandVariance> = rates
            .iter()
            .map(|rate| DemandVariance::of(rate, boot_s))
            .collect();
        let ratio = pooling_ratio(&variances);
        let mut forecast = Vec::new();
        for (rate, variance) in rates.iter().zip(&variances) {
            let tasks = self.tuning.headroom * variance.tasks.sqrt() * ratio;
            self.divide_by_image(&rate.spec, tasks.ceil(), &mut forecast);
        }
        forecast
    }

    /// Divides the forecast demand of a class among its images in proportion to their
    /// numbers of jobs, because reserved capacity only shortens a start if the machine has
    /// the task's image. The remainder goes to the images with the most jobs.
    fn divide_by_image(
        &mut self,
        class_spec: &Rc<JobSpec>,
        tasks: f64,
        forecast: &mut Vec<ForecastDemand>,
    ) {
        let mut images: Vec<(u32, Rc<JobSpec>)> = self.jobs.images_of(&class_spec.class).collect();
        self.pacing.examined += images.len() as u64;
        let total_jobs: u32 = images.iter().map(|(jobs, _)| jobs).sum();
        images.sort_by_key(|(jobs, _)| Reverse(*jobs));
        if images.is_empty() {
            images.push((1, class_spec.clone()));
        }
        let (mut cumulative_jobs, mut assigned_tasks) = (0, 0);
        for (jobs, spec) in images {
            cumulative_jobs += jobs;
            let cumulative = tasks * f64::from(cumulative_jobs) / f64::from(total_jobs.max(1));
            let cumulative_tasks = cumulative.ceil() as u32;
            let count = cumulative_tasks - assigned_tasks;
            assigned_tasks = cumulative_tasks;
            if count > 0 {
                forecast.push(ForecastDemand { spec, count });
            }
        }
    }

    /// Returns the expected boot time of the machine type that boots slowest.
    pub(in crate::scheduler) fn slowest_boot_s(&self) -> f64 {
        let types = self
            .catalog
            .iter()
            .flat_map(|catalog| &catalog.machine_types);
        types
            .map(|machine_type| {
                self.estimates
                    .expected_boot_s(&machine_type.name, machine_type.boot_s)
            })
            .fold(0.0, f64::max)
    }

    /// Reserves capacity for forecast demand, first on machines that have the image, then
    /// on the fullest other machines, so that empty machines can be released. Returns the
    /// number of tasks for which no capacity was found.
    pub(super) fn reserve_for_demand(&mut self, demand: &ForecastDemand, round: &mut Round) -> u32 {
        let spec = &demand.spec;
        let need = spec.task_request();
        let mut remaining = demand.count;
        while remaining > 0 {
            let Some(FullestMachine { slot, has_image }) = self.capacity.fullest(spec, &need)
            else {
                return remaining;
            };
            let Some(machine) = self.capacity.get(slot) else {
                return remaining;
            };
            // A reservation makes the machine fuller, so the machine remains the first
            // choice until no further task fits. All tasks that fit can be reserved at
            // once.
            let fitting = machine.free().fit_count(&need).clamp(1, remaining);
            if !has_image {
                let reservation = || ColdReservation {
                    spec: spec.clone(),
                    machine: machine.id.clone(),
                };
                round
                    .cold_reservations
                    .extend((0..fitting).map(|_| reservation()));
            }
            self.capacity
                .reserve_for_forecast(slot, &need.scaled(f64::from(fitting)));
            remaining -= fitting;
        }
        0
    }
}

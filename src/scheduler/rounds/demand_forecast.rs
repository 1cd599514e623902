//! Work that is expected, and the room that is set aside for it.

use crate::ids::MachineId;
use crate::messages::Now;
use crate::scheduler::provisioning::online_estimates::ArrivalRate;
use crate::scheduler::rounds::round::Round;
use crate::scheduler::Scheduler;

use crate::wire::users::JobSpec;
use std::rc::Rc;

/// So many tasks like this may come within one boot.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct ForecastDemand {
    pub(in crate::scheduler) spec: Rc<JobSpec>,
    pub(in crate::scheduler) count: u32,
}

/// Room kept for expected work whose image isn't there.
#[derive(Debug)]
pub(in crate::scheduler) struct ColdReservation {
    pub(in crate::scheduler) spec: Rc<JobSpec>,
    pub(in crate::scheduler) machine: MachineId,
}

impl Scheduler {
    /// Room for arrivals: as many standard deviations of what comes and goes
    /// during one boot as the operator wants, pooled over the classes.
    pub(in crate::scheduler) fn forecast_demand(&mut self, now: Now) -> Vec<ForecastDemand> {
        let slowest = self.slowest_boot_s();
        let flows: Vec<ArrivalRate> = self
            .estimates
            .arrival_rates(now.wall)
            .into_iter()
            .filter(|f| self.settings.start_slo_ms(&f.spec).is_some())
            .collect();
        // In the scarcest amount's terms one class can stand in for another.
        let weigh = |f: &ArrivalRate| {
            let need = f.spec.task_request();
            let variance = 2.0 * f.jobs_per_s * slowest * f.tasks_squared;
            (variance, variance * need.gpus.max(need.cpus / 8.0).powi(2))
        };
        let pooled: f64 = flows.iter().map(|f| weigh(f).1).sum::<f64>().sqrt();
        let apart: f64 = flows.iter().map(|f| weigh(f).1.sqrt()).sum();
        let ratio = if apart > 0.0 { pooled / apart } else { 0.0 };
        let mut all = Vec::new();
        for f in &flows {
            let units = self.tuning.headroom * weigh(f).0.sqrt() * ratio;
            let mut images: Vec<(u32, Rc<JobSpec>)> = self.jobs.images_of(&f.spec.class).collect();
            self.pacing.examined += images.len() as u64;
            let total: u32 = images.iter().map(|(n, _)| n).sum();
            images.sort_by_key(|(n, _)| std::cmp::Reverse(*n));
            if images.is_empty() {
                images.push((1, f.spec.clone()));
            }
            // Room is only of quick use where its image is, so each image
            // gets its part; what doesn't divide goes to the commonest.
            let (mut seen, mut given) = (0, 0);
            for (count, spec) in images {
                seen += count;
                let upto = (units.ceil() * f64::from(seen) / f64::from(total.max(1))).ceil() as u32;
                let part = upto - given;
                given = upto;
                if part > 0 {
                    all.push(ForecastDemand { spec, count: part });
                }
            }
        }
        all
    }

    /// How long the slowest machine type is expected to boot.
    pub(in crate::scheduler) fn slowest_boot_s(&self) -> f64 {
        let types = self.catalog.iter().flat_map(|c| &c.types);
        types
            .map(|t| self.estimates.boot_s(&t.name, t.boot_s))
            .fold(0.0, f64::max)
    }

    /// Sets room aside for expected work: where its image is, and then on the
    /// fullest machines, so that empty ones can be returned. Says how much
    /// found none.
    pub(in crate::scheduler) fn reserve(
        &mut self,
        spec: &Rc<JobSpec>,
        count: u32,
        round: &mut Round,
    ) -> u32 {
        let need = spec.task_request();
        let mut left = count;
        while left > 0 {
            let Some((slot, has_image)) = self.capacity.fullest(spec, &need) else {
                return left;
            };
            let Some(room) = self.capacity.get(slot) else {
                return left;
            };
            // What is kept makes it fuller: it stays the first choice while it lasts.
            let here = room.free().count_of(&need).clamp(1, left);
            if !has_image {
                let cold = || ColdReservation {
                    spec: spec.clone(),
                    machine: room.id.clone(),
                };
                round.cold.extend((0..here).map(|_| cold()));
            }
            self.capacity
                .reserve_for_forecast(slot, &need.scaled(f64::from(here)));
            left -= here;
        }
        0
    }
}

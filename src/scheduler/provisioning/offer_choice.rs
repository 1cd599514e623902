//! Choice of the offer to order for an unplaced task.

use crate::messages::Now;
use crate::placement::{feasible_offers, ZoneCounts};
use crate::scheduler::rounds::round::Unplaced;
use crate::scheduler::Scheduler;
use crate::slackfit::{self, ProvisioningOption};
use crate::wire::cloud::Catalog;
use crate::wire::users::{JobKind, JobSpec};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Upper bound of the tasks per machine by which a machine's price is divided. Even more
/// tasks on one machine make no difference to the choice by price per task.
const MAX_TASKS_PER_MACHINE: u32 = 10_000;

impl Scheduler {
    /// Chooses the option for one more of the unplaced tasks, among the options in zones
    /// where the task may be placed. `machines_by_zone` includes the machines that are
    /// already planned.
    pub(in crate::scheduler) fn choose_option(
        &self,
        now: Now,
        unplaced: &Unplaced,
        zones: &ZoneCounts,
        options: &[ProvisioningOption],
        machines_by_zone: &BTreeMap<Rc<str>, u32>,
    ) -> Option<ProvisioningOption> {
        let spec = &unplaced.spec;
        let slack_ms = unplaced.deadline_wall_ms as i64 - now.wall_ms as i64;
        // Ties are broken in favor of the zone with the fewest machines.
        let with_zone_machines = |option: &ProvisioningOption| ProvisioningOption {
            machines_in_zone: machines_by_zone
                .get(&option.offer.zone)
                .copied()
                .unwrap_or(0),
            ..option.clone()
        };
        let allowed: Vec<ProvisioningOption> = options
            .iter()
            .filter(|option| zones.allows(spec, &option.offer.zone))
            .map(with_zone_machines)
            .collect();
        let option = if spec.kind == JobKind::Service {
            slackfit::cheapest(&allowed).cloned()
        } else {
            let buckets = slackfit::buckets(&allowed, self.tuning.buckets as usize);
            slackfit::choose(&buckets, slack_ms).cloned()
        }?;
        log::debug!(
            "provisioning option chosen job={} slack_ms={slack_ms} latency_ms={} cost={:.2} type={} zone={} \
             spot={}",
            spec.id,
            option.latency_ms,
            option.cost,
            option.offer.machine_type,
            option.offer.zone,
            option.offer.spot
        );
        Some(option)
    }

    /// Returns an option for each offer that can hold a task of the job and isn't in its
    /// backoff period after a rejected order.
    pub(in crate::scheduler) fn feasible_options(
        &self,
        now: Now,
        spec: &JobSpec,
        catalog: &Catalog,
    ) -> Vec<ProvisioningOption> {
        let request = spec.task_request();
        let run_s = spec.estimated_run_s * self.estimates.run_time_ratio(&spec.class);
        feasible_offers(spec, catalog)
            .into_iter()
            .filter(|feasible| self.provisioning.may_order(&feasible.offer, now.ms))
            .map(|feasible| {
                let boot_s = self
                    .estimates
                    .expected_boot_s(&feasible.offer.machine_type, feasible.nominal_boot_s);
                let tasks = feasible
                    .capacity
                    .fit_count(&request)
                    .clamp(1, MAX_TASKS_PER_MACHINE);
                ProvisioningOption {
                    latency_ms: ((boot_s + run_s) * 1000.0) as u64,
                    cost: feasible.hourly_price / f64::from(tasks),
                    machines_in_zone: 0,
                    offer: feasible.offer,
                }
            })
            .collect()
    }
}

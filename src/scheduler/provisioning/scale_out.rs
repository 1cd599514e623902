//! Scale out: orders for the tasks that neither free nor pending capacity holds.

use crate::cloud::{CloudClient, Offer, MAX_MACHINES_PER_ORDER};
use crate::fleet::Machine;
use crate::ids::Term;
use crate::messages::Now;
use crate::placement::Resources;
use crate::scheduler::rounds::pending_capacity::PendingCapacity;
use crate::scheduler::rounds::round::Unplaced;
use crate::scheduler::Scheduler;
use crate::slackfit::ProvisioningOption;
use crate::wire::cloud::{Catalog, MachineType};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A new leader listens for so many heartbeat intervals before it scales out.
const LISTEN_HEARTBEATS: u64 = 3;

/// What a round orders, while that is worked out.
#[derive(Debug)]
pub(in crate::scheduler) struct ProvisionPlan {
    /// The machine types.
    pub(in crate::scheduler) catalog: Rc<Catalog>,
    /// Pending capacity, that of the plan included.
    pub(in crate::scheduler) pending: PendingCapacity,
    /// Machines in each zone, those of the plan included.
    pub(in crate::scheduler) machines_by_zone: BTreeMap<Rc<str>, u32>,
    /// How many machines of each offer are to be ordered.
    pub(in crate::scheduler) orders: BTreeMap<Offer, u32>,
    /// The next entry in the round's list of unplaced tasks.
    pub(in crate::scheduler) next_unplaced: usize,
}

impl ProvisionPlan {
    /// What a machine of the offer holds.
    fn capacity_of(&self, offer: &Offer) -> Resources {
        self.catalog
            .find(&offer.machine_type)
            .map_or(Resources::default(), MachineType::capacity)
    }

    /// Plans a machine for a task, which takes `request` of it.
    fn add_machine(&mut self, option: ProvisioningOption, request: &Resources) {
        let mut free = self.capacity_of(&option.offer);
        free.subtract(request);
        *self
            .machines_by_zone
            .entry(option.offer.zone.clone())
            .or_insert(0) += 1;
        self.pending.add(&option.offer, free, 1);
        *self.orders.entry(option.offer).or_insert(0) += 1;
    }
}

impl Scheduler {
    /// Begins to plan orders for the tasks that neither free nor pending
    /// capacity holds. `None`: nothing can be ordered now.
    pub(in crate::scheduler) fn begin_scale_out(
        &mut self,
        now: Now,
        cloud: &CloudClient,
    ) -> Option<ProvisionPlan> {
        let catalog = self.catalog.clone()?;
        if self.is_listening(now) || !cloud.reachable() {
            return None;
        }
        Some(ProvisionPlan {
            pending: self.pending_capacity(now, cloud),
            machines_by_zone: self.capacity.machines_by_zone(),
            orders: BTreeMap::new(),
            catalog,
            next_unplaced: 0,
        })
    }

    /// A new leader listens before it scales out: there may be machines, up or
    /// booting, that it doesn't know of. In the first term there is no earlier
    /// leader that could have ordered any, and once all machines that the
    /// cloud's list shows as running have been heard, there are no others.
    fn is_listening(&self, now: Now) -> bool {
        if now.ms >= self.elected_ms + self.heartbeat_interval_ms() * LISTEN_HEARTBEATS {
            return false;
        }
        let unheard = |machine: &Machine| machine.listed_running && !machine.token_acknowledged;
        self.term > Term(1) || !self.provisioning.fleet_listed || self.fleet.iter().any(unheard)
    }

    /// Places the orders of a plan.
    pub(in crate::scheduler) fn place_orders(
        &mut self,
        plan: &ProvisionPlan,
        cloud: &mut CloudClient,
    ) {
        for (offer, count) in &plan.orders {
            // One order for an offer at a time: its response tells how many
            // machines there are.
            if cloud.pending_count(offer) > 0 {
                continue;
            }
            self.provisioning.orders_placed += 1;
            let name = format!("lf-{}-{}", self.term, self.provisioning.orders_placed);
            log::info!(
                "order placed order={name} count={count} type={} zone={} spot={}",
                offer.machine_type,
                offer.zone,
                offer.spot
            );
            cloud.provision(name, offer.clone(), (*count).min(MAX_MACHINES_PER_ORDER));
        }
    }

    /// Covers unplaced tasks by pending capacity first and then by orders.
    pub(in crate::scheduler) fn cover_unplaced(
        &mut self,
        now: Now,
        unplaced: &Unplaced,
        plan: &mut ProvisionPlan,
    ) {
        if !unplaced.is_forecast && !self.jobs.contains(&unplaced.spec.id) {
            // The job has ended in the meantime.
            return;
        }
        if let Some(demand) = &unplaced.group {
            if self.plan_group_provisioning(now, unplaced, demand, plan) {
                return;
            }
        }
        let request = unplaced.spec.task_request();
        let mut zones = unplaced.zones.clone();
        let mut options: Option<Vec<ProvisioningOption>> = None;
        for _ in 0..unplaced.count {
            self.count_scanned(plan.pending.len());
            if let Some(zone) = plan.pending.take(&unplaced.spec, &request, &zones) {
                zones.add(&zone);
                continue;
            }
            let options = options
                .get_or_insert_with(|| self.feasible_options(now, &unplaced.spec, &plan.catalog));
            let Some(option) =
                self.choose_option(now, unplaced, &zones, options, &plan.machines_by_zone)
            else {
                return;
            };
            zones.add(&option.offer.zone);
            plan.add_machine(option, &request);
        }
    }
}

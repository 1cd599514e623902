//! Scale out: provisioning orders for the tasks that fit neither free nor pending capacity.

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

/// How long a new leader waits for heartbeats of existing machines before it scales out, in
/// heartbeat intervals.
const DISCOVERY_HEARTBEATS: u64 = 3;

/// The provisioning orders of a scheduling round while they are being planned.
#[derive(Debug)]
pub(in crate::scheduler) struct ProvisionPlan {
    /// The catalog of machine types, unchanged while the plan is made.
    pub(in crate::scheduler) catalog: Rc<Catalog>,
    /// Pending capacity, including the machines of the plan.
    pub(in crate::scheduler) pending: PendingCapacity,
    /// Number of machines in each zone, including the machines of the plan.
    pub(in crate::scheduler) machines_by_zone: BTreeMap<Rc<str>, u32>,
    /// Number of machines to order of each offer.
    pub(in crate::scheduler) orders: BTreeMap<Offer, u32>,
    /// Index of the next entry in the round's list of unplaced tasks.
    pub(in crate::scheduler) next_unplaced: usize,
}

impl ProvisionPlan {
    /// Returns the total capacity of a machine of the offer; none if the catalog doesn't
    /// contain its type.
    fn capacity_of(&self, offer: &Offer) -> Resources {
        self.catalog
            .find(&offer.machine_type)
            .map_or(Resources::default(), MachineType::capacity)
    }

    /// Adds a machine to the plan for a task that takes `request` of its capacity.
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
    /// Creates an empty plan of orders. Returns `None` while nothing can be ordered: the
    /// catalog is unknown, the cloud is unreachable, or the leader still waits for heartbeats
    /// of existing machines.
    pub(in crate::scheduler) fn begin_scale_out(
        &mut self,
        now: Now,
        cloud: &CloudClient,
    ) -> Option<ProvisionPlan> {
        let catalog = self.catalog.clone()?;
        if self.is_discovering_machines(now) || !cloud.reachable() {
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

    /// Returns whether machines that are up or booting may still be unknown to this leader. A
    /// new leader waits for their heartbeats before it scales out. In the first term it need
    /// not wait longer than until all machines that the cloud's list shows as running have
    /// sent a heartbeat, because no earlier leader could have ordered others.
    fn is_discovering_machines(&self, now: Now) -> bool {
        if now.ms >= self.elected_ms + self.heartbeat_interval_ms() * DISCOVERY_HEARTBEATS {
            return false;
        }
        let awaits_heartbeat =
            |machine: &Machine| machine.listed_running && !machine.token_acknowledged;
        self.term > Term(1)
            || !self.provisioning.machine_list_received
            || self.fleet.iter().any(awaits_heartbeat)
    }

    /// Sends the plan's orders to the cloud.
    pub(in crate::scheduler) fn place_orders(
        &mut self,
        plan: &ProvisionPlan,
        cloud: &mut CloudClient,
    ) {
        for (offer, count) in &plan.orders {
            // Only one order per offer is in flight at a time, because the number of
            // machines is known only from the response.
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

    /// Covers unplaced tasks with pending capacity first, and the remaining ones with orders.
    pub(in crate::scheduler) fn cover_unplaced(
        &mut self,
        now: Now,
        unplaced: &Unplaced,
        plan: &mut ProvisionPlan,
    ) {
        if !unplaced.is_forecast && !self.jobs.contains(&unplaced.spec.id) {
            // The job has completed since the entry was queued.
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

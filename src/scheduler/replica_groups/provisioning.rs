//! Capacity that is provisioned or reclaimed by preemption for a replica group: for all
//! parts that lack it, or for none.

use crate::messages::Now;
use crate::placement::Resources;
use crate::scheduler::displacement::preemption::PreemptionCandidate;
use crate::scheduler::provisioning::scale_out::ProvisionPlan;
use crate::scheduler::replica_groups::search::{GroupSearch, PartMachine, SearchScope};
use crate::scheduler::rounds::round::{GroupDemand, Unplaced};
use crate::scheduler::rounds::task_placement::PlacementRequest;
use crate::scheduler::Scheduler;
use crate::slackfit::ProvisioningOption;
use std::rc::Rc;

/// Capacity for a group in one zone: free machines, and machines whose tasks are
/// preempted.
struct ReclaimedCapacity {
    cost_s: f64,
    free: Vec<PartMachine>,
    candidates: Vec<PreemptionCandidate>,
}

impl Scheduler {
    /// The zones that allow all unplaced parts of a group.
    fn zones_for_group(&self, unplaced: &Unplaced, demand: &GroupDemand) -> Vec<Rc<str>> {
        let Some(request) = self.request_of(unplaced) else {
            return Vec::new();
        };
        self.group_zones(&GroupSearch {
            id: &demand.id,
            request: &request,
            count: unplaced.count as usize,
            zone: demand.zone.as_deref(),
            excluded: &[],
        })
    }

    fn request_of(&self, unplaced: &Unplaced) -> Option<PlacementRequest> {
        let job = self.jobs.get(&unplaced.spec.id)?;
        let mut request = PlacementRequest::new(job, unplaced.deadline_wall_ms);
        request.zones = unplaced.zones.clone();
        Some(request)
    }

    /// Covers the unplaced parts of a group with machines that are being provisioned in
    /// one zone and, for the rest, with one option. `false`: no single zone allows all
    /// parts.
    pub(in crate::scheduler) fn plan_group_provisioning(
        &mut self,
        now: Now,
        unplaced: &Unplaced,
        demand: &GroupDemand,
        plan: &mut ProvisionPlan,
    ) -> bool {
        let spec = &unplaced.spec;
        let task_request = spec.task_request();
        let zones = self.zones_for_group(unplaced, demand);
        if zones.is_empty() {
            return false;
        }
        self.count_scanned(plan.pending.len() * zones.len());
        let covering_zone = zones
            .iter()
            .find(|zone| plan.pending.count_fitting(spec, &task_request, zone) >= unplaced.count);
        if let Some(zone) = covering_zone {
            plan.pending
                .take_on_separate_machines(spec, &task_request, zone, unplaced.count);
            return true;
        }
        let options: Vec<ProvisioningOption> = self
            .feasible_options(now, spec, &plan.catalog)
            .into_iter()
            .filter(|option| zones.contains(&option.offer.zone))
            .collect();
        let option = self.choose_option(
            now,
            unplaced,
            &unplaced.zones,
            &options,
            &plan.machines_by_zone,
        );
        if let Some(option) = option {
            provision_for_group(&option, unplaced, &task_request, plan);
        }
        true
    }

    /// Preempts less important tasks in the zone where that costs least and gives a
    /// group capacity for all its unplaced parts. Less than that would be of no use.
    pub(in crate::scheduler) fn preempt_for_group(
        &mut self,
        now: Now,
        unplaced: &mut Unplaced,
        demand: &GroupDemand,
    ) {
        let Some(request) = self.request_of(unplaced) else {
            return;
        };
        let reserved = self.open_reservations(now, &demand.id);
        let candidates = self.preemption_candidates(now, unplaced);
        let search = GroupSearch {
            id: &demand.id,
            request: &request,
            count: unplaced.count as usize,
            zone: demand.zone.as_deref(),
            excluded: &reserved,
        };
        let Some(reclaimed) = self.cheapest_reclaim(&search, candidates) else {
            return;
        };
        for machine in reclaimed.free {
            self.capacity.reserve(machine.slot, &request.resources);
        }
        for candidate in reclaimed.candidates {
            self.carry_out_preemption(now, candidate.slot, candidate.plan, &unplaced.spec);
        }
        self.refresh(now);
        unplaced.count = 0;
    }

    /// Of all zones that allow all parts, the capacity whose preemptions cost least.
    fn cheapest_reclaim(
        &self,
        search: &GroupSearch,
        mut candidates: Vec<PreemptionCandidate>,
    ) -> Option<ReclaimedCapacity> {
        let mut cheapest: Option<ReclaimedCapacity> = None;
        for zone in self.group_zones(search) {
            let search = GroupSearch {
                zone: Some(&zone),
                ..*search
            };
            let Some(reclaimed) = self.reclaim_in_zone(&search, &zone, &mut candidates) else {
                continue;
            };
            let is_cheapest = cheapest
                .as_ref()
                .is_none_or(|lowest| lowest.cost_s > reclaimed.cost_s);
            if is_cheapest {
                cheapest = Some(reclaimed);
            }
        }
        cheapest
    }

    /// Free machines of a zone, and the machines on which preemption costs least. The
    /// latter are taken from the candidates.
    fn reclaim_in_zone(
        &self,
        search: &GroupSearch,
        zone: &Rc<str>,
        candidates: &mut Vec<PreemptionCandidate>,
    ) -> Option<ReclaimedCapacity> {
        let mut excluded = search.excluded.to_vec();
        let mut free: Vec<PartMachine> = Vec::new();
        while free.len() < search.count {
            let zones = &search.request.zones;
            let Some(machine) =
                self.find_machine(search, Some(zone), &excluded, zones, SearchScope::Free)
            else {
                break;
            };
            excluded.push(machine.slot);
            free.push(machine);
        }
        let missing = search.count - free.len();
        let is_usable = |candidate: &PreemptionCandidate| {
            let machine = self.capacity.get(candidate.slot);
            let is_in_zone = machine.is_some_and(|machine| machine.state.offer.zone == *zone);
            is_in_zone && !excluded.contains(&candidate.slot)
        };
        let (mut usable, others): (Vec<_>, Vec<_>) =
            std::mem::take(candidates).into_iter().partition(is_usable);
        *candidates = others;
        if usable.len() < missing {
            return None;
        }
        usable.sort_by(|a, b| preemption_cost_s(a).total_cmp(&preemption_cost_s(b)));
        usable.truncate(missing);
        Some(ReclaimedCapacity {
            cost_s: usable.iter().map(preemption_cost_s).sum(),
            free,
            candidates: usable,
        })
    }
}

fn preemption_cost_s(candidate: &PreemptionCandidate) -> f64 {
    candidate.plan.as_ref().map_or(0.0, |offer| offer.cost_s)
}

/// Adds machines to the plan for the unplaced parts that no machine of the option's zone
/// is being provisioned for yet.
fn provision_for_group(
    option: &ProvisioningOption,
    unplaced: &Unplaced,
    task_request: &Resources,
    plan: &mut ProvisionPlan,
) {
    let zone = option.offer.zone.clone();
    let covered =
        plan.pending
            .take_on_separate_machines(&unplaced.spec, task_request, &zone, unplaced.count);
    let count = unplaced.count - covered;
    let machine_type = plan.catalog.find(&option.offer.machine_type);
    let mut free = machine_type.map_or(Resources::default(), |found| found.capacity());
    free.subtract(task_request);
    plan.pending.add(&option.offer, free, count);
    *plan.machines_by_zone.entry(zone).or_insert(0) += count;
    *plan.orders.entry(option.offer.clone()).or_insert(0) += count;
}

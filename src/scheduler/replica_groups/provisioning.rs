//! Provisioning and preemption for replica groups. Capacity is obtained for all unplaced
//! parts of a group or for none.

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

/// Capacity for all unplaced parts of a group: free machines, and machines whose tasks are to
/// be preempted.
struct GroupPreemptionPlan {
    /// Sum of the candidates' costs, in seconds of lost work and image pulls.
    cost_s: f64,
    free: Vec<PartMachine>,
    candidates: Vec<PreemptionCandidate>,
}

impl Scheduler {
    /// Returns the zones in which the job's constraints allow all unplaced parts of a group.
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

    /// Covers the unplaced parts of a group with machines that are being provisioned in one
    /// zone. If no zone has enough of them, adds machines of the chosen option to the plan for
    /// the rest. Returns `false` if no single zone allows all parts.
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

    /// Preempts tasks of lower priority in the zone with the lowest total preemption cost. Does
    /// nothing if no zone yields capacity for all unplaced parts, because a group can't start
    /// with fewer.
    pub(in crate::scheduler) fn preempt_for_group(
        &mut self,
        now: Now,
        unplaced: &mut Unplaced,
        demand: &GroupDemand,
    ) {
        let Some(request) = self.request_of(unplaced) else {
            return;
        };
        let reserved = self.reserved_slots_accepting_tasks(now, &demand.id);
        let candidates = self.preemption_candidates(now, unplaced);
        let search = GroupSearch {
            id: &demand.id,
            request: &request,
            count: unplaced.count as usize,
            zone: demand.zone.as_deref(),
            excluded: &reserved,
        };
        let Some(preemption_plan) = self.cheapest_preemption_plan(&search, candidates) else {
            return;
        };
        for machine in preemption_plan.free {
            self.capacity.reserve(machine.slot, &request.resources);
        }
        for candidate in preemption_plan.candidates {
            self.carry_out_preemption(now, candidate.slot, candidate.plan, &unplaced.spec);
        }
        self.refresh(now);
        unplaced.count = 0;
    }

    /// Returns the plan with the lowest preemption cost of all zones that allow all parts.
    fn cheapest_preemption_plan(
        &self,
        search: &GroupSearch,
        mut candidates: Vec<PreemptionCandidate>,
    ) -> Option<GroupPreemptionPlan> {
        let mut cheapest: Option<GroupPreemptionPlan> = None;
        for zone in self.group_zones(search) {
            let search = GroupSearch {
                zone: Some(&zone),
                ..*search
            };
            let Some(preemption_plan) =
                self.preemption_plan_in_zone(&search, &zone, &mut candidates)
            else {
                continue;
            };
            let is_cheapest = cheapest
                .as_ref()
                .is_none_or(|lowest| lowest.cost_s > preemption_plan.cost_s);
            if is_cheapest {
                cheapest = Some(preemption_plan);
            }
        }
        cheapest
    }

    /// Returns a plan for one zone with its free machines and, for the missing ones, its
    /// candidates with the lowest preemption cost. Removes the zone's usable candidates from
    /// `candidates`. `None` if there aren't enough.
    fn preemption_plan_in_zone(
        &self,
        search: &GroupSearch,
        zone: &Rc<str>,
        candidates: &mut Vec<PreemptionCandidate>,
    ) -> Option<GroupPreemptionPlan> {
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
        Some(GroupPreemptionPlan {
            cost_s: usable.iter().map(preemption_cost_s).sum(),
            free,
            candidates: usable,
        })
    }
}

/// Returns the cost of a candidate in seconds. Every candidate of a group search has a plan.
fn preemption_cost_s(candidate: &PreemptionCandidate) -> f64 {
    candidate.plan.as_ref().map_or(0.0, |plan| plan.cost_s)
}

/// Adds machines of the option to the plan for the unplaced parts that machines being
/// provisioned in the option's zone don't cover.
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

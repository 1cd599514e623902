//! Search for distinct machines for the parts of a replica group.

use crate::capacity_index::{MachineCapacity, SearchConstraint, Slot, TaskDemand};
use crate::ids::MachineId;
use crate::placement::ZoneCounts;
use crate::scheduler::rounds::task_placement::PlacementRequest;
use crate::scheduler::Scheduler;
use crate::wire::users::JobSpec;
use lilacfork_replica_groups::registry::GroupId;
use std::rc::Rc;

/// The kinds of capacity that a search considers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum SearchScope {
    /// Free capacity.
    Free,
    /// Free capacity and capacity that is reserved for forecast demand.
    WithForecast,
    /// Free capacity, capacity that is reserved for forecast demand, and cordoned machines whose
    /// probe is due.
    WithWithheld,
    /// Free capacity and the capacity of tasks that are being stopped.
    WithStopping,
}

/// A machine that was found for a part.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartMachine {
    pub(super) slot: Slot,
    /// Preference of the search; lower is better.
    rank: f64,
    /// Whether the machine's reservation for forecast demand has to be released before the part
    /// is bound.
    pub(super) uses_forecast_reservation: bool,
}

impl PartMachine {
    /// Creates a machine with rank 0, for choices that don't depend on the rank.
    pub(super) fn unranked(slot: Slot) -> PartMachine {
        PartMachine {
            slot,
            rank: 0.0,
            uses_forecast_reservation: false,
        }
    }
}

/// A search for machines for parts of one group.
pub(super) struct GroupSearch<'a> {
    pub(super) id: &'a GroupId,
    pub(super) request: &'a PlacementRequest,
    /// Number of machines to find.
    pub(super) count: usize,
    /// The only zone to search. `None` for all zones.
    pub(super) zone: Option<&'a str>,
    /// Machines to skip, such as those of the group's other parts.
    pub(super) excluded: &'a [Slot],
}

impl Scheduler {
    /// Returns distinct machines for all parts of the search. All machines are in the zone with
    /// the lowest sum of ranks. If the job has to be spread and no single zone allows all parts,
    /// the machines are in several zones. `None` if there is no capacity.
    pub(super) fn find_machines(
        &self,
        search: &GroupSearch,
        scope: SearchScope,
    ) -> Option<Vec<PartMachine>> {
        let zones = self.group_zones(search);
        let mut best: Option<(f64, Vec<PartMachine>)> = None;
        for zone in &zones {
            let Some(machines) = self.find_machines_in(search, Some(zone), scope) else {
                continue;
            };
            let rank: f64 = machines.iter().map(|machine| machine.rank).sum();
            if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                best = Some((rank, machines));
            }
        }
        if let Some((_, machines)) = best {
            return Some(machines);
        }
        let must_be_spread = search.request.spec.spread && zones.is_empty();
        if must_be_spread {
            return self.find_machines_in(search, None, scope);
        }
        None
    }

    /// Returns the zone that all these machines are in, which the group's other parts have to
    /// use too. `None` if the job is spread, the zones differ or there are no machines: the
    /// other parts may use any zone.
    pub(super) fn common_zone(&self, spec: &JobSpec, slots: &[Slot]) -> Option<Rc<str>> {
        let zone = &self.capacity.get(*slots.first()?)?.state.offer.zone;
        let is_in_zone = |slot: &Slot| {
            let machine = self.capacity.get(*slot);
            machine.is_some_and(|machine| machine.state.offer.zone == *zone)
        };
        (!spec.spread && slots.iter().all(is_in_zone)).then(|| zone.clone())
    }

    /// Returns the zones in which the job's constraints allow all parts of the search.
    pub(super) fn group_zones(&self, search: &GroupSearch) -> Vec<Rc<str>> {
        let spec = &search.request.spec;
        let zones = self.settings.site.zones.iter();
        let selected = zones.filter(|zone| search.zone.is_none_or(|only| only == zone.as_str()));
        let allows_all_parts = |zone: &Rc<str>| {
            let mut zones = search.request.zones.clone();
            (0..search.count).all(|_| {
                let allowed = zones.allows(spec, zone);
                zones.add(zone);
                allowed
            })
        };
        selected
            .map(|zone| Rc::from(zone.as_str()))
            .filter(allows_all_parts)
            .collect()
    }

    /// Returns distinct machines for all parts of the search in one zone, or in any zone if
    /// `zone` is `None`.
    fn find_machines_in(
        &self,
        search: &GroupSearch,
        zone: Option<&Rc<str>>,
        scope: SearchScope,
    ) -> Option<Vec<PartMachine>> {
        let mut excluded = search.excluded.to_vec();
        let mut zones = search.request.zones.clone();
        let mut machines = Vec::new();
        for _ in 0..search.count {
            let zone = zone.map(|zone| &**zone);
            let machine = self.find_machine(search, zone, &excluded, &zones, scope)?;
            excluded.push(machine.slot);
            zones.add(&self.capacity.get(machine.slot)?.state.offer.zone);
            machines.push(machine);
        }
        Some(machines)
    }

    /// Returns the best machine for one more part. A machine with free capacity is preferred to
    /// the other kinds in `scope`.
    pub(super) fn find_machine(
        &self,
        search: &GroupSearch,
        zone: Option<&str>,
        excluded: &[Slot],
        zones: &ZoneCounts,
        scope: SearchScope,
    ) -> Option<PartMachine> {
        let PlacementRequest {
            spec,
            resources: need,
            ..
        } = search.request;
        let group = self.groups.group(search.id)?;
        let failed_on = |machine: &MachineId| group.circuit_breaker().failed_on(machine);
        let demand = TaskDemand {
            spec,
            resources: need,
            zones,
            siblings: &search.request.siblings,
            failed_on: &failed_on,
            constraint: SearchConstraint { zone, excluded },
        };
        if let Some(best) = self.capacity.best(&demand) {
            return Some(PartMachine {
                slot: best.slot,
                rank: best.rank,
                uses_forecast_reservation: false,
            });
        }
        let found = self.find_reserved_or_stopping(&demand, scope);
        if found.is_some() || scope != SearchScope::WithWithheld {
            return found;
        }
        let mut probed = self.probe_slots(search.request);
        let is_allowed = |slot: &Slot| {
            let machine = self.capacity.get(*slot);
            machine.is_some_and(|machine| demand.allows(*slot, &machine.state.offer))
        };
        probed.find(is_allowed).map(PartMachine::unranked)
    }

    /// Returns the first machine that has enough capacity if its forecast reservation is
    /// released or its stopping tasks have ended, as `scope` allows.
    fn find_reserved_or_stopping(
        &self,
        demand: &TaskDemand,
        scope: SearchScope,
    ) -> Option<PartMachine> {
        let is_allowed =
            |slot: Slot, machine: &MachineCapacity| demand.allows(slot, &machine.state.offer);
        let free_with_forecast = |machine: &MachineCapacity| {
            let mut capacity = machine.free();
            capacity.add(&machine.forecast_reserved());
            capacity
        };
        let found = match scope {
            SearchScope::Free => None,
            SearchScope::WithForecast | SearchScope::WithWithheld => {
                let mut reserving = self.capacity.with_forecast_reservation();
                reserving.find(|(slot, machine)| {
                    is_allowed(*slot, machine)
                        && free_with_forecast(machine).covers(demand.resources)
                })
            }
            SearchScope::WithStopping => {
                let mut stopping = self.capacity.with_stopping_tasks();
                stopping.find(|(slot, machine)| {
                    is_allowed(*slot, machine)
                        && machine.free_after_stops().covers(demand.resources)
                })
            }
        };
        found.map(|(slot, _)| PartMachine {
            uses_forecast_reservation: scope != SearchScope::WithStopping,
            ..PartMachine::unranked(slot)
        })
    }
}

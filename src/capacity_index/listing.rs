//! Lists of machines by their reservations, tasks and images.

use super::levels::ShareKey;
use super::{CapacityIndex, MachineCapacity, OccupiedKey, OfferGroup, Slot};
use crate::ids::MachineId;
use crate::placement::{offer_allowed, Resources, ZoneCounts};
use crate::wire::users::JobSpec;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::rc::Rc;

/// A position in the list of occupied machines.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct OccupiedCursor {
    /// The share of the machine that assigned tasks use.
    pub used_share: f64,
    /// The position of the machine.
    pub slot: Slot,
}

impl CapacityIndex {
    /// Returns the machines that must be neither compacted nor released in the current
    /// round, because of a reservation for forecast demand or for an incoming task.
    pub fn retained_machines(&self) -> impl Iterator<Item = &MachineId> {
        self.with_reservations
            .iter()
            .filter_map(|slot| self.get(*slot))
            .filter(|machine| machine.retained)
            .map(|machine| &machine.id)
    }

    /// Returns the machines with reservations for forecast demand.
    pub fn with_forecast_reservation(&self) -> impl Iterator<Item = (Slot, &MachineCapacity)> {
        self.accepting_tasks(self.with_reservations.iter().copied())
            .filter(|(_, machine)| machine.forecast_reserved != Resources::default())
    }

    /// Returns the machines on which tasks are being stopped.
    pub fn with_stopping_tasks(&self) -> impl Iterator<Item = (Slot, &MachineCapacity)> {
        self.accepting_tasks(self.freeing.iter().copied())
    }

    /// Returns the machines that accept tasks and have some, the least used first. The list
    /// starts after the position `after`, or at the beginning for `None`.
    pub fn occupied(
        &self,
        after: Option<OccupiedCursor>,
    ) -> impl Iterator<Item = OccupiedCursor> + '_ {
        let start = after.map_or(Bound::Unbounded, |cursor| {
            Bound::Excluded(OccupiedKey {
                used_share: ShareKey::new(cursor.used_share),
                slot: cursor.slot,
            })
        });
        let keys = self.occupied.range((start, Bound::Unbounded));
        self.accepting_tasks(keys.map(|key| key.slot))
            .map(|(slot, machine)| OccupiedCursor {
                used_share: machine.used_share(),
                slot,
            })
    }

    /// Returns the machines that accept no tasks because they are booting, send no
    /// heartbeats, are cordoned, are draining or are being released.
    pub fn unschedulable(&self) -> impl Iterator<Item = &MachineId> {
        self.unschedulable
            .iter()
            .filter_map(|slot| Some(&self.get(*slot)?.id))
    }

    /// Returns the number of known machines in each zone, schedulable or not.
    pub fn machines_by_zone(&self) -> BTreeMap<Rc<str>, u32> {
        let mut zones = BTreeMap::new();
        for group in &self.groups {
            *zones.entry(group.offer.zone.clone()).or_insert(0) += group.machines;
        }
        zones
    }

    /// Returns machines that have the job's image, at most `limit` of each group that the
    /// job allows.
    pub fn with_image<'a>(
        &'a self,
        spec: &'a JobSpec,
        zones: &'a ZoneCounts,
        limit: usize,
    ) -> impl Iterator<Item = (Slot, &'a MachineCapacity)> {
        let slots = self
            .groups_allowed_in(spec, zones)
            .filter_map(|group| group.with_image.get(&spec.image))
            .flat_map(move |levels| levels.slots().take(limit));
        self.accepting_tasks(slots)
    }

    /// Returns machines that run a task of lower priority than the job, at most `limit` of
    /// each group that the job allows.
    pub fn with_preemptible_tasks<'a>(
        &'a self,
        spec: &'a JobSpec,
        limit: usize,
    ) -> impl Iterator<Item = (Slot, &'a MachineCapacity)> {
        let slots = self.groups_allowed(spec).flat_map(move |group| {
            group
                .preemptible
                .iter()
                .rev()
                .take_while(|(priority, _)| **priority > spec.priority)
                .flat_map(|(_, slots)| slots)
                .take(limit)
                .copied()
        });
        self.accepting_tasks(slots)
    }

    /// Returns all machines that have enough free capacity for a task of the job now.
    pub fn fitting<'a>(
        &'a self,
        spec: &'a JobSpec,
        need: &'a Resources,
    ) -> impl Iterator<Item = (Slot, &'a MachineCapacity)> {
        let slots = self.groups_allowed(spec).flat_map(move |group| {
            group
                .by_concurrent_pulls
                .values()
                .flat_map(move |levels| levels.for_task(need, &group.total))
                .filter(move |(level, _)| level.may_fit(need, &group.total))
                .flat_map(|(_, by_free)| by_free.values())
                .flatten()
                .copied()
        });
        self.accepting_tasks(slots)
            .filter(|(_, machine)| machine.free().covers(need))
    }

    /// Returns the groups whose machine type and purchase option the job allows.
    pub(super) fn groups_allowed<'a>(
        &'a self,
        spec: &'a JobSpec,
    ) -> impl Iterator<Item = &'a OfferGroup> {
        self.groups
            .iter()
            .filter(|group| offer_allowed(spec, &group.offer))
    }

    /// Returns the groups that the job allows, given the zones of its tasks.
    pub(super) fn groups_allowed_in<'a>(
        &'a self,
        spec: &'a JobSpec,
        zones: &'a ZoneCounts,
    ) -> impl Iterator<Item = &'a OfferGroup> {
        self.groups_allowed(spec)
            .filter(|group| zones.allows(spec, &group.offer.zone))
    }

    /// Filters out machines that accept no tasks. Every machine in `slots` counts as
    /// examined.
    fn accepting_tasks<'a>(
        &'a self,
        slots: impl Iterator<Item = Slot> + 'a,
    ) -> impl Iterator<Item = (Slot, &'a MachineCapacity)> {
        slots.filter_map(|slot| {
            self.examined.add(1);
            let machine = self.get(slot)?;
            let accepts = machine.index_key.is_some() && self.has_recent_heartbeat(machine);
            accepts.then_some((slot, machine))
        })
    }
}

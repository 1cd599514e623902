//! The capacity index: the free capacity of each machine, in sorted order.
//!
//! The scheduler updates the [`CapacityIndex`] for each machine that has changed, and
//! searches it for the machine on which a task fits best. A search examines candidates by
//! machine type, zone, purchase option, image and free amount. Its cost depends on the
//! number of distinct machine configurations and free amounts, and not on the number of
//! machines. The reservations of the current scheduling round are kept separately from a
//! machine's state and are dropped when the next round begins.

mod best_fit;
mod entries;
mod first_fit;
mod invariants;
mod levels;
mod listing;
mod reservations;
mod violation;

pub use best_fit::{BestFit, SearchConstraint, TaskDemand};
pub use first_fit::FullestMachine;
pub use invariants::IndexContents;
pub use listing::OccupiedCursor;
pub use violation::CapacityIndexViolation;

use crate::cloud::Offer;
use crate::ids::MachineId;
use crate::placement::Resources;
use crate::wire::users::Priority;
use levels::{FreeLevels, IndexKey, ShareKey};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// The position of a machine in the index. It is valid until the machine is removed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Slot(u32);

/// The state of a machine on which the scheduler's choices depend, as of the machine's
/// last change.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityState {
    /// The machine's type, zone and purchase option.
    pub offer: Offer,
    /// The machine's total capacity.
    pub total: Resources,
    /// The capacity that isn't allocated to assigned tasks.
    pub unassigned: Resources,
    /// The capacity that tasks that are being stopped will free.
    pub freeing: Resources,
    /// Whether the machine accepts tasks, provided that its worker sends heartbeats.
    pub schedulable: bool,
    /// Whether any tasks are assigned to the machine.
    pub occupied: bool,
    /// The priority of the least important task that isn't being stopped; `None` if there is
    /// no such task.
    pub least_important: Option<Priority>,
    /// The images in the machine's cache.
    pub images: Vec<Rc<str>>,
    /// The images that the machine is pulling.
    pub pulling_images: Vec<Rc<str>>,
}

/// A machine and its reservations in the current round.
#[derive(Debug)]
pub struct MachineCapacity {
    /// The identifier that the cloud assigned to the machine.
    pub id: MachineId,
    /// The machine's state as of its last change, without reservations.
    pub state: CapacityState,
    /// The monotonic time at which the machine's worker last sent a heartbeat.
    last_heartbeat_ms: u64,
    /// The capacity reserved in the current round, for tasks and for forecast demand.
    reserved: Resources,
    /// The part of `reserved` that is for forecast demand.
    forecast_reserved: Resources,
    /// Whether the machine must be neither compacted nor released in the current round,
    /// because of a reservation for forecast demand or for an incoming task.
    retained: bool,
    /// The index of the machine's [`OfferGroup`].
    group: usize,
    /// The key of the machine's ordered entries; `None` if it accepts no tasks.
    index_key: Option<IndexKey>,
    /// The machine's key in the list of occupied machines; `None` if it isn't in the list.
    occupied_key: Option<OccupiedKey>,
}

impl MachineCapacity {
    /// Returns the capacity that is neither allocated nor reserved.
    pub fn free(&self) -> Resources {
        let mut free = self.state.unassigned;
        free.subtract(&self.reserved);
        free
    }

    /// Returns the capacity that will be free once all tasks that are being stopped have
    /// ended.
    pub fn free_after_stops(&self) -> Resources {
        let mut free = self.free();
        free.add(&self.state.freeing);
        free
    }

    /// Returns the capacity that is reserved for forecast demand.
    pub fn forecast_reserved(&self) -> Resources {
        self.forecast_reserved
    }

    /// Returns whether the machine must be neither compacted nor released in the current
    /// round, because of a reservation for forecast demand or for an incoming task.
    pub fn is_retained(&self) -> bool {
        self.retained
    }

    /// Returns the share of the machine that assigned tasks use.
    pub fn used_share(&self) -> f64 {
        let mut used = self.state.total;
        used.subtract(&self.state.unassigned);
        used.dominant_share(&self.state.total)
    }

    /// Returns whether the machine has the image in its cache.
    pub fn has_image(&self, image: &str) -> bool {
        self.state.images.iter().any(|cached| &**cached == image)
    }

    fn concurrent_pulls(&self) -> u32 {
        self.state.pulling_images.len() as u32
    }
}

/// Machines of one type, zone and purchase option.
#[derive(Debug)]
struct OfferGroup {
    offer: Offer,
    /// The total capacity of each machine.
    total: Resources,
    /// The number of machines, schedulable or not.
    machines: u32,
    /// The schedulable machines, by the number of images that they are pulling.
    by_concurrent_pulls: BTreeMap<u32, FreeLevels>,
    /// The schedulable machines that have an image in their cache, by image.
    with_image: HashMap<Rc<str>, FreeLevels>,
    /// The schedulable machines that are pulling an image, by image.
    with_pulling_image: HashMap<Rc<str>, FreeLevels>,
    /// The schedulable machines with tasks that aren't being stopped, by the priority of
    /// the least important such task.
    preemptible: BTreeMap<Priority, BTreeSet<Slot>>,
}

/// Counts examined entries. The counter can be changed through a shared reference, as
/// searches need.
#[derive(Debug, Default)]
struct ExaminedCounter(Cell<u64>);

impl ExaminedCounter {
    fn add(&self, entries: u64) {
        self.0.set(self.0.get() + entries);
    }
}

/// The sort key of occupied machines: the least used machine comes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct OccupiedKey {
    used_share: ShareKey,
    slot: Slot,
}

/// All known machines, sorted by free capacity.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    slots: Vec<Option<MachineCapacity>>,
    unused_slots: Vec<Slot>,
    by_id: HashMap<MachineId, Slot>,
    groups: Vec<OfferGroup>,
    /// The machines with reservations in the current round.
    with_reservations: BTreeSet<Slot>,
    /// The schedulable machines on which tasks are being stopped.
    freeing: BTreeSet<Slot>,
    /// The machines that accept no tasks.
    unschedulable: BTreeSet<Slot>,
    /// The machines that accept tasks and have some, by the share in use.
    occupied: BTreeSet<OccupiedKey>,
    now_ms: u64,
    max_heartbeat_age_ms: u64,
    examined: ExaminedCounter,
}

impl CapacityIndex {
    /// Removes all machines. Keeps the count of examined entries.
    pub fn clear(&mut self) {
        let examined = std::mem::take(&mut self.examined);
        *self = CapacityIndex {
            examined,
            ..CapacityIndex::default()
        };
    }

    /// Sets the current monotonic time and the maximum heartbeat age: a machine whose last
    /// heartbeat is at least that old accepts no tasks.
    pub fn set_time(&mut self, now_ms: u64, max_heartbeat_age_ms: u64) {
        self.now_ms = now_ms;
        self.max_heartbeat_age_ms = max_heartbeat_age_ms;
    }

    /// Returns the number of entries examined since the process started.
    pub fn examined(&self) -> u64 {
        self.examined.0.get()
    }

    /// Returns the slot of a machine, or `None` if the machine isn't known.
    pub fn slot(&self, id: &MachineId) -> Option<Slot> {
        self.by_id.get(id).copied()
    }

    /// Returns the machine in a slot, or `None` if the machine was removed.
    pub fn get(&self, slot: Slot) -> Option<&MachineCapacity> {
        self.slots.get(slot.0 as usize)?.as_ref()
    }

    fn get_mut(&mut self, slot: Slot) -> Option<&mut MachineCapacity> {
        self.slots.get_mut(slot.0 as usize)?.as_mut()
    }

    fn has_recent_heartbeat(&self, machine: &MachineCapacity) -> bool {
        self.now_ms < machine.last_heartbeat_ms + self.max_heartbeat_age_ms
    }

    /// Adds or updates a machine that has changed, or whose worker sent a heartbeat at
    /// `last_heartbeat_ms`.
    pub fn refresh(&mut self, id: &MachineId, state: CapacityState, last_heartbeat_ms: u64) {
        self.examined.add(1);
        match self.slot(id) {
            Some(slot) => self.update(slot, state, last_heartbeat_ms),
            None => self.add(id, state, last_heartbeat_ms),
        }
    }

    fn add(&mut self, id: &MachineId, state: CapacityState, last_heartbeat_ms: u64) {
        let slot = self.unused_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            Slot(self.slots.len() as u32 - 1)
        });
        let group = self.offer_group(&state);
        self.groups[group].machines += 1;
        self.by_id.insert(id.clone(), slot);
        self.slots[slot.0 as usize] = Some(MachineCapacity {
            id: id.clone(),
            state,
            last_heartbeat_ms,
            reserved: Resources::default(),
            forecast_reserved: Resources::default(),
            retained: false,
            group,
            index_key: None,
            occupied_key: None,
        });
        self.insert_entry(slot);
    }

    /// Removes a machine, which must no longer be in the fleet. Has no effect if the machine
    /// isn't known.
    pub fn remove(&mut self, id: &MachineId) {
        let Some(slot) = self.by_id.remove(id) else {
            return;
        };
        self.remove_entry(slot);
        if let Some(machine) = self.slots[slot.0 as usize].take() {
            self.groups[machine.group].machines -= 1;
        }
        self.with_reservations.remove(&slot);
        self.unschedulable.remove(&slot);
        self.unused_slots.push(slot);
    }

    fn update(&mut self, slot: Slot, state: CapacityState, last_heartbeat_ms: u64) {
        let was_schedulable = !self.unschedulable.contains(&slot);
        let Some(machine) = self.get_mut(slot) else {
            return;
        };
        machine.last_heartbeat_ms = last_heartbeat_ms;
        let unchanged = machine.state == state;
        let recent_heartbeat = self
            .get(slot)
            .is_some_and(|machine| self.has_recent_heartbeat(machine));
        if unchanged && was_schedulable == (state.schedulable && recent_heartbeat) {
            return;
        }
        self.remove_entry(slot);
        let group = self.offer_group(&state);
        if let Some(machine) = self.get_mut(slot) {
            machine.state = state;
            let previous_group = std::mem::replace(&mut machine.group, group);
            self.groups[previous_group].machines -= 1;
            self.groups[group].machines += 1;
        }
        self.insert_entry(slot);
    }

    /// Returns the index of the group for machines with the offer and total capacity of
    /// `state`. Adds the group if there is none.
    fn offer_group(&mut self, state: &CapacityState) -> usize {
        let is_same_configuration =
            |group: &OfferGroup| group.offer == state.offer && group.total == state.total;
        if let Some(found) = self.groups.iter().position(is_same_configuration) {
            return found;
        }
        self.groups.push(OfferGroup::new(state));
        self.groups.len() - 1
    }
}

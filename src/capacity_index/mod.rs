//! The capacity index: what each machine has free, kept in order as it changes.
//!
//! The scheduler updates the [`CapacityIndex`] for each machine that has changed, and
//! searches it for the machine on which a task fits best. A search examines candidates
//! by machine type, zone, purchase option, image and free amount; its cost depends on
//! the number of kinds of machines and of free amounts, and not on the number of
//! machines. What the round under way holds for tasks is kept on top of a machine's
//! state, until the next round begins.

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

/// The position of a machine in the index, as long as the machine is known.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Slot(u32);

/// The state of a machine as of its last change.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityState {
    /// Its type, zone and purchase option.
    pub offer: Offer,
    /// Its total capacity.
    pub total: Resources,
    /// What assigned tasks leave free.
    pub unassigned: Resources,
    /// What tasks that are being stopped will free.
    pub freeing: Resources,
    /// Whether it accepts tasks, as long as its worker sends heartbeats.
    pub schedulable: bool,
    /// Whether it has tasks.
    pub occupied: bool,
    /// The priority of the least important of its tasks that aren't being stopped.
    pub least_important: Option<Priority>,
    /// Images that it has.
    pub images: Vec<Rc<str>>,
    /// Images that it is pulling.
    pub pulling_images: Vec<Rc<str>>,
}

/// A machine, and what the round under way holds of it.
#[derive(Debug)]
pub struct MachineCapacity {
    /// Its identifier.
    pub id: MachineId,
    /// As of its last change.
    pub state: CapacityState,
    /// When its worker last sent a heartbeat.
    last_heartbeat_ms: u64,
    /// Held in the round under way, for tasks or for forecast demand.
    held: Resources,
    /// The part of that which is reserved for forecast demand.
    forecast_reserved: Resources,
    /// Something is expected on it or migrates to it, so that it is neither compacted
    /// nor released.
    reserved: bool,
    /// The position of its [`OfferGroup`].
    group: usize,
    /// Its key in the ordered entries; `None`: it accepts no tasks.
    index_key: Option<IndexKey>,
    /// Its key among the occupied machines; `None`: it isn't one.
    occupied_key: Option<OccupiedKey>,
}

impl MachineCapacity {
    /// What is free and not held.
    pub fn free(&self) -> Resources {
        let mut free = self.state.unassigned;
        free.subtract(&self.held);
        free
    }

    /// What will be free once all tasks that are being stopped have ended.
    pub fn free_after_stops(&self) -> Resources {
        let mut free = self.free();
        free.add(&self.state.freeing);
        free
    }

    /// What is reserved for forecast demand.
    pub fn forecast_reserved(&self) -> Resources {
        self.forecast_reserved
    }

    /// Whether something is expected on it or migrates to it.
    pub fn is_reserved(&self) -> bool {
        self.reserved
    }

    /// The share of the machine that assigned tasks use.
    pub fn used_share(&self) -> f64 {
        let mut used = self.state.total;
        used.subtract(&self.state.unassigned);
        used.dominant_share(&self.state.total)
    }

    /// Whether the machine has the image.
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
    /// The total capacity of each of them.
    total: Resources,
    /// How many there are, schedulable or not.
    machines: u32,
    /// The schedulable ones, by how many images they are pulling.
    by_concurrent_pulls: BTreeMap<u32, FreeLevels>,
    /// Those that have an image.
    with_image: HashMap<Rc<str>, FreeLevels>,
    /// Those that are pulling an image.
    with_pulling_image: HashMap<Rc<str>, FreeLevels>,
    /// Those with tasks that aren't being stopped, by the least of their priorities.
    stoppable: BTreeMap<Priority, BTreeSet<Slot>>,
}

/// Counts the entries that were examined, in searches through a shared reference too.
#[derive(Debug, Default)]
struct ExaminedCounter(Cell<u64>);

impl ExaminedCounter {
    fn add(&self, entries: u64) {
        self.0.set(self.0.get() + entries);
    }
}

/// The order of occupied machines: by the share in use, the least used first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct OccupiedKey {
    used_share: ShareKey,
    slot: Slot,
}

/// All machines, in order of what they have free.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    slots: Vec<Option<MachineCapacity>>,
    unused: Vec<Slot>,
    by_id: HashMap<MachineId, Slot>,
    groups: Vec<OfferGroup>,
    /// Those of which something is held or reserved.
    held: BTreeSet<Slot>,
    /// Those on which tasks are being stopped.
    freeing: BTreeSet<Slot>,
    /// Those that accept no tasks.
    unschedulable: BTreeSet<Slot>,
    /// Those that accept tasks and have some, by the share in use.
    occupied: BTreeSet<OccupiedKey>,
    now_ms: u64,
    fresh_ms: u64,
    examined: ExaminedCounter,
}

impl CapacityIndex {
    /// Forgets all machines, and keeps the count of examined entries.
    pub fn clear(&mut self) {
        let examined = std::mem::take(&mut self.examined);
        *self = CapacityIndex {
            examined,
            ..CapacityIndex::default()
        };
    }

    /// From now on machines that have been silent for `fresh_ms` accept no tasks.
    pub fn set_time(&mut self, now_ms: u64, fresh_ms: u64) {
        self.now_ms = now_ms;
        self.fresh_ms = fresh_ms;
    }

    /// Entries examined since the process began.
    pub fn examined(&self) -> u64 {
        self.examined.0.get()
    }

    /// The slot of a machine.
    pub fn slot(&self, id: &MachineId) -> Option<Slot> {
        self.by_id.get(id).copied()
    }

    /// A machine; `None`: it is gone.
    pub fn get(&self, slot: Slot) -> Option<&MachineCapacity> {
        self.slots.get(slot.0 as usize)?.as_ref()
    }

    fn get_mut(&mut self, slot: Slot) -> Option<&mut MachineCapacity> {
        self.slots.get_mut(slot.0 as usize)?.as_mut()
    }

    fn is_fresh(&self, machine: &MachineCapacity) -> bool {
        self.now_ms < machine.last_heartbeat_ms + self.fresh_ms
    }

    /// Updates a machine that has changed, or whose worker sent a heartbeat at this
    /// time.
    pub fn refresh(&mut self, id: &MachineId, state: CapacityState, last_heartbeat_ms: u64) {
        self.examined.add(1);
        match self.slot(id) {
            Some(slot) => self.update(slot, state, last_heartbeat_ms),
            None => self.add(id, state, last_heartbeat_ms),
        }
    }

    fn add(&mut self, id: &MachineId, state: CapacityState, last_heartbeat_ms: u64) {
        let slot = self.unused.pop().unwrap_or_else(|| {
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
            held: Resources::default(),
            forecast_reserved: Resources::default(),
            reserved: false,
            group,
            index_key: None,
            occupied_key: None,
        });
        self.insert_entry(slot);
    }

    /// Removes a machine that is gone.
    pub fn remove(&mut self, id: &MachineId) {
        let Some(slot) = self.by_id.remove(id) else {
            return;
        };
        self.remove_entry(slot);
        if let Some(machine) = self.slots[slot.0 as usize].take() {
            self.groups[machine.group].machines -= 1;
        }
        self.held.remove(&slot);
        self.unschedulable.remove(&slot);
        self.unused.push(slot);
    }

    fn update(&mut self, slot: Slot, state: CapacityState, last_heartbeat_ms: u64) {
        let was_schedulable = !self.unschedulable.contains(&slot);
        let Some(machine) = self.get_mut(slot) else {
            return;
        };
        machine.last_heartbeat_ms = last_heartbeat_ms;
        let unchanged = machine.state == state;
        let fresh = self.get(slot).is_some_and(|machine| self.is_fresh(machine));
        if unchanged && was_schedulable == (state.schedulable && fresh) {
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

    /// The position of the group of machines like this one.
    fn offer_group(&mut self, state: &CapacityState) -> usize {
        let same_kind =
            |group: &OfferGroup| group.offer == state.offer && group.total == state.total;
        if let Some(found) = self.groups.iter().position(same_kind) {
            return found;
        }
        self.groups.push(OfferGroup::new(state));
        self.groups.len() - 1
    }
}

//! What the leader's machines have free, kept in order as it changes.
//!
//! The scheduler tells [`Rooms`] of each machine that changed, and asks it where
//! a task fits best. A question looks at candidates by machine type, zone, kind,
//! image and free amount; what it costs follows from how many kinds of machines
//! and of free amounts there are, and not from how many machines. What a round under way
//! promises is held on top, until the next round begins.

mod levels;
mod search;
mod violation;

pub use search::{BestFit, SearchConstraint, TaskDemand};
pub use violation::CapacityIndexViolation;

use crate::cloud::Offer;
use crate::ids::MachineId;
use crate::placement::Resources;
use crate::wire::users::Priority;
use levels::{FreeLevels, IndexKey, ShareKey};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// A machine's number here, as long as it is known.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Slot(u32);

/// What a machine looks like, each time that it changed.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityState {
    /// Its type, zone and kind.
    pub offer: Offer,
    /// What it holds in all.
    pub total: Resources,
    /// What assigned tasks leave free.
    pub unassigned: Resources,
    /// What tasks that are being stopped will give back.
    pub freeing: Resources,
    /// Whether it takes work, as long as it goes on reporting.
    pub schedulable: bool,
    /// Whether it has tasks.
    pub occupied: bool,
    /// The least important of its tasks that aren't being stopped.
    pub least_important: Option<Priority>,
    /// Images that are there.
    pub images: Vec<Rc<str>>,
    /// Images on their way.
    pub pulling_images: Vec<Rc<str>>,
}

/// A machine, and what the round under way has promised of it.
#[derive(Debug)]
pub struct MachineCapacity {
    /// Its name.
    pub id: MachineId,
    /// As of its last change.
    pub state: CapacityState,
    /// When its worker last reported.
    last_heartbeat_ms: u64,
    /// Promised to work of the round under way.
    promised: Resources,
    /// The part of that which is for expected work.
    forecast_reserved: Resources,
    /// Something is expected or moves here, so it isn't emptied or returned.
    reserved: bool,
    group: usize,
    /// Where it is filed; `None`: it takes no work.
    index_key: Option<IndexKey>,
    /// Where it is filed by what is in use.
    occupied: Option<ShareKey>,
}

impl MachineCapacity {
    /// What is free and not promised.
    pub fn free(&self) -> Resources {
        let mut free = self.state.unassigned;
        free.subtract(&self.promised);
        free
    }

    /// What will be free once all that is being stopped has ended.
    pub fn free_after_stops(&self) -> Resources {
        let mut free = self.free();
        free.add(&self.state.freeing);
        free
    }

    /// What is set aside for expected work.
    pub fn forecast_reserved(&self) -> Resources {
        self.forecast_reserved
    }

    /// Whether something is expected or moves here.
    pub fn is_reserved(&self) -> bool {
        self.reserved
    }

    /// The share of the machine that assigned tasks use.
    pub fn used_share(&self) -> f64 {
        let mut used = self.state.total;
        used.subtract(&self.state.unassigned);
        used.dominant_share(&self.state.total)
    }

    /// Whether the image is there.
    pub fn has_image(&self, image: &str) -> bool {
        self.state.images.iter().any(|i| &**i == image)
    }

    fn concurrent_pulls(&self) -> u32 {
        self.state.pulling_images.len() as u32
    }
}

/// Machines of one type, zone and kind.
#[derive(Debug)]
struct OfferGroup {
    offer: Offer,
    whole: Resources,
    /// Its machines, whether they take work or not.
    machines: u32,
    /// Those that take work, by how many images they fetch.
    by_concurrent_pulls: BTreeMap<u32, FreeLevels>,
    /// Those with an image.
    with_image: HashMap<Rc<str>, FreeLevels>,
    /// Those to which an image is on its way.
    with_pulling_image: HashMap<Rc<str>, FreeLevels>,
    /// Those that run something that may be stopped, by its least priority.
    stoppable: BTreeMap<Priority, BTreeSet<Slot>>,
}

/// All machines, in order.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    slots: Vec<Option<MachineCapacity>>,
    unused: Vec<Slot>,
    by_id: HashMap<MachineId, Slot>,
    groups: Vec<OfferGroup>,
    /// Those of which something is held or reserved.
    promised: BTreeSet<Slot>,
    /// Those on which something is being stopped.
    freeing: BTreeSet<Slot>,
    /// Those that take no work.
    unschedulable: BTreeSet<Slot>,
    /// Those that take work and have tasks, by the share in use.
    occupied: BTreeSet<(ShareKey, Slot)>,
    now_ms: u64,
    fresh_ms: u64,
    /// Entries that were looked at.
    examined: Cell<u64>,
}

fn count(examined: &Cell<u64>, entries: u64) {
    examined.set(examined.get() + entries);
}

impl CapacityIndex {
    /// Forgets everything but what it has cost.
    pub fn clear(&mut self) {
        let examined = self.examined.get();
        *self = CapacityIndex::default();
        self.examined.set(examined);
    }

    /// From now on machines that were silent for `fresh_ms` take no work.
    pub fn set_time(&mut self, now_ms: u64, fresh_ms: u64) {
        self.now_ms = now_ms;
        self.fresh_ms = fresh_ms;
    }

    /// Entries that were looked at since the process began.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    /// The number of a machine.
    pub fn slot(&self, id: &MachineId) -> Option<Slot> {
        self.by_id.get(id).copied()
    }

    /// A machine; `None`: it is gone.
    pub fn get(&self, slot: Slot) -> Option<&MachineCapacity> {
        self.slots.get(slot.0 as usize)?.as_ref()
    }

    fn is_fresh(&self, room: &MachineCapacity) -> bool {
        self.now_ms < room.last_heartbeat_ms + self.fresh_ms
    }

    /// A machine has changed, or its worker has reported at this time.
    pub fn refresh(&mut self, id: &MachineId, state: CapacityState, heard_ms: u64) {
        count(&self.examined, 1);
        match self.slot(id) {
            Some(slot) => self.update(slot, state, heard_ms),
            None => self.add(id, state, heard_ms),
        }
    }

    fn add(&mut self, id: &MachineId, state: CapacityState, heard_ms: u64) {
        let slot = self.unused.pop().unwrap_or_else(|| {
            self.slots.push(None);
            Slot(self.slots.len() as u32 - 1)
        });
        let group = self.offer_group(&state);
        self.groups[group].machines += 1;
        let room = MachineCapacity {
            id: id.clone(),
            state,
            last_heartbeat_ms: heard_ms,
            promised: Resources::default(),
            forecast_reserved: Resources::default(),
            reserved: false,
            group,
            index_key: None,
            occupied: None,
        };
        self.by_id.insert(id.clone(), slot);
        self.slots[slot.0 as usize] = Some(room);
        self.insert_entry(slot);
    }

    /// A machine is gone.
    pub fn remove(&mut self, id: &MachineId) {
        let Some(slot) = self.by_id.remove(id) else {
            return;
        };
        self.remove_entry(slot);
        if let Some(room) = self.slots[slot.0 as usize].take() {
            self.groups[room.group].machines -= 1;
        }
        self.promised.remove(&slot);
        self.unschedulable.remove(&slot);
        self.unused.push(slot);
    }

    fn update(&mut self, slot: Slot, state: CapacityState, heard_ms: u64) {
        let was_closed = self.unschedulable.contains(&slot);
        let Some(room) = self.slots[slot.0 as usize].as_mut() else {
            return;
        };
        room.last_heartbeat_ms = heard_ms;
        let fresh = self.now_ms < heard_ms + self.fresh_ms;
        let stays = was_closed != (state.schedulable && fresh);
        if stays && room.state == state {
            return;
        }
        self.remove_entry(slot);
        let group = self.offer_group(&state);
        if let Some(room) = self.slots[slot.0 as usize].as_mut() {
            let before = std::mem::replace(&mut room.group, group);
            room.state = state;
            self.groups[before].machines -= 1;
            self.groups[group].machines += 1;
        }
        self.insert_entry(slot);
    }

    fn offer_group(&mut self, state: &CapacityState) -> usize {
        let like = |g: &OfferGroup| g.offer == state.offer && g.whole == state.total;
        if let Some(found) = self.groups.iter().position(like) {
            return found;
        }
        self.groups.push(OfferGroup {
            offer: state.offer.clone(),
            whole: state.total,
            machines: 0,
            by_concurrent_pulls: BTreeMap::new(),
            with_image: HashMap::new(),
            with_pulling_image: HashMap::new(),
            stoppable: BTreeMap::new(),
        });
        self.groups.len() - 1
    }

    // ---- filing ----

    fn insert_entry(&mut self, slot: Slot) {
        let fresh = self.get(slot).is_some_and(|room| self.is_fresh(room));
        let Some(room) = self.slots[slot.0 as usize].as_mut() else {
            return;
        };
        if !room.state.schedulable || !fresh {
            self.unschedulable.insert(slot);
            return;
        }
        self.unschedulable.remove(&slot);
        let free = room.free();
        let whole = room.state.total;
        let place = IndexKey::of(&free, &whole);
        room.index_key = Some(place);
        let images = room.state.images.len() + room.state.pulling_images.len();
        count(&self.examined, images as u64);
        let group = &mut self.groups[room.group];
        let by_fetches = group
            .by_concurrent_pulls
            .entry(room.concurrent_pulls())
            .or_default();
        by_fetches.insert(place, slot);
        for image in &room.state.images {
            let with_image = group.with_image.entry(image.clone()).or_default();
            with_image.insert(place, slot);
        }
        for image in &room.state.pulling_images {
            let with_coming = group.with_pulling_image.entry(image.clone()).or_default();
            with_coming.insert(place, slot);
        }
        if let Some(priority) = room.state.least_important {
            group.stoppable.entry(priority).or_default().insert(slot);
        }
        if room.state.freeing != Resources::default() {
            self.freeing.insert(slot);
        }
        if room.state.occupied {
            let used = ShareKey::new(room.used_share());
            room.occupied = Some(used);
            self.occupied.insert((used, slot));
        }
    }

    fn remove_entry(&mut self, slot: Slot) {
        let Some(room) = self.slots[slot.0 as usize].as_mut() else {
            return;
        };
        let Some(place) = room.index_key.take() else {
            return;
        };
        let group = &mut self.groups[room.group];
        if let Some(levels) = group.by_concurrent_pulls.get_mut(&room.concurrent_pulls()) {
            levels.remove(place, slot);
            if levels.is_empty() {
                group.by_concurrent_pulls.remove(&room.concurrent_pulls());
            }
        }
        for image in &room.state.images {
            remove_image_entry(&mut group.with_image, image, place, slot);
        }
        for image in &room.state.pulling_images {
            remove_image_entry(&mut group.with_pulling_image, image, place, slot);
        }
        if let Some(priority) = room.state.least_important {
            if let Some(rooms) = group.stoppable.get_mut(&priority) {
                rooms.remove(&slot);
            }
        }
        self.freeing.remove(&slot);
        if let Some(used) = room.occupied.take() {
            self.occupied.remove(&(used, slot));
        }
    }

    /// Files a room anew after a change to it.
    fn change(&mut self, slot: Slot, change: impl FnOnce(&mut MachineCapacity)) {
        self.remove_entry(slot);
        if let Some(room) = self.slots[slot.0 as usize].as_mut() {
            change(room);
        }
        self.insert_entry(slot);
        count(&self.examined, 1);
    }

    // ---- promises of a round ----

    /// A new round: nothing is promised.
    pub fn begin_round(&mut self) {
        for slot in std::mem::take(&mut self.promised) {
            self.change(slot, |room| {
                room.promised = Resources::default();
                room.forecast_reserved = Resources::default();
                room.reserved = false;
            });
        }
    }

    /// Promises some of a machine.
    pub fn hold(&mut self, slot: Slot, amount: &Resources) {
        self.promised.insert(slot);
        self.change(slot, |room| room.promised.add(amount));
    }

    /// Promises some of a machine to work that is on its way there.
    pub fn reserve_for_incoming(&mut self, slot: Slot, amount: &Resources) {
        self.promised.insert(slot);
        self.change(slot, |room| {
            room.promised.add(amount);
            room.reserved = true;
        });
    }

    /// Sets some of a machine aside for expected work.
    pub fn reserve_for_forecast(&mut self, slot: Slot, amount: &Resources) {
        self.promised.insert(slot);
        self.change(slot, |room| {
            room.promised.add(amount);
            room.forecast_reserved.add(amount);
            room.reserved = true;
        });
    }

    /// Gives up what is set aside for expected work.
    pub fn release_forecast(&mut self, slot: Slot) {
        self.change(slot, |room| {
            let kept = std::mem::take(&mut room.forecast_reserved);
            room.promised.subtract(&kept);
        });
    }

    /// Takes back what was promised of a machine by [`Self::reserve`].
    pub fn release(&mut self, slot: Slot, amount: &Resources) {
        self.change(slot, |room| room.promised.subtract(amount));
    }

    /// Promises all that is free of a machine.
    pub fn reserve_all_free(&mut self, slot: Slot) {
        if let Some(free) = self.get(slot).map(MachineCapacity::free) {
            self.reserve_for_incoming(slot, &free);
        }
    }

    // ---- lists ----

    /// The machines on which something is expected or moves.
    pub fn reserved(&self) -> impl Iterator<Item = &MachineId> {
        let rooms = self.promised.iter().filter_map(|slot| self.get(*slot));
        rooms.filter(|room| room.reserved).map(|room| &room.id)
    }

    /// Machines with room set aside for expected work.
    pub fn with_forecast_reservation(&self) -> impl Iterator<Item = (Slot, &MachineCapacity)> {
        let rooms = self.accepting_tasks(self.promised.iter().copied());
        rooms.filter(|(_, room)| room.forecast_reserved != Resources::default())
    }

    /// Those of these machines that take work, each counted.
    fn accepting_tasks<'a>(
        &'a self,
        slots: impl Iterator<Item = Slot> + 'a,
    ) -> impl Iterator<Item = (Slot, &'a MachineCapacity)> {
        slots.filter_map(|slot| {
            count(&self.examined, 1);
            let takes = |room: &&MachineCapacity| room.index_key.is_some() && self.is_fresh(room);
            Some((slot, self.get(slot).filter(takes)?))
        })
    }

    /// Machines on which something is being stopped.
    pub fn stopping_tasks(&self) -> impl Iterator<Item = (Slot, &MachineCapacity)> {
        self.accepting_tasks(self.freeing.iter().copied())
    }

    /// Machines with tasks that take work, the emptiest first, from the one after
    /// `after` on.
    pub fn occupied(
        &self,
        after: Option<(f64, Slot)>,
    ) -> impl Iterator<Item = (f64, Slot, &MachineCapacity)> {
        let from = after.map_or(std::ops::Bound::Unbounded, |(share, slot)| {
            std::ops::Bound::Excluded((ShareKey::new(share), slot))
        });
        let rooms = self.occupied.range((from, std::ops::Bound::Unbounded));
        let rooms = self.accepting_tasks(rooms.map(|(_, slot)| *slot));
        rooms.map(|(slot, room)| (room.used_share(), slot, room))
    }

    /// The machines that take no work: booting, silent, faulty, leaving.
    pub fn unschedulable(&self) -> impl Iterator<Item = &MachineId> {
        self.unschedulable
            .iter()
            .filter_map(|s| Some(&self.get(*s)?.id))
    }

    /// How many machines are known in each zone.
    pub fn machines_by_zone(&self) -> BTreeMap<Rc<str>, u32> {
        let mut zones = BTreeMap::new();
        for group in &self.groups {
            *zones.entry(group.offer.zone.clone()).or_insert(0) += group.machines;
        }
        zones
    }

    /// What is filed, for tests that count everything anew: for each open machine
    /// its name and state, and the names of the closed ones.
    pub fn contents(&self) -> (BTreeMap<MachineId, &CapacityState>, BTreeSet<MachineId>) {
        let (mut open, mut closed) = (BTreeMap::new(), BTreeSet::new());
        for room in self.slots.iter().flatten() {
            if room.index_key.is_some() {
                open.insert(room.id.clone(), &room.state);
            } else {
                closed.insert(room.id.clone());
            }
        }
        (open, closed)
    }
}

impl CapacityIndex {
    /// Whether every machine is filed where it belongs, and nowhere else; the error
    /// names one that isn't. For tests.
    pub fn check_invariants(&self) -> Result<(), CapacityIndexViolation> {
        let (mut filed, mut images, mut coming) = (0, 0, 0);
        for (number, room) in self.slots.iter().enumerate() {
            let slot = Slot(number as u32);
            let Some(room) = room else { continue };
            if self.unschedulable.contains(&slot) == room.index_key.is_some() {
                return Err(CapacityIndexViolation::Unclassified(room.id.clone()));
            }
            let Some(place) = room.index_key else {
                continue;
            };
            let (free, whole) = (room.free(), room.state.total);
            let expected = IndexKey::of(&free, &whole);
            let group = &self.groups[room.group];
            let by_fetches = group.by_concurrent_pulls.get(&room.concurrent_pulls());
            if place != expected || !by_fetches.is_some_and(|l| l.contains(place, slot)) {
                return Err(CapacityIndexViolation::Misplaced(room.id.clone()));
            }
            filed += 1;
            images += room.state.images.len();
            coming += room.state.pulling_images.len();
        }
        let sum = |levels: &mut dyn Iterator<Item = &FreeLevels>| {
            levels.map(FreeLevels::len).sum::<usize>()
        };
        let groups = &self.groups;
        let found = [
            sum(&mut groups.iter().flat_map(|g| g.by_concurrent_pulls.values())),
            sum(&mut groups.iter().flat_map(|g| g.with_image.values())),
            sum(&mut groups.iter().flat_map(|g| g.with_pulling_image.values())),
        ];
        let expected = [filed, images, coming];
        if found != expected {
            return Err(CapacityIndexViolation::EntryCounts { found, expected });
        }
        Ok(())
    }
}

fn remove_image_entry(
    by_image: &mut HashMap<Rc<str>, FreeLevels>,
    image: &Rc<str>,
    place: IndexKey,
    slot: Slot,
) {
    if let Some(levels) = by_image.get_mut(image) {
        levels.remove(place, slot);
        if levels.is_empty() {
            by_image.remove(image);
        }
    }
}

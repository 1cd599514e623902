//! What the leader's machines have free, kept in order as it changes.
//!
//! The scheduler tells [`Rooms`] of each machine that changed, and asks it where
//! a task fits best. A question looks at candidates by machine type, zone, kind,
//! image and free amount; what it costs follows from how many kinds of machines
//! and of free amounts there are, and not from how many machines. What a round under way
//! promises is held on top, until the next round begins.

mod levels;
mod search;

pub use search::{Apart, Best, Demand};

use crate::cloud::Offer;
use crate::ids::MachineId;
use crate::placement::Resources;
use crate::wire::Priority;
use levels::{Levels, Place, ShareKey};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// A machine's number here, as long as it is known.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Slot(u32);

/// What a machine looks like, each time that it changed.
#[derive(Clone, Debug, PartialEq)]
pub struct RoomState {
    /// Its type, zone and kind.
    pub offer: Offer,
    /// What it holds in all.
    pub whole: Resources,
    /// What assigned tasks leave free.
    pub unassigned: Resources,
    /// What tasks that are being stopped will give back.
    pub freeing: Resources,
    /// Whether it takes work, as long as it goes on reporting.
    pub open: bool,
    /// Whether it has tasks.
    pub occupied: bool,
    /// The least important of its tasks that aren't being stopped.
    pub least_important: Option<Priority>,
    /// Images that are there.
    pub images: Vec<Rc<str>>,
    /// Images on their way.
    pub coming: Vec<Rc<str>>,
}

/// A machine, and what the round under way has promised of it.
#[derive(Debug)]
pub struct Room {
    /// Its name.
    pub id: MachineId,
    /// As of its last change.
    pub state: RoomState,
    /// When its worker last reported.
    heard_ms: u64,
    /// Promised to work of the round under way.
    held: Resources,
    /// The part of that which is for expected work.
    kept: Resources,
    /// Something is expected or moves here, so it isn't emptied or returned.
    reserved: bool,
    group: usize,
    /// Where it is filed; `None`: it takes no work.
    filed: Option<Place>,
    /// Where it is filed by what is in use.
    occupied: Option<ShareKey>,
}

impl Room {
    /// What is free and not promised.
    pub fn free(&self) -> Resources {
        let mut free = self.state.unassigned;
        free.take(&self.held);
        free
    }

    /// What will be free once all that is being stopped has ended.
    pub fn soon_free(&self) -> Resources {
        let mut free = self.free();
        free.add(&self.state.freeing);
        free
    }

    /// What is set aside for expected work.
    pub fn kept(&self) -> Resources {
        self.kept
    }

    /// Whether something is expected or moves here.
    pub fn reserved(&self) -> bool {
        self.reserved
    }

    /// The share of the machine that assigned tasks use.
    pub fn used_share(&self) -> f64 {
        let mut used = self.state.whole;
        used.take(&self.state.unassigned);
        used.share_of(&self.state.whole)
    }

    /// Whether the image is there.
    pub fn has_image(&self, image: &str) -> bool {
        self.state.images.iter().any(|i| &**i == image)
    }

    fn fetches(&self) -> u32 {
        self.state.coming.len() as u32
    }
}

/// Machines of one type, zone and kind.
#[derive(Debug)]
struct Group {
    offer: Offer,
    whole: Resources,
    /// Its machines, whether they take work or not.
    machines: u32,
    /// Those that take work, by how many images they fetch.
    by_fetches: BTreeMap<u32, Levels>,
    /// Those with an image.
    with_image: HashMap<Rc<str>, Levels>,
    /// Those to which an image is on its way.
    with_coming: HashMap<Rc<str>, Levels>,
    /// Those that run something that may be stopped, by its least priority.
    stoppable: BTreeMap<Priority, BTreeSet<Slot>>,
}

/// All machines, in order.
#[derive(Debug, Default)]
pub struct Rooms {
    slots: Vec<Option<Room>>,
    unused: Vec<Slot>,
    by_id: HashMap<MachineId, Slot>,
    groups: Vec<Group>,
    /// Those of which something is held or reserved.
    promised: BTreeSet<Slot>,
    /// Those on which something is being stopped.
    freeing: BTreeSet<Slot>,
    /// Those that take no work.
    closed: BTreeSet<Slot>,
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

impl Rooms {
    /// Forgets everything but what it has cost.
    pub fn clear(&mut self) {
        let examined = self.examined.get();
        *self = Rooms::default();
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
    pub fn get(&self, slot: Slot) -> Option<&Room> {
        self.slots.get(slot.0 as usize)?.as_ref()
    }

    fn is_fresh(&self, room: &Room) -> bool {
        self.now_ms < room.heard_ms + self.fresh_ms
    }

    /// A machine has changed, or its worker has reported at this time.
    pub fn refresh(&mut self, id: &MachineId, state: RoomState, heard_ms: u64) {
        count(&self.examined, 1);
        match self.slot(id) {
            Some(slot) => self.update(slot, state, heard_ms),
            None => self.add(id, state, heard_ms),
        }
    }

    fn add(&mut self, id: &MachineId, state: RoomState, heard_ms: u64) {
        let slot = self.unused.pop().unwrap_or_else(|| {
            self.slots.push(None);
            Slot(self.slots.len() as u32 - 1)
        });
        let group = self.group_of(&state);
        self.groups[group].machines += 1;
        let room = Room {
            id: id.clone(),
            state,
            heard_ms,
            held: Resources::default(),
            kept: Resources::default(),
            reserved: false,
            group,
            filed: None,
            occupied: None,
        };
        self.by_id.insert(id.clone(), slot);
        self.slots[slot.0 as usize] = Some(room);
        self.file(slot);
    }

    /// A machine is gone.
    pub fn remove(&mut self, id: &MachineId) {
        let Some(slot) = self.by_id.remove(id) else {
            return;
        };
        self.unfile(slot);
        if let Some(room) = self.slots[slot.0 as usize].take() {
            self.groups[room.group].machines -= 1;
        }
        self.promised.remove(&slot);
        self.closed.remove(&slot);
        self.unused.push(slot);
    }

    fn update(&mut self, slot: Slot, state: RoomState, heard_ms: u64) {
        let was_closed = self.closed.contains(&slot);
        let Some(room) = self.slots[slot.0 as usize].as_mut() else {
            return;
        };
        room.heard_ms = heard_ms;
        let fresh = self.now_ms < heard_ms + self.fresh_ms;
        let stays = was_closed != (state.open && fresh);
        if stays && room.state == state {
            return;
        }
        self.unfile(slot);
        let group = self.group_of(&state);
        if let Some(room) = self.slots[slot.0 as usize].as_mut() {
            let before = std::mem::replace(&mut room.group, group);
            room.state = state;
            self.groups[before].machines -= 1;
            self.groups[group].machines += 1;
        }
        self.file(slot);
    }

    fn group_of(&mut self, state: &RoomState) -> usize {
        let like = |g: &Group| g.offer == state.offer && g.whole == state.whole;
        if let Some(found) = self.groups.iter().position(like) {
            return found;
        }
        self.groups.push(Group {
            offer: state.offer.clone(),
            whole: state.whole,
            machines: 0,
            by_fetches: BTreeMap::new(),
            with_image: HashMap::new(),
            with_coming: HashMap::new(),
            stoppable: BTreeMap::new(),
        });
        self.groups.len() - 1
    }

    // ---- filing ----

    fn file(&mut self, slot: Slot) {
        let fresh = self.get(slot).is_some_and(|room| self.is_fresh(room));
        let Some(room) = self.slots[slot.0 as usize].as_mut() else {
            return;
        };
        if !room.state.open || !fresh {
            self.closed.insert(slot);
            return;
        }
        self.closed.remove(&slot);
        let free = room.free();
        let whole = room.state.whole;
        let place = Place::of(&free, &whole);
        room.filed = Some(place);
        let images = room.state.images.len() + room.state.coming.len();
        count(&self.examined, images as u64);
        let group = &mut self.groups[room.group];
        let by_fetches = group.by_fetches.entry(room.fetches()).or_default();
        by_fetches.insert(place, slot);
        for image in &room.state.images {
            let with_image = group.with_image.entry(image.clone()).or_default();
            with_image.insert(place, slot);
        }
        for image in &room.state.coming {
            let with_coming = group.with_coming.entry(image.clone()).or_default();
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

    fn unfile(&mut self, slot: Slot) {
        let Some(room) = self.slots[slot.0 as usize].as_mut() else {
            return;
        };
        let Some(place) = room.filed.take() else {
            return;
        };
        let group = &mut self.groups[room.group];
        if let Some(levels) = group.by_fetches.get_mut(&room.fetches()) {
            levels.remove(place, slot);
            if levels.is_empty() {
                group.by_fetches.remove(&room.fetches());
            }
        }
        for image in &room.state.images {
            unfile_image(&mut group.with_image, image, place, slot);
        }
        for image in &room.state.coming {
            unfile_image(&mut group.with_coming, image, place, slot);
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
    fn change(&mut self, slot: Slot, change: impl FnOnce(&mut Room)) {
        self.unfile(slot);
        if let Some(room) = self.slots[slot.0 as usize].as_mut() {
            change(room);
        }
        self.file(slot);
        count(&self.examined, 1);
    }

    // ---- promises of a round ----

    /// A new round: nothing is promised.
    pub fn begin_round(&mut self) {
        for slot in std::mem::take(&mut self.promised) {
            self.change(slot, |room| {
                room.held = Resources::default();
                room.kept = Resources::default();
                room.reserved = false;
            });
        }
    }

    /// Promises some of a machine.
    pub fn hold(&mut self, slot: Slot, amount: &Resources) {
        self.promised.insert(slot);
        self.change(slot, |room| room.held.add(amount));
    }

    /// Promises some of a machine to work that is on its way there.
    pub fn reserve(&mut self, slot: Slot, amount: &Resources) {
        self.promised.insert(slot);
        self.change(slot, |room| {
            room.held.add(amount);
            room.reserved = true;
        });
    }

    /// Sets some of a machine aside for expected work.
    pub fn keep(&mut self, slot: Slot, amount: &Resources) {
        self.promised.insert(slot);
        self.change(slot, |room| {
            room.held.add(amount);
            room.kept.add(amount);
            room.reserved = true;
        });
    }

    /// Gives up what is set aside for expected work.
    pub fn release_kept(&mut self, slot: Slot) {
        self.change(slot, |room| {
            let kept = std::mem::take(&mut room.kept);
            room.held.take(&kept);
        });
    }

    /// Takes back what was promised of a machine by [`Self::reserve`].
    pub fn release(&mut self, slot: Slot, amount: &Resources) {
        self.change(slot, |room| room.held.take(amount));
    }

    /// Promises all that is free of a machine.
    pub fn reserve_all(&mut self, slot: Slot) {
        if let Some(free) = self.get(slot).map(Room::free) {
            self.reserve(slot, &free);
        }
    }

    // ---- lists ----

    /// The machines on which something is expected or moves.
    pub fn reserved(&self) -> impl Iterator<Item = &MachineId> {
        let rooms = self.promised.iter().filter_map(|slot| self.get(*slot));
        rooms.filter(|room| room.reserved).map(|room| &room.id)
    }

    /// Machines with room set aside for expected work.
    pub fn kept(&self) -> impl Iterator<Item = (Slot, &Room)> {
        let rooms = self.taking_work(self.promised.iter().copied());
        rooms.filter(|(_, room)| room.kept != Resources::default())
    }

    /// Those of these machines that take work, each counted.
    fn taking_work<'a>(
        &'a self,
        slots: impl Iterator<Item = Slot> + 'a,
    ) -> impl Iterator<Item = (Slot, &'a Room)> {
        slots.filter_map(|slot| {
            count(&self.examined, 1);
            let takes = |room: &&Room| room.filed.is_some() && self.is_fresh(room);
            Some((slot, self.get(slot).filter(takes)?))
        })
    }

    /// Machines on which something is being stopped.
    pub fn freeing(&self) -> impl Iterator<Item = (Slot, &Room)> {
        self.taking_work(self.freeing.iter().copied())
    }

    /// Machines with tasks that take work, the emptiest first, from the one after
    /// `after` on.
    pub fn occupied(&self, after: Option<(f64, Slot)>) -> impl Iterator<Item = (f64, Slot, &Room)> {
        let from = after.map_or(std::ops::Bound::Unbounded, |(share, slot)| {
            std::ops::Bound::Excluded((ShareKey::new(share), slot))
        });
        let rooms = self.occupied.range((from, std::ops::Bound::Unbounded));
        let rooms = self.taking_work(rooms.map(|(_, slot)| *slot));
        rooms.map(|(slot, room)| (room.used_share(), slot, room))
    }

    /// The machines that take no work: booting, silent, faulty, leaving.
    pub fn closed(&self) -> impl Iterator<Item = &MachineId> {
        self.closed.iter().filter_map(|s| Some(&self.get(*s)?.id))
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
    pub fn contents(&self) -> (BTreeMap<MachineId, &RoomState>, BTreeSet<MachineId>) {
        let (mut open, mut closed) = (BTreeMap::new(), BTreeSet::new());
        for room in self.slots.iter().flatten() {
            if room.filed.is_some() {
                open.insert(room.id.clone(), &room.state);
            } else {
                closed.insert(room.id.clone());
            }
        }
        (open, closed)
    }
}

impl Rooms {
    /// Whether every machine is filed where it belongs, and nowhere else; the error
    /// names one that isn't. For tests.
    pub fn check(&self) -> Result<(), String> {
        let (mut filed, mut images, mut coming) = (0, 0, 0);
        for (number, room) in self.slots.iter().enumerate() {
            let slot = Slot(number as u32);
            let Some(room) = room else { continue };
            if self.closed.contains(&slot) == room.filed.is_some() {
                return Err(format!("{} is neither open nor closed", room.id));
            }
            let Some(place) = room.filed else { continue };
            let (free, whole) = (room.free(), room.state.whole);
            let expected = Place::of(&free, &whole);
            let group = &self.groups[room.group];
            let by_fetches = group.by_fetches.get(&room.fetches());
            if place != expected || !by_fetches.is_some_and(|l| l.contains(place, slot)) {
                return Err(format!("{} isn't where its free room is", room.id));
            }
            filed += 1;
            images += room.state.images.len();
            coming += room.state.coming.len();
        }
        let sum =
            |levels: &mut dyn Iterator<Item = &Levels>| levels.map(Levels::len).sum::<usize>();
        let groups = &self.groups;
        let found = [
            sum(&mut groups.iter().flat_map(|g| g.by_fetches.values())),
            sum(&mut groups.iter().flat_map(|g| g.with_image.values())),
            sum(&mut groups.iter().flat_map(|g| g.with_coming.values())),
        ];
        if found != [filed, images, coming] {
            return Err(format!(
                "filed {found:?}, expected {:?}",
                [filed, images, coming]
            ));
        }
        Ok(())
    }
}

fn unfile_image(
    by_image: &mut HashMap<Rc<str>, Levels>,
    image: &Rc<str>,
    place: Place,
    slot: Slot,
) {
    if let Some(levels) = by_image.get_mut(image) {
        levels.remove(place, slot);
        if levels.is_empty() {
            by_image.remove(image);
        }
    }
}

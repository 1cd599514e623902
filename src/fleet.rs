//! What each machine may hold, from stored assignments and ordered reports.

use crate::cloud::Offer;
use crate::faults::MachineFaults;
use crate::ids::{AgentEpoch, FencingToken, MachineId, TaskRef, Term};
use crate::placement::Resources;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Where a machine is in its life.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MachinePhase {
    /// Rented; its worker hasn't reported yet.
    Booting,
    /// Its worker has reported.
    Up,
    /// Nothing new goes there; its tasks are stopped or run out.
    Draining,
    /// Asked to be returned; gone once the cloud says 200.
    Releasing,
}

/// What the leader knows of a machine.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Its type, zone and kind.
    pub offer: Offer,
    /// What it holds in all.
    pub capacity: Resources,
    /// How much its image cache holds.
    pub image_cache_gb: f64,
    /// Where its worker takes direct commands.
    pub address: Option<String>,
    /// Where it is in its life.
    pub phase: MachinePhase,
    /// When it was rented.
    pub provisioned_ms: u64,
    /// Rented under this term, so that its boot time is known exactly.
    pub provisioned_this_term: bool,
    /// When its worker first reported to this leader.
    pub up_ms: Option<u64>,
    /// When its worker last reported.
    pub last_heartbeat_ms: u64,
    /// When a follower last renewed its lease for us.
    pub lease_proxied_ms: u64,
    /// The worker's session.
    pub agent_epoch: AgentEpoch,
    /// The number of the newest report in it.
    pub sequence: u64,
    /// The token that we give this worker.
    pub fencing_token: FencingToken,
    /// A report showed a token of our own term.
    pub fenced: bool,
    /// Since when answers seem not to reach it.
    pub unresponsive_since_ms: Option<u64>,
    /// When the cloud takes it away, by its notice.
    pub reclaim_at_ms: Option<u64>,
    /// Assigned tasks that may be on it.
    pub tasks: BTreeSet<TaskRef>,
    /// What its assigned tasks take.
    pub used: Resources,
    /// It runs something that nobody assigned.
    pub has_unassigned_tasks: bool,
    /// Most recently used last.
    cached_images: VecDeque<(Rc<str>, f64)>,
    /// Images on their way, with the tasks that wait.
    pub pulling_images: BTreeMap<Rc<str>, u32>,
    /// What failed here, without a success since.
    pub faults: MachineFaults,
    /// Since when it has had no task.
    pub idle_since_ms: Option<u64>,
    /// The list called it running.
    pub listed_running: bool,
    /// Commands on their way by the direct path.
    pub command_in_flight: bool,
    /// It may have changed since that was last asked.
    dirty: bool,
}

impl Machine {
    /// Whether its type and room are known: a stored assignment only names it.
    pub fn is_described(&self) -> bool {
        self.capacity != Resources::default()
    }

    /// A machine that was just rented or heard of.
    pub fn new(
        id: MachineId,
        offer: Offer,
        room: Resources,
        cache_gb: f64,
        term: Term,
        now_ms: u64,
    ) -> Self {
        Machine {
            id,
            offer,
            capacity: room,
            image_cache_gb: cache_gb,
            address: None,
            phase: MachinePhase::Booting,
            provisioned_ms: now_ms,
            provisioned_this_term: false,
            up_ms: None,
            last_heartbeat_ms: now_ms,
            lease_proxied_ms: 0,
            agent_epoch: AgentEpoch(0),
            sequence: 0,
            fencing_token: FencingToken::new(term, 1),
            fenced: false,
            unresponsive_since_ms: None,
            reclaim_at_ms: None,
            tasks: BTreeSet::new(),
            used: Resources::default(),
            has_unassigned_tasks: false,
            cached_images: VecDeque::new(),
            pulling_images: BTreeMap::new(),
            faults: MachineFaults::default(),
            idle_since_ms: Some(now_ms),
            listed_running: false,
            command_in_flight: false,
            dirty: false,
        }
    }

    /// What assigned tasks leave free.
    pub fn free(&self) -> Resources {
        let mut free = self.capacity;
        free.subtract(&self.used);
        free
    }

    /// Whether nothing but silence keeps tasks from being bound to it.
    pub fn is_schedulable(&self) -> bool {
        self.phase == MachinePhase::Up
            && self.fenced
            && !self.has_unassigned_tasks
            && self.unresponsive_since_ms.is_none()
            && self.reclaim_at_ms.is_none()
            && !self.faults.is_suspect()
    }

    /// Whether a task may be bound to it now.
    pub fn accepts_tasks(&self, now_ms: u64, fresh_ms: u64) -> bool {
        self.is_schedulable() && now_ms < self.last_heartbeat_ms + fresh_ms
    }

    /// The images that are there.
    pub fn images(&self) -> impl Iterator<Item = &Rc<str>> {
        self.cached_images.iter().map(|(image, _)| image)
    }

    /// A task is assigned to it.
    pub fn assign(&mut self, task: TaskRef, need: &Resources) {
        if self.tasks.insert(task) {
            self.used.add(need);
        }
        self.idle_since_ms = None;
    }

    /// A task is off it for sure.
    pub fn unassign(&mut self, task: &TaskRef, need: &Resources, now_ms: u64) {
        if self.tasks.remove(task) {
            self.used.subtract(need);
        }
        if self.tasks.is_empty() {
            // Sums of decimals must not leave dust behind.
            self.used = Resources::default();
            self.idle_since_ms.get_or_insert(now_ms);
        }
    }

    /// Whether a fetch of this image can be spared.
    pub fn has_image(&self, image: &str) -> bool {
        self.cached_images.iter().any(|(i, _)| &**i == image)
    }

    /// A task with this image runs here, so the image is at hand.
    pub fn mark_image_used(&mut self, image: &Rc<str>, gb: f64) {
        if self
            .cached_images
            .back()
            .is_some_and(|(last, _)| last == image)
        {
            return;
        }
        self.cached_images.retain(|(i, _)| i != image);
        self.cached_images.push_back((image.clone(), gb));
        let mut total: f64 = self.cached_images.iter().map(|(_, gb)| gb).sum();
        while total > self.image_cache_gb && self.cached_images.len() > 1 {
            if let Some((_, gb)) = self.cached_images.pop_front() {
                total -= gb;
            }
        }
    }

    /// Raises the token, so that whatever was sent before is refused once the
    /// worker has seen it. `None`: this term's tokens are used up.
    pub fn advance_fencing_token(&mut self) -> Option<FencingToken> {
        self.fencing_token = self.fencing_token.next()?;
        Some(self.fencing_token)
    }
}

/// All machines that the leader knows. Whoever changes one gets it from here, so
/// that what follows from machines can be kept up for those that changed.
#[derive(Default)]
pub struct Fleet {
    machines: BTreeMap<MachineId, Machine>,
    /// Machines that may have changed, or are gone, since this was last asked.
    dirty: Vec<MachineId>,
    /// Returned machines, so that lists that lag don't bring them back:
    /// name, and when it may be forgotten.
    released: BTreeMap<MachineId, u64>,
}

impl Fleet {
    /// Forgets everything.
    pub fn clear(&mut self) {
        self.machines.clear();
        self.dirty.clear();
        self.released.clear();
    }

    /// How many machines there are.
    pub fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// The machines, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values()
    }

    /// The machine of this name.
    pub fn get(&self, id: &MachineId) -> Option<&Machine> {
        self.machines.get(id)
    }

    /// The machine of this name, to be changed.
    pub fn get_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        let machine = self.machines.get_mut(id)?;
        if !std::mem::replace(&mut machine.dirty, true) {
            self.dirty.push(id.clone());
        }
        Some(machine)
    }

    /// The machine of this name, to be changed; it is added if it isn't known.
    pub fn get_or_add(&mut self, id: &MachineId, new: impl FnOnce() -> Machine) -> &mut Machine {
        let machine = self.machines.entry(id.clone()).or_insert_with(new);
        if !std::mem::replace(&mut machine.dirty, true) {
            self.dirty.push(id.clone());
        }
        machine
    }

    /// The cloud has confirmed that it is gone.
    pub fn remove(&mut self, id: &MachineId, forget_ms: u64) -> Option<Machine> {
        self.released.insert(id.clone(), forget_ms);
        self.dirty.push(id.clone());
        self.machines.remove(id)
    }

    /// The machines that may have changed, or are gone, since this was last asked.
    pub fn take_dirty(&mut self) -> Vec<MachineId> {
        let touched = std::mem::take(&mut self.dirty);
        for id in &touched {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.dirty = false;
            }
        }
        touched
    }

    /// Whether the cloud has confirmed that it is gone.
    pub fn is_released(&self, id: &MachineId) -> bool {
        self.released.contains_key(id)
    }

    /// Forgets names that no list can hold any more.
    pub fn forget_released(&mut self, now_ms: u64) {
        self.released.retain(|_, until| *until > now_ms);
    }
}

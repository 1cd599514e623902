//! A machine as the leader knows it, from stored assignments and heartbeats.

use crate::cloud::Offer;
use crate::faults::MachineFaults;
use crate::fleet::image_cache::ImageCache;
use crate::ids::{AgentEpoch, FencingToken, MachineId, TaskRef, Term};
use crate::placement::Resources;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The phase of a machine's lifecycle.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MachinePhase {
    /// Provisioned; its worker hasn't sent a heartbeat yet.
    Booting,
    /// Its worker has sent a heartbeat.
    Up,
    /// It gets no more tasks; those that it has are stopped or run to their end.
    Draining,
    /// Its release was requested; it is gone once the cloud answers 200.
    Releasing,
}

/// What the leader knows of a machine.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Its type and zone, and whether it is a spot instance.
    pub offer: Offer,
    /// What it holds in all.
    pub capacity: Resources,
    /// Where its worker takes direct commands.
    pub address: Option<String>,
    /// The phase of its lifecycle.
    pub phase: MachinePhase,
    /// When it was provisioned.
    pub provisioned_ms: u64,
    /// Provisioned in this term, so that its boot time is known exactly.
    pub provisioned_this_term: bool,
    /// When its worker last sent a heartbeat.
    pub last_heartbeat_ms: u64,
    /// When a follower last renewed its lease for the leader.
    pub lease_proxied_ms: u64,
    /// The worker's agent epoch.
    pub agent_epoch: AgentEpoch,
    /// The sequence number of the latest heartbeat in that epoch.
    pub sequence: u64,
    /// The token that commands to this worker carry.
    pub fencing_token: FencingToken,
    /// Its worker has shown a token of this term.
    pub fenced: bool,
    /// Since when starts that were sent to it have had no effect.
    pub unresponsive_since_ms: Option<u64>,
    /// When the cloud reclaims it, by its preemption notice.
    pub reclaim_at_ms: Option<u64>,
    /// Assigned tasks that may be on it.
    pub tasks: BTreeSet<TaskRef>,
    /// What its assigned tasks take.
    pub allocated: Resources,
    /// It runs a task that isn't assigned to it.
    pub has_unassigned_tasks: bool,
    /// The images that it has.
    image_cache: ImageCache,
    /// Images that are being pulled, with the number of tasks that wait for each.
    pub pulling_images: BTreeMap<Rc<str>, u32>,
    /// The failed tasks that speak against it.
    pub faults: MachineFaults,
    /// Since when it has had no task.
    pub idle_since_ms: Option<u64>,
    /// The cloud's list has shown it as running.
    pub listed_running: bool,
    /// A direct call to its worker is in flight.
    pub command_in_flight: bool,
    /// It may have changed since [`super::Fleet::take_dirty`].
    pub(super) dirty: bool,
}

impl Machine {
    /// A machine that was just provisioned or heard of.
    pub fn new(
        id: MachineId,
        offer: Offer,
        capacity: Resources,
        image_cache_gb: f64,
        term: Term,
        now_ms: u64,
    ) -> Self {
        Machine {
            id,
            offer,
            capacity,
            address: None,
            phase: MachinePhase::Booting,
            provisioned_ms: now_ms,
            provisioned_this_term: false,
            last_heartbeat_ms: now_ms,
            lease_proxied_ms: 0,
            agent_epoch: AgentEpoch(0),
            sequence: 0,
            fencing_token: FencingToken::new(term, 1),
            fenced: false,
            unresponsive_since_ms: None,
            reclaim_at_ms: None,
            tasks: BTreeSet::new(),
            allocated: Resources::default(),
            has_unassigned_tasks: false,
            image_cache: ImageCache::new(image_cache_gb),
            pulling_images: BTreeMap::new(),
            faults: MachineFaults::default(),
            idle_since_ms: Some(now_ms),
            listed_running: false,
            command_in_flight: false,
            dirty: false,
        }
    }

    /// Whether its type and capacity are known: a stored assignment only names it.
    pub fn is_described(&self) -> bool {
        self.capacity != Resources::default()
    }

    /// Its type and capacity have become known.
    pub fn describe(&mut self, offer: Offer, capacity: Resources, image_cache_gb: f64) {
        self.offer = offer;
        self.capacity = capacity;
        self.image_cache.resize(image_cache_gb);
    }

    /// What assigned tasks leave free.
    pub fn free(&self) -> Resources {
        let mut free = self.capacity;
        free.subtract(&self.allocated);
        free
    }

    /// Whether nothing but silence keeps tasks from being assigned to it.
    pub fn is_schedulable(&self) -> bool {
        self.phase == MachinePhase::Up
            && self.fenced
            && !self.has_unassigned_tasks
            && self.unresponsive_since_ms.is_none()
            && self.reclaim_at_ms.is_none()
            && !self.faults.is_suspect()
    }

    /// Whether a task may be assigned to it now: it is schedulable, and its last
    /// heartbeat isn't older than `fresh_ms`.
    pub fn accepts_tasks(&self, now_ms: u64, fresh_ms: u64) -> bool {
        self.is_schedulable() && now_ms < self.last_heartbeat_ms + fresh_ms
    }

    /// A task that takes `request` is assigned to it.
    pub fn assign(&mut self, task: TaskRef, request: &Resources) {
        if self.tasks.insert(task) {
            self.allocated.add(request);
        }
        self.idle_since_ms = None;
    }

    /// It is proven that a task is not on it.
    pub fn unassign(&mut self, task: &TaskRef, request: &Resources, now_ms: u64) {
        if self.tasks.remove(task) {
            self.allocated.subtract(request);
        }
        if self.tasks.is_empty() {
            // Sums of decimals must not leave rounding errors behind.
            self.allocated = Resources::default();
            self.idle_since_ms.get_or_insert(now_ms);
        }
    }

    /// The images that it has.
    pub fn images(&self) -> impl Iterator<Item = &Rc<str>> {
        self.image_cache.images()
    }

    /// Whether it has this image, so that it need not be pulled.
    pub fn has_image(&self, image: &str) -> bool {
        self.image_cache.contains(image)
    }

    /// A task with this image runs here, so the machine has the image.
    pub fn mark_image_used(&mut self, image: &Rc<str>, size_gb: f64) {
        self.image_cache.mark_used(image, size_gb);
    }

    /// Raises the fencing token, so that whatever was sent before is refused once
    /// the worker has seen it. `None`: this term's tokens are used up.
    pub fn advance_fencing_token(&mut self) -> Option<FencingToken> {
        self.fencing_token = self.fencing_token.next()?;
        Some(self.fencing_token)
    }
}

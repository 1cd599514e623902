//! The leader's view of a machine, derived from stored assignments and heartbeats.

use crate::cloud::Offer;
use crate::faults::MachineFaults;
use crate::fleet::image_cache::ImageCache;
use crate::ids::{AgentEpoch, FencingToken, JobId, MachineId, TaskRef, Term};
use crate::placement::Resources;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// The phase of a machine's lifecycle.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum MachinePhase {
    /// The machine is provisioned, and its worker hasn't sent a heartbeat yet.
    Booting,
    /// The machine's worker has sent a heartbeat.
    Up,
    /// The machine gets no more tasks. Its tasks are stopped or run to completion.
    Draining,
    /// The release of the machine was requested. The machine is removed once the cloud
    /// responds with 200.
    Releasing,
}

/// Start commands without effect on a machine whose worker sends heartbeats.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct IgnoredStarts {
    /// When the leader noticed that a start command had no effect.
    pub since_ms: u64,
    /// A fencing token that was raised then. A worker that reports it receives commands again.
    pub raised_token: FencingToken,
}

/// The leader's view of a machine. All `_ms` times are readings of this controller's
/// monotonic clock.
#[derive(Debug)]
pub struct Machine {
    /// The identifier that the cloud assigned to the machine.
    pub id: MachineId,
    /// The machine's type and zone, and whether it is a spot instance.
    pub offer: Offer,
    /// The machine's total resources; all zero as long as its type isn't known.
    pub capacity: Resources,
    /// The address at which the worker receives direct commands, from a heartbeat or the
    /// cloud's machine list; `None` as long as it isn't known.
    pub address: Option<String>,
    /// The current phase of the machine's lifecycle.
    pub phase: MachinePhase,
    /// The time at which the machine was provisioned, as far as this leader knows.
    pub provisioned_ms: u64,
    /// Whether the machine was provisioned in this term, so that its boot time is known
    /// exactly.
    pub provisioned_this_term: bool,
    /// The time at which the machine's worker last sent a heartbeat.
    pub last_heartbeat_ms: u64,
    /// The time at which a follower last renewed the worker's lease on the leader's behalf;
    /// 0 if that hasn't happened.
    pub lease_proxied_ms: u64,
    /// The agent epoch in the worker's latest heartbeat.
    pub agent_epoch: AgentEpoch,
    /// The sequence number of the latest heartbeat in that epoch.
    pub heartbeat_sequence: u64,
    /// The fencing token that commands to this worker carry.
    pub fencing_token: FencingToken,
    /// Whether the worker has acknowledged a fencing token of this term, so that it rejects
    /// commands of earlier leaders.
    pub token_acknowledged: bool,
    /// Start commands that had no effect; `None` if the worker executes them.
    pub ignored_starts: Option<IgnoredStarts>,
    /// The time at which the cloud reclaims the machine, according to its preemption notice;
    /// `None` if there is no notice.
    pub reclaim_at_ms: Option<u64>,
    /// The assigned tasks that may be on the machine. A task stays in the set until it is
    /// proven not to be on the machine.
    pub tasks: BTreeSet<TaskRef>,
    /// The sum of the requests of `tasks`.
    pub allocated: Resources,
    /// Whether the machine runs a task that isn't assigned to it.
    pub has_unassigned_tasks: bool,
    image_cache: ImageCache,
    /// The images that are being pulled, with the number of tasks that wait for each.
    pub pulling_images: BTreeMap<Rc<str>, u32>,
    /// The failed tasks that are evidence of a fault of the machine.
    pub faults: MachineFaults,
    /// The time since which the machine has had no task; `None` if it has any.
    pub idle_since_ms: Option<u64>,
    /// Whether the cloud's machine list has shown the machine as running.
    pub listed_running: bool,
    /// Whether a direct call to the worker is in flight.
    pub command_in_flight: bool,
    /// Whether the machine may have changed since the last [`super::Fleet::take_dirty`].
    pub(super) dirty: bool,
}

impl Machine {
    /// Creates a booting machine that was just provisioned or reported for the first time.
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
            heartbeat_sequence: 0,
            fencing_token: FencingToken::new(term, 1),
            token_acknowledged: false,
            ignored_starts: None,
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

    /// Returns whether the machine's type and capacity are known. A stored assignment
    /// contains only the machine's identifier.
    pub fn has_known_type(&self) -> bool {
        self.capacity != Resources::default()
    }

    /// Sets the machine's type and capacity once they are known.
    pub fn set_type(&mut self, offer: Offer, capacity: Resources, image_cache_gb: f64) {
        self.offer = offer;
        self.capacity = capacity;
        self.image_cache.resize(image_cache_gb);
    }

    /// Returns the capacity that isn't allocated to assigned tasks.
    pub fn free(&self) -> Resources {
        let mut free = self.capacity;
        free.subtract(&self.allocated);
        free
    }

    /// Returns whether the machine's worker is expected to send heartbeats: the machine has
    /// booted, and its release wasn't requested.
    pub fn expects_heartbeats(&self) -> bool {
        matches!(self.phase, MachinePhase::Up | MachinePhase::Draining)
    }

    /// Returns whether tasks may be assigned to the machine, provided that its worker sends
    /// heartbeats.
    pub fn is_schedulable(&self) -> bool {
        self.executes_starts() && !self.faults.is_suspect()
    }

    /// Returns whether a drain of the machine can be cancelled, so that it accepts tasks again.
    pub fn can_cancel_drain(&self, now_ms: u64, max_heartbeat_age_ms: u64) -> bool {
        self.phase == MachinePhase::Draining
            && self.obeys_commands()
            && !self.faults.is_suspect()
            && self.has_recent_heartbeat(now_ms, max_heartbeat_age_ms)
    }

    /// Returns whether the machine is up and would execute a start command as far as the leader
    /// knows, provided that its worker sends heartbeats.
    fn executes_starts(&self) -> bool {
        self.phase == MachinePhase::Up && self.obeys_commands()
    }

    /// Returns whether the worker executes the commands of this leader as far as it knows, and the
    /// cloud hasn't announced that it takes the machine away.
    fn obeys_commands(&self) -> bool {
        self.token_acknowledged
            && !self.has_unassigned_tasks
            && self.ignored_starts.is_none()
            && self.reclaim_at_ms.is_none()
    }

    /// Returns whether a task may be assigned to the machine now: the machine is schedulable,
    /// and its last heartbeat is less than `max_heartbeat_age_ms` old.
    pub fn accepts_tasks(&self, now_ms: u64, max_heartbeat_age_ms: u64) -> bool {
        self.is_schedulable() && self.has_recent_heartbeat(now_ms, max_heartbeat_age_ms)
    }

    /// Returns whether the machine is cordoned and nothing else keeps it from getting tasks.
    pub fn is_only_cordoned(&self, now_ms: u64, max_heartbeat_age_ms: u64) -> bool {
        self.executes_starts()
            && self.faults.is_suspect()
            && self.has_recent_heartbeat(now_ms, max_heartbeat_age_ms)
    }

    /// Returns whether a task of this job may be assigned to the machine as a probe: nothing but a
    /// cordon keeps the machine from getting tasks, and such a probe is due.
    pub fn accepts_probe(&self, job: &JobId, now_ms: u64, max_heartbeat_age_ms: u64) -> bool {
        self.is_only_cordoned(now_ms, max_heartbeat_age_ms) && self.faults.allows_probe(job, now_ms)
    }

    fn has_recent_heartbeat(&self, now_ms: u64, max_heartbeat_age_ms: u64) -> bool {
        now_ms < self.last_heartbeat_ms + max_heartbeat_age_ms
    }

    /// Assigns a task to the machine and allocates `request` for it.
    pub fn assign(&mut self, task: TaskRef, request: &Resources) {
        if self.tasks.insert(task) {
            self.allocated.add(request);
        }
        self.idle_since_ms = None;
    }

    /// Removes a task that is proven not to be on the machine, and frees its `request`.
    pub fn unassign(&mut self, task: &TaskRef, request: &Resources, now_ms: u64) {
        if self.tasks.remove(task) {
            self.allocated.subtract(request);
        }
        if self.tasks.is_empty() {
            // Resets the sum, so that rounding errors don't accumulate.
            self.allocated = Resources::default();
            self.idle_since_ms.get_or_insert(now_ms);
        }
    }

    /// Returns the images in the machine's cache, the least recently used first.
    pub fn images(&self) -> impl Iterator<Item = &Rc<str>> {
        self.image_cache.images()
    }

    /// Returns whether the image is in the machine's cache and needn't be pulled.
    pub fn has_image(&self, image: &str) -> bool {
        self.image_cache.contains(image)
    }

    /// Marks the image as cached and most recently used, because a task with the image runs
    /// on the machine.
    pub fn mark_image_used(&mut self, image: &Rc<str>, size_gb: f64) {
        self.image_cache.mark_used(image, size_gb);
    }

    /// Advances the fencing token, so that the worker rejects earlier commands once it has
    /// received the new token. Returns `None` if the term has no more tokens.
    pub fn advance_fencing_token(&mut self) -> Option<FencingToken> {
        self.fencing_token = self.fencing_token.next()?;
        Some(self.fencing_token)
    }
}

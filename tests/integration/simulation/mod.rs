//! Simulation of controllers in virtual time, with stand-ins for the key-value store,
//! the cloud and workers that follow their published protocols. Nothing sleeps, and
//! every run of a test is the same.
//!
//! An [`observer::Observer`] checks the protocol's rules throughout; a history that
//! breaks one fails the test.

mod cloud;
mod commands;
mod digest;
mod events;
mod faults;
pub mod fixtures;
mod jobs;
pub mod kv_store;
mod network;
mod nodes;
mod observation;
pub mod observer;
pub mod replica_groups;
mod settings;
mod users;
mod workers;

use cloud::Cloud;
use digest::Digest;
use events::{Event, EventQueue};
use kv_store::KvStore;
use lilacfork::messages::Reply;
use lilacfork::node::Node;
use lilacfork::reactor::Handler;
use lilacfork::settings::{AnnouncedKvStoreLimits, KvStoreLimits};
use lilacfork::tuning::Tuning;
use network::Network;
use observation::OBSERVATION_INTERVAL_MS;
use observer::{Observer, UserRequest};
use settings::CORES;
use std::collections::{BTreeMap, BTreeSet, HashMap};

pub use faults::{Delivery, FaultInjector};
pub use jobs::{array, service};
pub use settings::{settings, CANCEL_MS, LEASE_MS, SETTINGS};
pub use workers::Worker;

/// Controllers, and everything that they talk to.
pub struct Simulation {
    /// Virtual time.
    pub now: u64,
    queue: EventQueue,
    /// The controllers; one that is down is `None`.
    pub nodes: Vec<Option<Node>>,
    /// Starts and ends of each node's processes so far.
    epochs: Vec<u64>,
    /// When each node's timer is due.
    next_ticks_ms: Vec<u64>,
    network: Network,
    /// The key-value store.
    pub kv_store: KvStore,
    /// All machines that there ever were, and their workers.
    pub workers: BTreeMap<String, Worker>,
    cloud: Cloud,
    /// How long a provisioned machine boots.
    pub boot_ms: u64,
    /// The cloud answers every call with 503.
    pub cloud_unavailable: bool,
    /// The largest number of machines that the cloud provides.
    pub capacity: usize,
    /// Injects faults into the controllers' calls.
    pub fault_injector: FaultInjector,
    /// Replies to users, by the number of the request.
    pub replies: HashMap<u64, Reply>,
    last_user: u64,
    observed_requests: HashMap<u64, UserRequest>,
    pub observer: Observer,
    observed_ms: u64,
    /// Starts that workers carried out, as "time machine task #attempt".
    pub start_log: Vec<String>,
    /// How long a task runs.
    pub task_duration_ms: u64,
    /// Each task of a job runs so much longer than the one before it.
    pub stagger_ms: u64,
    /// How long an image is fetched.
    pub image_fetch_ms: u64,
    tuning: Tuning,
    /// Limits of the key-value store in the nodes' settings, if not those of
    /// [`SETTINGS`].
    state_limits: Option<KvStoreLimits>,
    /// Jobs, or single tasks, that fail on every machine.
    pub failing_jobs: BTreeSet<String>,
    /// Nodes whose processes are paused, and until when.
    pub paused_until: BTreeMap<usize, u64>,
    /// A resumed node handles responses to its calls before anything else.
    pub responses_first_on_resume: bool,
    /// Replies to heartbeats: time, node and status.
    pub heartbeat_replies: Vec<(u64, usize, u16)>,
    /// Redirects of workers: time, node and the node to which they are sent.
    pub redirects: Vec<(u64, usize, usize)>,
    /// Nodes and zones whose machines can't reach each other.
    pub partitions: Vec<(usize, String)>,
    /// The share of a core in the nodes' settings.
    cores: f64,
    handled_events: u64,
    /// Jobs whose replicas span machines and are watched.
    pub watched: BTreeMap<String, replica_groups::Watched>,
    /// Of everything that controllers send, if a digest was asked for.
    digest: Option<Digest>,
}

impl Simulation {
    /// Controllers with the settings of [`SETTINGS`].
    pub fn new(nodes: usize) -> Simulation {
        Simulation::with(nodes, CORES, Tuning::default(), None)
    }

    /// Controllers with this share of a core: with very little, their rounds take many
    /// slices.
    pub fn with_cores(nodes: usize, cores: f64) -> Simulation {
        Simulation::with(nodes, cores, Tuning::default(), None)
    }

    /// Controllers whose settings announce lower limits of the key-value store.
    pub fn announcing(nodes: usize, next: AnnouncedKvStoreLimits) -> Simulation {
        let mut limits = settings("n-0", nodes).site.kv_store;
        limits.announced = Some(next);
        Simulation::with(nodes, CORES, Tuning::default(), Some(limits))
    }

    /// Controllers with tuning of their operators.
    pub fn with_tuning(nodes: usize, options: Tuning) -> Simulation {
        Simulation::with(nodes, CORES, options, None)
    }

    fn with(
        nodes: usize,
        cores: f64,
        options: Tuning,
        state_limits: Option<KvStoreLimits>,
    ) -> Simulation {
        let mut simulation = Simulation {
            now: 0,
            queue: EventQueue::default(),
            nodes: Vec::new(),
            epochs: vec![0; nodes],
            next_ticks_ms: vec![u64::MAX; nodes],
            network: Network::default(),
            kv_store: KvStore::default(),
            workers: BTreeMap::new(),
            cloud: Cloud::default(),
            boot_ms: 4000,
            cloud_unavailable: false,
            capacity: 100,
            fault_injector: faults::no_faults(),
            replies: HashMap::new(),
            last_user: 0,
            observed_requests: HashMap::new(),
            observer: Observer::new(CANCEL_MS, &[("blue", 16.0)]),
            observed_ms: 0,
            start_log: Vec::new(),
            task_duration_ms: 3000,
            stagger_ms: 0,
            image_fetch_ms: 0,
            tuning: options,
            state_limits,
            failing_jobs: BTreeSet::new(),
            paused_until: BTreeMap::new(),
            responses_first_on_resume: false,
            heartbeat_replies: Vec::new(),
            redirects: Vec::new(),
            partitions: Vec::new(),
            cores,
            handled_events: 0,
            watched: BTreeMap::new(),
            digest: Digest::from_environment(),
        };
        for node in 0..nodes {
            simulation.nodes.push(None);
            simulation.start(node);
        }
        simulation
    }

    /// Schedules an event, at once if its time is past.
    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.queue.schedule(at_ms.max(self.now), event);
    }

    /// Handles all events that are due by then.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some((at_ms, event)) = self.queue.pop_due(until_ms) {
            self.now = at_ms;
            if let Some(event) = self.postpone_if_paused(event) {
                self.handle(event);
            }
            if self.now >= self.observed_ms + OBSERVATION_INTERVAL_MS {
                self.observe();
            }
        }
        self.now = until_ms;
        self.observe();
    }

    pub fn run_for(&mut self, duration_ms: u64) {
        self.run_until(self.now + duration_ms);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(node) => self.tick(node),
            Event::RequestArrives {
                node,
                sender,
                listener,
                request,
            } => self.deliver_request(node, sender, listener, request),
            Event::CallArrives {
                origin,
                call,
                response,
            } => self.deliver_call(origin, call, response),
            Event::CallReturns { origin, outcome } => {
                if self.epochs[origin.node] == origin.epoch {
                    self.with_node(origin.node, |node, now, effects| {
                        node.call_completed(now, origin.id, outcome, effects);
                    });
                }
            }
            Event::MachineBoots(machine) => self.machine_booted(machine),
            Event::HeartbeatDue(machine) => self.heartbeat_due(&machine),
            Event::ImageFetched { task, session } => self.image_fetched(&task, session),
            Event::TaskEnds(task) => self.task_ends(&task),
            Event::CheckpointSaved(task) => self.checkpoint_saved(&task),
            Event::LeaseExpiry => self.expire_leases(),
        }
    }
}

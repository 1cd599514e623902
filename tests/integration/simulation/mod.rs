//! Deterministic simulation of controllers in virtual time. The key-value store, the cloud
//! and the workers are simulated according to their published protocols. Nothing sleeps, and
//! every run of a test takes the same course.
//!
//! An [`observer::Observer`] checks the protocol's rules throughout the simulation; a history
//! that violates a rule fails the test.

mod cloud;
mod commands;
mod digest;
mod events;
mod faults;
pub mod fixtures;
mod jobs;
pub mod kv_store;
pub mod load_balancer;
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
pub use workers::{Worker, WorkerTask};

/// A cluster of controllers with the simulated services, workers and users around it.
/// Controllers are identified by their index in [`Simulation::nodes`].
pub struct Simulation {
    /// Virtual time in milliseconds, which starts at 0.
    pub now_ms: u64,
    queue: EventQueue,
    /// The controllers. A controller that is down is `None`.
    pub nodes: Vec<Option<Node>>,
    /// The process epoch of each controller, which increases whenever its process is started or
    /// killed.
    epochs: Vec<u64>,
    /// When the timer of each controller is due; `u64::MAX` if none is scheduled.
    next_ticks_ms: Vec<u64>,
    network: Network,
    /// The simulated key-value store, with the faults and limits that tests set.
    pub kv_store: KvStore,
    /// All machines and their workers, including released machines, by machine name.
    pub workers: BTreeMap<String, Worker>,
    cloud: Cloud,
    /// Boot time of each machine that is provisioned from now on.
    pub boot_ms: u64,
    /// While set, the cloud rejects every call with status 503.
    pub cloud_unavailable: bool,
    /// The number of unreleased machines at which the cloud rejects further provisioning orders.
    pub capacity: usize,
    /// Chooses the delivery of each call of a controller.
    pub fault_injector: FaultInjector,
    /// Replies to users, by request number.
    pub replies: HashMap<u64, Reply>,
    /// The number of the last request.
    last_request: u64,
    /// Requests of users about jobs without a reply yet, by request number.
    observed_requests: HashMap<u64, UserRequest>,
    pub observer: Observer,
    last_observation_ms: u64,
    /// When the observer last checked which jobs wait.
    last_waiting_check_ms: u64,
    /// When a fault was last injected into a call.
    last_injected_fault_ms: Option<u64>,
    /// Task starts that workers executed, as "time_ms machine task #attempt".
    pub start_log: Vec<String>,
    /// How long the first task of a job runs.
    pub task_duration_ms: u64,
    /// By how much longer each task of a job runs than the previous one.
    pub stagger_ms: u64,
    /// How long pulling an image takes; 0 if images need no pull.
    pub image_pull_ms: u64,
    tuning: Tuning,
    /// The number of controllers in the settings, if it differs from [`SETTINGS`].
    configured_controllers: Option<usize>,
    /// Limits of the key-value store in the controllers' settings, if they differ from those in
    /// [`SETTINGS`].
    kv_store_limits: Option<KvStoreLimits>,
    /// Names of jobs and of single tasks that fail on every machine.
    pub failing_jobs: BTreeSet<String>,
    /// When the paused process of each paused controller resumes.
    pub paused_until_ms: BTreeMap<usize, u64>,
    /// Whether a resumed controller handles the responses to its calls before its timer and the
    /// requests of peers.
    pub responses_first_on_resume: bool,
    /// Heartbeat responses: time in milliseconds, controller and status.
    pub heartbeat_responses: Vec<(u64, usize, u16)>,
    /// Redirects of workers: time in milliseconds, redirecting controller and target controller.
    pub redirects: Vec<(u64, usize, usize)>,
    /// Network partitions: pairs of a controller and a zone between whose machines and the
    /// controller nothing is delivered, in either direction.
    pub partitions: Vec<(usize, String)>,
    /// The share of a core in the controllers' settings.
    cores: f64,
    /// Events that controllers have handled so far.
    handled_events: u64,
    /// Trackers of the replicas of [tracked jobs](Simulation::track_replicas), by job.
    pub replicas: BTreeMap<String, replica_groups::ReplicaTracker>,
    /// Digest of everything that controllers send, if the environment requests one.
    digest: Option<Digest>,
}

impl Simulation {
    /// Creates a cluster of `nodes` controllers with the settings in [`SETTINGS`].
    pub fn new(nodes: usize) -> Simulation {
        Simulation::with(nodes, CORES, Tuning::default(), None)
    }

    /// Creates a cluster whose controllers have this share of a core. With a very small share,
    /// a scheduling round takes many slices.
    pub fn with_cores(nodes: usize, cores: f64) -> Simulation {
        Simulation::with(nodes, cores, Tuning::default(), None)
    }

    /// Creates a cluster whose settings announce lower limits of the key-value store.
    pub fn with_announced_limits(nodes: usize, announced: AnnouncedKvStoreLimits) -> Simulation {
        let mut limits = settings("n-0", nodes).site.kv_store;
        limits.announced = Some(announced);
        Simulation::with(nodes, CORES, Tuning::default(), Some(limits))
    }

    /// Creates a cluster whose controllers have this tuning by operators.
    pub fn with_tuning(nodes: usize, tuning: Tuning) -> Simulation {
        Simulation::with(nodes, CORES, tuning, None)
    }

    /// Creates a cluster of one or two controllers whose settings list no others.
    pub fn with_few_controllers(nodes: usize) -> Simulation {
        let mut simulation = Simulation::new(nodes);
        simulation.configured_controllers = Some(nodes);
        for node in 0..nodes {
            simulation.start(node);
        }
        simulation
    }

    fn with(
        nodes: usize,
        cores: f64,
        tuning: Tuning,
        kv_store_limits: Option<KvStoreLimits>,
    ) -> Simulation {
        let mut simulation = Simulation {
            now_ms: 0,
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
            last_request: 0,
            observed_requests: HashMap::new(),
            observer: Observer::new(CANCEL_MS, &[("blue", 16.0)]),
            last_observation_ms: 0,
            last_waiting_check_ms: 0,
            last_injected_fault_ms: None,
            start_log: Vec::new(),
            task_duration_ms: 3000,
            stagger_ms: 0,
            image_pull_ms: 0,
            tuning,
            configured_controllers: None,
            kv_store_limits,
            failing_jobs: BTreeSet::new(),
            paused_until_ms: BTreeMap::new(),
            responses_first_on_resume: false,
            heartbeat_responses: Vec::new(),
            redirects: Vec::new(),
            partitions: Vec::new(),
            cores,
            handled_events: 0,
            replicas: BTreeMap::new(),
            digest: Digest::from_environment(),
        };
        simulation.observer.replica_parts = simulation
            .tuning
            .replica_classes
            .iter()
            .map(|(class, parts)| (class.to_string(), parts as usize))
            .collect();
        for node in 0..nodes {
            simulation.nodes.push(None);
            simulation.start(node);
        }
        simulation
    }

    /// Schedules an event at `at_ms`, or at the current time if `at_ms` has passed.
    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.queue.schedule(at_ms.max(self.now_ms), event);
    }

    /// Advances virtual time to `until_ms` and handles all events that are due by then.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some((at_ms, event)) = self.queue.pop_due(until_ms) {
            self.now_ms = at_ms;
            if let Some(event) = self.postpone_if_paused(event) {
                self.handle(event);
            }
            if self.now_ms >= self.last_observation_ms + OBSERVATION_INTERVAL_MS {
                self.observe();
            }
        }
        self.now_ms = until_ms;
        self.observe();
    }

    /// Advances virtual time by `duration_ms`.
    pub fn run_for(&mut self, duration_ms: u64) {
        self.run_until(self.now_ms + duration_ms);
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
            Event::ImagePulled { task, agent_epoch } => self.image_pulled(&task, agent_epoch),
            Event::TaskEnds(task) => self.task_ends(&task),
            Event::CheckpointSaved(task) => self.checkpoint_saved(&task),
            Event::LeaseExpiry => self.expire_leases(),
        }
    }
}

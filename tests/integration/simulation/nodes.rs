//! Processes of the controllers: starting, killing, pausing, and handling events.

use super::events::Event;
use super::settings::settings;
use super::Simulation;
use lilacfork::messages::{Effect, Listener, Now};
use lilacfork::node::Node;
use lilacfork::reactor::Handler;
use lilacfork::settings::KvStoreLimits;
use lilacfork::tuning::Tuning;

/// The time of day at the start of virtual time, in milliseconds since the Unix epoch.
const WALL_OFFSET_MS: u64 = 1_000_000;

/// The largest fleet, in machines, in which the invariants of controllers are checked. The
/// checks would take too long in larger fleets.
const MAX_CHECKED_MACHINES: usize = 40;
/// A controller's invariants are checked once per this number of handled events. A check
/// after every event would hide state that isn't brought up to date before it is used.
const EVENTS_PER_CHECK: u64 = 3;

impl Simulation {
    /// Starts the process of a controller, with a new incarnation.
    pub fn start(&mut self, node: usize) {
        self.epochs[node] += 1;
        let incarnation = self.epochs[node] * 100 + node as u64 + 1;
        let mut settings = settings(&format!("n-{node}"), self.epochs.len());
        settings.site.limits.cores = self.cores;
        if let Some(limits) = &self.kv_store_limits {
            settings.site.kv_store = limits.clone();
        }
        if let Some(controllers) = self.configured_controllers {
            let names: Vec<String> = (0..controllers).map(|node| format!("n-{node}")).collect();
            settings.peers.retain(|peer| names.contains(&peer.name));
        }
        self.nodes[node] = Some(Node::new(settings, self.tuning.clone(), incarnation));
        self.schedule_tick(node, self.now_ms + 1);
    }

    /// Kills the process of a controller. Outcomes of its pending calls are dropped.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node] = None;
        self.epochs[node] += 1;
        self.next_ticks_ms[node] = u64::MAX;
    }

    /// Sets the operators' tuning with which controllers start from now on.
    pub fn set_tuning(&mut self, tuning: Tuning) {
        self.tuning = tuning;
    }

    /// Sets the limits of the key-value store in the settings with which controllers start from
    /// now on.
    pub fn set_kv_store_limits(&mut self, limits: KvStoreLimits) {
        self.kv_store_limits = Some(limits);
    }

    /// Returns the index of the first controller that considers itself the leader.
    pub fn leader(&self) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.as_ref().is_some_and(Node::is_leader))
    }

    /// Returns the current monotonic time and time of day, as controllers receive them.
    pub fn clock(&self) -> Now {
        Now {
            ms: self.now_ms,
            wall_ms: WALL_OFFSET_MS + self.now_ms,
        }
    }

    /// Schedules the timer of a controller, unless the timer is due by then already.
    fn schedule_tick(&mut self, node: usize, at_ms: u64) {
        if at_ms < self.next_ticks_ms[node] {
            self.next_ticks_ms[node] = at_ms;
            self.schedule(at_ms, Event::Tick(node));
        }
    }

    /// Runs the due timers of a controller, unless its next timer is due later than now.
    pub(super) fn tick(&mut self, node: usize) {
        if self.next_ticks_ms[node] <= self.now_ms {
            self.next_ticks_ms[node] = u64::MAX;
            self.with_node(node, |_, _, _| {});
        }
    }

    /// Lets a controller handle an event and then its due timers, sends the resulting messages
    /// and schedules its next timer. Does nothing if the controller is down.
    pub(super) fn with_node(
        &mut self,
        index: usize,
        handle: impl FnOnce(&mut Node, Now, &mut Vec<Effect>),
    ) {
        let now = self.clock();
        let Some(node) = self.nodes[index].as_mut() else {
            return;
        };
        let mut effects = Vec::new();
        handle(node, now, &mut effects);
        let next_ms = node.tick(now, &mut effects).max(self.now_ms + 1);
        self.check_invariants(index);
        self.apply_effects(index, effects);
        self.schedule_tick(index, next_ms);
    }

    /// Checks the invariants of a controller after every [`EVENTS_PER_CHECK`]th event.
    fn check_invariants(&mut self, index: usize) {
        self.handled_events += 1;
        let is_due = self.handled_events.is_multiple_of(EVENTS_PER_CHECK);
        if self.workers.len() > MAX_CHECKED_MACHINES || !is_due {
            return;
        }
        let checked = self.nodes[index].as_mut().map(Node::check_invariants);
        if let Some(Err(violation)) = checked {
            panic!(
                "controller {index} violates an invariant at {} ms: {violation}",
                self.now_ms
            );
        }
    }

    /// Reschedules an event for a paused process to the time at which the process resumes.
    /// Returns all other events unchanged.
    pub(super) fn postpone_if_paused(&mut self, event: Event) -> Option<Event> {
        let resumes_ms = event
            .node()
            .and_then(|node| self.paused_until_ms.get(&node));
        let resumes_ms = resumes_ms
            .copied()
            .filter(|resumes_ms| self.now_ms < *resumes_ms);
        let Some(resumes_ms) = resumes_ms else {
            return Some(event);
        };
        // A resumed process may read its sockets in any order. In the simulation it reads those
        // of users and workers first.
        let is_first = match &event {
            Event::RequestArrives { listener, .. } => *listener == Listener::Client,
            Event::CallReturns { .. } => self.responses_first_on_resume,
            _ => false,
        };
        self.schedule(resumes_ms + u64::from(!is_first), event);
        None
    }
}

//! The controllers' processes: start, end, pause, and what each is given to handle.

use super::events::Event;
use super::settings::settings;
use super::Simulation;
use lilacfork::messages::{Effect, Listener, Now};
use lilacfork::node::Node;
use lilacfork::reactor::Handler;
use lilacfork::settings::KvStoreLimits;
use lilacfork::tuning::Tuning;

/// What the wall clock shows when virtual time begins.
const WALL_OFFSET_MS: u64 = 1_000_000;

/// In fleets of at most so many machines a node's invariants are checked, after one of
/// so many events. Checking them after every event would take too long in a large
/// fleet, and hide what isn't brought up to date before it is used.
const MAX_CHECKED_MACHINES: usize = 40;
const EVENTS_PER_CHECK: u64 = 3;

impl Simulation {
    /// Starts a node's process.
    pub fn start(&mut self, node: usize) {
        self.epochs[node] += 1;
        let incarnation = self.epochs[node] * 100 + node as u64 + 1;
        let mut settings = settings(&format!("n-{node}"), self.epochs.len());
        settings.site.limits.cores = self.cores;
        if let Some(limits) = &self.state_limits {
            settings.site.kv_store = limits.clone();
        }
        self.nodes[node] = Some(Node::new(settings, self.tuning.clone(), incarnation));
        self.schedule_tick(node, self.now + 1);
    }

    /// Kills a node's process; it sends nothing more.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node] = None;
        self.epochs[node] += 1;
        self.next_ticks_ms[node] = u64::MAX;
    }

    /// From now on nodes start with this tuning.
    pub fn set_tuning(&mut self, options: Tuning) {
        self.tuning = options;
    }

    /// From now on nodes start with these limits of the key-value store.
    pub fn set_state_limits(&mut self, limits: KvStoreLimits) {
        self.state_limits = Some(limits);
    }

    /// The first node that leads.
    pub fn leader(&self) -> Option<usize> {
        self.nodes
            .iter()
            .position(|node| node.as_ref().is_some_and(Node::is_leader))
    }

    /// The time that nodes are given.
    pub fn clock(&self) -> Now {
        Now {
            ms: self.now,
            wall: WALL_OFFSET_MS + self.now,
        }
    }

    fn schedule_tick(&mut self, node: usize, at_ms: u64) {
        if at_ms < self.next_ticks_ms[node] {
            self.next_ticks_ms[node] = at_ms;
            self.schedule(at_ms, Event::Tick(node));
        }
    }

    /// A node's timer is due, unless an earlier event has replaced it.
    pub(super) fn tick(&mut self, node: usize) {
        if self.next_ticks_ms[node] <= self.now {
            self.next_ticks_ms[node] = u64::MAX;
            self.with_node(node, |_, _, _| {});
        }
    }

    /// Lets a node that is up handle something, then its timers, and sends what it
    /// wants to send.
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
        let next_ms = node.tick(now, &mut effects).max(self.now + 1);
        self.check_invariants(index);
        self.apply_effects(index, effects);
        self.schedule_tick(index, next_ms);
    }

    fn check_invariants(&mut self, index: usize) {
        self.handled_events += 1;
        let is_due = self.handled_events.is_multiple_of(EVENTS_PER_CHECK);
        if self.workers.len() > MAX_CHECKED_MACHINES || !is_due {
            return;
        }
        let checked = self.nodes[index].as_mut().map(Node::check_invariants);
        if let Some(Err(violation)) = checked {
            panic!("node {index} at {}: {violation}", self.now);
        }
    }

    /// Postpones what a paused process would handle until it resumes.
    pub(super) fn postpone_if_paused(&mut self, event: Event) -> Option<Event> {
        let resumes_ms = event.node().and_then(|node| self.paused_until.get(&node));
        let resumes_ms = resumes_ms.copied().filter(|ms| self.now < *ms);
        let Some(resumes_ms) = resumes_ms else {
            return Some(event);
        };
        // Which socket a resumed process reads first isn't defined: here that of users
        // and workers.
        let is_first = match &event {
            Event::RequestArrives { listener, .. } => *listener == Listener::Client,
            Event::CallReturns { .. } => self.responses_first_on_resume,
            _ => false,
        };
        self.schedule(resumes_ms + u64::from(!is_first), event);
        None
    }
}

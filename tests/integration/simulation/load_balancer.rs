//! The load balancer of the protocol: probes `GET /ready` on every controller, and removes
//! and adds controllers by the results. Users' connections themselves are not simulated, only
//! when those of a controller are reset.

use super::Simulation;
use serde_json::Value;
use std::collections::VecDeque;

/// Interval between two probes of a controller.
const PROBE_INTERVAL_MS: u64 = 1000;
/// Time from a probe until its result is read. Controllers respond at once, or not at all if
/// they are down.
const PROBE_RESULT_MS: u64 = 20;
/// Failures in a row that remove a controller.
const FAILURES_IN_A_ROW: usize = 2;
/// Number of last probes among which failures are counted.
const PROBE_WINDOW: usize = 6;
/// Failures among the last probes that remove a controller.
const FAILURES_IN_WINDOW: usize = 3;
/// Successes in a row that add a removed controller again.
const SUCCESSES_IN_A_ROW: usize = 2;
/// How long a controller stays removed at least after its first removal.
const FIRST_PAUSE_MS: u64 = 3000;
const MAX_PAUSE_MS: u64 = 60_000;
/// A removal within this time after the previous one doubles the pause.
const REPEATED_REMOVAL_MS: u64 = 120_000;
/// How long a controller must have been removed until its connections are reset.
const RESET_AFTER_MS: u64 = 5000;

/// A removal of a controller. All times are virtual times.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Removal {
    pub removed_ms: u64,
    /// When the controller was added again; `None` while it is removed.
    pub added_ms: Option<u64>,
    pause_ms: u64,
}

impl Removal {
    /// Returns when the connections to the controller were reset, if that has happened by now.
    pub fn reset_ms(&self, now_ms: u64) -> Option<u64> {
        let reset_ms = self.removed_ms + RESET_AFTER_MS;
        (reset_ms <= self.added_ms.unwrap_or(now_ms)).then_some(reset_ms)
    }
}

/// The state of one controller at the load balancer.
#[derive(Clone, Default, Debug)]
struct Target {
    /// Whether each of the last probes failed, the latest one last.
    failed: VecDeque<bool>,
    removals: Vec<Removal>,
}

impl Target {
    fn is_removed(&self) -> bool {
        self.removals
            .last()
            .is_some_and(|removal| removal.added_ms.is_none())
    }

    fn record_probe(&mut self, now_ms: u64, failed: bool) {
        self.failed.push_back(failed);
        if self.failed.len() > PROBE_WINDOW {
            self.failed.pop_front();
        }
        if !self.is_removed() {
            if self.has_failed() {
                self.remove(now_ms);
            }
        } else if self.latest_are(SUCCESSES_IN_A_ROW, false) {
            self.add(now_ms);
        }
    }

    fn has_failed(&self) -> bool {
        let failures = self.failed.iter().filter(|failed| **failed).count();
        failures >= FAILURES_IN_WINDOW || self.latest_are(FAILURES_IN_A_ROW, true)
    }

    /// Returns whether the latest `count` probes all had this result.
    fn latest_are(&self, count: usize, failed: bool) -> bool {
        let latest = self.failed.iter().rev().take(count);
        self.failed.len() >= count && latest.into_iter().all(|result| *result == failed)
    }

    fn remove(&mut self, now_ms: u64) {
        let pause_ms = match self.removals.last() {
            Some(last) if now_ms < last.removed_ms + REPEATED_REMOVAL_MS => {
                (last.pause_ms * 2).min(MAX_PAUSE_MS)
            }
            _ => FIRST_PAUSE_MS,
        };
        self.removals.push(Removal {
            removed_ms: now_ms,
            added_ms: None,
            pause_ms,
        });
    }

    /// Adds the controller again unless its pause isn't over.
    fn add(&mut self, now_ms: u64) {
        if let Some(removal) = self.removals.last_mut() {
            if now_ms >= removal.removed_ms + removal.pause_ms {
                removal.added_ms = Some(now_ms);
                self.failed.clear();
            }
        }
    }
}

/// A load balancer in front of all controllers, which are healthy at first.
pub struct LoadBalancer {
    targets: Vec<Target>,
    next_probe_ms: u64,
}

impl LoadBalancer {
    /// Creates a load balancer whose first probes are sent now.
    pub fn new(sim: &Simulation) -> LoadBalancer {
        LoadBalancer {
            targets: vec![Target::default(); sim.nodes.len()],
            next_probe_ms: sim.now_ms,
        }
    }

    /// Advances virtual time by a multiple of the probe interval, and probes all controllers
    /// meanwhile.
    pub fn run_for(&mut self, sim: &mut Simulation, duration_ms: u64) {
        let until_ms = sim.now_ms + duration_ms;
        while self.next_probe_ms < until_ms {
            sim.run_until(self.next_probe_ms);
            self.probe_all(sim);
            self.next_probe_ms += PROBE_INTERVAL_MS;
        }
        sim.run_until(until_ms);
    }

    fn probe_all(&mut self, sim: &mut Simulation) {
        let probes: Vec<u64> = (0..self.targets.len())
            .map(|node| sim.request(node, "GET", "/ready", Value::Null))
            .collect();
        sim.run_for(PROBE_RESULT_MS);
        for (target, probe) in self.targets.iter_mut().zip(probes) {
            let failed = sim.status_and_state(probe).0 != 200;
            target.record_probe(sim.now_ms, failed);
        }
    }

    /// Returns whether the latest probe of a controller succeeded.
    pub fn is_ready(&self, node: usize) -> bool {
        self.targets[node].failed.back() == Some(&false)
    }

    /// Returns whether a controller is removed.
    pub fn is_removed(&self, node: usize) -> bool {
        self.targets[node].is_removed()
    }

    /// Returns all removals of a controller so far, in order.
    pub fn removals(&self, node: usize) -> &[Removal] {
        &self.targets[node].removals
    }
}

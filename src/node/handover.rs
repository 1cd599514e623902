//! When a leader hands leadership over of its own accord: its workers don't reach it,
//! or the controller that they would try next doesn't answer.

use super::peers::PeerStatus;
use super::Node;
use crate::messages::{Effect, Now};

/// What a leader knows that may make it hand over.
#[derive(Debug, Default)]
pub(super) struct Handover {
    /// Since when it has led; `None`: it doesn't.
    pub(super) led_since_ms: Option<u64>,
    /// The silent successor for which it has handed over.
    yielded_for: Option<String>,
    /// It handed over as leader, and no worker has reached it since.
    pub(super) unreached: bool,
}

impl Node {
    /// Whether none of the workers that should report to this leader itself
    /// is heard. While it leads on, nobody else may serve them.
    pub(super) fn unreachable(&self, now: Now) -> bool {
        let to_us = |zone: &str| self.forwarder_for(now, zone).is_none();
        self.scheduler.hears_no_worker(now, to_us)
    }

    pub(super) fn step_aside(&mut self, now: Now, out: &mut Vec<Effect>) {
        let mut calls = Vec::new();
        let change = self.election.yield_leadership(now, &mut calls);
        self.submit_election_calls(calls);
        if let Some(change) = change {
            self.on_leadership_change(now, change, out);
        }
    }

    /// A worker that its node doesn't answer waits for 4 s and goes on to the
    /// next one a second later; two silent nodes in a row cost it its lease.
    /// So a leader whose successor in that order has been silent for long leaves
    /// the lead, once, to one with a successor that isn't.
    pub(super) fn check_successor(&mut self, now: Now, out: &mut Vec<Effect>) {
        let lease_ms = (self.settings.site.workers.lease_s * 1000.0) as u64;
        let led_for_long = self
            .handover
            .led_since_ms
            .is_some_and(|since| now.ms > since + lease_ms);
        if !led_for_long || self.election.leadership_unconfirmed() {
            return;
        }
        let me = self.settings.node_name.as_str();
        // As nodes are numbered; the peers' list may leave this one out.
        let mut order: Vec<&str> = self
            .peer_links
            .all
            .iter()
            .map(|p| p.name.as_str())
            .collect();
        order.push(me);
        order.sort_by_key(|name| (name.len(), *name));
        let successor = |name: &str| {
            let at = order.iter().position(|n| *n == name)?;
            let next = order[(at + 1) % order.len()];
            self.peer_links.all.iter().find(|p| p.name == next)
        };
        let quiet = self.quiet_ms();
        let recent = |at: Option<u64>| at.is_some_and(|at| now.ms < at + quiet);
        let silent = |p: &PeerStatus| p.heard_ms.is_some_and(|at| now.ms > at + lease_ms);
        let exposed = successor(me).filter(|p| silent(p));
        let Some(next) = exposed.map(|p| (p.name.clone(), p.zone.clone())) else {
            self.handover.yielded_for = None;
            return;
        };
        let better = self
            .peer_links
            .all
            .iter()
            .filter(|p| recent(p.heard_ms) && recent(p.reached_ms) && recent(p.state_seen_ms))
            .any(|p| !p.unreachable && successor(&p.name).is_none_or(|s| !silent(s)));
        // One whose whole zone is silent is beyond a cut: a new leader would
        // only have to find that out again.
        let cut = !self.scheduler.hears_zone(now, &next.1);
        if better && !cut && self.handover.yielded_for.as_ref() != Some(&next.0) {
            log::info!(
                "leader steps aside: its workers' next node {} is silent",
                next.0
            );
            self.handover.yielded_for = Some(next.0);
            self.step_aside(now, out);
        }
    }
}

//! When a leader hands leadership over of its own accord: its workers don't reach it,
//! or the controller that they would try next is silent.

use super::peers::Peer;
use super::Node;
use crate::messages::{Effect, Now};

/// What may make a leader hand over.
#[derive(Debug, Default)]
pub(super) struct Handover {
    /// When this node was elected; `None`: it doesn't lead.
    elected_ms: Option<u64>,
    /// The silent successor because of which this node has handed over.
    handed_over_for: Option<String>,
    /// This node handed over as leader, and no worker has reached it since.
    unreached: bool,
}

impl Handover {
    pub(super) fn on_elected(&mut self, now: Now) {
        self.elected_ms = Some(now.ms);
    }

    pub(super) fn on_deposed(&mut self) {
        self.elected_ms = None;
    }

    /// A worker reaches this node.
    pub(super) fn on_worker_heartbeat(&mut self) {
        self.unreached = false;
    }

    /// Whether the peers are told that no worker reaches this node, since it handed
    /// over for that.
    pub(super) fn reports_unreached(&self) -> bool {
        self.unreached
    }

    fn has_led_for(&self, now: Now, period_ms: u64) -> bool {
        self.elected_ms.is_some_and(|at| now.ms > at + period_ms)
    }
}

impl Node {
    /// Whether none of the workers that should report to this leader itself is heard.
    /// While it leads on, no other controller may serve them.
    pub(super) fn unreached_by_workers(&self, now: Now) -> bool {
        let reports_to_us = |zone: &str| self.forwarder_for(now, zone).is_none();
        self.scheduler.receives_no_heartbeats(now, reports_to_us)
    }

    /// Hands over because workers of this leader reach a peer and not this leader, nor
    /// do its commands reach them.
    pub(super) fn hand_over_if_unreached(
        &mut self,
        now: Now,
        reached: &str,
        effects: &mut Vec<Effect>,
    ) {
        if !self.election.is_leader() || self.election.leadership_unconfirmed() {
            return;
        }
        log::error!("leader hands over reason=\"its workers reach only a peer\" node={reached}");
        self.handover.unreached = true;
        self.hand_over(now, effects);
    }

    fn hand_over(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let mut calls = Vec::new();
        let change = self.election.yield_leadership(now, &mut calls);
        self.apply_election_effects(now, calls, change, effects);
    }

    /// A worker waits 4 s for a node that doesn't respond and tries the next one a
    /// second later; two silent nodes in a row cost it its lease. So a leader whose
    /// successor in that order has been silent for a lease hands over, once, to a
    /// controller with a successor that isn't.
    pub(super) fn check_successor(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let lease_ms = self.worker_lease_ms();
        if !self.handover.has_led_for(now, lease_ms) || self.election.leadership_unconfirmed() {
            return;
        }
        let order = self.worker_retry_order();
        let silent_successor = self
            .successor(&order, &self.settings.node_name)
            .filter(|peer| peer.silent_for(now, lease_ms));
        let Some(successor) = silent_successor else {
            self.handover.handed_over_for = None;
            return;
        };
        let name = successor.name.clone();
        // A successor whose whole zone is silent is beyond a network partition, and a
        // new leader would only have to detect that again.
        let zone_heard = self
            .scheduler
            .receives_heartbeats_from_zone(now, &successor.zone);
        let already_handed_over = self.handover.handed_over_for.as_ref() == Some(&name);
        if zone_heard && !already_handed_over && self.has_better_candidate(now, &order) {
            log::info!(
                "leader hands over reason=\"the node that workers try next is silent\" node={name}"
            );
            self.handover.handed_over_for = Some(name);
            self.hand_over(now, effects);
        }
    }

    /// All controllers in the order in which workers try them: as they are numbered.
    /// The settings' list of peers may leave this node out.
    fn worker_retry_order(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.peers.iter().map(|peer| peer.name.as_str()).collect();
        names.push(&self.settings.node_name);
        names.sort_by_key(|name| (name.len(), *name));
        names
    }

    /// The controller after this one in that order, if it is a peer.
    fn successor(&self, order: &[&str], name: &str) -> Option<&Peer> {
        let position = order.iter().position(|node| *node == name)?;
        self.peers.find(order[(position + 1) % order.len()])
    }

    /// Whether a peer could lead that is reachable and has no silent successor.
    fn has_better_candidate(&self, now: Now, order: &[&str]) -> bool {
        let silence_ms = self.peers.silence_ms();
        let lease_ms = self.worker_lease_ms();
        self.peers
            .iter()
            .filter(|peer| {
                peer.heard_within(now, silence_ms)
                    && peer.responded_within(now, silence_ms)
                    && peer.reached_store_within(now, silence_ms)
                    && !peer.unreachable_by_workers()
            })
            .any(|peer| {
                let successor = self.successor(order, &peer.name);
                successor.is_none_or(|peer| !peer.silent_for(now, lease_ms))
            })
    }
}

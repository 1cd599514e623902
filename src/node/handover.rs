//! Voluntary handover of leadership. A leader hands over if its workers can't reach it,
//! or if the controller that workers would try next is unresponsive.

use super::peer::Peer;
use super::Node;
use crate::messages::{Effect, Now};

/// The state on which a leader's decision to hand over depends.
#[derive(Debug, Default)]
pub(super) struct Handover {
    /// When this controller was elected; `None` if it doesn't lead.
    elected_ms: Option<u64>,
    /// The unresponsive successor because of which this controller last handed over.
    /// `None` once a check as leader finds its successor responsive.
    last_handover_successor: Option<String>,
    /// Whether this controller handed over because workers could not reach it, and no
    /// worker has reached it since.
    unreachable_since_handover: bool,
}

impl Handover {
    pub(super) fn on_elected(&mut self, now: Now) {
        self.elected_ms = Some(now.ms);
    }

    pub(super) fn on_deposed(&mut self) {
        self.elected_ms = None;
    }

    /// Records that a worker's heartbeat reached this controller directly.
    pub(super) fn on_worker_heartbeat(&mut self) {
        self.unreachable_since_handover = false;
    }

    /// Returns whether heartbeats to the peers report that no worker reaches this
    /// controller. That is the case after a handover for that reason, until a worker
    /// reaches this controller again.
    pub(super) fn reports_unreachable(&self) -> bool {
        self.unreachable_since_handover
    }

    fn has_led_for(&self, now: Now, period_ms: u64) -> bool {
        self.elected_ms
            .is_some_and(|elected_ms| now.ms > elected_ms + period_ms)
    }
}

impl Node {
    /// Returns whether this leader receives no heartbeats from any of the workers that
    /// should report to it directly. While it stays leader, no other controller may
    /// serve these workers.
    pub(super) fn unreachable_by_workers(&self, now: Now) -> bool {
        let reports_directly = |zone: &str| self.forwarder_for(now, zone).is_none();
        self.scheduler.receives_no_heartbeats(now, reports_directly)
    }

    /// Hands leadership over because this leader's workers reach the peer
    /// `reached_peer` but not this leader, and its commands don't reach the workers.
    pub(super) fn hand_over_because_unreachable(
        &mut self,
        now: Now,
        reached_peer: &str,
        effects: &mut Vec<Effect>,
    ) {
        if !self.election.is_leader() || self.election.leadership_unconfirmed() {
            return;
        }
        log::error!(
            "leader hands over reason=\"workers reach a peer but not this leader\" \
             node={reached_peer}"
        );
        self.handover.unreachable_since_handover = true;
        self.hand_over(now, effects);
    }

    fn hand_over(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let mut calls = Vec::new();
        let change = self.election.yield_leadership(now, &mut calls);
        self.apply_election_effects(now, calls, change, effects);
    }

    /// Hands leadership over if the next controller in the workers' retry order has
    /// been unresponsive for a worker's lease and a better candidate exists. A worker
    /// waits 4 s for a controller that doesn't respond and tries the next one a second
    /// later, so two unresponsive controllers in a row cost the worker its lease. The
    /// leader hands over only once for the same unresponsive successor.
    pub(super) fn check_successor(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let lease_ms = self.worker_lease_ms();
        if !self.handover.has_led_for(now, lease_ms) || self.election.leadership_unconfirmed() {
            return;
        }
        let order = self.worker_retry_order();
        let unresponsive_successor = self
            .successor(&order, &self.settings.node_name)
            .filter(|peer| peer.unresponsive_for(now, lease_ms));
        let Some(successor) = unresponsive_successor else {
            self.handover.last_handover_successor = None;
            return;
        };
        let name = successor.name.clone();
        // If the successor's whole zone is unresponsive, the zone is behind a network
        // partition, which a new leader would have to detect again.
        let zone_responsive = self
            .scheduler
            .receives_heartbeats_from_zone(now, &successor.zone);
        let already_handed_over = self.handover.last_handover_successor.as_ref() == Some(&name);
        if zone_responsive && !already_handed_over && self.has_better_candidate(now, &order) {
            log::info!(
                "leader hands over reason=\"next controller in the workers' retry order is \
                 unresponsive\" node={name}"
            );
            self.handover.last_handover_successor = Some(name);
            self.hand_over(now, effects);
        }
    }

    /// Returns the names of all controllers in the order in which workers try them:
    /// by the number in the name, so shorter names come first. The settings' list of
    /// peers may leave this controller out.
    fn worker_retry_order(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self.peers.iter().map(|peer| peer.name.as_str()).collect();
        names.push(&self.settings.node_name);
        names.sort_by_key(|name| (name.len(), *name));
        names
    }

    /// Returns the controller after `name` in the retry order, if it is a peer.
    fn successor(&self, order: &[&str], name: &str) -> Option<&Peer> {
        let position = order.iter().position(|node| *node == name)?;
        self.peers.find(order[(position + 1) % order.len()])
    }

    /// Returns whether some peer is able to lead, is reachable by workers, and has no
    /// unresponsive successor.
    fn has_better_candidate(&self, now: Now, order: &[&str]) -> bool {
        let unresponsive_after_ms = self.peers.unresponsive_after_ms();
        let lease_ms = self.worker_lease_ms();
        self.peers
            .iter()
            .filter(|peer| {
                peer.sent_message_within(now, unresponsive_after_ms)
                    && peer.responded_within(now, unresponsive_after_ms)
                    && peer.reached_store_within(now, unresponsive_after_ms)
                    && !peer.unreachable_by_workers()
            })
            .any(|peer| {
                let successor = self.successor(order, &peer.name);
                successor.is_none_or(|peer| !peer.unresponsive_for(now, lease_ms))
            })
    }
}

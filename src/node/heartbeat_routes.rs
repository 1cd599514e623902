//! The way that machines' reports take to the leader: straight, or through a
//! follower that answers them and passes them on.

use std::collections::HashMap;

/// A machine that a follower doesn't serve stays with the leader for so many
/// leases before it is sent there again: the attempt costs it most of a lease.
const RETRY_LEASES: u64 = 6;

/// What the leader knows of one machine's way.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum HeartbeatRoute {
    /// It was sent to this peer, or its report came through it, at that time.
    Through { peer: usize, at_ms: u64 },
    /// It came back from a follower that doesn't serve it.
    Kept { until_ms: u64 },
}

/// The leader's knowledge of all machines' ways. It holds for one term.
#[derive(Debug)]
pub(super) struct HeartbeatRoutes {
    lease_ms: u64,
    routes: HashMap<String, HeartbeatRoute>,
}

impl HeartbeatRoutes {
    /// Nothing is known yet.
    pub(super) fn new(lease_ms: u64) -> HeartbeatRoutes {
        HeartbeatRoutes {
            lease_ms,
            routes: HashMap::new(),
        }
    }

    /// A peer passed on a report of this machine.
    pub(super) fn passed_on(&mut self, now_ms: u64, machine: &str, peer: usize) {
        let route = HeartbeatRoute::Through {
            peer,
            at_ms: now_ms,
        };
        match self.routes.get_mut(machine) {
            Some(known) => *known = route,
            None => {
                self.routes.insert(machine.to_string(), route);
            }
        }
    }

    /// A machine reports to the leader itself: whether it is to be sent to this
    /// peer. One that was there within a lease has come back because the peer
    /// doesn't answer it, whatever the leader hears of that peer.
    pub(super) fn send_to(&mut self, now_ms: u64, machine: &str, peer: usize) -> bool {
        let lease_ms = self.lease_ms;
        match self.routes.get(machine) {
            Some(HeartbeatRoute::Kept { until_ms }) if now_ms < *until_ms => return false,
            Some(HeartbeatRoute::Through {
                peer: before,
                at_ms,
            }) if *before == peer && now_ms < at_ms + lease_ms => {
                let until_ms = now_ms + RETRY_LEASES * lease_ms;
                self.routes
                    .insert(machine.to_string(), HeartbeatRoute::Kept { until_ms });
                return false;
            }
            _ => {}
        }
        self.passed_on(now_ms, machine, peer);
        true
    }

    /// Forgets what no longer matters.
    pub(super) fn forget_old(&mut self, now_ms: u64) {
        let lease_ms = self.lease_ms;
        self.routes.retain(|_, route| match route {
            HeartbeatRoute::Through { at_ms, .. } => now_ms < *at_ms + lease_ms,
            HeartbeatRoute::Kept { until_ms } => now_ms < *until_ms,
        });
    }

    /// Another term begins.
    pub(super) fn clear(&mut self) {
        self.routes.clear();
    }
}

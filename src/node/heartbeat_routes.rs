//! How each machine's heartbeats reach the leader: directly, or through a follower
//! that responds to them and forwards them.

use std::collections::HashMap;

/// A machine that a follower doesn't serve reports to the leader for so many leases
/// before it is redirected again: the attempt costs it most of a lease.
const RETRY_LEASES: u64 = 6;

/// The route of one machine's heartbeats.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum HeartbeatRoute {
    /// The machine was redirected to this peer, or the peer forwarded a heartbeat of
    /// it, at that time.
    ViaPeer { peer: usize, at_ms: u64 },
    /// It came back from a follower that doesn't serve it.
    Direct { until_ms: u64 },
}

/// The routes of all machines' heartbeats, as the leader of one term knows them.
#[derive(Debug)]
pub(super) struct HeartbeatRoutes {
    lease_ms: u64,
    routes: HashMap<String, HeartbeatRoute>,
}

impl HeartbeatRoutes {
    /// No routes are known yet.
    pub(super) fn new(lease_ms: u64) -> HeartbeatRoutes {
        HeartbeatRoutes {
            lease_ms,
            routes: HashMap::new(),
        }
    }

    /// A peer forwarded a heartbeat of this machine.
    pub(super) fn record_forwarded(&mut self, now_ms: u64, machine: &str, peer: usize) {
        let route = HeartbeatRoute::ViaPeer {
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

    /// Whether a machine that reports to the leader is to be redirected to this peer;
    /// if so, that is recorded. A machine that was there within a lease has come back
    /// because the peer doesn't respond to it, whatever the leader hears of that peer.
    pub(super) fn should_redirect(&mut self, now_ms: u64, machine: &str, peer: usize) -> bool {
        match self.routes.get(machine) {
            Some(HeartbeatRoute::Direct { until_ms }) if now_ms < *until_ms => return false,
            Some(HeartbeatRoute::ViaPeer {
                peer: previous,
                at_ms,
            }) if *previous == peer && now_ms < at_ms + self.lease_ms => {
                let until_ms = now_ms + RETRY_LEASES * self.lease_ms;
                self.routes
                    .insert(machine.to_string(), HeartbeatRoute::Direct { until_ms });
                return false;
            }
            _ => {}
        }
        self.record_forwarded(now_ms, machine, peer);
        true
    }

    /// Removes routes that no longer matter.
    pub(super) fn remove_expired(&mut self, now_ms: u64) {
        let lease_ms = self.lease_ms;
        self.routes.retain(|_, route| match route {
            HeartbeatRoute::ViaPeer { at_ms, .. } => now_ms < *at_ms + lease_ms,
            HeartbeatRoute::Direct { until_ms } => now_ms < *until_ms,
        });
    }

    /// Another term begins.
    pub(super) fn clear(&mut self) {
        self.routes.clear();
    }
}

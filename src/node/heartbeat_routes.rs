//! The leader's record of how each machine's heartbeats reach it: directly, or through a
//! follower that responds to the heartbeats and forwards them.

use std::collections::HashMap;

/// Number of leases for which a machine that a follower didn't serve reports directly to
/// the leader before the leader redirects the machine again. A failed redirect costs the
/// machine most of a lease.
const REDIRECT_RETRY_LEASES: u64 = 6;

/// The route of one machine's heartbeats.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum HeartbeatRoute {
    /// The leader redirected the machine to this peer, or the peer forwarded one of the
    /// machine's heartbeats, last at `last_used_ms`.
    ViaPeer { peer: usize, last_used_ms: u64 },
    /// The machine returned from a follower that didn't respond to it, and is not
    /// redirected until `until_ms`.
    Direct { until_ms: u64 },
}

/// The routes of all machines' heartbeats in the current leader's term.
#[derive(Debug)]
pub(super) struct HeartbeatRoutes {
    lease_ms: u64,
    routes: HashMap<String, HeartbeatRoute>,
}

impl HeartbeatRoutes {
    /// Creates an empty table of routes for workers with this lease.
    pub(super) fn new(lease_ms: u64) -> HeartbeatRoutes {
        HeartbeatRoutes {
            lease_ms,
            routes: HashMap::new(),
        }
    }

    /// Records that a peer forwarded a heartbeat of this machine.
    pub(super) fn record_forwarded(&mut self, now_ms: u64, machine: &str, peer: usize) {
        let route = HeartbeatRoute::ViaPeer {
            peer,
            last_used_ms: now_ms,
        };
        match self.routes.get_mut(machine) {
            Some(known) => *known = route,
            None => {
                self.routes.insert(machine.to_string(), route);
            }
        }
    }

    /// Decides whether to redirect a machine that reports to the leader to this peer,
    /// and records the decision. A machine whose route led through the peer less than a
    /// lease ago is not redirected: the machine returned because the peer doesn't
    /// respond to it, even if the leader receives that peer's heartbeats.
    pub(super) fn should_redirect(&mut self, now_ms: u64, machine: &str, peer: usize) -> bool {
        match self.routes.get(machine) {
            Some(HeartbeatRoute::Direct { until_ms }) if now_ms < *until_ms => return false,
            Some(HeartbeatRoute::ViaPeer {
                peer: previous,
                last_used_ms,
            }) if *previous == peer && now_ms < last_used_ms + self.lease_ms => {
                let until_ms = now_ms + REDIRECT_RETRY_LEASES * self.lease_ms;
                self.routes
                    .insert(machine.to_string(), HeartbeatRoute::Direct { until_ms });
                return false;
            }
            _ => {}
        }
        self.record_forwarded(now_ms, machine, peer);
        true
    }

    /// Removes routes that no longer affect a redirect.
    pub(super) fn remove_expired(&mut self, now_ms: u64) {
        let lease_ms = self.lease_ms;
        self.routes.retain(|_, route| match route {
            HeartbeatRoute::ViaPeer { last_used_ms, .. } => now_ms < *last_used_ms + lease_ms,
            HeartbeatRoute::Direct { until_ms } => now_ms < *until_ms,
        });
    }

    /// Removes all routes at the start of a term.
    pub(super) fn clear(&mut self) {
        self.routes.clear();
    }
}

//! Bounds on the sockets and the memory of the reactor, and their division between
//! incoming and outgoing connections.

use crate::messages::Destination;

/// Share of the memory that the incomplete requests of users and workers may hold
/// together. When they hold more, each connection may still hold its equal part of this
/// share, so that they never hold more than twice the share.
const INCOMPLETE_REQUESTS_MEMORY_SHARE: f64 = 1.0 / 8.0;

const MAX_KV_CONNECTIONS: usize = 12;
const MAX_KV_WATCH_CONNECTIONS: usize = 4;
const MAX_CLOUD_CONNECTIONS: usize = 4;
const MAX_WORKER_CONNECTIONS: usize = 1;
const MAX_PEER_CONNECTIONS: usize = 2;

/// Resources of its machine that a reactor may use.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ResourceBounds {
    /// Connections open at once, incoming and outgoing together.
    pub max_connections: usize,
    /// Memory in megabytes (10^6 bytes).
    pub ram_mb: f64,
}

impl ResourceBounds {
    /// Returns how many connections to workers may be open at once. `None`: the connections
    /// reserved for key-value store, cloud and peers leave none.
    pub fn max_worker_connections(&self, peers: usize) -> Option<usize> {
        let reserved: usize = [
            Destination::KvStore,
            Destination::KvWatch,
            Destination::Cloud,
        ]
        .iter()
        .map(max_connections_to)
        .sum();
        (self.max_connections - self.max_server_connections())
            .checked_sub(reserved + peers * MAX_PEER_CONNECTIONS)
            .filter(|left| *left > 0)
    }

    /// Returns how many incoming connections may be open at once. The remaining quarter is
    /// for outgoing calls.
    pub(super) fn max_server_connections(&self) -> usize {
        self.max_connections * 3 / 4
    }

    /// Returns how many bytes incomplete requests may hold before large ones are rejected.
    pub(super) fn incomplete_request_bytes(&self) -> usize {
        (self.ram_mb * 1e6 * INCOMPLETE_REQUESTS_MEMORY_SHARE) as usize
    }
}

/// Returns how many connections to one destination may be open at once.
pub(super) fn max_connections_to(destination: &Destination) -> usize {
    match destination {
        Destination::KvStore => MAX_KV_CONNECTIONS,
        Destination::KvWatch => MAX_KV_WATCH_CONNECTIONS,
        Destination::Cloud => MAX_CLOUD_CONNECTIONS,
        Destination::Worker(_) => MAX_WORKER_CONNECTIONS,
        Destination::Peer(_) => MAX_PEER_CONNECTIONS,
    }
}

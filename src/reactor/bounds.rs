//! How many sockets and how much memory the reactor may use, and how they are
//! divided between incoming and outgoing connections.

use crate::messages::Destination;

/// Share of the memory that the unfinished requests of users and workers may hold
/// together. Above it every connection keeps its even part of that share, so that
/// they never hold more than twice as much.
const UNFINISHED_REQUESTS_SHARE: f64 = 1.0 / 8.0;

const MAX_KV_CONNECTIONS: usize = 12;
const MAX_KV_WATCH_CONNECTIONS: usize = 4;
const MAX_CLOUD_CONNECTIONS: usize = 4;
const MAX_WORKER_CONNECTIONS: usize = 1;
const MAX_PEER_CONNECTIONS: usize = 2;

/// What a reactor may use of its machine.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ResourceBounds {
    /// Sockets.
    pub max_connections: usize,
    /// Memory, in megabytes.
    pub ram_mb: f64,
}

impl ResourceBounds {
    /// How many connections to workers may be open at once. `None`: not even one
    /// is left beside those reserved for key-value store, cloud and peers.
    pub fn worker_connections(&self, peers: usize) -> Option<usize> {
        let reserved: usize = [
            Destination::KvStore,
            Destination::KvWatch,
            Destination::Cloud,
        ]
        .iter()
        .map(max_connections_to)
        .sum();
        (self.max_connections - self.server_connections())
            .checked_sub(reserved + peers * MAX_PEER_CONNECTIONS)
            .filter(|left| *left > 0)
    }

    /// How many incoming connections may be open at once. The remaining quarter is
    /// for outgoing calls.
    pub(super) fn server_connections(&self) -> usize {
        self.max_connections * 3 / 4
    }

    /// How many bytes of unfinished requests are held before large ones are refused.
    pub(super) fn unfinished_request_bytes(&self) -> usize {
        (self.ram_mb * 1e6 * UNFINISHED_REQUESTS_SHARE) as usize
    }
}

/// How many connections to one destination may be open at once.
pub(super) fn max_connections_to(destination: &Destination) -> usize {
    match destination {
        Destination::KvStore => MAX_KV_CONNECTIONS,
        Destination::KvWatch => MAX_KV_WATCH_CONNECTIONS,
        Destination::Cloud => MAX_CLOUD_CONNECTIONS,
        Destination::Worker(_) => MAX_WORKER_CONNECTIONS,
        Destination::Peer(_) => MAX_PEER_CONNECTIONS,
    }
}

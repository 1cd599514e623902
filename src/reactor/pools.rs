//! Bookkeeping of the outgoing connections to each destination and of the calls that wait
//! for one. This module does no I/O.

use super::bounds::max_connections_to;
use super::connection::ConnectionKey;
use super::connection_table::ConnectionDeadline;
use crate::messages::{Call, CallId, Destination};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// A call that hasn't been written to a connection.
pub(super) struct PendingCall {
    pub(super) id: CallId,
    pub(super) call: Call,
    pub(super) deadline_ms: u64,
}

/// The monotonic time at which a queued call fails. Ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CallDeadline {
    deadline_ms: u64,
    call: CallId,
}

/// The connections to one destination, and the calls that wait for one of them.
#[derive(Default)]
struct ConnectionPool {
    idle: Vec<ConnectionKey>,
    open: usize,
    queue: VecDeque<PendingCall>,
}

/// The connections to all destinations. Connections to key-value store, cloud and peers
/// are reserved. The workers, of which there are many, share the rest.
pub(super) struct ConnectionPools {
    pools: HashMap<Destination, ConnectionPool>,
    /// Destinations of the calls in all queues, ordered by the deadline of the call.
    queued: BTreeMap<CallDeadline, Destination>,
    max_worker_connections: usize,
    worker_connections: usize,
    /// Idle connections to workers, longest idle first.
    idle_worker_connections: BTreeSet<ConnectionDeadline>,
    /// Workers with queued calls for which no connection may be opened, because
    /// `max_worker_connections` are open and busy. One entry for each such call.
    workers_without_capacity: VecDeque<Destination>,
}

impl ConnectionPools {
    /// Creates pools without connections.
    pub(super) fn new(max_worker_connections: usize) -> ConnectionPools {
        ConnectionPools {
            pools: HashMap::new(),
            queued: BTreeMap::new(),
            max_worker_connections,
            worker_connections: 0,
            idle_worker_connections: BTreeSet::new(),
            workers_without_capacity: VecDeque::new(),
        }
    }

    /// Returns how many connections to workers may be open at once.
    pub(super) fn max_worker_connections(&self) -> usize {
        self.max_worker_connections
    }

    /// Returns whether another connection to a worker may be opened.
    pub(super) fn has_worker_capacity(&self) -> bool {
        self.worker_connections < self.max_worker_connections
    }

    /// Returns the connection to a worker that has been idle longest.
    pub(super) fn longest_idle_worker_connection(&self) -> Option<ConnectionKey> {
        self.idle_worker_connections.first().map(|idle| idle.key)
    }

    /// Removes and returns an idle connection to a destination, if there is one.
    pub(super) fn take_idle(&mut self, destination: &Destination) -> Option<ConnectionKey> {
        self.pools.get_mut(destination)?.idle.pop()
    }

    /// Returns whether the bound on open connections to the destination is reached.
    pub(super) fn is_full(&self, destination: &Destination) -> bool {
        let open = self.pools.get(destination).map_or(0, |pool| pool.open);
        open >= max_connections_to(destination)
    }

    /// Counts a newly opened connection.
    pub(super) fn on_opened(&mut self, destination: &Destination) {
        self.pools.entry(destination.clone()).or_default().open += 1;
        if matches!(destination, Destination::Worker(_)) {
            self.worker_connections += 1;
        }
    }

    /// Removes a closed connection. `deadline` is the connection's last deadline.
    pub(super) fn on_closed(&mut self, destination: &Destination, deadline: ConnectionDeadline) {
        if matches!(destination, Destination::Worker(_)) {
            self.worker_connections -= 1;
            self.idle_worker_connections.remove(&deadline);
        }
        if let Some(pool) = self.pools.get_mut(destination) {
            pool.open -= 1;
            pool.idle.retain(|key| *key != deadline.key);
        }
    }

    /// Marks a connection as idle. `deadline` is the time at which the idle connection is
    /// closed.
    pub(super) fn mark_idle(&mut self, destination: &Destination, deadline: ConnectionDeadline) {
        if let Some(pool) = self.pools.get_mut(destination) {
            pool.idle.push(deadline.key);
        }
        if matches!(destination, Destination::Worker(_)) {
            self.idle_worker_connections.insert(deadline);
        }
    }

    /// Marks a connection as busy. `deadline` is the one passed to
    /// [`mark_idle`](Self::mark_idle). A newly opened connection is busy already.
    pub(super) fn mark_busy(&mut self, deadline: ConnectionDeadline) {
        self.idle_worker_connections.remove(&deadline);
    }

    /// Queues a call until a connection to its destination is idle.
    pub(super) fn enqueue(&mut self, pending: PendingCall) {
        let destination = pending.call.destination.clone();
        let deadline = CallDeadline {
            deadline_ms: pending.deadline_ms,
            call: pending.id,
        };
        self.queued.insert(deadline, destination.clone());
        let pool = self.pools.entry(destination).or_default();
        pool.queue.push_back(pending);
    }

    /// Queues a call to a worker until the capacity to open a connection is available.
    pub(super) fn enqueue_without_capacity(&mut self, pending: PendingCall) {
        self.workers_without_capacity
            .push_back(pending.call.destination.clone());
        self.enqueue(pending);
    }

    /// Removes and returns the next worker that waits for the capacity to open a connection,
    /// if a connection may be opened or an idle one may be closed for it.
    pub(super) fn next_worker_without_capacity(&mut self) -> Option<Destination> {
        if self.has_worker_capacity() || !self.idle_worker_connections.is_empty() {
            self.workers_without_capacity.pop_front()
        } else {
            None
        }
    }

    /// Removes and returns the next queued call to a destination.
    pub(super) fn dequeue(&mut self, destination: &Destination) -> Option<PendingCall> {
        let pending = self.pools.get_mut(destination)?.queue.pop_front()?;
        self.queued.remove(&CallDeadline {
            deadline_ms: pending.deadline_ms,
            call: pending.id,
        });
        Some(pending)
    }

    /// Removes a queued call whose deadline has passed, and returns its id.
    pub(super) fn pop_expired(&mut self, now_ms: u64) -> Option<CallId> {
        let first = self.queued.first_entry()?;
        if first.key().deadline_ms > now_ms {
            return None;
        }
        let (deadline, destination) = first.remove_entry();
        if let Some(pool) = self.pools.get_mut(&destination) {
            pool.queue.retain(|pending| pending.id != deadline.call);
        }
        self.remove_unused(&destination);
        Some(deadline.call)
    }

    /// Returns the earliest deadline of the queued calls.
    pub(super) fn first_deadline_ms(&self) -> Option<u64> {
        self.queued
            .first_key_value()
            .map(|(deadline, _)| deadline.deadline_ms)
    }

    /// Removes the pool of a destination if it has no connections and no queued calls.
    pub(super) fn remove_unused(&mut self, destination: &Destination) {
        let is_unused = |pool: &ConnectionPool| pool.open == 0 && pool.queue.is_empty();
        if self.pools.get(destination).is_some_and(is_unused) {
            self.pools.remove(destination);
        }
    }
}

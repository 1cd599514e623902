//! Outgoing connections by destination, and the calls that wait for one. Nothing
//! here touches a socket.

use super::bounds::max_connections_to;
use super::connection::ConnectionKey;
use super::connection_table::ConnectionDeadline;
use crate::messages::{Call, CallId, Destination};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// A call that isn't on a connection yet.
pub(super) struct PendingCall {
    pub(super) id: CallId,
    pub(super) call: Call,
    pub(super) deadline_ms: u64,
}

/// When a queued call fails.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CallDeadline {
    at_ms: u64,
    call: CallId,
}

/// The connections to one destination.
#[derive(Default)]
struct ConnectionPool {
    idle: Vec<ConnectionKey>,
    open: usize,
    queue: VecDeque<PendingCall>,
}

/// The connections to all destinations. Key-value store, cloud and peers have
/// theirs reserved; workers, of which there are many, share the rest.
pub(super) struct ConnectionPools {
    pools: HashMap<Destination, ConnectionPool>,
    /// Calls that wait for a connection, by the time at which they fail.
    queued: BTreeMap<CallDeadline, Destination>,
    max_worker_connections: usize,
    worker_connections: usize,
    /// Connections to workers without a call, longest idle first.
    idle_workers: BTreeSet<ConnectionDeadline>,
    /// Workers to which no connection may be opened until another one is free.
    starved_workers: VecDeque<Destination>,
}

impl ConnectionPools {
    /// No connections yet.
    pub(super) fn new(max_worker_connections: usize) -> ConnectionPools {
        ConnectionPools {
            pools: HashMap::new(),
            queued: BTreeMap::new(),
            max_worker_connections,
            worker_connections: 0,
            idle_workers: BTreeSet::new(),
            starved_workers: VecDeque::new(),
        }
    }

    /// How many connections to workers may be open at once.
    pub(super) fn max_worker_connections(&self) -> usize {
        self.max_worker_connections
    }

    /// Whether another connection to a worker fits beside the open ones.
    pub(super) fn has_worker_capacity(&self) -> bool {
        self.worker_connections < self.max_worker_connections
    }

    /// The connection to a worker that has been idle longest.
    pub(super) fn longest_idle_worker(&self) -> Option<ConnectionKey> {
        self.idle_workers.first().map(|idle| idle.key)
    }

    /// Takes an idle connection to a destination, if there is one.
    pub(super) fn take_idle(&mut self, destination: &Destination) -> Option<ConnectionKey> {
        self.pools.get_mut(destination)?.idle.pop()
    }

    /// Whether as many connections to the destination are open as may be.
    pub(super) fn is_full(&self, destination: &Destination) -> bool {
        let open = self.pools.get(destination).map_or(0, |pool| pool.open);
        open >= max_connections_to(destination)
    }

    /// A connection has been opened.
    pub(super) fn opened(&mut self, destination: &Destination) {
        self.pools.entry(destination.clone()).or_default().open += 1;
        if matches!(destination, Destination::Worker(_)) {
            self.worker_connections += 1;
        }
    }

    /// A connection has been closed, at whichever deadline it had.
    pub(super) fn closed(&mut self, destination: &Destination, deadline: ConnectionDeadline) {
        if matches!(destination, Destination::Worker(_)) {
            self.worker_connections -= 1;
            self.idle_workers.remove(&deadline);
        }
        if let Some(pool) = self.pools.get_mut(destination) {
            pool.open -= 1;
            pool.idle.retain(|key| *key != deadline.key);
        }
    }

    /// A connection has no call any more; it is closed at the deadline.
    pub(super) fn became_idle(&mut self, destination: &Destination, deadline: ConnectionDeadline) {
        if let Some(pool) = self.pools.get_mut(destination) {
            pool.idle.push(deadline.key);
        }
        if matches!(destination, Destination::Worker(_)) {
            self.idle_workers.insert(deadline);
        }
    }

    /// A connection that was idle until this deadline has a call.
    pub(super) fn became_busy(&mut self, deadline: ConnectionDeadline) {
        self.idle_workers.remove(&deadline);
    }

    /// Queues a call until a connection to its destination is idle.
    pub(super) fn enqueue(&mut self, pending: PendingCall) {
        let destination = pending.call.destination.clone();
        let deadline = CallDeadline {
            at_ms: pending.deadline_ms,
            call: pending.id,
        };
        self.queued.insert(deadline, destination.clone());
        let pool = self.pools.entry(destination).or_default();
        pool.queue.push_back(pending);
    }

    /// Queues a call until any connection to a worker may be opened.
    pub(super) fn enqueue_starved(&mut self, pending: PendingCall) {
        self.starved_workers
            .push_back(pending.call.destination.clone());
        self.enqueue(pending);
    }

    /// The next worker whose calls may go on now that a connection may be opened.
    pub(super) fn next_starved(&mut self) -> Option<Destination> {
        if self.has_worker_capacity() || !self.idle_workers.is_empty() {
            self.starved_workers.pop_front()
        } else {
            None
        }
    }

    /// The next queued call to a destination.
    pub(super) fn dequeue(&mut self, destination: &Destination) -> Option<PendingCall> {
        let pending = self.pools.get_mut(destination)?.queue.pop_front()?;
        self.queued.remove(&CallDeadline {
            at_ms: pending.deadline_ms,
            call: pending.id,
        });
        Some(pending)
    }

    /// Takes a queued call whose time is over.
    pub(super) fn pop_expired(&mut self, now_ms: u64) -> Option<CallId> {
        let first = self.queued.first_entry()?;
        if first.key().at_ms > now_ms {
            return None;
        }
        let (deadline, destination) = first.remove_entry();
        if let Some(pool) = self.pools.get_mut(&destination) {
            pool.queue.retain(|pending| pending.id != deadline.call);
        }
        self.remove_unused(&destination);
        Some(deadline.call)
    }

    /// The earliest time at which a queued call fails.
    pub(super) fn first_deadline_ms(&self) -> Option<u64> {
        self.queued
            .first_key_value()
            .map(|(deadline, _)| deadline.at_ms)
    }

    /// Forgets a destination without connections and calls.
    pub(super) fn remove_unused(&mut self, destination: &Destination) {
        let is_unused = |pool: &ConnectionPool| pool.open == 0 && pool.queue.is_empty();
        if self.pools.get(destination).is_some_and(is_unused) {
            self.pools.remove(destination);
        }
    }
}

//! All open connections with the poller that watches them, and their deadlines.

use super::connection::{Connection, ConnectionKey, Role};
use polling::{PollMode, Poller};
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::TcpStream;

/// When a connection is closed unless its deadline is moved before.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionDeadline {
    pub(super) at_ms: u64,
    pub(super) key: ConnectionKey,
}

/// The open connections by key.
pub(super) struct ConnectionTable {
    poller: Poller,
    connections: HashMap<ConnectionKey, Connection>,
    deadlines: BTreeSet<ConnectionDeadline>,
    next_key: ConnectionKey,
}

impl ConnectionTable {
    /// No connections yet; the first one gets this key.
    pub(super) fn new(poller: Poller, first_key: ConnectionKey) -> ConnectionTable {
        ConnectionTable {
            poller,
            connections: HashMap::new(),
            deadlines: BTreeSet::new(),
            next_key: first_key,
        }
    }

    pub(super) fn poller(&self) -> &Poller {
        &self.poller
    }

    pub(super) fn get(&self, key: ConnectionKey) -> Option<&Connection> {
        self.connections.get(&key)
    }

    pub(super) fn get_mut(&mut self, key: ConnectionKey) -> Option<&mut Connection> {
        self.connections.get_mut(&key)
    }

    /// Adds a connection; `None`: the poller refused it.
    pub(super) fn insert(
        &mut self,
        stream: TcpStream,
        role: Role,
        deadline_ms: u64,
    ) -> Option<ConnectionKey> {
        let key = self.next_key;
        self.next_key += 1;
        let connection = Connection::new(stream, role, deadline_ms);
        let event = connection.interest.event(key);
        // Safety: `remove` deletes a connection from the poller before it is dropped.
        let added = unsafe {
            self.poller
                .add_with_mode(&connection.stream, event, PollMode::Level)
        };
        if let Err(error) = added {
            log::debug!("poller refused connection reason=\"{error}\"");
            return None;
        }
        self.deadlines.insert(ConnectionDeadline {
            at_ms: deadline_ms,
            key,
        });
        self.connections.insert(key, connection);
        Some(key)
    }

    /// Takes a connection out. Dropping it closes its socket.
    pub(super) fn remove(&mut self, key: ConnectionKey) -> Option<Connection> {
        let connection = self.connections.remove(&key)?;
        self.deadlines.remove(&ConnectionDeadline {
            at_ms: connection.deadline_ms,
            key,
        });
        let _ = self.poller.delete(&connection.stream);
        Some(connection)
    }

    /// Moves a connection's deadline.
    pub(super) fn set_deadline(&mut self, key: ConnectionKey, deadline_ms: u64) {
        if let Some(connection) = self.connections.get_mut(&key) {
            self.deadlines.remove(&ConnectionDeadline {
                at_ms: connection.deadline_ms,
                key,
            });
            connection.deadline_ms = deadline_ms;
            self.deadlines.insert(ConnectionDeadline {
                at_ms: deadline_ms,
                key,
            });
        }
    }

    /// The earliest deadline.
    pub(super) fn first_deadline(&self) -> Option<ConnectionDeadline> {
        self.deadlines.first().copied()
    }

    /// Tells the poller what a connection waits for, if that has changed.
    pub(super) fn update_interest(&mut self, key: ConnectionKey) -> io::Result<()> {
        let Some(connection) = self.connections.get_mut(&key) else {
            return Ok(());
        };
        let wanted = connection.wanted_interest();
        if connection.interest == wanted {
            return Ok(());
        }
        connection.interest = wanted;
        self.poller
            .modify_with_mode(&connection.stream, wanted.event(key), PollMode::Level)
    }

    /// The incoming connection that has been idle longest.
    pub(super) fn longest_idle_server(&self) -> Option<ConnectionKey> {
        self.deadlines
            .iter()
            .map(|deadline| deadline.key)
            .find(|key| {
                self.connections
                    .get(key)
                    .is_some_and(Connection::is_idle_server)
            })
    }
}

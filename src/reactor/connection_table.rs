//! All open connections with their deadlines, and the poller that watches them.

use super::connection::{Connection, ConnectionKey, Role};
use polling::{PollMode, Poller};
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::TcpStream;

/// The monotonic time at which a connection is closed unless its deadline is moved. Ordered
/// by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionDeadline {
    pub(super) deadline_ms: u64,
    pub(super) key: ConnectionKey,
}

/// The open connections by key, registered with the poller.
pub(super) struct ConnectionTable {
    poller: Poller,
    connections: HashMap<ConnectionKey, Connection>,
    deadlines: BTreeSet<ConnectionDeadline>,
    next_key: ConnectionKey,
}

impl ConnectionTable {
    /// Creates a table without connections. The first connection gets the key `first_key`.
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

    /// Adds a connection and returns its key, or `None` if the poller rejects the socket.
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
        // Safety: `remove` deletes a connection from the poller before the connection is dropped.
        let added = unsafe {
            self.poller
                .add_with_mode(&connection.stream, event, PollMode::Level)
        };
        if let Err(error) = added {
            log::debug!("poller rejected connection reason=\"{error}\"");
            return None;
        }
        self.deadlines
            .insert(ConnectionDeadline { deadline_ms, key });
        self.connections.insert(key, connection);
        Some(key)
    }

    /// Removes and returns a connection. Dropping the connection closes its socket.
    pub(super) fn remove(&mut self, key: ConnectionKey) -> Option<Connection> {
        let connection = self.connections.remove(&key)?;
        self.deadlines.remove(&ConnectionDeadline {
            deadline_ms: connection.deadline_ms,
            key,
        });
        let _ = self.poller.delete(&connection.stream);
        Some(connection)
    }

    /// Changes the deadline of a connection.
    pub(super) fn set_deadline(&mut self, key: ConnectionKey, deadline_ms: u64) {
        if let Some(connection) = self.connections.get_mut(&key) {
            self.deadlines.remove(&ConnectionDeadline {
                deadline_ms: connection.deadline_ms,
                key,
            });
            connection.deadline_ms = deadline_ms;
            self.deadlines
                .insert(ConnectionDeadline { deadline_ms, key });
        }
    }

    /// Returns the earliest deadline of all connections.
    pub(super) fn first_deadline(&self) -> Option<ConnectionDeadline> {
        self.deadlines.first().copied()
    }

    /// Updates the events for which the poller watches a connection, if they have changed.
    pub(super) fn update_interest(&mut self, key: ConnectionKey) -> io::Result<()> {
        let Some(connection) = self.connections.get_mut(&key) else {
            return Ok(());
        };
        let required = connection.required_interest();
        if connection.interest == required {
            return Ok(());
        }
        connection.interest = required;
        self.poller
            .modify_with_mode(&connection.stream, required.event(key), PollMode::Level)
    }

    /// Returns the incoming connection that has been idle longest.
    pub(super) fn longest_idle_server_connection(&self) -> Option<ConnectionKey> {
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

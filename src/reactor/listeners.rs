//! The two listeners, which accept connections up to the bound on incoming connections.

use super::connection::Role;
use super::{Endpoints, Reactor, IDLE_TIMEOUT_MS};
use crate::messages::{Listener, Now};
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};

// The poller's keys of the listeners.
pub(super) const CLIENT_LISTENER_KEY: usize = Listener::Client as usize;
pub(super) const PEER_LISTENER_KEY: usize = Listener::Peer as usize;
/// The smallest key that isn't a listener's.
pub(super) const FIRST_CONNECTION_KEY: usize = PEER_LISTENER_KEY + 1;

/// Most connections that a listener accepts in one turn, so that a burst of connections
/// can't starve the open ones.
const MAX_ACCEPTS_PER_TURN: usize = 32;

/// Opens a non-blocking listener. `backlog` is the number of connections that may wait to
/// be accepted. After a failover all clients may connect at once, so the backlog should be
/// as large as the bound on open connections.
fn listen(address: SocketAddrV4, backlog: usize) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::V4(address).into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// The listeners, and the number of open connections that they accepted.
pub(super) struct Listeners {
    sockets: [TcpListener; 2],
    accepting: bool,
    open_connections: usize,
    max_connections: usize,
}

impl Listeners {
    /// Opens both listeners.
    pub(super) fn open(
        endpoints: &Endpoints,
        backlog: usize,
        max_connections: usize,
    ) -> io::Result<Listeners> {
        Ok(Listeners {
            sockets: [
                listen(endpoints.client, backlog)?,
                listen(endpoints.peer, backlog)?,
            ],
            accepting: true,
            open_connections: 0,
            max_connections,
        })
    }

    /// Adds the listeners to the poller.
    ///
    /// # Safety
    ///
    /// The listeners must live as long as the poller.
    pub(super) unsafe fn register(&self, poller: &Poller) -> io::Result<()> {
        for (key, socket) in self.sockets.iter().enumerate() {
            poller.add_with_mode(socket, Event::readable(key), PollMode::Level)?;
        }
        Ok(())
    }

    /// Returns the address on which a listener accepts connections.
    pub(super) fn local_address(&self, listener: Listener) -> io::Result<SocketAddr> {
        self.sockets[listener as usize].local_addr()
    }

    fn is_full(&self) -> bool {
        self.open_connections >= self.max_connections
    }

    fn accept(&self, listener: Listener) -> io::Result<TcpStream> {
        let (stream, _) = self.sockets[listener as usize].accept()?;
        Ok(stream)
    }

    /// Stops accepting connections until a connection is closed.
    fn pause_accepting(&mut self, poller: &Poller) {
        if std::mem::replace(&mut self.accepting, false) {
            self.set_interest(poller, Event::none);
        }
    }

    /// Counts an accepted connection as closed and resumes accepting connections.
    pub(super) fn on_connection_closed(&mut self, poller: &Poller) {
        self.open_connections -= 1;
        if !std::mem::replace(&mut self.accepting, true) {
            self.set_interest(poller, Event::readable);
        }
    }

    fn set_interest(&self, poller: &Poller, interest: impl Fn(usize) -> Event) {
        for (key, socket) in self.sockets.iter().enumerate() {
            let _ = poller.modify_with_mode(socket, interest(key), PollMode::Level);
        }
    }
}

impl Reactor {
    /// Accepts connections that wait at a listener, within the bounds. Closes idle incoming
    /// connections to make room for new ones.
    pub(super) fn accept(&mut self, now: Now, listener: Listener) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if self.listeners.is_full() && !self.close_longest_idle_server_connection() {
                self.listeners.pause_accepting(self.connections.poller());
                return;
            }
            match self.listeners.accept(listener) {
                Ok(stream) => self.add_accepted(now, listener, stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    log::debug!("accept failed reason=\"{error}\"");
                    if !self.close_longest_idle_server_connection() {
                        self.listeners.pause_accepting(self.connections.poller());
                    }
                    return;
                }
            }
        }
    }

    fn add_accepted(&mut self, now: Now, listener: Listener, stream: TcpStream) {
        if stream.set_nonblocking(true).is_err() {
            return;
        }
        let _ = stream.set_nodelay(true);
        self.usage.accepted += 1;
        let deadline_ms = now.ms + IDLE_TIMEOUT_MS;
        let added = self
            .connections
            .insert(stream, Role::Server(listener), deadline_ms);
        if added.is_some() {
            self.listeners.open_connections += 1;
        }
    }

    /// Closes the incoming connection that has been idle longest. Returns false if none is
    /// idle.
    fn close_longest_idle_server_connection(&mut self) -> bool {
        let Some(key) = self.connections.longest_idle_server_connection() else {
            return false;
        };
        self.close_connection(key);
        true
    }
}

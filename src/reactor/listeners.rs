//! The two listeners, and accepting connections within the bound on them.

use super::connection::Role;
use super::{Endpoints, Reactor, IDLE_TIMEOUT_MS};
use crate::messages::{Listener, Now};
use polling::{Event, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};

/// The poller's keys of the listeners.
pub(super) const CLIENT_LISTENER_KEY: usize = Listener::Client as usize;
pub(super) const PEER_LISTENER_KEY: usize = Listener::Peer as usize;
/// The first key that is free for connections.
pub(super) const FIRST_CONNECTION_KEY: usize = PEER_LISTENER_KEY + 1;

/// At most so many connections are accepted in one turn, so that a burst of them
/// can't starve the others.
const MAX_ACCEPTS_PER_TURN: usize = 32;

/// Opens a non-blocking listener. After a failover all clients may connect at once:
/// as many as may be open may wait to be accepted.
fn listen(address: SocketAddrV4, backlog: usize) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::V4(address).into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// The listeners, and how many connections came in by them.
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
    /// The listeners have to live as long as the poller.
    pub(super) unsafe fn register(&self, poller: &Poller) -> io::Result<()> {
        for (key, socket) in self.sockets.iter().enumerate() {
            poller.add_with_mode(socket, Event::readable(key), PollMode::Level)?;
        }
        Ok(())
    }

    /// The address of a listener.
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

    /// Stops accepting until a connection is closed.
    fn pause(&mut self, poller: &Poller) {
        if std::mem::replace(&mut self.accepting, false) {
            self.set_interest(poller, Event::none);
        }
    }

    /// A connection has been closed: others can be accepted again.
    pub(super) fn connection_closed(&mut self, poller: &Poller) {
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
    /// Accepts what waits at a listener, within the bounds.
    pub(super) fn accept(&mut self, now: Now, listener: Listener) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if self.listeners.is_full() && !self.close_longest_idle_server() {
                self.listeners.pause(self.connections.poller());
                return;
            }
            match self.listeners.accept(listener) {
                Ok(stream) => self.add_accepted(now, listener, stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    log::debug!("accept failed reason=\"{error}\"");
                    if !self.close_longest_idle_server() {
                        self.listeners.pause(self.connections.poller());
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

    /// Closes the incoming connection that has been idle longest; false if none is
    /// idle.
    fn close_longest_idle_server(&mut self) -> bool {
        let Some(key) = self.connections.longest_idle_server() else {
            return false;
        };
        self.close_connection(key);
        true
    }
}

//! The sockets of a simulator process: many listeners and many links on one thread.
//!
//! The reactor of `lilacfork` has two listeners and shares connections between calls to
//! the same address. This module instead gives each of a thousand workers its own listener
//! and its own connection, so that the controllers handle as many sockets as with real
//! workers. The `lilacfork` library parses and writes the HTTP messages.

use lilacfork::http;
use lilacfork::messages::{Reply, Request};
use polling::{Event, Events, PollMode, Poller};
use serde::{Deserialize, Serialize};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeSet, HashMap};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The size of the buffer for a single read.
const READ_BYTES: usize = 64 * 1024;

/// Returns the wall-clock time in microseconds since the Unix epoch. All processes of a
/// load test run on one host, so their times are comparable.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// Identifies a received request that has not been responded to.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct RequestHandle(usize);

/// Identifies a source of calls, such as a worker. A link has at most one connection and
/// one call in flight.
pub type Link = u64;

/// A received message, or the failure of a call.
#[derive(Debug)]
pub enum Incoming {
    /// A request was received.
    Request {
        /// The listener's number, in the order in which the listeners were opened.
        listener: usize,
        /// Passed to [`Network::reply`] to send the response.
        request_handle: RequestHandle,
        /// The parsed request.
        request: Request,
    },
    /// A call was completed or has failed.
    Response {
        /// The link that made the call.
        link: Link,
        /// `None` if the connection failed, the response was malformed, or the call timed
        /// out.
        response: Option<http::Response>,
    },
}

/// The number of messages and bytes in each direction since the start of the process.
#[derive(Clone, Copy, Default, Debug, Serialize, Deserialize)]
pub struct Traffic {
    /// HTTP messages received: requests and responses.
    pub messages_in: u64,
    /// HTTP messages sent: requests and responses.
    pub messages_out: u64,
    /// Bytes read from connections.
    pub bytes_in: u64,
    /// Bytes written to connections.
    pub bytes_out: u64,
}

enum ConnectionRole {
    Server { listener: usize },
    Client { link: Link },
}

struct Connection {
    stream: TcpStream,
    role: ConnectionRole,
    remote_address: SocketAddrV4,
    connected: bool,
    /// Server: a request awaits its response. Client: a call is in flight.
    busy: bool,
    /// Client: when the call in flight times out.
    deadline_us: u64,
    input: Vec<u8>,
    output: Vec<u8>,
    wants_to_write: bool,
}

/// All sockets of one process.
pub struct Network {
    poller: Poller,
    listeners: Vec<TcpListener>,
    connections: HashMap<usize, Connection>,
    links: HashMap<Link, usize>,
    /// The deadlines of calls, in microseconds since 1970, each with its connection's key. The
    /// entry of a call remains after the call has completed.
    deadlines: BTreeSet<(u64, usize)>,
    next_key: usize,
    events: Events,
    /// Messages and failures that the next [`Network::wait`] returns.
    incoming: Vec<Incoming>,
    /// The traffic of all connections, including closed ones.
    pub traffic: Traffic,
}

/// The poller key of the first listener; the keys of connections are smaller.
const FIRST_LISTENER_KEY: usize = 1 << 40;

impl Network {
    /// Creates a network without sockets.
    pub fn new() -> io::Result<Network> {
        Ok(Network {
            poller: Poller::new()?,
            listeners: Vec::new(),
            connections: HashMap::new(),
            links: HashMap::new(),
            deadlines: BTreeSet::new(),
            next_key: 0,
            events: Events::new(),
            incoming: Vec::new(),
            traffic: Traffic::default(),
        })
    }

    /// Opens another listener on a free loopback port and returns its address.
    pub fn listen(&mut self) -> io::Result<SocketAddrV4> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        socket.bind(&SocketAddr::V4(any_port).into())?;
        socket.listen(1024)?;
        socket.set_nonblocking(true)?;
        let listener: TcpListener = socket.into();
        let key = FIRST_LISTENER_KEY + self.listeners.len();
        let interest = Event::readable(key);
        // Safety: listeners live as long as the poller, in one struct.
        unsafe {
            self.poller
                .add_with_mode(&listener, interest, PollMode::Level)?
        };
        let addr = listener.local_addr()?;
        self.listeners.push(listener);
        match addr {
            SocketAddr::V4(addr) => Ok(addr),
            SocketAddr::V6(_) => Err(io::ErrorKind::AddrNotAvailable.into()),
        }
    }

    /// Sends a request on a link; [`Network::wait`] later returns the outcome. If the link
    /// has a call in flight, that call is abandoned without an outcome and its connection
    /// is closed. If the link is connected to another address, that connection is closed, too.
    pub fn call(
        &mut self,
        link: Link,
        address: SocketAddrV4,
        method: &str,
        path: &str,
        body: &[u8],
        timeout_ms: u64,
    ) {
        let idle_key = self.links.get(&link).copied().filter(|key| {
            self.connections
                .get(key)
                .is_some_and(|connection| !connection.busy && connection.remote_address == address)
        });
        let key = match idle_key {
            Some(key) => key,
            None => {
                self.close_link(link);
                match self.connect(link, address) {
                    Ok(key) => key,
                    Err(_) => {
                        self.incoming.push(Incoming::Response {
                            link,
                            response: None,
                        });
                        return;
                    }
                }
            }
        };
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        http::write_request(&mut connection.output, method, path, "lilacfork", body);
        connection.busy = true;
        connection.deadline_us = now_us() + timeout_ms * 1000;
        self.deadlines.insert((connection.deadline_us, key));
        self.traffic.messages_out += 1;
        self.flush(key);
    }

    /// Closes the link's connection, if there is one. A call in flight is abandoned without
    /// an outcome.
    pub fn close_link(&mut self, link: Link) {
        if let Some(key) = self.links.get(&link).copied() {
            self.close_connection(key);
        }
    }

    /// Closes all connections that a listener accepted.
    pub fn close_listener_connections(&mut self, listener: usize) {
        let accepted_by_listener = |connection: &Connection| matches!(connection.role, ConnectionRole::Server { listener: l } if l == listener);
        let keys: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| accepted_by_listener(connection))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.close_connection(key);
        }
    }

    /// Sends the response to a request. If the request's connection has been closed, the
    /// response is discarded.
    pub fn reply(&mut self, request_handle: RequestHandle, reply: &Reply) {
        let Some(connection) = self.connections.get_mut(&request_handle.0) else {
            return;
        };
        connection.busy = false;
        http::write_reply(&mut connection.output, reply, false);
        self.traffic.messages_out += 1;
        self.flush(request_handle.0);
    }

    /// Waits for messages until `until_us` at the latest, and returns the messages received
    /// and the calls that failed.
    pub fn wait(&mut self, until_us: u64) -> io::Result<Vec<Incoming>> {
        let deadline_us = self
            .deadlines
            .first()
            .map_or(until_us, |(call_deadline_us, _)| {
                until_us.min(*call_deadline_us)
            });
        let mut timeout_us = deadline_us.saturating_sub(now_us());
        if !self.incoming.is_empty() {
            timeout_us = 0;
        }
        let mut events = std::mem::replace(&mut self.events, Events::new());
        events.clear();
        match self
            .poller
            .wait(&mut events, Some(Duration::from_micros(timeout_us)))
        {
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
        for event in events.iter() {
            if event.key >= FIRST_LISTENER_KEY {
                self.accept(event.key - FIRST_LISTENER_KEY);
            } else {
                self.handle_event(event);
            }
        }
        self.events = events;
        self.expire_calls();
        Ok(std::mem::take(&mut self.incoming))
    }

    /// Returns the number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Fails the calls whose deadline has passed.
    fn expire_calls(&mut self) {
        let now_us = now_us();
        while let Some((deadline_us, key)) = self
            .deadlines
            .first()
            .copied()
            .filter(|(deadline_us, _)| *deadline_us <= now_us)
        {
            self.deadlines.remove(&(deadline_us, key));
            if self
                .connections
                .get(&key)
                .is_some_and(|connection| connection.busy && connection.deadline_us == deadline_us)
            {
                self.fail_connection(key);
            }
        }
    }

    fn insert_connection(
        &mut self,
        stream: TcpStream,
        role: ConnectionRole,
        remote_address: SocketAddrV4,
    ) -> io::Result<usize> {
        let key = self.next_key;
        self.next_key += 1;
        let connected = matches!(role, ConnectionRole::Server { .. });
        let interest = Event::new(key, true, !connected);
        // Safety: a connection is deleted from the poller before it is dropped.
        unsafe {
            self.poller
                .add_with_mode(&stream, interest, PollMode::Level)?
        };
        let connection = Connection {
            stream,
            role,
            remote_address,
            connected,
            busy: false,
            deadline_us: 0,
            input: Vec::new(),
            output: Vec::new(),
            wants_to_write: !connected,
        };
        self.connections.insert(key, connection);
        Ok(key)
    }

    fn connect(&mut self, link: Link, address: SocketAddrV4) -> io::Result<usize> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&SocketAddr::V4(address).into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) => {}
            Err(e) => return Err(e),
        }
        let key =
            self.insert_connection(socket.into(), ConnectionRole::Client { link }, address)?;
        self.links.insert(link, key);
        Ok(key)
    }

    fn accept(&mut self, listener: usize) {
        while let Ok((stream, SocketAddr::V4(address))) = self.listeners[listener].accept() {
            let configured = stream
                .set_nonblocking(true)
                .and_then(|()| stream.set_nodelay(true));
            if configured.is_ok() {
                let _ =
                    self.insert_connection(stream, ConnectionRole::Server { listener }, address);
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let Some(connection) = self.connections.get_mut(&event.key) else {
            return;
        };
        if !connection.connected {
            if !matches!(connection.stream.take_error(), Ok(None)) {
                self.fail_connection(event.key);
                return;
            }
            connection.connected = event.writable;
        }
        if event.readable {
            self.read(event.key);
        }
        if event.writable {
            self.flush(event.key);
        }
    }

    fn read(&mut self, key: usize) {
        let mut buffer = [0; READ_BYTES];
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let is_closed = match connection.stream.read(&mut buffer) {
            Ok(0) => true,
            Ok(n) => {
                self.traffic.bytes_in += n as u64;
                connection.input.extend_from_slice(&buffer[..n]);
                false
            }
            Err(e) => !matches!(
                e.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
            ),
        };
        let parsed = match connection.role {
            ConnectionRole::Server { listener } if !connection.busy => {
                Self::parse_request(connection, listener, key)
            }
            ConnectionRole::Client { link } if connection.busy => {
                Self::parse_response(connection, link, is_closed)
            }
            _ => Ok(None),
        };
        match parsed {
            Ok(Some(incoming)) => {
                self.traffic.messages_in += 1;
                self.incoming.push(incoming);
                if is_closed {
                    self.close_connection(key);
                }
            }
            Ok(None) if !is_closed => {}
            _ => self.fail_connection(key),
        }
    }

    fn parse_request(
        connection: &mut Connection,
        listener: usize,
        key: usize,
    ) -> Result<Option<Incoming>, http::HttpError> {
        let Some(parsed) = http::parse_request(&connection.input, http::MAX_REQUEST_BODY_BYTES)?
        else {
            return Ok(None);
        };
        connection.input.drain(..parsed.size);
        connection.busy = true;
        Ok(Some(Incoming::Request {
            listener,
            request_handle: RequestHandle(key),
            request: parsed.message,
        }))
    }

    fn parse_response(
        connection: &mut Connection,
        link: Link,
        is_closed: bool,
    ) -> Result<Option<Incoming>, http::HttpError> {
        let Some(parsed) = http::parse_response(&connection.input, is_closed)? else {
            return Ok(None);
        };
        connection.input.drain(..parsed.size);
        connection.busy = false;
        Ok(Some(Incoming::Response {
            link,
            response: Some(parsed.message),
        }))
    }

    /// Closes a connection that failed, and reports the failure of a call in flight on it.
    fn fail_connection(&mut self, key: usize) {
        let link = match self.connections.get(&key) {
            Some(connection) if connection.busy => match connection.role {
                ConnectionRole::Client { link } => Some(link),
                ConnectionRole::Server { .. } => None,
            },
            _ => None,
        };
        self.close_connection(key);
        if let Some(link) = link {
            self.incoming.push(Incoming::Response {
                link,
                response: None,
            });
        }
    }

    fn close_connection(&mut self, key: usize) {
        let Some(connection) = self.connections.remove(&key) else {
            return;
        };
        if let ConnectionRole::Client { link } = connection.role {
            self.links.remove(&link);
        }
        let _ = self.poller.delete(&connection.stream);
    }

    fn flush(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let mut broken = false;
        while connection.connected && !connection.output.is_empty() {
            match connection.stream.write(&connection.output) {
                Ok(n) if n > 0 => {
                    self.traffic.bytes_out += n as u64;
                    connection.output.drain(..n);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                _ => {
                    broken = true;
                    break;
                }
            }
        }
        let wants_to_write = !connection.connected || !connection.output.is_empty();
        if wants_to_write != connection.wants_to_write {
            connection.wants_to_write = wants_to_write;
            let interest = Event::new(key, true, wants_to_write);
            broken |= self
                .poller
                .modify_with_mode(&connection.stream, interest, PollMode::Level)
                .is_err();
        }
        if broken {
            self.fail_connection(key);
        }
    }
}

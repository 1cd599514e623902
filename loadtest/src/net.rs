//! Sockets of a simulator process: many listeners and many links on one thread.
//!
//! The program's own reactor has two listeners and shares connections between
//! calls to one address. Here a thousand workers each have a listener and a
//! connection of their own, so that controllers see as many sockets as they
//! would of real ones. Parsing and writing of HTTP are the library's.

use lilacfork::http;
use lilacfork::messages::{Reply, Request};
use polling::{Event, Events, PollMode, Poller};
use serde::{Deserialize, Serialize};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeSet, HashMap};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How much is read at once.
const READ_BYTES: usize = 64 * 1024;

/// Microseconds since 1970: one clock for all processes of a load test.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// A request whose response its sender waits for.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct RequestHandle(usize);

/// A source of calls: each has one connection at a time.
pub type Link = u64;

/// A message that has arrived, or a call that has failed.
#[derive(Debug)]
pub enum Incoming {
    /// A request.
    Request {
        /// The number of the listener.
        listener: usize,
        /// What to respond to.
        request_handle: RequestHandle,
        /// The request.
        request: Request,
    },
    /// The outcome of a link's call.
    Response {
        /// The link.
        link: Link,
        /// The response; `None`: the call has failed.
        response: Option<http::Response>,
    },
}

/// Messages and bytes in both directions.
#[derive(Clone, Copy, Default, Debug, Serialize, Deserialize)]
pub struct Traffic {
    /// Messages received.
    pub messages_in: u64,
    /// Messages sent.
    pub messages_out: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
}

enum ConnectionRole {
    Server { listener: usize },
    Client { link: Link },
}

struct Connection {
    stream: TcpStream,
    role: ConnectionRole,
    peer: SocketAddrV4,
    connected: bool,
    /// Server: a request is being worked on. Client: a call is in flight.
    busy: bool,
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
    deadlines: BTreeSet<(u64, usize)>,
    next_key: usize,
    events: Events,
    /// What has arrived and hasn't been returned yet.
    incoming: Vec<Incoming>,
    /// Counted since the start.
    pub traffic: Traffic,
}

/// Listener keys lie above those of connections.
const FIRST_LISTENER: usize = 1 << 40;

impl Network {
    /// A network without sockets.
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

    /// Opens one more listener on loopback, at a port that is free.
    pub fn listen(&mut self) -> io::Result<SocketAddrV4> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        socket.bind(&SocketAddr::V4(any_port).into())?;
        socket.listen(1024)?;
        socket.set_nonblocking(true)?;
        let listener: TcpListener = socket.into();
        let key = FIRST_LISTENER + self.listeners.len();
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

    /// Makes a call on a link. A call that is still in flight there is dropped without
    /// an outcome, and its connection closed, as is one to another address.
    pub fn call(
        &mut self,
        link: Link,
        to: SocketAddrV4,
        method: &str,
        path: &str,
        body: &[u8],
        timeout_ms: u64,
    ) {
        let usable = self.links.get(&link).copied().filter(|key| {
            self.connections
                .get(key)
                .is_some_and(|connection| !connection.busy && connection.peer == to)
        });
        let key = match usable {
            Some(key) => key,
            None => {
                self.close_link(link);
                match self.connect(link, to) {
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

    /// Closes a link's connection, if it has one.
    pub fn close_link(&mut self, link: Link) {
        if let Some(key) = self.links.get(&link).copied() {
            self.close_connection(key);
        }
    }

    /// Closes all connections that came in by a listener.
    pub fn close_listener_connections(&mut self, listener: usize) {
        let of_listener = |connection: &Connection| matches!(connection.role, ConnectionRole::Server { listener: l } if l == listener);
        let keys: Vec<usize> = self
            .connections
            .iter()
            .filter(|(_, connection)| of_listener(connection))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.close_connection(key);
        }
    }

    /// Responds to a request.
    pub fn reply(&mut self, request_handle: RequestHandle, reply: &Reply) {
        let Some(connection) = self.connections.get_mut(&request_handle.0) else {
            return;
        };
        connection.busy = false;
        http::write_reply(&mut connection.output, reply, false);
        self.traffic.messages_out += 1;
        self.flush(request_handle.0);
    }

    /// Waits for messages until then at the latest, and returns those that arrived.
    pub fn wait(&mut self, until_us: u64) -> io::Result<Vec<Incoming>> {
        let deadline_us = self
            .deadlines
            .first()
            .map_or(until_us, |(at, _)| until_us.min(*at));
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
            if event.key >= FIRST_LISTENER {
                self.accept(event.key - FIRST_LISTENER);
            } else {
                self.ready(event);
            }
        }
        self.events = events;
        self.expire();
        Ok(std::mem::take(&mut self.incoming))
    }

    /// How many connections are open.
    pub fn open(&self) -> usize {
        self.connections.len()
    }

    fn expire(&mut self) {
        let now = now_us();
        while let Some((at, key)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, key));
            if self
                .connections
                .get(&key)
                .is_some_and(|connection| connection.busy && connection.deadline_us == at)
            {
                self.fail(key);
            }
        }
    }

    fn insert(
        &mut self,
        stream: TcpStream,
        role: ConnectionRole,
        peer: SocketAddrV4,
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
            peer,
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

    fn connect(&mut self, link: Link, to: SocketAddrV4) -> io::Result<usize> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&SocketAddr::V4(to).into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(libc::EINPROGRESS) => {}
            Err(e) => return Err(e),
        }
        let key = self.insert(socket.into(), ConnectionRole::Client { link }, to)?;
        self.links.insert(link, key);
        Ok(key)
    }

    fn accept(&mut self, listener: usize) {
        while let Ok((stream, SocketAddr::V4(peer))) = self.listeners[listener].accept() {
            let configured = stream
                .set_nonblocking(true)
                .and_then(|()| stream.set_nodelay(true));
            if configured.is_ok() {
                let _ = self.insert(stream, ConnectionRole::Server { listener }, peer);
            }
        }
    }

    fn ready(&mut self, event: Event) {
        let Some(connection) = self.connections.get_mut(&event.key) else {
            return;
        };
        if !connection.connected {
            if !matches!(connection.stream.take_error(), Ok(None)) {
                self.fail(event.key);
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
        let ended = match connection.stream.read(&mut buffer) {
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
                Self::parse_response(connection, link, ended)
            }
            _ => Ok(None),
        };
        match parsed {
            Ok(Some(incoming)) => {
                self.traffic.messages_in += 1;
                self.incoming.push(incoming);
                if ended {
                    self.close_connection(key);
                }
            }
            Ok(None) if !ended => {}
            _ => self.fail(key),
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
        ended: bool,
    ) -> Result<Option<Incoming>, http::HttpError> {
        let Some(parsed) = http::parse_response(&connection.input, ended)? else {
            return Ok(None);
        };
        connection.input.drain(..parsed.size);
        connection.busy = false;
        Ok(Some(Incoming::Response {
            link,
            response: Some(parsed.message),
        }))
    }

    /// A connection has failed: so has a call in flight on it.
    fn fail(&mut self, key: usize) {
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
            self.fail(key);
        }
    }
}

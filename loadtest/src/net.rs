//! Sockets of a hollow part: many listeners and many links on one thread.
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

/// The most that is read at once.
const READ_BYTES: usize = 64 * 1024;
/// The error number of a connection that is under way.
const IN_PROGRESS: i32 = 115;

/// Microseconds since 1970: one clock for all processes of a run.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// A connection on which somebody waits for an answer.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct Asker(usize);

/// Who makes calls: each has one connection at a time.
pub type Link = u64;

/// What came in.
#[derive(Debug)]
pub enum Incoming {
    /// A request, by the listener of this number.
    Request {
        /// The listener.
        listener: usize,
        /// Who waits for the answer.
        asker: Asker,
        /// The request.
        request: Request,
    },
    /// The answer to a link's call; `None`: there won't be one.
    Answer {
        /// The link.
        link: Link,
        /// Status and body.
        answer: Option<http::Response>,
    },
}

/// Messages and bytes, both ways.
#[derive(Clone, Copy, Default, Debug, Serialize, Deserialize)]
pub struct Traffic {
    /// Messages taken.
    pub messages_in: u64,
    /// Messages sent.
    pub messages_out: u64,
    /// Bytes taken.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
}

enum Role {
    Server { listener: usize },
    Client { link: Link },
}

struct Conn {
    stream: TcpStream,
    role: Role,
    peer: SocketAddrV4,
    connected: bool,
    /// Server: a request is being worked on. Client: a call is in flight.
    busy: bool,
    deadline_us: u64,
    input: Vec<u8>,
    output: Vec<u8>,
    writes: bool,
}

/// All sockets of one process.
pub struct Net {
    poller: Poller,
    listeners: Vec<TcpListener>,
    conns: HashMap<usize, Conn>,
    links: HashMap<Link, usize>,
    deadlines: BTreeSet<(u64, usize)>,
    next_key: usize,
    events: Events,
    /// What came in and waits to be taken.
    incoming: Vec<Incoming>,
    /// Counted since the start.
    pub traffic: Traffic,
}

/// Listener keys lie above those of connections.
const FIRST_LISTENER: usize = 1 << 40;

impl Net {
    /// No sockets yet.
    pub fn new() -> io::Result<Net> {
        Ok(Net {
            poller: Poller::new()?,
            listeners: Vec::new(),
            conns: HashMap::new(),
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

    /// Makes a call on a link. A call that is still in flight there is given up
    /// without a word, as is the connection if it leads elsewhere.
    pub fn call(
        &mut self,
        link: Link,
        to: SocketAddrV4,
        method: &str,
        path: &str,
        body: &[u8],
        timeout_ms: u64,
    ) {
        let usable = self
            .links
            .get(&link)
            .copied()
            .filter(|key| self.conns.get(key).is_some_and(|c| !c.busy && c.peer == to));
        let key = match usable {
            Some(key) => key,
            None => {
                self.close_link(link);
                match self.connect(link, to) {
                    Ok(key) => key,
                    Err(_) => {
                        self.incoming.push(Incoming::Answer { link, answer: None });
                        return;
                    }
                }
            }
        };
        let Some(conn) = self.conns.get_mut(&key) else {
            return;
        };
        http::write_request(&mut conn.output, method, path, "lilacfork", body);
        conn.busy = true;
        conn.deadline_us = now_us() + timeout_ms * 1000;
        self.deadlines.insert((conn.deadline_us, key));
        self.traffic.messages_out += 1;
        self.flush(key);
    }

    /// Closes a link's connection, if it has one.
    pub fn close_link(&mut self, link: Link) {
        if let Some(key) = self.links.get(&link).copied() {
            self.drop_conn(key);
        }
    }

    /// Closes all connections that came in by a listener.
    pub fn close_listener_conns(&mut self, listener: usize) {
        let of_listener =
            |c: &Conn| matches!(c.role, Role::Server { listener: l } if l == listener);
        let keys: Vec<usize> = self
            .conns
            .iter()
            .filter(|(_, c)| of_listener(c))
            .map(|(k, _)| *k)
            .collect();
        for key in keys {
            self.drop_conn(key);
        }
    }

    /// Answers a request.
    pub fn reply(&mut self, asker: Asker, reply: &Reply) {
        let Some(conn) = self.conns.get_mut(&asker.0) else {
            return;
        };
        conn.busy = false;
        http::write_reply(&mut conn.output, reply, false);
        self.traffic.messages_out += 1;
        self.flush(asker.0);
    }

    /// Waits until something comes in, or until then; what came in is handed
    /// over.
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
        self.conns.len()
    }

    fn expire(&mut self) {
        let now = now_us();
        while let Some((at, key)) = self.deadlines.first().copied().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, key));
            if self
                .conns
                .get(&key)
                .is_some_and(|c| c.busy && c.deadline_us == at)
            {
                self.fail(key);
            }
        }
    }

    fn insert(&mut self, stream: TcpStream, role: Role, peer: SocketAddrV4) -> io::Result<usize> {
        let key = self.next_key;
        self.next_key += 1;
        let connected = matches!(role, Role::Server { .. });
        let interest = Event::new(key, true, !connected);
        // Safety: a connection is deleted from the poller before it is dropped.
        unsafe {
            self.poller
                .add_with_mode(&stream, interest, PollMode::Level)?
        };
        let conn = Conn {
            stream,
            role,
            peer,
            connected,
            busy: false,
            deadline_us: 0,
            input: Vec::new(),
            output: Vec::new(),
            writes: !connected,
        };
        self.conns.insert(key, conn);
        Ok(key)
    }

    fn connect(&mut self, link: Link, to: SocketAddrV4) -> io::Result<usize> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&SocketAddr::V4(to).into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(IN_PROGRESS) => {}
            Err(e) => return Err(e),
        }
        let key = self.insert(socket.into(), Role::Client { link }, to)?;
        self.links.insert(link, key);
        Ok(key)
    }

    fn accept(&mut self, listener: usize) {
        while let Ok((stream, SocketAddr::V4(peer))) = self.listeners[listener].accept() {
            let fit = stream
                .set_nonblocking(true)
                .and_then(|()| stream.set_nodelay(true));
            if fit.is_ok() {
                let _ = self.insert(stream, Role::Server { listener }, peer);
            }
        }
    }

    fn ready(&mut self, event: Event) {
        let Some(conn) = self.conns.get_mut(&event.key) else {
            return;
        };
        if !conn.connected {
            if !matches!(conn.stream.take_error(), Ok(None)) {
                self.fail(event.key);
                return;
            }
            conn.connected = event.writable;
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
        let Some(conn) = self.conns.get_mut(&key) else {
            return;
        };
        let ended = match conn.stream.read(&mut buffer) {
            Ok(0) => true,
            Ok(n) => {
                self.traffic.bytes_in += n as u64;
                conn.input.extend_from_slice(&buffer[..n]);
                false
            }
            Err(e) => !matches!(
                e.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
            ),
        };
        let parsed = match conn.role {
            Role::Server { listener } if !conn.busy => Self::parse_request(conn, listener, key),
            Role::Client { link } if conn.busy => Self::parse_answer(conn, link, ended),
            _ => Ok(None),
        };
        match parsed {
            Ok(Some(incoming)) => {
                self.traffic.messages_in += 1;
                self.incoming.push(incoming);
                if ended {
                    self.drop_conn(key);
                }
            }
            Ok(None) if !ended => {}
            _ => self.fail(key),
        }
    }

    fn parse_request(
        conn: &mut Conn,
        listener: usize,
        key: usize,
    ) -> Result<Option<Incoming>, http::HttpError> {
        let Some(parsed) = http::parse_request(&conn.input, http::MAX_REQUEST_BODY)? else {
            return Ok(None);
        };
        conn.input.drain(..parsed.size);
        conn.busy = true;
        Ok(Some(Incoming::Request {
            listener,
            asker: Asker(key),
            request: parsed.message,
        }))
    }

    fn parse_answer(
        conn: &mut Conn,
        link: Link,
        ended: bool,
    ) -> Result<Option<Incoming>, http::HttpError> {
        let Some(parsed) = http::parse_response(&conn.input, ended)? else {
            return Ok(None);
        };
        conn.input.drain(..parsed.size);
        conn.busy = false;
        Ok(Some(Incoming::Answer {
            link,
            answer: Some(parsed.message),
        }))
    }

    /// The connection is broken: a call in flight on it has no answer.
    fn fail(&mut self, key: usize) {
        let link = match self.conns.get(&key) {
            Some(conn) if conn.busy => match conn.role {
                Role::Client { link } => Some(link),
                Role::Server { .. } => None,
            },
            _ => None,
        };
        self.drop_conn(key);
        if let Some(link) = link {
            self.incoming.push(Incoming::Answer { link, answer: None });
        }
    }

    fn drop_conn(&mut self, key: usize) {
        let Some(conn) = self.conns.remove(&key) else {
            return;
        };
        if let Role::Client { link } = conn.role {
            self.links.remove(&link);
        }
        let _ = self.poller.delete(&conn.stream);
    }

    fn flush(&mut self, key: usize) {
        let Some(conn) = self.conns.get_mut(&key) else {
            return;
        };
        let mut broken = false;
        while conn.connected && !conn.output.is_empty() {
            match conn.stream.write(&conn.output) {
                Ok(n) if n > 0 => {
                    self.traffic.bytes_out += n as u64;
                    conn.output.drain(..n);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                _ => {
                    broken = true;
                    break;
                }
            }
        }
        let writes = !conn.connected || !conn.output.is_empty();
        if writes != conn.writes {
            conn.writes = writes;
            let interest = Event::new(key, true, writes);
            broken |= self
                .poller
                .modify_with_mode(&conn.stream, interest, PollMode::Level)
                .is_err();
        }
        if broken {
            self.fail(key);
        }
    }
}

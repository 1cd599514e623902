//! The one thread of I/O: listeners, connections, timers. It knows HTTP and
//! sockets, and nothing of jobs.

use crate::http;
use crate::messages::{
    Call, CallError, CallId, CallResult, ConnectionId, Destination, Effect, Listener, Now, Reply,
    Request,
};
use crate::usage::{Purpose, Usage, LOG_EVERY_MS};
use polling::{Event, Events, PollMode, Poller};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What drives the reactor's owner.
pub trait Handler {
    /// A request came in.
    fn request(
        &mut self,
        now: Now,
        conn: ConnectionId,
        port: Listener,
        request: Request,
        out: &mut Vec<Effect>,
    );
    /// A call of ours was answered, or won't be.
    fn outcome(&mut self, now: Now, call: CallId, outcome: CallResult, out: &mut Vec<Effect>);
    /// Called every turn; returns when it wants to be called at the latest.
    fn tick(&mut self, now: Now, out: &mut Vec<Effect>) -> u64;
    /// What the last of the calls above was mostly for.
    fn purpose(&self) -> Purpose {
        Purpose::Other
    }
    /// Called now and then, to log counters of its own.
    fn log_usage(&mut self) {}
}

/// The addresses of a controller and of the services that it uses.
pub struct Endpoints {
    /// Where users and workers are taken.
    pub client: SocketAddrV4,
    /// Where other controllers are taken.
    pub peer: SocketAddrV4,
    /// The state service.
    pub state: SocketAddrV4,
    /// The cloud.
    pub cloud: SocketAddrV4,
}

const CLIENT_KEY: usize = 0;
const PEER_KEY: usize = 1;
const FIRST_CONN: usize = 2;
/// A server connection without a request for so long is closed.
const IDLE_MS: u64 = 90_000;
/// A request that has begun has to be complete within this time.
const SLOW_REQUEST_MS: u64 = 10_000;
/// Idle outgoing connections are closed after this time.
const POOL_IDLE_MS: u64 = 30_000;

/// Share of the memory that users' and workers' unfinished requests may take
/// together. Above it every connection keeps its even part of that share, so that
/// they never hold more than twice as much.
const REQUESTS_SHARE: f64 = 1.0 / 8.0;
/// When a user or worker may come back whose request didn't fit into memory.
const CROWDED_RETRY_S: u64 = 2;

const PEER_CONNECTIONS: usize = 2;
/// What the steady clock shows at the start: a year, so that what is older than
/// the process has a time of its own, too. With a clock that began at nothing,
/// machines that the cloud lists as minutes old passed for just rented when the
/// process was young, and work waited for ones that had died.
const FIRST_MS: u64 = 365 * 24 * 3600 * 1000;

/// What a reactor may take of its machine.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ResourceBounds {
    /// Sockets.
    pub max_connections: usize,
    /// Memory, in megabytes.
    pub ram_mb: f64,
}

impl ResourceBounds {
    /// How many connections to workers may be open at once. `None`: not even one
    /// is left beside those reserved for state service, cloud and peers.
    pub fn worker_connections(&self, peers: usize) -> Option<usize> {
        let reserved: usize = [
            Destination::KvStore,
            Destination::KvWatch,
            Destination::Cloud,
        ]
        .iter()
        .map(max_open)
        .sum();
        (self.max_connections - self.server_connections())
            .checked_sub(reserved + peers * PEER_CONNECTIONS)
            .filter(|left| *left > 0)
    }

    /// How many connections of others may be open at once. A quarter is for calls.
    fn server_connections(&self) -> usize {
        self.max_connections * 3 / 4
    }

    /// How many bytes of unfinished requests are held before large ones are refused.
    fn request_bytes(&self) -> usize {
        (self.ram_mb * 1e6 * REQUESTS_SHARE) as usize
    }
}

#[derive(PartialEq, Eq)]
enum Role {
    Server(Listener),
    Client(Destination),
}

struct Connection {
    stream: TcpStream,
    role: Role,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    interest: (bool, bool),
    /// Server: a request is with the handler. Client: the call in flight.
    busy: bool,
    call: Option<CallId>,
    /// Client: whether any of the request may have left.
    sent: bool,
    connected: bool,
    close_after: bool,
    deadline_ms: u64,
}

/// A call waiting for a free connection.
struct QueuedCall {
    id: CallId,
    call: Call,
    deadline_ms: u64,
}

#[derive(Default)]
struct ConnectionPool {
    idle: Vec<usize>,
    open: usize,
    waiting: VecDeque<QueuedCall>,
}

/// Sockets and timers of one controller, on one thread.
pub struct Reactor {
    poller: Poller,
    listeners: [TcpListener; 2],
    endpoints: Endpoints,
    conns: HashMap<usize, Connection>,
    deadlines: BTreeSet<(u64, usize)>,
    pools: HashMap<Destination, ConnectionPool>,
    /// Calls that wait for a connection, by when they are given up.
    queued: BTreeMap<(u64, CallId), Destination>,
    next_key: usize,
    max_server: usize,
    servers: usize,
    /// Connections to workers: how many there may be and are, those without a
    /// call (idlest first), and workers whose calls wait for one to be free.
    max_workers: usize,
    workers: usize,
    /// What is held of users' and workers' unfinished requests, and how much
    /// that may be before large ones are refused.
    request_bytes: usize,
    max_request_bytes: usize,
    idle_workers: BTreeSet<(u64, usize)>,
    starved: VecDeque<Destination>,
    accepting: bool,
    start: Instant,
    buffer: Vec<u8>,
    failed: Vec<(CallId, CallError)>,
    usage: Usage,
    usage_due_ms: u64,
}

fn max_open(target: &Destination) -> usize {
    match target {
        Destination::KvStore => 12,
        Destination::KvWatch => 4,
        Destination::Cloud => 4,
        Destination::Worker(_) => 1,
        Destination::Peer(_) => PEER_CONNECTIONS,
    }
}

/// After a change of leader everybody may come at once: all that may be open
/// may wait to be accepted.
fn listen(addr: SocketAddrV4, backlog: usize) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::V4(addr).into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

impl Reactor {
    /// Opens the listeners.
    pub fn new(endpoints: Endpoints, bounds: ResourceBounds, peers: usize) -> io::Result<Reactor> {
        let max_connections = bounds.max_connections;
        let poller = Poller::new()?;
        let listeners = [
            listen(endpoints.client, max_connections)?,
            listen(endpoints.peer, max_connections)?,
        ];
        for (key, listener) in listeners.iter().enumerate() {
            // Safety: the listeners live as long as the poller, in one struct.
            unsafe { poller.add_with_mode(listener, Event::readable(key), PollMode::Level)? };
        }
        let max_server = bounds.server_connections();
        Ok(Reactor {
            poller,
            listeners,
            endpoints,
            conns: HashMap::new(),
            deadlines: BTreeSet::new(),
            pools: HashMap::new(),
            next_key: FIRST_CONN,
            queued: BTreeMap::new(),
            max_server,
            servers: 0,
            // State service, cloud and peers have theirs in any case; workers,
            // of which there are many, share the rest.
            max_workers: bounds.worker_connections(peers).unwrap_or(1),
            request_bytes: 0,
            max_request_bytes: bounds.request_bytes(),
            workers: 0,
            idle_workers: BTreeSet::new(),
            starved: VecDeque::new(),
            accepting: true,
            start: Instant::now(),
            buffer: vec![0; 32 * 1024],
            failed: Vec::new(),
            usage: Usage::default(),
            usage_due_ms: FIRST_MS + LOG_EVERY_MS,
        })
    }

    /// Where users and workers are taken.
    pub fn client_address(&self) -> io::Result<SocketAddr> {
        self.listeners[Listener::Client as usize].local_addr()
    }

    /// How many connections to workers may be open at once.
    pub fn max_workers(&self) -> usize {
        self.max_workers
    }

    fn at(&self, instant: Instant) -> Now {
        Now {
            ms: instant.duration_since(self.start).as_millis() as u64 + FIRST_MS,
            wall: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as u64),
        }
    }

    /// Runs until the process is killed.
    pub fn run(mut self, handler: &mut dyn Handler) -> io::Result<()> {
        let mut events = Events::new();
        let mut effects = Vec::new();
        loop {
            let began = Instant::now();
            let now = self.at(began);
            let wake_ms = handler.tick(now, &mut effects);
            let purpose = handler.purpose();
            self.apply(now, &mut effects, handler);
            self.usage.turns += 1;
            let ended = Instant::now();
            self.usage.add(purpose, ended - began);
            let timeout_ms = self
                .next_deadline_ms(wake_ms)
                .saturating_sub(self.at(ended).ms);
            events.clear();
            match self
                .poller
                .wait(&mut events, Some(Duration::from_millis(timeout_ms.max(1))))
            {
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            }
            self.usage.timer_turns += u64::from(events.is_empty());
            self.take_events(&events, handler, &mut effects);
        }
    }

    /// When the reactor has to wake up, whatever comes.
    fn next_deadline_ms(&self, wake_ms: u64) -> u64 {
        let connection = self.deadlines.first().map(|(deadline, _)| *deadline);
        let queued = self
            .queued
            .first_key_value()
            .map(|((deadline, _), _)| *deadline);
        [connection, queued]
            .into_iter()
            .flatten()
            .fold(wake_ms, u64::min)
    }

    fn take_events(
        &mut self,
        events: &Events,
        handler: &mut dyn Handler,
        effects: &mut Vec<Effect>,
    ) {
        let mut began = Instant::now();
        for event in events.iter() {
            let now = self.at(began);
            let mut purpose = Purpose::Other;
            match event.key {
                CLIENT_KEY => self.accept(now, Listener::Client),
                PEER_KEY => self.accept(now, Listener::Peer),
                key => {
                    self.ready(now, key, event, handler, effects);
                    purpose = handler.purpose();
                }
            }
            self.apply(now, effects, handler);
            let ended = Instant::now();
            self.usage.add(purpose, ended - began);
            began = ended;
        }
        let now = self.at(began);
        self.expire(now);
        self.apply(now, effects, handler);
        if now.ms >= self.usage_due_ms {
            self.usage_due_ms = now.ms + LOG_EVERY_MS;
            log::info!("usage {}", self.usage);
            self.usage = Usage::default();
            handler.log_usage();
        }
    }

    /// Carries out effects, and those that their failures cause.
    fn apply(&mut self, now: Now, effects: &mut Vec<Effect>, handler: &mut dyn Handler) {
        loop {
            for effect in std::mem::take(effects) {
                match effect {
                    Effect::Reply(conn, reply) => self.reply(now, conn.0 as usize, &reply),
                    Effect::Call(id, call) => self.call(now, id, call),
                }
            }
            if self.failed.is_empty() {
                return;
            }
            for (id, error) in std::mem::take(&mut self.failed) {
                handler.outcome(now, id, Err(error), effects);
            }
        }
    }

    fn accept(&mut self, now: Now, port: Listener) {
        // A bounded number per turn, so that a rush can't starve the rest.
        for _ in 0..32 {
            if self.servers >= self.max_server && !self.close_idlest() {
                self.pause_accepting(true);
                return;
            }
            match self.listeners[port as usize].accept() {
                Ok((stream, _)) => {
                    if stream.set_nonblocking(true).is_err() {
                        continue;
                    }
                    let _ = stream.set_nodelay(true);
                    self.servers += 1;
                    self.usage.accepted += 1;
                    self.insert(stream, Role::Server(port), now.ms + IDLE_MS);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => {
                    log::debug!("accept: {e}");
                    if !self.close_idlest() {
                        self.pause_accepting(true);
                    }
                    return;
                }
            }
        }
    }

    fn pause_accepting(&mut self, pause: bool) {
        if self.accepting != pause {
            return;
        }
        self.accepting = !pause;
        for (key, listener) in self.listeners.iter().enumerate() {
            let interest = if pause {
                Event::none(key)
            } else {
                Event::readable(key)
            };
            let _ = self
                .poller
                .modify_with_mode(listener, interest, PollMode::Level);
        }
    }

    /// Makes room by closing the server connection that has idled longest.
    fn close_idlest(&mut self) -> bool {
        let victim = self.deadlines.iter().map(|(_, key)| *key).find(|key| {
            self.conns.get(key).is_some_and(|c| {
                matches!(c.role, Role::Server(_))
                    && !c.busy
                    && c.input.is_empty()
                    && c.output.is_empty()
            })
        });
        match victim {
            Some(key) => {
                self.drop_conn(key);
                true
            }
            None => false,
        }
    }

    fn insert(&mut self, stream: TcpStream, role: Role, deadline_ms: u64) -> Option<usize> {
        let key = self.next_key;
        self.next_key += 1;
        let client = matches!(role, Role::Client(_));
        let interest = (!client, client);
        let event = Event::new(key, interest.0, interest.1);
        // Safety: a connection is deleted from the poller before it is dropped.
        if let Err(e) = unsafe { self.poller.add_with_mode(&stream, event, PollMode::Level) } {
            log::debug!("poller: {e}");
            if !client {
                self.servers -= 1;
            }
            return None;
        }
        self.deadlines.insert((deadline_ms, key));
        self.conns.insert(
            key,
            Connection {
                stream,
                role,
                input: Vec::new(),
                output: Vec::new(),
                written: 0,
                interest,
                busy: false,
                call: None,
                sent: false,
                connected: !client,
                close_after: false,
                deadline_ms,
            },
        );
        Some(key)
    }

    fn set_deadline(&mut self, key: usize, deadline_ms: u64) {
        if let Some(conn) = self.conns.get_mut(&key) {
            self.deadlines.remove(&(conn.deadline_ms, key));
            conn.deadline_ms = deadline_ms;
            self.deadlines.insert((deadline_ms, key));
        }
    }

    /// Closes a connection; a call in flight on it has failed.
    fn drop_conn(&mut self, key: usize) {
        let Some(conn) = self.conns.remove(&key) else {
            return;
        };
        if conn.role == Role::Server(Listener::Client) {
            self.request_bytes -= conn.input.len();
        }
        self.deadlines.remove(&(conn.deadline_ms, key));
        let _ = self.poller.delete(&conn.stream);
        match conn.role {
            Role::Server(_) => {
                self.servers -= 1;
                self.pause_accepting(false);
            }
            Role::Client(target) => {
                if matches!(target, Destination::Worker(_)) {
                    self.workers -= 1;
                    self.idle_workers.remove(&(conn.deadline_ms, key));
                }
                if let Some(pool) = self.pools.get_mut(&target) {
                    pool.open -= 1;
                    pool.idle.retain(|k| *k != key);
                }
                if let Some(id) = conn.call {
                    let error = if conn.sent {
                        CallError::Indeterminate
                    } else {
                        CallError::NotSent
                    };
                    self.failed.push((id, error));
                }
                self.next_waiting(&target);
                self.feed_starved();
            }
        }
    }

    fn expire(&mut self, now: Now) {
        while let Some((deadline, key)) = self.deadlines.first().copied() {
            if deadline > now.ms {
                break;
            }
            self.drop_conn(key);
        }
        while let Some(((deadline, id), target)) = self.queued.pop_first() {
            if deadline > now.ms {
                self.queued.insert((deadline, id), target);
                break;
            }
            if let Some(pool) = self.pools.get_mut(&target) {
                pool.waiting.retain(|w| w.id != id);
            }
            self.failed.push((id, CallError::NotSent));
            self.drop_empty(&target);
        }
    }

    fn drop_empty(&mut self, target: &Destination) {
        let empty = |p: &ConnectionPool| p.open == 0 && p.waiting.is_empty();
        if self.pools.get(target).is_some_and(empty) {
            self.pools.remove(target);
        }
    }

    fn reply(&mut self, now: Now, key: usize, reply: &Reply) {
        let Some(conn) = self.conns.get_mut(&key) else {
            return;
        };
        self.usage.sent += 1;
        conn.busy = false;
        http::write_reply(&mut conn.output, reply, conn.close_after);
        self.set_deadline(key, now.ms + IDLE_MS);
        self.flush(key);
    }

    fn call(&mut self, now: Now, id: CallId, call: Call) {
        let deadline_ms = now.ms + call.timeout_ms;
        let waiting = QueuedCall {
            id,
            call,
            deadline_ms,
        };
        self.start_call(waiting);
    }

    fn next_waiting(&mut self, target: &Destination) {
        let next = self
            .pools
            .get_mut(target)
            .and_then(|p| p.waiting.pop_front());
        if let Some(waiting) = next {
            self.queued.remove(&(waiting.deadline_ms, waiting.id));
            self.start_call(waiting);
        } else {
            self.drop_empty(target);
        }
    }

    /// Whether one more connection may be opened; for a worker's the one that
    /// has been idle for longest is closed if need be.
    fn may_connect(&mut self, target: &Destination) -> bool {
        if !matches!(target, Destination::Worker(_)) || self.workers < self.max_workers {
            return true;
        }
        match self.idle_workers.first().copied() {
            Some((_, key)) => {
                self.drop_conn(key);
                self.workers < self.max_workers
            }
            None => false,
        }
    }

    /// A connection to a worker is free: calls that wait for one go on.
    fn feed_starved(&mut self) {
        while self.workers < self.max_workers || !self.idle_workers.is_empty() {
            let Some(target) = self.starved.pop_front() else {
                return;
            };
            self.next_waiting(&target);
        }
    }

    fn start_call(&mut self, waiting: QueuedCall) {
        let target = waiting.call.target.clone();
        let pool = self.pools.entry(target.clone()).or_default();
        let idle = pool.idle.pop();
        let full = pool.open >= max_open(&target);
        let key = match idle {
            Some(key) => key,
            None if full || !self.may_connect(&target) => {
                if !full {
                    self.starved.push_back(target.clone());
                }
                self.queued
                    .insert((waiting.deadline_ms, waiting.id), target.clone());
                let pool = self.pools.entry(target).or_default();
                pool.waiting.push_back(waiting);
                return;
            }
            None => match self.connect(&target, waiting.deadline_ms) {
                Some(key) => key,
                None => {
                    self.failed.push((waiting.id, CallError::NotSent));
                    self.drop_empty(&target);
                    return;
                }
            },
        };
        if let Some(conn) = self.conns.get(&key) {
            self.idle_workers.remove(&(conn.deadline_ms, key));
        }
        self.set_deadline(key, waiting.deadline_ms);
        let Some(conn) = self.conns.get_mut(&key) else {
            self.failed.push((waiting.id, CallError::NotSent));
            return;
        };
        conn.call = Some(waiting.id);
        conn.sent = false;
        self.usage.sent += 1;
        http::write_request(
            &mut conn.output,
            waiting.call.method,
            &waiting.call.path,
            "lilacfork",
            &waiting.call.body,
        );
        if conn.connected {
            self.flush(key);
        }
    }

    fn connect(&mut self, target: &Destination, deadline_ms: u64) -> Option<usize> {
        let addr: SocketAddrV4 = match target {
            Destination::KvStore | Destination::KvWatch => self.endpoints.state,
            Destination::Cloud => self.endpoints.cloud,
            Destination::Worker(addr) | Destination::Peer(addr) => addr.parse().ok()?,
        };
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP)).ok()?;
        socket.set_nonblocking(true).ok()?;
        let _ = socket.set_tcp_nodelay(true);
        match socket.connect(&SocketAddr::V4(addr).into()) {
            Ok(()) => {}
            // EINPROGRESS has no stable kind of its own.
            Err(e) if e.kind() == io::ErrorKind::WouldBlock || e.raw_os_error() == Some(115) => {}
            Err(e) => {
                log::debug!("connect {addr}: {e}");
                return None;
            }
        }
        let stream: TcpStream = socket.into();
        let key = self.insert(stream, Role::Client(target.clone()), deadline_ms)?;
        self.usage.connected += 1;
        self.pools.entry(target.clone()).or_default().open += 1;
        if matches!(target, Destination::Worker(_)) {
            self.workers += 1;
        }
        Some(key)
    }

    fn flush(&mut self, key: usize) {
        let Some(conn) = self.conns.get_mut(&key) else {
            return;
        };
        let mut broken = false;
        while conn.written < conn.output.len() {
            match conn.stream.write(&conn.output[conn.written..]) {
                Ok(0) => {
                    broken = true;
                    break;
                }
                Ok(n) => {
                    conn.written += n;
                    conn.sent = true;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    broken = true;
                    break;
                }
            }
        }
        if conn.written == conn.output.len() {
            conn.output.clear();
            conn.written = 0;
            if conn.output.capacity() > 16 * 1024 {
                conn.output = Vec::new();
            }
            // An answer that ends its connection is out.
            broken |= conn.close_after && !conn.busy && matches!(conn.role, Role::Server(_));
        }
        if broken {
            self.drop_conn(key);
        } else {
            self.update_interest(key);
        }
    }

    fn update_interest(&mut self, key: usize) {
        let Some(conn) = self.conns.get_mut(&key) else {
            return;
        };
        // A server connection isn't read while its request is worked on:
        // nobody may pipeline, and the kernel's buffer bounds what waits.
        // Nor after its last answer, while that is on its way.
        let last = conn.close_after && conn.written < conn.output.len();
        let read = conn.connected && !(matches!(conn.role, Role::Server(_)) && (conn.busy || last));
        let write = !conn.connected || conn.written < conn.output.len();
        if conn.interest == (read, write) {
            return;
        }
        conn.interest = (read, write);
        let event = Event::new(key, read, write);
        if self
            .poller
            .modify_with_mode(&conn.stream, event, PollMode::Level)
            .is_err()
        {
            self.drop_conn(key);
        }
    }

    fn ready(
        &mut self,
        now: Now,
        key: usize,
        event: Event,
        handler: &mut dyn Handler,
        effects: &mut Vec<Effect>,
    ) {
        let Some(conn) = self.conns.get_mut(&key) else {
            return;
        };
        if !conn.connected {
            if event.writable {
                match conn.stream.take_error() {
                    Ok(None) => conn.connected = true,
                    _ => {
                        self.drop_conn(key);
                        return;
                    }
                }
            }
        } else if event.readable && !self.read(now, key, handler, effects) {
            return;
        }
        if event.writable {
            self.flush(key);
        }
    }

    /// Reads and handles what has come; false when the connection is gone.
    fn read(
        &mut self,
        now: Now,
        key: usize,
        handler: &mut dyn Handler,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(conn) = self.conns.get_mut(&key) else {
            return false;
        };
        let held_before = conn.input.len();
        let mut ended = false;
        // At most a few buffers a turn; level-triggered polling brings the rest.
        for _ in 0..8 {
            match conn.stream.read(&mut self.buffer) {
                Ok(0) => {
                    ended = true;
                    break;
                }
                Ok(n) => {
                    conn.input.extend_from_slice(&self.buffer[..n]);
                    if n < self.buffer.len() {
                        break;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => {
                    ended = true;
                    break;
                }
            }
        }
        if conn.role == Role::Server(Listener::Client) {
            self.request_bytes += conn.input.len() - held_before;
            if self.is_crowded(key) {
                self.refuse_crowded(key);
                return true;
            }
        }
        let Some(conn) = self.conns.get(&key) else {
            return false;
        };
        match conn.role {
            Role::Server(port) => self.read_request(now, key, port, ended, handler, effects),
            Role::Client(_) => self.read_response(now, key, ended, handler, effects),
        }
    }

    /// Whether all requests together hold more than they may, and this connection
    /// more than its even part.
    fn is_crowded(&self, key: usize) -> bool {
        let even_part = self.max_request_bytes / self.max_server.max(1);
        self.request_bytes > self.max_request_bytes
            && self
                .conns
                .get(&key)
                .is_some_and(|conn| conn.input.len() > even_part)
    }

    /// Memory for unfinished requests is short: whoever sends a large one is told
    /// at once to come back.
    fn refuse_crowded(&mut self, key: usize) {
        log::debug!("request refused: {} bytes held", self.request_bytes);
        let reply = Reply::retry_later(503, "too many large requests at once", CROWDED_RETRY_S);
        self.refuse(key, &reply);
    }

    fn read_request(
        &mut self,
        now: Now,
        key: usize,
        port: Listener,
        ended: bool,
        handler: &mut dyn Handler,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(conn) = self.conns.get_mut(&key) else {
            return false;
        };
        if ended {
            self.drop_conn(key);
            return false;
        }
        if conn.busy || conn.input.is_empty() {
            return true;
        }
        let max_body = match port {
            Listener::Client => http::MAX_REQUEST_BODY,
            Listener::Peer => http::MAX_PEER_BODY,
        };
        match http::parse_request(&conn.input, max_body) {
            Ok(None) => {
                // The clock runs from the request's first byte.
                let limit = now.ms + SLOW_REQUEST_MS;
                if conn.deadline_ms > limit {
                    self.set_deadline(key, limit);
                }
                true
            }
            Ok(Some(parsed)) => {
                conn.input.drain(..parsed.size);
                if port == Listener::Client {
                    self.request_bytes -= parsed.size;
                }
                if conn.input.is_empty() && conn.input.capacity() > 8 * 1024 {
                    conn.input = Vec::new();
                }
                conn.close_after |= parsed.close || !conn.input.is_empty();
                conn.busy = true;
                self.set_deadline(key, now.ms + IDLE_MS);
                self.update_interest(key);
                handler.request(now, ConnectionId(key as u64), port, parsed.message, effects);
                true
            }
            Err(error) => {
                let reply = Reply::error(error.status(), &error.to_string());
                self.refuse(key, &reply);
                true
            }
        }
    }

    /// Answers a request that isn't taken, and ends its connection.
    fn refuse(&mut self, key: usize, reply: &Reply) {
        let Some(conn) = self.conns.get_mut(&key) else {
            return;
        };
        conn.close_after = true;
        if conn.role == Role::Server(Listener::Client) {
            self.request_bytes -= conn.input.len();
        }
        conn.input = Vec::new();
        http::write_reply(&mut conn.output, reply, true);
        self.flush(key);
    }

    fn read_response(
        &mut self,
        now: Now,
        key: usize,
        ended: bool,
        handler: &mut dyn Handler,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(conn) = self.conns.get_mut(&key) else {
            return false;
        };
        if conn.call.is_none() {
            // An idle connection says something, or goodbye.
            self.drop_conn(key);
            return false;
        }
        match http::parse_response(&conn.input, ended) {
            Ok(None) if ended => {
                self.drop_conn(key);
                false
            }
            Ok(None) => true,
            Ok(Some(parsed)) => {
                conn.input = Vec::new();
                let id = conn.call.take();
                let close = parsed.close || ended;
                let Role::Client(target) = &conn.role else {
                    return false;
                };
                let target = target.clone();
                if close {
                    self.drop_conn(key);
                } else {
                    self.set_deadline(key, now.ms + POOL_IDLE_MS);
                    if let Some(pool) = self.pools.get_mut(&target) {
                        pool.idle.push(key);
                    }
                    if matches!(target, Destination::Worker(_)) {
                        self.idle_workers.insert((now.ms + POOL_IDLE_MS, key));
                    }
                    self.next_waiting(&target);
                    self.feed_starved();
                }
                if let Some(id) = id {
                    handler.outcome(now, id, Ok(parsed.message), effects);
                }
                !close
            }
            Err(_) => {
                self.drop_conn(key);
                false
            }
        }
    }
}

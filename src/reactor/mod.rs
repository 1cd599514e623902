//! The I/O event loop of a controller: listeners, connections, outgoing calls and timers.
//! The reactor runs on one thread, uses HTTP over non-blocking sockets, and is independent
//! of jobs and scheduling.

mod bounds;
mod calls;
mod clock;
mod connection;
mod connection_table;
mod listeners;
mod pools;
mod requests;

pub use bounds::ResourceBounds;

use crate::messages::{
    CallError, CallId, CallResult, ConnectionId, Effect, Listener, Now, Request,
};
use crate::usage::{Purpose, Usage, LOG_INTERVAL_MS};
use clock::Clock;
use connection::{ConnectionKey, Role, SocketState};
use connection_table::{ConnectionDeadline, ConnectionTable};
use listeners::{Listeners, CLIENT_LISTENER_KEY, FIRST_CONNECTION_KEY, PEER_LISTENER_KEY};
use polling::{Event, Events, Poller};
use pools::ConnectionPools;
use requests::RequestMemory;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

/// Time after which a server connection without a request is closed.
const IDLE_TIMEOUT_MS: u64 = 90_000;
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// The application that handles the reactor's events. The methods append the replies and
/// calls that the reactor should make to `effects`.
pub trait Handler {
    /// Handles a received request. The reply may follow in the effects of a later event.
    fn request(
        &mut self,
        now: Now,
        connection: ConnectionId,
        listener: Listener,
        request: Request,
        effects: &mut Vec<Effect>,
    );
    /// Handles the response to a call of this process, or the failure of the call.
    fn call_completed(
        &mut self,
        now: Now,
        call: CallId,
        outcome: CallResult,
        effects: &mut Vec<Effect>,
    );
    /// Runs expired timers. The reactor invokes this method at the start of every turn.
    /// Returns the latest monotonic time, in milliseconds, for the next invocation.
    fn tick(&mut self, now: Now, effects: &mut Vec<Effect>) -> u64;
    /// Returns the main purpose of the latest invocation of a method above.
    fn purpose(&self) -> Purpose {
        Purpose::Other
    }
    /// Logs the handler's own counters. The reactor invokes this method whenever it logs its
    /// counters.
    fn log_usage(&mut self) {}
}

/// The addresses on which a controller listens, and those of the services that it uses.
pub struct Endpoints {
    /// Address on which the controller accepts requests of users and workers.
    pub client: SocketAddrV4,
    /// Address on which the controller accepts requests of other controllers.
    pub peer: SocketAddrV4,
    /// Address of the key-value store.
    pub kv_store: SocketAddrV4,
    /// Address of the cloud.
    pub cloud: SocketAddrV4,
}

/// A handler with the time of the current event and the effects that the handler has
/// requested.
struct HandlerContext<'a> {
    now: Now,
    handler: &'a mut dyn Handler,
    effects: &'a mut Vec<Effect>,
}

impl HandlerContext<'_> {
    fn handle_request(&mut self, connection: ConnectionId, listener: Listener, request: Request) {
        self.handler
            .request(self.now, connection, listener, request, self.effects);
    }

    fn complete_call(&mut self, call: CallId, outcome: CallResult) {
        self.handler
            .call_completed(self.now, call, outcome, self.effects);
    }
}

/// The event loop of one controller, with its sockets and timers.
pub struct Reactor {
    endpoints: Endpoints,
    connections: ConnectionTable,
    listeners: Listeners,
    pools: ConnectionPools,
    request_memory: RequestMemory,
    /// Failed calls that the handler hasn't been informed of yet.
    failed_calls: Vec<(CallId, CallError)>,
    clock: Clock,
    read_buffer: Vec<u8>,
    usage: Usage,
    usage_log_due_ms: u64,
}

impl Reactor {
    /// Opens the listeners. `peers` is the number of other controllers, for which outgoing
    /// connections are reserved.
    pub fn new(endpoints: Endpoints, bounds: ResourceBounds, peers: usize) -> io::Result<Reactor> {
        let poller = Poller::new()?;
        let max_server_connections = bounds.max_server_connections();
        let listeners =
            Listeners::open(&endpoints, bounds.max_connections, max_server_connections)?;
        // Safety: the listeners live as long as the poller, in one struct.
        unsafe { listeners.register(&poller)? };
        Ok(Reactor {
            endpoints,
            connections: ConnectionTable::new(poller, FIRST_CONNECTION_KEY),
            listeners,
            pools: ConnectionPools::new(bounds.max_worker_connections(peers).unwrap_or(1)),
            request_memory: RequestMemory::new(
                bounds.incomplete_request_bytes(),
                max_server_connections,
            ),
            failed_calls: Vec::new(),
            clock: Clock::start(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            usage: Usage::default(),
            usage_log_due_ms: clock::MONOTONIC_START_MS + LOG_INTERVAL_MS,
        })
    }

    /// Returns the address on which requests of users and workers are accepted.
    pub fn client_address(&self) -> io::Result<SocketAddr> {
        self.listeners.local_address(Listener::Client)
    }

    /// Returns how many connections to workers may be open at once.
    pub fn max_worker_connections(&self) -> usize {
        self.pools.max_worker_connections()
    }

    /// Runs the event loop until the process is killed or the poller fails.
    pub fn run(mut self, handler: &mut dyn Handler) -> io::Result<()> {
        let mut events = Events::new();
        let mut effects = Vec::new();
        loop {
            let began = Instant::now();
            let now = self.clock.time_at(began);
            let wake_ms = handler.tick(now, &mut effects);
            let purpose = handler.purpose();
            self.apply(now, &mut effects, handler);
            self.usage.turns += 1;
            let ended = Instant::now();
            self.usage.add(purpose, ended - began);
            let timeout_ms = self
                .next_deadline_ms(wake_ms)
                .saturating_sub(self.clock.time_at(ended).ms);
            let timeout = Duration::from_millis(timeout_ms.max(1));
            events.clear();
            match self.connections.poller().wait(&mut events, Some(timeout)) {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            }
            self.usage.timer_turns += u64::from(events.is_empty());
            self.handle_events(&events, handler, &mut effects);
        }
    }

    /// Returns the monotonic time at which the next turn starts even without an event.
    fn next_deadline_ms(&self, wake_ms: u64) -> u64 {
        let connection_ms = self
            .connections
            .first_deadline()
            .map(|first| first.deadline_ms);
        [connection_ms, self.pools.first_deadline_ms()]
            .into_iter()
            .flatten()
            .fold(wake_ms, u64::min)
    }

    fn handle_events(
        &mut self,
        events: &Events,
        handler: &mut dyn Handler,
        effects: &mut Vec<Effect>,
    ) {
        let mut began = Instant::now();
        for event in events.iter() {
            let now = self.clock.time_at(began);
            let purpose = self.handle_event(now, event, handler, effects);
            self.apply(now, effects, handler);
            let ended = Instant::now();
            self.usage.add(purpose, ended - began);
            began = ended;
        }
        let now = self.clock.time_at(began);
        self.expire(now);
        self.apply(now, effects, handler);
        self.log_usage(now, handler);
    }

    /// Handles one readiness event and returns its purpose.
    fn handle_event(
        &mut self,
        now: Now,
        event: Event,
        handler: &mut dyn Handler,
        effects: &mut Vec<Effect>,
    ) -> Purpose {
        match event.key {
            CLIENT_LISTENER_KEY => self.accept(now, Listener::Client),
            PEER_LISTENER_KEY => self.accept(now, Listener::Peer),
            _ => {
                let mut context = HandlerContext {
                    now,
                    handler,
                    effects,
                };
                self.handle_connection_event(event, &mut context);
                return handler.purpose();
            }
        }
        Purpose::Other
    }

    fn log_usage(&mut self, now: Now, handler: &mut dyn Handler) {
        if now.ms >= self.usage_log_due_ms {
            self.usage_log_due_ms = now.ms + LOG_INTERVAL_MS;
            log::info!("usage {}", self.usage);
            self.usage = Usage::default();
            handler.log_usage();
        }
    }

    /// Applies effects. Informs the handler of the calls that fail, and applies the effects
    /// of these failures too.
    fn apply(&mut self, now: Now, effects: &mut Vec<Effect>, handler: &mut dyn Handler) {
        loop {
            for effect in std::mem::take(effects) {
                match effect {
                    Effect::Reply(connection, reply) => {
                        self.reply(now, connection.0 as ConnectionKey, &reply);
                    }
                    Effect::Call(id, call) => self.make_call(now, id, call),
                }
            }
            if self.failed_calls.is_empty() {
                return;
            }
            for (call, error) in std::mem::take(&mut self.failed_calls) {
                handler.call_completed(now, call, Err(error), effects);
            }
        }
    }

    /// Closes connections and fails queued calls whose deadlines have passed.
    fn expire(&mut self, now: Now) {
        while let Some(first) = self.connections.first_deadline() {
            if first.deadline_ms > now.ms {
                break;
            }
            self.close_connection(first.key);
        }
        while let Some(call) = self.pools.pop_expired(now.ms) {
            self.failed_calls.push((call, CallError::NotSent));
        }
    }

    fn handle_connection_event(&mut self, event: Event, context: &mut HandlerContext) {
        let key = event.key;
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.connected {
            if event.readable {
                self.read(key, context);
            }
        } else if event.writable {
            // The first writable event reports that the connect succeeded or failed.
            if !matches!(connection.stream.take_error(), Ok(None)) {
                self.close_connection(key);
                return;
            }
            connection.connected = true;
        }
        if event.writable {
            self.flush(key);
        }
    }

    /// Reads received bytes from a connection and handles the request or response.
    fn read(&mut self, key: ConnectionKey, context: &mut HandlerContext) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let held_bytes = connection.input.len();
        let state = connection.read_available(&mut self.read_buffer);
        let bytes_read = connection.input.len() - held_bytes;
        match connection.role {
            Role::Server(listener) => {
                if self.reserve_request_memory(key, bytes_read) {
                    self.read_request(key, listener, state, context);
                }
            }
            Role::Client(_) => self.read_response(key, state, context),
        }
    }

    /// Writes as much pending output of a connection as the socket accepts.
    fn flush(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        match connection.write_pending() {
            SocketState::Open => self.update_interest(key),
            SocketState::Closed => self.close_connection(key),
        }
    }

    fn update_interest(&mut self, key: ConnectionKey) {
        if self.connections.update_interest(key).is_err() {
            self.close_connection(key);
        }
    }

    /// Closes a connection. Fails its call in flight, with an indeterminate outcome if the
    /// socket accepted any byte of the request.
    fn close_connection(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.remove(key) else {
            return;
        };
        self.request_memory
            .release(connection.incomplete_request_bytes());
        match &connection.role {
            Role::Server(_) => self
                .listeners
                .on_connection_closed(self.connections.poller()),
            Role::Client(destination) => {
                let deadline = ConnectionDeadline {
                    deadline_ms: connection.deadline_ms,
                    key,
                };
                self.pools.on_closed(destination, deadline);
                if let Some(call) = connection.call_in_flight {
                    let error = if connection.any_byte_sent {
                        CallError::Indeterminate
                    } else {
                        CallError::NotSent
                    };
                    self.failed_calls.push((call, error));
                }
                self.start_queued_calls(destination);
            }
        }
    }
}

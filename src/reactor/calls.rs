//! The client side of the reactor: outgoing calls and their responses.

use super::connection::{ConnectionKey, Role, SocketState};
use super::connection_table::ConnectionDeadline;
use super::pools::PendingCall;
use super::{HandlerContext, Reactor};
use crate::http;
use crate::messages::{Call, CallError, CallId, Destination, Now};
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};

/// Time after which an idle outgoing connection is closed.
const POOL_IDLE_TIMEOUT_MS: u64 = 30_000;
/// Value of the `Host` header of calls.
const HOST_HEADER: &str = "lilacfork";
/// Linux's error number for a non-blocking `connect` in progress. The corresponding
/// `io::ErrorKind` isn't stable.
const EINPROGRESS: i32 = 115;

/// Starts to establish a connection without waiting for the result.
fn start_connecting(address: SocketAddrV4) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    let _ = socket.set_tcp_nodelay(true);
    match socket.connect(&SocketAddr::V4(address).into()) {
        Err(error)
            if error.kind() != io::ErrorKind::WouldBlock
                && error.raw_os_error() != Some(EINPROGRESS) =>
        {
            log::debug!("connect failed address={address} reason=\"{error}\"");
            Err(error)
        }
        _ => Ok(socket),
    }
}

impl Reactor {
    /// Sends a call, or queues it until a connection to its destination is idle.
    pub(super) fn make_call(&mut self, now: Now, id: CallId, call: Call) {
        let deadline_ms = now.ms + call.timeout_ms;
        self.start_call(PendingCall {
            id,
            call,
            deadline_ms,
        });
    }

    fn start_call(&mut self, pending: PendingCall) {
        let destination = &pending.call.destination;
        let key = match self.pools.take_idle(destination) {
            Some(key) => key,
            None if self.pools.is_full(destination) => {
                self.pools.enqueue(pending);
                return;
            }
            None if !self.ensure_connection_capacity(destination) => {
                self.pools.enqueue_without_capacity(pending);
                return;
            }
            None => match self.connect(destination, pending.deadline_ms) {
                Some(key) => key,
                None => {
                    self.failed_calls.push((pending.id, CallError::NotSent));
                    self.pools.remove_unused(destination);
                    return;
                }
            },
        };
        self.send_call(key, &pending);
    }

    /// Writes a call to a connection without a call in flight.
    fn send_call(&mut self, key: ConnectionKey, pending: &PendingCall) {
        if let Some(connection) = self.connections.get(key) {
            self.pools.mark_busy(ConnectionDeadline {
                deadline_ms: connection.deadline_ms,
                key,
            });
        }
        self.connections.set_deadline(key, pending.deadline_ms);
        let Some(connection) = self.connections.get_mut(key) else {
            self.failed_calls.push((pending.id, CallError::NotSent));
            return;
        };
        connection.call_in_flight = Some(pending.id);
        connection.any_byte_sent = false;
        self.usage.sent += 1;
        http::write_request(
            &mut connection.output,
            pending.call.method,
            &pending.call.path,
            HOST_HEADER,
            &pending.call.body,
        );
        if connection.connected {
            self.flush(key);
        }
    }

    /// Returns whether a connection to the destination may be opened. If all connections to
    /// workers are open, closes the one that has been idle longest to make room for the
    /// connection to another worker.
    fn ensure_connection_capacity(&mut self, destination: &Destination) -> bool {
        if !matches!(destination, Destination::Worker(_)) || self.pools.has_worker_capacity() {
            return true;
        }
        let Some(key) = self.pools.longest_idle_worker_connection() else {
            return false;
        };
        self.close_connection(key);
        self.pools.has_worker_capacity()
    }

    fn address_of(&self, destination: &Destination) -> Option<SocketAddrV4> {
        match destination {
            Destination::KvStore | Destination::KvWatch => Some(self.endpoints.kv_store),
            Destination::Cloud => Some(self.endpoints.cloud),
            Destination::Worker(address) | Destination::Peer(address) => address.parse().ok(),
        }
    }

    fn connect(&mut self, destination: &Destination, deadline_ms: u64) -> Option<ConnectionKey> {
        let address = self.address_of(destination)?;
        let socket = start_connecting(address).ok()?;
        let role = Role::Client(destination.clone());
        let key = self.connections.insert(socket.into(), role, deadline_ms)?;
        self.usage.connected += 1;
        self.pools.on_opened(destination);
        Some(key)
    }

    /// Parses the response to the call in flight and hands it to the handler, if the response
    /// is complete.
    pub(super) fn read_response(
        &mut self,
        key: ConnectionKey,
        state: SocketState,
        context: &mut HandlerContext,
    ) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.call_in_flight.is_none() {
            // The server sent bytes on an idle connection or closed it.
            self.close_connection(key);
            return;
        }
        let is_closed = state == SocketState::Closed;
        match http::parse_response(&connection.input, is_closed) {
            Ok(None) if !is_closed => {}
            Ok(Some(parsed)) => {
                connection.input = Vec::new();
                let call = connection.call_in_flight.take();
                if parsed.close || is_closed {
                    self.close_connection(key);
                } else {
                    self.return_to_pool(key, context.now);
                }
                if let Some(call) = call {
                    let response = parsed.message;
                    context.complete_call(call, Ok((response.status, response.body)));
                }
            }
            Ok(None) | Err(_) => self.close_connection(key),
        }
    }

    /// Marks a connection without a call in flight as idle and starts queued calls.
    fn return_to_pool(&mut self, key: ConnectionKey, now: Now) {
        let Some(connection) = self.connections.get(key) else {
            return;
        };
        let Role::Client(destination) = &connection.role else {
            return;
        };
        let destination = destination.clone();
        let deadline_ms = now.ms + POOL_IDLE_TIMEOUT_MS;
        self.connections.set_deadline(key, deadline_ms);
        self.pools
            .mark_idle(&destination, ConnectionDeadline { deadline_ms, key });
        self.start_queued_calls(&destination);
    }

    /// Starts the next queued call to a destination, after a connection to it has become idle
    /// or has been closed. Also starts calls to workers that wait for the capacity to open a
    /// connection.
    pub(super) fn start_queued_calls(&mut self, destination: &Destination) {
        self.start_next_call(destination);
        while let Some(worker) = self.pools.next_worker_without_capacity() {
            self.start_next_call(&worker);
        }
    }

    fn start_next_call(&mut self, destination: &Destination) {
        match self.pools.dequeue(destination) {
            Some(pending) => self.start_call(pending),
            None => self.pools.remove_unused(destination),
        }
    }
}

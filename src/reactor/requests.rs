//! The server side: requests of users, workers and other controllers, and the
//! responses to them.

use super::connection::{ConnectionKey, SocketState};
use super::{HandlerContext, Reactor, IDLE_TIMEOUT_MS};
use crate::http;
use crate::messages::{ConnectionId, Listener, Now, Reply};

/// A request that has begun has to be complete within this time.
const REQUEST_TIMEOUT_MS: u64 = 10_000;
/// After how long a client should retry whose request didn't fit into memory.
const MEMORY_RETRY_AFTER_S: u64 = 2;

/// The memory that unfinished requests of users and workers hold together.
pub(super) struct RequestMemory {
    held_bytes: usize,
    max_bytes: usize,
    /// What each connection may hold in any case.
    max_bytes_per_connection: usize,
}

impl RequestMemory {
    /// Nothing is held yet.
    pub(super) fn new(max_bytes: usize, max_connections: usize) -> RequestMemory {
        RequestMemory {
            held_bytes: 0,
            max_bytes,
            max_bytes_per_connection: max_bytes / max_connections.max(1),
        }
    }

    pub(super) fn acquire(&mut self, bytes: usize) {
        self.held_bytes += bytes;
    }

    pub(super) fn release(&mut self, bytes: usize) {
        self.held_bytes -= bytes;
    }

    /// Whether all requests together hold more than they may, and this one more
    /// than its even part.
    fn is_exceeded_by(&self, request_bytes: usize) -> bool {
        self.held_bytes > self.max_bytes && request_bytes > self.max_bytes_per_connection
    }
}

fn max_request_body(listener: Listener) -> usize {
    match listener {
        Listener::Client => http::MAX_REQUEST_BODY_BYTES,
        Listener::Peer => http::MAX_PEER_BODY_BYTES,
    }
}

impl Reactor {
    /// Counts bytes that were read into the memory for unfinished requests. When
    /// that is short, a large request is rejected at once and its sender told when
    /// to retry: then false.
    pub(super) fn hold_request_bytes(&mut self, key: ConnectionKey, bytes_read: usize) -> bool {
        let Some(connection) = self.connections.get(key) else {
            return false;
        };
        if !connection.is_from_client() {
            return true;
        }
        self.request_memory.acquire(bytes_read);
        if !self.request_memory.is_exceeded_by(connection.input.len()) {
            return true;
        }
        log::debug!(
            "request rejected reason=\"memory for unfinished requests is short\" held_bytes={}",
            self.request_memory.held_bytes
        );
        let reply =
            Reply::retry_later(503, "too many large requests at once", MEMORY_RETRY_AFTER_S);
        self.reject_request(key, &reply);
        false
    }

    /// Hands the request over that has been read, if it is complete.
    pub(super) fn read_request(
        &mut self,
        key: ConnectionKey,
        listener: Listener,
        state: SocketState,
        context: &mut HandlerContext,
    ) {
        if state == SocketState::Closed {
            self.close_connection(key);
            return;
        }
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.busy || connection.input.is_empty() {
            return;
        }
        match http::parse_request(&connection.input, max_request_body(listener)) {
            Ok(None) => {
                // The time limit runs from the request's first byte.
                let deadline_ms = context.now.ms + REQUEST_TIMEOUT_MS;
                if connection.deadline_ms > deadline_ms {
                    self.connections.set_deadline(key, deadline_ms);
                }
            }
            Ok(Some(parsed)) => self.begin_request(key, listener, parsed, context),
            Err(error) => {
                let reply = Reply::error(error.status(), &error.to_string());
                self.reject_request(key, &reply);
            }
        }
    }

    fn begin_request(
        &mut self,
        key: ConnectionKey,
        listener: Listener,
        parsed: http::Parsed<crate::messages::Request>,
        context: &mut HandlerContext,
    ) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.is_from_client() {
            self.request_memory.release(parsed.size);
        }
        connection.consume_input(parsed.size);
        connection.close_after |= parsed.close || !connection.input.is_empty();
        connection.busy = true;
        self.connections
            .set_deadline(key, context.now.ms + IDLE_TIMEOUT_MS);
        self.update_interest(key);
        context.request(ConnectionId(key as u64), listener, parsed.message);
    }

    /// Answers a request that isn't handled, and closes its connection after that.
    fn reject_request(&mut self, key: ConnectionKey, reply: &Reply) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        self.request_memory
            .release(connection.unfinished_request_bytes());
        connection.close_after = true;
        connection.input = Vec::new();
        http::write_reply(&mut connection.output, reply, true);
        self.flush(key);
    }

    /// Sends the response to a handled request.
    pub(super) fn reply(&mut self, now: Now, key: ConnectionKey, reply: &Reply) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        self.usage.sent += 1;
        connection.busy = false;
        http::write_reply(&mut connection.output, reply, connection.close_after);
        self.connections.set_deadline(key, now.ms + IDLE_TIMEOUT_MS);
        self.flush(key);
    }
}

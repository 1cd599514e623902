//! The server side of the reactor: requests of users, workers and other controllers, and
//! the responses to them.

use super::connection::{ConnectionKey, SocketState};
use super::{HandlerContext, Reactor, IDLE_TIMEOUT_MS};
use crate::http;
use crate::messages::{ConnectionId, Listener, Now, Reply};

/// Time from the first byte of a request within which the whole request must be received.
const REQUEST_TIMEOUT_MS: u64 = 10_000;
/// `Retry-After` of the response to a request that was rejected for lack of memory.
const MEMORY_RETRY_AFTER_S: u64 = 2;

/// Accounts for the memory that the incomplete requests of users and workers hold together.
pub(super) struct RequestMemory {
    held_bytes: usize,
    max_bytes: usize,
    /// Bytes that each connection may hold even when `max_bytes` is exceeded.
    max_bytes_per_connection: usize,
}

impl RequestMemory {
    /// Creates an account of `max_bytes`, of which no byte is held.
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

    /// Returns whether all requests together hold more than `max_bytes` and a request of this
    /// size holds more than its equal part.
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
    /// Counts bytes that were read toward the memory for incomplete requests. If this memory
    /// is exhausted, rejects a large request with a time to retry and returns false.
    pub(super) fn reserve_request_memory(&mut self, key: ConnectionKey, bytes_read: usize) -> bool {
        let Some(connection) = self.connections.get(key) else {
            return false;
        };
        if !connection.uses_request_memory() {
            return true;
        }
        self.request_memory.acquire(bytes_read);
        if !self.request_memory.is_exceeded_by(connection.input.len()) {
            return true;
        }
        log::debug!(
            "request rejected reason=\"memory for incomplete requests exhausted\" held_bytes={}",
            self.request_memory.held_bytes
        );
        let reply =
            Reply::retry_later(503, "too many large requests at once", MEMORY_RETRY_AFTER_S);
        self.reject_request(key, &reply);
        false
    }

    /// Parses a request from the received bytes and hands it to the handler, if the request
    /// is complete.
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
                // The time limit starts with the first byte of the request.
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
        if connection.uses_request_memory() {
            self.request_memory.release(parsed.size);
        }
        connection.consume_input(parsed.size);
        connection.close_after_response |= parsed.close || !connection.input.is_empty();
        connection.busy = true;
        self.connections
            .set_deadline(key, context.now.ms + IDLE_TIMEOUT_MS);
        self.update_interest(key);
        context.handle_request(ConnectionId(key as u64), listener, parsed.message);
    }

    /// Sends an error response to a request without handing the request to the handler, and
    /// closes the connection after the response.
    fn reject_request(&mut self, key: ConnectionKey, reply: &Reply) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        self.request_memory
            .release(connection.incomplete_request_bytes());
        connection.close_after_response = true;
        connection.input = Vec::new();
        http::write_reply(&mut connection.output, reply, true);
        self.flush(key);
    }

    /// Sends the handler's response to a request.
    pub(super) fn reply(&mut self, now: Now, key: ConnectionKey, reply: &Reply) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        self.usage.sent += 1;
        connection.busy = false;
        http::write_reply(
            &mut connection.output,
            reply,
            connection.close_after_response,
        );
        self.connections.set_deadline(key, now.ms + IDLE_TIMEOUT_MS);
        self.flush(key);
    }
}

//! One connection with its socket, its buffers and its role.

use crate::messages::{CallId, Destination, Listener};
use polling::Event;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The poller's key of a connection. A key is never reused.
pub(super) type ConnectionKey = usize;

/// Most reads for one readiness event, so that one connection can't starve the others.
/// Level-triggered polling reports the remaining bytes in the next turn.
const MAX_READS_PER_EVENT: usize = 8;
/// Largest capacity of an empty output buffer that is kept for reuse.
const MAX_RETAINED_OUTPUT_BYTES: usize = 16 * 1024;
/// Largest capacity of an empty input buffer that is kept for reuse.
const MAX_RETAINED_INPUT_BYTES: usize = 8 * 1024;

/// The HTTP role of this process on a connection.
#[derive(PartialEq, Eq)]
pub(super) enum Role {
    /// Server of a connection that this listener accepted.
    Server(Listener),
    /// Client of a connection that was opened to this destination.
    Client(Destination),
}

/// The readiness events for which the poller watches a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Interest {
    /// Received bytes can be read, or the other side has closed the connection.
    readable: bool,
    /// The socket accepts bytes to send, or a pending connect has completed.
    writable: bool,
}

impl Interest {
    /// Returns the poller's event for this interest.
    pub(super) fn event(self, key: ConnectionKey) -> Event {
        Event::new(key, self.readable, self.writable)
    }
}

/// The state of a socket after a read or a write.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum SocketState {
    /// The socket can still be used.
    Open,
    /// The other side has closed the connection, or the socket failed.
    Closed,
}

/// An incoming or outgoing connection.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) role: Role,
    pub(super) input: Vec<u8>,
    pub(super) output: Vec<u8>,
    /// Number of bytes of `output` that have been written to the socket.
    written_bytes: usize,
    /// The events for which the poller watches the connection.
    pub(super) interest: Interest,
    /// Server: whether the handler has a request that it hasn't replied to.
    pub(super) busy: bool,
    /// Client: the call whose response is awaited.
    pub(super) call_in_flight: Option<CallId>,
    /// Client: whether the socket has accepted any byte of the request.
    pub(super) any_byte_sent: bool,
    pub(super) connected: bool,
    /// Server: whether the connection is closed after the current response.
    pub(super) close_after_response: bool,
    /// Monotonic time at which the connection is closed.
    pub(super) deadline_ms: u64,
}

impl Connection {
    /// Creates an accepted connection, or one that is being established to a destination.
    pub(super) fn new(stream: TcpStream, role: Role, deadline_ms: u64) -> Connection {
        let connected = matches!(role, Role::Server(_));
        Connection {
            stream,
            role,
            input: Vec::new(),
            output: Vec::new(),
            written_bytes: 0,
            interest: Interest {
                readable: connected,
                writable: !connected,
            },
            busy: false,
            call_in_flight: None,
            any_byte_sent: false,
            connected,
            close_after_response: false,
            deadline_ms,
        }
    }

    fn is_server(&self) -> bool {
        matches!(self.role, Role::Server(_))
    }

    /// Returns whether incomplete requests on this connection count toward
    /// [`RequestMemory`](super::requests::RequestMemory). Those of users and workers do,
    /// those of peers don't.
    pub(super) fn uses_request_memory(&self) -> bool {
        self.role == Role::Server(Listener::Client)
    }

    /// Returns the bytes of an incomplete request that count toward
    /// [`RequestMemory`](super::requests::RequestMemory).
    pub(super) fn incomplete_request_bytes(&self) -> usize {
        if self.uses_request_memory() {
            self.input.len()
        } else {
            0
        }
    }

    /// Returns whether this is an incoming connection without a request or response, not even
    /// an incomplete one.
    pub(super) fn is_idle_server(&self) -> bool {
        self.is_server() && !self.busy && self.input.is_empty() && self.output.is_empty()
    }

    fn has_unwritten_output(&self) -> bool {
        self.written_bytes < self.output.len()
    }

    /// Returns the events for which the poller should watch the connection now.
    pub(super) fn required_interest(&self) -> Interest {
        // A server connection isn't read while the handler has its request: requests
        // can't be pipelined, and the kernel's buffer bounds the bytes that wait. The
        // connection isn't read while its last response is being written either.
        let writes_last_response = self.close_after_response && self.has_unwritten_output();
        let suspended = self.is_server() && (self.busy || writes_last_response);
        Interest {
            readable: self.connected && !suspended,
            writable: !self.connected || self.has_unwritten_output(),
        }
    }

    /// Appends received bytes to the input, with at most [`MAX_READS_PER_EVENT`] reads.
    pub(super) fn read_available(&mut self, buffer: &mut [u8]) -> SocketState {
        for _ in 0..MAX_READS_PER_EVENT {
            match self.stream.read(buffer) {
                Ok(0) => return SocketState::Closed,
                Ok(count) => {
                    self.input.extend_from_slice(&buffer[..count]);
                    if count < buffer.len() {
                        break;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return SocketState::Closed,
            }
        }
        SocketState::Open
    }

    /// Removes a parsed request of `size` bytes from the input.
    pub(super) fn consume_input(&mut self, size: usize) {
        self.input.drain(..size);
        if self.input.is_empty() && self.input.capacity() > MAX_RETAINED_INPUT_BYTES {
            self.input = Vec::new();
        }
    }

    /// Writes as much output as the socket accepts. Also returns [`SocketState::Closed`] for
    /// a server connection whose last response has been written.
    pub(super) fn write_pending(&mut self) -> SocketState {
        let mut state = self.write_until_blocked();
        if !self.has_unwritten_output() {
            self.output.clear();
            self.written_bytes = 0;
            if self.output.capacity() > MAX_RETAINED_OUTPUT_BYTES {
                self.output = Vec::new();
            }
            if self.close_after_response && !self.busy && self.is_server() {
                state = SocketState::Closed;
            }
        }
        state
    }

    fn write_until_blocked(&mut self) -> SocketState {
        while self.has_unwritten_output() {
            match self.stream.write(&self.output[self.written_bytes..]) {
                Ok(0) => return SocketState::Closed,
                Ok(count) => {
                    self.written_bytes += count;
                    self.any_byte_sent = true;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return SocketState::Closed,
            }
        }
        SocketState::Open
    }
}

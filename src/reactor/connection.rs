//! One connection: its socket, its buffers and what it is used for.

use crate::messages::{CallId, Destination, Listener};
use polling::Event;
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The poller's key of a connection; never used twice.
pub(super) type ConnectionKey = usize;

/// At most so many reads for one readiness event: level-triggered polling reports
/// the rest in the next turn, so one connection can't starve the others.
const MAX_READS_PER_EVENT: usize = 8;
/// Output buffers that grew larger are released once they are empty.
const KEPT_OUTPUT_BYTES: usize = 16 * 1024;
/// Input buffers that grew larger are released once they are empty.
const KEPT_INPUT_BYTES: usize = 8 * 1024;

/// Which side of HTTP this process is on a connection.
#[derive(PartialEq, Eq)]
pub(super) enum Role {
    /// It was accepted by this listener.
    Server(Listener),
    /// It was opened to this destination.
    Client(Destination),
}

/// The readiness events that a connection waits for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct Interest {
    /// There are bytes to read.
    readable: bool,
    /// There is space to write to, or the connection is established.
    writable: bool,
}

impl Interest {
    /// The poller's event for it.
    pub(super) fn event(self, key: ConnectionKey) -> Event {
        Event::new(key, self.readable, self.writable)
    }
}

/// Whether a socket can still be used after reading or writing.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum SocketState {
    /// It can.
    Open,
    /// The other side has closed it, or it failed.
    Closed,
}

/// A connection of either role.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) role: Role,
    pub(super) input: Vec<u8>,
    pub(super) output: Vec<u8>,
    /// How many bytes of `output` have been written.
    written: usize,
    /// What the poller was told to wait for.
    pub(super) interest: Interest,
    /// Server: a request is being handled.
    pub(super) busy: bool,
    /// Client: the call in flight.
    pub(super) call: Option<CallId>,
    /// Client: whether any byte of the request may have been sent.
    pub(super) sent: bool,
    pub(super) connected: bool,
    /// Server: it is closed after the current response.
    pub(super) close_after: bool,
    pub(super) deadline_ms: u64,
}

impl Connection {
    /// An accepted connection, or one that is being established to a destination.
    pub(super) fn new(stream: TcpStream, role: Role, deadline_ms: u64) -> Connection {
        let connected = matches!(role, Role::Server(_));
        Connection {
            stream,
            role,
            input: Vec::new(),
            output: Vec::new(),
            written: 0,
            interest: Interest {
                readable: connected,
                writable: !connected,
            },
            busy: false,
            call: None,
            sent: false,
            connected,
            close_after: false,
            deadline_ms,
        }
    }

    fn is_server(&self) -> bool {
        matches!(self.role, Role::Server(_))
    }

    /// Whether it counts into the memory for unfinished requests: users' and
    /// workers' connections do, peers' don't.
    pub(super) fn is_from_client(&self) -> bool {
        self.role == Role::Server(Listener::Client)
    }

    /// The bytes of unfinished requests that count into the memory for these.
    pub(super) fn unfinished_request_bytes(&self) -> usize {
        if self.is_from_client() {
            self.input.len()
        } else {
            0
        }
    }

    /// An incoming connection without a request, not even a partial one.
    pub(super) fn is_idle_server(&self) -> bool {
        self.is_server() && !self.busy && self.input.is_empty() && self.output.is_empty()
    }

    fn has_unwritten_output(&self) -> bool {
        self.written < self.output.len()
    }

    /// What to wait for now.
    pub(super) fn wanted_interest(&self) -> Interest {
        // A server connection isn't read while its request is handled: requests
        // can't be pipelined, and the kernel's buffer bounds what waits. Nor is it
        // read while its last response is being written.
        let writes_last_response = self.close_after && self.has_unwritten_output();
        let suspended = self.is_server() && (self.busy || writes_last_response);
        Interest {
            readable: self.connected && !suspended,
            writable: !self.connected || self.has_unwritten_output(),
        }
    }

    /// Reads what has arrived, up to a bound.
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

    /// Removes a parsed request from the input.
    pub(super) fn consume_input(&mut self, size: usize) {
        self.input.drain(..size);
        if self.input.is_empty() && self.input.capacity() > KEPT_INPUT_BYTES {
            self.input = Vec::new();
        }
    }

    /// Writes as much output as the socket takes. A server connection counts as
    /// closed after its last response, too.
    pub(super) fn write_pending(&mut self) -> SocketState {
        let mut state = self.write_until_blocked();
        if !self.has_unwritten_output() {
            self.output.clear();
            self.written = 0;
            if self.output.capacity() > KEPT_OUTPUT_BYTES {
                self.output = Vec::new();
            }
            if self.close_after && !self.busy && self.is_server() {
                state = SocketState::Closed;
            }
        }
        state
    }

    fn write_until_blocked(&mut self) -> SocketState {
        while self.has_unwritten_output() {
            match self.stream.write(&self.output[self.written..]) {
                Ok(0) => return SocketState::Closed,
                Ok(count) => {
                    self.written += count;
                    self.sent = true;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return SocketState::Closed,
            }
        }
        SocketState::Open
    }
}

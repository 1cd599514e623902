//! The control interface of simulators: the harness and the simulated cloud send each
//! command as a POST request.

use crate::net::Traffic;
use lilacfork::http;
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// The HTTP path to which commands are sent.
pub const CONTROL_PATH: &str = "/control";
/// How long each read of a response may block.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// A command to a simulator. A simulator ignores commands that are meant for another kind
/// of simulator.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum SimulatorCommand {
    /// All simulators: respond with the current counters.
    Stats,
    /// All simulators: respond with the final counters and exit.
    Stop,
    /// Key-value store: reject requests for a limited time.
    RejectRequests {
        /// The number of the controller whose requests are rejected; `None` rejects the
        /// requests of all controllers.
        controller: Option<usize>,
        /// Duration in milliseconds, from the receipt of the command.
        for_ms: u64,
    },
    /// Key-value store: apply the lower limits that the scenario announces in `state.next`.
    ApplyNextLimits,
    /// Workers: boot these machines.
    Boot {
        /// The machines' numbers, as in [`crate::scenario::Scenario::machine`].
        machines: Vec<u32>,
        /// The boot time in milliseconds, after which the workers send heartbeats.
        after_ms: u64,
    },
    /// Workers: shut down these machines and end their tasks immediately.
    Remove {
        /// The machines' numbers, as in [`crate::scenario::Scenario::machine`].
        machines: Vec<u32>,
    },
    /// Workers: cut these machines off from all controllers for a limited time.
    Isolate {
        /// The machines' numbers, as in [`crate::scenario::Scenario::machine`].
        machines: Vec<u32>,
        /// Duration in milliseconds, from the receipt of the command.
        for_ms: u64,
    },
    /// Cloud: list these machines as failed.
    MarkFailed {
        /// The machines' numbers, as in [`crate::scenario::Scenario::machine`].
        machines: Vec<u32>,
    },
    /// Workers: cut a zone's machines off from all controllers for a limited time.
    IsolateZone {
        /// The zone's index in the scenario's `zones`.
        zone: usize,
        /// Duration in milliseconds, from the receipt of the command.
        for_ms: u64,
    },
}

/// The response to a command: traffic since the start, and current counters.
#[derive(Clone, Default, Debug, Serialize, Deserialize)]
pub struct Stats {
    /// Messages and bytes on all sockets, commands included.
    pub traffic: Traffic,
    /// The number of open connections.
    pub sockets: usize,
    /// The counters that this kind of simulator keeps, by name.
    pub counters: std::collections::BTreeMap<String, f64>,
}

/// The line that a simulator prints on its standard output once it accepts connections.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ready {
    /// The address at which the simulator accepts commands.
    pub control: SocketAddrV4,
    /// The simulator's other listeners: one for each controller (key-value store), a single
    /// one (cloud), one for each machine (workers), or none (users).
    pub listeners: Vec<SocketAddrV4>,
}

/// Sends a command to a simulator and returns the counters in the response.
pub fn send(to: SocketAddrV4, command: &SimulatorCommand) -> io::Result<Stats> {
    let body = serde_json::to_vec(command)?;
    let response = request(to, "POST", CONTROL_PATH, &body)?;
    Ok(serde_json::from_slice(&response)?)
}

/// Sends one request and returns the body of the response. A status other than 200 is an
/// error.
pub fn request(to: SocketAddrV4, method: &str, path: &str, body: &[u8]) -> io::Result<Vec<u8>> {
    let response = call(to, method, path, body)?;
    match response.status {
        200 => Ok(response.body),
        status => Err(io::Error::other(format!(
            "{method} {path}: got status {status}, expected 200"
        ))),
    }
}

/// Sends one request on a new connection and returns the response, whatever its status.
pub fn call(to: SocketAddrV4, method: &str, path: &str, body: &[u8]) -> io::Result<http::Response> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    let mut output = Vec::new();
    http::write_request(&mut output, method, path, "lilacfork", body);
    stream.write_all(&output)?;
    let mut input = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let read = stream.read(&mut buffer)?;
        input.extend_from_slice(&buffer[..read]);
        match http::parse_response(&input, read == 0) {
            Ok(Some(parsed)) => return Ok(parsed.message),
            Ok(None) if read > 0 => {}
            Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Err(e) => return Err(io::Error::other(e)),
        }
    }
}

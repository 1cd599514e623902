//! The harness's commands to simulators: one small POST request each.

use crate::net::Traffic;
use lilacfork::http;
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// The path of commands.
pub const CONTROL_PATH: &str = "/control";
/// How long a response is waited for.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// A command to a simulator, which ignores those for other simulators.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum SimulatorCommand {
    /// Return the counters.
    Stats,
    /// End.
    Stop,
    /// Key-value store: reject the requests of this controller, or of all, for a while.
    RejectRequests {
        /// The controller's number.
        controller: Option<usize>,
        /// For how long.
        for_ms: u64,
    },
    /// Key-value store: the announced limits come into force.
    ApplyNextLimits,
    /// Workers: these machines boot, which takes a while.
    Boot {
        /// The machines' numbers.
        machines: Vec<u32>,
        /// How long.
        after_ms: u64,
    },
    /// Workers: these machines are gone at once.
    Remove {
        /// The machines' numbers.
        machines: Vec<u32>,
    },
    /// Workers: these machines are unreachable for a while.
    Isolate {
        /// The machines' numbers.
        machines: Vec<u32>,
        /// For how long.
        for_ms: u64,
    },
    /// Cloud: these machines have failed.
    MarkFailed {
        /// The machines' numbers.
        machines: Vec<u32>,
    },
    /// Workers: those of this zone are unreachable for a while.
    IsolateZone {
        /// The zone's number.
        zone: usize,
        /// For how long.
        for_ms: u64,
    },
}

/// The counters of a simulator.
#[derive(Clone, Default, Debug, Serialize, Deserialize)]
pub struct Stats {
    /// Messages and bytes.
    pub traffic: Traffic,
    /// Open connections.
    pub sockets: usize,
    /// The simulator's own counters, by name.
    pub counters: std::collections::BTreeMap<String, f64>,
}

/// What a simulator prints once it can be reached.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ready {
    /// Where it accepts commands.
    pub control: SocketAddrV4,
    /// Its other listeners.
    pub listeners: Vec<SocketAddrV4>,
}

/// Sends a command and waits for the response.
pub fn send(to: SocketAddrV4, command: &SimulatorCommand) -> io::Result<Stats> {
    let body = serde_json::to_vec(command)?;
    let response = request(to, "POST", CONTROL_PATH, &body)?;
    Ok(serde_json::from_slice(&response)?)
}

/// Makes one request and waits for the body of a successful response.
pub fn request(to: SocketAddrV4, method: &str, path: &str, body: &[u8]) -> io::Result<Vec<u8>> {
    let response = call(to, method, path, body)?;
    match response.status {
        200 => Ok(response.body),
        status => Err(io::Error::other(format!("status {status}"))),
    }
}

/// Makes one request and waits for the response.
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

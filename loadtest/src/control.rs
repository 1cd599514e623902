//! What the harness tells the hollow parts, and how: one small POST at a time.

use crate::net::Traffic;
use lilacfork::http;
use serde::{Deserialize, Serialize};
use std::io::{self, Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

/// Where a part takes commands.
pub const CONTROL_PATH: &str = "/control";
/// How long the harness waits for an answer.
const PATIENCE: Duration = Duration::from_secs(20);

/// A command to a part. Those that don't concern it are ignored.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Say what was counted so far.
    Stats,
    /// End.
    Stop,
    /// State service: refuse this controller, or all, for a while.
    Refuse {
        /// The controller's number.
        controller: Option<usize>,
        /// For how long.
        for_ms: u64,
    },
    /// State service: the announced limits come into force.
    LowerLimits,
    /// Workers: these machines come up after a while.
    Boot {
        /// The machines' numbers.
        machines: Vec<u32>,
        /// After how long.
        after_ms: u64,
    },
    /// Workers: these machines are gone at once.
    Remove {
        /// The machines' numbers.
        machines: Vec<u32>,
    },
    /// Workers: these machines reach nobody for a while.
    Silence {
        /// The machines' numbers.
        machines: Vec<u32>,
        /// For how long.
        for_ms: u64,
    },
    /// Cloud: these machines have failed.
    Failed {
        /// The machines' numbers.
        machines: Vec<u32>,
    },
    /// Workers: those of this zone reach nobody for a while.
    Cut {
        /// The zone's number.
        zone: usize,
        /// For how long.
        for_ms: u64,
    },
}

/// What a part has counted.
#[derive(Clone, Default, Debug, Serialize, Deserialize)]
pub struct Stats {
    /// Messages and bytes.
    pub traffic: Traffic,
    /// Open connections.
    pub sockets: usize,
    /// Counters of the part's own, by name.
    pub counters: std::collections::BTreeMap<String, f64>,
}

/// What a part says once it can be reached.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ready {
    /// Where it takes commands.
    pub control: SocketAddrV4,
    /// Its other listeners.
    pub listeners: Vec<SocketAddrV4>,
}

/// Sends a command and waits for the answer.
pub fn send(to: SocketAddrV4, command: &Command) -> io::Result<Stats> {
    let body = serde_json::to_vec(command)?;
    let answer = request(to, "POST", CONTROL_PATH, &body)?;
    Ok(serde_json::from_slice(&answer)?)
}

/// Makes one request and waits for the body of a good answer.
pub fn request(to: SocketAddrV4, method: &str, path: &str, body: &[u8]) -> io::Result<Vec<u8>> {
    let response = ask(to, method, path, body)?;
    match response.status {
        200 => Ok(response.body),
        status => Err(io::Error::other(format!("status {status}"))),
    }
}

/// Makes one request and waits for the answer: its status and body.
pub fn ask(to: SocketAddrV4, method: &str, path: &str, body: &[u8]) -> io::Result<http::Response> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(PATIENCE))?;
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

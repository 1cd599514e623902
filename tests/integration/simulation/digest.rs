//! A digest of everything that the controllers of a trace send: the safety net of
//! changes that must not change behaviour.
//!
//! It is off in ordinary runs. With `TRACE_DIGESTS=FILE` in the environment each
//! simulation appends one line to the file when it ends: the test's name, how many
//! messages its controllers sent, and the digest. Two runs of the same behaviour
//! give the same lines, but for traces in which the order of a hash map shows
//! (docs/ARCHITECTURE.md).

use lilacfork::messages::{Destination, Effect};
use std::fs::OpenOptions;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Write;

/// The environment variable that names the file for digests.
const FILE_VARIABLE: &str = "TRACE_DIGESTS";

/// What the controllers of one simulation have sent so far.
pub struct Digest {
    file: String,
    hasher: DefaultHasher,
    messages: u64,
}

impl Digest {
    /// `None`: no digest was asked for.
    pub fn from_environment() -> Option<Digest> {
        let file = std::env::var(FILE_VARIABLE).ok()?;
        Some(Digest {
            file,
            hasher: DefaultHasher::new(),
            messages: 0,
        })
    }

    /// Adds a message that a controller sends.
    pub fn add(&mut self, now_ms: u64, node: usize, effect: &Effect) {
        self.messages += 1;
        (now_ms, node).hash(&mut self.hasher);
        match effect {
            Effect::Reply(conn, reply) => {
                (conn.0, reply.status, &reply.body).hash(&mut self.hasher);
                reply.retry_after_s.hash(&mut self.hasher);
            }
            Effect::Call(id, call) => {
                (id.0, call.method, &call.path).hash(&mut self.hasher);
                (&call.body, call.timeout_ms).hash(&mut self.hasher);
                hash_target(&call.destination, &mut self.hasher);
            }
        }
    }
}

fn hash_target(target: &Destination, hasher: &mut DefaultHasher) {
    let (kind, address) = match target {
        Destination::KvStore => (0, ""),
        Destination::KvWatch => (1, ""),
        Destination::Cloud => (2, ""),
        Destination::Worker(address) => (3, address.as_str()),
        Destination::Peer(address) => (4, address.as_str()),
    };
    (kind, address).hash(hasher);
}

impl Drop for Digest {
    fn drop(&mut self) {
        let thread = std::thread::current();
        let test = thread.name().unwrap_or("unnamed");
        let line = format!("{test} {} {:016x}\n", self.messages, self.hasher.finish());
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.file);
        if let Err(e) = file.and_then(|mut file| file.write_all(line.as_bytes())) {
            eprintln!("{}: {e}", self.file);
        }
    }
}

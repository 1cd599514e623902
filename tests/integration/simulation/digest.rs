//! A digest of everything that the simulated controllers send, for verifying that a
//! refactoring doesn't change behaviour.
//!
//! Digests are off by default. With `TRACE_DIGESTS=FILE` in the environment, each
//! simulation appends one line to the file when it is dropped: the test's name, the number
//! of messages that its controllers sent, and the digest. Two runs with the same behaviour
//! write the same lines, except for simulations whose messages depend on the iteration
//! order of a hash map (docs/ARCHITECTURE.md).

use lilacfork::messages::{Destination, Effect};
use std::fs::OpenOptions;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Write;

/// The environment variable with the path of the file to which digests are appended.
const FILE_VARIABLE: &str = "TRACE_DIGESTS";

/// The digest of the messages that the controllers of one simulation have sent so far.
pub struct Digest {
    file: String,
    hasher: DefaultHasher,
    messages: u64,
}

impl Digest {
    /// Creates an empty digest, or returns `None` if the environment doesn't request digests.
    pub fn from_environment() -> Option<Digest> {
        let file = std::env::var(FILE_VARIABLE).ok()?;
        Some(Digest {
            file,
            hasher: DefaultHasher::new(),
            messages: 0,
        })
    }

    /// Adds a message that a controller sends to the digest.
    pub fn add(&mut self, now_ms: u64, controller: usize, effect: &Effect) {
        self.messages += 1;
        (now_ms, controller).hash(&mut self.hasher);
        match effect {
            Effect::Reply(connection, reply) => {
                (connection.0, reply.status, &reply.body).hash(&mut self.hasher);
                reply.retry_after_s.hash(&mut self.hasher);
            }
            Effect::Call(id, call) => {
                (id.0, call.method, &call.path).hash(&mut self.hasher);
                (&call.body, call.timeout_ms).hash(&mut self.hasher);
                hash_destination(&call.destination, &mut self.hasher);
            }
        }
    }
}

fn hash_destination(destination: &Destination, hasher: &mut DefaultHasher) {
    let (kind, address) = match destination {
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
        if let Err(error) = file.and_then(|mut file| file.write_all(line.as_bytes())) {
            eprintln!("cannot append the digest to {}: {error}", self.file);
        }
    }
}

//! The messages between the node, its actors and the reactor.

pub use lilacfork_common::time::Now;

/// The identifier of an incoming connection, under which the node replies to its request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// The identifier of an outgoing call, unique within one process.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// The listener that accepted a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Listener {
    /// The listener for users, workers and the load balancer.
    Client,
    /// The listener for peers.
    Peer,
}

/// The receiver of a call.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum Destination {
    /// The key-value store.
    KvStore,
    /// The key-value store, for watches. Watches stay open for a long time, so they use
    /// separate connections.
    KvWatch,
    /// The cloud's API.
    Cloud,
    /// The worker at this address.
    Worker(String),
    /// The peer at this address.
    Peer(String),
}

/// An HTTP request that this process sends.
#[derive(Clone, Debug)]
pub struct Call {
    /// The service or controller that the request is sent to.
    pub destination: Destination,
    /// HTTP method, in upper case.
    pub method: &'static str,
    /// Path with query, without scheme and host.
    pub path: String,
    /// Encoded body; empty if the request has none.
    pub body: Vec<u8>,
    /// Maximum time to wait for the response.
    pub timeout_ms: u64,
}

/// The reason why a call has no response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallError {
    /// The request was not sent, so it was not executed.
    NotSent,
    /// The request may have been executed, or may still be executed later.
    Indeterminate,
}

/// Status and body of the response, or the reason why there is no response.
pub type CallResult = Result<(u16, Vec<u8>), CallError>;

/// The response to an incoming request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Encoded body: protobuf in responses to peer heartbeats, JSON in all others.
    pub body: Vec<u8>,
    /// Value of the `Retry-After` header. `None` leaves the header out.
    pub retry_after_s: Option<u64>,
}

impl Reply {
    /// Creates a response with a JSON body.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Reply {
        Reply {
            status,
            body: serde_json::to_vec(body).unwrap_or_default(),
            retry_after_s: None,
        }
    }

    /// Creates a response with the body `{"error": message}`.
    pub fn error(status: u16, message: &str) -> Reply {
        Reply::json(status, &serde_json::json!({ "error": message }))
    }

    /// Creates an error response that asks the client to retry after `after_s` seconds.
    pub fn retry_later(status: u16, message: &str, after_s: u64) -> Reply {
        Reply {
            retry_after_s: Some(after_s),
            ..Reply::error(status, message)
        }
    }
}

/// An incoming HTTP request.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method, as received.
    pub method: String,
    /// Path with query, as received.
    pub path: String,
    /// Complete body; empty if the request has none.
    pub body: Vec<u8>,
}

/// An action that the node requests from the reactor.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends the reply on this connection.
    Reply(ConnectionId, Reply),
    /// Sends this call; the reactor reports its result under the id.
    Call(CallId, Call),
}

/// Progress of a job, for display.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct TaskProgress {
    /// Number of tasks that have completed.
    pub done: u32,
    /// Number of tasks that are running.
    pub running: u32,
    /// Whether the job's replicas span several machines. A report that such a replica is
    /// serving is valid only while the reporting leader leads.
    pub multi_host: bool,
}

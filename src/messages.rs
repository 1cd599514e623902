//! The messages between the node, its actors and the reactor.

pub use lilacfork_common::time::Now;

/// A connection on which a client waits for a reply.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A call of this process.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// The listener that accepted a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Listener {
    /// Users, workers and the load balancer.
    Client,
    /// The other controllers.
    Peer,
}

/// The receiver of a call.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum Destination {
    /// The key-value store.
    KvStore,
    /// The key-value store, for watches: they wait for long and have connections of
    /// their own.
    KvWatch,
    /// The cloud.
    Cloud,
    /// The worker at this address.
    Worker(String),
    /// The controller at this address.
    Peer(String),
}

/// A request that this process makes.
#[derive(Clone, Debug)]
pub struct Call {
    /// The receiver.
    pub destination: Destination,
    /// The HTTP method.
    pub method: &'static str,
    /// The path, with its query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// How long a response is waited for.
    pub timeout_ms: u64,
}

/// Why a call has no response.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallError {
    /// The request wasn't sent: certainly not executed.
    NotSent,
    /// It may have been executed, or may be later.
    Indeterminate,
}

/// Status and body of the response, or why there is none.
pub type CallResult = Result<(u16, Vec<u8>), CallError>;

/// The response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// `Retry-After`, in seconds.
    pub retry_after_s: Option<u64>,
}

impl Reply {
    /// A response with a JSON body.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Reply {
        Reply {
            status,
            body: serde_json::to_vec(body).unwrap_or_default(),
            retry_after_s: None,
        }
    }

    /// A response that names an error.
    pub fn error(status: u16, message: &str) -> Reply {
        Reply::json(status, &serde_json::json!({ "error": message }))
    }

    /// An error for a request that may succeed later, with the time to retry.
    pub fn retry_later(status: u16, message: &str, after_s: u64) -> Reply {
        Reply {
            retry_after_s: Some(after_s),
            ..Reply::error(status, message)
        }
    }
}

/// A request that was received.
#[derive(Clone, Debug)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path, with its query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
}

/// What the node wants the reactor to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Reply on this connection.
    Reply(ConnectionId, Reply),
    /// Make this call.
    Call(CallId, Call),
}

/// Progress of a job, for display.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct TaskProgress {
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
    /// The job's replicas span machines. A report that such a replica serves holds
    /// only as long as the leader that made it leads.
    pub multi_host: bool,
}

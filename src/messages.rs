//! What actors and the reactor say to each other.

pub use lilacfork_common::time::Now;

/// A connection on which somebody waits for an answer.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A call that this process made.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Which listener a request came in by.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Listener {
    /// Users, workers and the load balancer.
    Client,
    /// The other controllers.
    Peer,
}

/// Whom a call goes to.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum Destination {
    /// The state service.
    KvStore,
    /// Watches hang for long; they have connections of their own.
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
    /// Whom it goes to.
    pub target: Destination,
    /// The HTTP method.
    pub method: &'static str,
    /// The path, with its query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// How long an answer is waited for.
    pub timeout_ms: u64,
}

/// Why a call has no answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallError {
    /// Nothing was sent: certainly not executed.
    NotSent,
    /// It may have been executed, or may yet be.
    Indeterminate,
}

/// Status and body of the answer, or why there is none.
pub type CallResult = Result<(u16, Vec<u8>), CallError>;

/// An answer to somebody else's request.
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
    /// An answer with a JSON body.
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Reply {
        Reply {
            status,
            body: serde_json::to_vec(body).unwrap_or_default(),
            retry_after_s: None,
        }
    }
    /// An answer that says what is wrong.
    pub fn error(status: u16, why: &str) -> Reply {
        Reply::json(status, &serde_json::json!({ "error": why }))
    }
    /// For what may go well later: says when to come back.
    pub fn retry_later(status: u16, why: &str, after_s: u64) -> Reply {
        Reply {
            retry_after_s: Some(after_s),
            ..Reply::error(status, why)
        }
    }
}

/// A request of somebody else.
#[derive(Clone, Debug)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path, with its query.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
}

/// What the node asks of the reactor.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer who waits on this connection.
    Reply(ConnectionId, Reply),
    /// Make this call.
    Call(CallId, Call),
}

/// How far a job is, for display.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct TaskProgress {
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
    /// They are parts of replicas that span machines. That such a replica serves is
    /// only true as long as the leader that says so leads.
    pub multi_host: bool,
}

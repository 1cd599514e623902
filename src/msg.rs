//! What actors and the reactor say to each other.

/// The two clocks, read once per turn by the reactor and passed in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Steady clock, milliseconds.
    pub ms: u64,
    /// Time of day, milliseconds since 1970; shared between controllers up to
    /// the bound in the settings.
    pub wall: u64,
}

/// A connection on which somebody waits for an answer.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct ConnId(pub u64);

/// A call that this process made.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Which listener a request came in by.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Port {
    Client,
    Peer,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum Target {
    State,
    /// Watches hang for long; they have connections of their own.
    StateWatch,
    Cloud,
    Worker(String),
    Peer(String),
}

#[derive(Clone, Debug)]
pub struct Call {
    pub target: Target,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub timeout_ms: u64,
}

/// Why a call has no answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CallError {
    /// Nothing was sent: certainly not executed.
    NotSent,
    /// It may have been executed, or may yet be.
    Unclear,
}

pub type Outcome = Result<(u16, Vec<u8>), CallError>;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u64>,
}

impl Reply {
    pub fn json<T: serde::Serialize>(status: u16, body: &T) -> Reply {
        Reply {
            status,
            body: serde_json::to_vec(body).unwrap_or_default(),
            retry_after_s: None,
        }
    }
    pub fn error(status: u16, why: &str) -> Reply {
        Reply::json(status, &serde_json::json!({ "error": why }))
    }
    /// For what may go well later: says when to come back.
    pub fn later(status: u16, why: &str, after_s: u64) -> Reply {
        Reply {
            retry_after_s: Some(after_s),
            ..Reply::error(status, why)
        }
    }
}

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub body: Vec<u8>,
}

/// What the node asks of the reactor.
#[derive(Clone, Debug)]
pub enum Effect {
    Reply(ConnId, Reply),
    Call(CallId, Call),
}

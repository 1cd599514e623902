//! The effects that the gateway requests from its controller.

use super::pending_request::RequestNumber;
use crate::ids::JobId;
use crate::kv_client::KvCall;
use crate::limits::RequestSize;
use crate::messages::{ConnectionId, Reply};

/// The effects that one invocation of the gateway requests. The caller executes them.
#[derive(Default)]
pub struct GatewayEffects {
    /// Whether a request waits for the next poll of the records.
    pub poll_requested: bool,
    /// The replies to users' requests, by connection.
    pub replies: Vec<(ConnectionId, Reply)>,
    /// The calls to submit to the key-value store.
    pub calls: Vec<KvCall<RequestNumber>>,
    /// The jobs whose records were just written, which are to be announced to the leader.
    pub jobs_to_announce: Vec<JobId>,
    /// The jobs whose cancellation one of the replies confirms.
    pub confirmed_cancellations: Vec<JobId>,
    /// The size of a write that the key-value store rejected as malformed.
    pub rejected_write: Option<RequestSize>,
}

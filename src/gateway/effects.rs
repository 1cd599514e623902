//! What the gateway wants done.

use super::pending_request::RequestNumber;
use crate::ids::JobId;
use crate::kv_client::KvCall;
use crate::limits::RequestSize;
use crate::messages::{ConnectionId, Reply};

/// What the gateway wants done.
#[derive(Default)]
pub struct GatewayEffects {
    /// A request waits for the next poll of the records.
    pub poll_requested: bool,
    /// Responses to users.
    pub replies: Vec<(ConnectionId, Reply)>,
    /// Calls of the key-value store.
    pub calls: Vec<KvCall<RequestNumber>>,
    /// Jobs whose records were just written, to be announced to the leader.
    pub jobs_to_announce: Vec<JobId>,
    /// Jobs of which a user is told here for the first time that they are cancelled.
    pub confirmed_cancellations: Vec<JobId>,
    /// The key-value store rejected a write of this size as malformed.
    pub rejected_write: Option<RequestSize>,
}

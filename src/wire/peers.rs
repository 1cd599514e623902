//! Messages between controllers, in protocol buffers. Each controller's log of the
//! cancellations that it has confirmed to users is authoritative; all other fields are
//! hints.

use prost::Message;

/// Path of messages between controllers.
pub const PEER_PATH: &str = "/peer";

/// The heartbeat that every controller sends to every other one several times per lease
/// of the leader.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHeartbeat {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Name of the leader that the sender read from the key-value store; empty: none.
    #[prost(string, tag = "2")]
    pub leader: String,
    /// Latest term that the sender knows.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Whether the sender's latest result from the key-value store was a response other
    /// than 503.
    #[prost(bool, tag = "4")]
    pub kv_reachable: bool,
    /// Progress of jobs, which only the leader sends, for the job states that users see.
    #[prost(message, repeated, tag = "5")]
    pub job_progress: Vec<JobProgress>,
    /// Ids of jobs for which the sender has just written a submission or a cancellation.
    #[prost(string, repeated, tag = "6")]
    pub announced: Vec<String>,
    /// Recent rate of the sender's write operations in the key-value store, per second.
    #[prost(double, tag = "12")]
    pub writes_per_s: f64,
    /// Position up to which the sender knows the receiver's confirmed cancellations.
    #[prost(message, optional, tag = "10")]
    pub cursor: Option<ConfirmationCursor>,
    /// Confirmed cancellations of the sender that the receiver may not know.
    #[prost(message, optional, tag = "11")]
    pub confirmations: Option<ConfirmedCancellations>,
    /// Whether the sender receives no heartbeat from any worker that should send its
    /// heartbeats to it.
    #[prost(bool, tag = "9")]
    pub unreachable: bool,
    /// Bodies of the worker heartbeats that the sender has responded to, as received. Only
    /// the leader gets them.
    #[prost(bytes = "vec", repeated, tag = "7")]
    pub worker_heartbeats: Vec<Vec<u8>>,
    /// Whether the sender knows that the key-value store's announced limits apply.
    #[prost(bool, tag = "13")]
    pub announced_limits_apply: bool,
    /// Version of the sender's program; versions before 0.2 don't send it.
    #[prost(string, tag = "14")]
    pub version: String,
    /// When the heartbeat was sent, by the sender's wall clock in milliseconds since the Unix
    /// epoch. 0: a version that sends neither this nor the next two fields.
    #[prost(uint64, tag = "15")]
    pub sent_wall_ms: u64,
    /// Time since the key-value store last responded to the sender with a status other than
    /// 503, watches excepted, in milliseconds. `None` if it hasn't responded to the sender's
    /// process.
    #[prost(uint64, optional, tag = "16")]
    pub store_response_age_ms: Option<u64>,
    /// Time since the sender's latest call to the key-value store that failed, watches
    /// excepted, in milliseconds. `None` if none has failed.
    #[prost(uint64, optional, tag = "17")]
    pub store_failure_age_ms: Option<u64>,
}

/// Progress of a job, for the job state that a user sees.
#[derive(Clone, PartialEq, Message)]
pub struct JobProgress {
    /// Id of the job.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Number of tasks that are done.
    #[prost(uint32, tag = "2")]
    pub done: u32,
    /// Number of tasks that are running.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// Whether the running tasks are parts of serving replicas that span machines.
    #[prost(bool, tag = "4")]
    pub multi_host: bool,
}

/// A position in the numbered log of the cancellations that one controller process has
/// confirmed.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ConfirmationCursor {
    /// Incarnation of the process that keeps the log.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Number of the last entry up to which all entries are known.
    #[prost(uint64, tag = "2")]
    pub up_to: u64,
}

/// Cancellations that one controller process has confirmed to users, numbered from 1.
#[derive(Clone, PartialEq, Message)]
pub struct ConfirmedCancellations {
    /// Name of the sender.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Incarnation of the sender's process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Number of the first entry in `jobs`. The other entries have consecutive numbers.
    #[prost(uint64, tag = "3")]
    pub first: u64,
    /// Ids of the cancelled jobs, in the order of the log.
    #[prost(string, repeated, tag = "4")]
    pub jobs: Vec<String>,
    /// Number of entries that the log has had so far, including removed ones.
    #[prost(uint64, tag = "5")]
    pub total: u64,
}

/// The response to a heartbeat of a controller.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHeartbeatResponse {
    /// Confirmed cancellations of the responder after the heartbeat's cursor.
    #[prost(message, optional, tag = "2")]
    pub confirmations: Option<ConfirmedCancellations>,
}

/// Encodes a heartbeat response.
pub fn encode_heartbeat_response(response: &PeerHeartbeatResponse) -> Vec<u8> {
    response.encode_to_vec()
}

/// Decodes a heartbeat response. Returns `None` if it is malformed.
pub fn decode_heartbeat_response(bytes: &[u8]) -> Option<PeerHeartbeatResponse> {
    PeerHeartbeatResponse::decode(bytes).ok()
}

/// Encodes a heartbeat.
pub fn encode_heartbeat(heartbeat: &PeerHeartbeat) -> Vec<u8> {
    heartbeat.encode_to_vec()
}

/// Decodes a heartbeat. Returns `None` if it is malformed.
pub fn decode_heartbeat(bytes: &[u8]) -> Option<PeerHeartbeat> {
    PeerHeartbeat::decode(bytes).ok()
}

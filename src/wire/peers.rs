//! The other controllers, in protocol buffers: hints, and the cancellations that each
//! has confirmed to users, for which it vouches.

use prost::Message;

/// Where controllers take each other's messages.
pub const PEER_PATH: &str = "/peer";

/// Sent by every controller to every other a few times per lease.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHeartbeat {
    /// The sender.
    #[prost(string, tag = "1")]
    pub node: String,
    /// The leader that the sender knows from the state service, if any.
    #[prost(string, tag = "2")]
    pub leader: String,
    /// The latest term that it knows.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// The sender has heard from the state service lately.
    #[prost(bool, tag = "4")]
    pub state_reachable: bool,
    /// From the leader: counts for display.
    #[prost(message, repeated, tag = "5")]
    pub job_progress: Vec<JobProgress>,
    /// A job or cancellation that the sender has just written.
    #[prost(string, repeated, tag = "6")]
    pub announced: Vec<String>,
    /// Changes that the sender makes to the state service per second.
    #[prost(double, tag = "12")]
    pub writes_per_s: f64,
    /// How far the sender knows the receiver's confirmed cancellations.
    #[prost(message, optional, tag = "10")]
    pub cursor: Option<ConfirmationCursor>,
    /// Cancellations that the receiver may not have heard of.
    #[prost(message, optional, tag = "11")]
    pub confirmations: Option<ConfirmedCancellations>,
    /// No worker that should report to the sender reaches it.
    #[prost(bool, tag = "9")]
    pub unreachable: bool,
    /// To the leader: workers' reports that the sender has answered, as they
    /// came.
    #[prost(bytes = "vec", repeated, tag = "7")]
    pub worker_heartbeats: Vec<Vec<u8>>,
    /// The sender knows that the state service's announced limits are in force.
    #[prost(bool, tag = "13")]
    pub limits_lowered: bool,
    /// The sender's version; versions before 0.2 leave it out.
    #[prost(string, tag = "14")]
    pub version: String,
}

/// Progress of a job, for display.
#[derive(Clone, PartialEq, Message)]
pub struct JobProgress {
    /// The job's id.
    #[prost(string, tag = "1")]
    pub job: String,
    /// Tasks that are done.
    #[prost(uint32, tag = "2")]
    pub done: u32,
    /// Tasks that run.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// They are parts of replicas that span machines, all of which serve.
    #[prost(bool, tag = "4")]
    pub multi_host: bool,
}

/// A place in the numbered cancellations that one process has confirmed.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ConfirmationCursor {
    /// The process whose log is meant.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// All up to this number are known.
    #[prost(uint64, tag = "2")]
    pub have: u64,
}

/// Cancellations that a process has confirmed to users, numbered from 1.
#[derive(Clone, PartialEq, Message)]
pub struct ConfirmedCancellations {
    /// The sender.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The number of the first one told here; the others follow.
    #[prost(uint64, tag = "3")]
    pub first: u64,
    /// The jobs, in the order of the log.
    #[prost(string, repeated, tag = "4")]
    pub jobs: Vec<String>,
    /// How many there are in all.
    #[prost(uint64, tag = "5")]
    pub total: u64,
}

/// The answer to a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHeartbeatResponse {
    /// What the sender asked for with its cursor.
    #[prost(message, optional, tag = "2")]
    pub confirmations: Option<ConfirmedCancellations>,
}

/// The answer as bytes.
pub fn encode_response(answer: &PeerHeartbeatResponse) -> Vec<u8> {
    answer.encode_to_vec()
}

/// Reads an answer; `None` if it isn't one.
pub fn decode_response(bytes: &[u8]) -> Option<PeerHeartbeatResponse> {
    PeerHeartbeatResponse::decode(bytes).ok()
}

/// The heartbeat as bytes.
pub fn encode(heartbeat: &PeerHeartbeat) -> Vec<u8> {
    heartbeat.encode_to_vec()
}

/// Reads a heartbeat; `None` if it isn't one.
pub fn decode(bytes: &[u8]) -> Option<PeerHeartbeat> {
    PeerHeartbeat::decode(bytes).ok()
}

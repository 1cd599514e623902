//! The other controllers, in protocol buffers: hints, and each controller's log of the
//! cancellations that it has confirmed to users, which is authoritative.

use prost::Message;

/// Path of the controllers' messages to each other.
pub const PEER_PATH: &str = "/peer";

/// Sent by every controller to every other a few times per lease.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHeartbeat {
    /// The sender.
    #[prost(string, tag = "1")]
    pub node: String,
    /// The leader that the sender knows from the key-value store; empty: none.
    #[prost(string, tag = "2")]
    pub leader: String,
    /// The latest term that it knows.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// Whether the key-value store has responded to the sender lately.
    #[prost(bool, tag = "4")]
    pub kv_reachable: bool,
    /// From the leader: progress of jobs, for display.
    #[prost(message, repeated, tag = "5")]
    pub job_progress: Vec<JobProgress>,
    /// Jobs and cancellations that the sender has just written.
    #[prost(string, repeated, tag = "6")]
    pub announced: Vec<String>,
    /// Write operations per second that the sender makes in the key-value store.
    #[prost(double, tag = "12")]
    pub writes_per_s: f64,
    /// Up to where the sender knows the receiver's confirmed cancellations.
    #[prost(message, optional, tag = "10")]
    pub cursor: Option<ConfirmationCursor>,
    /// Cancellations that the receiver may not know.
    #[prost(message, optional, tag = "11")]
    pub confirmations: Option<ConfirmedCancellations>,
    /// No worker that should send its heartbeats to the sender reaches it.
    #[prost(bool, tag = "9")]
    pub unreachable: bool,
    /// To the leader: workers' heartbeats that the sender has answered, as they were
    /// received.
    #[prost(bytes = "vec", repeated, tag = "7")]
    pub worker_heartbeats: Vec<Vec<u8>>,
    /// The sender knows that the key-value store's announced limits are in force.
    #[prost(bool, tag = "13")]
    pub announced_limits_apply: bool,
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
    /// Tasks that are running.
    #[prost(uint32, tag = "3")]
    pub running: u32,
    /// The running tasks are parts of replicas that span machines and serve.
    #[prost(bool, tag = "4")]
    pub multi_host: bool,
}

/// A position in the numbered log of cancellations that one process has confirmed.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ConfirmationCursor {
    /// The process whose log it is.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// All entries up to this number are known.
    #[prost(uint64, tag = "2")]
    pub up_to: u64,
}

/// Cancellations that a process has confirmed to users, numbered from 1.
#[derive(Clone, PartialEq, Message)]
pub struct ConfirmedCancellations {
    /// The sender.
    #[prost(string, tag = "1")]
    pub node: String,
    /// The sender's process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The number of the first entry in this message; the others follow it.
    #[prost(uint64, tag = "3")]
    pub first: u64,
    /// The jobs, in the order of the log.
    #[prost(string, repeated, tag = "4")]
    pub jobs: Vec<String>,
    /// How many entries the log has had so far.
    #[prost(uint64, tag = "5")]
    pub total: u64,
}

/// The response to a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct PeerHeartbeatResponse {
    /// What the heartbeat's cursor asked for.
    #[prost(message, optional, tag = "2")]
    pub confirmations: Option<ConfirmedCancellations>,
}

/// Encodes a response.
pub fn encode_response(response: &PeerHeartbeatResponse) -> Vec<u8> {
    response.encode_to_vec()
}

/// Decodes a response; `None` if it is malformed.
pub fn decode_response(bytes: &[u8]) -> Option<PeerHeartbeatResponse> {
    PeerHeartbeatResponse::decode(bytes).ok()
}

/// Encodes a heartbeat.
pub fn encode(heartbeat: &PeerHeartbeat) -> Vec<u8> {
    heartbeat.encode_to_vec()
}

/// Decodes a heartbeat; `None` if it is malformed.
pub fn decode(bytes: &[u8]) -> Option<PeerHeartbeat> {
    PeerHeartbeat::decode(bytes).ok()
}

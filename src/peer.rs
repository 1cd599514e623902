//! What controllers tell each other: hints only, in protocol buffers. Nothing
//! here is ever needed for safety.

use prost::Message;

pub const PEER_PATH: &str = "/peer";

/// Sent by every controller to every other a few times per lease.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    #[prost(string, tag = "1")]
    pub node: String,
    /// The leader that the sender knows from the state service, if any.
    #[prost(string, tag = "2")]
    pub leader: String,
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// The sender has heard from the state service lately.
    #[prost(bool, tag = "4")]
    pub state_reachable: bool,
    /// From the leader: counts for display.
    #[prost(message, repeated, tag = "5")]
    pub counts: Vec<JobCount>,
    /// A job or cancellation that the sender has just written.
    #[prost(string, repeated, tag = "6")]
    pub nudges: Vec<String>,
    /// Cancellations that the sender has just written.
    #[prost(string, repeated, tag = "8")]
    pub cancelled: Vec<String>,
    /// Workers that should report to the sender don't reach it.
    #[prost(bool, tag = "9")]
    pub deaf: bool,
    /// To the leader: workers' reports that the sender has answered, as they
    /// came.
    #[prost(bytes = "vec", repeated, tag = "7")]
    pub reports: Vec<Vec<u8>>,
}

#[derive(Clone, PartialEq, Message)]
pub struct JobCount {
    #[prost(string, tag = "1")]
    pub job: String,
    #[prost(uint32, tag = "2")]
    pub done: u32,
    #[prost(uint32, tag = "3")]
    pub running: u32,
}

/// The leader's answer to reports that were passed on: tasks of cancelled
/// jobs, to be stopped with the next answer, should its own word not arrive.
#[derive(Clone, PartialEq, Message)]
pub struct HelloAnswer {
    #[prost(message, repeated, tag = "1")]
    pub stops: Vec<TaskStop>,
}

#[derive(Clone, PartialEq, Message)]
pub struct TaskStop {
    #[prost(string, tag = "1")]
    pub machine: String,
    #[prost(string, tag = "2")]
    pub task: String,
    #[prost(uint64, tag = "3")]
    pub attempt: u64,
}

pub fn encode_answer(answer: &HelloAnswer) -> Vec<u8> {
    answer.encode_to_vec()
}

pub fn decode_answer(bytes: &[u8]) -> Option<HelloAnswer> {
    HelloAnswer::decode(bytes).ok()
}

pub fn encode(hello: &Hello) -> Vec<u8> {
    hello.encode_to_vec()
}

pub fn decode(bytes: &[u8]) -> Option<Hello> {
    Hello::decode(bytes).ok()
}

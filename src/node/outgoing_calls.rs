//! Calls that this controller has made and that aren't answered yet.

use crate::cloud::CloudCall;
use crate::ids::Term;
use crate::messages::CallId;
use crate::scheduler::WorkerCommandCall;
use std::collections::HashMap;

/// Whom the answer to a call belongs to.
#[derive(Clone, Debug)]
pub(super) enum OutgoingCall {
    /// A call of the key-value client, by its number.
    KvStore(u64),
    /// A call of the cloud client.
    Cloud(CloudCall),
    /// Commands of the leader of this term.
    Worker(Term, WorkerCommandCall),
    /// A heartbeat to another controller.
    Peer {
        /// The peer's number.
        index: usize,
        /// When it was sent.
        sent_ms: u64,
    },
}

/// The calls in flight.
#[derive(Debug, Default)]
pub(super) struct OutgoingCalls {
    in_flight: HashMap<CallId, OutgoingCall>,
    last: u64,
}

impl OutgoingCalls {
    /// Registers a call; its answer comes under the id that this returns.
    pub(super) fn register(&mut self, call: OutgoingCall) -> CallId {
        self.last += 1;
        let id = CallId(self.last);
        self.in_flight.insert(id, call);
        id
    }

    /// The call of this id has been answered, or won't be.
    pub(super) fn finish(&mut self, id: CallId) -> Option<OutgoingCall> {
        self.in_flight.remove(&id)
    }
}

//! The calls of this controller that are in flight.

use crate::cloud::CloudCall;
use crate::ids::Term;
use crate::messages::CallId;
use crate::scheduler::WorkerCommandCall;
use std::collections::HashMap;

/// Who made a call.
#[derive(Clone, Debug)]
pub(super) enum OutgoingCall {
    /// The key-value client, with its id of the call.
    KvStore(u64),
    /// The cloud client.
    Cloud(CloudCall),
    /// The scheduler as leader of this term: commands to a worker.
    Worker(Term, WorkerCommandCall),
    /// The node: a heartbeat to a peer.
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
    last_id: u64,
}

impl OutgoingCalls {
    /// Registers a call under a new id.
    pub(super) fn register(&mut self, call: OutgoingCall) -> CallId {
        self.last_id += 1;
        let id = CallId(self.last_id);
        self.in_flight.insert(id, call);
        id
    }

    /// Removes a call that has a result. `None`: there is no such call.
    pub(super) fn finish(&mut self, id: CallId) -> Option<OutgoingCall> {
        self.in_flight.remove(&id)
    }
}

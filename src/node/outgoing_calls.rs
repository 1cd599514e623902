//! This controller's calls that are in flight.

use crate::cloud::CloudCall;
use crate::ids::Term;
use crate::messages::CallId;
use crate::scheduler::WorkerCommandCall;
use std::collections::HashMap;

/// The sender of a call within this controller, with the data needed to process the
/// result.
#[derive(Clone, Debug)]
pub(super) enum OutgoingCall {
    /// A call of the key-value client, under the client's own id of the call.
    KvStore(u64),
    /// A call of the cloud client.
    Cloud(CloudCall),
    /// Commands to a worker, sent by the scheduler as leader of this term.
    Worker(Term, WorkerCommandCall),
    /// A heartbeat to a peer.
    Peer {
        /// The peer's index in [`Peers`](super::peers::Peers).
        index: usize,
        sent_ms: u64,
    },
}

/// The calls in flight, by id.
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

    /// Removes and returns a call that has a result. Returns `None` if no such call is in
    /// flight.
    pub(super) fn finish(&mut self, id: CallId) -> Option<OutgoingCall> {
        self.in_flight.remove(&id)
    }
}

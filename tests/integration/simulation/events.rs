//! The queue of events in virtual time.

use lilacfork::messages::{Call, CallId, CallResult, Listener, Request};
use std::collections::BTreeMap;

/// A call of one node's process, to which its outcome returns.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub(super) struct CallOrigin {
    pub(super) node: usize,
    /// Tells the node's processes apart: outcomes of an earlier one are dropped.
    pub(super) epoch: u64,
    pub(super) id: CallId,
}

/// An attempt of a task on the machine that runs it.
#[derive(Clone, Debug)]
pub(super) struct TaskAttempt {
    pub(super) machine: String,
    pub(super) task: String,
    pub(super) attempt: u64,
}

/// Who sent a request to a node, and so where its reply goes.
#[derive(Clone, Debug)]
pub(super) enum Sender {
    User(u64),
    /// A worker's heartbeat, and when it was sent.
    Worker(String, u64),
    Peer(CallOrigin),
}

/// Whether the outcome of a call that is carried out reaches the caller.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum Response {
    Returned,
    Lost,
}

/// What happens at one moment of virtual time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A node's timer is due.
    Tick(usize),
    /// A node's call reaches its destination.
    CallArrives {
        origin: CallOrigin,
        call: Call,
        response: Response,
    },
    /// The outcome of a call reaches its caller.
    CallReturns {
        origin: CallOrigin,
        outcome: CallResult,
    },
    /// A request reaches a node.
    RequestArrives {
        node: usize,
        sender: Sender,
        listener: Listener,
        request: Request,
    },
    /// A machine has booted.
    MachineBoots(String),
    /// A worker's heartbeat is due.
    HeartbeatDue(String),
    /// A worker has an image, in the session in which it asked for it.
    ImageFetched { task: TaskAttempt, session: u64 },
    /// A task ends by itself.
    TaskEnds(TaskAttempt),
    /// A halted task has saved its checkpoint.
    CheckpointSaved(TaskAttempt),
    /// A lease of the key-value store may have expired.
    LeaseExpiry,
}

impl Event {
    /// The node whose process handles this event.
    pub(super) fn node(&self) -> Option<usize> {
        match self {
            Event::Tick(node) | Event::RequestArrives { node, .. } => Some(*node),
            Event::CallReturns { origin, .. } => Some(origin.node),
            _ => None,
        }
    }
}

/// Events by their time; those of one moment stay in the order in which they were
/// scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<(u64, u64), Event>,
    last_sequence: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at_ms: u64, event: Event) {
        self.last_sequence += 1;
        self.events.insert((at_ms, self.last_sequence), event);
    }

    /// Takes the next event that is due by then, and its time.
    pub(super) fn pop_due(&mut self, until_ms: u64) -> Option<(u64, Event)> {
        let next = self.events.first_entry()?;
        let (at_ms, _) = *next.key();
        (at_ms <= until_ms).then(|| (at_ms, next.remove()))
    }
}

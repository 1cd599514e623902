//! Events of the simulation and their queue, ordered by virtual time.

use lilacfork::messages::{Call, CallId, CallResult, Listener, Request};
use std::collections::BTreeMap;

/// Identifies a call and the controller process that sent it, to which the outcome returns.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub(super) struct CallOrigin {
    pub(super) node: usize,
    /// The process epoch of the controller when it sent the call. The outcome is dropped if the
    /// process epoch has changed, because the controller was killed or restarted meanwhile.
    pub(super) epoch: u64,
    pub(super) id: CallId,
}

/// One attempt of a task on one machine.
#[derive(Clone, Debug)]
pub(super) struct TaskAttempt {
    pub(super) machine: String,
    pub(super) task: String,
    pub(super) attempt: u64,
}

/// The sender of a request to a controller, which receives the reply.
#[derive(Clone, Debug)]
pub(super) enum Sender {
    /// A user; the number identifies the request.
    User(u64),
    /// The worker on a machine, which sent a heartbeat: the machine's name, and the virtual time
    /// of sending in milliseconds.
    Worker(String, u64),
    /// Another controller, by the call that carries the request.
    Peer(CallOrigin),
}

/// Whether the outcome of an executed call reaches the caller.
#[derive(Clone, Copy, PartialEq, Debug)]
pub(super) enum Response {
    Returned,
    Lost,
}

/// An event that happens at one instant of virtual time.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// The timer of a controller is due.
    Tick(usize),
    /// The call of a controller reaches its destination.
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
    /// A request reaches a controller.
    RequestArrives {
        node: usize,
        sender: Sender,
        listener: Listener,
        request: Request,
    },
    /// The machine with this name has booted.
    MachineBoots(String),
    /// The heartbeat of the worker on the machine with this name is due.
    HeartbeatDue(String),
    /// A worker has pulled the image of a task. `agent_epoch` is the worker's agent epoch when
    /// the pull began.
    ImagePulled { task: TaskAttempt, agent_epoch: u64 },
    /// A task completes or fails.
    TaskEnds(TaskAttempt),
    /// A halted task has saved its checkpoint.
    CheckpointSaved(TaskAttempt),
    /// A lease of the key-value store may have expired. This event is also scheduled for the end
    /// of a watch's waiting time.
    LeaseExpiry,
}

impl Event {
    /// Returns the controller that handles this event, or `None` for events of other
    /// participants.
    pub(super) fn node(&self) -> Option<usize> {
        match self {
            Event::Tick(node) | Event::RequestArrives { node, .. } => Some(*node),
            Event::CallReturns { origin, .. } => Some(origin.node),
            _ => None,
        }
    }
}

/// Events ordered by time. Events of the same instant keep the order in which they were
/// scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    /// Events by time in milliseconds and sequence number.
    events: BTreeMap<(u64, u64), Event>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event that is due at the virtual time `at_ms`.
    pub(super) fn schedule(&mut self, at_ms: u64, event: Event) {
        self.last_sequence += 1;
        self.events.insert((at_ms, self.last_sequence), event);
    }

    /// Removes the next event that is due by `until_ms` and returns it with its time.
    pub(super) fn pop_due(&mut self, until_ms: u64) -> Option<(u64, Event)> {
        let next = self.events.first_entry()?;
        let (at_ms, _) = *next.key();
        (at_ms <= until_ms).then(|| (at_ms, next.remove()))
    }
}

//! Tasks that are bound to machines.

use crate::ids::{AgentEpoch, Attempt, FencingToken, MachineId};
use crate::wire::workers::TaskPhase;
use std::rc::Rc;

/// How to stop a task that runs or may run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopRequest {
    /// How long the task may take to end by itself.
    pub grace_s: u64,
    /// When the stop was decided.
    pub since_ms: u64,
}

/// A task that may be on a machine.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// Which attempt of the task it is.
    pub attempt: Attempt,
    /// The machine that the task is bound to.
    pub machine: MachineId,
    /// The epoch of the machine's agent when the task was bound.
    pub agent_epoch: AgentEpoch,
    /// The machine's zone.
    pub zone: Rc<str>,
    /// The key-value store holds it: only then is the task started.
    pub(in crate::scheduler) recorded: bool,
    /// When the machine was first told to start the task.
    pub(in crate::scheduler) first_sent_ms: Option<u64>,
    /// When the machine was last sent a command for the task.
    pub(in crate::scheduler) sent_ms: Option<u64>,
    /// The task's phase as last reported; `None`: the machine hasn't reported it.
    pub(in crate::scheduler) phase: Option<TaskPhase>,
    /// Since when the task was seen running, under this leader.
    pub(in crate::scheduler) running_since_ms: Option<u64>,
    /// An earlier leader started the task: it may have run for longer.
    pub(in crate::scheduler) started_by_earlier_leader: bool,
    /// The task started later than the objective of its class allows.
    pub(in crate::scheduler) missed_start_slo: bool,
    /// How the task is to be stopped, if it is.
    pub(in crate::scheduler) stop: Option<StopRequest>,
    /// The task's absence under at least this token proves that it isn't on the
    /// machine and never will be.
    pub(in crate::scheduler) absent_proof: Option<FencingToken>,
}

impl Assignment {
    /// A task that was just bound to a machine, of which nothing is known yet.
    pub(in crate::scheduler) fn new(
        attempt: Attempt,
        machine: MachineId,
        agent_epoch: AgentEpoch,
        zone: Rc<str>,
    ) -> Assignment {
        Assignment {
            attempt,
            machine,
            agent_epoch,
            zone,
            recorded: false,
            first_sent_ms: None,
            sent_ms: None,
            phase: None,
            running_since_ms: None,
            started_by_earlier_leader: false,
            missed_start_slo: false,
            stop: None,
            absent_proof: None,
        }
    }
}

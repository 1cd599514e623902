//! Assignments of tasks to machines, and requests to stop assigned tasks.

use crate::ids::{AgentEpoch, Attempt, FencingToken, MachineId};
use crate::wire::workers::TaskPhase;
use std::rc::Rc;

/// A request to stop a task that runs or may run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StopRequest {
    /// How many seconds the task may take to exit by itself; 0 stops it at once.
    pub grace_s: u64,
    /// When the leader decided to stop the task.
    pub requested_ms: u64,
}

/// An attempt of a task that is bound to a machine and may run there.
#[derive(Clone, Debug)]
pub struct Assignment {
    /// The attempt, which distinguishes this assignment from earlier ones of the task.
    pub attempt: Attempt,
    /// The machine that the task is bound to.
    pub machine: MachineId,
    /// The epoch of the machine's agent at the time of the binding.
    pub agent_epoch: AgentEpoch,
    /// The machine's zone.
    pub zone: Rc<str>,
    /// Whether the key-value store holds the assignment. The task is started only then.
    pub(in crate::scheduler) recorded: bool,
    /// When the leader first sent the machine the start command; `None`: never.
    pub(in crate::scheduler) first_sent_ms: Option<u64>,
    /// When the leader last sent the machine a command for the task; `None`: never, or
    /// the next command is to be sent at once.
    pub(in crate::scheduler) last_sent_ms: Option<u64>,
    /// The phase that the machine last reported; `None`: no report yet.
    pub(in crate::scheduler) phase: Option<TaskPhase>,
    /// When this leader first received a report that the task runs; `None`: not yet.
    pub(in crate::scheduler) running_since_ms: Option<u64>,
    /// Whether an earlier leader bound the task. The task may then have run for longer
    /// than `running_since_ms` says.
    pub(in crate::scheduler) started_by_earlier_leader: bool,
    /// Whether the task started later than its class's service-level objective allows.
    pub(in crate::scheduler) missed_start_slo: bool,
    /// The request to stop the task; `None`: the task should keep running.
    pub(in crate::scheduler) stop: Option<StopRequest>,
    /// If a worker that has acknowledged at least this fencing token doesn't report the
    /// task, the task isn't on the machine and can't be started there any more. `None`:
    /// no token has been determined.
    pub(in crate::scheduler) absence_proof_token: Option<FencingToken>,
}

impl Assignment {
    /// Creates an assignment that is neither stored nor sent to the machine.
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
            last_sent_ms: None,
            phase: None,
            running_since_ms: None,
            started_by_earlier_leader: false,
            missed_start_slo: false,
            stop: None,
            absence_proof_token: None,
        }
    }
}

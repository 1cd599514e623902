//! The states of a group, and the timeouts of its life cycle.

/// The state of a group.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum GroupState {
    /// No part is bound to a machine: the group waits for capacity.
    Pending,
    /// All parts of a generation are bound, but not all of them run yet.
    Starting,
    /// Every part of the current generation runs, according to heartbeats of the
    /// current term.
    Serving,
    /// The group doesn't serve although it did before, or parts of its broken generation
    /// have to be stopped.
    Degraded,
    /// All remaining parts are being stopped.
    Stopping,
    /// All parts have completed.
    Finished,
}

impl GroupState {
    /// All states, in the order of their counts in log lines.
    pub(crate) const ALL: [GroupState; 6] = [
        GroupState::Pending,
        GroupState::Starting,
        GroupState::Serving,
        GroupState::Degraded,
        GroupState::Stopping,
        GroupState::Finished,
    ];

    /// Returns the state's name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            GroupState::Pending => "pending",
            GroupState::Starting => "starting",
            GroupState::Serving => "serving",
            GroupState::Degraded => "degraded",
            GroupState::Stopping => "stopping",
            GroupState::Finished => "finished",
        }
    }
}

/// Timeouts of groups, derived from the platform's settings.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct GroupTiming {
    /// Time for which capacity stays reserved for a group's next generation.
    pub reservation_ms: u64,
    /// Time for which a generation has to serve without interruption to count as a success.
    pub success_after_ms: u64,
    /// The workers' heartbeat interval, the unit of the circuit breaker's pauses.
    pub heartbeat_ms: u64,
}

//! A group's states, and the times that decide between them.

/// What a group is doing.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum GroupState {
    /// None of its parts is on a machine; it waits for capacity.
    Pending,
    /// All parts of a generation are bound, and not all of them run yet.
    Starting,
    /// Every part of the current generation runs, according to heartbeats of the
    /// current term.
    Serving,
    /// A part is lost or silent.
    Degraded,
    /// Its parts are being stopped.
    Stopping,
    /// All its parts have completed.
    Finished,
}

impl GroupState {
    /// All states.
    pub(crate) const ALL: [GroupState; 6] = [
        GroupState::Pending,
        GroupState::Starting,
        GroupState::Serving,
        GroupState::Degraded,
        GroupState::Stopping,
        GroupState::Finished,
    ];

    /// The name in logs.
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

/// Timeouts of groups, each a ratio to the platform's settings.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct GroupTiming {
    /// How long the capacity of a generation that ended stays reserved for the next
    /// one.
    pub reservation_ms: u64,
    /// A group that has served for this long counts as a success.
    pub settled_ms: u64,
    /// The workers' heartbeat interval.
    pub heartbeat_ms: u64,
}

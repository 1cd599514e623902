//! The replies to users.

use crate::ids::JobId;
use crate::messages::{Reply, TaskProgress};
use crate::records::jobs::FinalState;
use crate::wire::users::{JobPhase, JobStatus};

/// Returns the reply for a job that has ended; `tasks` is how many tasks it had.
pub(super) fn final_reply(status: u16, id: &JobId, state: FinalState, tasks: u32) -> Reply {
    let body = JobStatus {
        id,
        state: state.phase(),
        done: (state == FinalState::Done).then_some(tasks),
        running: Some(0),
    };
    Reply::json(status, &body)
}

/// Returns the reply for an unfinished job.
pub(super) fn unfinished_reply(status: u16, id: &JobId, progress: TaskProgress) -> Reply {
    let state = if progress.running > 0 {
        JobPhase::Running
    } else {
        JobPhase::Pending
    };
    let body = JobStatus {
        id,
        state,
        done: Some(progress.done),
        running: Some(progress.running),
    };
    Reply::json(status, &body)
}

/// Returns the reply for a job that doesn't exist.
pub(super) fn not_found_reply() -> Reply {
    Reply::error(404, "no such job")
}

/// Returns the reply for a request for which the key-value store gave no usable response
/// in time.
pub(super) fn unavailable_reply() -> Reply {
    Reply::retry_later(503, "the state service can't be asked now", 1)
}

/// Returns the reply for a submission whose write may still be in flight. The user's retry
/// shows the outcome.
pub(super) fn outcome_unknown_reply() -> Reply {
    Reply::retry_later(503, "not known yet whether the job was stored", 1)
}

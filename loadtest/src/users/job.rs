//! A job as its user sees it: what the user does next, and which responses belong in the
//! history.

use crate::history::{Event, UserRequest};

/// The interval between queries of a job, as set by the user protocol.
const POLL_INTERVAL_US: u64 = 5_000_000;
/// The delay before a failed submission or cancellation is repeated, as set by the user
/// protocol.
const RETRY_DELAY_US: u64 = 1_000_000;

/// What the user of a job does next.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    Submitting,
    Polling,
    Cancelling,
    Finished,
}

/// A job as its user sees it.
pub(super) struct Job {
    pub(super) name: String,
    pub(super) controller: usize,
    pub(super) stage: Stage,
    pub(super) submitted_us: u64,
    /// When the user cancels the job; `u64::MAX` if the user never does.
    pub(super) cancel_due_us: u64,
    /// The state in the latest successful response to the user.
    pub(super) last_state: String,
    /// The number of running tasks in the latest successful response to the user.
    pub(super) running: Option<u32>,
    pub(super) last_request_failed: bool,
    /// Whether the query in flight names a job that nobody submitted.
    pub(super) queries_unknown: bool,
}

/// The outcome of a user's request.
pub(super) struct Outcome {
    pub(super) request: UserRequest,
    /// The HTTP status; 0 if no response was received.
    pub(super) status: u16,
    pub(super) state: String,
    pub(super) running: Option<u32>,
}

impl Outcome {
    pub(super) fn is_success(&self) -> bool {
        matches!(self.status, 200 | 201)
    }
}

impl Job {
    /// Returns the job name for a query. A suffix turns it into the name of a job that
    /// nobody submitted, if the query is to name one.
    pub(super) fn queried_name(&self) -> String {
        let suffix = if self.queries_unknown { "-never" } else { "" };
        format!("{}{suffix}", self.name)
    }

    /// Reports whether a response belongs in the history. A response to a query that repeats
    /// the previous one is left out, unless a request has failed in between.
    pub(super) fn must_record(&self, outcome: &Outcome) -> bool {
        self.queries_unknown
            || !outcome.is_success()
            || self.last_request_failed
            || outcome.state != self.last_state
            || outcome.running != self.running
            || outcome.request != UserRequest::Query
    }

    pub(super) fn completion_event(&self, outcome: &Outcome) -> Event {
        Event::RequestCompleted {
            job: self.queried_name(),
            request: outcome.request,
            status: outcome.status,
            state: outcome.state.clone(),
            running: outcome.running,
        }
    }

    /// Moves the job to its next stage, and returns the time of the next request.
    pub(super) fn advance(&mut self, outcome: &Outcome, now_us: u64) -> u64 {
        let mut next_us = now_us + POLL_INTERVAL_US;
        let is_final = matches!(outcome.state.as_str(), "done" | "cancelled");
        match (outcome.request, outcome.is_success()) {
            (UserRequest::Submit, true) => self.stage = Stage::Polling,
            (UserRequest::Query, true) if is_final => self.stage = Stage::Finished,
            (UserRequest::Cancel, true) => self.stage = Stage::Finished,
            (UserRequest::Query, _) => {}
            (_, false) if matches!(outcome.status, 400 | 404 | 422) => self.stage = Stage::Finished,
            (_, false) => next_us = now_us + RETRY_DELAY_US,
        }
        if self.stage == Stage::Polling {
            next_us = next_us.min(self.cancel_due_us.max(now_us + 1));
        }
        next_us
    }
}

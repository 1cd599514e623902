//! Looks up a request's job, by a poll of all records or by reads of the job's own
//! records, and replies according to the result.

use super::job_lookup::{parse_final_record, parse_job_record, JobLookup, StoredJob};
use super::job_memory::ImmutableFact;
use super::pending_request::{PendingRequest, RequestKind, RequestNumber, RequestStep};
use super::replies::{final_reply, not_found_reply, outcome_unknown_reply, unfinished_reply};
use super::{Gateway, GatewayEffects};
use crate::cancellations::{Cancellations, RecordStatus};
use crate::ids::JobId;
use crate::kv_client::KvResponse;
use crate::messages::{Now, Reply};
use crate::records::jobs::FinalState;

impl Gateway {
    /// Returns the number of the latest request. A poll that is sent after this call covers
    /// all requests up to this number.
    pub fn last_request_number(&self) -> RequestNumber {
        self.last_number
    }

    /// Queues the request for a poll that is sent after this call.
    pub(super) fn await_poll(&mut self, mut request: PendingRequest, effects: &mut GatewayEffects) {
        request.step = RequestStep::Poll;
        effects.poll_requested = true;
        // The queue is in the order of the numbers. A request that is queued again precedes
        // later ones.
        let position = self
            .awaiting_poll
            .partition_point(|number| *number < request.number);
        self.awaiting_poll.insert(position, request.number);
        self.requests.insert(request.number, request);
    }

    /// Sends the read of one record for the request.
    pub(super) fn read(
        &mut self,
        now: Now,
        mut request: PendingRequest,
        step: RequestStep,
        effects: &mut GatewayEffects,
    ) {
        request.step = step;
        effects.calls.push(request.read_call(now));
        self.requests.insert(request.number, request);
    }

    /// Continues the requests up to `last_number`, which had arrived when the completed
    /// poll was sent. `records` is `None` if the poll failed.
    pub fn on_poll_completed(
        &mut self,
        now: Now,
        last_number: RequestNumber,
        mut records: Option<&mut Cancellations>,
        effects: &mut GatewayEffects,
    ) {
        // A request may be queued again, for a later poll.
        let mut covered = Vec::new();
        while let Some(number) = self
            .awaiting_poll
            .pop_front_if(|number| *number <= last_number)
        {
            covered.push(number);
        }
        for number in covered {
            let Some(request) = self.requests.remove(&number) else {
                continue;
            };
            match &mut records {
                Some(records) => self.continue_with_records(now, request, records, effects),
                None => self.reply_unavailable(&request, effects),
            }
        }
        effects.poll_requested |= !self.awaiting_poll.is_empty();
    }

    /// Continues a request according to the records, which were read after the request
    /// arrived.
    pub(super) fn continue_with_records(
        &mut self,
        now: Now,
        request: PendingRequest,
        records: &mut Cancellations,
        effects: &mut GatewayEffects,
    ) {
        // A job that is known to be accepted isn't written again, because the write would
        // only fail.
        let is_new = request.retries == 0 && self.memory.fact(&request.id).is_none();
        match records.record_status(&request.id) {
            RecordStatus::Cancelled => {
                self.on_lookup(now, request, JobLookup::Cancelled, effects);
            }
            RecordStatus::Unfinished => self.continue_unfinished(now, request, records, effects),
            RecordStatus::None if is_new && matches!(request.kind, RequestKind::Submit(_)) => {
                self.continue_submission(now, request, records, effects);
            }
            RecordStatus::None => self.read(now, request, RequestStep::ReadFinalRecord, effects),
        }
    }

    /// Processes the response to the read of the unfinished job's record.
    pub(super) fn on_job_record_response(
        &mut self,
        now: Now,
        request: PendingRequest,
        response: &KvResponse,
        effects: &mut GatewayEffects,
    ) {
        match parse_job_record(response) {
            Some(JobLookup::Absent) => {
                self.read(now, request, RequestStep::ReadFinalRecord, effects);
            }
            Some(lookup) => self.on_lookup(now, request, lookup, effects),
            None => self.reply_unavailable(&request, effects),
        }
    }

    /// Processes the response to the read of the job's final record.
    pub(super) fn on_final_record_response(
        &mut self,
        now: Now,
        request: PendingRequest,
        response: &KvResponse,
        effects: &mut GatewayEffects,
    ) {
        match parse_final_record(response) {
            Some(lookup) => self.on_lookup(now, request, lookup, effects),
            None => self.reply_unavailable(&request, effects),
        }
    }

    /// Replies to or continues a request whose job was looked up by a read or a poll.
    pub(super) fn on_lookup(
        &mut self,
        now: Now,
        request: PendingRequest,
        lookup: JobLookup,
        effects: &mut GatewayEffects,
    ) {
        // A state that isn't final may have changed if the read took so long that other
        // requests have received replies in the meantime.
        if lookup.may_change() && now.ms >= request.deadline_ms {
            self.reply_unavailable(&request, effects);
            return;
        }
        let reply = match lookup {
            JobLookup::Ended(record) => {
                self.memory
                    .set_ended(&request.id, record.state, record.tasks);
                final_reply(200, &request.id, record.state, record.tasks)
            }
            JobLookup::Cancelled => self.confirm_cancelled(&request.id, 200, effects),
            JobLookup::Record(job) => {
                self.on_job_record(now, request, *job, effects);
                return;
            }
            JobLookup::Unfinished => self.unfinished_job_reply(now, &request.id),
            JobLookup::Absent => absent_reply(&request.kind),
        };
        effects.replies.push((request.connection, reply));
    }

    /// Replies to or continues a request whose job has a record and hasn't ended.
    fn on_job_record(
        &mut self,
        now: Now,
        request: PendingRequest,
        job: StoredJob,
        effects: &mut GatewayEffects,
    ) {
        let is_cancellation = matches!(request.kind, RequestKind::Cancel);
        if !is_cancellation && job.has_open_dependencies() {
            // The job's own record doesn't show whether one of its dependencies is
            // cancelled.
            if self.polls_complete {
                self.await_poll(request, effects);
            } else {
                self.reply_unavailable(&request, effects);
            }
            return;
        }
        let reply = if job.record.cancelled_wall_ms.is_some() {
            self.confirm_cancelled(&request.id, 200, effects)
        } else if is_cancellation {
            self.write_cancellation(now, request, job, effects);
            return;
        } else {
            self.unfinished_job_reply(now, &request.id)
        };
        effects.replies.push((request.connection, reply));
    }

    /// Returns the reply to a request whose job was unfinished when it was read.
    fn unfinished_job_reply(&mut self, now: Now, id: &JobId) -> Reply {
        // Another request may have found in the meantime that the job has ended.
        match self.memory.fact(id) {
            Some(ImmutableFact::Ended { state, tasks }) => final_reply(200, id, state, tasks),
            _ => self.accepted_reply(now, id, 200),
        }
    }

    /// Returns the reply for a job that is stored and unfinished, and records that the job
    /// is accepted.
    pub(super) fn accepted_reply(&mut self, now: Now, id: &JobId, status: u16) -> Reply {
        self.memory.set_accepted(id);
        unfinished_reply(status, id, self.memory.displayed_progress(now, id))
    }

    /// Returns the reply that confirms a cancellation, and adds the effect by which the
    /// controller records this confirmation in the same turn.
    pub(super) fn confirm_cancelled(
        &mut self,
        id: &JobId,
        status: u16,
        effects: &mut GatewayEffects,
    ) -> Reply {
        self.memory.set_ended(id, FinalState::Cancelled, 0);
        effects.confirmed_cancellations.push(id.clone());
        final_reply(status, id, FinalState::Cancelled, 0)
    }
}

/// Returns the reply to a request whose job has no record.
fn absent_reply(kind: &RequestKind) -> Reply {
    match kind {
        RequestKind::Reject(reply) => reply.clone(),
        RequestKind::Submit(_) => outcome_unknown_reply(),
        RequestKind::Query | RequestKind::Cancel => not_found_reply(),
    }
}

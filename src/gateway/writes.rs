//! Writes the changes that users request: the record of an accepted job, or a
//! cancellation.

use super::job_lookup::StoredJob;
use super::pending_request::{PendingRequest, RequestKind, RequestStep};
use super::{Gateway, GatewayEffects, MAX_RETRIES};
use crate::kv_client::{CallPriority, KvResponse};
use crate::limits::RequestSize;
use crate::messages::{Now, Reply};
use crate::records::jobs::job_key;
use crate::wire::kv::Txn;

impl Gateway {
    /// Sends the write of the record that accepts a job.
    pub(super) fn accept(
        &mut self,
        now: Now,
        request: PendingRequest,
        effects: &mut GatewayEffects,
    ) {
        let RequestKind::Submit(submission) = &request.kind else {
            self.reply_unavailable(&request, effects);
            return;
        };
        let txn = if request.cancelled_by_dependency {
            submission.cancelled_acceptance_txn(now)
        } else {
            submission.acceptance_txn(now)
        };
        self.write(now, request, CallPriority::Submission, &txn, effects);
    }

    /// Sends the write that adds the cancellation to an unfinished job's record.
    pub(super) fn write_cancellation(
        &mut self,
        now: Now,
        request: PendingRequest,
        job: StoredJob,
        effects: &mut GatewayEffects,
    ) {
        let key = job_key(&request.id);
        let txn = Txn::default().compare(key.clone(), job.mod_revision).put(
            key,
            job.into_cancelled(now.wall_ms, self.guaranteed_value_bytes),
        );
        self.write(now, request, CallPriority::Cancel, &txn, effects);
    }

    fn write(
        &mut self,
        now: Now,
        mut request: PendingRequest,
        priority: CallPriority,
        txn: &Txn,
        effects: &mut GatewayEffects,
    ) {
        request.step = RequestStep::Write;
        request.write_size = RequestSize::of(txn);
        effects.calls.push(request.write_call(now, priority, txn));
        self.requests.insert(request.number, request);
    }

    /// Processes the response to a request's write.
    pub(super) fn on_write_response(
        &mut self,
        now: Now,
        mut request: PendingRequest,
        response: &KvResponse,
        effects: &mut GatewayEffects,
    ) {
        match response {
            KvResponse::Status(200, _) if response.committed_revision().is_some() => {
                self.on_committed(now, request, effects);
            }
            // Another controller wrote first, or the outcome is indeterminate: a read
            // shows which.
            KvResponse::Status(200 | 409, _) | KvResponse::Indeterminate
                if request.retries < MAX_RETRIES =>
            {
                request.retries += 1;
                self.read(now, request, RequestStep::ReadJobRecord, effects);
            }
            KvResponse::Status(400, _) => {
                effects.rejected_write = Some(request.write_size);
                self.reply_unavailable(&request, effects);
            }
            _ => self.reply_unavailable(&request, effects),
        }
    }

    fn on_committed(&mut self, now: Now, request: PendingRequest, effects: &mut GatewayEffects) {
        let is_cancellation = matches!(request.kind, RequestKind::Cancel);
        let reply = if is_cancellation {
            log::info!("job cancelled job={}", request.id);
            self.confirm_cancelled(&request.id, 200, effects)
        } else {
            self.on_accepted(now, &request, effects)
        };
        if !is_cancellation && !request.cancelled_by_dependency {
            effects.jobs_to_announce.push(request.id);
        }
        effects.replies.push((request.connection, reply));
    }

    fn on_accepted(
        &mut self,
        now: Now,
        request: &PendingRequest,
        effects: &mut GatewayEffects,
    ) -> Reply {
        let class = match &request.kind {
            RequestKind::Submit(submission) => &*submission.spec.class,
            _ => "",
        };
        log::info!(
            "job accepted job={} class={class} after_ms={}",
            request.id,
            now.ms - request.received_ms
        );
        if request.cancelled_by_dependency {
            log::info!(
                "job cancelled job={} reason=\"a dependency is cancelled\"",
                request.id
            );
            self.confirm_cancelled(&request.id, 201, effects)
        } else {
            self.accepted_reply(now, &request.id, 201)
        }
    }
}

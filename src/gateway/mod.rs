//! Handles users' requests on any controller. The controller that receives a request writes
//! the job or the cancellation itself and then replies; the leader learns of the change
//! from the key-value store.

mod admission;
mod dependencies;
mod dependency_reads;
mod effects;
mod job_lookup;
mod job_memory;
mod lookups;
mod pending_request;
mod replies;
mod writes;

pub use effects::GatewayEffects;
pub use pending_request::RequestNumber;

use crate::ids::{JobId, Term};
use crate::kv_client::KvResponse;
use crate::limits::EffectiveLimits;
use crate::messages::{ConnectionId, Now, TaskProgress};
use crate::settings::Settings;
use crate::wire::cloud::Catalog;
use crate::wire::users::{is_valid_job_id, peek_job_id};
use admission::Admission;
use dependencies::DependencyOutcome;
use dependency_reads::DependencyReads;
use job_memory::{ImmutableFact, JobMemory};
use lilacfork_replica_groups::classes::ReplicaClasses;
use pending_request::{PendingRequest, RequestKind, RequestStep};
use replies::{final_reply, not_found_reply, unavailable_reply};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// The maximum number of times that a request repeats a read: the read of its job after a
/// failed write, or the reads of the job's dependencies.
const MAX_RETRIES: u32 = 5;

/// The state of users' requests that have no reply yet, and the cache of jobs.
pub struct Gateway {
    admission: Admission,
    /// The size up to which the key-value store accepts a value now and after its
    /// announced limits have taken effect.
    guaranteed_value_bytes: usize,
    memory: JobMemory,
    requests: HashMap<RequestNumber, PendingRequest>,
    /// The requests that wait for a poll, in order of arrival.
    awaiting_poll: VecDeque<RequestNumber>,
    /// The reads of dependencies that are in flight.
    dependency_reads: DependencyReads,
    /// What completed reads of dependencies have shown since the last resumption.
    dependency_outcomes: Vec<DependencyOutcome>,
    /// The requests for which the reads of all dependencies have completed.
    resumable_requests: Vec<RequestNumber>,
    /// Whether a poll brings the state of every job up to date.
    polls_complete: bool,
    last_number: RequestNumber,
}

impl Gateway {
    /// Creates a gateway without machine types and with an empty cache of jobs. A leader
    /// that hasn't been confirmed for `leader_timeout_ms` may no longer lead.
    pub fn new(
        settings: Rc<Settings>,
        replica_classes: ReplicaClasses,
        leader_timeout_ms: u64,
    ) -> Self {
        let limits = EffectiveLimits::new(&settings.site.kv_store).guaranteed();
        let memory = JobMemory::new(settings.site.limits.ram_mb, leader_timeout_ms);
        Gateway {
            admission: Admission::new(settings, replica_classes, limits.value_bytes),
            guaranteed_value_bytes: limits.value_bytes,
            memory,
            requests: HashMap::new(),
            awaiting_poll: VecDeque::new(),
            dependency_reads: DependencyReads::default(),
            dependency_outcomes: Vec::new(),
            resumable_requests: Vec::new(),
            polls_complete: false,
            last_number: 0,
        }
    }

    /// Sets the machine types.
    pub fn set_catalog(&mut self, catalog: Rc<Catalog>) {
        self.admission.set_catalog(catalog);
    }

    /// Returns whether the machine types are known.
    pub fn has_catalog(&self) -> bool {
        self.admission.has_catalog()
    }

    /// Records that the leader of this term still leads, so that the progress it has
    /// reported remains valid.
    pub fn confirm_leader(&mut self, now: Now, term: Term) {
        self.memory.confirm_leader(now, term);
    }

    /// Records the progress of a job that the leader of this term reports.
    pub fn record_progress(&mut self, id: &JobId, term: Term, progress: TaskProgress) {
        self.memory.record_progress(id, term, progress);
    }

    /// Sets whether a poll of the records brings the state of every job up to date.
    pub fn set_polls_complete(&mut self, complete: bool) {
        self.polls_complete = complete;
    }

    // ---- new requests ----

    /// Starts a request that submits a job.
    pub fn submit(
        &mut self,
        now: Now,
        connection: ConnectionId,
        body: &[u8],
        effects: &mut GatewayEffects,
    ) {
        match self.admission.admit(body) {
            Ok(submission) => {
                let id = submission.spec.id.clone();
                let kind = RequestKind::Submit(Box::new(submission));
                self.begin(now, connection, id, kind, effects);
            }
            Err(rejection) => {
                let reply = rejection.reply();
                // A submission of a job that is already stored is a retry and gets status
                // 200, even if it would now be rejected.
                match peek_job_id(body) {
                    Some(id) => {
                        self.begin(now, connection, id, RequestKind::Reject(reply), effects);
                    }
                    None => effects.replies.push((connection, reply)),
                }
            }
        }
    }

    /// Starts a query for a job's state.
    pub fn query(
        &mut self,
        now: Now,
        connection: ConnectionId,
        id: &str,
        effects: &mut GatewayEffects,
    ) {
        self.begin_by_name(now, connection, id, RequestKind::Query, effects);
    }

    /// Starts a request that cancels a job.
    pub fn cancel(
        &mut self,
        now: Now,
        connection: ConnectionId,
        id: &str,
        effects: &mut GatewayEffects,
    ) {
        self.begin_by_name(now, connection, id, RequestKind::Cancel, effects);
    }

    fn begin_by_name(
        &mut self,
        now: Now,
        connection: ConnectionId,
        id: &str,
        kind: RequestKind,
        effects: &mut GatewayEffects,
    ) {
        if is_valid_job_id(id) {
            self.begin(now, connection, JobId::new(id), kind, effects);
        } else {
            effects.replies.push((connection, not_found_reply()));
        }
    }

    fn begin(
        &mut self,
        now: Now,
        connection: ConnectionId,
        id: JobId,
        kind: RequestKind,
        effects: &mut GatewayEffects,
    ) {
        let fact = self.memory.fact(&id);
        // The state of a job that has ended never changes, so no read is needed.
        if let Some(ImmutableFact::Ended { state, tasks }) = fact {
            let reply = final_reply(200, &id, state, tasks);
            effects.replies.push((connection, reply));
            return;
        }
        let step = self.first_step(&kind, fact.is_some());
        self.last_number += 1;
        let request = PendingRequest::new(now, self.last_number, connection, id, kind, step);
        match step {
            RequestStep::Write => self.accept(now, request, effects),
            RequestStep::Poll => self.await_poll(request, effects),
            _ => self.read(now, request, step, effects),
        }
    }

    fn first_step(&self, kind: &RequestKind, accepted: bool) -> RequestStep {
        match kind {
            // A job that is known to be accepted isn't written again, because the write
            // would only fail.
            RequestKind::Submit(submission)
                if !accepted && submission.spec.dependencies.is_empty() =>
            {
                RequestStep::Write
            }
            // A cancellation changes the record, so it needs the whole record.
            RequestKind::Cancel => RequestStep::ReadJobRecord,
            _ if self.polls_complete => RequestStep::Poll,
            _ => RequestStep::ReadJobRecord,
        }
    }

    // ---- responses and time ----

    /// Processes the response to a call of the key-value store.
    pub fn on_kv_response(
        &mut self,
        now: Now,
        number: RequestNumber,
        response: KvResponse,
        effects: &mut GatewayEffects,
    ) {
        if let Some(read) = self.dependency_reads.remove(number) {
            self.on_dependency_response(now, read, &response, effects);
            return;
        }
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        match request.step {
            RequestStep::ReadJobRecord => {
                self.on_job_record_response(now, request, &response, effects);
            }
            RequestStep::ReadFinalRecord => {
                self.on_final_record_response(now, request, &response, effects);
            }
            // In these steps no call in flight has the request's own number.
            RequestStep::Poll | RequestStep::ReadDependencies => {
                self.reply_unavailable(&request, effects);
            }
            RequestStep::Write => self.on_write_response(now, request, &response, effects),
        }
    }

    /// Replies to the requests whose deadline has passed while they waited for a poll.
    /// Returns the deadline of the next such request; `u64::MAX` if no request waits.
    pub fn tick(&mut self, now: Now, effects: &mut GatewayEffects) -> u64 {
        while let Some(number) = self.awaiting_poll.front() {
            let deadline_ms = self
                .requests
                .get(number)
                .map_or(0, |request| request.deadline_ms);
            if now.ms < deadline_ms {
                return deadline_ms;
            }
            if let Some(request) = self.requests.remove(number) {
                self.reply_unavailable(&request, effects);
            }
            self.awaiting_poll.pop_front();
        }
        u64::MAX
    }

    /// Aborts all pending requests after the process was paused, with replies that ask their
    /// users to retry. What was read for these requests may be older than what other
    /// controllers have replied to users during the pause.
    pub fn abort_after_pause(&mut self, effects: &mut GatewayEffects) {
        self.awaiting_poll.clear();
        self.dependency_reads.forget_waiting();
        self.resumable_requests.clear();
        for request in std::mem::take(&mut self.requests).into_values() {
            self.reply_unavailable(&request, effects);
        }
    }

    fn reply_unavailable(&self, request: &PendingRequest, effects: &mut GatewayEffects) {
        effects
            .replies
            .push((request.connection, unavailable_reply()));
    }
}

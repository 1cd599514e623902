//! Users' requests, on any controller. The controller that receives a request writes
//! the job or the cancellation itself and then responds; the leader learns of it from
//! the key-value store.

mod admission;
mod dependencies;
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
use dependencies::DependencyRead;
use job_memory::{JobMemory, SettledFact};
use lilacfork_replica_groups::classes::ReplicaClasses;
use pending_request::{PendingRequest, RequestKind, RequestStep};
use replies::{final_reply, not_found_reply, unavailable_reply};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// How often a request reads anew: its job after a write that failed, or the job's
/// dependencies.
const MAX_RETRIES: u32 = 5;

/// Users' requests that have no response yet, and what is known of jobs for good.
pub struct Gateway {
    admission: Admission,
    /// The size of a value that the key-value store will always take.
    guaranteed_value_bytes: usize,
    memory: JobMemory,
    requests: HashMap<RequestNumber, PendingRequest>,
    /// The requests that wait for a poll, in the order of arrival.
    awaiting_poll: VecDeque<RequestNumber>,
    /// Reads of other jobs' dependencies that have no response yet.
    dependency_reads: HashMap<RequestNumber, DependencyRead>,
    /// The requests whose dependencies have all been read.
    dependencies_read: Vec<RequestNumber>,
    /// Whether a poll shows the state of every job.
    polls_complete: bool,
    last_number: RequestNumber,
}

impl Gateway {
    /// Knows nothing yet; a leader that isn't heard for `leader_timeout_ms` may no longer
    /// lead.
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
            dependency_reads: HashMap::new(),
            dependencies_read: Vec::new(),
            polls_complete: false,
            last_number: 0,
        }
    }

    /// The machine types are known.
    pub fn set_catalog(&mut self, catalog: Rc<Catalog>) {
        self.admission.set_catalog(catalog);
    }

    /// Whether the machine types are known.
    pub fn has_catalog(&self) -> bool {
        self.admission.has_catalog()
    }

    /// The leader of this term is heard, and stands by what it has reported.
    pub fn leader_heard(&mut self, now: Now, term: Term) {
        self.memory.leader_heard(now, term);
    }

    /// The progress of a job as the leader of this term reports it.
    pub fn record_progress(&mut self, id: &JobId, term: Term, progress: TaskProgress) {
        self.memory.record_progress(id, term, progress);
    }

    /// Whether a poll of the records shows the state of every job from now on.
    pub fn set_polls_complete(&mut self, complete: bool) {
        self.polls_complete = complete;
    }

    // ---- new requests ----

    /// A submission.
    pub fn submit(
        &mut self,
        now: Now,
        conn: ConnectionId,
        body: &[u8],
        effects: &mut GatewayEffects,
    ) {
        match self.admission.admit(body) {
            Ok(submission) => {
                let id = submission.spec.id.clone();
                let kind = RequestKind::Submit(Box::new(submission));
                self.begin(now, conn, id, kind, effects);
            }
            Err(rejection) => {
                let reply = rejection.reply();
                // A known job gets its 200 whatever else is wrong with the retry.
                match peek_job_id(body) {
                    Some(id) => self.begin(now, conn, id, RequestKind::Reject(reply), effects),
                    None => effects.replies.push((conn, reply)),
                }
            }
        }
    }

    /// A query for a job's state.
    pub fn show(&mut self, now: Now, conn: ConnectionId, id: &str, effects: &mut GatewayEffects) {
        self.begin_by_name(now, conn, id, RequestKind::Show, effects);
    }

    /// A cancellation.
    pub fn cancel(&mut self, now: Now, conn: ConnectionId, id: &str, effects: &mut GatewayEffects) {
        self.begin_by_name(now, conn, id, RequestKind::Cancel, effects);
    }

    fn begin_by_name(
        &mut self,
        now: Now,
        conn: ConnectionId,
        id: &str,
        kind: RequestKind,
        effects: &mut GatewayEffects,
    ) {
        if is_valid_job_id(id) {
            self.begin(now, conn, JobId::new(id), kind, effects);
        } else {
            effects.replies.push((conn, not_found_reply()));
        }
    }

    fn begin(
        &mut self,
        now: Now,
        conn: ConnectionId,
        id: JobId,
        kind: RequestKind,
        effects: &mut GatewayEffects,
    ) {
        let fact = self.memory.fact(&id);
        // A job that is over stays as it is, so no read is needed.
        if let Some(SettledFact::Over { state, tasks }) = fact {
            let reply = final_reply(200, &id, state, tasks);
            effects.replies.push((conn, reply));
            return;
        }
        let step = self.first_step(&kind, fact.is_some());
        self.last_number += 1;
        let request = PendingRequest::new(now, self.last_number, conn, id, kind, step);
        match step {
            RequestStep::Write => self.accept(now, request, effects),
            RequestStep::Poll => self.await_poll(request, effects),
            _ => self.read(now, request, step, effects),
        }
    }

    fn first_step(&self, kind: &RequestKind, accepted: bool) -> RequestStep {
        match kind {
            // An idempotent request repeated would only cost a write that fails.
            RequestKind::Submit(submission)
                if !accepted && submission.spec.dependencies.is_empty() =>
            {
                RequestStep::Write
            }
            // A cancellation changes the record, so it needs all of it.
            RequestKind::Cancel => RequestStep::ReadLive,
            _ if self.polls_complete => RequestStep::Poll,
            _ => RequestStep::ReadLive,
        }
    }

    // ---- responses and time ----

    /// The response to a call.
    pub fn on_kv_response(
        &mut self,
        now: Now,
        number: RequestNumber,
        response: KvResponse,
        effects: &mut GatewayEffects,
    ) {
        if let Some(read) = self.dependency_reads.remove(&number) {
            self.on_dependency_response(now, &read, &response, effects);
            return;
        }
        let Some(request) = self.requests.remove(&number) else {
            return;
        };
        match request.step {
            RequestStep::ReadLive => self.on_live_response(now, request, &response, effects),
            RequestStep::ReadFinal => self.on_final_response(now, request, &response, effects),
            // Its own number belongs to no call.
            RequestStep::Poll | RequestStep::ReadDependencies => self.give_up(&request, effects),
            RequestStep::Write => self.on_write_response(now, request, &response, effects),
        }
    }

    /// Responds to requests that have waited too long for a poll. Returns when the next one
    /// will have.
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
                self.give_up(&request, effects);
            }
            self.awaiting_poll.pop_front();
        }
        u64::MAX
    }

    /// The process was paused: what was read for requests before may be older than what
    /// other controllers have told users since. The users are asked to retry.
    pub fn abort_after_pause(&mut self, effects: &mut GatewayEffects) {
        self.awaiting_poll.clear();
        self.dependency_reads.clear();
        self.dependencies_read.clear();
        for request in std::mem::take(&mut self.requests).into_values() {
            self.give_up(&request, effects);
        }
    }

    fn give_up(&self, request: &PendingRequest, effects: &mut GatewayEffects) {
        effects.replies.push((request.conn, unavailable_reply()));
    }
}

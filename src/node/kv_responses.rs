//! Dispatches responses of the key-value store to the actors that made the calls.

use super::Node;
use crate::cancellations::CancellationsKvCall;
use crate::election::ElectionKvCall;
use crate::gateway::{GatewayEffects, RequestNumber};
use crate::ids::Term;
use crate::kv_client::KvResponse;
use crate::messages::{Effect, Now};
use crate::scheduler::{SchedulerEffects, SchedulerKvCall};
use crate::usage::Purpose;

/// The actor and operation that a call of the key-value store belongs to.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum KvCallOwner {
    Election(ElectionKvCall),
    Gateway(RequestNumber),
    /// A call that the scheduler made as leader of this term. Responses to calls of an
    /// earlier term are ignored.
    Scheduler(Term, SchedulerKvCall),
    Cancellations(CancellationsKvCall),
    ReadCatalog,
    WriteCatalog,
    WriteLeaseProxies,
    /// The write which records that the announced limits apply.
    WriteLimits,
}

impl KvCallOwner {
    /// Returns the purpose under which processing the response is accounted.
    pub(super) fn purpose(&self) -> Purpose {
        match self {
            KvCallOwner::Election(_) => Purpose::Election,
            KvCallOwner::Gateway(_) => Purpose::UserKvCall,
            KvCallOwner::Scheduler(_, call) => call.purpose(),
            KvCallOwner::Cancellations(_) => Purpose::Watch,
            KvCallOwner::ReadCatalog
            | KvCallOwner::WriteCatalog
            | KvCallOwner::WriteLeaseProxies
            | KvCallOwner::WriteLimits => Purpose::Other,
        }
    }
}

impl Node {
    pub(super) fn on_kv_response(
        &mut self,
        now: Now,
        owner: KvCallOwner,
        response: KvResponse,
        effects: &mut Vec<Effect>,
    ) {
        match owner {
            KvCallOwner::Election(call) => {
                self.on_election_response(now, call, &response, effects);
            }
            KvCallOwner::Gateway(request) => {
                self.on_gateway_response(now, request, response, effects);
            }
            KvCallOwner::Scheduler(term, call) => {
                if term == self.scheduler.term() && self.scheduler.leading() {
                    self.on_scheduler_response(now, call, response, effects);
                }
            }
            KvCallOwner::Cancellations(call) => {
                self.on_cancellations_response(now, call, &response, effects);
            }
            KvCallOwner::ReadCatalog => self.on_stored_catalog(&response),
            KvCallOwner::WriteCatalog => self.catalog.on_write_response(&response),
            // The records are rewritten periodically, so a failed write is not retried.
            KvCallOwner::WriteLeaseProxies => {}
            KvCallOwner::WriteLimits => self.on_limits_written(&response),
        }
    }

    fn on_election_response(
        &mut self,
        now: Now,
        call: ElectionKvCall,
        response: &KvResponse,
        effects: &mut Vec<Effect>,
    ) {
        let mut calls = Vec::new();
        let change = self.election.on_response(now, call, response, &mut calls);
        self.apply_election_effects(now, calls, change, effects);
    }

    fn on_gateway_response(
        &mut self,
        now: Now,
        request: RequestNumber,
        response: KvResponse,
        effects: &mut Vec<Effect>,
    ) {
        let mut gateway_effects = GatewayEffects::default();
        self.gateway
            .on_kv_response(now, request, response, &mut gateway_effects);
        self.gateway.resume_after_dependency_reads(
            now,
            &mut self.cancellations,
            &mut gateway_effects,
        );
        self.apply_gateway_effects(now, gateway_effects, effects);
    }

    fn on_scheduler_response(
        &mut self,
        now: Now,
        call: SchedulerKvCall,
        response: KvResponse,
        effects: &mut Vec<Effect>,
    ) {
        let mut scheduler_effects = SchedulerEffects::default();
        self.scheduler
            .on_kv_response(now, call, response, &mut scheduler_effects);
        self.apply_scheduler_effects(now, scheduler_effects, effects);
    }

    fn on_cancellations_response(
        &mut self,
        now: Now,
        call: CancellationsKvCall,
        response: &KvResponse,
        effects: &mut Vec<Effect>,
    ) {
        let previous_read_requested_ms = self.cancellations.last_read_requested_ms();
        let mut calls = Vec::new();
        let cancelled = self
            .cancellations
            .on_kv_response(now, call, response, &mut calls);
        self.submit_cancellation_calls(calls);
        if call == CancellationsKvCall::Poll {
            let succeeded =
                self.cancellations.last_read_requested_ms() > previous_read_requested_ms;
            self.complete_polled_requests(now, succeeded, effects);
        }
        let mut scheduler_effects = SchedulerEffects::default();
        self.notify_scheduler_of_cancellations(now, &cancelled, &mut scheduler_effects);
        self.apply_scheduler_effects(now, scheduler_effects, effects);
    }

    /// Completes the users' requests that were received before the poll was sent.
    fn complete_polled_requests(&mut self, now: Now, succeeded: bool, effects: &mut Vec<Effect>) {
        let records = succeeded.then_some(&mut self.cancellations);
        let mut gateway_effects = GatewayEffects::default();
        self.gateway.on_poll_completed(
            now,
            self.last_polled_request,
            records,
            &mut gateway_effects,
        );
        self.apply_gateway_effects(now, gateway_effects, effects);
    }
}

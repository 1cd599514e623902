//! Simulated network: delivers the calls of controllers, requests to controllers and their
//! responses, and applies injected faults.

use super::events::{CallOrigin, Event, Response, Sender};
use super::fixtures::node_at;
use super::{Delivery, Simulation};
use lilacfork::messages::{
    Call, CallError, CallId, CallResult, ConnectionId, Destination, Effect, Listener, Reply,
    Request,
};
use lilacfork::reactor::Handler;
use std::collections::HashMap;

/// Latency of a controller's call to any destination, and of the response of an external service
/// or a worker.
const LATENCY_MS: u64 = 2;
/// Latency of a peer's response to a call, and of a worker's heartbeat.
pub(super) const PEER_LATENCY_MS: u64 = 1;
/// Delay from a call until its rejection, for [`Delivery::Rejected`].
const REJECTION_MS: u64 = 4;
/// Delay from a call until its response, for [`Delivery::MalformedResponse`].
const MALFORMED_RESPONSE_MS: u64 = 5;

/// Requests and calls in transit.
#[derive(Default)]
pub(super) struct Network {
    /// Senders of the requests that controllers haven't replied to, by controller, process epoch
    /// and connection.
    senders: HashMap<(usize, u64, ConnectionId), Sender>,
    last_connection: u64,
    /// Additional delays that faults impose on the responses to calls.
    response_delays_ms: HashMap<CallOrigin, u64>,
}

impl Simulation {
    /// Sends the replies and calls that a controller has produced.
    pub(super) fn apply_effects(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            if let Some(digest) = &mut self.digest {
                digest.add(self.now_ms, node, &effect);
            }
            match effect {
                Effect::Reply(connection, reply) => self.deliver_reply(node, connection, reply),
                Effect::Call(id, call) => self.send_call(node, id, call),
            }
        }
    }

    fn send_call(&mut self, node: usize, id: CallId, call: Call) {
        let epoch = self.epochs[node];
        let origin = CallOrigin { node, epoch, id };
        let delivery = (self.fault_injector)(self.now_ms, node, &call);
        if delivery != Delivery::Normal {
            self.last_injected_fault_ms = Some(self.now_ms);
        }
        match delivery {
            Delivery::Normal => self.schedule_arrival(origin, call, LATENCY_MS, Response::Returned),
            Delivery::ResponseDelayed(delay_ms) => {
                self.network.response_delays_ms.insert(origin, delay_ms);
                self.schedule_arrival(origin, call, LATENCY_MS, Response::Returned);
            }
            Delivery::RequestLost => self.time_out(origin, &call),
            Delivery::ResponseLost => {
                self.time_out(origin, &call);
                self.schedule_arrival(origin, call, LATENCY_MS, Response::Lost);
            }
            Delivery::RequestDelayed(delay_ms) => {
                self.time_out(origin, &call);
                self.schedule_arrival(origin, call, delay_ms, Response::Lost);
            }
            Delivery::Rejected => {
                self.return_outcome(origin, REJECTION_MS, Ok((503, b"{}".to_vec())));
            }
            Delivery::MalformedResponse(status) => {
                let body = b"{\"tirage\":[],\"rows\":7}".to_vec();
                self.return_outcome(origin, MALFORMED_RESPONSE_MS, Ok((status, body)));
                self.schedule_arrival(origin, call, LATENCY_MS, Response::Lost);
            }
        }
    }

    /// Schedules the arrival of a call at its destination.
    fn schedule_arrival(
        &mut self,
        origin: CallOrigin,
        call: Call,
        delay_ms: u64,
        response: Response,
    ) {
        let arrival = Event::CallArrives {
            origin,
            call,
            response,
        };
        self.schedule(self.now_ms + delay_ms, arrival);
    }

    /// Returns an indeterminate outcome to the caller after the call's timeout.
    fn time_out(&mut self, origin: CallOrigin, call: &Call) {
        self.return_outcome(origin, call.timeout_ms, Err(CallError::Indeterminate));
    }

    /// Schedules the return of an outcome to the caller.
    pub(super) fn return_outcome(
        &mut self,
        origin: CallOrigin,
        delay_ms: u64,
        outcome: CallResult,
    ) {
        self.schedule(
            self.now_ms + delay_ms,
            Event::CallReturns { origin, outcome },
        );
    }

    /// Executes a call at its destination, and returns the outcome unless the response is lost. A
    /// peer's response is always returned.
    pub(super) fn deliver_call(&mut self, origin: CallOrigin, call: Call, response: Response) {
        let outcome = match &call.destination {
            Destination::KvStore | Destination::KvWatch => self.kv_store_call(origin, &call),
            Destination::Cloud => Some(self.cloud_call(&call)),
            Destination::Worker(address) => {
                let outcome = self.direct_command(origin.node, address, &call);
                if outcome.is_none() {
                    self.time_out(origin, &call);
                }
                outcome
            }
            Destination::Peer(address) => {
                let peer = node_at(address);
                return self.deliver_to_peer(origin, peer, call);
            }
        };
        let Some(outcome) = outcome.filter(|_| response == Response::Returned) else {
            return;
        };
        let delay_ms = self.network.response_delays_ms.remove(&origin).unwrap_or(0);
        self.return_outcome(origin, LATENCY_MS + delay_ms, outcome);
    }

    /// Forwards a call to a peer as a request. A peer that is down refuses the connection.
    fn deliver_to_peer(&mut self, origin: CallOrigin, peer: usize, call: Call) {
        if self.nodes.get(peer).is_none_or(Option::is_none) {
            return self.return_outcome(origin, PEER_LATENCY_MS, Err(CallError::NotSent));
        }
        let request = Request {
            method: call.method.into(),
            path: call.path,
            body: call.body,
        };
        self.send_request(peer, 0, Sender::Peer(origin), Listener::Peer, request);
    }

    /// Schedules the arrival of a request at a controller.
    pub(super) fn send_request(
        &mut self,
        node: usize,
        delay_ms: u64,
        sender: Sender,
        listener: Listener,
        request: Request,
    ) {
        let arrival = Event::RequestArrives {
            node,
            sender,
            listener,
            request,
        };
        self.schedule(self.now_ms + delay_ms, arrival);
    }

    /// Delivers a request to a controller. A request to a controller that is down is dropped.
    pub(super) fn deliver_request(
        &mut self,
        node: usize,
        sender: Sender,
        listener: Listener,
        request: Request,
    ) {
        self.network.last_connection += 1;
        let connection = ConnectionId(self.network.last_connection);
        if self.nodes[node].is_none() {
            return;
        }
        let key = (node, self.epochs[node], connection);
        self.network.senders.insert(key, sender);
        self.with_node(node, |node, now, effects| {
            node.request(now, connection, listener, request, effects);
        });
    }

    /// Delivers a controller's reply to the sender of the request.
    fn deliver_reply(&mut self, node: usize, connection: ConnectionId, reply: Reply) {
        let key = (node, self.epochs[node], connection);
        match self.network.senders.remove(&key) {
            Some(Sender::User(user)) => self.receive_user_reply(user, reply),
            Some(Sender::Worker(name, sent_ms)) => {
                self.receive_heartbeat_response(node, &name, sent_ms, &reply);
            }
            Some(Sender::Peer(origin)) => {
                let outcome = Ok((reply.status, reply.body));
                self.return_outcome(origin, PEER_LATENCY_MS, outcome);
            }
            None => {}
        }
    }
}

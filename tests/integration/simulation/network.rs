//! The network between controllers and everything that they talk to: calls, requests,
//! their responses, and faults on the way.

use super::events::{CallOrigin, Event, Response, Sender};
use super::fixtures::node_at;
use super::{Delivery, Simulation};
use lilacfork::messages::{
    Call, CallError, CallId, CallResult, ConnectionId, Destination, Effect, Listener, Reply,
    Request,
};
use lilacfork::reactor::Handler;
use std::collections::HashMap;

/// One way between a controller and an external service or worker.
const LATENCY_MS: u64 = 2;
/// One way between two controllers, and from workers to controllers.
pub(super) const PEER_LATENCY_MS: u64 = 1;
/// From a call until the response of something that doesn't carry it out.
const REJECTION_MS: u64 = 4;
const GARBLED_RESPONSE_MS: u64 = 5;

/// Requests that wait for the replies of controllers, and calls whose responses a
/// fault delays.
#[derive(Default)]
pub(super) struct Network {
    senders: HashMap<(usize, u64, ConnectionId), Sender>,
    last_connection: u64,
    response_delays_ms: HashMap<CallOrigin, u64>,
}

impl Simulation {
    /// Sends what a controller wants to send.
    pub(super) fn apply_effects(&mut self, node: usize, effects: Vec<Effect>) {
        for effect in effects {
            if let Some(digest) = &mut self.digest {
                digest.add(self.now, node, &effect);
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
        match (self.fault_injector)(self.now, node, &call) {
            Delivery::Normal => self.carry(origin, call, LATENCY_MS, Response::Returned),
            Delivery::ResponseDelayed(delay_ms) => {
                self.network.response_delays_ms.insert(origin, delay_ms);
                self.carry(origin, call, LATENCY_MS, Response::Returned);
            }
            Delivery::RequestLost => self.time_out(origin, &call),
            Delivery::ResponseLost => {
                self.time_out(origin, &call);
                self.carry(origin, call, LATENCY_MS, Response::Lost);
            }
            Delivery::RequestDelayed(delay_ms) => {
                self.time_out(origin, &call);
                self.carry(origin, call, delay_ms, Response::Lost);
            }
            Delivery::Rejected => {
                self.return_outcome(origin, REJECTION_MS, Ok((503, b"{}".to_vec())));
            }
            Delivery::Garbled(status) => {
                let body = b"{\"tirage\":[],\"rows\":7}".to_vec();
                self.return_outcome(origin, GARBLED_RESPONSE_MS, Ok((status, body)));
                self.carry(origin, call, LATENCY_MS, Response::Lost);
            }
        }
    }

    /// Lets a call arrive after so long.
    fn carry(&mut self, origin: CallOrigin, call: Call, delay_ms: u64, response: Response) {
        let arrival = Event::CallArrives {
            origin,
            call,
            response,
        };
        self.schedule(self.now + delay_ms, arrival);
    }

    /// The caller waits for the call's timeout and doesn't learn what became of it.
    fn time_out(&mut self, origin: CallOrigin, call: &Call) {
        self.return_outcome(origin, call.timeout_ms, Err(CallError::Indeterminate));
    }

    pub(super) fn return_outcome(
        &mut self,
        origin: CallOrigin,
        delay_ms: u64,
        outcome: CallResult,
    ) {
        self.schedule(self.now + delay_ms, Event::CallReturns { origin, outcome });
    }

    /// Carries out a call at its destination.
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

    /// Lets a request arrive at a node after so long.
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
        self.schedule(self.now + delay_ms, arrival);
    }

    /// Hands a request to a node; one that is down drops it.
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

    /// Hands a node's reply to whoever sent the request.
    fn deliver_reply(&mut self, node: usize, connection: ConnectionId, reply: Reply) {
        let key = (node, self.epochs[node], connection);
        match self.network.senders.remove(&key) {
            Some(Sender::User(user)) => self.user_answered(user, reply),
            Some(Sender::Worker(name, sent_ms)) => {
                self.heartbeat_answered(node, &name, sent_ms, &reply);
            }
            Some(Sender::Peer(origin)) => {
                let outcome = Ok((reply.status, reply.body));
                self.return_outcome(origin, PEER_LATENCY_MS, outcome);
            }
            None => {}
        }
    }
}

//! Routing of incoming requests: users, workers and the load balancer use the client
//! listener; peers use the peer listener.

use super::Node;
use crate::gateway::GatewayEffects;
use crate::messages::{ConnectionId, Effect, Listener, Now, Reply, Request};
use crate::usage::Purpose;
use crate::wire::peers::PEER_PATH;
use crate::wire::users::{READY_PATH, USER_JOBS_PATH};
use crate::wire::workers::WORKER_HEARTBEAT_PATH;

/// Number of heartbeat intervals without access to the key-value store after which a
/// controller isn't ready, provided that a peer has had access within that time.
const UNREADY_HEARTBEATS: u64 = 4;

/// An endpoint of the client listener.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum ClientRoute<'a> {
    Ready,
    WorkerHeartbeat,
    SubmitJob,
    ShowJob(&'a str),
    CancelJob(&'a str),
}

impl<'a> ClientRoute<'a> {
    fn parse(path: &'a str) -> Option<Self> {
        match path {
            READY_PATH => return Some(ClientRoute::Ready),
            WORKER_HEARTBEAT_PATH => return Some(ClientRoute::WorkerHeartbeat),
            USER_JOBS_PATH => return Some(ClientRoute::SubmitJob),
            _ => {}
        }
        // `/v2/runs/ID` or `/v2/runs/ID/abort`.
        let job_path = path.strip_prefix(USER_JOBS_PATH)?.strip_prefix('/')?;
        match job_path.split_once('/') {
            None => Some(ClientRoute::ShowJob(job_path)),
            Some((id, "abort")) => Some(ClientRoute::CancelJob(id)),
            Some(_) => None,
        }
    }

    fn method(self) -> &'static str {
        match self {
            ClientRoute::Ready | ClientRoute::ShowJob(_) => "GET",
            ClientRoute::WorkerHeartbeat | ClientRoute::SubmitJob | ClientRoute::CancelJob(_) => {
                "POST"
            }
        }
    }

    fn purpose(self) -> Purpose {
        match self {
            ClientRoute::Ready => Purpose::Probe,
            ClientRoute::WorkerHeartbeat => Purpose::WorkerHeartbeat,
            ClientRoute::SubmitJob => Purpose::Submission,
            ClientRoute::ShowJob(_) => Purpose::Query,
            ClientRoute::CancelJob(_) => Purpose::Cancellation,
        }
    }
}

impl Node {
    pub(super) fn route(
        &mut self,
        now: Now,
        connection: ConnectionId,
        listener: Listener,
        request: &Request,
        effects: &mut Vec<Effect>,
    ) {
        match listener {
            Listener::Peer => self.route_peer_request(now, connection, request, effects),
            Listener::Client => self.route_client_request(now, connection, request, effects),
        }
    }

    fn route_peer_request(
        &mut self,
        now: Now,
        connection: ConnectionId,
        request: &Request,
        effects: &mut Vec<Effect>,
    ) {
        self.purpose = Purpose::PeerHeartbeat;
        let reply = match (request.method.as_str(), path_without_query(request)) {
            ("POST", PEER_PATH) => self.on_peer_heartbeat(now, &request.body, effects),
            _ => Reply::error(404, "unknown path"),
        };
        effects.push(Effect::Reply(connection, reply));
    }

    fn route_client_request(
        &mut self,
        now: Now,
        connection: ConnectionId,
        request: &Request,
        effects: &mut Vec<Effect>,
    ) {
        let Some(route) = ClientRoute::parse(path_without_query(request)) else {
            effects.push(Effect::Reply(connection, Reply::error(404, "unknown path")));
            return;
        };
        self.purpose = route.purpose();
        let mut gateway_effects = GatewayEffects::default();
        if request.method != route.method() {
            let reply = Reply::error(405, "method not allowed");
            effects.push(Effect::Reply(connection, reply));
        } else {
            match route {
                ClientRoute::Ready => effects.push(Effect::Reply(connection, self.ready(now))),
                ClientRoute::WorkerHeartbeat => {
                    self.on_worker_heartbeat(now, connection, &request.body, effects);
                }
                ClientRoute::SubmitJob => {
                    self.gateway
                        .submit(now, connection, &request.body, &mut gateway_effects);
                }
                ClientRoute::ShowJob(id) => {
                    self.gateway
                        .query(now, connection, id, &mut gateway_effects);
                }
                ClientRoute::CancelJob(id) => {
                    self.gateway
                        .cancel(now, connection, id, &mut gateway_effects);
                }
            }
        }
        self.apply_gateway_effects(now, gateway_effects, effects);
    }

    /// Returns the readiness response for the load balancer. While no controller reaches
    /// the key-value store, all controllers stay ready: an immediate 503 response serves
    /// users better than a load balancer that removes all controllers and is slow to add
    /// them back. A controller is not ready if it can't reach the key-value store while a
    /// peer can.
    fn ready(&self, now: Now) -> Reply {
        if !self.gateway.has_catalog() {
            return Reply::retry_later(503, "machine types unknown yet", 1);
        }
        let unready_ms = self.peers.heartbeat_interval_ms() * UNREADY_HEARTBEATS;
        let store_unreachable = !self.kv.reachable()
            && self
                .kv
                .last_success_ms()
                .is_none_or(|success_ms| now.ms > success_ms + unready_ms);
        let peer_reaches_store = self
            .peers
            .iter()
            .any(|peer| peer.reached_store_within(now, unready_ms));
        if store_unreachable && peer_reaches_store {
            return Reply::retry_later(503, "the state service can't be reached from here", 1);
        }
        Reply::json(200, &self.limits.node_info())
    }
}

fn path_without_query(request: &Request) -> &str {
    request.path.split('?').next().unwrap_or("")
}

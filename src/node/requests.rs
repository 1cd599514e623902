//! Routing of incoming requests: users, workers and the load balancer use the client
//! listener; peers use the peer listener.

use super::readiness::{StoreAccess, UnreadyReason};
use super::Node;
use crate::gateway::GatewayEffects;
use crate::messages::{ConnectionId, Effect, Listener, Now, Reply, Request};
use crate::usage::Purpose;
use crate::wire::peers::PEER_PATH;
use crate::wire::users::{READY_PATH, USER_JOBS_PATH};
use crate::wire::workers::WORKER_HEARTBEAT_PATH;

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

    /// Returns the readiness response for the load balancer, and logs a change.
    fn ready(&mut self, now: Now) -> Reply {
        let access = self.store_access(now);
        let has_catalog = self.gateway.has_catalog();
        let previous = self.readiness.unready_reason();
        let reason = self.readiness.probe(now, &access, has_catalog, &self.peers);
        if reason != previous {
            self.log_readiness(now, reason);
        }
        match reason {
            Some(reason) => Reply::retry_later(503, &reason.to_string(), 1),
            None => Reply::json(200, &self.limits.node_info()),
        }
    }

    fn store_access(&self, now: Now) -> StoreAccess {
        StoreAccess {
            last_response_ms: self.kv.last_call_response_ms(),
            latest_call_failed: !self.kv.reachable(),
            started_ms: self.started_ms.unwrap_or(now.ms),
        }
    }

    fn log_readiness(&self, now: Now, reason: Option<UnreadyReason>) {
        let Some(reason) = reason else {
            log::info!("readiness changed ready=true");
            return;
        };
        let last_response_ms = self.kv.last_call_response_ms().or(self.started_ms);
        log::info!(
            "readiness changed ready=false reason=\"{reason}\" store_silent_ms={} \
             peers_heard={} peers={}",
            now.ms.saturating_sub(last_response_ms.unwrap_or(now.ms)),
            self.peers.heard(now).count(),
            self.peers.len()
        );
    }
}

fn path_without_query(request: &Request) -> &str {
    request.path.split('?').next().unwrap_or("")
}

//! Requests of users, workers and the load balancer, and who serves them.

use super::lease_proxy::proxy_answer;
use super::Node;
use crate::gateway::GatewayEffects;
use crate::messages::{ConnectionId, Effect, Listener, Now, Reply, Request};
use crate::scheduler::SchedulerEffects;
use crate::usage::Purpose;
use crate::wire::peers::PEER_PATH;
use crate::wire::users::{READY_PATH, USER_JOBS_PATH};
use crate::wire::workers::WORKER_HEARTBEAT_PATH;
use crate::wire::workers::{RedirectTo, WorkerHeartbeat};

impl Node {
    pub(super) fn route(
        &mut self,
        now: Now,
        conn: ConnectionId,
        port: Listener,
        request: Request,
        out: &mut Vec<Effect>,
    ) {
        let path = request.path.split('?').next().unwrap_or("");
        if port == Listener::Peer {
            self.purpose = Purpose::PeerHeartbeat;
            let reply = match (request.method.as_str(), path) {
                ("POST", PEER_PATH) => self.on_peer_heartbeat(now, &request.body, out),
                _ => Reply::error(404, "unknown path"),
            };
            out.push(Effect::Reply(conn, reply));
            return;
        }
        let method = request.method.as_str();
        let mut gateway = GatewayEffects::default();
        let allowed = match path {
            READY_PATH => {
                self.purpose = Purpose::Probe;
                if method == "GET" {
                    out.push(Effect::Reply(conn, self.ready(now)));
                }
                method == "GET"
            }
            WORKER_HEARTBEAT_PATH => {
                self.purpose = Purpose::WorkerHeartbeat;
                if method == "POST" {
                    self.on_worker_heartbeat(now, conn, &request.body, out);
                }
                method == "POST"
            }
            USER_JOBS_PATH => {
                self.purpose = Purpose::Submission;
                if method == "POST" {
                    self.gateway.submit(now, conn, &request.body, &mut gateway);
                }
                method == "POST"
            }
            _ => match job_path(path) {
                Some((id, None)) => {
                    self.purpose = Purpose::Query;
                    if method == "GET" {
                        self.gateway.show(now, conn, id, &mut gateway);
                    }
                    method == "GET"
                }
                Some((id, Some("abort"))) => {
                    self.purpose = Purpose::Cancellation;
                    if method == "POST" {
                        self.gateway.cancel(now, conn, id, &mut gateway);
                    }
                    method == "POST"
                }
                _ => {
                    out.push(Effect::Reply(conn, Reply::error(404, "unknown path")));
                    return;
                }
            },
        };
        if !allowed {
            out.push(Effect::Reply(conn, Reply::error(405, "method not allowed")));
        }
        self.apply_gateway_effects(now, gateway, out);
    }

    /// Ready means that requests can be taken. While the state service is
    /// away from everybody it stays so: a 503 at once serves users better
    /// than a node that balancers come back to slowly. A node that alone is
    /// cut off steps aside.
    pub(super) fn ready(&self, now: Now) -> Reply {
        if !self.gateway.has_catalog() {
            return Reply::retry_later(503, "machine types unknown yet", 1);
        }
        let patience_ms = self.peer_links.heartbeat_interval_ms * 4;
        let cut_off = !self.kv.reachable()
            && self
                .kv
                .last_success_ms()
                .is_none_or(|ok| now.ms > ok + patience_ms);
        let others_reach = self
            .peer_links
            .all
            .iter()
            .any(|p| p.state_seen_ms.is_some_and(|at| now.ms < at + patience_ms));
        if cut_off && others_reach {
            return Reply::retry_later(503, "the state service can't be reached from here", 1);
        }
        Reply::json(200, &self.described())
    }

    pub(super) fn on_worker_heartbeat(
        &mut self,
        now: Now,
        conn: ConnectionId,
        body: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let report: WorkerHeartbeat = match serde_json::from_slice(body) {
            Ok(report) => report,
            Err(e) => {
                out.push(Effect::Reply(conn, Reply::error(400, &e.to_string())));
                return;
            }
        };
        self.handover.unreached = false;
        // Who may have missed cancellations for long renews no lease, whatever
        // its part; nor may a worker be kept by answers that it has to drop.
        let informed = self.cancellations.may_renew(now);
        let stops = self.cancellations.stops(&report);
        if self.scheduler.leading() {
            if !informed || self.election.leadership_unconfirmed() {
                out.push(Effect::Reply(conn, Reply::retry_later(503, "cut off", 1)));
                return;
            }
            if let Some(peer) = self
                .forwarder_for(now, &report.zone)
                .filter(|peer| self.routes.send_to(now.ms, &report.machine, *peer))
            {
                let node = Some(self.peer_links.all[peer].name.as_str());
                let reply = Reply::json(421, &RedirectTo { node });
                out.push(Effect::Reply(conn, reply));
                return;
            }
            let mut scheduler = SchedulerEffects::default();
            self.scheduler
                .worker_heartbeat(now, conn, &report, stops, &mut scheduler);
            self.apply_scheduler_effects(now, scheduler, out);
            return;
        }
        let forwards = self.forwards(now, &report.zone).filter(|_| informed);
        let reply = if let Some(term) = forwards {
            self.lease_proxy.last_answer_ms = Some(now.ms);
            self.forwarding.add(now.ms, &report, body);
            proxy_answer(&report, term, &stops)
        } else if informed && self.proxies_leases(now) {
            self.renew_by_proxy(now, &report, &stops)
        } else {
            None
        };
        out.push(Effect::Reply(
            conn,
            reply.unwrap_or_else(|| self.redirect(now)),
        ));
    }
}

/// `/v2/runs/ID` or `/v2/runs/ID/VERB`.
fn job_path(path: &str) -> Option<(&str, Option<&str>)> {
    let rest = path.strip_prefix(USER_JOBS_PATH)?.strip_prefix('/')?;
    match rest.split_once('/') {
        Some((id, verb)) => Some((id, Some(verb))),
        None => Some((rest, None)),
    }
}

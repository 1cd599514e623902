//! Stand-ins for workers: heartbeats, leases, fencing tokens and redirects.

use super::events::{Event, Sender};
use super::network::PEER_LATENCY_MS;
use super::settings::HEARTBEAT_INTERVAL_MS;
use super::{Simulation, LEASE_MS};
use lilacfork::messages::{Call, CallResult, Listener, Reply, Request};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// How long a worker waits for the reply to a heartbeat.
const HEARTBEAT_TIMEOUT_MS: u64 = 4000;

/// A task on a machine, as its worker reports it.
#[derive(Clone, Debug)]
pub struct WorkerTask {
    pub attempt: u64,
    /// The state in the protocol's terms.
    pub state: &'static str,
    /// Why an ended task has ended.
    pub end_reason: Option<&'static str>,
}

/// A machine and its worker.
#[derive(Clone, Debug)]
pub struct Worker {
    pub(super) provisioned_ms: u64,
    pub up: bool,
    /// Released, also if it was never up.
    pub released: bool,
    /// Receives and sends nothing.
    pub silent: bool,
    /// Reaches no controller; direct commands reach it.
    pub mute: bool,
    /// Its heartbeats arrive; replies and direct commands are lost.
    pub deaf: bool,
    pub spot: bool,
    pub zone: String,
    pub(super) session: u64,
    pub(super) sequence: u64,
    pub(super) fencing_token: u64,
    pub(super) lease_renewed_ms: u64,
    /// When the heartbeat was sent that waits for its reply.
    heartbeat_sent_ms: Option<u64>,
    /// The controller that gets its heartbeats.
    pub node: usize,
    pub tasks: BTreeMap<String, WorkerTask>,
    /// Every task fails here.
    pub faulty: bool,
    /// How many times as long as usual its tasks run.
    pub slowness: u64,
    /// The notice that it reports before the cloud reclaims it.
    pub preemption_notice_s: Option<f64>,
    /// Never gets an image.
    pub image_fetch_stuck: bool,
}

impl Worker {
    pub(super) fn new(zone: &str, spot: bool, up: bool, now: u64) -> Worker {
        Worker {
            provisioned_ms: now,
            up,
            released: false,
            silent: false,
            mute: false,
            deaf: false,
            spot,
            zone: zone.into(),
            session: 1,
            sequence: 0,
            fencing_token: 0,
            lease_renewed_ms: now,
            heartbeat_sent_ms: None,
            node: 0,
            tasks: BTreeMap::new(),
            faulty: false,
            slowness: 1,
            preemption_notice_s: None,
            image_fetch_stuck: false,
        }
    }

    /// The lease has expired: a new session without tasks.
    pub(super) fn end_session(&mut self, now: u64) {
        self.tasks.clear();
        self.session += 1;
        self.sequence = 0;
        self.lease_renewed_ms = now;
    }

    /// This attempt of a task, if it is here.
    pub(super) fn attempt_mut(&mut self, task: &str, attempt: u64) -> Option<&mut WorkerTask> {
        let task = self.tasks.get_mut(task)?;
        (task.attempt == attempt).then_some(task)
    }
}

/// The request with which a worker sends a heartbeat.
fn heartbeat_request(heartbeat: &Value) -> Request {
    Request {
        method: "POST".into(),
        path: "/agent/beat".into(),
        body: heartbeat.to_string().into_bytes(),
    }
}

/// The node to which a reply to a heartbeat redirects the worker.
fn redirect_target(reply: &Value) -> Option<usize> {
    reply["rendreA"].as_str()?.strip_prefix("n-")?.parse().ok()
}

fn commands_of(body: &Value) -> &[Value] {
    body["consignes"].as_array().map_or(&[], Vec::as_slice)
}

impl Simulation {
    /// The worker's next heartbeat, with status.
    pub fn next_heartbeat(&mut self, name: &str) -> Value {
        let Some(worker) = self.workers.get_mut(name) else {
            return Value::Null;
        };
        worker.sequence += 1;
        let tasks: Vec<Value> = worker
            .tasks
            .iter()
            .map(|(name, task)| {
                let mut status = json!({"piece": name, "essai": task.attempt, "etat": task.state});
                if let Some(reason) = task.end_reason {
                    status["motif"] = json!(reason);
                }
                status
            })
            .collect();
        json!({"banc": name, "address": format!("w/{name}"), "gamme": "g8",
            "secteur": worker.zone, "occasion": worker.spot, "quart": worker.session,
            "numero": worker.sequence, "jeton": worker.fencing_token,
            "preavisS": worker.preemption_notice_s, "pieces": tasks})
    }

    /// A heartbeat is due; unless one still waits for its reply, it is sent.
    pub(super) fn heartbeat_due(&mut self, name: &str) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.released || !worker.up {
            return;
        }
        if now > worker.lease_renewed_ms + LEASE_MS {
            worker.end_session(now);
        }
        let (silent, sent_ms) = (worker.silent, worker.heartbeat_sent_ms);
        let next = Event::HeartbeatDue(name.into());
        self.schedule(now + HEARTBEAT_INTERVAL_MS, next);
        if silent {
            return;
        }
        if let Some(sent_ms) = sent_ms {
            if now < sent_ms + HEARTBEAT_TIMEOUT_MS {
                return;
            }
            self.use_next_node(name);
        }
        self.send_heartbeat(name);
    }

    fn send_heartbeat(&mut self, name: &str) {
        let now = self.now;
        let heartbeat = self.next_heartbeat(name);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.heartbeat_sent_ms = Some(now);
        let (node, mute) = (worker.node, worker.mute);
        if self.nodes[node].is_none() || self.is_partitioned(node, name) || mute {
            self.use_next_node(name);
            return;
        }
        let sender = Sender::Worker(name.into(), now);
        let request = heartbeat_request(&heartbeat);
        self.send_request(node, PEER_LATENCY_MS, sender, Listener::Client, request);
    }

    /// Delivers a heartbeat whose reply nobody reads.
    pub fn deliver_heartbeat(&mut self, node: usize, report: &Value) {
        self.last_user += 1;
        let sender = Sender::User(self.last_user);
        let request = heartbeat_request(report);
        self.send_request(node, 0, sender, Listener::Client, request);
    }

    /// Whether a partition is between a node and a machine.
    fn is_partitioned(&self, node: usize, name: &str) -> bool {
        let zone = &self.workers[name].zone;
        self.partitions.iter().any(|(n, z)| *n == node && z == zone)
    }

    fn use_next_node(&mut self, name: &str) {
        let nodes = self.nodes.len();
        if let Some(worker) = self.workers.get_mut(name) {
            worker.heartbeat_sent_ms = None;
            worker.node = (worker.node + 1) % nodes;
        }
    }

    /// A node has replied to a heartbeat.
    pub(super) fn heartbeat_answered(
        &mut self,
        node: usize,
        name: &str,
        sent_ms: u64,
        reply: &Reply,
    ) {
        let now = self.now;
        self.heartbeat_replies.push((now, node, reply.status));
        let body: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
        let redirect = redirect_target(&body);
        if let Some(target) = redirect {
            self.redirects.push((now, node, target));
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let is_late = now > sent_ms + HEARTBEAT_TIMEOUT_MS;
        if worker.heartbeat_sent_ms != Some(sent_ms) || is_late {
            return;
        }
        worker.heartbeat_sent_ms = None;
        match (reply.status, redirect) {
            (200, _) => self.heartbeat_accepted(name, sent_ms, &body),
            (421, Some(target)) => worker.node = target,
            _ => self.use_next_node(name),
        }
    }

    /// A leader has renewed the lease and perhaps sent commands.
    fn heartbeat_accepted(&mut self, name: &str, sent_ms: u64, reply: &Value) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let token = reply["jeton"].as_u64().unwrap_or(0);
        if token < worker.fencing_token || worker.released || worker.silent || worker.deaf {
            return;
        }
        worker.fencing_token = token;
        worker.lease_renewed_ms = sent_ms;
        self.execute(name, commands_of(reply));
    }

    /// Commands that a controller sends without waiting for a heartbeat; `None`: the
    /// machine doesn't answer.
    pub(super) fn direct_command(
        &mut self,
        node: usize,
        address: &str,
        call: &Call,
    ) -> Option<CallResult> {
        let name = address.strip_prefix("w/")?;
        let body: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        if self.workers.contains_key(name) && self.is_partitioned(node, name) {
            return None;
        }
        let worker = self.workers.get_mut(name)?;
        if worker.released || !worker.up || worker.silent || worker.deaf {
            return None;
        }
        let token = body["jeton"].as_u64().unwrap_or(0);
        let is_stale = token < worker.fencing_token;
        let other_session = body["quart"].as_u64() != Some(worker.session);
        worker.fencing_token = worker.fencing_token.max(token);
        let status = if is_stale || other_session {
            409
        } else {
            self.execute(name, commands_of(&body));
            200
        };
        let heartbeat = self.next_heartbeat(name).to_string().into_bytes();
        Some(Ok((status, heartbeat)))
    }

    /// How many tasks whose names begin so are on machines.
    pub fn on_machines(&self, prefix: &str) -> usize {
        self.workers
            .values()
            .flat_map(|worker| worker.tasks.iter())
            .filter(|(name, task)| name.starts_with(prefix) && task.state != "ended")
            .count()
    }
}

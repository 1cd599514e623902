//! Simulated machines and workers: heartbeats, leases, fencing tokens and redirects.

use super::events::{Event, Sender};
use super::network::PEER_LATENCY_MS;
use super::settings::HEARTBEAT_INTERVAL_MS;
use super::{Simulation, LEASE_MS};
use lilacfork::messages::{Call, CallResult, Listener, Reply, Request};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// How long a worker waits for a heartbeat response.
const HEARTBEAT_TIMEOUT_MS: u64 = 4000;

/// A task on a machine, as its worker reports it.
#[derive(Clone, Debug)]
pub struct WorkerTask {
    pub attempt: u64,
    /// The state as named in the protocol, for example `pulling` or `flushing`.
    pub state: &'static str,
    /// Why the task ended, as named in the protocol; `None` until it ends.
    pub end_reason: Option<&'static str>,
    /// Whether the task fails, because of its machine at the time of its start or because of
    /// its job.
    pub fails: bool,
}

/// A machine and its worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// When the machine was added, in virtual time.
    pub(super) provisioned_ms: u64,
    /// Whether the machine has booted.
    pub up: bool,
    /// Whether the machine was returned to the cloud, also before it booted.
    pub released: bool,
    /// Whether the cloud took the machine back without notice. Its tasks are gone, it sends no
    /// heartbeats, and the cloud doesn't list it any more.
    pub taken: bool,
    /// Whether the worker sends no heartbeats, and executes neither the commands in heartbeat
    /// responses nor direct commands.
    pub unresponsive: bool,
    /// Whether the worker's heartbeats are lost while direct commands are delivered (one-way
    /// partition).
    pub outbound_blocked: bool,
    /// Whether direct commands, and the lease renewals and commands in heartbeat responses, are
    /// lost while the worker's heartbeats are delivered (one-way partition). Redirects are not
    /// lost.
    pub inbound_blocked: bool,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    pub zone: String,
    /// The agent epoch, which increases whenever the lease expires.
    pub(super) agent_epoch: u64,
    /// The sequence number of the worker's last heartbeat in this agent epoch.
    pub(super) sequence: u64,
    /// The highest fencing token that the worker has received.
    pub(super) fencing_token: u64,
    /// When the worker sent the last heartbeat that renewed its lease, in virtual time. If no
    /// heartbeat has been accepted yet: when the machine was added, when it booted, or when the
    /// lease last expired.
    pub(super) lease_renewed_ms: u64,
    /// When the worker sent the heartbeat that awaits its response; `None` if no heartbeat is
    /// pending.
    heartbeat_sent_ms: Option<u64>,
    /// The index of the controller to which the worker sends its heartbeats.
    pub node: usize,
    /// Tasks by name, including ended tasks that controllers haven't acknowledged.
    pub tasks: BTreeMap<String, WorkerTask>,
    /// Whether every task on the machine fails.
    pub faulty: bool,
    /// Factor by which tasks run longer on this machine.
    pub slowdown_factor: u64,
    /// The preemption notice that the worker reports: seconds until the cloud reclaims the
    /// machine; `None` without a notice.
    pub preemption_notice_s: Option<f64>,
    /// Whether image pulls never complete.
    pub image_pull_stuck: bool,
}

impl Worker {
    pub(super) fn new(zone: &str, spot: bool, up: bool, now_ms: u64) -> Worker {
        Worker {
            provisioned_ms: now_ms,
            up,
            released: false,
            taken: false,
            unresponsive: false,
            outbound_blocked: false,
            inbound_blocked: false,
            spot,
            zone: zone.into(),
            agent_epoch: 1,
            sequence: 0,
            fencing_token: 0,
            lease_renewed_ms: now_ms,
            heartbeat_sent_ms: None,
            node: 0,
            tasks: BTreeMap::new(),
            faulty: false,
            slowdown_factor: 1,
            preemption_notice_s: None,
            image_pull_stuck: false,
        }
    }

    /// Returns whether the cloud has neither released nor taken back the machine.
    pub(super) fn exists(&self) -> bool {
        !self.released && !self.taken
    }

    /// Returns whether the machine exists and doesn't work as it should.
    pub(super) fn has_trouble(&self) -> bool {
        let is_slow = self.slowdown_factor > 1;
        self.exists()
            && (self.unresponsive
                || self.outbound_blocked
                || self.inbound_blocked
                || self.faulty
                || is_slow
                || self.image_pull_stuck
                || self.preemption_notice_s.is_some())
    }

    /// Handles the expiry of the worker's lease: stops all tasks and starts a new agent epoch.
    pub(super) fn expire_lease(&mut self, now_ms: u64) {
        self.tasks.clear();
        self.agent_epoch += 1;
        self.sequence = 0;
        self.lease_renewed_ms = now_ms;
    }

    /// Returns a task if the machine has this attempt of it.
    pub(super) fn attempt_mut(&mut self, task: &str, attempt: u64) -> Option<&mut WorkerTask> {
        let task = self.tasks.get_mut(task)?;
        (task.attempt == attempt).then_some(task)
    }
}

/// Returns the HTTP request that carries a heartbeat.
fn heartbeat_request(heartbeat: &Value) -> Request {
    Request {
        method: "POST".into(),
        path: "/agent/beat".into(),
        body: heartbeat.to_string().into_bytes(),
    }
}

/// Returns the controller to which a heartbeat response redirects the worker.
fn redirect_target(response: &Value) -> Option<usize> {
    response["rendreA"]
        .as_str()?
        .strip_prefix("n-")?
        .parse()
        .ok()
}

/// Returns the commands in a heartbeat response or in a direct command message.
fn commands_of(body: &Value) -> &[Value] {
    body["consignes"].as_array().map_or(&[], Vec::as_slice)
}

impl Simulation {
    /// Creates the next heartbeat of a worker, with the status of its tasks. Returns `null` for
    /// an unknown machine.
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
            "secteur": worker.zone, "occasion": worker.spot, "quart": worker.agent_epoch,
            "numero": worker.sequence, "jeton": worker.fencing_token,
            "preavisS": worker.preemption_notice_s, "pieces": tasks})
    }

    /// Sends a heartbeat and schedules the next one, unless the machine is down or released. An
    /// unresponsive worker sends none. No heartbeat is sent while an earlier one awaits its
    /// response; [`HEARTBEAT_TIMEOUT_MS`] after the earlier one, the worker sends a heartbeat to
    /// the next controller.
    pub(super) fn heartbeat_due(&mut self, name: &str) {
        let now_ms = self.now_ms;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if !worker.exists() || !worker.up {
            return;
        }
        if now_ms > worker.lease_renewed_ms + LEASE_MS {
            worker.expire_lease(now_ms);
        }
        let (unresponsive, sent_ms) = (worker.unresponsive, worker.heartbeat_sent_ms);
        let next = Event::HeartbeatDue(name.into());
        self.schedule(now_ms + HEARTBEAT_INTERVAL_MS, next);
        if unresponsive {
            return;
        }
        if let Some(sent_ms) = sent_ms {
            if now_ms < sent_ms + HEARTBEAT_TIMEOUT_MS {
                return;
            }
            self.use_next_node(name);
        }
        self.send_heartbeat(name);
    }

    /// Sends a heartbeat to the worker's controller. If the controller can't be reached, the
    /// worker tries the next one at its next heartbeat.
    fn send_heartbeat(&mut self, name: &str) {
        let now_ms = self.now_ms;
        let heartbeat = self.next_heartbeat(name);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.heartbeat_sent_ms = Some(now_ms);
        let (node, outbound_blocked) = (worker.node, worker.outbound_blocked);
        if self.nodes[node].is_none() || self.is_partitioned(node, name) || outbound_blocked {
            self.use_next_node(name);
            return;
        }
        let sender = Sender::Worker(name.into(), now_ms);
        let request = heartbeat_request(&heartbeat);
        self.send_request(node, PEER_LATENCY_MS, sender, Listener::Client, request);
    }

    /// Delivers a given heartbeat to a controller. The response reaches no worker and isn't in
    /// [`Simulation::heartbeat_responses`].
    pub fn deliver_heartbeat(&mut self, node: usize, heartbeat: &Value) {
        self.last_request += 1;
        let sender = Sender::User(self.last_request);
        let request = heartbeat_request(heartbeat);
        self.send_request(node, 0, sender, Listener::Client, request);
    }

    /// Returns whether a controller and a machine are separated by a network partition.
    fn is_partitioned(&self, node: usize, name: &str) -> bool {
        let zone = &self.workers[name].zone;
        self.partitions
            .iter()
            .any(|(partitioned_node, partitioned_zone)| {
                *partitioned_node == node && partitioned_zone == zone
            })
    }

    /// Makes a worker send its next heartbeat to the next controller.
    fn use_next_node(&mut self, name: &str) {
        let nodes = self.nodes.len();
        if let Some(worker) = self.workers.get_mut(name) {
            worker.heartbeat_sent_ms = None;
            worker.node = (worker.node + 1) % nodes;
        }
    }

    /// Handles a heartbeat response. The worker ignores the response if it is late or doesn't
    /// belong to the pending heartbeat.
    pub(super) fn receive_heartbeat_response(
        &mut self,
        node: usize,
        name: &str,
        sent_ms: u64,
        response: &Reply,
    ) {
        let now_ms = self.now_ms;
        self.heartbeat_responses
            .push((now_ms, node, response.status));
        let body: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        let redirect = redirect_target(&body);
        if let Some(target) = redirect {
            self.redirects.push((now_ms, node, target));
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let is_late = now_ms > sent_ms + HEARTBEAT_TIMEOUT_MS;
        if worker.heartbeat_sent_ms != Some(sent_ms) || is_late {
            return;
        }
        worker.heartbeat_sent_ms = None;
        match (response.status, redirect) {
            (200, _) => self.heartbeat_accepted(name, sent_ms, &body),
            (421, Some(target)) => worker.node = target,
            _ => self.use_next_node(name),
        }
    }

    /// Renews the worker's lease and executes the commands of a heartbeat response, unless the
    /// response doesn't reach the worker or its fencing token is stale.
    fn heartbeat_accepted(&mut self, name: &str, sent_ms: u64, response: &Value) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let token = response["jeton"].as_u64().unwrap_or(0);
        if token < worker.fencing_token
            || !worker.exists()
            || worker.unresponsive
            || worker.inbound_blocked
        {
            return;
        }
        worker.fencing_token = token;
        worker.lease_renewed_ms = sent_ms;
        self.execute(name, commands_of(response));
    }

    /// Executes commands that a controller sends without waiting for a heartbeat. The worker
    /// rejects them with status 409 if the fencing token is stale or the agent epoch differs.
    /// Returns `None` if the commands don't reach the worker.
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
        if !worker.exists() || !worker.up || worker.unresponsive || worker.inbound_blocked {
            return None;
        }
        let token = body["jeton"].as_u64().unwrap_or(0);
        let is_stale = token < worker.fencing_token;
        let is_other_agent_epoch = body["quart"].as_u64() != Some(worker.agent_epoch);
        worker.fencing_token = worker.fencing_token.max(token);
        let status = if is_stale || is_other_agent_epoch {
            409
        } else {
            self.execute(name, commands_of(&body));
            200
        };
        let heartbeat = self.next_heartbeat(name).to_string().into_bytes();
        Some(Ok((status, heartbeat)))
    }

    /// Returns how many tasks with names that start with `prefix` are on machines and haven't
    /// ended.
    pub fn on_machines(&self, prefix: &str) -> usize {
        self.workers
            .values()
            .flat_map(|worker| worker.tasks.iter())
            .filter(|(name, task)| name.starts_with(prefix) && task.state != "ended")
            .count()
    }
}

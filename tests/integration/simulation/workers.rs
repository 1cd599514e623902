//! Stand-ins for workers: reports, leases, tokens and commands.

use super::observer::Placed;
use super::{hold, on_machines, Action, Origin, Simulation, LEASE_MS};
use lilacfork::messages::{Call, CallResult, Listener, Reply, Request};
use serde_json::{json, Value};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub struct Running {
    pub attempt: u64,
    pub state: &'static str,
    pub why: Option<&'static str>,
}

#[derive(Clone, Debug)]
pub struct Worker {
    pub rented_ms: u64,
    pub up: bool,
    pub gone: bool,
    /// Hears nothing and says nothing.
    pub silent: bool,
    /// Reaches no controller; direct commands reach it.
    pub mute: bool,
    /// Its reports arrive; answers and direct commands are lost.
    pub deaf: bool,
    pub spot: bool,
    pub zone: String,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub answered_ms: u64,
    /// When the report was sent that waits for its answer.
    pub(super) asked_ms: Option<u64>,
    pub node: usize,
    pub tasks: BTreeMap<String, Running>,
    pub sick: bool,
    /// How many times as long as usual its tasks run.
    pub slowness: u64,
    /// What it says of being taken away.
    pub notice_s: Option<f64>,
    /// Never gets an image.
    pub stuck: bool,
}

impl Worker {
    /// The lease is over: a new session without tasks.
    pub(super) fn end_session(&mut self, now: u64) {
        self.tasks.clear();
        self.session += 1;
        self.seq = 0;
        self.answered_ms = now;
    }
}

impl Simulation {
    pub fn worker_report(&mut self, name: &str) -> Value {
        let Some(w) = self.workers.get_mut(name) else {
            return Value::Null;
        };
        w.seq += 1;
        let tasks: Vec<Value> = w
            .tasks
            .iter()
            .map(|(t, r)| {
                let mut v = json!({"piece": t, "essai": r.attempt, "etat": r.state});
                if let Some(why) = r.why {
                    v["motif"] = json!(why);
                }
                v
            })
            .collect();
        json!({"banc": name, "address": format!("w/{name}"), "gamme": "g8", "secteur": w.zone,
            "occasion": w.spot, "quart": w.session, "numero": w.seq, "jeton": w.token,
            "preavisS": w.notice_s, "pieces": tasks})
    }

    pub(super) fn report(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.gone || !w.up {
            return;
        }
        if now > w.answered_ms + LEASE_MS {
            w.end_session(now);
        }
        self.at(now + 1000, Action::Report(name.into()));
        if self.workers[name].silent {
            return;
        }
        if let Some(asked_ms) = self.workers[name].asked_ms {
            if now < asked_ms + 4000 {
                return;
            }
            self.next_node(name);
        }
        let body = self.worker_report(name).to_string().into_bytes();
        let node = self.workers[name].node;
        if let Some(w) = self.workers.get_mut(name) {
            w.asked_ms = Some(now);
        }
        if self.nodes[node].is_none() || self.is_cut(node, name) || self.workers[name].mute {
            self.next_node(name);
            return;
        }
        let origin = Origin::Worker(name.into(), now);
        let request = Request {
            method: "POST".into(),
            path: "/agent/beat".into(),
            body,
        };
        self.at(
            now + 1,
            Action::Request {
                node,
                origin,
                port: Listener::Client,
                request,
            },
        );
    }

    pub(super) fn is_cut(&self, node: usize, name: &str) -> bool {
        let zone = &self.workers[name].zone;
        self.cuts.iter().any(|(n, z)| *n == node && z == zone)
    }

    pub(super) fn next_node(&mut self, name: &str) {
        let nodes = self.nodes.len();
        if let Some(w) = self.workers.get_mut(name) {
            w.asked_ms = None;
            w.node = (w.node + 1) % nodes;
        }
    }

    pub(super) fn report_answered(&mut self, name: &str, sent: u64, reply: Reply) {
        let body: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
        let now = self.now;
        let Some(w) = self.workers.get_mut(name) else {
            return;
        };
        if w.asked_ms != Some(sent) || now > sent + 4000 {
            return;
        }
        w.asked_ms = None;
        if reply.status == 200 {
            let token = body["jeton"].as_u64().unwrap_or(0);
            if token < w.token || w.gone || w.silent || w.deaf {
                return;
            }
            w.token = token;
            w.answered_ms = sent;
            let commands = body["consignes"].as_array().cloned().unwrap_or_default();
            self.execute(name, &commands);
        } else {
            match body["rendreA"]
                .as_str()
                .and_then(|n| n.strip_prefix("n-")?.parse().ok())
            {
                Some(node) if reply.status == 421 => w.node = node,
                _ => self.next_node(name),
            }
        }
    }

    pub(super) fn direct(&mut self, node: usize, addr: &str, call: &Call) -> Option<CallResult> {
        let name = addr.strip_prefix("w/")?.to_string();
        let body: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        if self.workers.contains_key(&name) && self.is_cut(node, &name) {
            return None;
        }
        let w = self.workers.get_mut(&name)?;
        if w.gone || !w.up || w.silent || w.deaf {
            return None;
        }
        let token = body["jeton"].as_u64().unwrap_or(0);
        let status = if token < w.token || body["quart"].as_u64() != Some(w.session) {
            w.token = w.token.max(token);
            409
        } else {
            w.token = token;
            let commands = body["consignes"].as_array().cloned().unwrap_or_default();
            self.execute(&name, &commands);
            200
        };
        let report = self.worker_report(&name).to_string().into_bytes();
        Some(Ok((status, report)))
    }

    /// Carries out commands, and checks the rules while it does.
    pub fn execute(&mut self, name: &str, commands: &[Value]) {
        for command in commands {
            let task = command["piece"].as_str().unwrap_or("").to_string();
            let attempt = command["essai"].as_u64().unwrap_or(0);
            match command["geste"].as_str() {
                Some("start") => {
                    let here = &self.workers[name].tasks;
                    if here.get(&task).is_some_and(|t| t.attempt == attempt) {
                        continue;
                    }
                    let w = &self.workers[name];
                    let start = Placed {
                        task: &task,
                        machine: name,
                        zone: &w.zone,
                        spot: w.spot,
                    };
                    hold(
                        self.observer
                            .starts(self.now, start, on_machines(&self.workers)),
                    );
                    let job = start.job();
                    self.trace
                        .push(format!("{} {name} {task} #{attempt}", self.now));
                    let service = self
                        .observer
                        .spec(job)
                        .is_some_and(|s| s["genre"] == "service");
                    let fails = self.workers[name].sick || self.is_broken(&task);
                    let fetches = self.fetch_ms > 0;
                    let running = Running {
                        attempt,
                        state: if fetches { "pulling" } else { "running" },
                        why: None,
                    };
                    if let Some(w) = self.workers.get_mut(name) {
                        w.tasks.insert(task.clone(), running);
                    }
                    if fetches && !self.workers[name].stuck {
                        let fetched = Action::Fetched {
                            machine: name.into(),
                            task: task.clone(),
                            attempt,
                            session: self.workers[name].session,
                        };
                        self.at(self.now + self.fetch_ms, fetched);
                    }
                    if !service || fails {
                        let index = task.rsplit_once('/').and_then(|(_, n)| n.parse().ok());
                        let later = self.stagger_ms * index.unwrap_or(0u64);
                        let after = if fails {
                            self.fetch_ms + 100
                        } else {
                            (self.run_ms + later) * self.workers[name].slowness
                        };
                        let finish = Action::Finish {
                            machine: name.into(),
                            task,
                            attempt,
                        };
                        self.at(self.now + after, finish);
                    }
                }
                Some("halt") => {
                    let (job, index) = task.rsplit_once('/').unwrap_or(("", "0"));
                    let save_ms = self
                        .observer
                        .spec(job)
                        .filter(|s| s["jalonS"] != json!(0.0))
                        .and_then(|s| s["sauvegardeS"].as_f64())
                        .map_or(0, |s| (s * 1000.0) as u64);
                    // Some save faster than others.
                    let save_ms = save_ms / (1 + index.parse::<u64>().unwrap_or(0) % 3);
                    let now = self.now;
                    let mut stopped = None;
                    if let Some(t) = self
                        .workers
                        .get_mut(name)
                        .and_then(|w| w.tasks.get_mut(&task))
                        .filter(|t| t.attempt == attempt && t.state != "ended")
                    {
                        if save_ms > 0 && command["delaiS"].as_u64() > Some(0) {
                            t.state = "flushing";
                            stopped = Some(now + save_ms);
                        } else {
                            t.state = "ended";
                            t.why = Some("stopped");
                        }
                    }
                    if let Some(at) = stopped {
                        let machine = name.into();
                        let saved = Action::Saved {
                            machine,
                            task,
                            attempt,
                        };
                        self.at(at, saved);
                    }
                }
                _ => {
                    if let Some(w) = self.workers.get_mut(name) {
                        if w.tasks
                            .get(&task)
                            .is_some_and(|t| t.attempt == attempt && t.state == "ended")
                        {
                            w.tasks.remove(&task);
                        }
                    }
                }
            }
        }
    }

    pub(super) fn is_broken(&self, task: &str) -> bool {
        let job = task.split('/').next().unwrap_or("");
        self.broken.contains(job) || self.broken.contains(task)
    }

    pub(super) fn fetched(&mut self, machine: &str, task: &str, attempt: u64, session: u64) {
        let worker = self.workers.get_mut(machine);
        let worker = worker.filter(|w| w.session == session);
        let waits = worker.and_then(|w| w.tasks.get_mut(task));
        if let Some(task) = waits.filter(|t| t.attempt == attempt && t.state == "pulling") {
            task.state = "running";
        }
    }

    /// Where a task is now, if anywhere.
    pub fn on_machines(&self, prefix: &str) -> usize {
        self.workers
            .values()
            .flat_map(|w| w.tasks.iter())
            .filter(|(t, r)| t.starts_with(prefix) && r.state != "ended")
            .count()
    }

    pub fn deliver_report(&mut self, node: usize, report: &Value) {
        let request = Request {
            method: "POST".into(),
            path: "/agent/beat".into(),
            body: report.to_string().into_bytes(),
        };
        self.next_user += 1;
        let origin = Origin::User(self.next_user);
        self.at(
            self.now,
            Action::Request {
                node,
                origin,
                port: Listener::Client,
                request,
            },
        );
    }
}

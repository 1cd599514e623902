//! Stand-ins for state service, cloud and workers, by their published
//! protocols, in virtual time. Every run is the same; nothing sleeps.
//!
//! An [`observer::Observer`] checks the protocol's rules on every trace, at
//! every step; a history that breaks one ends the test.

#![allow(dead_code)]

pub mod observer;
pub mod replicas;
pub mod scenes;

use lilacfork::msg::{
    Call, CallError, CallId, ConnId, Effect, Now, Outcome, Port, Reply, Request, Target,
};
use lilacfork::node::Node;
use lilacfork::options::Options;
use lilacfork::reactor::Handler;
use lilacfork::settings::Settings;
use observer::{Observer, Placed, Question, Verb};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, HashMap};

pub const SETTINGS: &str = r#"
node_name = "NAME"
domain = "ZONE"
client_listen = "10.0.0.9:8080"
back = "10.0.0.9:8081"
[[peers]]
node_name = "n-0"
domain = "a"
peer_addr = "10.0.0.1:8081"
[[peers]]
node_name = "n-1"
domain = "b"
peer_addr = "10.0.0.2:8081"
[[peers]]
node_name = "n-2"
domain = "a"
peer_addr = "10.0.0.3:8081"
[services]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[settings]
count = 3
zones = ["a", "b"]
skew_ms = 5.0
[[settings.teams]]
name = "blue"
gpus_max = 16.0
[[settings.teams]]
name = "red"
[[settings.objectives]]
kind = "wait"
class = "chat"
within_s = 5.0
share = 0.9
[settings.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 30.0
[settings.state]
rps = 200.0
write_rps = 50.0
value_kb = 32.0
txn_ops = 16
[settings.cloud]
rps = 5.0
list_lag_s = 5.0
[settings.limits]
cores = 0.1
ram_mb = 40.0
max_connections = 500
"#;

/// For as many controllers as there are, but three at least.
pub fn settings(name: &str, nodes: usize) -> Settings {
    let zone = if name == "n-1" { "b" } else { "a" };
    let mut text = SETTINGS.replace("NAME", name).replace("ZONE", zone);
    for n in 3..nodes {
        let port = format!("10.0.0.{}:8081", n + 1);
        let peer =
            format!("[[peers]]\nnode_name = \"n-{n}\"\ndomain = \"a\"\npeer_addr = \"{port}\"\n");
        text = text.replace("[services]", &format!("{peer}[services]"));
    }
    // The users' settings leave a node out of its own peers.
    let own = format!("[[peers]]\nnode_name = \"{name}\"\n");
    let at = text.find(&own).expect("its own entry");
    let entry = text[at..].split_inclusive('\n').take(4);
    let end = at + entry.map(str::len).sum::<usize>();
    text.replace_range(at..end, "");
    Settings::parse(&text, "test").expect("test settings")
}

/// The share of a core in [`SETTINGS`].
const CORES: f64 = 0.1;

/// What a fault hook says of a message.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Fate {
    Pass,
    /// Never arrives; the caller learns nothing.
    LoseRequest,
    /// Is carried out; the answer never arrives.
    LoseAnswer,
    /// The caller gives up; it is carried out so much later.
    Late(u64),
    /// Is carried out at once; the answer takes so much longer.
    SlowAnswer(u64),
    /// Is answered 503 at once and not carried out.
    Refuse,
    /// Is carried out and answered with this status and nonsense.
    Garble(u16),
}

/// The workers' lease, and the time that a cancellation has.
pub const LEASE_MS: u64 = 10_000;
pub const CANCEL_MS: u64 = 30_000;

/// In worlds of so many machines the leader's books are counted anew, at one of so
/// many events.
const MOST_RECOUNTED: usize = 40;
const RECOUNTED_OF: u64 = 3;
/// How many records the state service lists at once.
const PAGE: usize = 500;

/// How often the observer looks at what is on machines.
const LOOK_MS: u64 = 100;

#[derive(Clone, Debug)]
enum Action {
    Tick(usize),
    Arrive {
        node: usize,
        epoch: u64,
        id: CallId,
        call: Call,
        answer: bool,
    },
    Return {
        node: usize,
        epoch: u64,
        id: CallId,
        outcome: Outcome,
    },
    Request {
        node: usize,
        origin: Origin,
        port: Port,
        request: Request,
    },
    Report(String),
    Finish {
        machine: String,
        task: String,
        attempt: u64,
    },
    Saved {
        machine: String,
        task: String,
        attempt: u64,
    },
    Fetched {
        machine: String,
        task: String,
        attempt: u64,
        session: u64,
    },
    Boot(String),
    Recheck,
}

#[derive(Clone, Debug)]
enum Origin {
    User(u64),
    Worker(String, u64),
    Peer { node: usize, epoch: u64, id: CallId },
}

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
    asked_ms: Option<u64>,
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
    fn end_session(&mut self, now: u64) {
        self.tasks.clear();
        self.session += 1;
        self.seq = 0;
        self.answered_ms = now;
    }
}

/// Ends the test over a broken rule.
#[track_caller]
fn hold(verdict: observer::Verdict) {
    if let Err(broken) = verdict {
        panic!("{broken}");
    }
}

/// What is on machines.
fn on_machines(workers: &BTreeMap<String, Worker>) -> impl Iterator<Item = Placed<'_>> + Clone {
    workers.iter().flat_map(|(machine, w)| {
        w.tasks
            .iter()
            .filter(|(_, t)| t.state != "ended")
            .map(move |(task, _)| Placed {
                task,
                machine,
                zone: &w.zone,
                spot: w.spot,
            })
    })
}

#[derive(Default)]
pub struct State {
    pub items: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub revision: u64,
    leases: HashMap<u64, (u64, u64)>,
    next_lease: u64,
    events: Vec<(u64, String, Option<Value>)>,
    watches: Vec<(usize, u64, CallId, String, u64, u64)>,
    pub away: bool,
    /// Watches stay open and say nothing.
    pub mute_watches: bool,
}

impl State {
    fn events_after(&self, prefix: &str, from: u64) -> Vec<Value> {
        self.events
            .iter()
            .filter(|(rev, key, _)| *rev > from && key.starts_with(prefix))
            .map(|(rev, key, value)| match value {
                Some(v) => json!({"set": key, "v": v, "retouche": rev}),
                None => json!({"drop": key, "retouche": rev}),
            })
            .collect()
    }
}

pub type Hook = Box<dyn FnMut(u64, usize, &Call) -> Fate>;

pub struct World {
    pub now: u64,
    queue: BTreeMap<(u64, u64), Action>,
    order: u64,
    pub nodes: Vec<Option<Node>>,
    epochs: Vec<u64>,
    ticks: Vec<u64>,
    conns: HashMap<(usize, u64, ConnId), Origin>,
    next_conn: u64,
    pub state: State,
    pub workers: BTreeMap<String, Worker>,
    orders: HashMap<String, Vec<String>>,
    next_machine: u32,
    pub boot_ms: u64,
    pub cloud_away: bool,
    pub capacity: usize,
    pub hook: Hook,
    pub answers: HashMap<u64, Reply>,
    next_user: u64,
    questions: HashMap<u64, Question>,
    pub observer: Observer,
    looked_ms: u64,
    /// Starts carried out, as people read them: time, machine, task, attempt.
    pub trace: Vec<String>,
    pub run_ms: u64,
    /// How long an image is fetched.
    pub fetch_ms: u64,
    options: Options,
    /// Jobs, or tasks of them, that were submitted with a mistake: their tasks fail everywhere.
    pub broken: BTreeSet<String>,
    /// Nodes that stand still, and until when.
    pub frozen: BTreeMap<usize, u64>,
    /// A woken node looks at answers to its calls before anything else.
    pub answers_first: bool,
    /// Answers to reports: when, by whom, status.
    pub report_answers: Vec<(u64, usize, u16)>,
    /// Where workers were sent: when, by whom, to whom.
    pub redirects: Vec<(u64, usize, usize)>,
    /// Nodes and zones whose machines can't hear each other.
    pub cuts: Vec<(usize, String)>,
    slow: HashMap<(usize, u64, CallId), u64>,
    /// The share of a core that controllers are told that they have.
    cores: f64,
    /// Events at which the books could have been counted anew.
    recounts: u64,
    /// Jobs whose replicas span machines.
    pub watched: BTreeMap<String, replicas::Watched>,
}

impl World {
    pub fn new(nodes: usize) -> World {
        World::with_cores(nodes, CORES)
    }

    /// Controllers that are told that they have this share of a core: with very
    /// little their rounds take many slices.
    pub fn with_cores(nodes: usize, cores: f64) -> World {
        World::with(nodes, cores, Options::default())
    }

    /// Controllers with settings of their operators.
    pub fn with_options(nodes: usize, options: Options) -> World {
        World::with(nodes, CORES, options)
    }

    fn with(nodes: usize, cores: f64, options: Options) -> World {
        let mut world = World {
            cores,
            recounts: 0,
            watched: BTreeMap::new(),
            now: 0,
            queue: BTreeMap::new(),
            order: 0,
            nodes: Vec::new(),
            epochs: vec![0; nodes],
            ticks: vec![u64::MAX; nodes],
            conns: HashMap::new(),
            next_conn: 0,
            state: State::default(),
            workers: BTreeMap::new(),
            orders: HashMap::new(),
            next_machine: 0,
            boot_ms: 4000,
            cloud_away: false,
            capacity: 100,
            hook: Box::new(|_, _, _| Fate::Pass),
            answers: HashMap::new(),
            next_user: 0,
            questions: HashMap::new(),
            observer: Observer::new(CANCEL_MS, &[("blue", 16.0)]),
            looked_ms: 0,
            trace: Vec::new(),
            run_ms: 3000,
            fetch_ms: 0,
            options,
            broken: BTreeSet::new(),
            frozen: BTreeMap::new(),
            answers_first: false,
            report_answers: Vec::new(),
            redirects: Vec::new(),
            cuts: Vec::new(),
            slow: HashMap::new(),
        };
        for n in 0..nodes {
            world.nodes.push(None);
            world.start(n);
        }
        world
    }

    pub fn start(&mut self, n: usize) {
        self.epochs[n] += 1;
        let incarnation = self.epochs[n] * 100 + n as u64 + 1;
        let mut settings = settings(&format!("n-{n}"), self.epochs.len());
        settings.site.limits.cores = self.cores;
        self.nodes[n] = Some(Node::new(settings, self.options.clone(), incarnation));
        self.wake(n, self.now + 1);
    }

    /// From now on nodes are started with these settings of their operators.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Kills a node without a word.
    pub fn kill(&mut self, n: usize) {
        self.nodes[n] = None;
        self.epochs[n] += 1;
        self.ticks[n] = u64::MAX;
    }

    pub fn leader(&self) -> Option<usize> {
        self.nodes
            .iter()
            .position(|n| n.as_ref().is_some_and(Node::is_leader))
    }

    fn at(&mut self, ms: u64, action: Action) {
        self.order += 1;
        self.queue.insert((ms.max(self.now), self.order), action);
    }

    fn wake(&mut self, n: usize, ms: u64) {
        if ms < self.ticks[n] {
            self.ticks[n] = ms;
            self.at(ms, Action::Tick(n));
        }
    }

    fn clock(&self) -> Now {
        Now {
            ms: self.now,
            wall: 1_000_000 + self.now,
        }
    }

    fn with_node(&mut self, n: usize, f: impl FnOnce(&mut Node, Now, &mut Vec<Effect>)) {
        let now = self.clock();
        let Some(node) = self.nodes[n].as_mut() else {
            return;
        };
        let mut out = Vec::new();
        f(node, now, &mut out);
        let mut next = node.tick(now, &mut out);
        next = next.max(self.now + 1);
        // Counting everything anew at every event would take too long in a large
        // fleet, and hide what isn't brought up to date before it is used.
        self.recounts += 1;
        if self.workers.len() <= MOST_RECOUNTED && self.recounts.is_multiple_of(RECOUNTED_OF) {
            if let Err(why) = node.check_books() {
                panic!("node {n} at {}: {why}", self.now);
            }
        }
        self.effects(n, out);
        self.wake(n, next);
    }

    fn effects(&mut self, n: usize, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Reply(conn, reply) => self.replied(n, conn, reply),
                Effect::Call(id, call) => self.called(n, id, call),
            }
        }
    }

    fn called(&mut self, node: usize, id: CallId, call: Call) {
        let epoch = self.epochs[node];
        let fate = (self.hook)(self.now, node, &call);
        let give_up = self.now + call.timeout_ms;
        let unclear = Action::Return {
            node,
            epoch,
            id,
            outcome: Err(CallError::Unclear),
        };
        let (delay, answer) = match fate {
            Fate::Pass => (2, true),
            Fate::SlowAnswer(ms) => {
                self.slow.insert((node, epoch, id), ms);
                (2, true)
            }
            Fate::LoseRequest => {
                self.at(give_up, unclear);
                return;
            }
            Fate::Refuse => {
                let refused = Action::Return {
                    node,
                    epoch,
                    id,
                    outcome: Ok((503, b"{}".to_vec())),
                };
                self.at(self.now + 4, refused);
                return;
            }
            Fate::Garble(status) => {
                let nonsense = Action::Return {
                    node,
                    epoch,
                    id,
                    outcome: Ok((status, b"{\"tirage\":[],\"rows\":7}".to_vec())),
                };
                self.at(self.now + 5, nonsense);
                (2, false)
            }
            Fate::LoseAnswer => {
                self.at(give_up, unclear);
                (2, false)
            }
            Fate::Late(ms) => {
                self.at(give_up, unclear);
                (ms, false)
            }
        };
        self.at(
            self.now + delay,
            Action::Arrive {
                node,
                epoch,
                id,
                call,
                answer,
            },
        );
    }

    fn replied(&mut self, n: usize, conn: ConnId, reply: Reply) {
        match self.conns.remove(&(n, self.epochs[n], conn)) {
            Some(Origin::User(user)) => {
                self.answers.insert(user, reply);
                if let Some(question) = self.questions.remove(&user) {
                    let (status, state) = self.answer(user);
                    hold(self.observer.answered(self.now, &question, status, &state));
                }
            }
            Some(Origin::Worker(name, sent)) => {
                self.report_answers.push((self.now, n, reply.status));
                let body: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
                let to = body["rendreA"].as_str().and_then(|n| n.strip_prefix("n-"));
                if let Some(to) = to.and_then(|n| n.parse().ok()) {
                    self.redirects.push((self.now, n, to));
                }
                self.report_answered(&name, sent, reply);
            }
            Some(Origin::Peer { node, epoch, id }) => {
                let outcome = Ok((reply.status, reply.body));
                self.at(
                    self.now + 1,
                    Action::Return {
                        node,
                        epoch,
                        id,
                        outcome,
                    },
                );
            }
            None => {}
        }
    }

    // ---- running ----

    pub fn run_until(&mut self, ms: u64) {
        while let Some((&(at, order), _)) = self.queue.first_key_value() {
            if at > ms {
                break;
            }
            self.now = at;
            let Some(action) = self.queue.remove(&(at, order)) else {
                break;
            };
            self.act(action);
            if self.now >= self.looked_ms + LOOK_MS {
                self.look();
            }
        }
        self.now = ms;
        self.look();
    }

    /// Lets the observer look at what is on machines. A lease ends by itself,
    /// whether or not its worker says anything.
    fn look(&mut self) {
        self.looked_ms = self.now;
        let now = self.now;
        for w in self.workers.values_mut() {
            if now > w.answered_ms + LEASE_MS && !w.tasks.is_empty() {
                w.end_session(now);
            }
        }
        hold(self.observer.present(now, on_machines(&self.workers)));
        self.look_at_replicas();
    }

    /// From now on the replicas of this job are watched.
    pub fn watch_replicas(&mut self, job: &str, parts: u32, tasks: u32) {
        self.watched
            .insert(job.into(), replicas::Watched::new(parts, tasks));
    }

    fn look_at_replicas(&mut self) {
        for (job, watched) in &mut self.watched {
            let mut present = BTreeMap::new();
            for (name, running) in self.workers.values().flat_map(|w| &w.tasks) {
                let index = name
                    .strip_prefix(job.as_str())
                    .and_then(|n| n.strip_prefix('/'));
                let index = index.and_then(|n| n.parse().ok());
                if let Some(index) = index.filter(|_| running.state != "ended") {
                    present.insert(index, running.state);
                }
            }
            watched.look(self.now, &present);
        }
    }

    /// How many tasks of a watched job a node says to be running. What it says must
    /// be true, as far as it can know.
    pub fn running_told(&mut self, node: usize, id: &str) -> u64 {
        let user = self.ask(node, "GET", &format!("/v2/runs/{id}"), Value::Null);
        self.wait(user, 2000);
        let body = self.answers.get(&user).map(|reply| &reply.body);
        let body: Value = body
            .and_then(|body| serde_json::from_slice(body).ok())
            .unwrap_or(Value::Null);
        let running = body["running"].as_u64().unwrap_or(0);
        let watched = &self.watched[id];
        assert!(
            watched.may_run(self.now, running),
            "{running} tasks of {id} are said to run at {}: {watched:?}",
            self.now
        );
        running
    }

    pub fn run_for(&mut self, ms: u64) {
        self.run_until(self.now + ms);
    }

    fn act(&mut self, action: Action) {
        let node = match &action {
            Action::Tick(node) => Some(node),
            Action::Request { node, .. } | Action::Return { node, .. } => Some(node),
            _ => None,
        };
        let until = node.and_then(|n| self.frozen.get(n)).copied();
        if let Some(until) = until.filter(|until| self.now < *until) {
            // Which socket it looks at first is anybody's guess: reports are.
            let report = matches!(
                &action,
                Action::Request {
                    port: Port::Client,
                    ..
                }
            );
            let answer = matches!(&action, Action::Return { .. });
            let first = report || (answer && self.answers_first);
            self.at(until + u64::from(!first), action);
            return;
        }
        match action {
            Action::Tick(n) => {
                if self.ticks[n] <= self.now {
                    self.ticks[n] = u64::MAX;
                    self.with_node(n, |_, _, _| {});
                }
            }
            Action::Request {
                node,
                origin,
                port,
                request,
            } => {
                self.next_conn += 1;
                let conn = ConnId(self.next_conn);
                if self.nodes[node].is_none() {
                    return;
                }
                self.conns.insert((node, self.epochs[node], conn), origin);
                self.with_node(node, |n, now, out| n.request(now, conn, port, request, out));
            }
            Action::Return {
                node,
                epoch,
                id,
                outcome,
            } => {
                if self.epochs[node] == epoch {
                    self.with_node(node, |n, now, out| n.outcome(now, id, outcome, out));
                }
            }
            Action::Arrive {
                node,
                epoch,
                id,
                call,
                answer,
            } => self.arrive(node, epoch, id, call, answer),
            Action::Report(name) => self.report(&name),
            Action::Finish {
                machine,
                task,
                attempt,
            } => {
                let broken = self.is_broken(&task);
                if let Some(worker) = self.workers.get_mut(&machine) {
                    let fails = worker.sick || broken;
                    if let Some(t) = worker.tasks.get_mut(&task) {
                        if t.attempt == attempt && t.state == "running" {
                            t.state = "ended";
                            t.why = Some(if fails { "error" } else { "done" });
                            if !fails {
                                self.observer.finished(&task);
                            }
                        }
                    }
                }
            }
            Action::Saved {
                machine,
                task,
                attempt,
            } => {
                if let Some(t) = self
                    .workers
                    .get_mut(&machine)
                    .and_then(|w| w.tasks.get_mut(&task))
                    .filter(|t| t.attempt == attempt && t.state == "flushing")
                {
                    t.state = "ended";
                    t.why = Some("stopped");
                }
            }
            Action::Fetched {
                machine,
                task,
                attempt,
                session,
            } => self.fetched(&machine, &task, attempt, session),
            Action::Boot(name) => {
                let now = self.now;
                if let Some(worker) = self.workers.get_mut(&name).filter(|w| !w.gone) {
                    worker.up = true;
                    worker.answered_ms = now;
                    self.at(now, Action::Report(name));
                }
            }
            Action::Recheck => self.expire_leases(),
        }
    }

    fn arrive(&mut self, node: usize, epoch: u64, id: CallId, call: Call, answer: bool) {
        let outcome = match &call.target {
            Target::State | Target::StateWatch => match self.state_call(node, epoch, id, &call) {
                Some(outcome) => outcome,
                None => return,
            },
            Target::Cloud => self.cloud_call(&call),
            Target::Worker(addr) => match self.direct(node, &addr.clone(), &call) {
                Some(outcome) => outcome,
                None => {
                    // Nobody answers: the caller's patience ends it.
                    let outcome = Err(CallError::Unclear);
                    self.at(
                        self.now + call.timeout_ms,
                        Action::Return {
                            node,
                            epoch,
                            id,
                            outcome,
                        },
                    );
                    return;
                }
            },
            Target::Peer(addr) => {
                let to = scenes::node_at(addr);
                let origin = Origin::Peer { node, epoch, id };
                let request = Request {
                    method: call.method.into(),
                    path: call.path,
                    body: call.body,
                };
                if self.nodes.get(to).is_none_or(Option::is_none) {
                    let outcome = Err(CallError::NotSent);
                    self.at(
                        self.now + 1,
                        Action::Return {
                            node,
                            epoch,
                            id,
                            outcome,
                        },
                    );
                    return;
                }
                self.at(
                    self.now,
                    Action::Request {
                        node: to,
                        origin,
                        port: Port::Peer,
                        request,
                    },
                );
                return;
            }
        };
        if answer {
            let slow = self.slow.remove(&(node, epoch, id)).unwrap_or(0);
            self.at(
                self.now + 2 + slow,
                Action::Return {
                    node,
                    epoch,
                    id,
                    outcome,
                },
            );
        }
    }

    // ---- users ----

    pub fn ask(&mut self, node: usize, method: &str, path: &str, body: Value) -> u64 {
        let bytes = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        self.ask_raw(node, method, path, bytes)
    }

    pub fn ask_raw(&mut self, node: usize, method: &str, path: &str, body: Vec<u8>) -> u64 {
        self.next_user += 1;
        let user = self.next_user;
        self.note_question(user, path, &body);
        let request = Request {
            method: method.into(),
            path: path.into(),
            body,
        };
        self.at(
            self.now,
            Action::Request {
                node,
                origin: Origin::User(user),
                port: Port::Client,
                request,
            },
        );
        user
    }

    /// Tells the observer what a user asks.
    fn note_question(&mut self, user: u64, path: &str, body: &[u8]) {
        let Some(rest) = path.strip_prefix("/v2/runs") else {
            return;
        };
        let (verb, job) = match rest.strip_prefix('/').map(|r| r.split_once('/')) {
            None => {
                let spec: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
                self.observer.submitted(&spec);
                let id = spec["id"].as_str().unwrap_or("").to_string();
                (Verb::Submit, id)
            }
            Some(Some((id, _))) => {
                self.observer.cancel_asked(id);
                (Verb::Cancel, id.to_string())
            }
            Some(None) => (Verb::Show, rest[1..].to_string()),
        };
        let question = Question {
            verb,
            job,
            asked_ms: self.now,
        };
        self.questions.insert(user, question);
    }

    /// Submits and waits for the answer's status, as long as users do.
    pub fn submit(&mut self, node: usize, spec: &Value) -> u16 {
        let user = self.ask(node, "POST", "/v2/runs", spec.clone());
        self.wait(user, 5000);
        self.answers.get(&user).map_or(0, |r| r.status)
    }

    pub fn cancel(&mut self, node: usize, id: &str) -> (u16, String) {
        let user = self.ask(node, "POST", &format!("/v2/runs/{id}/abort"), Value::Null);
        self.run_for(50);
        self.answer(user)
    }

    /// Asks and waits for the answer, as long as users do.
    pub fn poll(&mut self, node: usize, id: &str) -> (u16, String) {
        let user = self.ask(node, "GET", &format!("/v2/runs/{id}"), Value::Null);
        self.wait(user, 2000);
        self.answer(user)
    }

    fn wait(&mut self, user: u64, most_ms: u64) {
        let until = self.now + most_ms;
        self.run_for(50);
        while self.now < until && !self.answers.contains_key(&user) {
            self.run_for(10);
        }
    }

    pub fn answer(&self, user: u64) -> (u16, String) {
        let Some(reply) = self.answers.get(&user) else {
            return (0, String::new());
        };
        let body: Value = serde_json::from_slice(&reply.body).unwrap_or(Value::Null);
        (
            reply.status,
            body["etat"].as_str().unwrap_or("").to_string(),
        )
    }

    // ---- state service ----

    fn expire_leases(&mut self) {
        if self.state.away {
            return;
        }
        let ended: Vec<u64> = self
            .state
            .leases
            .iter()
            .filter(|(_, l)| l.1 <= self.now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.state.leases.remove(&lease);
        let keys: Vec<String> = self
            .state
            .items
            .iter()
            .filter(|(_, i)| i.2 == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.state.revision += 1;
            self.state.items.remove(&key);
            self.state.events.push((self.state.revision, key, None));
        }
        self.serve_watches();
    }

    /// The outage is over: every lease has its full time again.
    pub fn state_returns(&mut self) {
        self.state.away = false;
        let now = self.now;
        let mut rechecks = Vec::new();
        for lease in self.state.leases.values_mut() {
            lease.1 = now + lease.0;
            rechecks.push(lease.1);
        }
        for at in rechecks {
            self.at(at + 1, Action::Recheck);
        }
        self.serve_watches();
    }

    fn serve_watches(&mut self) {
        if self.state.away || self.state.mute_watches {
            return;
        }
        let mut kept = Vec::new();
        for watch in std::mem::take(&mut self.state.watches) {
            let (node, epoch, id, prefix, from, until) = &watch;
            let events = self.state.events_after(prefix, *from);
            if events.is_empty() && self.now < *until {
                kept.push(watch);
                continue;
            }
            let body = json!({"tirage": self.state.revision, "events": events}).to_string();
            let outcome = Ok((200, body.into_bytes()));
            let action = Action::Return {
                node: *node,
                epoch: *epoch,
                id: *id,
                outcome,
            };
            self.at(self.now + 1, action);
        }
        self.state.watches = kept;
    }

    fn state_call(&mut self, node: usize, epoch: u64, id: CallId, call: &Call) -> Option<Outcome> {
        let ok = |status: u16, v: Value| Some(Ok((status, v.to_string().into_bytes())));
        let (path, query) = call.path.split_once('?').unwrap_or((&call.path, ""));
        let param = |name: &str| {
            query
                .split('&')
                .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
                .unwrap_or("")
                .to_string()
        };
        if self.state.away && (path != "/follow" || param("waitMs").is_empty()) {
            return ok(503, json!({}));
        }
        let body: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        if path == "/follow" {
            let until = self.now + param("waitMs").parse::<u64>().unwrap_or(0);
            let from = param("from").parse().unwrap_or(0);
            if param("waitMs").is_empty() {
                let events = self.state.events_after(&param("under"), from);
                return ok(
                    200,
                    json!({"tirage": self.state.revision, "events": events}),
                );
            }
            self.state
                .watches
                .push((node, epoch, id, param("under"), from, until));
            self.at(until, Action::Recheck);
            self.serve_watches();
            return None;
        }
        if path == "/kv" {
            let (prefix, after) = (param("under"), param("from"));
            let rows: Vec<Value> = self
                .state
                .items
                .iter()
                .filter(|(k, _)| k.starts_with(&prefix) && **k > after)
                .take(PAGE + 1)
                .map(|(k, i)| json!({"k": k, "v": i.0, "retouche": i.1}))
                .collect();
            let more = rows.len() > PAGE;
            let rows = &rows[..rows.len().min(PAGE)];
            return ok(
                200,
                json!({"rows": rows, "truncated": more, "tirage": self.state.revision}),
            );
        }
        if let Some(key) = path.strip_prefix("/kv/") {
            return match self.state.items.get(key) {
                Some(i) => ok(200, json!({"k": key, "v": i.0, "retouche": i.1})),
                None => ok(404, json!({"tirage": self.state.revision})),
            };
        }
        if path == "/leases" {
            self.state.next_lease += 1;
            let ttl = body["ttlMs"].as_u64().unwrap_or(1000);
            self.state
                .leases
                .insert(self.state.next_lease, (ttl, self.now + ttl));
            self.at(self.now + ttl + 1, Action::Recheck);
            return ok(200, json!({"bail": self.state.next_lease}));
        }
        if let Some(rest) = path.strip_prefix("/leases/") {
            let lease: u64 = rest
                .split('/')
                .next()
                .and_then(|s| s.parse().ok())
                .unwrap_or(0);
            if !self.state.leases.contains_key(&lease) {
                return ok(404, json!({}));
            }
            if call.method == "DELETE" {
                self.end_lease(lease);
            } else if let Some(l) = self.state.leases.get_mut(&lease) {
                l.1 = self.now + l.0;
                let at = l.1 + 1;
                self.at(at, Action::Recheck);
            }
            return ok(200, json!({}));
        }
        // A transaction.
        let failed: Vec<String> = body["guards"]
            .as_array()
            .into_iter()
            .flatten()
            .filter(|g| {
                let held = self
                    .state
                    .items
                    .get(g["k"].as_str().unwrap_or(""))
                    .map_or(0, |i| i.1);
                Some(held) != g["retouche"].as_u64()
            })
            .map(|g| g["k"].as_str().unwrap_or("").to_string())
            .collect();
        if !failed.is_empty() {
            return ok(
                409,
                json!({"failed": failed, "tirage": self.state.revision}),
            );
        }
        let writes = body["writes"].as_array().cloned().unwrap_or_default();
        assert!(writes.len() <= 16, "too many writes in a transaction");
        assert!(call.body.len() <= 64 * 1024, "transaction too large");
        self.state.revision += 1;
        let revision = self.state.revision;
        for write in &writes {
            if let Some(key) = write["set"].as_str() {
                assert!(write["v"].to_string().len() <= 32 * 1024, "value too large");
                let lease = write["bail"].as_u64();
                self.state
                    .items
                    .insert(key.into(), (write["v"].clone(), revision, lease));
                self.state
                    .events
                    .push((revision, key.into(), Some(write["v"].clone())));
            } else if let Some(key) = write["drop"].as_str() {
                self.state.items.remove(key);
                self.state.events.push((revision, key.into(), None));
            }
        }
        self.serve_watches();
        ok(200, json!({"tirage": revision}))
    }

    // ---- cloud ----

    pub fn add_machine(&mut self, name: &str, zone: &str, spot: bool, up: bool) {
        let worker = Worker {
            up,
            gone: false,
            rented_ms: self.now,
            silent: false,
            mute: false,
            deaf: false,
            spot,
            zone: zone.into(),
            session: 1,
            seq: 0,
            token: 0,
            answered_ms: self.now,
            asked_ms: None,
            node: 0,
            tasks: BTreeMap::new(),
            sick: false,
            slowness: 1,
            notice_s: None,
            stuck: false,
        };
        self.workers.insert(name.into(), worker);
        if up {
            self.at(self.now + 10, Action::Report(name.into()));
        } else {
            self.at(self.now + self.boot_ms, Action::Boot(name.into()));
        }
    }

    fn cloud_call(&mut self, call: &Call) -> Outcome {
        let body: Value = serde_json::from_slice(&call.body).unwrap_or(Value::Null);
        let ok = |v: Value| Ok((200, v.to_string().into_bytes()));
        if self.cloud_away {
            return Ok((503, br#"{"error":"trouble"}"#.to_vec()));
        }
        match call.path.split('?').next().unwrap_or("") {
            "/catalog" => ok(
                json!({"gammes": [{"sku": "g8", "cpus": 96, "gpus": 8, "memoryGb": 768,
                "cacheGb": 200, "pullGbPerS": 1.0, "hourly": 12.0, "marketPrice": 4.5, "startupS": 5,
                "secteurs": ["a", "b"]}]}),
            ),
            "/machines" if call.method == "POST" => {
                let order = body["bon"].as_str().unwrap_or("").to_string();
                if let Some(names) = self.orders.get(&order) {
                    return ok(json!({ "bancs": names }));
                }
                let alive = self.workers.values().filter(|w| !w.gone).count();
                let room = self.capacity.saturating_sub(alive);
                let count = (body["howMany"].as_u64().unwrap_or(0) as usize).min(room);
                if count == 0 {
                    return Ok((503, br#"{"error":"no capacity"}"#.to_vec()));
                }
                let mut names = Vec::new();
                for _ in 0..count {
                    let name = format!("vm-{:06}", self.next_machine);
                    self.next_machine += 1;
                    let zone = body["secteur"].as_str().unwrap_or("a").to_string();
                    self.add_machine(&name, &zone, body["occasion"] == json!(true), false);
                    names.push(name);
                }
                self.orders.insert(order, names.clone());
                ok(json!({ "bancs": names }))
            }
            "/machines/release" => {
                for name in body["bancs"].as_array().into_iter().flatten() {
                    if let Some(worker) = self.workers.get_mut(name.as_str().unwrap_or("")) {
                        worker.gone = true;
                        worker.tasks.clear();
                    }
                }
                ok(json!({}))
            }
            _ => {
                let list: Vec<Value> = self
                    .workers
                    .iter()
                    .filter(|(_, w)| !w.gone)
                    .map(|(name, w)| {
                        json!({"id": name, "address": format!("w/{name}"), "gamme": "g8", "secteur": w.zone,
                        "occasion": w.spot, "etat": if w.up { "running" } else { "starting" },
                        "heldS": (self.now - w.rented_ms) as f64 / 1000.0})
                    })
                    .collect();
                ok(json!({"bancs": list, "truncated": false}))
            }
        }
    }

    // ---- workers ----

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

    fn report(&mut self, name: &str) {
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
                port: Port::Client,
                request,
            },
        );
    }

    fn is_cut(&self, node: usize, name: &str) -> bool {
        let zone = &self.workers[name].zone;
        self.cuts.iter().any(|(n, z)| *n == node && z == zone)
    }

    fn next_node(&mut self, name: &str) {
        let nodes = self.nodes.len();
        if let Some(w) = self.workers.get_mut(name) {
            w.asked_ms = None;
            w.node = (w.node + 1) % nodes;
        }
    }

    fn report_answered(&mut self, name: &str, sent: u64, reply: Reply) {
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

    fn direct(&mut self, node: usize, addr: &str, call: &Call) -> Option<Outcome> {
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
                        let after = if fails {
                            self.fetch_ms + 100
                        } else {
                            self.run_ms * self.workers[name].slowness
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

    fn is_broken(&self, task: &str) -> bool {
        let job = task.split('/').next().unwrap_or("");
        self.broken.contains(job) || self.broken.contains(task)
    }

    fn fetched(&mut self, machine: &str, task: &str, attempt: u64, session: u64) {
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
                port: Port::Client,
                request,
            },
        );
    }
}

/// An array of quick tasks; change what a test needs.
pub fn array(id: &str, tasks: u32) -> Value {
    json!({"id": id, "gabarit": "batch", "equipe": "red", "genre": "array", "rang": "standard",
        "pieces": tasks, "cpus": 8.0, "gpus": 1.0, "memoryGb": 64.0, "moule": "img-1", "pullGb": 6.2,
        "gammes": null, "secteur": null, "samePlace": false, "spread": false, "occasion": true,
        "prevuS": 3.0, "jalonS": 0.0, "sauvegardeS": 0.0, "echeanceS": 60.0})
}

pub fn service(id: &str, tasks: u32) -> Value {
    let mut spec = array(id, tasks);
    spec["genre"] = json!("service");
    spec["gabarit"] = json!("chat");
    spec["rang"] = json!("critical");
    spec["occasion"] = json!(false);
    spec["prevuS"] = json!(0.0);
    spec["echeanceS"] = Value::Null;
    spec
}

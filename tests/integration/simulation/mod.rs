//! Stand-ins for state service, cloud and workers, by their published
//! protocols, in virtual time. Every run is the same; nothing sleeps.
//!
//! An [`observer::Observer`] checks the protocol's rules on every trace, at
//! every step; a history that breaks one ends the test.

#![allow(dead_code)]

mod cloud;
mod digest;
pub mod fixtures;
pub mod observer;
pub mod replica_groups;
pub mod state;
mod users;
mod workers;

use digest::Digest;
use lilacfork::messages::{
    Call, CallError, CallId, CallResult, ConnectionId, Destination, Effect, Listener, Now, Reply,
    Request,
};
use lilacfork::node::Node;
use lilacfork::reactor::Handler;
use lilacfork::settings::{NextStateLimits, Settings, StateLimits};
use lilacfork::tuning::Tuning;
use observer::{Observer, Placed, Question};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, HashMap};

pub use state::State;
pub use workers::Worker;

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

/// In simulations of so many machines the leader's books are counted anew, at one of so
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
        outcome: CallResult,
    },
    Request {
        node: usize,
        origin: Origin,
        port: Listener,
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

pub type Hook = Box<dyn FnMut(u64, usize, &Call) -> Fate>;

pub struct Simulation {
    pub now: u64,
    queue: BTreeMap<(u64, u64), Action>,
    order: u64,
    pub nodes: Vec<Option<Node>>,
    epochs: Vec<u64>,
    ticks: Vec<u64>,
    conns: HashMap<(usize, u64, ConnectionId), Origin>,
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
    /// So much longer runs each task than the one before it in its job.
    pub stagger_ms: u64,
    /// How long an image is fetched.
    pub fetch_ms: u64,
    options: Tuning,
    /// What settings say of the state service, if not the usual.
    state_limits: Option<StateLimits>,
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
    pub watched: BTreeMap<String, replica_groups::Watched>,
    /// What the controllers send, if a digest of it was asked for.
    digest: Option<Digest>,
}

impl Simulation {
    pub fn new(nodes: usize) -> Simulation {
        Simulation::with_cores(nodes, CORES)
    }

    /// Controllers that are told that they have this share of a core: with very
    /// little their rounds take many slices.
    pub fn with_cores(nodes: usize, cores: f64) -> Simulation {
        Simulation::with(nodes, cores, Tuning::default(), None)
    }

    /// Controllers that are told of lower limits of the state service to come.
    pub fn announcing(nodes: usize, next: NextStateLimits) -> Simulation {
        let mut limits = settings("n-0", nodes).site.state;
        limits.next = Some(next);
        Simulation::with(nodes, CORES, Tuning::default(), Some(limits))
    }

    /// From now on nodes are started with this said of the state service.
    pub fn set_state_limits(&mut self, limits: StateLimits) {
        self.state_limits = Some(limits);
    }

    /// Controllers with settings of their operators.
    pub fn with_options(nodes: usize, options: Tuning) -> Simulation {
        Simulation::with(nodes, CORES, options, None)
    }

    fn with(
        nodes: usize,
        cores: f64,
        options: Tuning,
        state_limits: Option<StateLimits>,
    ) -> Simulation {
        let mut simulation = Simulation {
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
            stagger_ms: 0,
            fetch_ms: 0,
            options,
            state_limits,
            broken: BTreeSet::new(),
            frozen: BTreeMap::new(),
            answers_first: false,
            report_answers: Vec::new(),
            redirects: Vec::new(),
            cuts: Vec::new(),
            slow: HashMap::new(),
            digest: Digest::from_environment(),
        };
        for n in 0..nodes {
            simulation.nodes.push(None);
            simulation.start(n);
        }
        simulation
    }

    pub fn start(&mut self, n: usize) {
        self.epochs[n] += 1;
        let incarnation = self.epochs[n] * 100 + n as u64 + 1;
        let mut settings = settings(&format!("n-{n}"), self.epochs.len());
        settings.site.limits.cores = self.cores;
        if let Some(limits) = &self.state_limits {
            settings.site.state = limits.clone();
        }
        self.nodes[n] = Some(Node::new(settings, self.options.clone(), incarnation));
        self.wake(n, self.now + 1);
    }

    /// From now on nodes are started with these settings of their operators.
    pub fn set_options(&mut self, options: Tuning) {
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
            if let Err(why) = node.check_invariants() {
                panic!("node {n} at {}: {why}", self.now);
            }
        }
        self.effects(n, out);
        self.wake(n, next);
    }

    fn effects(&mut self, n: usize, out: Vec<Effect>) {
        for effect in out {
            if let Some(digest) = &mut self.digest {
                digest.add(self.now, n, &effect);
            }
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
            outcome: Err(CallError::Indeterminate),
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

    fn replied(&mut self, n: usize, conn: ConnectionId, reply: Reply) {
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
            .insert(job.into(), replica_groups::Watched::new(parts, tasks));
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
                    port: Listener::Client,
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
                let conn = ConnectionId(self.next_conn);
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
            Destination::KvStore | Destination::KvWatch => {
                match self.state_call(node, epoch, id, &call) {
                    Some(outcome) => outcome,
                    None => return,
                }
            }
            Destination::Cloud => self.cloud_call(&call),
            Destination::Worker(addr) => match self.direct(node, &addr.clone(), &call) {
                Some(outcome) => outcome,
                None => {
                    // Nobody answers: the caller's patience ends it.
                    let outcome = Err(CallError::Indeterminate);
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
            Destination::Peer(addr) => {
                let to = fixtures::node_at(addr);
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
                        port: Listener::Peer,
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

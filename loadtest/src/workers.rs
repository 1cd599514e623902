//! Hollow workers, by the published protocol: reports on their schedule and on
//! change, tokens, sessions, leases, commands, image fetches and runs by the
//! clock. Each has a listener and a connection of its own.

use crate::control::{Command, Stats};
use crate::history::{Event, Recorder};
use crate::net::{now_us, Asker, Incoming, Link, Net};
use crate::part::{Part, PartConfig, Role, CONTROL_LISTENER};
use crate::scenario::{Machine, Scenario};
use lilacfork::http::Response;
use lilacfork::ids::TaskRef;
use lilacfork::messages::{Reply, Request};
use lilacfork::placement::Resources;
use lilacfork::wire::users::{JobKind, JobSpec};
use lilacfork::wire::workers::{WORKER_COMMANDS_PATH, WORKER_HEARTBEAT_PATH};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddrV4;

/// How long an answer to a report is waited for.
const ANSWER_MS: u64 = 4000;
/// Between two reports at least, and before the next controller is tried
/// (PROTOCOL, "Workers -> controller nodes").
const LEAST_GAP_US: u64 = 500_000;
const NEXT_CONTROLLER_US: u64 = 1_000_000;
/// A report goes out every report interval, give or take this share.
const REPORT_SPREAD: f64 = 0.25;

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum Phase {
    #[serde(rename = "pulling")]
    Fetching,
    Running,
    Ended,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
enum Reason {
    Done,
    Stopped,
    Full,
    Busy,
    Unknown,
}

struct Task {
    attempt: u64,
    phase: Phase,
    reason: Option<Reason>,
    spec: Option<JobSpec>,
}

#[derive(Serialize)]
struct TaskLine<'a> {
    piece: &'a str,
    essai: u64,
    etat: Phase,
    #[serde(skip_serializing_if = "Option::is_none")]
    motif: Option<Reason>,
}

#[derive(Serialize)]
struct ReportBody<'a> {
    banc: &'a str,
    address: String,
    gamme: &'a str,
    secteur: &'a str,
    occasion: bool,
    quart: u64,
    numero: u64,
    jeton: u64,
    pieces: Vec<TaskLine<'a>>,
}

#[derive(Deserialize)]
struct CommandBody {
    geste: String,
    piece: String,
    essai: u64,
}

#[derive(Deserialize)]
struct AnswerBody {
    jeton: Option<u64>,
    quart: Option<u64>,
    #[serde(rename = "rendreA")]
    report_to: Option<String>,
    #[serde(default)]
    consignes: Vec<CommandBody>,
}

struct Worker {
    number: u32,
    machine: Machine,
    address: SocketAddrV4,
    up: bool,
    session: u64,
    sequence: u64,
    token: u64,
    controller: usize,
    tasks: BTreeMap<String, Task>,
    used: Resources,
    /// Most recently used last.
    cached: VecDeque<(String, f64)>,
    fetching: BTreeSet<String>,
    /// When the last answered report was sent, or the session began.
    answered_us: u64,
    /// The report in flight: when it was sent, and its session.
    asked: Option<(u64, u64)>,
    last_report_us: u64,
    report_due_us: u64,
    /// Until when it reaches nobody.
    silent_us: u64,
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Report,
    Lease,
    Boot,
    Fetched {
        image: String,
    },
    RunOver {
        task: String,
        attempt: u64,
        session: u64,
    },
}

/// The workers of one process.
pub struct WorkersPart {
    scenario: Scenario,
    controllers: Vec<SocketAddrV4>,
    workers: Vec<Worker>,
    first: u32,
    timers: BTreeSet<(u64, usize, Due)>,
    recorder: Recorder,
    rng: fastrand::Rng,
    /// Until when each zone's workers are cut off.
    cut_us: Vec<u64>,
    reports: u64,
    starts: u64,
    leases_ended: u64,
}

impl WorkersPart {
    /// Opens a listener for each.
    pub fn new(
        config: &PartConfig,
        net: &mut Net,
        listeners: &mut Vec<SocketAddrV4>,
    ) -> io::Result<WorkersPart> {
        let Role::Workers { first, last } = config.role else {
            return Err(io::ErrorKind::InvalidInput.into());
        };
        let scenario = config.scenario.clone();
        let now = now_us();
        let mut part = WorkersPart {
            controllers: config.controllers.clone(),
            workers: Vec::new(),
            first,
            timers: BTreeSet::new(),
            recorder: Recorder::create(&config.history)?,
            rng: fastrand::Rng::with_seed(scenario.seed + u64::from(first)),
            cut_us: vec![0; scenario.zones.len()],
            reports: 0,
            starts: 0,
            leases_ended: 0,
            scenario,
        };
        for number in first..=last {
            let address = net.listen()?;
            listeners.push(address);
            part.add(number, address, now);
        }
        Ok(part)
    }

    fn add(&mut self, number: u32, address: SocketAddrV4, now: u64) {
        let up = number < self.scenario.workers.count;
        let index = self.workers.len();
        self.workers.push(Worker {
            number,
            machine: self.scenario.machine(number),
            address,
            up,
            session: 1,
            sequence: 0,
            token: 0,
            controller: self.rng.usize(..self.controllers.len()),
            tasks: BTreeMap::new(),
            used: Resources::default(),
            cached: VecDeque::new(),
            fetching: BTreeSet::new(),
            answered_us: now,
            asked: None,
            last_report_us: 0,
            report_due_us: 0,
            silent_us: 0,
        });
        if up {
            // Workers don't report in step.
            let delay_us = self
                .rng
                .u64(..(self.scenario.workers.report_s * 1e6) as u64);
            self.begin(index, now + delay_us);
        }
    }

    fn begin(&mut self, index: usize, at_us: u64) {
        self.workers[index].answered_us = at_us;
        self.schedule_report(index, at_us);
        self.timers
            .insert((at_us + self.lease_us(), index, Due::Lease));
    }

    fn lease_us(&self) -> u64 {
        (self.scenario.workers.lease_s * 1e6) as u64
    }

    fn schedule_report(&mut self, index: usize, at_us: u64) {
        let worker = &mut self.workers[index];
        self.timers
            .remove(&(worker.report_due_us, index, Due::Report));
        worker.report_due_us = at_us;
        self.timers.insert((at_us, index, Due::Report));
    }

    fn is_cut(&self, index: usize, now: u64) -> bool {
        let worker = &self.workers[index];
        now < self.cut_us[worker.machine.zone].max(worker.silent_us)
    }

    /// Something changed that the controllers should hear of soon.
    fn changed(&mut self, index: usize) {
        let worker = &self.workers[index];
        let soonest_us = (worker.last_report_us + LEAST_GAP_US).max(now_us());
        if worker.asked.is_none() && soonest_us < worker.report_due_us {
            self.schedule_report(index, soonest_us);
        }
    }

    // ---- reports ----

    fn body(&mut self, index: usize) -> Vec<u8> {
        let worker = &mut self.workers[index];
        worker.sequence += 1;
        let tasks = worker.tasks.iter().map(|(name, task)| TaskLine {
            piece: name,
            essai: task.attempt,
            etat: task.phase,
            motif: task.reason,
        });
        let body = ReportBody {
            banc: &worker.machine.name,
            address: worker.address.to_string(),
            gamme: &self.scenario.machine_types[worker.machine.machine_type].name,
            secteur: &self.scenario.zones[worker.machine.zone],
            occasion: false,
            quart: worker.session,
            numero: worker.sequence,
            jeton: worker.token,
            pieces: tasks.collect(),
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }

    fn report(&mut self, net: &mut Net, index: usize, now: u64) {
        if !self.workers[index].up || self.workers[index].asked.is_some() {
            return;
        }
        if self.is_cut(index, now) {
            self.next_controller(index, now);
            return;
        }
        let body = self.body(index);
        let worker = &mut self.workers[index];
        worker.asked = Some((now, worker.session));
        worker.last_report_us = now;
        let to = self.controllers[worker.controller];
        self.reports += 1;
        net.call(
            index as Link,
            to,
            "POST",
            WORKER_HEARTBEAT_PATH,
            &body,
            ANSWER_MS,
        );
    }

    fn next_controller(&mut self, index: usize, now: u64) {
        let count = self.controllers.len();
        let worker = &mut self.workers[index];
        worker.controller = (worker.controller + 1) % count;
        self.schedule_report(index, now + NEXT_CONTROLLER_US);
    }

    fn answered(&mut self, index: usize, answer: Option<Response>) -> io::Result<()> {
        let now = now_us();
        let Some((sent_us, session)) = self.workers[index].asked.take() else {
            return Ok(());
        };
        if !self.workers[index].up {
            return Ok(());
        }
        let answer = answer.filter(|_| !self.is_cut(index, now));
        let Response { status, body } = answer.unwrap_or_default();
        let body: Option<AnswerBody> = serde_json::from_slice(&body).ok();
        match (status, body) {
            (200, Some(body)) => {
                let report_us = self.scenario.workers.report_s * 1e6;
                let spread = 1.0 + REPORT_SPREAD * (self.rng.f64() * 2.0 - 1.0);
                self.schedule_report(index, sent_us + (report_us * spread) as u64);
                let worker = &mut self.workers[index];
                let token = body.jeton.unwrap_or(0);
                if session != worker.session || token < worker.token || token == 0 {
                    return Ok(());
                }
                worker.answered_us = sent_us;
                self.token_seen(index, token);
                self.execute(index, &body.consignes)?;
            }
            (
                421,
                Some(AnswerBody {
                    report_to: Some(name),
                    ..
                }),
            ) => {
                let named = controller_number(&name).filter(|n| *n < self.controllers.len());
                match named.filter(|n| *n != self.workers[index].controller) {
                    Some(number) => {
                        self.workers[index].controller = number;
                        let pause_us = self.rng.u64(..LEAST_GAP_US);
                        self.schedule_report(index, now + pause_us);
                    }
                    None => self.next_controller(index, now),
                }
            }
            _ => self.next_controller(index, now),
        }
        Ok(())
    }

    fn token_seen(&mut self, index: usize, token: u64) {
        let worker = &mut self.workers[index];
        worker.token = worker.token.max(token);
    }

    /// When the last answered report was sent too long ago, all tasks end.
    fn lease_due(&mut self, index: usize, now: u64) -> io::Result<()> {
        let ends_us = self.workers[index].answered_us + self.lease_us();
        if !self.workers[index].up {
            return Ok(());
        }
        if now > ends_us {
            self.leases_ended += 1;
            self.kill_tasks(index)?;
            let worker = &mut self.workers[index];
            worker.session += 1;
            worker.sequence = 0;
            worker.answered_us = now;
        }
        let next_us = self.workers[index].answered_us + self.lease_us() + 1;
        self.timers.insert((next_us, index, Due::Lease));
        Ok(())
    }

    fn kill_tasks(&mut self, index: usize) -> io::Result<()> {
        let worker = &mut self.workers[index];
        worker.used = Resources::default();
        worker.fetching.clear();
        let machine = worker.number;
        for (task, state) in std::mem::take(&mut worker.tasks) {
            if state.phase == Phase::Running {
                self.recorder.note(Event::Left { task, machine })?;
            }
        }
        Ok(())
    }

    // ---- commands ----

    fn execute(&mut self, index: usize, commands: &[CommandBody]) -> io::Result<()> {
        for command in commands {
            match command.geste.as_str() {
                "start" => self.start(index, &command.piece, command.essai)?,
                "halt" => self.stop(index, &command.piece, command.essai)?,
                "reap" => self.forget(index, &command.piece, command.essai),
                _ => {}
            }
        }
        if !commands.is_empty() {
            self.changed(index);
        }
        Ok(())
    }

    fn start(&mut self, index: usize, name: &str, attempt: u64) -> io::Result<()> {
        let known = self.workers[index].tasks.get(name);
        if known.is_some_and(|t| t.attempt == attempt) {
            return Ok(());
        }
        if known.is_some_and(|t| t.phase != Phase::Ended) {
            self.refuse(index, name, attempt, Reason::Busy);
            return Ok(());
        }
        let job = TaskRef::parse(name).and_then(|t| self.scenario.job(t.job.as_str()));
        let Some(spec) = job else {
            self.refuse(index, name, attempt, Reason::Unknown);
            return Ok(());
        };
        let need = spec.task_request();
        let mut free = self.whole(index);
        free.subtract(&self.workers[index].used);
        if !free.covers(&need) {
            self.refuse(index, name, attempt, Reason::Full);
            return Ok(());
        }
        let worker = &mut self.workers[index];
        worker.used.add(&need);
        let image = spec.image.to_string();
        let image_gb = spec.image_gb;
        let task = Task {
            attempt,
            phase: Phase::Fetching,
            reason: None,
            spec: Some(spec),
        };
        worker.tasks.insert(name.to_string(), task);
        if worker.cached.iter().any(|(i, _)| *i == image) {
            return self.run(index, name);
        }
        if worker.fetching.insert(image.clone()) {
            let rate = self.scenario.machine_types[worker.machine.machine_type].fetch_gb_per_s;
            let fetch_s = image_gb / rate * worker.fetching.len() as f64;
            let at_us = now_us() + (fetch_s * 1e6) as u64;
            self.timers.insert((at_us, index, Due::Fetched { image }));
        }
        Ok(())
    }

    fn whole(&self, index: usize) -> Resources {
        let machine_type = &self.scenario.machine_types[self.workers[index].machine.machine_type];
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    fn refuse(&mut self, index: usize, name: &str, attempt: u64, reason: Reason) {
        let task = Task {
            attempt,
            phase: Phase::Ended,
            reason: Some(reason),
            spec: None,
        };
        // A refused start changes nothing about another attempt that is here.
        let tasks = &mut self.workers[index].tasks;
        if tasks.get(name).is_none_or(|t| t.phase == Phase::Ended) {
            tasks.insert(name.to_string(), task);
        }
    }

    /// The image is there: the task runs.
    fn run(&mut self, index: usize, name: &str) -> io::Result<()> {
        let worker = &mut self.workers[index];
        let (session, machine) = (worker.session, worker.number);
        let Some(task) = worker.tasks.get_mut(name) else {
            return Ok(());
        };
        task.phase = Phase::Running;
        let attempt = task.attempt;
        let Some(spec) = task.spec.clone() else {
            return Ok(());
        };
        self.cache(index, &spec);
        self.starts += 1;
        let started = Event::Started {
            task: name.to_string(),
            machine,
        };
        self.recorder.note(started)?;
        if spec.kind != JobKind::Service {
            let run_s =
                TaskRef::parse(name).and_then(|t| self.scenario.run_s(t.job.as_str(), t.index));
            let at_us = now_us() + (run_s.unwrap_or(1.0) * 1e6) as u64;
            let over = Due::RunOver {
                task: name.to_string(),
                attempt,
                session,
            };
            self.timers.insert((at_us, index, over));
        }
        Ok(())
    }

    fn cache(&mut self, index: usize, spec: &JobSpec) {
        let worker = &mut self.workers[index];
        let most_gb = self.scenario.machine_types[worker.machine.machine_type].cache_gb;
        worker.cached.retain(|(image, _)| **image != *spec.image);
        worker
            .cached
            .push_back((spec.image.to_string(), spec.image_gb));
        let mut total_gb: f64 = worker.cached.iter().map(|(_, gb)| gb).sum();
        while total_gb > most_gb && worker.cached.len() > 1 {
            total_gb -= worker.cached.pop_front().map_or(0.0, |(_, gb)| gb);
        }
    }

    fn fetched(&mut self, index: usize, image: &str) -> io::Result<()> {
        if !self.workers[index].fetching.remove(image) {
            return Ok(());
        }
        let waits = |t: &Task| {
            t.phase == Phase::Fetching && t.spec.as_ref().is_some_and(|s| *s.image == *image)
        };
        let waiting = self.workers[index].tasks.iter().filter(|(_, t)| waits(t));
        for name in waiting.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.run(index, &name)?;
        }
        self.changed(index);
        Ok(())
    }

    fn stop(&mut self, index: usize, name: &str, attempt: u64) -> io::Result<()> {
        let here = self.workers[index].tasks.get(name);
        if here.is_some_and(|t| t.attempt == attempt) {
            self.end(index, name, Reason::Stopped)?;
        }
        Ok(())
    }

    fn end(&mut self, index: usize, name: &str, reason: Reason) -> io::Result<()> {
        let worker = &mut self.workers[index];
        let machine = worker.number;
        let Some(task) = worker
            .tasks
            .get_mut(name)
            .filter(|t| t.phase != Phase::Ended)
        else {
            return Ok(());
        };
        let ran = task.phase == Phase::Running;
        task.phase = Phase::Ended;
        task.reason = Some(reason);
        if let Some(spec) = task.spec.take() {
            worker.used.subtract(&spec.task_request());
        }
        if reason == Reason::Done {
            self.recorder.note(Event::Finished {
                task: name.to_string(),
            })?;
        }
        if ran {
            let task = name.to_string();
            self.recorder.note(Event::Left { task, machine })?;
        }
        self.changed(index);
        Ok(())
    }

    fn forget(&mut self, index: usize, name: &str, attempt: u64) {
        let tasks = &mut self.workers[index].tasks;
        if tasks
            .get(name)
            .is_some_and(|t| t.attempt == attempt && t.phase == Phase::Ended)
        {
            tasks.remove(name);
        }
    }

    fn direct(
        &mut self,
        net: &mut Net,
        index: usize,
        asker: Asker,
        request: &Request,
    ) -> io::Result<()> {
        if !self.workers[index].up || self.is_cut(index, now_us()) {
            // Nobody answers.
            return Ok(());
        }
        let mut status = 200;
        if request.path == WORKER_COMMANDS_PATH {
            let Ok(body) = serde_json::from_slice::<AnswerBody>(&request.body) else {
                net.reply(asker, &Reply::error(400, "malformed"));
                return Ok(());
            };
            let (Some(token), Some(session)) = (body.jeton, body.quart) else {
                net.reply(asker, &Reply::error(400, "jeton or quart is missing"));
                return Ok(());
            };
            let worker = &self.workers[index];
            if token < worker.token || session != worker.session {
                status = 409;
            }
            self.token_seen(index, token);
            if status == 200 {
                self.execute(index, &body.consignes)?;
            }
        }
        let reply = Reply {
            status,
            body: self.body(index),
            retry_after_s: None,
        };
        net.reply(asker, &reply);
        Ok(())
    }

    fn remove(&mut self, net: &mut Net, machines: &[u32]) -> io::Result<()> {
        for number in machines {
            let index = (number - self.first) as usize;
            self.kill_tasks(index)?;
            self.workers[index].up = false;
            net.close_link(index as Link);
            net.close_listener_conns(CONTROL_LISTENER + 1 + index);
        }
        Ok(())
    }

    fn due(&mut self, net: &mut Net, index: usize, due: Due, now: u64) -> io::Result<()> {
        match due {
            Due::Report => self.report(net, index, now),
            Due::Lease => self.lease_due(index, now)?,
            Due::Boot => {
                self.workers[index].up = true;
                self.begin(index, now);
            }
            Due::Fetched { image } => self.fetched(index, &image)?,
            Due::RunOver {
                task,
                attempt,
                session,
            } => {
                let worker = &self.workers[index];
                let here = worker
                    .tasks
                    .get(&task)
                    .is_some_and(|t| t.attempt == attempt);
                if here && worker.session == session {
                    self.end(index, &task, Reason::Done)?;
                }
            }
        }
        Ok(())
    }
}

/// The number in a controller's name.
fn controller_number(name: &str) -> Option<usize> {
    name.strip_prefix("controller-")?.parse().ok()
}

impl Part for WorkersPart {
    fn incoming(&mut self, net: &mut Net, incoming: Incoming) -> io::Result<()> {
        match incoming {
            Incoming::Request {
                listener,
                asker,
                request,
            } => self.direct(net, listener - CONTROL_LISTENER - 1, asker, &request),
            Incoming::Answer { link, answer } => self.answered(link as usize, answer),
        }
    }

    fn tick(&mut self, net: &mut Net) -> io::Result<u64> {
        let now = now_us();
        while self.timers.first().is_some_and(|(at, _, _)| *at <= now) {
            let Some((_, index, due)) = self.timers.pop_first() else {
                break;
            };
            // A lease that ended while this process was paused ends first.
            if !matches!(due, Due::Lease) && now > self.workers[index].answered_us + self.lease_us()
            {
                self.lease_due(index, now)?;
            }
            self.due(net, index, due, now)?;
        }
        Ok(self
            .timers
            .first()
            .map_or(now + 1_000_000, |(at, _, _)| *at))
    }

    fn command(&mut self, net: &mut Net, command: &Command) -> io::Result<()> {
        match command {
            Command::Boot { machines, after_ms } => {
                for number in machines {
                    let index = (number - self.first) as usize;
                    self.timers
                        .insert((now_us() + after_ms * 1000, index, Due::Boot));
                }
            }
            Command::Remove { machines } => self.remove(net, machines)?,
            Command::Silence { machines, for_ms } => {
                for number in machines {
                    let index = (number - self.first) as usize;
                    self.workers[index].silent_us = now_us() + for_ms * 1000;
                }
            }
            Command::Cut { zone, for_ms } => self.cut_us[*zone] = now_us() + for_ms * 1000,
            _ => {}
        }
        Ok(())
    }

    fn stats(&self, stats: &mut Stats) {
        let up = self.workers.iter().filter(|w| w.up).count();
        let running = |w: &Worker| {
            w.tasks
                .values()
                .filter(|t| t.phase == Phase::Running)
                .count()
        };
        let tasks: usize = self.workers.iter().map(running).sum();
        let counters = [
            ("workers", up as f64),
            ("tasks_running", tasks as f64),
            ("reports", self.reports as f64),
            ("starts", self.starts as f64),
            ("leases_ended", self.leases_ended as f64),
        ];
        stats
            .counters
            .extend(counters.map(|(name, n)| (name.to_string(), n)));
    }

    fn recorder(&mut self) -> Option<&mut Recorder> {
        Some(&mut self.recorder)
    }
}

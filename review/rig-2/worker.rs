//! Stand-in of a worker, as PROTOCOL describes it: reports, leases, tokens, commands. A
//! machine that hangs executes nothing until it goes on.

use crate::base::{call, reply, serve, Answer, Record, Req, J};
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a worker reads of a job's description, which users upload.
#[derive(Clone)]
pub struct Job {
    pub pieces: u64,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub pull_gb: f64,
    /// Run time of each task; `None` for a service.
    pub run_s: Option<f64>,
    pub save_s: f64,
    pub saves: bool,
}

pub type Jobs = Arc<Mutex<HashMap<String, Job>>>;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Pulling,
    Running,
    Flushing,
    Ended,
}

struct Task {
    piece: String,
    attempt: u64,
    phase: Phase,
    why: &'static str,
    stored: bool,
    job: Option<Job>,
    /// When the present phase ends.
    until: Option<Instant>,
}

struct Inner {
    session: u64,
    number: u64,
    token: u64,
    tasks: Vec<Task>,
    images: Vec<String>,
    last_answered_sent: Instant,
    last_report: Option<Instant>,
    last_token_report: Instant,
    changed: bool,
    node: usize,
    pause_until: Instant,
}

/// A task on the machine at this moment, images fetched.
#[derive(Clone)]
pub struct OnMachine {
    pub piece: String,
    pub attempt: u64,
}

pub struct Worker {
    pub name: String,
    pub address: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
    pull_gb_per_s: f64,
    report_s: f64,
    lease_s: f64,
    /// Names and addresses of the controllers.
    nodes: Vec<(String, String)>,
    jobs: Jobs,
    record: Arc<Record>,
    inner: Mutex<Inner>,
    pub hangs: AtomicBool,
    /// Whether every task that starts fails.
    pub sick: AtomicBool,
    pub gone: Arc<AtomicBool>,
    /// Bytes of the longest report that was sent, and how many were refused with 413.
    pub longest_report: Mutex<(usize, u64)>,
    /// Whether each task's start and end is recorded.
    pub verbose: AtomicBool,
}

pub struct WorkerSpec {
    pub name: String,
    pub address: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub pull_gb_per_s: f64,
    pub report_s: f64,
    pub lease_s: f64,
    pub nodes: Vec<(String, String)>,
    pub first_node: usize,
}

impl Worker {
    pub fn start(spec: WorkerSpec, jobs: Jobs, record: Arc<Record>) -> Arc<Worker> {
        let listener = TcpListener::bind(&spec.address).expect("worker's address");
        let now = Instant::now();
        let worker = Arc::new(Worker {
            name: spec.name,
            address: spec.address,
            machine_type: spec.machine_type,
            zone: spec.zone,
            spot: spec.spot,
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
            pull_gb_per_s: spec.pull_gb_per_s,
            report_s: spec.report_s,
            lease_s: spec.lease_s,
            nodes: spec.nodes,
            jobs,
            record,
            inner: Mutex::new(Inner {
                session: 1,
                number: 0,
                token: 0,
                tasks: Vec::new(),
                images: Vec::new(),
                last_answered_sent: now,
                last_report: None,
                last_token_report: now,
                changed: true,
                node: spec.first_node,
                pause_until: now,
            }),
            hangs: AtomicBool::new(false),
            sick: AtomicBool::new(false),
            gone: Arc::new(AtomicBool::new(false)),
            longest_report: Mutex::new((0, 0)),
            verbose: AtomicBool::new(true),
        });
        let server = worker.clone();
        serve(
            listener,
            worker.gone.clone(),
            Arc::new(move |request| server.on_request(request)),
        );
        let ticker = worker.clone();
        std::thread::spawn(move || {
            while !ticker.gone.load(Ordering::SeqCst) {
                if !ticker.hangs.load(Ordering::SeqCst) {
                    ticker.tick();
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        let reporter = worker.clone();
        std::thread::spawn(move || {
            while !reporter.gone.load(Ordering::SeqCst) {
                if !reporter.hangs.load(Ordering::SeqCst) {
                    reporter.report_if_due();
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        worker
    }

    /// The tasks that are on the machine: from the moment they have their image until they
    /// exit, are killed or the machine is gone.
    pub fn on_machine(&self) -> Vec<OnMachine> {
        if self.gone.load(Ordering::SeqCst) {
            return Vec::new();
        }
        let inner = self.inner.lock().unwrap();
        inner
            .tasks
            .iter()
            .filter(|task| matches!(task.phase, Phase::Running | Phase::Flushing))
            .map(|task| OnMachine {
                piece: task.piece.clone(),
                attempt: task.attempt,
            })
            .collect()
    }

    /// The time since the last report was sent.
    pub fn since_report_s(&self) -> f64 {
        let inner = self.inner.lock().unwrap();
        inner
            .last_report
            .map_or(f64::MAX, |at| at.elapsed().as_secs_f64())
    }

    fn say(&self, text: String) {
        if self.verbose.load(Ordering::SeqCst) {
            self.record.add(format!("{}: {text}", self.name));
        }
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut inner = self.inner.lock().unwrap();
        if now - inner.last_answered_sent > Duration::from_secs_f64(self.lease_s) {
            let count = inner.tasks.len();
            inner.tasks.clear();
            inner.session += 1;
            inner.number = 0;
            inner.last_answered_sent = now;
            inner.changed = true;
            let session = inner.session;
            self.record.add(format!(
                "{}: lease expired, {count} tasks killed, session {session} begins",
                self.name
            ));
        }
        let mut changed = false;
        let mut fetched = Vec::new();
        for task in &mut inner.tasks {
            if task.until.is_none_or(|until| now < until) {
                continue;
            }
            changed = true;
            match task.phase {
                Phase::Pulling if self.sick.load(Ordering::SeqCst) => {
                    task.phase = Phase::Ended;
                    task.why = "error";
                    task.until = None;
                    self.say(format!("{} attempt {} fails", task.piece, task.attempt));
                }
                Phase::Pulling => {
                    task.phase = Phase::Running;
                    let run_s = task.job.as_ref().and_then(|job| job.run_s);
                    task.until = run_s.map(|s| now + Duration::from_secs_f64(s));
                    fetched.push(image_of(&task.piece));
                    self.say(format!("{} attempt {} runs", task.piece, task.attempt));
                }
                Phase::Running => {
                    task.phase = Phase::Ended;
                    task.why = "done";
                    task.until = None;
                    self.say(format!("{} attempt {} done", task.piece, task.attempt));
                }
                Phase::Flushing => {
                    task.phase = Phase::Ended;
                    task.why = "stopped";
                    task.stored = true;
                    task.until = None;
                    self.say(format!("{} attempt {} stopped", task.piece, task.attempt));
                }
                Phase::Ended => task.until = None,
            }
        }
        inner.images.extend(fetched);
        inner.changed |= changed;
    }

    fn report_if_due(&self) {
        let now = Instant::now();
        let (body, session, node) = {
            let mut inner = self.inner.lock().unwrap();
            let since = inner
                .last_report
                .map_or(f64::MAX, |at| (now - at).as_secs_f64());
            // Plus or minus a quarter, by the number of the report.
            let spread = 0.75 + 0.125 * (inner.number % 5) as f64;
            let due = since >= self.report_s * spread || (inner.changed && since >= 0.5);
            if !due || now < inner.pause_until {
                return;
            }
            inner.changed = false;
            inner.last_report = Some(now);
            inner.number += 1;
            (self.report(&inner), inner.session, inner.node)
        };
        {
            let mut longest = self.longest_report.lock().unwrap();
            longest.0 = longest.0.max(body.len());
        }
        let timeout = Duration::from_secs(4);
        let address = self.nodes[node].1.clone();
        let answer = call(&address, "POST", "/agent/beat", &body, timeout);
        while self.hangs.load(Ordering::SeqCst) && !self.gone.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(10));
        }
        if self.gone.load(Ordering::SeqCst) {
            return;
        }
        let mut inner = self.inner.lock().unwrap();
        if now.elapsed() > timeout {
            return self.next_node(&mut inner);
        }
        match answer {
            Ok((200, text)) => {
                let response = crate::base::parse(&text).unwrap_or(J::Null);
                let token = response.get("jeton").and_then(J::u64);
                if inner.session != session || token.is_none_or(|token| token < inner.token) {
                    return;
                }
                // A line that is longer than 64 KiB is not allowed in an answer to workers.
                if text.lines().any(|line| line.len() > 64 * 1024) {
                    self.record.add(format!(
                        "{}: answer with a line of {} bytes dropped",
                        self.name,
                        text.len()
                    ));
                    return;
                }
                self.see_token(&mut inner, token.unwrap_or(0));
                inner.last_answered_sent = now;
                let commands = response.get("consignes").cloned().unwrap_or(J::Null);
                self.execute(&mut inner, commands.arr());
            }
            Ok((421, text)) => {
                let named = crate::base::parse(&text).unwrap_or(J::Null).text("rendreA");
                let known = self.nodes.iter().position(|(name, _)| *name == named);
                match known {
                    Some(other) if other != node => {
                        inner.node = other;
                        inner.last_report = None;
                    }
                    _ => self.next_node(&mut inner),
                }
            }
            Ok((status, _)) => {
                if status == 413 {
                    self.longest_report.lock().unwrap().1 += 1;
                }
                self.next_node(&mut inner)
            }
            Err(_) => self.next_node(&mut inner),
        }
    }

    fn next_node(&self, inner: &mut Inner) {
        inner.node = (inner.node + 1) % self.nodes.len();
        inner.pause_until = Instant::now() + Duration::from_secs(1);
        inner.last_report = None;
    }

    fn see_token(&self, inner: &mut Inner, token: u64) {
        if token > inner.token {
            inner.token = token;
            let now = Instant::now();
            if (now - inner.last_token_report).as_secs_f64() >= self.lease_s / 2.0 {
                inner.last_token_report = now;
                inner.changed = true;
            }
        }
    }

    fn report(&self, inner: &Inner) -> String {
        let mut pieces = String::new();
        for task in &inner.tasks {
            if !pieces.is_empty() {
                pieces.push(',');
            }
            let state = match task.phase {
                Phase::Pulling => "pulling",
                Phase::Running => "running",
                Phase::Flushing => "flushing",
                Phase::Ended => "ended",
            };
            pieces.push_str(&format!(
                "{{\"piece\":\"{}\",\"essai\":{},\"etat\":\"{state}\"",
                task.piece, task.attempt
            ));
            if task.phase == Phase::Ended {
                pieces.push_str(&format!(",\"motif\":\"{}\"", task.why));
                if task.stored {
                    pieces.push_str(",\"stored\":true");
                }
            }
            pieces.push('}');
        }
        format!(
            "{{\"banc\":\"{}\",\"address\":\"{}\",\"gamme\":\"{}\",\"secteur\":\"{}\",\"occasion\":{},\
             \"quart\":{},\"numero\":{},\"jeton\":{},\"preavisS\":null,\"pieces\":[{pieces}]}}",
            self.name,
            self.address,
            self.machine_type,
            self.zone,
            self.spot,
            inner.session,
            inner.number,
            inner.token
        )
    }

    fn on_request(&self, request: &Req) -> Answer {
        while self.hangs.load(Ordering::SeqCst) && !self.gone.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(10));
        }
        if self.gone.load(Ordering::SeqCst) {
            return Answer::Close;
        }
        let mut inner = self.inner.lock().unwrap();
        if request.path == "/status" {
            inner.number += 1;
            return reply(200, self.report(&inner));
        }
        if request.path != "/commands" {
            return reply(404, "{}");
        }
        // A request body may not exceed 64 KiB.
        if request.body.len() > 64 * 1024 {
            self.record.add(format!(
                "{}: commands of {} bytes refused",
                self.name,
                request.body.len()
            ));
            return reply(413, "{}");
        }
        let body = request.json();
        let (Some(token), Some(session)) = (
            body.get("jeton").and_then(J::u64),
            body.get("quart").and_then(J::u64),
        ) else {
            return reply(400, "{}");
        };
        let accepted = token >= inner.token && session == inner.session;
        if accepted {
            self.see_token(&mut inner, token);
            let commands = body.get("consignes").cloned().unwrap_or(J::Null);
            self.execute(&mut inner, commands.arr());
        }
        inner.number += 1;
        reply(if accepted { 200 } else { 409 }, self.report(&inner))
    }

    fn execute(&self, inner: &mut Inner, commands: &[J]) {
        let now = Instant::now();
        for command in commands {
            let (piece, attempt) = (command.text("piece"), command.num("essai"));
            let known = inner
                .tasks
                .iter()
                .position(|task| task.piece == piece && task.attempt == attempt);
            match command.text("geste").as_str() {
                "start" if known.is_none() => self.start_task(inner, now, piece, attempt),
                "halt" => {
                    if let Some(index) = known {
                        let task = &mut inner.tasks[index];
                        let grace_s = command.float("delaiS");
                        let save_s = task.job.as_ref().map_or(0.0, |job| job.save_s);
                        let saves = task.job.as_ref().is_some_and(|job| job.saves);
                        if task.phase == Phase::Ended {
                            continue;
                        }
                        if task.phase == Phase::Running && saves && grace_s >= save_s {
                            task.phase = Phase::Flushing;
                            task.until = Some(now + Duration::from_secs_f64(save_s));
                        } else if task.phase != Phase::Flushing || grace_s == 0.0 {
                            task.phase = Phase::Ended;
                            task.why = "stopped";
                            task.until = None;
                            self.say(format!("{piece} attempt {attempt} stopped by command"));
                        }
                        inner.changed = true;
                    }
                }
                "reap" => {
                    if let Some(index) = known {
                        if inner.tasks[index].phase == Phase::Ended {
                            inner.tasks.remove(index);
                            inner.changed = true;
                        }
                    }
                }
                _ => {}
            }
        }
    }

    fn start_task(&self, inner: &mut Inner, now: Instant, piece: String, attempt: u64) {
        let (job_id, index) = piece.split_once('/').unwrap_or((&piece, ""));
        let job = self.jobs.lock().unwrap().get(job_id).cloned();
        let job = job.filter(|job| index.parse::<u64>().is_ok_and(|index| index < job.pieces));
        let mut task = Task {
            piece: piece.clone(),
            attempt,
            phase: Phase::Ended,
            why: "unknown",
            stored: false,
            job: job.clone(),
            until: None,
        };
        if let Some(job) = job {
            let live = |task: &&Task| task.phase != Phase::Ended;
            let sum = |amount: fn(&Job) -> f64| -> f64 {
                let live = inner.tasks.iter().filter(live);
                live.filter_map(|task| task.job.as_ref().map(amount)).sum()
            };
            let busy = inner
                .tasks
                .iter()
                .filter(live)
                .any(|other| other.piece == piece);
            let full = sum(|job| job.cpus) + job.cpus > self.cpus + 1e-6
                || sum(|job| job.gpus) + job.gpus > self.gpus + 1e-6
                || sum(|job| job.memory_gb) + job.memory_gb > self.memory_gb + 1e-6;
            if busy {
                task.why = "busy";
            } else if full {
                task.why = "full";
            } else {
                let cached = inner.images.contains(&image_of(&piece));
                let pull_s = if cached {
                    0.0
                } else {
                    job.pull_gb / self.pull_gb_per_s
                };
                task.phase = Phase::Pulling;
                task.why = "";
                task.until = Some(now + Duration::from_secs_f64(pull_s));
            }
        }
        if task.phase == Phase::Ended {
            self.say(format!("{piece} attempt {attempt} refused: {}", task.why));
        } else {
            self.say(format!("{piece} attempt {attempt} started"));
        }
        inner.tasks.push(task);
        inner.changed = true;
    }
}

/// The image is told apart by the job here.
fn image_of(piece: &str) -> String {
    piece.split('/').next().unwrap_or("").to_string()
}

//! Users, by the published protocol: they submit, poll and cancel through a load
//! balancer that skips controllers that don't respond to `/ready`.

use crate::control::{SimulatorCommand, Stats};
use crate::history::{Event, Recorder, UserRequest};
use crate::net::{now_us, Incoming, Link, Network};
use crate::process::{ProcessConfig, Simulator};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use lilacfork::http::Response;
use lilacfork::ids::JobId;
use lilacfork::wire::users::{JobKind, READY_PATH, USER_JOBS_PATH};
use serde::Deserialize;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::io;
use std::net::SocketAddrV4;

/// Users' timeouts and intervals (PROTOCOL, "Users -> controller nodes").
const SUBMIT_TIMEOUT_MS: u64 = 5000;
const POLL_TIMEOUT_MS: u64 = 2000;
const POLL_INTERVAL_US: u64 = 5_000_000;
const RETRY_DELAY_US: u64 = 1_000_000;
/// How often each controller is probed, and how long the response may take.
const PROBE_INTERVAL_US: u64 = 250_000;
const PROBE_TIMEOUT_MS: u64 = 1000;
/// After so many failed probes in a row a controller gets no new requests.
const MAX_FAILED_PROBES: u32 = 2;
/// Links below this belong to probes.
const FIRST_JOB_LINK: Link = 1000;
/// One query in so many is about a job that nobody submitted.
const QUERIES_PER_UNKNOWN_JOB: u32 = 50;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Submitting,
    Polling,
    Cancelling,
    Over,
}

struct Job {
    name: String,
    controller: usize,
    stage: Stage,
    submitted_us: u64,
    /// When its user cancels it.
    cancel_us: u64,
    /// The state that its user was last told.
    last_state: String,
    /// The number of running tasks that its user was last told.
    running: Option<u32>,
    /// The last request failed.
    failed: bool,
    /// The query in flight is about a job that nobody submitted.
    queries_unknown: bool,
}

/// The response to a user's request.
struct Outcome {
    request: UserRequest,
    /// The HTTP status; 0: there was no response.
    status: u16,
    state: String,
    running: Option<u32>,
}

impl Outcome {
    fn is_success(&self) -> bool {
        matches!(self.status, 200 | 201)
    }
}

impl Job {
    /// The name in queries: with a suffix, if they are about a job that nobody
    /// submitted.
    fn queried_name(&self) -> String {
        let suffix = if self.queries_unknown { "-never" } else { "" };
        format!("{}{suffix}", self.name)
    }

    /// Whether a response has to be recorded. One that repeats the last one doesn't,
    /// unless a request has failed in between.
    fn is_news(&self, outcome: &Outcome) -> bool {
        self.queries_unknown
            || !outcome.is_success()
            || self.failed
            || outcome.state != self.last_state
            || outcome.running != self.running
            || outcome.request != UserRequest::Query
    }

    fn answered_event(&self, outcome: &Outcome) -> Event {
        Event::RequestCompleted {
            job: self.queried_name(),
            request: outcome.request,
            status: outcome.status,
            state: outcome.state.clone(),
            running: outcome.running,
        }
    }

    /// Goes on to the next stage; tells when the next request is due.
    fn advance(&mut self, outcome: &Outcome, now: u64) -> u64 {
        let mut next_us = now + POLL_INTERVAL_US;
        let is_over = matches!(outcome.state.as_str(), "done" | "cancelled");
        match (outcome.request, outcome.is_success()) {
            (UserRequest::Submit, true) => self.stage = Stage::Polling,
            (UserRequest::Query, true) if is_over => self.stage = Stage::Over,
            (UserRequest::Cancel, true) => self.stage = Stage::Over,
            (UserRequest::Query, _) => {}
            (_, false) if matches!(outcome.status, 400 | 404 | 422) => self.stage = Stage::Over,
            (_, false) => next_us = now + RETRY_DELAY_US,
        }
        if self.stage == Stage::Polling {
            next_us = next_us.min(self.cancel_us.max(now + 1));
        }
        next_us
    }
}

/// The health probes of one controller.
#[derive(Clone, Copy)]
struct Probe {
    last_ready_us: u64,
    failed: u32,
    /// The longest time without a response since the first one.
    longest_unready_us: u64,
    was_ready: bool,
}

#[derive(Default, Deserialize)]
struct JobBody {
    #[serde(rename = "etat", default)]
    state: String,
    running: Option<u32>,
}

/// When a link's next request or probe is due.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LinkTimer {
    at_us: u64,
    link: Link,
}

/// All users.
pub struct UserSimulator {
    scenario: Scenario,
    controllers: Vec<SocketAddrV4>,
    began_us: u64,
    /// When the next job of each class arrives.
    next_arrival_us: Vec<u64>,
    /// How many jobs of each class have arrived.
    arrived: Vec<u32>,
    jobs: HashMap<Link, Job>,
    next_link: Link,
    timers: BTreeSet<LinkTimer>,
    probes: Vec<Probe>,
    recorder: Recorder,
    rng: fastrand::Rng,
    accepted_ms: Histogram<u64>,
    submitted: u64,
    accepted: u64,
    /// Accepted jobs that others depend on.
    accepted_dependencies: HashSet<String>,
    failed_requests: u64,
}

impl UserSimulator {
    /// The initial jobs come first, spread over the warm-up.
    pub fn new(config: &ProcessConfig) -> io::Result<UserSimulator> {
        let scenario = config.scenario.clone();
        let now = now_us();
        let probe = Probe {
            last_ready_us: now,
            failed: 0,
            longest_unready_us: 0,
            was_ready: false,
        };
        let timers =
            (0..config.controllers.len() as Link).map(|link| LinkTimer { at_us: now, link });
        Ok(UserSimulator {
            next_arrival_us: vec![now; scenario.classes.len()],
            arrived: vec![0; scenario.classes.len()],
            probes: vec![probe; config.controllers.len()],
            timers: timers.collect(),
            controllers: config.controllers.clone(),
            began_us: now,
            jobs: HashMap::new(),
            next_link: FIRST_JOB_LINK,
            recorder: Recorder::create(&config.history)?,
            rng: fastrand::Rng::with_seed(scenario.seed),
            accepted_ms: Histogram::new(3).map_err(io::Error::other)?,
            submitted: 0,
            accepted: 0,
            accepted_dependencies: HashSet::new(),
            failed_requests: 0,
            scenario,
        })
    }

    /// Submits the jobs of a class that are due.
    fn submit_arrivals(&mut self, net: &mut Network, class: usize, now: u64) -> io::Result<()> {
        let settings = self.scenario.classes[class].clone();
        if !settings.after.is_empty() {
            // Its jobs are submitted after those that they depend on.
            self.next_arrival_us[class] = u64::MAX;
            return Ok(());
        }
        let warm_us = (self.scenario.warm_s * 1e6) as u64;
        let last_us = self.began_us + warm_us + (self.scenario.run_s * 1e6) as u64;
        while self.next_arrival_us[class] <= now && now < last_us {
            let number = self.arrived[class];
            self.arrived[class] += 1;
            self.submit_first(net, Scenario::job_name(class, number), now)?;
            let gap_us = if number < settings.initial {
                warm_us as f64 * 0.7 / f64::from(settings.initial)
            } else if settings.rate > 0.0 {
                -self.rng.f64().max(1e-9).ln() / settings.rate * 1e6
            } else {
                f64::MAX
            };
            self.next_arrival_us[class] = self.next_arrival_us[class].saturating_add(gap_us as u64);
        }
        Ok(())
    }

    fn submit_first(&mut self, net: &mut Network, name: String, now: u64) -> io::Result<()> {
        let link = self.next_link;
        self.next_link += 1;
        self.submitted += 1;
        self.recorder
            .record(Event::Submitted { job: name.clone() })?;
        let class = self
            .scenario
            .job_number(&name)
            .map_or(0, |(class, _)| class);
        let service = self.scenario.classes[class].kind == JobKind::Service;
        let life_s = self.scenario.run_s(&name, 0).unwrap_or(0.0);
        let cancel_us = match (service, self.scenario.cancelled_early(&name)) {
            (true, _) => now + (life_s * 1e6) as u64,
            (false, true) => now + (life_s * 0.5e6) as u64,
            (false, false) => u64::MAX,
        };
        let job = Job {
            controller: self.healthy_controller(),
            name,
            stage: Stage::Submitting,
            submitted_us: now,
            cancel_us,
            last_state: String::new(),
            running: None,
            failed: false,
            queries_unknown: false,
        };
        self.jobs.insert(link, job);
        self.send_next_request(net, link)
    }

    /// A controller that responds to its probes, or any if none does.
    fn healthy_controller(&mut self) -> usize {
        let healthy: Vec<usize> = self
            .probes
            .iter()
            .enumerate()
            .filter(|(_, probe)| probe.failed < MAX_FAILED_PROBES)
            .map(|(controller, _)| controller)
            .collect();
        match healthy.len() {
            0 => self.rng.usize(..self.controllers.len()),
            count => healthy[self.rng.usize(..count)],
        }
    }

    /// Makes the next request about a job.
    fn send_next_request(&mut self, net: &mut Network, link: Link) -> io::Result<()> {
        let queries_unknown = self.rng.u32(..QUERIES_PER_UNKNOWN_JOB) == 0;
        let now = now_us();
        let Some(job) = self.jobs.get_mut(&link) else {
            return Ok(());
        };
        if job.stage == Stage::Polling && now >= job.cancel_us {
            job.stage = Stage::Cancelling;
            self.recorder.record(Event::CancelRequested {
                job: job.name.clone(),
            })?;
        }
        let to = self.controllers[job.controller];
        job.queries_unknown = job.stage == Stage::Polling && queries_unknown;
        match job.stage {
            Stage::Submitting => {
                let spec = self.scenario.job(&job.name);
                let body = serde_json::to_vec(&spec)?;
                net.call(link, to, "POST", USER_JOBS_PATH, &body, SUBMIT_TIMEOUT_MS);
            }
            Stage::Polling => {
                let path = format!("{USER_JOBS_PATH}/{}", job.queried_name());
                net.call(link, to, "GET", &path, b"", POLL_TIMEOUT_MS);
            }
            Stage::Cancelling => {
                let path = format!("{USER_JOBS_PATH}/{}/abort", job.name);
                net.call(link, to, "POST", &path, b"", SUBMIT_TIMEOUT_MS);
            }
            Stage::Over => {}
        }
        Ok(())
    }

    fn handle_response(
        &mut self,
        net: &mut Network,
        link: Link,
        response: Option<Response>,
    ) -> io::Result<()> {
        let now = now_us();
        let Response { status, body } = response.unwrap_or_default();
        let body: JobBody = serde_json::from_slice(&body).unwrap_or_default();
        let other_controller = self.healthy_controller();
        let Some(job) = self.jobs.get_mut(&link) else {
            return Ok(());
        };
        let request = match job.stage {
            Stage::Submitting => UserRequest::Submit,
            Stage::Cancelling => UserRequest::Cancel,
            Stage::Polling | Stage::Over => UserRequest::Query,
        };
        let outcome = Outcome {
            request,
            status,
            state: body.state,
            running: body
                .running
                .filter(|_| self.scenario.tasks_per_replica(&job.name).is_some()),
        };
        let spec = self.scenario.job(&job.name);
        let has_dependencies = spec.is_some_and(|spec| !spec.dependencies.is_empty());
        if has_dependencies || job.is_news(&outcome) {
            self.recorder.record(job.answered_event(&outcome))?;
        }
        job.failed = !outcome.is_success();
        if status == 0 || status >= 500 {
            self.failed_requests += 1;
            job.controller = other_controller;
        }
        let accepted =
            (request == UserRequest::Submit && outcome.is_success()).then(|| job.name.clone());
        if accepted.is_some() {
            self.accepted += 1;
            let _ = self.accepted_ms.record((now - job.submitted_us) / 1000);
        }
        let next_us = job.advance(&outcome, now);
        if !job.queries_unknown && outcome.is_success() {
            job.last_state = outcome.state;
            job.running = outcome.running;
        }
        if job.stage == Stage::Over {
            net.close_link(link);
            self.jobs.remove(&link);
        } else {
            let at_us = next_us;
            self.timers.insert(LinkTimer { at_us, link });
        }
        match accepted {
            Some(name) => self.submit_dependents(net, name, now),
            None => Ok(()),
        }
    }

    /// Submits the jobs of a pipeline whose last dependency to be accepted was this one.
    fn submit_dependents(&mut self, net: &mut Network, name: String, now: u64) -> io::Result<()> {
        let dependents = self.scenario.dependents(&name);
        if dependents.is_empty() {
            return Ok(());
        }
        self.accepted_dependencies.insert(name);
        for dependent in dependents {
            let is_accepted = |name: &JobId| self.accepted_dependencies.contains(name.as_str());
            let spec = self.scenario.job(&dependent);
            if spec.is_some_and(|spec| spec.dependencies.iter().all(is_accepted)) {
                self.submit_first(net, dependent, now)?;
            }
        }
        Ok(())
    }

    fn handle_probe_response(&mut self, link: Link, response: Option<Response>) {
        let now = now_us();
        let probe = &mut self.probes[link as usize];
        if response.is_some_and(|response| response.status == 200) {
            if probe.was_ready {
                probe.longest_unready_us = probe.longest_unready_us.max(now - probe.last_ready_us);
            }
            probe.was_ready = true;
            probe.failed = 0;
            probe.last_ready_us = now;
        } else {
            probe.failed += 1;
        }
        let at_us = now + PROBE_INTERVAL_US;
        self.timers.insert(LinkTimer { at_us, link });
    }
}

impl Simulator for UserSimulator {
    fn incoming(&mut self, net: &mut Network, incoming: Incoming) -> io::Result<()> {
        match incoming {
            Incoming::Response { link, response } if link < FIRST_JOB_LINK => {
                self.handle_probe_response(link, response);
                Ok(())
            }
            Incoming::Response { link, response } => self.handle_response(net, link, response),
            Incoming::Request { .. } => Ok(()),
        }
    }

    fn tick(&mut self, net: &mut Network) -> io::Result<u64> {
        let now = now_us();
        for class in 0..self.next_arrival_us.len() {
            self.submit_arrivals(net, class, now)?;
        }
        while self.timers.first().is_some_and(|first| first.at_us <= now) {
            let Some(LinkTimer { link, .. }) = self.timers.pop_first() else {
                break;
            };
            if link < FIRST_JOB_LINK {
                let to = self.controllers[link as usize];
                net.call(link, to, "GET", READY_PATH, b"", PROBE_TIMEOUT_MS);
            } else {
                self.send_next_request(net, link)?;
            }
        }
        let arrival = self
            .next_arrival_us
            .iter()
            .copied()
            .filter(|at| *at > now)
            .min();
        let timer = self.timers.first().map(|first| first.at_us);
        Ok([arrival, timer]
            .into_iter()
            .flatten()
            .fold(now + 100_000, u64::min))
    }

    fn command(&mut self, _: &mut Network, _: &SimulatorCommand) -> io::Result<()> {
        Ok(())
    }

    fn stats(&self, stats: &mut Stats) {
        let longest = self
            .probes
            .iter()
            .map(|probe| probe.longest_unready_us)
            .max()
            .unwrap_or(0);
        let counters = [
            ("submitted", self.submitted as f64),
            ("accepted", self.accepted as f64),
            ("failed_answers", self.failed_requests as f64),
            ("open_jobs", self.jobs.len() as f64),
            (
                "accepted_p50_ms",
                self.accepted_ms.value_at_quantile(0.5) as f64,
            ),
            (
                "accepted_p99_ms",
                self.accepted_ms.value_at_quantile(0.99) as f64,
            ),
            ("accepted_most_ms", self.accepted_ms.max() as f64),
            ("longest_unready_ms", longest as f64 / 1000.0),
        ];
        stats
            .counters
            .extend(counters.map(|(name, n)| (name.to_string(), n)));
    }

    fn recorder(&mut self) -> Option<&mut Recorder> {
        Some(&mut self.recorder)
    }
}

//! Simulated users that follow the published user protocol. Users submit, poll and cancel
//! jobs through a simulated load balancer that skips controllers that don't respond to `/ready`.

mod job;

use crate::control::{SimulatorCommand, Stats};
use crate::history::{Event, Recorder, UserRequest};
use crate::net::{now_us, Incoming, Link, Network};
use crate::process::{ProcessConfig, Simulator};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use job::{Job, Outcome, Stage};
use lilacfork::http::Response;
use lilacfork::ids::JobId;
use lilacfork::wire::users::{JobKind, READY_PATH, USER_JOBS_PATH};
use serde::Deserialize;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::io;
use std::net::SocketAddrV4;

/// The timeout of a submission or a cancellation, as set by the user protocol.
const SUBMIT_TIMEOUT_MS: u64 = 5000;
/// The timeout of a query, as set by the user protocol.
const POLL_TIMEOUT_MS: u64 = 2000;
/// The interval between the health probes of a controller, and the timeout of a probe.
const PROBE_INTERVAL_US: u64 = 250_000;
const PROBE_TIMEOUT_MS: u64 = 1000;
/// The longest interval between two calls of `tick`.
const MAX_TICK_INTERVAL_US: u64 = 100_000;
/// After this many consecutive failed probes, users choose other controllers.
const MAX_FAILED_PROBES: u32 = 2;
/// Links below this one belong to the probes of the controllers with the same number.
const FIRST_JOB_LINK: Link = 1000;
/// On average, one query in this many names a job that nobody submitted.
const QUERIES_PER_UNKNOWN_JOB: u32 = 50;

/// The results of one controller's health probes.
#[derive(Clone, Copy)]
struct Probe {
    last_ready_us: u64,
    consecutive_failures: u32,
    /// The longest time between two successful probes.
    longest_unready_us: u64,
    was_ready: bool,
}

#[derive(Default, Deserialize)]
struct JobBody {
    #[serde(rename = "etat", default)]
    state: String,
    running: Option<u32>,
}

/// The time of a link's next request or probe.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LinkTimer {
    due_us: u64,
    link: Link,
}

/// The users of all jobs, and the health probes of their load balancer.
pub struct UserSimulator {
    scenario: Scenario,
    controllers: Vec<SocketAddrV4>,
    started_us: u64,
    /// The time at which the next job of each class is submitted.
    next_arrival_us: Vec<u64>,
    /// The number of jobs of each class that have been submitted.
    submitted_by_class: Vec<u32>,
    jobs: HashMap<Link, Job>,
    next_link: Link,
    timers: BTreeSet<LinkTimer>,
    probes: Vec<Probe>,
    recorder: Recorder,
    rng: fastrand::Rng,
    /// The time from the first submission of a job to its acceptance, in milliseconds.
    acceptance_latency_ms: Histogram<u64>,
    submitted: u64,
    accepted: u64,
    /// The names of accepted jobs that other jobs depend on.
    accepted_dependencies: HashSet<String>,
    failed_requests: u64,
}

impl UserSimulator {
    /// Creates the users. They submit the initial jobs of each class first, during the
    /// warm-up.
    pub fn new(config: &ProcessConfig) -> io::Result<UserSimulator> {
        let scenario = config.scenario.clone();
        let now_us = now_us();
        let probe = Probe {
            last_ready_us: now_us,
            consecutive_failures: 0,
            longest_unready_us: 0,
            was_ready: false,
        };
        let timers = (0..config.controllers.len() as Link).map(|link| LinkTimer {
            due_us: now_us,
            link,
        });
        Ok(UserSimulator {
            next_arrival_us: vec![now_us; scenario.classes.len()],
            submitted_by_class: vec![0; scenario.classes.len()],
            probes: vec![probe; config.controllers.len()],
            timers: timers.collect(),
            controllers: config.controllers.clone(),
            started_us: now_us,
            jobs: HashMap::new(),
            next_link: FIRST_JOB_LINK,
            recorder: Recorder::create(&config.history)?,
            rng: fastrand::Rng::with_seed(scenario.seed),
            acceptance_latency_ms: Histogram::new(3).map_err(io::Error::other)?,
            submitted: 0,
            accepted: 0,
            accepted_dependencies: HashSet::new(),
            failed_requests: 0,
            scenario,
        })
    }

    /// Submits all jobs of a class that are due, and sets the time of the next one.
    fn submit_arrivals(&mut self, net: &mut Network, class: usize, now_us: u64) -> io::Result<()> {
        let settings = self.scenario.classes[class].clone();
        if !settings.after.is_empty() {
            // `submit_dependents` submits jobs that depend on other jobs.
            self.next_arrival_us[class] = u64::MAX;
            return Ok(());
        }
        let warm_us = (self.scenario.warm_s * 1e6) as u64;
        let last_arrival_us = self.started_us + warm_us + (self.scenario.run_s * 1e6) as u64;
        while self.next_arrival_us[class] <= now_us && now_us < last_arrival_us {
            let number = self.submitted_by_class[class];
            self.submitted_by_class[class] += 1;
            self.submit_new_job(net, Scenario::job_name(class, number), now_us)?;
            // The initial jobs are submitted evenly over the first 70 % of the warm-up. Later
            // arrivals form a Poisson process.
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

    /// Creates a user for a new job, and sends the first submission.
    fn submit_new_job(&mut self, net: &mut Network, name: String, now_us: u64) -> io::Result<()> {
        let link = self.next_link;
        self.next_link += 1;
        self.submitted += 1;
        self.recorder
            .record(Event::Submitted { job: name.clone() })?;
        let class = self
            .scenario
            .parse_job_name(&name)
            .map_or(0, |(class, _)| class);
        let is_service = self.scenario.classes[class].kind == JobKind::Service;
        let lifetime_s = self.scenario.run_s(&name, 0).unwrap_or(0.0);
        let cancel_due_us = match (is_service, self.scenario.cancelled_early(&name)) {
            (true, _) => now_us + (lifetime_s * 1e6) as u64,
            (false, true) => now_us + (lifetime_s * 0.5e6) as u64,
            (false, false) => u64::MAX,
        };
        let job = Job {
            controller: self.healthy_controller(),
            name,
            stage: Stage::Submitting,
            submitted_us: now_us,
            cancel_due_us,
            last_state: String::new(),
            running: None,
            last_request_failed: false,
            queries_unknown: false,
        };
        self.jobs.insert(link, job);
        self.send_next_request(net, link)
    }

    /// Returns a random controller that responds to its probes, or any controller if none
    /// responds.
    fn healthy_controller(&mut self) -> usize {
        let healthy: Vec<usize> = self
            .probes
            .iter()
            .enumerate()
            .filter(|(_, probe)| probe.consecutive_failures < MAX_FAILED_PROBES)
            .map(|(controller, _)| controller)
            .collect();
        match healthy.len() {
            0 => self.rng.usize(..self.controllers.len()),
            count => healthy[self.rng.usize(..count)],
        }
    }

    /// Sends the request that the job's stage calls for.
    fn send_next_request(&mut self, net: &mut Network, link: Link) -> io::Result<()> {
        let queries_unknown = self.rng.u32(..QUERIES_PER_UNKNOWN_JOB) == 0;
        let now_us = now_us();
        let Some(job) = self.jobs.get_mut(&link) else {
            return Ok(());
        };
        if job.stage == Stage::Polling && now_us >= job.cancel_due_us {
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
            Stage::Finished => {}
        }
        Ok(())
    }

    fn handle_response(
        &mut self,
        net: &mut Network,
        link: Link,
        response: Option<Response>,
    ) -> io::Result<()> {
        let now_us = now_us();
        let Response { status, body } = response.unwrap_or_default();
        let body: JobBody = serde_json::from_slice(&body).unwrap_or_default();
        let other_controller = self.healthy_controller();
        let Some(job) = self.jobs.get_mut(&link) else {
            return Ok(());
        };
        let request = match job.stage {
            Stage::Submitting => UserRequest::Submit,
            Stage::Cancelling => UserRequest::Cancel,
            Stage::Polling | Stage::Finished => UserRequest::Query,
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
        if has_dependencies || job.must_record(&outcome) {
            self.recorder.record(job.completion_event(&outcome))?;
        }
        job.last_request_failed = !outcome.is_success();
        if status == 0 || status >= 500 {
            self.failed_requests += 1;
            job.controller = other_controller;
        }
        let accepted =
            (request == UserRequest::Submit && outcome.is_success()).then(|| job.name.clone());
        if accepted.is_some() {
            self.accepted += 1;
            let _ = self
                .acceptance_latency_ms
                .record((now_us - job.submitted_us) / 1000);
        }
        let next_us = job.advance(&outcome, now_us);
        if !job.queries_unknown && outcome.is_success() {
            job.last_state = outcome.state;
            job.running = outcome.running;
        }
        if job.stage == Stage::Finished {
            net.close_link(link);
            self.jobs.remove(&link);
        } else {
            let due_us = next_us;
            self.timers.insert(LinkTimer { due_us, link });
        }
        match accepted {
            Some(name) => self.submit_dependents(net, name, now_us),
            None => Ok(()),
        }
    }

    /// Submits the dependents of a job that was just accepted, if all their dependencies are
    /// accepted by now.
    fn submit_dependents(
        &mut self,
        net: &mut Network,
        name: String,
        now_us: u64,
    ) -> io::Result<()> {
        let dependents = self.scenario.dependents(&name);
        if dependents.is_empty() {
            return Ok(());
        }
        self.accepted_dependencies.insert(name);
        for dependent in dependents {
            let is_accepted = |name: &JobId| self.accepted_dependencies.contains(name.as_str());
            let spec = self.scenario.job(&dependent);
            if spec.is_some_and(|spec| spec.dependencies.iter().all(is_accepted)) {
                self.submit_new_job(net, dependent, now_us)?;
            }
        }
        Ok(())
    }

    fn handle_probe_response(&mut self, link: Link, response: Option<Response>) {
        let now_us = now_us();
        let probe = &mut self.probes[link as usize];
        if response.is_some_and(|response| response.status == 200) {
            if probe.was_ready {
                probe.longest_unready_us =
                    probe.longest_unready_us.max(now_us - probe.last_ready_us);
            }
            probe.was_ready = true;
            probe.consecutive_failures = 0;
            probe.last_ready_us = now_us;
        } else {
            probe.consecutive_failures += 1;
        }
        let due_us = now_us + PROBE_INTERVAL_US;
        self.timers.insert(LinkTimer { due_us, link });
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
        let now_us = now_us();
        for class in 0..self.next_arrival_us.len() {
            self.submit_arrivals(net, class, now_us)?;
        }
        while self
            .timers
            .first()
            .is_some_and(|first| first.due_us <= now_us)
        {
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
            .filter(|arrival_us| *arrival_us > now_us)
            .min();
        let timer = self.timers.first().map(|first| first.due_us);
        Ok([arrival, timer]
            .into_iter()
            .flatten()
            .fold(now_us + MAX_TICK_INTERVAL_US, u64::min))
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
                self.acceptance_latency_ms.value_at_quantile(0.5) as f64,
            ),
            (
                "accepted_p99_ms",
                self.acceptance_latency_ms.value_at_quantile(0.99) as f64,
            ),
            ("accepted_most_ms", self.acceptance_latency_ms.max() as f64),
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

//! Users, by the published protocol: they submit, poll and cancel through a load
//! balancer that skips controllers which don't answer `/ready`.

use crate::control::{Command, Stats};
use crate::history::{Event, Recorder, Verb};
use crate::net::{now_us, Incoming, Link, Net};
use crate::part::{Part, PartConfig};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use lilacfork::http::Response;
use lilacfork::ids::JobId;
use lilacfork::wire::users::{JobKind, READY_PATH, USER_JOBS_PATH};
use serde::Deserialize;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::io;
use std::net::SocketAddrV4;

/// Waiting times of users (PROTOCOL, "Users -> controller nodes").
const SUBMIT_PATIENCE_MS: u64 = 5000;
const POLL_PATIENCE_MS: u64 = 2000;
const POLL_EVERY_US: u64 = 5_000_000;
const RETRY_US: u64 = 1_000_000;
/// How often each controller is probed, and how long an answer may take.
const PROBE_EVERY_US: u64 = 250_000;
const PROBE_PATIENCE_MS: u64 = 1000;
/// After two failed probes in a row a controller gets no new connections.
const FAILED_PROBES: u32 = 2;
/// Links below this belong to probes.
const FIRST_JOB_LINK: Link = 1000;
/// One question in so many is about a job that nobody submitted.
const STRANGE_QUESTIONS: u32 = 50;

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
    told: String,
    /// The tasks that were said to run.
    running: Option<u32>,
    /// The last answer failed.
    failed: bool,
    /// The question under way is about a job that nobody submitted.
    strange: bool,
}

#[derive(Clone, Copy)]
struct Probe {
    answered_us: u64,
    failed: u32,
    /// The longest time without an answer, once it had answered.
    longest_us: u64,
    seen: bool,
}

#[derive(Default, Deserialize)]
struct StateBody {
    #[serde(default)]
    etat: String,
    running: Option<u32>,
}

/// All users.
pub struct UsersPart {
    scenario: Scenario,
    controllers: Vec<SocketAddrV4>,
    began_us: u64,
    /// When the next job of each class comes.
    next_us: Vec<u64>,
    counts: Vec<u32>,
    jobs: HashMap<Link, Job>,
    next_link: Link,
    /// What is due: when, and for which link.
    timers: BTreeSet<(u64, Link)>,
    probes: Vec<Probe>,
    recorder: Recorder,
    rng: fastrand::Rng,
    accepted_ms: Histogram<u64>,
    submitted: u64,
    accepted: u64,
    /// Accepted jobs that others need.
    accepted_needs: HashSet<String>,
    failed_answers: u64,
}

impl UsersPart {
    /// The initial jobs come first, spread over the warm-up.
    pub fn new(config: &PartConfig) -> io::Result<UsersPart> {
        let scenario = config.scenario.clone();
        let now = now_us();
        let probe = Probe {
            answered_us: now,
            failed: 0,
            longest_us: 0,
            seen: false,
        };
        let timers = (0..config.controllers.len() as Link).map(|link| (now, link));
        Ok(UsersPart {
            next_us: vec![now; scenario.classes.len()],
            counts: vec![0; scenario.classes.len()],
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
            accepted_needs: HashSet::new(),
            failed_answers: 0,
            scenario,
        })
    }

    /// Submits what is due of a class, and says when the next job comes.
    fn arrivals(&mut self, net: &mut Net, class: usize, now: u64) -> io::Result<()> {
        let settings = self.scenario.classes[class].clone();
        if !settings.after.is_empty() {
            // Its jobs come with those that they need.
            self.next_us[class] = u64::MAX;
            return Ok(());
        }
        let warm_us = (self.scenario.warm_s * 1e6) as u64;
        let last_us = self.began_us + warm_us + (self.scenario.run_s * 1e6) as u64;
        while self.next_us[class] <= now && now < last_us {
            let number = self.counts[class];
            self.counts[class] += 1;
            self.submit_first(net, Scenario::job_name(class, number), now)?;
            let gap_us = if number < settings.initial {
                warm_us as f64 * 0.7 / f64::from(settings.initial)
            } else if settings.rate > 0.0 {
                -self.rng.f64().max(1e-9).ln() / settings.rate * 1e6
            } else {
                f64::MAX
            };
            self.next_us[class] = self.next_us[class].saturating_add(gap_us as u64);
        }
        Ok(())
    }

    fn submit_first(&mut self, net: &mut Net, name: String, now: u64) -> io::Result<()> {
        let link = self.next_link;
        self.next_link += 1;
        self.submitted += 1;
        self.recorder.note(Event::Submitted { job: name.clone() })?;
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
            controller: self.healthy(),
            name,
            stage: Stage::Submitting,
            submitted_us: now,
            cancel_us,
            told: String::new(),
            running: None,
            failed: false,
            strange: false,
        };
        self.jobs.insert(link, job);
        self.act(net, link)
    }

    /// A controller that answers its probes.
    fn healthy(&mut self) -> usize {
        let fine = self
            .probes
            .iter()
            .enumerate()
            .filter(|(_, p)| p.failed < FAILED_PROBES);
        let fine: Vec<usize> = fine.map(|(n, _)| n).collect();
        match fine.len() {
            0 => self.rng.usize(..self.controllers.len()),
            some => fine[self.rng.usize(..some)],
        }
    }

    /// Makes the job's next request.
    fn act(&mut self, net: &mut Net, link: Link) -> io::Result<()> {
        let strange = self.rng.u32(..STRANGE_QUESTIONS) == 0;
        let now = now_us();
        let Some(job) = self.jobs.get_mut(&link) else {
            return Ok(());
        };
        if job.stage == Stage::Polling && now >= job.cancel_us {
            job.stage = Stage::Cancelling;
            self.recorder.note(Event::CancelAsked {
                job: job.name.clone(),
            })?;
        }
        let to = self.controllers[job.controller];
        job.strange = job.stage == Stage::Polling && strange;
        match job.stage {
            Stage::Submitting => {
                let spec = self.scenario.job(&job.name);
                let body = serde_json::to_vec(&spec)?;
                net.call(link, to, "POST", USER_JOBS_PATH, &body, SUBMIT_PATIENCE_MS);
            }
            Stage::Polling => {
                let suffix = if job.strange { "-never" } else { "" };
                let path = format!("{USER_JOBS_PATH}/{}{suffix}", job.name);
                net.call(link, to, "GET", &path, b"", POLL_PATIENCE_MS);
            }
            Stage::Cancelling => {
                let path = format!("{USER_JOBS_PATH}/{}/abort", job.name);
                net.call(link, to, "POST", &path, b"", SUBMIT_PATIENCE_MS);
            }
            Stage::Over => {}
        }
        Ok(())
    }

    fn answered(&mut self, net: &mut Net, link: Link, answer: Option<Response>) -> io::Result<()> {
        let now = now_us();
        let Response { status, body } = answer.unwrap_or_default();
        let body: StateBody = serde_json::from_slice(&body).unwrap_or_default();
        let state = body.etat;
        let elsewhere = self.healthy();
        let Some(job) = self.jobs.get_mut(&link) else {
            return Ok(());
        };
        let verb = match job.stage {
            Stage::Submitting => Verb::Submit,
            Stage::Cancelling => Verb::Cancel,
            _ => Verb::Show,
        };
        let fine = matches!(status, 200 | 201);
        // An answer that says the same again counts after one that failed.
        let running = body
            .running
            .filter(|_| self.scenario.parts(&job.name).is_some());
        let waits = self
            .scenario
            .job(&job.name)
            .is_some_and(|s| !s.dependencies.is_empty());
        let news = !fine
            || waits
            || job.failed
            || state != job.told
            || running != job.running
            || verb != Verb::Show;
        job.failed = !fine;
        if job.strange || news {
            let suffix = if job.strange { "-never" } else { "" };
            self.recorder.note(Event::Answered {
                job: format!("{}{suffix}", job.name),
                verb,
                status,
                state: state.clone(),
                running,
            })?;
        }
        if status == 0 || status >= 500 {
            self.failed_answers += 1;
            job.controller = elsewhere;
        }
        let mut next_us = now + POLL_EVERY_US;
        match (verb, fine) {
            (Verb::Submit, true) => {
                job.stage = Stage::Polling;
                self.accepted += 1;
                let _ = self.accepted_ms.record((now - job.submitted_us) / 1000);
            }
            (Verb::Show, true) if matches!(state.as_str(), "done" | "cancelled") => {
                job.stage = Stage::Over
            }
            (Verb::Cancel, true) => job.stage = Stage::Over,
            (Verb::Show, _) => {}
            (_, false) if matches!(status, 400 | 404 | 422) => job.stage = Stage::Over,
            (_, false) => next_us = now + RETRY_US,
        }
        if !job.strange && fine {
            job.told = state;
            job.running = running;
        }
        let accepted = (verb == Verb::Submit && fine).then(|| job.name.clone());
        if job.stage == Stage::Over {
            net.close_link(link);
            self.jobs.remove(&link);
        } else {
            if job.stage == Stage::Polling {
                next_us = next_us.min(job.cancel_us.max(now + 1));
            }
            self.timers.insert((next_us, link));
        }
        match accepted {
            Some(name) => self.submit_dependents(net, name, now),
            None => Ok(()),
        }
    }

    /// Submits the jobs of a pipeline of which this was the last need to be accepted.
    fn submit_dependents(&mut self, net: &mut Net, name: String, now: u64) -> io::Result<()> {
        let dependents = self.scenario.dependents(&name);
        if dependents.is_empty() {
            return Ok(());
        }
        self.accepted_needs.insert(name);
        for dependent in dependents {
            let needs = self.scenario.job(&dependent).map(|spec| spec.dependencies);
            let accepted = |need: &JobId| self.accepted_needs.contains(need.as_str());
            if needs.is_some_and(|needs| needs.iter().all(accepted)) {
                self.submit_first(net, dependent, now)?;
            }
        }
        Ok(())
    }

    fn probed(&mut self, link: Link, answer: Option<Response>) {
        let now = now_us();
        let probe = &mut self.probes[link as usize];
        if answer.is_some_and(|response| response.status == 200) {
            if probe.seen {
                probe.longest_us = probe.longest_us.max(now - probe.answered_us);
            }
            probe.seen = true;
            probe.failed = 0;
            probe.answered_us = now;
        } else {
            probe.failed += 1;
        }
        self.timers.insert((now + PROBE_EVERY_US, link));
    }
}

impl Part for UsersPart {
    fn incoming(&mut self, net: &mut Net, incoming: Incoming) -> io::Result<()> {
        match incoming {
            Incoming::Answer { link, answer } if link < FIRST_JOB_LINK => {
                self.probed(link, answer);
                Ok(())
            }
            Incoming::Answer { link, answer } => self.answered(net, link, answer),
            Incoming::Request { .. } => Ok(()),
        }
    }

    fn tick(&mut self, net: &mut Net) -> io::Result<u64> {
        let now = now_us();
        for class in 0..self.next_us.len() {
            self.arrivals(net, class, now)?;
        }
        while let Some((at, link)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, link));
            if link < FIRST_JOB_LINK {
                let to = self.controllers[link as usize];
                net.call(link, to, "GET", READY_PATH, b"", PROBE_PATIENCE_MS);
            } else {
                self.act(net, link)?;
            }
        }
        let arrival = self.next_us.iter().copied().filter(|at| *at > now).min();
        let timer = self.timers.first().map(|(at, _)| *at);
        Ok([arrival, timer]
            .into_iter()
            .flatten()
            .fold(now + 100_000, u64::min))
    }

    fn command(&mut self, _: &mut Net, _: &Command) -> io::Result<()> {
        Ok(())
    }

    fn stats(&self, stats: &mut Stats) {
        let longest = self.probes.iter().map(|p| p.longest_us).max().unwrap_or(0);
        let counters = [
            ("submitted", self.submitted as f64),
            ("accepted", self.accepted as f64),
            ("failed_answers", self.failed_answers as f64),
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

//! An independent observer of the protocol's rules. It learns what users ask and are
//! told and what workers start and finish, knows nothing of how controllers work, and
//! reports the rule that a history breaks.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;

/// The job of a task, by the task's name.
pub(super) fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or("", |(job, _)| job)
}

/// A task on a machine, at the moment of the observation.
#[derive(Clone, Copy, Debug)]
pub struct RunningTask<'a> {
    pub task: &'a str,
    pub machine: &'a str,
    pub zone: &'a str,
    pub spot: bool,
}

impl RunningTask<'_> {
    fn job(&self) -> &str {
        job_of(self.task)
    }
}

/// What a user asks for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verb {
    Submit,
    Show,
    Cancel,
}

/// A user's request about a job.
#[derive(Clone, Debug)]
pub struct UserRequest {
    pub verb: Verb,
    pub job: String,
    pub asked_ms: u64,
}

/// The rules of the protocol.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Rule {
    /// A job that was confirmed to a user stays known.
    Forgotten,
    /// Only what users submitted is known and started.
    Invented,
    /// A final state doesn't change, and only users cancel.
    WentBack,
    /// A job is done once all of its tasks have completed.
    NotDone,
    /// Jobs end with the cancellation of one that they need.
    Orphaned,
    /// A task is on one machine at most.
    RanTwice,
    /// A cancelled job's tasks end in time.
    RanCancelled,
    /// A task starts after the jobs that its job needs.
    TooEarly,
    /// A task runs only where its job may.
    WrongPlace,
    /// A team stays within its limit.
    Quota,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Rule::Forgotten => "forgotten",
            Rule::Invented => "invented",
            Rule::WentBack => "went_back",
            Rule::NotDone => "not_done",
            Rule::Orphaned => "orphaned",
            Rule::RanTwice => "ran_twice",
            Rule::RanCancelled => "ran_cancelled",
            Rule::TooEarly => "too_early",
            Rule::WrongPlace => "wrong_place",
            Rule::Quota => "quota",
        })
    }
}

/// The rule that a history breaks, and how.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[error("{rule}: {details}")]
pub struct Violation {
    rule: Rule,
    details: String,
}

pub type Verdict = Result<(), Violation>;

fn broken(rule: Rule, details: String) -> Verdict {
    Err(Violation { rule, details })
}

/// A final state that was reported to a user.
#[derive(Debug)]
struct FinalState {
    state: String,
    /// When it was first reported to a user.
    reported_ms: u64,
}

/// What has happened so far, as far as the rules need it.
pub struct Observer {
    cancel_ms: u64,
    /// GPUs that a team may use at once.
    limits: HashMap<String, f64>,
    specs: HashMap<String, Value>,
    /// When the job was first confirmed to a user.
    accepted_ms: HashMap<String, u64>,
    cancel_asked: HashSet<String>,
    final_states: BTreeMap<String, FinalState>,
    /// Tasks that have completed, by job.
    finished: HashMap<String, BTreeSet<u32>>,
    /// Starts after a confirmed cancellation: allowed for `cancel_s`, and
    /// counted.
    pub starts_after_cancel: Vec<String>,
}

impl Observer {
    /// `cancel_ms`: how long tasks may be on machines after their job's cancellation.
    /// `limits`: GPUs that each limited team may use at once.
    pub fn new(cancel_ms: u64, limits: &[(&str, f64)]) -> Self {
        Observer {
            cancel_ms,
            limits: limits
                .iter()
                .map(|(team, limit)| (team.to_string(), *limit))
                .collect(),
            specs: HashMap::new(),
            accepted_ms: HashMap::new(),
            cancel_asked: HashSet::new(),
            final_states: BTreeMap::new(),
            finished: HashMap::new(),
            starts_after_cancel: Vec::new(),
        }
    }

    /// The specification with which a job was first submitted.
    pub fn spec(&self, job: &str) -> Option<&Value> {
        self.specs.get(job)
    }

    /// When the job's cancellation was first confirmed to any user.
    fn confirmed_ms(&self, job: &str) -> Option<u64> {
        self.final_states
            .get(job)
            .filter(|last| last.state == "cancelled")
            .map(|last| last.reported_ms)
    }

    /// A user submits a job.
    pub fn submitted(&mut self, spec: &Value) {
        if let Some(id) = spec["id"].as_str() {
            self.specs
                .entry(id.to_string())
                .or_insert_with(|| spec.clone());
        }
    }

    /// A user asks for a job's cancellation.
    pub fn cancel_asked(&mut self, job: &str) {
        self.cancel_asked.insert(job.to_string());
    }

    /// A task has completed by itself.
    pub fn finished(&mut self, task: &str) {
        if let Some((job, index)) = task.rsplit_once('/') {
            if let Ok(index) = index.parse() {
                self.finished
                    .entry(job.to_string())
                    .or_default()
                    .insert(index);
            }
        }
    }

    fn dependencies(&self, job: &str) -> impl Iterator<Item = &str> {
        let names = self
            .specs
            .get(job)
            .and_then(|spec| spec["attend"].as_array());
        names.into_iter().flatten().filter_map(Value::as_str)
    }

    /// The jobs that this one needs, directly or through others.
    fn all_dependencies<'a>(&'a self, job: &'a str) -> BTreeSet<&'a str> {
        let mut found = BTreeSet::new();
        let mut left = vec![job];
        while let Some(job) = left.pop() {
            let dependencies = self.dependencies(job);
            left.extend(dependencies.filter(|dependency| found.insert(*dependency)));
        }
        found
    }

    fn finished_tasks(&self, job: &str) -> usize {
        self.finished.get(job).map_or(0, BTreeSet::len)
    }

    /// All tasks of the job have completed.
    fn is_done(&self, job: &str) -> bool {
        let tasks = self.specs.get(job).and_then(|spec| spec["pieces"].as_u64());
        tasks.is_some_and(|tasks| self.finished_tasks(job) as u64 >= tasks)
    }

    fn cancelled_by_its_user(&self, job: &str) -> bool {
        let mut with_it = self.all_dependencies(job).into_iter().chain([job]);
        // A cancellation that was answered with done cancels no dependents.
        let done = |job: &str| {
            self.final_states
                .get(job)
                .is_some_and(|t| t.state == "done")
        };
        with_it.any(|job| self.cancel_asked.contains(job) && !done(job))
    }

    /// A user gets a response. It may be as old as its request: only what users were
    /// told before the request is binding.
    pub fn answered(
        &mut self,
        now: u64,
        request: &UserRequest,
        status: u16,
        state: &str,
    ) -> Verdict {
        let job = &request.job;
        self.still_known(now, request, status)?;
        if status != 200 && status != 201 {
            return Ok(());
        }
        let Some(spec) = self.specs.get(job) else {
            return broken(Rule::Invented, format!("nobody submitted {job}"));
        };
        self.accepted_ms.entry(job.clone()).or_insert(now);
        if let Some(last) = self.final_states.get(job) {
            if last.reported_ms < request.asked_ms && last.state != state {
                let (before, at) = (&last.state, last.reported_ms);
                let details = format!("{job} was {before} at {at} and is {state} at {now}");
                return broken(Rule::WentBack, details);
            }
        }
        match state {
            "done" => {
                let tasks = spec["pieces"].as_u64().unwrap_or(0) as usize;
                let finished = self.finished_tasks(job);
                if finished < tasks {
                    let details = format!("{job} has {finished} of {tasks} at {now}");
                    return broken(Rule::NotDone, details);
                }
            }
            "cancelled" if !self.cancelled_by_its_user(job) => {
                let details = format!("{job} is cancelled, its user didn't");
                return broken(Rule::WentBack, details);
            }
            "cancelled" => {}
            _ => return self.orphaned(now, job, state),
        }
        self.final_states
            .entry(job.clone())
            .or_insert_with(|| FinalState {
                state: state.to_string(),
                reported_ms: now,
            });
        Ok(())
    }

    /// Whether a job that was known before a request is known to its response.
    fn still_known(&self, now: u64, request: &UserRequest, status: u16) -> Verdict {
        let job = &request.job;
        let accepted_ms = self.accepted_ms.get(job);
        if accepted_ms.is_none_or(|at| *at >= request.asked_ms) {
            return Ok(());
        }
        if status == 404 {
            return broken(Rule::Forgotten, format!("{job} gets a 404 at {now}"));
        }
        if request.verb == Verb::Submit && (status == 400 || status == 422) {
            let details = format!("{job} repeated gets {status} at {now}");
            return broken(Rule::Forgotten, details);
        }
        Ok(())
    }

    /// Whether a job that hasn't ended may live on after those that it needs.
    fn orphaned(&self, now: u64, job: &str, state: &str) -> Verdict {
        for dependency in self.all_dependencies(job) {
            let confirmed_ms = self.confirmed_ms(dependency);
            if let Some(at) = confirmed_ms.filter(|at| now > at + self.cancel_ms) {
                let details = format!("{job} is {state} at {now}, {dependency} cancelled at {at}");
                return broken(Rule::Orphaned, details);
            }
        }
        Ok(())
    }

    /// A task starts while the others are on machines.
    pub fn starts<'a>(
        &mut self,
        now: u64,
        start: RunningTask<'a>,
        others: impl Iterator<Item = RunningTask<'a>> + Clone,
    ) -> Verdict {
        let RunningTask { task, machine, .. } = start;
        if let Some(other) = others.clone().find(|other| other.task == task) {
            let details = format!("{task} starts on {machine} while on {}", other.machine);
            return broken(Rule::RanTwice, details);
        }
        if let Some(at) = self.confirmed_ms(start.job()) {
            if now > at + self.cancel_ms {
                let details = format!("{task} starts on {machine} at {now}");
                return broken(Rule::RanCancelled, details);
            }
            self.starts_after_cancel.push(format!(
                "{task} on {machine} {} ms after its cancellation",
                now - at
            ));
        }
        let Some(spec) = self.specs.get(start.job()) else {
            return broken(Rule::Invented, format!("{task} of no job starts"));
        };
        let mut dependencies = self.dependencies(start.job());
        if let Some(dependency) = dependencies.find(|dependency| !self.is_done(dependency)) {
            let details = format!("{task} starts before {dependency} is done");
            return broken(Rule::TooEarly, details);
        }
        self.place(spec, start, others.clone())?;
        self.quota(spec, start, others)
    }

    /// Whether a job's task may start there.
    fn place<'a>(
        &self,
        spec: &Value,
        start: RunningTask<'a>,
        others: impl Iterator<Item = RunningTask<'a>>,
    ) -> Verdict {
        let wrong = |why: &str| {
            let details = format!("{} on {}: {why}", start.task, start.machine);
            broken(Rule::WrongPlace, details)
        };
        if spec["secteur"].as_str().is_some_and(|z| z != start.zone) {
            return wrong("zone");
        }
        if start.spot && spec["occasion"] != Value::Bool(true) {
            return wrong("spot");
        }
        let together = spec["samePlace"] == Value::Bool(true);
        let spread = spec["spread"] == Value::Bool(true);
        if !together && !spread {
            return Ok(());
        }
        let (mut here, mut elsewhere) = (1, 0);
        for other in others.filter(|other| other.job() == start.job()) {
            if other.zone == start.zone {
                here += 1;
            } else {
                elsewhere += 1;
            }
        }
        if together && elsewhere > 0 {
            return wrong("apart from the job's others");
        }
        if spread && here > spec["pieces"].as_u64().unwrap_or(0).div_ceil(2) {
            return wrong("too many of the job in one zone");
        }
        Ok(())
    }

    /// Whether a team stays within its limit with one task more.
    fn quota<'a>(
        &self,
        spec: &Value,
        start: RunningTask<'a>,
        others: impl Iterator<Item = RunningTask<'a>>,
    ) -> Verdict {
        let team = spec["equipe"].as_str().unwrap_or("");
        let Some(limit) = self.limits.get(team) else {
            return Ok(());
        };
        let gpus = |spec: &Value| spec["gpus"].as_f64().unwrap_or(0.0);
        let used: f64 = others
            .filter_map(|other| self.specs.get(other.job()))
            .filter(|spec| spec["equipe"].as_str() == Some(team))
            .map(gpus)
            .sum();
        if used + gpus(spec) > limit + 1e-9 {
            let task = start.task;
            let details = format!("{team} uses {used} of {limit} when {task} starts");
            return broken(Rule::Quota, details);
        }
        Ok(())
    }

    /// Whether all that are on machines may be there.
    pub fn present<'a>(&self, now: u64, running: impl Iterator<Item = RunningTask<'a>>) -> Verdict {
        if self.final_states.is_empty() {
            return Ok(());
        }
        for RunningTask { task, machine, .. } in running {
            if let Some(at) = self.confirmed_ms(job_of(task)) {
                if now > at + self.cancel_ms {
                    let details = format!("{task} is on {machine} at {now}, cancelled at {at}");
                    return broken(Rule::RanCancelled, details);
                }
            }
        }
        Ok(())
    }
}

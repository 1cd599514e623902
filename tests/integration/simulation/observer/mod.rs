//! An independent observer of the protocol's rules. The observer receives the requests of
//! users, the responses to them, and the tasks that workers start and complete. The
//! observer doesn't depend on how controllers work, and reports the first rule that a
//! history violates.

mod waiting;

pub use waiting::{MachineWithRoom, Room};

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;
use waiting::WaitingJobs;

/// Returns the name of a task's job. Tasks are named `job/index`.
pub(super) fn job_of(task: &str) -> &str {
    task.rsplit_once('/').map_or("", |(job, _)| job)
}

/// A task on a machine that has not ended, or a task that is about to start there.
#[derive(Clone, Copy, Debug)]
pub struct PlacedTask<'a> {
    pub task: &'a str,
    pub machine: &'a str,
    pub zone: &'a str,
    /// Whether the machine is a spot machine.
    pub spot: bool,
}

impl PlacedTask<'_> {
    fn job(&self) -> &str {
        job_of(self.task)
    }
}

/// What a user requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RequestKind {
    Submit,
    Query,
    Cancel,
}

/// A user's request about a job.
#[derive(Clone, Debug)]
pub struct UserRequest {
    pub kind: RequestKind,
    pub job: String,
    pub sent_ms: u64,
}

/// The rules of the protocol.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Rule {
    /// A job that was reported to a user stays known.
    Forgotten,
    /// Controllers report and start only jobs that users submitted.
    Invented,
    /// A final state doesn't change, and a job is cancelled only after a user requested its
    /// cancellation or that of one of its dependencies.
    WentBack,
    /// A job is reported as done only after all of its tasks have completed.
    NotDone,
    /// The cancellation of a job cancels its dependents too.
    Orphaned,
    /// A task is on at most one machine.
    RanTwice,
    /// The tasks of a cancelled job end within the cancellation period.
    RanCancelled,
    /// A task starts only after the dependencies of its job are done.
    TooEarly,
    /// A task starts only where the placement constraints of its job allow it.
    WrongPlace,
    /// A team uses at most the GPUs of its quota.
    Quota,
    /// Once all troubles are over, no job is left waiting for 90 s while a machine that fits has
    /// room and its team is under its limit.
    LeftWaiting,
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
            Rule::LeftWaiting => "left_waiting",
        })
    }
}

/// The rule that a history violates, and the events that violate it.
#[derive(Clone, PartialEq, Eq, Debug, thiserror::Error)]
#[error("{rule}: {details}")]
pub struct Violation {
    rule: Rule,
    details: String,
}

/// The result of checking one event.
pub type Verdict = Result<(), Violation>;

fn violation(rule: Rule, details: String) -> Verdict {
    Err(Violation { rule, details })
}

/// A final state that was reported to a user.
#[derive(Debug)]
struct FinalState {
    state: String,
    /// When the state was first reported to a user.
    reported_ms: u64,
}

/// The part of the history that the rules need. All times are in virtual milliseconds.
pub struct Observer {
    /// The cancellation period: how long tasks may remain on machines after the confirmed
    /// cancellation of their job.
    cancel_ms: u64,
    /// GPUs that each limited team may use at the same time, by team.
    team_gpu_limits: HashMap<String, f64>,
    specs: HashMap<String, Value>,
    /// When each job was first reported to a user.
    accepted_ms: HashMap<String, u64>,
    cancellation_requested: HashSet<String>,
    final_states: BTreeMap<String, FinalState>,
    /// Indices of the tasks that have completed, by job.
    completed_tasks: HashMap<String, BTreeSet<u32>>,
    /// Starts within the cancellation period after a confirmed cancellation. The protocol
    /// allows them; some tests limit their number.
    pub starts_after_cancel: Vec<String>,
    /// How many tasks form one replica, for classes whose replicas span machines.
    pub replica_parts: HashMap<String, usize>,
    waiting: WaitingJobs,
}

impl Observer {
    /// Creates an observer without history. `cancel_ms` is how long tasks may remain on
    /// machines after the confirmed cancellation of their job; `team_gpu_limits` is how many
    /// GPUs each limited team may use at the same time.
    pub fn new(cancel_ms: u64, team_gpu_limits: &[(&str, f64)]) -> Self {
        Observer {
            cancel_ms,
            team_gpu_limits: team_gpu_limits
                .iter()
                .map(|(team, limit)| (team.to_string(), *limit))
                .collect(),
            specs: HashMap::new(),
            accepted_ms: HashMap::new(),
            cancellation_requested: HashSet::new(),
            final_states: BTreeMap::new(),
            completed_tasks: HashMap::new(),
            starts_after_cancel: Vec::new(),
            replica_parts: HashMap::new(),
            waiting: WaitingJobs::default(),
        }
    }

    /// Returns the specification with which a job was first submitted.
    pub fn spec(&self, job: &str) -> Option<&Value> {
        self.specs.get(job)
    }

    /// Returns when the cancellation of a job was first confirmed to a user, or `None` if it
    /// hasn't been confirmed.
    fn cancellation_confirmed_ms(&self, job: &str) -> Option<u64> {
        self.final_states
            .get(job)
            .filter(|reported| reported.state == "cancelled")
            .map(|reported| reported.reported_ms)
    }

    /// Records that a user submits a job. Repeated submissions don't change the recorded
    /// specification.
    pub fn record_submission(&mut self, spec: &Value) {
        if let Some(id) = spec["id"].as_str() {
            self.specs
                .entry(id.to_string())
                .or_insert_with(|| spec.clone());
        }
    }

    /// Records that a user requests the cancellation of a job.
    pub fn record_cancellation_request(&mut self, job: &str) {
        self.cancellation_requested.insert(job.to_string());
    }

    /// Records that a task has completed without failing or being stopped.
    pub fn record_completion(&mut self, task: &str) {
        if let Some((job, index)) = task.rsplit_once('/') {
            if let Ok(index) = index.parse() {
                self.completed_tasks
                    .entry(job.to_string())
                    .or_default()
                    .insert(index);
            }
        }
    }

    /// Returns the direct dependencies of a job.
    fn dependencies(&self, job: &str) -> impl Iterator<Item = &str> {
        let names = self
            .specs
            .get(job)
            .and_then(|spec| spec["attend"].as_array());
        names.into_iter().flatten().filter_map(Value::as_str)
    }

    /// Returns the direct and indirect dependencies of a job.
    fn transitive_dependencies<'a>(&'a self, job: &'a str) -> BTreeSet<&'a str> {
        let mut found = BTreeSet::new();
        let mut unvisited = vec![job];
        while let Some(job) = unvisited.pop() {
            let dependencies = self.dependencies(job);
            unvisited.extend(dependencies.filter(|dependency| found.insert(*dependency)));
        }
        found
    }

    fn completed_task_count(&self, job: &str) -> usize {
        self.completed_tasks.get(job).map_or(0, BTreeSet::len)
    }

    /// Returns whether all tasks of a job have completed.
    fn is_done(&self, job: &str) -> bool {
        let tasks = self.specs.get(job).and_then(|spec| spec["pieces"].as_u64());
        tasks.is_some_and(|tasks| self.completed_task_count(job) as u64 >= tasks)
    }

    /// Returns whether a user requested the cancellation of a job or of one of its
    /// dependencies.
    fn is_cancellation_requested(&self, job: &str) -> bool {
        let dependencies = self.transitive_dependencies(job);
        let mut job_and_dependencies = dependencies.into_iter().chain([job]);
        // A cancellation request whose response reports the job as done cancels no dependents.
        let done = |job: &str| {
            self.final_states
                .get(job)
                .is_some_and(|reported| reported.state == "done")
        };
        job_and_dependencies.any(|job| self.cancellation_requested.contains(job) && !done(job))
    }

    /// Records and checks a response to a user. The state in the response may date from any
    /// time since the request was sent. It must therefore agree only with responses that users
    /// received before the request was sent.
    pub fn check_response(
        &mut self,
        now_ms: u64,
        request: &UserRequest,
        status: u16,
        state: &str,
    ) -> Verdict {
        let job = &request.job;
        self.check_not_forgotten(now_ms, request, status)?;
        if status != 200 && status != 201 {
            return Ok(());
        }
        let Some(spec) = self.specs.get(job) else {
            let details = format!("{job} is reported but no user submitted it");
            return violation(Rule::Invented, details);
        };
        self.accepted_ms.entry(job.clone()).or_insert(now_ms);
        if let Some(reported) = self.final_states.get(job) {
            if reported.reported_ms < request.sent_ms && reported.state != state {
                let FinalState {
                    state: final_state,
                    reported_ms,
                } = reported;
                let details = format!(
                    "{job} was reported {final_state} at {reported_ms} ms and {state} at {now_ms} ms"
                );
                return violation(Rule::WentBack, details);
            }
        }
        match state {
            "done" => {
                let tasks = spec["pieces"].as_u64().unwrap_or(0) as usize;
                let completed = self.completed_task_count(job);
                if completed < tasks {
                    let details = format!(
                        "{job} is reported done at {now_ms} ms with {completed} of {tasks} tasks completed"
                    );
                    return violation(Rule::NotDone, details);
                }
            }
            "cancelled" if !self.is_cancellation_requested(job) => {
                let details =
                    format!("{job} is reported cancelled, but no user requested the cancellation");
                return violation(Rule::WentBack, details);
            }
            "cancelled" => {}
            _ => return self.check_not_orphaned(now_ms, job, state),
        }
        self.final_states
            .entry(job.clone())
            .or_insert_with(|| FinalState {
                state: state.to_string(),
                reported_ms: now_ms,
            });
        Ok(())
    }

    /// Checks that the response to a request reports the job as known, if the job was reported to
    /// a user before the request was sent.
    fn check_not_forgotten(&self, now_ms: u64, request: &UserRequest, status: u16) -> Verdict {
        let job = &request.job;
        let accepted_ms = self.accepted_ms.get(job);
        if accepted_ms.is_none_or(|accepted_ms| *accepted_ms >= request.sent_ms) {
            return Ok(());
        }
        if status == 404 {
            let details = format!("a request for {job} got status 404 at {now_ms} ms");
            return violation(Rule::Forgotten, details);
        }
        if request.kind == RequestKind::Submit && (status == 400 || status == 422) {
            let details =
                format!("a repeated submission of {job} got status {status} at {now_ms} ms");
            return violation(Rule::Forgotten, details);
        }
        Ok(())
    }

    /// Checks that no dependency of a job without a final state was cancelled longer ago than the
    /// cancellation period.
    fn check_not_orphaned(&self, now_ms: u64, job: &str, state: &str) -> Verdict {
        for dependency in self.transitive_dependencies(job) {
            let confirmed_ms = self.cancellation_confirmed_ms(dependency);
            let is_overdue = |confirmed_ms: &u64| now_ms > confirmed_ms + self.cancel_ms;
            if let Some(confirmed_ms) = confirmed_ms.filter(is_overdue) {
                let details = format!(
                    "{job} is {state} at {now_ms} ms although its dependency {dependency} was cancelled at {confirmed_ms} ms"
                );
                return violation(Rule::Orphaned, details);
            }
        }
        Ok(())
    }

    /// Records and checks the start of a task. `others` are the tasks that are on machines already.
    pub fn check_start<'a>(
        &mut self,
        now_ms: u64,
        start: PlacedTask<'a>,
        others: impl Iterator<Item = PlacedTask<'a>> + Clone,
    ) -> Verdict {
        let PlacedTask { task, machine, .. } = start;
        // A job that makes progress isn't left waiting.
        self.waiting.remove(start.job());
        if let Some(other) = others.clone().find(|other| other.task == task) {
            let details = format!(
                "{task} starts on {machine} while it is on {}",
                other.machine
            );
            return violation(Rule::RanTwice, details);
        }
        if let Some(confirmed_ms) = self.cancellation_confirmed_ms(start.job()) {
            if now_ms > confirmed_ms + self.cancel_ms {
                let details = format!(
                    "{task} starts on {machine} at {now_ms} ms, but was cancelled at {confirmed_ms} ms"
                );
                return violation(Rule::RanCancelled, details);
            }
            self.starts_after_cancel.push(format!(
                "{task} on {machine} {} ms after its cancellation",
                now_ms - confirmed_ms
            ));
        }
        let Some(spec) = self.specs.get(start.job()) else {
            let details = format!("{task} starts but no user submitted its job");
            return violation(Rule::Invented, details);
        };
        let mut dependencies = self.dependencies(start.job());
        if let Some(dependency) = dependencies.find(|dependency| !self.is_done(dependency)) {
            let details = format!("{task} starts before {dependency} is done");
            return violation(Rule::TooEarly, details);
        }
        self.check_placement(spec, start, others.clone())?;
        self.check_quota(spec, start, others)
    }

    /// Checks a start against the zone, spot, colocation and spread constraints of its job.
    fn check_placement<'a>(
        &self,
        spec: &Value,
        start: PlacedTask<'a>,
        others: impl Iterator<Item = PlacedTask<'a>>,
    ) -> Verdict {
        let wrong_place = |reason: &str| {
            let details = format!("{} on {}: {reason}", start.task, start.machine);
            violation(Rule::WrongPlace, details)
        };
        if spec["secteur"]
            .as_str()
            .is_some_and(|zone| zone != start.zone)
        {
            return wrong_place("the job requires another zone");
        }
        if start.spot && spec["occasion"] != Value::Bool(true) {
            return wrong_place("the job doesn't allow spot machines");
        }
        let same_place = spec["samePlace"] == Value::Bool(true);
        let spread = spec["spread"] == Value::Bool(true);
        if !same_place && !spread {
            return Ok(());
        }
        let (mut in_zone, mut in_other_zones) = (1, 0);
        for other in others.filter(|other| other.job() == start.job()) {
            if other.zone == start.zone {
                in_zone += 1;
            } else {
                in_other_zones += 1;
            }
        }
        if same_place && in_other_zones > 0 {
            return wrong_place("other tasks of the job are in another zone");
        }
        if spread && in_zone > spec["pieces"].as_u64().unwrap_or(0).div_ceil(2) {
            return wrong_place("more than half of the job's tasks are in one zone");
        }
        Ok(())
    }

    /// Checks that a start keeps its team within its GPU quota.
    fn check_quota<'a>(
        &self,
        spec: &Value,
        start: PlacedTask<'a>,
        others: impl Iterator<Item = PlacedTask<'a>>,
    ) -> Verdict {
        let team = spec["equipe"].as_str().unwrap_or("");
        let Some(limit) = self.team_gpu_limits.get(team) else {
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
            let details =
                format!("team {team} already uses {used} of {limit} GPUs when {task} starts");
            return violation(Rule::Quota, details);
        }
        Ok(())
    }

    /// Checks that no task of a cancelled job is on a machine after the cancellation period.
    pub fn check_placed_tasks<'a>(
        &self,
        now_ms: u64,
        placed: impl Iterator<Item = PlacedTask<'a>>,
    ) -> Verdict {
        if self.final_states.is_empty() {
            return Ok(());
        }
        for PlacedTask { task, machine, .. } in placed {
            if let Some(confirmed_ms) = self.cancellation_confirmed_ms(job_of(task)) {
                if now_ms > confirmed_ms + self.cancel_ms {
                    let details = format!(
                        "{task} is on {machine} at {now_ms} ms, but was cancelled at {confirmed_ms} ms"
                    );
                    return violation(Rule::RanCancelled, details);
                }
            }
        }
        Ok(())
    }
}

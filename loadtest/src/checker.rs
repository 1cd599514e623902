//! Checks a history against PROTOCOL's rules. It knows the requests and what happened
//! on machines, and nothing about how the controllers work.

use crate::history::{Entry, Event, UserRequest};
use crate::replica_groups::{ReplicaFigures, Replicas};
use crate::scenario::{MachineRange, Scenario};
use lilacfork::ids::TaskRef;
use lilacfork::wire::users::JobSpec;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// After so long without a successful response a job counts as forgotten.
const MAX_UNANSWERED_US: u64 = 90_000_000;

/// The rules of PROTOCOL.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A task starts on one machine while it is on another.
    RanTwice,
    /// A team's tasks use more than its limit.
    Quota,
    /// A task starts where its job doesn't allow it.
    WrongPlace,
    /// A task is on a machine too long after its job's cancellation.
    RanCancelled,
    /// An accepted job isn't known.
    Forgotten,
    /// A job that nobody submitted is known.
    Invented,
    /// A job is reported as done before all its tasks are.
    NotDone,
    /// A reported final state of a job is revoked.
    WentBack,
    /// Tasks of an incomplete replica are reported as running.
    IncompleteServes,
    /// The remaining tasks of an incomplete replica stay on machines for too long.
    LeftAlone,
    /// A task starts before all jobs that its job depends on are done.
    TooEarly,
    /// A job is reported as pending or running too long after one that it depends on was
    /// cancelled.
    Orphaned,
}

/// A violation of a rule.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, in microseconds since 1970.
    pub at_us: u64,
    /// The job or task.
    pub what: String,
}

#[derive(Default)]
struct JobHistory {
    submitted: bool,
    cancel_asked: bool,
    accepted: bool,
    /// When its cancellation was confirmed.
    cancelled_us: Option<u64>,
    /// The final state that a user was told.
    final_state: Option<String>,
    finished: BTreeSet<u32>,
    /// Since when every request has failed.
    unanswered_since_us: Option<u64>,
}

/// What the rules on responses about a job need besides its own history.
struct JobContext {
    /// How many tasks it has.
    tasks: u32,
    /// A job that it depends on has been cancelled, or is about to be.
    has_cancelled_dependency: bool,
    /// A job that it depends on was cancelled so long ago that it has to be, too.
    is_orphan: bool,
}

impl JobHistory {
    /// A user was told this state; returns the rules that this violates.
    fn observe_state(&mut self, at_us: u64, state: &str, context: &JobContext) -> Vec<Rule> {
        let mut violated = Vec::new();
        self.unanswered_since_us = None;
        if !self.submitted {
            violated.push(Rule::Invented);
        }
        let revokes = |final_state: &String| final_state != state;
        if self.final_state.as_ref().is_some_and(revokes) {
            violated.push(Rule::WentBack);
        }
        if context.is_orphan && matches!(state, "pending" | "running") {
            violated.push(Rule::Orphaned);
        }
        if state == "cancelled" {
            if !self.cancel_asked && !context.has_cancelled_dependency {
                violated.push(Rule::WentBack);
            }
            self.cancelled_us.get_or_insert(at_us);
        }
        if state == "done" && (self.finished.len() as u32) < context.tasks {
            violated.push(Rule::NotDone);
        }
        if matches!(state, "done" | "cancelled") {
            self.final_state.get_or_insert_with(|| state.to_string());
        }
        violated
    }

    /// A request about an accepted job failed; returns the rules that this violates.
    fn observe_failure(&mut self, at_us: u64) -> Vec<Rule> {
        let since_us = *self.unanswered_since_us.get_or_insert(at_us);
        if at_us > since_us + MAX_UNANSWERED_US {
            vec![Rule::Forgotten]
        } else {
            Vec::new()
        }
    }
}

/// Checks a history event by event.
pub struct Checker<'a> {
    scenario: &'a Scenario,
    jobs: HashMap<String, JobHistory>,
    specs: HashMap<String, Option<JobSpec>>,
    /// Where tasks are, by job and task.
    placed: BTreeMap<String, BTreeMap<u32, u32>>,
    team_gpus: HashMap<String, f64>,
    replicas: Replicas<'a>,
    violations: Vec<Violation>,
}

impl<'a> Checker<'a> {
    /// Nothing has happened yet.
    pub fn new(scenario: &'a Scenario) -> Checker<'a> {
        Checker {
            scenario,
            jobs: HashMap::new(),
            specs: HashMap::new(),
            placed: BTreeMap::new(),
            team_gpus: HashMap::new(),
            replicas: Replicas::new(scenario),
            violations: Vec::new(),
        }
    }

    /// Checks a whole history; the result has the figures on multi-host replicas, too.
    pub fn judge(
        scenario: &Scenario,
        history: &[Entry],
    ) -> (Vec<Violation>, Option<ReplicaFigures>) {
        let mut checker = Checker::new(scenario);
        for entry in history {
            checker.observe(entry);
        }
        if let Some(last) = history.last() {
            checker.check_remaining_tasks(last.at_us);
            checker.replicas.end(last.at_us);
        }
        checker
            .violations
            .extend(checker.replicas.take_violations());
        (checker.violations, checker.replicas.figures())
    }

    fn spec(&mut self, job: &str) -> Option<JobSpec> {
        let scenario = self.scenario;
        let spec = self.specs.entry(job.to_string());
        spec.or_insert_with(|| scenario.job(job)).clone()
    }

    fn add_violation(&mut self, rule: Rule, at_us: u64, what: &str) {
        self.violations.push(Violation {
            rule,
            at_us,
            what: what.to_string(),
        });
    }

    fn observe(&mut self, entry: &Entry) {
        let at_us = entry.at_us;
        match &entry.event {
            Event::Submitted { job } => self.job(job).submitted = true,
            Event::CancelAsked { job } => {
                self.job(job).cancel_asked = true;
                self.replicas.cancelled(job);
            }
            Event::Answered {
                job,
                request,
                status,
                state,
                running,
            } => {
                self.answered(at_us, job, *request, *status, state);
                self.replicas.reported_running(at_us, job, *running);
            }
            Event::Started { task, machine } => self.started(at_us, task, *machine),
            Event::Finished { task } => {
                if let Some(task) = TaskRef::parse(task) {
                    self.job(task.job.as_str()).finished.insert(task.index);
                }
            }
            Event::Left { task, machine } => self.left(at_us, task, *machine),
            Event::Lost { machines } => self.lost(at_us, *machines),
        }
    }

    fn job(&mut self, job: &str) -> &mut JobHistory {
        self.jobs.entry(job.to_string()).or_default()
    }

    fn answered(&mut self, at_us: u64, name: &str, request: UserRequest, status: u16, state: &str) {
        let context = self.job_context(at_us, name);
        let job = self.job(name);
        let violated = match status {
            200 | 201 => {
                job.accepted |= request == UserRequest::Submit;
                job.observe_state(at_us, state, &context)
            }
            404 if job.accepted => vec![Rule::Forgotten],
            400 | 422 if job.accepted && request == UserRequest::Submit => vec![Rule::Forgotten],
            404 => Vec::new(),
            _ if job.accepted => job.observe_failure(at_us),
            _ => Vec::new(),
        };
        for rule in violated {
            self.add_violation(rule, at_us, name);
        }
    }

    /// What the scenario and the history of other jobs tell about a job.
    fn job_context(&mut self, at_us: u64, name: &str) -> JobContext {
        let tasks = self.spec(name).map_or(0, |spec| spec.tasks);
        let dependencies = self.all_dependencies(name);
        let limit_us = self.cancellation_limit_us();
        let is_orphan = |dependency: &String| {
            let cancelled_us = self.jobs.get(dependency).and_then(|job| job.cancelled_us);
            cancelled_us.is_some_and(|since_us| at_us > since_us + limit_us)
        };
        let cancel_asked = |dependency: &String| {
            self.jobs
                .get(dependency)
                .is_some_and(|job| job.cancel_asked)
        };
        JobContext {
            tasks,
            has_cancelled_dependency: dependencies.iter().any(cancel_asked),
            is_orphan: dependencies.iter().any(is_orphan),
        }
    }

    fn cancellation_limit_us(&self) -> u64 {
        (self.scenario.workers.cancel_s * 1e6) as u64
    }

    fn started(&mut self, at_us: u64, name: &str, machine: u32) {
        let Some(task) = TaskRef::parse(name) else {
            return;
        };
        let job = task.job.as_str().to_string();
        let Some(spec) = self.spec(&job) else {
            return;
        };
        let placed = self.placed.entry(job.clone()).or_default();
        let runs_elsewhere = placed
            .get(&task.index)
            .is_some_and(|other| *other != machine);
        let zone = self.scenario.machine(machine).zone;
        let in_same_zone = placed
            .iter()
            .filter(|(index, _)| **index != task.index)
            .filter(|(_, other)| self.scenario.machine(**other).zone == zone)
            .count() as u32;
        let violates_spread = spec.spread && in_same_zone >= spec.tasks.div_ceil(2);
        let was_placed = placed.insert(task.index, machine).is_some();
        self.replicas.started(at_us, &task);
        if runs_elsewhere {
            self.add_violation(Rule::RanTwice, at_us, name);
        }
        if violates_spread {
            self.add_violation(Rule::WrongPlace, at_us, name);
        }
        if !was_placed {
            let used = self.team_gpus.entry(spec.team.to_string()).or_insert(0.0);
            *used += spec.gpus;
            if *used > self.scenario.team_gpus_max + 1e-6 {
                self.add_violation(Rule::Quota, at_us, name);
            }
        }
        self.check_not_cancelled(at_us, &job, name);
        if !spec
            .dependencies
            .iter()
            .all(|dependency| self.is_done(dependency.as_str()))
        {
            self.add_violation(Rule::TooEarly, at_us, name);
        }
    }

    /// The jobs that this one depends on, directly or through others.
    fn all_dependencies(&mut self, job: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        let mut pending = vec![job.to_string()];
        while let Some(job) = pending.pop() {
            for dependency in self
                .spec(&job)
                .into_iter()
                .flat_map(|spec| spec.dependencies)
            {
                if found.insert(dependency.to_string()) {
                    pending.push(dependency.to_string());
                }
            }
        }
        found
    }

    /// All tasks of the job have completed.
    fn is_done(&mut self, job: &str) -> bool {
        let tasks = self.spec(job).map_or(0, |spec| spec.tasks);
        self.job(job).finished.len() as u32 >= tasks
    }

    /// A task is on a machine at this time: its job mustn't have been cancelled long ago.
    fn check_not_cancelled(&mut self, at_us: u64, job: &str, task: &str) {
        let limit_us = self.cancellation_limit_us();
        let cancelled_us = self.job(job).cancelled_us;
        if cancelled_us.is_some_and(|since| at_us > since + limit_us) {
            self.add_violation(Rule::RanCancelled, at_us, task);
        }
    }

    fn left(&mut self, at_us: u64, name: &str, machine: u32) {
        let Some(task) = TaskRef::parse(name) else {
            return;
        };
        let job = task.job.as_str().to_string();
        let placed = self.placed.entry(job.clone()).or_default();
        if placed.get(&task.index) != Some(&machine) {
            return;
        }
        placed.remove(&task.index);
        self.replicas.left(at_us, &task);
        if let Some(spec) = self.spec(&job) {
            *self.team_gpus.entry(spec.team.to_string()).or_insert(0.0) -= spec.gpus;
        }
        self.check_not_cancelled(at_us, &job, name);
    }

    fn lost(&mut self, at_us: u64, machines: MachineRange) {
        let mut gone = Vec::new();
        for (job, tasks) in &self.placed {
            let lost = tasks
                .iter()
                .filter(|(_, machine)| machines.contains(**machine));
            gone.extend(lost.map(|(task, machine)| (format!("{job}/{task}"), *machine)));
        }
        for (task, machine) in gone {
            self.left(at_us, &task, machine);
        }
    }

    /// Checks the tasks that are still on machines when the history ends.
    fn check_remaining_tasks(&mut self, at_us: u64) {
        let placed: Vec<(String, u32)> = self
            .placed
            .iter()
            .flat_map(|(job, tasks)| tasks.keys().map(move |task| (job.clone(), *task)))
            .collect();
        for (job, task) in placed {
            self.check_not_cancelled(at_us, &job, &format!("{job}/{task}"));
        }
    }
}

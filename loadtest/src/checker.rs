//! Checks the history of a load test against the rules of the protocol. The checker knows
//! the users' requests, the responses and what happened on machines, and nothing about
//! how the controllers work.

use crate::history::{Entry, Event, UserRequest};
use crate::replica_groups::{ReplicaFigures, Replicas};
use crate::scenario::{MachineRange, Scenario};
use lilacfork::ids::TaskRef;
use lilacfork::wire::users::JobSpec;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// An accepted job counts as lost once all requests about it have failed for this long.
const MAX_FAILURE_PERIOD_US: u64 = 90_000_000;

/// The rules of the protocol that the checker checks. The report prints the names of the
/// variants.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A task must not start on one machine while it is still on another.
    RanTwice,
    /// The tasks of a team must not use more GPUs than the team's limit.
    Quota,
    /// A task of a job with `spread` must not start in a zone that already has half of the
    /// job's tasks, rounded up.
    WrongPlace,
    /// A task must not be on a machine more than `workers.cancel_s` after a response first
    /// reported its job as cancelled.
    RanCancelled,
    /// The controllers must not lose an accepted job. A job counts as lost if the response to
    /// a request about it has status 404, the response to its repeated submission has status
    /// 400 or 422, or all requests about it fail for more than `MAX_FAILURE_PERIOD_US`.
    Forgotten,
    /// A response must not report a state of a job that no user submitted.
    Invented,
    /// A response must not report a job as done before all of its tasks have completed.
    NotDone,
    /// A response must not report another state of a job after a final one, nor report a
    /// job as cancelled if no user requested the cancellation of the job or of a job that it
    /// depends on.
    WentBack,
    /// The running tasks that a response reports must form whole multi-host replicas, each
    /// complete now or within the last five heartbeat intervals.
    IncompleteServes,
    /// The remaining tasks of a multi-host replica must not stay on their machines for more
    /// than two leases plus four heartbeat intervals after the replica lost a task, unless it
    /// is complete again by then.
    LeftAlone,
    /// A task must not start before all jobs that its job depends on are done.
    TooEarly,
    /// A response must not report a job as pending or running more than `workers.cancel_s`
    /// after a response first reported a job that it depends on as cancelled.
    Orphaned,
}

/// A violation of a rule. The report prints the names of the fields.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// The time of the event that violates the rule, in microseconds since 1970. For a task
    /// that is still on a machine when the history ends, the time of the last event.
    pub at_us: u64,
    /// The job or task that violates the rule, as `job` or `job/index`.
    pub what: String,
}

/// The events of one job, as far as the rules depend on them.
#[derive(Default)]
struct JobHistory {
    submitted: bool,
    cancel_requested: bool,
    accepted: bool,
    /// When a response first reported the job as cancelled.
    cancelled_us: Option<u64>,
    /// The first final state that a response reported.
    final_state: Option<String>,
    /// The indexes of the tasks that have completed.
    finished: BTreeSet<u32>,
    /// The time of the first failed request since the last successful one.
    failing_since_us: Option<u64>,
}

/// The facts outside a job's own history that the rules on responses about it depend on.
struct JobContext {
    /// The number of the job's tasks.
    tasks: u32,
    /// Whether a user has requested the cancellation of a job that this job depends on.
    dependency_cancel_requested: bool,
    /// Whether a job that this job depends on was cancelled so long ago that this job has
    /// to be cancelled, too.
    is_orphan: bool,
}

impl JobHistory {
    /// Records a state that was reported to a user, and returns the rules that the report
    /// violates.
    fn observe_state(&mut self, at_us: u64, state: &str, context: &JobContext) -> Vec<Rule> {
        let mut violated = Vec::new();
        self.failing_since_us = None;
        if !self.submitted {
            violated.push(Rule::Invented);
        }
        let differs = |final_state: &String| final_state != state;
        if self.final_state.as_ref().is_some_and(differs) {
            violated.push(Rule::WentBack);
        }
        if context.is_orphan && matches!(state, "pending" | "running") {
            violated.push(Rule::Orphaned);
        }
        if state == "cancelled" {
            if !self.cancel_requested && !context.dependency_cancel_requested {
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

    /// Records a failed request about an accepted job, and returns the rules that the
    /// failure violates.
    fn observe_failure(&mut self, at_us: u64) -> Vec<Rule> {
        let since_us = *self.failing_since_us.get_or_insert(at_us);
        if at_us > since_us + MAX_FAILURE_PERIOD_US {
            vec![Rule::Forgotten]
        } else {
            Vec::new()
        }
    }
}

/// Checks a history event by event, and collects the violations.
pub struct Checker<'a> {
    scenario: &'a Scenario,
    jobs: HashMap<String, JobHistory>,
    /// The specifications of jobs, by job id; `None`: the scenario has no such job.
    specs: HashMap<String, Option<JobSpec>>,
    /// The machine of each task that is on one, by job and task index.
    placed: BTreeMap<String, BTreeMap<u32, u32>>,
    /// The GPUs that the placed tasks of each team use.
    team_gpus: HashMap<String, f64>,
    replicas: Replicas<'a>,
    violations: Vec<Violation>,
}

impl<'a> Checker<'a> {
    /// Creates a checker for a history of this scenario that has no events yet.
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

    /// Checks a whole history, and returns the violations and the figures on multi-host
    /// replicas; the latter are `None` if the scenario has no such replicas.
    pub fn check_history(
        scenario: &Scenario,
        history: &[Entry],
    ) -> (Vec<Violation>, Option<ReplicaFigures>) {
        let mut checker = Checker::new(scenario);
        for entry in history {
            checker.observe(entry);
        }
        if let Some(last) = history.last() {
            checker.check_remaining_tasks(last.at_us);
            checker.replicas.finish(last.at_us);
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
            Event::CancelRequested { job } => {
                self.job(job).cancel_requested = true;
                self.replicas.record_cancellation(job);
            }
            Event::RequestCompleted {
                job,
                request,
                status,
                state,
                running,
            } => {
                self.observe_response(at_us, job, *request, *status, state);
                self.replicas.check_reported_running(at_us, job, *running);
            }
            Event::Started { task, machine } => self.observe_start(at_us, task, *machine),
            Event::Finished { task } => {
                if let Some(task) = TaskRef::parse(task) {
                    self.job(task.job.as_str()).finished.insert(task.index);
                }
            }
            Event::Left { task, machine } => self.observe_departure(at_us, task, *machine),
            Event::Lost { machines } => self.observe_lost_machines(at_us, *machines),
        }
    }

    fn job(&mut self, job: &str) -> &mut JobHistory {
        self.jobs.entry(job.to_string()).or_default()
    }

    fn observe_response(
        &mut self,
        at_us: u64,
        name: &str,
        request: UserRequest,
        status: u16,
        state: &str,
    ) {
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

    /// Returns the facts about a job that come from the scenario and from the histories of
    /// its dependencies.
    fn job_context(&mut self, at_us: u64, name: &str) -> JobContext {
        let tasks = self.spec(name).map_or(0, |spec| spec.tasks);
        let dependencies = self.all_dependencies(name);
        let limit_us = self.cancellation_limit_us();
        let cancellation_expired = |dependency: &String| {
            let cancelled_us = self.jobs.get(dependency).and_then(|job| job.cancelled_us);
            cancelled_us.is_some_and(|since_us| at_us > since_us + limit_us)
        };
        let cancel_requested = |dependency: &String| {
            self.jobs
                .get(dependency)
                .is_some_and(|job| job.cancel_requested)
        };
        JobContext {
            tasks,
            dependency_cancel_requested: dependencies.iter().any(cancel_requested),
            is_orphan: dependencies.iter().any(cancellation_expired),
        }
    }

    /// Returns the time within which the tasks of a cancelled job have to be stopped.
    fn cancellation_limit_us(&self) -> u64 {
        (self.scenario.workers.cancel_s * 1e6) as u64
    }

    fn observe_start(&mut self, at_us: u64, name: &str, machine: u32) {
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
        self.replicas.record_start(at_us, &task);
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
        self.check_cancellation_limit(at_us, &job, name);
        if !spec
            .dependencies
            .iter()
            .all(|dependency| self.is_done(dependency.as_str()))
        {
            self.add_violation(Rule::TooEarly, at_us, name);
        }
    }

    /// Returns the jobs that this job depends on, directly or through others.
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

    /// Returns whether all tasks of the job have completed.
    fn is_done(&mut self, job: &str) -> bool {
        let tasks = self.spec(job).map_or(0, |spec| spec.tasks);
        self.job(job).finished.len() as u32 >= tasks
    }

    /// Checks a task that is on a machine at `at_us`: adds a violation if its job is cancelled
    /// and the time for stopping the job's tasks has expired.
    fn check_cancellation_limit(&mut self, at_us: u64, job: &str, task: &str) {
        let limit_us = self.cancellation_limit_us();
        let cancelled_us = self.job(job).cancelled_us;
        if cancelled_us.is_some_and(|since| at_us > since + limit_us) {
            self.add_violation(Rule::RanCancelled, at_us, task);
        }
    }

    fn observe_departure(&mut self, at_us: u64, name: &str, machine: u32) {
        let Some(task) = TaskRef::parse(name) else {
            return;
        };
        let job = task.job.as_str().to_string();
        let placed = self.placed.entry(job.clone()).or_default();
        if placed.get(&task.index) != Some(&machine) {
            return;
        }
        placed.remove(&task.index);
        self.replicas.record_departure(at_us, &task);
        if let Some(spec) = self.spec(&job) {
            *self.team_gpus.entry(spec.team.to_string()).or_insert(0.0) -= spec.gpus;
        }
        self.check_cancellation_limit(at_us, &job, name);
    }

    fn observe_lost_machines(&mut self, at_us: u64, machines: MachineRange) {
        let mut lost_tasks = Vec::new();
        for (job, tasks) in &self.placed {
            let lost = tasks
                .iter()
                .filter(|(_, machine)| machines.contains(**machine));
            lost_tasks.extend(lost.map(|(task, machine)| (format!("{job}/{task}"), *machine)));
        }
        for (task, machine) in lost_tasks {
            self.observe_departure(at_us, &task, machine);
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
            self.check_cancellation_limit(at_us, &job, &format!("{job}/{task}"));
        }
    }
}

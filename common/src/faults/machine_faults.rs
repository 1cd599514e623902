//! The evidence against a machine, and the pauses between the probes of a cordoned one.

use crate::ids::JobId;
use crate::waiting::MAX_WAIT_MS;
use std::collections::BTreeSet;

/// The number of failed tasks after which a machine is cordoned. Two tasks of one job
/// are enough, because on a faulty machine all tasks of a job fail.
const FAILURES_TO_CORDON: usize = 2;

/// The pause before the first probe of a cordoned machine, in heartbeat intervals.
const FIRST_PAUSE_INTERVALS: u64 = 2;

/// The pause doubles with every failed probe, at most this many times.
const MAX_PAUSE_DOUBLINGS: u32 = 16;

/// The longest pause between two probes.
const MAX_PAUSE_MS: u64 = MAX_WAIT_MS / 6;

/// What is wrong with a task that is evidence against its machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum FailureKind {
    /// It failed.
    Failed,
    /// It completed, but ran far too slowly.
    Slow,
}

/// A task that is evidence against its machine.
#[derive(Clone, Copy, Debug)]
pub struct TaskFailure<'a> {
    /// What is wrong with the task.
    pub kind: FailureKind,
    /// The task's job.
    pub job: &'a JobId,
    /// Whether other tasks of the job have succeeded.
    pub job_succeeds: bool,
    /// When the task's start command was first sent; `None`: not by this leader.
    pub started_ms: Option<u64>,
    /// When the leader learned of the failure.
    pub now_ms: u64,
    /// The workers' heartbeat interval.
    pub heartbeat_interval_ms: u64,
}

/// The failed tasks that are evidence of a faulty machine. A machine with enough evidence is
/// cordoned: it gets single probes, with growing pauses between them. A task that succeeds and
/// was started after the last failure clears the evidence. One that was started before says
/// nothing about failures: a faulty machine fails the tasks that it starts. But it shows that the
/// machine isn't too slow.
#[derive(Clone, Debug, Default)]
pub struct MachineFaults {
    /// The job of each task that failed on the machine.
    failed_jobs: Vec<JobId>,
    /// Whether one of `failed_jobs` has succeeded elsewhere, which rules the job out as
    /// the cause.
    job_succeeded_elsewhere: bool,
    /// Whether a task ran far too slowly, which a running task doesn't contradict.
    has_slow_task: bool,
    /// When a task last failed; tasks that ran too slowly don't count.
    last_failure_ms: Option<u64>,
    probes: ProbePauses,
}

/// The pauses between the probes of a cordoned machine.
#[derive(Clone, Copy, Debug, Default)]
struct ProbePauses {
    /// How often the pause has been doubled. Outlasts a cordon, so that a machine that fails
    /// again isn't fed again from the beginning.
    doublings: u32,
    /// When the pause was last set. Only a task that was started later is a probe.
    set_ms: u64,
    due_ms: u64,
    /// When the last probe was placed; `None`: not since the cordon.
    placed_ms: Option<u64>,
}

impl ProbePauses {
    /// Begins the next pause, and doubles the one after it.
    fn begin(&mut self, now_ms: u64, heartbeat_interval_ms: u64) {
        self.set_ms = now_ms;
        self.placed_ms = None;
        self.due_ms = now_ms + self.pause_ms(heartbeat_interval_ms);
        self.doublings = (self.doublings + 1).min(MAX_PAUSE_DOUBLINGS);
    }

    fn pause_ms(&self, heartbeat_interval_ms: u64) -> u64 {
        let first_ms = heartbeat_interval_ms * FIRST_PAUSE_INTERVALS;
        (first_ms << self.doublings).min(MAX_PAUSE_MS)
    }
}

impl MachineFaults {
    /// Records the failure of a task, and cordons the machine if there is enough evidence.
    /// Returns whether the machine has just been cordoned. A failed probe makes the next pause
    /// longer.
    pub fn record_failure(&mut self, failure: TaskFailure) -> bool {
        let was_suspect = self.is_suspect();
        self.failed_jobs.push(failure.job.clone());
        self.job_succeeded_elsewhere |= failure.job_succeeds;
        self.has_slow_task |= failure.kind == FailureKind::Slow;
        if failure.kind == FailureKind::Failed {
            self.last_failure_ms = Some(failure.now_ms);
        }
        let is_failed_probe = was_suspect && failure.started_ms > Some(self.probes.set_ms);
        let is_cordoned = self.is_suspect() && !was_suspect;
        if is_cordoned || is_failed_probe {
            self.probes
                .begin(failure.now_ms, failure.heartbeat_interval_ms);
        }
        is_cordoned
    }

    /// Clears the evidence because a task completed on the machine.
    pub fn record_success(&mut self) {
        *self = MachineFaults::default();
    }

    /// Clears the evidence because a probe runs. Should the machine fail tasks again, the pauses
    /// go on from where they were.
    pub fn record_running_probe(&mut self) {
        *self = MachineFaults {
            probes: self.probes,
            ..MachineFaults::default()
        };
    }

    /// Returns whether there is evidence that a task contradicts by its completion. `started_ms`
    /// is when its start command was first sent.
    pub fn is_contradicted_by_completion(&self, started_ms: Option<u64>) -> bool {
        let started_after_failures = self
            .last_failure_ms
            .is_none_or(|failed_ms| started_ms > Some(failed_ms));
        !self.failed_jobs.is_empty() && started_after_failures
    }

    /// Returns whether there is evidence that a task contradicts because it has been running for a
    /// while.
    pub fn is_contradicted_by_running(&self, started_ms: Option<u64>) -> bool {
        !self.has_slow_task && self.is_contradicted_by_completion(started_ms)
    }

    /// Returns the jobs whose failures alone would have cordoned the machine.
    pub fn cordoning_jobs(&self) -> BTreeSet<JobId> {
        let failures = |job: &JobId| {
            self.failed_jobs
                .iter()
                .filter(|failed| *failed == job)
                .count()
        };
        self.failed_jobs
            .iter()
            .filter(|job| failures(job) >= FAILURES_TO_CORDON)
            .cloned()
            .collect()
    }

    /// Discards the failures of a job that turned out to be faulty itself or that ended
    /// without success.
    pub fn discard_failures_of(&mut self, job: &JobId) {
        self.failed_jobs.retain(|failed| failed != job);
        if self.failed_jobs.is_empty() {
            self.job_succeeded_elsewhere = false;
            self.has_slow_task = false;
            self.last_failure_ms = None;
        }
    }

    /// Records that a task of the job succeeded on another machine. Has no effect if the
    /// job hasn't failed on this machine.
    pub fn record_success_elsewhere(&mut self, job: &JobId) {
        self.job_succeeded_elsewhere |= self.failed_jobs.contains(job);
    }

    /// Returns whether the machine is cordoned, so that it gets no tasks but probes.
    pub fn is_suspect(&self) -> bool {
        self.failed_jobs.len() >= FAILURES_TO_CORDON
    }

    /// Returns whether the machine should be released: it is suspect, and no single job
    /// explains the failures.
    pub fn is_faulty(&self) -> bool {
        self.is_suspect() && (self.job_succeeded_elsewhere || self.have_several_jobs_failed())
    }

    /// Returns whether a cordoned machine may get a task of this job as a probe now.
    pub fn allows_probe(&self, job: &JobId, now_ms: u64) -> bool {
        let is_due = now_ms >= self.probes.due_ms;
        // Tasks that are placed in the same turn, such as those of a gang, form one probe.
        let is_same_probe = self.probes.placed_ms == Some(now_ms);
        // The failures of a single job may be its own fault, so the first probe by another job
        // needn't wait.
        let is_first_of_others = self.probes.placed_ms.is_none()
            && !self.failed_jobs.contains(job)
            && !self.have_several_jobs_failed();
        self.is_suspect() && (is_due || is_same_probe || is_first_of_others)
    }

    fn have_several_jobs_failed(&self) -> bool {
        self.failed_jobs
            .iter()
            .any(|job| *job != self.failed_jobs[0])
    }

    /// Records that a probe was placed on the cordoned machine. The next one isn't due before the
    /// pause that a failure would cause, whatever becomes of this one.
    pub fn record_probe(&mut self, now_ms: u64, heartbeat_interval_ms: u64) {
        self.probes.placed_ms = Some(now_ms);
        self.probes.due_ms = now_ms + self.probes.pause_ms(heartbeat_interval_ms);
    }
}

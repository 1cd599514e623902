//! Follows the multi-host replicas in the history of a load test: measures how long
//! incomplete replicas take to be repaired, and checks the rules on incomplete replicas.

use crate::checker::{Rule, Violation};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use lilacfork::ids::TaskRef;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The maximum age of the number of running tasks that is reported to users, in heartbeat
/// intervals. A machine counts as unresponsive after three intervals, its last heartbeat
/// may be up to one interval older, and the rest is for messages between controllers.
const MAX_REPORTED_AGE_INTERVALS: f64 = 5.0;
/// The remaining tasks of an incomplete replica have to be stopped within this many leases
/// plus [`MAX_INCOMPLETE_INTERVALS`] heartbeat intervals. A leader declares a machine
/// failed after most of a lease; if that leader is lost, the next one waits for as long
/// again. The remaining tasks are stopped with the next heartbeat.
const MAX_INCOMPLETE_LEASES: f64 = 2.0;
const MAX_INCOMPLETE_INTERVALS: f64 = 4.0;

/// Figures on multi-host replicas.
#[derive(Clone, PartialEq, Default, Debug, Serialize)]
pub struct ReplicaFigures {
    /// The number of replicas that were complete at some time.
    pub seen: u64,
    /// How many times a replica lost a task and was complete again later.
    pub repaired: u64,
    /// The median time of a repair, from the loss of the task until the replica is complete
    /// again, in seconds.
    pub repair_p50_s: f64,
    /// The 99th percentile of the repair times, in seconds.
    pub repair_p99_s: f64,
    /// The longest repair time, in seconds.
    #[serde(rename = "repair_most_s")]
    pub repair_max_s: f64,
    /// The number of replicas that had lost a task and were not complete again when the
    /// history ended.
    pub incomplete_at_end: u64,
    /// The GPU seconds that the remaining tasks of incomplete replicas spent on machines.
    #[serde(rename = "alone_gpu_s")]
    pub incomplete_gpu_s: f64,
    /// The longest time for which remaining tasks of an incomplete replica were on
    /// machines, in seconds.
    #[serde(rename = "alone_most_s")]
    pub incomplete_max_s: f64,
}

impl fmt::Display for ReplicaFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "replicas: {} seen, {} repaired, from loss to complete p50 {:.1} s, p99 {:.1} s, most {:.1} s; {} incomplete at the end; left incomplete: {:.0} GPU s, {:.1} s at most",
            self.seen,
            self.repaired,
            self.repair_p50_s,
            self.repair_p99_s,
            self.repair_max_s,
            self.incomplete_at_end,
            self.incomplete_gpu_s,
            self.incomplete_max_s
        )
    }
}

/// A period in which only some of the tasks of a replica are on machines.
#[derive(Clone, Copy)]
struct IncompletePeriod {
    since_us: u64,
    /// The end of the time that is already included in
    /// [`ReplicaFigures::incomplete_gpu_s`].
    counted_us: u64,
}

/// The state of one replica, as far as the history has been read.
#[derive(Default)]
struct Replica {
    /// The indexes of the replica's tasks that are on machines.
    on_machines: BTreeSet<u32>,
    complete: bool,
    /// The last time at which the replica became or ceased to be complete; `None`: it was
    /// never complete.
    complete_until_us: Option<u64>,
    /// When the replica lost a task; `None`: the replica is complete again, has lost none, or
    /// a user requested the cancellation of its job.
    lost_us: Option<u64>,
    /// The period from a loss until none or all of the replica's tasks are on machines.
    incomplete: Option<IncompletePeriod>,
}

impl Replica {
    /// Records that all tasks of the replica are on machines, and returns when it had lost
    /// one.
    fn completed(&mut self, at_us: u64) -> Option<u64> {
        self.complete = true;
        self.complete_until_us = Some(at_us);
        self.lost_us.take()
    }

    /// Records that not all tasks of the replica are on machines. If the replica was
    /// complete until now and its job is not cancelled, an incomplete period starts.
    fn lost_task(&mut self, at_us: u64, is_cancelled: bool) {
        if !std::mem::take(&mut self.complete) {
            return;
        }
        self.complete_until_us = Some(at_us);
        if !is_cancelled {
            self.lost_us = Some(at_us);
            self.incomplete = Some(IncompletePeriod {
                since_us: at_us,
                counted_us: at_us,
            });
        }
    }
}

/// The replicas of all jobs with multi-host replicas, by job and replica number.
pub(crate) struct Replicas<'a> {
    scenario: &'a Scenario,
    jobs: BTreeMap<String, BTreeMap<u32, Replica>>,
    cancelled: BTreeSet<String>,
    repairs_ms: Option<Histogram<u64>>,
    figures: ReplicaFigures,
    violations: Vec<Violation>,
}

impl<'a> Replicas<'a> {
    pub(crate) fn new(scenario: &'a Scenario) -> Replicas<'a> {
        Replicas {
            scenario,
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            repairs_ms: Histogram::new(3).ok(),
            figures: ReplicaFigures::default(),
            violations: Vec::new(),
        }
    }

    /// Records that a user requested the job's cancellation. From then on tasks that leave
    /// their machines do not count as lost.
    pub(crate) fn record_cancellation(&mut self, job: &str) {
        self.cancelled.insert(job.to_string());
        for replica in self
            .jobs
            .get_mut(job)
            .into_iter()
            .flat_map(|r| r.values_mut())
        {
            replica.lost_us = None;
            replica.incomplete = None;
        }
    }

    /// Records that a task started.
    pub(crate) fn record_start(&mut self, at_us: u64, task: &TaskRef) {
        self.update_replica(at_us, task, |on_machines, index| {
            on_machines.insert(index);
        });
    }

    /// Records that a task has left its machine.
    pub(crate) fn record_departure(&mut self, at_us: u64, task: &TaskRef) {
        self.update_replica(at_us, task, |on_machines, index| {
            on_machines.remove(&index);
        });
    }

    /// Updates which tasks of the task's replica are on machines, and the figures that
    /// follow from them.
    fn update_replica(
        &mut self,
        at_us: u64,
        task: &TaskRef,
        update: impl FnOnce(&mut BTreeSet<u32>, u32),
    ) {
        let job = task.job.as_str();
        let Some(size) = self.scenario.tasks_per_replica(job) else {
            return;
        };
        let gpus = self.scenario.job(job).map_or(0.0, |spec| spec.gpus);
        let is_cancelled = self.cancelled.contains(job);
        let replicas = self.jobs.entry(job.to_string()).or_default();
        let replica = replicas.entry(task.index / size).or_default();
        let count_before = replica.on_machines.len();
        update(&mut replica.on_machines, task.index);
        let count = replica.on_machines.len();
        if count == count_before {
            return;
        }
        if let Some(period) = &mut replica.incomplete {
            let counted_us = at_us.saturating_sub(period.counted_us);
            self.figures.incomplete_gpu_s += gpus * count_before as f64 * counted_us as f64 / 1e6;
            period.counted_us = at_us;
        }
        if count == size as usize {
            self.figures.seen += u64::from(replica.complete_until_us.is_none());
            if let Some(lost_us) = replica.completed(at_us) {
                self.figures.repaired += 1;
                if let Some(histogram) = &mut self.repairs_ms {
                    let _ = histogram.record(at_us.saturating_sub(lost_us) / 1000);
                }
            }
        } else {
            replica.lost_task(at_us, is_cancelled);
        }
        if count == 0 || count == size as usize {
            if let Some(period) = replica.incomplete.take() {
                self.end_incomplete(at_us, period, job);
            }
        }
    }

    /// Ends a period in which a replica was incomplete, and checks its length.
    fn end_incomplete(&mut self, at_us: u64, period: IncompletePeriod, job: &str) {
        let workers = &self.scenario.workers;
        let max_s =
            workers.lease_s * MAX_INCOMPLETE_LEASES + workers.report_s * MAX_INCOMPLETE_INTERVALS;
        let incomplete_s = at_us.saturating_sub(period.since_us) as f64 / 1e6;
        self.figures.incomplete_max_s = self.figures.incomplete_max_s.max(incomplete_s);
        if incomplete_s > max_s {
            self.add_violation(Rule::LeftAlone, at_us, job);
        }
    }

    /// Checks the number of running tasks in a response to a user: it has to consist of
    /// whole replicas that are complete or were so within the maximum age of a report.
    pub(crate) fn check_reported_running(&mut self, at_us: u64, job: &str, running: Option<u32>) {
        let (Some(running), Some(size)) = (running, self.scenario.tasks_per_replica(job)) else {
            return;
        };
        let max_age_us = (self.scenario.workers.report_s * MAX_REPORTED_AGE_INTERVALS * 1e6) as u64;
        let was_complete_recently = |replica: &&Replica| {
            let until_us = replica.complete_until_us;
            replica.complete || until_us.is_some_and(|until| at_us <= until + max_age_us)
        };
        let replicas = self.jobs.get(job).into_iter().flat_map(BTreeMap::values);
        let complete = replicas.filter(was_complete_recently).count() as u32;
        if !running.is_multiple_of(size) || running > complete * size {
            self.add_violation(Rule::IncompleteServes, at_us, job);
        }
    }

    fn add_violation(&mut self, rule: Rule, at_us: u64, what: &str) {
        self.violations.push(Violation {
            rule,
            at_us,
            what: what.to_string(),
        });
    }

    /// Ends all incomplete periods at the time at which the history ends.
    pub(crate) fn finish(&mut self, at_us: u64) {
        let mut unfinished = Vec::new();
        for (job, replicas) in &mut self.jobs {
            for replica in replicas.values_mut() {
                self.figures.incomplete_at_end += u64::from(replica.lost_us.is_some());
                unfinished.extend(
                    replica
                        .incomplete
                        .take()
                        .map(|incomplete| (job.clone(), incomplete)),
                );
            }
        }
        for (job, incomplete) in unfinished {
            self.end_incomplete(at_us, incomplete, &job);
        }
    }

    /// Returns the violations found so far, or none if the scenario repairs each task of a
    /// replica independently: the rules on replicas do not apply then.
    pub(crate) fn take_violations(&mut self) -> Vec<Violation> {
        let violations = std::mem::take(&mut self.violations);
        if self.scenario.ungrouped_replicas {
            return Vec::new();
        }
        violations
    }

    /// Returns the figures; `None`: the scenario has no multi-host replicas.
    pub(crate) fn figures(&self) -> Option<ReplicaFigures> {
        if self
            .scenario
            .classes
            .iter()
            .all(|class| class.tasks_per_replica == 0)
        {
            return None;
        }
        let mut figures = self.figures.clone();
        if let Some(histogram) = &self.repairs_ms {
            let seconds = |ms: u64| ms as f64 / 1000.0;
            figures.repair_p50_s = seconds(histogram.value_at_quantile(0.5));
            figures.repair_p99_s = seconds(histogram.value_at_quantile(0.99));
            figures.repair_max_s = seconds(histogram.max());
        }
        Some(figures)
    }
}

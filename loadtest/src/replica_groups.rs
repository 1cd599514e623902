//! Multi-host replicas in the history: when they were complete, and whether the rules
//! on incomplete ones were kept.

use crate::checker::{Rule, Violation};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use lilacfork::ids::TaskRef;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What users are told may be so many heartbeat intervals old: a machine counts as
/// unresponsive after three, and its last heartbeat was up to one older; the rest is
/// for messages between controllers.
const MAX_REPORTED_AGE_INTERVALS: f64 = 5.0;
/// The remaining tasks of an incomplete replica have to be stopped within so many leases
/// and heartbeat intervals: a machine is declared failed after most of a lease, once
/// more by the next leader if the first one is lost, and the others are stopped with
/// the next heartbeat.
const MAX_INCOMPLETE_LEASES: f64 = 2.0;
const MAX_INCOMPLETE_INTERVALS: f64 = 4.0;

/// Figures on multi-host replicas.
#[derive(Clone, PartialEq, Default, Debug, Serialize)]
pub struct ReplicaFigures {
    /// Replicas that were complete at some time.
    pub seen: u64,
    /// Replicas that lost a task and were complete again.
    pub repaired: u64,
    /// From the loss to being complete again, in seconds: half of them.
    pub repair_p50_s: f64,
    /// All but one in a hundred.
    pub repair_p99_s: f64,
    /// The longest.
    #[serde(rename = "repair_most_s")]
    pub repair_max_s: f64,
    /// Replicas that had lost a task and weren't complete again at the end.
    pub incomplete_at_end: u64,
    /// GPU seconds that size of replicas that had lost others were on machines.
    #[serde(rename = "alone_gpu_s")]
    pub incomplete_gpu_s: f64,
    /// The longest time for which such size were.
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

/// A time during which only some of a replica's tasks are on machines.
#[derive(Clone, Copy)]
struct IncompletePeriod {
    since_us: u64,
    /// Up to when the time was counted.
    counted_us: u64,
}

/// One replica.
#[derive(Default)]
struct Replica {
    on_machines: BTreeSet<u32>,
    complete: bool,
    /// Until when it has been complete, if it ever was.
    complete_until_us: Option<u64>,
    /// When it lost a task, unless it is complete again.
    lost_us: Option<u64>,
    /// From a loss until none of its tasks is on a machine, or all are.
    incomplete: Option<IncompletePeriod>,
}

impl Replica {
    /// All of its tasks are on machines; returns when it had lost one.
    fn completed(&mut self, at_us: u64) -> Option<u64> {
        self.complete = true;
        self.complete_until_us = Some(at_us);
        self.lost_us.take()
    }

    /// Not all of its tasks are on machines.
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

/// The replicas of all jobs with multi-host replicas.
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

    /// A user cancels the job: what happens to its replicas from then on isn't a loss.
    pub(crate) fn cancelled(&mut self, job: &str) {
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

    /// A task runs.
    pub(crate) fn started(&mut self, at_us: u64, task: &TaskRef) {
        self.change(at_us, task, |on_machines, index| {
            on_machines.insert(index);
        });
    }

    /// A task has left its machine.
    pub(crate) fn left(&mut self, at_us: u64, task: &TaskRef) {
        self.change(at_us, task, |on_machines, index| {
            on_machines.remove(&index);
        });
    }

    fn change(&mut self, at_us: u64, task: &TaskRef, change: impl FnOnce(&mut BTreeSet<u32>, u32)) {
        let job = task.job.as_str();
        let Some(size) = self.scenario.tasks_per_replica(job) else {
            return;
        };
        let gpus = self.scenario.job(job).map_or(0.0, |spec| spec.gpus);
        let is_cancelled = self.cancelled.contains(job);
        let replicas = self.jobs.entry(job.to_string()).or_default();
        let replica = replicas.entry(task.index / size).or_default();
        let before = replica.on_machines.len();
        change(&mut replica.on_machines, task.index);
        let now = replica.on_machines.len();
        if now == before {
            return;
        }
        if let Some(period) = &mut replica.incomplete {
            let counted_us = at_us.saturating_sub(period.counted_us);
            self.figures.incomplete_gpu_s += gpus * before as f64 * counted_us as f64 / 1e6;
            period.counted_us = at_us;
        }
        if now == size as usize {
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
        if now == 0 || now == size as usize {
            if let Some(period) = replica.incomplete.take() {
                self.end_incomplete(at_us, period, job);
            }
        }
    }

    /// Only some of a replica's tasks were on machines up to now.
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

    /// A user is told that so many of the job's tasks run.
    pub(crate) fn reported_running(&mut self, at_us: u64, job: &str, running: Option<u32>) {
        let (Some(running), Some(size)) = (running, self.scenario.tasks_per_replica(job)) else {
            return;
        };
        let lag_us = (self.scenario.workers.report_s * MAX_REPORTED_AGE_INTERVALS * 1e6) as u64;
        let lately = |replica: &&Replica| {
            let until_us = replica.complete_until_us;
            replica.complete || until_us.is_some_and(|until| at_us <= until + lag_us)
        };
        let replicas = self.jobs.get(job).into_iter().flat_map(BTreeMap::values);
        let complete = replicas.filter(lately).count() as u32;
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

    /// The history ends here.
    pub(crate) fn end(&mut self, at_us: u64) {
        let mut left = Vec::new();
        for (job, replicas) in &mut self.jobs {
            for replica in replicas.values_mut() {
                self.figures.incomplete_at_end += u64::from(replica.lost_us.is_some());
                left.extend(
                    replica
                        .incomplete
                        .take()
                        .map(|incomplete| (job.clone(), incomplete)),
                );
            }
        }
        for (job, incomplete) in left {
            self.end_incomplete(at_us, incomplete, &job);
        }
    }

    /// What broke rules. Where size are repaired incomplete there is nothing to judge.
    pub(crate) fn take_violations(&mut self) -> Vec<Violation> {
        let violations = std::mem::take(&mut self.violations);
        if self.scenario.ungrouped_replicas {
            return Vec::new();
        }
        violations
    }

    /// `None`: the scenario has no such replicas.
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

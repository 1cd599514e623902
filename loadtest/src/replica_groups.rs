//! Replicas that span machines, as the history shows them: which were complete
//! when, and whether what was said and done about the others keeps the rules.

use crate::checker::{Broken, Rule};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use lilacfork::ids::TaskRef;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What users are told may be so many report intervals old: a machine counts as
/// silent after three, and its last report was up to one older; the rest is the
/// controllers' own messages.
const SAID_REPORTS: f64 = 5.0;
/// What is left of a replica has to be off its machines within so many leases and
/// report intervals: a machine is given up after most of a lease, once more by the
/// next leader if the first one ends, and the others are stopped by the next
/// report.
const ALONE_LEASES: f64 = 2.0;
const ALONE_REPORTS: f64 = 4.0;

/// Replicas that span machines, in figures.
#[derive(Clone, PartialEq, Default, Debug, Serialize)]
pub struct ReplicaFigures {
    /// Replicas that were complete at some time.
    pub seen: u64,
    /// Replicas that lost a part and were complete again.
    pub repaired: u64,
    /// From the loss to being complete again, in seconds: half of them.
    pub repair_p50_s: f64,
    /// All but one in a hundred.
    pub repair_p99_s: f64,
    /// The longest.
    pub repair_most_s: f64,
    /// Replicas that had lost a part and weren't complete again at the end.
    pub incomplete_at_end: u64,
    /// GPU seconds that parts of replicas that had lost others were on machines.
    pub alone_gpu_s: f64,
    /// The longest time for which such parts were.
    pub alone_most_s: f64,
}

impl fmt::Display for ReplicaFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "replicas: {} seen, {} repaired, from loss to complete p50 {:.1} s, p99 {:.1} s, most {:.1} s; {} incomplete at the end; left alone: {:.0} GPU s, {:.1} s at most",
            self.seen,
            self.repaired,
            self.repair_p50_s,
            self.repair_p99_s,
            self.repair_most_s,
            self.incomplete_at_end,
            self.alone_gpu_s,
            self.alone_most_s
        )
    }
}

/// Parts that are on machines while others are lost.
#[derive(Clone, Copy)]
struct Alone {
    since_us: u64,
    /// Up to when the time was counted.
    counted_us: u64,
}

/// One replica.
#[derive(Default)]
struct Replica {
    on_machines: BTreeSet<u32>,
    complete: bool,
    /// When it was complete last, if it was.
    complete_until_us: Option<u64>,
    /// When it lost a part; it isn't complete again yet.
    lost_us: Option<u64>,
    /// From a loss until none of its parts is on a machine, or all are.
    alone: Option<Alone>,
}

/// All replicas of jobs that have such.
pub(crate) struct Replicas<'a> {
    scenario: &'a Scenario,
    jobs: BTreeMap<String, BTreeMap<u32, Replica>>,
    cancelled: BTreeSet<String>,
    repairs_ms: Option<Histogram<u64>>,
    figures: ReplicaFigures,
    broken: Vec<Broken>,
}

impl<'a> Replicas<'a> {
    pub(crate) fn new(scenario: &'a Scenario) -> Replicas<'a> {
        Replicas {
            scenario,
            jobs: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            repairs_ms: Histogram::new(3).ok(),
            figures: ReplicaFigures::default(),
            broken: Vec::new(),
        }
    }

    /// A user wants the job ended: what happens to its replicas from then on is no
    /// loss.
    pub(crate) fn cancelled(&mut self, job: &str) {
        self.cancelled.insert(job.to_string());
        for replica in self
            .jobs
            .get_mut(job)
            .into_iter()
            .flat_map(|r| r.values_mut())
        {
            replica.lost_us = None;
            replica.alone = None;
        }
    }

    /// A task runs.
    pub(crate) fn started(&mut self, at_us: u64, task: &TaskRef) {
        self.change(at_us, task, |on_machines, index| {
            on_machines.insert(index);
        });
    }

    /// A task is on its machine no longer.
    pub(crate) fn left(&mut self, at_us: u64, task: &TaskRef) {
        self.change(at_us, task, |on_machines, index| {
            on_machines.remove(&index);
        });
    }

    fn change(&mut self, at_us: u64, task: &TaskRef, change: impl FnOnce(&mut BTreeSet<u32>, u32)) {
        let job = task.job.as_str();
        let Some(parts) = self.scenario.parts(job) else {
            return;
        };
        let gpus = self.scenario.job(job).map_or(0.0, |spec| spec.gpus);
        let replicas = self.jobs.entry(job.to_string()).or_default();
        let replica = replicas.entry(task.index / parts).or_default();
        let before = replica.on_machines.len();
        change(&mut replica.on_machines, task.index);
        let now = replica.on_machines.len();
        if now == before {
            return;
        }
        if let Some(alone) = &mut replica.alone {
            let counted_us = at_us.saturating_sub(alone.counted_us);
            self.figures.alone_gpu_s += gpus * before as f64 * counted_us as f64 / 1e6;
            alone.counted_us = at_us;
        }
        if now == parts as usize {
            self.figures.seen += u64::from(replica.complete_until_us.is_none());
            replica.complete = true;
            replica.complete_until_us = Some(at_us);
            if let Some(lost_us) = replica.lost_us.take() {
                self.figures.repaired += 1;
                if let Some(histogram) = &mut self.repairs_ms {
                    let _ = histogram.record(at_us.saturating_sub(lost_us) / 1000);
                }
            }
        } else if std::mem::take(&mut replica.complete) {
            replica.complete_until_us = Some(at_us);
            if !self.cancelled.contains(job) {
                replica.lost_us = Some(at_us);
                replica.alone = Some(Alone {
                    since_us: at_us,
                    counted_us: at_us,
                });
            }
        }
        if now == 0 || now == parts as usize {
            if let Some(alone) = replica.alone.take() {
                self.alone_ends(at_us, alone, task.job.as_str());
            }
        }
    }

    /// Parts were alone up to now.
    fn alone_ends(&mut self, at_us: u64, alone: Alone, job: &str) {
        let workers = &self.scenario.workers;
        let most_s = workers.lease_s * ALONE_LEASES + workers.report_s * ALONE_REPORTS;
        let alone_s = at_us.saturating_sub(alone.since_us) as f64 / 1e6;
        self.figures.alone_most_s = self.figures.alone_most_s.max(alone_s);
        if alone_s > most_s {
            self.breaks(Rule::LeftAlone, at_us, job);
        }
    }

    /// A user was told that so many of the job's tasks run.
    pub(crate) fn said(&mut self, at_us: u64, job: &str, running: Option<u32>) {
        let (Some(running), Some(parts)) = (running, self.scenario.parts(job)) else {
            return;
        };
        let lag_us = (self.scenario.workers.report_s * SAID_REPORTS * 1e6) as u64;
        let lately = |replica: &&Replica| {
            let until_us = replica.complete_until_us;
            replica.complete || until_us.is_some_and(|until| at_us <= until + lag_us)
        };
        let replicas = self.jobs.get(job).into_iter().flat_map(BTreeMap::values);
        let complete = replicas.filter(lately).count() as u32;
        if !running.is_multiple_of(parts) || running > complete * parts {
            self.breaks(Rule::IncompleteServes, at_us, job);
        }
    }

    fn breaks(&mut self, rule: Rule, at_us: u64, what: &str) {
        self.broken.push(Broken {
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
                left.extend(replica.alone.take().map(|alone| (job.clone(), alone)));
            }
        }
        for (job, alone) in left {
            self.alone_ends(at_us, alone, &job);
        }
    }

    /// What broke rules. Where parts are repaired alone there is nothing to judge.
    pub(crate) fn take_broken(&mut self) -> Vec<Broken> {
        let broken = std::mem::take(&mut self.broken);
        if self.scenario.parts_alone {
            return Vec::new();
        }
        broken
    }

    /// `None`: the scenario has no such replicas.
    pub(crate) fn figures(&self) -> Option<ReplicaFigures> {
        if self.scenario.classes.iter().all(|class| class.parts == 0) {
            return None;
        }
        let mut figures = self.figures.clone();
        if let Some(histogram) = &self.repairs_ms {
            let seconds = |ms: u64| ms as f64 / 1000.0;
            figures.repair_p50_s = seconds(histogram.value_at_quantile(0.5));
            figures.repair_p99_s = seconds(histogram.value_at_quantile(0.99));
            figures.repair_most_s = seconds(histogram.max());
        }
        Some(figures)
    }
}

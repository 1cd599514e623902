//! Computes the figures of a load test and writes them as a table or as JSON.

use crate::checker::{Rule, Violation};
use crate::control::Stats;
use crate::failover::Failover;
use crate::history::{Entry, Event};
use crate::process_stats::ProcessUsage;
use crate::replica_groups::ReplicaFigures;
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use lilacfork::ids::TaskRef;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::{self, Write};

/// How long the tasks of a class waited, from the first submission of their job to their
/// first start.
#[derive(Clone, Default, Debug, Serialize)]
pub struct WaitFigures {
    /// The number of tasks that started.
    pub tasks: u64,
    /// The median waiting time, in seconds.
    pub p50_s: f64,
    /// The 99th percentile of the waiting times, in seconds.
    pub p99_s: f64,
    /// The longest waiting time, in seconds.
    #[serde(rename = "most_s")]
    pub max_s: f64,
    /// The share of all tasks that started within the class's service-level objective; all
    /// that started, if the class has none.
    #[serde(rename = "in_time")]
    pub share_within_objective: f64,
    /// The number of tasks submitted within the measured time that had not started when the
    /// history ended.
    pub not_started: u64,
}

/// The figures of all processes with the same role.
#[derive(Clone, Default, Debug, Serialize)]
pub struct RoleFigures {
    /// The number of processes.
    pub processes: usize,
    /// The mean number of cores that all processes together used.
    pub cores_mean: f64,
    /// The largest mean number of cores that one process used.
    pub busiest_mean: f64,
    /// The largest number of cores that one process used in about a second, the interval
    /// between two samples.
    #[serde(rename = "busiest_most")]
    pub busiest_max: f64,
    /// The resident memory of the largest process, in MB.
    pub resident_mb: f64,
    /// The largest number of sockets of one process.
    pub sockets: usize,
    /// Messages per second that all processes together received and sent; 0 for roles that
    /// don't count messages, such as controllers.
    pub messages_per_s: [f64; 2],
    /// Bytes per second that all processes together received and sent; 0 for roles that
    /// don't count them.
    pub bytes_per_s: [f64; 2],
}

/// The report on a load test.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The number of workers that were up at the start.
    pub workers: u32,
    /// The number of controllers.
    pub controllers: u32,
    /// The length of the measured time, in seconds.
    pub measured_s: f64,
    /// The figures of the processes, by role.
    pub roles: BTreeMap<String, RoleFigures>,
    /// Task starts per second: the mean, and the number in the best second.
    pub starts_per_s: [f64; 2],
    /// The number of tasks running at the end of the measured time.
    pub tasks_running: f64,
    /// The figures of multi-host replicas; `None`: the scenario has none.
    pub replicas: Option<ReplicaFigures>,
    /// The waiting times of tasks, by the class of their job.
    pub waits: BTreeMap<String, WaitFigures>,
    /// Messages per second that one worker receives and sends, on average.
    pub worker_messages_per_s: f64,
    /// Bytes per second that one worker receives and sends, on average.
    pub worker_bytes_per_s: f64,
    /// The simulators' counters at the end of the measured time, as `kind name`.
    pub counters: BTreeMap<String, f64>,
    /// The failovers that injected faults caused.
    #[serde(rename = "takeovers")]
    pub failovers: Vec<Failover>,
    /// How the last leader used its processor time: the last `usage` line in its log.
    pub leader_usage: String,
    /// The number of elections that the controllers' logs report.
    pub elections: usize,
    /// The number of violations of each rule; empty: no rule was violated.
    #[serde(rename = "broken")]
    pub violations: BTreeMap<Rule, usize>,
    /// The violations that were found first, at most five.
    #[serde(rename = "first_broken")]
    pub first_violations: Vec<Violation>,
}

/// Combines the resource usage of the processes of one role with their message counters at
/// the beginning and at the end of the measured time.
pub fn role_figures(
    used: &[ProcessUsage],
    before: &[Stats],
    after: &[Stats],
    measured_s: f64,
) -> RoleFigures {
    let mut role = RoleFigures {
        processes: used.len(),
        ..RoleFigures::default()
    };
    for process in used {
        role.cores_mean += process.cores_mean;
        role.busiest_mean = role.busiest_mean.max(process.cores_mean);
        role.busiest_max = role.busiest_max.max(process.cores_max);
        role.resident_mb = role.resident_mb.max(process.resident_mb);
        role.sockets = role.sockets.max(process.sockets);
    }
    for (old, new) in before.iter().zip(after) {
        let per_s = |old: u64, new: u64| new.saturating_sub(old) as f64 / measured_s;
        role.messages_per_s[0] += per_s(old.traffic.messages_in, new.traffic.messages_in);
        role.messages_per_s[1] += per_s(old.traffic.messages_out, new.traffic.messages_out);
        role.bytes_per_s[0] += per_s(old.traffic.bytes_in, new.traffic.bytes_in);
        role.bytes_per_s[1] += per_s(old.traffic.bytes_out, new.traffic.bytes_out);
    }
    role
}

/// Returns the task starts per second between two times, in microseconds since 1970: the
/// mean, and the number in the best second.
pub fn starts_per_s(history: &[Entry], from_us: u64, to_us: u64) -> [f64; 2] {
    let mut by_second: HashMap<u64, u64> = HashMap::new();
    let mut total: u64 = 0;
    let started = history
        .iter()
        .filter(|entry| (from_us..to_us).contains(&entry.at_us))
        .filter(|entry| matches!(entry.event, Event::Started { .. }));
    for entry in started {
        let second = (entry.at_us - from_us) / 1_000_000;
        *by_second.entry(second).or_insert(0) += 1;
        total += 1;
    }
    let seconds = (to_us.saturating_sub(from_us) as f64 / 1e6).max(1e-3);
    let best = by_second.values().copied().max().unwrap_or(0);
    [total as f64 / seconds, best as f64]
}

/// Returns how long the tasks of jobs submitted between two times waited, by class. The
/// times are in microseconds since 1970.
pub fn wait_figures_by_class(
    scenario: &Scenario,
    history: &[Entry],
    from_us: u64,
    to_us: u64,
) -> BTreeMap<String, WaitFigures> {
    let mut submitted_us: HashMap<&str, u64> = HashMap::new();
    let mut started: HashSet<&str> = HashSet::new();
    let mut waited_us_by_class: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
    let mut submitted_tasks: BTreeMap<usize, u64> = BTreeMap::new();
    for entry in history {
        match &entry.event {
            Event::Submitted { job } if (from_us..to_us).contains(&entry.at_us) => {
                submitted_us.insert(job, entry.at_us);
                if let (Some((class, _)), Some(spec)) =
                    (scenario.parse_job_name(job), scenario.job(job))
                {
                    *submitted_tasks.entry(class).or_insert(0) += u64::from(spec.tasks);
                }
            }
            Event::Started { task, .. } if started.insert(task) => {
                let Some(task) = TaskRef::parse(task) else {
                    continue;
                };
                let (Some(job_submitted_us), Some((class, _))) = (
                    submitted_us.get(task.job.as_str()),
                    scenario.parse_job_name(task.job.as_str()),
                ) else {
                    continue;
                };
                waited_us_by_class
                    .entry(class)
                    .or_default()
                    .push(entry.at_us.saturating_sub(*job_submitted_us));
            }
            _ => {}
        }
    }
    let figures_of_class = |(class, tasks): (usize, u64)| {
        let settings = &scenario.classes[class];
        let waited_us = waited_us_by_class.remove(&class).unwrap_or_default();
        let figures = wait_figures(&waited_us, tasks, settings.start_within_s);
        (settings.name.clone(), figures)
    };
    submitted_tasks.into_iter().map(figures_of_class).collect()
}

fn wait_figures(waited_us: &[u64], tasks: u64, within_s: Option<f64>) -> WaitFigures {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return WaitFigures::default();
    };
    for us in waited_us {
        let _ = histogram.record(us / 1000);
    }
    let quantile_s = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
    let within_us = within_s.map_or(u64::MAX, |s| (s * 1e6) as u64);
    let started_in_time = waited_us.iter().filter(|us| **us <= within_us).count();
    WaitFigures {
        tasks: waited_us.len() as u64,
        p50_s: quantile_s(0.5),
        p99_s: quantile_s(0.99),
        max_s: histogram.max() as f64 / 1000.0,
        share_within_objective: started_in_time as f64 / tasks.max(1) as f64,
        not_started: tasks.saturating_sub(waited_us.len() as u64),
    }
}

impl Report {
    /// Returns the report as text with tables.
    pub fn table(&self) -> String {
        let mut text = String::new();
        // Writing to a String cannot fail.
        let _ = self.write_roles(&mut text);
        let _ = self.write_tasks(&mut text);
        let _ = self.write_counters(&mut text);
        let _ = self.write_leadership_and_rules(&mut text);
        text
    }

    fn write_roles(&self, text: &mut String) -> fmt::Result {
        writeln!(
            text,
            "{} workers, {} controllers, {:.0} s measured, {} elections",
            self.workers, self.controllers, self.measured_s, self.elections
        )?;
        writeln!(text, "| role | processes | cores, all | busiest: mean, most | MB, largest | sockets, most | messages/s in, out | KB/s in, out |")?;
        writeln!(text, "| --- | --- | --- | --- | --- | --- | --- | --- |")?;
        for (name, role) in &self.roles {
            writeln!(
                text,
                "| {name} | {} | {:.3} | {:.3}, {:.2} | {:.1} | {} | {:.0}, {:.0} | {:.0}, {:.0} |",
                role.processes,
                role.cores_mean,
                role.busiest_mean,
                role.busiest_max,
                role.resident_mb,
                role.sockets,
                role.messages_per_s[0],
                role.messages_per_s[1],
                role.bytes_per_s[0] / 1000.0,
                role.bytes_per_s[1] / 1000.0,
            )?;
        }
        Ok(())
    }

    fn write_tasks(&self, text: &mut String) -> fmt::Result {
        let [mean, best] = self.starts_per_s;
        writeln!(text, "starts a second: {mean:.1} on the mean, {best:.0} in the best second; {} tasks running at the end", self.tasks_running)?;
        writeln!(
            text,
            "per worker: {:.2} messages and {:.0} bytes a second",
            self.worker_messages_per_s, self.worker_bytes_per_s
        )?;
        for (class, wait) in &self.waits {
            writeln!(
                text,
                "{class}: {} tasks started, waited p50 {:.2} s, p99 {:.2} s, most {:.2} s; in time {:.3}; {} not started",
                wait.tasks, wait.p50_s, wait.p99_s, wait.max_s, wait.share_within_objective, wait.not_started
            )?;
        }
        Ok(())
    }

    fn write_counters(&self, text: &mut String) -> fmt::Result {
        if let Some(replicas) = &self.replicas {
            writeln!(text, "{replicas}")?;
        }
        for (name, value) in &self.counters {
            writeln!(text, "{name}: {value:.1}")?;
        }
        Ok(())
    }

    fn write_leadership_and_rules(&self, text: &mut String) -> fmt::Result {
        for failover in &self.failovers {
            writeln!(text, "{failover}")?;
        }
        writeln!(text, "leader: {}", self.leader_usage)?;
        if self.violations.is_empty() {
            return writeln!(text, "rules: none broken");
        }
        writeln!(
            text,
            "rules broken: {:?}, first {:?}",
            self.violations, self.first_violations
        )
    }
}

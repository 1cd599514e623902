//! The figures of a load test, as a table and as JSON.

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

/// How long tasks waited, from their job's first submission.
#[derive(Clone, Default, Debug, Serialize)]
pub struct WaitFigures {
    /// Tasks that started.
    pub tasks: u64,
    /// Half of them waited no longer, in seconds.
    pub p50_s: f64,
    /// All but one in a hundred.
    pub p99_s: f64,
    /// The longest.
    #[serde(rename = "most_s")]
    pub max_s: f64,
    /// Share within the class's service-level objective.
    pub in_time: f64,
    /// Tasks submitted in time that had not started at the end.
    pub not_started: u64,
}

/// A role's processes together.
#[derive(Clone, Default, Debug, Serialize)]
pub struct RoleFigures {
    /// How many.
    pub processes: usize,
    /// Cores, on the mean, of all together.
    pub cores_mean: f64,
    /// Of the busiest one: cores on the mean, and in its busiest second.
    pub busiest_mean: f64,
    /// See `busiest_mean`.
    #[serde(rename = "busiest_most")]
    pub busiest_max: f64,
    /// Memory of the largest one, in MB.
    pub resident_mb: f64,
    /// Sockets of the one with most.
    pub sockets: usize,
    /// Messages a second, in and out, of all together; 0: not counted.
    pub messages_per_s: [f64; 2],
    /// Bytes a second, in and out.
    pub bytes_per_s: [f64; 2],
}

/// Everything that is reported.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Workers up at the start.
    pub workers: u32,
    /// Controllers.
    pub controllers: u32,
    /// The measured time in seconds.
    pub measured_s: f64,
    /// By process role.
    pub roles: BTreeMap<String, RoleFigures>,
    /// Tasks started a second: on the mean, and in the best second.
    pub starts_per_s: [f64; 2],
    /// Tasks running at the end.
    pub tasks_running: f64,
    /// Multi-host replicas; `None`: the scenario has none.
    pub replicas: Option<ReplicaFigures>,
    /// By class.
    pub waits: BTreeMap<String, WaitFigures>,
    /// The load of the protocol per worker: messages a second.
    pub worker_messages_per_s: f64,
    /// Likewise: bytes a second.
    pub worker_bytes_per_s: f64,
    /// Counters of the simulators, by kind and name.
    pub counters: BTreeMap<String, f64>,
    /// Failovers that faults caused.
    #[serde(rename = "takeovers")]
    pub failovers: Vec<Failover>,
    /// Where the leader's processor time went: its last `usage` line.
    pub leader_usage: String,
    /// Leaders that were elected.
    pub elections: usize,
    /// Violation rules, by rule.
    #[serde(rename = "broken")]
    pub violations: BTreeMap<Rule, usize>,
    /// The first of them.
    #[serde(rename = "first_broken")]
    pub first_violations: Vec<Violation>,
}

/// What one role's processes used, put together.
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

/// Task starts a second within a time: the mean, and the best second.
pub fn starts_per_s(history: &[Entry], from_us: u64, to_us: u64) -> [f64; 2] {
    let mut by_second: HashMap<u64, u64> = HashMap::new();
    let mut all: u64 = 0;
    let started = history
        .iter()
        .filter(|entry| (from_us..to_us).contains(&entry.at_us))
        .filter(|entry| matches!(entry.event, Event::Started { .. }));
    for entry in started {
        let second = (entry.at_us - from_us) / 1_000_000;
        *by_second.entry(second).or_insert(0) += 1;
        all += 1;
    }
    let seconds = (to_us.saturating_sub(from_us) as f64 / 1e6).max(1e-3);
    let best = by_second.values().copied().max().unwrap_or(0);
    [all as f64 / seconds, best as f64]
}

/// How long the tasks of jobs waited that were submitted within a time, by class.
pub fn waits(
    scenario: &Scenario,
    history: &[Entry],
    from_us: u64,
    to_us: u64,
) -> BTreeMap<String, WaitFigures> {
    let mut submitted: HashMap<&str, u64> = HashMap::new();
    let mut started: HashSet<&str> = HashSet::new();
    let mut by_class: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
    let mut expected: BTreeMap<usize, u64> = BTreeMap::new();
    for entry in history {
        match &entry.event {
            Event::Submitted { job } if (from_us..to_us).contains(&entry.at_us) => {
                submitted.insert(job, entry.at_us);
                if let (Some((class, _)), Some(spec)) =
                    (scenario.parse_job_name(job), scenario.job(job))
                {
                    *expected.entry(class).or_insert(0) += u64::from(spec.tasks);
                }
            }
            Event::Started { task, .. } if started.insert(task) => {
                let Some(task) = TaskRef::parse(task) else {
                    continue;
                };
                let (Some(at_us), Some((class, _))) = (
                    submitted.get(task.job.as_str()),
                    scenario.parse_job_name(task.job.as_str()),
                ) else {
                    continue;
                };
                by_class
                    .entry(class)
                    .or_default()
                    .push(entry.at_us.saturating_sub(*at_us));
            }
            _ => {}
        }
    }
    let class_waits = |(class, tasks): (usize, u64)| {
        let settings = &scenario.classes[class];
        let waited = by_class.remove(&class).unwrap_or_default();
        let figures = wait_figures(&waited, tasks, settings.start_within_s);
        (settings.name.clone(), figures)
    };
    expected.into_iter().map(class_waits).collect()
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
    let in_time = waited_us.iter().filter(|us| **us <= within_us).count();
    WaitFigures {
        tasks: waited_us.len() as u64,
        p50_s: quantile_s(0.5),
        p99_s: quantile_s(0.99),
        max_s: histogram.max() as f64 / 1000.0,
        in_time: in_time as f64 / tasks.max(1) as f64,
        not_started: tasks.saturating_sub(waited_us.len() as u64),
    }
}

impl Report {
    /// The report as text.
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
                wait.tasks, wait.p50_s, wait.p99_s, wait.max_s, wait.in_time, wait.not_started
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

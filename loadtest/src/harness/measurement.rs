//! Samples the resource usage of the processes and assembles the report.

use super::size_limits::MAX_MEMORY_MB;
use super::{LoadTest, RunError};
use crate::checker::Checker;
use crate::control::{SimulatorCommand, Stats};
use crate::failover;
use crate::history::Entry;
use crate::process_stats::ProcessUsage;
use crate::report::{self, Report, RoleFigures};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// The role under which the report lists all processes of simulated workers.
const WORKERS_ROLE: &str = "simulated workers";
/// The maximum number of violations that the report lists one by one.
const MAX_LISTED_VIOLATIONS: usize = 5;

/// The counters of simulators, by process name.
type StatsByProcess = BTreeMap<String, Stats>;

/// The part of the run that the report covers, in microseconds since 1970.
#[derive(Clone, Copy)]
pub(super) struct MeasuredTime {
    pub(super) from_us: u64,
    pub(super) to_us: u64,
}

impl MeasuredTime {
    fn duration_s(self) -> f64 {
        (self.to_us - self.from_us) as f64 / 1e6
    }
}

/// Returns the first part of a process's name: what the process simulates, or `controller`.
fn kind_of(process: &str) -> &str {
    process.split('-').next().unwrap_or(process)
}

impl LoadTest {
    /// Reads the counters of all simulators.
    pub(super) fn stats(&self) -> StatsByProcess {
        self.simulators()
            .map(|simulator| {
                let stats = simulator.send(&SimulatorCommand::Stats);
                (simulator.process.name.clone(), stats)
            })
            .collect()
    }

    /// Samples the resource usage of all processes; `at_s` is in seconds since 1970. Fails if
    /// together they use too much memory.
    pub(super) fn sample(&mut self, at_s: f64) -> Result<(), RunError> {
        let simulators = self.simulators().map(|simulator| &simulator.process);
        let controllers = self
            .controllers
            .iter()
            .filter_map(|controller| controller.process.as_ref());
        let pids: Vec<(String, u32)> = simulators
            .chain(controllers)
            .map(|process| (process.name.clone(), process.child.id()))
            .collect();
        let used_mb = self
            .usage
            .sample(at_s, pids.iter().map(|(name, pid)| (name.as_str(), *pid)));
        if used_mb > MAX_MEMORY_MB {
            return Err(RunError::TooMuchMemory {
                used_mb,
                limit_mb: MAX_MEMORY_MB,
            });
        }
        Ok(())
    }

    /// Returns the report on the measured time. `before` and `after` are the simulators'
    /// counters at its beginning and end.
    pub(super) fn report(
        &self,
        history: &[Entry],
        measured: MeasuredTime,
        before: &StatsByProcess,
        after: &StatsByProcess,
    ) -> Report {
        let MeasuredTime { from_us, to_us } = measured;
        let roles = self.role_figures(measured, before, after);
        let workers = f64::from(self.scenario.workers.count);
        let both_ways = |rates: [f64; 2]| rates[0] + rates[1];
        let (messages_per_s, bytes_per_s) = roles.get(WORKERS_ROLE).map_or((0.0, 0.0), |role| {
            (both_ways(role.messages_per_s), both_ways(role.bytes_per_s))
        });
        let counters = summed_counters(after);
        let logged = failover::read_logged_steps(self.controllers.iter().map(|c| c.log.as_path()));
        let (violations, replicas) = Checker::check_history(&self.scenario, history);
        let mut violations_by_rule = BTreeMap::new();
        for violation in &violations {
            *violations_by_rule.entry(violation.rule).or_insert(0) += 1;
        }
        Report {
            workers: self.scenario.workers.count,
            controllers: self.scenario.controllers.count,
            measured_s: measured.duration_s(),
            roles,
            starts_per_s: report::starts_per_s(history, from_us, to_us),
            tasks_running: counters
                .get("workers tasks_running")
                .copied()
                .unwrap_or(0.0),
            replicas,
            waits: report::wait_figures_by_class(&self.scenario, history, from_us, to_us),
            worker_messages_per_s: messages_per_s / workers,
            worker_bytes_per_s: bytes_per_s / workers,
            counters,
            failovers: failover::failovers(&self.leader_losses, &logged, history),
            leader_usage: last_usage(&self.controllers[self.leader()].log),
            elections: self
                .controllers
                .iter()
                .map(|controller| failover::read_elected_terms(&controller.log).len())
                .sum(),
            violations: violations_by_rule,
            first_violations: violations.into_iter().take(MAX_LISTED_VIOLATIONS).collect(),
        }
    }

    /// Returns the figures of the processes by role. The last leader is a role of its own.
    fn role_figures(
        &self,
        measured: MeasuredTime,
        before: &StatsByProcess,
        after: &StatsByProcess,
    ) -> BTreeMap<String, RoleFigures> {
        let leader = format!("controller-{}", self.leader());
        let role_of = |process: &str| match kind_of(process) {
            _ if process == leader => "controller, last leader".to_string(),
            "controller" => "controllers, others".to_string(),
            "workers" => WORKERS_ROLE.to_string(),
            kind => kind.to_string(),
        };
        let processes = &self.usage.processes;
        let roles: BTreeSet<String> = processes.keys().map(|name| role_of(name)).collect();
        let figures_of = |role: String| {
            let used: Vec<ProcessUsage> = processes
                .iter()
                .filter(|(name, _)| role_of(name) == role)
                .map(|(_, usage)| *usage)
                .collect();
            let stats_of_role = |stats: &StatsByProcess| -> Vec<Stats> {
                stats
                    .iter()
                    .filter(|(name, _)| role_of(name) == role)
                    .map(|(_, stats)| stats.clone())
                    .collect()
            };
            let figures = report::role_figures(
                &used,
                &stats_of_role(before),
                &stats_of_role(after),
                measured.duration_s(),
            );
            (role, figures)
        };
        roles.into_iter().map(figures_of).collect()
    }
}

/// Returns the sum of each counter over all processes of one kind, as `kind counter`.
fn summed_counters(stats: &StatsByProcess) -> BTreeMap<String, f64> {
    let mut counters = BTreeMap::new();
    for (process, stats) in stats {
        let kind = kind_of(process);
        for (counter, value) in &stats.counters {
            *counters.entry(format!("{kind} {counter}")).or_insert(0.0) += value;
        }
    }
    counters
}

/// Returns the figures of the last `usage` line in a controller's log; empty: it has none.
fn last_usage(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let last = text
        .lines()
        .filter_map(|line| line.split(" usage ").nth(1))
        .next_back();
    last.unwrap_or("").to_string()
}

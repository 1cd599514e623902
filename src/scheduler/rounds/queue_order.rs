//! The order in which a round serves queued work: by priority, then work within its
//! team's guarantee, then earliest deadline first.

use crate::ids::TaskRef;
use crate::messages::Now;
use crate::scheduler::rounds::demand_forecast::ForecastDemand;
use crate::scheduler::{Job, JobId, Scheduler};
use crate::wire::users::{JobSpec, Priority};
use std::collections::BTreeSet;

/// A job that has missed every objective is due at this multiple of its deadline, so
/// that it is served eventually.
const LAST_DEADLINE: f64 = 3.0;
/// A job without a deadline or a start objective is due after this multiple of its
/// estimated run time, as the design has it.
const DEFAULT_DEADLINE_RUNS_MS: f64 = 2000.0;

/// The position of work in the queue, most urgent first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct QueueKey {
    pub(super) priority: Priority,
    /// It exceeds what its team is guaranteed.
    pub(super) over_guarantee: bool,
    /// Wall-clock time, in milliseconds.
    pub(super) deadline: u64,
    /// Equals are served in the order in which they were queued.
    pub(super) sequence: u64,
}

/// An entry of the queue.
#[derive(Clone, Debug)]
pub(super) enum QueuedWork {
    Job(JobId),
    Forecast(ForecastDemand),
}

impl Scheduler {
    /// The deadline that orders a job in the queue: its own, or the earlier one by
    /// which it has to end for the jobs that depend on it.
    fn queue_deadline(&self, now: Now, job: &Job) -> u64 {
        let own = self.own_deadline(now, job);
        let run_ms = self.estimated_run_ms(&job.spec);
        let inherited = job.inherited_urgency.as_ref();
        let mut deadlines = inherited.into_iter().flat_map(|urgency| &urgency.deadlines);
        let attainable = deadlines.find(|deadline| now.wall + run_ms <= **deadline);
        attainable.map_or(own, |deadline| own.min(*deadline))
    }

    /// How long one of its tasks is expected to run.
    fn estimated_run_ms(&self, spec: &JobSpec) -> u64 {
        (spec.estimated_run_s * self.estimates.run_bias(&spec.class) * 1000.0) as u64
    }

    /// The job's own deadline. One that can't be met any more would only make other
    /// jobs late too, so the job is ordered by the next one that it can still meet.
    fn own_deadline(&self, now: Now, job: &Job) -> u64 {
        let spec = &job.spec;
        let class = &spec.class;
        let Some(deadline_s) = spec.deadline_s else {
            let within_ms = self
                .settings
                .wait_slo_ms(class)
                .unwrap_or((spec.estimated_run_s * DEFAULT_DEADLINE_RUNS_MS) as u64);
            return job.ready_at + within_ms;
        };
        let run_ms = self.estimated_run_ms(spec);
        let after = |multiple: f64| job.submitted + (deadline_s * multiple * 1000.0) as u64;
        let mut deadlines: Vec<u64> = self
            .settings
            .deadline_multiples(class)
            .into_iter()
            .map(after)
            .collect();
        let finish_slos_ms = self.settings.finish_slos_ms(class);
        deadlines.extend(finish_slos_ms.map(|slo_ms| job.ready_at + slo_ms));
        // A task that should start by some time should end one run later.
        let start_slo_ms = self.settings.wait_slo_ms(class);
        deadlines.extend(start_slo_ms.map(|slo_ms| job.ready_at + slo_ms + run_ms));
        deadlines.sort_unstable();
        deadlines
            .into_iter()
            .find(|deadline| now.wall + run_ms <= *deadline)
            .unwrap_or_else(|| after(LAST_DEADLINE))
    }

    /// The jobs whose tasks are migrating: these have their destination already, and
    /// no forecast demand may take it before they arrive.
    pub(super) fn migrating_jobs(&self) -> BTreeSet<JobId> {
        let tasks = self.migrations.targets.keys();
        tasks.map(|TaskRef { job, .. }| job.clone()).collect()
    }

    /// The position of a job in the queue; `None`: it has nothing to place now.
    pub(super) fn queue_key(
        &mut self,
        now: Now,
        id: &JobId,
        migrating: &BTreeSet<JobId>,
        sequence: u64,
    ) -> Option<QueueKey> {
        self.pacing.examined += 1;
        self.raise_priority_if_late(now, id);
        let job = self.jobs.get(id)?;
        if job.cancelled.is_some()
            || job.pending.is_empty()
            || job.stale
            || job.unreadable
            || job.dependencies_open
            || !job.failures.allows_attempt(now.ms)
        {
            return None;
        }
        let failing = match self.groups.get(id) {
            Some(groups) => groups.all_waiting_breakers_open(now.ms)?,
            None => job.failures.is_open(),
        };
        let is_migrating = migrating.contains(id);
        let priority = if is_migrating {
            Priority::Critical
        } else if failing {
            // A probe of an open circuit breaker goes after all that can succeed.
            Priority::Idle
        } else {
            job.spec.priority
        };
        let deadline = self.queue_deadline(now, job);
        let team = job.spec.team.clone();
        let submission = (job.submitted, id.clone());
        let within_guarantee = self.jobs.teams().is_guaranteed(
            &self.settings,
            &team,
            &submission,
            &mut self.pacing.examined,
        );
        Some(QueueKey {
            priority,
            over_guarantee: !is_migrating && !within_guarantee,
            deadline,
            sequence,
        })
    }
}

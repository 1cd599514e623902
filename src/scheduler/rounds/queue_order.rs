//! The order in which a round serves queued work: by priority, then work within its
//! team's guarantee before other work, then earliest deadline first.

use crate::ids::TaskRef;
use crate::messages::Now;
use crate::scheduler::rounds::demand_forecast::ForecastDemand;
use crate::scheduler::{Job, JobId, Scheduler};
use crate::wire::users::{JobSpec, Priority};
use std::collections::BTreeSet;

/// The multiple of its deadline by which a job is ordered once the job can't meet any of
/// its objectives, so that the job is served eventually.
const LAST_DEADLINE_MULTIPLE: f64 = 3.0;
/// The deadline of a job without a deadline and without an objective on waiting, in
/// milliseconds per second of its estimated run time: twice the run time.
const DEFAULT_DEADLINE_MS_PER_RUN_S: f64 = 2000.0;

/// The position of work in the queue. Lower keys are served first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct QueueKey {
    pub(super) priority: Priority,
    /// Whether the work exceeds the guarantee of its team.
    pub(super) over_guarantee: bool,
    pub(super) deadline_wall_ms: u64,
    /// The order in which entries were queued, which breaks ties.
    pub(super) sequence: u64,
}

/// An entry of the queue.
#[derive(Clone, Debug)]
pub(super) enum QueuedWork {
    Job(JobId),
    Forecast(ForecastDemand),
}

impl Scheduler {
    /// Returns the deadline that orders a job in the queue: the job's own deadline, or an
    /// earlier attainable one inherited from jobs that depend on it.
    fn queue_deadline_wall_ms(&self, now: Now, job: &Job) -> u64 {
        let own = self.own_deadline_wall_ms(now, job);
        let run_ms = self.estimated_run_ms(&job.spec);
        let inherited = self.inherited_urgency(&job.spec.id);
        let mut deadlines = inherited
            .into_iter()
            .flat_map(|urgency| &urgency.deadlines_wall_ms);
        let attainable = deadlines.find(|deadline| now.wall_ms + run_ms <= **deadline);
        attainable.map_or(own, |deadline| own.min(*deadline))
    }

    /// Returns the expected run time of one task: the user's estimate, corrected by the
    /// observed bias of such estimates in the job's class.
    fn estimated_run_ms(&self, spec: &JobSpec) -> u64 {
        (spec.estimated_run_s * self.estimates.run_time_ratio(&spec.class) * 1000.0) as u64
    }

    /// Returns the earliest of the job's own deadlines and objectives that the job can
    /// still meet. Serving a job by a deadline that it can't meet would only delay other
    /// jobs.
    fn own_deadline_wall_ms(&self, now: Now, job: &Job) -> u64 {
        let spec = &job.spec;
        let class = &spec.class;
        let Some(deadline_s) = spec.deadline_s else {
            let within_ms = self
                .settings
                .wait_slo_ms(class)
                .unwrap_or((spec.estimated_run_s * DEFAULT_DEADLINE_MS_PER_RUN_S) as u64);
            return job.ready_wall_ms + within_ms;
        };
        let run_ms = self.estimated_run_ms(spec);
        let after = |multiple: f64| job.submitted_wall_ms + (deadline_s * multiple * 1000.0) as u64;
        let mut deadlines: Vec<u64> = self
            .settings
            .deadline_multiples(class)
            .into_iter()
            .map(after)
            .collect();
        let finish_slos_ms = self.settings.finish_slos_ms(class);
        deadlines.extend(finish_slos_ms.map(|slo_ms| job.ready_wall_ms + slo_ms));
        // A task that starts exactly at its objective on waiting ends one run time later.
        let start_slo_ms = self.settings.wait_slo_ms(class);
        deadlines.extend(start_slo_ms.map(|slo_ms| job.ready_wall_ms + slo_ms + run_ms));
        deadlines.sort_unstable();
        deadlines
            .into_iter()
            .find(|deadline| now.wall_ms + run_ms <= *deadline)
            .unwrap_or_else(|| after(LAST_DEADLINE_MULTIPLE))
    }

    /// Returns the jobs with migrating tasks. Rounds serve these jobs first, so that no
    /// other work or forecast demand takes the capacity on their migration targets.
    pub(super) fn migrating_jobs(&self) -> BTreeSet<JobId> {
        let tasks = self.migrations.targets.keys();
        tasks.map(|TaskRef { job, .. }| job.clone()).collect()
    }

    /// Returns the position of a job in the queue, or `None` if the job has nothing to
    /// place now.
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
        if job.cancelled_wall_ms.is_some()
            || job.pending.is_empty()
            || job.stale
            || job.unreadable
            || job.has_open_dependencies
            || !job.circuit_breaker.allows_attempt(now.ms)
        {
            return None;
        }
        let failing = match self.groups.get(id) {
            Some(groups) => groups.all_waiting_breakers_open(now.ms)?,
            None => job.circuit_breaker.is_open(),
        };
        let is_migrating = migrating.contains(id);
        let priority = if is_migrating {
            Priority::Critical
        } else if failing {
            // A probe of an open circuit breaker is served after all other work.
            Priority::Idle
        } else {
            job.spec.priority
        };
        let deadline_wall_ms = self.queue_deadline_wall_ms(now, job);
        let team = job.spec.team.clone();
        let submission = (job.submitted_wall_ms, id.clone());
        let within_guarantee = self.jobs.teams().is_guaranteed(
            &self.settings,
            &team,
            &submission,
            &mut self.pacing.examined,
        );
        Some(QueueKey {
            priority,
            over_guarantee: !is_migrating && !within_guarantee,
            deadline_wall_ms,
            sequence,
        })
    }
}

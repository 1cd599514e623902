//! The order in which waiting work is served.

use crate::ids::TaskRef;
use crate::messages::Now;
use crate::scheduler::{Job, JobId, Scheduler};
use crate::wire::users::{JobSpec, Priority};
use std::collections::BTreeSet;
use std::rc::Rc;

/// A job that is late by every aim is due at so many times its deadline, so
/// that its turn comes all the same.
const LAST_DEADLINE: f64 = 3.0;

/// Waiting work's place in the queue, most urgent first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(in crate::scheduler) struct QueueKey {
    pub(in crate::scheduler) priority: Priority,
    /// Beyond what its team is guaranteed.
    pub(in crate::scheduler) beyond: bool,
    /// Time of day.
    pub(in crate::scheduler) deadline: u64,
    /// Equals come in the order in which they were queued.
    pub(in crate::scheduler) number: u64,
}

/// What waits.
#[derive(Clone, Debug)]
pub(in crate::scheduler) enum QueuedWork {
    Job(JobId),
    /// Work that is expected, by what was seen.
    Forecast(Rc<JobSpec>, u32),
}

impl Scheduler {
    /// The time of day that orders a job in the queue: its own, or that by which it
    /// has to be done for what needs it.
    fn deadline_of(&self, now: Now, job: &Job) -> u64 {
        let own = self.own_deadline(now, job);
        let run_ms = self.run_ms(&job.spec);
        let inherited = job.inherited.as_ref();
        let mut dates = inherited.into_iter().flat_map(|urgency| &urgency.deadlines);
        let in_time = dates.find(|date| now.wall + run_ms <= **date);
        in_time.map_or(own, |date| own.min(*date))
    }

    /// How long one of its tasks is expected to run.
    fn run_ms(&self, spec: &JobSpec) -> u64 {
        (spec.estimated_run_s * self.estimates.bias(&spec.class) * 1000.0) as u64
    }

    fn own_deadline(&self, now: Now, job: &Job) -> u64 {
        let (spec, submitted) = (&job.spec, job.submitted);
        let Some(deadline_s) = spec.deadline_s else {
            let ms = match self.settings.wait_slo_ms(&spec.class) {
                Some(ms) => ms,
                // The design's: twice the estimate.
                None => (spec.estimated_run_s * 2000.0) as u64,
            };
            return job.ready + ms;
        };
        // What can't be on time any more would only make others late too:
        // it goes for the next deadline that still means something.
        let run_ms = self.run_ms(spec);
        let at = |times: f64| submitted + (deadline_s * times * 1000.0) as u64;
        let class = &spec.class;
        let mut dates: Vec<u64> = self
            .settings
            .deadline_multiples(class)
            .into_iter()
            .map(at)
            .collect();
        let finish = self.settings.finish_slos_ms(class);
        dates.extend(finish.map(|ms| job.ready + ms));
        // Tasks that should begin by some time should end a run later.
        let begin_ms = self.settings.wait_slo_ms(class);
        dates.extend(begin_ms.map(|ms| job.ready + ms + run_ms));
        dates.sort_unstable();
        let in_time = dates.into_iter().find(|date| now.wall + run_ms <= *date);
        in_time.unwrap_or_else(|| at(LAST_DEADLINE))
    }

    /// The jobs of tasks on the move: they have their place already, and nothing
    /// expected may take that before they arrive.
    pub(in crate::scheduler) fn moving_jobs(&self) -> BTreeSet<JobId> {
        let tasks = self.migrations.targets.keys();
        tasks.map(|TaskRef { job, .. }| job.clone()).collect()
    }

    /// The place of a waiting job in the queue; `None`: it doesn't wait, or not yet.
    pub(in crate::scheduler) fn queue_key_of(
        &mut self,
        now: Now,
        id: &JobId,
        moving: &BTreeSet<JobId>,
        number: u64,
    ) -> Option<QueueKey> {
        self.pacing.examined += 1;
        self.raise_if_pressed(now, id);
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
            Some(groups) => groups.only_failing_wait(now.ms)?,
            None => job.failures.is_open(),
        };
        let is_moving = moving.contains(id);
        let priority = if is_moving {
            Priority::Critical
        } else if failing {
            // A probe goes after all that can succeed.
            Priority::Idle
        } else {
            job.spec.priority
        };
        let deadline = self.deadline_of(now, job);
        let spec = job.spec.clone();
        let submission = (job.submitted, id.clone());
        let teams = self.jobs.teams();
        let within = teams.is_within(
            &self.settings,
            &spec.team,
            &submission,
            &mut self.pacing.examined,
        );
        Some(QueueKey {
            priority,
            beyond: !is_moving && !within,
            deadline,
            number,
        })
    }
}

//! The table of the leader's unfinished jobs, with lists derived from them: jobs that
//! wait to be placed, jobs that have to be written, the usage of teams, and the images
//! that jobs need. [`JobTable::get_mut`] marks the job that it returns as touched.
//! [`JobTable::refresh`] updates the derived lists for the touched jobs only.

use crate::ids::JobId;
use crate::placement::Resources;
use crate::scheduler::state::job::Job;
use crate::scheduler::state::quotas::TeamAccounts;
use crate::scheduler::InvariantViolation;
use crate::wire::users::JobSpec;
use std::collections::{btree_map, BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// The most by which rounding may make a team's usage differ from the sum over its jobs.
const MAX_USAGE_DIFFERENCE: f64 = 1e-6;

/// The membership of a job in the lists of [`JobTable`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(in crate::scheduler) struct JobListing {
    /// Tasks of the job wait to be placed.
    waiting: bool,
    /// The job has changes to be stored.
    unwritten: bool,
    /// Another writer has changed the job record.
    stale: bool,
    /// The job is cancelled, and tasks may still be on machines.
    stopping: bool,
    /// How many tasks may be on machines.
    assigned: usize,
    /// How many tasks count towards the team's guarantee; `None`: the job may not run.
    guaranteed: Option<u32>,
}

impl JobListing {
    fn of(job: &Job) -> JobListing {
        let cancelled = job.cancelled_wall_ms.is_some();
        let readable = !job.stale && !job.unreadable;
        let may_run = !cancelled && !job.has_open_dependencies;
        JobListing {
            waiting: may_run && !job.pending.is_empty() && readable,
            unwritten: !job.stale && !job.finishing && job.has_unwritten_changes(),
            stale: job.stale,
            stopping: cancelled && !job.assignments.is_empty(),
            assigned: job.assignments.len(),
            guaranteed: may_run.then(|| job.spec.tasks - job.done.len() as u32),
        }
    }
}

/// The properties of a job that its team's account needs and that never change.
struct ImmutableJobFacts {
    team: Rc<str>,
    task_request: Resources,
    submitted_wall_ms: u64,
}

impl ImmutableJobFacts {
    fn of(job: &Job) -> ImmutableJobFacts {
        ImmutableJobFacts {
            team: job.spec.team.clone(),
            task_request: job.task_request,
            submitted_wall_ms: job.submitted_wall_ms,
        }
    }
}

/// The jobs with an image, by image.
type ByImage = BTreeMap<Rc<str>, BTreeSet<JobId>>;

/// All unfinished jobs.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct JobTable {
    jobs: BTreeMap<JobId, Job>,
    /// Jobs that may have changed since the last refresh.
    touched: Vec<JobId>,
    waiting: BTreeSet<JobId>,
    /// Jobs that began to wait since the last call of `take_newly_waiting`.
    newly_waiting: Vec<JobId>,
    unwritten: BTreeSet<JobId>,
    stale: BTreeSet<JobId>,
    stopping: BTreeSet<JobId>,
    teams: TeamAccounts,
    /// The jobs with each image, by class.
    images: HashMap<Rc<str>, ByImage>,
}

impl JobTable {
    pub(in crate::scheduler) fn clear(&mut self) {
        *self = JobTable::default();
    }

    pub(in crate::scheduler) fn len(&self) -> usize {
        self.jobs.len()
    }

    pub(in crate::scheduler) fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    pub(in crate::scheduler) fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Returns the job for modification, and marks it as touched.
    pub(in crate::scheduler) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        let job = self.jobs.get_mut(id)?;
        if !std::mem::replace(&mut job.touched, true) {
            self.touched.push(id.clone());
        }
        Some(job)
    }

    /// Iterates over all jobs in the order of their ids.
    pub(in crate::scheduler) fn iter(&self) -> btree_map::Iter<'_, JobId, Job> {
        self.jobs.iter()
    }

    /// Adds a job and marks it as touched.
    pub(super) fn insert(&mut self, id: JobId, job: Job) {
        let by_image = self.images.entry(job.spec.class.clone()).or_default();
        let with_image = by_image.entry(job.spec.image.clone()).or_default();
        with_image.insert(id.clone());
        self.jobs.insert(id.clone(), job);
        self.get_mut(&id);
    }

    /// Removes a job from the table and from all derived lists.
    pub(super) fn remove(&mut self, id: &JobId) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        let facts = ImmutableJobFacts::of(&job);
        self.update_lists(id, &facts, job.listed, JobListing::default());
        if let Some(by_image) = self.images.get_mut(&job.spec.class) {
            if let Some(with_image) = by_image.get_mut(&job.spec.image) {
                with_image.remove(id);
                if with_image.is_empty() {
                    by_image.remove(&job.spec.image);
                }
            }
        }
        Some(job)
    }

    /// Updates the derived lists for the touched jobs. Returns the number of those jobs.
    pub(in crate::scheduler) fn refresh(&mut self) -> u64 {
        let touched = std::mem::take(&mut self.touched);
        for id in &touched {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            job.touched = false;
            let now = JobListing::of(job);
            let before = std::mem::replace(&mut job.listed, now);
            if now != before {
                let facts = ImmutableJobFacts::of(job);
                self.update_lists(id, &facts, before, now);
            }
        }
        touched.len() as u64
    }

    /// Updates the lists and the team's account for a job whose listing has changed.
    fn update_lists(
        &mut self,
        id: &JobId,
        facts: &ImmutableJobFacts,
        before: JobListing,
        now: JobListing,
    ) {
        if now.waiting && !before.waiting {
            self.newly_waiting.push(id.clone());
        }
        for (list, is, was) in [
            (&mut self.waiting, now.waiting, before.waiting),
            (&mut self.unwritten, now.unwritten, before.unwritten),
            (&mut self.stale, now.stale, before.stale),
            (&mut self.stopping, now.stopping, before.stopping),
        ] {
            if is && !was {
                list.insert(id.clone());
            } else if was && !is {
                list.remove(id);
            }
        }
        if now.assigned != before.assigned {
            self.teams.set_assigned_tasks(
                &facts.team,
                &facts.task_request,
                before.assigned,
                now.assigned,
            );
        }
        if now.guaranteed != before.guaranteed {
            let tasks = now.guaranteed.map(f64::from);
            let remaining = tasks.map(|tasks| facts.task_request.scaled(tasks));
            let submission = (facts.submitted_wall_ms, id.clone());
            self.teams.set_remaining(&facts.team, submission, remaining);
        }
    }

    // The following methods return the derived lists as of the last refresh.

    /// Returns the jobs with tasks that wait to be placed.
    pub(in crate::scheduler) fn waiting(&self) -> &BTreeSet<JobId> {
        &self.waiting
    }

    /// Takes the jobs that began to wait since the previous call.
    pub(in crate::scheduler) fn take_newly_waiting(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.newly_waiting)
    }

    /// Returns the jobs with changes to be stored.
    pub(super) fn unwritten(&self) -> &BTreeSet<JobId> {
        &self.unwritten
    }

    /// Returns the jobs whose record another writer has changed.
    pub(super) fn stale(&self) -> &BTreeSet<JobId> {
        &self.stale
    }

    /// Returns the cancelled jobs with tasks that may be on machines.
    pub(in crate::scheduler) fn stopping(&self) -> &BTreeSet<JobId> {
        &self.stopping
    }

    /// Returns the resources of the team's tasks that may be on machines.
    pub(in crate::scheduler) fn used(&self, team: &str) -> Resources {
        self.teams.used(team)
    }

    /// Returns the accounts of the teams' usage and guarantees.
    pub(in crate::scheduler) fn teams(&mut self) -> &mut TeamAccounts {
        &mut self.teams
    }

    /// Iterates over the images of a class's jobs, with the number of jobs for each image
    /// and the specification of one of them.
    pub(in crate::scheduler) fn images_of<'a>(
        &'a self,
        class: &str,
    ) -> impl Iterator<Item = (u32, Rc<JobSpec>)> + 'a {
        let by_image = self.images.get(class).into_iter().flatten();
        by_image.filter_map(|(_, jobs)| {
            let job = self.jobs.get(jobs.first()?)?;
            Some((jobs.len() as u32, job.spec.clone()))
        })
    }

    /// Iterates over the jobs of a class that use an image.
    pub(in crate::scheduler) fn with_image<'a>(
        &'a self,
        class: &str,
        image: &str,
    ) -> impl Iterator<Item = &'a Job> {
        let jobs = self
            .images
            .get(class)
            .and_then(|by_image| by_image.get(image));
        jobs.into_iter()
            .flatten()
            .filter_map(|id| self.jobs.get(id))
    }

    /// Recomputes the lists and the teams' usage, and returns the first difference from
    /// the maintained ones. For tests.
    pub(in crate::scheduler) fn check_invariants(&self) -> Result<(), InvariantViolation> {
        self.check_lists()?;
        self.check_usage()
    }

    fn check_lists(&self) -> Result<(), InvariantViolation> {
        let recompute = |is_listed: fn(&JobListing) -> bool| -> BTreeSet<JobId> {
            self.jobs
                .iter()
                .filter(|(_, job)| is_listed(&JobListing::of(job)))
                .map(|(id, _)| id.clone())
                .collect()
        };
        for (list, listed, recomputed) in [
            ("waiting", &self.waiting, recompute(|l| l.waiting)),
            ("unwritten", &self.unwritten, recompute(|l| l.unwritten)),
            ("stale", &self.stale, recompute(|l| l.stale)),
            ("stopping", &self.stopping, recompute(|l| l.stopping)),
        ] {
            if *listed != recomputed {
                return Err(InvariantViolation::JobList {
                    list,
                    listed: listed.clone(),
                    recomputed,
                });
            }
        }
        Ok(())
    }

    fn check_usage(&self) -> Result<(), InvariantViolation> {
        let mut by_team: HashMap<Rc<str>, Resources> = HashMap::new();
        for job in self.jobs.values() {
            let sum = by_team.entry(job.spec.team.clone()).or_default();
            sum.add(&job.task_request.scaled(job.assignments.len() as f64));
        }
        for (team, used) in self.teams.all_used() {
            let recomputed = by_team.get(team).copied().unwrap_or_default();
            let difference =
                (used.gpus - recomputed.gpus).abs() + (used.cpus - recomputed.cpus).abs();
            if difference > MAX_USAGE_DIFFERENCE {
                return Err(InvariantViolation::TeamUsage {
                    team: team.clone(),
                    used: *used,
                    recomputed,
                });
            }
        }
        Ok(())
    }
}

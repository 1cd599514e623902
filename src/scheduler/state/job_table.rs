//! The leader's unfinished jobs, and what is derived from them: which wait, which
//! have to be written, what teams use, which images are asked for. A job that is to
//! be changed is taken from [`JobTable::get_mut`], which notes it as touched;
//! [`JobTable::refresh`] then brings the derived lists up to date for touched jobs,
//! and for no others.

use crate::ids::JobId;
use crate::placement::Resources;
use crate::scheduler::state::job::Job;
use crate::scheduler::state::quotas::TeamAccounts;
use crate::scheduler::InvariantViolation;
use crate::wire::users::JobSpec;
use std::collections::{btree_map, BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// How far a team's usage may differ from the sum over its jobs by rounding.
const MAX_USAGE_DIFFERENCE: f64 = 1e-6;

/// How the lists of [`JobTable`] hold a job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(in crate::scheduler) struct JobListing {
    /// It has tasks that wait to be placed.
    waiting: bool,
    /// Something of it has to be stored.
    unwritten: bool,
    /// Its record was changed by somebody else.
    stale: bool,
    /// It is cancelled, and tasks may still be on machines.
    stopping: bool,
    /// How many tasks may be on machines.
    assigned: usize,
    /// How many tasks count towards its team's guarantee.
    guaranteed: Option<u32>,
}

impl JobListing {
    fn of(job: &Job) -> JobListing {
        let cancelled = job.cancelled.is_some();
        let readable = !job.stale && !job.unreadable;
        let may_run = !cancelled && !job.dependencies_open;
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

/// What its team's account needs of a job; it never changes.
struct ImmutableJobFacts {
    team: Rc<str>,
    task_request: Resources,
    submitted: u64,
}

impl ImmutableJobFacts {
    fn of(job: &Job) -> ImmutableJobFacts {
        ImmutableJobFacts {
            team: job.spec.team.clone(),
            task_request: job.task_request,
            submitted: job.submitted,
        }
    }
}

/// The jobs with an image, by image.
type ByImage = BTreeMap<Rc<str>, BTreeSet<JobId>>;

/// All unfinished jobs.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct JobTable {
    jobs: BTreeMap<JobId, Job>,
    /// Jobs that changed since the lists were last brought up to date.
    touched: Vec<JobId>,
    waiting: BTreeSet<JobId>,
    /// Jobs that began to wait since this was last taken.
    newly_waiting: Vec<JobId>,
    unwritten: BTreeSet<JobId>,
    stale: BTreeSet<JobId>,
    stopping: BTreeSet<JobId>,
    teams: TeamAccounts,
    /// The jobs with each image, by class.
    images: HashMap<Rc<str>, ByImage>,
}

impl JobTable {
    /// Forgets all jobs.
    pub(in crate::scheduler) fn clear(&mut self) {
        *self = JobTable::default();
    }

    /// How many jobs there are.
    pub(in crate::scheduler) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether the job is held.
    pub(in crate::scheduler) fn contains(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
    }

    /// The job of this name.
    pub(in crate::scheduler) fn get(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// The job of this name, to be changed.
    pub(in crate::scheduler) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        let job = self.jobs.get_mut(id)?;
        if !std::mem::replace(&mut job.dirty, true) {
            self.touched.push(id.clone());
        }
        Some(job)
    }

    /// All jobs, by name.
    pub(in crate::scheduler) fn iter(&self) -> btree_map::Iter<'_, JobId, Job> {
        self.jobs.iter()
    }

    /// Adds a job.
    pub(super) fn insert(&mut self, id: JobId, job: Job) {
        let by_image = self.images.entry(job.spec.class.clone()).or_default();
        let with_image = by_image.entry(job.spec.image.clone()).or_default();
        with_image.insert(id.clone());
        self.jobs.insert(id.clone(), job);
        self.get_mut(&id);
    }

    /// Removes a job that is over.
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

    /// Brings the lists up to date. Returns how many jobs had changed.
    pub(in crate::scheduler) fn refresh(&mut self) -> u64 {
        let touched = std::mem::take(&mut self.touched);
        for id in &touched {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            job.dirty = false;
            let now = JobListing::of(job);
            let before = std::mem::replace(&mut job.listed, now);
            if now != before {
                let facts = ImmutableJobFacts::of(job);
                self.update_lists(id, &facts, before, now);
            }
        }
        touched.len() as u64
    }

    /// Moves a job between the lists.
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
            let submission = (facts.submitted, id.clone());
            self.teams.set_remaining(&facts.team, submission, remaining);
        }
    }

    // ---- lists, as of the last refresh ----

    /// Jobs with tasks that wait to be placed.
    pub(in crate::scheduler) fn waiting(&self) -> &BTreeSet<JobId> {
        &self.waiting
    }

    /// Takes the jobs that began to wait since the last call.
    pub(in crate::scheduler) fn take_newly_waiting(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.newly_waiting)
    }

    /// Jobs of which something has to be stored.
    pub(super) fn unwritten(&self) -> &BTreeSet<JobId> {
        &self.unwritten
    }

    /// Jobs whose record was changed by somebody else.
    pub(super) fn stale(&self) -> &BTreeSet<JobId> {
        &self.stale
    }

    /// Cancelled jobs with tasks that may be on machines.
    pub(in crate::scheduler) fn stopping(&self) -> &BTreeSet<JobId> {
        &self.stopping
    }

    /// What the team's tasks may be using.
    pub(in crate::scheduler) fn used(&self, team: &str) -> Resources {
        self.teams.used(team)
    }

    /// What teams use and are guaranteed.
    pub(in crate::scheduler) fn teams(&mut self) -> &mut TeamAccounts {
        &mut self.teams
    }

    /// The images of a class's jobs: how many have each, and one that stands for
    /// them.
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

    /// The jobs of a class with an image.
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

    /// Recounts the lists and the teams' usage, and compares. For tests.
    pub(in crate::scheduler) fn check_invariants(&self) -> Result<(), InvariantViolation> {
        self.check_lists()?;
        self.check_usage()
    }

    fn check_lists(&self) -> Result<(), InvariantViolation> {
        let recount = |is_listed: fn(&JobListing) -> bool| -> BTreeSet<JobId> {
            self.jobs
                .iter()
                .filter(|(_, job)| is_listed(&JobListing::of(job)))
                .map(|(id, _)| id.clone())
                .collect()
        };
        for (list, listed, recounted) in [
            ("waiting", &self.waiting, recount(|l| l.waiting)),
            ("unwritten", &self.unwritten, recount(|l| l.unwritten)),
            ("stale", &self.stale, recount(|l| l.stale)),
            ("stopping", &self.stopping, recount(|l| l.stopping)),
        ] {
            if *listed != recounted {
                return Err(InvariantViolation::JobList {
                    list,
                    listed: listed.clone(),
                    recounted,
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
            let recounted = by_team.get(team).copied().unwrap_or_default();
            let difference =
                (used.gpus - recounted.gpus).abs() + (used.cpus - recounted.cpus).abs();
            if difference > MAX_USAGE_DIFFERENCE {
                return Err(InvariantViolation::TeamUsage {
                    team: team.clone(),
                    used: *used,
                    recounted,
                });
            }
        }
        Ok(())
    }
}

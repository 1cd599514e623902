//! The leader's unfinished jobs, and what follows from them: which wait, which
//! have to be written, what teams use, which images are asked for. Whoever
//! changes a job gets it from here, and what follows is brought up to date by
//! [`JobTable::refresh`] for the jobs that were changed, and for no others.

use crate::ids::JobId;
use crate::placement::Resources;
use crate::scheduler::state::job::Job;
use crate::scheduler::state::quotas::TeamAccounts;
use crate::wire::users::JobSpec;
use std::collections::{btree_map, BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// What is known of a job in the lists below.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(in crate::scheduler) struct JobListing {
    waiting: bool,
    unwritten: bool,
    stale: bool,
    /// It is cancelled, and tasks may still be on machines.
    stopping: bool,
    /// Tasks that may be on machines.
    assigned: usize,
    /// Tasks that its team's guarantee is for.
    left: Option<u32>,
}

impl JobListing {
    fn of(job: &Job) -> JobListing {
        let cancelled = job.cancelled.is_some();
        let readable = !job.stale && !job.unreadable;
        let counts = !cancelled && !job.dependencies_open;
        JobListing {
            waiting: !cancelled && !job.dependencies_open && !job.pending.is_empty() && readable,
            unwritten: !job.stale && !job.finishing && job.has_unwritten(),
            stale: job.stale,
            stopping: cancelled && !job.assignments.is_empty(),
            assigned: job.assignments.len(),
            left: counts.then(|| job.spec.tasks - job.done.len() as u32),
        }
    }
}

/// What of a job never changes.
struct ImmutableJobFacts {
    team: Rc<str>,
    need: Resources,
    submitted: u64,
}

impl ImmutableJobFacts {
    fn of(job: &Job) -> ImmutableJobFacts {
        ImmutableJobFacts {
            team: job.spec.team.clone(),
            need: job.task_request,
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
    /// Changed since the lists were last brought up to date.
    touched: Vec<JobId>,
    waiting: BTreeSet<JobId>,
    /// Began to wait since this was last asked.
    newly_waiting: Vec<JobId>,
    unwritten: BTreeSet<JobId>,
    stale: BTreeSet<JobId>,
    stopping: BTreeSet<JobId>,
    teams: TeamAccounts,
    /// By class.
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

    /// A job that is about to be changed.
    pub(in crate::scheduler) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        let job = self.jobs.get_mut(id)?;
        if !std::mem::replace(&mut job.dirty, true) {
            self.touched.push(id.clone());
        }
        Some(job)
    }

    pub(in crate::scheduler) fn iter(&self) -> btree_map::Iter<'_, JobId, Job> {
        self.jobs.iter()
    }

    pub(in crate::scheduler) fn insert(&mut self, id: JobId, job: Job) {
        let by_image = self.images.entry(job.spec.class.clone()).or_default();
        let with_image = by_image.entry(job.spec.image.clone()).or_default();
        with_image.insert(id.clone());
        self.jobs.insert(id.clone(), job);
        self.get_mut(&id);
    }

    pub(in crate::scheduler) fn remove(&mut self, id: &JobId) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        self.relist(
            id,
            &ImmutableJobFacts::of(&job),
            job.listed,
            JobListing::default(),
        );
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

    /// Brings the lists up to date. Says how many jobs had changed.
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
                let fixed = ImmutableJobFacts::of(job);
                self.relist(id, &fixed, before, now);
            }
        }
        touched.len() as u64
    }

    /// Moves a job between the lists.
    fn relist(&mut self, id: &JobId, job: &ImmutableJobFacts, before: JobListing, now: JobListing) {
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
            self.teams
                .set_tasks(&job.team, &job.need, before.assigned, now.assigned);
        }
        if now.left != before.left {
            let left = now.left.map(|tasks| job.need.scaled(f64::from(tasks)));
            let submission = (job.submitted, id.clone());
            self.teams.set_left(&job.team, submission, left);
        }
    }

    // ---- lists, as of the last refresh ----

    /// Jobs with tasks that wait for a place.
    pub(in crate::scheduler) fn waiting(&self) -> &BTreeSet<JobId> {
        &self.waiting
    }

    /// Jobs that began to wait since this was last asked.
    pub(in crate::scheduler) fn take_newly_waiting(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.newly_waiting)
    }

    /// Jobs of which something has to be stored.
    pub(in crate::scheduler) fn unwritten(&self) -> &BTreeSet<JobId> {
        &self.unwritten
    }

    /// Jobs whose record changed under us.
    pub(in crate::scheduler) fn stale(&self) -> &BTreeSet<JobId> {
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

    /// Counts everything anew and compares; the error names what is wrong.
    pub(in crate::scheduler) fn check(&self) -> Result<(), String> {
        let listed = |holds: &dyn Fn(&JobListing) -> bool| -> BTreeSet<JobId> {
            let all = self
                .jobs
                .iter()
                .filter(|(_, job)| holds(&JobListing::of(job)));
            all.map(|(id, _)| id.clone()).collect()
        };
        for (name, list, anew) in [
            ("waiting", &self.waiting, listed(&|l| l.waiting)),
            ("unwritten", &self.unwritten, listed(&|l| l.unwritten)),
            ("stale", &self.stale, listed(&|l| l.stale)),
            ("stopping", &self.stopping, listed(&|l| l.stopping)),
        ] {
            if *list != anew {
                return Err(format!(
                    "jobs that are {name}: {list:?}, counted anew {anew:?}"
                ));
            }
        }
        let mut used: HashMap<Rc<str>, Resources> = HashMap::new();
        for job in self.jobs.values() {
            let sum = used.entry(job.spec.team.clone()).or_default();
            sum.add(&job.task_request.scaled(job.assignments.len() as f64));
        }
        for (team, kept) in self.teams.all_used() {
            let anew = used.get(team).copied().unwrap_or_default();
            let off = (kept.gpus - anew.gpus).abs() + (kept.cpus - anew.cpus).abs();
            if off > 1e-6 {
                return Err(format!("use of {team}: {kept:?}, counted anew {anew:?}"));
            }
        }
        Ok(())
    }
}

//! What each team uses and is guaranteed, kept as its jobs change.

use crate::ids::JobId;
use crate::placement::Resources;
use crate::settings::{Settings, Team};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Rounding of decimal amounts must not cost a team its last task.
const SLOP: f64 = 1e-6;

/// Orders a team's jobs by when they were submitted.
type Submission = (u64, JobId);

/// One team's part.
#[derive(Debug, Default)]
struct TeamAccount {
    /// Its tasks that may be on machines.
    tasks: u64,
    /// What they take together.
    used: Resources,
    /// What its unfinished jobs have left to run, in the order of submission.
    left: BTreeMap<Submission, Resources>,
    /// The last job that fits into the guarantee together with all before it.
    last_within: Option<Submission>,
    /// `last_within` has to be found anew.
    changed: bool,
}

/// All teams' parts.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct TeamAccounts {
    teams: HashMap<Rc<str>, TeamAccount>,
}

/// Whether amounts stay below bounds of which 0 means none.
fn within(used: &Resources, cpus_most: f64, gpus_most: f64) -> bool {
    let fits = |used: f64, most: f64| most <= 0.0 || used <= most + SLOP;
    fits(used.cpus, cpus_most) && fits(used.gpus, gpus_most)
}

impl TeamAccounts {
    fn team(&mut self, name: &Rc<str>) -> &mut TeamAccount {
        self.teams.entry(name.clone()).or_default()
    }

    /// So many tasks of a job were placed, before and now.
    pub(in crate::scheduler) fn set_tasks(
        &mut self,
        team: &Rc<str>,
        need: &Resources,
        before: usize,
        now: usize,
    ) {
        let book = self.team(team);
        book.tasks = book.tasks + now as u64 - before as u64;
        if book.tasks == 0 {
            // Sums of decimals must not leave dust behind.
            book.used = Resources::default();
            return;
        }
        book.used.subtract(&need.scaled(before as f64));
        book.used.add(&need.scaled(now as f64));
    }

    /// What a job has left to run; `None`: it needs no guarantee any more.
    pub(in crate::scheduler) fn set_left(
        &mut self,
        team: &Rc<str>,
        job: Submission,
        left: Option<Resources>,
    ) {
        let book = self.team(team);
        book.changed = true;
        match left {
            Some(left) => book.left.insert(job, left),
            None => book.left.remove(&job),
        };
    }

    /// What the team's tasks may be using.
    pub(in crate::scheduler) fn used(&self, team: &str) -> Resources {
        self.teams
            .get(team)
            .map_or(Resources::default(), |book| book.used)
    }

    /// Whether a job fits into its team's guarantee together with the team's
    /// earlier unfinished ones.
    pub(in crate::scheduler) fn is_within(
        &mut self,
        settings: &Settings,
        team: &str,
        job: &Submission,
        examined: &mut u64,
    ) -> bool {
        let Some(guarantee) = settings.team(team).filter(|t| t.cpus > 0.0 || t.gpus > 0.0) else {
            return false;
        };
        let Some(book) = self.teams.get_mut(team) else {
            return false;
        };
        if std::mem::take(&mut book.changed) {
            book.find_last_within(guarantee, examined);
        }
        book.last_within.as_ref().is_some_and(|last| job <= last)
    }

    /// What each team uses, for tests that count everything anew.
    pub(in crate::scheduler) fn all_used(&self) -> impl Iterator<Item = (&Rc<str>, &Resources)> {
        self.teams.iter().map(|(name, book)| (name, &book.used))
    }
}

impl TeamAccount {
    fn find_last_within(&mut self, guarantee: &Team, examined: &mut u64) {
        let mut sum = Resources::default();
        self.last_within = None;
        for (job, left) in &self.left {
            *examined += 1;
            sum.add(left);
            if !within(&sum, guarantee.cpus, guarantee.gpus) {
                return;
            }
            self.last_within = Some(job.clone());
        }
    }
}

/// Whether the team may take one more such task.
pub(in crate::scheduler) fn within_quota(
    settings: &Settings,
    team: &str,
    used: &Resources,
    need: &Resources,
) -> bool {
    let Some(team) = settings.team(team) else {
        return false;
    };
    let mut all = *used;
    all.add(need);
    within(&all, team.cpus_max, team.gpus_max)
}

//! What each team uses and what its quota guarantees, kept up to date as its jobs
//! change.

use crate::ids::JobId;
use crate::placement::Resources;
use crate::settings::{Settings, Team};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// How far a sum may exceed its bound: rounding of decimal amounts must not cost a
/// team its last task.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Orders a team's jobs by their time of submission.
type Submission = (u64, JobId);

/// One team's usage and guarantee.
#[derive(Debug, Default)]
struct TeamAccount {
    /// Its tasks that may be on machines.
    tasks: u64,
    /// The resources that these take together.
    used: Resources,
    /// What its unfinished jobs have left to run, in the order of submission.
    remaining: BTreeMap<Submission, Resources>,
    /// The last job that fits into the guarantee together with all before it.
    last_guaranteed: Option<Submission>,
    /// `last_guaranteed` has to be worked out anew.
    is_stale: bool,
}

/// All teams' usage and guarantees.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct TeamAccounts {
    teams: HashMap<Rc<str>, TeamAccount>,
}

/// Whether amounts stay below bounds of which 0 means none.
fn within_bounds(used: &Resources, max_cpus: f64, max_gpus: f64) -> bool {
    let fits = |used: f64, max: f64| max <= 0.0 || used <= max + ROUNDING_TOLERANCE;
    fits(used.cpus, max_cpus) && fits(used.gpus, max_gpus)
}

impl TeamAccounts {
    fn account_mut(&mut self, team: &Rc<str>) -> &mut TeamAccount {
        self.teams.entry(team.clone()).or_default()
    }

    /// Changes how many tasks of a job may be on machines.
    pub(super) fn set_assigned_tasks(
        &mut self,
        team: &Rc<str>,
        task_request: &Resources,
        before: usize,
        now: usize,
    ) {
        let account = self.account_mut(team);
        account.tasks = account.tasks + now as u64 - before as u64;
        if account.tasks == 0 {
            // Sums of decimals must not leave a remainder behind.
            account.used = Resources::default();
            return;
        }
        account.used.subtract(&task_request.scaled(before as f64));
        account.used.add(&task_request.scaled(now as f64));
    }

    /// Sets what a job has left to run; `None`: the guarantee doesn't count for it
    /// any more.
    pub(super) fn set_remaining(
        &mut self,
        team: &Rc<str>,
        job: Submission,
        remaining: Option<Resources>,
    ) {
        let account = self.account_mut(team);
        account.is_stale = true;
        match remaining {
            Some(remaining) => account.remaining.insert(job, remaining),
            None => account.remaining.remove(&job),
        };
    }

    /// What the team's tasks may be using.
    pub(super) fn used(&self, team: &str) -> Resources {
        self.teams
            .get(team)
            .map_or(Resources::default(), |account| account.used)
    }

    /// Whether a job fits into its team's guarantee together with the team's
    /// earlier unfinished ones.
    pub(in crate::scheduler) fn is_guaranteed(
        &mut self,
        settings: &Settings,
        team: &str,
        job: &Submission,
        examined: &mut u64,
    ) -> bool {
        let Some(guarantee) = settings.team(team).filter(|t| t.cpus > 0.0 || t.gpus > 0.0) else {
            return false;
        };
        let Some(account) = self.teams.get_mut(team) else {
            return false;
        };
        if std::mem::take(&mut account.is_stale) {
            account.update_last_guaranteed(guarantee, examined);
        }
        account
            .last_guaranteed
            .as_ref()
            .is_some_and(|last| job <= last)
    }

    /// What each team uses, for the check that counts everything anew.
    pub(super) fn all_used(&self) -> impl Iterator<Item = (&Rc<str>, &Resources)> {
        self.teams
            .iter()
            .map(|(team, account)| (team, &account.used))
    }
}

impl TeamAccount {
    fn update_last_guaranteed(&mut self, guarantee: &Team, examined: &mut u64) {
        let mut sum = Resources::default();
        self.last_guaranteed = None;
        for (job, remaining) in &self.remaining {
            *examined += 1;
            sum.add(remaining);
            if !within_bounds(&sum, guarantee.cpus, guarantee.gpus) {
                return;
            }
            self.last_guaranteed = Some(job.clone());
        }
    }
}

/// Whether the team's limit allows one more such task.
pub(in crate::scheduler) fn within_quota(
    settings: &Settings,
    team: &str,
    used: &Resources,
    task_request: &Resources,
) -> bool {
    let Some(team) = settings.team(team) else {
        return false;
    };
    let mut with_task = *used;
    with_task.add(task_request);
    within_bounds(&with_task, team.cpus_max, team.gpus_max)
}

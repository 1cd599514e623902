//! Accounts of each team's usage and guaranteed quota, updated as the team's jobs change.

use crate::ids::JobId;
use crate::placement::Resources;
use crate::settings::{Settings, Team};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// The most by which a sum may exceed its bound. Without a tolerance, rounding of decimal
/// amounts could prevent a team from running the last task within its quota.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The key that orders a team's jobs: time of submission (wall clock, milliseconds) and
/// id.
type SubmissionKey = (u64, JobId);

/// The usage of one team, and which of its jobs its quota guarantees.
#[derive(Debug, Default)]
struct TeamAccount {
    /// The number of the team's tasks that may be on machines.
    tasks: u64,
    /// The resources that these tasks take together.
    used: Resources,
    /// The resources of the unfinished tasks of each job that may run, in the order of
    /// submission.
    remaining: BTreeMap<SubmissionKey, Resources>,
    /// The last job that fits into the guarantee together with all earlier jobs.
    last_guaranteed: Option<SubmissionKey>,
    /// Whether `last_guaranteed` has to be recomputed.
    last_guaranteed_is_stale: bool,
}

/// The accounts of all teams.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct TeamAccounts {
    teams: HashMap<Rc<str>, TeamAccount>,
}

/// Returns whether the resources stay within the bounds. A bound of 0 means unlimited.
fn within_bounds(used: &Resources, max_cpus: f64, max_gpus: f64) -> bool {
    let fits = |used: f64, max: f64| max <= 0.0 || used <= max + ROUNDING_TOLERANCE;
    fits(used.cpus, max_cpus) && fits(used.gpus, max_gpus)
}

impl TeamAccounts {
    fn account_mut(&mut self, team: &Rc<str>) -> &mut TeamAccount {
        self.teams.entry(team.clone()).or_default()
    }

    /// Updates the team's usage when the number of a job's tasks that may be on machines
    /// changes from `before` to `now`.
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
            // The sum is reset so that rounding errors don't accumulate.
            account.used = Resources::default();
            return;
        }
        account.used.subtract(&task_request.scaled(before as f64));
        account.used.add(&task_request.scaled(now as f64));
    }

    /// Sets the resources of a job's unfinished tasks; `None`: the job no longer counts
    /// towards the guarantee.
    pub(super) fn set_remaining(
        &mut self,
        team: &Rc<str>,
        job: SubmissionKey,
        remaining: Option<Resources>,
    ) {
        let account = self.account_mut(team);
        account.last_guaranteed_is_stale = true;
        match remaining {
            Some(remaining) => account.remaining.insert(job, remaining),
            None => account.remaining.remove(&job),
        };
    }

    /// Returns the resources of the team's tasks that may be on machines.
    pub(super) fn used(&self, team: &str) -> Resources {
        self.teams
            .get(team)
            .map_or(Resources::default(), |account| account.used)
    }

    /// Returns whether a job fits into its team's guarantee together with the team's earlier
    /// unfinished jobs. Adds the number of jobs visited to `examined`.
    pub(in crate::scheduler) fn is_guaranteed(
        &mut self,
        settings: &Settings,
        team: &str,
        job: &SubmissionKey,
        examined: &mut u64,
    ) -> bool {
        let Some(guarantee) = settings.team(team).filter(|t| t.cpus > 0.0 || t.gpus > 0.0) else {
            return false;
        };
        let Some(account) = self.teams.get_mut(team) else {
            return false;
        };
        if std::mem::take(&mut account.last_guaranteed_is_stale) {
            account.update_last_guaranteed(guarantee, examined);
        }
        account
            .last_guaranteed
            .as_ref()
            .is_some_and(|last| job <= last)
    }

    /// Iterates over the teams' usage, for the invariant check that recomputes it.
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

/// Returns whether the team's quota allows one more task with this request; `false` for an
/// unknown team.
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

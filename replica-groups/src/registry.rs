//! All groups of all jobs, and which of them have to be looked at again.

use crate::group::{GroupAction, GroupEvent, GroupTiming, ReplicaGroup};
use crate::metrics::{GroupMetrics, StateCounts};
use crate::observation::Part;
use crate::record::{GroupRecord, MigrationIntent};
use crate::shape::{Replica, Shape};
use lilacfork_common::ids::JobId;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// The groups of one job.
#[derive(Debug)]
pub struct JobGroups {
    shape: Shape,
    groups: Vec<ReplicaGroup>,
}

impl JobGroups {
    fn new(shape: Shape) -> JobGroups {
        let groups = (0..shape.replicas()).map(|n| ReplicaGroup::new(Replica(n)));
        JobGroups {
            shape,
            groups: groups.collect(),
        }
    }

    /// How the job's tasks form them.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    /// The groups, in order.
    pub fn iter(&self) -> impl Iterator<Item = &ReplicaGroup> {
        self.groups.iter()
    }

    /// A group.
    pub fn get(&self, replica: Replica) -> Option<&ReplicaGroup> {
        self.groups.get(replica.0 as usize)
    }

    /// A group, to be told something.
    pub fn get_mut(&mut self, replica: Replica) -> Option<&mut ReplicaGroup> {
        self.groups.get_mut(replica.0 as usize)
    }

    /// The group that a task is a part of.
    pub fn of_task(&mut self, task: u32) -> Option<&mut ReplicaGroup> {
        self.get_mut(self.shape.replica_of(task))
    }

    /// Whether the task is a part of a group that serves.
    pub fn serves(&self, task: u32) -> bool {
        let group = self.get(self.shape.replica_of(task));
        group.is_some_and(ReplicaGroup::serves)
    }

    /// Whether groups wait for a place that they may have now, and if so, whether
    /// all of those fail wherever they run.
    pub fn only_failing_wait(&self, now_ms: u64) -> Option<bool> {
        let mut waiting = self.groups.iter().filter(|g| g.wants_place(now_ms));
        let first = waiting.next()?;
        let failing = |group: &ReplicaGroup| group.failures().is_open();
        Some(failing(first) && waiting.all(failing))
    }

    /// The rows of a range of tasks in its placement record.
    pub fn records(&self, tasks: std::ops::Range<u32>) -> Vec<GroupRecord> {
        let within =
            |group: &&ReplicaGroup| tasks.contains(&self.shape.tasks_of(group.replica()).start);
        let groups = self.groups.iter().filter(within);
        groups.filter_map(ReplicaGroup::to_record).collect()
    }
}

/// One group of all.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct GroupId {
    /// Its job.
    pub job: JobId,
    /// Which replica of it.
    pub replica: Replica,
}

impl GroupId {
    /// This replica of this job.
    pub fn new(job: &JobId, replica: Replica) -> GroupId {
        GroupId {
            job: job.clone(),
            replica,
        }
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.job, self.replica.0)
    }
}

/// All groups.
pub struct ReplicaGroups {
    timing: GroupTiming,
    jobs: BTreeMap<JobId, JobGroups>,
    touched: BTreeSet<GroupId>,
    /// Those for which room may be held.
    holding: BTreeSet<GroupId>,
    figures: GroupMetrics,
}

impl ReplicaGroups {
    /// There are none yet.
    pub fn new(timing: GroupTiming) -> ReplicaGroups {
        ReplicaGroups {
            timing,
            jobs: BTreeMap::new(),
            touched: BTreeSet::new(),
            holding: BTreeSet::new(),
            figures: GroupMetrics::default(),
        }
    }

    /// Forgets everything: the leader leads no longer.
    pub fn clear(&mut self) {
        *self = ReplicaGroups::new(self.timing);
    }

    /// The times that decide.
    pub fn timing(&self) -> GroupTiming {
        self.timing
    }

    /// A job whose tasks form groups is known.
    pub fn add(&mut self, job: &JobId, shape: Shape) {
        self.jobs.insert(job.clone(), JobGroups::new(shape));
        self.touch(job);
    }

    /// A job is over.
    pub fn remove(&mut self, job: &JobId) {
        if self.jobs.remove(job).is_none() {
            return;
        }
        self.touched.retain(|id| id.job != *job);
        self.holding.retain(|id| id.job != *job);
    }

    /// A group.
    pub fn group(&self, id: &GroupId) -> Option<&ReplicaGroup> {
        self.jobs.get(&id.job)?.get(id.replica)
    }

    /// A group, to be told something.
    pub fn group_mut(&mut self, id: &GroupId) -> Option<&mut ReplicaGroup> {
        self.jobs.get_mut(&id.job)?.get_mut(id.replica)
    }

    /// The groups for which room is held.
    pub fn holding(&self, now_ms: u64) -> Vec<GroupId> {
        let holds = |id: &&GroupId| self.group(id).is_some_and(|g| !g.held(now_ms).is_empty());
        self.holding.iter().filter(holds).cloned().collect()
    }

    /// The groups of a job; `None`: its tasks form none.
    pub fn get(&self, job: &JobId) -> Option<&JobGroups> {
        self.jobs.get(job)
    }

    /// The groups of a job, to be told something.
    pub fn get_mut(&mut self, job: &JobId) -> Option<&mut JobGroups> {
        self.jobs.get_mut(job)
    }

    /// Something of a task, which may be a part, has changed.
    pub fn touch_task(&mut self, job: &JobId, task: u32) {
        if let Some(groups) = self.jobs.get(job) {
            self.touched
                .insert(GroupId::new(job, groups.shape.replica_of(task)));
        }
    }

    /// Something of a group has changed.
    pub fn touch_group(&mut self, id: &GroupId) {
        self.touched.insert(id.clone());
    }

    /// Something of all the job's groups may have changed.
    pub fn touch(&mut self, job: &JobId) {
        let groups = self.jobs.get(job).into_iter().flat_map(JobGroups::iter);
        self.touched
            .extend(groups.map(|group| GroupId::new(job, group.replica())));
    }

    /// Time has passed: machines may be silent, and times be over.
    pub fn touch_all(&mut self) {
        let jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        for job in &jobs {
            self.touch(job);
        }
    }

    /// Whether a group has to be looked at.
    pub fn is_touched(&self, id: &GroupId) -> bool {
        self.touched.contains(id)
    }

    /// The groups that have to be looked at, once.
    pub fn take_touched(&mut self) -> BTreeSet<GroupId> {
        std::mem::take(&mut self.touched)
    }

    /// Judges a group by its parts; see [`Group::observe`].
    pub fn observe(
        &mut self,
        now_ms: u64,
        id: &GroupId,
        parts: &[Part],
        targets_open: bool,
    ) -> Vec<GroupAction> {
        let timing = self.timing;
        let Some(group) = self.group_mut(id) else {
            return Vec::new();
        };
        let actions = group.observe(now_ms, &timing, parts, targets_open);
        let holds = !group.held(now_ms).is_empty();
        if holds {
            self.holding.insert(id.clone());
        } else {
            self.holding.remove(id);
        }
        for action in &actions {
            if let GroupAction::Note(note) = action {
                self.note(*note);
            }
        }
        actions
    }

    /// Room was found for a group's move; see [`Group::begin_move`].
    pub fn begin_move(&mut self, now_ms: u64, id: &GroupId, intent: MigrationIntent) {
        let timing = self.timing;
        if let Some(group) = self.group_mut(id) {
            group.begin_move(now_ms, &timing, intent);
            self.holding.insert(id.clone());
        }
    }

    /// All parts of a group were bound. Tells whether it has moved by that.
    pub fn placed(&mut self, id: &GroupId) -> Option<GroupEvent> {
        self.holding.remove(id);
        self.touched.insert(id.clone());
        let note = self.group_mut(id)?.placed()?;
        self.note(note);
        Some(note)
    }

    fn note(&mut self, note: GroupEvent) {
        match note {
            GroupEvent::Repaired { took_ms } => self.figures.repaired(took_ms),
            GroupEvent::Interrupted => self.figures.interrupted += 1,
            GroupEvent::Moved => self.figures.moved += 1,
            GroupEvent::MoveAbandoned(_) => self.figures.abandoned += 1,
            GroupEvent::MoveResumed => {}
        }
    }

    /// All jobs that have groups.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &JobGroups)> {
        self.jobs.iter()
    }

    /// Groups by state.
    pub fn counts(&self) -> StateCounts {
        let mut counts = StateCounts::default();
        for group in self.jobs.values().flat_map(JobGroups::iter) {
            counts.add(group.state());
            counts.moving += usize::from(group.moving().is_some());
            counts.failing += usize::from(group.failures().is_open());
        }
        counts
    }

    /// What has happened since the leader was elected.
    pub fn figures(&self) -> &GroupMetrics {
        &self.figures
    }
}

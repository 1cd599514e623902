//! The groups of all jobs, and which of them have to be evaluated again.

use crate::group::{GroupAction, GroupEvent, GroupTiming, MigrationTargets, ReplicaGroup};
use crate::job_groups::JobGroups;
use crate::metrics::{GroupMetrics, StateCounts};
use crate::observation::Part;
use crate::record::MigrationIntent;
use crate::shape::{ReplicaIndex, Shape};
use lilacfork_common::ids::JobId;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Identifies a group among those of all jobs.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct GroupId {
    /// Its job.
    pub job: JobId,
    /// Which replica of the job.
    pub replica: ReplicaIndex,
}

impl GroupId {
    /// The id of a job's replica.
    pub fn new(job: &JobId, replica: ReplicaIndex) -> GroupId {
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

/// The groups of all jobs.
pub struct ReplicaGroups {
    timing: GroupTiming,
    jobs: BTreeMap<JobId, JobGroups>,
    /// Groups that have to be evaluated.
    touched: BTreeSet<GroupId>,
    /// Groups for which capacity may be reserved.
    reserving: BTreeSet<GroupId>,
    metrics: GroupMetrics,
}

impl ReplicaGroups {
    /// No groups yet.
    pub fn new(timing: GroupTiming) -> ReplicaGroups {
        ReplicaGroups {
            timing,
            jobs: BTreeMap::new(),
            touched: BTreeSet::new(),
            reserving: BTreeSet::new(),
            metrics: GroupMetrics::default(),
        }
    }

    /// Forgets everything, when this controller is no longer the leader.
    pub fn clear(&mut self) {
        *self = ReplicaGroups::new(self.timing);
    }

    /// The timeouts of all groups.
    pub fn timing(&self) -> GroupTiming {
        self.timing
    }

    /// Adds a job whose tasks form groups.
    pub fn add(&mut self, job: &JobId, shape: Shape) {
        self.jobs.insert(job.clone(), JobGroups::new(shape));
        self.touch(job);
    }

    /// Removes a job that has ended.
    pub fn remove(&mut self, job: &JobId) {
        if self.jobs.remove(job).is_none() {
            return;
        }
        self.touched.retain(|id| id.job != *job);
        self.reserving.retain(|id| id.job != *job);
    }

    /// The group with this id.
    pub fn group(&self, id: &GroupId) -> Option<&ReplicaGroup> {
        self.jobs.get(&id.job)?.get(id.replica)
    }

    /// The group with this id, to change it.
    pub fn group_mut(&mut self, id: &GroupId) -> Option<&mut ReplicaGroup> {
        self.jobs.get_mut(&id.job)?.get_mut(id.replica)
    }

    /// The groups for which capacity is reserved.
    pub fn with_reservations(&self, now_ms: u64) -> Vec<GroupId> {
        let has_reservation = |id: &&GroupId| {
            let group = self.group(id);
            group.is_some_and(|group| !group.reserved_targets(now_ms).is_empty())
        };
        let reserving = self.reserving.iter().filter(has_reservation);
        reserving.cloned().collect()
    }

    /// The groups of a job. `None`: its tasks don't form groups.
    pub fn get(&self, job: &JobId) -> Option<&JobGroups> {
        self.jobs.get(job)
    }

    /// The groups of a job, to change them.
    pub fn get_mut(&mut self, job: &JobId) -> Option<&mut JobGroups> {
        self.jobs.get_mut(job)
    }

    /// A task has changed: the group that it is a part of, if any, has to be
    /// evaluated.
    pub fn touch_task(&mut self, job: &JobId, task: u32) {
        if let Some(groups) = self.jobs.get(job) {
            let replica = groups.shape().replica_of(task);
            self.touched.insert(GroupId::new(job, replica));
        }
    }

    /// A group has to be evaluated.
    pub fn touch_group(&mut self, id: &GroupId) {
        self.touched.insert(id.clone());
    }

    /// All groups of a job have to be evaluated.
    pub fn touch(&mut self, job: &JobId) {
        let groups = self.jobs.get(job).into_iter().flat_map(JobGroups::iter);
        let ids = groups.map(|group| GroupId::new(job, group.replica()));
        self.touched.extend(ids);
    }

    /// All groups have to be evaluated: time has passed, so machines may have become
    /// silent and reservations may have expired.
    pub fn touch_all(&mut self) {
        let jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        for job in &jobs {
            self.touch(job);
        }
    }

    /// Whether a group has to be evaluated.
    pub fn is_touched(&self, id: &GroupId) -> bool {
        self.touched.contains(id)
    }

    /// Takes the groups that have to be evaluated.
    pub fn take_touched(&mut self) -> BTreeSet<GroupId> {
        std::mem::take(&mut self.touched)
    }

    /// Evaluates a group by its parts; see [`ReplicaGroup::observe`].
    pub fn observe(
        &mut self,
        now_ms: u64,
        id: &GroupId,
        parts: &[Part],
        targets: MigrationTargets,
    ) -> Vec<GroupAction> {
        let timing = self.timing;
        let Some(group) = self.group_mut(id) else {
            return Vec::new();
        };
        let actions = group.observe(now_ms, &timing, parts, targets);
        if !group.reserved_targets(now_ms).is_empty() {
            self.reserving.insert(id.clone());
        } else {
            self.reserving.remove(id);
        }
        for action in &actions {
            if let GroupAction::Emit(event) = action {
                self.count_event(*event);
            }
        }
        actions
    }

    /// Capacity for a group's migration was found; see
    /// [`ReplicaGroup::begin_migration`].
    pub fn begin_migration(&mut self, now_ms: u64, id: &GroupId, intent: MigrationIntent) {
        let timing = self.timing;
        if let Some(group) = self.group_mut(id) {
            group.begin_migration(now_ms, &timing, intent);
            self.reserving.insert(id.clone());
        }
    }

    /// All parts of a group were bound. Returns an event if this completes a
    /// migration.
    pub fn parts_bound(&mut self, id: &GroupId) -> Option<GroupEvent> {
        self.reserving.remove(id);
        self.touched.insert(id.clone());
        let event = self.group_mut(id)?.parts_bound()?;
        self.count_event(event);
        Some(event)
    }

    fn count_event(&mut self, event: GroupEvent) {
        match event {
            GroupEvent::Repaired { took_ms } => self.metrics.record_repair(took_ms),
            GroupEvent::Interrupted => self.metrics.interruptions += 1,
            GroupEvent::Migrated => self.metrics.migrations += 1,
            GroupEvent::MigrationAbandoned(_) => self.metrics.abandoned_migrations += 1,
            GroupEvent::MigrationResumed => {}
        }
    }

    /// All jobs that have groups.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &JobGroups)> {
        self.jobs.iter()
    }

    /// How many groups are in each state.
    pub fn counts(&self) -> StateCounts {
        let mut counts = StateCounts::default();
        for group in self.jobs.values().flat_map(JobGroups::iter) {
            counts.add(group.state());
            counts.migrating += usize::from(group.migration().is_some());
            counts.breaker_open += usize::from(group.circuit_breaker().is_open());
        }
        counts
    }

    /// What has happened to groups since the leader was elected.
    pub fn metrics(&self) -> &GroupMetrics {
        &self.metrics
    }
}

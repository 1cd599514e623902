//! The replica groups of all jobs, and the set of groups to evaluate.

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
    /// The job whose tasks are the group's parts.
    pub job: JobId,
    /// Index of the replica in the job.
    pub replica: ReplicaIndex,
}

impl GroupId {
    /// Creates the id of the group for a job's replica.
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

/// The replica groups of all jobs.
pub struct ReplicaGroups {
    timing: GroupTiming,
    jobs: BTreeMap<JobId, JobGroups>,
    /// Groups to evaluate in the next pass.
    requested_evaluations: BTreeSet<GroupId>,
    /// Groups that may have a valid reservation of capacity.
    reserving: BTreeSet<GroupId>,
    metrics: GroupMetrics,
}

impl ReplicaGroups {
    /// Creates an empty registry whose groups will share `timing`.
    pub fn new(timing: GroupTiming) -> ReplicaGroups {
        ReplicaGroups {
            timing,
            jobs: BTreeMap::new(),
            requested_evaluations: BTreeSet::new(),
            reserving: BTreeSet::new(),
            metrics: GroupMetrics::default(),
        }
    }

    /// Removes all groups and resets the metrics. The scheduler clears the registry when this
    /// controller is no longer the leader.
    pub fn clear(&mut self) {
        *self = ReplicaGroups::new(self.timing);
    }

    /// Returns the timeouts that all groups share.
    pub fn timing(&self) -> GroupTiming {
        self.timing
    }

    /// Creates the groups of a job and requests their evaluation.
    pub fn add(&mut self, job: &JobId, shape: Shape) {
        self.jobs.insert(job.clone(), JobGroups::new(shape));
        self.request_job_evaluation(job);
    }

    /// Removes the groups of a job that has ended. Does nothing if the job has no groups.
    pub fn remove(&mut self, job: &JobId) {
        if self.jobs.remove(job).is_none() {
            return;
        }
        self.requested_evaluations.retain(|id| id.job != *job);
        self.reserving.retain(|id| id.job != *job);
    }

    /// Returns the group with this id. `None` if the job has no groups or fewer replicas.
    pub fn group(&self, id: &GroupId) -> Option<&ReplicaGroup> {
        self.jobs.get(&id.job)?.get(id.replica)
    }

    /// Returns a mutable reference to the group with this id, like [`Self::group`].
    pub fn group_mut(&mut self, id: &GroupId) -> Option<&mut ReplicaGroup> {
        self.jobs.get_mut(&id.job)?.get_mut(id.replica)
    }

    /// Returns the groups that have a valid reservation of capacity.
    pub fn with_reservations(&self, now_ms: u64) -> Vec<GroupId> {
        let has_reservation = |id: &&GroupId| {
            let group = self.group(id);
            group.is_some_and(|group| !group.reserved_targets(now_ms).is_empty())
        };
        let reserving = self.reserving.iter().filter(has_reservation);
        reserving.cloned().collect()
    }

    /// Returns the groups of a job. `None` if the job's tasks don't form groups.
    pub fn get(&self, job: &JobId) -> Option<&JobGroups> {
        self.jobs.get(job)
    }

    /// Returns a mutable reference to the groups of a job, like [`Self::get`].
    pub fn get_mut(&mut self, job: &JobId) -> Option<&mut JobGroups> {
        self.jobs.get_mut(job)
    }

    /// Requests the evaluation of the group that contains a task. Does nothing if the job has
    /// no groups.
    pub fn request_task_evaluation(&mut self, job: &JobId, task: u32) {
        if let Some(groups) = self.jobs.get(job) {
            let replica = groups.shape().replica_of(task);
            self.requested_evaluations
                .insert(GroupId::new(job, replica));
        }
    }

    /// Requests the evaluation of one group.
    pub fn request_evaluation(&mut self, id: &GroupId) {
        self.requested_evaluations.insert(id.clone());
    }

    /// Requests the evaluation of all groups of a job.
    pub fn request_job_evaluation(&mut self, job: &JobId) {
        let groups = self.jobs.get(job).into_iter().flat_map(JobGroups::iter);
        let ids = groups.map(|group| GroupId::new(job, group.replica()));
        self.requested_evaluations.extend(ids);
    }

    /// Requests the evaluation of all groups. The scheduler does this as time passes, because
    /// machines may have become unresponsive and reservations may have expired.
    pub fn request_all_evaluations(&mut self) {
        let jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        for job in &jobs {
            self.request_job_evaluation(job);
        }
    }

    /// Returns whether the evaluation of a group has been requested.
    pub fn needs_evaluation(&self, id: &GroupId) -> bool {
        self.requested_evaluations.contains(id)
    }

    /// Returns the groups whose evaluation has been requested, and clears the requests.
    pub fn take_requested_evaluations(&mut self) -> BTreeSet<GroupId> {
        std::mem::take(&mut self.requested_evaluations)
    }

    /// Evaluates a group with the observed state of its parts, and counts the resulting
    /// events. See [`ReplicaGroup::evaluate`].
    pub fn evaluate(
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
        let actions = group.evaluate(now_ms, &timing, parts, targets);
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

    /// Starts a group's migration for which capacity was found. See
    /// [`ReplicaGroup::begin_migration`].
    pub fn begin_migration(&mut self, now_ms: u64, id: &GroupId, intent: MigrationIntent) {
        let timing = self.timing;
        if let Some(group) = self.group_mut(id) {
            group.begin_migration(now_ms, &timing, intent);
            self.reserving.insert(id.clone());
        }
    }

    /// Records that all parts of a group were bound, and requests the group's evaluation.
    /// Returns an event if this completes a migration.
    pub fn record_parts_bound(&mut self, id: &GroupId) -> Option<GroupEvent> {
        self.reserving.remove(id);
        self.requested_evaluations.insert(id.clone());
        let event = self.group_mut(id)?.record_parts_bound()?;
        self.count_event(event);
        Some(event)
    }

    fn count_event(&mut self, event: GroupEvent) {
        match event {
            GroupEvent::Repaired { took_ms } => self.metrics.record_repair(took_ms),
            GroupEvent::InterruptionEnded => self.metrics.interruptions += 1,
            GroupEvent::Migrated => self.metrics.migrations += 1,
            GroupEvent::MigrationAbandoned(_) => self.metrics.abandoned_migrations += 1,
            GroupEvent::MigrationResumed => {}
        }
    }

    /// Iterates over the jobs that have groups, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &JobGroups)> {
        self.jobs.iter()
    }

    /// Counts the groups in each state.
    pub fn counts(&self) -> StateCounts {
        let mut counts = StateCounts::default();
        for group in self.jobs.values().flat_map(JobGroups::iter) {
            counts.add(group.state());
            counts.migrating += usize::from(group.migration().is_some());
            counts.breaker_open += usize::from(group.circuit_breaker().is_open());
        }
        counts
    }

    /// Returns the event counts and repair times since this leader was elected.
    pub fn metrics(&self) -> &GroupMetrics {
        &self.metrics
    }
}

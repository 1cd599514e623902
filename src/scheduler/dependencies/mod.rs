//! Dependencies between jobs, as the leader tracks them. The tasks of a job are bound
//! only after the final records of all its dependencies are stored as done. A job
//! with open dependencies therefore has no task on any machine, and cancelling it
//! requires no task to be stopped.

mod propagation;
mod unresolved;

use crate::ids::JobId;
use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::records::jobs::{final_key, FinalRecord, FinalState};
use crate::scheduler::{
    Job, LeaderStage, Scheduler, SchedulerEffects, SchedulerKvCall, CALL_TIMEOUT_MS,
};
use crate::wire::kv::KeyValue;
use crate::wire::users::Priority;
use lilacfork_dependencies::propagation::UrgencyPropagation;
use propagation::PropagationPacing;
use unresolved::UnresolvedDependencies;

/// The dependencies between unfinished jobs that the leader knows.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Dependencies {
    urgency: UrgencyPropagation<Priority>,
    propagation: PropagationPacing,
    /// Dependencies that are not among the leader's jobs, whose final records are to be
    /// read.
    unresolved: UnresolvedDependencies,
    /// The number of jobs that were looked up by the names in records.
    looked_up: u64,
}

impl Dependencies {
    /// Removes all dependencies after the leader was deposed.
    pub(in crate::scheduler) fn clear(&mut self) {
        *self = Dependencies::default();
    }
}

impl Scheduler {
    /// Registers a new job's dependencies. Its tasks are not placed until all of them are
    /// done.
    pub(in crate::scheduler) fn add_dependencies(
        &mut self,
        now: Now,
        id: &JobId,
        dependencies: &[JobId],
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.has_open_dependencies = !dependencies.is_empty();
        let names_cancelled = self
            .dependencies
            .urgency
            .add(id, job.revision, dependencies);
        // While a new leader still reads records, the record of a missing job may not
        // have been read yet.
        if self.stage == LeaderStage::Active {
            self.resolve_dependencies(now, id, names_cancelled);
        }
    }

    /// Cancels the job and its dependents if one of its open dependencies is cancelled.
    /// Schedules a read of the final records of the open dependencies that aren't among
    /// the leader's jobs.
    fn resolve_dependencies(&mut self, now: Now, id: &JobId, names_cancelled: bool) {
        let mut is_cancelled = names_cancelled;
        for dependency in self.dependencies.urgency.open_dependencies_of(id) {
            self.dependencies.looked_up += 1;
            match self.jobs.get(dependency) {
                Some(job) => is_cancelled |= job.cancelled_wall_ms.is_some(),
                None => self.dependencies.unresolved.insert(dependency, now),
            }
        }
        if is_cancelled {
            self.cancel_dependent(now, id);
            self.cancel_dependents(now, id);
        }
    }

    /// Resolves the dependencies of all jobs once a new leader has read all records.
    /// A job that started under an earlier leader has all its dependencies done. The
    /// dependents of a cancelled job are cancelled. The final records of dependencies
    /// that aren't among the leader's jobs are scheduled to be read.
    pub(in crate::scheduler) fn resolve_loaded_dependencies(&mut self, now: Now) {
        let blocked: Vec<JobId> = self
            .jobs
            .iter()
            .map(|(id, _)| id)
            .filter(|id| self.dependencies.urgency.is_blocked(id))
            .cloned()
            .collect();
        for id in &blocked {
            if self.has_stored_placements(id) {
                self.on_dependencies_met(now, id);
            }
        }
        self.resolve_named_jobs(now);
    }

    /// Cancels the dependents of cancelled jobs, and schedules a read of the final records of
    /// all dependencies that aren't among the leader's jobs. Looks up each job that is named
    /// once, however many jobs name it.
    fn resolve_named_jobs(&mut self, now: Now) {
        let named = self.dependencies.urgency.jobs_with_dependents();
        for id in named.cloned().collect::<Vec<JobId>>() {
            self.dependencies.looked_up += 1;
            match self.jobs.get(&id) {
                Some(job) if job.cancelled_wall_ms.is_some() => self.cancel_dependents(now, &id),
                Some(_) => {}
                None => self.dependencies.unresolved.insert(&id, now),
            }
        }
    }

    /// Returns whether a placement record of the job is stored, which is the case once the
    /// job has started.
    fn has_stored_placements(&self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let mut ranges = job.placements.iter();
        ranges.any(|range| range.revision > 0)
    }

    /// Makes a job eligible for placement once all its dependencies are done.
    fn on_dependencies_met(&mut self, now: Now, id: &JobId) {
        self.dependencies.urgency.remove_dependencies(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.has_open_dependencies = false;
            let waited_ms = now.wall_ms.saturating_sub(job.submitted_wall_ms);
            log::info!(
                "job ready job={id} class={} waited_ms={waited_ms}",
                job.spec.class
            );
        }
        self.pacing.requested = true;
    }

    /// Handles the stored end of a dependency: cancels its dependents if it was
    /// cancelled, or marks it as done for them.
    fn on_dependency_finished(
        &mut self,
        now: Now,
        id: &JobId,
        state: FinalState,
        ended_wall_ms: u64,
    ) {
        self.dependencies.unresolved.remove(id);
        match state {
            FinalState::Cancelled => self.cancel_dependents(now, id),
            FinalState::Done => {
                let dependents = self.dependencies.urgency.dependents_of(id);
                for dependent in dependents.cloned().collect::<Vec<JobId>>() {
                    self.dependencies.looked_up += 1;
                    if let Some(job) = self.jobs.get_mut(&dependent) {
                        job.ready_wall_ms = job.ready_wall_ms.max(ended_wall_ms);
                    }
                }
                for ready in self.dependencies.urgency.mark_done(id) {
                    self.on_dependencies_met(now, &ready);
                }
            }
        }
    }

    /// Cancels all jobs that depend on a cancelled job, directly or indirectly, unless a
    /// previous call has done so.
    pub(in crate::scheduler) fn cancel_dependents(&mut self, now: Now, id: &JobId) {
        for dependent in self.dependencies.urgency.cancel(id) {
            self.dependencies.looked_up += 1;
            self.cancel_dependent(now, &dependent);
        }
    }

    fn cancel_dependent(&mut self, now: Now, id: &JobId) {
        let Some(job) = self
            .jobs
            .get_mut(id)
            .filter(|job| job.cancelled_wall_ms.is_none())
        else {
            return;
        };
        if !job.has_open_dependencies {
            log::error!(
                "job started early job={id} \
                 reason=\"a dependency is cancelled, not done\""
            );
            return;
        }
        log::info!("job cancelled job={id} reason=\"a dependency is cancelled\"");
        job.cancelled_wall_ms = Some(now.wall_ms);
        self.commits.has_changes = true;
    }

    /// Handles the stored end of a job: removes its dependencies, and makes its
    /// dependents ready or cancels them.
    pub(in crate::scheduler) fn on_job_finished(
        &mut self,
        now: Now,
        id: &JobId,
        state: FinalState,
    ) {
        let has_dependents = self.dependencies.urgency.has_dependents(id);
        let is_pipeline_stage = |job: &Job| has_dependents || job.has_dependencies;
        let job = self.jobs.get(id).filter(|job| is_pipeline_stage(job));
        if let Some(job) = job.filter(|_| state == FinalState::Done) {
            let took_ms = now.wall_ms.saturating_sub(job.ready_wall_ms);
            self.estimates
                .record_stage_time(&job.spec, took_ms as f64 / 1000.0);
        }
        self.dependencies.urgency.remove_dependencies(id);
        self.on_dependency_finished(now, id, state, now.wall_ms);
    }

    /// Reads the final records of the unresolved dependencies that are due.
    pub(in crate::scheduler) fn read_unresolved_dependencies(
        &mut self,
        now: Now,
        effects: &mut SchedulerEffects,
    ) {
        for id in self.dependencies.unresolved.take_due(now) {
            let call = kv_client::get(&final_key(&id), CALL_TIMEOUT_MS);
            let tag = SchedulerKvCall::ReadDependency(id);
            self.call_kv(now, CallPriority::Placement, call, 0, tag, effects);
        }
    }

    /// Handles the response to the read of a dependency's final record.
    pub(in crate::scheduler) fn on_dependency_response(
        &mut self,
        now: Now,
        id: &JobId,
        response: &KvResponse,
    ) {
        if !self.dependencies.unresolved.on_response(id, now) {
            return;
        }
        let item = response.parse_body::<KeyValue>(200);
        let record = item.and_then(|item| serde_json::from_value::<FinalRecord>(item.value).ok());
        match record {
            Some(record) => {
                self.on_dependency_finished(now, id, record.state, record.ended_wall_ms)
            }
            // The job record of the dependency has been read since: the dependency is
            // unfinished.
            None if self.jobs.contains(id) => {
                self.dependencies.unresolved.remove(id);
            }
            // The final record is read again until the watch delivers the job record.
            None => {}
        }
    }
}

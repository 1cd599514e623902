//! Dependencies between jobs, as the leader tracks them. The tasks of a job are bound
//! only after the final records of all its dependencies are stored as done. A job
//! with open dependencies therefore has no task on any machine, and cancelling it
//! requires no task to be stopped.

pub(in crate::scheduler) mod propagation;

use crate::ids::JobId;
use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::records::jobs::{final_key, FinalRecord, FinalState};
use crate::scheduler::{
    Job, LeaderStage, Scheduler, SchedulerEffects, SchedulerKvCall, CALL_TIMEOUT_MS, RETRY_MS,
};
use crate::wire::kv::KeyValue;
use lilacfork_dependencies::graph::DependencyGraph;
use std::collections::BTreeMap;

/// The dependencies between unfinished jobs that the leader knows.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Dependencies {
    graph: DependencyGraph,
    /// Dependencies that are not among the leader's jobs, with the time in
    /// milliseconds at which the leader next reads their final record.
    unresolved: BTreeMap<JobId, u64>,
}

impl Dependencies {
    /// Removes all dependencies after the leader was deposed.
    pub(in crate::scheduler) fn clear(&mut self) {
        *self = Dependencies::default();
    }
}

impl Scheduler {
    /// Registers the dependencies of a new job. Its tasks are not placed until all of
    /// them are done.
    pub(in crate::scheduler) fn add_dependencies(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let spec = job.spec.clone();
        if spec.dependencies.is_empty() {
            return;
        }
        job.has_open_dependencies = true;
        self.dependencies.graph.add(id, &spec.dependencies);
        self.propagate_urgency(spec.dependencies.clone());
        // While a new leader still reads records, the record of a missing job may not
        // have been read yet.
        if self.stage == LeaderStage::Active {
            self.resolve_dependencies(now, id);
        }
    }

    /// Cancels the job and its dependents if one of its open dependencies is cancelled.
    /// Schedules a read of the final records of the open dependencies that aren't among
    /// the leader's jobs.
    fn resolve_dependencies(&mut self, now: Now, id: &JobId) {
        let mut is_cancelled = false;
        for dependency in self.dependencies.graph.open_dependencies_of(id) {
            match self.jobs.get(dependency) {
                Some(job) => is_cancelled |= job.cancelled_wall_ms.is_some(),
                None => {
                    let unresolved = self.dependencies.unresolved.entry(dependency.clone());
                    unresolved.or_insert(now.ms);
                }
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
            .filter(|id| self.dependencies.graph.is_blocked(id))
            .cloned()
            .collect();
        for id in &blocked {
            if self.has_stored_placements(id) {
                self.on_dependencies_met(now, id);
            }
        }
        for id in &blocked {
            self.resolve_dependencies(now, id);
            let open = self.dependencies.graph.open_dependencies_of(id);
            let open = open.cloned().collect();
            self.propagate_urgency(open);
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
        self.dependencies.graph.remove_dependencies(id);
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
                let dependents = self.dependencies.graph.dependents_of(id);
                for dependent in dependents.cloned().collect::<Vec<JobId>>() {
                    if let Some(job) = self.jobs.get_mut(&dependent) {
                        job.ready_wall_ms = job.ready_wall_ms.max(ended_wall_ms);
                    }
                }
                for ready in self.dependencies.graph.mark_done(id) {
                    self.on_dependencies_met(now, &ready);
                }
            }
        }
    }

    /// Cancels all jobs that depend on a cancelled job, directly or indirectly.
    pub(in crate::scheduler) fn cancel_dependents(&mut self, now: Now, id: &JobId) {
        for dependent in self.dependencies.graph.transitive_dependents(id) {
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
        let graph = &self.dependencies.graph;
        let has_dependents = graph.has_dependents(id);
        let open: Vec<JobId> = graph.open_dependencies_of(id).cloned().collect();
        let is_pipeline_stage = |job: &Job| has_dependents || !job.spec.dependencies.is_empty();
        let job = self.jobs.get(id).filter(|job| is_pipeline_stage(job));
        if let Some(job) = job.filter(|_| state == FinalState::Done) {
            let took_ms = now.wall_ms.saturating_sub(job.ready_wall_ms);
            self.estimates
                .record_stage_time(&job.spec, took_ms as f64 / 1000.0);
        }
        self.dependencies.graph.remove_dependencies(id);
        self.propagate_urgency(open);
        self.on_dependency_finished(now, id, state, now.wall_ms);
    }

    /// Reads the final records of the unresolved dependencies that are due.
    pub(in crate::scheduler) fn read_unresolved_dependencies(
        &mut self,
        now: Now,
        effects: &mut SchedulerEffects,
    ) {
        let mut due = Vec::new();
        for (id, due_ms) in &mut self.dependencies.unresolved {
            if now.ms >= *due_ms {
                // The call completes or times out before the next read.
                *due_ms = now.ms + CALL_TIMEOUT_MS * 2;
                due.push(id.clone());
            }
        }
        for id in due {
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
        let Some(due_ms) = self.dependencies.unresolved.get_mut(id) else {
            return;
        };
        *due_ms = now.ms + RETRY_MS;
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

//! Jobs that depend on others, as their leader holds them. None of their tasks is
//! bound before it is stored that all their dependencies are done, so a job that
//! waits has no task anywhere, and to cancel it there is nothing to stop.

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

/// What a leader knows of dependencies between jobs.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Dependencies {
    graph: DependencyGraph,
    /// Dependencies that the leader doesn't hold as jobs: how they ended has to be
    /// read, at this time.
    unresolved: BTreeMap<JobId, u64>,
}

impl Dependencies {
    /// The leader was deposed.
    pub(in crate::scheduler) fn clear(&mut self) {
        *self = Dependencies::default();
    }
}

impl Scheduler {
    /// A job was added; if it depends on others it waits for them.
    pub(in crate::scheduler) fn add_dependencies(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let spec = job.spec.clone();
        if spec.dependencies.is_empty() {
            return;
        }
        job.dependencies_open = true;
        self.dependencies.graph.add(id, &spec.dependencies);
        self.propagate_urgency(spec.dependencies.clone());
        // While records are still being read, a missing job may be yet to come.
        if self.stage == LeaderStage::Active {
            self.resolve_dependencies(now, id);
        }
    }

    /// Looks the job's open dependencies up among the jobs, and notes the others to be
    /// read.
    fn resolve_dependencies(&mut self, now: Now, id: &JobId) {
        let mut is_cancelled = false;
        for dependency in self.dependencies.graph.open_dependencies_of(id) {
            match self.jobs.get(dependency) {
                Some(job) => is_cancelled |= job.cancelled.is_some(),
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

    /// All records are read. Jobs that started under an earlier leader have all their
    /// dependencies done, cancellations extend to dependents, and of dependencies that
    /// aren't held it is read how they ended.
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

    /// Whether a placement record of the job is stored: it has started then.
    fn has_stored_placements(&self, id: &JobId) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let mut ranges = job.placements.iter();
        ranges.any(|range| range.revision > 0)
    }

    /// All dependencies of the job are done.
    fn on_dependencies_met(&mut self, now: Now, id: &JobId) {
        self.dependencies.graph.remove_dependencies(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.dependencies_open = false;
            let waited_ms = now.wall_ms.saturating_sub(job.submitted);
            log::info!(
                "job ready job={id} class={} waited_ms={waited_ms}",
                job.spec.class
            );
        }
        self.pacing.requested = true;
    }

    /// A job that others depend on has ended, and that is stored.
    fn on_dependency_finished(&mut self, now: Now, id: &JobId, state: FinalState, ended: u64) {
        self.dependencies.unresolved.remove(id);
        match state {
            FinalState::Cancelled => self.cancel_dependents(now, id),
            FinalState::Done => {
                let dependents = self.dependencies.graph.dependents_of(id);
                for dependent in dependents.cloned().collect::<Vec<JobId>>() {
                    if let Some(job) = self.jobs.get_mut(&dependent) {
                        job.ready_at = job.ready_at.max(ended);
                    }
                }
                for ready in self.dependencies.graph.mark_done(id) {
                    self.on_dependencies_met(now, &ready);
                }
            }
        }
    }

    /// A job is cancelled, and with it all jobs that depend on it.
    pub(in crate::scheduler) fn cancel_dependents(&mut self, now: Now, id: &JobId) {
        for dependent in self.dependencies.graph.transitive_dependents(id) {
            self.cancel_dependent(now, &dependent);
        }
    }

    fn cancel_dependent(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.cancelled.is_none()) else {
            return;
        };
        if !job.dependencies_open {
            log::error!(
                "job started early job={id} \
                 reason=\"a job that it depends on wasn't done\""
            );
            return;
        }
        log::info!("job cancelled job={id} reason=\"a job that it depends on is cancelled\"");
        job.cancelled = Some(now.wall_ms);
        self.commits.has_changes = true;
    }

    /// A job has ended, and that is stored: it has no dependencies any more, and its
    /// dependents go on or are cancelled.
    pub(in crate::scheduler) fn on_job_finished(
        &mut self,
        now: Now,
        id: &JobId,
        state: FinalState,
    ) {
        let graph = &self.dependencies.graph;
        let has_dependents = graph.has_dependents(id);
        let open: Vec<JobId> = graph.open_dependencies_of(id).cloned().collect();
        let is_stage = |job: &Job| has_dependents || !job.spec.dependencies.is_empty();
        let job = self.jobs.get(id).filter(|job| is_stage(job));
        if let Some(job) = job.filter(|_| state == FinalState::Done) {
            let took_ms = now.wall_ms.saturating_sub(job.ready_at);
            self.estimates
                .stage_took(&job.spec, took_ms as f64 / 1000.0);
        }
        self.dependencies.graph.remove_dependencies(id);
        self.propagate_urgency(open);
        self.on_dependency_finished(now, id, state, now.wall_ms);
    }

    /// Reads how dependencies ended that aren't held here.
    pub(in crate::scheduler) fn read_unresolved_dependencies(
        &mut self,
        now: Now,
        effects: &mut SchedulerEffects,
    ) {
        let mut due = Vec::new();
        for (id, due_ms) in &mut self.dependencies.unresolved {
            if now.ms >= *due_ms {
                // The call ends before that, be it by its timeout.
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

    /// The final record of a dependency, if it was found.
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
        let item = response.read::<KeyValue>(200);
        let record = item.and_then(|item| serde_json::from_value::<FinalRecord>(item.value).ok());
        match record {
            Some(record) => self.on_dependency_finished(now, id, record.state, record.ended_at),
            // Its job record has come meanwhile, or comes with the watch's next changes.
            None if self.jobs.contains(id) => {
                self.dependencies.unresolved.remove(id);
            }
            None => {}
        }
    }
}

//! Jobs that need others, as their leader holds them. None of their tasks is bound
//! before it is stored that every job that they need is done, so a job that waits
//! has no task anywhere, and to cancel it there is nothing to stop.

pub(in crate::scheduler) mod propagation;

use crate::ids::JobId;
use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::records::jobs::{final_key, FinalRecord, FinalState};
use crate::scheduler::{
    LeaderStage, Scheduler, SchedulerEffects, SchedulerKvCall, CALL_TIMEOUT_MS, RETRY_MS,
};
use crate::wire::kv::KeyValue;
use lilacfork_dependencies::graph::DependencyGraph;
use std::collections::BTreeMap;

/// What a leader knows of jobs that need others.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct Dependencies {
    pub(in crate::scheduler) graph: DependencyGraph,
    /// Needed jobs that it doesn't hold: how they ended has to be read, and when
    /// that is to be asked next.
    unresolved: BTreeMap<JobId, u64>,
}

impl Dependencies {
    pub(in crate::scheduler) fn clear(&mut self) {
        *self = Dependencies::default();
    }
}

impl Scheduler {
    /// A job was learned of; if it needs others it waits for them.
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
        // While the records are still being read, nobody can tell what isn't there.
        if self.stage == LeaderStage::Active {
            self.resolve_dependencies(now, id);
        }
    }

    /// What the job needs is held here, or has to be read.
    fn resolve_dependencies(&mut self, now: Now, id: &JobId) {
        let mut cancelled = false;
        for need in self.dependencies.graph.open_dependencies_of(id) {
            match self.jobs.get(need) {
                Some(job) => cancelled |= job.cancelled.is_some(),
                None => {
                    self.dependencies
                        .unresolved
                        .entry(need.clone())
                        .or_insert(now.ms);
                }
            }
        }
        if cancelled {
            self.cancel_dependent(now, id);
            self.cancel_dependents(now, id);
        }
    }

    /// All records are read: what started under an earlier leader has what it needs,
    /// what is cancelled takes its dependents along, and of other needs it is read
    /// how they ended.
    pub(in crate::scheduler) fn resolve_loaded_dependencies(&mut self, now: Now) {
        let all = self.jobs.iter();
        let waiting = all.filter(|(id, _)| self.dependencies.graph.is_blocked(id));
        let waiting: Vec<JobId> = waiting.map(|(id, _)| id.clone()).collect();
        for id in &waiting {
            let started = |id| {
                let job = self.jobs.get(id);
                job.is_some_and(|job| job.placements.iter().any(|shard| shard.revision > 0))
            };
            if started(id) {
                self.on_dependencies_met(now, id);
            }
        }
        for id in &waiting {
            self.resolve_dependencies(now, id);
            let needs = self
                .dependencies
                .graph
                .open_dependencies_of(id)
                .cloned()
                .collect();
            self.propagate_urgency(needs);
        }
    }

    fn on_dependencies_met(&mut self, now: Now, id: &JobId) {
        self.dependencies.graph.remove_dependencies(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.dependencies_open = false;
            let waited_ms = now.wall.saturating_sub(job.submitted);
            log::info!(
                "job {id} ready class={} waited_ms={waited_ms}",
                job.spec.class
            );
        }
        self.pacing.requested = true;
    }

    /// A job that others need is over, and that is stored.
    pub(in crate::scheduler) fn on_dependency_finished(
        &mut self,
        now: Now,
        need: &JobId,
        state: FinalState,
        ended: u64,
    ) {
        self.dependencies.unresolved.remove(need);
        match state {
            FinalState::Cancelled => self.cancel_dependents(now, need),
            FinalState::Done => {
                let dependents: Vec<JobId> = self
                    .dependencies
                    .graph
                    .dependents_of(need)
                    .cloned()
                    .collect();
                for id in &dependents {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.ready = job.ready.max(ended);
                    }
                }
                for id in self.dependencies.graph.mark_done(need) {
                    self.on_dependencies_met(now, &id);
                }
            }
        }
    }

    /// A job is cancelled, and so are all that need it.
    pub(in crate::scheduler) fn cancel_dependents(&mut self, now: Now, id: &JobId) {
        for dependent in self.dependencies.graph.transitive_dependents(id) {
            self.cancel_dependent(now, &dependent);
        }
    }

    fn cancel_dependent(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.cancelled.is_none()) else {
            return;
        };
        if !job.dependencies_open {
            log::error!("job {id} started before a job that it needs was done");
            return;
        }
        log::info!("job {id} is cancelled with a job that it needs");
        job.cancelled = Some(now.wall);
        self.commits.has_changes = true;
    }

    /// A job is over, and that is stored: it needs nothing any more, and what needs it
    /// goes on or is cancelled.
    pub(in crate::scheduler) fn on_job_finished(
        &mut self,
        now: Now,
        id: &JobId,
        state: FinalState,
    ) {
        let graph = &self.dependencies.graph;
        let in_pipeline = graph.is_blocked(id) || graph.has_dependents(id);
        let needs: Vec<JobId> = graph.open_dependencies_of(id).cloned().collect();
        let job = self.jobs.get(id).filter(|_| state == FinalState::Done);
        if let Some(job) = job.filter(|job| in_pipeline || !job.spec.dependencies.is_empty()) {
            let took_ms = now.wall.saturating_sub(job.ready);
            self.estimates
                .stage_took(&job.spec, took_ms as f64 / 1000.0);
        }
        self.dependencies.graph.remove_dependencies(id);
        self.propagate_urgency(needs);
        self.on_dependency_finished(now, id, state, now.wall);
    }

    /// Reads how needed jobs ended that aren't held here.
    pub(in crate::scheduler) fn read_unresolved_dependencies(
        &mut self,
        now: Now,
        out: &mut SchedulerEffects,
    ) {
        let mut due = Vec::new();
        for (need, due_ms) in &mut self.dependencies.unresolved {
            if now.ms >= *due_ms {
                // An answer comes before that, whatever it says.
                *due_ms = now.ms + CALL_TIMEOUT_MS * 2;
                due.push(need.clone());
            }
        }
        for need in due {
            let call = kv_client::get(&final_key(&need), CALL_TIMEOUT_MS);
            let tag = SchedulerKvCall::ReadDependency(need);
            self.ask(now, CallPriority::Placement, call, 0, tag, out);
        }
    }

    pub(in crate::scheduler) fn on_dependency_response(
        &mut self,
        now: Now,
        need: &JobId,
        answer: &KvResponse,
    ) {
        let Some(due_ms) = self.dependencies.unresolved.get_mut(need) else {
            return;
        };
        *due_ms = now.ms + RETRY_MS;
        let item = answer.read::<KeyValue>(200);
        let record = item.and_then(|item| serde_json::from_value::<FinalRecord>(item.value).ok());
        match record {
            Some(record) => self.on_dependency_finished(now, need, record.state, record.ended),
            // Its own record has come meanwhile, or comes with the next changes.
            None if self.jobs.contains(need) => {
                self.dependencies.unresolved.remove(need);
            }
            None => {}
        }
    }
}

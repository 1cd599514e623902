//! Jobs that need others, as their leader holds them. None of their tasks is bound
//! before it is stored that every job that they need is done, so a job that waits
//! has no task anywhere, and to cancel it there is nothing to stop.

use super::{Scheduler, SchedulerCall, SchedulerOut, Stage, CALL_TIMEOUT_MS, RETRY_MS};
use crate::gateway::{final_key, Final, FinalRecord};
use crate::ids::JobId;
use crate::msg::Now;
use crate::store::{self, Answer, Urgency};
use crate::wire::Item;
use lilacfork_pipelines::graph::Graph;
use std::collections::BTreeMap;

/// What a leader knows of jobs that need others.
#[derive(Debug, Default)]
pub(super) struct Pipelines {
    pub(super) graph: Graph,
    /// Needed jobs that it doesn't hold: how they ended has to be read, and when
    /// that is to be asked next.
    unread: BTreeMap<JobId, u64>,
}

impl Pipelines {
    pub(super) fn clear(&mut self) {
        *self = Pipelines::default();
    }
}

impl Scheduler {
    /// A job was learned of; if it needs others it waits for them.
    pub(super) fn await_needs(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let spec = job.spec.clone();
        if spec.needs.is_empty() {
            return;
        }
        job.needs_open = true;
        self.pipelines.graph.add(id, &spec.needs);
        self.inherit(spec.needs.clone());
        // While the records are still being read, nobody can tell what isn't there.
        if self.stage == Stage::Active {
            self.look_for_needs(now, id);
        }
    }

    /// What the job needs is held here, or has to be read.
    fn look_for_needs(&mut self, now: Now, id: &JobId) {
        let mut cancelled = false;
        for need in self.pipelines.graph.needs_of(id) {
            match self.jobs.get(need) {
                Some(job) => cancelled |= job.cancelled.is_some(),
                None => {
                    self.pipelines.unread.entry(need.clone()).or_insert(now.ms);
                }
            }
        }
        if cancelled {
            self.cancel_with_need(now, id);
            self.cancel_dependents(now, id);
        }
    }

    /// All records are read: what started under an earlier leader has what it needs,
    /// what is cancelled takes its dependents along, and of other needs it is read
    /// how they ended.
    pub(super) fn needs_after_loading(&mut self, now: Now) {
        let all = self.jobs.iter();
        let waiting = all.filter(|(id, _)| self.pipelines.graph.waits(id));
        let waiting: Vec<JobId> = waiting.map(|(id, _)| id.clone()).collect();
        for id in &waiting {
            let started = |id| {
                let job = self.jobs.get(id);
                job.is_some_and(|job| job.shards.iter().any(|shard| shard.version > 0))
            };
            if started(id) {
                self.needs_met(now, id);
            }
        }
        for id in &waiting {
            self.look_for_needs(now, id);
            let needs = self.pipelines.graph.needs_of(id).cloned().collect();
            self.inherit(needs);
        }
    }

    fn needs_met(&mut self, now: Now, id: &JobId) {
        self.pipelines.graph.forget_needs(id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.needs_open = false;
            let waited_ms = now.wall.saturating_sub(job.submitted);
            log::info!(
                "job {id} ready class={} waited_ms={waited_ms}",
                job.spec.class
            );
        }
        self.round_wanted = true;
    }

    /// A job that others need is over, and that is stored.
    pub(super) fn need_over(&mut self, now: Now, need: &JobId, state: Final, ended: u64) {
        self.pipelines.unread.remove(need);
        match state {
            Final::Cancelled => self.cancel_dependents(now, need),
            Final::Done => {
                let dependents: Vec<JobId> =
                    self.pipelines.graph.dependents_of(need).cloned().collect();
                for id in &dependents {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.ready = job.ready.max(ended);
                    }
                }
                for id in self.pipelines.graph.done(need) {
                    self.needs_met(now, &id);
                }
            }
        }
    }

    /// A job is cancelled, and so are all that need it.
    pub(super) fn cancel_dependents(&mut self, now: Now, id: &JobId) {
        for dependent in self.pipelines.graph.all_dependents(id) {
            self.cancel_with_need(now, &dependent);
        }
    }

    fn cancel_with_need(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.cancelled.is_none()) else {
            return;
        };
        if !job.needs_open {
            log::error!("job {id} started before a job that it needs was done");
            return;
        }
        log::info!("job {id} is cancelled with a job that it needs");
        job.cancelled = Some(now.wall);
        self.changed = true;
    }

    /// A job is over, and that is stored: it needs nothing any more, and what needs it
    /// goes on or is cancelled.
    pub(super) fn stage_over(&mut self, now: Now, id: &JobId, state: Final) {
        let graph = &self.pipelines.graph;
        let in_pipeline = graph.waits(id) || graph.is_needed(id);
        let needs: Vec<JobId> = graph.needs_of(id).cloned().collect();
        let job = self.jobs.get(id).filter(|_| state == Final::Done);
        if let Some(job) = job.filter(|job| in_pipeline || !job.spec.needs.is_empty()) {
            let took_ms = now.wall.saturating_sub(job.ready);
            self.learning.stage_took(&job.spec, took_ms as f64 / 1000.0);
        }
        self.pipelines.graph.forget_needs(id);
        self.inherit(needs);
        self.need_over(now, id, state, now.wall);
    }

    /// Reads how needed jobs ended that aren't held here.
    pub(super) fn read_needs(&mut self, now: Now, out: &mut SchedulerOut) {
        let mut due = Vec::new();
        for (need, due_ms) in &mut self.pipelines.unread {
            if now.ms >= *due_ms {
                // An answer comes before that, whatever it says.
                *due_ms = now.ms + CALL_TIMEOUT_MS * 2;
                due.push(need.clone());
            }
        }
        for need in due {
            let call = store::get(&final_key(&need), CALL_TIMEOUT_MS);
            let tag = SchedulerCall::ReadNeed(need);
            self.ask(now, Urgency::Placement, call, 0, tag, out);
        }
    }

    pub(super) fn on_need(&mut self, now: Now, need: &JobId, answer: &Answer) {
        let Some(due_ms) = self.pipelines.unread.get_mut(need) else {
            return;
        };
        *due_ms = now.ms + RETRY_MS;
        let item = answer.read::<Item>(200);
        let record = item.and_then(|item| serde_json::from_value::<FinalRecord>(item.value).ok());
        match record {
            Some(record) => self.need_over(now, need, record.state, record.ended),
            // Its own record has come meanwhile, or comes with the next changes.
            None if self.jobs.contains(need) => {
                self.pipelines.unread.remove(need);
            }
            None => {}
        }
    }
}

//! What the job records say has changed: new jobs, cancellations, and records that
//! changed under the leader.

use crate::ids::{JobId, Revision};
use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::records::jobs::{JobRecord, JOB_PREFIX};
use crate::scheduler::state::job::StopRequest;
use crate::scheduler::{Job, LeaderStage, Scheduler, SchedulerEffects, SchedulerKvCall, RETRY_MS};
use crate::wire::kv::{KeyValue, WatchResponse};

/// The watch on the job records.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct JobWatch {
    /// Changes up to this revision are known; `None`: nothing has been read.
    pub(in crate::scheduler) revision: Option<Revision>,
    waiting: bool,
    due_ms: u64,
    /// When records that changed under the leader are read again.
    reread_due_ms: u64,
}

impl JobWatch {
    /// The leader was deposed.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.revision = None;
        self.waiting = false;
    }
}

impl Scheduler {
    pub(in crate::scheduler) fn learn_job(
        &mut self,
        now: Now,
        key: &str,
        value: serde_json::Value,
        version: u64,
        fresh: bool,
    ) {
        let record: JobRecord = match serde_json::from_value(value) {
            Ok(record) => record,
            Err(e) => {
                log::error!("job record {key} can't be read: {e}");
                return;
            }
        };
        let id = record.spec.id.clone();
        // What is over never comes back; this is an old answer.
        if self.finished_jobs.contains_key(&id) {
            return;
        }
        match self.jobs.get_mut(&id) {
            Some(job) => {
                if version <= job.revision {
                    return;
                }
                job.revision = version;
                job.stale = false;
                if job.cancelled.is_none() {
                    job.cancelled = record.cancelled;
                }
            }
            None => {
                if fresh {
                    log::debug!("job {id} known to the leader");
                }
                let job = Job::new(record, version, self.tasks_per_range, now.ms);
                if job.is_service() {
                    // Stored jobs tell a new leader of arrivals, too.
                    let at = if fresh { now.wall } else { job.submitted };
                    self.estimates.arrived(at, &job.spec);
                }
                if let Some(shape) = job.shape {
                    self.groups.add(&id, shape);
                }
                self.jobs.insert(id.clone(), job);
                self.await_needs(now, &id);
            }
        }
        self.pacing.requested = true;
        self.commits.has_changes = true;
        if self.stage == LeaderStage::Active {
            self.enforce_cancel(now, &id);
        }
    }

    /// Stops what a cancelled job still has on machines.
    pub(in crate::scheduler) fn enforce_cancel(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.cancelled.is_none() {
            return;
        }
        for assign in job.assignments.values_mut() {
            let grace_left = assign.stop.is_none_or(|s| s.grace_s > 0);
            if grace_left {
                assign.stop = Some(StopRequest {
                    grace_s: 0,
                    since_ms: now.ms,
                });
                // Its room is about to be free.
                self.fleet.get_mut(&assign.machine);
                self.machines_to_command.insert(assign.machine.clone());
            }
        }
        self.groups.touch(id);
        self.cancel_dependents(now, id);
    }

    pub(in crate::scheduler) fn watch(&mut self, now: Now, out: &mut SchedulerEffects) {
        let Some(from) = self.job_watch.revision else {
            return;
        };
        if self.stage != LeaderStage::Active
            || self.job_watch.waiting
            || now.ms < self.job_watch.due_ms
        {
            return;
        }
        self.job_watch.waiting = true;
        let wait = self.lease_ms();
        let call = kv_client::watch(JOB_PREFIX, from, wait, wait * 2);
        self.ask(
            now,
            CallPriority::Leadership,
            call,
            0,
            SchedulerKvCall::Watch,
            out,
        );
    }

    pub(in crate::scheduler) fn on_watch(
        &mut self,
        now: Now,
        answer: &KvResponse,
        out: &mut SchedulerEffects,
    ) {
        self.job_watch.waiting = false;
        match answer.read::<WatchResponse>(200) {
            Some(seen) => {
                for event in seen.events {
                    if let Some(key) = event.put {
                        self.learn_job(now, &key, event.value, event.mod_revision, true);
                    }
                }
                self.job_watch.revision = Some(Revision(seen.revision));
            }
            None if answer.status() == Some(410) => {
                out.resign = Some("the watch fell too far behind");
            }
            None => self.job_watch.due_ms = now.ms + 200,
        }
    }

    /// A peer says that it wrote this job; the watch may be late.
    pub fn announced(&mut self, now: Now, id: &JobId, out: &mut SchedulerEffects) {
        if self.stage == LeaderStage::Active && !self.jobs.contains(id) {
            self.read_job(now, id, out);
        }
    }

    /// A peer, or this node, has stored a cancellation. Should the state
    /// service go away before the watch tells, the tasks must stop all the
    /// same; stopping them can do no harm.
    pub fn cancelled(&mut self, now: Now, id: &JobId, out: &mut SchedulerEffects) {
        if self.stage != LeaderStage::Active {
            return;
        }
        let Some(job) = self.jobs.get_mut(id).filter(|j| j.cancelled.is_none()) else {
            return;
        };
        job.cancelled = Some(now.wall);
        // Its record has changed: read it before anything is written.
        job.stale = true;
        self.enforce_cancel(now, id);
        self.read_job(now, id, out);
    }

    pub(in crate::scheduler) fn read_job(
        &mut self,
        now: Now,
        id: &JobId,
        out: &mut SchedulerEffects,
    ) {
        let call = kv_client::get(&crate::records::jobs::job_key(id), 1000);
        let tag = SchedulerKvCall::ReadJob(id.clone());
        self.ask(now, CallPriority::Placement, call, 0, tag, out);
    }

    pub(in crate::scheduler) fn on_read_job(
        &mut self,
        now: Now,
        id: &JobId,
        answer: &KvResponse,
        out: &mut SchedulerEffects,
    ) {
        if let Some(item) = answer.read::<KeyValue>(200) {
            self.learn_job(now, &item.key, item.value, item.mod_revision, true);
            if let Some(job) = self.jobs.get_mut(id) {
                job.stale = false;
            }
            self.commits.has_changes = true;
        } else if answer.status() == Some(404) && self.jobs.get(id).is_some_and(|j| j.stale) {
            out.resign = Some("a live job's record is gone");
        }
        // What couldn't be read now is read again by `read_stale`.
    }

    /// Jobs whose record changed under us are read until that succeeds, with
    /// pauses: an outage isn't shortened by asking.
    pub(in crate::scheduler) fn read_stale(&mut self, now: Now, out: &mut SchedulerEffects) {
        if now.ms < self.job_watch.reread_due_ms {
            return;
        }
        self.job_watch.reread_due_ms = now.ms + RETRY_MS;
        self.jobs.refresh();
        let stale: Vec<JobId> = self.jobs.stale().iter().cloned().collect();
        for id in &stale {
            self.read_job(now, id, out);
        }
    }
}

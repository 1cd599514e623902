//! The watch on the job records, which reports new jobs, cancellations, and records that
//! other writers changed.

use crate::ids::{JobId, Revision};
use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::records::jobs::{job_key, JobRecord, JOB_PREFIX};
use crate::scheduler::{
    Job, LeaderStage, Scheduler, SchedulerEffects, SchedulerKvCall, StepDownReason, StopRequest,
    CALL_TIMEOUT_MS, RETRY_MS,
};
use crate::wire::kv::{KeyValue, WatchResponse};

/// The progress of the watch on the job records.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct JobWatch {
    /// The revision up to which changes are known; `None`: no job record has been read.
    pub(super) revision: Option<Revision>,
    in_flight: bool,
    due_ms: u64,
    /// The earliest time at which stale job records are read again.
    reread_due_ms: u64,
}

impl JobWatch {
    /// Resets the watch after the leader was deposed.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.revision = None;
        self.in_flight = false;
    }
}

/// The kind of read that returned a job record.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum JobRecordSource {
    /// The list of all records that a new leader reads.
    InitialList,
    /// The watch, or a read of the single record.
    Update,
}

impl Scheduler {
    /// Adds the job of a record, or updates the job if the record is newer.
    pub(super) fn apply_job_record(
        &mut self,
        now: Now,
        key: &str,
        value: serde_json::Value,
        revision: u64,
        source: JobRecordSource,
    ) {
        let record: JobRecord = match serde_json::from_value(value) {
            Ok(record) => record,
            Err(error) => {
                log::error!("job record unreadable key={key} reason=\"parse error: {error}\"");
                return;
            }
        };
        let id = record.spec.id.clone();
        // The record comes from an old response: a finished job is never stored again.
        if self.finished_jobs.contains_key(&id) {
            return;
        }
        match self.jobs.get_mut(&id) {
            Some(job) => {
                if revision <= job.revision {
                    return;
                }
                job.revision = revision;
                job.stale = false;
                if job.cancelled_wall_ms.is_none() {
                    job.cancelled_wall_ms = record.cancelled_wall_ms;
                }
            }
            None => self.add_job(now, record, revision, source),
        }
        self.pacing.requested = true;
        self.commits.has_changes = true;
        if self.stage == LeaderStage::Active {
            self.enforce_cancel(now, &id);
        }
    }

    fn add_job(&mut self, now: Now, record: JobRecord, revision: u64, source: JobRecordSource) {
        let id = record.spec.id.clone();
        let dependencies = record.spec.dependencies.clone();
        if source == JobRecordSource::Update {
            log::debug!("job received job={id}");
        }
        let job = Job::new(record, revision, self.tasks_per_range);
        if job.is_service() {
            // A new leader learns of earlier arrivals only from the stored jobs, so these
            // count as arrivals at their time of submission.
            let arrived_wall_ms = match source {
                JobRecordSource::InitialList => job.submitted_wall_ms,
                JobRecordSource::Update => now.wall_ms,
            };
            self.estimates.record_arrival(arrived_wall_ms, &job.spec);
        }
        if let Some(shape) = job.shape {
            self.groups.add(&id, shape);
        }
        self.jobs.insert(id.clone(), job);
        self.add_dependencies(now, &id, &dependencies);
    }

    /// Requests the immediate stop of all assigned tasks if the job is cancelled, and
    /// cancels its dependents.
    pub(in crate::scheduler) fn enforce_cancel(&mut self, now: Now, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.cancelled_wall_ms.is_none() {
            return;
        }
        for assignment in job.assignments.values_mut() {
            let has_grace_left = assignment.stop.is_none_or(|stop| stop.grace_s > 0);
            if has_grace_left {
                assignment.stop = Some(StopRequest {
                    grace_s: 0,
                    requested_ms: now.ms,
                });
                // The machine is marked as changed because its stopping tasks affect the
                // capacity index.
                self.fleet.get_mut(&assignment.machine);
                self.machines_to_command.insert(assignment.machine.clone());
            }
        }
        self.groups.request_job_evaluation(id);
        self.cancel_dependents(now, id);
    }

    /// Sends a watch call unless one is in flight or a retry is not due yet.
    pub(in crate::scheduler) fn watch_jobs(&mut self, now: Now, effects: &mut SchedulerEffects) {
        let Some(from) = self.job_watch.revision else {
            return;
        };
        if self.stage != LeaderStage::Active
            || self.job_watch.in_flight
            || now.ms < self.job_watch.due_ms
        {
            return;
        }
        self.job_watch.in_flight = true;
        let wait_ms = self.lease_ms();
        let call = kv_client::watch(JOB_PREFIX, from, wait_ms, wait_ms * 2);
        self.call_kv(
            now,
            CallPriority::Leadership,
            call,
            0,
            SchedulerKvCall::Watch,
            effects,
        );
    }

    /// Applies the changes in a watch response. The leader steps down if the key-value store
    /// no longer holds the changes since the watched revision (status 410).
    pub(in crate::scheduler) fn on_watch_response(
        &mut self,
        now: Now,
        response: &KvResponse,
        effects: &mut SchedulerEffects,
    ) {
        self.job_watch.in_flight = false;
        match response.parse_body::<WatchResponse>(200) {
            Some(changes) => {
                for event in changes.events {
                    if let Some(key) = event.put_key {
                        let source = JobRecordSource::Update;
                        self.apply_job_record(now, &key, event.value, event.mod_revision, source);
                    }
                }
                self.job_watch.revision = Some(Revision(changes.revision));
            }
            None if response.status() == Some(410) => {
                effects.step_down = Some(StepDownReason::WatchTooFarBehind);
            }
            None => self.job_watch.due_ms = now.ms + RETRY_MS,
        }
    }

    /// Reads a job whose submission a peer reports, because the watch may be delayed.
    pub fn on_job_announced(&mut self, now: Now, id: &JobId, effects: &mut SchedulerEffects) {
        if self.stage == LeaderStage::Active && !self.jobs.contains(id) {
            self.read_job(now, id, effects);
        }
    }

    /// Stops the tasks of a job whose cancellation this controller or a peer has stored.
    /// The tasks have to stop even if the key-value store becomes unavailable before the
    /// watch reports the cancellation. Stopping them early is safe.
    pub fn on_job_cancelled(&mut self, now: Now, id: &JobId, effects: &mut SchedulerEffects) {
        if self.stage != LeaderStage::Active {
            return;
        }
        let Some(job) = self
            .jobs
            .get_mut(id)
            .filter(|job| job.cancelled_wall_ms.is_none())
        else {
            return;
        };
        job.cancelled_wall_ms = Some(now.wall_ms);
        // The record has changed, so it has to be read before the job is written.
        job.stale = true;
        self.enforce_cancel(now, id);
        self.read_job(now, id, effects);
    }

    pub(super) fn read_job(&mut self, now: Now, id: &JobId, effects: &mut SchedulerEffects) {
        let call = kv_client::get(&job_key(id), CALL_TIMEOUT_MS);
        let tag = SchedulerKvCall::ReadJob(id.clone());
        self.call_kv(now, CallPriority::Placement, call, 0, tag, effects);
    }

    /// Handles the response to the read of a job record. A failed read of a stale job is
    /// retried by [`Scheduler::read_stale_jobs`].
    pub(in crate::scheduler) fn on_job_response(
        &mut self,
        now: Now,
        id: &JobId,
        response: &KvResponse,
        effects: &mut SchedulerEffects,
    ) {
        if let Some(item) = response.parse_body::<KeyValue>(200) {
            let source = JobRecordSource::Update;
            self.apply_job_record(now, &item.key, item.value, item.mod_revision, source);
            if let Some(job) = self.jobs.get_mut(id) {
                job.stale = false;
            }
            self.commits.has_changes = true;
        } else if response.status() == Some(404) && self.jobs.get(id).is_some_and(|job| job.stale) {
            effects.step_down = Some(StepDownReason::JobRecordDeleted);
        }
    }

    /// Reads the stale job records, and retries at a fixed interval until that succeeds.
    /// More frequent requests would not end an outage sooner.
    pub(in crate::scheduler) fn read_stale_jobs(
        &mut self,
        now: Now,
        effects: &mut SchedulerEffects,
    ) {
        if now.ms < self.job_watch.reread_due_ms {
            return;
        }
        self.job_watch.reread_due_ms = now.ms + RETRY_MS;
        self.jobs.refresh();
        let stale: Vec<JobId> = self.jobs.stale().iter().cloned().collect();
        for id in &stale {
            self.read_job(now, id, effects);
        }
    }
}

//! Handling of the outcome of the leader's transactions. A transaction with an
//! indeterminate outcome is resent unchanged until the key-value store's response shows
//! whether it was executed.

use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::records::jobs::parse_job_key;
use crate::records::write_id_of;
use crate::scheduler::state::transaction::FinishedJob;
use crate::scheduler::{
    Scheduler, SchedulerEffects, SchedulerKvCall, StepDownReason, CALL_TIMEOUT_MS, RETRY_MS,
};
use crate::wire::kv::{KeyValue, TxnResponse};

/// The pause, in heartbeat intervals, before a job is written again whose record the
/// key-value store rejected for an unknown reason.
const REJECTED_JOB_RETRY_HEARTBEATS: u64 = 30;
/// How long the id of a finished job is kept, so that late responses don't add the job
/// again. Longer than the timeout of any call.
const FINISHED_RETENTION_MS: u64 = 60_000;

impl Scheduler {
    /// Handles the response to the transaction in flight.
    pub(in crate::scheduler) fn on_commit_response(
        &mut self,
        now: Now,
        response: &KvResponse,
        effects: &mut SchedulerEffects,
    ) {
        let Some(transaction) = self.commits.transaction.as_mut() else {
            return;
        };
        match response {
            KvResponse::Status(200, _) => match response.committed_revision() {
                Some(revision) => self.on_committed(now, revision.0),
                None => effects.step_down = Some(StepDownReason::UnreadableCommitResponse),
            },
            KvResponse::Status(409, _) => {
                transaction.failed_compares = response
                    .parse_body::<TxnResponse>(409)
                    .map(|response| response.failed_keys)
                    .unwrap_or_default();
                if transaction.indeterminate {
                    // An earlier copy may have been executed and caused the conflict.
                    self.check_commit(now, effects);
                } else {
                    self.on_conflict(now, effects);
                }
            }
            KvResponse::Status(400, _) => {
                effects.rejected_request = Some(transaction.size());
                if transaction.indeterminate {
                    // An earlier copy may have been accepted before the limits were lowered.
                    self.commits.rejected_jobs.clear();
                    self.check_commit(now, effects);
                } else {
                    self.commits.rejected_jobs = transaction.jobs();
                    self.requeue_transaction(now);
                }
            }
            KvResponse::Status(status, _) => {
                log::error!("commit rejected status={status}");
                effects.step_down = Some(StepDownReason::CommitRejected);
            }
            KvResponse::Indeterminate => {
                transaction.indeterminate = true;
                transaction.schedule_resend(now.ms + RETRY_MS);
            }
            KvResponse::NotExecuted if transaction.indeterminate => {
                transaction.schedule_resend(now.ms + RETRY_MS);
            }
            // No copy was executed, so the transaction can be rebuilt.
            KvResponse::NotExecuted => {
                self.commits.due_ms = now.ms + RETRY_MS;
                self.requeue_transaction(now);
            }
        }
    }

    /// Handles the response to the read that shows whether the transaction was executed.
    pub(in crate::scheduler) fn on_commit_check_response(
        &mut self,
        now: Now,
        response: &KvResponse,
        effects: &mut SchedulerEffects,
    ) {
        let Some(transaction) = self.commits.transaction.as_ref() else {
            return;
        };
        if let Some(item) = response.parse_body::<KeyValue>(200) {
            if write_id_of(&item.value) == Some(transaction.write_id) {
                self.on_committed(now, item.mod_revision);
            } else {
                self.on_conflict(now, effects);
            }
        } else if response.status() == Some(404) {
            self.on_conflict(now, effects);
        } else {
            self.check_commit(now, effects);
        }
    }

    /// Reads the marker key of the transaction in flight, whose value shows whether the
    /// transaction was executed.
    fn check_commit(&mut self, now: Now, effects: &mut SchedulerEffects) {
        let Some(transaction) = self.commits.transaction.as_ref() else {
            return;
        };
        let call = kv_client::get(&transaction.marker_key, CALL_TIMEOUT_MS);
        let tag = SchedulerKvCall::CheckCommit;
        self.call_kv(now, CallPriority::Placement, call, 0, tag, effects);
    }

    /// Applies a committed transaction: its assignments may be started, and workers may
    /// discard the task results that it stores.
    fn on_committed(&mut self, now: Now, revision: u64) {
        let Some(transaction) = self.commits.transaction.take() else {
            return;
        };
        for write in transaction.placement_writes {
            let Some(job) = self.jobs.get_mut(&write.job) else {
                continue;
            };
            if let Some(range) = job.placements.get_mut(write.range) {
                range.revision = revision;
            }
            for (task, attempt) in write.assigned {
                if let Some(assignment) = job.assignments.get_mut(&task) {
                    if assignment.attempt == attempt && !assignment.recorded {
                        assignment.recorded = true;
                        self.machines_to_command.insert(assignment.machine.clone());
                    }
                }
            }
            for ended in write.ended {
                job.unstored_ends.remove(&ended);
            }
            self.mark_group_records_stored(&write.job, &write.groups);
        }
        self.commits.max_jobs = self.commits.max_jobs.saturating_mul(2);
        self.cleanup.obsolete_keys.extend(transaction.obsolete_keys);
        for finished in transaction.finished_jobs {
            self.remove_finished_job(now, finished);
        }
    }

    /// Removes a job whose final record is stored.
    fn remove_finished_job(&mut self, now: Now, finished: FinishedJob) {
        let FinishedJob { id, state } = finished;
        self.finished_jobs
            .insert(id.clone(), now.ms + FINISHED_RETENTION_MS);
        self.discard_faults_unless_succeeded(&id);
        self.groups.remove(&id);
        self.on_job_finished(now, &id, state);
        if let Some(job) = self.jobs.remove(&id) {
            log::info!(
                "job finished job={id} state={state:?} class={} after_ms={}",
                job.spec.class,
                now.wall_ms.saturating_sub(job.submitted_wall_ms)
            );
        }
    }

    /// Isolates the job that caused a rejection which no known limit explains. The number
    /// of jobs per transaction is halved until the rejected job is written alone. That
    /// job's next write is then delayed, and all other jobs proceed.
    pub fn split_rejected_transaction(&mut self, now: Now) {
        let rejected = std::mem::take(&mut self.commits.rejected_jobs);
        if rejected.is_empty() {
            return;
        }
        let [id] = rejected.as_slice() else {
            self.commits.max_jobs = (rejected.len() / 2).max(1);
            return;
        };
        log::error!(
            "job record rejected job={id} \
             reason=\"rejected by the key-value store for an unknown reason, retry delayed\""
        );
        let pause_ms = self.heartbeat_interval_ms() * REJECTED_JOB_RETRY_HEARTBEATS;
        if let Some(job) = self.jobs.get_mut(id) {
            job.write_retry_due_ms = now.ms + pause_ms;
        }
    }

    /// Discards a transaction that was not executed, and makes its changes due again.
    fn requeue_transaction(&mut self, now: Now) {
        self.commits.has_changes = true;
        let Some(transaction) = self.commits.transaction.take() else {
            return;
        };
        for write in transaction.placement_writes {
            if let Some(job) = self.jobs.get_mut(&write.job) {
                if let Some(range) = job.placements.get_mut(write.range) {
                    range.mark_dirty(now.ms, true);
                }
            }
        }
        for finished in transaction.finished_jobs {
            if let Some(job) = self.jobs.get_mut(&finished.id) {
                job.finishing = false;
            }
        }
    }

    /// Handles failed compares of the transaction. Job records, which users may have
    /// changed concurrently, are read again. All other keys are written by this leader
    /// only, so their mismatch makes the leader step down.
    fn on_conflict(&mut self, now: Now, effects: &mut SchedulerEffects) {
        let failed_compares = match &mut self.commits.transaction {
            Some(transaction) => std::mem::take(&mut transaction.failed_compares),
            None => return,
        };
        self.requeue_transaction(now);
        for key in failed_compares {
            match parse_job_key(&key) {
                Some(id) => {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.stale = true;
                    }
                    self.read_job(now, &id, effects);
                }
                // The key is the leader key or a record that only this leader writes.
                None => effects.step_down = Some(StepDownReason::CompareFailed),
            }
        }
    }
}

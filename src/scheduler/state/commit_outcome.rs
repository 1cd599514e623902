//! The outcome of the leader's writes. A transaction with an indeterminate outcome is
//! sent again verbatim until the key-value store tells what became of it.

use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::records::jobs::job_of_key;
use crate::records::write_id_of;
use crate::scheduler::state::transaction::FinishedJob;
use crate::scheduler::{
    Scheduler, SchedulerEffects, SchedulerKvCall, StepDownReason, CALL_TIMEOUT_MS, RETRY_MS,
};
use crate::wire::kv::{KeyValue, TxnResponse};

/// A job whose record the store rejects without a known cause is written again after
/// this many heartbeat intervals.
const HELD_BACK_HEARTBEATS: u64 = 30;
/// How long a finished job is remembered: longer than any call's timeout.
const FINISHED_RETENTION_MS: u64 = 60_000;

impl Scheduler {
    /// The response to the transaction in flight.
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
                    .read::<TxnResponse>(409)
                    .map(|response| response.failed_keys)
                    .unwrap_or_default();
                if transaction.indeterminate {
                    // An earlier copy of it may have been carried out.
                    self.check_commit(now, effects);
                } else {
                    self.on_conflict(now, effects);
                }
            }
            KvResponse::Status(400, _) => {
                effects.rejected_request = Some(transaction.size());
                if transaction.indeterminate {
                    // An earlier copy may have been accepted before the limits fell.
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
                transaction.send_again_at(now.ms + RETRY_MS);
            }
            KvResponse::NotExecuted if transaction.indeterminate => {
                transaction.send_again_at(now.ms + RETRY_MS);
            }
            // Certainly not carried out: build it anew.
            KvResponse::NotExecuted => {
                self.commits.due_ms = now.ms + RETRY_MS;
                self.requeue_transaction(now);
            }
        }
    }

    /// The response to the read that tells whether the transaction was carried out.
    pub(in crate::scheduler) fn on_commit_check_response(
        &mut self,
        now: Now,
        response: &KvResponse,
        effects: &mut SchedulerEffects,
    ) {
        let Some(transaction) = self.commits.transaction.as_ref() else {
            return;
        };
        if let Some(item) = response.read::<KeyValue>(200) {
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

    /// Reads whether the transaction in flight was carried out.
    fn check_commit(&mut self, now: Now, effects: &mut SchedulerEffects) {
        let Some(transaction) = self.commits.transaction.as_ref() else {
            return;
        };
        let call = kv_client::get(&transaction.marker_key, CALL_TIMEOUT_MS);
        let tag = SchedulerKvCall::CheckCommit;
        self.call_kv(now, CallPriority::Placement, call, 0, tag, effects);
    }

    /// The transaction is stored: its tasks may start, and workers may forget the
    /// results that it holds.
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
            self.group_records_stored(&write.job, &write.groups);
        }
        self.commits.max_jobs = self.commits.max_jobs.saturating_mul(2);
        self.cleanup.keys.extend(transaction.obsolete_keys);
        for finished in transaction.finished_jobs {
            self.forget_finished_job(now, finished);
        }
    }

    /// The final record of a job is stored: the leader doesn't hold it any more.
    fn forget_finished_job(&mut self, now: Now, finished: FinishedJob) {
        let FinishedJob { id, state } = finished;
        self.finished_jobs
            .insert(id.clone(), now.ms + FINISHED_RETENTION_MS);
        self.exonerate_unless_succeeded(&id);
        self.groups.remove(&id);
        self.on_job_finished(now, &id, state);
        if let Some(job) = self.jobs.remove(&id) {
            log::info!(
                "job finished job={id} state={state:?} class={} after_ms={}",
                job.spec.class,
                now.wall.saturating_sub(job.submitted)
            );
        }
    }

    /// No known limit explains why the last transaction was rejected. Its jobs are
    /// written in halves until the job at fault stands alone; that one is held back,
    /// and everything else goes on.
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
             reason=\"the key-value store rejects it for no known cause, held back\""
        );
        let pause_ms = self.heartbeat_interval_ms() * HELD_BACK_HEARTBEATS;
        if let Some(job) = self.jobs.get_mut(id) {
            job.held_back_until_ms = now.ms + pause_ms;
        }
    }

    /// The transaction was certainly not carried out; its contents are due again.
    fn requeue_transaction(&mut self, now: Now) {
        self.commits.has_changes = true;
        let Some(transaction) = self.commits.transaction.take() else {
            return;
        };
        for write in transaction.placement_writes {
            if let Some(job) = self.jobs.get_mut(&write.job) {
                if let Some(range) = job.placements.get_mut(write.range) {
                    range.touch(now.ms, true);
                }
            }
        }
        for finished in transaction.finished_jobs {
            if let Some(job) = self.jobs.get_mut(&finished.id) {
                job.finishing = false;
            }
        }
    }

    /// A compare of the transaction failed: job records that users changed meanwhile
    /// are read again; any other key should be changed by this leader alone.
    fn on_conflict(&mut self, now: Now, effects: &mut SchedulerEffects) {
        let failed_compares = match &mut self.commits.transaction {
            Some(transaction) => std::mem::take(&mut transaction.failed_compares),
            None => return,
        };
        self.requeue_transaction(now);
        for key in failed_compares {
            match job_of_key(&key) {
                Some(id) => {
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.stale = true;
                    }
                    self.read_job(now, &id, effects);
                }
                // The leader key or a record that only this leader writes.
                None => effects.step_down = Some(StepDownReason::CompareFailed),
            }
        }
    }
}

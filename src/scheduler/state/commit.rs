//! The leader's writes: one transaction at a time, guarded by compares, with as many
//! jobs' changes as the limits allow. A transaction with an indeterminate outcome is
//! sent again verbatim until the key-value store says what became of it.

use crate::ids::JobId;
use crate::kv_client::{self, CallPriority, KvResponse, WriteBudget};
use crate::messages::Now;
use crate::records::jobs::job_of_key;
use crate::records::write_id_of;
use crate::scheduler::state::transaction::{FinishedJob, PendingTransaction, FINAL_CHANGES};
use crate::scheduler::{
    Scheduler, SchedulerEffects, SchedulerKvCall, StepDownReason, CALL_TIMEOUT_MS,
};
use crate::wire::kv::{KeyValue, TxnResponse};

/// What decides when the leader writes, and how much at once.
#[derive(Debug)]
pub(in crate::scheduler) struct CommitState {
    /// The transaction in flight, if any.
    pub(in crate::scheduler) transaction: Option<PendingTransaction>,
    /// Something may have to be written.
    pub(in crate::scheduler) has_changes: bool,
    /// The next transaction isn't built before this time.
    due_ms: u64,
    /// Since when a transaction has waited for the write budget.
    deferred_since_ms: Option<u64>,
    /// When lazily stored changes are looked for next.
    lazy_due_ms: u64,
    /// How many transactions were built in this term.
    pub(super) transactions_built: u64,
    /// The jobs of the last transaction that the store rejected as malformed.
    rejected_jobs: Vec<JobId>,
    /// The most jobs that a transaction may hold.
    pub(super) max_jobs: usize,
}

impl Default for CommitState {
    fn default() -> Self {
        CommitState {
            transaction: None,
            has_changes: false,
            due_ms: 0,
            deferred_since_ms: None,
            lazy_due_ms: 0,
            transactions_built: 0,
            rejected_jobs: Vec::new(),
            max_jobs: usize::MAX,
        }
    }
}

impl CommitState {
    /// The leader was deposed: whatever is in flight can't be carried out any more.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.rejected_jobs.clear();
        self.max_jobs = usize::MAX;
        self.transaction = None;
        self.deferred_since_ms = None;
        self.transactions_built = 0;
    }
}

/// A job whose record the store rejects without a known cause is written again after
/// this many heartbeat intervals.
const HELD_BACK_HEARTBEATS: u64 = 30;
/// How long to wait for the write budget to grow before looking again.
const BUDGET_RETRY_MS: u64 = 50;
/// The pause before an unanswered transaction is sent or built again.
const RETRY_MS: u64 = 200;
/// How long a finished job is remembered: longer than any call's timeout.
const FINISHED_RETENTION_MS: u64 = 60_000;

/// What the leader has yet to write.
#[derive(Debug, Default)]
struct UnwrittenChanges {
    /// Most important first.
    jobs: Vec<JobId>,
    /// How many write operations they take.
    changes: usize,
    /// Tasks with a start objective of seconds wait for them.
    urgent: bool,
}

impl Scheduler {
    /// How long progress that isn't urgent may stay unwritten: one write then covers
    /// several changes.
    pub(super) fn lazy_write_delay_ms(&self) -> u64 {
        self.heartbeat_interval_ms()
    }

    /// When [`Scheduler::commit`] has to be called next.
    pub(in crate::scheduler) fn next_commit_ms(&self, now: Now) -> u64 {
        let earliest = now.ms + 1;
        match &self.commits.transaction {
            Some(transaction) if !transaction.sent => transaction.due_ms.max(earliest),
            Some(_) => u64::MAX,
            None if self.commits.has_changes => self.commits.due_ms.max(earliest),
            None => self
                .commits
                .due_ms
                .max(self.commits.lazy_due_ms)
                .max(earliest),
        }
    }

    /// Builds the next transaction if one is due, and sends what waits to be sent.
    pub(in crate::scheduler) fn commit(
        &mut self,
        now: Now,
        budget: WriteBudget,
        effects: &mut SchedulerEffects,
    ) {
        // Looking for changes takes a walk over all jobs: it is made when something
        // happened, and now and then for what is stored lazily.
        let may_have_changes = self.commits.has_changes || now.ms >= self.commits.lazy_due_ms;
        let may_write = self.commits.transaction.is_none() && now.ms >= self.commits.due_ms;
        if may_write && may_have_changes {
            self.prepare_transaction(now, budget);
        }
        self.send_transaction(now, effects);
    }

    /// Builds a transaction from what is unwritten, or defers it until the budget
    /// allows more.
    fn prepare_transaction(&mut self, now: Now, budget: WriteBudget) {
        self.pacing.activity.commits += 1;
        let unwritten = self.unwritten_changes(now);
        match self.max_changes(now, &unwritten, budget) {
            Some(max_changes) => {
                self.commits.deferred_since_ms = None;
                self.commits.transaction = self.build_transaction(now, unwritten.jobs, max_changes);
                self.commits.has_changes = self.commits.transaction.is_some();
            }
            None => {
                self.commits.deferred_since_ms.get_or_insert(now.ms);
                self.commits.due_ms = now.ms + BUDGET_RETRY_MS;
            }
        }
        self.commits.lazy_due_ms = now.ms + self.lazy_write_delay_ms() / 4;
    }

    /// Sends the current transaction, if it isn't in flight.
    fn send_transaction(&mut self, now: Now, effects: &mut SchedulerEffects) {
        let Some(transaction) = self
            .commits
            .transaction
            .as_mut()
            .filter(|transaction| !transaction.sent && now.ms >= transaction.due_ms)
        else {
            return;
        };
        transaction.sent = true;
        let (call, writes) = kv_client::txn(&transaction.txn, CALL_TIMEOUT_MS);
        self.ask(
            now,
            CallPriority::Placement,
            call,
            writes,
            SchedulerKvCall::Commit,
            effects,
        );
    }

    /// What there is to write, most important jobs first.
    fn unwritten_changes(&mut self, now: Now) -> UnwrittenChanges {
        let lazy_delay_ms = self.lazy_write_delay_ms();
        let mut unwritten = UnwrittenChanges::default();
        let mut order = Vec::new();
        self.jobs.refresh();
        for id in self.jobs.unwritten() {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            if now.ms < job.held_back_until_ms && job.final_state().is_none() {
                continue;
            }
            if job.final_state().is_some() {
                unwritten.changes += FINAL_CHANGES;
            } else {
                let ranges = job.placements.iter();
                let due = ranges.filter(|range| range.is_due(now, lazy_delay_ms));
                unwritten.changes += due.count();
                unwritten.urgent |= job.placements.iter().any(|range| range.urgent)
                    && self.settings.start_slo_ms(&job.spec).is_some();
            }
            order.push((job.spec.priority, job.submitted, id.clone()));
        }
        order.sort();
        unwritten.jobs = order.into_iter().map(|(_, _, id)| id).collect();
        unwritten
    }

    /// How many changes the next transaction may hold. `None`: wait until the budget
    /// allows more. A transaction that is sent before it can be afforded would delay
    /// what turns out to be urgent meanwhile; and one that is built late covers more
    /// of a job's changes with one write.
    fn max_changes(
        &self,
        now: Now,
        unwritten: &UnwrittenChanges,
        budget: WriteBudget,
    ) -> Option<usize> {
        let txn_ops = self.limits.txn_ops;
        // Without a bound on the wait, submissions could use up all tokens of the
        // write budget as they come.
        let waited_long_enough = self
            .commits
            .deferred_since_ms
            .is_some_and(|since| now.ms >= since + self.lazy_write_delay_ms());
        if unwritten.urgent || waited_long_enough {
            return Some(budget.now.clamp(FINAL_CHANGES, txn_ops));
        }
        let wanted = unwritten.changes.min(txn_ops).min(budget.max);
        (budget.now >= wanted).then_some(txn_ops)
    }

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
            KvResponse::Status(200, _) => match response.committed() {
                Some(revision) => self.on_committed(now, revision.0),
                None => effects.resign = Some(StepDownReason::UnreadableCommitResponse),
            },
            KvResponse::Status(409, _) => {
                transaction.failed_compares = response
                    .read::<TxnResponse>(409)
                    .map(|response| response.failed)
                    .unwrap_or_default();
                if transaction.indeterminate {
                    // An earlier copy of it may have been carried out.
                    self.check_commit(now, effects);
                } else {
                    self.on_conflict(now, effects);
                }
            }
            KvResponse::Status(400, _) => {
                effects.refused = Some(transaction.size());
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
                effects.resign = Some(StepDownReason::CommitRejected);
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
        self.ask(now, CallPriority::Placement, call, 0, tag, effects);
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
        self.forgive_unless_succeeded(&id);
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
    pub fn refused_without_cause(&mut self, now: Now) {
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
                None => effects.resign = Some(StepDownReason::CompareFailed),
            }
        }
    }
}

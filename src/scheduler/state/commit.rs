//! Scheduling of the leader's writes. The leader has at most one transaction in flight.
//! Each transaction is guarded by compares and holds the changes of as many jobs as the
//! key-value store's limits and the write budget allow.

use crate::ids::JobId;
use crate::kv_client::{self, CallPriority, WriteBudget};
use crate::messages::Now;
use crate::scheduler::state::transaction::{PendingTransaction, FINISHED_JOB_WRITE_OPS};
use crate::scheduler::{Scheduler, SchedulerEffects, SchedulerKvCall, CALL_TIMEOUT_MS};

/// The transaction in flight, and the state that decides when the next one is built and
/// how large it may be.
#[derive(Debug)]
pub(in crate::scheduler) struct CommitState {
    /// The transaction that is in flight or waits to be sent again.
    pub(in crate::scheduler) transaction: Option<PendingTransaction>,
    /// Whether jobs may have changes to write. `false` defers the search for changes to
    /// `lazy_due_ms`.
    pub(in crate::scheduler) has_changes: bool,
    /// The earliest time at which the next transaction is built.
    pub(super) due_ms: u64,
    /// Since when changes have waited for the write budget; `None`: none wait.
    deferred_since_ms: Option<u64>,
    /// When the leader next searches for changes that are written lazily.
    lazy_due_ms: u64,
    /// How many transactions were built in this term. The count is part of the write id.
    pub(super) transactions_built: u64,
    /// The jobs of the transaction that the key-value store last rejected with status 400;
    /// empty once the rejection is handled.
    pub(super) rejected_jobs: Vec<JobId>,
    /// The most jobs that a transaction may hold: half of the jobs of a rejected
    /// transaction, doubled after each commit.
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
    /// Discards the transaction in flight after the leader was deposed: the transaction
    /// can't be executed any more.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.rejected_jobs.clear();
        self.max_jobs = usize::MAX;
        self.transaction = None;
        self.deferred_since_ms = None;
        self.transactions_built = 0;
    }
}

/// The pause before changes deferred for lack of write budget are examined again.
const BUDGET_RETRY_MS: u64 = 50;

/// The changes that the leader has yet to write.
#[derive(Debug, Default)]
struct UnwrittenChanges {
    /// The jobs with changes, in descending order of importance.
    jobs: Vec<JobId>,
    /// How many write operations the changes take.
    write_ops: usize,
    /// Whether tasks with a start objective of seconds wait for the changes.
    urgent: bool,
}

impl Scheduler {
    /// Returns how long changes that aren't urgent may stay unwritten. The delay lets one
    /// write cover several changes.
    pub(super) fn lazy_write_delay_ms(&self) -> u64 {
        self.heartbeat_interval_ms()
    }

    /// Returns when [`Scheduler::commit`] has to be called next; `u64::MAX` while a
    /// transaction is in flight.
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

    /// Builds the next transaction if one is due, and sends the current one if it waits
    /// to be sent.
    pub(in crate::scheduler) fn commit(
        &mut self,
        now: Now,
        budget: WriteBudget,
        effects: &mut SchedulerEffects,
    ) {
        // The search for changes visits all unwritten jobs. It therefore runs only after
        // an event, and periodically for changes that are written lazily.
        let may_have_changes = self.commits.has_changes || now.ms >= self.commits.lazy_due_ms;
        let may_write = self.commits.transaction.is_none() && now.ms >= self.commits.due_ms;
        if may_write && may_have_changes {
            self.prepare_transaction(now, budget);
        }
        self.send_transaction(now, effects);
    }

    /// Builds a transaction from the unwritten changes, or defers it until the write
    /// budget allows it.
    fn prepare_transaction(&mut self, now: Now, budget: WriteBudget) {
        self.pacing.activity.commits += 1;
        let unwritten = self.unwritten_changes(now);
        match self.max_write_ops(now, &unwritten, budget) {
            Some(max_write_ops) => {
                self.commits.deferred_since_ms = None;
                self.commits.transaction =
                    self.build_transaction(now, unwritten.jobs, max_write_ops);
                self.commits.has_changes = self.commits.transaction.is_some();
            }
            None => {
                self.commits.deferred_since_ms.get_or_insert(now.ms);
                self.commits.due_ms = now.ms + BUDGET_RETRY_MS;
            }
        }
        self.commits.lazy_due_ms = now.ms + self.lazy_write_delay_ms() / 4;
    }

    /// Sends the current transaction if it is due and not already in flight.
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
        self.call_kv(
            now,
            CallPriority::Placement,
            call,
            writes,
            SchedulerKvCall::Commit,
            effects,
        );
    }

    /// Collects the unwritten changes, with the jobs ordered by priority, submission time
    /// and id.
    fn unwritten_changes(&mut self, now: Now) -> UnwrittenChanges {
        let lazy_delay_ms = self.lazy_write_delay_ms();
        let mut unwritten = UnwrittenChanges::default();
        let mut order = Vec::new();
        self.jobs.refresh();
        for id in self.jobs.unwritten() {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            if now.ms < job.write_retry_due_ms && job.final_state().is_none() {
                continue;
            }
            if job.final_state().is_some() {
                unwritten.write_ops += FINISHED_JOB_WRITE_OPS;
            } else {
                let ranges = job.placements.iter();
                let due = ranges.filter(|range| range.is_due(now, lazy_delay_ms));
                unwritten.write_ops += due.count();
                unwritten.urgent |= job.placements.iter().any(|range| range.urgent)
                    && self.settings.start_slo_ms(&job.spec).is_some();
            }
            order.push((job.spec.priority, job.submitted_wall_ms, id.clone()));
        }
        order.sort();
        unwritten.jobs = order.into_iter().map(|(_, _, id)| id).collect();
        unwritten
    }

    /// Returns how many write operations the next transaction may hold; `None` if it has
    /// to wait for the write budget. A transaction that exceeds the budget would delay
    /// urgent changes that arrive in the meantime. A transaction that is built later
    /// also covers more changes of a job with one write.
    fn max_write_ops(
        &self,
        now: Now,
        unwritten: &UnwrittenChanges,
        budget: WriteBudget,
    ) -> Option<usize> {
        let txn_ops = self.limits.txn_ops;
        // The wait is bounded because submissions could otherwise consume every token of
        // the write budget as soon as it is added.
        let waited_long_enough = self
            .commits
            .deferred_since_ms
            .is_some_and(|since_ms| now.ms >= since_ms + self.lazy_write_delay_ms());
        if unwritten.urgent || waited_long_enough {
            return Some(budget.available.clamp(FINISHED_JOB_WRITE_OPS, txn_ops));
        }
        let wanted = unwritten.write_ops.min(txn_ops).min(budget.burst);
        (budget.available >= wanted).then_some(txn_ops)
    }
}

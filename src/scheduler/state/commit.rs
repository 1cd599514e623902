//! When the leader writes: one transaction at a time, guarded by compares, with as many
//! jobs' changes as the limits and the write budget allow.

use crate::ids::JobId;
use crate::kv_client::{self, CallPriority, WriteBudget};
use crate::messages::Now;
use crate::scheduler::state::transaction::{PendingTransaction, FINAL_CHANGES};
use crate::scheduler::{Scheduler, SchedulerEffects, SchedulerKvCall, CALL_TIMEOUT_MS};

/// What decides when the leader writes, and how much at once.
#[derive(Debug)]
pub(in crate::scheduler) struct CommitState {
    /// The transaction in flight, if any.
    pub(in crate::scheduler) transaction: Option<PendingTransaction>,
    /// Something may have to be written.
    pub(in crate::scheduler) has_changes: bool,
    /// The next transaction isn't built before this time.
    pub(super) due_ms: u64,
    /// Since when a transaction has waited for the write budget.
    deferred_since_ms: Option<u64>,
    /// When lazily stored changes are looked for next.
    lazy_due_ms: u64,
    /// How many transactions were built in this term.
    pub(super) transactions_built: u64,
    /// The jobs of the last transaction that the store rejected as malformed.
    pub(super) rejected_jobs: Vec<JobId>,
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

/// How long to wait for the write budget to grow before looking again.
const BUDGET_RETRY_MS: u64 = 50;

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
        self.call_kv(
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
            return Some(budget.available.clamp(FINAL_CHANGES, txn_ops));
        }
        let wanted = unwritten.changes.min(txn_ops).min(budget.burst);
        (budget.available >= wanted).then_some(txn_ops)
    }
}

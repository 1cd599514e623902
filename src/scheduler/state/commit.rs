//! What the leader writes: one guarded transaction at a time, holding as many
//! jobs' changes as the limits allow. An unclear one is sent again, letter by
//! letter, until the state service says what became of it.

use crate::ids::JobId;
use crate::kv_client::{self, CallPriority, KvResponse, WriteBudget};
use crate::messages::Now;
use crate::scheduler::state::transaction::PendingTransaction;
use crate::scheduler::state::transaction::FINAL_CHANGES;
use crate::scheduler::{Scheduler, SchedulerEffects, SchedulerKvCall, CALL_TIMEOUT_MS};
use crate::wire::kv::{KeyValue, TxnResponse};

/// What decides when the leader writes, and how much at once.
#[derive(Debug)]
pub(in crate::scheduler) struct CommitState {
    /// The transaction in flight, if any.
    pub(in crate::scheduler) transaction: Option<PendingTransaction>,
    /// Something may have to be written.
    pub(in crate::scheduler) has_changes: bool,
    due_ms: u64,
    /// Since when a transaction has waited until it can be afforded.
    deferred_since_ms: Option<u64>,
    /// When what may be stored lazily is looked for next.
    lazy_due_ms: u64,
    /// How many transactions were put together in this term.
    pub(in crate::scheduler) writes: u64,
    /// The jobs of the last transaction that the store refused as malformed.
    refused_jobs: Vec<JobId>,
    /// So many jobs go into a transaction at most.
    pub(in crate::scheduler) max_jobs: usize,
}

impl Default for CommitState {
    fn default() -> Self {
        CommitState {
            transaction: None,
            has_changes: false,
            due_ms: 0,
            deferred_since_ms: None,
            lazy_due_ms: 0,
            writes: 0,
            refused_jobs: Vec::new(),
            max_jobs: usize::MAX,
        }
    }
}

impl CommitState {
    /// The leader was deposed: whatever is in flight can't be carried out any more.
    pub(in crate::scheduler) fn reset(&mut self) {
        self.refused_jobs.clear();
        self.max_jobs = usize::MAX;
        self.transaction = None;
        self.deferred_since_ms = None;
        self.writes = 0;
    }
}

/// What the state service refuses and nothing explains is tried again after so many
/// report intervals.
const HELD_BACK_REPORTS: u64 = 30;
/// When too few changes can be afforded, this long passes until the next look.
const SAVE_UP_MS: u64 = 50;
const RETRY_MS: u64 = 200;
/// Longer than any call's patience.
const OVER_MS: u64 = 60_000;

/// What the leader has yet to write.
#[derive(Debug, Default)]
struct Unwritten {
    /// Most important first.
    jobs: Vec<JobId>,
    /// How many changes that would take.
    changes: usize,
    /// Tasks wait for it that should start within seconds.
    urgent: bool,
}

impl Scheduler {
    /// Partial results are stored at leisure: one write then takes several.
    pub(in crate::scheduler) fn leisure_ms(&self) -> u64 {
        self.heartbeat_interval_ms()
    }

    pub(in crate::scheduler) fn commit_wake_ms(&self, now: Now) -> u64 {
        match &self.commits.transaction {
            Some(batch) if !batch.sent => batch.due_ms.max(now.ms + 1),
            Some(_) => u64::MAX,
            None if self.commits.has_changes => self.commits.due_ms.max(now.ms + 1),
            None => self
                .commits
                .due_ms
                .max(self.commits.lazy_due_ms)
                .max(now.ms + 1),
        }
    }

    pub(in crate::scheduler) fn commit(
        &mut self,
        now: Now,
        budget: WriteBudget,
        out: &mut SchedulerEffects,
    ) {
        // Looking for what there is to write takes a walk over all jobs: it is
        // made when something happened, and now and then for what is stored at
        // leisure.
        let due = self.commits.has_changes || now.ms >= self.commits.lazy_due_ms;
        if self.commits.transaction.is_none() && now.ms >= self.commits.due_ms && due {
            self.pacing.activity.commits += 1;
            let unwritten = self.unwritten(now);
            match self.most_changes(now, &unwritten, budget) {
                Some(most) => {
                    self.commits.deferred_since_ms = None;
                    self.commits.transaction = self.build_transaction(now, unwritten.jobs, most);
                    self.commits.has_changes = self.commits.transaction.is_some();
                }
                None => {
                    self.commits.deferred_since_ms.get_or_insert(now.ms);
                    self.commits.due_ms = now.ms + SAVE_UP_MS;
                }
            }
            self.commits.lazy_due_ms = now.ms + self.leisure_ms() / 4;
        }
        let Some(batch) = self
            .commits
            .transaction
            .as_mut()
            .filter(|b| !b.sent && now.ms >= b.due_ms)
        else {
            return;
        };
        batch.sent = true;
        let (call, writes) = kv_client::txn(&batch.txn, CALL_TIMEOUT_MS);
        self.ask(
            now,
            CallPriority::Placement,
            call,
            writes,
            SchedulerKvCall::Commit,
            out,
        );
    }

    /// What there is to write, most important jobs first.
    fn unwritten(&mut self, now: Now) -> Unwritten {
        let leisure_ms = self.leisure_ms();
        let mut unwritten = Unwritten::default();
        let mut order = Vec::new();
        self.jobs.refresh();
        for id in self.jobs.unwritten() {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            if now.ms < job.held_back_until_ms && job.ending().is_none() {
                continue;
            }
            if job.ending().is_some() {
                unwritten.changes += FINAL_CHANGES;
            } else {
                let due = job.placements.iter().filter(|s| s.due(now, leisure_ms));
                unwritten.changes += due.count();
                unwritten.urgent |= job.placements.iter().any(|s| s.urgent)
                    && self.settings.start_slo_ms(&job.spec).is_some();
            }
            order.push((job.spec.priority, job.submitted, id.clone()));
        }
        order.sort();
        unwritten.jobs = order.into_iter().map(|(_, _, id)| id).collect();
        unwritten
    }

    /// How many changes the next transaction may hold. `None`: wait for more
    /// to be affordable. A transaction that was sent before it could be afforded
    /// would hold up what turns out to be urgent meanwhile; and one that is put
    /// together late takes more of a job's changes with one write.
    fn most_changes(&self, now: Now, unwritten: &Unwritten, budget: WriteBudget) -> Option<usize> {
        let txn_ops = self.limits.txn_ops;
        // Submissions may take whatever comes into the bucket.
        let long_enough = self
            .commits
            .deferred_since_ms
            .is_some_and(|since| now.ms >= since + self.leisure_ms());
        if unwritten.urgent || long_enough {
            return Some(budget.now.clamp(FINAL_CHANGES, txn_ops));
        }
        let wanted = unwritten.changes.min(txn_ops).min(budget.max);
        (budget.now >= wanted).then_some(txn_ops)
    }

    pub(in crate::scheduler) fn on_commit(
        &mut self,
        now: Now,
        answer: &KvResponse,
        out: &mut SchedulerEffects,
    ) {
        let Some(batch) = self.commits.transaction.as_mut() else {
            return;
        };
        match answer {
            KvResponse::Status(200, _) => match answer.committed() {
                Some(revision) => self.committed(now, revision.0),
                None => out.resign = Some("a commit's answer can't be read"),
            },
            KvResponse::Status(409, _) => {
                batch.failed = answer
                    .read::<TxnResponse>(409)
                    .map(|r| r.failed)
                    .unwrap_or_default();
                if batch.unclear {
                    // Perhaps an earlier copy of it went through.
                    self.check_commit(now, out);
                } else {
                    self.conflicted(now, out);
                }
            }
            KvResponse::Status(400, _) => {
                out.refused = Some(batch.size());
                if batch.unclear {
                    // An earlier copy may have been taken, before the limits fell.
                    self.commits.refused_jobs.clear();
                    self.check_commit(now, out);
                } else {
                    self.commits.refused_jobs = batch.jobs();
                    self.take_back(now);
                }
            }
            KvResponse::Status(status, _) => {
                log::error!("commit refused with status {status}");
                out.resign = Some("a commit was refused");
            }
            KvResponse::Indeterminate => {
                batch.unclear = true;
                batch.sent = false;
                batch.due_ms = now.ms + RETRY_MS;
            }
            KvResponse::NotExecuted if batch.unclear => {
                batch.sent = false;
                batch.due_ms = now.ms + RETRY_MS;
            }
            // Certainly not carried out: think again.
            KvResponse::NotExecuted => {
                self.commits.due_ms = now.ms + RETRY_MS;
                self.take_back(now);
            }
        }
    }

    pub(in crate::scheduler) fn on_check_commit(
        &mut self,
        now: Now,
        answer: &KvResponse,
        out: &mut SchedulerEffects,
    ) {
        let Some(batch) = self.commits.transaction.as_ref() else {
            return;
        };
        if let Some(item) = answer.read::<KeyValue>(200) {
            let write = item.value.get("w").and_then(|w| w.as_u64());
            if write == Some(batch.write) {
                self.committed(now, item.mod_revision);
            } else {
                self.conflicted(now, out);
            }
        } else if answer.status() == Some(404) {
            self.conflicted(now, out);
        } else {
            self.check_commit(now, out);
        }
    }

    /// Reads whether the transaction in flight was carried out.
    fn check_commit(&mut self, now: Now, out: &mut SchedulerEffects) {
        let Some(batch) = self.commits.transaction.as_ref() else {
            return;
        };
        let call = kv_client::get(&batch.witness, CALL_TIMEOUT_MS);
        let tag = SchedulerKvCall::CheckCommit;
        self.ask(now, CallPriority::Placement, call, 0, tag, out);
    }

    /// Now it is stored: tasks may start, results may be forgotten by their
    /// workers.
    fn committed(&mut self, now: Now, version: u64) {
        let Some(batch) = self.commits.transaction.take() else {
            return;
        };
        for write in batch.shards {
            let Some(job) = self.jobs.get_mut(&write.job) else {
                continue;
            };
            if let Some(shard) = job.placements.get_mut(write.shard) {
                shard.revision = version;
            }
            for (task, attempt) in write.assigned {
                if let Some(assign) = job.assignments.get_mut(&task) {
                    if assign.attempt == attempt && !assign.recorded {
                        assign.recorded = true;
                        self.machines_to_command.insert(assign.machine.clone());
                    }
                }
            }
            for ended in write.ended {
                job.unstored_ends.remove(&ended);
            }
            self.group_records_stored(&write.job, &write.groups);
        }
        self.commits.max_jobs = self.commits.max_jobs.saturating_mul(2);
        self.cleanup.keys.extend(batch.litter);
        for (id, state) in batch.finished {
            self.finished_jobs.insert(id.clone(), now.ms + OVER_MS);
            self.forgive_unless_succeeded(&id);
            self.groups.remove(&id);
            self.stage_over(now, &id, state);
            if let Some(job) = self.jobs.remove(&id) {
                log::info!(
                    "job {id} over state={state:?} class={} after_ms={}",
                    job.spec.class,
                    now.wall.saturating_sub(job.submitted)
                );
            }
        }
    }

    /// No limit that is known explains why the last transaction was refused. It goes
    /// in halves, until what is wrong stands alone; that is held back, and
    /// everything else goes on.
    pub fn refused_without_cause(&mut self, now: Now) {
        let refused = std::mem::take(&mut self.commits.refused_jobs);
        if refused.is_empty() {
            return;
        }
        let [alone] = refused.as_slice() else {
            self.commits.max_jobs = (refused.len() / 2).max(1);
            return;
        };
        log::error!("job {alone}: the state service refuses its record, held back");
        let pause_ms = self.heartbeat_interval_ms() * HELD_BACK_REPORTS;
        if let Some(job) = self.jobs.get_mut(alone) {
            job.held_back_until_ms = now.ms + pause_ms;
        }
    }

    /// The batch was certainly not carried out; its contents are due again.
    fn take_back(&mut self, now: Now) {
        self.commits.has_changes = true;
        let Some(batch) = self.commits.transaction.take() else {
            return;
        };
        for write in batch.shards {
            if let Some(job) = self.jobs.get_mut(&write.job) {
                if let Some(shard) = job.placements.get_mut(write.shard) {
                    shard.touch(now.ms, true);
                }
            }
        }
        for (id, _) in batch.finished {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.finishing = false;
            }
        }
    }

    fn conflicted(&mut self, now: Now, out: &mut SchedulerEffects) {
        let failed = match &mut self.commits.transaction {
            Some(batch) => std::mem::take(&mut batch.failed),
            None => return,
        };
        self.take_back(now);
        for key in failed {
            match key.strip_prefix(crate::records::jobs::JOB_PREFIX) {
                Some(id) => {
                    let id = JobId::new(id);
                    if let Some(job) = self.jobs.get_mut(&id) {
                        job.stale = true;
                    }
                    self.read_job(now, &id, out);
                }
                // The leader key or a record that is only ours to write.
                None => out.resign = Some("a guard of ours failed"),
            }
        }
    }
}

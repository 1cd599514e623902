//! Construction of the leader's transactions. A transaction holds final records of jobs
//! and placement records, most important jobs first, as many as the limits allow.

use crate::ids::{Attempt, JobId, Revision};
use crate::limits::{RequestSize, StoreLimits};
use crate::messages::Now;
use crate::records::jobs::{final_key, job_key, FinalRecord, FinalState};
use crate::records::leadership::LEADER_KEY;
use crate::records::placements::{placement_key, PlacementRecord};
use crate::scheduler::state::job::Job;
use crate::scheduler::Scheduler;
use crate::wire::kv::Txn;
use lilacfork_replica_groups::record::GroupRecord;
use lilacfork_replica_groups::registry::ReplicaGroups;

/// Once a transaction's records exceed this size, no more are added: the protocol's
/// 64 KiB less headers and compares.
const MAX_TXN_BYTES: usize = 52 * 1024;
/// The write operations for the end of a job: one puts the final record, one deletes the
/// job record.
pub(super) const FINISHED_JOB_WRITE_OPS: usize = 2;
/// An upper bound for the bytes that the end of a job takes in a transaction.
const MAX_FINAL_RECORD_BYTES: usize = 200;

/// A placement record that a transaction writes.
#[derive(Debug)]
pub(super) struct PlacementWrite {
    pub(super) job: JobId,
    /// The number of the record's range in [`Job::placements`].
    pub(super) range: usize,
    /// The assignments that the record holds, by task and attempt.
    pub(super) assigned: Vec<(u32, Attempt)>,
    /// The ended attempts, by task and attempt, whose end the record stores.
    pub(super) ended: Vec<(u32, Attempt)>,
    /// The replica groups that the record holds.
    pub(super) groups: Vec<GroupRecord>,
}

/// A job whose final record a transaction writes.
#[derive(Debug)]
pub(super) struct FinishedJob {
    pub(super) id: JobId,
    pub(super) state: FinalState,
}

/// A transaction of the leader, with the changes to apply once it is committed.
#[derive(Debug)]
pub(in crate::scheduler) struct PendingTransaction {
    /// The id that every record of the transaction carries.
    pub(super) write_id: u64,
    pub(super) txn: Txn,
    pub(super) placement_writes: Vec<PlacementWrite>,
    pub(super) finished_jobs: Vec<FinishedJob>,
    /// The keys of placement records that become obsolete when the transaction commits,
    /// because their jobs finish with it.
    pub(super) obsolete_keys: Vec<String>,
    /// The key of the first record that the transaction puts. Its value holds `write_id`
    /// if the transaction was executed.
    pub(super) marker_key: String,
    /// Whether the transaction is in flight.
    pub(super) sent: bool,
    /// Whether an earlier copy of the transaction may have been executed.
    pub(super) indeterminate: bool,
    /// The keys whose compares failed, from the response of the key-value store.
    pub(super) failed_compares: Vec<String>,
    /// The earliest time at which the transaction is sent.
    pub(super) due_ms: u64,
    /// The estimated size of the records.
    estimated_bytes: usize,
}

impl PendingTransaction {
    fn new(write_id: u64, leader_key_revision: Revision) -> PendingTransaction {
        PendingTransaction {
            write_id,
            txn: Txn::default().compare(LEADER_KEY, leader_key_revision.0),
            placement_writes: Vec::new(),
            finished_jobs: Vec::new(),
            obsolete_keys: Vec::new(),
            marker_key: String::new(),
            sent: false,
            indeterminate: false,
            failed_compares: Vec::new(),
            due_ms: 0,
            estimated_bytes: 0,
        }
    }

    pub(super) fn size(&self) -> RequestSize {
        RequestSize::of(&self.txn)
    }

    /// Returns the jobs whose records the transaction writes.
    pub(super) fn jobs(&self) -> Vec<JobId> {
        let finished = self.finished_jobs.iter().map(|finished| &finished.id);
        let placed = self.placement_writes.iter().map(|write| &write.job);
        let mut jobs: Vec<JobId> = finished.chain(placed).cloned().collect();
        jobs.dedup();
        jobs
    }

    /// Schedules the transaction to be sent again, once its call has ended.
    pub(super) fn schedule_resend(&mut self, due_ms: u64) {
        self.sent = false;
        self.due_ms = due_ms;
    }

    fn has_capacity_for(&self, write_ops: usize, max_write_ops: usize) -> bool {
        self.txn.writes.len() + write_ops <= max_write_ops && self.estimated_bytes <= MAX_TXN_BYTES
    }

    /// Adds the final record of a job and the deletion of its job record.
    fn add_final_record(&mut self, now: Now, job: &mut Job, state: FinalState) {
        let id = job.spec.id.clone();
        let record = FinalRecord {
            state,
            tasks: job.spec.tasks,
            write_id: self.write_id,
            ended_wall_ms: now.wall_ms,
        };
        let value = serde_json::to_value(record).unwrap_or_default();
        self.txn = std::mem::take(&mut self.txn)
            .compare(job_key(&id), job.revision)
            .put(final_key(&id), value)
            .delete(job_key(&id));
        if self.marker_key.is_empty() {
            self.marker_key = final_key(&id);
        }
        let stored = job.placements.iter().filter(|range| range.revision > 0);
        let keys = stored.map(|range| placement_key(&id, range.name));
        self.obsolete_keys.extend(keys);
        job.finishing = true;
        self.finished_jobs.push(FinishedJob { id, state });
        self.estimated_bytes += MAX_FINAL_RECORD_BYTES;
    }

    /// Adds the placement record of one of a job's ranges.
    fn add_placement_record(
        &mut self,
        job: &mut Job,
        number: usize,
        record: PlacementRecord,
        first_of_job: bool,
    ) {
        let id = job.spec.id.clone();
        let segments = job.placements.tasks_of(number);
        let ended = job
            .unstored_ends
            .iter()
            .filter(|(task, _)| segments.iter().any(|segment| segment.contains(task)))
            .copied()
            .collect();
        let Some(range) = job.placements.get_mut(number) else {
            return;
        };
        range.dirty_since_ms = None;
        range.urgent = false;
        let key = placement_key(&id, range.name);
        self.estimated_bytes += record.max_bytes();
        let mut txn = std::mem::take(&mut self.txn);
        if first_of_job {
            // The compare fails if the job was cancelled concurrently: the cancellation
            // takes precedence.
            txn = txn.compare(job_key(&id), job.revision);
        }
        self.placement_writes.push(PlacementWrite {
            job: id,
            range: number,
            assigned: record
                .assigned
                .iter()
                .map(|row| (row.task, row.attempt))
                .collect(),
            ended,
            groups: record.groups.clone(),
        });
        let value = serde_json::to_value(record).unwrap_or_default();
        self.txn = txn
            .compare(key.clone(), range.revision)
            .put(key.clone(), value);
        if self.marker_key.is_empty() {
            self.marker_key = key;
        }
    }
}

/// Builds the current placement record of one of a job's ranges, with its replica groups.
fn current_record(
    job: &Job,
    number: usize,
    write_id: u64,
    groups: &ReplicaGroups,
    zones: &[String],
) -> PlacementRecord {
    let mut record = job.placement_record(number, write_id, zones);
    if let Some(groups) = groups.get(&job.spec.id) {
        let segments = job.placements.tasks_of(number);
        record.groups = segments
            .into_iter()
            .flat_map(|tasks| groups.records(tasks))
            .collect();
    }
    record
}

/// Splits a job's due ranges until the record of each is small enough for the key-value
/// store or can't be split further.
fn split_oversized_ranges(
    job: &mut Job,
    is_due: impl Fn(&Job, usize) -> bool,
    groups: &ReplicaGroups,
    limits: &StoreLimits,
) {
    // A split appends the new ranges, so the loop examines them too.
    let mut number = 0;
    while number < job.placements.len() {
        if is_due(job, number) && may_exceed(job, number, limits) {
            // The list of zones isn't needed: zones are stored as numbers of one or two
            // digits, so their values don't matter for the size.
            let record = current_record(job, number, u64::MAX, groups, &[]);
            if !record.fits(limits.value_bytes) {
                let max_tasks = record.tasks_that_fit(limits.value_bytes);
                let unit = job.tasks_per_replica();
                if job.placements.split(number, max_tasks, unit) {
                    log::info!("placement record split job={}", job.spec.id);
                }
            }
        }
        number += 1;
    }
}

/// Returns whether the record of a range may be larger than the key-value store accepts.
/// The size is not known in advance for jobs with replica groups.
fn may_exceed(job: &Job, number: usize, limits: &StoreLimits) -> bool {
    job.shape.is_some() || job.placements.max_record_bytes(number) > limits.value_bytes
}

impl Scheduler {
    /// Builds the next transaction from the due changes of the jobs; `None`: there are
    /// none.
    pub(super) fn build_transaction(
        &mut self,
        now: Now,
        jobs: Vec<JobId>,
        max_write_ops: usize,
    ) -> Option<PendingTransaction> {
        let lazy_delay_ms = self.lazy_write_delay_ms();
        self.commits.transactions_built += 1;
        let write_id = (self.term.0 << 32) | self.commits.transactions_built;
        let leader_key_revision = Revision(self.leader_key_revision);
        let mut transaction = PendingTransaction::new(write_id, leader_key_revision);
        let is_due = |job: &Job, number: usize| {
            let range = job.placements.get(number);
            range.is_some_and(|range| range.is_due(now, lazy_delay_ms))
        };
        // Changes that don't fit wait for the next transaction.
        for id in jobs.into_iter().take(self.commits.max_jobs) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if !transaction.has_capacity_for(FINISHED_JOB_WRITE_OPS, max_write_ops) {
                break;
            }
            if let Some(state) = job.final_state() {
                transaction.add_final_record(now, job, state);
                continue;
            }
            split_oversized_ranges(job, is_due, &self.groups, &self.limits);
            let mut first_of_job = true;
            for number in 0..job.placements.len() {
                if !transaction.has_capacity_for(1, max_write_ops) {
                    break;
                }
                if is_due(job, number) {
                    let zones = &self.settings.site.zones;
                    let record = current_record(job, number, write_id, &self.groups, zones);
                    transaction.add_placement_record(job, number, record, first_of_job);
                    first_of_job = false;
                }
            }
        }
        (!transaction.txn.writes.is_empty()).then_some(transaction)
    }
}

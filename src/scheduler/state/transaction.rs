//! How a transaction of the leader's is built: final records of jobs and placement
//! records, most important first, as many as the limits allow.

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

/// The most bytes of a transaction's records: the protocol's 64 KiB less headers and
/// compares.
const MAX_TXN_BYTES: usize = 52 * 1024;
/// A job's end takes two changes: its final record is put, its job record deleted.
pub(super) const FINAL_CHANGES: usize = 2;
/// Bytes that a job's end takes in a transaction, generously.
const FINAL_RECORD_BYTES: usize = 200;

/// A placement record in a transaction.
#[derive(Debug)]
pub(super) struct PlacementWrite {
    pub(super) job: JobId,
    /// The number of the record's range within its job.
    pub(super) range: usize,
    /// The assignments that the record holds, by task and attempt.
    pub(super) assigned: Vec<(u32, Attempt)>,
    /// The ends of attempts that it stores.
    pub(super) ended: Vec<(u32, Attempt)>,
    /// The replica groups that it holds.
    pub(super) groups: Vec<GroupRecord>,
}

/// A job whose final record is in a transaction.
#[derive(Debug)]
pub(super) struct FinishedJob {
    pub(super) id: JobId,
    pub(super) state: FinalState,
}

/// A transaction of the leader's, and what is true once it is stored.
#[derive(Debug)]
pub(in crate::scheduler) struct PendingTransaction {
    /// Identifies the write in the records that it puts.
    pub(super) write_id: u64,
    pub(super) txn: Txn,
    pub(super) placement_writes: Vec<PlacementWrite>,
    pub(super) finished_jobs: Vec<FinishedJob>,
    /// Placement records of jobs that are over once this is stored.
    pub(super) obsolete_keys: Vec<String>,
    /// The key of the first record that it puts: its value names this write if the
    /// transaction was carried out.
    pub(super) marker_key: String,
    /// It is in flight.
    pub(super) sent: bool,
    /// An earlier copy of it may have been carried out.
    pub(super) indeterminate: bool,
    /// The keys whose compares failed, as the store named them.
    pub(super) failed_compares: Vec<String>,
    /// When it may be sent.
    pub(super) due_ms: u64,
    /// The size of its records, roughly.
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

    /// How large it is.
    pub(super) fn size(&self) -> RequestSize {
        RequestSize::of(&self.txn)
    }

    /// The jobs that it writes.
    pub(super) fn jobs(&self) -> Vec<JobId> {
        let finished = self.finished_jobs.iter().map(|finished| &finished.id);
        let placed = self.placement_writes.iter().map(|write| &write.job);
        let mut jobs: Vec<JobId> = finished.chain(placed).cloned().collect();
        jobs.dedup();
        jobs
    }

    /// It isn't in flight any more, and is to be sent again.
    pub(super) fn send_again_at(&mut self, due_ms: u64) {
        self.sent = false;
        self.due_ms = due_ms;
    }

    fn has_capacity_for(&self, changes: usize, max_changes: usize) -> bool {
        self.txn.writes.len() + changes <= max_changes && self.estimated_bytes <= MAX_TXN_BYTES
    }

    /// Adds the end of a job.
    fn add_final_record(&mut self, now: Now, job: &mut Job, state: FinalState) {
        let id = job.spec.id.clone();
        let record = FinalRecord {
            state,
            tasks: job.spec.tasks,
            write_id: self.write_id,
            ended_at: now.wall_ms,
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
        self.estimated_bytes += FINAL_RECORD_BYTES;
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
        range.dirty_ms = None;
        range.urgent = false;
        let key = placement_key(&id, range.name);
        self.estimated_bytes += record.max_bytes();
        let mut txn = std::mem::take(&mut self.txn);
        if first_of_job {
            // If the job was cancelled meanwhile, the cancellation wins.
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

/// The placement record of one of a job's ranges as of now, with its replica groups.
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

/// Splits a job's due ranges until the record of each is accepted by the key-value
/// store, or can't be split any further.
fn split_oversized_ranges(
    job: &mut Job,
    is_due: impl Fn(&Job, usize) -> bool,
    groups: &ReplicaGroups,
    limits: &StoreLimits,
) {
    // Ranges that come of a split are looked at in their turn.
    let mut number = 0;
    while number < job.placements.len() {
        if is_due(job, number) && may_exceed(job, number, limits) {
            // Zones are stored as numbers of one digit or two: which ones they are
            // doesn't matter for the size.
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

/// Whether the record of a range may be larger than the store accepts. Of jobs with
/// replica groups the size isn't known in advance.
fn may_exceed(job: &Job, number: usize, limits: &StoreLimits) -> bool {
    job.shape.is_some() || job.placements.max_record_bytes(number) > limits.value_bytes
}

impl Scheduler {
    /// Builds the transaction of what is to be written next; `None`: nothing.
    pub(super) fn build_transaction(
        &mut self,
        now: Now,
        jobs: Vec<JobId>,
        max_changes: usize,
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
        // What doesn't fit waits for the next one.
        for id in jobs.into_iter().take(self.commits.max_jobs) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if !transaction.has_capacity_for(FINAL_CHANGES, max_changes) {
                break;
            }
            if let Some(state) = job.final_state() {
                transaction.add_final_record(now, job, state);
                continue;
            }
            split_oversized_ranges(job, is_due, &self.groups, &self.limits);
            let mut first_of_job = true;
            for number in 0..job.placements.len() {
                if !transaction.has_capacity_for(1, max_changes) {
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

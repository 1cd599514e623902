//! One guarded transaction of the leader's, put together: ends of jobs and
//! placements, most important first, as many as the limits allow.

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

/// Room for headers and guards below the protocol's 64 KiB.
const TXN_BYTES: usize = 52 * 1024;
/// A job's end takes two changes: one record comes, one goes.
pub(in crate::scheduler) const FINAL_CHANGES: usize = 2;
/// What a job's end takes of a transaction, in bytes, generously.
const FINAL_BYTES: usize = 200;

/// A placement record in a transaction.
#[derive(Debug)]
pub(in crate::scheduler) struct PlacementWrite {
    pub(in crate::scheduler) job: JobId,
    /// The record's number within its job.
    pub(in crate::scheduler) shard: usize,
    pub(in crate::scheduler) assigned: Vec<(u32, Attempt)>,
    pub(in crate::scheduler) ended: Vec<(u32, Attempt)>,
    pub(in crate::scheduler) groups: Vec<GroupRecord>,
}

/// A transaction of the leader's, and what is true once it is stored.
#[derive(Debug)]
pub(in crate::scheduler) struct PendingTransaction {
    pub(in crate::scheduler) write: u64,
    pub(in crate::scheduler) txn: Txn,
    pub(in crate::scheduler) shards: Vec<PlacementWrite>,
    pub(in crate::scheduler) finished: Vec<(JobId, FinalState)>,
    /// Placements of jobs that are over once this is stored.
    pub(in crate::scheduler) litter: Vec<String>,
    /// Key whose value names this write, if it was carried out.
    pub(in crate::scheduler) witness: String,
    pub(in crate::scheduler) sent: bool,
    pub(in crate::scheduler) unclear: bool,
    pub(in crate::scheduler) failed: Vec<String>,
    pub(in crate::scheduler) due_ms: u64,
    /// Its size, roughly.
    bytes: usize,
}

impl PendingTransaction {
    fn new(write: u64, leader_key: Revision) -> PendingTransaction {
        PendingTransaction {
            write,
            txn: Txn::default().compare(LEADER_KEY, leader_key.0),
            shards: Vec::new(),
            finished: Vec::new(),
            litter: Vec::new(),
            witness: String::new(),
            sent: false,
            unclear: false,
            failed: Vec::new(),
            due_ms: 0,
            bytes: 0,
        }
    }

    /// How large it is.
    pub(in crate::scheduler) fn size(&self) -> RequestSize {
        RequestSize::of(&self.txn)
    }

    /// The jobs that it writes of.
    pub(in crate::scheduler) fn jobs(&self) -> Vec<JobId> {
        let finished = self.finished.iter().map(|(id, _)| id);
        let mut jobs: Vec<JobId> = finished.cloned().collect();
        jobs.extend(self.shards.iter().map(|w| w.job.clone()));
        jobs.dedup();
        jobs
    }

    fn takes(&self, changes: usize, most: usize) -> bool {
        self.txn.writes.len() + changes <= most && self.bytes <= TXN_BYTES
    }

    fn add_end(&mut self, now: Now, job: &mut Job, state: FinalState) {
        let id = job.spec.id.clone();
        let record = FinalRecord {
            state,
            tasks: job.spec.tasks,
            write: self.write,
            ended: now.wall,
        };
        let value = serde_json::to_value(record).unwrap_or_default();
        self.txn = std::mem::take(&mut self.txn)
            .compare(job_key(&id), job.revision)
            .put(final_key(&id), value)
            .delete(job_key(&id));
        if self.witness.is_empty() {
            self.witness = final_key(&id);
        }
        let stored = job.placements.iter().filter(|shard| shard.revision > 0);
        let keys = stored.map(|shard| placement_key(&id, shard.name));
        self.litter.extend(keys);
        job.finishing = true;
        self.finished.push((id, state));
        self.bytes += FINAL_BYTES;
    }

    fn add_shard(&mut self, job: &mut Job, number: usize, record: PlacementRecord, first: bool) {
        let id = job.spec.id.clone();
        let stretches = job.placements.tasks_of(number);
        let ended = job.unstored_ends.iter();
        let ended = ended.filter(|(task, _)| stretches.iter().any(|s| s.contains(task)));
        let ended = ended.copied().collect();
        let Some(shard) = job.placements.get_mut(number) else {
            return;
        };
        shard.dirty_ms = None;
        shard.urgent = false;
        let key = placement_key(&id, shard.name);
        self.bytes += record.most_bytes();
        let mut txn = std::mem::take(&mut self.txn);
        if first {
            // Whoever cancelled the job meanwhile wins.
            txn = txn.compare(job_key(&id), job.revision);
        }
        self.shards.push(PlacementWrite {
            job: id,
            shard: number,
            assigned: record
                .assigned
                .iter()
                .map(|r| (r.task, r.attempt))
                .collect(),
            ended,
            groups: record.groups.clone(),
        });
        let value = serde_json::to_value(record).unwrap_or_default();
        self.txn = txn
            .compare(key.clone(), shard.revision)
            .put(key.clone(), value);
        if self.witness.is_empty() {
            self.witness = key;
        }
    }
}

/// What a record of the job would hold now, with its groups.
fn record_of(
    job: &Job,
    number: usize,
    write: u64,
    groups: &ReplicaGroups,
    zones: &[String],
) -> PlacementRecord {
    let mut record = job.record(number, write, zones);
    if let Some(groups) = groups.get(&job.spec.id) {
        let stretches = job.placements.tasks_of(number);
        record.groups = stretches
            .into_iter()
            .flat_map(|s| groups.records(s))
            .collect();
    }
    record
}

/// Cuts a job's due records until each is taken by the state service, or can't be
/// cut any further.
fn cut_to_size(
    job: &mut Job,
    due: impl Fn(&Job, usize) -> bool,
    groups: &ReplicaGroups,
    limits: &StoreLimits,
) {
    let mut number = 0;
    while number < job.placements.len() {
        let may_not_fit =
            job.shape.is_some() || job.placements.most_bytes(number) > limits.value_bytes;
        if may_not_fit && due(job, number) {
            // Zones take one digit or two: their numbers don't matter here.
            let record = record_of(job, number, u64::MAX, groups, &[]);
            if !record.fits(limits.value_bytes) {
                let most = record.tasks_that_fit(limits.value_bytes);
                let unit = job.inseparable();
                if job.placements.split(number, most, unit) {
                    log::info!("job {}: a placement record is cut", job.spec.id);
                }
            }
        }
        number += 1;
    }
}

impl Scheduler {
    /// Puts together what is to be written next; `None`: nothing.
    pub(in crate::scheduler) fn build_transaction(
        &mut self,
        now: Now,
        jobs: Vec<JobId>,
        max_ops: usize,
    ) -> Option<PendingTransaction> {
        let leisure_ms = self.leisure_ms();
        self.commits.writes += 1;
        let write = (self.term.0 << 32) | self.commits.writes;
        let mut batch = PendingTransaction::new(write, Revision(self.leader_key_revision));
        let due = |job: &Job, number: usize| {
            let shard = job.placements.get(number);
            shard.is_some_and(|shard| shard.due(now, leisure_ms))
        };
        // What doesn't fit waits for the next one.
        for id in jobs.into_iter().take(self.commits.max_jobs) {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if !batch.takes(FINAL_CHANGES, max_ops) {
                break;
            }
            if let Some(state) = job.ending() {
                batch.add_end(now, job, state);
                continue;
            }
            cut_to_size(job, due, &self.groups, &self.limits);
            let mut first = true;
            for number in 0..job.placements.len() {
                if !batch.takes(1, max_ops) {
                    break;
                }
                if due(job, number) {
                    let zones = &self.settings.site.zones;
                    let record = record_of(job, number, write, &self.groups, zones);
                    batch.add_shard(job, number, record, first);
                    first = false;
                }
            }
        }
        (!batch.txn.writes.is_empty()).then_some(batch)
    }
}

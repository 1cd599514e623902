//! One guarded transaction of the leader's, put together: ends of jobs and
//! placements, most important first, as many as the limits allow.

use super::jobs::Job;
use super::shards::{shard_key, ShardRecord};
use super::Scheduler;
use crate::election::LEADER_KEY;
use crate::gateway::{final_key, job_key, Final, FinalRecord};
use crate::ids::{Attempt, JobId, Revision};
use crate::limits::{Limits, RequestSize};
use crate::msg::Now;
use crate::wire::Txn;
use lilacfork_replicas::groups::Groups;
use lilacfork_replicas::record::GroupRecord;

/// Room for headers and guards below the protocol's 64 KiB.
const TXN_BYTES: usize = 52 * 1024;
/// A job's end takes two changes: one record comes, one goes.
pub(super) const FINAL_CHANGES: usize = 2;
/// What a job's end takes of a transaction, in bytes, generously.
const FINAL_BYTES: usize = 200;

/// A placement record in a transaction.
#[derive(Debug)]
pub(super) struct ShardWrite {
    pub(super) job: JobId,
    /// The record's number within its job.
    pub(super) shard: usize,
    pub(super) assigned: Vec<(u32, Attempt)>,
    pub(super) ended: Vec<(u32, Attempt)>,
    pub(super) groups: Vec<GroupRecord>,
}

/// A transaction of the leader's, and what is true once it is stored.
#[derive(Debug)]
pub(super) struct Batch {
    pub(super) write: u64,
    pub(super) txn: Txn,
    pub(super) shards: Vec<ShardWrite>,
    pub(super) finished: Vec<(JobId, Final)>,
    /// Placements of jobs that are over once this is stored.
    pub(super) litter: Vec<String>,
    /// Key whose value names this write, if it was carried out.
    pub(super) witness: String,
    pub(super) sent: bool,
    pub(super) unclear: bool,
    pub(super) failed: Vec<String>,
    pub(super) due_ms: u64,
    /// Its size, roughly.
    bytes: usize,
}

impl Batch {
    fn new(write: u64, leader_key: Revision) -> Batch {
        Batch {
            write,
            txn: Txn::default().guard(LEADER_KEY, leader_key.0),
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
    pub(super) fn size(&self) -> RequestSize {
        RequestSize::of(&self.txn)
    }

    /// The jobs that it writes of.
    pub(super) fn jobs(&self) -> Vec<JobId> {
        let finished = self.finished.iter().map(|(id, _)| id);
        let mut jobs: Vec<JobId> = finished.cloned().collect();
        jobs.extend(self.shards.iter().map(|w| w.job.clone()));
        jobs.dedup();
        jobs
    }

    fn takes(&self, changes: usize, most: usize) -> bool {
        self.txn.writes.len() + changes <= most && self.bytes <= TXN_BYTES
    }

    fn add_end(&mut self, now: Now, job: &mut Job, state: Final) {
        let id = job.spec.id.clone();
        let record = FinalRecord {
            state,
            tasks: job.spec.tasks,
            write: self.write,
            ended: now.wall,
        };
        let value = serde_json::to_value(record).unwrap_or_default();
        self.txn = std::mem::take(&mut self.txn)
            .guard(job_key(&id), job.version)
            .put(final_key(&id), value)
            .delete(job_key(&id));
        if self.witness.is_empty() {
            self.witness = final_key(&id);
        }
        let stored = job.shards.iter().filter(|shard| shard.version > 0);
        let keys = stored.map(|shard| shard_key(&id, shard.name));
        self.litter.extend(keys);
        job.finishing = true;
        self.finished.push((id, state));
        self.bytes += FINAL_BYTES;
    }

    fn add_shard(&mut self, job: &mut Job, number: usize, record: ShardRecord, first: bool) {
        let id = job.spec.id.clone();
        let stretches = job.shards.tasks_of(number);
        let ended = job.unstored.iter();
        let ended = ended.filter(|(task, _)| stretches.iter().any(|s| s.contains(task)));
        let ended = ended.copied().collect();
        let Some(shard) = job.shards.get_mut(number) else {
            return;
        };
        shard.dirty_ms = None;
        shard.urgent = false;
        let key = shard_key(&id, shard.name);
        self.bytes += record.most_bytes();
        let mut txn = std::mem::take(&mut self.txn);
        if first {
            // Whoever cancelled the job meanwhile wins.
            txn = txn.guard(job_key(&id), job.version);
        }
        self.shards.push(ShardWrite {
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
            .guard(key.clone(), shard.version)
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
    groups: &Groups,
    zones: &[String],
) -> ShardRecord {
    let mut record = job.record(number, write, zones);
    if let Some(groups) = groups.get(&job.spec.id) {
        let stretches = job.shards.tasks_of(number);
        record.groups = stretches
            .into_iter()
            .flat_map(|s| groups.records(s))
            .collect();
    }
    record
}

/// Cuts a job's due records until each is taken by the state service, or can't be
/// cut any further.
fn cut_to_size(job: &mut Job, due: impl Fn(&Job, usize) -> bool, groups: &Groups, limits: &Limits) {
    let mut number = 0;
    while number < job.shards.len() {
        let may_not_fit = job.shape.is_some() || job.shards.most_bytes(number) > limits.value_bytes;
        if may_not_fit && due(job, number) {
            // Zones take one digit or two: their numbers don't matter here.
            let record = record_of(job, number, u64::MAX, groups, &[]);
            if !record.fits(limits.value_bytes) {
                let most = record.tasks_that_fit(limits.value_bytes);
                let unit = job.inseparable();
                if job.shards.split(number, most, unit) {
                    log::info!("job {}: a placement record is cut", job.spec.id);
                }
            }
        }
        number += 1;
    }
}

impl Scheduler {
    /// Puts together what is to be written next; `None`: nothing.
    pub(super) fn build_batch(
        &mut self,
        now: Now,
        jobs: Vec<JobId>,
        max_ops: usize,
    ) -> Option<Batch> {
        let leisure_ms = self.leisure_ms();
        self.writes += 1;
        let write = (self.term.0 << 32) | self.writes;
        let mut batch = Batch::new(write, Revision(self.key_version));
        let due = |job: &Job, number: usize| {
            let shard = job.shards.get(number);
            shard.is_some_and(|shard| shard.due(now, leisure_ms))
        };
        // What doesn't fit waits for the next one.
        for id in jobs.into_iter().take(self.most_jobs) {
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
            for number in 0..job.shards.len() {
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

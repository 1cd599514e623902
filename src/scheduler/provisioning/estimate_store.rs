//! Storage of the online estimates in the key-value store, so that the next leader
//! doesn't start from the catalog's figures. The record is only a hint: if it is missing,
//! outdated or unreadable, the leader learns the estimates again.

use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::records::estimates::{EstimateRecord, ESTIMATES_KEY};
use crate::records::leadership::LEADER_KEY;
use crate::scheduler::{Scheduler, SchedulerEffects, SchedulerKvCall, CALL_TIMEOUT_MS};
use crate::wire::kv::{KeyValue, Txn};

/// Minimum time between two writes of the record, in heartbeat intervals.
const WRITE_INTERVAL_HEARTBEATS: u64 = 30;

/// A record older than this many worker leases is ignored, because boot times may have
/// changed in the meantime.
const MAX_AGE_LEASES: u64 = 90;

/// Maximum number of stored boot times, and of stored run-time ratios.
const MAX_STORED_VALUES: usize = 64;

/// State of the record's writes.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct EstimateStore {
    /// Sample count at the time of the latest write, whether completed or in flight.
    samples_stored: u64,
    next_write_ms: u64,
    write_in_flight: bool,
}

impl EstimateStore {
    /// Resets the state for a new term. The first write is delayed so that the previous
    /// leader's record is read before it is overwritten.
    fn start_term(&mut self, now: Now, heartbeat_ms: u64) {
        self.write_in_flight = false;
        self.next_write_ms = now.ms + heartbeat_ms * WRITE_INTERVAL_HEARTBEATS;
    }
}

impl Scheduler {
    /// Requests the previous leader's record from the key-value store.
    pub(in crate::scheduler) fn read_estimates(
        &mut self,
        now: Now,
        effects: &mut SchedulerEffects,
    ) {
        self.estimate_store
            .start_term(now, self.heartbeat_interval_ms());
        let call = kv_client::get(ESTIMATES_KEY, CALL_TIMEOUT_MS);
        self.call_kv(
            now,
            CallPriority::Background,
            call,
            0,
            SchedulerKvCall::ReadEstimates,
            effects,
        );
    }

    /// Restores the estimates from the previous leader's record.
    pub(in crate::scheduler) fn on_estimates_read(&mut self, now: Now, response: &KvResponse) {
        let Some(item) = response.parse_body::<KeyValue>(200) else {
            return;
        };
        let record: EstimateRecord = match serde_json::from_value(item.value) {
            Ok(record) => record,
            Err(error) => {
                log::error!("estimates ignored key={ESTIMATES_KEY} reason=\"unreadable: {error}\"");
                return;
            }
        };
        let age_ms = now.wall_ms.saturating_sub(record.written_wall_ms);
        if age_ms > self.lease_ms() * MAX_AGE_LEASES {
            log::info!("estimates ignored key={ESTIMATES_KEY} reason=\"outdated\" age_ms={age_ms}");
            return;
        }
        self.estimates.restore(&record);
    }

    /// Writes the estimates to the key-value store if the write interval has passed, there
    /// are new samples, and neither a commit nor an earlier write is in flight.
    pub(in crate::scheduler) fn write_estimates(
        &mut self,
        now: Now,
        effects: &mut SchedulerEffects,
    ) {
        let samples = self.estimates.samples();
        let write_interval_ms = self.heartbeat_interval_ms() * WRITE_INTERVAL_HEARTBEATS;
        let store = &mut self.estimate_store;
        let due = now.ms >= store.next_write_ms && samples != store.samples_stored;
        if !due || store.write_in_flight || self.commits.transaction.is_some() {
            return;
        }
        store.write_in_flight = true;
        store.samples_stored = samples;
        store.next_write_ms = now.ms + write_interval_ms;
        let mut record = self.estimates.to_record(now.wall_ms, MAX_STORED_VALUES);
        truncate_record(&mut record, self.limits.value_bytes);
        let value = serde_json::to_value(record).unwrap_or_default();
        let txn = Txn::default()
            .compare(LEADER_KEY, self.leader_key_revision)
            .put(ESTIMATES_KEY, value);
        let tag = SchedulerKvCall::StoreEstimates;
        self.call_kv_txn(now, CallPriority::Background, &txn, tag, effects);
    }

    /// Marks the write as completed. Its outcome doesn't matter, because the next record
    /// contains the same samples and later ones.
    pub(in crate::scheduler) fn on_estimates_written(&mut self) {
        self.estimate_store.write_in_flight = false;
    }
}

/// Halves the lists in the record until its size is at most `max_bytes`: storing half of
/// the estimates is better than having the record rejected.
fn truncate_record(record: &mut EstimateRecord, max_bytes: usize) {
    while record.bytes() > max_bytes
        && record.boot_times_s.len() + record.run_time_factors.len() > 0
    {
        record.boot_times_s.truncate(record.boot_times_s.len() / 2);
        record
            .run_time_factors
            .truncate(record.run_time_factors.len() / 2);
    }
}

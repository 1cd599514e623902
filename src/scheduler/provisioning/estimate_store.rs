//! Storage of the online estimates, so that the next leader doesn't begin with the
//! catalog's figures. The record is a hint: when it is missing, outdated or
//! unreadable, the leader only has to learn the estimates again.

use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::records::estimates::{EstimateRecord, ESTIMATES_KEY};
use crate::records::leadership::LEADER_KEY;
use crate::scheduler::{Scheduler, SchedulerEffects, SchedulerKvCall, CALL_TIMEOUT_MS};
use crate::wire::kv::{KeyValue, Txn};

/// The record is written at most once in so many heartbeat intervals.
const WRITE_HEARTBEATS: u64 = 30;

/// A record older than so many workers' leases is ignored: machines may boot
/// differently by now.
const MAX_AGE_LEASES: u64 = 90;

/// At most so many values of a kind are stored.
const MAX_VALUES: usize = 64;

/// When the record was written last, and what it held.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct EstimateStore {
    /// How many samples the stored record, or the one being written, is made of.
    samples_stored: u64,
    due_ms: u64,
    write_in_flight: bool,
}

impl EstimateStore {
    /// A new leadership: no write is in flight, and the predecessor's record
    /// is read before it is overwritten.
    fn restart(&mut self, now: Now, heartbeat_ms: u64) {
        self.write_in_flight = false;
        self.due_ms = now.ms + heartbeat_ms * WRITE_HEARTBEATS;
    }
}

impl Scheduler {
    /// Reads the estimates of the previous leader.
    pub(in crate::scheduler) fn read_estimates(&mut self, now: Now, out: &mut SchedulerEffects) {
        self.estimate_store
            .restart(now, self.heartbeat_interval_ms());
        let call = kv_client::get(ESTIMATES_KEY, CALL_TIMEOUT_MS);
        self.call_kv(
            now,
            CallPriority::Background,
            call,
            0,
            SchedulerKvCall::ReadEstimates,
            out,
        );
    }

    /// Restores the estimates of the previous leader.
    pub(in crate::scheduler) fn on_estimates_read(&mut self, now: Now, response: &KvResponse) {
        let Some(item) = response.read::<KeyValue>(200) else {
            return;
        };
        let record: EstimateRecord = match serde_json::from_value(item.value) {
            Ok(record) => record,
            Err(error) => {
                log::error!("estimates ignored key={ESTIMATES_KEY} reason=\"unreadable: {error}\"");
                return;
            }
        };
        let age_ms = now.wall_ms.saturating_sub(record.written_at);
        if age_ms > self.lease_ms() * MAX_AGE_LEASES {
            log::info!("estimates ignored key={ESTIMATES_KEY} reason=\"outdated\" age_ms={age_ms}");
            return;
        }
        self.estimates.restore(&record);
    }

    /// Stores the estimates when there are new samples and no other transaction
    /// is in flight.
    pub(in crate::scheduler) fn write_estimates(&mut self, now: Now, out: &mut SchedulerEffects) {
        let samples = self.estimates.samples();
        let pause_ms = self.heartbeat_interval_ms() * WRITE_HEARTBEATS;
        let store = &mut self.estimate_store;
        let due = now.ms >= store.due_ms && samples != store.samples_stored;
        if !due || store.write_in_flight || self.commits.transaction.is_some() {
            return;
        }
        store.write_in_flight = true;
        store.samples_stored = samples;
        store.due_ms = now.ms + pause_ms;
        let mut record = self.estimates.to_record(now.wall_ms, MAX_VALUES);
        truncate_to(&mut record, self.limits.value_bytes);
        let value = serde_json::to_value(record).unwrap_or_default();
        let txn = Txn::default()
            .compare(LEADER_KEY, self.leader_key_revision)
            .put(ESTIMATES_KEY, value);
        let tag = SchedulerKvCall::StoreEstimates;
        self.call_kv_txn(now, CallPriority::Background, &txn, tag, out);
    }

    /// The write has ended. Whether it succeeded doesn't matter: the next one
    /// holds the same and more.
    pub(in crate::scheduler) fn on_estimates_written(&mut self) {
        self.estimate_store.write_in_flight = false;
    }
}

/// Halves the record until the store takes it: half of the estimates are better
/// than a record that is rejected.
fn truncate_to(record: &mut EstimateRecord, max_bytes: usize) {
    while record.bytes() > max_bytes && record.boots.len() + record.estimates.len() > 0 {
        record.boots.truncate(record.boots.len() / 2);
        record.estimates.truncate(record.estimates.len() / 2);
    }
}

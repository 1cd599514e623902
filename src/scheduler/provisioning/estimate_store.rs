//! What a leader has learned, stored at leisure, so that the next one doesn't
//! begin with the catalog's figures. It is a hint: a record that is missing,
//! old or unreadable costs nothing but the time to learn again.

use crate::kv_client::{self, CallPriority, KvResponse};
use crate::messages::Now;
use crate::records::estimates::{EstimateRecord, ESTIMATES_KEY};
use crate::records::leadership::LEADER_KEY;
use crate::scheduler::{Scheduler, SchedulerEffects, SchedulerKvCall, CALL_TIMEOUT_MS};
use crate::wire::kv::{KeyValue, Txn};

/// It is stored at most once in so many report intervals.
const STORE_REPORTS: u64 = 30;

/// A record older than so many workers' leases is ignored: machines may boot
/// differently by now.
const FRESH_LEASES: u64 = 90;

/// At most so many values of a kind are stored.
const MOST_VALUES: usize = 64;

/// When the record was stored last, and what it held.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct EstimateStore {
    /// Samples that the stored record, or one on its way, is made of.
    samples_stored: u64,
    due_ms: u64,
    writing: bool,
}

impl EstimateStore {
    /// A new leadership: nothing is on its way, and the predecessor's record
    /// comes first.
    pub fn restart(&mut self, now: Now, report_ms: u64) {
        self.writing = false;
        self.due_ms = now.ms + report_ms * STORE_REPORTS;
    }
}

impl Scheduler {
    /// Asks for what the leader before has learned.
    pub(in crate::scheduler) fn read_learned(&mut self, now: Now, out: &mut SchedulerEffects) {
        self.estimate_store
            .restart(now, self.heartbeat_interval_ms());
        let call = kv_client::get(ESTIMATES_KEY, CALL_TIMEOUT_MS);
        self.ask(
            now,
            CallPriority::Background,
            call,
            0,
            SchedulerKvCall::ReadLearned,
            out,
        );
    }

    /// Takes over what the leader before has learned.
    pub(in crate::scheduler) fn on_learned(&mut self, now: Now, answer: &KvResponse) {
        let Some(item) = answer.read::<KeyValue>(200) else {
            return;
        };
        let record: EstimateRecord = match serde_json::from_value(item.value) {
            Ok(record) => record,
            Err(e) => {
                log::error!("record {ESTIMATES_KEY} can't be read and is ignored: {e}");
                return;
            }
        };
        let age_ms = now.wall.saturating_sub(record.written_at);
        if age_ms > self.lease_ms() * FRESH_LEASES {
            log::info!("record {ESTIMATES_KEY} is {age_ms} ms old and ignored");
            return;
        }
        self.estimates.restore(&record);
    }

    /// Stores what was learned since, when nothing else is to be written.
    pub(in crate::scheduler) fn store_learned(&mut self, now: Now, out: &mut SchedulerEffects) {
        let samples = self.estimates.samples();
        let pause_ms = self.heartbeat_interval_ms() * STORE_REPORTS;
        let store = &mut self.estimate_store;
        let due = now.ms >= store.due_ms && samples != store.samples_stored;
        if !due || store.writing || self.commits.transaction.is_some() {
            return;
        }
        store.writing = true;
        store.samples_stored = samples;
        store.due_ms = now.ms + pause_ms;
        let most_bytes = self.limits.value_bytes;
        let mut record = self.estimates.to_record(now.wall, MOST_VALUES);
        // Half a hint is better than one that isn't taken.
        let too_long = |record: &EstimateRecord| record.bytes() > most_bytes;
        while too_long(&record) && record.boots.len() + record.estimates.len() > 0 {
            record.boots.truncate(record.boots.len() / 2);
            record.estimates.truncate(record.estimates.len() / 2);
        }
        let value = serde_json::to_value(record).unwrap_or_default();
        let txn = Txn::default()
            .compare(LEADER_KEY, self.leader_key_revision)
            .put(ESTIMATES_KEY, value);
        let tag = SchedulerKvCall::StoreLearned;
        self.ask_transaction(now, CallPriority::Background, &txn, tag, out);
    }

    /// Whether it was stored or not, the next one will hold the same and more.
    pub(in crate::scheduler) fn on_learned_stored(&mut self) {
        self.estimate_store.writing = false;
    }
}

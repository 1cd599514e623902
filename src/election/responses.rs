//! Processes responses of the key-value store, which change this controller's role.

use super::{Election, ElectionEffects, ElectionKvCall, LeadershipChange, LeaseConfirmation, Role};
use crate::ids::{Revision, Term};
use crate::kv_client::{self, CallPriority, KvCall, KvResponse};
use crate::messages::Now;
use crate::records::leadership::{LeaderRecord, TermRecord, LEADER_KEY, TERM_KEY};
use crate::wire::kv::{KeyPage, LeaseGranted, Txn, TxnResponse, WatchResponse};

/// Renewals of the leader's lease per lease TTL.
const RENEWALS_PER_TTL: u64 = 4;
/// Reads of the records by a follower per lease TTL. The watch reports changes; the reads
/// cover a watch that hangs, and confirm to the follower that its state is current while
/// the store is idle.
const FOLLOWER_READS_PER_TTL: u64 = 2;
/// Retries of a failed call per lease TTL.
const RETRIES_PER_TTL: u64 = 10;

impl Election {
    /// Processes the response to a call. Returns the resulting change of leadership, if
    /// any.
    pub fn on_response(
        &mut self,
        now: Now,
        kv_call: ElectionKvCall,
        response: &KvResponse,
        effects: &mut ElectionEffects,
    ) -> Option<LeadershipChange> {
        match kv_call {
            ElectionKvCall::WatchRecords => self.watch_in_flight = false,
            ElectionKvCall::RevokeLease => {}
            _ if self.in_flight == Some(kv_call) => self.in_flight = None,
            // The response is outdated: the next step depends on another call.
            _ => return None,
        }
        match kv_call {
            ElectionKvCall::ReadRecords => self.on_records(now, response, effects),
            ElectionKvCall::GrantLease => {
                self.on_lease_granted(now, response, effects);
                None
            }
            ElectionKvCall::ClaimLeadership => self.on_claim(now, response),
            ElectionKvCall::RenewLease => self.on_renewal(now, response),
            ElectionKvCall::WatchRecords => {
                self.on_watch(now, response);
                None
            }
            ElectionKvCall::RevokeLease => None,
        }
    }

    fn retry_interval_ms(&self) -> u64 {
        self.lease_ttl_ms / RETRIES_PER_TTL
    }

    fn schedule_retry(&mut self, now: Now) {
        self.next_step_ms = now.ms + self.retry_interval_ms() + self.stagger_ms;
    }

    fn on_records(
        &mut self,
        now: Now,
        response: &KvResponse,
        effects: &mut ElectionEffects,
    ) -> Option<LeadershipChange> {
        let Some(page) = response.parse_body::<KeyPage>(200) else {
            self.schedule_retry(now);
            return None;
        };
        self.store_revision = Revision(page.revision);
        self.last_read_ms = now.ms;
        self.leader_key_revision = 0;
        self.term_key_revision = 0;
        let mut leader = None;
        for item in page.items {
            if item.key == LEADER_KEY {
                self.leader_key_revision = item.mod_revision;
                leader = serde_json::from_value(item.value).ok();
            } else if item.key == TERM_KEY {
                self.term_key_revision = item.mod_revision;
                if let Ok(record) = serde_json::from_value(item.value) {
                    self.term_record = record;
                }
            }
        }
        self.follow_or_claim(now, leader, effects)
    }

    /// Follows the recorded leader, starts a claim, or becomes leader if the record shows
    /// that a claim of indeterminate outcome has succeeded.
    fn follow_or_claim(
        &mut self,
        now: Now,
        leader: Option<LeaderRecord>,
        effects: &mut ElectionEffects,
    ) -> Option<LeadershipChange> {
        match leader {
            Some(record) if record.node != self.node => {
                self.role = Role::Follower(record);
                // Another controller has claimed leadership, so the handover is complete.
                self.yielding_until_ms = 0;
                self.next_step_ms = now.ms + self.lease_ttl_ms / FOLLOWER_READS_PER_TTL;
                None
            }
            Some(record)
                if record.incarnation == self.incarnation && self.lease == Some(record.lease) =>
            {
                let leader_key_revision = Revision(self.leader_key_revision);
                Some(self.become_leader(now, record.term, leader_key_revision))
            }
            None if now.ms < self.yielding_until_ms => {
                self.role = Role::Unknown;
                self.schedule_retry(now);
                None
            }
            // There is no leader, or the record is from an earlier process of this node,
            // which has ended.
            _ => {
                self.role = Role::Unknown;
                let call = kv_client::lease_grant(self.lease_ttl_ms, self.timeout_ms());
                self.send(now, ElectionKvCall::GrantLease, call, effects);
                None
            }
        }
    }

    fn become_leader(
        &mut self,
        now: Now,
        term: Term,
        leader_key_revision: Revision,
    ) -> LeadershipChange {
        self.role = Role::Leader {
            term,
            leader_key_revision,
        };
        self.lease_confirmation = LeaseConfirmation::Confirmed;
        self.term_record.term = term;
        self.next_step_ms = now.ms + self.lease_ttl_ms / RENEWALS_PER_TTL;
        LeadershipChange::Elected {
            term,
            leader_key_revision,
        }
    }

    fn next_term(&self) -> Term {
        Term(self.term_record.term.0 + 1)
    }

    fn on_lease_granted(&mut self, now: Now, response: &KvResponse, effects: &mut ElectionEffects) {
        let Some(granted) = response.parse_body::<LeaseGranted>(200) else {
            self.schedule_retry(now);
            return;
        };
        self.lease = Some(granted.lease);
        let call = KvCall::transaction(
            now,
            CallPriority::Leadership,
            &self.claim_txn(granted.lease),
            self.timeout_ms(),
            ElectionKvCall::ClaimLeadership,
        );
        self.submit(call, effects);
    }

    /// Builds the transaction that claims the leader key under this lease and increments
    /// the term, provided that neither record has changed since it was read.
    fn claim_txn(&self, lease: u64) -> Txn {
        let term = self.next_term();
        let leader_record = LeaderRecord {
            node: self.node.clone(),
            incarnation: self.incarnation,
            term,
            lease,
        };
        let term_record = TermRecord {
            term,
            ..self.term_record
        };
        let leader_value = serde_json::to_value(leader_record).unwrap_or_default();
        let term_value = serde_json::to_value(term_record).unwrap_or_default();
        Txn::default()
            .compare(LEADER_KEY, self.leader_key_revision)
            .compare(TERM_KEY, self.term_key_revision)
            .put_leased(LEADER_KEY, leader_value, lease)
            .put(TERM_KEY, term_value)
    }

    fn on_claim(&mut self, now: Now, response: &KvResponse) -> Option<LeadershipChange> {
        if let Some(committed) = response.parse_body::<TxnResponse>(200) {
            let leader_key_revision = Revision(committed.revision);
            return Some(self.become_leader(now, self.next_term(), leader_key_revision));
        }
        // The claim failed, or its outcome is indeterminate: the next read of the records
        // shows which. A lease that holds no key is left to expire.
        if response.status().is_some() {
            self.lease = None;
        }
        self.next_step_ms = now.ms + self.stagger_ms;
        None
    }

    fn on_renewal(&mut self, now: Now, response: &KvResponse) -> Option<LeadershipChange> {
        match response.status() {
            Some(200) if self.lease_confirmation == LeaseConfirmation::StaleRenewalInFlight => {
                self.lease_confirmation = LeaseConfirmation::RenewalRequired;
                self.next_step_ms = now.ms;
                None
            }
            Some(200) => {
                self.lease_confirmation = LeaseConfirmation::Confirmed;
                self.next_step_ms = now.ms + self.lease_ttl_ms / RENEWALS_PER_TTL;
                None
            }
            Some(404) => {
                self.lease = None;
                self.role = Role::Unknown;
                self.next_step_ms = now.ms;
                Some(LeadershipChange::Deposed)
            }
            // The store is unavailable or the outcome indeterminate: this controller stays
            // leader until the store reports that the lease has expired.
            _ => {
                self.next_step_ms = now.ms + self.retry_interval_ms();
                None
            }
        }
    }

    fn on_watch(&mut self, now: Now, response: &KvResponse) {
        match response.parse_body::<WatchResponse>(200) {
            Some(changes) if changes.events.is_empty() => {
                self.store_revision = Revision(changes.revision.max(self.store_revision.0));
            }
            _ if self.is_leader() => {}
            // A record has changed, or the watch has failed: schedule a read of the
            // records.
            _ => {
                let pause_ms = if response.status() == Some(200) {
                    self.stagger_ms
                } else {
                    self.retry_interval_ms()
                };
                self.next_step_ms = self.next_step_ms.min(now.ms + pause_ms);
            }
        }
    }
}

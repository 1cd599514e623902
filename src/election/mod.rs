//! Leader election: the leader holds a key under a lease, and each new leader raises
//! a durable term in the transaction that claims the key. Every write of a leader
//! compares the revision of its leader key, so no write of a deposed leader can be
//! applied, however late it arrives.

mod responses;

use crate::ids::{Revision, Term};
use crate::kv_client::{self, CallPriority, KvCall};
use crate::messages::{Call, Now};
use crate::records::leadership::{LeaderRecord, TermRecord, LEADER_KEY, LEADER_PREFIX, TERM_KEY};
use crate::wire::kv::Txn;

/// Call timeouts within a TTL.
const TIMEOUTS_PER_TTL: u64 = 3;
const MIN_TIMEOUT_MS: u64 = 200;
/// How long a watch waits for changes, in TTLs.
const WATCH_TTLS: u64 = 3;
/// How long others may claim first after this node handed leadership over, in TTLs.
const YIELD_TTLS: u64 = 2;
/// For how long a read of the leader's record counts as recent, in TTLs.
const RECENT_READ_TTLS: u64 = 4;
/// The pause before the records are read after stepping down.
const STEP_DOWN_PAUSE_MS: u64 = 50;

/// The election's calls of the key-value store.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ElectionKvCall {
    /// Reads the leader record and the term record.
    ReadRecords,
    /// Requests a lease.
    GrantLease,
    /// Claims the leader key under that lease.
    ClaimLeadership,
    /// Renews the lease.
    RenewLease,
    /// Waits for a change of the records.
    WatchRecords,
    /// Revokes the lease.
    RevokeLease,
}

/// A controller's role.
#[derive(Clone, PartialEq, Debug)]
pub enum Role {
    /// The leader isn't known, or not any more.
    Unknown,
    /// Another controller leads.
    Follower(LeaderRecord),
    /// This controller leads.
    Leader {
        /// Its term.
        term: Term,
        /// The revision of the leader key, which every write compares.
        leader_key_revision: Revision,
    },
}

/// A change of this controller's leadership.
#[derive(Clone, PartialEq, Debug)]
pub enum LeadershipChange {
    /// It leads from now on.
    Elected {
        /// Its term.
        term: Term,
        /// The revision of the leader key, which every write compares.
        leader_key_revision: Revision,
    },
    /// It leads no longer.
    Deposed,
}

/// The calls that the election wants made.
pub type ElectionEffects = Vec<KvCall<ElectionKvCall>>;

/// Whether a leader can rely on its lease.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum LeaseConfirmation {
    /// There is no sign that the lease has expired.
    Confirmed,
    /// There is a sign that another controller may lead: the leader doesn't act until
    /// a renewal has been sent and has succeeded.
    RenewalRequired,
    /// As before, while a renewal is in flight that was sent before the sign. Its
    /// success proves nothing: it may have been granted before the process paused.
    StaleRenewalInFlight,
}

/// One controller's part in the election.
pub struct Election {
    node: String,
    /// Tells this process from earlier ones of the same name.
    incarnation: u64,
    lease_ttl_ms: u64,
    /// Delays this candidate, so that not all claim at the same moment.
    stagger_ms: u64,
    role: Role,
    /// The leader key's revision as last read; 0: the key is absent.
    leader_key_revision: u64,
    term_record: TermRecord,
    term_key_revision: u64,
    /// The store's revision as last read, from which changes are watched.
    store_revision: Revision,
    lease: Option<u64>,
    lease_confirmation: LeaseConfirmation,
    /// The call whose response the next step depends on.
    in_flight: Option<ElectionKvCall>,
    watch_in_flight: bool,
    next_step_ms: u64,
    last_read_ms: u64,
    /// This node handed leadership over: others may claim first until then.
    yielding_until_ms: u64,
}

impl Election {
    /// A controller that doesn't know the leader. `stagger_ms` differs between
    /// controllers.
    pub fn new(node: &str, incarnation: u64, lease_ttl_ms: u64, stagger_ms: u64) -> Self {
        Election {
            node: node.to_string(),
            incarnation,
            lease_ttl_ms,
            stagger_ms,
            role: Role::Unknown,
            leader_key_revision: 0,
            term_record: TermRecord {
                term: Term(0),
                limits_lowered: false,
            },
            term_key_revision: 0,
            store_revision: Revision(0),
            lease: None,
            lease_confirmation: LeaseConfirmation::Confirmed,
            in_flight: None,
            watch_in_flight: false,
            next_step_ms: 0,
            last_read_ms: 0,
            yielding_until_ms: 0,
        }
    }

    /// This controller's role, as far as it knows.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Whether this controller leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Whether this controller leads as far as it knows, but may have lost the lead
    /// unnoticed.
    pub fn leadership_unconfirmed(&self) -> bool {
        self.is_leader() && self.lease_confirmation != LeaseConfirmation::Confirmed
    }

    /// Requires a renewal of the lease before this controller acts as leader again:
    /// the process paused, or a worker reports a later term, so the lease may have
    /// expired.
    pub fn require_renewal(&mut self, now: Now) {
        self.lease_confirmation = if self.in_flight == Some(ElectionKvCall::RenewLease) {
            LeaseConfirmation::StaleRenewalInFlight
        } else {
            LeaseConfirmation::RenewalRequired
        };
        self.next_step_ms = now.ms;
    }

    /// The other controller that leads, as far as this one knows.
    pub fn other_leader(&self) -> Option<&str> {
        match &self.role {
            Role::Follower(record) => Some(&record.node),
            Role::Unknown | Role::Leader { .. } => None,
        }
    }

    /// Whether this controller follows a leader whose record it read recently.
    pub fn follows_recorded_leader(&self, now: Now) -> bool {
        let recent_until_ms = self.last_read_ms + self.lease_ttl_ms * RECENT_READ_TTLS;
        matches!(self.role, Role::Follower(_)) && now.ms < recent_until_ms
    }

    /// Whether a leader has stored that the store's announced limits apply.
    pub fn limits_lowered(&self) -> bool {
        self.term_record.limits_lowered
    }

    /// The transaction that stores, as leader, that the announced limits apply.
    /// `None`: this controller doesn't lead.
    pub fn limits_lowered_txn(&self) -> Option<Txn> {
        let Role::Leader {
            term,
            leader_key_revision,
        } = self.role
        else {
            return None;
        };
        let record = TermRecord {
            term,
            limits_lowered: true,
        };
        Some(
            Txn::default()
                .compare(LEADER_KEY, leader_key_revision.0)
                .put(TERM_KEY, serde_json::to_value(record).unwrap_or_default()),
        )
    }

    /// That transaction was committed.
    pub fn on_limits_lowered_stored(&mut self) {
        self.term_record.limits_lowered = true;
    }

    /// The latest term known from the key-value store.
    pub fn known_term(&self) -> Term {
        self.term_record.term
    }

    /// Makes the calls that are due, and returns when to be called again.
    pub fn tick(&mut self, now: Now, effects: &mut ElectionEffects) -> u64 {
        if self.in_flight.is_none() && now.ms >= self.next_step_ms {
            if self.is_leader() {
                let lease = self.lease.unwrap_or(0);
                let call = kv_client::lease_renew(lease, self.timeout_ms());
                self.send(now, ElectionKvCall::RenewLease, call, effects);
            } else {
                let call = kv_client::list(LEADER_PREFIX, None, self.timeout_ms());
                self.send(now, ElectionKvCall::ReadRecords, call, effects);
            }
        }
        let follows = matches!(self.role, Role::Follower(_));
        if follows && !self.watch_in_flight && self.in_flight.is_none() {
            let wait_ms = self.lease_ttl_ms * WATCH_TTLS;
            let timeout_ms = wait_ms + self.lease_ttl_ms;
            let call = kv_client::watch(LEADER_PREFIX, self.store_revision, wait_ms, timeout_ms);
            self.send(now, ElectionKvCall::WatchRecords, call, effects);
        }
        if self.in_flight.is_some() {
            now.ms + self.lease_ttl_ms
        } else {
            self.next_step_ms.max(now.ms + 1)
        }
    }

    /// Steps down, so that the next leader reads the stored state afresh.
    pub fn step_down(
        &mut self,
        now: Now,
        effects: &mut ElectionEffects,
    ) -> Option<LeadershipChange> {
        let was_leader = self.is_leader();
        if let Some(lease) = self.lease.take() {
            let call = kv_client::lease_revoke(lease, self.timeout_ms());
            self.send(now, ElectionKvCall::RevokeLease, call, effects);
        }
        self.role = Role::Unknown;
        self.next_step_ms = now.ms + STEP_DOWN_PAUSE_MS;
        was_leader.then_some(LeadershipChange::Deposed)
    }

    /// Hands leadership over to a controller in a better position: steps down, and
    /// claims leadership again only if no other controller does.
    pub fn yield_leadership(
        &mut self,
        now: Now,
        effects: &mut ElectionEffects,
    ) -> Option<LeadershipChange> {
        self.yielding_until_ms = now.ms + self.lease_ttl_ms * YIELD_TTLS;
        self.step_down(now, effects)
    }

    /// A peer that reaches the key-value store reports another leader of a later term.
    pub fn observe_later_term(
        &mut self,
        now: Now,
        leader: &str,
        term: Term,
    ) -> Option<LeadershipChange> {
        if !self.is_leader() || term <= self.term_record.term || leader == self.node {
            return None;
        }
        self.role = Role::Follower(LeaderRecord {
            node: leader.to_string(),
            incarnation: 0,
            term,
            lease: 0,
        });
        self.lease = None;
        self.next_step_ms = now.ms;
        Some(LeadershipChange::Deposed)
    }

    fn timeout_ms(&self) -> u64 {
        (self.lease_ttl_ms / TIMEOUTS_PER_TTL).max(MIN_TIMEOUT_MS)
    }

    fn send(
        &mut self,
        now: Now,
        kv_call: ElectionKvCall,
        call: Call,
        effects: &mut ElectionEffects,
    ) {
        let call = KvCall::new(now, CallPriority::Leadership, call, kv_call);
        self.submit(call, effects);
    }

    fn submit(&mut self, call: KvCall<ElectionKvCall>, effects: &mut ElectionEffects) {
        match call.tag {
            ElectionKvCall::WatchRecords => self.watch_in_flight = true,
            ElectionKvCall::RevokeLease => {}
            awaited => self.in_flight = Some(awaited),
        }
        effects.push(call);
    }
}

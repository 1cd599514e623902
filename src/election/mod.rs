//! Leader election through the key-value store. The leader holds a key under a lease, and
//! each new leader increments a persistent term in the transaction that claims the key.
//! Every write of a leader compares the revision of its leader key, so the store rejects
//! any write of a deposed leader, however late the write arrives.

mod responses;

use crate::ids::{Revision, Term};
use crate::kv_client::{self, CallPriority, KvCall};
use crate::messages::{Call, Now};
use crate::records::leadership::{LeaderRecord, TermRecord, LEADER_KEY, LEADER_PREFIX, TERM_KEY};
use crate::wire::kv::Txn;

/// How many call timeouts fit into a lease TTL.
const TIMEOUTS_PER_TTL: u64 = 3;
const MIN_TIMEOUT_MS: u64 = 200;
/// How long a watch waits for changes, in lease TTLs.
const WATCH_TTLS: u64 = 3;
/// How long this controller doesn't claim leadership after it has handed leadership over,
/// so that others can, in lease TTLs.
const YIELD_TTLS: u64 = 2;
/// How long a read of the leader record shows who leads, in lease TTLs. A leader that has
/// ended can have a successor after one.
const LEADER_READ_TTLS: u64 = 1;
/// How long a read of the leader record counts as recent, in lease TTLs.
const RECENT_READ_TTLS: u64 = 4;
/// The delay between stepping down and the next read of the records.
const STEP_DOWN_PAUSE_MS: u64 = 50;

/// The calls that the election makes to the key-value store.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ElectionKvCall {
    /// Reads the leader record and the term record.
    ReadRecords,
    /// Requests a lease for a claim.
    GrantLease,
    /// Claims the leader key under the granted lease.
    ClaimLeadership,
    /// Renews the lease of the leader key.
    RenewLease,
    /// Watches the records for changes.
    WatchRecords,
    /// Revokes the lease when the controller steps down.
    RevokeLease,
}

/// A controller's role in the election.
#[derive(Clone, PartialEq, Debug)]
pub enum Role {
    /// The controller doesn't lead, and doesn't know which controller does.
    Unknown,
    /// Another controller leads.
    Follower(LeaderRecord),
    /// This controller leads.
    Leader {
        /// The term in which this controller leads.
        term: Term,
        /// The revision of the leader key, which every write of the leader compares.
        leader_key_revision: Revision,
    },
}

/// A change of this controller's leadership.
#[derive(Clone, PartialEq, Debug)]
pub enum LeadershipChange {
    /// The controller has become the leader.
    Elected {
        /// The term in which the controller leads.
        term: Term,
        /// The revision of the leader key, which every write of the leader compares.
        leader_key_revision: Revision,
    },
    /// The controller has lost or given up leadership.
    Deposed,
}

/// The calls to submit to the key-value store on behalf of the election.
pub type ElectionEffects = Vec<KvCall<ElectionKvCall>>;

/// Whether a leader can rely on still holding its lease.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum LeaseConfirmation {
    /// Nothing indicates that the lease has expired.
    Confirmed,
    /// Something indicates that another controller may lead. The leader doesn't act until
    /// a newly sent renewal has succeeded.
    RenewalRequired,
    /// As [`RenewalRequired`](Self::RenewalRequired), while a renewal is in flight that was
    /// sent before the indication. The success of that renewal proves nothing: the store
    /// may have granted it before the process paused.
    StaleRenewalInFlight,
}

/// The election as seen by one controller.
pub struct Election {
    node: String,
    /// Distinguishes this process from earlier ones of the same name.
    incarnation: u64,
    lease_ttl_ms: u64,
    /// Delays this candidate's claims and retries, so that the candidates don't all claim
    /// at the same moment.
    stagger_ms: u64,
    role: Role,
    /// The leader key's revision as last read; 0 if the key is absent.
    leader_key_revision: u64,
    term_record: TermRecord,
    term_key_revision: u64,
    /// The store's revision as last read, from which the next watch starts.
    store_revision: Revision,
    lease: Option<u64>,
    lease_confirmation: LeaseConfirmation,
    /// The call in flight whose response decides the next step.
    in_flight: Option<ElectionKvCall>,
    watch_in_flight: bool,
    next_step_ms: u64,
    /// When the records were last received.
    last_read_ms: u64,
    /// Until when this controller doesn't claim leadership after it has handed leadership
    /// over; 0 if it hasn't.
    yielding_until_ms: u64,
}

impl Election {
    /// Creates the state of a controller that doesn't know the leader. `stagger_ms` should
    /// differ between controllers.
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

    /// Returns this controller's role, as far as the controller knows.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Returns whether this controller leads, as far as the controller knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Returns whether this controller holds the leader role but may have lost leadership
    /// without noticing.
    pub fn leadership_unconfirmed(&self) -> bool {
        self.is_leader() && self.lease_confirmation != LeaseConfirmation::Confirmed
    }

    /// Requires a renewal of the lease before this controller acts as leader again. Called
    /// when the lease may have expired: the process was paused, or a worker reported a
    /// later term.
    pub fn require_renewal(&mut self, now: Now) {
        self.lease_confirmation = if self.in_flight == Some(ElectionKvCall::RenewLease) {
            LeaseConfirmation::StaleRenewalInFlight
        } else {
            LeaseConfirmation::RenewalRequired
        };
        self.next_step_ms = now.ms;
    }

    /// Returns the peer that leads, as far as this controller knows from a read of its leader
    /// record within a lease TTL; `None` if the leader is unknown or is this controller.
    pub fn other_leader(&self, now: Now) -> Option<&str> {
        match &self.role {
            Role::Follower(record) if self.has_read_within(now, LEADER_READ_TTLS) => {
                Some(&record.node)
            }
            Role::Follower(_) | Role::Unknown | Role::Leader { .. } => None,
        }
    }

    /// Returns whether this controller follows a leader whose record it has read recently.
    pub fn follows_recorded_leader(&self, now: Now) -> bool {
        matches!(self.role, Role::Follower(_)) && self.has_read_within(now, RECENT_READ_TTLS)
    }

    fn has_read_within(&self, now: Now, lease_ttls: u64) -> bool {
        now.ms < self.last_read_ms + self.lease_ttl_ms * lease_ttls
    }

    /// Returns whether, according to the term record, a leader has found that the store's
    /// announced limits are in effect.
    pub fn limits_lowered(&self) -> bool {
        self.term_record.limits_lowered
    }

    /// Builds the transaction by which the leader stores that the announced limits are in
    /// effect. Returns `None` if this controller doesn't lead.
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

    /// Records that the transaction of [`limits_lowered_txn`](Self::limits_lowered_txn) was
    /// committed.
    pub fn on_limits_lowered_stored(&mut self) {
        self.term_record.limits_lowered = true;
    }

    /// Returns the latest term that this controller has read from or written to the
    /// key-value store.
    pub fn known_term(&self) -> Term {
        self.term_record.term
    }

    /// Makes the calls that are due. Returns when to call `tick` again.
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

    /// Gives up leadership and revokes the lease, so that a new leader is elected and
    /// reloads the stored state.
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

    /// Hands leadership over to a better candidate: steps down, and claims leadership
    /// again only if no other controller does so in the meantime.
    pub fn yield_leadership(
        &mut self,
        now: Now,
        effects: &mut ElectionEffects,
    ) -> Option<LeadershipChange> {
        self.yielding_until_ms = now.ms + self.lease_ttl_ms * YIELD_TTLS;
        self.step_down(now, effects)
    }

    /// Deposes this leader if a peer that reaches the key-value store reports another
    /// leader of a later term.
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

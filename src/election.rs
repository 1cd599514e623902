//! Who leads: a key under a lease, and a durable term raised in the same
//! transaction. Whatever a leader writes is guarded by its key's revision, so
//! nothing of a deposed leader can apply, however late it comes.

use crate::ids::{Revision, Term};
use crate::kv_client::{self, CallPriority, KvCall, KvResponse};
use crate::messages::{Call, Now};
use crate::records::leadership::{LeaderRecord, TermRecord, LEADER_KEY, LEADER_PREFIX, TERM_KEY};
use crate::wire::kv::{KeyPage, LeaseGranted, Txn, TxnResponse, WatchResponse};

/// Which question an answer belongs to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ElectionKvCall {
    /// Reads both records.
    Read,
    /// Asks for a lease.
    Lease,
    /// Claims the leader key under that lease.
    Claim,
    /// Renews the lease.
    Renew,
    /// Waits for a change of the records.
    Watch,
    /// Ends the lease.
    End,
}

/// A controller's part.
#[derive(Clone, PartialEq, Debug)]
pub enum Role {
    /// Nothing known yet, or nothing sure any more.
    Unknown,
    /// Another one leads.
    Follower(LeaderRecord),
    /// This one leads.
    Leader {
        /// Its term.
        term: Term,
        /// The revision of the leader key, which guards every write.
        key_version: Revision,
    },
}

/// What the node learns from the election.
#[derive(Clone, PartialEq, Debug)]
pub enum LeadershipChange {
    /// It leads from now on.
    Elected {
        /// Its term.
        term: Term,
        /// The revision of the leader key, which guards every write.
        key_version: Revision,
    },
    /// It leads no longer.
    Deposed,
}

/// Calls that the election wants made.
pub type ElectionEffects = Vec<KvCall<ElectionKvCall>>;

/// One controller's part in the election.
pub struct Election {
    node: String,
    incarnation: u64,
    ttl_ms: u64,
    /// What it is as far as it knows.
    pub role: Role,
    /// Versions as last read: of the leader key (0: absent) and of the term.
    key_revision: u64,
    term: TermRecord,
    term_revision: u64,
    leader: Option<LeaderRecord>,
    revision: Revision,
    lease: Option<u64>,
    waiting: Option<ElectionKvCall>,
    watching: bool,
    /// When the next step is due.
    due_ms: u64,
    read_ms: u64,
    /// Spreads candidates, so that they don't all claim in one moment.
    stagger_ms: u64,
    /// There is reason to think that somebody else leads, and no renewal has
    /// gone out and come back since. `true`: one from before is under way.
    doubt: Option<bool>,
    /// It stepped aside: others may claim first until then.
    yielding_until_ms: u64,
}

impl Election {
    /// Knows nothing yet. `stagger_ms` differs between controllers.
    pub fn new(node: &str, incarnation: u64, ttl_ms: u64, stagger_ms: u64) -> Self {
        Election {
            node: node.to_string(),
            incarnation,
            ttl_ms,
            role: Role::Unknown,
            key_revision: 0,
            term: TermRecord {
                term: Term(0),
                limits_lowered: false,
            },
            term_revision: 0,
            leader: None,
            revision: Revision(0),
            lease: None,
            waiting: None,
            watching: false,
            due_ms: 0,
            read_ms: 0,
            stagger_ms,
            doubt: None,
            yielding_until_ms: 0,
        }
    }

    /// Whether this controller leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Whether this process may have lost the lead without having been told.
    pub fn leadership_unconfirmed(&self) -> bool {
        self.is_leader() && self.doubt.is_some()
    }

    /// The process stood still, or a worker shows a later term: its lease may
    /// have ended. Until a renewal says otherwise it does nothing as leader.
    pub fn require_renewal(&mut self, now: Now) {
        self.doubt = Some(self.waiting == Some(ElectionKvCall::Renew));
        self.due_ms = now.ms;
    }

    /// The other controller that leads, as far as this one knows.
    pub fn other_leader(&self) -> Option<&str> {
        match &self.role {
            Role::Follower(record) => Some(&record.node),
            _ => None,
        }
    }

    /// Whether the state service named the leader a short while ago.
    pub fn follows(&self, now: Now) -> bool {
        matches!(self.role, Role::Follower(_)) && now.ms < self.read_ms + self.ttl_ms * 4
    }

    /// Whether the state service holds a leader's word that its announced limits
    /// are in force.
    pub fn limits_lowered(&self) -> bool {
        self.term.limits_lowered
    }

    /// The transaction that stores, as leader, that the announced limits are in
    /// force. `None`: it doesn't lead.
    pub fn store_limits_lowered(&self) -> Option<Txn> {
        let Role::Leader { term, key_version } = self.role else {
            return None;
        };
        let record = TermRecord {
            term,
            limits_lowered: true,
        };
        let value = serde_json::to_value(record).unwrap_or_default();
        Some(
            Txn::default()
                .compare(LEADER_KEY, key_version.0)
                .put(TERM_KEY, value),
        )
    }

    /// That transaction was carried out.
    pub fn limits_lowered_stored(&mut self) {
        self.term.limits_lowered = true;
    }

    /// The latest term that the state service told of.
    pub fn known_term(&self) -> Term {
        self.term.term
    }

    fn timeout_ms(&self) -> u64 {
        (self.ttl_ms / 3).max(200)
    }

    fn ask(
        &mut self,
        now: Now,
        what: ElectionKvCall,
        call: (Call, usize),
        out: &mut ElectionEffects,
    ) {
        if what == ElectionKvCall::Watch {
            self.watching = true;
        } else if what != ElectionKvCall::End {
            self.waiting = Some(what);
        }
        let give_up_ms = now.ms + call.0.timeout_ms;
        out.push(KvCall {
            priority: CallPriority::Leadership,
            call: call.0,
            writes: call.1,
            expires_ms: give_up_ms,
            tag: what,
        });
    }

    /// Makes the calls that are due, and says when to be called again.
    pub fn tick(&mut self, now: Now, out: &mut ElectionEffects) -> u64 {
        if self.waiting.is_none() && now.ms >= self.due_ms {
            let timeout = self.timeout_ms();
            match &self.role {
                Role::Leader { .. } => {
                    let lease = self.lease.unwrap_or(0);
                    let call = kv_client::lease_renew(lease, timeout);
                    self.ask(now, ElectionKvCall::Renew, (call, 0), out);
                }
                _ => {
                    let call = kv_client::list(LEADER_PREFIX, None, timeout);
                    self.ask(now, ElectionKvCall::Read, (call, 0), out);
                }
            }
        }
        if !self.watching && matches!(self.role, Role::Follower(_)) && self.waiting.is_none() {
            let wait = self.ttl_ms * 3;
            let call = kv_client::watch(LEADER_PREFIX, self.revision, wait, wait + self.ttl_ms);
            self.ask(now, ElectionKvCall::Watch, (call, 0), out);
        }
        if self.waiting.is_some() {
            now.ms + self.ttl_ms
        } else {
            self.due_ms.max(now.ms + 1)
        }
    }

    /// Gives leadership up, so that state is read afresh by whoever leads next.
    pub fn step_down(&mut self, now: Now, out: &mut ElectionEffects) -> Option<LeadershipChange> {
        let was = self.is_leader();
        if let Some(lease) = self.lease.take() {
            let call = kv_client::lease_end(lease, self.timeout_ms());
            self.ask(now, ElectionKvCall::End, (call, 0), out);
        }
        self.role = Role::Unknown;
        self.due_ms = now.ms + 50;
        was.then_some(LeadershipChange::Deposed)
    }

    /// Gives leadership up to somebody better placed, and claims it again only
    /// if nobody else does.
    pub fn yield_leadership(
        &mut self,
        now: Now,
        out: &mut ElectionEffects,
    ) -> Option<LeadershipChange> {
        self.yielding_until_ms = now.ms + self.ttl_ms * 2;
        self.step_down(now, out)
    }

    /// A peer that the state service answers names another leader, of a later
    /// term.
    pub fn observe_later_term(
        &mut self,
        now: Now,
        node: &str,
        term: Term,
    ) -> Option<LeadershipChange> {
        if !self.is_leader() || term <= self.term.term || node == self.node {
            return None;
        }
        self.role = Role::Follower(LeaderRecord {
            node: node.to_string(),
            incarnation: 0,
            term,
            lease: 0,
        });
        self.lease = None;
        self.due_ms = now.ms;
        Some(LeadershipChange::Deposed)
    }

    /// Takes the answer to a call in.
    pub fn answered(
        &mut self,
        now: Now,
        what: ElectionKvCall,
        answer: KvResponse,
        out: &mut ElectionEffects,
    ) -> Option<LeadershipChange> {
        match what {
            ElectionKvCall::Watch => self.watching = false,
            ElectionKvCall::End => {}
            _ if self.waiting == Some(what) => self.waiting = None,
            _ => return None,
        }
        match what {
            ElectionKvCall::Read => self.on_read(now, &answer, out),
            ElectionKvCall::Lease => {
                self.on_lease(now, &answer, out);
                None
            }
            ElectionKvCall::Claim => self.on_claim(now, &answer),
            ElectionKvCall::Renew => self.on_renew(now, &answer),
            ElectionKvCall::Watch => {
                self.on_watch(now, &answer);
                None
            }
            ElectionKvCall::End => None,
        }
    }

    fn retry_soon(&mut self, now: Now) {
        self.due_ms = now.ms + self.ttl_ms / 10 + self.stagger_ms;
    }

    fn on_read(
        &mut self,
        now: Now,
        answer: &KvResponse,
        out: &mut ElectionEffects,
    ) -> Option<LeadershipChange> {
        let Some(items) = answer.read::<KeyPage>(200) else {
            self.retry_soon(now);
            return None;
        };
        self.revision = Revision(items.revision);
        self.read_ms = now.ms;
        self.leader = None;
        self.key_revision = 0;
        self.term_revision = 0;
        for item in items.items {
            if item.key == LEADER_KEY {
                self.key_revision = item.mod_revision;
                self.leader = serde_json::from_value(item.value).ok();
            } else if item.key == TERM_KEY {
                self.term_revision = item.mod_revision;
                if let Ok(term) = serde_json::from_value(item.value) {
                    self.term = term;
                }
            }
        }
        self.decide(now, out)
    }

    /// Follows, claims, or finds that an unclear claim was won after all.
    fn decide(&mut self, now: Now, out: &mut ElectionEffects) -> Option<LeadershipChange> {
        match &self.leader {
            Some(record) if record.node != self.node => {
                self.role = Role::Follower(record.clone());
                // Another has claimed: there is nobody left to wait for.
                self.yielding_until_ms = 0;
                // The watch brings changes; this is in case it hangs, and so
                // that a quiet follower knows that it is informed.
                self.due_ms = now.ms + self.ttl_ms / 2;
                None
            }
            Some(record)
                if record.incarnation == self.incarnation && self.lease == Some(record.lease) =>
            {
                let (term, key_version) = (record.term, Revision(self.key_revision));
                Some(self.won(now, term, key_version))
            }
            None if now.ms < self.yielding_until_ms => {
                self.role = Role::Unknown;
                self.retry_soon(now);
                None
            }
            // Nobody, or an earlier process of this very name, which is dead.
            _ => {
                self.role = Role::Unknown;
                let call = kv_client::lease_create(self.ttl_ms, self.timeout_ms());
                self.ask(now, ElectionKvCall::Lease, (call, 0), out);
                None
            }
        }
    }

    fn won(&mut self, now: Now, term: Term, key_version: Revision) -> LeadershipChange {
        self.role = Role::Leader { term, key_version };
        self.doubt = None;
        self.term.term = term;
        self.due_ms = now.ms + self.ttl_ms / 4;
        LeadershipChange::Elected { term, key_version }
    }

    fn on_lease(&mut self, now: Now, answer: &KvResponse, out: &mut ElectionEffects) {
        let Some(granted) = answer.read::<LeaseGranted>(200) else {
            self.retry_soon(now);
            return;
        };
        self.lease = Some(granted.lease);
        let term = Term(self.term.term.0 + 1);
        let record = LeaderRecord {
            node: self.node.clone(),
            incarnation: self.incarnation,
            term,
            lease: granted.lease,
        };
        let record_of_term = TermRecord { term, ..self.term };
        let txn = Txn::default()
            .compare(LEADER_KEY, self.key_revision)
            .compare(TERM_KEY, self.term_revision)
            .put_leased(
                LEADER_KEY,
                serde_json::to_value(&record).unwrap_or_default(),
                granted.lease,
            )
            .put(
                TERM_KEY,
                serde_json::to_value(record_of_term).unwrap_or_default(),
            );
        let call = kv_client::txn(&txn, self.timeout_ms());
        self.ask(now, ElectionKvCall::Claim, call, out);
    }

    fn on_claim(&mut self, now: Now, answer: &KvResponse) -> Option<LeadershipChange> {
        if let Some(done) = answer.read::<TxnResponse>(200) {
            let term = Term(self.term.term.0 + 1);
            return Some(self.won(now, term, Revision(done.revision)));
        }
        // Lost, or unclear: reading tells. A lease that holds no key ends by
        // itself.
        if answer.status().is_some() {
            self.lease = None;
        }
        self.due_ms = now.ms + self.stagger_ms;
        None
    }

    fn on_renew(&mut self, now: Now, answer: &KvResponse) -> Option<LeadershipChange> {
        match answer.status() {
            // It may have been given before the process stood still.
            Some(200) if self.doubt == Some(true) => {
                self.doubt = Some(false);
                self.due_ms = now.ms;
                None
            }
            Some(200) => {
                self.doubt = None;
                self.due_ms = now.ms + self.ttl_ms / 4;
                None
            }
            Some(404) => {
                self.lease = None;
                self.role = Role::Unknown;
                self.due_ms = now.ms;
                Some(LeadershipChange::Deposed)
            }
            // Away or unclear: the key is ours until somebody says otherwise.
            _ => {
                self.due_ms = now.ms + self.ttl_ms / 10;
                None
            }
        }
    }

    fn on_watch(&mut self, now: Now, answer: &KvResponse) {
        match answer.read::<WatchResponse>(200) {
            Some(seen) if seen.events.is_empty() => {
                self.revision = Revision(seen.revision.max(self.revision.0));
            }
            // Something changed, or the watch is of no use: read.
            _ => {
                if !self.is_leader() {
                    let pause = if answer.status() == Some(200) {
                        self.stagger_ms
                    } else {
                        self.ttl_ms / 10
                    };
                    self.due_ms = self.due_ms.min(now.ms + pause);
                }
            }
        }
    }
}

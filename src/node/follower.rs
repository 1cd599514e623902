//! A controller's part while another leads: it sends workers to where their
//! reports are taken, passes reports on, and renews leases in the leader's
//! stead when that can't be heard. It never starts anything.

use super::{CallTag, Node, StateTag};
use crate::election::Role;
use crate::gateway::JOB_PREFIX;
use crate::http::MAX_PEER_BODY;
use crate::ids::{JobId, Session, TaskRef, Term, Token};
use crate::msg::{Call, Effect, Now, Reply, Target};
use crate::peer::{self, Hello, PEER_PATH};
use crate::scheduler::{HeldRecord, HELD_PREFIX};
use crate::store::{self, Answer, StateCall, Urgency};
use crate::wire::{Command, Items, Report, ReportAnswer, ReportTo, TaskPhase, Txn};
use std::collections::HashSet;

/// Reports are passed on to the leader in gulps.
const RELAY_MS: u64 = 50;

/// What the state service couldn't answer is asked again after this pause.
const RETRY_MS: u64 = 200;

/// Half of what a peer takes: one more report of any size still fits.
const RELAY_BYTES: usize = MAX_PEER_BODY / 2;

/// What a record of held machines takes beside its rows, and a row beside the
/// machine's name, generously.
const HELD_HEAD_BYTES: usize = 128;
const HELD_ROW_BYTES: usize = 28;

/// A list of cancelled jobs that is being read.
#[derive(Debug)]
pub(super) struct CancelList {
    asked_ms: u64,
    found: HashSet<JobId>,
}

impl Node {
    /// The follower that takes this zone's reports for us: one in the zone
    /// itself, so that a cut between zones parts no worker from its node.
    pub(super) fn relay_for(&self, now: Now, zone: &str) -> Option<&str> {
        if zone == self.settings.zone {
            return None;
        }
        let recent = self.hello_every_ms * 2;
        self.peers
            .iter()
            .find(|p| {
                // One that reaches neither us nor the state service would
                // send the worker back, round and round.
                let seen = |at: Option<u64>| at.is_some_and(|at| now.ms < at + recent);
                p.zone == zone && !p.deaf && seen(p.follows_ms) && seen(p.state_seen_ms)
            })
            .map(|p| p.name.as_str())
    }

    /// Whether this follower takes a zone's reports for the leader, and that
    /// leader's term: its own zone's for one in another zone, and anybody's
    /// for one that says that no worker reaches it.
    pub(super) fn relays(&self, now: Now, zone: &str) -> Option<Term> {
        let quiet = self.quiet_ms();
        self.peers
            .iter()
            .filter(|p| p.leads_ms.is_some_and(|at| now.ms < at + quiet))
            .max_by_key(|p| p.leads_term)
            .filter(|p| p.deaf || (zone == self.settings.zone && p.zone != zone))
            // To hear it is not enough: what it can't be told is lost on it.
            .filter(|p| p.reached_ms.is_some_and(|at| now.ms < at + quiet))
            .map(|p| p.leads_term)
    }

    /// Passes reports on to the leader, several at once.
    pub(super) fn tend_relay(&mut self, now: Now, out: &mut Vec<Effect>) {
        if self.relay.is_empty() || now.ms < self.relay_due_ms {
            return;
        }
        self.relay_due_ms = now.ms + RELAY_MS;
        let leader = self
            .peers
            .iter()
            .enumerate()
            .filter(|(_, p)| p.leads_ms.is_some())
            .max_by_key(|(_, p)| p.leads_term);
        // What doesn't fit into one message goes with the next.
        let mut bytes = 0;
        let fits = self
            .relay
            .iter()
            .take_while(|r| {
                bytes += r.len();
                bytes <= RELAY_BYTES
            })
            .count();
        let reports: Vec<Vec<u8>> = self.relay.drain(..fits.max(1)).collect();
        let Some((index, addr)) = leader.map(|(i, p)| (i, p.addr.clone())) else {
            return;
        };
        let hello = Hello {
            node: self.settings.node_name.clone(),
            state_reachable: self.store.reachable(),
            reports,
            ..Hello::default()
        };
        let call = Call {
            target: Target::Peer(addr),
            method: "POST",
            path: PEER_PATH.to_string(),
            body: peer::encode(&hello),
            timeout_ms: self.hello_every_ms * 2,
        };
        self.send(CallTag::Peer(index), call, out);
    }

    pub(super) fn redirect(&self) -> Reply {
        match self.election.other_leader() {
            Some(node) => Reply::json(421, &ReportTo { node: Some(node) }),
            None => Reply::later(503, "no leader known", 1),
        }
    }

    /// Peers say hello several times within this period.
    pub(super) fn quiet_ms(&self) -> u64 {
        self.hello_every_ms * 3
    }

    /// Whether workers' leases are to be renewed here in the leader's stead,
    /// so that a cut between zones, or a leader's death in an outage, doesn't
    /// end all their tasks. No commands go out that way, and no lease's end
    /// is ever taken for proof, so nothing can run twice for it.
    pub(super) fn stands_in(&mut self, now: Now) -> bool {
        let quiet = self.quiet_ms();
        let recent = |at: Option<u64>| at.is_some_and(|at| now.ms < at + quiet);
        if self.peers.iter().any(|p| recent(p.leads_ms)) {
            return false;
        }
        let heard = self.peers.iter().any(|p| recent(p.heard_ms));
        let stands = if self.store.reachable() {
            // The state service knows a leader whom this node can't hear.
            self.election.follows(now)
        } else if heard {
            !self.peers.iter().any(|p| recent(p.state_seen_ms))
        } else {
            // Alone. If it answered its zone's workers before that, the zone
            // is cut off with it and they have nobody else; `hold` bounds how
            // long that may last. If they had reported elsewhere, the fault
            // is here, and it would only keep workers from others.
            recent(self.stood_in_ms)
        };
        if stands {
            self.stood_in_ms = Some(now.ms);
        }
        stands
    }

    pub(super) fn hold(&mut self, now: Now, report: &Report) -> Option<Reply> {
        let term = match &self.election.role {
            Role::Follower(record) if self.store.reachable() => record.term,
            // In an outage that all share, what the worker knows is enough.
            _ => report.token.term(),
        };
        let known_ms = self.cancels_read_ms.max(self.led_ms);
        // A fresh process knows nothing at all.
        if known_ms == 0 || now.ms > known_ms + self.settings.uninformed_ms() {
            // What was cancelled meanwhile must end in time: no more leases.
            self.wants_cancels = true;
            return None;
        }
        let stops: Vec<Command> = report
            .tasks
            .iter()
            .filter(|t| t.phase != TaskPhase::Ended)
            .filter(|t| {
                TaskRef::parse(&t.task).is_some_and(|task| self.cancelled.contains(&task.job))
            })
            .map(|t| Command::Stop {
                task: t.task.clone(),
                attempt: t.attempt,
                grace_s: 0,
            })
            .collect();
        let reply = answer_for_leader(report, term, &stops)?;
        self.held
            .insert(report.machine.clone(), (now.ms, report.session));
        Some(reply)
    }

    pub(super) fn tend_informed(&mut self, now: Now) {
        let quiet = self.quiet_ms();
        let recent = |at: Option<u64>| at.is_some_and(|at| now.ms < at + quiet);
        // Where nobody reaches the state service nothing is cancelled.
        let nobody = self
            .peers
            .iter()
            .all(|p| recent(p.heard_ms) && !recent(p.state_seen_ms));
        // What was answered counts, not that nothing has failed since: a
        // process that stood still, or asks for nothing, learns of no failure.
        let answered_ms = self.store.known_ms();
        self.informed_ms = self.informed_ms.max(answered_ms);
        let led_ms = self.peers.iter().filter_map(|p| p.leads_ms).max();
        self.led_ms = self.led_ms.max(led_ms.unwrap_or(0).min(answered_ms));
        // Nor do words that came while it stood still tell of now.
        if nobody && (self.peers.is_empty() || now.ms > self.woke_ms + quiet) {
            self.informed_ms = now.ms;
            self.led_ms = now.ms;
        }
    }

    /// Reads which jobs are cancelled, while leases are renewed here.
    pub(super) fn tend_cancels(&mut self, now: Now) {
        let wanted = self.wants_cancels || !self.held.is_empty();
        if !wanted || self.cancels.is_some() || now.ms < self.cancels_due_ms {
            return;
        }
        self.wants_cancels = false;
        self.cancels_due_ms = now.ms + RETRY_MS;
        self.cancels = Some(CancelList {
            asked_ms: now.ms,
            found: HashSet::new(),
        });
        self.list_cancelled(now, None);
    }

    fn list_cancelled(&mut self, now: Now, after: Option<&str>) {
        self.store.submit(StateCall {
            urgency: Urgency::Cancel,
            call: store::list(JOB_PREFIX, after, 2000),
            writes: 0,
            give_up_ms: now.ms + 2000,
            tag: StateTag::ListCancelled,
        });
    }

    pub(super) fn on_cancelled(&mut self, now: Now, answer: &Answer) {
        let Some(mut list) = self.cancels.take() else {
            return;
        };
        let Some(items) = answer.read::<Items>(200) else {
            return;
        };
        let last = items.items.last().map(|i| i.key.clone());
        for item in items.items {
            if item.value.get("c").is_some_and(|c| !c.is_null()) {
                if let Some(id) = item.key.strip_prefix(JOB_PREFIX) {
                    list.found.insert(JobId::new(id));
                }
            }
        }
        if items.more {
            self.cancels = Some(list);
            self.list_cancelled(now, last.as_deref());
        } else {
            self.cancels_read_ms = list.asked_ms;
            self.cancels_due_ms = list.asked_ms + self.settings.uninformed_ms() / 5;
            self.cancelled = list.found;
        }
    }

    /// Tells the leader, by way of the state service, whose leases are kept.
    pub(super) fn tend_held(&mut self, now: Now) {
        let quiet = self.quiet_ms();
        self.held.retain(|_, (at, _)| now.ms < *at + quiet);
        if now.ms < self.held_due_ms || (self.held.is_empty() && self.held_stored == 0) {
            return;
        }
        self.held_due_ms = now.ms + quiet;
        let mut machines: Vec<(String, Session)> = self
            .held
            .iter()
            .map(|(name, (_, session))| (name.clone(), *session))
            .collect();
        machines.sort();
        // As many records as a record's size asks for; a truncated list would
        // have the leader give up machines that are well looked after.
        let whole = (self.settings.site.state.value_kb * 1024.0) as usize;
        let most = whole.saturating_sub(HELD_HEAD_BYTES);
        let mut records: Vec<Vec<(String, Session)>> = Vec::new();
        let mut bytes = most;
        for (name, session) in machines {
            bytes += name.len() + HELD_ROW_BYTES;
            if bytes > most {
                records.push(Vec::new());
                bytes = name.len() + HELD_ROW_BYTES;
            }
            if let Some(record) = records.last_mut() {
                record.push((name, session));
            }
        }
        let stored = std::mem::replace(&mut self.held_stored, records.len());
        let node = self.settings.node_name.clone();
        let key = |n: usize| format!("{HELD_PREFIX}{node}/{n}");
        let mut txns: Vec<Txn> = Vec::new();
        for (n, machines) in records.into_iter().enumerate() {
            let record = HeldRecord {
                at: now.wall,
                machines,
            };
            let value = serde_json::to_value(record).unwrap_or_default();
            txns.push(Txn::default().put(key(n), value));
        }
        txns.extend((self.held_stored..stored).map(|n| Txn::default().delete(key(n))));
        for txn in txns {
            let (call, writes) = store::txn(&txn, 1000);
            self.store.submit(StateCall {
                urgency: Urgency::Leadership,
                call,
                writes,
                give_up_ms: now.ms + quiet,
                tag: StateTag::WriteHeld,
            });
        }
    }
}

/// The answer that a follower gives in its leader's stead: the lease is
/// renewed and the token kept or raised to the term's first, and no commands
/// go out but stops of cancelled jobs' tasks, which can do no harm. `None`:
/// the worker has seen a later term than we have.
pub(super) fn answer_for_leader(report: &Report, term: Term, stops: &[Command]) -> Option<Reply> {
    if report.token.term() > term {
        return None;
    }
    let first = if term > Term(0) {
        Token::new(term, 1)
    } else {
        Token(0)
    };
    let answer = ReportAnswer {
        token: report.token.max(first),
        commands: stops,
    };
    Some(Reply::json(200, &answer))
}

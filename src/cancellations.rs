//! What this controller knows of the job records: which jobs are unfinished,
//! which of these are cancelled, and up to which moment it is sure to know all
//! cancellations.
//!
//! One poll of the changes serves all who ask about jobs: whatever was asked
//! before the poll was, its answer is at least as new as. So questions cost no
//! calls of their own, however many come.
//!
//! A lease may be renewed only by somebody who knows what is cancelled, or is
//! sure that whatever it misses will end in time all the same. One actor owns
//! that knowledge: the set of cancelled jobs, and the **watermark**, the time
//! up to which every cancellation that any controller confirmed to a user is
//! in the set. It moves in two ways only, each dated by when the question was
//! sent:
//!
//! - a complete read of the state service (a list, then the changes since);
//! - an answer from every peer, each holding all that its present process has
//!   confirmed since before the last such read, numbered without a gap.
//!
//! That nobody reaches the state service now says nothing of what somebody
//! confirmed a second ago, so it moves nothing.

use crate::ids::{JobId, Revision};
use crate::kv_client::{self, CallPriority, KvCall, KvResponse};
use crate::messages::Now;
use crate::records::jobs::JOB_PREFIX;
use crate::records::jobs::{dependencies_in, is_cancelled, job_of_key};
use crate::settings::Settings;
use crate::wire::kv::{KeyPage, WatchResponse};
use crate::wire::peers::{ConfirmationCursor, ConfirmedCancellations};
use crate::wire::users::valid_job_id;
use crate::wire::workers::{Command, TaskPhase, WorkerHeartbeat};
use std::collections::{HashMap, HashSet, VecDeque};

/// Confirmations kept for peers. One that has fallen further behind has to
/// read the state service first.
const LOG_JOBS: usize = 4096;

/// Confirmations told in one message.
const MESSAGE_JOBS: usize = 500;

/// While somebody waits for an answer, polls follow each other this many times
/// per report interval of the workers; else once.
const BUSY_POLLS: u64 = 5;

/// A list or poll that has no answer by then is asked for again.
const TIMEOUT_MS: u64 = 1500;

/// Jobs that a peer named and no record shows are remembered for so many
/// times `cancel_s`: by then nothing of them can be left.
const REMEMBERED: u64 = 4;

/// Figures from the settings.
#[derive(Clone, Copy, Debug)]
pub struct CancellationBounds {
    /// The workers' report interval.
    pub report_ms: u64,
    /// The time that a cancellation has until its tasks are gone.
    pub cancel_ms: u64,
    /// For how long after the watermark leases may still be renewed.
    pub uninformed_ms: u64,
}

impl CancellationBounds {
    /// The bounds that follow from the settings.
    pub fn new(settings: &Settings) -> CancellationBounds {
        let workers = &settings.site.workers;
        CancellationBounds {
            report_ms: (workers.heartbeat_s * 1000.0) as u64,
            cancel_ms: (workers.cancel_s * 1000.0) as u64,
            uninformed_ms: settings.max_cancellation_lag_ms(),
        }
    }
}

/// Which question to the state service an answer belongs to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CancellationsKvCall {
    /// All job records, page by page.
    List,
    /// What changed since the last read.
    Poll,
}

#[derive(Clone, Copy, Debug)]
struct KnownCancellation {
    learned_ms: u64,
    /// Its record says so; it is forgotten when the record goes.
    stored: bool,
}

/// A list under way.
#[derive(Debug, Default)]
struct Listing {
    asked_ms: u64,
    from: Option<Revision>,
    unfinished: HashMap<JobId, Box<[JobId]>>,
    cancelled: HashSet<JobId>,
}

/// What this process has told users is cancelled, in order and numbered from 1.
#[derive(Debug, Default)]
struct ConfirmationLog {
    dropped: u64,
    jobs: VecDeque<JobId>,
}

impl ConfirmationLog {
    fn push(&mut self, id: JobId) {
        self.jobs.push_back(id);
        while self.jobs.len() > LOG_JOBS {
            self.jobs.pop_front();
            self.dropped += 1;
        }
    }

    fn total(&self) -> u64 {
        self.dropped + self.jobs.len() as u64
    }

    /// The number of the first entry after `have` that is still there, and
    /// that entry and its successors.
    fn after(&self, have: u64) -> (u64, Vec<String>) {
        let skip = have.saturating_sub(self.dropped).min(self.total());
        let entries = self
            .jobs
            .iter()
            .skip(skip as usize)
            .take(MESSAGE_JOBS)
            .map(|id| id.to_string())
            .collect();
        (self.dropped + skip + 1, entries)
    }
}

/// How far a peer's log is known here.
#[derive(Debug, Default)]
struct PeerLogPosition {
    name: String,
    /// The process that was last heard; 0: none yet.
    incarnation: u64,
    /// All its entries up to this number are known, or were stored before
    /// `since_ms`.
    have: u64,
    since_ms: u64,
    /// When the last question was sent whose answer left nothing out.
    asked_ms: u64,
    /// How far it has said that it knows this node's log.
    acknowledged: ConfirmationCursor,
}

/// What a controller knows of cancellations, and up to when that is all.
pub struct Cancellations {
    node: String,
    incarnation: u64,
    bounds: CancellationBounds,
    known: HashMap<JobId, KnownCancellation>,
    /// Jobs whose records stand, as of the last complete read, and the jobs that
    /// each of them needs.
    unfinished: HashMap<JobId, Box<[JobId]>>,
    log: ConfirmationLog,
    peers: Vec<PeerLogPosition>,
    /// The changes since then aren't read yet; `None`: nothing is.
    read_up_to: Option<Revision>,
    /// When the last complete read was asked for.
    read_ms: Option<u64>,
    watermark_ms: Option<u64>,
    listing: Option<Listing>,
    waiting: bool,
    due_ms: u64,
    asked_ms: u64,
    purge_ms: u64,
}

/// What the records said of a job at the last complete read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum RecordStatus {
    /// No record: never accepted, or over.
    None,
    /// Neither done nor cancelled.
    Unfinished,
    /// Cancelled by its user.
    Cancelled,
}

type CancellationsEffects = Vec<KvCall<CancellationsKvCall>>;

impl Cancellations {
    /// Knows nothing yet; `peers` in the order in which they are numbered.
    pub fn new<'a>(
        node: &str,
        incarnation: u64,
        bounds: CancellationBounds,
        peers: impl Iterator<Item = &'a str>,
    ) -> Self {
        Cancellations {
            node: node.to_string(),
            incarnation,
            bounds,
            known: HashMap::new(),
            unfinished: HashMap::new(),
            log: ConfirmationLog::default(),
            peers: peers
                .map(|name| PeerLogPosition {
                    name: name.to_string(),
                    ..PeerLogPosition::default()
                })
                .collect(),
            read_up_to: None,
            read_ms: None,
            watermark_ms: None,
            listing: None,
            waiting: false,
            due_ms: 0,
            asked_ms: 0,
            purge_ms: 0,
        }
    }

    /// Whether the next poll will tell of every job.
    pub fn is_caught_up(&self) -> bool {
        self.read_up_to.is_some()
    }

    /// Somebody waits for the next poll.
    pub fn request_poll(&mut self) {
        let gap_ms = (self.bounds.report_ms / BUSY_POLLS).max(1);
        self.due_ms = self.due_ms.min(self.asked_ms + gap_ms);
    }

    /// How a job stands by the latest read or what was told since.
    pub fn record_status(&self, id: &JobId) -> RecordStatus {
        if !self.unfinished.contains_key(id) {
            RecordStatus::None
        } else if self.known.get(id).is_some_and(|k| k.stored) {
            RecordStatus::Cancelled
        } else {
            RecordStatus::Unfinished
        }
    }

    /// The jobs that an unfinished job needs, by its record.
    pub fn dependencies(&self, id: &JobId) -> &[JobId] {
        self.unfinished.get(id).map_or(&[], |needs| needs)
    }

    /// When the last complete read was asked for.
    pub fn read_ms(&self) -> Option<u64> {
        self.read_ms
    }

    /// Up to when every confirmed cancellation is known here.
    pub fn watermark_ms(&self) -> Option<u64> {
        self.watermark_ms
    }

    /// Whether leases may be renewed here. What escapes this node was
    /// confirmed after the watermark, and a lease renewed at the end of the
    /// bound ends within `cancel_s` of that.
    pub fn may_renew(&self, now: Now) -> bool {
        self.watermark_ms
            .is_some_and(|at| now.ms <= at + self.bounds.uninformed_ms)
    }

    /// Whether the job is known to be cancelled.
    pub fn contains(&self, id: &JobId) -> bool {
        self.known.contains_key(id)
    }

    /// A user is about to be told here that this job is cancelled.
    pub fn confirm(&mut self, now: Now, id: &JobId) {
        self.learn(now, id, false);
        self.log.push(id.clone());
    }

    /// Stops for what a worker still has of cancelled jobs. They can do no
    /// harm, whoever gives them.
    pub fn stops(&self, report: &WorkerHeartbeat) -> Vec<Command> {
        if self.known.is_empty() {
            return Vec::new();
        }
        report
            .tasks
            .iter()
            .filter(|t| t.phase != TaskPhase::Ended)
            .filter_map(|t| Some((t.task.as_ref()?, t.attempt)))
            .filter(|(task, _)| self.contains(&task.job))
            .map(|(task, attempt)| Command::Stop {
                task: task.to_string(),
                attempt,
                grace_s: 0,
            })
            .collect()
    }

    fn learn(&mut self, now: Now, id: &JobId, stored: bool) -> bool {
        let learned_ms = now.ms;
        match self.known.get_mut(id) {
            Some(known) => {
                known.stored |= stored;
                false
            }
            None => {
                self.known
                    .insert(id.clone(), KnownCancellation { learned_ms, stored });
                true
            }
        }
    }

    // ---- the state service ----

    /// Asks the state service for what is new.
    pub fn tick(&mut self, now: Now, out: &mut CancellationsEffects) -> u64 {
        if self.peers.is_empty() {
            // All that is confirmed is confirmed here.
            self.advance(now.ms);
        }
        if now.ms >= self.purge_ms {
            self.purge_ms = now.ms + self.bounds.cancel_ms;
            let old_ms = self.bounds.cancel_ms * REMEMBERED;
            self.known
                .retain(|_, k| k.stored || now.ms < k.learned_ms + old_ms);
        }
        if self.waiting || now.ms < self.due_ms {
            return if self.waiting { u64::MAX } else { self.due_ms };
        }
        self.due_ms = now.ms + self.bounds.report_ms.max(1);
        self.asked_ms = now.ms;
        match self.read_up_to {
            Some(from) => {
                let call = kv_client::read_changes(JOB_PREFIX, from, TIMEOUT_MS);
                self.listing = Some(Listing {
                    asked_ms: now.ms,
                    ..Listing::default()
                });
                self.ask(now, call, CancellationsKvCall::Poll, out);
            }
            None => {
                self.listing = Some(Listing {
                    asked_ms: now.ms,
                    ..Listing::default()
                });
                let call = kv_client::list(JOB_PREFIX, None, TIMEOUT_MS);
                self.ask(now, call, CancellationsKvCall::List, out);
            }
        }
        u64::MAX
    }

    fn ask(
        &mut self,
        now: Now,
        call: crate::messages::Call,
        tag: CancellationsKvCall,
        out: &mut CancellationsEffects,
    ) {
        self.waiting = true;
        out.push(KvCall {
            // Few and steady, and every worker's lease hangs on them.
            priority: CallPriority::Leadership,
            call,
            writes: 0,
            expires_ms: now.ms + TIMEOUT_MS,
            tag,
        });
    }

    /// An answer of the state service. Returns jobs that were not known to be
    /// cancelled.
    pub fn answered(
        &mut self,
        now: Now,
        call: CancellationsKvCall,
        answer: &KvResponse,
        out: &mut CancellationsEffects,
    ) -> Vec<JobId> {
        self.waiting = false;
        let Some(listing) = self.listing.take() else {
            return Vec::new();
        };
        match call {
            CancellationsKvCall::List => self.listed(now, listing, answer, out),
            CancellationsKvCall::Poll => self.polled(now, &listing, answer),
        }
    }

    fn listed(
        &mut self,
        now: Now,
        mut listing: Listing,
        answer: &KvResponse,
        out: &mut CancellationsEffects,
    ) -> Vec<JobId> {
        let Some(items) = answer.read::<KeyPage>(200) else {
            return Vec::new();
        };
        // What changes while further pages are read is read again after.
        listing.from.get_or_insert(Revision(items.revision));
        let last = items.items.last().map(|i| i.key.clone());
        for item in items.items {
            let Some(id) = job_of_key(&item.key) else {
                continue;
            };
            if is_cancelled(&item.value) {
                listing.cancelled.insert(id.clone());
            }
            listing.unfinished.insert(id, dependencies_in(&item.value));
        }
        if let (true, Some(last)) = (items.more, last) {
            self.listing = Some(listing);
            let call = kv_client::list(JOB_PREFIX, Some(&last), TIMEOUT_MS);
            self.ask(now, call, CancellationsKvCall::List, out);
            return Vec::new();
        }
        self.known
            .retain(|id, k| !k.stored || listing.cancelled.contains(id));
        self.unfinished = listing.unfinished;
        let new = listing
            .cancelled
            .into_iter()
            .filter(|id| self.learn(now, id, true))
            .collect();
        self.read_up_to = listing.from;
        self.read(listing.asked_ms);
        new
    }

    fn polled(&mut self, now: Now, listing: &Listing, answer: &KvResponse) -> Vec<JobId> {
        let Some(seen) = answer.read::<WatchResponse>(200) else {
            if answer.status() == Some(410) {
                // Too far behind for the changes: everything is read anew.
                self.read_up_to = None;
                self.due_ms = now.ms;
            }
            return Vec::new();
        };
        let mut new = Vec::new();
        for event in seen.events {
            if let Some(id) = event.delete.as_deref().and_then(job_of_key) {
                // It is over: nothing of it is on a machine.
                self.known.remove(&id);
                self.unfinished.remove(&id);
            } else if let Some(id) = event.put.as_deref().and_then(job_of_key) {
                if is_cancelled(&event.value) && self.learn(now, &id, true) {
                    new.push(id.clone());
                }
                self.unfinished.insert(id, dependencies_in(&event.value));
            }
        }
        self.read_up_to = Some(Revision(seen.revision));
        self.read(listing.asked_ms);
        new
    }

    fn read(&mut self, asked_ms: u64) {
        self.read_ms = self.read_ms.max(Some(asked_ms));
        self.advance(asked_ms);
    }

    // ---- peers ----

    /// What peer number `index` is asked for.
    pub fn cursor(&self, index: usize) -> Option<ConfirmationCursor> {
        self.peers.get(index).map(|p| ConfirmationCursor {
            incarnation: p.incarnation,
            have: p.have,
        })
    }

    /// The answer to such a question.
    pub fn confirmations(&self, cursor: &ConfirmationCursor) -> ConfirmedCancellations {
        let total = self.log.total();
        // Whoever knew an earlier process, or none, begins with what comes
        // next: what came before is stored, and it reads that.
        let have = if cursor.incarnation == self.incarnation {
            cursor.have
        } else {
            total
        };
        let (first, jobs) = self.log.after(have);
        ConfirmedCancellations {
            node: self.node.clone(),
            incarnation: self.incarnation,
            first,
            jobs,
            total,
        }
    }

    /// A peer has said how far it knows this node's log.
    pub fn acknowledged(&mut self, index: usize, cursor: ConfirmationCursor) {
        if let Some(peer) = self.peers.get_mut(index) {
            peer.acknowledged = cursor;
        }
    }

    /// What peer number `index` hasn't been told yet, as far as it has said.
    pub fn unacknowledged(&self, index: usize) -> Option<ConfirmedCancellations> {
        let peer = self.peers.get(index)?;
        let news = self.confirmations(&peer.acknowledged);
        (!news.jobs.is_empty()).then_some(news)
    }

    /// A peer's word: the answer to a question that went out at `asked_ms`, or
    /// one that came unasked. Returns jobs that were not known to be
    /// cancelled.
    pub fn receive_confirmations(
        &mut self,
        now: Now,
        index: usize,
        asked_ms: Option<u64>,
        word: &ConfirmedCancellations,
    ) -> Vec<JobId> {
        let Some(peer) = self.peers.get_mut(index) else {
            return Vec::new();
        };
        let count = word.jobs.len() as u64;
        let last = word.first.checked_sub(1).and_then(|n| n.checked_add(count));
        let sound = last.is_some_and(|last| last <= word.total) && word.incarnation != 0;
        if !sound || word.node != peer.name || !word.jobs.iter().all(|j| valid_job_id(j)) {
            log::warn!(
                "dropped a senseless word of cancellations from {}",
                peer.name
            );
            return Vec::new();
        }
        let last = last.unwrap_or(0);
        let same = peer.incarnation == word.incarnation;
        if same && word.first <= peer.have.saturating_add(1) {
            peer.have = peer.have.max(last);
        } else if asked_ms.is_some() {
            // Another process, or a gap: only a read from now on can tell what
            // is missing here.
            peer.incarnation = word.incarnation;
            peer.have = word.total;
            peer.since_ms = now.ms;
        }
        if let Some(asked_ms) = asked_ms {
            if peer.have >= word.total {
                peer.asked_ms = peer.asked_ms.max(asked_ms);
            }
        }
        self.attest();
        let ids: Vec<JobId> = word.jobs.iter().map(|j| JobId::new(j)).collect();
        ids.into_iter()
            .filter(|id| self.learn(now, id, false))
            .collect()
    }

    /// Moves the watermark to what all peers together vouch for. A peer that
    /// restarted after the last complete read vouches for nothing that its
    /// earlier process did.
    fn attest(&mut self) {
        let Some(read_ms) = self.read_ms else {
            return;
        };
        let attested = self
            .peers
            .iter()
            .map(|p| {
                let whole = p.incarnation != 0 && p.since_ms < read_ms;
                if whole {
                    p.asked_ms
                } else {
                    0
                }
            })
            .min();
        if let Some(at) = attested.filter(|at| *at > 0) {
            self.advance(at);
        }
    }

    fn advance(&mut self, to_ms: u64) {
        if self.read_ms.is_some() {
            self.watermark_ms = self.watermark_ms.max(Some(to_ms));
        }
    }
}

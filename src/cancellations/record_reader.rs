//! Reads the job records: all of them once, page by page, and from then on what
//! changed.

use crate::ids::{JobId, Revision};
use crate::kv_client::{self, CallPriority, KvCall, KvResponse};
use crate::messages::{Call, Now};
use crate::records::jobs::{dependencies_in, is_cancelled, job_of_key, JOB_PREFIX};
use crate::wire::kv::{KeyPage, WatchEvent, WatchResponse};
use std::collections::{HashMap, HashSet};

/// While a request waits for a response, polls follow each other this many times per
/// heartbeat interval of the workers; else once.
const BUSY_POLLS_PER_HEARTBEAT: u64 = 5;

/// A list or poll without a response by then is sent again.
const TIMEOUT_MS: u64 = 1500;

/// Which call of the key-value store a response belongs to.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CancellationsKvCall {
    /// All job records, page by page.
    List,
    /// What changed since the last read.
    Poll,
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

/// A complete read of the records.
#[derive(Debug)]
pub(super) struct CompletedRead {
    /// When it was requested: a list when its first page was.
    pub(super) requested_ms: u64,
    pub(super) update: RecordUpdate,
}

/// What a complete read showed of cancellations.
#[derive(Debug)]
pub(super) enum RecordUpdate {
    /// All jobs whose records say that they are cancelled.
    List(HashSet<JobId>),
    /// What changed since the read before, in order.
    Changes(Vec<RecordChange>),
}

/// A change of a job's record.
#[derive(Debug)]
pub(super) enum RecordChange {
    /// The record is gone: the job is over.
    Removed(JobId),
    /// The record says that the job is cancelled.
    Cancelled(JobId),
}

/// A read under way.
#[derive(Debug, Default)]
struct ReadInProgress {
    requested_ms: u64,
    /// The revision of the first page of a list.
    revision: Option<Revision>,
    unfinished: HashMap<JobId, Box<[JobId]>>,
    cancelled: HashSet<JobId>,
}

/// Reads the records, one call at a time.
#[derive(Debug)]
pub(super) struct RecordReader {
    heartbeat_interval_ms: u64,
    /// Jobs that have records, as of the last complete read, and the dependencies of
    /// each.
    unfinished: HashMap<JobId, Box<[JobId]>>,
    /// The changes since then aren't read yet; `None`: nothing is.
    read_up_to: Option<Revision>,
    /// When the last complete read was requested.
    read_ms: Option<u64>,
    /// The read whose call has no response yet.
    in_progress: Option<ReadInProgress>,
    due_ms: u64,
    requested_ms: u64,
}

impl RecordReader {
    /// Has read nothing yet.
    pub(super) fn new(heartbeat_interval_ms: u64) -> Self {
        RecordReader {
            heartbeat_interval_ms,
            unfinished: HashMap::new(),
            read_up_to: None,
            read_ms: None,
            in_progress: None,
            due_ms: 0,
            requested_ms: 0,
        }
    }

    /// Whether the next read is a poll of the changes.
    pub(super) fn is_caught_up(&self) -> bool {
        self.read_up_to.is_some()
    }

    /// When the last complete read was requested.
    pub(super) fn read_ms(&self) -> Option<u64> {
        self.read_ms
    }

    /// Whether the job had a record at the last complete read.
    pub(super) fn is_unfinished(&self, id: &JobId) -> bool {
        self.unfinished.contains_key(id)
    }

    /// The dependencies of an unfinished job.
    pub(super) fn dependencies(&self, id: &JobId) -> &[JobId] {
        self.unfinished
            .get(id)
            .map_or(&[], |dependencies| dependencies)
    }

    /// A request waits for the next poll.
    pub(super) fn request_poll(&mut self) {
        let interval_ms = (self.heartbeat_interval_ms / BUSY_POLLS_PER_HEARTBEAT).max(1);
        self.due_ms = self.due_ms.min(self.requested_ms + interval_ms);
    }

    /// Starts a read when one is due. Returns when it wants to be called again.
    pub(super) fn tick(&mut self, now: Now, calls: &mut Vec<KvCall<CancellationsKvCall>>) -> u64 {
        if self.in_progress.is_some() {
            return u64::MAX;
        }
        if now.ms < self.due_ms {
            return self.due_ms;
        }
        self.due_ms = now.ms + self.heartbeat_interval_ms.max(1);
        self.requested_ms = now.ms;
        self.in_progress = Some(ReadInProgress {
            requested_ms: now.ms,
            ..ReadInProgress::default()
        });
        calls.push(match self.read_up_to {
            Some(revision) => poll_call(now, revision),
            None => list_call(now, None),
        });
        u64::MAX
    }

    /// Takes a response; returns the read if that completes it.
    pub(super) fn on_response(
        &mut self,
        now: Now,
        call: CancellationsKvCall,
        response: &KvResponse,
        calls: &mut Vec<KvCall<CancellationsKvCall>>,
    ) -> Option<CompletedRead> {
        let read = self.in_progress.take()?;
        let requested_ms = read.requested_ms;
        let update = match call {
            CancellationsKvCall::List => self.on_page(now, read, response, calls)?,
            CancellationsKvCall::Poll => self.on_changes(now, response)?,
        };
        self.read_ms = self.read_ms.max(Some(requested_ms));
        Some(CompletedRead {
            requested_ms,
            update,
        })
    }

    fn on_page(
        &mut self,
        now: Now,
        mut read: ReadInProgress,
        response: &KvResponse,
        calls: &mut Vec<KvCall<CancellationsKvCall>>,
    ) -> Option<RecordUpdate> {
        let page = response.read::<KeyPage>(200)?;
        // What changes while further pages are read is read again afterwards.
        read.revision.get_or_insert(Revision(page.revision));
        let last_key = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            let Some(id) = job_of_key(&item.key) else {
                continue;
            };
            if is_cancelled(&item.value) {
                read.cancelled.insert(id.clone());
            }
            read.unfinished.insert(id, dependencies_in(&item.value));
        }
        if let (true, Some(last_key)) = (page.has_more, last_key) {
            self.in_progress = Some(read);
            calls.push(list_call(now, Some(&last_key)));
            return None;
        }
        self.unfinished = read.unfinished;
        self.read_up_to = read.revision;
        Some(RecordUpdate::List(read.cancelled))
    }

    fn on_changes(&mut self, now: Now, response: &KvResponse) -> Option<RecordUpdate> {
        let Some(watch) = response.read::<WatchResponse>(200) else {
            if response.status() == Some(410) {
                // Too far behind for the changes: everything is read anew.
                self.read_up_to = None;
                self.due_ms = now.ms;
            }
            return None;
        };
        let changes = watch
            .events
            .into_iter()
            .filter_map(|event| self.apply_event(&event))
            .collect();
        self.read_up_to = Some(Revision(watch.revision));
        Some(RecordUpdate::Changes(changes))
    }

    fn apply_event(&mut self, event: &WatchEvent) -> Option<RecordChange> {
        if let Some(id) = event.deleted_key.as_deref().and_then(job_of_key) {
            self.unfinished.remove(&id);
            return Some(RecordChange::Removed(id));
        }
        let id = event.put_key.as_deref().and_then(job_of_key)?;
        self.unfinished
            .insert(id.clone(), dependencies_in(&event.value));
        is_cancelled(&event.value).then_some(RecordChange::Cancelled(id))
    }
}

fn list_call(now: Now, after_key: Option<&str>) -> KvCall<CancellationsKvCall> {
    let call = kv_client::list(JOB_PREFIX, after_key, TIMEOUT_MS);
    read_call(now, call, CancellationsKvCall::List)
}

fn poll_call(now: Now, revision: Revision) -> KvCall<CancellationsKvCall> {
    let call = kv_client::read_changes(JOB_PREFIX, revision, TIMEOUT_MS);
    read_call(now, call, CancellationsKvCall::Poll)
}

fn read_call(now: Now, call: Call, tag: CancellationsKvCall) -> KvCall<CancellationsKvCall> {
    KvCall {
        // Few and at a steady rate, and every worker's lease depends on them.
        priority: CallPriority::Leadership,
        call,
        writes: 0,
        expires_ms: now.ms + TIMEOUT_MS,
        tag,
    }
}

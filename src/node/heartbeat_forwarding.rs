//! Reports that a follower has answered, on their way to the leader. Every
//! message costs both controllers far more than the reports in it, so reports
//! with nothing new wait for one another.

use crate::http::MAX_PEER_BODY;
use crate::wire::workers::WorkerHeartbeat;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Share of the report interval that a report with news may wait for others.
const CHANGED_SHARE: f64 = 0.05;
/// The same for a report with nothing new: what it adds to the time after which
/// the leader knows of a silent machine stays small beside that time.
const UNCHANGED_SHARE: f64 = 0.25;
/// Half of what a peer takes: one more report of any size still fits.
const MAX_BYTES: usize = MAX_PEER_BODY / 2;

/// A report that waits: the newest of its machine.
#[derive(Debug)]
struct QueuedHeartbeat {
    machine: String,
    body: Vec<u8>,
}

/// What a machine's last report said, and when it came.
#[derive(Debug)]
struct LastHeartbeat {
    content: u64,
    heard_ms: u64,
}

/// The queue of reports towards the leader: one per machine at most.
#[derive(Debug)]
pub(super) struct HeartbeatForwarder {
    report_ms: f64,
    waiting: Vec<QueuedHeartbeat>,
    /// When the next message is due. `None`: nothing waits.
    due_ms: Option<u64>,
    /// The last message went out then.
    sent_ms: u64,
    known: HashMap<String, LastHeartbeat>,
}

impl HeartbeatForwarder {
    /// For workers that report this often.
    pub(super) fn new(report_s: f64) -> HeartbeatForwarder {
        HeartbeatForwarder {
            report_ms: report_s * 1000.0,
            waiting: Vec::new(),
            due_ms: None,
            sent_ms: 0,
            known: HashMap::new(),
        }
    }

    /// Takes a report that was answered here.
    pub(super) fn add(&mut self, now_ms: u64, report: &WorkerHeartbeat, body: &[u8]) {
        let content = content_of(report);
        let known = LastHeartbeat {
            content,
            heard_ms: now_ms,
        };
        let before = self.known.insert(report.machine.clone(), known);
        let changed = before.is_none_or(|before| before.content != content);
        let due_ms = if changed {
            self.sent_ms + self.share_ms(CHANGED_SHARE)
        } else {
            now_ms + self.share_ms(UNCHANGED_SHARE)
        };
        self.due_ms = Some(self.due_ms.map_or(due_ms, |due| due.min(due_ms)));
        let waiting = self
            .waiting
            .iter_mut()
            .find(|w| w.machine == report.machine);
        match waiting {
            Some(waiting) => waiting.body = body.to_vec(),
            None => self.waiting.push(QueuedHeartbeat {
                machine: report.machine.clone(),
                body: body.to_vec(),
            }),
        }
    }

    /// The reports of the next message, once it is due. What doesn't fit goes
    /// with the one after it.
    pub(super) fn take_due(&mut self, now_ms: u64) -> Vec<Vec<u8>> {
        if self.due_ms.is_none_or(|due| now_ms < due) {
            return Vec::new();
        }
        let mut bytes = 0;
        let fits = self
            .waiting
            .iter()
            .take_while(|w| {
                bytes += w.body.len();
                bytes <= MAX_BYTES
            })
            .count();
        let bodies: Vec<Vec<u8>> = self.waiting.drain(..fits.max(1)).map(|w| w.body).collect();
        self.sent_ms = now_ms;
        self.due_ms = (!self.waiting.is_empty()).then(|| now_ms + self.share_ms(CHANGED_SHARE));
        self.forget_silent(now_ms);
        bodies
    }

    /// A message may have been lost: what its reports said counts as unknown.
    pub(super) fn forget_content(&mut self) {
        self.known.clear();
    }

    /// When it wants to be asked again.
    pub(super) fn due_ms(&self) -> Option<u64> {
        self.due_ms
    }

    /// Machines that report elsewhere, or not at all, are news when they come back.
    fn forget_silent(&mut self, now_ms: u64) {
        let silent_ms = (self.report_ms * 3.0) as u64;
        self.known
            .retain(|_, known| now_ms < known.heard_ms + silent_ms);
    }

    fn share_ms(&self, share: f64) -> u64 {
        (self.report_ms * share) as u64
    }
}

/// A fingerprint of what a report says beside that it is newer. Two contents with
/// the same fingerprint would only make the second one wait a little longer.
fn content_of(report: &WorkerHeartbeat) -> u64 {
    let mut hasher = DefaultHasher::new();
    report.address.hash(&mut hasher);
    report.agent_epoch.hash(&mut hasher);
    report.fencing_token.hash(&mut hasher);
    report.preemption_notice_s.is_some().hash(&mut hasher);
    report.tasks.hash(&mut hasher);
    hasher.finish()
}

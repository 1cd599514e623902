//! The queue of worker heartbeats that a follower has responded to and forwards to the
//! leader. A message costs both controllers far more than the heartbeats in it, so
//! unchanged heartbeats wait for others to share a message.

use crate::http::MAX_PEER_BODY_BYTES;
use crate::wire::workers::WorkerHeartbeat;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// How long a changed heartbeat may wait for others, as a share of the workers'
/// heartbeat interval.
const CHANGED_WAIT_SHARE: f64 = 0.05;
/// The same for an unchanged heartbeat: the delay that it adds to the detection of a
/// silent machine stays small beside the time that the detection takes.
const UNCHANGED_WAIT_SHARE: f64 = 0.25;
/// After so many heartbeat intervals the content of a machine's last heartbeat is
/// forgotten.
const CONTENT_HEARTBEATS: f64 = 3.0;
/// The bytes of heartbeats in a message. Half of what a peer accepts: one more
/// heartbeat of any size still fits.
const MAX_MESSAGE_BYTES: usize = MAX_PEER_BODY_BYTES / 2;

/// A queued heartbeat: the latest one of its machine.
#[derive(Debug)]
struct QueuedHeartbeat {
    machine: String,
    body: Vec<u8>,
}

/// A machine's last heartbeat.
#[derive(Debug)]
struct LastHeartbeat {
    /// Fingerprint of its content.
    fingerprint: u64,
    heard_ms: u64,
}

/// Queues heartbeats towards the leader, at most one for each machine.
#[derive(Debug)]
pub(super) struct HeartbeatForwarder {
    heartbeat_interval_ms: f64,
    queue: Vec<QueuedHeartbeat>,
    /// When the next message is due. `None`: nothing is queued.
    due_ms: Option<u64>,
    last_sent_ms: u64,
    last_heartbeats: HashMap<String, LastHeartbeat>,
}

impl HeartbeatForwarder {
    /// For workers with this heartbeat interval.
    pub(super) fn new(heartbeat_interval_s: f64) -> HeartbeatForwarder {
        HeartbeatForwarder {
            heartbeat_interval_ms: heartbeat_interval_s * 1000.0,
            queue: Vec::new(),
            due_ms: None,
            last_sent_ms: 0,
            last_heartbeats: HashMap::new(),
        }
    }

    /// Queues a heartbeat that was responded to here.
    pub(super) fn enqueue(&mut self, now_ms: u64, heartbeat: &WorkerHeartbeat, body: &[u8]) {
        let fingerprint = content_fingerprint(heartbeat);
        let last = LastHeartbeat {
            fingerprint,
            heard_ms: now_ms,
        };
        let previous = self.last_heartbeats.insert(heartbeat.machine.clone(), last);
        let changed = previous.is_none_or(|previous| previous.fingerprint != fingerprint);
        let due_ms = if changed {
            self.last_sent_ms + self.interval_share_ms(CHANGED_WAIT_SHARE)
        } else {
            now_ms + self.interval_share_ms(UNCHANGED_WAIT_SHARE)
        };
        self.due_ms = Some(self.due_ms.map_or(due_ms, |due| due.min(due_ms)));
        let queued = self
            .queue
            .iter_mut()
            .find(|queued| queued.machine == heartbeat.machine);
        match queued {
            Some(queued) => queued.body = body.to_vec(),
            None => self.queue.push(QueuedHeartbeat {
                machine: heartbeat.machine.clone(),
                body: body.to_vec(),
            }),
        }
    }

    /// The heartbeats of the next message, once it is due. What doesn't fit goes with
    /// the message after it.
    pub(super) fn take_due(&mut self, now_ms: u64) -> Vec<Vec<u8>> {
        if self.due_ms.is_none_or(|due| now_ms < due) {
            return Vec::new();
        }
        let mut bytes = 0;
        let fitting = self
            .queue
            .iter()
            .take_while(|queued| {
                bytes += queued.body.len();
                bytes <= MAX_MESSAGE_BYTES
            })
            .count();
        let bodies: Vec<Vec<u8>> = self
            .queue
            .drain(..fitting.max(1))
            .map(|queued| queued.body)
            .collect();
        self.last_sent_ms = now_ms;
        self.due_ms =
            (!self.queue.is_empty()).then(|| now_ms + self.interval_share_ms(CHANGED_WAIT_SHARE));
        self.forget_silent(now_ms);
        bodies
    }

    /// A message may have been lost: the next heartbeats count as changed.
    pub(super) fn forget_content(&mut self) {
        self.last_heartbeats.clear();
    }

    /// When the next message is due. `None`: nothing is queued.
    pub(super) fn due_ms(&self) -> Option<u64> {
        self.due_ms
    }

    /// Heartbeats of machines that have reported elsewhere, or not at all, count as
    /// changed when they come back.
    fn forget_silent(&mut self, now_ms: u64) {
        let silence_ms = self.interval_share_ms(CONTENT_HEARTBEATS);
        self.last_heartbeats
            .retain(|_, last| now_ms < last.heard_ms + silence_ms);
    }

    fn interval_share_ms(&self, share: f64) -> u64 {
        (self.heartbeat_interval_ms * share) as u64
    }
}

/// A fingerprint of a heartbeat's content without its sequence number. Different
/// contents with the same fingerprint would only make the second one wait a little
/// longer.
fn content_fingerprint(heartbeat: &WorkerHeartbeat) -> u64 {
    let mut hasher = DefaultHasher::new();
    heartbeat.address.hash(&mut hasher);
    heartbeat.agent_epoch.hash(&mut hasher);
    heartbeat.fencing_token.hash(&mut hasher);
    heartbeat.preemption_notice_s.is_some().hash(&mut hasher);
    heartbeat.tasks.hash(&mut hasher);
    hasher.finish()
}

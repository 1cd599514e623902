//! The queue of worker heartbeats that a follower has responded to and forwards to the
//! leader. Processing a message costs both controllers far more than processing the
//! heartbeats in it, so unchanged heartbeats wait to be batched with others.

use crate::http::MAX_PEER_BODY_BYTES;
use crate::wire::workers::WorkerHeartbeat;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum time for which a changed heartbeat waits to be batched, as a share of the
/// workers' heartbeat interval.
const CHANGED_WAIT_SHARE: f64 = 0.05;
/// Maximum time for which an unchanged heartbeat waits to be batched, as a share of the
/// workers' heartbeat interval. The wait delays the detection of an unresponsive machine
/// only slightly, compared with the time that the detection takes.
const UNCHANGED_WAIT_SHARE: f64 = 0.25;
/// Number of heartbeat intervals for which the fingerprint of a machine's last heartbeat
/// is kept.
const FINGERPRINT_RETENTION_HEARTBEATS: f64 = 3.0;
/// Maximum size of the heartbeats in one message. It is half of what a peer accepts, so
/// that a single heartbeat above this size still fits into a message.
const MAX_MESSAGE_BYTES: usize = MAX_PEER_BODY_BYTES / 2;

/// The latest heartbeat of a machine, waiting to be forwarded.
#[derive(Debug)]
struct QueuedHeartbeat {
    machine: String,
    body: Vec<u8>,
}

/// The fingerprint of a machine's last heartbeat, used to detect changes.
#[derive(Debug)]
struct LastHeartbeat {
    fingerprint: u64,
    received_ms: u64,
}

/// Queues heartbeats for the leader, at most one for each machine.
#[derive(Debug)]
pub(super) struct HeartbeatForwarder {
    heartbeat_interval_ms: f64,
    queue: Vec<QueuedHeartbeat>,
    /// When the next message is due; `None` if the queue is empty.
    due_ms: Option<u64>,
    last_sent_ms: u64,
    last_heartbeats: HashMap<String, LastHeartbeat>,
}

impl HeartbeatForwarder {
    /// Creates an empty queue for workers with this heartbeat interval.
    pub(super) fn new(heartbeat_interval_s: f64) -> HeartbeatForwarder {
        HeartbeatForwarder {
            heartbeat_interval_ms: heartbeat_interval_s * 1000.0,
            queue: Vec::new(),
            due_ms: None,
            last_sent_ms: 0,
            last_heartbeats: HashMap::new(),
        }
    }

    /// Queues a heartbeat that this controller responds to. It replaces a queued one of
    /// the same machine.
    pub(super) fn enqueue(&mut self, now_ms: u64, heartbeat: &WorkerHeartbeat, body: &[u8]) {
        let fingerprint = content_fingerprint(heartbeat);
        let last = LastHeartbeat {
            fingerprint,
            received_ms: now_ms,
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

    /// Removes and returns the heartbeats of the next message if the message is due.
    /// Heartbeats that don't fit stay queued for the following message.
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
        self.remove_stale_fingerprints(now_ms);
        bodies
    }

    /// Treats all machines' next heartbeats as changed, because a message may have been
    /// lost.
    pub(super) fn clear_fingerprints(&mut self) {
        self.last_heartbeats.clear();
    }

    /// Returns when the next message is due, or `None` if the queue is empty.
    pub(super) fn due_ms(&self) -> Option<u64> {
        self.due_ms
    }

    /// Removes the fingerprints of machines that have sent no heartbeat to this
    /// controller for a while. The next heartbeat of such a machine counts as changed.
    fn remove_stale_fingerprints(&mut self, now_ms: u64) {
        let retention_ms = self.interval_share_ms(FINGERPRINT_RETENTION_HEARTBEATS);
        self.last_heartbeats
            .retain(|_, last| now_ms < last.received_ms + retention_ms);
    }

    fn interval_share_ms(&self, share: f64) -> u64 {
        (self.heartbeat_interval_ms * share) as u64
    }
}

/// Returns a fingerprint of a heartbeat's content without its sequence number. A
/// collision only makes a changed heartbeat wait as long as an unchanged one.
fn content_fingerprint(heartbeat: &WorkerHeartbeat) -> u64 {
    let mut hasher = DefaultHasher::new();
    heartbeat.address.hash(&mut hasher);
    heartbeat.agent_epoch.hash(&mut hasher);
    heartbeat.fencing_token.hash(&mut hasher);
    heartbeat.preemption_notice_s.is_some().hash(&mut hasher);
    heartbeat.tasks.hash(&mut hasher);
    hasher.finish()
}

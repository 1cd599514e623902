//! Jobs' progress in heartbeats to the peers: only changes are sent, and no more
//! than a heartbeat may carry.

use crate::http::MAX_PEER_BODY_BYTES;
use crate::ids::JobId;
use crate::messages::TaskProgress;
use crate::wire::peers::JobProgress;
use std::collections::HashMap;

/// The bytes of a heartbeat that jobs' progress may take. A new leader has the
/// progress of all jobs to send: in one message that was once more than a peer
/// accepts, and the peer heard nothing of its leader.
const MAX_PROGRESS_BYTES: usize = MAX_PEER_BODY_BYTES / 4;
/// An upper bound of what an entry takes beside its job's name.
const ENTRY_BYTES: usize = 24;

/// The progress that the peers were last told.
#[derive(Debug, Default)]
pub(super) struct SentProgress {
    jobs: HashMap<JobId, TaskProgress>,
}

impl SentProgress {
    pub(super) fn clear(&mut self) {
        self.jobs.clear();
    }

    /// Returns the jobs whose progress has changed, as many as fit into a heartbeat,
    /// and remembers them as sent. `progress` has all jobs of the leader; others are
    /// forgotten.
    pub(super) fn changes<'a>(
        &mut self,
        progress: impl Iterator<Item = (&'a JobId, TaskProgress)>,
    ) -> Vec<JobProgress> {
        let mut changes = Vec::new();
        let mut sent = HashMap::new();
        let mut bytes = 0;
        for (id, current) in progress {
            let previous = self.jobs.get(id).copied();
            if previous == Some(current) {
                sent.insert(id.clone(), current);
            } else if bytes < MAX_PROGRESS_BYTES {
                bytes += id.as_str().len() + ENTRY_BYTES;
                changes.push(JobProgress {
                    job: id.to_string(),
                    done: current.done,
                    running: current.running,
                    multi_host: current.multi_host,
                });
                sent.insert(id.clone(), current);
            } else if let Some(previous) = previous {
                // A later heartbeat has room for the change.
                sent.insert(id.clone(), previous);
            }
        }
        self.jobs = sent;
        changes
    }
}

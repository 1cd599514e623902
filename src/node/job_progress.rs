//! Jobs' progress in heartbeats to the peers. Only changes are sent, and the size of the
//! changes in one heartbeat is limited.

use crate::http::MAX_PEER_BODY_BYTES;
use crate::ids::JobId;
use crate::messages::TaskProgress;
use crate::wire::peers::JobProgress;
use std::collections::HashMap;

/// Maximum size of jobs' progress in one heartbeat. A new leader sends the progress of
/// all jobs. In an earlier version, a new leader sent the progress of all jobs in one
/// message. The message exceeded the size that a peer accepts, and the peer received no
/// heartbeats from its leader.
const MAX_PROGRESS_BYTES: usize = MAX_PEER_BODY_BYTES / 4;
/// Upper bound of an entry's size without the job's id.
const MAX_ENTRY_OVERHEAD_BYTES: usize = 24;

/// The progress of jobs that was last sent to the peers.
#[derive(Debug, Default)]
pub(super) struct SentProgress {
    jobs: HashMap<JobId, TaskProgress>,
}

impl SentProgress {
    pub(super) fn clear(&mut self) {
        self.jobs.clear();
    }

    /// Returns the changed progress entries that fit into a heartbeat and records them as
    /// sent. `progress` holds all jobs of the leader; records of other jobs are removed.
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
                bytes += id.as_str().len() + MAX_ENTRY_OVERHEAD_BYTES;
                changes.push(JobProgress {
                    job: id.to_string(),
                    done: current.done,
                    running: current.running,
                    multi_host: current.multi_host,
                });
                sent.insert(id.clone(), current);
            } else if let Some(previous) = previous {
                // The change is sent in a later heartbeat.
                sent.insert(id.clone(), previous);
            }
        }
        self.jobs = sent;
        changes
    }
}

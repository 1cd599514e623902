//! Counters of a controller's events and processing time by purpose, which the reactor
//! updates and logs at intervals.
//!
//! The time of an event runs from its arrival in the reactor until the reactor has
//! applied its effects. This time doesn't include the kernel's time for network packets,
//! so the counts of messages and connections are logged with it.

use std::fmt;
use std::time::Duration;

/// Interval at which the counters are logged, in milliseconds.
pub const LOG_INTERVAL_MS: u64 = 30_000;

/// The purpose of an event or of a turn of the reactor.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Purpose {
    /// A heartbeat of a worker.
    WorkerHeartbeat,
    /// A readiness probe of the load balancer.
    Probe,
    /// A user's submission of a job.
    Submission,
    /// A user's query of a job.
    Query,
    /// A user's cancellation of a job.
    Cancellation,
    /// A heartbeat of a peer, or a peer's response to a heartbeat of this controller.
    PeerHeartbeat,
    /// Worker heartbeats that a peer forwards.
    ForwardedHeartbeats,
    /// A response of the key-value store to a call of the leader election.
    Election,
    /// A response of the key-value store to a call made for a user's request.
    UserKvCall,
    /// A response of the key-value store to a watch, or to a read of records that tracks
    /// changes of jobs.
    Watch,
    /// A response of the key-value store to a transaction of the leader.
    Transaction,
    /// A page of the stored records that a new leader loads.
    Loading,
    /// A response of the cloud.
    Cloud,
    /// A response of a worker to direct commands.
    Command,
    /// A scheduling round of the leader: placement, provisioning.
    Round,
    /// The leader's failure detection over all machines.
    MachineCheck,
    /// The leader's assembly of a transaction.
    Commit,
    /// Everything else, such as expired timers and requests to unknown paths.
    Other,
}

const PURPOSE_COUNT: usize = Purpose::Other as usize + 1;

/// Names of the purposes in log lines, in the order of the variants.
const PURPOSE_NAMES: [&str; PURPOSE_COUNT] = [
    "worker_heartbeat",
    "probe",
    "submission",
    "query",
    "cancellation",
    "peer_heartbeat",
    "forwarded_heartbeats",
    "election",
    "user_kv_call",
    "watch",
    "transaction",
    "loading",
    "cloud",
    "command",
    "round",
    "machine_check",
    "commit",
    "other",
];

/// Number of events of one purpose, and their total time.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
struct PurposeStats {
    events: u64,
    time: Duration,
}

/// The event or turn with the longest processing time. All other events waited meanwhile,
/// because the reactor has one thread.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct LongestEvent {
    time: Duration,
    purpose: Purpose,
}

/// Counters since the previous log line.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Usage {
    by_purpose: [PurposeStats; PURPOSE_COUNT],
    longest: Option<LongestEvent>,
    /// Turns of the reactor: one poll each, with the events that it returns.
    pub turns: u64,
    /// Turns without an event, which a timer or a deadline caused.
    pub timer_turns: u64,
    /// Incoming connections accepted on both listeners.
    pub accepted: u64,
    /// Outgoing connections opened.
    pub connected: u64,
    /// HTTP messages written: calls, and responses of the handler. Rejections by the reactor
    /// itself aren't counted.
    pub sent: u64,
}

impl Usage {
    /// Counts one event, or the tick of one turn, with its processing time.
    pub fn add(&mut self, purpose: Purpose, time: Duration) {
        let stats = &mut self.by_purpose[purpose as usize];
        stats.events += 1;
        stats.time += time;
        if self.longest.is_none_or(|longest| time > longest.time) {
            self.longest = Some(LongestEvent { time, purpose });
        }
    }
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "turns={} timer_turns={} accepted={} connected={} sent={}",
            self.turns, self.timer_turns, self.accepted, self.connected, self.sent
        )?;
        for (name, stats) in PURPOSE_NAMES.iter().zip(&self.by_purpose) {
            if stats.events > 0 {
                write!(f, " {name}={}/{}us", stats.events, stats.time.as_micros())?;
            }
        }
        if let Some(longest) = self.longest {
            let name = PURPOSE_NAMES[longest.purpose as usize];
            write!(f, " longest={name}/{}us", longest.time.as_micros())?;
        }
        Ok(())
    }
}

//! Where a controller's processor time goes: events and time by purpose,
//! counted by the reactor and logged at intervals.
//!
//! What is timed is this program's own code, from an event until its effects
//! are carried out. The kernel's time for packets isn't included, so the counts
//! of messages and connections are logged beside it.

use std::fmt;
use std::time::Duration;

/// How often the counters are logged, in milliseconds.
pub const LOG_EVERY_MS: u64 = 30_000;

/// What an event or a turn of the reactor was handled for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Purpose {
    /// A worker's heartbeat.
    WorkerHeartbeat,
    /// A health probe.
    Probe,
    /// A user submits a job.
    Submission,
    /// A user queries a job.
    Query,
    /// A user cancels a job.
    Cancellation,
    /// Another controller's heartbeat, or the response to one of this controller's.
    PeerHeartbeat,
    /// Workers' heartbeats that another controller forwards.
    ForwardedHeartbeats,
    /// The key-value store's response about leadership.
    Election,
    /// The key-value store's response to a call made for a user.
    UserKvCall,
    /// Changes that the key-value store reports to a watch.
    Watch,
    /// The key-value store's response to the leader's transaction.
    Transaction,
    /// The stored records that a new leader loads.
    Loading,
    /// The cloud's response.
    Cloud,
    /// A worker's response to direct commands.
    Command,
    /// A scheduling round of the leader: placement, provisioning.
    Round,
    /// The leader's check of every machine for failures.
    MachineCheck,
    /// The leader assembles a transaction.
    Commit,
    /// Anything else: expired timers, requests to unknown paths.
    Other,
}

/// How many purposes there are.
const PURPOSE_COUNT: usize = Purpose::Other as usize + 1;

/// The purposes' names in the log, in the order of the variants.
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

/// How often something was done, and how long it took altogether.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
struct PurposeStats {
    events: u64,
    time: Duration,
}

/// The longest event or turn: for so long no other one was handled.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct LongestEvent {
    time: Duration,
    purpose: Purpose,
}

/// Counters since they were last logged.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Usage {
    by_purpose: [PurposeStats; PURPOSE_COUNT],
    longest: Option<LongestEvent>,
    /// Turns of the reactor.
    pub turns: u64,
    /// Turns that no event caused.
    pub timer_turns: u64,
    /// Connections accepted.
    pub accepted: u64,
    /// Connections opened.
    pub connected: u64,
    /// Messages written: responses and calls.
    pub sent: u64,
}

impl Usage {
    /// Counts one event, or the work of one turn.
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

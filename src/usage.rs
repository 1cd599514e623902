//! Where a controller's processor time goes: events and time by purpose,
//! counted by the reactor and logged now and then.
//!
//! What is timed is this program's own code, from an event until its effects
//! are carried out. Time that the kernel takes for packets isn't in it, so the
//! counts of messages and connections stand beside it.

use std::fmt;
use std::time::Duration;

/// How often the counters are logged, in milliseconds.
pub const LOG_EVERY_MS: u64 = 30_000;

/// What an event or a turn of the reactor was worked on for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Purpose {
    /// A worker's report.
    WorkerHeartbeat,
    /// A health probe.
    Probe,
    /// A user submits a job.
    Submission,
    /// A user asks about a job.
    Query,
    /// A user cancels a job.
    Cancellation,
    /// Another controller's heartbeat, or the answer to one of ours.
    PeerHeartbeat,
    /// Workers' reports that another controller passes on.
    ForwardedHeartbeats,
    /// The state service's answer about leadership.
    Election,
    /// The state service's answer to a call made for a user.
    UserKvCall,
    /// What the state service says has changed.
    Watch,
    /// The state service's answer to the leader's transaction.
    Transaction,
    /// The stored records that a new leader reads.
    Loading,
    /// The cloud's answer.
    Cloud,
    /// A worker's answer to direct commands.
    Command,
    /// A round of the leader: placing, renting.
    Round,
    /// The leader's look at every machine.
    MachineCheck,
    /// The leader puts a transaction together.
    Commit,
    /// Anything else: timers that are due, requests that nobody serves.
    Other,
}

/// How many purposes there are.
const PURPOSES: usize = Purpose::Other as usize + 1;

const NAMES: [&str; PURPOSES] = [
    "report",
    "probe",
    "submission",
    "query",
    "cancellation",
    "heartbeat",
    "forwarded",
    "election",
    "user_call",
    "changes",
    "transaction",
    "recovery",
    "cloud",
    "command",
    "round",
    "check",
    "commit",
    "other",
];

/// How often something was done, and how long it took altogether.
#[derive(Clone, Copy, Default, PartialEq, Eq, Debug)]
pub struct PurposeStats {
    /// How often.
    pub events: u64,
    /// The time that it took.
    pub time: Duration,
}

/// Counters since they were last logged.
#[derive(Clone, Default, PartialEq, Eq, Debug)]
pub struct Usage {
    spent: [PurposeStats; PURPOSES],
    /// The longest event or turn, and what it was for: for so long nothing else
    /// was looked at.
    longest: Option<(Duration, Purpose)>,
    /// Turns of the reactor.
    pub turns: u64,
    /// Turns that no event caused.
    pub timer_turns: u64,
    /// Connections taken.
    pub accepted: u64,
    /// Connections opened.
    pub connected: u64,
    /// Messages written: answers and calls.
    pub sent: u64,
}

impl Usage {
    /// Counts one event, or the work of one turn.
    pub fn add(&mut self, purpose: Purpose, time: Duration) {
        let spent = &mut self.spent[purpose as usize];
        spent.events += 1;
        spent.time += time;
        if self.longest.is_none_or(|(longest, _)| time > longest) {
            self.longest = Some((time, purpose));
        }
    }

    /// What was spent on a purpose.
    pub fn of(&self, purpose: Purpose) -> PurposeStats {
        self.spent[purpose as usize]
    }
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "turns={} by_timer={} accepted={} connected={} sent={}",
            self.turns, self.timer_turns, self.accepted, self.connected, self.sent
        )?;
        for (name, spent) in NAMES.iter().zip(&self.spent) {
            if spent.events > 0 {
                write!(f, " {name}={}/{}us", spent.events, spent.time.as_micros())?;
            }
        }
        if let Some((time, purpose)) = self.longest {
            let name = NAMES[purpose as usize];
            write!(f, " longest={name}/{}us", time.as_micros())?;
        }
        Ok(())
    }
}

//! Records of the leader election (`leader/`): who leads, and the term.

use crate::ids::Term;
use serde::{Deserialize, Serialize};

/// Prefix of the records of the election.
pub const LEADER_PREFIX: &str = "leader/";
/// The key that the leader holds under its lease.
pub const LEADER_KEY: &str = "leader/key";
/// The key of the term, which outlives leaders.
pub const TERM_KEY: &str = "leader/term";

/// The value of the leader key.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The node name of the leader.
    pub node: String,
    /// Distinguishes this process from an earlier one of the same name.
    pub incarnation: u64,
    /// Its term.
    pub term: Term,
    /// The lease that holds the key: a claim that was carried out late may be held by
    /// a lease that its author has abandoned.
    #[serde(default)]
    pub lease: u64,
}

/// The value of the term's key.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct TermRecord {
    /// The latest term.
    pub term: Term,
    /// A leader has found that the key-value store's announced limits are in effect.
    /// Versions before 0.2 don't know the field and leave it out when they write.
    #[serde(default, skip_serializing_if = "super::is_default")]
    pub limits_lowered: bool,
}

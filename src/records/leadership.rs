//! Records of the election (`leader/`): who leads, and the term.

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
    /// The leader's name.
    pub node: String,
    /// Tells this process from an earlier one of the same name.
    pub incarnation: u64,
    /// Its term.
    pub term: Term,
    /// The lease that holds the key: a claim carried out late may stand under
    /// one that its author has given up.
    #[serde(default)]
    pub lease: u64,
}

/// The value of the term's key.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct TermRecord {
    /// The latest term.
    pub term: Term,
    /// A leader has found that the state service's announced limits hold. Versions
    /// before 0.2 don't know the field and leave it out when they write.
    #[serde(default, skip_serializing_if = "is_false")]
    pub limits_lowered: bool,
}

fn is_false(value: &bool) -> bool {
    !*value
}
